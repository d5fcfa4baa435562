"""Completion of requests: final answers, deadlines and cleanup."""

from __future__ import annotations

from frostspindle.policy.actions import CancelAttempt, FailRequest, RejectRequest
from frostspindle.policy.deadlines import DeadlineQueue
from frostspindle.policy.key_order import KeyOrder
from frostspindle.policy.policy_state import DEADLINE_MARGIN_MS, PolicyState
from frostspindle.policy.request_state import RequestState
from frostspindle.policy.waiting_requests import WaitingRequests


class RequestCompletion:
    """Ends requests. All final answers are produced here."""

    def __init__(self, state: PolicyState, waiting: WaitingRequests, key_order: KeyOrder) -> None:
        self._state = state
        self._waiting = waiting
        self._key_order = key_order
        self.deadlines = DeadlineQueue()

    def add_deadline(self, request: RequestState) -> float:
        """Schedule the end of a request shortly before its deadline; return that time in ms."""
        end_at_ms = request.deadline_at_ms - DEADLINE_MARGIN_MS
        self.deadlines.add(end_at_ms, request.number, self._state.requests)
        return end_at_ms

    def end_past_deadline(self, now: float) -> None:
        """End the requests that have reached their deadline, except those whose response is streaming."""
        for number in self.deadlines.pop_due(now):
            request = self._state.requests.get(number)
            if request is not None and not request.streaming:
                self.end_unserved(request, now)

    def end_unserved(self, request: RequestState, now: float) -> None:
        """End a request without a response: reject it if it is safe to retry, else fail it."""
        if request.client_may_retry():
            self._state.actions.append(RejectRequest(request.number, self.retry_after_ms()))
        else:
            self._state.actions.append(FailRequest(request.number))
        self.finish(request, now)

    def finish(self, request: RequestState, now: float) -> None:
        """Remove a request that has its final answer or needs none, and cancel its running attempts."""
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

    def retry_after_ms(self) -> float:
        """Return the estimated time to work off the current queue, up to the configured maximum."""
        state = self._state
        backlog_ms = state.waiting_queue.total / max(1.0, state.thread_limit_sum)
        return min(state.settings.max_retry_after_ms, backlog_ms) * state.settings.retry_after
