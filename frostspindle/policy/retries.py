"""Retries: whether a request may be resent, the retry budget, and relocation of running attempts."""

from __future__ import annotations

from frostspindle.policy.actions import CancelAttempt, UpdatePriority
from frostspindle.policy.completion import RequestCompletion
from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.events import AttemptOutcome
from frostspindle.policy.policy_state import DEADLINE_MARGIN_MS, PolicyState
from frostspindle.policy.request_state import AttemptState, RequestState
from frostspindle.policy.settings import Idempotency
from frostspindle.policy.statistics import SlidingWindowCounter
from frostspindle.policy.waiting_requests import WaitingRequests

RELOCATION_TIME_RATIO = 1.5  # an attempt is relocated only if this multiple of its run time is left
LOWEST_BAND = 0

# Index of the EngineEntry field that identifies the deduplication scope; 0 for "all", which needs no comparison.
DEDUP_SCOPE_FIELDS = {"all": 0, "zone": 1}
CELL_FIELD = 3


class RetryPolicy:
    """Decides whether idempotency and the retry budget allow a retry."""

    def __init__(self, state: PolicyState) -> None:
        self._state = state
        self.arrivals = SlidingWindowCounter()  # new requests
        self._retries = SlidingWindowCounter()

    def record_arrival(self, now: float) -> None:
        """Count a new request, which increases the budget."""
        self.arrivals.after(now - self._state.settings.retry_budget_window_ms).append(now)

    def record_retry(self, now: float) -> None:
        """Count a retry that is being sent."""
        self._retries.after(now - self._state.settings.retry_budget_window_ms).append(now)

    def budget_allows(self, now: float) -> bool:
        """Return whether the budget allows another retry."""
        settings = self._state.settings
        if settings.retry_budget_window_ms <= 0:
            return True
        since_ms = now - settings.retry_budget_window_ms
        retries = len(self._retries.after(since_ms)) + 1
        arrivals = len(self.arrivals.after(since_ms))
        return retries <= settings.retry_budget_min + settings.retry_budget_ratio * arrivals

    def allows_resend(self, request: RequestState, engine: EngineState | None, now: float) -> bool:
        """Return whether a request that may have run can be resent to the engine or, with None, to any engine.

        Never while an earlier attempt may still run, whatever its class: two attempts must not be out at once.
        """
        if any(attempt.may_still_run for attempt in request.attempts):
            return False
        class_settings = request.class_settings
        may_have_run = request.attempts_that_may_have_run()
        if not may_have_run or class_settings.idempotency == Idempotency.IDEMPOTENT:
            return True
        if class_settings.idempotency == Idempotency.NON_IDEMPOTENT:
            return False
        first_sent_at_ms = min(attempt.sent_at_ms for attempt in may_have_run)
        if now - first_sent_at_ms > class_settings.idempotency_window_ms - DEADLINE_MARGIN_MS:
            return False
        scope_field = DEDUP_SCOPE_FIELDS.get(class_settings.dedup_scope, CELL_FIELD)
        if engine is None or not scope_field:
            return True
        return all(attempt.engine.entry[scope_field] == engine.entry[scope_field] for attempt in may_have_run)


class Redispatcher:
    """Resends requests after attempts that ended without a response, and relocates running attempts."""

    def __init__(
        self,
        state: PolicyState,
        estimates: Estimates,
        retries: RetryPolicy,
        waiting: WaitingRequests,
        completion: RequestCompletion,
    ) -> None:
        self._state = state
        self._estimates = estimates
        self._retries = retries
        self._waiting = waiting
        self._completion = completion

    def retry_or_end(self, request: RequestState, engine: EngineState, outcome: int, now: float) -> None:
        """Queue a request again after an attempt that ended without a response, or end it."""
        if request.running_attempts or request.waiting or request.deferred:
            return
        if outcome != AttemptOutcome.NOT_SENT:  # also if it sheds load, as while shutting down: it would shed again
            request.avoided_engines.add(engine.id)
        if self._allows_retry(request, now, now):
            self._waiting.add(request, now)
        else:
            self._completion.end_unserved(request, now)

    def end_if_not_retried(self, request: RequestState, free_at_ms: float, now: float) -> None:
        """End a request whose running attempt is lost, if no further one can start once it has ended, at `free_at_ms`.

        Its client need not wait until then for the answer.
        """
        if not request.finished and not self._allows_retry(request, free_at_ms, now):
            self._completion.end_unserved(request, now)

    def _allows_retry(self, request: RequestState, start_at_ms: float, now: float) -> bool:
        """Return whether the class, the attempt limit and the time left allow another attempt from `start_at_ms` on."""
        request.done_ratio = 0.0
        self._estimates.estimate(request)
        time_left_ms = request.deadline_at_ms - start_at_ms - DEADLINE_MARGIN_MS
        return (
            len(request.attempts) < self._state.settings.max_attempts
            and time_left_ms > self._estimates.run_ms(request)
            and self._retries.allows_resend(request, None, now)
        )

    def relocate(self, request: RequestState, attempt: AttemptState, now: float) -> bool:
        """Cancel an attempt so that the request is sent to another engine; return whether it was cancelled.

        The class, the time left, the attempt limit and the retry budget must allow it. An attempt of a suspended
        request is not cancelled, because the request could not be resent.
        """
        settings = self._state.settings
        if not settings.may_cancel or request.finished or request.suspended:
            return False
        time_left_ms = request.deadline_at_ms - now - DEADLINE_MARGIN_MS
        if not time_left_ms > RELOCATION_TIME_RATIO * request.cost_ms / request.class_settings.threads:
            return False
        if (
            len(request.attempts) >= settings.max_attempts
            or not self._retries.allows_resend(request, None, now)
            or not self._retries.budget_allows(now)
        ):
            return False
        self._state.actions.append(CancelAttempt(request.number, attempt.number))
        return True

    def relocate_or_demote(self, request: RequestState, attempt: AttemptState, now: float) -> None:
        """Relocate an attempt far over its estimate, or lower its band, so that it does not delay short ones."""
        if not request.bad_plan_handled and not self.relocate(request, attempt, now):
            self._lower_priority(request)
        request.bad_plan_handled = True

    def _lower_priority(self, request: RequestState) -> None:
        if self._state.settings.priorities and request.priority > LOWEST_BAND:
            request.priority = LOWEST_BAND
            self._state.actions.append(UpdatePriority(request.number, LOWEST_BAND, request.grant_mb))
