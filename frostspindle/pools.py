"""Policy for connections to engines, without I/O or clock; net/http/connection_pool.py carries it out.

Decides how many connections there are, how long idle ones are kept, which of them is used for a call, and from when an
abandoned query can no longer run. A response proves something about the process that has a query only if its connection
was opened before the query was sent.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol, TypeVar

UNPOLLED_QUERY_EXPIRY_MS = 2100.0  # an engine drops a query that has not been polled for 2 s
POLL_HOLD_MS = 250.0  # an engine holds a poll this long before it responds that there is no progress
POLL_OVERDUE_MS = 400.0  # after this time without a response to a poll the machine counts as silent
CLOSE_AHEAD_MS = 2000.0  # idle connections are closed here this long before the engine closes them
# Shares of all sockets for connections to engines, without and with another process; clients' connections are apart.
ENGINE_SOCKET_SHARE = 0.38
SHARED_ENGINE_SOCKET_SHARE = 0.15


class Connection(Protocol):
    """The attributes of an engine connection that the policy reads; times are Unix ms."""

    opened_ms: float
    last_response_ms: float


ConnectionT = TypeVar("ConnectionT", bound=Connection)


class ConnectionLimits(NamedTuple):
    """Limits on the connections to all engines together, and to each engine."""

    total: int
    per_engine: int


def idle_timeout_ms(engine_idle_timeout_ms: float) -> float:
    """Return how long an idle connection is used, by the time after which engines close it (both in ms).

    It is shorter by CLOSE_AHEAD_MS, or by half if that is less, as a call sent while the engine closes is lost.
    """
    return max(engine_idle_timeout_ms / 2.0, engine_idle_timeout_ms - CLOSE_AHEAD_MS)


def connection_limits(sockets: int, is_beside_other: bool) -> ConnectionLimits:
    """Return the limits for a process with `sockets` sockets; during an upgrade two processes share the descriptors."""
    share = SHARED_ENGINE_SOCKET_SHARE if is_beside_other else ENGINE_SOCKET_SHARE
    total = max(16, int(sockets * share))
    per_engine = max(8, total // (2 if is_beside_other else 3))
    return ConnectionLimits(total, per_engine)


def choose_idle(idle: Sequence[ConnectionT], oldest: bool) -> ConnectionT:
    """Return the connection used last, so that others time out; or the oldest, which may prove the same process."""
    if oldest:
        return min(idle, key=lambda connection: connection.opened_ms)
    return idle[-1]


class AttemptProgress:
    """What was sent and received for one attempt; times are Unix ms."""

    __slots__ = (
        "wired",
        "last_poll_ms",
        "polled_until_ms",
        "started_ms",
        "ends_at_ms",
        "is_doubtful",
        "was_unanswered",
        "priority",
    )

    def __init__(self, now_ms: float, ends_at_ms: float = math.inf) -> None:
        self.wired = [False]  # set by the call that sends the query once its bytes may have gone out
        self.last_poll_ms = now_ms  # when the last poll for this query, or its POST, started
        self.polled_until_ms = now_ms  # the latest time at which that poll ended
        self.started_ms = now_ms
        self.ends_at_ms = ends_at_ms  # when its result is no longer useful
        self.is_doubtful = False  # a response was missing or damaged, so the engine may have been restarted
        self.was_unanswered = False  # the POST or a poll timed out and may reach any process at any time
        self.priority = -1  # the last priority sent to the engine; -1: none

    def record_poll(self, began_ms: float, ended_ms: float, is_open: bool = False) -> None:
        """Record a poll, or the POST, that reached the engine; `is_open`: it was abandoned before its response.

        A query counts as polled until the engine has responded, which may be POLL_HOLD_MS after the poll started.
        """
        self.last_poll_ms = began_ms
        self.polled_until_ms = max(ended_ms, began_ms + POLL_HOLD_MS) if is_open else ended_ms

    def may_be_other_process(self, now_ms: float) -> bool:
        """Return whether the responding process may be a successor of the one that has the query."""
        return self.is_doubtful or now_ms - self.last_poll_ms > POLL_OVERDUE_MS

    def is_same_process(self, opened_ms: float) -> bool:
        """Return whether a connection opened at `opened_ms` leads to the process that has the query."""
        return opened_ms <= self.started_ms

    def remaining_wait_ms(self, now_ms: float, deleted_ms: float, connections: Iterable[Connection]) -> float:
        """Return the ms until the query can no longer run; 0 if an old connection got a response after the DELETE.

        The DELETE was sent at `deleted_ms`. An engine drops a query that is not polled for UNPOLLED_QUERY_EXPIRY_MS.
        """
        if any(
            self.is_same_process(connection.opened_ms) and connection.last_response_ms > deleted_ms
            for connection in connections
        ):
            return 0.0
        last_polled_ms = max(self.last_poll_ms, self.polled_until_ms)
        return max(0.0, last_polled_ms + UNPOLLED_QUERY_EXPIRY_MS - now_ms)
