"""Requests that wait for an engine: their order, when they expire, and which has the least value."""

from __future__ import annotations

from frostspindle.policy.deadlines import ExpiryIndex
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.policy_state import DEADLINE_MARGIN_MS, PolicyState
from frostspindle.policy.queues import LowestValueQueue
from frostspindle.policy.request_state import RequestState


class WaitingRequests:
    """Adds requests to the waiting queue and removes them, and keeps the indexes of expiry and value in step."""

    def __init__(self, state: PolicyState, estimates: Estimates) -> None:
        self._state = state
        self._estimates = estimates
        self.expiry = ExpiryIndex(len(state.settings.classes))
        self._by_value = LowestValueQueue()

    def add(self, request: RequestState, now: float) -> None:
        """Let a request wait: least remaining work first, those over a tenant's quota after the others.

        A suspended one is deferred until it is resumed.
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
        """Take a request out of the queue, as it is sent or ended."""
        request.waiting = False
        self._state.waiting_queue.drop(request.rank, request.lane, request.cost_ms)
        self.expiry.discard(request.number)

    def suspend(self, request: RequestState) -> None:
        """Keep a request from being sent until `resume`; its attempts that run go on."""
        request.suspended = True
        if request.waiting:
            self.remove(request)
            self.add_deferred(request)

    def resume(self, request: RequestState, now: float) -> None:
        """Let a suspended request wait again, if it did or would have."""
        request.suspended = False
        if request.deferred:
            self.remove_deferred(request)
            self.add(request, now)

    def add_deferred(self, request: RequestState) -> None:
        """Note that a suspended request is to wait once it is resumed."""
        request.deferred = True
        self._state.deferred_requests[request.number] = request

    def remove_deferred(self, request: RequestState) -> None:
        """Take a request out of those that wait to be resumed."""
        request.deferred = False
        self._state.deferred_requests.pop(request.number, None)

    def value(self, request: RequestState, now: float) -> float:
        """Return the priority weight still to be had from the request, for each ms of its work."""
        class_settings = request.class_settings
        is_late = now + self._estimates.run_ms(request) > request.objective_at_ms
        value_ratio = class_settings.late_value_ratio if is_late else 1.0
        return class_settings.priority_weight / request.cost_ms * value_ratio

    def invalidate_values(self) -> None:
        """Have all values computed again when they are next needed: what is late by then has less value."""
        self._by_value = LowestValueQueue()

    def pop_lowest_value(self, now: float) -> RequestState | None:
        """Return the waiting request of the lowest value, None where the index had an entry of no use."""
        if not self._by_value:
            waiting = self._state.waiting_queue
            self._by_value = LowestValueQueue((self.value(r, now), r.rank, r) for *_, r in waiting)
        rank, request = self._by_value.pop()
        is_current: bool = request.waiting and request.rank is rank
        return request if is_current else None

    def pop_expired(self, now: float) -> list[RequestState]:
        """Return the requests that can no longer be answered in time, in the order of the queue."""
        state = self._state
        latency_ratios = [max(1.0, best * state.median_slowdown) for best in state.best_latency_ratios]
        expired = [state.requests[number] for number in self.expiry.pop_due(now, latency_ratios)]
        return sorted(expired, key=lambda request: request.rank)
