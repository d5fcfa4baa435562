"""The ledger of requests: one entry for each that is open or has an attempt in flight, and its one final response."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from frostspindle.core.attempts import Attempt
from frostspindle.core.drivers import EngineState
from frostspindle.core.interfaces import CoreHooks
from frostspindle.core.messages import DeadlinePassed
from frostspindle.core.requests import ClientRequest, Response, ResponseStatus
from frostspindle.core.steady_clock import clock
from frostspindle.telemetry import Telemetry
from frostspindle.timers import Timer, TimerWheel


@dataclass(slots=True, eq=False)
class RequestEntry:
    """The core's record of one request: its end, its attempts, and its current priority and memory grant."""

    request: ClientRequest
    final_state: str = ""  # a ResponseStatus, "left" or "overdue"; "": still open
    attempts: list[Attempt] = field(default_factory=list)
    priority: int = 1
    grant_mb: float = 0.0
    deadline_timer: Timer | None = None

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt is in flight; none is sent before the one before it has ended."""
        return bool(self.attempts) and not self.attempts[-1].is_finished


class RequestLedger:
    """Keeps the entries of all requests and settles each request exactly once.

    Belongs to the core's task, but for `open_count`, which `Core.submit` raises as it queues a request.
    """

    def __init__(
        self,
        hooks: CoreHooks,
        classes: Sequence[tuple[str, str]],
        telemetry: Telemetry,
        engines: dict[int, EngineState],
        timers: TimerWheel,
    ) -> None:
        self.entries: dict[int, RequestEntry] = {}  # by request number
        self.open_count = 0  # requests taken and neither answered nor left
        self._last_number = 0
        self._hooks = hooks
        self._classes = classes
        self._telemetry = telemetry
        self._engines = engines
        self._timers = timers

    def add(self, request: ClientRequest) -> None:
        """Open the entry of a request, under a new number and with a timer for its deadline."""
        self._last_number += 1
        request.number = self._last_number
        entry = RequestEntry(request)
        self.entries[request.number] = entry
        deadline_ms = request.received_ms + request.timeout_ms
        entry.deadline_timer = self._timers.start(deadline_ms, DeadlinePassed(request.number))
        self._telemetry.count("taken", request.front, self._classes[request.cls][1])

    def respond(self, number: int, response: Response) -> None:
        """Give a request its one final response; no effect if it is unknown or settled already."""
        entry = self.entries.get(number)
        if entry is None or entry.final_state:
            return
        request = entry.request
        self._settle(entry, response.status)
        if response.status != ResponseStatus.SERVED:
            self._log_unserved(entry, response)
        if self._hooks.admission_gate is not None:
            may_have_run = bool(entry.attempts) and response.status != ResponseStatus.REJECTED
            self._hooks.admission_gate.on_request_finished(number, may_have_run)
        try:
            request.on_response(response)
            request.statement = ""  # the entry may stay for an attempt that has yet to end
        finally:
            self.remove_if_complete(entry)
            if self._hooks.observer is not None:
                engine = self._engines.get(entry.attempts[-1].engine) if entry.attempts else None
                self._hooks.observer.on_response(request, response.status, engine.name if engine else "")

    def _log_unserved(self, entry: RequestEntry, response: Response) -> None:
        request = entry.request
        self._telemetry.log(
            "request_unserved",
            request=request.number,
            ticket=request.ticket,
            status=response.status,
            attempts=len(entry.attempts),
            retry_after_ms=round(response.retry_after_ms),
            ms=round(clock() - request.received_ms, 1),
        )

    def drop(self, entry: RequestEntry, reason: str) -> None:
        """Settle a request without a response, unless it is settled: its client left or its deadline passed."""
        if not entry.final_state:
            self._settle(entry, reason)
            self._telemetry.log(
                "request_dropped",
                request=entry.request.number,
                ticket=entry.request.ticket,
                reason=reason,
                attempts=len(entry.attempts),
                ms=round(clock() - entry.request.received_ms, 1),
            )
        if self._hooks.admission_gate is not None:
            self._hooks.admission_gate.on_request_finished(entry.request.number, bool(entry.attempts))

    def fail_after_fault(self, number: int) -> None:
        """Fail a request whose processing raised, cancel its attempts and remove its entry."""
        entry = self.entries.get(number)
        if entry is None:
            return
        self.respond(number, Response(ResponseStatus.FAILED))
        self.entries.pop(number, None)
        for attempt in entry.attempts:
            if not attempt.is_finished:
                self._engines[attempt.engine].driver.cancel_attempt(attempt)
        if all(attempt.is_finished for attempt in entry.attempts):
            self.release_key(entry.request)

    def remove_if_complete(self, entry: RequestEntry) -> None:
        """Remove the entry of a request that is settled and has no attempt in flight."""
        if entry.final_state and not entry.has_attempt_in_flight:
            self.entries.pop(entry.request.number, None)
            self.release_key(entry.request)

    def release_key(self, request: ClientRequest) -> None:
        """Let the next request of its ordering key go, as nothing of this one can run any more."""
        if request.key and self._hooks.key_order is not None:
            self._hooks.key_order.on_request_finished(request.number)

    def uses_engine(self, engine: int) -> bool:
        """Return whether an attempt is in flight at an engine."""
        return any(
            attempt.engine == engine and not attempt.is_finished
            for entry in self.entries.values()
            for attempt in entry.attempts
        )

    def _settle(self, entry: RequestEntry, ending: str) -> None:
        """Close a request for its client: its deadline no longer matters."""
        entry.final_state = ending
        entry.request.is_finished = True
        self.open_count -= 1
        if entry.deadline_timer is not None:
            self._timers.cancel(entry.deadline_timer)
            entry.deadline_timer = None
        self._telemetry.count(ending, entry.request.front, self._classes[entry.request.cls][1])
