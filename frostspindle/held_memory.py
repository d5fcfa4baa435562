"""Bounds the memory that a process holds for its clients, without I/O or clock.

Everything held for others is charged here in the bytes that it takes, and all of it together stays within HELD_SHARE of
`limits.memory_mb`. An open request is charged for the result that it may get, so a result that arrives always has room.
Requests that are partly received have INPUT_SHARE (`input_memory.py`).
Answers in write buffers have UNSENT_SHARE: once that is used up, further answers wait as the text of their rows until
the slow readers have read or are disconnected. So rows that wait to be written can't keep out rows that are fetched.

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
UNSENT_SHARE = 1 / 16  # of limits.memory_mb, beside HELD_SHARE: answers that their clients do not read yet
INPUT_SHARE = 1 / 16  # of limits.memory_mb, beside the others: requests that are partly received
# A result has at most 48,000 bytes by the platform's protocol; a longer one reserves more before it is fetched.
RESERVED_RESULT_BYTES = 64 * 1024
EXTENSION_ROOM_BYTES = 512 * 1024  # that new requests leave free, so that a longer result can always be completed
REQUEST_OVERHEAD_BYTES = 4096  # the objects of an open request and its attempts
RESULT_OVERHEAD_BYTES = 1024  # the objects of a result, whatever its length
STATEMENT_COPIES = 2  # the statement itself, and its bytes while they are written to an engine


class HeldPurpose(StrEnum):
    """What memory is held for; the values are names of figures."""

    REQUESTS = "requests"  # open requests: statements, and room for their results
    RESULTS = "results"  # until their clients have fetched them, and for a repeated GET
    UNSENT = "unsent"  # answers in write buffers
    INPUT = "input"  # requests that are partly received; input_memory.py says which are refused at the limit


SEPARATE_PURPOSES = frozenset((HeldPurpose.UNSENT, HeldPurpose.INPUT))  # each with a limit of its own


class ReclaimOrder(IntEnum):
    """Which results are dropped for a new request, the lowest first; within a rank the oldest first."""

    CLIENT_TIME_OVER = 0  # by its own timeout the client has stopped waiting
    CLIENT_HAS_READ = 1  # the client has made another call on the connection since it was sent the last rows
    CLIENT_MAY_WAIT = 2  # never dropped


class MemoryCharge:
    """The bytes that one request, result or connection is charged for."""

    __slots__ = ("_memory", "purpose", "size", "_is_released")

    def __init__(self, memory: HeldMemory, purpose: HeldPurpose) -> None:
        self._memory = memory
        self.purpose = purpose
        self.size = 0
        self._is_released = False

    def resize(self, size: int) -> None:
        """Set the bytes charged, whether or not there is room; has no effect after `release`."""
        if self._is_released:
            return
        self._memory.count(self.purpose, size - self.size)
        self.size = size

    def release(self) -> None:
        """Charge nothing any more, for good."""
        self.resize(0)
        self._is_released = True


class HeldMemory:
    """The bytes held by one process, by purpose, and their limit."""

    def __init__(self, memory_mb: float) -> None:
        self._full_limit = int(memory_mb * BYTES_PER_MB * HELD_SHARE)
        self.limit = self._full_limit
        self._full_unsent_limit = int(memory_mb * BYTES_PER_MB * UNSENT_SHARE)
        self.unsent_limit = self._full_unsent_limit
        self._full_input_limit = int(memory_mb * BYTES_PER_MB * INPUT_SHARE)
        self.input_limit = self._full_input_limit
        self.total = 0  # for all purposes without a limit of their own
        self.used: dict[HeldPurpose, int] = dict.fromkeys(HeldPurpose, 0)
        self.waiting_extensions = 0  # results that wait for more room than was reserved for them
        self.reclaim: Callable[[int], None] | None = None  # drops results that nobody waits for, of so many bytes

    def share(self, is_sharing: bool) -> None:
        """Halve the limit while another process of this coordinator runs, as in an upgrade: both use its memory."""
        parts = 2 if is_sharing else 1
        self.limit = self._full_limit // parts
        self.unsent_limit = self._full_unsent_limit // parts
        self.input_limit = self._full_input_limit // parts

    def count(self, purpose: HeldPurpose, change: int) -> None:
        """Add to the bytes held for a purpose; for charges only."""
        self.used[purpose] += change
        if purpose not in SEPARATE_PURPOSES:
            self.total += change

    @property
    def held_bytes(self) -> int:
        """The bytes held for all purposes."""
        return self.total + sum(self.used[purpose] for purpose in SEPARATE_PURPOSES)

    @property
    def held_limit(self) -> int:
        """The bytes that may be held for all purposes."""
        return self.limit + self.unsent_limit + self.input_limit

    @property
    def may_send(self) -> bool:
        """Whether one more answer may be written that its client may be slow to read."""
        return self.used[HeldPurpose.UNSENT] < self.unsent_limit

    def charge(self, purpose: HeldPurpose, size: int) -> MemoryCharge:
        """Charge bytes that are held already, or that were reserved."""
        charge = MemoryCharge(self, purpose)
        charge.resize(size)
        return charge

    def admit(self, statement: str) -> MemoryCharge | None:
        """Reserve memory for a new request and its result; None if the request has to be refused.

        It is also refused while results that are there wait for room, as these come first.
        """
        if self.waiting_extensions:
            return None
        size = RESERVED_RESULT_BYTES + REQUEST_OVERHEAD_BYTES + STATEMENT_COPIES * sys.getsizeof(statement)
        if not self._make_room(size, self.limit - min(EXTENSION_ROOM_BYTES, self.limit // 2)):
            return None
        return self.charge(HeldPurpose.REQUESTS, size)

    def try_extend(self, charge: MemoryCharge, size: int) -> bool:
        """Reserve `size` more bytes for a result that is longer than usual; return whether there is room.

        All that it can still need is to be reserved at once: if several got a part each, none could be completed.
        """
        if not self._make_room(size, self.limit, charge.size):
            return False
        charge.resize(charge.size + size)
        return True

    def _make_room(self, size: int, limit: int, own_size: int = 0) -> bool:
        """Return whether `size` more bytes are within a limit, if necessary by dropping results nobody waits for.

        `own_size`: the bytes that whoever asks is charged for already.
        """
        excess = self.total + size - limit
        if excess > 0 and self.reclaim is not None:
            self.reclaim(excess)
        # A single request is always admitted, so that a process with little memory serves at all.
        return self.total + size <= limit or self.total == own_size

    def by_purpose(self) -> dict[str, int]:
        """Return the bytes held for each purpose."""
        return {purpose.value: size for purpose, size in self.used.items()}
