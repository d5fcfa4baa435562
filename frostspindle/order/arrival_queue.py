"""Requests with an ordering key that wait until every earlier one of their key has been parsed. No I/O and no clock.

Requests are parsed in another order than they arrive: short input is parsed as it is read, long input waits its turn,
and a new connection waits to be accepted. A request leaves this queue once no request of its key that arrived before it
can be unparsed any more, or at the end of its own wait, so that no client holds up the keys of others for long.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

MAX_WAIT_MS = 1000.0  # for input that arrived earlier
MAX_WAIT_SHARE = 0.25  # of a request's time


class ArrivedRequest(NamedTuple):
    """A request that leaves the queue."""

    number: int
    waited_ms: float
    is_overdue: bool  # at the end of its wait, though earlier input may still be unparsed


@dataclass(order=True, slots=True)
class _Waiting:
    arrived_ms: float
    sequence: int
    number: int = field(compare=False)
    since_ms: float = field(compare=False)
    until_ms: float = field(compare=False)


class ArrivalQueue:
    """The waiting requests by key, each key's in the order of arrival.

    `may_hold_earlier(key, arrived_ms)` returns whether a request of a key that arrived before a time may be unparsed.
    """

    def __init__(self, may_hold_earlier: Callable[[int, float], bool]) -> None:
        self._may_hold_earlier = may_hold_earlier
        self._waiting: dict[int, list[_Waiting]] = {}  # by key: a heap
        self._sequence = itertools.count()

    def __bool__(self) -> bool:
        return bool(self._waiting)

    @property
    def earliest_ms(self) -> float:
        """When the first of the waiting requests arrived, in Unix ms; infinity if there is none."""
        return min((heap[0].arrived_ms for heap in self._waiting.values()), default=math.inf)

    def add(self, number: int, key: int, arrived_ms: float, timeout_ms: float, now_ms: float) -> None:
        """Let a request wait that arrived at `arrived_ms` (Unix ms) and has `timeout_ms` for its answer."""
        until_ms = now_ms + min(MAX_WAIT_MS, MAX_WAIT_SHARE * timeout_ms)
        waiting = _Waiting(arrived_ms, next(self._sequence), number, now_ms, until_ms)
        heapq.heappush(self._waiting.setdefault(key, []), waiting)

    def pop_ready(self, now_ms: float) -> ArrivedRequest | None:
        """Remove and return a request that need not wait any more; None if there is none."""
        for key, heap in self._waiting.items():
            first = heap[0]
            is_overdue = now_ms >= first.until_ms
            if is_overdue or not self._may_hold_earlier(key, first.arrived_ms):
                heapq.heappop(heap)
                if not heap:
                    del self._waiting[key]
                return ArrivedRequest(first.number, now_ms - first.since_ms, is_overdue)
        return None
