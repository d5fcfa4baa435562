"""Estimates of the cost and memory of requests, and the priority bands derived from them."""

from __future__ import annotations

import math

from frostspindle.policy.actions import UpdatePriority
from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.request_state import RequestState
from frostspindle.policy.statistics import LogRatioEstimator, SortedWindow

RECENT_COSTS = 400  # number of recent estimates from which the cutoffs between bands are computed
MIN_RECENT_COSTS = 12  # with fewer estimates every request gets DEFAULT_BAND
DEFAULT_BAND = 1
CUTOFF_INTERVAL = 25  # number of new estimates between two computations of the cutoffs
LOW_QUANTILE = 0.5  # of the lowest cutoff (one half, as published)
HIGH_QUANTILE = 0.9925  # of the highest cutoff (the top 0.5 to 1 percent, as published)
BLOCKING_BAND = 2  # minimum band of loads that block other requests
MAX_COST_RATIO = 20.0  # costs are capped at this multiple of the class's mean
COST_SAMPLES = 200  # effective number of samples in a class's mean cost
MEAN_MEMORY_RATE = 0.05
MEAN_MEMORY_RETAINED = 0.95  # 1 - MEAN_MEMORY_RATE
RATIO_SPREAD_RATE = 0.05
RATIO_MAX_STEP = 0.8
RATIO_SAMPLES = 40
DEFAULT_MEMORY_MARGIN = 0.2  # logarithm of the margin if engines do not report the memory used
UNCERTAIN_MEMORY_MARGIN = 0.7  # logarithm of the extra margin for a class without any samples


class Estimates:
    """Corrects clients' estimates by engines' reports, and derives run times, memory grants and priorities."""

    def __init__(self, state: PolicyState) -> None:
        classes = state.settings.classes
        self._state = state
        self._cost_ratios = [_ratio_estimator() for _ in classes]  # indexed by class, like all lists here
        self._memory_ratios = [_ratio_estimator() for _ in classes]
        self.mean_costs_ms = [c.latency_objective_ms * c.threads / 2 for c in classes]
        self._mean_memories_mb = [0.0] * len(classes)
        self._cost_counts = [0] * len(classes)
        self._recent_costs = SortedWindow(RECENT_COSTS)
        self._costs_since_cutoffs = 0
        self._cutoffs: tuple[float, float, float] | None = None

    def add_request(self, request: RequestState) -> None:
        """Estimate a new request, and update the mean cost of its class from its own estimate."""
        if request.cost_estimate_ms > 0:
            self._update_mean_cost(request.cls, self._cost_ms(request))
        self.estimate(request)
        self._add_recent_cost(request.cost_ms)

    def estimate(self, request: RequestState) -> None:
        """Set the request's cost, memory and latency objective from the current estimates."""
        class_settings = request.class_settings
        request.cost_ms = self._cost_ms(request)
        request.memory_mb = self._memory_mb(request)
        objective_ms = (
            class_settings.latency_objective_ms
            + class_settings.objective_stretch * request.cost_ms / class_settings.threads
        )
        request.objective_at_ms = min(request.deadline_at_ms, request.arrived_at_ms + objective_ms)

    def learn(self, request: RequestState, cost_ms: float, memory_mb: float) -> None:
        """Update the estimates from the true cost and memory of a request; a `memory_mb` of 0 means unknown."""
        cls = request.cls
        if request.cost_estimate_ms > 0:
            self._cost_ratios[cls].add(cost_ms / request.cost_estimate_ms)
        else:
            self._update_mean_cost(cls, cost_ms)
        if memory_mb <= 0:
            return
        if request.memory_estimate_mb > 0:
            self._memory_ratios[cls].add(memory_mb / request.memory_estimate_mb)
        mean_mb = self._mean_memories_mb[cls] or memory_mb
        self._mean_memories_mb[cls] = MEAN_MEMORY_RETAINED * mean_mb + MEAN_MEMORY_RATE * memory_mb

    def band(self, remaining_ms: float) -> int:
        """Return the priority band for an amount of remaining work: 0 to 3, 3 for the least work."""
        if self._cutoffs is None:
            return DEFAULT_BAND
        low, middle, high = self._cutoffs
        return (remaining_ms <= low) + (remaining_ms <= middle) + (remaining_ms <= high)

    def run_ms(self, request: RequestState) -> float:
        """Return the expected run time of the request at the median engine."""
        state = self._state
        latency_ratio = max(1.0, state.best_latency_ratios[request.cls] * state.median_slowdown)
        return request.cost_ms / request.class_settings.threads * latency_ratio

    def latency_ratio(self, engine: EngineState, cls: int) -> float:
        """Return the expected latency of a request of the class at the engine, as a multiple of its pure run time."""
        return max(1.0, self._state.best_latency_ratios[cls] * engine.slowdown)

    def desired_memory_mb(self, request: RequestState) -> float:
        """Return the memory to request at any engine, with a safety margin; an engine may grant less."""
        state = self._state
        if not state.settings.grants or request.memory_mb <= 0:
            return 0.0
        margin = DEFAULT_MEMORY_MARGIN
        if state.settings.reports_cost:
            # Few samples widen the margin. It is also wider where engines page, as only memory in use counts there.
            memory_ratio = self._memory_ratios[request.cls]
            uncertainty = UNCERTAIN_MEMORY_MARGIN / math.sqrt(1 + memory_ratio.count)
            margin = (1 + state.memory_is_paged) * memory_ratio.spread + uncertainty
        return request.memory_mb * math.exp(margin)

    def update_priority(self, request: RequestState, sending: bool = False) -> None:
        """Set the band from the remaining work; unless an attempt is being sent, the band can only rise."""
        state = self._state
        band = DEFAULT_BAND
        if state.settings.priorities:
            band = self.band(request.cost_ms * (1.0 - request.done_ratio))
        if self._blocks_others(request):
            band = max(band, BLOCKING_BAND)  # readers or the queue of its key wait for it, so it must not run slowly
        if sending or band > request.priority:
            request.priority = band
            state.actions.append(UpdatePriority(request.number, band, request.grant_mb))

    def _blocks_others(self, request: RequestState) -> bool:
        class_settings = request.class_settings
        if not class_settings.is_load:
            return False
        return class_settings.in_order or any(c.blocked_by_loads for c in self._state.settings.classes)

    def _cost_ms(self, request: RequestState) -> float:
        estimate_ms = request.cost_estimate_ms
        if estimate_ms > 0:
            return max(1.0, estimate_ms * math.exp(self._cost_ratios[request.cls].mean))
        return max(1.0, self.mean_costs_ms[request.cls])

    def _memory_mb(self, request: RequestState) -> float:
        estimate_mb = request.memory_estimate_mb
        if estimate_mb > 0:
            return estimate_mb * math.exp(self._memory_ratios[request.cls].mean)
        return self._mean_memories_mb[request.cls]

    def _update_mean_cost(self, cls: int, cost_ms: float) -> None:
        """Update the mean cost of a class from an estimated or a true cost."""
        self._cost_counts[cls] += 1
        mean_ms = self.mean_costs_ms[cls]
        cost_ms = min(cost_ms, MAX_COST_RATIO * mean_ms)  # an outlier must not distort the mean
        self.mean_costs_ms[cls] = mean_ms + (cost_ms - mean_ms) / min(self._cost_counts[cls], COST_SAMPLES)

    def _add_recent_cost(self, cost_ms: float) -> None:
        self._recent_costs.add(cost_ms)
        self._costs_since_cutoffs += 1
        if len(self._recent_costs) < MIN_RECENT_COSTS:
            return
        if self._costs_since_cutoffs >= CUTOFF_INTERVAL or self._cutoffs is None:
            self._compute_cutoffs()

    def _compute_cutoffs(self) -> None:
        self._costs_since_cutoffs = 0
        ranked = self._recent_costs.ranked
        low = ranked[int(LOW_QUANTILE * len(ranked))]
        high = ranked[int(HIGH_QUANTILE * (len(ranked) - 1))]
        self._cutoffs = (low, math.sqrt(low * max(low, high)), max(low, high))


def _ratio_estimator() -> LogRatioEstimator:
    return LogRatioEstimator(RATIO_SPREAD_RATE, RATIO_MAX_STEP, RATIO_SAMPLES)
