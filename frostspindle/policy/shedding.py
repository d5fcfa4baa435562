"""Load shedding: ends waiting requests that exceed the limit, cannot be in time, or delay others of their key."""

from __future__ import annotations

from collections import deque

from frostspindle.policy.completion import RequestCompletion
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.key_order import KeyOrder
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.request_state import RequestState
from frostspindle.policy.waiting_requests import WaitingRequests


class LoadShedder:
    """Decides which waiting requests to end without a response."""

    def __init__(
        self,
        state: PolicyState,
        estimates: Estimates,
        waiting: WaitingRequests,
        key_order: KeyOrder,
        completion: RequestCompletion,
    ) -> None:
        self._state = state
        self._estimates = estimates
        self._waiting = waiting
        self._key_order = key_order
        self._completion = completion

    def shed_excess(self, now: float) -> None:
        """End waiting requests with the lowest value for their work while too many requests are open.

        Requests of disconnected clients are ended first, in the order in which they were deferred.
        """
        state = self._state
        while state.deferred_requests and len(state.requests) > state.max_open_requests:
            self._completion.end_unserved(next(iter(state.deferred_requests.values())), now)
        while state.waiting_queue and len(state.requests) > state.max_open_requests:
            request = self._waiting.pop_lowest_value(now)
            if request is not None:
                self._completion.end_unserved(request, now)

    def shed_expired(self, now: float) -> None:
        """End the waiting requests that can no longer be served in time."""
        for request in self._waiting.pop_expired(now):
            self._completion.end_unserved(request, now)

    def trim_key_queues(self, now: float) -> None:
        """End requests in key queues that are too long for the requests behind them to be served in time."""
        for queue in [queue for queue in self._key_order.queues.values() if len(queue) > 1]:
            self._trim_key_queue(queue, now)

    def _trim_key_queue(self, queue: deque[RequestState], now: float) -> None:
        """End the requests with the least value for their work while one with others behind it would be late."""
        unfinished = [request for request in queue if not request.finished]
        sheddable = list[RequestState]()
        end_ms = now
        for request in unfinished:
            running = request.running_attempts
            if running:
                end_ms = max(now, running[0].sent_at_ms + self._estimates.run_ms(request))
            else:
                end_ms = end_ms + self._estimates.run_ms(request)
                sheddable.append(request)
            is_last = request is unfinished[-1]
            while not is_last and sheddable and sheddable[-1] is request and end_ms > request.objective_at_ms:
                least_valuable = min(sheddable, key=self._value_for_work)
                sheddable.remove(least_valuable)
                end_ms -= self._estimates.run_ms(least_valuable)
                self._completion.end_unserved(least_valuable, now)

    def _value_for_work(self, request: RequestState) -> float:
        over_quota_weight = self._state.settings.over_quota_weight**request.over_quota
        return request.class_settings.priority_weight * over_quota_weight / request.cost_ms
