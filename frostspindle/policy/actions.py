"""Actions that a controller returns. The caller carries them out in the given order.

All records are immutable. Times and durations are milliseconds and end in `_ms`; memory is in megabytes.
"""

from __future__ import annotations

import math
from typing import NamedTuple


class StartAttempt(NamedTuple):
    """Send the next attempt of a request to an engine.

    A `timeout_ms` of 0 means no timeout: the attempt ends early only if the client disconnects. `begin_by_ms` uses the
    clock of the events. An attempt whose connection is established after `begin_by_ms` must not begin, because a
    request that may already have run may be resent only within the idempotency window of its class.
    """

    request: int
    engine: int
    timeout_ms: float
    begin_by_ms: float = math.inf


class UpdatePriority(NamedTuple):
    """Set a request's priority band for running and later attempts, and the memory grant of later attempts.

    Bands range from 0 to 3; band 3 is for the least remaining work.
    """

    request: int
    priority: int
    memory_mb: float


class CancelAttempt(NamedTuple):
    """Cancel a running attempt. An AttemptEnded event must still follow."""

    request: int
    attempt: int


class RejectRequest(NamedTuple):
    """Final answer: the request is rejected and is safe to retry. A `retry_after_ms` of 0 means no Retry-After."""

    request: int
    retry_after_ms: float


class FailRequest(NamedTuple):
    """Final answer: the request has failed and may have run, so a retry may repeat its effects."""

    request: int


class RunHealthCheck(NamedTuple):
    """Run a health check of an engine and report the result as a HealthCheckCompleted event."""

    engine: int


class SetTimer(NamedTuple):
    """Request a TimerFired event with this token at `due_at_ms`, by the clock of the events."""

    token: int
    due_at_ms: float


class SubscribeEndpoints(NamedTuple):
    """Subscribe to the endpoint list if `on`. Sent only if Settings.subscribe_endpoints is set."""

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
