"""The core: the public methods that fronts, drivers and other components call, and the wiring of its modules.

A single task (`Core.run`) uses the Controller and the request ledger; all other code sends it events through a queue.
The core tracks each request from submission to its single final response, each attempt from StartAttempt to its single
end, and the endpoint list as it was passed to the decision module. It is independent of wire protocols.

Engines, priorities, memory grants, delays and responses are chosen by frostspindle/policy only. The core guarantees at
most one response per request, and an exception in the processing of one request does not end the process.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable, Sequence
from typing import Any

from frostspindle import policy
from frostspindle.core import figures
from frostspindle.core.actions import ActionExecutor
from frostspindle.core.arrival_clock import ArrivalClock
from frostspindle.core.attempts import Attempt, WithheldReason
from frostspindle.core.dispatcher import EventDispatcher
from frostspindle.core.drivers import Driver, EngineState
from frostspindle.core.endpoints import EndpointRegistry
from frostspindle.core.event_handlers import EventHandlers
from frostspindle.core.interfaces import CoreHooks
from frostspindle.core.ledger import RequestLedger
from frostspindle.core.messages import (
    AdmissionDecided,
    ArrivalsDue,
    AttemptCompleted,
    BansChanged,
    ClientAway,
    ClientLeft,
    ClientReturned,
    EndpointsListed,
    EngineDraining,
    EnginesRestarted,
    OpenLimitChanged,
    SettingsChanged,
    ShutdownStarted,
)
from frostspindle.core.requests import UNKNOWN_COST, ClientRequest, MeasuredCost, Response, ResponseStatus
from frostspindle.core.steady_clock import clock
from frostspindle.held_memory import HeldMemory
from frostspindle.input_memory import InputMemory
from frostspindle.policy.controller import Controller
from frostspindle.telemetry import Telemetry


class Core(CoreHooks):
    """Connects one Controller to fronts and drivers through their interfaces.

    Not thread-safe: call all methods in the event loop's thread, from any task. The events that they queue are
    processed by the task that executes `run`.
    """

    def __init__(
        self,
        settings: policy.Settings,
        classes: Sequence[tuple[str, str]],
        seed: int,
        telemetry: Telemetry,
        max_open_requests: int = 512,
        memory_mb: float = 192.0,
    ) -> None:
        super().__init__()
        self.settings = settings  # those at startup; `apply_settings` doesn't change them
        self.classes = classes  # (front, name) of each class
        self.telemetry = telemetry
        self.max_open_requests = max_open_requests  # `submit` rejects requests beyond this
        self.held_memory = HeldMemory(memory_mb)
        self.input_memory = InputMemory(self.held_memory, time.monotonic)
        self.is_shutting_down = False  # the open requests were ended, and all later ones are rejected
        self.controller = Controller(settings, seed)
        self.dispatcher = EventDispatcher(telemetry)
        self.endpoints = EndpointRegistry(self, telemetry, self.dispatcher.timers)
        self.engines: dict[int, EngineState] = self.endpoints.engines
        self.ledger = RequestLedger(self, classes, telemetry, self.engines, self.dispatcher.timers)
        self.dispatcher.has_open_requests = lambda: bool(self.ledger.entries)
        executor = ActionExecutor(self, classes, telemetry, self.engines, self.ledger, self.dispatcher)
        self.event_handlers = EventHandlers(
            self, classes, telemetry, self.controller, self.ledger, self.endpoints, self.dispatcher, executor
        )

    async def run(self) -> None:
        """Process events and timers until cancelled. Only this task uses the Controller."""
        await self.dispatcher.run(self.event_handlers)

    # Called by fronts.

    @property
    def open(self) -> int:
        """Number of accepted requests that have no response yet."""
        return self.ledger.open_count + (self.interceptor.open if self.interceptor is not None else 0)

    def submit(self, request: ClientRequest) -> bool:
        """Queue a request. Return False if it can't be accepted now.

        That is so if too many are open, if too much memory is held for others, or while an attempt of an earlier
        request with its ticket may be running: engines would have two queries of one id.

        The front must reject such a request, without the decision module.

        During shutdown the interceptor takes no requests, as it would answer them later than the decision module.
        """
        if self.interceptor is not None and not self.is_shutting_down:
            is_accepted = self.interceptor.try_take(request)
            if is_accepted is not None:
                request.was_sent = is_accepted  # as subrequests, which are not told apart here
                return is_accepted
        if self.ledger.open_count >= self.max_open_requests or self.ledger.is_ticket_running(request.ticket):
            self._count_refused(request)
            return False
        request.charge = self.held_memory.admit(request.statement)
        if request.charge is None:
            self.telemetry.count("refused_for_memory", request.front, self.classes[request.cls][1])
            self._count_refused(request)
            return False
        self.ledger.open_count += 1
        if request.key and self.arrival_order is not None:
            self.arrival_order.submitted(request)
        self.dispatcher.enqueue(request)
        return True

    def _count_refused(self, request: ClientRequest) -> None:
        self.telemetry.count("full", request.front, self.classes[request.cls][1])
        if self.observer is not None:
            self.observer.on_response(request, ResponseStatus.REJECTED, "")

    def client_disconnected(self, request: ClientRequest) -> None:
        """Drop a request whose client has disconnected. It gets no response."""
        if self.interceptor is not None and self.interceptor.client_disconnected(request):
            return
        if not request.is_finished:
            request.is_finished = True
            self.dispatcher.enqueue(ClientLeft(request))

    def may_run(self, request: ClientRequest) -> bool:
        """Return whether an attempt of a request, also of a settled one, may be running at an engine."""
        return self.ledger.may_run(request)

    def suspend_request(self, request: ClientRequest) -> None:
        """Start no further attempts of a request whose client is away and may return; those in flight continue."""
        if request.is_suspended or request.is_finished:
            return
        request.is_suspended = True
        if self.interceptor is not None:
            for subrequest in self.interceptor.subrequests(request):
                self.suspend_request(subrequest)
        self.dispatcher.enqueue(ClientAway(request))

    def resume_request(self, request: ClientRequest) -> None:
        """Resume a suspended request after its client has returned."""
        if not request.is_suspended or request.is_finished:
            return
        request.is_suspended = False
        if self.interceptor is not None:
            for subrequest in self.interceptor.subrequests(request):
                self.resume_request(subrequest)
        self.dispatcher.enqueue(ClientReturned(request))

    # Called by drivers.

    def update_endpoints(self, driver: Driver, engines: Iterable[EngineState], kind: int, version: int) -> None:
        """Queue a driver's engine list, complete or incremental, ahead of all client events."""
        self.dispatcher.enqueue_urgent(EndpointsListed(driver, tuple(engines), kind, version))

    async def catch_up(self) -> None:
        """Let the event loop read input that arrived while the process was stopped; call it before `may_send`."""
        await ArrivalClock.of(asyncio.get_running_loop()).catch_up()

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent; drivers call this once, right before they write its first byte.

        Since the decision, the engine may have started to drain, the client may have disconnected, or the deadline may
        have passed. If the client has disconnected, its request is dropped, which is processed before the attempt's
        end.
        """
        reason = self._withheld_reason(attempt)
        if reason is None:
            attempt.request.was_sent = True
            return True
        self.telemetry.log(
            "attempt_withheld",
            request=attempt.request.number,
            ticket=attempt.request.ticket,
            attempt=attempt.number,
            reason=reason,
        )
        return False

    def _withheld_reason(self, attempt: Attempt) -> WithheldReason | None:
        """Return why an attempt may not be sent, or None if it may."""
        engine = self.engines.get(attempt.engine)
        if attempt.is_finished or attempt.is_abandoned:
            return WithheldReason.ABANDONED
        if self.is_shutting_down:
            return WithheldReason.SHUTTING_DOWN
        if engine is None or not self.endpoints.accepts_attempts(engine):
            return WithheldReason.ENGINE_UNAVAILABLE
        if clock() > attempt.begin_by_ms:
            return WithheldReason.WINDOW_OVER
        if not attempt.request.is_client_connected():
            if attempt.request.is_suspended:  # the client may reconnect
                return WithheldReason.CLIENT_AWAY
            self.client_disconnected(attempt.request)
            return WithheldReason.CLIENT_LEFT
        if self.may_start is None:
            return None
        # Call `may_start` last, as an attempt that it allows is charged. It may also receive new bans and drains, so
        # check the engine again.
        if self.may_start(engine, attempt) and self.endpoints.accepts_attempts(engine):
            return None
        return WithheldReason.WORKER_LIMIT

    def count_written(self, attempt: Attempt) -> None:
        """Count an attempt whose request has been written to the engine completely."""
        self.telemetry.count("written", attempt.request.front, attempt.class_name)

    def report_progress(self, attempt: Attempt, kind: int, value: float) -> None:
        """Forward a report about an attempt in flight, such as its progress; ignored once the attempt has ended."""
        if not attempt.is_finished:
            self.dispatcher.enqueue(
                policy.ProgressReported(attempt.request.number, attempt.number, attempt.engine, kind, value)
            )

    def attempt_lost(self, attempt: Attempt, until_ms: float) -> None:
        """Record that an attempt is given up; its engine may run it until `until_ms`, and `attempt_ended` follows."""
        if not attempt.is_finished:
            self.dispatcher.enqueue(
                policy.AttemptLost(attempt.request.number, attempt.number, attempt.engine, until_ms)
            )

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: int,
        report: tuple[float, ...] = (),
        result: Any = None,
        needed: MeasuredCost = UNKNOWN_COST,
        may_still_run: bool = False,
    ) -> None:
        """Record the end of an attempt; later calls for the same attempt are ignored.

        `may_still_run`: nothing proves that the engine runs it no more, so that its request gets no further attempt.
        """
        if attempt.is_finished:
            return
        attempt.is_finished = True
        self.ledger.attempt_ended(attempt.request.ticket)
        attempt.may_still_run = may_still_run
        attempt.task = None  # break the reference cycle, which would have to wait for the garbage collector
        self.dispatcher.enqueue(AttemptCompleted(attempt, outcome, report, result, clock(), needed, may_still_run))

    def health_check_completed(
        self, engine: int, outcome: int, elapsed_ms: float, report: tuple[float, ...] = ()
    ) -> None:
        """Record the outcome of a health check, its duration in ms, and the load report if there is one."""
        self.dispatcher.enqueue(policy.HealthCheckCompleted(engine, outcome, elapsed_ms, report))

    # Called for operators, other workers and the optional components.

    @property
    def names(self) -> dict[str, None]:
        """Names of all engines listed so far, oldest first, up to MAX_ENGINE_NAMES."""
        return self.endpoints.names

    @property
    def banned(self) -> frozenset[str]:
        """Names of the banned engines."""
        return self.endpoints.banned

    @property
    def has_pending_changes(self) -> bool:
        """Whether changes of the engine list, bans or settings are queued but not applied."""
        return bool(self.dispatcher.urgent)

    def ban(self, names: frozenset[str]) -> None:
        """Replace the set of banned engines. `may_send` applies it at once; the decision module gets it as an event."""
        self.dispatcher.enqueue_urgent(BansChanged(self.endpoints.set_bans(names)))

    def mark_draining(self, name: str, version: int) -> None:
        """Start no attempts at an engine that drains by another worker's newer list, until our list is as new."""
        if self.endpoints.set_draining(name, version):
            self.dispatcher.enqueue_urgent(EngineDraining(name))

    def mark_restarted(self, starts: dict[str, float]) -> None:
        """Set the start times (Unix ms, by name) of engines that lost power; a later listed start takes priority."""
        self.endpoints.set_restarted(starts)
        self.dispatcher.enqueue_urgent(EnginesRestarted(frozenset(starts)))

    def check_arrivals(self) -> None:
        """Queue a look at the requests that wait for input which arrived before them."""
        self.dispatcher.enqueue(ArrivalsDue())

    def key_order_reached(self, number: int) -> None:
        """Queue the event that a request no longer waits for another process's request with the same key."""
        self.dispatcher.enqueue(policy.KeyOrderReached(number))

    def admit_waiting(self, number: int, is_head_of_key: bool) -> None:
        """Pass a request that waited at the gate to the decision module.

        `is_head_of_key` tells whether the request is at the head of its key's queue.
        """
        self.dispatcher.enqueue(AdmissionDecided(number, is_head_of_key))

    def reject_waiting(self, number: int, response: Response) -> None:
        """Respond to a request that waited at the gate, without the decision module."""
        self.dispatcher.enqueue(AdmissionDecided(number, response=response))

    def update_worker_loads(self, entries: tuple[policy.WorkerLoad, ...]) -> None:
        """Forward the loads of the other workers to the decision module."""
        self.dispatcher.enqueue(policy.WorkerLoadReported(entries))

    def set_open_limit(self, max_open: int) -> None:
        """Set the number of open requests above which the decision module rejects waiting ones."""
        self.dispatcher.enqueue_urgent(OpenLimitChanged(max_open))

    def apply_settings(self, settings: policy.Settings) -> None:
        """Change tenant quotas and the objectives, deadlines and weights of classes; all else must be unchanged."""
        self.dispatcher.enqueue_urgent(SettingsChanged(settings))

    def fail_open_requests(self) -> None:
        """Make the decision module end all open requests at shutdown, and reject all that it gets later.

        This includes requests that are queued now: the event overtakes them.
        """
        self.is_shutting_down = True
        self.dispatcher.enqueue_urgent(ShutdownStarted())

    # Figures.

    def sizes(self) -> dict[str, int]:
        """Return the size of each of the core's tables, which are all bounded, to detect leaks."""
        return figures.table_sizes(self.ledger, self.endpoints, self.controller, self.dispatcher)

    def snapshot(self) -> dict[str, Any]:
        """Return the current state of requests and engines, to compare with the traffic on the sockets."""
        return figures.snapshot(self.ledger, self.endpoints, self.controller, self.dispatcher, self.held_memory)

    def figures(self) -> dict[str, Any]:
        """Return the figures for operators, SIGUSR1 and SNMP, from the counters and the ledger."""
        return figures.operator_figures(
            self.classes, self.telemetry, self.ledger, self.endpoints, self.controller, self.held_memory
        )
