"""The files of cells in which processes of one coordinator read each other's queue positions, one mapped file each.

Owns the files `turns-*`: their format, the lock that shows that their owner is alive, and how long the cells of a dead
process still count. A process never writes to another's file, never trusts its size or content beyond what is checked
here, and never removes one while a query that it stands for may still run at an engine.
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

FILE_PREFIX = "turns-"
CELL_COUNT = 4096  # of one process: far more than the requests that it may have open
CELL_BYTES = 16  # key and stamp
HEADER_BYTES = 16  # magic number and the owner's number
MAGIC = 0x66732D7475726E31
FILE_BYTES = HEADER_BYTES + CELL_BYTES * CELL_COUNT
MAX_PEER_FILES = 64


class OwnCellFile:
    """This process's cells: a mapped file, locked for as long as its owner lives."""

    cell_count = CELL_COUNT

    def __init__(self, folder: Path) -> None:
        self.owner: int = secrets.randbits(62) | 1
        self.path: Path = folder / f"{FILE_PREFIX}{os.getpid()}-{self.owner:x}"
        self._memory_barrier = threading.Lock()
        unpublished = folder / f".{self.path.name}"  # gets its name only once it is complete and locked
        self._file: BinaryIO = open(unpublished, "w+b")
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX)
            # Room for all of it: a write to a mapped page that the disk has no room for kills the process (SIGBUS).
            os.posix_fallocate(self._file.fileno(), 0, FILE_BYTES)
            self._map = mmap.mmap(self._file.fileno(), FILE_BYTES)
            self._words = memoryview(self._map).cast("Q")
            self._words[0] = MAGIC
            self._words[1] = self.owner
            unpublished.rename(self.path)
        except OSError:
            unpublished.unlink(missing_ok=True)
            self._file.close()
            raise

    def write_cell(self, cell: int, key: int, stamp: int) -> None:
        """Write a cell so that other processes see it once this returns; a key of 0 frees the cell."""
        word = (HEADER_BYTES + CELL_BYTES * cell) // 8
        # The stamp goes first: a key that is seen always has one. Each is one aligned store of eight bytes.
        self._words[word + 1] = stamp
        self._words[word] = key
        # Processors may let a later read pass an earlier write; taking a lock does not let them. Without it, two
        # processes in the same moment could each miss the other's position.
        with self._memory_barrier:
            pass

    def close(self, clean: bool) -> None:
        """Close the file; unless `clean` it stays in the folder, so that others wait for the positions left in it."""
        if clean:
            self.path.unlink(missing_ok=True)
        self._words.release()
        self._map.close()
        self._file.close()


class _PeerCellFile:
    """Another process's cells, as long as they count; ValueError if the file is not one of cells."""

    def __init__(self, path: Path) -> None:
        self.path: Path = path
        self.owner_died_at_ms: float | None = None
        self._file: BinaryIO = open(path, "rb")
        try:
            if os.fstat(self._file.fileno()).st_size != FILE_BYTES:
                raise ValueError("not a file of cells")
            self._map = mmap.mmap(self._file.fileno(), FILE_BYTES, access=mmap.ACCESS_READ)
        except (OSError, ValueError):
            self._file.close()
            raise
        self._words = memoryview(self._map).cast("Q")
        self.owner: int = self._words[1]
        if self._words[0] != MAGIC:
            self.close()
            raise ValueError("not a file of cells")

    def is_owner_alive(self) -> bool:
        """Whether the owner still has its lock."""
        try:
            fcntl.flock(self._file, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        fcntl.flock(self._file, fcntl.LOCK_UN)
        return False

    def stamps(self, key: int) -> Iterator[int]:
        """Yield the stamps of a key's cells."""
        key_bytes = key.to_bytes(8, "little")
        offset = self._map.find(key_bytes, HEADER_BYTES)
        while offset >= 0:
            if (offset - HEADER_BYTES) % CELL_BYTES == 0:
                stamp = self._words[offset // 8 + 1]
                if stamp:
                    yield stamp
            offset = self._map.find(key_bytes, offset + 1)

    def close(self) -> None:
        """Unmap and close the file."""
        self._words.release()
        self._map.close()
        self._file.close()


class SharedCellFolder:
    """All cell files of the folder.

    `clock` returns monotonic ms; `retention_ms` is how long the cells of a dead process count.
    """

    def __init__(self, folder: Path, clock: Callable[[], float], retention_ms: float) -> None:
        self.folder: Path = folder
        self.clock: Callable[[], float] = clock
        self.retention_ms: float = retention_ms
        self.own_file = OwnCellFile(folder)
        self.unreadable_files: int = 0  # counted once each
        self._peers: dict[str, _PeerCellFile] = {}
        self._unreadable_names: set[str] = set()

    def positions(self, key: int) -> list[QueuePosition]:
        """Return a key's positions in other processes that live or died within `retention_ms`.

        The queries of a process that died so lately may still run at an engine.
        """
        self._refresh()
        found: list[QueuePosition] = []
        for name, peer in list(self._peers.items()):
            stamps = list(peer.stamps(key))
            if stamps and self._still_counts(name, peer):
                found += [QueuePosition(stamp, peer.owner) for stamp in stamps]
        return found

    def close(self, clean: bool) -> None:
        """Unmap the others' files and close the own one; `clean` also removes it, as it has no position left."""
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()
        self.own_file.close(clean)

    def _refresh(self) -> None:
        """Map new files and forget removed ones.

        A process makes its file before it serves, so all that may have an earlier position are in the folder.
        """
        try:
            names = {name for name in os.listdir(self.folder) if name.startswith(FILE_PREFIX)}
        except OSError:
            return  # even if somebody removed the folder, the files known here are still mapped
        names.discard(self.own_file.path.name)
        self._open_new(names)
        for name in self._peers.keys() - names:
            self._forget(name)
        self._unreadable_names &= names
        self._check_next_owner()

    def _open_new(self, names: set[str]) -> None:
        for name in names - self._peers.keys() - self._unreadable_names:
            if len(self._peers) >= MAX_PEER_FILES:
                break
            try:
                peer = _PeerCellFile(self.folder / name)
            except FileNotFoundError:
                continue
            except (OSError, ValueError):
                self._unreadable_names.add(name)
                self.unreadable_files += 1
                continue
            self._peers[name] = peer
            self._still_counts(name, peer)  # for a file that nobody has locked, the retention time starts now

    def _check_next_owner(self) -> None:
        """Look at one peer a call, in rotation: its death is noticed soon, even if nobody waits for its positions."""
        if not self._peers:
            return
        name = next(iter(self._peers))
        peer = self._peers.pop(name)
        self._peers[name] = peer
        self._still_counts(name, peer)

    def _still_counts(self, name: str, peer: _PeerCellFile) -> bool:
        """Whether the owner lives or died within the retention time; else the file is removed."""
        if peer.owner_died_at_ms is None and not peer.is_owner_alive():
            peer.owner_died_at_ms = self.clock()
        if peer.owner_died_at_ms is None or self.clock() - peer.owner_died_at_ms < self.retention_ms:
            return True
        peer.path.unlink(missing_ok=True)
        self._forget(name)
        return False

    def _forget(self, name: str) -> None:
        peer = self._peers.get(name)
        if peer is not None and (peer.owner_died_at_ms is None or not peer.path.exists()):
            del self._peers[name]
            peer.close()
