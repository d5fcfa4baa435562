"""Access to the journal's file from the event loop: reads, writes and long encodings run in one worker thread."""

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

SLOW_SYNC_S = 0.5  # a sync that took longer is logged


class JournalWriter:
    """The journal's file and its worker thread, which belongs to the object that made this one."""

    def __init__(self, folder: Path, telemetry: Telemetry, counters: Counter[str]) -> None:
        """`counters`: gets `syncs` and `written`, in bytes."""
        self.worst_sync_s: float = 0.0
        self._folder: Path = folder
        self._telemetry: Telemetry = telemetry
        self._counters: Counter[str] = counters
        self._executor: ThreadPoolExecutor = ThreadPoolExecutor(1, "replica")
        self._file: JournalFile | None = None

    async def open(self) -> tuple[JournalCondition, list[Record]]:
        """Lock and read the journal; OSError, FolderLockedError."""
        return await self.run(self._open)

    def _open(self) -> tuple[JournalCondition, list[Record]]:
        self._file = JournalFile(self._folder)
        return self._file.load()

    async def write(self, pending_write: PendingWrite) -> None:
        """Write and sync; durable when it returns. OSError."""
        assert self._file is not None
        began = time.perf_counter()
        size = await self.run(self._file.write, pending_write)
        took_s = time.perf_counter() - began
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
        """Let the worker thread end; it is not waited for, as the disk may hang."""
        self._executor.shutdown(wait=False)
