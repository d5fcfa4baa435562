"""Deadlines: fixed times, and times that come earlier by how long an item would still run, which changes by its kind.

It has no clock, and does not decide what follows.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Container, Sequence, Sized
from typing import Any, Protocol

MAX_DEAD_ENTRIES = (
    20_000  # entries of keys that are gone, beyond four for each that is there, before all of them are let go
)
PACE_MARGIN = 1.25  # a kind's items are looked at as early as at a pace this much higher than at the last ordering


class Keys(Container[int], Sized, Protocol):
    """The collection of keys that still exist."""


class DeadlineQueue:
    """Keys by due time.

    A key that no longer exists is not searched for: its entry stays until its time, or until a compaction as such
    entries exceed MAX_DEAD_ENTRIES plus four for each key that exists.
    """

    def __init__(self) -> None:
        self.heap = list[tuple[float, int]]()

    def add(self, at: float, key: int, there: Keys) -> None:
        """Schedule a key for time `at`; `there` holds the keys that still exist, for the compaction."""
        heapq.heappush(self.heap, (at, key))
        if len(self.heap) > MAX_DEAD_ENTRIES + 4 * len(there):
            self.heap = [entry for entry in self.heap if entry[1] in there]
            heapq.heapify(self.heap)

    def pop_due(self, now: float) -> list[int]:
        """Remove and return the keys due at or before `now`, earliest first; some may no longer exist."""
        out = []
        while self.heap and self.heap[0][0] <= now:
            out.append(heapq.heappop(self.heap)[1])
        return out

    @property
    def first(self) -> float:
        """Earliest scheduled time, infinite if there is none; its key may no longer exist."""
        return self.heap[0][0] if self.heap else math.inf


class KeyCooldowns(dict[int, float]):
    """Keys that cool down, each until its time (ms); a cooldown can be extended but not shortened."""

    def __init__(self) -> None:
        super().__init__()
        self.heap = list[tuple[float, int]]()

    def start(self, key: int, until: float) -> None:
        """Let a key cool down until a time (ms); a time that is not later than the one it already has is ignored."""
        if until > self.get(key, -math.inf):
            self[key] = until
            heapq.heappush(self.heap, (until, key))

    def pop_due(self, now: float) -> list[int]:
        """Remove and return the keys whose cooldown is over at `now`; one that was extended comes at its later end."""
        out = []
        while self.heap and self.heap[0][0] <= now:
            until, key = heapq.heappop(self.heap)
            if self.get(key) == until:
                del self[key]
                out.append(key)
        return out

    @property
    def first(self) -> float:
        """Earliest end of a cooldown, infinite if there is none."""
        while self.heap and self.get(self.heap[0][1]) != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf


class ExpiryIndex:
    """Items with a kind, work and a limit; an item has expired when now + work * pace of its kind > limit.

    A pace changes with every response, so no fixed order of times holds. The items of each kind are ordered by when
    they would expire at a pace PACE_MARGIN times that of the last ordering, and are reordered once the pace exceeds
    that or falls far below it. Items that are due by that order are examined each time until they have expired. An item
    that is added and discarded between two examinations costs only dictionary operations.
    """

    def __init__(self, kinds: int) -> None:
        self.new = dict[Any, tuple[int, float, float]]()
        self.live = dict[Any, tuple[float, Any, int, float, float]]()
        self.ahead = [list[tuple[float, Any, int, float, float]]() for _ in range(kinds)]
        self.near = [list[tuple[float, Any, int, float, float]]() for _ in range(kinds)]
        self.bounds = [0.0] * kinds

    def add(self, key: Any, kind: int, work: float, limit: float) -> None:
        """Add an item, replacing any of the same key; `work` times the pace and `limit` are in milliseconds."""
        self.live.pop(key, None)
        self.new[key] = (kind, work, limit)

    def discard(self, key: Any) -> None:
        """Remove an item; a key that is not there is ignored."""
        if self.new.pop(key, None) is None:
            self.live.pop(key, None)

    def __len__(self) -> int:
        return len(self.new) + len(self.live)

    def pop_due(self, now: float, paces: Sequence[float]) -> list[Any]:
        """Remove and return the keys of all items that have expired at `now` (ms), by the current pace of each kind.

        Entries of discarded items are compacted once they outnumber the others.
        """
        for key, (kind, work, limit) in self.new.items():
            entry = (limit - work * self.bounds[kind], key, kind, work, limit)
            self.live[key] = entry
            heapq.heappush(self.ahead[kind], entry)
        self.new = {}
        out = []
        for kind, pace in enumerate(paces):
            if pace > self.bounds[kind] or pace * PACE_MARGIN * PACE_MARGIN < self.bounds[kind]:
                self._order(kind, pace * PACE_MARGIN)
            ahead = self.ahead[kind]
            near = self.near[kind]
            while ahead and ahead[0][0] <= now + 1.0:  # a little early: sums are rounded
                near.append(heapq.heappop(ahead))
            kept = []
            for entry in near:
                _, key, _, work, limit = entry
                if self.live.get(key) is not entry:
                    continue
                if now + work * pace > limit:
                    del self.live[key]
                    out.append(key)
                else:
                    kept.append(entry)
            self.near[kind] = kept
        if sum(map(len, self.ahead)) + sum(map(len, self.near)) > 2 * len(self.live) + 64:
            for kind in range(len(self.ahead)):
                self._order(kind, self.bounds[kind])
        return out

    def _order(self, kind: int, bound: float) -> None:
        self.bounds[kind] = bound
        entries = [e for e in self.ahead[kind] + self.near[kind] if self.live.get(e[1]) is e]
        self.ahead[kind] = []
        self.near[kind] = []
        for _, key, _, work, limit in entries:
            entry = (limit - work * bound, key, kind, work, limit)
            self.live[key] = entry
            self.ahead[kind].append(entry)
        heapq.heapify(self.ahead[kind])
