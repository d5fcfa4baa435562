"""Publication of this worker's load on each engine, as rows in shared memory that the other workers read."""

from __future__ import annotations

import asyncio

from frostspindle.core import Core, EngineState, clock
from frostspindle.cores.applied_leases import AppliedLeases
from frostspindle.cores.layout import HeadCell
from frostspindle.cores.peer_workers import EngineLoadRow
from frostspindle.cores.shared_memory import WorkerRegion
from frostspindle.policy import Health
from frostspindle.telemetry import Telemetry

FLUSH_DELAY_S = 0.005  # changed rows are batched for this long


class LoadPublisher:
    """The engines whose rows have changed, and the timer that writes them; only for the worker's event loop."""

    def __init__(self, region: WorkerRegion, core: Core, leases: AppliedLeases, telemetry: Telemetry) -> None:
        self.demands: dict[int, tuple[float, float]] = {}  # spent and wanted fractions of the budget, by cold engine
        self._region = region
        self._core = core
        self._leases = leases
        self._telemetry = telemetry
        self._changed: set[int] = set()
        self._load_reports: dict[int, tuple[float, tuple[float, ...]]] = {}  # by engine: Unix time in ms, values
        self._flush_timer: asyncio.TimerHandle | None = None
        self._is_overflow_logged = False

    def engine_changed(self, engine: int, load_report: tuple[float, ...]) -> None:
        """Publish a listed engine's row: at once if the engine no longer accepts work, else within FLUSH_DELAY_S.

        `load_report` is empty if there is no new one.
        """
        if load_report:
            self._load_reports[engine] = (clock(), load_report)
        self._changed.add(engine)
        state = self._core.engines[engine]
        if state.entry.health != Health.READY and state.version:
            self.flush()
            self._region.increment_cell(HeadCell.URGENT_UPDATES)
        elif self._flush_timer is None:
            self._flush_timer = asyncio.get_running_loop().call_later(FLUSH_DELAY_S, self.flush)

    def forget(self, engine: int) -> None:
        """Erase the row of an engine that is no longer listed."""
        self._load_reports.pop(engine, None)
        self._region.erase_row(engine)

    def publish_demands(self, publish_all: bool) -> None:
        """Publish the rows of cold engines whose demand or lease has changed, or of all with `publish_all`."""
        demands = self._core.controller.slow_start.needs(clock())
        for engine in demands.keys() | self.demands.keys():
            if demands.get(engine) != self.demands.get(engine) or publish_all:
                self._changed.add(engine)
        self.demands = demands
        self._leases.retain(demands.keys())
        for engine in demands:
            previous_serial = self._leases.serials.get(engine)
            self._leases.apply(engine)
            if self._leases.serials.get(engine) != previous_serial:
                self._changed.add(engine)
        if self._changed:
            self.flush()

    def flush(self) -> None:
        """Write all changed rows now, and cancel the flush timer."""
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        changed = self._changed
        self._changed = set()
        for engine in changed:
            state = self._core.engines.get(engine)
            if state is not None and not self._region.write_row(self._row(engine, state)):
                self._log_overflow(state.name)
        if changed:
            self._region.increment_cell(HeadCell.ROW_UPDATES)

    def _log_overflow(self, engine_name: str) -> None:
        """Log that the shared memory has no free row for an engine; only the first time."""
        if not self._is_overflow_logged:
            self._is_overflow_logged = True
            self._telemetry.log("shared_memory_degraded", error="no free engine row", engine=engine_name)

    def _row(self, engine: int, state: EngineState) -> EngineLoadRow:
        policy_engine = self._core.controller.engines.get(engine)
        listed_entry = state.listed_entry or state.entry
        reported_at_ms, load_report = self._load_reports.get(engine, (0.0, ()))
        spent, wanted = self.demands.get(engine, (0.0, 0.0))
        return EngineLoadRow(
            engine=engine,
            version=state.version,
            health=listed_entry.health,
            ejected=policy_engine is not None and policy_engine.ejected and not policy_engine.ejected_by_peer,
            threads=policy_engine.threads if policy_engine else 0,
            granted_mb=policy_engine.granted_mb if policy_engine else 0.0,
            since_ms=state.entry.since_ms,
            reported_at_ms=reported_at_ms,
            report=load_report,
            spent=spent,
            wanted=wanted,
            lease_serial=self._leases.serials.get(engine, 0),
            name=state.name,
            address=f"{state.address[0]}:{state.address[1]}",
        )
