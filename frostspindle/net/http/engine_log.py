"""Logs and counts why connections to engines end, and why polls of a query get no usable response."""

from __future__ import annotations

from enum import StrEnum

from frostspindle.telemetry import Telemetry


class EngineCloseReason(StrEnum):
    """Why a connection to an engine ended; the values are parts of counter names."""

    IDLE = "idle"  # for too long, or found stale before a call
    MAKE_ROOM = "make_room"  # closed for a connection to another engine, as all are in use
    EXITING = "exiting"
    ENGINE_CLOSED = "engine_closed"
    BROKEN = "broken"  # reset, or another network error
    OVERDUE = "overdue"  # a call was not answered in time
    UNREACHABLE = "unreachable"  # a call was not answered in time, and new connections to the engine do not come up
    ABANDONED = "abandoned"  # a call was given up before its response
    UNSOLICITED = "unsolicited"  # bytes that belong to no call
    INVALID_RESPONSE = "invalid_response"
    RETIRED = "retired"  # the engine was restarted, moved or removed according to the endpoint list


class RetirementReason(StrEnum):
    """Why the connections to an engine's process take no further queries, by the endpoint list."""

    REMOVED = "removed"
    RESTARTED = "restarted"
    MOVED = "moved"  # to another address


class PollFailure(StrEnum):
    """Why a poll got no usable response; the values are parts of counter names."""

    REFUSED = "refused"  # by the engine's machine
    NOT_ATTEMPTED = "not_attempted"  # the address is that of another process, so no connection was opened
    UNAVAILABLE = "unavailable"  # no connection before the timeout
    TIMEOUT = "timeout"
    BROKEN = "broken"
    INVALID_RESPONSE = "invalid_response"


class EngineLog:
    """Writes `engine_connection_ended`, `engine_connections_retired` and `poll_failed` lines, and counts them."""

    def __init__(self, telemetry: Telemetry) -> None:
        self._telemetry = telemetry

    def connection_ended(self, engine: str, reason: EngineCloseReason, has_call: bool, error: str) -> None:
        """Record the end of a connection; idle ones that are closed as planned are only counted."""
        self._telemetry.count(f"engine_connections_ended_{reason}")
        if has_call or reason not in (EngineCloseReason.IDLE, EngineCloseReason.EXITING):
            self._telemetry.log_repeated(
                "engine_connection_ended", reason, engine=engine, has_call=has_call, error=error
            )

    def connections_retired(self, engine: str, reason: RetirementReason, connections: int, idle: int) -> None:
        """Record that the connections to an engine's process take no further queries."""
        self._telemetry.count("engine_connections_retired")
        self._telemetry.log(
            "engine_connections_retired", engine=engine, reason=reason, connections=connections, idle=idle
        )

    def poll_failed(self, engine: str, ticket: str, reason: PollFailure, error: str) -> None:
        """Record a poll of a query that got no usable response."""
        self._telemetry.count(f"polls_failed_{reason}")
        self._telemetry.log_repeated("poll_failed", reason, engine=engine, ticket=ticket, error=error)
