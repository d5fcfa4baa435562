"""Detection of engine restarts: from the agreement, from refused connections, and from other coordinators' reports."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

import msgspec

from frostspindle.recovery import agreement
from frostspindle.recovery.agreement import MemberReport
from frostspindle.recovery.outputs import MarkRestarted, NodeOutputs
from frostspindle.recovery.wire import ListedEngine

PEER_START_MS = 120_000.0  # older starts from other coordinators are ignored
START_GRID_MS = 2_000.0  # starts are rounded down to it, so that coordinators that recover together agree
MIN_REFUSING_MS = 200.0  # an engine that refuses connections for this long has stopped, and will be cold


@dataclass(slots=True, frozen=True)
class _Refusal:
    """When an engine began to refuse connections, and when it was last marked restarted for that (Unix ms)."""

    first_refused_at: float
    marked_at: float = -math.inf


def round_start(unix_ms: float) -> float:
    """Round a time (Unix ms) down to the grid of starts."""
    return math.floor(unix_ms / START_GRID_MS) * START_GRID_MS


class EngineRestarts:
    """The engine restarts that one node knows of. No I/O; times in Unix ms.

    `on_change` is called when the report of an engine to other coordinators may have changed.
    """

    def __init__(self, outputs: NodeOutputs, on_change: Callable[[], None]) -> None:
        self.refusals: dict[str, _Refusal] = {}  # of engines that refuse connections at present
        self.unconfirmed_starts: dict[str, float] = {}  # time of the last refusal of engines with no known start since
        self._outputs: NodeOutputs = outputs
        self._on_change: Callable[[], None] = on_change
        self._marked_starts: dict[str, float] = {}  # starts marked here that the engine list does not have yet
        self._peer_starts: dict[str, float] = {}  # each engine's latest start that another coordinator reported
        self._classified: set[str] = set()  # engines that classify_engines has processed

    def on_engine_list(self, engines: Mapping[str, ListedEngine]) -> None:
        """Process a changed list: drop the state of removed engines, and what its newer starts supersede."""
        self.refusals = {name: refusal for name, refusal in self.refusals.items() if name in engines}
        self.unconfirmed_starts = {
            name: refused_at
            for name, refused_at in self.unconfirmed_starts.items()
            if name in engines and engines[name].published_start_ms <= refused_at
        }
        self._marked_starts = {
            name: start
            for name, start in self._marked_starts.items()
            if name in engines and engines[name].started_ms < start
        }

    def forget_refusals(self, name: str) -> None:
        """Drop the record of an engine's refused connections."""
        self.refusals.pop(name, None)

    def on_refused(self, unix_ms: float, name: str) -> None:
        """Process a connection that an engine refused.

        The first refusal makes its start unconfirmed; after MIN_REFUSING_MS the engine is marked restarted.
        """
        refusal = self.refusals.get(name, _Refusal(unix_ms))
        if unix_ms - refusal.first_refused_at >= MIN_REFUSING_MS and unix_ms - refusal.marked_at >= MIN_REFUSING_MS:
            refusal = replace(refusal, marked_at=unix_ms)
            self._mark(name, unix_ms)
        self.refusals[name] = refusal
        if name not in self.unconfirmed_starts:
            self._on_change()
        self.unconfirmed_starts[name] = unix_ms

    def on_answered(self, unix_ms: float, engine: ListedEngine) -> None:
        """Process a response of an engine, which ends its refusals.

        If it had refused for MIN_REFUSING_MS and the bus has published no start since, mark it as started now. A
        shorter break does not count as a start, but leaves the start unconfirmed, as it may hide one.
        """
        refusal = self.refusals.pop(engine.name, None)
        if refusal is None:
            return
        if refusal.marked_at > refusal.first_refused_at and engine.published_start_ms <= refusal.first_refused_at:
            self._mark(engine.name, unix_ms)
            self.unconfirmed_starts.pop(engine.name, None)

    def _mark(self, name: str, unix_ms: float) -> None:
        start = round_start(unix_ms)
        self._marked_starts[name] = start
        self._on_change()
        self._outputs.effects.append(MarkRestarted({name: start}))

    def prune(self, unix_ms: float) -> None:
        """Confirm the starts of engines again whose last refusal is older than PEER_START_MS."""
        expired = [name for name, refused_at in self.unconfirmed_starts.items() if unix_ms - refused_at > PEER_START_MS]
        if expired:
            self.unconfirmed_starts = {
                name: refused_at for name, refused_at in self.unconfirmed_starts.items() if name not in expired
            }
            self._on_change()

    def as_reported(self, engine: ListedEngine) -> ListedEngine:
        """Return an engine as reported to other coordinators, with the restarts seen here."""
        start = max(engine.started_ms, self._marked_starts.get(engine.name, 0.0))
        start_confirmed = engine.name not in self.unconfirmed_starts
        if start == engine.started_ms and start_confirmed:
            return engine
        return msgspec.structs.replace(engine, started_ms=start, start_confirmed=start_confirmed)

    def classify_engines(
        self,
        unix_ms: float,
        engines: Mapping[str, ListedEngine],
        agreed_starts: Mapping[str, float],
        last_heartbeat_ms: float | None,
        clean_shutdown: bool,
    ) -> None:
        """Mark the engines as restarted that are cold; each engine is classified once.

        The starts of engines that are listed after the recovery are trusted. A start that another coordinator reported
        since our power loss is adopted, because a cold engine has one budget per start. So is a later agreed start:
        coordinators that kept running may have seen an engine restart while the bus was down.
        """
        listed = {name: engine.started_ms for name, engine in engines.items() if name not in self._classified}
        self._classified.update(listed)
        starts = {
            name: agreed_starts[name] for name, started in listed.items() if agreed_starts.get(name, 0.0) > started
        }
        for name in agreement.cold_engines(listed, agreed_starts, last_heartbeat_ms, clean_shutdown):
            start = self._peer_starts.get(name)
            if start is None or (last_heartbeat_ms is not None and start <= last_heartbeat_ms):
                start = round_start(unix_ms)
            starts[name] = start
        if starts:
            self._outputs.effects.append(MarkRestarted(starts))

    def merge_peer_starts(
        self, unix_ms: float, report: MemberReport, engines: Mapping[str, ListedEngine], adopt: bool
    ) -> None:
        """Remember the recent starts in another's report; with `adopt`, mark those later than the local ones.

        All coordinators use the latest start, within the skew of their clocks.
        """
        starts: dict[str, float] = {}
        for engine in report.engines.values():
            if not unix_ms - PEER_START_MS < engine.started_ms <= unix_ms + 2.0 * START_GRID_MS:
                continue
            self._peer_starts[engine.name] = engine.started_ms
            local = engines.get(engine.name)
            if local is not None and engine.name in self._classified and engine.started_ms > local.started_ms:
                starts[engine.name] = engine.started_ms
        if starts and adopt:
            self._outputs.effects.append(MarkRestarted(starts))
