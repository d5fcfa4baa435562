"""An ordered queue of what is held, whose lanes can be left out of a walk as a whole.

Owns the order of its rows, their lanes and the sum of their weights. Rows are tuples that differ before their last
field, the item. It decides nothing, and knows neither requests nor times.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left, insort
from collections.abc import Container, Iterable, Iterator
from itertools import islice
from typing import Any

UNIT = 1 << 20  # weights are summed as whole parts, so that no rounding adds up over a long day


class Held:
    """Rows in ascending order, each in one lane; a plain sorted list for each lane and one of the lanes' heads."""

    def __init__(self) -> None:
        self.lanes: dict[int, list[Any]] = {}
        self.heads = list[tuple[Any, int]]()
        self.count, self.units = 0, 0

    def add(self, row: tuple[Any, ...], lane: int, weight: float) -> None:
        rows = self.lanes.setdefault(lane, [])
        insort(rows, row)
        if rows[0] is row:
            if len(rows) > 1:
                del self.heads[bisect_left(self.heads, (rows[1], lane))]
            insort(self.heads, (row, lane))
        self.count += 1
        self.units += int(min(weight, 1e15) * UNIT)

    def drop(self, slot: tuple[Any, ...], lane: int, weight: float) -> None:
        """Take out the row that starts with the slot."""
        rows = self.lanes[lane]
        row = rows[at := bisect_left(rows, slot)]
        if row[:-1] != slot:
            raise KeyError(slot)
        if at == 0:
            del self.heads[bisect_left(self.heads, (row, lane))]
            if len(rows) > 1:
                insort(self.heads, (rows[1], lane))
        del rows[at]
        if not rows:
            del self.lanes[lane]
        self.count -= 1
        self.units -= int(min(weight, 1e15) * UNIT)

    def walk(self, passed: Container[int]) -> Iterator[Any]:
        """Items in order, none of a lane that was passed before its turn; no row may come or go meanwhile."""
        at, ways = 0, list[tuple[Any, int, int]]()  # the next row of each lane entered, its place, the lane
        while True:
            if at < len(self.heads) and (not ways or self.heads[at][0] < ways[0][0]):
                (row, lane), place, at = self.heads[at], 0, at + 1
            elif ways:
                row, place, lane = heapq.heappop(ways)
            else:
                return
            if lane in passed:
                continue
            yield row[-1]
            rows = self.lanes[lane]
            if lane not in passed and place + 1 < len(rows):
                heapq.heappush(ways, (rows[place + 1], place + 1, lane))

    @property
    def total(self) -> float:
        return self.units / UNIT

    def __len__(self) -> int:
        return self.count

    def __iter__(self) -> Iterator[Any]:
        return heapq.merge(*self.lanes.values())

    def __getitem__(self, part: slice) -> list[Any]:
        return list(islice(self, part.start, part.stop, part.step))


class Least:
    """Items by least value, then by slot; what is no longer of interest is found out by who takes it."""

    def __init__(self, rows: Iterable[tuple[float, Any, Any]] = ()) -> None:
        self.rows = list(rows)
        heapq.heapify(self.rows)

    def add(self, value: float, slot: Any, item: Any) -> None:
        heapq.heappush(self.rows, (value, slot, item))

    def pop(self) -> tuple[Any, Any]:
        return heapq.heappop(self.rows)[1:]

    def __len__(self) -> int:
        return len(self.rows)
