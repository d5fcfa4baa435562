"""Memory-mapped cell files, one for each process of a coordinator, with a key and a stamp in each cell.

The files `turns-*` hold the queue positions of requests, `ids-*` their ids. This module defines their format, the lock
that shows that the owner is alive, and for how long the cells of a dead process count. A process never writes to
another's file and validates its size and header. It removes the file of a dead process only when no cell in it counts
any more: no query with a position in it can still run at an engine.
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
CELL_COUNT = 4096  # per process; far more than the requests that it may have open
CELL_BYTES = 16  # key, stamp
HEADER_BYTES = 16  # magic number, owner number
MAGIC = 0x66732D7475726E31
FILE_BYTES = HEADER_BYTES + CELL_BYTES * CELL_COUNT
MAX_PEER_FILES = 64


class OwnCellFile:
    """The cells of this process: a mapped file that is locked while the process lives."""

    cell_count = CELL_COUNT

    def __init__(self, folder: Path, prefix: str = FILE_PREFIX) -> None:
        self.owner: int = secrets.randbits(62) | 1
        self.path: Path = folder / f"{prefix}{os.getpid()}-{self.owner:x}"
        self._memory_barrier = threading.Lock()
        unpublished = folder / f".{self.path.name}"  # renamed once the file is complete and locked
        self._file: BinaryIO = open(unpublished, "w+b")
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX)
            # Allocate all blocks now: a write to a mapped page on a full disk would kill the process with SIGBUS.
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
        """Write a cell, visible to other processes when this returns; a key of 0 frees the cell."""
        word_index = (HEADER_BYTES + CELL_BYTES * cell) // 8
        # Write the stamp first, so that a visible key always has a stamp. Each is a single aligned 8-byte store.
        self._words[word_index + 1] = stamp
        self._words[word_index] = key
        # Memory barrier: processors may reorder a later read before an earlier write, but not across acquiring a lock.
        # Without it, two processes that enter at the same time could each miss the other's position.
        with self._memory_barrier:
            pass

    def close(self, clean: bool) -> None:
        """Close the file, and remove it if `clean`; else other processes wait for the positions left in it."""
        if clean:
            self.path.unlink(missing_ok=True)
        self._words.release()
        self._map.close()
        self._file.close()


class _PeerCellFile:
    """The cells of another process, read-only.

    Raise ValueError if the file is not a valid cell file.
    """

    def __init__(self, path: Path) -> None:
        self.path: Path = path
        self.owner_died_at_ms: float | None = None
        self._file: BinaryIO = open(path, "rb")
        try:
            if os.fstat(self._file.fileno()).st_size != FILE_BYTES:
                raise ValueError("not a cell file")
            self._map = mmap.mmap(self._file.fileno(), FILE_BYTES, access=mmap.ACCESS_READ)
        except (OSError, ValueError):
            self._file.close()
            raise
        self._words = memoryview(self._map).cast("Q")
        self.owner: int = self._words[1]
        if self._words[0] != MAGIC:
            self.close()
            raise ValueError("not a cell file")

    def is_owner_alive(self) -> bool:
        """Return whether the owner still holds the lock of its file."""
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
    """All cell files in a folder: that of this process and those of the others.

    `clock` returns monotonic ms; the cells of a dead process count for `retention_ms`.
    """

    def __init__(
        self, folder: Path, clock: Callable[[], float], retention_ms: float, prefix: str = FILE_PREFIX
    ) -> None:
        self.folder: Path = folder
        self.prefix: str = prefix  # of the files' names
        self.clock: Callable[[], float] = clock
        self.retention_ms: float = retention_ms
        self.own_file = OwnCellFile(folder, prefix)
        self.unreadable_files: int = 0  # each file counts once
        self._peers: dict[str, _PeerCellFile] = {}
        self._unreadable_names: set[str] = set()

    def positions(self, *keys: int) -> list[QueuePosition]:
        """Return the positions of keys in other processes that are alive or died less than `retention_ms` ago.

        Queries of a process that died so recently may still run at an engine.
        """
        self._refresh()
        found: list[QueuePosition] = []
        for name, peer in list(self._peers.items()):
            stamps = [stamp for key in keys for stamp in peer.stamps(key)]
            if stamps and self._still_counts(name, peer):
                found += [QueuePosition(stamp, peer.owner) for stamp in stamps]
        return found

    def close(self, clean: bool) -> None:
        """Unmap all files. `clean` also removes this process's file, which must have no positions left."""
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()
        self.own_file.close(clean)

    def _refresh(self) -> None:
        """Map new files and unmap removed ones.

        A process creates its file before it accepts requests, so every file with an earlier position is in the folder.
        """
        try:
            names = {name for name in os.listdir(self.folder) if name.startswith(self.prefix)}
        except OSError:
            return  # keep using the files that are already mapped, even if the folder was removed
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
            self._still_counts(name, peer)  # for a file without a lock, the retention time starts now

    def _check_next_owner(self) -> None:
        """Check whether the next peer is alive, one per call in rotation.

        This detects a peer's death soon even if no request waits for its positions.
        """
        if not self._peers:
            return
        name = next(iter(self._peers))
        peer = self._peers.pop(name)
        self._peers[name] = peer
        self._still_counts(name, peer)

    def _still_counts(self, name: str, peer: _PeerCellFile) -> bool:
        """Return whether the owner is alive or within the retention time after its death; remove the file if not."""
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
