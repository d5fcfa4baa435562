"""Deadlines: fixed times, and times that come earlier by how long an item would still run, which changes by its kind.

It has no clock, and does not decide what follows.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Container, Sequence, Sized
from typing import Any, Protocol

MAX_STALE_ENTRIES = (
    20_000  # entries of keys that are gone, beyond four for each that is there, before all of them are let go
)
PACE_MARGIN = 1.25  # a kind's items are looked at as early as at a pace this much higher than at the last ordering


class KeySet(Container[int], Sized, Protocol):
    """The collection of keys that still exist."""


class DeadlineQueue:
    """Keys by due time.

    A key that no longer exists is not searched for: its entry stays until its time, or until a compaction as such
    entries exceed MAX_DEAD_ENTRIES plus four for each key that exists.
    """

    def __init__(self) -> None:
        self.heap = list[tuple[float, int]]()

    def add(self, due_at_ms: float, key: int, existing: KeySet) -> None:
        """Schedule a key for time `at`; `there` holds the keys that still exist, for the compaction."""
        heapq.heappush(self.heap, (due_at_ms, key))
        if len(self.heap) > MAX_STALE_ENTRIES + 4 * len(existing):
            self.heap = [entry for entry in self.heap if entry[1] in existing]
            heapq.heapify(self.heap)

    def pop_due(self, now: float) -> list[int]:
        """Remove and return the keys due at or before `now`, earliest first; some may no longer exist."""
        due_keys = []
        while self.heap and self.heap[0][0] <= now:
            due_keys.append(heapq.heappop(self.heap)[1])
        return due_keys

    @property
    def first(self) -> float:
        """Earliest scheduled time, infinite if there is none; its key may no longer exist."""
        return self.heap[0][0] if self.heap else math.inf


class KeyCooldowns(dict[int, float]):
    """Keys that cool down, each until its time (ms); a cooldown can be extended but not shortened."""

    def __init__(self) -> None:
        super().__init__()
        self.heap = list[tuple[float, int]]()

    def start(self, key: int, until_ms: float) -> None:
        """Let a key cool down until a time (ms); a time that is not later than the one it already has is ignored."""
        if until_ms > self.get(key, -math.inf):
            self[key] = until_ms
            heapq.heappush(self.heap, (until_ms, key))

    def pop_due(self, now: float) -> list[int]:
        """Remove and return the keys whose cooldown is over at `now`; one that was extended comes at its later end."""
        due_keys = []
        while self.heap and self.heap[0][0] <= now:
            until_ms, key = heapq.heappop(self.heap)
            if self.get(key) == until_ms:
                del self[key]
                due_keys.append(key)
        return due_keys

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
        self.added = dict[Any, tuple[int, float, float]]()
        self.entries_by_key = dict[Any, tuple[float, Any, int, float, float]]()
        self.heaps = [list[tuple[float, Any, int, float, float]]() for _ in range(kinds)]
        self.due_soon = [list[tuple[float, Any, int, float, float]]() for _ in range(kinds)]
        self.max_paces = [0.0] * kinds

    def add(self, key: Any, kind: int, work: float, limit_ms: float) -> None:
        """Add an item, replacing any of the same key; `work` times the pace and `limit` are in milliseconds."""
        self.entries_by_key.pop(key, None)
        self.added[key] = (kind, work, limit_ms)

    def discard(self, key: Any) -> None:
        """Remove an item; a key that is not there is ignored."""
        if self.added.pop(key, None) is None:
            self.entries_by_key.pop(key, None)

    def __len__(self) -> int:
        return len(self.added) + len(self.entries_by_key)

    def pop_due(self, now: float, paces: Sequence[float]) -> list[Any]:
        """Remove and return the keys of all items that have expired at `now` (ms), by the current pace of each kind.

        Entries of discarded items are compacted once they outnumber the others.
        """
        for key, (kind, work, limit_ms) in self.added.items():
            entry = (limit_ms - work * self.max_paces[kind], key, kind, work, limit_ms)
            self.entries_by_key[key] = entry
            heapq.heappush(self.heaps[kind], entry)
        self.added = {}
        due_keys = []
        for kind, pace in enumerate(paces):
            if pace > self.max_paces[kind] or pace * PACE_MARGIN * PACE_MARGIN < self.max_paces[kind]:
                self._rebuild(kind, pace * PACE_MARGIN)
            heap = self.heaps[kind]
            due_soon = self.due_soon[kind]
            while heap and heap[0][0] <= now + 1.0:  # a little early: sums are rounded
                due_soon.append(heapq.heappop(heap))
            remaining = []
            for entry in due_soon:
                _, key, _, work, limit_ms = entry
                if self.entries_by_key.get(key) is not entry:
                    continue
                if now + work * pace > limit_ms:
                    del self.entries_by_key[key]
                    due_keys.append(key)
                else:
                    remaining.append(entry)
            self.due_soon[kind] = remaining
        if sum(map(len, self.heaps)) + sum(map(len, self.due_soon)) > 2 * len(self.entries_by_key) + 64:
            for kind in range(len(self.heaps)):
                self._rebuild(kind, self.max_paces[kind])
        return due_keys

    def _rebuild(self, kind: int, max_pace: float) -> None:
        self.max_paces[kind] = max_pace
        entries = [e for e in self.heaps[kind] + self.due_soon[kind] if self.entries_by_key.get(e[1]) is e]
        self.heaps[kind] = []
        self.due_soon[kind] = []
        for _, key, _, work, limit_ms in entries:
            entry = (limit_ms - work * max_pace, key, kind, work, limit_ms)
            self.entries_by_key[key] = entry
            self.heaps[kind].append(entry)
        heapq.heapify(self.heaps[kind])
