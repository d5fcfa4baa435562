"""The client connections whose input was received and may not be parsed yet, and what it may hold. No I/O.

A request is taken once its last byte has arrived. Until it is parsed it may wait unread in its socket, in the input
buffer of its connection, or in the accept queue. Requests that keep an order ask here whether an earlier one of their
key may still be waiting like that.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Protocol


class BackloggedConnection(Protocol):
    """A connection that may hold unparsed input."""

    def unparsed_since_ms(self) -> float:
        """Return the earliest time at which unparsed input may have arrived, in Unix ms; infinity if there is none."""

    @property
    def may_be_ordered(self) -> bool:
        """Whether that input may hold a request that keeps an order."""

    def may_hold_key(self, key: int) -> bool:
        """Return whether the next request in that input may have this ordering key."""


def _nothing_queued() -> float:
    return math.inf


class InputBacklog:
    """The connections of one front that may hold unparsed input."""

    def __init__(self) -> None:
        self.queued_since_ms: Callable[[], float] = _nothing_queued  # of connections that are not set up yet
        self._connections: dict[BackloggedConnection, None] = {}

    def add(self, connection: BackloggedConnection) -> None:
        """Look at a connection from now on, until it holds nothing."""
        self._connections[connection] = None

    def discard(self, connection: BackloggedConnection) -> None:
        """Forget a connection."""
        self._connections.pop(connection, None)

    def earliest_ms(self) -> float:
        """Return the earliest arrival of unparsed input that may keep an order, in Unix ms; infinity if none."""
        return min(self.queued_since_ms(), self._earliest_unparsed_ms())

    def may_hold_earlier(self, key: int, arrived_ms: float) -> bool:
        """Return whether a request with this key that arrived before `arrived_ms` may not be parsed yet."""
        if self.queued_since_ms() < arrived_ms:
            return True
        for connection in list(self._connections):
            since_ms = connection.unparsed_since_ms()
            if since_ms == math.inf:
                del self._connections[connection]
            elif since_ms < arrived_ms and connection.may_hold_key(key):
                return True
        return False

    def _earliest_unparsed_ms(self) -> float:
        earliest_ms = math.inf
        for connection in list(self._connections):
            since_ms = connection.unparsed_since_ms()
            if since_ms == math.inf:
                del self._connections[connection]
            elif since_ms < earliest_ms and connection.may_be_ordered:
                earliest_ms = since_ms
        return earliest_ms
