"""Logs why connections are closed and calls rejected, with a bound on the lines of each reason.

Many clients can be rejected or closed at once. Each reason has MAX_LINES_PER_S; what is beyond that is counted and
added to the next line of the same reason, so that one crowd does not use up the log's lines for all other events.
Counters are exact.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any

from frostspindle.telemetry import Telemetry

MAX_LINES_PER_S = 10  # of one event and reason
FRONT = "http"


class CloseReason(StrEnum):
    """Why the front rejects a call or closes a connection; the values are parts of counter names."""

    TOO_MANY_CONNECTIONS = "too_many_connections"  # closed or rejected for others, as all connections are in use
    INPUT_MEMORY = "input_memory"  # the requests that clients have not finished sending hold too much memory
    TOO_SLOW = "request_too_slow"
    SILENT = "close_silent"
    DRAINING = "close_in_drain"
    REJECTED_IN_DRAIN = "reject_in_drain"
    SHUTTING_DOWN = "shutting_down"
    ABORTED = "abort"  # the client does not read its responses, or has not closed its side within the linger time
    INVALID_CALL = "invalid_call"
    TOO_MANY_CALLS = "too_many_calls"  # ahead of their answers
    OPEN_REQUESTS = "open_requests"  # the core has as many as it may have, or holds as much memory as it may


class _LineBudget:
    """The lines of one event and reason in the current second."""

    __slots__ = ("second", "written", "suppressed")

    def __init__(self) -> None:
        self.second = -1
        self.written = 0
        self.suppressed = 0

    def take(self, now_s: float) -> bool:
        """Return whether a line may be written at `now_s`; count it as suppressed if not."""
        if int(now_s) != self.second:
            self.second = int(now_s)
            self.written = 0
        self.written += 1
        if self.written <= MAX_LINES_PER_S:
            return True
        self.suppressed += 1
        return False


class ConnectionLog:
    """Writes `call_rejected`, `call_refused` and `connection_ended` lines, and counts them by reason."""

    def __init__(self, telemetry: Telemetry, monotonic_s: Callable[[], float]) -> None:
        self._telemetry = telemetry
        self._monotonic_s = monotonic_s
        self._budgets: dict[tuple[str, CloseReason], _LineBudget] = {}

    def call_rejected(self, status: int, reason: CloseReason) -> None:
        """Record a call that was answered by the front with an error, after which its connection is closed."""
        self._telemetry.count("bad_calls", FRONT)
        self._telemetry.count(f"calls_rejected_{reason}", FRONT)
        self._log("call_rejected", reason, status=status)

    def call_refused(self, reason: CloseReason) -> None:
        """Record a request that was answered by the front with a 503, before anything of it ran."""
        self._telemetry.count(f"calls_refused_{reason}", FRONT)
        self._log("call_refused", reason)

    def connection_ended(self, reason: CloseReason, **fields: Any) -> None:
        """Record a connection that the front closes."""
        self._telemetry.count(f"connections_ended_{reason}", FRONT)
        self._log("connection_ended", reason, **fields)

    def _log(self, event: str, reason: CloseReason, **fields: Any) -> None:
        budget = self._budgets.setdefault((event, reason), _LineBudget())
        if not budget.take(self._monotonic_s()):
            return
        if budget.suppressed:
            fields["suppressed"] = budget.suppressed
            budget.suppressed = 0
        self._telemetry.log(event, reason=reason, **fields)
