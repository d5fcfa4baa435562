"""The core: one task that owns the Controller, the ledger of requests and attempts, and the timers.

Owns each request from the moment a front hands it in until its one final answer, each attempt from the
module's Send until its one end, and the list of engines as the module was told it. It knows no wire: fronts
reach it through Ask and submit/left, engine drivers through the Driver interface and note/ended/probed, and
all of these only put an event into one inbox. It must never choose an engine, a priority, a grant, a wait or
an answer (frostspindle/policy does), never answer a request twice, and never let the fault of one request
end the process.
"""

from __future__ import annotations

import asyncio
import math
import time
import traceback
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from frostspindle import policy
from frostspindle.policy import AttemptOutcome, EndpointListKind, Health
from frostspindle.policy.controller import Controller
from frostspindle.telemetry import Telemetry
from frostspindle.timers import OUT, Timer, TimerWheel

SUBREQUEST_FRONT = "part"  # front of what is asked for on a client's behalf: figures of clients leave it out
GONE_ENGINE_RETENTION_MS = 30_000.0  # an engine that is gone for so long is forgotten
AGAIN_MS = 20.0  # a reminder of the module's that met a fault comes again after this
# Counters by outcome; their names are metric names, which stay.
ENDED = {
    int(AttemptOutcome.OK): "ended_ok",
    int(AttemptOutcome.NOT_SENT): "ended_moot",
    int(AttemptOutcome.CANCELLED): "ended_cancelled",
    int(AttemptOutcome.RESET): "ended_reset",
    int(AttemptOutcome.CONNECT_FAILED): "ended_connect_failed",
    int(AttemptOutcome.TIMEOUT): "ended_timeout",
    int(AttemptOutcome.OVERLOADED): "ended_full",
    int(AttemptOutcome.ERROR): "ended_error",
}
# What operators are told of a class, and the counters behind it; lost: open when a worker died.
FIGURES = {"success": ("served",), "busy": ("refused", "full"), "failure": ("failed", "lost")}
MOST_NAMES = 4096  # of engines that were ever listed
TURN = 64  # events, and timers, that one turn of the task may take before the sockets get theirs
STEP_MS = 1000.0  # a clock that is back by so much was set
LEAST_MS = 1.0  # an engine can't be told of less, and with less nothing is sent
NEAR_S = 50e-6  # an alarm that is set for a moment so near is not set anew: that would cost more than the wait


def clock() -> float:
    """Return the time in Unix ms, the only clock that rules and deadlines use."""
    return time.time() * 1000.0


class ResponseStatus(StrEnum):
    """Outcome that a client is told; the values are also names of counters."""

    SERVED = "served"
    REJECTED = "refused"  # nothing ran, a retry is harmless
    FAILED = "failed"  # it may have run


class Response(NamedTuple):
    """The one final response to a request; the wait before a retry is in ms."""

    status: ResponseStatus
    result: Any = None
    retry_after_ms: float = 0.0
    reason: str = ""  # for the client: why trying again is of no use
    mark: str = ""  # of a result: what is missing in it


def _present() -> bool:
    """The client of a request whose front can't tell whether it is there."""
    return True


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request as a front submits it, times in ms; `settle` is called exactly once unless the client left."""

    front: str
    cls: int
    ticket: str
    statement: str
    received_ms: float
    left_ms: float
    on_response: Callable[[Response], None]
    cost_ms: float = 0.0
    memory_mb: float = 0.0
    group: int = -1  # of tables, by number; -1: none
    place: str = ""  # the database, for drivers that need to name it
    tenant: int = 0  # the module's number of it; 0: the default
    key: int = 0  # of what it must keep its order with; 0: with nothing
    site: str = ""  # where its rows go, if its client says so
    partial: bool = False  # a result without what could not be had will do
    idempotency_key: str = ""  # by which engines know a repeat of it; "": none
    number: int = 0  # the core's own, once taken
    present: Callable[[], bool] = _present  # whether its client is still there: asked where bytes are about to go out
    over: bool = False  # answered, or its client left: set at once, so that nothing is sent before the core's turn


class Cancellable(Protocol):
    """A task, or an object in its place, that an attempt can be cancelled by."""

    def cancel(self) -> Any:
        """Stop the work of the attempt; the driver still reports the attempt's end by Core.attempt_ended."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One sending of a request to an engine, with the number that the decision module gave it."""

    request: ClientRequest
    number: int
    engine: int
    sent_ms: float
    timeout_ms: float
    class_name: str
    grant_mb: float
    priority: int
    over: bool = False
    task: Cancellable | None = None  # the driver's: what runs it now
    begin_by_ms: float = math.inf  # not to be begun later: a repeat past its class's window

    def left_ms(self, now: float) -> float:
        """Return the ms from `now` to its timeout or its client's deadline, whichever is first; below 0 if past."""
        return min(self.sent_ms + self.timeout_ms, self.request.received_ms + self.request.left_ms) - now

    @property
    def moot(self) -> bool:
        """Whether nobody would use its result: the request is over, or less than LEAST_MS is left."""
        return self.request.over or self.left_ms(clock()) < LEAST_MS

    @property
    def unsent(self) -> AttemptOutcome:
        """The verdict where `Core.may_send` forbade it; a moot attempt is no fault of the engine's."""
        return AttemptOutcome.NOT_SENT if self.moot else AttemptOutcome.CONNECT_FAILED


@dataclass(slots=True, eq=False)
class RequestEntry:
    """The core's record of one request: its answer, its attempts, and its current priority and memory grant."""

    request: ClientRequest
    answered: str = ""
    attempts: list[Attempt] = field(default_factory=list)
    priority: int = 1
    grant_mb: float = 0.0
    timer: Timer | None = None  # for when its client's time is up

    @property
    def out(self) -> bool:
        """Whether an attempt is in flight; none is sent before the one before it has ended."""
        return bool(self.attempts) and not self.attempts[-1].over


@dataclass(slots=True)
class EngineState:
    """An engine as it was last listed, and the driver that reaches it."""

    entry: policy.EngineEntry  # in the core's own table: as the module hears it, with bans laid over the list
    name: str
    address: tuple[str, int]
    driver: Driver
    listed: policy.EngineEntry | None = None  # in the core's own table: as the list has it
    version: int = 0  # of the list's event that told of it, where all workers number its events alike


class MeasuredCost(NamedTuple):
    """What the response says that the query needed, in ms and MB; 0: not told."""

    cost_ms: float = 0.0
    memory_mb: float = 0.0


UNKNOWN_COST = MeasuredCost()


class Driver(Protocol):
    """What the core needs of a driver, which runs attempts at engines of one protocol."""

    numbered: bool  # its list's events have the same numbers in every process

    def listed(self, engine: EngineState) -> None:
        """Take an engine that is new or has changed."""

    def start(self, attempt: Attempt) -> None:
        """Send the attempt, and report its end exactly once by Core.attempt_ended."""

    def stop(self, attempt: Attempt) -> None:
        """Cancel the attempt and free the engine's work; Core.attempt_ended follows once it can't be running."""

    def rank(self, attempt: Attempt) -> None:
        """Tell the engine the attempt's new priority."""

    def probe(self, engine: int) -> None:
        """Start a health check of the engine; Core.health_check_completed reports its outcome."""

    async def close(self) -> None:
        """End all attempts and close all connections."""


class KeyOrder(Protocol):
    """Keeps the order of a key's requests among processes; calls Core.key_order_reached when a waiting one may go."""

    def enter(self, number: int, key: int) -> bool | None:
        """Take a request: True if its turn has come, False if it has to wait, None if it can't be kept in order."""

    def over(self, number: int) -> None:
        """Note that a request is answered and no attempt of it is in flight."""


class AdmissionGate(Protocol):
    """May hold requests back before the decision module, until Core.admit_waiting or Core.reject_waiting."""

    def enter(self, now: float, request: ClientRequest, turn: bool) -> bool:
        """Take a request and return whether it goes on now; `now` in Unix ms, `turn`: its turn by key has come."""

    def turned(self, number: int) -> bool:
        """Note that a request's turn by key has come; return whether it still waits at the gate."""

    def over(self, number: int, ran: bool) -> None:
        """Note that a request is answered or its client left; `ran`: an attempt of it may have run."""

    def ended(self, engine: str, outcome: int) -> None:
        """Note the verdict of an attempt at an engine, by the engine's name."""

    def close(self) -> list[int]:
        """Stop at the program's end and return the numbers of the requests that still wait."""


@dataclass(slots=True, frozen=True)
class _AdmissionDecided:
    """The gate is done with a request: on to the module, or with this answer to its client."""

    number: int
    turn: bool = True
    answer: Response | None = None


@dataclass(slots=True, frozen=True)
class _EnginesRestarted:
    """Engines that have lost power, at a time that nobody knows."""

    names: frozenset[str]


class RequestInterceptor(Protocol):
    """Takes some requests in the core's place and answers each from several that it submits itself."""

    @property
    def open(self) -> int:
        """Number of requests taken and not yet answered."""

    def takes(self, request: ClientRequest) -> bool | None:
        """Take a request: True if it will settle it, False if it is full, None if the request is for the core."""

    def left(self, request: ClientRequest) -> bool:
        """Drop a request whose client has gone; False: it did not take this one."""


class EventObserver(Protocol):
    """Publishes answers and changes of engines; it only notes them."""

    def answered(self, request: ClientRequest, how: str, engine: str) -> None:
        """Note a request's final answer; `engine` is the last that it was sent to, "" if none was."""

    def engine(self, name: str, change: str, state: int | None = None) -> None:
        """Note that an engine is listed anew, banned, or taken back; `state`: its health on the list."""


@dataclass(slots=True, frozen=True)
class _EndpointsListed:
    driver: Driver
    engines: tuple[EngineState, ...]
    kind: int
    version: int


@dataclass(slots=True, frozen=True)
class _BansChanged:
    """Engines that were left out by hand, or are no longer; or whose end another worker was told of."""

    names: frozenset[str]
    by_hand: bool = True


@dataclass(slots=True, frozen=True)
class _OpenLimitChanged:
    """The module's bound on open requests."""

    most: int


@dataclass(slots=True, frozen=True)
class _SettingsChanged:
    """The module's settings from now on: shares and classes' times may differ from those of the start."""

    settings: policy.Settings


@dataclass(slots=True, frozen=True)
class _ShutdownStarted:
    """The program ends."""


class _DeadlinePassed(NamedTuple):
    """A request's time is up. It names the request only."""

    number: int


@dataclass(slots=True, frozen=True)
class _EngineExpired:
    """An engine has been gone for a while."""

    engine: int


class _AttemptCompleted(NamedTuple):
    attempt: Attempt
    outcome: int
    report: tuple[float, ...]
    result: Any
    at_ms: float
    needed: MeasuredCost


@dataclass(slots=True, frozen=True)
class _ClientLeft:
    request: ClientRequest


class Core:
    """Runs one Controller against fronts and drivers, which it knows by their interfaces only."""

    def __init__(
        self,
        settings: policy.Settings,
        classes: Sequence[tuple[str, str]],
        seed: int,
        telemetry: Telemetry,
        most_open: int = 512,
    ) -> None:
        self.settings, self.classes, self.telemetry, self.most_open = settings, classes, telemetry, most_open
        self.controller = Controller(settings, seed)
        self.engines: dict[int, EngineState] = {}
        self.names: dict[str, None] = {}  # all that were ever listed, up to MOST_NAMES
        self.banned: frozenset[str] = frozenset()
        self._out: dict[str, float] = {}  # when each ban began
        self._back: dict[str, float] = {}  # when a ban ended whose engine has restarted unknown to the list
        self.stops: dict[str, int] = {}  # engines that take nothing new by a newer list than ours: its number
        # Of a worker among several: asked before each send, and told of engines whose work has changed.
        self.may_start: Callable[[EngineState, Attempt], bool] | None = None
        self.on_engine_changed: Callable[[int, tuple[float, ...]], None] | None = None
        # Where processes of this coordinator share its keys: their turns.
        self.key_order: KeyOrder | None = None
        self.interceptor: RequestInterceptor | None = None
        # In a fleet: whether one more request of a tenant is within what all coordinators may take of it.
        self.quota_allows: Callable[[int], bool] | None = None
        # While service returns after a loss, and before loads: who goes on to the module.
        self.admission_gate: AdmissionGate | None = None
        self.observer: EventObserver | None = None  # where somebody subscribes to what happens here
        self._records: dict[int, RequestEntry] = {}
        self._open = self._numbers = self._version = 0
        self._urgent: deque[Any] = deque()  # the engine list; never waits behind client work
        self._inbox: deque[Any] = deque()  # bounded: most_open requests, and what their attempts report
        self._sleeper: asyncio.Future[None] | None = None  # what the task waits for while nothing is to be done
        self._timers = TimerWheel(clock())  # a token of the module's, _Overdue or _Absent
        self._alarm: asyncio.TimerHandle | None = None  # the loop's one timer for them all
        self._reminders: dict[int, Timer] = {}  # the module's last, by token
        self._seen_ms = -math.inf
        self._does: dict[type, Callable[[float, Any], None]] = {
            policy.StartAttempt: self._send,
            policy.UpdatePriority: self._terms,
            policy.CancelAttempt: self._cancel,
            policy.RejectRequest: lambda now, a: self._answer(
                a.request, Response(ResponseStatus.REJECTED, None, a.retry_after_ms)
            ),
            policy.FailRequest: lambda now, a: self._answer(a.request, Response(ResponseStatus.FAILED)),
            policy.RunHealthCheck: self._probe,
            policy.SubscribeEndpoints: lambda now, a: None,
            policy.SetTimer: lambda now, a: self._remind(a.due_at_ms, a.token),
            policy.WriteLog: lambda now, a: self.telemetry.log("module", text=a.text),
        }

    # What fronts and drivers call.

    @property
    def open(self) -> int:
        """Number of requests taken and not yet answered."""
        return self._open + (self.interceptor.open if self.interceptor is not None else 0)

    @property
    def has_pending_changes(self) -> bool:
        """Whether changes of the engine list, bans or settings are still to be applied."""
        return bool(self._urgent)

    def submit(self, request: ClientRequest) -> bool:
        """Take a request; False: the core is full, so the front refuses it and the decision module never sees it."""
        if self.interceptor is not None and (taken := self.interceptor.takes(request)) is not None:
            return taken
        if self._open >= self.most_open:
            self.telemetry.count("full", request.front, self.classes[request.cls][1])
            if self.observer is not None:
                self.observer.answered(request, ResponseStatus.REJECTED, "")
            return False
        self._open += 1
        self._put(request)
        return True

    def client_disconnected(self, request: ClientRequest) -> None:
        """Drop a request whose client has gone; no answer follows."""
        if self.interceptor is not None and self.interceptor.left(request):
            return
        if not request.over:
            request.over = True
            self._put(_ClientLeft(request))

    def update_endpoints(self, driver: Driver, engines: Iterable[EngineState], kind: int, version: int) -> None:
        """Take a driver's engine list, whole or as changes; it is applied before all client work."""
        self._urgent.append(_EndpointsListed(driver, tuple(engines), kind, version))
        self._wake()

    def report_progress(self, attempt: Attempt, kind: int, value: float) -> None:
        """Pass on news of an attempt in flight, such as its progress; dropped once the attempt has ended."""
        if not attempt.over:
            self._put(policy.ProgressReported(attempt.request.number, attempt.number, attempt.engine, kind, value))

    def attempt_ended(
        self,
        attempt: Attempt,
        outcome: int,
        report: tuple[float, ...] = (),
        result: Any = None,
        needed: MeasuredCost = UNKNOWN_COST,
    ) -> None:
        """Take the one end of an attempt; any later report of it is dropped."""
        if attempt.over:
            return
        attempt.over, attempt.task = True, None  # a circle would be left to the collector
        self._put(_AttemptCompleted(attempt, outcome, report, result, clock(), needed))

    def health_check_completed(
        self, engine: int, outcome: int, elapsed_ms: float, report: tuple[float, ...] = ()
    ) -> None:
        """Take the outcome of a health check: its verdict, how long it took in ms, and the load report if one came."""
        self._put(policy.HealthCheckCompleted(engine, outcome, elapsed_ms, report))

    def may_send(self, attempt: Attempt) -> bool:
        """Return whether an attempt may be sent; drivers ask once, right before its first byte.

        Since the decision the engine may have begun to drain, the client may have left, or the time may be up. A client
        found gone is dropped here, and that is applied before the attempt's end.
        """
        state = self.engines.get(attempt.engine)
        if state is None or attempt.over or attempt.moot or not self._takes(state):
            return False
        if clock() > attempt.begin_by_ms:
            return False
        if not attempt.request.present():
            self.client_disconnected(attempt.request)
            return False
        # Fences pay for what they let through, and may learn of bans and ends.
        return self.may_start is None or (self.may_start(state, attempt) and self._takes(state))

    def _takes(self, state: EngineState) -> bool:
        return state.entry.health == Health.READY and state.name not in self.banned and state.name not in self.stops

    def ban(self, names: frozenset[str]) -> None:
        """Ban exactly these engines, by name: drivers obey at once, the decision module is told next."""
        changed, self.banned = self.banned ^ names, names
        now = clock()
        self._out.update(dict.fromkeys(changed & names, now))
        began = {name: self._out.pop(name, now) for name in changed - names}
        told = {
            state.name
            for state in self.engines.values()
            if state.listed is not None and state.listed.since_ms > began.get(state.name, now)
        }
        self._back.update(dict.fromkeys(began.keys() - told, now))
        self._urgent.append(_BansChanged(changed))
        self._wake()

    def mark_draining(self, name: str, version: int) -> None:
        """Send nothing to an engine that another worker's newer list shows as draining, until this list catches up."""
        if version > self.stops.get(name, 0):
            self.stops[name] = version
            self._urgent.append(_BansChanged(frozenset((name,)), False))
            self._wake()

    def key_order_reached(self, number: int) -> None:
        """Note that a request which waited for another process's request with its key may go."""
        self._put(policy.KeyOrderReached(number))

    def admit_waiting(self, number: int, turn: bool) -> None:
        """Pass a request that waited at the gate on to the decision module; `turn`: its turn by key has come."""
        self._put(_AdmissionDecided(number, turn))

    def reject_waiting(self, number: int, answer: Response) -> None:
        """Answer a request that waited at the gate, without the decision module."""
        self._put(_AdmissionDecided(number, True, answer))

    def mark_restarted(self, starts: dict[str, float]) -> None:
        """Treat engines that have lost power as started at these times (Unix ms, by name), unless listed as later."""
        self._back.update(starts)
        self._urgent.append(_EnginesRestarted(frozenset(starts)))
        self._wake()

    def update_worker_loads(self, entries: tuple[policy.WorkerLoad, ...]) -> None:
        """Pass the state of the other workers on to the decision module."""
        self._put(policy.WorkerLoadReported(entries))

    def count_written(self, attempt: Attempt) -> None:
        """Count an attempt that has been written whole to its engine."""
        self.telemetry.count("written", attempt.request.front, attempt.class_name)

    def set_open_limit(self, most: int) -> None:
        """Set how many requests may be open before the decision module refuses some of those that wait."""
        self._urgent.append(_OpenLimitChanged(most))
        self._wake()

    def apply_settings(self, settings: policy.Settings) -> None:
        """Change tenants' shares and classes' aims, deadlines and worths; all else must be as at the start."""
        self._urgent.append(_SettingsChanged(settings))
        self._wake()

    def fail_open_requests(self) -> None:
        """Let the decision module end all open requests, as the program ends and no response would come."""
        self._urgent.append(_ShutdownStarted())
        self._wake()

    def _put(self, event: Any) -> None:
        self._inbox.append(event)
        self._wake()

    def sizes(self) -> dict[str, int]:
        """Return the size of each of the core's tables; each is bounded, and a slow growth would show here."""
        return {
            "records": len(self._records),
            "timers": len(self._timers),
            "engines": len(self.engines),
            "names": len(self.names),
            "believed": len(self.controller.engines),
            "held": len(self.controller.waiting_queue),
        }

    def snapshot(self) -> dict[str, Any]:
        """Return the current beliefs on requests and engines, to compare with the traffic on the sockets."""
        out = Counter(a.engine for r in self._records.values() for a in r.attempts if not a.over)
        engines = [
            {
                "name": state.name,
                "health": state.entry.health,
                "out": out[number],
                "threads": believed.threads,
                "peers": believed.peer_threads,
                "bound": round(believed.thread_limit, 1),
                "slow": round(believed.slowdown, 2),
                "fails": round(believed.failure_rate, 2),
                "granted_mb": round(believed.granted_mb),
                "suspect": believed.ejected,
                "report_age_ms": round(min(clock() - believed.load_report_at_ms, 1e6)),
            }
            for number, state in self.engines.items()
            if (believed := self.controller.engines.get(number)) is not None
        ]
        return {
            "open": self._open,
            "held": len(self.controller.waiting_queue),
            "records": len(self._records),
            "timers": len(self._timers),
            "engines": engines,
        }

    def figures(self) -> dict[str, Any]:
        """Return the figures that operators, SIGUSR1 and SNMP all read, from the counters and the records."""
        calls: dict[str, dict[str, int]] = {}
        for front, name in self.classes:
            if front == SUBREQUEST_FRONT:
                continue
            row = calls.setdefault(name, dict.fromkeys(FIGURES, 0))
            for figure, counters in FIGURES.items():
                row[figure] += sum(self.telemetry.counts[what, front, name] for what in counters)
        listed = [(number, state) for number, state in self.engines.items() if state.entry.health != Health.GONE]
        down = sum(
            state.name in self.banned
            or (believed := self.controller.engines.get(number)) is not None
            and believed.ejected
            for number, state in listed
        )
        written = sum(count for (what, _, _), count in self.telemetry.counts.items() if what == "written")
        return {
            "calls": calls,
            "backend_calls": written,
            "inflight": self._open,
            "hosts_listed": len(listed),
            "hosts_down": down,
        }

    # The task.

    async def run(self) -> None:
        """Process events and timers, as the only user of the Controller, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            if not self._urgent and not self._inbox:
                self._sleeper = loop.create_future()
                self._set_alarm(loop)
                await self._sleeper
            now = clock()
            if now < self._seen_ms - STEP_MS:
                self._set_back(now)
            self._seen_ms = now
            for _ in range(TURN):
                if self._urgent:
                    self._guard(now, self._urgent.popleft())
                elif self._inbox:
                    self._guard(now, self._inbox.popleft())
                else:
                    break
            for _ in range(TURN):  # what a clock's step makes due at once must not keep sockets waiting
                if self._urgent or (timer := self._timers.pop(now)) is None:
                    break
                self._guard(now, policy.TimerFired(timer.what) if isinstance(timer.what, int) else timer.what)
            if self._urgent or self._inbox:
                await asyncio.sleep(0)

    def _set_alarm(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wake for the next timer. An alarm that rings before is left: setting one for each turn costs more."""
        if (due_ms := self._timers.next_ms()) is None:
            return
        at = loop.time() + max(0.0, due_ms - clock()) / 1000.0
        if self._alarm is not None:
            if self._alarm.when() <= at + NEAR_S:
                return
            self._alarm.cancel()
        self._alarm = loop.call_at(at, self._ring)

    def _ring(self) -> None:
        self._alarm = None
        self._wake()

    def _wake(self) -> None:
        if self._sleeper is not None and not self._sleeper.done():
            self._sleeper.set_result(None)

    def _guard(self, now: float, event: Any) -> None:
        """One event; a fault in it costs the request that it is about, never the process."""
        try:
            self._step(now, event)
        except Exception as error:  # noqa: BLE001 - the boundary that keeps one fault from ending all
            number = self._request_of(event)
            self.telemetry.count("faults")
            self.telemetry.log(
                "fault", error=repr(error), of=type(event).__name__, request=number, at=traceback.format_exc(limit=-3)
            )
            if isinstance(event, policy.TimerFired):
                # The module's clock is a chain of reminders: one lost link would stop all its deadlines.
                self._remind(now + AGAIN_MS, event.token)
            self._give_up(number)

    def _give_up(self, number: int) -> None:
        """A request that a fault hit: failed, its work freed, and forgotten."""
        record = self._records.get(number)
        if record is not None:
            self._answer(number, Response(ResponseStatus.FAILED))
            self._records.pop(number, None)
            for attempt in record.attempts:
                if not attempt.over:
                    self.engines[attempt.engine].driver.stop(attempt)
            if all(attempt.over for attempt in record.attempts):
                self._passed(record.request)

    @staticmethod
    def _request_of(event: Any) -> int:
        if isinstance(event, _AttemptCompleted):
            return event.attempt.request.number
        if isinstance(event, _ClientLeft):
            return event.request.number
        return event.number if isinstance(event, (ClientRequest, _DeadlinePassed)) else getattr(event, "request", 0)

    def _step(self, now: float, event: Any) -> None:
        if isinstance(event, ClientRequest):
            self._take(now, event)
        elif isinstance(event, _AttemptCompleted):
            self._end(now, event)
        elif isinstance(event, _EndpointsListed):
            self._list(now, event)
        elif isinstance(event, _BansChanged):
            self._lay(now, event.names, event.by_hand)
        elif isinstance(event, _EnginesRestarted):
            self._lay(now, event.names, None)
        elif isinstance(event, _AdmissionDecided):
            record = self._records.get(event.number)
            if record is not None and not record.answered:
                if event.answer is not None:
                    self._answer(event.number, event.answer)
                else:
                    self._request(now, record.request, event.turn)
        elif isinstance(event, _OpenLimitChanged):
            self.controller.max_open_requests = event.most
        elif isinstance(event, _SettingsChanged):
            self.controller.settings = event.settings
        elif isinstance(event, _ShutdownStarted):
            self._do(now, self.controller.give_up(now))
            for number in self.admission_gate.close() if self.admission_gate is not None else ():
                self._answer(number, Response(ResponseStatus.REJECTED))
        elif isinstance(event, _ClientLeft):
            self._leave(now, event.request.number, "left")
        elif isinstance(event, _DeadlinePassed):
            # The module answers before the deadline; should it not have, the ledger still owes one answer.
            record = self._records.get(event.number)
            if record is not None and not record.answered:
                self.telemetry.log("overdue", request=event.number)
                self._answer(event.number, Response(ResponseStatus.FAILED))
                self._leave(now, event.number, "overdue")
        elif isinstance(event, _EngineExpired):
            self._drop_engine(now, event.engine)
        elif not (
            isinstance(event, policy.KeyOrderReached)
            and self.admission_gate is not None
            and self.admission_gate.turned(event.request)
        ):
            self._tell(now, event)

    def _tell(self, now: float, event: policy.Event) -> None:
        self._do(now, self.controller.handle(now, event))

    def _do(self, now: float, actions: Iterable[policy.Action]) -> None:
        for action in actions:
            try:
                self._does[type(action)](now, action)
            except Exception as error:  # noqa: BLE001 - the other actions belong to other requests
                self.telemetry.count("faults")
                self.telemetry.log("fault", error=repr(error), of=repr(action), at=traceback.format_exc(limit=-3))
                self._give_up(getattr(action, "request", 0))

    def _at(self, due_ms: float, what: Any) -> Timer:
        return self._timers.start(due_ms, what)

    def _remind(self, due_ms: float, token: int) -> None:
        self._reminders[token] = self._at(due_ms, token)

    def _set_back(self, now: float) -> None:
        """The clock was set back: the module's own turns, each of which asks for the next, must not wait for it."""
        self.telemetry.log("clock", back_ms=round(self._seen_ms - now))
        for token, timer in self._reminders.items():
            if timer.place != OUT:
                self._timers.cancel(timer)
                self._reminders[token] = self._at(now, token)

    def _settled(self, record: RequestEntry, how: str) -> None:
        """It is answered, or its client left: its time no longer matters."""
        record.answered, record.request.over = how, True
        self._open -= 1
        if record.timer is not None:
            self._timers.cancel(record.timer)
            record.timer = None

    # Events.

    def _take(self, now: float, request: ClientRequest) -> None:
        self._numbers += 1
        request.number = self._numbers
        record = self._records[request.number] = RequestEntry(request)
        record.timer = self._at(request.received_ms + request.left_ms, _DeadlinePassed(request.number))
        self.telemetry.count("taken", request.front, self.classes[request.cls][1])
        turn = self.key_order.enter(request.number, request.key) if request.key and self.key_order is not None else True
        if turn is None:  # an order that can't be kept is turned down: nothing ran
            self._answer(request.number, Response(ResponseStatus.REJECTED))
            return
        if self.admission_gate is None or self.admission_gate.enter(now, request, turn):
            self._request(now, request, turn)

    def _request(self, now: float, request: ClientRequest, turn: bool) -> None:
        left_ms = request.left_ms - (now - request.received_ms)
        self._tell(
            now,
            policy.RequestArrived(
                request.number,
                request.cls,
                request.tenant,
                request.key,
                left_ms,
                request.cost_ms,
                request.memory_mb,
                float(request.group),
                self.quota_allows is not None and not self.quota_allows(request.tenant),
                turn,
            ),
        )

    def _leave(self, now: float, number: int, why: str) -> None:
        record = self._records.get(number)
        if record is None:
            return
        if not record.answered:
            self._settled(record, why)
            self.telemetry.count(why, record.request.front, self.classes[record.request.cls][1])
        if self.admission_gate is not None:
            self.admission_gate.over(number, bool(record.attempts))
        self._tell(now, policy.ClientDisconnected(number))
        self._forget(record)

    def _list(self, now: float, listing: _EndpointsListed) -> None:
        # A whole list is whole for its driver only, so the module hears it as a change: what is missing is gone.
        changed = list(listing.engines)
        if listing.kind != EndpointListKind.DELTA:
            listed = {state.entry.engine for state in listing.engines}
            changed += [
                EngineState(state.entry._replace(health=Health.GONE), state.name, state.address, state.driver)
                for number, state in self.engines.items()
                if state.driver is listing.driver and number not in listed
            ]
        entries = []
        for told in changed:
            if listing.driver.numbered:
                told.version = listing.version
                if self.stops.get(told.name, math.inf) <= listing.version:
                    del self.stops[told.name]  # our own list has caught up
            state = self._overlaid(told)
            entries.append(state.entry)
            self.engines[state.entry.engine] = state
            if self.on_engine_changed is not None:
                self.on_engine_changed(state.entry.engine, ())
            state.driver.listed(state)
            if state.entry.health == Health.GONE:
                self._at(now + GONE_ENGINE_RETENTION_MS, _EngineExpired(state.entry.engine))
            self.telemetry.log("engine", name=state.name, health=state.entry.health, since=state.entry.since_ms)
            if self.observer is not None:
                self.observer.engine(state.name, "list", int(state.entry.health))
        self._remember([told.name for told in changed])
        self._version = listing.version
        self._tell(now, policy.EndpointListUpdated(EndpointListKind.DELTA, listing.version, tuple(entries)))

    def _overlaid(self, told: EngineState) -> EngineState:
        """An engine as the module is to hear of it: a ban makes of an active one a draining one."""
        listed = told.listed or told.entry
        out = told.name in self.banned or told.name in self.stops
        health = Health.DRAINING if listed.health == Health.READY and out else listed.health
        since_ms = max(listed.since_ms, self._back.get(told.name, 0.0))
        return EngineState(
            listed._replace(health=health, since_ms=since_ms),
            told.name,
            told.address,
            told.driver,
            listed,
            told.version,
        )

    def _lay(self, now: float, names: frozenset[str], by_hand: bool | None) -> None:
        """Bans or starts have changed: tell driver and module of the engines that they are about."""
        entries = []
        for number, state in self.engines.items():
            if state.name in names and state.entry.health != Health.GONE:
                self.engines[number] = state = self._overlaid(state)
                state.driver.listed(state)
                entries.append(state.entry)
        for name in sorted(names) if by_hand is not None else ():
            self.telemetry.log("ban", name=name, on=name in self.banned) if by_hand else self.telemetry.log(
                "stop", name=name
            )
            if self.observer is not None:
                self.observer.engine(name, ("ban" if name in self.banned else "unban") if by_hand else "stop")
        if entries:
            self._tell(now, policy.EndpointListUpdated(EndpointListKind.DELTA, self._version, tuple(entries)))

    def _remember(self, names: Iterable[str]) -> None:
        """Names come for ever; those of engines that are listed or banned are kept in any case. All engines are looked
        through once for a list, not once for each engine on it."""
        for name in names:
            self.names.pop(name, None)
            self.names[name] = None
        if (over := len(self.names) - MOST_NAMES) > 0:
            kept = {state.name for state in self.engines.values()} | self.banned
            for oldest in [name for name in self.names if name not in kept][:over]:
                del self.names[oldest]
                self._back.pop(oldest, None)

    def _drop_engine(self, now: float, number: int) -> None:
        """Engines come under new ids for ever: one that is gone is forgotten, once nothing is out there."""
        state = self.engines.get(number)
        if state is None or state.entry.health != Health.GONE:
            return
        if any(a.engine == number and not a.over for r in self._records.values() for a in r.attempts):
            self._at(now + GONE_ENGINE_RETENTION_MS, _EngineExpired(number))
        else:
            del self.engines[number]
            self.stops.pop(state.name, None)
            if self.on_engine_changed is not None:
                self.on_engine_changed(number, ())

    def _end(self, now: float, end: _AttemptCompleted) -> None:
        attempt, request = end.attempt, end.attempt.request
        record, outcome = self._records.get(request.number), end.outcome
        if self.admission_gate is not None and (state := self.engines.get(attempt.engine)) is not None:
            self.admission_gate.ended(state.name, outcome)
        self.telemetry.count(ENDED[outcome], request.front, self.classes[request.cls][1])
        if outcome not in (AttemptOutcome.OK, AttemptOutcome.CANCELLED):
            self.telemetry.log(
                "attempt",
                request=request.number,
                ticket=request.ticket,
                attempt=attempt.number,
                engine=self.engines[attempt.engine].name,
                outcome=AttemptOutcome(outcome).name,
                ms=round(end.at_ms - attempt.sent_ms, 1),
            )
        if record is not None and outcome == AttemptOutcome.OK and not record.answered:
            self._answer(request.number, Response(ResponseStatus.SERVED, end.result))
        over = record is None or bool(record.answered)
        self._tell(
            now,
            policy.AttemptEnded(
                request.number,
                attempt.number,
                attempt.engine,
                outcome,
                end.at_ms - attempt.sent_ms,
                over,
                *end.needed,
                end.report,
            ),
        )
        if self.on_engine_changed is not None:
            self.on_engine_changed(attempt.engine, end.report)
        if record is not None:
            self._forget(record)
        else:
            self._passed(request)  # what a fault hit has at most one attempt out

    def _forget(self, record: RequestEntry) -> None:
        if record.answered and not record.out:
            self._records.pop(record.request.number, None)
            self._passed(record.request)

    def _passed(self, request: ClientRequest) -> None:
        """Nothing of the request can run any more."""
        if request.key and self.key_order is not None:
            self.key_order.over(request.number)

    # Actions.

    def _send(self, now: float, action: policy.StartAttempt) -> None:
        record = self._records[action.request]
        request, state = record.request, self.engines[action.engine]
        attempt = Attempt(
            request,
            len(record.attempts),
            action.engine,
            now,
            action.timeout_ms or max(1.0, request.received_ms + request.left_ms - now),
            self.classes[request.cls][1],
            record.grant_mb,
            record.priority,
            begin_by_ms=action.begin_by_ms,
        )
        if record.answered or record.out:
            # Two attempts out at once is the rule that costs most; the module never asks for it.
            raise RuntimeError("a send while an attempt is out or the request is answered")
        record.attempts.append(attempt)
        self.telemetry.count("sent", request.front, attempt.class_name)
        state.driver.start(attempt)
        if self.on_engine_changed is not None:
            self.on_engine_changed(attempt.engine, ())

    def _terms(self, now: float, action: policy.UpdatePriority) -> None:
        record = self._records.get(action.request)
        if record is None:
            return
        changed = record.priority != action.priority
        record.priority, record.grant_mb = action.priority, action.memory_mb
        for attempt in record.attempts if changed else []:
            if not attempt.over:
                attempt.priority = action.priority
                self.engines[attempt.engine].driver.rank(attempt)

    def _cancel(self, now: float, action: policy.CancelAttempt) -> None:
        record = self._records.get(action.request)
        if record is not None and not record.attempts[action.attempt].over:
            attempt = record.attempts[action.attempt]
            self.engines[attempt.engine].driver.stop(attempt)

    def _probe(self, now: float, action: policy.RunHealthCheck) -> None:
        self.telemetry.count("probes")
        self.engines[action.engine].driver.probe(action.engine)

    def _answer(self, number: int, answer: Response) -> None:
        """The one place that settles a request: exactly one final answer."""
        record = self._records.get(number)
        if record is None or record.answered:
            return
        self._settled(record, answer.status)
        self.telemetry.count(answer.status, record.request.front, self.classes[record.request.cls][1])
        if self.admission_gate is not None:
            self.admission_gate.over(number, bool(record.attempts) and answer.status != ResponseStatus.REJECTED)
        try:
            record.request.on_response(answer)
            record.request.statement = ""  # the line may stay for an attempt that has yet to end
        finally:
            self._forget(record)
            if self.observer is not None:
                last = self.engines.get(record.attempts[-1].engine) if record.attempts else None
                self.observer.answered(record.request, answer.status, last.name if last else "")
