"""Dispatch: sends waiting requests to engines while there is capacity."""

from __future__ import annotations

import math
from collections.abc import Container, Iterable

from frostspindle.policy.actions import StartAttempt
from frostspindle.policy.admission import ConcurrencyLimiter
from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.outlier_detection import OutlierDetector
from frostspindle.policy.policy_state import DEADLINE_MARGIN_MS, PolicyState
from frostspindle.policy.request_state import AttemptState, RequestState
from frostspindle.policy.retries import RetryPolicy
from frostspindle.policy.selection import EngineSelector
from frostspindle.policy.settings import Idempotency
from frostspindle.policy.slow_start import SlowStart
from frostspindle.policy.waiting_requests import WaitingRequests

MAX_MISSES = 4  # a release round stops after this many requests without an engine


class Dispatcher:
    """Takes requests from the waiting queue in order and starts their attempts."""

    def __init__(
        self,
        state: PolicyState,
        estimates: Estimates,
        limiter: ConcurrencyLimiter,
        slow_start: SlowStart,
        retries: RetryPolicy,
        selector: EngineSelector,
        outliers: OutlierDetector,
        waiting: WaitingRequests,
    ) -> None:
        self._state = state
        self._estimates = estimates
        self._limiter = limiter
        self._slow_start = slow_start
        self._retries = retries
        self._selector = selector
        self._outliers = outliers
        self._waiting = waiting

    def release(self, now: float) -> None:
        """Send the waiting requests for which an engine has capacity.

        Nothing is sent in the first event after a stall, so that events which arrived meanwhile are handled first.
        """
        state = self._state
        if not state.waiting_queue or self._limiter.free_threads(2.0) < 1.0 or now == state.resumed_at_ms:
            return
        limiter = self._limiter
        selector = self._selector
        sent = list[RequestState]()
        misses = 0
        full_lanes = set[int]()  # table groups with no engine left for another load
        for request in self._release_order(full_lanes):
            if misses >= MAX_MISSES or not limiter.fits(request):
                break
            candidates = [] if request.lane in full_lanes else selector.candidates(request, now)
            if not candidates:
                full_lanes.add(request.lane)
                continue
            engine = selector.choose(request, candidates, now)
            if engine is None:
                misses += 1
            else:
                sent.append(request)
                self._send(request, engine, now)
        for request in sent:
            self._waiting.remove(request)

    def _release_order(self, full_lanes: Container[int]) -> Iterable[RequestState]:
        """Return the waiting requests in order; full lanes are skipped unless the share is fractional."""
        state = self._state
        if not state.usable_engines:
            return ()
        return state.waiting_queue.walk(() if state.fractional_share else full_lanes)

    def _send(self, request: RequestState, engine: EngineState, now: float) -> None:
        """Start the next attempt of a request at an engine."""
        if request.attempts:
            self._retries.record_retry(now)
        begin_by_ms = self._begin_by_ms(request)
        max_grant_mb = self._state.settings.max_grant_ratio * engine.memory_mb
        request.grant_mb = min(self._estimates.desired_memory_mb(request), max_grant_mb)
        attempt = AttemptState(request, len(request.attempts), engine, now)
        self._register(attempt, now)
        self._estimates.update_priority(request, sending=True)
        timeout_ms = 0.0
        if not request.class_settings.stream:
            timeout_ms = max(1.0, request.deadline_at_ms - now - DEADLINE_MARGIN_MS / 2)
        self._state.actions.append(StartAttempt(request.number, engine.id, timeout_ms, begin_by_ms))

    def _register(self, attempt: AttemptState, now: float) -> None:
        """Record an attempt with its request and its engine."""
        request = attempt.request
        engine = attempt.engine
        if not engine.attempts:
            # On an idle engine, silence counts from the first send.
            engine.last_activity_at_ms = max(engine.last_activity_at_ms, now)
        request.attempts.append(attempt)
        engine.attempts[(request.number, attempt.number)] = attempt
        self._limiter.reserve(attempt)
        engine.connections.acquire()
        engine.examine_at_ms = min(engine.examine_at_ms, self._outliers.examine_at_ms(attempt))
        if engine.in_slow_start(now):
            engine.slow_start_sends.add(now, self._slow_start.work_ms(request))
        if request.group >= 0 and request.group not in engine.cached_groups:
            engine.cached_groups.append(request.group)

    def _begin_by_ms(self, request: RequestState) -> float:
        """Return the time by which an attempt must begin.

        Earlier attempts may have run, and engines deduplicate by key only within the idempotency window.
        """
        if request.class_settings.idempotency != Idempotency.WITH_KEY:
            return math.inf
        window_ms = request.class_settings.idempotency_window_ms
        return request.first_sent_at_ms() + window_ms - DEADLINE_MARGIN_MS / 2
