"""Bounds the memory that a process holds for its clients, without I/O or clock.

Everything held for others is charged here in the bytes that it takes, and all of it together stays within HELD_SHARE of
`limits.memory_mb`. An open request is charged for the result that it may get, so a result that arrives always has room.

At the limit a new request is refused before anything of it has run, as a client can repeat such a request without harm.
Before that, results are dropped whose clients no longer wait for them (`ReclaimOrder`). No other result is dropped: a
client that is within its time may have lost its connection, and would lose rows that no other process has.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from enum import IntEnum, StrEnum

BYTES_PER_MB = 2**20
HELD_SHARE = 3 / 16  # of limits.memory_mb
# A result has at most 48,000 bytes by the platform's protocol; a longer one reserves more before it is fetched.
RESERVED_RESULT_BYTES = 64 * 1024
REQUEST_OVERHEAD_BYTES = 4096  # the objects of an open request and its attempts
RESULT_OVERHEAD_BYTES = 1024  # the objects of a result, whatever its length
STATEMENT_COPIES = 2  # the statement itself, and its bytes while they are written to an engine


class HeldPurpose(StrEnum):
    """What memory is held for; the values are names of figures."""

    REQUESTS = "requests"  # open requests: statements, and room for their results
    RESULTS = "results"  # until their clients have fetched them, and for a repeated GET


class ReclaimOrder(IntEnum):
    """Which results are dropped for a new request, the lowest first; within a rank the oldest first."""

    CLIENT_TIME_OVER = 0  # by its own timeout the client has stopped waiting
    CLIENT_HAS_READ = 1  # the client has made another call on the connection since it was sent the last rows
    CLIENT_MAY_WAIT = 2  # never dropped


class MemoryCharge:
    """The bytes that one request, result or connection is charged for."""

    __slots__ = ("_memory", "purpose", "size")

    def __init__(self, memory: HeldMemory, purpose: HeldPurpose) -> None:
        self._memory = memory
        self.purpose = purpose
        self.size = 0

    def resize(self, size: int) -> None:
        """Set the bytes charged, whether or not there is room."""
        self._memory.count(self.purpose, size - self.size)
        self.size = size

    def release(self) -> None:
        """Charge nothing any more; has no effect if repeated."""
        if self.size:
            self.resize(0)


class HeldMemory:
    """The bytes held by one process, by purpose, and their limit."""

    def __init__(self, memory_mb: float) -> None:
        self._full_limit = int(memory_mb * BYTES_PER_MB * HELD_SHARE)
        self.limit = self._full_limit
        self.total = 0
        self.used: dict[HeldPurpose, int] = dict.fromkeys(HeldPurpose, 0)
        self.reclaim: Callable[[int], None] | None = None  # drops results that nobody waits for, of so many bytes

    def share(self, is_sharing: bool) -> None:
        """Halve the limit while another process of this coordinator runs, as in an upgrade: both use its memory."""
        self.limit = self._full_limit // 2 if is_sharing else self._full_limit

    def count(self, purpose: HeldPurpose, change: int) -> None:
        """Add to the bytes held for a purpose; for charges only."""
        self.used[purpose] += change
        self.total += change

    def charge(self, purpose: HeldPurpose, size: int) -> MemoryCharge:
        """Charge bytes that are held already, or that were reserved."""
        charge = MemoryCharge(self, purpose)
        charge.resize(size)
        return charge

    def admit(self, statement: str) -> MemoryCharge | None:
        """Reserve memory for a new request and its result; None if the request has to be refused."""
        size = RESERVED_RESULT_BYTES + REQUEST_OVERHEAD_BYTES + STATEMENT_COPIES * sys.getsizeof(statement)
        if not self._make_room(size):
            return None
        return self.charge(HeldPurpose.REQUESTS, size)

    def _make_room(self, size: int) -> bool:
        """Return whether `size` more bytes may be held, if necessary by dropping results that nobody waits for."""
        excess = self.total + size - self.limit
        if excess > 0 and self.reclaim is not None:
            self.reclaim(excess)
        # A single request is always admitted, so that a process with little memory serves at all.
        return self.total + size <= self.limit or self.total == 0

    def by_purpose(self) -> dict[str, int]:
        """Return the bytes held for each purpose."""
        return {purpose.value: size for purpose, size in self.used.items()}
