"""Tells the processes of a coordinator since when each of them may have input that it has not parsed.

They share the clients' connections: an earlier request of a key may wait in one process as another one parses a later
one. Each process writes a time to a mapped file (`shared_cells.py`), and those that hold a request with a key read it.
A process that waits for input has nothing to tell; one that is at work may have found input with its last poll.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from pathlib import Path

from frostspindle.order.shared_cells import SharedCellFolder

FILE_PREFIX = "input-"
_CELL = 0
_KEY = 1  # of the cell, in all processes
_US_PER_MS = 1000.0


class InputMarks:
    """The mark of this process, and a view of those of the others. Raise OSError if the folder can't be used."""

    def __init__(self, folder: Path, monotonic_ms: Callable[[], float]) -> None:
        # A process that has ended has closed its connections, so that its mark tells nothing any more.
        self._folder = SharedCellFolder(folder, monotonic_ms, 0.0, prefix=FILE_PREFIX)
        self._is_set = False

    def write(self, since_ms: float) -> None:
        """Tell others of input since a time (Unix ms); infinity: there is none."""
        is_set = since_ms < math.inf
        if is_set or self._is_set:
            self._is_set = is_set
            own_file = self._folder.own_file
            own_file.write_cell(_CELL, _KEY if is_set else 0, int(since_ms * _US_PER_MS) if is_set else 0)

    def may_hold_earlier(self, arrived_ms: float) -> bool:
        """Return whether another process may have unparsed input that arrived before a time (Unix ms)."""
        arrived_us = arrived_ms * _US_PER_MS
        return any(position.stamp < arrived_us for position in self._folder.positions(_KEY))

    def close(self) -> None:
        """Remove the mark of this process."""
        self._folder.close(clean=True)
