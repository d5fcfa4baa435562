"""Access to the journal file from the event loop: reads, writes and long encodings run in one worker thread."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, TypeVar

from frostspindle.replica.disk import JournalCondition, JournalFile
from frostspindle.replica.journal import PendingWrite, Record
from frostspindle.telemetry import Telemetry

Result = TypeVar("Result")

SLOW_SYNC_S = 0.5  # longer syncs are logged


class JournalWriter:
    """The journal file and its worker thread; the owner closes both."""

    def __init__(self, folder: Path, telemetry: Telemetry, counters: Counter[str]) -> None:
        """`counters` receives `syncs` and `written`, in bytes."""
        self.worst_sync_s: float = 0.0
        self._folder: Path = folder
        self._telemetry: Telemetry = telemetry
        self._counters: Counter[str] = counters
        self._executor: ThreadPoolExecutor = ThreadPoolExecutor(1, "replica")
        self._file: JournalFile | None = None

    async def open(self) -> tuple[JournalCondition, list[Record]]:
        """Lock and read the journal. Raise OSError, FolderLockedError."""
        return await self.run(self._open)

    def _open(self) -> tuple[JournalCondition, list[Record]]:
        self._file = JournalFile(self._folder)
        return self._file.load()

    async def write(self, pending_write: PendingWrite) -> None:
        """Write and sync; the records are durable when this returns. Raise OSError."""
        assert self._file is not None
        started_at = time.perf_counter()
        size = await self.run(self._file.write, pending_write)
        took_s = time.perf_counter() - started_at
        self.worst_sync_s = max(self.worst_sync_s, took_s)
        self._counters["syncs"] += 1
        self._counters["written"] += size
        if took_s > SLOW_SYNC_S:
            self._telemetry.count("replica_disk_slow")
            self._telemetry.log("replica_disk_slowed", took_s=round(took_s, 3), bytes=size)

    async def run(self, function: Callable[..., Result], *arguments: Any) -> Result:
        """Call a function in the worker thread."""
        return await asyncio.get_running_loop().run_in_executor(self._executor, function, *arguments)

    def close_file(self) -> None:
        """Close the file and release its lock, if it is open."""
        file = self._file
        self._file = None
        if file is not None:
            file.close()

    def shutdown(self) -> None:
        """Shut down the worker thread without waiting for it, as the disk may hang."""
        self._executor.shutdown(wait=False)
