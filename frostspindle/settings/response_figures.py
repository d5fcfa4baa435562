"""This coordinator's figures of responses since its process began, for the canary check. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from frostspindle.core import ClientRequest, EventObserver, ResponseStatus, clock
from frostspindle.settings import canary


class ResponseFigures:
    """Counts responses as an observer of the core, and passes its events on to the next observer."""

    def __init__(self, next_observer: EventObserver | None, count_open: Callable[[], int]) -> None:
        self.next_observer: EventObserver | None = next_observer
        self.count_open: Callable[[], int] = count_open
        self.counts: list[int] = [0] * canary.ROW_FIGURES

    def answered(self, request: ClientRequest, how: str, engine: str) -> None:
        """Count a response by outcome and by ms since the request was received, then pass it on."""
        counts = self.counts
        counts[canary.ANSWERED_REQUESTS] += 1
        if how == "failed":
            counts[canary.FAILED_REQUESTS] += 1
        elif how == ResponseStatus.REJECTED:
            counts[canary.REJECTED_REQUESTS] += 1
        counts[canary.HEADER_FIGURES + canary.latency_bucket(clock() - request.received_ms)] += 1
        if self.next_observer is not None:
            self.next_observer.answered(request, how, engine)

    def engine(self, name: str, change: str, state: int | None = None) -> None:
        """Pass an engine's change on; nothing is counted."""
        if self.next_observer is not None:
            self.next_observer.engine(name, change, state)

    def __call__(self) -> tuple[int, ...]:
        """Return all figures, with the number of open requests as of now; the others only grow."""
        self.counts[canary.OPEN_REQUESTS] = self.count_open()
        return tuple(self.counts)
