"""Which engines have restarted, and when: by the agreement, by connections that they refuse, and by other's reports."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

import msgspec

from frostspindle.recovery import agreement
from frostspindle.recovery.agreement import MemberReport
from frostspindle.recovery.outputs import MarkRestarted, NodeOutputs
from frostspindle.recovery.wire import ListedEngine

PEER_START_MS = 120_000.0  # a start that others gave so long ago is of no use
START_GRID_MS = 2_000.0  # starts are rounded down to it: coordinators that come back together give the same
MIN_REFUSING_MS = 200.0  # an engine that refuses connections for so long has gone, and comes back cold


@dataclass(slots=True, frozen=True)
class _Refusal:
    """Since when an engine refuses connections, and when its restart was last marked for it (Unix ms)."""

    first_refused_at: float
    marked_at: float = -math.inf


def round_start(unix: float) -> float:
    """Round a time (Unix ms) down to the grid of starts."""
    return math.floor(unix / START_GRID_MS) * START_GRID_MS


class EngineRestarts:
    """One node's knowledge of engines' restarts. No I/O; times in Unix ms.

    `on_change` is called when what others are told of an engine may have changed.
    """

    def __init__(self, outputs: NodeOutputs, on_change: Callable[[], None]) -> None:
        self.refusals: dict[str, _Refusal] = {}  # of engines that refuse connections now
        self.unconfirmed_starts: dict[
            str, float
        ] = {}  # when an engine last refused whose start since then is not known
        self._outputs: NodeOutputs = outputs
        self._on_change: Callable[[], None] = on_change
        self._marked_starts: dict[str, float] = {}  # that we have marked and that the engine list lacks still
        self._peer_starts: dict[str, float] = {}  # engines' latest starts as others reported them
        self._classified: set[str] = set()  # engines that were judged cold or not

    def on_engine_list(self, engines: Mapping[str, ListedEngine]) -> None:
        """Take a changed list: forget engines that left it and what its starts settle."""
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
        """Forget since when an engine refuses connections."""
        self.refusals.pop(name, None)

    def on_refused(self, unix: float, name: str) -> None:
        """Take a connection that an engine refused.

        From the first refusal on we don't vouch for its start; after MIN_REFUSING_MS it is marked restarted.
        """
        refusal = self.refusals.get(name, _Refusal(unix))
        if unix - refusal.first_refused_at >= MIN_REFUSING_MS and unix - refusal.marked_at >= MIN_REFUSING_MS:
            refusal = replace(refusal, marked_at=unix)
            self._mark(name, unix)
        self.refusals[name] = refusal
        if name not in self.unconfirmed_starts:
            self._on_change()
        self.unconfirmed_starts[name] = unix

    def on_answered(self, unix: float, engine: ListedEngine) -> None:
        """Take an answer: if the engine had refused for MIN_REFUSING_MS, and no start was published, this is its start.

        A shorter break is no start, but may hide one.
        """
        refusal = self.refusals.pop(engine.name, None)
        if refusal is None:
            return
        if refusal.marked_at > refusal.first_refused_at and engine.published_start_ms <= refusal.first_refused_at:
            self._mark(engine.name, unix)
            self.unconfirmed_starts.pop(engine.name, None)

    def _mark(self, name: str, unix: float) -> None:
        start = round_start(unix)
        self._marked_starts[name] = start
        self._on_change()
        self._outputs.effects.append(MarkRestarted({name: start}))

    def prune(self, unix: float) -> None:
        """Vouch again for engines whose last refusal is older than PEER_START_MS."""
        expired = [name for name, refused_at in self.unconfirmed_starts.items() if unix - refused_at > PEER_START_MS]
        if expired:
            self.unconfirmed_starts = {
                name: refused_at for name, refused_at in self.unconfirmed_starts.items() if name not in expired
            }
            self._on_change()

    def as_reported(self, engine: ListedEngine) -> ListedEngine:
        """Return an engine as others are told of it: with what we saw of it ourselves."""
        start = max(engine.started_ms, self._marked_starts.get(engine.name, 0.0))
        start_confirmed = engine.name not in self.unconfirmed_starts
        if start == engine.started_ms and start_confirmed:
            return engine
        return msgspec.structs.replace(engine, started_ms=start, start_confirmed=start_confirmed)

    def classify_engines(
        self,
        unix: float,
        engines: Mapping[str, ListedEngine],
        agreed_starts: Mapping[str, float],
        last_heartbeat_ms: float | None,
        clean_shutdown: bool,
    ) -> None:
        """Mark the cold ones of the engines that were not judged yet.

        The list's starts of engines that come after the recovery are believed. A start that others have given since our
        loss is taken over: a cold engine's budget is one for each start. So is the agreed start: those who ran on may
        have seen an engine restart while the bus was away.
        """
        listed = {name: engine.started_ms for name, engine in engines.items() if name not in self._classified}
        self._classified.update(listed)
        starts = {
            name: agreed_starts[name] for name, started in listed.items() if agreed_starts.get(name, 0.0) > started
        }
        for name in agreement.cold_engines(listed, agreed_starts, last_heartbeat_ms, clean_shutdown):
            start = self._peer_starts.get(name)
            if start is None or (last_heartbeat_ms is not None and start <= last_heartbeat_ms):
                start = round_start(unix)
            starts[name] = start
        if starts:
            self._outputs.effects.append(MarkRestarted(starts))

    def merge_peer_starts(
        self, unix: float, report: MemberReport, engines: Mapping[str, ListedEngine], adopt: bool
    ) -> None:
        """Remember the recent starts of another's report, and with `marks` take over those later than ours.

        All coordinators go by the latest start, within the skew of their clocks.
        """
        starts: dict[str, float] = {}
        for engine in report.engines.values():
            if not unix - PEER_START_MS < engine.started_ms <= unix + 2.0 * START_GRID_MS:
                continue
            self._peer_starts[engine.name] = engine.started_ms
            local = engines.get(engine.name)
            if local is not None and engine.name in self._classified and engine.started_ms > local.started_ms:
                starts[engine.name] = engine.started_ms
        if starts and adopt:
            self._outputs.effects.append(MarkRestarted(starts))
