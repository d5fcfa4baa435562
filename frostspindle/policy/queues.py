"""Ordered queues: one with lanes that can be skipped during iteration, and one by lowest value.

Rows are tuples whose last field is the item; the fields before it are unique. The queues know neither requests nor
times.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections.abc import Container, Iterable, Iterator
from itertools import islice
from typing import Any

UNITS_PER_WEIGHT = 1 << 20  # weights are summed as integers, so that rounding errors do not accumulate


class WaitingQueue:
    """Rows in ascending order, stored as one sorted list per lane and a sorted list of the lanes' first rows."""

    def __init__(self) -> None:
        self.lanes: dict[int, list[Any]] = {}
        self.heads = list[tuple[Any, int]]()
        self.count = 0
        self.units = 0

    def add(self, row: tuple[Any, ...], lane: int, weight: float) -> None:
        """Insert a row into its lane; its weight counts towards `total`.

        A weight is limited to 1e15, so that an infinite weight can be converted to an integer.
        """
        rows = self.lanes.setdefault(lane, [])
        insort(rows, row)
        if rows[0] is row:
            if len(rows) > 1:
                del self.heads[bisect_left(self.heads, (rows[1], lane))]
            insort(self.heads, (row, lane))
        self.count += 1
        self.units += int(min(weight, 1e15) * UNITS_PER_WEIGHT)

    def drop(self, rank: tuple[Any, ...], lane: int, weight: float) -> None:
        """Remove the row whose fields before the item equal `rank`; `weight` must equal the weight passed to `add`.

        Raise KeyError if the lane is unknown, or has no such row but a later one; raise IndexError if it has neither.
        """
        rows = self.lanes[lane]
        index = bisect_left(rows, rank)
        row = rows[index]
        if row[:-1] != rank:
            raise KeyError(rank)
        if index == 0:
            del self.heads[bisect_left(self.heads, (row, lane))]
            if len(rows) > 1:
                insort(self.heads, (rows[1], lane))
        del rows[index]
        if not rows:
            del self.lanes[lane]
        self.count -= 1
        self.units -= int(min(weight, 1e15) * UNITS_PER_WEIGHT)

    def walk(self, skipped: Container[int]) -> Iterator[Any]:
        """Yield items in ascending order of their rows, except those of the lanes in `skipped`.

        `skipped` may grow during the iteration, which ends the affected lanes. Rows must not be added or removed.
        """
        head_index = 0
        entered = list[tuple[Any, int, int]]()  # for each lane entered: its next row, the row's position, the lane
        while True:
            if head_index < len(self.heads) and (not entered or self.heads[head_index][0] < entered[0][0]):
                row, lane = self.heads[head_index]
                position = 0
                head_index += 1
            elif entered:
                row, position, lane = heapq.heappop(entered)
            else:
                return
            if lane in skipped:
                continue
            yield row[-1]
            rows = self.lanes[lane]
            if lane not in skipped and position + 1 < len(rows):
                heapq.heappush(entered, (rows[position + 1], position + 1, lane))

    @property
    def total(self) -> float:
        """Sum of the weights of all rows."""
        return self.units / UNITS_PER_WEIGHT

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[Any]:
        return heapq.merge(*self.lanes.values())

    def __getitem__(self, bounds: slice) -> list[Any]:
        return list(islice(self, bounds.start, bounds.stop, bounds.step))


class LowestValueQueue:
    """Priority queue by lowest value, then rank. Stale items are not removed; the caller must detect them."""

    def __init__(self, rows: Iterable[tuple[float, Any, Any]] = ()) -> None:
        self.rows = list(rows)
        heapq.heapify(self.rows)

    def add(self, value: float, rank: Any, item: Any) -> None:
        """Add an item; among equal values the lower rank comes first."""
        heapq.heappush(self.rows, (value, rank, item))

    def pop(self) -> tuple[Any, Any]:
        """Remove the item with the lowest value and return its rank and the item; raise IndexError if empty."""
        return heapq.heappop(self.rows)[1:]

    def __len__(self) -> int:
        return len(self.rows)
