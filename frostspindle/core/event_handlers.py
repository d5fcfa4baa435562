"""Handlers for the events in the core's queue, one for each event type."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Sequence
from typing import Any

from frostspindle import policy
from frostspindle.core.actions import ActionExecutor
from frostspindle.core.dispatcher import EventDispatcher
from frostspindle.core.endpoints import EndpointRegistry
from frostspindle.core.interfaces import ArrivalOrder, CoreHooks
from frostspindle.core.ledger import RequestEntry, RequestLedger
from frostspindle.core.messages import (
    AdmissionDecided,
    ArrivalsDue,
    AttemptCompleted,
    BansChanged,
    ClientAway,
    ClientLeft,
    ClientReturned,
    DeadlinePassed,
    EndpointsListed,
    EngineDraining,
    EngineExpired,
    EnginesRestarted,
    OpenLimitChanged,
    SettingsChanged,
    ShutdownStarted,
)
from frostspindle.core.requests import ClientRequest, Response, ResponseStatus
from frostspindle.policy import AttemptOutcome
from frostspindle.policy.controller import Controller
from frostspindle.telemetry import Telemetry

POLICY_TIMER_RETRY_MS = 20.0  # delay before a timer event of the decision module is repeated after an exception
# Counters by outcome. They are metric names, so don't rename them.
OUTCOME_COUNTERS = {
    int(AttemptOutcome.OK): "ended_ok",
    int(AttemptOutcome.NOT_SENT): "ended_moot",
    int(AttemptOutcome.CANCELLED): "ended_cancelled",
    int(AttemptOutcome.RESET): "ended_reset",
    int(AttemptOutcome.CONNECT_FAILED): "ended_connect_failed",
    int(AttemptOutcome.TIMEOUT): "ended_timeout",
    int(AttemptOutcome.OVERLOADED): "ended_full",
    int(AttemptOutcome.ERROR): "ended_error",
}


class EventHandlers:
    """Passes events of fronts and drivers to the controller and executes its actions, in the core's task."""

    def __init__(
        self,
        hooks: CoreHooks,
        classes: Sequence[tuple[str, str]],
        telemetry: Telemetry,
        controller: Controller,
        ledger: RequestLedger,
        endpoints: EndpointRegistry,
        dispatcher: EventDispatcher,
        executor: ActionExecutor,
    ) -> None:
        self._hooks = hooks
        self._classes = classes
        self._telemetry = telemetry
        self._controller = controller
        self._ledger = ledger
        self._endpoints = endpoints
        self._dispatcher = dispatcher
        self._executor = executor
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            ClientRequest: self._on_request,
            ArrivalsDue: self._on_arrivals_due,
            AdmissionDecided: self._on_admission_decided,
            ClientLeft: self._on_client_left,
            ClientAway: self._on_client_away,
            ClientReturned: self._on_client_returned,
            DeadlinePassed: self._on_deadline_passed,
            AttemptCompleted: self._on_attempt_completed,
            EndpointsListed: self._on_endpoints_listed,
            BansChanged: self._on_bans_changed,
            EngineDraining: self._on_engine_draining,
            EnginesRestarted: self._on_engines_restarted,
            EngineExpired: self._on_engine_expired,
            OpenLimitChanged: self._on_open_limit_changed,
            SettingsChanged: self._on_settings_changed,
            ShutdownStarted: self._on_shutdown_started,
            policy.KeyOrderReached: self._on_key_order_reached,
            policy.ProgressReported: self._notify_policy,
            policy.AttemptLost: self._notify_policy,
            policy.HealthCheckCompleted: self._notify_policy,
            policy.WorkerLoadReported: self._notify_policy,
            policy.TimerFired: self._notify_policy,
        }

    def handle(self, now: float, event: Any) -> None:
        """Process one event. An exception fails the request that the event belongs to, but never the process."""
        try:
            self._handlers[type(event)](now, event)
        except Exception as error:  # noqa: BLE001 - one failed event must not end the core's task
            self._on_exception(now, event, error)

    def _on_exception(self, now: float, event: Any, error: Exception) -> None:
        number = self._request_number(event)
        self._telemetry.count("faults")
        self._telemetry.log(
            "exception_caught",
            error=repr(error),
            of=type(event).__name__,
            request=number,
            at=traceback.format_exc(limit=-3),
        )
        if isinstance(event, policy.TimerFired):
            # The decision module sets its next timer when one fires, so a lost event would stop all its deadlines.
            self._dispatcher.set_policy_timer(now + POLICY_TIMER_RETRY_MS, event.token)
        self._ledger.fail_after_fault(number)

    @staticmethod
    def _request_number(event: Any) -> int:
        """Return the number of the request that an event belongs to, 0 if it belongs to none."""
        match event:
            case AttemptCompleted():
                return event.attempt.request.number
            case ClientLeft() | ClientAway() | ClientReturned():
                return event.request.number
            case ClientRequest() | DeadlinePassed():
                return event.number
            case _:
                return getattr(event, "request", 0)

    def _notify_policy(self, now: float, event: policy.Event) -> None:
        self._executor.execute(now, self._controller.handle(now, event))

    # Requests.

    def _on_request(self, now: float, request: ClientRequest) -> None:
        self._ledger.add(request)
        arrival_order = self._hooks.arrival_order if request.key else None
        if not self._controller.accepts_requests:
            # The controller rejects it at once, so it must not wait for its key or at the admission gate.
            if arrival_order is not None:
                arrival_order.discard(request)
            self._admit(now, request, is_head_of_key=True)
        elif arrival_order is not None:
            arrival_order.add(request, now)
            self._enter_arrived(now, arrival_order)
        else:
            self._enter(now, request)

    def _on_arrivals_due(self, now: float, _event: ArrivalsDue) -> None:
        if self._hooks.arrival_order is not None:
            self._enter_arrived(now, self._hooks.arrival_order)

    def _enter_arrived(self, now: float, arrival_order: ArrivalOrder) -> None:
        """Go on with the requests before which no other one of their key arrived."""
        while (number := arrival_order.pop_ready(now)) is not None:
            entry = self._ledger.entries.get(number)
            if entry is not None and not entry.final_state:
                self._enter(now, entry.request)

    def _enter(self, now: float, request: ClientRequest) -> None:
        """Queue a request by its key, and pass it to the admission gate or the decision module."""
        is_head_of_key: bool | None = True
        if request.key and self._hooks.key_order is not None:
            is_head_of_key = self._hooks.key_order.enter(request)
        if is_head_of_key is None:  # no free cell: the order can't be guaranteed, so the request must not run
            self._ledger.respond(request.number, Response(ResponseStatus.REJECTED))
            return
        gate = self._hooks.admission_gate
        if gate is None or gate.enter(now, request, is_head_of_key):
            self._admit(now, request, is_head_of_key)

    def _admit(self, now: float, request: ClientRequest, is_head_of_key: bool) -> None:
        """Pass a request to the decision module."""
        remaining_ms = request.timeout_ms - (now - request.received_ms)
        quota_allows = self._hooks.quota_allows
        exceeds_quota = quota_allows is not None and not quota_allows(request.tenant)
        self._notify_policy(
            now,
            policy.RequestArrived(
                request.number,
                request.cls,
                request.tenant,
                request.key,
                remaining_ms,
                request.cost_ms,
                request.memory_mb,
                float(request.group),
                exceeds_quota,
                is_head_of_key,
                request.is_suspended,
            ),
        )

    def _on_admission_decided(self, now: float, event: AdmissionDecided) -> None:
        entry = self._ledger.entries.get(event.number)
        if entry is None or entry.final_state:
            return
        if event.response is not None:
            self._ledger.respond(event.number, event.response)
        else:
            self._admit(now, entry.request, event.is_head_of_key)

    def _on_key_order_reached(self, now: float, event: policy.KeyOrderReached) -> None:
        gate = self._hooks.admission_gate
        if gate is not None and gate.on_key_order_reached(event.request):
            return  # the gate reports this with the request once it admits it
        self._notify_policy(now, event)

    def _on_client_left(self, now: float, event: ClientLeft) -> None:
        self._drop(now, event.request.number, "left")

    def _on_client_away(self, now: float, event: ClientAway) -> None:
        self._notify_policy(now, policy.RequestSuspended(event.request.number))

    def _on_client_returned(self, now: float, event: ClientReturned) -> None:
        self._notify_policy(now, policy.RequestResumed(event.request.number))

    def _on_deadline_passed(self, now: float, event: DeadlinePassed) -> None:
        # The decision module normally responds before the deadline. This covers the case that it did not.
        entry = self._ledger.entries.get(event.number)
        if entry is None or entry.final_state:
            return
        self._telemetry.log("request_deadline_passed", request=event.number)
        self._ledger.respond(event.number, Response(ResponseStatus.FAILED))  # which may remove the entry
        self._notify_policy(now, policy.ClientDisconnected(event.number))
        self._ledger.remove_if_complete(entry)

    def _drop(self, now: float, number: int, reason: str) -> None:
        entry = self._ledger.entries.get(number)
        if entry is None:
            return
        self._ledger.drop(entry, reason)
        self._notify_policy(now, policy.ClientDisconnected(number))
        self._ledger.remove_if_complete(entry)

    def _on_shutdown_started(self, now: float, event: ShutdownStarted) -> None:
        self._log_shutdown()
        self._executor.execute(now, self._controller.end_all_requests(now))
        if self._hooks.admission_gate is not None:
            for number in self._hooks.admission_gate.close():
                self._ledger.respond(number, Response(ResponseStatus.REJECTED))
        # The rest were never passed to the controller: the gate has admitted them, but that event is still queued.
        for number in self._ledger.unsettled:
            self._ledger.respond(number, Response(ResponseStatus.REJECTED))

    def _log_shutdown(self) -> None:
        """Log how many requests are open, and how many are still queued here, unless there are none."""
        unsettled_count = len(self._ledger.unsettled)
        queued_count = sum(isinstance(event, ClientRequest) for event in self._dispatcher.inbox)
        if unsettled_count or queued_count:
            self._telemetry.log("open_requests_ended", open=unsettled_count, queued=queued_count)

    # Attempts.

    def _on_attempt_completed(self, now: float, event: AttemptCompleted) -> None:
        attempt = event.attempt
        request = attempt.request
        entry = self._ledger.entries.get(request.number)
        self._report_outcome(event)
        if entry is not None and event.outcome == AttemptOutcome.OK and not entry.final_state:
            self._ledger.respond(request.number, Response(ResponseStatus.SERVED, event.result))
        self._notify_policy(now, self._attempt_ended(event, entry))
        if self._hooks.on_engine_changed is not None:
            self._hooks.on_engine_changed(attempt.engine, event.report)
        if entry is not None:
            self._ledger.remove_if_complete(entry)
        else:
            # The entry was removed after an exception; such a request has at most one attempt in flight, this one.
            self._ledger.complete(request, event.may_still_run)

    def _report_outcome(self, event: AttemptCompleted) -> None:
        """Report an outcome to the admission gate and the counters, and log it unless it is OK or CANCELLED."""
        attempt = event.attempt
        request = attempt.request
        if self._hooks.admission_gate is not None:
            engine = self._endpoints.engines.get(attempt.engine)
            if engine is not None:
                self._hooks.admission_gate.on_attempt_ended(engine.name, event.outcome)
        self._telemetry.count(OUTCOME_COUNTERS[event.outcome], request.front, self._classes[request.cls][1])
        if event.outcome not in (AttemptOutcome.OK, AttemptOutcome.CANCELLED):
            self._telemetry.log(
                "attempt_failed",
                request=request.number,
                ticket=request.ticket,
                attempt=attempt.number,
                engine=self._endpoints.engines[attempt.engine].name,
                outcome=AttemptOutcome(event.outcome).name,
                ms=round(event.ended_at_ms - attempt.sent_ms, 1),
            )

    @staticmethod
    def _attempt_ended(event: AttemptCompleted, entry: RequestEntry | None) -> policy.AttemptEnded:
        attempt = event.attempt
        is_settled = entry is None or bool(entry.final_state)
        return policy.AttemptEnded(
            attempt.request.number,
            attempt.number,
            attempt.engine,
            event.outcome,
            event.ended_at_ms - attempt.sent_ms,
            is_settled,
            event.cost.cost_ms,
            event.cost.memory_mb,
            event.report,
            event.may_still_run,
        )

    # Engines.

    def _on_endpoints_listed(self, now: float, event: EndpointsListed) -> None:
        self._notify_policy(now, self._endpoints.apply_listing(now, event))

    def _on_bans_changed(self, now: float, event: BansChanged) -> None:
        self._notify_list_change(now, self._endpoints.apply_bans(event))

    def _on_engine_draining(self, now: float, event: EngineDraining) -> None:
        self._notify_list_change(now, self._endpoints.apply_draining(event))

    def _on_engines_restarted(self, now: float, event: EnginesRestarted) -> None:
        self._notify_list_change(now, self._endpoints.apply_restarts(event))

    def _notify_list_change(self, now: float, change: policy.EndpointListUpdated | None) -> None:
        if change is not None:
            self._notify_policy(now, change)

    def _on_engine_expired(self, now: float, event: EngineExpired) -> None:
        if not self._endpoints.is_gone(event.engine):
            return
        if self._ledger.uses_engine(event.engine):
            self._endpoints.schedule_expiry(now, event.engine)
        else:
            self._endpoints.remove(event.engine)

    # Limits and settings.

    def _on_open_limit_changed(self, now: float, event: OpenLimitChanged) -> None:
        self._controller.max_open_requests = event.max_open

    def _on_settings_changed(self, now: float, event: SettingsChanged) -> None:
        self._controller.settings = event.settings
