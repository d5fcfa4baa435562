"""The decision on a found store, from its inspection by `opening`.

No I/O and no clock. A store is used only if it is shown to be complete, of this owner, and not older than any state of
it that is known.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from frostspindle.store.base import StoreDigest

FORMAT = 1  # of the files; a higher one was written by a later version


class StoreCondition(StrEnum):
    """Classification of what was found at the store's path."""

    FRESH = "fresh"
    GOOD = "good"
    OLDER = "older"
    FOREIGN = "foreign"
    CORRUPT = "corrupt"
    UNREADABLE = "unreadable"
    READ_ONLY = "read-only"
    FULL = "full"


class OpeningAction(StrEnum):
    """What the opener does with the store that was found."""

    CREATE = "begin"  # create an empty store
    USE = "use"
    SET_ASIDE = "aside"  # rename it, and create an empty store
    REFUSE = "refuse"  # change nothing; the opener gets an error


@dataclass(slots=True, frozen=True)
class KnownStore:
    """The last state of an owner's store known to the witness or to other coordinators."""

    owner: str
    id: bytes
    incarnation: int
    generation: int


@dataclass(slots=True, frozen=True)
class HeadRecord:
    """The head record, written once when the store was created."""

    format: int
    kind: str
    owner: str
    id: bytes
    incarnation: int  # counts the owner's stores: incarnations are ordered, ids are not
    inode: int  # of the head's file; differs in a copy of the folder


@dataclass(slots=True, frozen=True)
class MetaRecord:
    """The meta record of the current state, rewritten with each batch."""

    id: bytes
    generation: int
    contents: StoreDigest


@dataclass(slots=True, frozen=True)
class StoreInspection:
    """What was found at the opening, the input of `decide_opening`. An empty text means no fault."""

    owner: str  # of the opener
    kind: str  # of the opener's engine
    found: bool = False  # something exists at the store's path
    unreadable: str = ""  # the error at reading it
    unwritable: str = ""  # the error at writing the folder or its files
    has_space: bool = True  # False once there was no space for an empty store
    corruption: str = ""  # which check failed
    head: HeadRecord | None = None
    inode: int = 0  # of the head's file, at present
    meta: MetaRecord | None = None
    witness: KnownStore | None = None
    witness_apart: bool = False  # kept elsewhere, so that a copy of the folder does not contain it
    known_by_peers: KnownStore | None = None
    copy_approved: bool = False  # the operator's assurance that this copy is the latest state


@dataclass(slots=True, frozen=True)
class OpeningDecision:
    """The store's condition, the action, and the reason as text for the log and the operator."""

    condition: StoreCondition
    action: OpeningAction
    reason: str


def is_behind(inspection: StoreInspection, known: KnownStore | None) -> bool:
    """Return whether a later state of this owner's store than the one found is known.

    Requires head and meta.
    """
    if known is None or known.owner != inspection.owner:
        return False
    assert inspection.head is not None and inspection.meta is not None
    if inspection.head.incarnation != known.incarnation:
        return inspection.head.incarnation < known.incarnation
    return inspection.head.id != known.id or inspection.meta.generation < known.generation


def is_unproven_copy(inspection: StoreInspection) -> bool:
    """Return whether the store is a copy that is not proven to be the latest state.

    A witness in the same folder is copied along and proves nothing. Peers' knowledge lags: it can prove that a copy is
    outdated, not that it is the latest.
    """
    assert inspection.head is not None
    if inspection.head.inode == inspection.inode or inspection.copy_approved:
        return False
    witnessed = (
        inspection.witness_apart and inspection.witness is not None and inspection.witness.id == inspection.head.id
    )
    return not witnessed


class OpeningRule(NamedTuple):
    """One rule: a test of the inspection, and the decision if it holds; `reason` is formatted with the inspection."""

    holds: Callable[[StoreInspection], bool]
    condition: StoreCondition
    action: OpeningAction
    reason: str


# The first rule that holds decides. docs/design/store.md has the same table.
RULES: tuple[OpeningRule, ...] = (
    OpeningRule(
        lambda inspection: bool(inspection.unreadable),
        StoreCondition.UNREADABLE,
        OpeningAction.REFUSE,
        "can't be read: {0.unreadable}",
    ),
    OpeningRule(
        lambda inspection: bool(inspection.unwritable),
        StoreCondition.READ_ONLY,
        OpeningAction.REFUSE,
        "can't be written: {0.unwritable}",
    ),
    OpeningRule(
        lambda inspection: not inspection.has_space, StoreCondition.FULL, OpeningAction.REFUSE, "no space on the disk"
    ),
    OpeningRule(
        lambda inspection: (
            inspection.witness_apart and inspection.witness is not None and inspection.witness.owner != inspection.owner
        ),
        StoreCondition.FOREIGN,
        OpeningAction.REFUSE,
        "the witness belongs to {0.witness.owner!r}",
    ),
    OpeningRule(
        lambda inspection: not inspection.found and inspection.witness is None and inspection.known_by_peers is None,
        StoreCondition.FRESH,
        OpeningAction.CREATE,
        "no store was found",
    ),
    OpeningRule(
        lambda inspection: not inspection.found,
        StoreCondition.FRESH,
        OpeningAction.CREATE,
        "no store was found, though one is known: it is lost",
    ),
    OpeningRule(
        lambda inspection: inspection.head is None,
        StoreCondition.CORRUPT,
        OpeningAction.SET_ASIDE,
        "no valid head record: {0.corruption}",
    ),
    OpeningRule(
        lambda inspection: inspection.head.format > FORMAT,
        StoreCondition.UNREADABLE,
        OpeningAction.REFUSE,
        "format {0.head.format} of a later version",
    ),
    OpeningRule(
        lambda inspection: inspection.head.owner != inspection.owner,
        StoreCondition.FOREIGN,
        OpeningAction.SET_ASIDE,
        "the store belongs to {0.head.owner!r}",
    ),
    OpeningRule(
        lambda inspection: inspection.head.kind != inspection.kind,
        StoreCondition.UNREADABLE,
        OpeningAction.REFUSE,
        "the store is of another kind: {0.head.kind}",
    ),
    OpeningRule(
        lambda inspection: inspection.meta is None, StoreCondition.CORRUPT, OpeningAction.SET_ASIDE, "{0.corruption}"
    ),
    OpeningRule(
        lambda inspection: inspection.meta.id != inspection.head.id,
        StoreCondition.CORRUPT,
        OpeningAction.SET_ASIDE,
        "the folder has files of two stores",
    ),
    OpeningRule(
        lambda inspection: is_behind(inspection, inspection.witness),
        StoreCondition.OLDER,
        OpeningAction.SET_ASIDE,
        "the witness recorded a later state",
    ),
    OpeningRule(
        lambda inspection: is_behind(inspection, inspection.known_by_peers),
        StoreCondition.OLDER,
        OpeningAction.SET_ASIDE,
        "other coordinators know a later state",
    ),
    OpeningRule(
        is_unproven_copy,
        StoreCondition.OLDER,
        OpeningAction.SET_ASIDE,
        "a copy that is not proven to be the latest state",
    ),
    OpeningRule(
        lambda inspection: True, StoreCondition.GOOD, OpeningAction.USE, "complete, and not older than any known state"
    ),
)


def decide_opening(inspection: StoreInspection) -> OpeningDecision:
    """Return the decision of the first rule in RULES that holds."""
    for rule in RULES:
        if rule.holds(inspection):
            return OpeningDecision(rule.condition, rule.action, rule.reason.format(inspection))
    raise AssertionError("the last rule always holds")


def worth_opening(inspection: StoreInspection) -> bool:
    """Return whether the engine may open the files: never those of another owner, kind or later format."""
    return (
        not inspection.unreadable
        and not inspection.unwritable
        and inspection.head is not None
        and inspection.head.format <= FORMAT
        and inspection.head.owner == inspection.owner
        and inspection.head.kind == inspection.kind
    )


def next_incarnation(inspection: StoreInspection) -> int:
    """Return the incarnation of a new empty store: one more than the highest known of this owner."""
    known = (inspection.head, inspection.witness, inspection.known_by_peers)
    incarnations = [store.incarnation for store in known if store is not None and store.owner == inspection.owner]
    return 1 + max(incarnations, default=0)
