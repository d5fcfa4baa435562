"""Admission control: tenant quotas, the capacity of each engine, and adaptive concurrency limits."""

from __future__ import annotations

import math

from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.request_state import AttemptState, RequestState
from frostspindle.policy.statistics import TokenBuckets

MIN_QUOTA_BURST = 2.0  # minimum bucket capacity in requests, for small shares of a quota

MAX_THREADS_PER_CORE = 3.0  # upper bound of an engine's thread limit
GROW_BELOW_SLOWDOWN = 1.8  # a limit grows while recent latency is below this multiple of the best
CUT_ABOVE_SLOWDOWN = 2.8  # a limit is cut when recent latency is above this multiple of the best
GROW_RATIO = 0.1  # fraction of a request's threads by which all coordinators together raise a limit per response
CUT_FACTOR = 0.85
MIN_CUT_INTERVAL_MS = 500.0
MIN_START_RATIO = 0.75  # fraction of its initial value that a limit keeps while all engines are equally slow
SHARED_SLOWDOWN_RATIO = 1.5  # a slowdown below this multiple of the median counts as shared by all engines
MAX_LATENCY_RATIO = 10.0
MIN_LATENCY_RATIO = 0.05
POOLED_LATENCY_RATE = 0.1
BEST_LATENCY_QUANTILE = 0.1
MIN_BEST_STEP = 0.05
FIRST_BEST_STEP = 0.5
MIN_SLOWDOWN_RATE = 0.05
SLOWDOWN_RATE_RANGE = 0.25  # added to the rate for a request of twice the largest mean cost

MAX_LIMIT_FACTOR = 3.0  # the limit over all engines starts at this multiple of the sum of shares
# Below this reported memory use the limit over all engines grows, up to MAX_LIMIT_FACTOR times at 0.
WIDENED_BELOW_MEMORY_RATIO = 0.5
SMALL_BAND = 2  # requests of this band or higher may use up to twice that limit

MAX_MEMORY_FILL_RATIO = 0.95  # fraction of an engine's memory that grants may fill
MEMORY_PER_THREAD_LIMIT = 0.6  # fraction of memory per thread and core of the limit if load reports omit memory
MIN_USED_GRANT_RATIO = 0.4
USED_GRANT_RATE = 0.05
REPORT_DECAY_MS = 8000.0  # the weight of a load report falls to about a third (1/e) in this time
MEAN_RATE = 0.1
THREADS_PER_QUEUED = 2.0  # threads for which a queued request in a load report counts


class TenantQuotas:
    """Token buckets for this coordinator's share of each tenant's quota."""

    def __init__(self, state: PolicyState) -> None:
        settings = state.settings
        self._state = state
        self.buckets = TokenBuckets(quota / settings.coordinators for quota in settings.tenant_quotas_per_s)

    def is_over_quota(self, request: RequestState, now: float) -> bool:
        """Take a token of the request's tenant; return True if none was left."""
        quotas = self._state.settings.tenant_quotas_per_s
        tenant = request.tenant
        if tenant >= len(quotas) or not quotas[tenant] > 0:
            return False
        return not self.buckets.take(tenant, now, quotas, self._state.settings.coordinators, MIN_QUOTA_BURST)


class EngineCapacity:
    """Tracks the load of others at each engine from load reports, and checks memory for new requests."""

    def __init__(self, state: PolicyState) -> None:
        self._state = state
        self.mean_other_threads = 0.0  # over the load reports of all engines
        self.mean_other_memory_ratio = 0.0
        self.used_grant_ratio = 1.0  # mean fraction of a grant that requests use

    def add_load_report(self, engine: EngineState, report: tuple[float, ...], reported_at_ms: float) -> None:
        """Record an engine's load report, less the load of this process and its peer workers there."""
        state = self._state
        values = dict(zip(state.settings.load_report_columns, report, strict=False))
        busy_threads = values.get("load_share", 0.0) * engine.cores + THREADS_PER_QUEUED * values.get("depth", 0.0)
        own_threads = len(engine.attempts) + engine.peer_threads
        threads = values.get("concurrent", busy_threads * state.fractional_share)
        engine.other_threads = max(0.0, threads - own_threads)
        own_memory_ratio = (engine.granted_mb + engine.peer_memory_mb) / max(1.0, engine.memory_mb)
        engine.other_memory_ratio = max(0.0, values.get("x0", 0.0) - own_memory_ratio)
        engine.load_report_at_ms = reported_at_ms
        self.mean_other_threads += MEAN_RATE * (engine.other_threads - self.mean_other_threads)
        self.mean_other_memory_ratio += MEAN_RATE * (engine.other_memory_ratio - self.mean_other_memory_ratio)

    def learn_memory_use(self, attempt: AttemptState, used_mb: float) -> None:
        """Update the mean fraction of grants in use from one attempt; a `used_mb` of 0 means unknown."""
        if self._state.memory_is_paged and attempt.grant_mb > 0 and used_mb > 0:
            used_ratio = max(MIN_USED_GRANT_RATIO, min(1.0, used_mb / attempt.grant_mb))
            self.used_grant_ratio += USED_GRANT_RATE * (used_ratio - self.used_grant_ratio)

    def other_load(self, engine: EngineState, now: float) -> tuple[float, float]:
        """Return the threads and the memory fraction that others use at an engine.

        The weight of its last load report decays with age in favour of the mean over all engines.
        """
        report_weight = math.exp((engine.load_report_at_ms - now) / REPORT_DECAY_MS)
        mean_threads = self.mean_other_threads
        mean_memory = self.mean_other_memory_ratio
        return (
            mean_threads + report_weight * (engine.other_threads - mean_threads),
            mean_memory + report_weight * (engine.other_memory_ratio - mean_memory),
        )

    def has_memory(self, engine: EngineState, grant_mb: float, other_memory_ratio: float) -> bool:
        """Return whether the engine has enough memory for a grant, given what others use."""
        state = self._state
        if engine.memory_mb <= 0 or not state.threads or engine.ejected:
            return True
        free_ratio = MAX_MEMORY_FILL_RATIO / self.used_grant_ratio - other_memory_ratio
        if not state.reports_memory:
            free_ratio = self._unreported_free_ratio(engine)
        return engine.granted_mb + engine.peer_memory_mb + grant_mb <= engine.memory_mb * free_ratio

    def _unreported_free_ratio(self, engine: EngineState) -> float:
        """Return the fraction of memory available to this coordinator, in proportion to the engine's thread limit."""
        if not engine.attempts:
            return math.inf
        by_threads = MEMORY_PER_THREAD_LIMIT * engine.thread_limit / engine.cores
        return max(1.0 / self._state.settings.coordinators, min(MAX_MEMORY_FILL_RATIO, by_threads))


class ConcurrencyLimiter:
    """Thread limits over all engines and for each engine that adapt to latency (AIMD)."""

    def __init__(self, state: PolicyState, estimates: Estimates, capacity: EngineCapacity) -> None:
        self._state = state
        self._estimates = estimates
        self._capacity = capacity
        self._depends_on_memory = state.memory_is_paged and state.reports_memory
        self.limit_factor = 1.0 if state.memory_is_paged else MAX_LIMIT_FACTOR  # times the sum of shares
        self._pooled_latency_ratio = 1.0
        self._cut_at_ms = -math.inf
        self._answer_counts = [0] * len(state.settings.classes)

    def reserve(self, attempt: AttemptState) -> None:
        """Add the load of an attempt that is being sent."""
        self._add_load(attempt, 1)

    def release(self, attempt: AttemptState) -> None:
        """Remove the load of an attempt that has ended."""
        self._add_load(attempt, -1)

    def free_threads(self, limits: float = 1.0) -> float:
        """Return the threads left under `limits` times the limit over all engines.

        Infinite if no attempt runs, so that one always may, or if the limits of the single engines suffice.
        """
        state = self._state
        if not state.fractional_share or not state.threads:
            return math.inf
        free_memory = 0.0
        if self._depends_on_memory:
            capacity = self._capacity
            used_memory = capacity.mean_other_memory_ratio * capacity.used_grant_ratio
            free_memory = max(0.0, 1.0 - used_memory / WIDENED_BELOW_MEMORY_RATIO)
        limit = limits * (1.0 + (MAX_LIMIT_FACTOR - 1.0) * free_memory) * self.limit_factor * state.thread_limit_sum
        return limit - state.threads

    def fits(self, request: RequestState) -> bool:
        """Return whether the limit over all engines admits the request; small ones may use up to twice the limit."""
        if not self._state.fractional_share:
            return True
        remaining_ms = request.cost_ms * (1.0 - request.done_ratio)
        is_small = self._estimates.band(remaining_ms) >= SMALL_BAND
        return self.free_threads(2.0 if is_small else 1.0) >= request.class_settings.threads

    def learn_latency(
        self, engine: EngineState, request: RequestState, cost_ms: float, elapsed_ms: float, now: float
    ) -> None:
        """Raise the limits while latency stays near its best value, and cut them when it rises."""
        threads = request.class_settings.threads
        latency_ratio = max(MIN_LATENCY_RATIO, elapsed_ms * threads / max(1.0, cost_ms))
        best_ratio = self._learn_best_ratio(request.cls, latency_ratio)
        slowdown = min(MAX_LATENCY_RATIO, latency_ratio / best_ratio)
        self._adjust_overall_limit(slowdown, threads, now)
        relative_cost = min(1.0, cost_ms / (2.0 * max(self._estimates.mean_costs_ms)))
        engine.slowdown += (MIN_SLOWDOWN_RATE + SLOWDOWN_RATE_RANGE * relative_cost) * (slowdown - engine.slowdown)
        self._adjust_engine_limit(engine, threads, now)

    def cut(self, engine: EngineState, now: float) -> None:
        """Cut an engine's thread limit, at most once per MIN_CUT_INTERVAL_MS."""
        if now - engine.limit_cut_at_ms < MIN_CUT_INTERVAL_MS:
            return
        engine.limit_cut_at_ms = now
        # If all engines are equally slow, fewer threads do not help, as the cause is shared: keep most of the limit.
        is_shared_slowdown = engine.slowdown < SHARED_SLOWDOWN_RATIO * self._state.median_slowdown
        floor_ratio = MIN_START_RATIO if is_shared_slowdown else 0.0
        floor = max(min(1.0, engine.thread_share), floor_ratio * engine.thread_share)
        engine.thread_limit = max(min(floor, engine.thread_limit), engine.thread_limit * CUT_FACTOR)

    def _learn_best_ratio(self, cls: int, latency_ratio: float) -> float:
        """Update and return the tenth percentile of a class's latency ratios, which starts at 1."""
        self._answer_counts[cls] += 1
        step = max(MIN_BEST_STEP, FIRST_BEST_STEP / self._answer_counts[cls])
        best_ratios = self._state.best_latency_ratios
        is_above = latency_ratio > best_ratios[cls]
        best_ratios[cls] *= math.exp(step * (BEST_LATENCY_QUANTILE if is_above else BEST_LATENCY_QUANTILE - 1.0))
        return best_ratios[cls]

    def _adjust_overall_limit(self, slowdown: float, threads: int, now: float) -> None:
        self._pooled_latency_ratio += POOLED_LATENCY_RATE * (slowdown - self._pooled_latency_ratio)
        if self._pooled_latency_ratio > CUT_ABOVE_SLOWDOWN and now - self._cut_at_ms >= MIN_CUT_INTERVAL_MS:
            self._cut_at_ms = now
            self.limit_factor = max(MIN_START_RATIO, self.limit_factor * CUT_FACTOR)
        elif self._pooled_latency_ratio < GROW_BELOW_SLOWDOWN and self.free_threads() < 2 * threads:
            self.limit_factor += GROW_RATIO * threads / max(1.0, self._state.thread_limit_sum)

    def _adjust_engine_limit(self, engine: EngineState, threads: int, now: float) -> None:
        if engine.slowdown > CUT_ABOVE_SLOWDOWN:
            self.cut(engine, now)
        elif engine.slowdown < GROW_BELOW_SLOWDOWN and engine.thread_limit - engine.threads < 2 * threads:
            step = GROW_RATIO * threads / self._state.settings.coordinators
            engine.thread_limit = min(MAX_THREADS_PER_CORE * engine.cores, engine.thread_limit + step)

    def _add_load(self, attempt: AttemptState, sign: int) -> None:
        state = self._state
        engine = attempt.engine
        request = attempt.request
        class_settings = request.class_settings
        threads = sign * class_settings.threads
        engine.threads += threads
        engine.granted_mb += sign * attempt.grant_mb
        state.threads += threads
        if class_settings.is_load:
            state.running_loads.add(request.group, engine.id, sign)
        if class_settings.blocked_by_loads:
            state.blocked_requests.add(request.group, engine.id, sign)
