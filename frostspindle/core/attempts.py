"""One attempt at an engine: what its driver needs to run it, and until when its result is of use."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from frostspindle.core.requests import ClientRequest
from frostspindle.core.steady_clock import clock
from frostspindle.policy import AttemptOutcome

MIN_REMAINING_MS = 1.0  # the shortest timeout that an engine can be given; with less left nothing is sent


class WithheldReason(StrEnum):
    """Why an attempt was not sent although the decision module had started it."""

    ENGINE_UNAVAILABLE = "engine unavailable"  # draining, banned or gone
    ABANDONED = "abandoned"  # the attempt or its request is finished, or its time is up
    WINDOW_OVER = "idempotency window over"
    CLIENT_LEFT = "client left"
    CLIENT_AWAY = "client away"  # it may return
    WORKER_LIMIT = "worker limit"  # by the other workers: a lease, a ban, a drain


class Cancellable(Protocol):
    """A task, or an object in its place, that an attempt can be cancelled by."""

    def cancel(self) -> Any:
        """Stop the work of the attempt; the driver still reports the attempt's end by Core.attempt_ended."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request at an engine, with the number that the decision module gave it."""

    request: ClientRequest
    number: int
    engine: int
    sent_ms: float  # Unix ms
    timeout_ms: float
    class_name: str
    grant_mb: float
    priority: int
    is_finished: bool = False
    task: Cancellable | None = None  # set by the driver: what runs the attempt now
    begin_by_ms: float = math.inf  # latest start in Unix ms: the end of the class's idempotency window, for a retry

    @property
    def ends_at_ms(self) -> float:
        """Its timeout or its client's deadline, the first (Unix ms)."""
        return min(self.sent_ms + self.timeout_ms, self.request.received_ms + self.request.timeout_ms)

    def remaining_ms(self, now: float) -> float:
        """Return the ms from `now` (Unix ms) to its end; negative if past."""
        return self.ends_at_ms - now

    @property
    def is_abandoned(self) -> bool:
        """Whether nobody would use its result: the request is finished, or less than MIN_REMAINING_MS is left."""
        return self.request.is_finished or self.remaining_ms(clock()) < MIN_REMAINING_MS

    @property
    def unsent_outcome(self) -> AttemptOutcome:
        """The outcome where `Core.may_send` forbade it: NOT_SENT for reasons of its client, not of the engine."""
        is_no_fault = self.is_abandoned or self.request.is_suspended
        return AttemptOutcome.NOT_SENT if is_no_fault else AttemptOutcome.CONNECT_FAILED
