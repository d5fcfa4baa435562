"""The end of requests: final answers, deadlines, and what a request leaves behind."""

from __future__ import annotations

from frostspindle.policy.actions import CancelAttempt, FailRequest, RejectRequest
from frostspindle.policy.deadlines import DeadlineQueue
from frostspindle.policy.key_order import KeyOrder
from frostspindle.policy.policy_state import DEADLINE_MARGIN_MS, PolicyState
from frostspindle.policy.request_state import RequestState
from frostspindle.policy.waiting_requests import WaitingRequests


class RequestCompletion:
    """Ends requests: the one place that gives a final answer."""

    def __init__(self, state: PolicyState, waiting: WaitingRequests, key_order: KeyOrder) -> None:
        self._state = state
        self._waiting = waiting
        self._key_order = key_order
        self.deadlines = DeadlineQueue()

    def add_deadline(self, request: RequestState) -> float:
        """Schedule the end of a request by its deadline; return that time (ms)."""
        end_at_ms = request.deadline_at_ms - DEADLINE_MARGIN_MS
        self.deadlines.add(end_at_ms, request.number, self._state.requests)
        return end_at_ms

    def end_past_deadline(self, now: float) -> None:
        """End the requests whose deadline has come, but for those whose response has begun to stream."""
        for number in self.deadlines.pop_due(now):
            request = self._state.requests.get(number)
            if request is not None and not request.streaming:
                self.end_unserved(request, now)

    def end_unserved(self, request: RequestState, now: float) -> None:
        """End a request without a response: rejected only where a retry can do no harm, else failed."""
        if request.client_may_retry():
            self._state.actions.append(RejectRequest(request.number, self._retry_after_ms()))
        else:
            self._state.actions.append(FailRequest(request.number))
        self.finish(request, now)

    def finish(self, request: RequestState, now: float) -> None:
        """Forget a request that has its final answer or needs none, and cancel its attempts."""
        if request.finished:
            return
        state = self._state
        request.finished = True
        if request.waiting:
            self._waiting.remove(request)
        if request.deferred:
            self._waiting.remove_deferred(request)
        del state.requests[request.number]
        if state.settings.may_cancel:
            state.actions.extend(CancelAttempt(request.number, a.number) for a in request.running_attempts)
        self._key_order.advance(request.key, now)

    def _retry_after_ms(self) -> float:
        """Return the time in which the requests that wait now will have been worked off."""
        state = self._state
        backlog_ms = state.waiting_queue.total / max(1.0, state.thread_limit_sum)
        return min(state.settings.max_retry_after_ms, backlog_ms) * state.settings.retry_after
