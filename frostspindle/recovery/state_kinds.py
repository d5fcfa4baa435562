"""The table of all kinds of state, and what of each is trusted after a loss of power.

Owns which kinds are written to the store, which are asked of whom, what settles a disagreement, and which must rest.
`node` and `service` look all of this up here, and a test compares docs/design/recovery.md with it. It must never do
I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class TrustLevel(StrEnum):
    """How far a kind of state goes over a loss of power."""

    KEPT = "as kept"
    RESTED = "after a rest"
    ASKED = "asked of others"
    NEVER = "never"


class RespondersNeeded(StrEnum):
    """How many other coordinators are asked for a kind of state."""

    NOBODY = "nobody"
    SEEDS = "more than half of the seeds"
    HOMES = "more than half of its homes"
    MAKERS = "its makers, each for its own"


class ConflictRule(StrEnum):
    """What settles a disagreement."""

    NONE = "can't be"
    NEWEST = "its maker's newest word"
    HIGHEST = "the highest number"
    WARMEST_KNOWN = "the latest start that anybody knows"
    ANY = "one yes is a yes"
    JOIN = "joined by the greatest"
    UNION = "all that anybody says"
    SAFEST = "what is in all, and drains in none"
    COLD = "all cold as of now"
    REFUSED = "it is not had"


@dataclass(slots=True, frozen=True)
class StateKind:
    """One kind of state. `agreed` holds with enough answers, `alone` without; `rest` names the time of Rests."""

    trust: TrustLevel
    who: RespondersNeeded = RespondersNeeded.NOBODY
    agreed: ConflictRule = ConflictRule.NONE
    alone: ConflictRule = ConflictRule.NONE
    kept: bool = False  # written to the store
    rest: str = ""


@dataclass(slots=True, frozen=True)
class CooldownSettings:
    """How long state that must rest does so after a start, in ms."""

    rights_ms: float = 0.0  # the longest loan and a window, by the slower clock
    tickets_ms: float = 0.0  # so long a client may repeat a load


TABLE: Mapping[str, StateKind] = {
    "bans": StateKind(TrustLevel.KEPT, RespondersNeeded.SEEDS, ConflictRule.NEWEST, ConflictRule.UNION, kept=True),
    "engines": StateKind(
        TrustLevel.ASKED, RespondersNeeded.SEEDS, ConflictRule.HIGHEST, ConflictRule.SAFEST, kept=True
    ),
    "warmth": StateKind(TrustLevel.ASKED, RespondersNeeded.SEEDS, ConflictRule.WARMEST_KNOWN, ConflictRule.COLD),
    "tickets": StateKind(
        TrustLevel.KEPT, RespondersNeeded.HOMES, ConflictRule.ANY, ConflictRule.REFUSED, kept=True, rest="tickets_ms"
    ),
    "generations": StateKind(
        TrustLevel.KEPT, RespondersNeeded.SEEDS, ConflictRule.HIGHEST, ConflictRule.HIGHEST, kept=True
    ),
    "beat": StateKind(TrustLevel.KEPT, kept=True),
    "verdicts": StateKind(TrustLevel.NEVER, RespondersNeeded.MAKERS, ConflictRule.NEWEST, ConflictRule.REFUSED),
    "rights": StateKind(
        TrustLevel.RESTED, RespondersNeeded.NOBODY, ConflictRule.NONE, ConflictRule.NONE, rest="rights_ms"
    ),
    # What is kept of them is that none are out; see Node.quiet.
    "cold rights": StateKind(
        TrustLevel.RESTED, RespondersNeeded.NOBODY, ConflictRule.NONE, ConflictRule.NONE, kept=True, rest="rights_ms"
    ),
    "counts": StateKind(TrustLevel.ASKED, RespondersNeeded.MAKERS, ConflictRule.JOIN, ConflictRule.JOIN),
    "learnt costs and latencies": StateKind(TrustLevel.NEVER),
    "summaries": StateKind(TrustLevel.NEVER, RespondersNeeded.HOMES, ConflictRule.NEWEST, ConflictRule.REFUSED),
    "subscriptions": StateKind(TrustLevel.NEVER),
    "tenants' shares": StateKind(TrustLevel.NEVER),
}


def prefix(kind: str) -> bytes:
    """Return the key prefix of a kind's entries in the store; KeyError for one that is not kept there."""
    if not TABLE[kind].kept:
        raise KeyError(f"{kind}: is not kept")
    return kind.encode() + b"/"


def kept() -> list[str]:
    """Return the kinds that are written to the store."""
    return [name for name, kind in TABLE.items() if kind.kept]


def asked() -> list[str]:
    """Return the kinds that the agreement stage must have from the seeds."""
    return [name for name, kind in TABLE.items() if kind.who is RespondersNeeded.SEEDS]


def rest_ms(kind: str, rests: CooldownSettings) -> float:
    """Return how long a kind rests from the start on, in ms; 0 if not at all."""
    name = TABLE[kind].rest
    return float(getattr(rests, name)) if name else 0.0


def rule(kind: str, enough: bool) -> ConflictRule:
    """Return what settles a disagreement on a kind, with `enough` answers or without; KeyError for an unknown kind."""
    return TABLE[kind].agreed if enough else TABLE[kind].alone
