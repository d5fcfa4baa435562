"""When time runs out: at a fixed time, or earlier by how long an item would still take, which drifts with its kind.

Owns the limits of its items and when each is looked at next. It has no clock, and says nothing of what is to be done.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Container, Sequence, Sized
from typing import Any, Protocol

DEAD = 20_000  # entries of keys that are gone, beyond four for each that is there, before all of them are let go
AHEAD = 1.25  # a kind's items are looked at as early as at a pace this much higher than at the last ordering


class Keys(Container[int], Sized, Protocol):
    """What is there still."""


class Agenda:
    """Keys by time; one that is gone costs nothing until its time comes, or too many of its kind have gathered."""

    def __init__(self) -> None:
        self.heap = list[tuple[float, int]]()

    def add(self, at: float, key: int, there: Keys) -> None:
        heapq.heappush(self.heap, (at, key))
        if len(self.heap) > DEAD + 4 * len(there):
            self.heap = [entry for entry in self.heap if entry[1] in there]
            heapq.heapify(self.heap)

    def due(self, now: float) -> list[int]:
        out = []
        while self.heap and self.heap[0][0] <= now:
            out.append(heapq.heappop(self.heap)[1])
        return out

    @property
    def first(self) -> float:
        return self.heap[0][0] if self.heap else math.inf


class Rests(dict[int, float]):
    """Keys that rest, and until when; a rest may only grow."""

    def __init__(self) -> None:
        super().__init__()
        self.heap = list[tuple[float, int]]()

    def rest(self, key: int, until: float) -> None:
        if until > self.get(key, -math.inf):
            self[key] = until
            heapq.heappush(self.heap, (until, key))

    def due(self, now: float) -> list[int]:
        """The keys that have rested; a rest that has grown since is met again at its end."""
        out = []
        while self.heap and self.heap[0][0] <= now:
            until, key = heapq.heappop(self.heap)
            if self.get(key) == until:
                del self[key]
                out.append(key)
        return out

    @property
    def first(self) -> float:
        while self.heap and self.get(self.heap[0][1]) != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else math.inf


class Lapses:
    """Items of a kind with work and a limit; lapsed where now + work * pace > limit.

    A pace drifts with every answer, so that no fixed order of times holds. Each kind's are ordered by when they would
    lapse at a pace somewhat above the last one, and ordered anew where that is passed; what has come due by it is
    looked at every time until it has lapsed. What comes and goes between two looks costs two entries of a dictionary.
    """

    def __init__(self, kinds: int) -> None:
        self.new = dict[Any, tuple[int, float, float]]()
        self.live = dict[Any, tuple[float, Any, int, float, float]]()
        self.ahead = [list[tuple[float, Any, int, float, float]]() for _ in range(kinds)]
        self.near = [list[tuple[float, Any, int, float, float]]() for _ in range(kinds)]
        self.bounds = [0.0] * kinds

    def add(self, key: Any, kind: int, work: float, limit: float) -> None:
        self.live.pop(key, None)
        self.new[key] = (kind, work, limit)

    def discard(self, key: Any) -> None:
        if self.new.pop(key, None) is None:
            self.live.pop(key, None)

    def __len__(self) -> int:
        return len(self.new) + len(self.live)

    def due(self, now: float, paces: Sequence[float]) -> list[Any]:
        """The keys of what has lapsed, which are gone from here then."""
        for key, (kind, work, limit) in self.new.items():
            self.live[key] = entry = (limit - work * self.bounds[kind], key, kind, work, limit)
            heapq.heappush(self.ahead[kind], entry)
        self.new = {}
        out = []
        for kind, pace in enumerate(paces):
            ahead, near = self.ahead[kind], self.near[kind]
            if pace > self.bounds[kind] or pace * AHEAD * AHEAD < self.bounds[kind]:
                self._order(kind, pace * AHEAD)
                ahead, near = self.ahead[kind], self.near[kind]
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
        self.ahead[kind], self.near[kind] = [], []
        for _, key, _, work, limit in entries:
            self.live[key] = entry = (limit - work * bound, key, kind, work, limit)
            self.ahead[kind].append(entry)
        heapq.heapify(self.ahead[kind])
