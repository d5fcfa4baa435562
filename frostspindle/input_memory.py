"""Bounds the memory of requests that clients have not finished sending, for all fronts of a process together.

No I/O and no clock. Each front charges what a connection holds of its next request. Once all together pass the limit,
partial requests are refused, none of which has run: first those that have held the most memory for the longest time, as
clients that send at a usual pace hold little, or not for long.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from frostspindle.held_memory import HeldMemory, HeldPurpose

TARGET_SHARE = 7 / 8  # of the limit: what is held after a reclaim, so that one does not follow the next
MIN_AGE_S = 0.001  # of a partial request that has just begun


class PartialRequest(Protocol):
    """A connection with a request that is partly received."""

    @property
    def input_since_s(self) -> float:
        """The time of the first byte."""

    def refuse_input(self) -> bool:
        """Refuse the request as busy and keep nothing of it; return False if that is not possible now."""


class InputMemory:
    """The partial requests of one process, and the bytes that they hold."""

    def __init__(self, held_memory: HeldMemory, monotonic_s: Callable[[], float]) -> None:
        self._held_memory = held_memory
        self._monotonic_s = monotonic_s
        self._sizes: dict[PartialRequest, int] = {}

    @property
    def is_short(self) -> bool:
        """Whether the limit is reached, so that nothing is read ahead of a connection's first unanswered request."""
        return self._held_memory.used[HeldPurpose.INPUT] >= self._held_memory.input_limit

    def hold(self, request: PartialRequest, size: int) -> None:
        """Charge a connection for `size` bytes; 0 for none. Refuse others, or this one, beyond the limit."""
        change = size - self._sizes.get(request, 0)
        if size:
            self._sizes[request] = size
        else:
            self._sizes.pop(request, None)
        if not change:
            return
        self._held_memory.count(HeldPurpose.INPUT, change)
        if change > 0 and self._held_memory.used[HeldPurpose.INPUT] > self._held_memory.input_limit:
            self._reclaim()

    def _reclaim(self) -> None:
        target = self._held_memory.input_limit * TARGET_SHARE
        now_s = self._monotonic_s()
        by_cost = sorted(self._sizes, key=lambda request: self._cost(request, now_s), reverse=True)
        for request in by_cost:
            if self._held_memory.used[HeldPurpose.INPUT] <= target:
                return
            request.refuse_input()

    def _cost(self, request: PartialRequest, now_s: float) -> float:
        """Return the bytes held times the seconds for which the request has been incomplete."""
        return self._sizes[request] * max(MIN_AGE_S, now_s - request.input_since_s)
