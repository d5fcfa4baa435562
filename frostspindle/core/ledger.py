"""The request ledger: an entry for each request that is open or has an attempt in flight, and its final response."""

from __future__ import annotations

from collections import Counter
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
    """The core's record of a request: its final state, attempts, and current priority and memory grant."""

    request: ClientRequest
    final_state: str = ""  # a ResponseStatus, "left" or "overdue"; "" while open
    attempts: list[Attempt] = field(default_factory=list)
    priority: int = 1
    grant_mb: float = 0.0
    deadline_timer: Timer | None = None

    @property
    def has_attempt_in_flight(self) -> bool:
        """Whether an attempt is in flight; only the last can be, as each starts after the previous one has ended."""
        return bool(self.attempts) and not self.attempts[-1].is_finished

    @property
    def may_still_run(self) -> bool:
        """Whether the last attempt has ended without proof, so that its engine may be running it."""
        return bool(self.attempts) and self.attempts[-1].may_still_run

    @property
    def allows_attempt(self) -> bool:
        """Whether an attempt may start: the request is open, and no earlier attempt can be running."""
        return not (self.final_state or self.has_attempt_in_flight or self.may_still_run)


class RequestLedger:
    """Keeps the entries of all requests and settles each request exactly once.

    Only the core's task uses it, except that `Core.submit` increments `open_count` when it queues a request.
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
        self.open_count = 0  # accepted requests that are not settled
        self._running: Counter[str] = Counter()  # attempts that have not ended, by the ticket of their request
        self._last_number = 0
        self._hooks = hooks
        self._classes = classes
        self._telemetry = telemetry
        self._engines = engines
        self._timers = timers

    @property
    def unsettled(self) -> list[int]:
        """Numbers of the requests that have an entry and no final response."""
        return [number for number, entry in self.entries.items() if not entry.final_state]

    def add(self, request: ClientRequest) -> None:
        """Create the entry of a request, assign its number and start its deadline timer."""
        self._last_number += 1
        request.number = self._last_number
        entry = RequestEntry(request)
        self.entries[request.number] = entry
        deadline_ms = request.received_ms + request.timeout_ms
        entry.deadline_timer = self._timers.start(deadline_ms, DeadlinePassed(request.number))
        self._telemetry.count("taken", request.front, self._classes[request.cls][1])

    def respond(self, number: int, response: Response) -> None:
        """Send a request its final response; does nothing if the request is unknown or already settled."""
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
        request.release_memory()  # from here on the front is charged for the result
        try:
            request.on_response(response)
            request.statement = ""  # free its memory: the entry may remain until an attempt has ended
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
        """Settle a request without a response, because its client left or its deadline passed.

        If it is already settled, only notify the admission gate.
        """
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
        """Fail a request whose processing raised an exception, cancel its attempts and remove its entry."""
        entry = self.entries.get(number)
        if entry is None:
            return
        self.respond(number, Response(ResponseStatus.FAILED))
        self.entries.pop(number, None)
        entry.request.release_memory()
        for attempt in entry.attempts:
            if not attempt.is_finished:
                self._engines[attempt.engine].driver.cancel_attempt(attempt)
        if all(attempt.is_finished for attempt in entry.attempts):
            self.complete(entry.request, entry.may_still_run)

    def remove_if_complete(self, entry: RequestEntry) -> None:
        """Remove the entry of a request if it is settled and has no attempt in flight."""
        if entry.final_state and not entry.has_attempt_in_flight:
            self.entries.pop(entry.request.number, None)
            entry.request.release_memory()
            self.complete(entry.request, entry.may_still_run)

    def complete(self, request: ClientRequest, may_still_run: bool) -> None:
        """Release the ordering key of a request whose attempts have ended, and notify its front."""
        if request.key and self._hooks.key_order is not None:
            self._hooks.key_order.on_request_finished(request.number)
        if request.on_complete is not None:
            request.on_complete(may_still_run)

    def attempt_started(self, ticket: str) -> None:
        """Record that an attempt of the request with a ticket starts."""
        self._running[ticket] += 1

    def attempt_ended(self, ticket: str) -> None:
        """Record that an attempt of the request with a ticket has ended."""
        self._running[ticket] -= 1
        if self._running[ticket] <= 0:
            del self._running[ticket]

    def is_ticket_running(self, ticket: str) -> bool:
        """Return whether an attempt of any request with a ticket, also of a settled one, may be running."""
        return ticket in self._running

    def may_run(self, request: ClientRequest) -> bool:
        """Return whether an attempt of a request may be running at an engine."""
        entry = self.entries.get(request.number)
        return entry is not None and entry.has_attempt_in_flight

    def uses_engine(self, engine: int) -> bool:
        """Return whether an attempt is in flight at an engine."""
        return any(
            attempt.engine == engine and not attempt.is_finished
            for entry in self.entries.values()
            for attempt in entry.attempts
        )

    def _settle(self, entry: RequestEntry, final_state: str) -> None:
        """Set the final state of a request, count it and stop its deadline timer."""
        entry.final_state = final_state
        entry.request.is_finished = True
        self.open_count -= 1
        if entry.deadline_timer is not None:
            self._timers.cancel(entry.deadline_timer)
            entry.deadline_timer = None
        self._telemetry.count(final_state, entry.request.front, self._classes[entry.request.cls][1])
