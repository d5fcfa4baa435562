"""The lock of a store's folder: held by the process that has the store open, released by the kernel when it exits.

A child forked without exec inherits the lock: open a store after forking.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

from frostspindle.store.base import StoreError

NAME = "lock"
PID_BYTES = 20


class StoreLockedError(StoreError):
    """Another process, or another opener in this one, holds the store's lock."""


class FolderLock:
    """The lock of one folder, held from its creation to `close`.

    The constructor raises StoreLockedError if the lock is held, and OSError if its file can't be opened.
    """

    def __init__(self, folder: Path) -> None:
        self._handle: int = os.open(folder / NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            holder = os.pread(self._handle, PID_BYTES, 0).decode("ascii", "replace").strip("\0\n ")
            os.close(self._handle)
            raise StoreLockedError(f"{folder}: already open in process {holder or 'unknown'}") from None
        try:
            os.pwrite(self._handle, str(os.getpid()).ljust(PID_BYTES).encode(), 0)
        except OSError:
            pass  # the number is only for the error message of later openers

    def close(self) -> None:
        """Release the lock; must be called once."""
        os.close(self._handle)
