"""Requests that wait for an engine: order, expiry and value."""

from __future__ import annotations

from frostspindle.policy.deadlines import ExpiryIndex
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.policy_state import DEADLINE_MARGIN_MS, PolicyState
from frostspindle.policy.queues import LowestValueQueue
from frostspindle.policy.request_state import RequestState


class WaitingRequests:
    """Maintains the waiting queue together with the indexes of expiry and value."""

    def __init__(self, state: PolicyState, estimates: Estimates) -> None:
        self._state = state
        self._estimates = estimates
        self.expiry = ExpiryIndex(len(state.settings.classes))
        self._by_value = LowestValueQueue()

    def add(self, request: RequestState, now: float) -> None:
        """Add a request to the waiting queue: requests within quota first, then by least remaining work.

        A suspended request is deferred until it is resumed.
        """
        if request.suspended:
            self.add_deferred(request)
            return
        class_settings = request.class_settings
        request.waiting = True
        request.rank = (int(request.over_quota), request.cost_ms * (1.0 - request.done_ratio), request.number)
        self._state.waiting_queue.add((*request.rank, request), request.lane, request.cost_ms)
        limit_ms = request.objective_at_ms
        if class_settings.late_value_ratio > 0:
            limit_ms = request.deadline_at_ms - DEADLINE_MARGIN_MS
        self.expiry.add(request.number, request.cls, request.cost_ms / class_settings.threads, limit_ms)
        if self._by_value:
            self._by_value.add(self.value(request, now), request.rank, request)

    def remove(self, request: RequestState) -> None:
        """Remove a request from the queue because it is sent, suspended or ended."""
        request.waiting = False
        self._state.waiting_queue.drop(request.rank, request.lane, request.cost_ms)
        self.expiry.discard(request.number)

    def suspend(self, request: RequestState) -> None:
        """Prevent new attempts of a request until `resume`; running attempts continue."""
        request.suspended = True
        if request.waiting:
            self.remove(request)
            self.add_deferred(request)

    def resume(self, request: RequestState, now: float) -> None:
        """Resume a suspended request, and queue it if it was deferred."""
        request.suspended = False
        if request.deferred:
            self.remove_deferred(request)
            self.add(request, now)

    def add_deferred(self, request: RequestState) -> None:
        """Record that a suspended request enters the queue once it is resumed."""
        request.deferred = True
        self._state.deferred_requests[request.number] = request

    def remove_deferred(self, request: RequestState) -> None:
        """Remove a request from the deferred requests."""
        request.deferred = False
        self._state.deferred_requests.pop(request.number, None)

    def value(self, request: RequestState, now: float) -> float:
        """Return the priority weight that the request can still earn per ms of work."""
        class_settings = request.class_settings
        is_late = now + self._estimates.run_ms(request) > request.objective_at_ms
        value_ratio = class_settings.late_value_ratio if is_late else 1.0
        return class_settings.priority_weight / request.cost_ms * value_ratio

    def invalidate_values(self) -> None:
        """Discard all values so that they are recomputed on next use, since late requests are worth less."""
        self._by_value = LowestValueQueue()

    def pop_lowest_value(self, now: float) -> RequestState | None:
        """Remove the entry with the lowest value and return its request, or None if the entry was stale."""
        if not self._by_value:
            waiting = self._state.waiting_queue
            self._by_value = LowestValueQueue((self.value(r, now), r.rank, r) for *_, r in waiting)
        rank, request = self._by_value.pop()
        is_current: bool = request.waiting and request.rank is rank
        return request if is_current else None

    def pop_expired(self, now: float) -> list[RequestState]:
        """Return the requests that can no longer be served in time, in queue order."""
        state = self._state
        latency_ratios = [max(1.0, best * state.median_slowdown) for best in state.best_latency_ratios]
        expired = [state.requests[number] for number in self.expiry.pop_due(now, latency_ratios)]
        return sorted(expired, key=lambda request: request.rank)
