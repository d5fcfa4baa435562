"""Opening of the recovery store: disk faults become a verdict, so that the coordinator can serve without a store."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from frostspindle.recovery.inputs import OpenedStore
from frostspindle.recovery.wire import StoreState
from frostspindle.store.base import Store, StoreError
from frostspindle.store.durable_store import DurableStore
from frostspindle.store.lock import StoreLockedError
from frostspindle.store.memory import MemoryStore
from frostspindle.store.opening import StoreRefusedError, open_store
from frostspindle.store.opening_decision import OpeningAction, StoreCondition
from frostspindle.store.sqlite_engine import SqliteEngine

UNREADABLE = OpenedStore("unreadable", usable=False, trusted=False)


def open_recovery_store(
    folder: str, witness: str, owner: str, log: Callable[..., None]
) -> tuple[Store | None, OpenedStore]:
    """Open the store, or one in memory if no folder is set; blocks on the disk.

    Faults are returned as the verdict. Raise StoreLockedError if another process holds the store.
    """
    if not folder:
        return MemoryStore(), OpenedStore("none is set up", usable=True, trusted=False)
    witness_path = Path(witness) if witness else None
    try:
        store = open_store(Path(folder), owner, SqliteEngine, witness=witness_path, log=log)
    except StoreLockedError:
        raise
    except StoreRefusedError as error:
        return None, OpenedStore(str(error.decision.condition), usable=False, trusted=False)
    except (StoreError, OSError) as error:
        log("store", folder=folder, verdict="unreadable", why=str(error))
        return None, UNREADABLE
    return store, _opened(store)


def _opened(store: DurableStore) -> OpenedStore:
    known = store.known
    decision = store.decision
    return OpenedStore(
        verdict=str(decision.condition),
        usable=True,
        trusted=decision.action is OpeningAction.USE,
        # In a later incarnation, an earlier store existed and was lost.
        fresh=decision.condition is StoreCondition.FRESH and known.incarnation == 1,
        state=StoreState(known.id, known.incarnation, known.generation),
        entries=tuple(store.scan()),
    )
