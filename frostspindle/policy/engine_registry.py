"""Registry of the engines that a controller knows: endpoint list updates and aggregates over all engines."""

from __future__ import annotations

import math

from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.events import EndpointListKind, EndpointListUpdated, EngineEntry, Health
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.waiting_requests import WaitingRequests

REFRESH_INTERVAL_MS = 500.0  # interval of the refresh of all engines
ABSENT_ENGINE_KEPT_MS = 30_000.0  # absent idle engines are then removed, because new ids keep arriving
MEDIAN_RATE = 0.05  # rate at which a refresh moves each engine's slowdown towards the median


class EngineRegistry:
    """Holds the state of each engine and the aggregates over all engines."""

    def __init__(self, state: PolicyState, waiting: WaitingRequests) -> None:
        self._state = state
        self._waiting = waiting
        self._refreshed_at_ms = -math.inf

    def apply_list(self, event: EndpointListUpdated, now: float) -> None:
        """Apply an endpoint list or an update of it, and refresh the aggregates."""
        if event.kind in (EndpointListKind.FULL, EndpointListKind.CACHED):
            engines = self._state.engines
            for engine_id in engines.keys() - {entry.engine for entry in event.entries}:
                engines[engine_id].ready = False
        for entry in event.entries:
            self._apply_entry(entry, now)
        self.refresh(now)

    def refresh_if_due(self, now: float) -> None:
        """Refresh the aggregates if the last refresh is at least REFRESH_INTERVAL_MS old."""
        if now - self._refreshed_at_ms >= REFRESH_INTERVAL_MS:
            self.refresh(now)

    def refresh(self, now: float) -> None:
        """Recompute the usable engines, the sum of their thread limits and the median slowdown."""
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
        """Remove engines that have long been absent; order the others by id, as all coordinators do."""
        self._state.engines = {
            engine_id: engine
            for engine_id, engine in sorted(self._state.engines.items())
            if engine.entry.health != Health.GONE
            or engine.attempts
            or now - engine.listed_at_ms < ABSENT_ENGINE_KEPT_MS
        }
