"""Actions that a controller returns, to be carried out by its owner in the order given.

All records are immutable. Times and durations are milliseconds and end in `_ms`; memory is in megabytes.
"""

from __future__ import annotations

import math
from typing import NamedTuple


class StartAttempt(NamedTuple):
    """Send the next attempt of a request to an engine. timeout_ms 0: no limit but the client's leaving.

    begin_by_ms is by the clock of the events. An attempt that has not begun by then, as its connection was established
    too late, must not begin: what may have run before may be repeated only within its class's window.
    """

    request: int
    engine: int
    timeout_ms: float
    begin_by_ms: float = math.inf


class UpdatePriority(NamedTuple):
    """Set a request's priority band, 0 to 3, also for running attempts, and the memory grant of further attempts.

    Band 3 is for the least remaining work.
    """

    request: int
    priority: int
    memory_mb: float


class CancelAttempt(NamedTuple):
    """Cancel a running attempt; an AttemptEnded event must still follow."""

    request: int
    attempt: int


class RejectRequest(NamedTuple):
    """Final answer: the request is rejected, and a retry can do no harm. A `retry_after_ms` of 0 is not told."""

    request: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Final answer: the request has failed and may have run, so that a retry may do harm."""

    request: int


class RunHealthCheck(NamedTuple):
    """Run a health check of an engine; its result is to come as a HealthCheckCompleted event."""

    engine: int


class SetTimer(NamedTuple):
    """Ask for a TimerFired event with this token at a time by the clock of the events."""

    token: int
    due_at_ms: float


class SubscribeEndpoints(NamedTuple):
    """Subscribe to the engine list (on); sent only where Settings.subscribe_endpoints is set."""

    on: bool


class WriteLog(NamedTuple):
    """Write a line to the log."""

    text: str


Action = (
    StartAttempt
    | UpdatePriority
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | RunHealthCheck
    | SetTimer
    | SubscribeEndpoints
    | WriteLog
)
