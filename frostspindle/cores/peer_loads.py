"""Reads the other workers' rows and reports their load, and engines that stopped accepting work, to the core.

peer_workers.py evaluates the rows. To be used only in the worker's event loop.
"""

from __future__ import annotations

from collections.abc import Set as AbstractSet

from frostspindle.core import Core, clock
from frostspindle.cores import peer_workers
from frostspindle.cores.applied_leases import AppliedLeases
from frostspindle.cores.bootstrap import monotonic_ms
from frostspindle.cores.control_reader import ControlReader
from frostspindle.cores.layout import HeadCell
from frostspindle.cores.peer_workers import PeerWorker
from frostspindle.cores.shared_memory import RowSnapshot
from frostspindle.policy import WorkerLoad
from frostspindle.telemetry import Telemetry


class PeerLoads:
    """Snapshots of the other workers' rows by slot, and the load last reported to the core."""

    def __init__(
        self,
        snapshots: dict[int, RowSnapshot],
        core: Core,
        control: ControlReader,
        leases: AppliedLeases,
        telemetry: Telemetry,
    ) -> None:
        self._snapshots = snapshots
        self._core = core
        self._control = control
        self._leases = leases
        self._telemetry = telemetry
        self._urgent_updates = dict.fromkeys(snapshots, -1)  # by slot, at the last poll
        self._reported: dict[int, WorkerLoad] = {}  # by engine

    def poll(self) -> set[int]:
        """Read the rows of all other workers; return the engines whose rows have changed."""
        changed: set[int] = set()
        for slot in self._snapshots:
            changed |= self._poll_slot(slot)
        return changed

    def poll_urgent(self) -> None:
        """Read the rows of workers that have published an engine's end of service since the last poll."""
        for slot, snapshot in self._snapshots.items():
            if snapshot.region.read_cell(HeadCell.URGENT_UPDATES) != self._urgent_updates[slot]:
                self._poll_slot(slot)

    def _poll_slot(self, slot: int) -> set[int]:
        """Read a worker's changed rows; an end of service in them overrides this worker's endpoint list at once."""
        snapshot = self._snapshots[slot]
        torn_reads = snapshot.torn_reads
        urgent_updates = snapshot.region.read_cell(HeadCell.URGENT_UPDATES)
        changed = snapshot.poll()
        if snapshot.torn_reads != torn_reads:
            self._telemetry.count("board_torn")
        if changed and urgent_updates != self._urgent_updates[slot]:
            self._apply_ends_of_service(changed, PeerWorker(0.0, snapshot.rows))
        self._urgent_updates[slot] = urgent_updates
        return changed

    def _apply_ends_of_service(self, engines: AbstractSet[int], peer: PeerWorker) -> None:
        for engine in engines:
            state = self._core.engines.get(engine)
            if state is None or not state.version:
                continue
            end_of_service = peer_workers.newest_end_of_service(engine, state.version, [peer])
            if end_of_service is not None:
                version, _ = end_of_service
                self._core.mark_draining(state.name, version)

    def report(self, engines: AbstractSet[int]) -> None:
        """Report changes in the other workers' load, ejections and load reports to the core."""
        now_ms = clock()
        heartbeat_now_ms = monotonic_ms()
        peers = [
            PeerWorker(heartbeat_now_ms - snapshot.region.heartbeat_ms, snapshot.rows)
            for slot, snapshot in self._snapshots.items()
            if slot in self._control.page.living  # a dead worker's load is published as orphaned load
        ]
        changed_loads = []
        for engine in engines & self._core.engines.keys():
            load = peer_workers.combined_load(
                engine, peers, self._control.page.ghosts, now_ms, self._leases.apply(engine)
            )
            if _has_changed(load, self._reported.get(engine)):
                changed_loads.append(load)
            self._reported[engine] = load
        if changed_loads:
            self._core.update_worker_loads(tuple(changed_loads))

    def forget(self, engine: int) -> None:
        """Remove the last reported load of an engine that is no longer listed."""
        self._reported.pop(engine, None)


def _has_changed(load: WorkerLoad, previous: WorkerLoad | None) -> bool:
    """Return whether a load differs from the previous one in more than the age of its load report."""
    if previous is None or previous[:5] != load[:5]:
        return True
    return bool(load.report) and load.report != previous.report
