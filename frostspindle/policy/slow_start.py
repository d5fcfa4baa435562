"""Slow start: budgets of work for engines that are warming up."""

from __future__ import annotations

import math

from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.request_state import RequestState

# Fraction of the budget that is used: with a permanent share per coordinator, and where coordinators take turns.
SLOW_START_SAFETY = (0.75, 0.5)
ESTIMATE_SAFETY = 1.3  # requests count for this multiple of their estimated cost
CAPACITY_SAFETY = 0.85  # fraction of an engine's cores that the budget assumes
COORDINATORS_PER_SHARE = 2.2  # coordinators of a turn per share, as they are not expected to send all at once
DENIED_WORK_DECAY = 0.9
MIN_DENIED_WORK_MS = 1.0


class SlowStart:
    """Limits the work sent to engines in slow start within any window of `slow_start_window_ms`."""

    def __init__(self, state: PolicyState, estimates: Estimates) -> None:
        self._state = state
        self._estimates = estimates

    def allows(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Return whether this share of the engine's budget can take the request; record the work it denies."""
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
        """Return the work left in this coordinator's share of an engine's budget; -inf outside its turn.

        If shares are smaller than one request, coordinators take turns: several share one window, and a single one
        uses the next.
        """
        settings = self._state.settings
        budget_ms = self.budget_ms(engine, now)
        sharers = settings.coordinators // settings.workers  # workers share by leases
        inherited_ratio = 1.0  # fraction of the budget that a predecessor may have spent
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
        """Return the work in ms that all coordinators together may send to an engine in one window."""
        settings = self._state.settings
        age_ms = max(0.0, now - engine.entry.since_ms)
        # Assumed to grow with the square of the age, because engines do not report their warm-up.
        warm_ratio = (age_ms / settings.slow_start_duration_ms) ** 2
        capacity = settings.slow_start_capacity + (1.0 - settings.slow_start_capacity) * warm_ratio
        cores = capacity * CAPACITY_SAFETY * engine.cores
        safety = SLOW_START_SAFETY[self._state.fractional_share]
        return safety * settings.slow_start_overload_ratio * cores * settings.slow_start_window_ms

    def work_ms(self, request: RequestState) -> float:
        """Return the work in ms for which a request counts."""
        if request.cost_estimate_ms > 0:
            return ESTIMATE_SAFETY * request.cost_ms
        return ESTIMATE_SAFETY * max(request.cost_ms, self._estimates.mean_costs_ms[request.cls])

    def needs(self, now: float) -> dict[int, tuple[float, float]]:
        """Return the fractions of the budget spent in the window and recently denied, by engine in slow start."""
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
        """Update the engines in slow start with budget left here; all of them if there are at most `limit`."""
        engines = self._state.slow_start_engines
        self._state.slow_start_eligible = [e for e in engines if len(engines) <= limit or self.remaining_ms(e, now) > 0]

    def _current_turn(
        self, engine: EngineState, budget_ms: float, sharers: int, now: float
    ) -> tuple[float, float] | None:
        """Return how many coordinators share the engine's current turn, and the fraction a predecessor may have spent.

        Return None if it is not this coordinator's turn. The order follows from values that all coordinators know, so
        differing estimates affect only the last position of a turn.
        """
        settings = self._state.settings
        window = int(now / settings.slow_start_window_ms) + engine.id
        turn_size = min(sharers // 2, int(budget_ms / min(self._estimates.mean_costs_ms)))
        position = (window // 2 + settings.number) % sharers
        if position < turn_size:
            return max(1.0, turn_size / COORDINATORS_PER_SHARE), 0.5
        if position < sharers - 1 or not window % 2:
            return None  # the windows of a single coordinator keep heavy requests from waiting until it is warm
        return 1, 1.0
