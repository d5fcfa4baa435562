"""The sheets on which processes of one coordinator read of each other's places: one mapped file each, in one folder.

Owns the files `turns-*`: their form, the lock that shows that their owner lives, and how long what a dead one left
still counts. It must never write to another's sheet, never trust its size or content beyond what it checks, and never
take a sheet away while a query that it speaks of may still run at an engine.
"""

from __future__ import annotations

import fcntl
import mmap
import os
import secrets
import threading
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import BinaryIO

from frostspindle.order.key_queue import QueuePosition

PREFIX = "turns-"
CELLS = 4096  # of one process: far more than it may have requests open
CELL, HEAD = 16, 16  # bytes: of a cell its key and its stamp; of the head a mark and the owner's number
MARK = 0x66732D7475726E31
MOST = 64  # sheets of others that are looked at
SIZE = HEAD + CELL * CELLS


class OwnCellFile:
    """This process's sheet: a locked, mapped file; the lock shows that its owner lives."""

    cells = CELLS

    def __init__(self, folder: Path) -> None:
        self.owner = secrets.randbits(62) | 1
        self.path = folder / f"{PREFIX}{os.getpid()}-{self.owner:x}"
        fresh = folder / f".{self.path.name}"  # under its name only once it is whole and locked
        self._file: BinaryIO = open(fresh, "w+b")
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX)
            self._file.truncate(SIZE)
            self._map = mmap.mmap(self._file.fileno(), SIZE)
            self._words = memoryview(self._map).cast("Q")
            self._words[0], self._words[1] = MARK, self.owner
            fresh.rename(self.path)
        except OSError:
            fresh.unlink(missing_ok=True)
            self._file.close()
            raise
        self._fence = threading.Lock()

    def put(self, cell: int, key: int, stamp: int) -> None:
        """Write a place into a cell so that other processes see it once this returns; a key of 0 frees the cell."""
        at = (HEAD + CELL * cell) // 8
        # The stamp goes first: a key that is seen always has one. Each is one aligned store of eight bytes.
        self._words[at + 1] = stamp
        self._words[at] = key
        # Processors may let a later read pass an earlier write; taking a lock does not let them. Without it, two
        # processes in the same moment could each miss the other's place.
        with self._fence:
            pass

    def close(self, clean: bool) -> None:
        """Close the sheet; unless `clean`, the file stays with the places that are not over, for others to wait for."""
        if clean:
            self.path.unlink(missing_ok=True)
        self._words.release()
        self._map.close()
        self._file.close()


class _PeerCellFile:
    """Another process's sheet, as long as it counts."""

    def __init__(self, path: Path) -> None:
        self.path, self.dead_ms = path, None
        self._file = open(path, "rb")
        try:
            if os.fstat(self._file.fileno()).st_size != SIZE:
                raise ValueError("not a sheet")
            self._map = mmap.mmap(self._file.fileno(), SIZE, access=mmap.ACCESS_READ)
        except (OSError, ValueError):
            self._file.close()
            raise
        self._words = memoryview(self._map).cast("Q")
        self.owner = self._words[1]
        if self._words[0] != MARK:
            self.close()
            raise ValueError("not a sheet")

    def lives(self) -> bool:
        try:
            fcntl.flock(self._file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        fcntl.flock(self._file, fcntl.LOCK_UN)
        return False

    def stamps(self, key: int) -> Iterator[int]:
        wanted, at = key.to_bytes(8, "little"), HEAD - 1
        while (at := self._map.find(wanted, at + 1)) >= 0:
            if (at - HEAD) % CELL == 0 and (stamp := self._words[at // 8 + 1]):
                yield stamp

    def close(self) -> None:
        self._words.release()
        self._map.close()
        self._file.close()


class SharedCellFolder:
    """All sheets of the folder; `clock` gives monotonic ms, `keep_ms` is how long a dead process's sheet counts."""

    def __init__(self, folder: Path, clock: Callable[[], float], keep_ms: float) -> None:
        self.folder, self.clock, self.keep_ms = folder, clock, keep_ms
        self.own = OwnCellFile(folder)
        self.unreadable = 0
        self._others: dict[str, _PeerCellFile] = {}
        self._bad: set[str] = set()

    def places(self, key: int) -> list[QueuePosition]:
        """Return a key's places in other processes that live or died within `keep_ms`: their queries may still run."""
        self._refresh()
        found = []
        for name, other in list(self._others.items()):
            if (stamps := list(other.stamps(key))) and self._counts(name, other):
                found += [QueuePosition(stamp, other.owner) for stamp in stamps]
        return found

    def _refresh(self) -> None:
        """Who starts makes its sheet before it serves: all that may hold an earlier place are in the folder."""
        try:
            names = {name for name in os.listdir(self.folder) if name.startswith(PREFIX)} - {self.own.path.name}
        except OSError:
            return  # whoever took the folder away, the sheets known here are still mapped
        for name in names - self._others.keys() - self._bad:
            if len(self._others) >= MOST:
                break
            try:
                other = self._others[name] = _PeerCellFile(self.folder / name)
            except FileNotFoundError:
                continue
            except (OSError, ValueError):
                self._bad.add(name)
                self.unreadable += 1
                continue
            self._counts(name, other)  # of one that nobody holds the time runs from now
        for name in self._others.keys() - names:
            self._forget(name)
        self._bad &= names
        if self._others:  # one at a time: a death is noticed soon, though nobody waits for what it left
            name = next(iter(self._others))
            self._others[name] = other = self._others.pop(name)
            self._counts(name, other)

    def _counts(self, name: str, other: _PeerCellFile) -> bool:
        if other.dead_ms is None and not other.lives():
            other.dead_ms = self.clock()
        if other.dead_ms is None or self.clock() - other.dead_ms < self.keep_ms:
            return True
        other.path.unlink(missing_ok=True)
        self._forget(name)
        return False

    def _forget(self, name: str) -> None:
        if (other := self._others.get(name)) is not None and (other.dead_ms is None or not other.path.exists()):
            del self._others[name]
            other.close()

    def close(self, clean: bool) -> None:
        """Unmap the others' sheets and close the own one; `clean` also removes its file, as no place is left on it."""
        for other in self._others.values():
            other.close()
        self._others.clear()
        self.own.close(clean)
