"""Logs and counts why connections of HTTP clients are closed, and calls rejected or refused."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from frostspindle.telemetry import Telemetry

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
    HIDDEN_END = "hidden_end"  # so much was sent ahead that the end of the connection would not be seen
    ID_OPEN = "id_open"  # in this process or another one
    ID_MAY_HAVE_RUN = "id_may_have_run"
    ID_MAY_RUN = "id_may_run"  # an attempt of a request that was settled, whose client sends it again
    OPEN_REQUESTS = "open_requests"  # the core has as many as it may have, or holds as much memory as it may


class ConnectionLog:
    """Writes `call_rejected`, `call_refused` and `connection_ended` lines, and counts them by reason."""

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry

    def call_rejected(self, status: int, reason: CloseReason) -> None:
        """Record a call that was answered by the front with an error, after which its connection is closed."""
        self._telemetry.count("bad_calls", FRONT)
        self._telemetry.count(f"calls_rejected_{reason}", FRONT)
        self._telemetry.log_repeated("call_rejected", reason, status=status)

    def call_refused(self, reason: CloseReason) -> None:
        """Record a request that was answered by the front with a 503, before anything of it ran."""
        self._telemetry.count(f"calls_refused_{reason}", FRONT)
        self._telemetry.log_repeated("call_refused", reason)

    def connection_ended(self, reason: CloseReason, **fields: Any) -> None:
        """Record a connection that the front closes."""
        self._telemetry.count(f"connections_ended_{reason}", FRONT)
        self._telemetry.log_repeated("connection_ended", reason, **fields)
