"""The engines that a controller knows: changes by the endpoint list, and a regular survey of all of them."""

from __future__ import annotations

import math

from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.events import EndpointListKind, EndpointListUpdated, EngineEntry, Health
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.waiting_requests import WaitingRequests

REFRESH_INTERVAL_MS = 500.0  # how often all engines are surveyed
ABSENT_ENGINE_KEPT_MS = (
    30_000.0  # an engine gone for so long, with nothing running, is forgotten: new ids come for ever
)
MEDIAN_RATE = 0.05  # how far a survey draws each engine's slowdown to the median


class EngineRegistry:
    """Keeps the state of each engine, and what follows from all of them together."""

    def __init__(self, state: PolicyState, waiting: WaitingRequests) -> None:
        self._state = state
        self._waiting = waiting
        self._refreshed_at_ms = -math.inf

    def apply_list(self, event: EndpointListUpdated, now: float) -> None:
        """Take in an endpoint list or a change of it, and survey the engines."""
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            engines = self._state.engines
            for engine_id in engines.keys() - {entry.engine for entry in event.entries}:
                engines[engine_id].ready = False
        for entry in event.entries:
            self._apply_entry(entry, now)
        self.refresh(now)

    def refresh_if_due(self, now: float) -> None:
        """Survey the engines if the last survey is SURVEY_MS old."""
        if now - self._refreshed_at_ms >= REFRESH_INTERVAL_MS:
            self.refresh(now)

    def refresh(self, now: float) -> None:
        """Find the engines that may be used, the sum of our thread limits there, and the median slowdown."""
        state = self._state
        self._refreshed_at_ms = now
        self._waiting.invalidate_values()
        self._remove_absent(now)
        engines = state.engines.values()
        state.usable_engines = [e for e in engines if e.ready and (not e.ejected or now >= e.half_open_at_ms)]
        state.ranked_engines.set(state.usable_engines)
        state.slow_start_engines = [e for e in state.usable_engines if e.entry.since_ms > 0 and e.in_slow_start(now)]
        state.slow_start_eligible = state.slow_start_engines
        state.thread_limit_sum = sum(engine.thread_limit for engine in state.usable_engines)
        slowdowns = sorted(engine.slowdown for engine in engines if engine.ready)
        state.median_slowdown = slowdowns[len(slowdowns) // 2] if slowdowns else 1.0
        for engine in engines:
            engine.slowdown += MEDIAN_RATE * (state.median_slowdown - engine.slowdown)

    def _apply_entry(self, entry: EngineEntry, now: float) -> None:
        state = self._state
        engine = state.engines.get(entry.engine)
        if engine is None:
            engine = EngineState(entry, state.settings, state.idle_connections)
            state.engines[entry.engine] = engine
        elif entry.since_ms > engine.entry.since_ms:
            engine.reset(engine.settings)
        engine.entry = entry
        engine.ready = entry.health == Health.READY
        engine.listed_at_ms = now

    def _remove_absent(self, now: float) -> None:
        """Forget engines that are long gone; order the others by id, as all coordinators do."""
        self._state.engines = {
            engine_id: engine
            for engine_id, engine in sorted(self._state.engines.items())
            if engine.entry.health != Health.GONE
            or engine.attempts
            or now - engine.listed_at_ms < ABSENT_ENGINE_KEPT_MS
        }
