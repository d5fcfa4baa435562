"""Tells since when a connection can have waited in the system's accept queue. No I/O and no clock.

The queue is served in order. So once as many connections were accepted as were queued at some time, all later ones
arrived after that time, even if the queue has never been empty since.
"""

from __future__ import annotations

import struct
from collections import deque
from typing import NamedTuple

MARK_INTERVAL_MS = 10.0
MAX_MARKS = 512
TCP_LISTEN = 10  # state of a listening socket in `struct tcp_info`
TCP_INFO_BYTES = 32
_TCP_INFO = struct.Struct("=B7x4I2I")  # state, ..., for a listening socket its queue's length and greatest length


class _Mark(NamedTuple):
    """From connection number `count` on, all arrived after `at_ms`."""

    at_ms: float
    count: int


def queue_length(tcp_info: bytes) -> int | None:
    """Return the number of queued connections by a listening socket's TCP_INFO; None if it does not tell."""
    if len(tcp_info) < TCP_INFO_BYTES:
        return None
    state, *_, length, max_length = _TCP_INFO.unpack_from(tcp_info)
    return length if state == TCP_LISTEN and max_length > 0 and length <= max_length + 1 else None


class AcceptQueue:
    """The times between which the connections of one listening socket arrived (Unix ms)."""

    def __init__(self, now_ms: float) -> None:
        self.since_ms = now_ms  # no queued connection arrived before this
        self._accepted = 0
        self._marks: deque[_Mark] = deque()

    def record_length(self, now_ms: float, length: int) -> None:
        """Record that at most `length` connections are queued now."""
        if len(self._marks) < MAX_MARKS and (not self._marks or now_ms - self._marks[-1].at_ms >= MARK_INTERVAL_MS):
            self._marks.append(_Mark(now_ms, self._accepted + length))

    def record_empty(self, now_ms: float) -> None:
        """Record that nothing is queued now."""
        self._marks.clear()
        self.since_ms = now_ms

    def record_earliest(self, earliest_ms: float) -> None:
        """Record that all connections that are queued now arrived at `earliest_ms` or later."""
        self.since_ms = max(self.since_ms, earliest_ms)

    def accept(self) -> float:
        """Count an accepted connection; return the earliest time at which it can have arrived."""
        while self._marks and self._accepted >= self._marks[0].count:
            self.since_ms = max(self.since_ms, self._marks.popleft().at_ms)
        self._accepted += 1
        return self.since_ms
