"""The core: the public methods that fronts, drivers and other parts call, and the wiring of its own parts.

One task (`Core.run`) owns the Controller and the ledger of requests; everything else reaches it by one queue of events.
The core owns each request from the moment a front submits it until its one final response, each attempt from the
decision module's StartAttempt until its one end, and the endpoint list as that module was told it. It knows no wire
protocol. It must never choose an engine, a priority, a memory grant, a wait or a response (frostspindle/policy does),
never respond to a request twice, and never let the fault of one request end the process.
"""

from __future__ import annotations

import asyncio
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
from frostspindle.policy.controller import Controller
from frostspindle.telemetry import Telemetry


class Core(CoreHooks):
    """Runs one Controller against fronts and drivers, which it knows by their interfaces only.

    All methods belong to the thread of the event loop. They may be called from any of its tasks: what they queue is
    processed by the task of `run`.
    """

    def __init__(
        self,
        settings: policy.Settings,
        classes: Sequence[tuple[str, str]],
        seed: int,
        telemetry: Telemetry,
        max_open_requests: int = 512,
    ) -> None:
        super().__init__()
        self.settings = settings  # as at the start
        self.classes = classes  # front and name of each class
        self.telemetry = telemetry
        self.max_open_requests = max_open_requests  # `submit` rejects requests beyond this
        self.controller = Controller(settings, seed)
        self.dispatcher = EventDispatcher(telemetry)
        self.endpoints = EndpointRegistry(self, telemetry, self.dispatcher.timers)
        self.engines: dict[int, EngineState] = self.endpoints.engines
        self.ledger = RequestLedger(self, classes, telemetry, self.engines, self.dispatcher.timers)
        self.dispatcher.holds_requests = lambda: bool(self.ledger.entries)
        executor = ActionExecutor(self, classes, telemetry, self.engines, self.ledger, self.dispatcher)
        self.event_handlers = EventHandlers(
            self, classes, telemetry, self.controller, self.ledger, self.endpoints, self.dispatcher, executor
        )

    async def run(self) -> None:
        """Process events and timers, as the only user of the Controller, until cancelled."""
        await self.dispatcher.run(self.event_handlers)

    # What fronts call.

    @property
    def open(self) -> int:
        """Number of requests taken and not yet answered."""
        return self.ledger.open_count + (self.interceptor.open if self.interceptor is not None else 0)

    def submit(self, request: ClientRequest) -> bool:
        """Take a request; False: the core is full, so the front rejects it and the decision module never sees it."""
        if self.interceptor is not None:
            taken = self.interceptor.try_take(request)
            if taken is not None:
                return taken
        if self.ledger.open_count >= self.max_open_requests:
            self.telemetry.count("full", request.front, self.classes[request.cls][1])
            if self.observer is not None:
                self.observer.on_response(request, ResponseStatus.REJECTED, "")
            return False
        self.ledger.open_count += 1
        self.dispatcher.enqueue(request)
        return True

    def client_disconnected(self, request: ClientRequest) -> None:
        """Drop a request whose client has disconnected; no response follows."""
        if self.interceptor is not None and self.interceptor.client_disconnected(request):
            return
        if not request.is_finished:
            request.is_finished = True
            self.dispatcher.enqueue(ClientLeft(request))

    def suspend_request(self, request: ClientRequest) -> None:
        """Send nothing more for a request whose client is away and may return; attempts in flight go on."""
        if request.is_suspended or request.is_finished:
            return
        request.is_suspended = True
        if self.interceptor is not None:
            for subrequest in self.interceptor.subrequests(request):
                self.suspend_request(subrequest)
        self.dispatcher.enqueue(ClientAway(request))

    def resume_request(self, request: ClientRequest) -> None:
        """Go on with a suspended request, as its client has returned."""
        if not request.is_suspended or request.is_finished:
            return
        request.is_suspended = False
        if self.interceptor is not None:
            for subrequest in self.interceptor.subrequests(request):
                self.resume_request(subrequest)
        self.dispatcher.enqueue(ClientReturned(request))

    # What drivers call.

    def update_endpoints(self, driver: Driver, engines: Iterable[EngineState], kind: int, version: int) -> None:
        """Take a driver's engine list, complete or as changes; it is applied before all client work."""
        self.dispatcher.enqueue_urgent(EndpointsListed(driver, tuple(engines), kind, version))

    async def catch_up(self) -> None:
        """Let the event loop read what came while the process did not run; drivers wait for it before `may_send`."""
        await ArrivalClock.of(asyncio.get_running_loop()).catch_up()

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent; drivers ask once, right before its first byte.

        Since the decision the engine may have begun to drain, the client may have left, or the time may be up. A client
        found gone is dropped here, and that is applied before the attempt's end.
        """
        reason = self._withheld_reason(attempt)
        if reason is None:
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
        """Return why an attempt may not be sent now, None if it may."""
        engine = self.engines.get(attempt.engine)
        if attempt.is_finished or attempt.is_abandoned:
            return WithheldReason.ABANDONED
        if engine is None or not self.endpoints.accepts_attempts(engine):
            return WithheldReason.ENGINE_UNAVAILABLE
        if clock() > attempt.begin_by_ms:
            return WithheldReason.WINDOW_OVER
        if not attempt.request.is_client_connected():
            if attempt.request.is_suspended:  # its front expects it back
                return WithheldReason.CLIENT_AWAY
            self.client_disconnected(attempt.request)
            return WithheldReason.CLIENT_LEFT
        if self.may_start is None:
            return None
        # What `may_start` allows is paid for, and while it asks it may learn of bans and drains.
        if self.may_start(engine, attempt) and self.endpoints.accepts_attempts(engine):
            return None
        return WithheldReason.WORKER_LIMIT

    def count_written(self, attempt: Attempt) -> None:
        """Count an attempt that has been written completely to its engine."""
        self.telemetry.count("written", attempt.request.front, attempt.class_name)

    def report_progress(self, attempt: Attempt, kind: int, value: float) -> None:
        """Pass on a report about an attempt in flight, such as its progress; dropped once the attempt has ended."""
        if not attempt.is_finished:
            self.dispatcher.enqueue(
                policy.ProgressReported(attempt.request.number, attempt.number, attempt.engine, kind, value)
            )

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: int,
        report: tuple[float, ...] = (),
        result: Any = None,
        needed: MeasuredCost = UNKNOWN_COST,
    ) -> None:
        """Take the one end of an attempt; any later report of it is dropped."""
        if attempt.is_finished:
            return
        attempt.is_finished = True
        attempt.task = None  # a reference cycle would be left to the garbage collector
        self.dispatcher.enqueue(AttemptCompleted(attempt, outcome, report, result, clock(), needed))

    def health_check_completed(
        self, engine: int, outcome: int, elapsed_ms: float, report: tuple[float, ...] = ()
    ) -> None:
        """Take the outcome of a health check, how long it took in ms, and the load report if one came."""
        self.dispatcher.enqueue(policy.HealthCheckCompleted(engine, outcome, elapsed_ms, report))

    # What operators, other workers and the optional parts call.

    @property
    def names(self) -> dict[str, None]:
        """Names of the engines that were ever listed, oldest first and up to a limit."""
        return self.endpoints.names

    @property
    def banned(self) -> frozenset[str]:
        """Names of the banned engines."""
        return self.endpoints.banned

    @property
    def has_pending_changes(self) -> bool:
        """Whether changes of the engine list, bans or settings are still to be applied."""
        return bool(self.dispatcher.urgent)

    def ban(self, names: frozenset[str]) -> None:
        """Ban exactly these engines, by name: drivers obey at once, the decision module is notified next."""
        self.dispatcher.enqueue_urgent(BansChanged(self.endpoints.set_bans(names)))

    def mark_draining(self, name: str, version: int) -> None:
        """Send nothing to an engine that another worker's newer list shows as draining, until this list catches up."""
        if self.endpoints.set_draining(name, version):
            self.dispatcher.enqueue_urgent(EngineDraining(name))

    def mark_restarted(self, starts: dict[str, float]) -> None:
        """Treat engines that have lost power as started at these times (Unix ms, by name), unless listed as later."""
        self.endpoints.set_restarted(starts)
        self.dispatcher.enqueue_urgent(EnginesRestarted(frozenset(starts)))

    def key_order_reached(self, number: int) -> None:
        """Note that a request which waited for another process's request with its key may go."""
        self.dispatcher.enqueue(policy.KeyOrderReached(number))

    def admit_waiting(self, number: int, turn: bool) -> None:
        """Pass a request that waited at the gate on to the decision module; `turn`: its turn by key has come."""
        self.dispatcher.enqueue(AdmissionDecided(number, turn))

    def reject_waiting(self, number: int, answer: Response) -> None:
        """Answer a request that waited at the gate, without the decision module."""
        self.dispatcher.enqueue(AdmissionDecided(number, response=answer))

    def update_worker_loads(self, entries: tuple[policy.WorkerLoad, ...]) -> None:
        """Pass the state of the other workers on to the decision module."""
        self.dispatcher.enqueue(policy.WorkerLoadReported(entries))

    def set_open_limit(self, most: int) -> None:
        """Set how many requests may be open before the decision module rejects some of those that wait."""
        self.dispatcher.enqueue_urgent(OpenLimitChanged(most))

    def apply_settings(self, settings: policy.Settings) -> None:
        """Change quotas of tenants, and objectives, deadlines and weights of classes; all else must be as before."""
        self.dispatcher.enqueue_urgent(SettingsChanged(settings))

    def fail_open_requests(self) -> None:
        """Let the decision module end all open requests, as the program ends and no response would come."""
        self.dispatcher.enqueue_urgent(ShutdownStarted())

    # Figures.

    def sizes(self) -> dict[str, int]:
        """Return the size of each of the core's tables; each is bounded, and a slow growth would show here."""
        return figures.table_sizes(self.ledger, self.endpoints, self.controller, self.dispatcher)

    def snapshot(self) -> dict[str, Any]:
        """Return the current beliefs on requests and engines, to compare with the traffic on the sockets."""
        return figures.snapshot(self.ledger, self.endpoints, self.controller, self.dispatcher)

    def figures(self) -> dict[str, Any]:
        """Return the figures that operators, SIGUSR1 and SNMP all read, from the counters and the ledger."""
        return figures.operator_figures(self.classes, self.telemetry, self.ledger, self.endpoints, self.controller)
