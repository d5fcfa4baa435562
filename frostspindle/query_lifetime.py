"""Decides from when on a query that was given up can no longer run at its engine; no I/O and no clock.

The endpoint list, a refused or broken connection and a call that was not answered prove nothing about a query: lists
come late or early, an engine that drains refuses connections, and the network breaks them. Proof is the word of the
process that has the query, or that nobody has asked for it for as long as an engine keeps it.

A POST that no process has confirmed may still be on its way, however long ago it was written: the network may hold it
back, and a process that hangs reads it once it goes on. As long as its connection is open, that time has not begun.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Protocol

UNPOLLED_QUERY_EXPIRY_MS = 2100.0  # an engine drops a query that has not been polled for 2 s
# For which the response to a POST is waited for on its own connection while anything depends on it. Longer than engines
# hang or networks are cut, and bounded, as a machine that has vanished gives no sign.
UNCONFIRMED_POST_LIMIT_MS = 30_000.0
POLL_HOLD_MS = 250.0  # an engine holds a poll this long before it responds that there is no progress


class ConnectionLife(Protocol):
    """The times of a connection, in Unix ms, during which it is known to lead to one living process."""

    opened_ms: float
    confirmed_ms: float  # when the last call that got a response was written; at first, when it was opened
    ended_ms: float  # when it ended, after which neither side reads anything of it; infinity while it is open


class QueryLifetime:
    """What was sent and received for one query; times are Unix ms.

    An address belongs to one process at a time. Connections whose lives overlap therefore lead to the same process.
    """

    __slots__ = (
        "was_written",
        "ends_at_ms",
        "asked_at_ms",
        "asked_until_ms",
        "was_unanswered",
        "priority",
        "_post",
        "_post_written_ms",
        "_was_post_answered",
        "_is_known",
        "_process_since_ms",
        "_process_until_ms",
    )

    def __init__(self, now_ms: float, ends_at_ms: float = math.inf) -> None:
        self.was_written = False  # bytes of its POST may have gone out
        self.ends_at_ms = ends_at_ms  # when its result is no longer useful
        self.asked_at_ms = now_ms  # when the last call that keeps it alive, or its POST, was written
        self.asked_until_ms = now_ms  # the latest time at which such a call may have reached the engine
        self.was_unanswered = False  # its POST or a poll got no response
        self.priority = -1  # the last priority sent to the engine; -1: none
        self._post: ConnectionLife | None = None  # the connection of its POST
        self._post_written_ms = math.inf
        self._was_post_answered = False  # by the end of its call
        self._is_known = False  # a process has responded that it has the query
        self._process_since_ms = math.inf  # the times within which its process is known to have had the address
        self._process_until_ms = -math.inf

    def record_post(self, connection: ConnectionLife, written_ms: float) -> None:
        """Record that the POST was written on a connection, whose process gets the query."""
        self.was_written = True
        self._post = connection
        self._post_written_ms = written_ms
        self._extend_process(connection)

    def record_post_answered(self) -> None:
        """Record that the call that sent the POST got its response, which may be a copy of an earlier one."""
        self._was_post_answered = self.is_acknowledged

    def record_call(self, written_ms: float, until_ms: float) -> None:
        """Record a call that keeps the query alive, and the latest time at which the engine may have got it."""
        self.asked_at_ms = written_ms
        self.asked_until_ms = max(self.asked_until_ms, until_ms)

    def record_known(self, connection: ConnectionLife) -> None:
        """Record that the process at the end of a connection has responded as one that has the query."""
        self._is_known = True
        self._extend_process(connection)

    @property
    def is_acknowledged(self) -> bool:
        """Whether the process is known to have received the query.

        Until then the POST may be read after any other call, and what a process says before that is no proof.
        """
        return self._is_known or (self._post is not None and self._post.confirmed_ms >= self._post_written_ms)

    def leads_to_process(self, connection: ConnectionLife, others: Iterable[ConnectionLife]) -> bool:
        """Return whether a connection leads to the process that has the query; `others` may link the two."""
        if self._post is not None:
            self._extend_process(self._post)
        candidates = [connection, *others]
        while not self._is_linked(connection):
            linked = [other for other in candidates if self._is_linked(other)]
            if not linked:
                return False
            for other in linked:
                self._extend_process(other)
                candidates.remove(other)
        return True

    def _is_linked(self, connection: ConnectionLife) -> bool:
        return connection.opened_ms <= self._process_until_ms and connection.confirmed_ms >= self._process_since_ms

    def _extend_process(self, connection: ConnectionLife) -> None:
        self._process_since_ms = min(self._process_since_ms, connection.opened_ms)
        self._process_until_ms = max(self._process_until_ms, connection.confirmed_ms)

    @property
    def may_post_arrive(self) -> bool:
        """Whether the engine may receive the POST now or later: its connection is open, and nothing confirms it."""
        return self._post is not None and self._post.ended_ms == math.inf and not self.is_acknowledged

    def remaining_wait_ms(self, now_ms: float) -> float:
        """Return the ms until an engine must have dropped the query, if nobody asks for it any more."""
        if self._post is not None and not self._was_post_answered:
            # An engine may have received it until now, or until the end of its connection.
            self.asked_until_ms = max(self.asked_until_ms, min(now_ms, self._post.ended_ms))
            self._was_post_answered = self.is_acknowledged
        return max(0.0, self.asked_until_ms + UNPOLLED_QUERY_EXPIRY_MS - now_ms)
