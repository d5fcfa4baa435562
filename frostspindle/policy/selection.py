"""Engine selection: finds the candidate engines of a request and chooses the best of them."""

from __future__ import annotations

import math

from frostspindle.policy.admission import EngineCapacity
from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.indexes import sample_if_over
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.request_state import RequestState
from frostspindle.policy.retries import RetryPolicy
from frostspindle.policy.settings import Idempotency
from frostspindle.policy.slow_start import SlowStart

SAMPLE_SIZE = 12  # engines considered for one request
MAX_UNSAMPLED = 48  # up to this many engines in slow start, or with idle connections, are all added to the sample
MIN_JITTER = 0.95  # minimum of the random factor that breaks near-ties
JITTER_RANGE = 0.1
AVOIDED_FACTOR = 4.0  # for engines at which an attempt of the request has failed
SLOW_START_FACTOR = 0.5
CACHED_FACTOR = 0.8
LOAD_CONFLICT_FACTOR = 4.0  # for each load at the engine that blocks the request or competes with it
BLOCKED_FACTOR = 1.3  # for each request at the engine that the load would block
PENALTY_SCALE = 10.0  # converts penalties to time: 10% more time costs a request about 1% of its weight
SMALLEST_BAND = 3
PRIORITY_WEIGHT_RATE = 0.02


class EngineSelector:
    """Chooses the engine with the least expected completion time among those allowed for a request."""

    def __init__(
        self,
        state: PolicyState,
        estimates: Estimates,
        capacity: EngineCapacity,
        slow_start: SlowStart,
        retries: RetryPolicy,
    ) -> None:
        self._state = state
        self._estimates = estimates
        self._capacity = capacity
        self._slow_start = slow_start
        self._retries = retries
        self._mean_priority_weight = min(c.priority_weight for c in state.settings.classes)

    def record_arrival(self, request: RequestState) -> None:
        """Update the mean priority weight, which scales penalties."""
        weight = request.class_settings.priority_weight
        self._mean_priority_weight += PRIORITY_WEIGHT_RATE * (weight - self._mean_priority_weight)

    def candidates(self, request: RequestState, now: float) -> list[EngineState]:
        """Return the engines to consider for a request.

        If there are more than SAMPLE_SIZE, return a random sample, plus engines in slow start, because this coordinator
        seldom has a turn there, and engines with an idle connection.
        """
        state = self._state
        step, first = self._engine_partition(request, now)
        loaded_engines = state.running_loads.counts_in(request.lane)
        eligible = state.ranked_engines.select(step, first, loaded_engines)
        if len(eligible) <= SAMPLE_SIZE:
            return eligible
        sampled = state.random.sample(eligible, SAMPLE_SIZE)
        extra = [
            e
            for e in sample_if_over(state.slow_start_eligible, MAX_UNSAMPLED, SAMPLE_SIZE, state.random)
            if e.in_slow_start(now)
        ]
        extra += [
            e
            for e in state.idle_connections.most_recent(MAX_UNSAMPLED, 2 * SAMPLE_SIZE)
            if e.connections.has_open(now, 0)
        ]
        if not extra:
            return sampled
        return sampled + state.ranked_engines.select_from(extra, step, first, loaded_engines)

    def choose(self, request: RequestState, engines: list[EngineState], now: float) -> EngineState | None:
        """Return the best engine allowed for the request, or None. Near-ties are broken at random."""
        if not self._may_start_attempt(request, now):
            return None
        state = self._state
        settings = state.settings
        capacity = self._capacity
        threads = request.class_settings.threads
        wanted_mb = self._estimates.desired_memory_mb(request)
        scale = settings.coordinators if state.fractional_share and settings.load_report_columns else 1
        any_in_slow_start = state.slow_start_engines
        next_random = state.random.random
        best = None
        best_score = math.inf
        for engine in engines:
            # Fast path: while requests wait, most engines are full. `_may_use` would reject them too, at more cost.
            is_full = engine.attempts and engine.thread_limit - engine.threads < threads and not engine.ejected
            if is_full and not (any_in_slow_start and engine.in_slow_start(now)):
                continue
            if not self._may_use(request, engine, now):
                continue
            other_threads, other_memory = capacity.other_load(engine, now)
            grant_mb = min(wanted_mb, settings.max_grant_ratio * engine.memory_mb)
            if not capacity.has_memory(engine, grant_mb, other_memory):
                continue
            busy_threads = engine.threads + engine.peer_threads + threads + other_threads
            busy_ratio = busy_threads / max(engine.thread_limit * scale, threads)
            score = engine.slowdown * (1.0 + busy_ratio) * (MIN_JITTER + JITTER_RANGE * next_random())
            score = self._weighted_score(score, request, engine, now)
            if score < best_score:
                best = engine
                best_score = score
        return best

    def _weighted_score(self, score: float, request: RequestState, engine: EngineState, now: float) -> float:
        """Return the score, an expected time, multiplied by the preference factors of the engine."""
        settings = self._state.settings
        if engine.id in request.avoided_engines:
            score *= AVOIDED_FACTOR
        if engine.in_slow_start(now):
            score *= SLOW_START_FACTOR
        if request.group >= 0:
            score *= self._group_factor(request, engine)
        if settings.handshake_penalty > 0 or settings.cross_zone_penalty > 0:
            score *= self._penalty_factor(request, engine, now)
        return score

    def _may_start_attempt(self, request: RequestState, now: float) -> bool:
        if request.finished or len(request.attempts) >= self._state.settings.max_attempts:
            return False
        if not request.attempts:
            return True
        return not request.running_attempts and self._retries.budget_allows(now)

    def _may_use(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Return whether the engine is allowed for the request by rules, ejection and thread limit; ignores memory."""
        class_settings = request.class_settings
        entry = engine.entry
        if (
            not engine.ready
            or (engine.withheld_until_ms and now < engine.withheld_until_ms.get(request.cls, 0.0))
            or (class_settings.only_kinds is not None and entry.kind not in class_settings.only_kinds)
            or (class_settings.only_zones is not None and entry.zone not in class_settings.only_zones)
            or (request.attempts and not self._retries.allows_resend(request, engine, now))
            or (engine.in_slow_start(now) and not self._slow_start.allows(request, engine, now))
        ):
            return False
        if engine.ejected:
            return self._may_test_half_open(request, engine, now)
        return not engine.attempts or engine.thread_limit - engine.threads >= class_settings.threads

    def _may_test_half_open(self, request: RequestState, engine: EngineState, now: float) -> bool:
        """Return whether the request may be the single small request that tests a half-open engine."""
        is_small = self._estimates.band(request.cost_ms) == SMALLEST_BAND
        if not is_small or request.class_settings.idempotency == Idempotency.NON_IDEMPOTENT:
            return False
        return now >= engine.half_open_at_ms and not engine.attempts and not request.attempts

    def _penalty_factor(self, request: RequestState, engine: EngineState, now: float) -> float:
        penalty = self._penalty(engine, now)
        relative_weight = PENALTY_SCALE * penalty * self._mean_priority_weight / request.class_settings.priority_weight
        return 1.0 + relative_weight

    def _penalty(self, engine: EngineState, now: float) -> float:
        """Return the deductions for a new connection and for another zone.

        Where a connection is open, the zone deduction falls as load rises: a constant one overloads one zone's engines.
        """
        state = self._state
        settings = state.settings
        needs_connection = settings.handshake_penalty > 0 and not engine.connections.has_open(now, len(engine.attempts))
        free_ratio = max(0.0, 2.0 - 2.0 * state.threads / max(1.0, state.thread_limit_sum))
        zone_penalty = (engine.entry.zone != settings.zone) * settings.cross_zone_penalty
        return needs_connection * settings.handshake_penalty + zone_penalty * (1.0 if needs_connection else free_ratio)

    def _group_factor(self, request: RequestState, engine: EngineState) -> float:
        """Prefer engines that have the table group cached, and separate loads from the requests that they block."""
        state = self._state
        class_settings = request.class_settings
        factor = CACHED_FACTOR if request.group in engine.cached_groups else 1.0
        if class_settings.is_load or class_settings.blocked_by_loads:
            factor *= LOAD_CONFLICT_FACTOR ** state.running_loads.count_of(request.group, engine.id)
        if class_settings.is_load:
            for _ in range(state.blocked_requests.count_of(request.group, engine.id)):
                factor *= BLOCKED_FACTOR
        return factor

    def _engine_partition(self, request: RequestState, now: float) -> tuple[int, int]:
        """Return step and first index of this coordinator's engines for an ordered load; (1, 0) selects all engines.

        A waiting load blocks the queue of its key, so each coordinator uses separate engines for ordered loads. While
        any engine is in slow start, all engines are allowed.
        """
        state = self._state
        coordinators = state.settings.coordinators
        if request.lane < 0 or len(state.usable_engines) < coordinators or coordinators == 1:
            return 1, 0
        if any(engine.in_slow_start(now) for engine in state.slow_start_engines):
            return 1, 0
        return coordinators, (state.settings.number - request.lane) % coordinators
