"""The volatile store, and the sorted table in memory that the marker engine also uses."""

from __future__ import annotations

from bisect import bisect_left

from frostspindle.store.base import Changes, StoreBrokenError, StoreDigest, StoreLimits, successor


class SortedTable:
    """Entries by key; keys are sorted on the first scan after one was added or removed."""

    def __init__(self) -> None:
        self.entries: dict[bytes, bytes] = {}
        self._order: list[bytes] | None = None

    def get(self, key: bytes) -> bytes | None:
        """Return an entry's value, None if there is none."""
        return self.entries.get(key)

    def scan(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order."""
        if self._order is None:
            self._order = sorted(self.entries)
        first = bisect_left(self._order, prefix)
        after = successor(prefix)
        last = len(self._order) if after is None else bisect_left(self._order, after)
        return [(key, self.entries[key]) for key in self._order[first:last]]

    def change(self, changes: Changes) -> None:
        """Apply a batch without checks; None removes a key, which may be missing."""
        for key, value in changes.items():
            if value is None:
                if self.entries.pop(key, None) is not None:
                    self._order = None
            else:
                if key not in self.entries:
                    self._order = None
                self.entries[key] = value


class MemoryStore:
    """A volatile base.Store."""

    durable = False

    def __init__(self, limits: StoreLimits | None = None) -> None:
        self.limits: StoreLimits = limits or StoreLimits()
        self.generation: int = 0
        self._table: SortedTable = SortedTable()
        self._contents: StoreDigest = StoreDigest()
        self._closed: bool = False

    def _open_table(self) -> SortedTable:
        if self._closed:
            raise StoreBrokenError("the store is closed")
        return self._table

    def get(self, key: bytes) -> bytes | None:
        """Return an entry's value, None if there is none; StoreBrokenError after `close`."""
        return self._open_table().get(key)

    def scan(self, prefix: bytes = b"") -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order; StoreBrokenError after `close`."""
        return self._open_table().scan(prefix)

    def apply(self, changes: Changes) -> int:
        """Check and apply a batch, return the new generation.

        InvalidBatchError or StoreFullError (state unchanged), StoreBrokenError after `close`.
        """
        table = self._open_table()
        self._contents = self._contents.after(changes, table.get, self.limits)
        table.change(changes)
        self.generation += 1
        return self.generation

    def sync(self) -> None:
        """Do nothing; StoreBrokenError after `close`."""
        self._open_table()

    def close(self) -> None:
        """Drop all entries; closing twice is allowed."""
        self._closed = True
        self._table = SortedTable()
