"""The marker engine: a file an entry, its name the quoted key, and a journal that makes a batch of files atomic.

For few entries that change seldom and that staff may want to list with `ls`: each batch costs about four syncs and one
more a file. A folder with files missing, left over or of another batch is refused as corrupt.
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
    limits = StoreLimits(key=80, value=4_096, entries=4_096, total=1 << 20, batch=256)  # a name has 255 bytes

    def __init__(self, folder: Path, limits: StoreLimits) -> None:
        self._folder: Path = folder
        self._table: SortedTable = SortedTable()
        # What is read is bounded by the class's limits, not by lowered ones.
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
        """The meta record, once a batch that was whole when its process ended has been brought to its end."""
        meta = self._read_meta()
        max_bytes = 4_096 + self.limits.batch * (self.limits.key + 16)
        try:
            data = records.read_bounded(self._folder / BATCH, max_bytes)
        except FileNotFoundError:
            self._remove_unfinished()
            return meta
        batch_meta, moves = records.decode_batch(data)
        if batch_meta.id != meta.id or batch_meta.generation - meta.generation not in (0, 1):
            raise CorruptDataError("a batch of another state")
        self._carry_out(moves, batch_meta)
        meta = self._read_meta()
        self._remove_unfinished()
        return meta

    def _read_meta(self) -> MetaRecord:
        try:
            return records.decode_meta(records.read_bounded(self._folder / STATE, MAX_RECORD_BYTES))
        except FileNotFoundError:
            raise CorruptDataError("no state record") from None

    def _remove_unfinished(self) -> None:
        """Remove what is left of a batch that was not recorded."""
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
                    raise CorruptDataError("more files than entries can be")
                if item.name in (STATE, HEAD):
                    continue
                key = unquote_to_bytes(item.name.removeprefix(ENTRY_PREFIX))
                if self._path(key).name != item.name or not item.is_file(follow_symlinks=False):
                    raise CorruptDataError(f"{item.name:.80} is no entry")
                value = records.read_bounded(Path(item.path), self.limits.value)
                contents = contents.add(key, value)
                self._table.change({key: value})
        if contents != self.meta.contents:
            generation = self.meta.generation
            raise CorruptDataError(f"{contents.entries} entries that are no state of generation {generation}")

    def get(self, key: bytes) -> bytes | None:
        """Return an entry's value from memory, None if there is none."""
        return self._table.get(key)

    def scan(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order, from memory."""
        return self._table.scan(prefix)

    def _staged_path(self, meta: MetaRecord, part: int | str) -> Path:
        """Path by the generation, so that a batch brought to its end twice never takes what a later one staged."""
        return self._folder / f"{STAGED_PREFIX}{meta.generation}-{part}"

    def commit(self, changes: Changes, meta: MetaRecord) -> None:
        """Write a batch.

        StoreFullError: nothing was changed. OSError: the outcome is unknown, and the engine must be closed.

        All that needs room is written before the batch record is put in place; after that there are only renames and
        removals.
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
            if error.errno not in records.NO_ROOM:
                raise
            self._remove_unfinished()
            raise StoreFullError(f"no room for the batch: {error}") from error
        os.replace(self._folder / NEW_BATCH, self._folder / BATCH)
        records.sync_folder(self._folder)  # from here on the batch is applied, if need be by the next opening
        self._carry_out(moves, meta)
        self._table.change(changes)

    def _carry_out(self, moves: dict[bytes, int | None], meta: MetaRecord) -> None:
        """Apply a recorded batch to the files; doing it again changes nothing."""
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
            pass  # moved already: a missing file shows in the checksum over all entries

    def close(self) -> None:
        """Drop the entries in memory; no file is held open between calls."""
        self._table = SortedTable()
