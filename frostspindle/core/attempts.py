"""An attempt to run a request at an engine: the data for its driver, and until when its result can be used."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from frostspindle.core.requests import ClientRequest
from frostspindle.core.steady_clock import clock
from frostspindle.policy import AttemptOutcome

MIN_REMAINING_MS = 1.0  # the shortest timeout that engines accept; with less time left an attempt is not sent


class WithheldReason(StrEnum):
    """Why an attempt was not sent although the decision module had started it."""

    ENGINE_UNAVAILABLE = "engine unavailable"  # draining, banned or removed
    ABANDONED = "abandoned"  # the attempt or its request is finished, or its deadline has passed
    WINDOW_OVER = "idempotency window over"
    CLIENT_LEFT = "client left"
    CLIENT_AWAY = "client away"  # may return
    SHUTTING_DOWN = "shutting down"  # its request is about to be ended
    WORKER_LIMIT = "worker limit"  # imposed by other workers: a lease, a ban or a drain


class Cancellable(Protocol):
    """The task, or a task-like object, that runs an attempt and can cancel it."""

    def cancel(self) -> Any:
        """Stop the attempt; the driver still reports its end through Core.attempt_ended."""


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt to run a request at an engine; `number` counts the attempts of the request from 0."""

    request: ClientRequest
    number: int
    engine: int
    sent_ms: float  # Unix ms
    timeout_ms: float
    class_name: str
    grant_mb: float
    priority: int
    is_finished: bool = False
    may_still_run: bool = False  # once it is finished: nothing proves that its engine runs it no more
    task: Cancellable | None = None  # set by the driver: runs the attempt
    begin_by_ms: float = math.inf  # latest start in Unix ms: for a retry, the end of the class's idempotency window

    @property
    def ends_at_ms(self) -> float:
        """The end of its timeout or the client's deadline, whichever is earlier (Unix ms)."""
        return min(self.sent_ms + self.timeout_ms, self.request.received_ms + self.request.timeout_ms)

    def remaining_ms(self, now: float) -> float:
        """Return the ms from `now` (Unix ms) to `ends_at_ms`; negative if that has passed."""
        return self.ends_at_ms - now

    @property
    def is_abandoned(self) -> bool:
        """Whether its result is useless: the request is finished, or less than MIN_REMAINING_MS is left."""
        return self.request.is_finished or self.remaining_ms(clock()) < MIN_REMAINING_MS

    @property
    def unsent_outcome(self) -> AttemptOutcome:
        """The outcome if `Core.may_send` forbade it: NOT_SENT if the reason is the client, not the engine."""
        is_client_reason = self.is_abandoned or self.request.is_suspended
        return AttemptOutcome.NOT_SENT if is_client_reason else AttemptOutcome.CONNECT_FAILED
