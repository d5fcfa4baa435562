"""The marker engine: one file per entry, named by the quoted key, and a journal that makes a batch of files atomic.

For few entries that change seldom and that staff may want to list with `ls`: a batch costs about four syncs, and one
more per file. A folder with files that are missing, left over or of another batch is rejected as corrupt.
"""

from __future__ import annotations

import os
from itertools import islice
from pathlib import Path
from urllib.parse import quote_from_bytes, unquote_to_bytes

from frostspindle.store import records
from frostspindle.store.base import Changes, CorruptDataError, StoreDigest, StoreFullError, StoreLimits
from frostspindle.store.memory import SortedTable
from frostspindle.store.opening_decision import MetaRecord

STATE = "state"
HEAD = "head"  # written by `opening`
BATCH = "batch"
NEW_BATCH = "new"
ENTRY_PREFIX = "entry-"
STAGED_PREFIX = "staged-"
MAX_RECORD_BYTES = 256
OTHER_FILES = 16  # beside the entries


class MarkerEngine:
    """The engine of one opened folder; opening raises OSError or CorruptDataError."""

    kind = "marker"
    # File names have up to 255 bytes.
    limits = StoreLimits(key=80, value=4_096, entries=4_096, total=1 << 20, batch=256)

    def __init__(self, folder: Path, limits: StoreLimits) -> None:
        self._folder: Path = folder
        self._table: SortedTable = SortedTable()
        # Reads are bounded by the class's limits, not by lowered ones.
        self.meta: MetaRecord = self._recover()
        self._read_entries()

    @classmethod
    def create(cls, folder: Path, store_id: bytes) -> None:
        """Write the state record of an empty store with this id; durable on return, OSError on failure."""
        records.write_synced(folder / STATE, records.encode_meta(MetaRecord(store_id, 0, StoreDigest())))
        records.sync_folder(folder)

    def _path(self, key: bytes) -> Path:
        return self._folder / (ENTRY_PREFIX + quote_from_bytes(key, safe=""))

    def _recover(self) -> MetaRecord:
        """Complete a batch that was recorded before its process ended, and return the meta record."""
        meta = self._read_meta()
        max_bytes = 4_096 + self.limits.batch * (self.limits.key + 16)
        try:
            data = records.read_bounded(self._folder / BATCH, max_bytes)
        except FileNotFoundError:
            self._remove_unfinished()
            return meta
        batch_meta, moves = records.decode_batch(data)
        if batch_meta.id != meta.id or batch_meta.generation - meta.generation not in (0, 1):
            raise CorruptDataError("the recorded batch belongs to another state")
        self._apply_recorded(moves, batch_meta)
        meta = self._read_meta()
        self._remove_unfinished()
        return meta

    def _read_meta(self) -> MetaRecord:
        try:
            return records.decode_meta(records.read_bounded(self._folder / STATE, MAX_RECORD_BYTES))
        except FileNotFoundError:
            raise CorruptDataError("no state record") from None

    def _remove_unfinished(self) -> None:
        """Remove the files of a batch that was not recorded."""
        with os.scandir(self._folder) as found:
            unfinished = [
                item.path
                for item in islice(found, 2 * self.limits.entries)
                if item.name == NEW_BATCH or item.name.startswith(STAGED_PREFIX)
            ]
        for path in unfinished:
            os.unlink(path)

    def _read_entries(self) -> None:
        contents = StoreDigest()
        with os.scandir(self._folder) as found:
            for count, item in enumerate(found):
                if count > self.limits.entries + OTHER_FILES:
                    raise CorruptDataError("more files than the entry limit allows")
                if item.name in (STATE, HEAD):
                    continue
                key = unquote_to_bytes(item.name.removeprefix(ENTRY_PREFIX))
                if self._path(key).name != item.name or not item.is_file(follow_symlinks=False):
                    raise CorruptDataError(f"{item.name:.80} is not an entry file")
                value = records.read_bounded(Path(item.path), self.limits.value)
                contents = contents.add(key, value)
                self._table.change({key: value})
        if contents != self.meta.contents:
            generation = self.meta.generation
            raise CorruptDataError(
                f"{contents.entries} entries that do not match the checksum of generation {generation}"
            )

    def get(self, key: bytes) -> bytes | None:
        """Return an entry's value from memory, None if there is none."""
        return self._table.get(key)

    def scan(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order, from memory."""
        return self._table.scan(prefix)

    def _staged_path(self, meta: MetaRecord, name: int | str) -> Path:
        """Return a path that contains the generation, so that replaying a batch never takes files of a later one."""
        return self._folder / f"{STAGED_PREFIX}{meta.generation}-{name}"

    def commit(self, changes: Changes, meta: MetaRecord) -> None:
        """Write a batch.

        StoreFullError: the state is unchanged. OSError: the outcome is unknown, and the engine must be closed.

        All that needs space is written before the batch record is renamed into place; after that there are only
        renames and removals.
        """
        moves: dict[bytes, int | None] = {}
        try:
            for number, (key, value) in enumerate(changes.items()):
                moves[key] = None if value is None else number
                if value is not None:
                    records.write_synced(self._staged_path(meta, number), value)
            records.write_synced(self._staged_path(meta, STATE), records.encode_meta(meta))
            records.write_synced(self._folder / NEW_BATCH, records.encode_batch(meta, moves))
        except OSError as error:
            if error.errno not in records.NO_SPACE:
                raise
            self._remove_unfinished()
            raise StoreFullError(f"no space for the batch: {error}") from error
        os.replace(self._folder / NEW_BATCH, self._folder / BATCH)
        records.sync_folder(self._folder)  # from here on the batch is committed; the next opening replays it if need be
        self._apply_recorded(moves, meta)
        self._table.change(changes)

    def _apply_recorded(self, moves: dict[bytes, int | None], meta: MetaRecord) -> None:
        """Apply a recorded batch to the files; idempotent."""
        for key, number in moves.items():
            if number is None:
                self._path(key).unlink(missing_ok=True)
            else:
                self._move(self._staged_path(meta, number), self._path(key))
        self._move(self._staged_path(meta, STATE), self._folder / STATE)
        records.sync_folder(self._folder)
        (self._folder / BATCH).unlink()

    @staticmethod
    def _move(staged: Path, target: Path) -> None:
        try:
            os.replace(staged, target)
        except FileNotFoundError:
            pass  # moved already; a file that is really missing fails the checksum over all entries

    def close(self) -> None:
        """Drop the entries in memory; no file is held open between calls."""
        self._table = SortedTable()
