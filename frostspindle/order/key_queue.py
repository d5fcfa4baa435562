"""Queues of ordering keys shared by several processes: Lamport's bakery algorithm over shared cells.

Each ordered request gets a stamp greater than all that its process sees for the key. It is at the head of the queue
once no process has a smaller stamp for the key. A request never reaches the head while another process has an earlier
position or is still choosing a stamp. Positions of a dead process count until `peer_positions` no longer returns them;
this module does not drop them itself. It uses no I/O and no clock.

In the bakery algorithm (Lamport, 1974) a process marks its position as "choosing" before it chooses the stamp, so that
of two processes that do so at the same time at least one sees the other. Equal stamps are ordered by owner number. The
algorithm needs no lock, which a stopped process could hold, and no synchronized clocks: the time is used only to keep
stamps close to the order of arrival.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

CHOOSING_STAMP = 1  # value in a cell while its stamp is being chosen; less than every stamp


class QueuePosition(NamedTuple):
    """A request's position in the queue of its key; the smallest is at the head."""

    stamp: int
    owner: int


class CellWriter(Protocol):
    """The cells of this process, which other processes read."""

    cell_count: int

    def write_cell(self, cell: int, key: int, stamp: int) -> None:
        """Write a cell, visible to other processes when this returns; a key of 0 frees the cell."""


@dataclass(frozen=True, slots=True)
class _Entry:
    """A queued request: its key with the key's further numbers, and a cell for each."""

    keys: tuple[int, ...]
    cells: tuple[int, ...]


class KeyQueue:
    """The queue entries of this process; `peer_positions(*keys)` returns the positions of keys in other processes.

    Processes of earlier versions know a key by further numbers. A request has a position by each of them.
    """

    def __init__(
        self, owner: int, cell_file: CellWriter, peer_positions: Callable[..., Iterable[QueuePosition]]
    ) -> None:
        self.owner: int = owner
        self.cell_file: CellWriter = cell_file
        self.peer_positions: Callable[..., Iterable[QueuePosition]] = peer_positions
        self._free_cells: list[int] = list(range(cell_file.cell_count - 1, -1, -1))
        self._entries: dict[int, _Entry] = {}  # by request
        self._waiting: dict[int, QueuePosition] = {}  # by request
        self._last_stamp: int = CHOOSING_STAMP

    @property
    def entry_count(self) -> int:
        """Number of requests that have a position."""
        return len(self._entries)

    @property
    def waiting_count(self) -> int:
        """Number of requests that are not yet at the head of their queue."""
        return len(self._waiting)

    def key_of(self, request: int) -> int:
        """Return the key of a queued request, 0 if the request is not queued."""
        entry = self._entries.get(request)
        return entry.keys[0] if entry is not None else 0

    def enter(self, request: int, key: int, now_us: int, further_keys: tuple[int, ...] = ()) -> bool | None:
        """Queue a request: True if it is at the head, False if it has to wait, None if there is no free cell.

        `now_us` is the time in microseconds, approximately equal in all processes; `further_keys` are the key's numbers
        in processes of earlier versions.
        """
        keys = (key, *further_keys)
        if len(self._free_cells) < len(keys):
            return None
        entry = _Entry(keys, tuple(self._free_cells.pop() for _ in keys))
        self._entries[request] = entry
        self._write(entry, CHOOSING_STAMP)
        stamp = self._next_stamp(keys, now_us)
        self._write(entry, stamp)
        position = QueuePosition(stamp, self.owner)
        if self._is_at_head(keys, position):
            return True
        self._waiting[request] = position
        return False

    def _write(self, entry: _Entry, stamp: int) -> None:
        for cell, key in zip(entry.cells, entry.keys, strict=True):
            self.cell_file.write_cell(cell, key, stamp)

    def pop_ready(self) -> list[int]:
        """Return the requests that reached the head since the last call, in queue order."""
        ready = sorted(
            (position, request)
            for request, position in self._waiting.items()
            if self._is_at_head(self._entries[request].keys, position)
        )
        for _, request in ready:
            del self._waiting[request]
        return [request for _, request in ready]

    def leave(self, request: int) -> None:
        """Remove a request that is answered and has no attempt in flight; does nothing if it is not queued."""
        self._waiting.pop(request, None)
        entry = self._entries.pop(request, None)
        if entry is None:
            return
        for cell in entry.cells:
            self.cell_file.write_cell(cell, 0, 0)
            self._free_cells.append(cell)

    def _next_stamp(self, keys: tuple[int, ...], now_us: int) -> int:
        highest_seen = max((position.stamp for position in self.peer_positions(*keys)), default=0)
        self._last_stamp = max(now_us, self._last_stamp + 1, highest_seen + 1)
        return self._last_stamp

    def _is_at_head(self, keys: tuple[int, ...], position: QueuePosition) -> bool:
        return all(position < other for other in self.peer_positions(*keys))
