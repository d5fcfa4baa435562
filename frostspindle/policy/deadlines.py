"""Deadline indexes: fixed due times, key cooldowns, and expiry times that depend on a changing pace.

The indexes have no clock and leave it to the caller what happens to due keys.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Container, Sequence, Sized
from typing import Any, Protocol

MAX_STALE_ENTRIES = 20_000  # heap entries beyond four per existing key at which the heap is compacted
PACE_MARGIN = 1.25  # items are ordered for a pace this much higher than the current one


class KeySet(Container[int], Sized, Protocol):
    """Collection of the keys that still exist."""


class DeadlineQueue:
    """Priority queue of keys by due time.

    Removing a key does not search the heap: its entry stays until it is due, or until the heap holds more than
    MAX_STALE_ENTRIES plus four entries per existing key and is compacted.
    """

    def __init__(self) -> None:
        self.heap = list[tuple[float, int]]()

    def add(self, due_at_ms: float, key: int, existing: KeySet) -> None:
        """Schedule a key for `due_at_ms`; `existing` holds the keys that still exist, for compaction."""
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
    def earliest_ms(self) -> float:
        """Earliest scheduled time, or infinity if there is none. Its key may no longer exist."""
        return self.heap[0][0] if self.heap else math.inf


class KeyCooldowns(dict[int, float]):
    """End times of the cooldowns of keys, in ms. A cooldown can be extended but not shortened."""

    def __init__(self) -> None:
        super().__init__()
        self.heap = list[tuple[float, int]]()

    def start(self, key: int, until_ms: float) -> None:
        """Start or extend the cooldown of a key; ignored if its current cooldown ends later."""
        if until_ms > self.get(key, -math.inf):
            self[key] = until_ms
            heapq.heappush(self.heap, (until_ms, key))

    def pop_due(self, now: float) -> list[int]:
        """Remove and return the keys whose cooldown has ended at `now`; extensions are taken into account."""
        due_keys = []
        while self.heap and self.heap[0][0] <= now:
            until_ms, key = heapq.heappop(self.heap)
            if self.get(key) == until_ms:
                del self[key]
                due_keys.append(key)
        return due_keys

    @property
    def earliest_ms(self) -> float:
        """Earliest end of a cooldown, or infinity if there is none."""
        while self.heap and self.get(self.heap[0][1]) != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf


class ExpiryIndex:
    """Index of items that expire when now + work * pace > limit, where the pace depends on the kind of the item.

    The pace of a kind changes with every response, so the expiry times have no fixed order. The items of each kind are
    ordered by their expiry at a maximum pace, PACE_MARGIN times the pace at the last rebuild. The order is rebuilt when
    the pace exceeds that maximum or falls far below it. Items that are due at the maximum pace are checked at every
    call until they expire. An item that is added and discarded between two calls costs only dictionary operations.
    """

    def __init__(self, kinds: int) -> None:
        self.added = dict[Any, tuple[int, float, float]]()
        self.entries_by_key = dict[Any, tuple[float, Any, int, float, float]]()
        self.heaps = [list[tuple[float, Any, int, float, float]]() for _ in range(kinds)]
        self.due_soon = [list[tuple[float, Any, int, float, float]]() for _ in range(kinds)]
        self.max_paces = [0.0] * kinds

    def add(self, key: Any, kind: int, work: float, limit_ms: float) -> None:
        """Add an item, replacing any with the same key; `work` times the pace is in milliseconds."""
        self.entries_by_key.pop(key, None)
        self.added[key] = (kind, work, limit_ms)

    def discard(self, key: Any) -> None:
        """Remove an item; an unknown key is ignored."""
        if self.added.pop(key, None) is None:
            self.entries_by_key.pop(key, None)

    def __len__(self) -> int:
        return len(self.added) + len(self.entries_by_key)

    def pop_due(self, now: float, paces: Sequence[float]) -> list[Any]:
        """Remove and return the keys of all items that have expired at `now` (ms), given the current pace of each kind.

        Entries of discarded items are compacted once they outnumber the rest.
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
            while heap and heap[0][0] <= now + 1.0:  # 1 ms early, to allow for rounding
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
