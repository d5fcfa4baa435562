"""The controller: dispatches each event to the components of the decision module.

One controller serves one process. Scheduling is SRPT (shortest remaining processing time): priority bands follow the
estimated remaining work, waiting requests are released smallest first, and each engine has a thread limit that adapts
to latency.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from frostspindle.policy import actions, events
from frostspindle.policy.admission import ConcurrencyLimiter, EngineCapacity, TenantQuotas
from frostspindle.policy.completion import RequestCompletion
from frostspindle.policy.dispatch import Dispatcher
from frostspindle.policy.engine_registry import EngineRegistry
from frostspindle.policy.engine_state import EngineState
from frostspindle.policy.estimates import Estimates
from frostspindle.policy.events import AttemptOutcome, EndpointListKind
from frostspindle.policy.key_order import KeyOrder
from frostspindle.policy.outlier_detection import OutlierDetector
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.queues import WaitingQueue
from frostspindle.policy.request_state import AttemptState, RequestState
from frostspindle.policy.retries import Redispatcher, RetryPolicy
from frostspindle.policy.selection import MAX_UNSAMPLED, EngineSelector
from frostspindle.policy.settings import Settings
from frostspindle.policy.shedding import LoadShedder
from frostspindle.policy.slow_start import SlowStart
from frostspindle.policy.waiting_requests import WaitingRequests

MIN_TICK_MS = 20.0  # minimum interval of the regular timer
EXAMINE_MS = 100.0  # interval at which requests and engines are examined
STALL_MS = 350.0  # a longer gap between events, despite the regular timer, means that this process itself stalled
RESUBSCRIBE_MS = 500.0  # delay before a failed subscription to the endpoint list is retried

REGULAR_TIMER = 0  # token of the periodic timer
EXTRA_TIMER = 1
NO_CONNECTION_LEFT = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.RESET, AttemptOutcome.NOT_SENT)


class Controller:
    """Makes the decisions of one process, deterministically from settings, seed and events."""

    def __init__(self, settings: Settings, seed: int) -> None:
        if not isinstance(settings, Settings):
            raise TypeError("settings must be a frostspindle.policy.Settings")
        state = PolicyState.create(settings, seed)
        self.state = state
        self.estimates = Estimates(state)
        self.capacity = EngineCapacity(state)
        self.limiter = ConcurrencyLimiter(state, self.estimates, self.capacity)
        self.quotas = TenantQuotas(state)
        self.retries = RetryPolicy(state)
        self.slow_start = SlowStart(state, self.estimates)

        self.waiting = WaitingRequests(state, self.estimates)
        self.key_order = KeyOrder(state, self.waiting)
        self.completion = RequestCompletion(state, self.waiting, self.key_order)
        self.shedder = LoadShedder(state, self.estimates, self.waiting, self.key_order, self.completion)
        self.redispatcher = Redispatcher(state, self.estimates, self.retries, self.waiting, self.completion)

        self.registry = EngineRegistry(state, self.waiting)
        self.outliers = OutlierDetector(state, self.estimates, self.registry, self.redispatcher)
        self.selector = EngineSelector(state, self.estimates, self.capacity, self.slow_start, self.retries)
        self.dispatcher = Dispatcher(
            state,
            self.estimates,
            self.limiter,
            self.slow_start,
            self.retries,
            self.selector,
            self.outliers,
            self.waiting,
        )

        self.accepts_requests = True  # False from `end_all_requests` on
        self.last_event_at_ms = math.inf
        self._examined_at_ms = -math.inf
        self._subscribe_at_ms = math.inf
        self.handlers = self._event_handlers()

    def _event_handlers(self) -> dict[type, Callable[[float, Any], None]]:
        return {
            events.EndpointListUpdated: self._on_endpoint_list,
            events.RequestArrived: self._on_request,
            events.ResponseStarted: self._on_response_started,
            events.ProgressReported: self._on_progress,
            events.AttemptLost: self._on_attempt_lost,
            events.AttemptEnded: self._on_attempt_ended,
            events.ClientDisconnected: self._on_client_disconnected,
            events.RequestSuspended: self._on_request_suspended,
            events.RequestResumed: self._on_request_resumed,
            events.KeyOrderReached: self._on_key_order_reached,
            events.TimerFired: self._on_timer,
            events.HealthCheckCompleted: self._on_health_check,
            events.WorkerLoadReported: self._on_worker_load,
        }

    @property
    def settings(self) -> Settings:
        """The current settings. They can be replaced at any time by settings with the same classes."""
        return self.state.settings

    @settings.setter
    def settings(self, settings: Settings) -> None:
        self.state.settings = settings

    @property
    def engines(self) -> dict[int, EngineState]:
        """The known engines, by engine id."""
        return self.state.engines

    @property
    def requests(self) -> dict[int, RequestState]:
        """The requests that have not ended, by request number."""
        return self.state.requests

    @property
    def waiting_queue(self) -> WaitingQueue:
        """The requests that wait for an engine, in order. The last field of each row is the request."""
        return self.state.waiting_queue

    @property
    def fractional_share(self) -> bool:
        """Whether this coordinator's share of each engine is smaller than one request needs."""
        return self.state.fractional_share

    @property
    def max_open_requests(self) -> float:
        """Number of open requests above which waiting ones are shed. It can be set at any time."""
        return self.state.max_open_requests

    @max_open_requests.setter
    def max_open_requests(self, limit: float) -> None:
        self.state.max_open_requests = limit

    def handle(self, now_ms: float, event: events.Event) -> list[actions.Action]:
        """Handle an event and return the resulting actions, in order. `now_ms` must not decrease between calls."""
        state = self.state
        state.actions = []
        if now_ms - self.last_event_at_ms > STALL_MS:
            self._resume_after_stall(now_ms)
        elif math.isinf(self.last_event_at_ms):
            state.started_at_ms = now_ms
            state.actions.append(actions.SetTimer(REGULAR_TIMER, now_ms + MIN_TICK_MS))
        self.last_event_at_ms = now_ms
        self.handlers[type(event)](now_ms, event)
        if now_ms >= self._subscribe_at_ms:
            self._subscribe_at_ms = math.inf
            state.actions.append(actions.SubscribeEndpoints(True))
        return state.actions

    def end_all_requests(self, now_ms: float) -> list[actions.Action]:
        """Reject or fail all open requests because the process is shutting down; return the actions.

        Requests that arrive afterwards are rejected: no engine could answer them before the process exits.
        """
        self.accepts_requests = False
        self.state.actions = []
        for request in list(self.state.requests.values()):
            self.completion.end_unserved(request, now_ms)
        return self.state.actions

    def _resume_after_stall(self, now: float) -> None:
        """Keep a stall of this process from counting as silence or slowness of engines."""
        state = self.state
        state.resumed_at_ms = now
        self._examined_at_ms = -math.inf
        state.actions.append(actions.SetTimer(EXTRA_TIMER, now + MIN_TICK_MS))
        stalled_ms = now - self.last_event_at_ms
        for engine in state.engines.values():
            for attempt in engine.attempts.values():
                attempt.waited_ms += stalled_ms
                engine.last_activity_at_ms = now

    def _on_endpoint_list(self, now: float, event: events.EndpointListUpdated) -> None:
        self.registry.apply_list(event, now)
        if self.state.settings.subscribe_endpoints:
            if event.kind == EndpointListKind.CACHED:
                self._subscribe_at_ms = now
            elif event.kind == EndpointListKind.FAILED:
                self._subscribe_at_ms = now + RESUBSCRIBE_MS
        self.dispatcher.release(now)

    def _on_request(self, now: float, event: events.RequestArrived) -> None:
        state = self.state
        if event.request in state.requests:
            return
        if not self.accepts_requests:
            state.actions.append(actions.RejectRequest(event.request, self.completion.retry_after_ms()))
            return
        request = RequestState(event, state.settings.classes[event.cls], now)
        state.requests[event.request] = request
        self.retries.record_arrival(now)
        self.selector.record_arrival(request)
        self.estimates.add_request(request)
        request.over_quota = event.over_quota or self.quotas.is_over_quota(request, now)
        end_at_ms = self.completion.add_deadline(request)
        if end_at_ms < now + EXAMINE_MS:  # ends before the next regular timer
            state.actions.append(actions.SetTimer(EXTRA_TIMER, max(now, end_at_ms)))
        if request.class_settings.in_order and request.key:
            self.key_order.add(request, now)
        else:
            self.waiting.add(request, now)
        self.dispatcher.release(now)
        self.shedder.shed_excess(now)

    def _on_response_started(self, now: float, event: events.ResponseStarted) -> None:
        request = self.state.requests.get(event.request)
        if request is not None and request.class_settings.stream:
            request.streaming = True
            request.deadline_at_ms = math.inf

    def _on_progress(self, now: float, event: events.ProgressReported) -> None:
        engine = self.state.engines.get(event.engine)
        attempt = engine.attempts.get((event.request, event.attempt)) if engine else None
        if engine is not None and attempt is not None:
            self.outliers.record_progress(engine, attempt, event, now)

    def _on_attempt_lost(self, now: float, event: events.AttemptLost) -> None:
        request = self.state.requests.get(event.request)
        if request is not None:
            self.redispatcher.end_if_not_retried(request, event.until_ms, now)
            self.dispatcher.release(now)

    def _on_attempt_ended(self, now: float, event: events.AttemptEnded) -> None:
        engine = self.state.engines.get(event.engine)
        attempt = engine.attempts.pop((event.request, event.attempt), None) if engine else None
        if engine is None or attempt is None:
            return
        request = attempt.request
        attempt.outcome = event.outcome
        attempt.may_still_run = event.may_still_run
        self.limiter.release(attempt)
        if event.outcome not in NO_CONNECTION_LEFT:
            engine.connections.release(now)
        self.key_order.start_cooldown(request, event.outcome, now)
        self._learn_from_attempt(engine, attempt, event, now)
        if event.last or event.outcome == AttemptOutcome.OK:
            self.completion.finish(request, now)
        elif not request.finished:
            self.redispatcher.retry_or_end(request, engine, event.outcome, now)
        self.key_order.advance(request.key, now)
        self.dispatcher.release(now)

    def _learn_from_attempt(
        self, engine: EngineState, attempt: AttemptState, event: events.AttemptEnded, now: float
    ) -> None:
        """Update capacity, failure rate and limits from an attempt's load report and outcome."""
        if event.report:
            self.capacity.add_load_report(engine, event.report, now)
        if event.outcome == AttemptOutcome.OK:
            self.outliers.record_success(engine, now)
            self._learn_from_response(engine, attempt, event, now)
        elif event.outcome == AttemptOutcome.OVERLOADED:
            self.limiter.cut(engine, now)
        else:
            self.outliers.record_failure(attempt, event.outcome, now)

    def _learn_from_response(
        self, engine: EngineState, attempt: AttemptState, event: events.AttemptEnded, now: float
    ) -> None:
        request = attempt.request
        if self.state.settings.reports_cost and event.true_cost_ms > 0:
            self.capacity.learn_memory_use(attempt, event.true_memory_mb)
            self.estimates.learn(request, event.true_cost_ms, event.true_memory_mb)
        if now > self.state.resumed_at_ms:
            cost_ms = event.true_cost_ms or attempt.cost_ms
            self.limiter.learn_latency(engine, request, cost_ms, event.elapsed_ms, now)

    def _on_client_disconnected(self, now: float, event: events.ClientDisconnected) -> None:
        request = self.state.requests.get(event.request)
        if request is not None:
            self.completion.finish(request, now)
            self.dispatcher.release(now)

    def _on_request_suspended(self, now: float, event: events.RequestSuspended) -> None:
        request = self.state.requests.get(event.request)
        if request is not None:
            self.waiting.suspend(request)
            self.dispatcher.release(now)

    def _on_request_resumed(self, now: float, event: events.RequestResumed) -> None:
        request = self.state.requests.get(event.request)
        if request is not None:
            self.waiting.resume(request, now)
            self.dispatcher.release(now)

    def _on_key_order_reached(self, now: float, event: events.KeyOrderReached) -> None:
        request = self.state.requests.get(event.request)
        if request is not None:
            request.key_order_reached = True
            self.key_order.advance(request.key, now)
        self.dispatcher.release(now)

    def _on_health_check(self, now: float, event: events.HealthCheckCompleted) -> None:
        engine = self.state.engines.get(event.engine)
        if engine is not None:
            self.outliers.record_health_check(engine, event, now)

    def _on_worker_load(self, now: float, event: events.WorkerLoadReported) -> None:
        """Apply the loads, the ejections and the latest load reports of the other workers."""
        for load in event.entries:
            engine = self.state.engines.get(load.engine)
            if engine is None:
                continue
            engine.peer_threads = load.threads
            engine.peer_memory_mb = load.memory_mb
            engine.slow_start_share = load.slow_start_share
            reported_at_ms = now - load.report_age_ms
            if load.report and reported_at_ms > engine.load_report_at_ms:
                self.capacity.add_load_report(engine, load.report, reported_at_ms)
            self.outliers.apply_peer_verdict(engine, load.ejected, now)
        self.dispatcher.release(now)

    def _on_timer(self, now: float, event: events.TimerFired) -> None:
        self.completion.end_past_deadline(now)
        any_cooldown_over = self.key_order.end_cooldowns(now)
        is_examined = now - self._examined_at_ms >= EXAMINE_MS and now > self.state.resumed_at_ms
        if is_examined:
            self._examine(now)
            self.shedder.shed_excess(now)
        if is_examined or any_cooldown_over:
            self.dispatcher.release(now)
        if event.token == REGULAR_TIMER:
            next_at_ms = min(
                now + EXAMINE_MS, self.completion.deadlines.earliest_ms, self.key_order.cooldowns.earliest_ms
            )
            self.state.actions.append(actions.SetTimer(REGULAR_TIMER, max(now + MIN_TICK_MS, next_at_ms)))

    def _examine(self, now: float) -> None:
        """Check for silent engines, hung attempts, attempts far over their estimates and hopeless requests."""
        self._examined_at_ms = now
        self.registry.refresh_if_due(now)
        self.slow_start.update_eligible(now, MAX_UNSAMPLED)
        self.outliers.examine(now)
        self.shedder.trim_key_queues(now)
        self.shedder.shed_expired(now)
