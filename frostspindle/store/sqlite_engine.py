"""The SQLite engine: one file with its write-ahead log; every entry is checked at the opening.

SQLite itself keeps batches atomic over a crash (the log's frames have checksums) but has no checksums on the pages of
the file, so each entry has its own checksum, and their sum is in the meta record, which each batch rewrites. An opening
never lets SQLite create a missing file or run code contained in the file.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from pathlib import Path

from frostspindle.store import records
from frostspindle.store.base import (
    SUM,
    Changes,
    CorruptDataError,
    StoreBrokenError,
    StoreDigest,
    StoreFullError,
    StoreLimits,
    entry_sum,
    successor,
)
from frostspindle.store.opening_decision import MetaRecord

FILE = "db"
PAGE = 4096  # bytes
LOG_PAGES = 1_000  # length at which the log is checkpointed
SPARE_FACTOR = 3  # pages are at least a third full, and a batch frees its old pages only after it
SCHEMA = (
    "CREATE TABLE entry(key BLOB PRIMARY KEY, value BLOB NOT NULL, sum BLOB NOT NULL) WITHOUT ROWID",
    "CREATE TABLE meta(one INTEGER PRIMARY KEY, record BLOB NOT NULL)",
)
# Primary codes of errors of the system, not of the file's contents.
SYSTEM_ERRORS = {
    sqlite3.SQLITE_PERM,
    sqlite3.SQLITE_BUSY,
    sqlite3.SQLITE_NOMEM,
    sqlite3.SQLITE_READONLY,
    sqlite3.SQLITE_IOERR,
    sqlite3.SQLITE_CANTOPEN,
}


def max_pages(limits: StoreLimits) -> int:
    """Return the page limit of the file: SPARE_FACTOR times the entries with checksums and cells, and fixed pages."""
    return 64 + SPARE_FACTOR * (limits.total + limits.entries * (SUM + 32)) // PAGE


def translate_error(error: sqlite3.Error) -> Exception:
    """Return the exception to raise for an SQLite error.

    StoreFullError if the disk or `max_page_count` is exhausted, OSError for errors of the system, CorruptDataError for
    all others.
    """
    code = getattr(error, "sqlite_errorcode", 0) & 0xFF
    text = f"{error} ({getattr(error, 'sqlite_errorname', 'no code')})"
    if code == sqlite3.SQLITE_FULL:
        return StoreFullError(text)
    if code in SYSTEM_ERRORS:
        return OSError(text)
    return CorruptDataError(text)


class SqliteEngine:
    """The SQLite engine of one opened database; opening raises OSError, StoreFullError or CorruptDataError."""

    kind = "sqlite"
    limits = StoreLimits()

    def __init__(self, folder: Path, limits: StoreLimits) -> None:
        path = folder / FILE
        if not path.is_file() or path.is_symlink():
            raise CorruptDataError("no database file")
        if path.stat().st_size > 2 * max_pages(self.limits) * PAGE:
            raise CorruptDataError("the database exceeds its maximum size")
        try:
            self._db = self._connect(folder, "rw")
        except sqlite3.Error as error:
            raise translate_error(error) from error
        try:
            self._db.execute(f"PRAGMA max_page_count={max_pages(limits)}")
            self.meta = self._check()
        except (sqlite3.Error, CorruptDataError, ValueError, OverflowError) as error:
            self._db.close()
            if isinstance(error, sqlite3.Error):
                raise translate_error(error) from error
            raise CorruptDataError(str(error)) from error

    @staticmethod
    def _connect(folder: Path, mode: str) -> sqlite3.Connection:
        db = sqlite3.connect(
            (folder / FILE).absolute().as_uri() + f"?mode={mode}",
            uri=True,
            isolation_level=None,
            check_same_thread=False,
            timeout=0.0,
        )
        try:
            db.setlimit(sqlite3.SQLITE_LIMIT_LENGTH, 1 << 20)
            # Exclusive: the log's index is kept in memory, as a mapped shared file could be truncated while in use.
            for pragma in (
                "trusted_schema=OFF",
                "cell_size_check=ON",
                "mmap_size=0",
                "locking_mode=EXCLUSIVE",
                "journal_mode=WAL",
                "synchronous=FULL",
                f"wal_autocheckpoint={LOG_PAGES}",
                f"journal_size_limit={2 * LOG_PAGES * PAGE}",
                "temp_store=MEMORY",
            ):
                db.execute(f"PRAGMA {pragma}").fetchall()
        except BaseException:
            db.close()
            raise
        return db

    @classmethod
    def create(cls, folder: Path, store_id: bytes) -> None:
        """Create an empty database with this store id, complete and durable on return.

        Raises StoreFullError, OSError or CorruptDataError.
        """
        try:
            db = cls._connect(folder, "rwc")
            try:
                db.execute("BEGIN IMMEDIATE")
                for table in SCHEMA:
                    db.execute(table)
                record = records.encode_meta(MetaRecord(store_id, 0, StoreDigest()))
                db.execute("INSERT INTO meta VALUES (1, ?)", (record,))
                db.execute("COMMIT")
            finally:
                db.close()
        except sqlite3.Error as error:
            raise translate_error(error) from error

    def _check(self) -> MetaRecord:
        """Check the schema and every entry, and return the meta record."""
        schema = {sql for (sql,) in self._db.execute("SELECT sql FROM sqlite_schema")}
        if schema != set(SCHEMA):
            raise CorruptDataError("unexpected database schema")
        integrity = self._db.execute("PRAGMA integrity_check(1)").fetchone()[0]
        if integrity != "ok":
            raise CorruptDataError(str(integrity)[:120])
        rows = self._db.execute("SELECT one, record FROM meta").fetchall()
        if len(rows) != 1 or rows[0][0] != 1 or not isinstance(rows[0][1], bytes):
            raise CorruptDataError("not exactly one meta record")
        meta = records.decode_meta(rows[0][1])
        entries = 0
        size = 0
        digest = 0
        for key, value, checksum in self._rows("SELECT key, value, sum FROM entry", ()):
            entries += 1
            size += len(key) + len(value)
            digest += checksum
        if StoreDigest(entries, size, digest % (1 << 8 * SUM)) != meta.contents:
            raise CorruptDataError(f"{entries} entries that do not match the checksum of generation {meta.generation}")
        return meta

    def _rows(self, query: str, values: tuple[bytes, ...]) -> Iterator[tuple[bytes, bytes, int]]:
        for key, value, stored_sum in self._db.execute(query, values):
            if not (isinstance(key, bytes) and isinstance(value, bytes) and isinstance(stored_sum, bytes)):
                raise CorruptDataError("an entry has an unexpected type")
            checksum = entry_sum(key, value)
            if checksum.to_bytes(SUM, "big") != stored_sum:
                raise CorruptDataError(f"the checksum of {key!r:.80} does not match")
            yield key, value, checksum

    def _read(self, query: str, values: tuple[bytes, ...]) -> list[tuple[bytes, bytes]]:
        try:
            return [(key, value) for key, value, _ in self._rows(query, values)]
        except sqlite3.Error as error:
            raise translate_error(error) from error

    def get(self, key: bytes) -> bytes | None:
        """Return an entry's value, None if there is none.

        CorruptDataError if its checksum does not match, OSError if it can't be read.
        """
        rows = self._read("SELECT key, value, sum FROM entry WHERE key = ?", (key,))
        return rows[0][1] if rows else None

    def scan(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order; raises as `get` does."""
        after = successor(prefix)
        query = "SELECT key, value, sum FROM entry WHERE key >= ?"
        if after is None:
            return self._read(f"{query} ORDER BY key", (prefix,))
        return self._read(f"{query} AND key < ? ORDER BY key", (prefix, after))

    def commit(self, changes: Changes, meta: MetaRecord) -> None:
        """Write a batch and its meta record in one transaction.

        StoreFullError: the state is unchanged. Any other error: the outcome is unknown, and the engine must be closed.
        """
        deletes = [(key,) for key, value in changes.items() if value is None]
        puts = [
            (key, value, entry_sum(key, value).to_bytes(SUM, "big"))
            for key, value in changes.items()
            if value is not None
        ]
        try:
            self._db.execute("BEGIN IMMEDIATE")
            self._db.executemany("DELETE FROM entry WHERE key = ?", deletes)
            self._db.executemany("INSERT OR REPLACE INTO entry VALUES (?, ?, ?)", puts)
            self._db.execute("UPDATE meta SET record = ? WHERE one = 1", (records.encode_meta(meta),))
            self._db.execute("COMMIT")
        except sqlite3.Error as error:
            translated = translate_error(error)
            if isinstance(translated, StoreFullError):
                self._roll_back(error)
            raise translated from error

    def _roll_back(self, cause: sqlite3.Error) -> None:
        try:
            if self._db.in_transaction:  # SQLite may have rolled back already
                self._db.execute("ROLLBACK")
        except sqlite3.Error as error:
            raise StoreBrokenError(f"the disk is full and the rollback failed: {error}") from cause

    def close(self) -> None:
        """Close the database; an error is ignored, as the next opening reads the write-ahead log."""
        try:
            self._db.close()
        except sqlite3.Error:
            pass  # the log could not be checkpointed: the next opening reads it
