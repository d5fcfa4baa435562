"""The verdict on what was found in a store's place, and the action on it, from facts gathered by `opening`.

Owns the rules and their order. It must never do I/O or read a clock, and never say `use` of state that is not shown to
be whole, of this owner, and not older than anything that is known of it here.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

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

    BEGIN = "begin"  # make an empty store
    USE = "use"
    ASIDE = "aside"  # rename it, and make an empty store
    REFUSE = "refuse"  # touch nothing; the opener gets an error


@dataclass(slots=True, frozen=True)
class KnownStore:
    """What somebody holds of an owner's last store: the witness beside it, or other coordinators."""

    owner: str
    id: bytes
    life: int
    generation: int


@dataclass(slots=True, frozen=True)
class HeadRecord:
    """The head record, written once when the store was made."""

    format: int
    kind: str
    owner: str
    id: bytes
    life: int  # of the owner's stores, this one is the so-manieth: lives and generations have an order, ids have none
    inode: int  # of this very file: a copy of the folder has another


@dataclass(slots=True, frozen=True)
class MetaRecord:
    """The meta record of the state itself, renewed with each batch."""

    id: bytes
    generation: int
    tally: StoreDigest


@dataclass(slots=True, frozen=True)
class OpeningFacts:
    """What was found, the input of `judge`. An empty text stands for no fault."""

    owner: str  # who opens
    kind: str
    found: bool = False  # something is at the store's place
    unreadable: str = ""  # the system's or engine's word on why it could not be read
    unwritable: str = ""  # likewise for the folder or what is in it
    room: bool = True  # False once making an empty store failed for lack of it
    spoilt: str = ""  # which check does not hold
    head: HeadRecord | None = None
    inode: int = 0  # of the first file, as it is now
    meta: MetaRecord | None = None
    witness: KnownStore | None = None
    apart: bool = False  # the witness is kept elsewhere, so that a copy of the folder does not carry it along
    told: KnownStore | None = None  # by others
    moved: bool = False  # the operator's word that this copy is the latest


@dataclass(slots=True, frozen=True)
class OpeningDecision:
    """Outcome of `judge`: what was found, what to do with it, and the reason as text for the log and the operator."""

    verdict: StoreCondition
    action: OpeningAction
    why: str


def behind(facts: OpeningFacts, known: KnownStore | None) -> bool:
    """Tell whether a later state of this owner's store than the one found is known; False without such knowledge.

    Needs head and meta.
    """
    if known is None or known.owner != facts.owner:
        return False
    assert facts.head is not None and facts.meta is not None
    if facts.head.life != known.life:
        return facts.head.life < known.life
    return facts.head.id != known.id or facts.meta.generation < known.generation


def copied(facts: OpeningFacts) -> bool:
    """Tell whether the store is a copy of a folder that nothing shows to be the latest state.

    A witness in the same folder is copied along and shows nothing. Others' knowledge lags: it can show that a copy is
    too old, not that it is the latest.
    """
    assert facts.head is not None
    vouched = facts.apart and facts.witness is not None and facts.witness.id == facts.head.id
    return facts.head.inode != facts.inode and not vouched and not facts.moved


# The first row that holds. docs/design/store.md has the same table.
RULES: tuple[tuple[Callable[[OpeningFacts], bool], StoreCondition, OpeningAction, str], ...] = (
    (lambda f: bool(f.unreadable), StoreCondition.UNREADABLE, OpeningAction.REFUSE, "can't be read: {0.unreadable}"),
    (lambda f: bool(f.unwritable), StoreCondition.READ_ONLY, OpeningAction.REFUSE, "can't be written: {0.unwritable}"),
    (lambda f: not f.room, StoreCondition.FULL, OpeningAction.REFUSE, "no room on the disk"),
    (
        lambda f: f.apart and f.witness is not None and f.witness.owner != f.owner,
        StoreCondition.FOREIGN,
        OpeningAction.REFUSE,
        "the witness is of {0.witness.owner!r}",
    ),
    (
        lambda f: not f.found and f.witness is None and f.told is None,
        StoreCondition.FRESH,
        OpeningAction.BEGIN,
        "nothing was there",
    ),
    (
        lambda f: not f.found,
        StoreCondition.FRESH,
        OpeningAction.BEGIN,
        "nothing was there, though a store is known of: it is lost",
    ),
    (lambda f: f.head is None, StoreCondition.CORRUPT, OpeningAction.ASIDE, "no whole head: {0.spoilt}"),
    (
        lambda f: f.head.format > FORMAT,
        StoreCondition.UNREADABLE,
        OpeningAction.REFUSE,
        "format {0.head.format} of a later version",
    ),
    (lambda f: f.head.owner != f.owner, StoreCondition.FOREIGN, OpeningAction.ASIDE, "a store of {0.head.owner!r}"),
    (
        lambda f: f.head.kind != f.kind,
        StoreCondition.UNREADABLE,
        OpeningAction.REFUSE,
        "a store of another kind: {0.head.kind}",
    ),
    (lambda f: f.meta is None, StoreCondition.CORRUPT, OpeningAction.ASIDE, "{0.spoilt}"),
    (
        lambda f: f.meta.id != f.head.id,
        StoreCondition.CORRUPT,
        OpeningAction.ASIDE,
        "files of two stores in one folder",
    ),
    (lambda f: behind(f, f.witness), StoreCondition.OLDER, OpeningAction.ASIDE, "the witness knows of a later state"),
    (lambda f: behind(f, f.told), StoreCondition.OLDER, OpeningAction.ASIDE, "others know of a later state"),
    (copied, StoreCondition.OLDER, OpeningAction.ASIDE, "a copy that nothing shows to be the latest"),
    (lambda f: True, StoreCondition.GOOD, OpeningAction.USE, "whole, and not older than is known"),
)


def judge(facts: OpeningFacts) -> OpeningDecision:
    """Return the verdict on what was found and the action, by the first of RULES that holds."""
    for holds, verdict, action, why in RULES:
        if holds(facts):
            return OpeningDecision(verdict, action, why.format(facts))
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


def next_life(facts: OpeningFacts) -> int:
    """Return the life number of an empty store that replaces what was found: one above all that are known of this
    owner.
    """
    return 1 + max(
        (
            known.life
            for known in (facts.head, facts.witness, facts.told)
            if known is not None and known.owner == facts.owner
        ),
        default=0,
    )
