"""Cumulative response figures of this coordinator's process, for the canary check. No I/O."""

from __future__ import annotations

from collections.abc import Callable

from frostspindle.core import ClientRequest, EventObserver, ResponseStatus, clock
from frostspindle.settings import canary


class ResponseFigures:
    """An observer of the core that counts responses and forwards all events to the next observer."""

    def __init__(self, next_observer: EventObserver | None, count_open: Callable[[], int]) -> None:
        self.next_observer: EventObserver | None = next_observer
        self.count_open: Callable[[], int] = count_open
        self.counts: list[int] = [0] * canary.ROW_FIGURES

    def on_response(self, request: ClientRequest, outcome: str, engine: str) -> None:
        """Count a response by outcome and by latency since the request was received, then forward the event."""
        counts = self.counts
        counts[canary.ANSWERED_REQUESTS] += 1
        if outcome == "failed":
            counts[canary.FAILED_REQUESTS] += 1
        elif outcome == ResponseStatus.REJECTED:
            counts[canary.REJECTED_REQUESTS] += 1
        counts[canary.HEADER_FIGURES + canary.latency_bucket(clock() - request.received_ms)] += 1
        if self.next_observer is not None:
            self.next_observer.on_response(request, outcome, engine)

    def on_engine_changed(self, name: str, change: str, state: int | None = None) -> None:
        """Forward an engine change; nothing is counted."""
        if self.next_observer is not None:
            self.next_observer.on_engine_changed(name, change, state)

    def __call__(self) -> tuple[int, ...]:
        """Return all figures: the current number of open requests, and counters that only grow."""
        self.counts[canary.OPEN_REQUESTS] = self.count_open()
        return tuple(self.counts)
