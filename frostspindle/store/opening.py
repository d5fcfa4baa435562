"""Opening of a durable store: takes its lock, inspects the folder, acts on the decision, and logs the outcome.

The folder of one owner's store:

    FOLDER/lock         see `lock`
    FOLDER/witness      see `witness`, unless it is kept elsewhere
    FOLDER/store/       the head record, and the engine's files
    FOLDER/new/         an empty store before it is renamed into place
    FOLDER/aside-N-CONDITION/   stores that were set aside, the last MAX_SET_ASIDE of them

A store is used only if the decision is to use it; a refused one is left unchanged.
"""

from __future__ import annotations

import errno
import os
import re
import secrets
import shutil
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import islice
from pathlib import Path

from frostspindle.store import records
from frostspindle.store.base import CorruptDataError, StoreError, StoreFullError, StoreLimits
from frostspindle.store.durable_store import DurableStore
from frostspindle.store.engine import StoreEngine
from frostspindle.store.lock import FolderLock
from frostspindle.store.opening_decision import (
    FORMAT,
    HeadRecord,
    KnownStore,
    OpeningAction,
    OpeningDecision,
    StoreCondition,
    StoreInspection,
    decide_opening,
    next_incarnation,
    worth_opening,
)
from frostspindle.store.witness import WitnessFile

WITNESS = "witness"
STORE = "store"
HEAD = "head"
NEW = "new"
MAX_SET_ASIDE = 3
MAX_FILES_CHECKED = 10_000
MAX_HEAD_BYTES = 256
MAX_OWNER_BYTES = 64
SET_ASIDE_NAME = re.compile(r"aside-(\d{6})-[a-z-]+")


class StoreRefusedError(StoreError):
    """The store that was found can't be used and was left unchanged; `decision` has the reason."""

    def __init__(self, folder: Path, decision: OpeningDecision) -> None:
        super().__init__(f"{folder}: {decision.condition}: {decision.reason}")
        self.decision: OpeningDecision = decision


def open_store(
    folder: Path,
    owner: str,
    engine: type[StoreEngine],
    limits: StoreLimits | None = None,
    witness: Path | None = None,
    known_by_peers: KnownStore | None = None,
    copy_approved: bool = False,
    log: Callable[..., None] = lambda event, **fields: None,
) -> DurableStore:
    """Open the owner's store in this folder, creating it if need be. Blocks on the disk.

    `witness`: a file elsewhere, best on another disk, in place of the folder's own. `known_by_peers`: the last state
    that peers know. `copy_approved`: the operator's assurance that a copy is the latest state. `log(event,
    **fields)` is called with the outcome, and later with faults of the open store.

    StoreLockedError: it is open already. StoreRefusedError: it can't be used, and was left unchanged. ValueError: the
    owner's name or the limits are out of bounds.
    """
    limits = limits or engine.limits
    _check_arguments(owner, engine, limits)
    inspection = StoreInspection(
        owner,
        engine.kind,
        witness_apart=witness is not None,
        known_by_peers=known_by_peers,
        copy_approved=copy_approved,
    )
    opening = _Opening(folder, engine, limits, WitnessFile(witness or folder / WITNESS), inspection)
    try:
        opening.inspect()
        decision = opening.act()
        if decision.action is OpeningAction.REFUSE:
            log("store", **opening.log_fields(decision))
            raise StoreRefusedError(folder, decision)
        store = opening.finish(decision, log)
        store.sync()
        log("store", **opening.log_fields(decision), **opening.opened_fields(store))
        return store
    except BaseException:
        opening.abandon()
        raise


def _check_arguments(owner: str, engine: type[StoreEngine], limits: StoreLimits) -> None:
    if not 0 < len(owner.encode()) <= MAX_OWNER_BYTES:
        raise ValueError(f"an owner's name must have 1 to {MAX_OWNER_BYTES} bytes")
    if any(getattr(limits, name) > getattr(engine.limits, name) for name in StoreLimits.__slots__):
        raise ValueError(f"{limits} exceeds the limits of engine {engine.kind}, {engine.limits}")


@dataclass(slots=True)
class _Opening:
    """One opening of a store: the inspection, and what has to be released on failure."""

    folder: Path
    engine: type[StoreEngine]
    limits: StoreLimits
    witness: WitnessFile
    inspection: StoreInspection
    lock: FolderLock | None = None
    opened: StoreEngine | None = None
    head: HeadRecord | None = None  # of the store that will be used
    aside: str = ""  # the name under which the found store was set aside
    dropped: tuple[str, ...] = ()  # older ones that were removed

    @property
    def store_path(self) -> Path:
        """The folder with the head record and the engine's files."""
        return self.folder / STORE

    def inspect(self) -> None:
        """Take the lock and inspect the store; StoreLockedError if the lock is held."""
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            self.lock = FolderLock(self.folder)
        except OSError as error:
            self._note_unwritable(error)
            return
        if not os.access(self.folder, os.W_OK | os.X_OK):
            self.inspection = replace(self.inspection, unwritable="no write permission")
        try:
            self.inspection = replace(self.inspection, witness=self.witness.read())
        except OSError as error:
            self.inspection = replace(self.inspection, unreadable=str(error))
        self._inspect_store()

    def _note_unwritable(self, error: Exception) -> None:
        if isinstance(error, StoreFullError) or getattr(error, "errno", None) in records.NO_SPACE:
            self.inspection = replace(self.inspection, has_space=False, unwritable="")
        else:
            self.inspection = replace(self.inspection, has_space=True, unwritable=str(error))

    def _inspect_store(self) -> None:
        """Record what is at the store's path, and open its engine if the head record allows it."""
        if not os.path.lexists(self.store_path):
            return
        self.inspection = replace(self.inspection, found=True)
        try:
            self._check_access()
            head_path = self.store_path / HEAD
            head = records.decode_head(records.read_bounded(head_path, MAX_HEAD_BYTES))
            self.inspection = replace(self.inspection, head=head, inode=head_path.stat().st_ino)
            if worth_opening(self.inspection):
                self.opened = self.engine(self.store_path, self.limits)
                self.inspection = replace(self.inspection, meta=self.opened.meta)
        except (FileNotFoundError, CorruptDataError) as error:
            self.inspection = replace(self.inspection, corruption=str(error))
        except StoreFullError:
            self.inspection = replace(self.inspection, has_space=False)
        except OSError as error:
            if error.errno in records.NO_SPACE:
                self.inspection = replace(self.inspection, has_space=False)
            elif error.errno == errno.EROFS:
                self.inspection = replace(self.inspection, unwritable=str(error))
            else:
                self.inspection = replace(self.inspection, unreadable=str(error))

    def _check_access(self) -> None:
        """Check write permissions now, as they would otherwise fail only at the first batch."""
        path = self.store_path
        if path.is_symlink() or not path.is_dir():
            raise CorruptDataError("not a folder")
        for entry in (path, *islice(path.iterdir(), MAX_FILES_CHECKED)):
            if not os.access(entry, os.W_OK):
                raise OSError(errno.EROFS, "no write permission", str(entry))

    def act(self) -> OpeningDecision:
        """Decide by the inspection, and put an empty store in place if that is the decision.

        If the empty store can't be written, the decision becomes REFUSE.
        """
        decision = decide_opening(self.inspection)
        self.head = self.inspection.head
        if decision.action not in (OpeningAction.CREATE, OpeningAction.SET_ASIDE):
            return decision
        self._close_engine()
        try:
            self.head = self._create_store()
            if decision.action is OpeningAction.SET_ASIDE:
                self._set_aside(decision.condition)
            os.rename(self.folder / NEW, self.store_path)
            records.sync_folder(self.folder)
            self.opened = self.engine(self.store_path, self.limits)
        except (StoreFullError, OSError, CorruptDataError) as error:
            self._note_unwritable(error)
            return decide_opening(self.inspection)
        return decision

    def _create_store(self) -> HeadRecord:
        """Create an empty store, complete and durable, beside its final path."""
        new_path = self.folder / NEW
        if os.path.lexists(new_path):
            shutil.rmtree(new_path)  # left over from an opener that was killed
        new_path.mkdir(mode=0o700)
        handle = os.open(new_path / HEAD, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        inode = os.fstat(handle).st_ino
        os.close(handle)
        head = HeadRecord(
            format=FORMAT,
            kind=self.engine.kind,
            owner=self.inspection.owner,
            id=secrets.token_bytes(records.ID_BYTES),
            incarnation=next_incarnation(self.inspection),
            inode=inode,
        )
        records.write_synced(new_path / HEAD, records.encode_head(head))
        self.engine.create(new_path, head.id)
        records.sync_folder(new_path)
        return head

    def _set_aside(self, condition: StoreCondition) -> None:
        """Rename the found store, and remove the oldest of those set aside before."""
        names = sorted(name for name in os.listdir(self.folder) if SET_ASIDE_NAME.fullmatch(name))
        number = 1 + max((int(name[6:12]) for name in names), default=0)
        self.aside = f"aside-{number % 1_000_000:06d}-{condition}"
        os.rename(self.store_path, self.folder / self.aside)
        self.dropped = tuple(names[: max(0, len(names) + 1 - MAX_SET_ASIDE)])
        for name in self.dropped:
            path = self.folder / name
            if path.is_dir() and not path.is_symlink():
                shutil.rmtree(path, ignore_errors=True)
            else:
                path.unlink()

    def finish(self, decision: OpeningDecision, log: Callable[..., None]) -> DurableStore:
        """Return the opened store; an approved copy gets a head record with its own inode."""
        assert self.head is not None and self.opened is not None and self.lock is not None
        if decision.action is OpeningAction.USE and self.head.inode != self.inspection.inode:
            self.head = replace(self.head, inode=self.inspection.inode)
            records.write_synced(self.store_path / HEAD, records.encode_head(self.head))
        return DurableStore(self.opened, self.head, self.limits, self.witness, self.lock, decision, log)

    def log_fields(self, decision: OpeningDecision) -> dict[str, object]:
        """Return the log fields of every outcome."""
        return {
            "folder": str(self.folder),
            "verdict": decision.condition,
            "action": decision.action,
            "why": decision.reason,
        }

    def opened_fields(self, store: DurableStore) -> dict[str, object]:
        """Return the further log fields of an opened store."""
        fields: dict[str, object] = {
            "kind": self.engine.kind,
            "generation": store.generation,
            "life": store.head.incarnation,
            "entries": store.entry_count,
        }
        if self.inspection.witness is not None:
            fields["witness"] = self.inspection.witness.generation
        if self.aside:
            fields["aside"] = self.aside
            fields["dropped"] = list(self.dropped)
        return fields

    def _close_engine(self) -> None:
        if self.opened is not None:
            self.opened.close()
            self.opened = None

    def abandon(self) -> None:
        """Release everything after a failure."""
        self._close_engine()
        self.witness.close()
        if self.lock is not None:
            self.lock.close()
