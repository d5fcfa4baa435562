"""The interface of the storage engines of durable stores."""

from __future__ import annotations

from pathlib import Path
from typing import Protocol

from frostspindle.store.base import Changes, StoreLimits
from frostspindle.store.opening_decision import MetaRecord


class StoreEngine(Protocol):
    """Stores the entries of one open store.

    The constructor raises OSError, StoreFullError or CorruptDataError; after it, `meta` is that of a complete, checked
    state. The class's `limits` are its capacity and bound what is read; the limits of an opening may be lower.
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

        StoreFullError: the state is unchanged. Any other error: the batch took effect completely or not at all.
        """

    def close(self) -> None:
        """Release files and memory; the state on the disk is kept."""
