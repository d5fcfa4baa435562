"""The queue of each key whose requests several processes have: Lamport's bakery algorithm over shared cells.

Each request that keeps an order draws a stamp above all that its process sees for the key, and is at the head of the
queue once no smaller stamp is left in any process. No I/O, no clock. A request never reaches the head while an earlier
position, or one whose stamp is still being chosen, exists elsewhere. This module never drops a position of another
process by itself: those of a dead process count until `peer_positions` no longer returns them.

In the bakery algorithm (Lamport, 1974) a position is marked as being drawn before its stamp is chosen, so that of two
processes in the same moment at least one sees the other, and equal stamps are ordered by the owners' numbers. It needs
no lock that a stopped process could hold, and no synchronized clocks: time only keeps the stamps near the order of
arrival.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple, Protocol

CHOOSING_STAMP = 1  # in a cell while its stamp is being chosen; smaller than every stamp


class QueuePosition(NamedTuple):
    """A request's position in the queue of its key: the smaller one goes first."""

    stamp: int
    owner: int


class CellWriter(Protocol):
    """This process's cells, which the other processes read."""

    cell_count: int

    def write_cell(self, cell: int, key: int, stamp: int) -> None:
        """Write a cell so that other processes see it once this returns; a key of 0 frees the cell."""


class KeyQueue:
    """The queue entries of one process; `peer_positions(key)` returns the positions of that key in other processes."""

    def __init__(
        self, owner: int, cell_file: CellWriter, peer_positions: Callable[[int], Iterable[QueuePosition]]
    ) -> None:
        self.owner: int = owner
        self.cell_file: CellWriter = cell_file
        self.peer_positions: Callable[[int], Iterable[QueuePosition]] = peer_positions
        self._free_cells: list[int] = list(range(cell_file.cell_count - 1, -1, -1))
        self._cells: dict[int, tuple[int, int]] = {}  # by request: cell, key
        self._waiting: dict[int, tuple[int, QueuePosition]] = {}  # by request: key, position
        self._last_stamp: int = CHOOSING_STAMP

    @property
    def entry_count(self) -> int:
        """Number of requests that have a position."""
        return len(self._cells)

    @property
    def waiting_count(self) -> int:
        """Number of requests that have not reached the head of their queue."""
        return len(self._waiting)

    def key_of(self, request: int) -> int:
        """Return the key in whose queue a request is; 0 if it is in none."""
        _, key = self._cells.get(request, (0, 0))
        return key

    def enter(self, request: int, key: int, now_us: int) -> bool | None:
        """Draw a position: True if it is at the head, False if it has to wait, None if there is no free cell.

        `now_us` is in microseconds, approximately that of the other processes.
        """
        if not self._free_cells:
            return None
        cell = self._free_cells.pop()
        self._cells[request] = (cell, key)
        self.cell_file.write_cell(cell, key, CHOOSING_STAMP)
        stamp = self._next_stamp(key, now_us)
        self.cell_file.write_cell(cell, key, stamp)
        position = QueuePosition(stamp, self.owner)
        if self._is_at_head(key, position):
            return True
        self._waiting[request] = (key, position)
        return False

    def pop_ready(self) -> list[int]:
        """Return the requests that reached the head since the last call, the earliest position first."""
        ready = sorted(
            (position, request) for request, (key, position) in self._waiting.items() if self._is_at_head(key, position)
        )
        for _, request in ready:
            del self._waiting[request]
        return [request for _, request in ready]

    def leave(self, request: int) -> None:
        """Free the cell of a request that is answered and has no attempt in flight; no error if it has none."""
        self._waiting.pop(request, None)
        entry = self._cells.pop(request, None)
        if entry is None:
            return
        cell, _ = entry
        self.cell_file.write_cell(cell, 0, 0)
        self._free_cells.append(cell)

    def _next_stamp(self, key: int, now_us: int) -> int:
        highest_seen = max((position.stamp for position in self.peer_positions(key)), default=0)
        self._last_stamp = max(now_us, self._last_stamp + 1, highest_seen + 1)
        return self._last_stamp

    def _is_at_head(self, key: int, position: QueuePosition) -> bool:
        return all(position < other for other in self.peer_positions(key))
