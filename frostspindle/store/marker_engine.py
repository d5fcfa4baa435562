"""The marker store's engine: a file an entry, its name the quoted key, as bans are kept (see frostspindle/shared.py).

Owns the files of one folder and the journal by which a batch of several files is whole or not at all. It must never
take a folder for a state when files in it are missing, left over or of another batch. For few entries that change
seldom and that staff may want to list with `ls`: each batch costs about four syncs and one more a file.
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

STATE, BATCH, NEW, ENTRY, STAGED = "state", "batch", "new", "entry-", "staged-"
MOST_RECORD = 256


class MarkerEngine:
    """The engine of one opened folder; opening raises OSError or Spoilt."""

    kind = "marker"
    limits = StoreLimits(key=80, value=4_096, entries=4_096, total=1 << 20, batch=256)  # a name has 255 bytes

    def __init__(self, folder: Path, limits: StoreLimits) -> None:
        self._folder, self._table = (
            folder,
            SortedTable(),
        )  # what is read is bounded by the class's limits, not lowered ones
        self.meta = self._recover()
        self._read()

    @classmethod
    def make(cls, folder: Path, number: bytes) -> None:
        """Write the state record of an empty store with the id `number`; durable on return, OSError on failure."""
        records.write(folder / STATE, records.meta_out(MetaRecord(number, 0, StoreDigest())))
        records.sync_folder(folder)

    def _path(self, key: bytes) -> Path:
        return self._folder / (ENTRY + quote_from_bytes(key, safe=""))

    def _recover(self) -> MetaRecord:
        """The meta record, once a batch that was whole when its process ended has been brought to its end."""
        meta = self._state()
        try:
            most = 4_096 + self.limits.batch * (self.limits.key + 16)
            goal, moves = records.batch_in(records.read(self._folder / BATCH, most))
        except FileNotFoundError:
            pass
        else:
            if goal.id != meta.id or goal.generation - meta.generation not in (0, 1):
                raise CorruptDataError("a batch of another state")
            self._carry(moves, goal)
            meta = self._state()
        self._clear()
        return meta

    def _state(self) -> MetaRecord:
        try:
            return records.meta_in(records.read(self._folder / STATE, MOST_RECORD))
        except FileNotFoundError:
            raise CorruptDataError("no state record") from None

    def _clear(self) -> None:
        """Take away what a batch that never was has left."""
        with os.scandir(self._folder) as found:
            left = [
                item.path
                for item in islice(found, 2 * self.limits.entries)
                if item.name == NEW or item.name.startswith(STAGED)
            ]
        for path in left:
            os.unlink(path)

    def _read(self) -> None:
        tally = StoreDigest()
        with os.scandir(self._folder) as found:
            for at, item in enumerate(found):
                if at > self.limits.entries + 16:
                    raise CorruptDataError("more files than entries can be")
                if item.name == STATE or item.name == "head":
                    continue
                key = unquote_to_bytes(item.name.removeprefix(ENTRY))
                if self._path(key).name != item.name or not item.is_file(follow_symlinks=False):
                    raise CorruptDataError(f"{item.name:.80} is no entry")
                value = records.read(Path(item.path), self.limits.value)
                tally = tally.add(key, value)
                self._table.change({key: value})
        if tally != self.meta.tally:
            raise CorruptDataError(f"{tally.entries} entries that are no state of generation {self.meta.generation}")

    def get(self, key: bytes) -> bytes | None:
        """Return an entry's value from memory, None if there is none."""
        return self._table.get(key)

    def scan(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order, from memory."""
        return self._table.scan(prefix)

    def _staged(self, meta: MetaRecord, what: int | str) -> Path:
        """Named by the generation, so that a batch brought to its end twice never takes what a later one staged."""
        return self._folder / f"{STAGED}{meta.generation}-{what}"

    def commit(self, changes: Changes, meta: MetaRecord) -> None:
        """Write a batch. Full: nothing was changed. OSError: the outcome is unknown, and the engine must be closed.

        All that needs room is written before the batch record is put in place; after that there are only renames and
        removals.
        """
        moves: dict[bytes, int | None] = {}
        try:
            for number, (key, value) in enumerate(changes.items()):
                moves[key] = None if value is None else number
                if value is not None:
                    records.write(self._staged(meta, number), value)
            records.write(self._staged(meta, STATE), records.meta_out(meta))
            records.write(self._folder / NEW, records.batch_out(meta, moves))
        except OSError as error:
            if error.errno not in records.NO_ROOM:
                raise
            self._clear()
            raise StoreFullError(f"no room for the batch: {error}") from error
        os.replace(self._folder / NEW, self._folder / BATCH)
        records.sync_folder(self._folder)  # from here on the batch is
        self._carry(moves, meta)
        self._table.change(changes)

    def _carry(self, moves: dict[bytes, int | None], meta: MetaRecord) -> None:
        """What a batch says, done to the files; doing it again changes nothing."""
        for key, number in moves.items():
            if number is None:
                self._path(key).unlink(missing_ok=True)
            else:
                self._move(self._staged(meta, number), self._path(key))
        self._move(self._staged(meta, STATE), self._folder / STATE)
        records.sync_folder(self._folder)
        (self._folder / BATCH).unlink()

    @staticmethod
    def _move(staged: Path, to: Path) -> None:
        try:
            os.replace(staged, to)
        except FileNotFoundError:
            pass  # moved already: what is truly missing shows in the sum over all entries

    def close(self) -> None:
        """Drop the entries in memory; no file is held open between calls."""
        self._table = SortedTable()
