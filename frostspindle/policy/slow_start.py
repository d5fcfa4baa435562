"""Slow start: how much work may be sent to engines that are warming up."""

from __future__ import annotations

import math

from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.request_state import RequestState

# Part of the budget that is used: where every coordinator has its share at all times, and where a few take turns.
SLOW_START_SAFETY = (0.75, 0.5)
ESTIMATE_SAFETY = 1.3  # requests count for so many times their estimated cost
CAPACITY_SAFETY = 0.85  # part of an engine's cores that the budget counts on
COORDINATORS_PER_SHARE = 2.2  # of a few that share a turn, so many are not expected to send at once
DENIED_WORK_DECAY = 0.9
MIN_DENIED_WORK_MS = 1.0


class SlowStart:
    """Budgets of work for engines in slow start, for each window of the settings."""

    def __init__(self, state: PolicyState, estimates: Estimates) -> None:
        self._state = state
        self._estimates = estimates

    def allows(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Tell whether our share of the engine's budget has capacity for the request; note what it has not."""
        settings = self._state.settings
        work_ms = self.work_ms(request)
        remaining_ms = self.remaining_ms(engine, now)
        if remaining_ms == -math.inf:
            return False
        if request.attempts and self._state.fractional_share and settings.coordinators // settings.workers > 1:
            return False
        if work_ms > remaining_ms:
            engine.denied_work_ms += work_ms
        return work_ms <= remaining_ms

    def remaining_ms(self, engine: EngineState, now: float) -> float:
        """Return the work left of our share of an engine's budget, -inf where it is not our turn.

        Where a share is less than one request, a few coordinators have a turn in one window, and one in the next.
        """
        settings = self._state.settings
        budget_ms = self.budget_ms(engine, now)
        sharers = settings.coordinators // settings.workers  # workers have leases
        inherited_ratio = 1.0  # part of the budget that one before us may have spent
        window_start_ms = now - settings.slow_start_window_ms
        if self._state.fractional_share and sharers > 1:
            current_turn = self._current_turn(engine, budget_ms, sharers, now)
            if current_turn is None:
                return -math.inf
            sharers, inherited_ratio = current_turn
        was_restarted = (
            settings.workers == 1 and max(window_start_ms, engine.entry.since_ms) < self._state.started_at_ms
        )
        share = engine.slow_start_share - inherited_ratio * was_restarted
        return budget_ms / sharers * share - engine.slow_start_sends.total(window_start_ms)

    def budget_ms(self, engine: EngineState, now: float) -> float:
        """Return the work that all coordinators together may send to an engine in one window."""
        settings = self._state.settings
        age_ms = max(0.0, now - engine.entry.since_ms)
        warm_ratio = (age_ms / settings.slow_start_duration_ms) ** 2  # assumed: no engine reports its ramp
        capacity = settings.slow_start_capacity + (1.0 - settings.slow_start_capacity) * warm_ratio
        cores = capacity * CAPACITY_SAFETY * engine.cores
        safety = SLOW_START_SAFETY[self._state.fractional_share]
        return safety * settings.slow_start_overload_ratio * cores * settings.slow_start_window_ms

    def work_ms(self, request: RequestState) -> float:
        """Return the work for which a request counts."""
        if request.cost_estimate_ms > 0:
            return ESTIMATE_SAFETY * request.cost_ms
        return ESTIMATE_SAFETY * max(request.cost_ms, self._estimates.mean_costs_ms[request.cls])

    def needs(self, now: float) -> dict[int, tuple[float, float]]:
        """Return, by engine in slow start, the parts of the budget spent in the window and lately denied."""
        settings = self._state.settings
        needs = {}
        for engine in self._state.engines.values():
            if not engine.ready or not engine.in_slow_start(now):
                continue
            engine.denied_work_ms *= DENIED_WORK_DECAY if engine.denied_work_ms > MIN_DENIED_WORK_MS else 0.0
            budget_ms = self.budget_ms(engine, now) * settings.workers / settings.coordinators or 1.0
            spent_ms = engine.slow_start_sends.total(now - settings.slow_start_window_ms)
            needs[engine.id] = (spent_ms / budget_ms, engine.denied_work_ms / budget_ms)
        return needs

    def update_eligible(self, now: float, limit: int) -> None:
        """List the engines in slow start that have budget left for us; all of them if there are at most `most`."""
        engines = self._state.slow_start_engines
        self._state.slow_start_eligible = [e for e in engines if len(engines) <= limit or self.remaining_ms(e, now) > 0]

    def _current_turn(
        self, engine: EngineState, budget_ms: float, sharers: int, now: float
    ) -> tuple[float, float] | None:
        """Return how many share the engine's present turn, and the part that is inherited; None if it is not ours.

        It follows from what all know alike, so that estimates shift only the last of the few.
        """
        settings = self._state.settings
        window = int(now / settings.slow_start_window_ms) + engine.id
        turn_size = min(sharers // 2, int(budget_ms / min(self._estimates.mean_costs_ms)))
        position = (window // 2 + settings.number) % sharers
        if position < turn_size:
            return max(1.0, turn_size / COORDINATORS_PER_SHARE), 0.5
        if position < sharers - 1 or not window % 2:
            return None  # with the few only, all heavy requests would wait until it is warm
        return 1, 1.0
