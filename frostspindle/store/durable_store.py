"""An open durable store: applies batches through its engine, writes the witness after each, and holds the lock."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

from frostspindle.store.base import Changes, CorruptDataError, StoreBrokenError, StoreFullError, StoreLimits
from frostspindle.store.engine import StoreEngine
from frostspindle.store.lock import FolderLock
from frostspindle.store.opening_decision import HeadRecord, KnownStore, MetaRecord, OpeningDecision
from frostspindle.store.witness import WitnessFile

Result = TypeVar("Result")


class DurableStore:
    """A durable base.Store; created only by `opening.open_store`."""

    durable = True

    def __init__(
        self,
        engine: StoreEngine,
        head: HeadRecord,
        limits: StoreLimits,
        witness: WitnessFile,
        lock: FolderLock,
        decision: OpeningDecision,
        log: Callable[..., None],
    ) -> None:
        self.head: HeadRecord = head
        self.limits: StoreLimits = limits
        self.decision: OpeningDecision = decision
        self._engine: StoreEngine = engine
        self._meta: MetaRecord = engine.meta
        self._witness: WitnessFile = witness
        self._lock: FolderLock = lock
        self._log: Callable[..., None] = log
        self._fault: str = ""  # why the store is unusable
        self._closed: bool = False
        self._witness_failed: bool = False  # at the last write; logged once

    @property
    def generation(self) -> int:
        """Number of batches applied since the store was created."""
        return self._meta.generation

    @property
    def entry_count(self) -> int:
        """Number of entries."""
        return self._meta.contents.entries

    @property
    def known(self) -> KnownStore:
        """Owner, id, incarnation and generation, which peers remember and return at the next opening."""
        return KnownStore(self.head.owner, self.head.id, self.head.incarnation, self._meta.generation)

    def get(self, key: bytes) -> bytes | None:
        """Return an entry's value, None if there is none.

        StoreBrokenError after `close`, after an earlier fault, or if the read fails, which breaks the store.
        """
        return self._read(self._usable_engine().get, key)

    def scan(self, prefix: bytes = b"") -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order; StoreBrokenError as for `get`."""
        return self._read(self._usable_engine().scan, prefix)

    def apply(self, changes: Changes) -> int:
        """Apply a batch; return its generation once the batch is durable and the witness is written, but not synced.

        InvalidBatchError or StoreFullError: the state is unchanged and the store stays usable. StoreBrokenError: the
        batch took effect completely or not at all, and only the next opening shows which. A failed write of the witness
        is logged once and raises nothing.
        """
        engine = self._usable_engine()
        contents = self._meta.contents.after(changes, self.get, self.limits)
        meta = MetaRecord(self._meta.id, self._meta.generation + 1, contents)
        try:
            engine.commit(changes, meta)
        except StoreFullError:
            raise
        except BaseException as error:  # also interrupts: only the next opening shows whether it took effect
            self._fault = f"the outcome of batch {meta.generation} is unknown: {error!r}"
            self._log("store_broken", error=repr(error))
            if not isinstance(error, Exception):
                raise
            raise StoreBrokenError(self._fault) from error
        self._meta = meta
        self._write_witness(sync=False)
        return meta.generation

    def sync(self) -> None:
        """Write the witness and sync it; StoreBrokenError as for `get`.

        A witness that can't be written is logged, not raised.
        """
        self._usable_engine()
        self._write_witness(sync=True)

    def close(self) -> None:
        """Write the witness unless the store is broken, close the engine and release the lock.

        Closing twice is allowed.
        """
        if self._closed:
            return
        self._closed = True
        if not self._fault:
            self._write_witness(sync=True)
        self._engine.close()
        self._witness.close()
        self._lock.close()

    def _usable_engine(self) -> StoreEngine:
        if self._closed or self._fault:
            raise StoreBrokenError(self._fault or "the store is closed")
        return self._engine

    def _read(self, read: Callable[[bytes], Result], key: bytes) -> Result:
        try:
            return read(key)
        except (CorruptDataError, OSError) as error:
            self._fault = f"corrupt while open: {error}"
            self._log("store_broken", error=str(error))
            raise StoreBrokenError(self._fault) from error

    def _write_witness(self, sync: bool) -> None:
        """Write the witness; a failure leaves the batch durable, as an outdated witness only detects less."""
        try:
            self._witness.write(self.known, sync)
            self._witness_failed = False
        except OSError as error:
            if not self._witness_failed:
                self._log("store_unwitnessed", error=str(error))
            self._witness_failed = True
