"""Opening of a durable store: take its lock, gather the facts, act on `judge`'s verdict, and log it in one line.

Owns the folder of one owner's store:

    FOLDER/lock         held by the process that has it open; the system lets go when that ends, however it does
    FOLDER/witness      the last state that was served from here: two slots, written in turn after each batch
    FOLDER/store/       the head, and the engine's files
    FOLDER/aside-N-VERDICT/     what was set aside, the last KEPT of them

It must never serve from what the judge did not call good, never touch what it refuses, and never let two openers in.
What a fork without exec inherits holds the lock too: open a store after forking.
"""

from __future__ import annotations

import errno
import fcntl
import os
import re
import secrets
import shutil
from collections.abc import Callable
from dataclasses import replace
from itertools import islice
from pathlib import Path
from typing import Any, Protocol

from frostspindle.store import records
from frostspindle.store.base import Changes, CorruptDataError, StoreBrokenError, StoreError, StoreFullError, StoreLimits
from frostspindle.store.opening_decision import (
    FORMAT,
    HeadRecord,
    KnownStore,
    MetaRecord,
    OpeningAction,
    OpeningDecision,
    OpeningFacts,
    StoreCondition,
    judge,
    next_life,
    worth_opening,
)

LOCK, WITNESS, STORE, HEAD, NEW = "lock", "witness", "store", "head", "new"
KEPT = 3
MOST_FILES = 10_000  # are looked at
SLOT = 256  # bytes of a witness's slot
ASIDE = re.compile(r"aside-(\d{6})-[a-z-]+")


class StoreLockedError(StoreError):
    """Another process, or another opener in this one, holds the store's lock."""


class StoreRefusedError(StoreError):
    """What was found can't be used and was left as it is; `ruling` has the reason."""

    def __init__(self, folder: Path, ruling: OpeningDecision) -> None:
        super().__init__(f"{folder}: {ruling.verdict}: {ruling.why}")
        self.ruling = ruling


class StoreEngine(Protocol):
    """What keeps the entries. Opening one raises OSError, Full or Spoilt; after that `meta` is of a whole, checked
    state.

    The class's `limits` are the most that it can keep, and bound what is read; those of an opening may be lower.
    """

    kind: str
    limits: StoreLimits
    meta: MetaRecord

    def __init__(self, folder: Path, limits: StoreLimits) -> None: ...

    @classmethod
    def make(cls, folder: Path, number: bytes) -> None:
        """Create an empty state with the store's id `number`, durable on return."""

    def get(self, key: bytes) -> bytes | None:
        """Return an entry's value, None if there is none; Spoilt or OSError if it can't be read."""

    def scan(self, prefix: bytes) -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order; Spoilt or OSError if one can't be read."""

    def commit(self, changes: Changes, meta: MetaRecord) -> None:
        """Write a batch with its meta record.

        Full: nothing was changed. Any other error: the batch is there whole or not at all.
        """

    def close(self) -> None:
        """Release files and memory; the state on the disk stays."""


class WitnessFile:
    """The file that records which state was served last. A torn slot leaves the earlier one readable."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self._handle: int | None = None
        self._turn = 0

    def read(self) -> KnownStore | None:
        """Return the latest recorded state, None if there is no whole one; OSError if the file can't be read."""
        try:
            data = records.read(self.path, 2 * SLOT)
        except (FileNotFoundError, CorruptDataError):
            return None
        found = []
        for turn in (0, 1):
            slot = data[turn * SLOT : (turn + 1) * SLOT]
            try:
                found.append((records.known_in(slot[2 : 2 + int.from_bytes(slot[:2], "big")]), turn))
            except CorruptDataError:
                continue
        if not found:
            return None
        known, turn = max(found, key=lambda item: (item[0].life, item[0].generation))
        self._turn = 1 - turn
        return known

    def write(self, known: KnownStore, sync: bool = False) -> None:
        """Write the state to the slot that is not the latest, so that a torn write leaves the other one whole.

        `sync` has it durable on return. OSError if it can't be written, ENOSPC for a short write; the slot stays the
        next.
        """
        if self._handle is None:
            self._handle = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        data = records.known_out(known)
        data = (len(data).to_bytes(2, "big") + data).ljust(SLOT, b"\0")
        if os.pwrite(self._handle, data, self._turn * SLOT) != SLOT:
            raise OSError(errno.ENOSPC, "a short write", str(self.path))
        self._turn = 1 - self._turn
        if sync:
            os.fsync(self._handle)

    def close(self) -> None:
        """Close the file if it was opened; closing twice is no error."""
        if self._handle is not None:
            os.close(self._handle)
            self._handle = None


class DurableStore:
    """An opened durable store; see base.Store. Made by `open_store` only."""

    durable = True

    def __init__(
        self,
        engine: StoreEngine,
        head: HeadRecord,
        limits: StoreLimits,
        witness: WitnessFile,
        lock: int,
        ruling: OpeningDecision,
        note: Callable[..., None],
    ) -> None:
        self.limits, self.head, self.ruling = limits, head, ruling
        self._engine, self._meta, self._witness, self._lock, self._note = engine, engine.meta, witness, lock, note
        self._fault, self._closed, self._blind = "", False, False

    @property
    def generation(self) -> int:
        """Number of batches applied since the store was made."""
        return self._meta.generation

    @property
    def known(self) -> KnownStore:
        """Owner, id, life and generation, for others to remember and to hand back as `told` at the next opening."""
        return KnownStore(self.head.owner, self.head.id, self.head.life, self._meta.generation)

    def _ready(self) -> StoreEngine:
        if self._closed or self._fault:
            raise StoreBrokenError(self._fault or "the store is closed")
        return self._engine

    def _read(self, call: Callable[[bytes], Any], what: bytes) -> Any:
        try:
            return call(what)
        except (CorruptDataError, OSError) as error:
            self._fault = f"spoilt while open: {error}"
            self._note("store_broken", error=str(error))
            raise StoreBrokenError(self._fault) from error

    def get(self, key: bytes) -> bytes | None:
        """Return an entry's value, None if there is none.

        Broken after `close`, after an earlier fault, or if the read fails; the store stays broken then.
        """
        return self._read(self._ready().get, key)

    def scan(self, prefix: bytes = b"") -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order; Broken as for `get`."""
        return self._read(self._ready().scan, prefix)

    def apply(self, changes: Changes) -> int:
        """Apply a batch, return its generation once the batch is durable and the witness written, though not synced.

        BadBatch or Full: nothing was changed, and the store stays usable. Broken: the batch is there whole or not at
        all, and only the next opening tells which. A witness that can't be written is logged once and fails nothing.
        """
        engine, meta = self._ready(), self._meta
        tally = meta.tally.after(changes, self.get, self.limits)
        meta = MetaRecord(meta.id, meta.generation + 1, tally)
        try:
            engine.commit(changes, meta)
        except StoreFullError:
            raise
        except BaseException as error:  # whatever broke in: only the next opening knows how far it came
            self._fault = f"batch {meta.generation} is there or not: {error!r}"
            self._note("store_broken", error=repr(error))
            if not isinstance(error, Exception):
                raise
            raise StoreBrokenError(self._fault) from error
        self._meta = meta
        self._see(False)
        return meta.generation

    def _see(self, sync: bool) -> None:
        """The batch is durable whatever becomes of this: a witness that lags only recognises less."""
        try:
            self._witness.write(self.known, sync)
            self._blind = False
        except OSError as error:
            if not self._blind:
                self._note("store_unwitnessed", error=str(error))
            self._blind = True

    def sync(self) -> None:
        """Write the witness and sync it; Broken as for `get`.

        A witness that can't be written is logged, not raised.
        """
        self._ready()
        self._see(True)

    def close(self) -> None:
        """Write the witness unless the store is broken, close the engine and release the lock.

        Closing twice is no error.
        """
        if self._closed:
            return
        self._closed = True
        if not self._fault:
            self._see(True)
        self._engine.close()
        self._witness.close()
        os.close(self._lock)


def _locked(folder: Path) -> int:
    """The lock's descriptor; Held if somebody has it."""
    lock = os.open(folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        by = os.pread(lock, 20, 0).decode("ascii", "replace").strip("\0\n ")
        os.close(lock)
        raise StoreLockedError(f"{folder}: open already, by process {by or 'unknown'}") from None
    try:
        os.pwrite(lock, str(os.getpid()).ljust(20).encode(), 0)
    except OSError:
        pass  # only told to who is refused
    return lock


def _found(
    store: Path, facts: OpeningFacts, engine: type[StoreEngine], limits: StoreLimits
) -> tuple[OpeningFacts, StoreEngine | None]:
    """The facts of what is in the store's place, and its engine if that was worth opening and is whole."""
    if not os.path.lexists(store):
        return facts, None
    facts = replace(facts, found=True)
    try:
        if store.is_symlink() or not store.is_dir():
            raise CorruptDataError("no folder of its own")
        for path in (store, *islice(store.iterdir(), MOST_FILES)):  # else it shows at the first batch only
            if not os.access(path, os.W_OK):
                raise OSError(errno.EROFS, "no right to write", str(path))
        data = records.read(store / HEAD, SLOT)
        facts = replace(facts, head=records.head_in(data), inode=(store / HEAD).stat().st_ino)
        if not worth_opening(facts):
            return facts, None
        opened = engine(store, limits)
        return replace(facts, meta=opened.meta), opened
    except (FileNotFoundError, CorruptDataError) as error:
        return replace(facts, spoilt=str(error)), None
    except StoreFullError:
        return replace(facts, room=False), None
    except OSError as error:
        if error.errno in records.NO_ROOM:
            return replace(facts, room=False), None
        if error.errno == errno.EROFS:
            return replace(facts, unwritable=str(error)), None
        return replace(facts, unreadable=str(error)), None


def _make(folder: Path, facts: OpeningFacts, engine: type[StoreEngine]) -> HeadRecord:
    """An empty store, whole and durable, beside its later place."""
    new = folder / NEW
    if os.path.lexists(new):
        shutil.rmtree(new)  # of an opener that was killed
    new.mkdir(mode=0o700)
    handle = os.open(new / HEAD, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
    inode = os.fstat(handle).st_ino
    os.close(handle)
    head = HeadRecord(FORMAT, engine.kind, facts.owner, secrets.token_bytes(records.ID), next_life(facts), inode)
    records.write(new / HEAD, records.head_out(head))
    engine.make(new, head.id)
    records.sync_folder(new)
    return head


def _set_aside(folder: Path, verdict: StoreCondition) -> tuple[str, list[str]]:
    """Rename the store; the name it got, and those of the oldest that were dropped for it."""
    names = sorted(name for name in os.listdir(folder) if ASIDE.fullmatch(name))
    number = 1 + max((int(name[6:12]) for name in names), default=0)
    name = f"aside-{number % 1_000_000:06d}-{verdict}"
    os.rename(folder / STORE, folder / name)
    dropped = names[: max(0, len(names) + 1 - KEPT)]
    for old in dropped:
        path = folder / old
        shutil.rmtree(path, ignore_errors=True) if path.is_dir() and not path.is_symlink() else path.unlink()
    return name, dropped


def open_store(
    folder: Path,
    owner: str,
    engine: type[StoreEngine],
    limits: StoreLimits | None = None,
    witness: Path | None = None,
    told: KnownStore | None = None,
    moved: bool = False,
    note: Callable[..., None] = lambda event, **fields: None,
) -> DurableStore:
    """Open the owner's store in this folder; it is made if need be.

    `witness`: a file elsewhere, best on another disk, in place of the folder's own. `told`: what others hold of this
    owner's last store. `moved`: the operator's assurance that a copy is the latest. `note(event, **fields)` is called
    with the outcome, and later with faults of the open store.

    Held: another opener has it. Refused: it can't be used, nothing was touched. ValueError: the owner's name or the
    limits are out of bounds.
    """
    if not 0 < len(owner.encode()) <= 64:
        raise ValueError("an owner's name of 1 to 64 bytes")
    limits = limits or engine.limits
    if any(getattr(limits, name) > getattr(engine.limits, name) for name in StoreLimits.__slots__):
        raise ValueError(f"{limits} passes what {engine.kind} can keep, {engine.limits}")
    facts = OpeningFacts(owner, engine.kind, apart=witness is not None, told=told, moved=moved)
    lock, opened, mark = -1, None, WitnessFile(witness or folder / WITNESS)
    try:
        try:
            folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            lock = _locked(folder)
        except OSError as error:
            room = error.errno not in records.NO_ROOM
            facts = replace(facts, room=room, unwritable=str(error) if room else "")
        else:
            if not os.access(folder, os.W_OK | os.X_OK):
                facts = replace(facts, unwritable="no right to write there")
            try:
                facts = replace(facts, witness=mark.read())
            except OSError as error:
                facts = replace(facts, unreadable=str(error))
            facts, opened = _found(folder / STORE, facts, engine, limits)
        ruling = judge(facts)
        head, aside, dropped = facts.head, "", []
        if ruling.action in (OpeningAction.BEGIN, OpeningAction.ASIDE):
            if opened is not None:
                opened.close()
                opened = None
            try:
                head = _make(folder, facts, engine)
                if ruling.action is OpeningAction.ASIDE:
                    aside, dropped = _set_aside(folder, ruling.verdict)
                os.rename(folder / NEW, folder / STORE)
                records.sync_folder(folder)
                opened = engine(folder / STORE, limits)
            except (StoreFullError, OSError, CorruptDataError) as error:
                room = not isinstance(error, StoreFullError) and getattr(error, "errno", None) not in records.NO_ROOM
                ruling = judge(replace(facts, room=room, unwritable=str(error) if room else ""))
        if ruling.action is OpeningAction.REFUSE:
            note("store", folder=str(folder), verdict=ruling.verdict, action=ruling.action, why=ruling.why)
            raise StoreRefusedError(folder, ruling)
        assert head is not None and opened is not None
        if ruling.action is OpeningAction.USE and head.inode != facts.inode:  # a copy that was vouched for
            head = replace(head, inode=facts.inode)
            records.write(folder / STORE / HEAD, records.head_out(head))
        store = DurableStore(opened, head, limits, mark, lock, ruling, note)
        store.sync()
        seen = {} if facts.witness is None else {"witness": facts.witness.generation}
        note(
            "store",
            folder=str(folder),
            verdict=ruling.verdict,
            action=ruling.action,
            why=ruling.why,
            kind=engine.kind,
            generation=store.generation,
            life=head.life,
            entries=opened.meta.tally.entries,
            **seen,
            **({"aside": aside, "dropped": dropped} if aside else {}),
        )
        return store
    except BaseException:
        if opened is not None:
            opened.close()
        mark.close()
        if lock >= 0:
            os.close(lock)
        raise
