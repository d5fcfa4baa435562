"""The coordinator's figures for operators and the SNMP agent: sums over all workers.

They are computed from the counters, cells and rows in shared memory, without a call to any worker.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from frostspindle.config import Config
from frostspindle.cores import totals
from frostspindle.cores.control_publisher import ControlPublisher
from frostspindle.cores.layout import HeadCell, WorkerState
from frostspindle.cores.shared_memory import SharedMemoryBoard
from frostspindle.cores.worker_process import WorkerProcess
from frostspindle.cores.worker_processes import WorkerProcesses
from frostspindle.net.http.calls import FRONT
from frostspindle.shared import Shared
from frostspindle.telemetry import Telemetry

MAX_ENGINE_NAMES = 4096
STATE_NAMES = {
    WorkerState.STARTING: "starting",
    WorkerState.SERVING: "serving",
    WorkerState.DRAINING: "leaving",
    WorkerState.ENDED: "ended",
}
OPEN_REQUEST_SIGNS = {"taken": 1, "served": -1, "refused": -1, "failed": -1, "left": -1, "lost": -1}


@dataclass(slots=True, frozen=True)
class _EngineView:
    """An engine in the form that the SNMP agent reads."""

    name: str
    address: tuple[str, int]
    entry: totals.EngineSummary


class CoordinatorStatus:
    """Figures summed over all workers, with the interface of a single process's core and telemetry."""

    def __init__(
        self,
        config: Config,
        workers: WorkerProcesses,
        board: SharedMemoryBoard,
        control: ControlPublisher,
        shared: Shared,
        telemetry: Telemetry,
    ) -> None:
        http_classes = [(FRONT, name) for name in config.classes]
        tds_classes = [("tds", name) for name in config.plan.classes]
        self.classes = http_classes + tds_classes
        self.name = config.name
        self._workers = workers
        self._board = board
        self._control = control
        self._shared = shared
        self._telemetry = telemetry
        self._engine_names: dict[str, None] = {}  # of engines listed now or before, the most recent last

    @property
    def started(self) -> float:
        """When the supervisor started, in Unix seconds."""
        return self._telemetry.started

    def up_s(self) -> float:
        """Return how long the supervisor has run, in seconds."""
        return self._telemetry.up_s()

    @property
    def counts(self) -> Counter[totals.CounterKey]:
        """Sums of all counters over the supervisor, the running workers and those that have exited."""
        counts = Counter(self._telemetry.counts)
        for worker in self._workers.slots:
            counts.update(worker.past_counts)
            counts.update(worker.current_counts)
        return counts

    def count(self, counter: str, front: str = "", cls: str = "", by: int = 1) -> None:
        """Add `by` to one of the supervisor's own counters."""
        self._telemetry.count(counter, front, cls, by)

    @property
    def inflight(self) -> int:
        """Number of open requests; from the counters, as the cell OPEN_REQUESTS is only updated once a tick."""
        signed_counts = (OPEN_REQUEST_SIGNS.get(counter, 0) * value for (counter, _, _), value in self.counts.items())
        return max(0, sum(signed_counts))

    def sessions(self) -> dict[str, int]:
        """Return the number of open client connections of running workers, by front."""
        regions = [worker.region for worker in self._workers.running]
        return {
            FRONT: sum(region.read_cell(HeadCell.CLIENT_CONNECTIONS) for region in regions),
            "tds": sum(region.read_cell(HeadCell.TDS_SESSIONS) for region in regions),
        }

    def engine_summaries(self) -> dict[int, totals.EngineSummary]:
        """Return each engine's state by number, and record the names of the engines."""
        rows = [worker.region.rows() for worker in self._workers.slots]
        summaries = totals.engine_summaries(rows, self._shared.banned)
        for summary in summaries.values():
            self._engine_names.pop(summary.name, None)
            self._engine_names[summary.name] = None
        while len(self._engine_names) > MAX_ENGINE_NAMES:
            del self._engine_names[next(iter(self._engine_names))]
        return summaries

    def was_listed(self, name: str) -> bool:
        """Return whether an engine of this name is or was listed, among the last MAX_ENGINE_NAMES names."""
        self.engine_summaries()
        return name in self._engine_names

    @property
    def engines(self) -> dict[int, Any]:
        """Engines by number, in the form that the SNMP agent reads."""
        return {
            number: _EngineView(summary.name, summary.address, summary)
            for number, summary in self.engine_summaries().items()
        }

    def figures(self) -> dict[str, Any]:
        """Return the figures of `show-stat`: those of a single process, and under `workers` each worker's state."""
        figures = totals.figures(self.classes, self.counts, self.inflight, self.engine_summaries(), self._shared.banned)
        for key, cell in (("held_bytes", HeadCell.HELD_BYTES), ("held_limit", HeadCell.HELD_LIMIT)):
            figures[key] = sum(worker.region.read_cell(cell) for worker in self._workers.slots if worker.process)
        figures["workers"] = [self._worker_figures(worker) for worker in self._workers.slots]
        return figures

    def _worker_figures(self, worker: WorkerProcess) -> dict[str, Any]:
        process = worker.process
        region = worker.region
        return {
            "worker": worker.slot,
            "pid": process.pid if process else None,
            "restarts": worker.restarts,
            "state": STATE_NAMES[WorkerState(worker.state)] if process else "down",
            "inflight": region.read_cell(HeadCell.OPEN_REQUESTS) if process else 0,
            "clients": region.read_cell(HeadCell.CLIENT_CONNECTIONS) if process else 0,
            "sockets": self._control.page.sockets.get(worker.slot, 0),
            "held_bytes": region.read_cell(HeadCell.HELD_BYTES) if process else 0,
            "taken": _requests_taken(worker.past_counts) + _requests_taken(worker.current_counts),
        }

    def log_report(self) -> None:
        """Write counters and figures to the log."""
        counters = [
            {"what": counter, "front": front, "class": cls, "count": count}
            for (counter, front, cls), count in sorted(self.counts.items())
        ]
        self._telemetry._write(
            time.time(),
            "counters_reported",
            {
                "up_s": round(self.up_s(), 1),
                "counters": counters,
                "clients": self.sessions(),
                "figures": self.figures(),
                "board": {
                    "version": self._board.version,
                    "leases": {f"{engine:08x}": units for engine, (units, _) in self._control.page.leases.items()},
                },
            },
        )


def _requests_taken(counts: Mapping[totals.CounterKey, int]) -> int:
    """Return the number of requests taken, summed over all fronts and classes."""
    return sum(value for (counter, _, _), value in counts.items() if counter == "taken")
