"""Admission control: tenant quotas, the concurrency limit over all engines, and the capacity of each."""

from __future__ import annotations

import math

from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.request_state import AttemptState, RequestState
from frostspindle.policy.statistics import TokenBuckets

MIN_QUOTA_BURST = 2.0  # requests that a bucket holds at least: for a small part of a quota

MAX_THREADS_PER_CORE = 3.0  # of an engine's thread limit
GROW_BELOW_SLOWDOWN = 1.8  # recent latency over the best below which a limit grows
CUT_ABOVE_SLOWDOWN = 2.8  # and above which it is cut
GROW_RATIO = 0.1  # share of an answered request by which all coordinators together raise a limit
CUT_FACTOR = 0.85
MIN_CUT_INTERVAL_MS = 500.0
MIN_START_RATIO = 0.75  # part of its start that a limit keeps where all engines are slow alike
SHARED_SLOWDOWN_RATIO = 1.5  # an engine is slow like the others below so many times the median
MAX_LATENCY_RATIO = 10.0
MIN_LATENCY_RATIO = 0.05
POOLED_LATENCY_RATE = 0.1
BEST_LATENCY_QUANTILE = 0.1
MIN_BEST_STEP = 0.05
FIRST_BEST_STEP = 0.5
MIN_SLOWDOWN_RATE = 0.05
SLOWDOWN_RATE_RANGE = 0.25  # added for a request of twice the largest mean cost

MAX_LIMIT_FACTOR = 3.0  # the limit over all engines starts at so many of our shares
WIDENED_BELOW_MEMORY_RATIO = 0.5  # up to this part of memory in use, as reported, that limit is wider, WIDE at 0
SMALL_BAND = 2  # requests from this band on pass that limit by up to as much again

MAX_MEMORY_FILL_RATIO = 0.95  # part of an engine's memory that grants may fill
MEMORY_PER_THREAD_LIMIT = 0.6  # part of memory for each thread a core of the limit, where reports tell no memory
MIN_USED_GRANT_RATIO = 0.4
USED_GRANT_RATE = 0.05
REPORT_DECAY_MS = 8000.0  # trust in a load report falls to a third in this time
MEAN_RATE = 0.1
THREADS_PER_QUEUED = 2.0  # what a queued request counts for in a load report


class TenantQuotas:
    """Token buckets of our share of each tenant's quota."""

    def __init__(self, state: PolicyState) -> None:
        settings = state.settings
        self._state = state
        self.buckets = TokenBuckets(quota / settings.coordinators for quota in settings.tenant_quotas_per_s)

    def is_over_quota(self, request: RequestState, now: float) -> bool:
        """Take a token of the request's tenant; tell whether there was none."""
        quotas = self._state.settings.tenant_quotas_per_s
        tenant = request.tenant
        if tenant >= len(quotas) or not quotas[tenant] > 0:
            return False
        return not self.buckets.take(tenant, now, quotas, self._state.settings.coordinators, MIN_QUOTA_BURST)


class EngineCapacity:
    """What others have at the engines by load reports, and whether an engine has memory for a request."""

    def __init__(self, state: PolicyState) -> None:
        self._state = state
        self.mean_other_threads = 0.0  # of all engines' reports
        self.mean_other_memory_ratio = 0.0
        self.used_grant_ratio = 1.0  # part of a grant that requests use

    def add_load_report(self, engine: EngineState, report: tuple[float, ...], reported_at_ms: float) -> None:
        """Take in an engine's load report, less what we and our peer workers have there."""
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
        """Learn what part of its grant an attempt has used; 0 MB: not known."""
        if self._state.memory_is_paged and attempt.grant_mb > 0 and used_mb > 0:
            used_ratio = max(MIN_USED_GRANT_RATIO, min(1.0, used_mb / attempt.grant_mb))
            self.used_grant_ratio += USED_GRANT_RATE * (used_ratio - self.used_grant_ratio)

    def other_load(self, engine: EngineState, now: float) -> tuple[float, float]:
        """Return threads and part of memory that others have: its report, trusted less with age, else the mean."""
        report_weight = math.exp((engine.load_report_at_ms - now) / REPORT_DECAY_MS)
        mean_threads = self.mean_other_threads
        mean_memory = self.mean_other_memory_ratio
        return (
            mean_threads + report_weight * (engine.other_threads - mean_threads),
            mean_memory + report_weight * (engine.other_memory_ratio - mean_memory),
        )

    def has_memory(self, engine: EngineState, grant_mb: float, other_memory_ratio: float) -> bool:
        """Tell whether the engine has memory for a grant beside what others have there."""
        state = self._state
        if engine.memory_mb <= 0 or not state.threads or engine.ejected:
            return True
        free_ratio = MAX_MEMORY_FILL_RATIO / self.used_grant_ratio - other_memory_ratio
        if not state.reports_memory:
            free_ratio = self._unreported_free_ratio(engine)
        return engine.granted_mb + engine.peer_memory_mb + grant_mb <= engine.memory_mb * free_ratio

    def _unreported_free_ratio(self, engine: EngineState) -> float:
        """Return the part of memory that is ours, in step with the engine's thread limit."""
        if not engine.attempts:
            return math.inf
        by_threads = MEMORY_PER_THREAD_LIMIT * engine.thread_limit / engine.cores
        return max(1.0 / self._state.settings.coordinators, min(MAX_MEMORY_FILL_RATIO, by_threads))


class ConcurrencyLimiter:
    """Limits of threads, over all engines and for each, that follow latency (AIMD)."""

    def __init__(self, state: PolicyState, estimates: Estimates, capacity: EngineCapacity) -> None:
        self._state = state
        self._estimates = estimates
        self._capacity = capacity
        self._depends_on_memory = state.memory_is_paged and state.reports_memory
        self.limit_factor = 1.0 if state.memory_is_paged else MAX_LIMIT_FACTOR  # of the sum of our shares
        self._pooled_latency_ratio = 1.0
        self._cut_at_ms = -math.inf
        self._answer_counts = [0] * len(state.settings.classes)

    def reserve(self, attempt: AttemptState) -> None:
        """Count the load of an attempt that is sent."""
        self._add_load(attempt, 1)

    def release(self, attempt: AttemptState) -> None:
        """Take back the load of an attempt that has ended."""
        self._add_load(attempt, -1)

    def free_threads(self, limits: float = 1.0) -> float:
        """Return the threads left of so many times the limit over all engines; one request may always run."""
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
        """Tell whether the request passes the limit over all engines; small ones do up to twice that limit."""
        if not self._state.fractional_share:
            return True
        remaining_ms = request.cost_ms * (1.0 - request.done_ratio)
        is_small = self._estimates.band(remaining_ms) >= SMALL_BAND
        return self.free_threads(2.0 if is_small else 1.0) >= request.class_settings.threads

    def learn_latency(
        self, engine: EngineState, request: RequestState, cost_ms: float, elapsed_ms: float, now: float
    ) -> None:
        """Widen the limits while latencies stay near their best, cut them as they grow."""
        threads = request.class_settings.threads
        latency_ratio = max(MIN_LATENCY_RATIO, elapsed_ms * threads / max(1.0, cost_ms))
        best_ratio = self._learn_best_ratio(request.cls, latency_ratio)
        slowdown = min(MAX_LATENCY_RATIO, latency_ratio / best_ratio)
        self._adjust_overall_limit(slowdown, threads, now)
        relative_cost = min(1.0, cost_ms / (2.0 * max(self._estimates.mean_costs_ms)))
        engine.slowdown += (MIN_SLOWDOWN_RATE + SLOWDOWN_RATE_RANGE * relative_cost) * (slowdown - engine.slowdown)
        self._adjust_engine_limit(engine, threads, now)

    def cut(self, engine: EngineState, now: float) -> None:
        """Cut an engine's thread limit, not more often than each CUT_EVERY_MS."""
        if now - engine.limit_cut_at_ms < MIN_CUT_INTERVAL_MS:
            return
        engine.limit_cut_at_ms = now
        # All slow alike is a shared cause, which fewer threads do not cure: then keep most of the start.
        is_shared_slowdown = engine.slowdown < SHARED_SLOWDOWN_RATIO * self._state.median_slowdown
        floor_ratio = MIN_START_RATIO if is_shared_slowdown else 0.0
        floor = max(min(1.0, engine.thread_share), floor_ratio * engine.thread_share)
        engine.thread_limit = max(min(floor, engine.thread_limit), engine.thread_limit * CUT_FACTOR)

    def _learn_best_ratio(self, cls: int, latency_ratio: float) -> float:
        """Follow the tenth percentile of a class's latency ratios, from 1 on."""
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
