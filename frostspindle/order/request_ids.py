"""The ids of client requests that are open or may have run, in all processes of a coordinator that share a folder.

A client may send a request again, as when its connection ended, or to the other process of an upgrade. An id that is
open in another process is not accepted a second time. An id of a class that must not run twice is remembered for
RETENTION_S after its request has ended, if an attempt of it may have run.

Each process writes its ids to cells of its own file (`shared_cells.py`) and reads those of the others. Without a
folder, or until it can be used, the ids of this process count alone.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from pathlib import Path

from frostspindle.core import IdState
from frostspindle.order.shared_cells import SharedCellFolder

RETENTION_S = 120.0  # of an id whose request may have run, and of the file of a process that has ended
CANCELLATION_S = 10.0  # how long a cancelled id is told to the other processes
FILE_PREFIX = "ids-"
MAX_REMEMBERED = 3072  # ids of requests that have ended; fewer than there are cells, so that open ones find one


class _Mark(IntEnum):
    """What a cell says of its id."""

    OPEN = 1
    MAY_HAVE_RUN = 2
    CANCELLED = 3  # its client has sent DELETE to this process, which does not know the request


class RequestIds:
    """The ids of this process, and a view of those of the others; an id of 0 is never shared."""

    def __init__(self, monotonic_s: Callable[[], float]) -> None:
        self._monotonic_s = monotonic_s
        self._folder: SharedCellFolder | None = None
        self._marks: dict[int, _Mark] = {}  # by id
        self._cells: dict[int, int] = {}  # by id: its cell
        self._free_cells: list[int] = []
        self._ends: dict[int, float] = {}  # by id, if not open: until when its mark stays; the earliest first
        self.unshared = 0  # ids that found no free cell

    def attach(self, folder: Path) -> None:
        """Share the ids of this process in a folder. Raise OSError if that is not possible."""
        self._folder = SharedCellFolder(
            folder, lambda: self._monotonic_s() * 1000.0, RETENTION_S * 1000.0, prefix=FILE_PREFIX
        )
        self._free_cells = list(range(self._folder.own_file.cell_count))
        for request_id, mark in self._marks.items():
            self._write(request_id, mark)

    def claim(self, request_id: int, searches_others: bool) -> IdState:
        """Register an id as open here if it is free; `searches_others`: also by the other processes' ids."""
        self._expire()
        if self._marks.get(request_id) is _Mark.MAY_HAVE_RUN:
            return IdState.MAY_HAVE_RUN
        # Written before the search, so that of two processes that get an id at once at least one finds the other's.
        self._set(request_id, _Mark.OPEN)
        state = self._state_elsewhere(request_id) if searches_others else IdState.FREE
        if state is not IdState.FREE:
            self._forget(request_id)
        return state

    def release(self, request_id: int, may_have_run: bool) -> None:
        """End the claim of an id; `may_have_run`: it is remembered, as its request must not run again."""
        if self._marks.get(request_id) is not _Mark.OPEN:
            return
        if may_have_run:
            self._set(request_id, _Mark.MAY_HAVE_RUN)
            self._ends[request_id] = self._monotonic_s() + RETENTION_S
            self._expire()
        else:
            self._forget(request_id)

    def cancel(self, request_id: int) -> None:
        """Tell the other processes that the client of a request has cancelled it."""
        if request_id in self._marks:
            return
        self._set(request_id, _Mark.CANCELLED)
        self._ends[request_id] = self._monotonic_s() + CANCELLATION_S

    def is_cancelled(self, request_id: int) -> bool:
        """Return whether another process was told that a request is cancelled."""
        return _Mark.CANCELLED in self._marks_elsewhere(request_id)

    def close(self) -> None:
        """Release the file; it stays in the folder for others if it has marks."""
        if self._folder is not None:
            self._folder.close(clean=not self._marks)
            self._folder = None

    def _state_elsewhere(self, request_id: int) -> IdState:
        marks = self._marks_elsewhere(request_id)
        if _Mark.MAY_HAVE_RUN in marks:
            return IdState.MAY_HAVE_RUN
        return IdState.OPEN_ELSEWHERE if _Mark.OPEN in marks else IdState.FREE

    def _marks_elsewhere(self, request_id: int) -> set[int]:
        if self._folder is None or not request_id:
            return set()
        return {position.stamp for position in self._folder.positions(request_id)}

    def _set(self, request_id: int, mark: _Mark) -> None:
        self._ends.pop(request_id, None)
        self._marks[request_id] = mark
        self._write(request_id, mark)

    def _write(self, request_id: int, mark: _Mark) -> None:
        if self._folder is None or not request_id:
            return
        cell = self._cells.get(request_id)
        if cell is None:
            if not self._free_cells:
                self.unshared += 1
                return
            cell = self._cells[request_id] = self._free_cells.pop()
        self._folder.own_file.write_cell(cell, request_id, mark)

    def _forget(self, request_id: int) -> None:
        self._marks.pop(request_id, None)
        self._ends.pop(request_id, None)
        cell = self._cells.pop(request_id, None)
        if cell is not None and self._folder is not None:
            self._folder.own_file.write_cell(cell, 0, 0)
            self._free_cells.append(cell)

    def _expire(self) -> None:
        """Forget ids whose time is over, and the oldest ones beyond MAX_REMEMBERED."""
        now_s = self._monotonic_s()
        while self._ends:
            request_id = next(iter(self._ends))
            if self._ends[request_id] > now_s and len(self._ends) <= MAX_REMEMBERED:
                return
            self._forget(request_id)
