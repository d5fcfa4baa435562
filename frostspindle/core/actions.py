"""Executes the decision module's actions, with one handler for each action type."""

from __future__ import annotations

import traceback
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from frostspindle import policy
from frostspindle.core.attempts import Attempt
from frostspindle.core.dispatcher import EventDispatcher
from frostspindle.core.drivers import EngineState
from frostspindle.core.interfaces import CoreHooks
from frostspindle.core.ledger import RequestEntry, RequestLedger
from frostspindle.core.requests import Response, ResponseStatus
from frostspindle.telemetry import Telemetry


class ActionExecutor:
    """Executes the decision module's actions in the core's task, on the ledger, the drivers and the timers."""

    def __init__(
        self,
        hooks: CoreHooks,
        classes: Sequence[tuple[str, str]],
        telemetry: Telemetry,
        engines: dict[int, EngineState],
        ledger: RequestLedger,
        dispatcher: EventDispatcher,
    ) -> None:
        self._hooks = hooks
        self._classes = classes
        self._telemetry = telemetry
        self._engines = engines
        self._ledger = ledger
        self._dispatcher = dispatcher
        self._handlers: dict[type, Callable[[float, Any], None]] = {
            policy.StartAttempt: self._start_attempt,
            policy.UpdatePriority: self._update_priority,
            policy.CancelAttempt: self._cancel_attempt,
            policy.RejectRequest: self._reject_request,
            policy.FailRequest: self._fail_request,
            policy.RunHealthCheck: self._run_health_check,
            policy.SubscribeEndpoints: self._subscribe_endpoints,
            policy.SetTimer: self._set_timer,
            policy.WriteLog: self._write_log,
        }

    def execute(self, now: float, actions: Iterable[policy.Action]) -> None:
        """Execute actions in order. An exception in one fails only the request that the action belongs to."""
        for action in actions:
            try:
                self._handlers[type(action)](now, action)
            except Exception as error:  # noqa: BLE001 - the other actions belong to other requests
                self._telemetry.count("faults")
                self._telemetry.log(
                    "exception_caught", error=repr(error), of=repr(action), at=traceback.format_exc(limit=-3)
                )
                self._ledger.fail_after_fault(getattr(action, "request", 0))

    def _start_attempt(self, now: float, action: policy.StartAttempt) -> None:
        entry = self._ledger.entries[action.request]
        engine = self._engines[action.engine]
        attempt = self._new_attempt(now, action, entry)
        if not entry.allows_attempt:
            # Two attempts of one request in flight at once is the costliest violation. The decision module never
            # requests it; this is a safeguard.
            raise RuntimeError(f"request {action.request} is settled, or an attempt of it may be running")
        if entry.attempts:
            self._log_retry(now, attempt, entry.attempts[-1])
        entry.attempts.append(attempt)
        self._ledger.attempt_started(entry.request.ticket)
        self._telemetry.count("sent", entry.request.front, attempt.class_name)
        engine.driver.start_attempt(attempt)
        if self._hooks.on_engine_changed is not None:
            self._hooks.on_engine_changed(attempt.engine, ())

    def _log_retry(self, now: float, attempt: Attempt, previous: Attempt) -> None:
        self._telemetry.count("retried", attempt.request.front, attempt.class_name)
        self._telemetry.log(
            "attempt_retried",
            request=attempt.request.number,
            ticket=attempt.request.ticket,
            attempt=attempt.number,
            engine=self._engine_name(attempt),
            previous_engine=self._engine_name(previous),
            since_previous_ms=round(now - previous.sent_ms, 1),
        )

    def _engine_name(self, attempt: Attempt) -> str:
        engine = self._engines.get(attempt.engine)
        return engine.name if engine is not None else ""

    def _new_attempt(self, now: float, action: policy.StartAttempt, entry: RequestEntry) -> Attempt:
        request = entry.request
        timeout_ms = action.timeout_ms or max(1.0, request.received_ms + request.timeout_ms - now)
        return Attempt(
            request,
            len(entry.attempts),
            action.engine,
            now,
            timeout_ms,
            self._classes[request.cls][1],
            entry.grant_mb,
            entry.priority,
            begin_by_ms=action.begin_by_ms,
        )

    def _update_priority(self, now: float, action: policy.UpdatePriority) -> None:
        entry = self._ledger.entries.get(action.request)
        if entry is None:
            return
        has_changed = entry.priority != action.priority
        entry.priority = action.priority
        entry.grant_mb = action.memory_mb
        if not has_changed:
            return
        for attempt in entry.attempts:
            if not attempt.is_finished:
                attempt.priority = action.priority
                self._engines[attempt.engine].driver.update_priority(attempt)

    def _cancel_attempt(self, now: float, action: policy.CancelAttempt) -> None:
        entry = self._ledger.entries.get(action.request)
        if entry is None:
            return
        attempt = entry.attempts[action.attempt]
        if not attempt.is_finished:
            self._engines[attempt.engine].driver.cancel_attempt(attempt)

    def _reject_request(self, now: float, action: policy.RejectRequest) -> None:
        self._ledger.respond(action.request, Response(ResponseStatus.REJECTED, None, action.retry_after_ms))

    def _fail_request(self, now: float, action: policy.FailRequest) -> None:
        self._ledger.respond(action.request, Response(ResponseStatus.FAILED))

    def _run_health_check(self, now: float, action: policy.RunHealthCheck) -> None:
        self._telemetry.count("probes")
        self._engines[action.engine].driver.start_health_check(action.engine)

    def _subscribe_endpoints(self, now: float, action: policy.SubscribeEndpoints) -> None:
        """Do nothing: drivers and the endpoint watcher manage their subscriptions themselves."""

    def _set_timer(self, now: float, action: policy.SetTimer) -> None:
        self._dispatcher.set_policy_timer(action.due_at_ms, action.token)

    def _write_log(self, now: float, action: policy.WriteLog) -> None:
        self._telemetry.log("policy_logged", text=action.text)
