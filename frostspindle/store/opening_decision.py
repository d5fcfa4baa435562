"""The decision on what was found in a store's place, from facts gathered by `opening`.

No I/O and no clock. A store is used only if it is shown to be whole, of this owner, and not older than anything that is
known of it here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from frostspindle.store.base import StoreDigest

FORMAT = 1  # of the files; one that is higher was written by a later version


class StoreCondition(StrEnum):
    """Classification of what was found in the store's place."""

    FRESH = "fresh"
    GOOD = "good"
    OLDER = "older"
    FOREIGN = "foreign"
    CORRUPT = "corrupt"
    UNREADABLE = "unreadable"
    READ_ONLY = "read-only"
    FULL = "full"


class OpeningAction(StrEnum):
    """What the opener does with what was found."""

    CREATE = "begin"  # make an empty store
    USE = "use"
    SET_ASIDE = "aside"  # rename it, and make an empty store
    REFUSE = "refuse"  # touch nothing; the opener gets an error


@dataclass(slots=True, frozen=True)
class KnownStore:
    """What somebody knows of an owner's last store: the witness beside it, or other coordinators."""

    owner: str
    id: bytes
    incarnation: int
    generation: int


@dataclass(slots=True, frozen=True)
class HeadRecord:
    """The head record, written once when the store was made."""

    format: int
    kind: str
    owner: str
    id: bytes
    incarnation: int  # counts the owner's stores: incarnations and generations have an order, ids have none
    inode: int  # of this very file: a copy of the folder has another


@dataclass(slots=True, frozen=True)
class MetaRecord:
    """The meta record of the state itself, renewed with each batch."""

    id: bytes
    generation: int
    contents: StoreDigest


@dataclass(slots=True, frozen=True)
class OpeningFacts:
    """What was found, the input of `decide_opening`. An empty text stands for no fault."""

    owner: str  # who opens
    kind: str  # of the engine that opens
    found: bool = False  # something is at the store's place
    unreadable: str = ""  # the error that kept it from being read
    unwritable: str = ""  # the error that keeps the folder or what is in it from being written
    has_room: bool = True  # False once making an empty store failed for lack of it
    corruption: str = ""  # which check does not hold
    head: HeadRecord | None = None
    inode: int = 0  # of the head's file, as it is now
    meta: MetaRecord | None = None
    witness: KnownStore | None = None
    witness_apart: bool = False  # it is kept elsewhere, so that a copy of the folder does not carry it along
    known_by_peers: KnownStore | None = None
    copy_approved: bool = False  # the operator's assurance that this copy is the latest


@dataclass(slots=True, frozen=True)
class OpeningDecision:
    """What was found, what to do with it, and the reason as text for the log and the operator."""

    condition: StoreCondition
    action: OpeningAction
    reason: str


def is_behind(facts: OpeningFacts, known: KnownStore | None) -> bool:
    """Tell whether a later state of this owner's store than the one found is known; False without such knowledge.

    Needs head and meta.
    """
    if known is None or known.owner != facts.owner:
        return False
    assert facts.head is not None and facts.meta is not None
    if facts.head.incarnation != known.incarnation:
        return facts.head.incarnation < known.incarnation
    return facts.head.id != known.id or facts.meta.generation < known.generation


def is_unproven_copy(facts: OpeningFacts) -> bool:
    """Tell whether the store is a copy of a folder that nothing shows to be the latest state.

    A witness in the same folder is copied along and shows nothing. Others' knowledge lags: it can show that a copy is
    too old, not that it is the latest.
    """
    assert facts.head is not None
    if facts.head.inode == facts.inode or facts.copy_approved:
        return False
    vouched = facts.witness_apart and facts.witness is not None and facts.witness.id == facts.head.id
    return not vouched


class OpeningRule(NamedTuple):
    """One row of the table: a test of the facts, and the decision if it holds; `reason` is formatted with the facts."""

    holds: Callable[[OpeningFacts], bool]
    condition: StoreCondition
    action: OpeningAction
    reason: str


# The first row that holds. docs/design/store.md has the same table.
RULES: tuple[OpeningRule, ...] = (
    OpeningRule(
        lambda facts: bool(facts.unreadable),
        StoreCondition.UNREADABLE,
        OpeningAction.REFUSE,
        "can't be read: {0.unreadable}",
    ),
    OpeningRule(
        lambda facts: bool(facts.unwritable),
        StoreCondition.READ_ONLY,
        OpeningAction.REFUSE,
        "can't be written: {0.unwritable}",
    ),
    OpeningRule(lambda facts: not facts.has_room, StoreCondition.FULL, OpeningAction.REFUSE, "no room on the disk"),
    OpeningRule(
        lambda facts: facts.witness_apart and facts.witness is not None and facts.witness.owner != facts.owner,
        StoreCondition.FOREIGN,
        OpeningAction.REFUSE,
        "the witness is of {0.witness.owner!r}",
    ),
    OpeningRule(
        lambda facts: not facts.found and facts.witness is None and facts.known_by_peers is None,
        StoreCondition.FRESH,
        OpeningAction.CREATE,
        "nothing was there",
    ),
    OpeningRule(
        lambda facts: not facts.found,
        StoreCondition.FRESH,
        OpeningAction.CREATE,
        "nothing was there, though a store is known of: it is lost",
    ),
    OpeningRule(
        lambda facts: facts.head is None,
        StoreCondition.CORRUPT,
        OpeningAction.SET_ASIDE,
        "no whole head: {0.corruption}",
    ),
    OpeningRule(
        lambda facts: facts.head.format > FORMAT,
        StoreCondition.UNREADABLE,
        OpeningAction.REFUSE,
        "format {0.head.format} of a later version",
    ),
    OpeningRule(
        lambda facts: facts.head.owner != facts.owner,
        StoreCondition.FOREIGN,
        OpeningAction.SET_ASIDE,
        "a store of {0.head.owner!r}",
    ),
    OpeningRule(
        lambda facts: facts.head.kind != facts.kind,
        StoreCondition.UNREADABLE,
        OpeningAction.REFUSE,
        "a store of another kind: {0.head.kind}",
    ),
    OpeningRule(lambda facts: facts.meta is None, StoreCondition.CORRUPT, OpeningAction.SET_ASIDE, "{0.corruption}"),
    OpeningRule(
        lambda facts: facts.meta.id != facts.head.id,
        StoreCondition.CORRUPT,
        OpeningAction.SET_ASIDE,
        "files of two stores in one folder",
    ),
    OpeningRule(
        lambda facts: is_behind(facts, facts.witness),
        StoreCondition.OLDER,
        OpeningAction.SET_ASIDE,
        "the witness knows of a later state",
    ),
    OpeningRule(
        lambda facts: is_behind(facts, facts.known_by_peers),
        StoreCondition.OLDER,
        OpeningAction.SET_ASIDE,
        "others know of a later state",
    ),
    OpeningRule(
        is_unproven_copy, StoreCondition.OLDER, OpeningAction.SET_ASIDE, "a copy that nothing shows to be the latest"
    ),
    OpeningRule(lambda facts: True, StoreCondition.GOOD, OpeningAction.USE, "whole, and not older than is known"),
)


def decide_opening(facts: OpeningFacts) -> OpeningDecision:
    """Return the decision of the first of RULES that holds."""
    for rule in RULES:
        if rule.holds(facts):
            return OpeningDecision(rule.condition, rule.action, rule.reason.format(facts))
    raise AssertionError("the last rule always holds")


def worth_opening(facts: OpeningFacts) -> bool:
    """Tell whether the engine should open the files: never those of another owner, kind or later format."""
    return (
        not facts.unreadable
        and not facts.unwritable
        and facts.head is not None
        and facts.head.format <= FORMAT
        and facts.head.owner == facts.owner
        and facts.head.kind == facts.kind
    )


def next_incarnation(facts: OpeningFacts) -> int:
    """Return the incarnation of an empty store that replaces what was found: above all that are known of this owner."""
    known = (facts.head, facts.witness, facts.known_by_peers)
    incarnations = [store.incarnation for store in known if store is not None and store.owner == facts.owner]
    return 1 + max(incarnations, default=0)
