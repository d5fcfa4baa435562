"""Connections to engines: how many, how long they are kept, and what one proves about the process behind it.

Owns the bounds of a pool, which idle connection serves a call, and when a query that was given up can run no more. It
does no I/O and reads no clock: net/http/connection_pool.py carries it out. It must never take a response for that of
the process that has a query unless the connection is as old as the query.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Protocol, TypeVar

FORGOTTEN_MS = 2100.0  # an engine drops what has not been asked for in 2 s
OVERDUE_MS = 400.0  # an ask for news that has been out for longer than this has met a silent machine
EARLY_MS = 2000.0  # so long before its engine closes it an idle connection is closed here, or at half the time
# Of all sockets, for connections to engines, alone and beside another process; clients have another part.
ENGINE_PART, SHARED_PART = 0.38, 0.15


class Connection(Protocol):
    """What is used here of a connection to an engine; times are Unix ms."""

    born_ms: float  # up since
    heard_ms: float  # last answered


C = TypeVar("C", bound=Connection)


def kept_ms(idle_ms: float) -> float:
    """Return how long an idle connection is used, of the ms after which engines close it.

    It ends earlier here, as a call that crosses the engine's close is lost.
    """
    return max(idle_ms / 2.0, idle_ms - EARLY_MS)


def bounds(sockets: int, is_sharing: bool) -> tuple[int, int]:
    """Return the most connections to all engines and to one; beside another process both must fit the descriptors."""
    most = max(16, int(sockets * (SHARED_PART if is_sharing else ENGINE_PART)))
    return most, max(8, most // (2 if is_sharing else 3))


def pick(idle: Sequence[C], eldest: bool) -> C:
    """Return the idle connection that was used last, so that others age out; or the eldest, as proof of the process."""
    return min(idle, key=lambda one: one.born_ms) if eldest else idle[-1]


class AttemptProgress:
    """The progress of one attempt on the wire; times are Unix ms."""

    __slots__ = ("wired", "asked_ms", "began_ms", "is_doubted", "priority")

    def __init__(self, now_ms: float) -> None:
        self.wired = [False]  # bytes of its POST may have gone out
        self.asked_ms = self.began_ms = now_ms  # when the engine was last asked for this query, and first
        self.priority = -1  # the last that the engine was told
        self.is_doubted = False  # an answer did not come as it should: the process may be another one by now

    def is_process_uncertain(self, now_ms: float) -> bool:
        """Return whether the process that answers now may be a successor of the one that has the query."""
        return self.is_doubted or now_ms - self.asked_ms > OVERDUE_MS

    def same(self, born_ms: float) -> bool:
        """Return whether a connection opened at `born_ms` leads to the process that has the query."""
        return born_ms <= self.began_ms

    def wait_ms(self, now_ms: float, told_ms: float, connections: Iterable[Connection]) -> float:
        """Return the ms until the query can't run any more; 0 if an old connection answered after the DELETE.

        The DELETE was sent at `told_ms`. The process drops a query that it was not asked for in FORGOTTEN_MS.
        """
        if any(self.same(one.born_ms) and one.heard_ms > told_ms for one in connections):
            return 0.0
        return max(0.0, self.asked_ms + FORGOTTEN_MS - now_ms)
