"""Whose turn it is with a key of which several processes have requests.

Owns a process's places: each request that keeps an order draws a stamp above all that it sees for its key, and its turn
has come once nobody's smaller stamp stands there. It does no I/O and reads no clock. It must never give a turn while an
earlier place, or one that is still being drawn, stands elsewhere; and it never takes a place for over by itself: what a
dead process left stands until `others` drops it.

This is Lamport's bakery (1974): a place is marked as being drawn before its stamp is chosen, so that of two processes
in the same moment at least one sees the other, and equal stamps go by the owners' numbers. It needs no lock that a
stopped process could hold, and no clock that agrees: time only keeps the stamps near the order of arrival.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

DRAWING = 1  # stands in a cell while its stamp is being chosen: before every stamp


class QueuePosition(NamedTuple):
    """A request's place in the order of its key: smaller goes first."""

    stamp: int
    owner: int


class CellWriter(Protocol):
    """This process's cells, which the other processes read."""

    cells: int

    def put(self, cell: int, key: int, stamp: int) -> None:
        """Write a cell so that others see it once this returns; a key of 0 frees the cell."""


class KeyQueue:
    """The places of one process. `others(key)` gives the places that other processes hold of that key now."""

    def __init__(self, owner: int, sheet: CellWriter, others: Callable[[int], Iterable[QueuePosition]]) -> None:
        self.owner, self.sheet, self.others = owner, sheet, others
        self._free = list(range(sheet.cells - 1, -1, -1))
        self._cells: dict[int, tuple[int, int]] = {}  # by request: cell, key
        self._waiting: dict[int, tuple[int, QueuePosition]] = {}  # by request: key, place
        self._last = DRAWING

    @property
    def open(self) -> int:
        """Number of requests that hold a place."""
        return len(self._cells)

    @property
    def waiting(self) -> int:
        """Number of requests whose turn has not come yet."""
        return len(self._waiting)

    def key(self, request: int) -> int:
        """Return the key of which a request holds a place; 0: it holds none."""
        return self._cells.get(request, (0, 0))[1]

    def enter(self, request: int, key: int, now: int) -> bool | None:
        """Draw a place: True if its turn has come, False if it has to wait, None if there is no cell for it.

        `now` is in microseconds, near enough to that of the other processes.
        """
        if not self._free:
            return None
        cell = self._free.pop()
        self._cells[request] = cell, key
        self.sheet.put(cell, key, DRAWING)
        stamp = self._last = max(now, self._last + 1, 1 + max((p.stamp for p in self.others(key)), default=0))
        self.sheet.put(cell, key, stamp)
        place = QueuePosition(stamp, self.owner)
        if self._first(key, place):
            return True
        self._waiting[request] = key, place
        return False

    def due(self) -> list[int]:
        """Return the requests whose turn has come since the last call, the earliest place first."""
        ready = sorted((place, request) for request, (key, place) in self._waiting.items() if self._first(key, place))
        for _, request in ready:
            del self._waiting[request]
        return [request for _, request in ready]

    def over(self, request: int) -> None:
        """Free the place of a request that is answered and of which nothing can run any more."""
        self._waiting.pop(request, None)
        if (entry := self._cells.pop(request, None)) is not None:
            self.sheet.put(entry[0], 0, 0)
            self._free.append(entry[0])

    def _first(self, key: int, mine: QueuePosition) -> bool:
        return all(mine < other for other in self.others(key))
