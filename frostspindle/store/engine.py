"""The interface of what keeps a durable store's entries."""

from __future__ import annotations

from pathlib import Path
from typing import Protocol

from frostspindle.store.base import Changes, StoreLimits
from frostspindle.store.opening_decision import MetaRecord


class StoreEngine(Protocol):
    """Keeps the entries of one opened store.

    Opening one raises OSError, StoreFullError or CorruptDataError; after that `meta` is of a whole, checked state. The
    class's `limits` are the most that it can keep, and bound what is read; those of an opening may be lower.
    """

    kind: str
    limits: StoreLimits
    meta: MetaRecord

    def __init__(self, folder: Path, limits: StoreLimits) -> None: ...

    @classmethod
    def create(cls, folder: Path, store_id: bytes) -> None:
        """Create an empty state of the store with this id, durable on return."""

    def get(self, key: bytes) -> bytes | None:
        """Return an entry's value, None if there is none; CorruptDataError or OSError if it can't be read."""

    def scan(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order; raises as `get` does."""

    def commit(self, changes: Changes, meta: MetaRecord) -> None:
        """Write a batch with its meta record.

        StoreFullError: nothing was changed. Any other error: the batch is there whole or not at all.
        """

    def close(self) -> None:
        """Release files and memory; the state on the disk stays."""
