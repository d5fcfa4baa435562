"""The table of all kinds of state, and how far each is trusted after a power loss.

Defines which kinds are written to the store, which coordinators must answer for them, which rule resolves a conflict
and which kinds have a cooldown. The node and the service look these up here, and a test compares
docs/design/recovery.md with the table. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum


class TrustLevel(StrEnum):
    """How far a kind of state is trusted after a power loss."""

    PERSISTED = "as kept"
    AFTER_COOLDOWN = "after a rest"
    FROM_PEERS = "asked of others"
    NEVER = "never"


class RespondersNeeded(StrEnum):
    """Which other coordinators must answer for a kind of state."""

    NONE = "nobody"
    MAJORITY_OF_SEEDS = "more than half of the seeds"
    MAJORITY_OF_REPLICAS = "more than half of its homes"
    ORIGINS = "its makers, each for its own"


class ConflictRule(StrEnum):
    """The rule that resolves a conflict between coordinators."""

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


class Cooldown(StrEnum):
    """The field of CooldownSettings that applies to a kind of state."""

    NONE = ""
    RIGHTS = "rights_ms"
    TICKETS = "tickets_ms"


@dataclass(slots=True, frozen=True)
class StateKind:
    """One kind of state, with the conflict rules that apply with a quorum of answers and without one."""

    trust: TrustLevel
    responders: RespondersNeeded = RespondersNeeded.NONE
    with_quorum: ConflictRule = ConflictRule.NONE
    without_quorum: ConflictRule = ConflictRule.NONE
    persisted: bool = False  # written to the store
    cooldown: Cooldown = Cooldown.NONE


@dataclass(slots=True, frozen=True)
class CooldownSettings:
    """How long after a start state with a cooldown is not used, in ms."""

    rights_ms: float = 0.0  # the longest lease and one window, by the slower clock
    tickets_ms: float = 0.0  # how long a client may repeat a load


TABLE: Mapping[str, StateKind] = {
    "bans": StateKind(
        TrustLevel.PERSISTED,
        RespondersNeeded.MAJORITY_OF_SEEDS,
        ConflictRule.NEWEST,
        ConflictRule.UNION,
        persisted=True,
    ),
    "engines": StateKind(
        TrustLevel.FROM_PEERS,
        RespondersNeeded.MAJORITY_OF_SEEDS,
        ConflictRule.HIGHEST,
        ConflictRule.SAFEST,
        persisted=True,
    ),
    "warmth": StateKind(
        TrustLevel.FROM_PEERS,
        RespondersNeeded.MAJORITY_OF_SEEDS,
        ConflictRule.WARMEST_KNOWN,
        ConflictRule.COLD,
    ),
    "tickets": StateKind(
        TrustLevel.PERSISTED,
        RespondersNeeded.MAJORITY_OF_REPLICAS,
        ConflictRule.ANY,
        ConflictRule.REFUSED,
        persisted=True,
        cooldown=Cooldown.TICKETS,
    ),
    "generations": StateKind(
        TrustLevel.PERSISTED,
        RespondersNeeded.MAJORITY_OF_SEEDS,
        ConflictRule.HIGHEST,
        ConflictRule.HIGHEST,
        persisted=True,
    ),
    "beat": StateKind(TrustLevel.PERSISTED, persisted=True),
    "verdicts": StateKind(TrustLevel.NEVER, RespondersNeeded.ORIGINS, ConflictRule.NEWEST, ConflictRule.REFUSED),
    "rights": StateKind(TrustLevel.AFTER_COOLDOWN, cooldown=Cooldown.RIGHTS),
    # Persisted is only the mark that none are lent or used; see idle_mark.
    "cold rights": StateKind(TrustLevel.AFTER_COOLDOWN, persisted=True, cooldown=Cooldown.RIGHTS),
    "counts": StateKind(TrustLevel.FROM_PEERS, RespondersNeeded.ORIGINS, ConflictRule.JOIN, ConflictRule.JOIN),
    "learnt costs and latencies": StateKind(TrustLevel.NEVER),
    "summaries": StateKind(
        TrustLevel.NEVER, RespondersNeeded.MAJORITY_OF_REPLICAS, ConflictRule.NEWEST, ConflictRule.REFUSED
    ),
    "subscriptions": StateKind(TrustLevel.NEVER),
    "tenants' shares": StateKind(TrustLevel.NEVER),
}


def prefix(kind: str) -> bytes:
    """Return the key prefix of a kind's entries in the store; KeyError for one that is not persisted."""
    if not TABLE[kind].persisted:
        raise KeyError(f"{kind}: kind of state is not persisted")
    return kind.encode() + b"/"


def persisted_kinds() -> list[str]:
    """Return the kinds that are written to the store."""
    return [name for name, kind in TABLE.items() if kind.persisted]


def cooldown_ms(kind: str, settings: CooldownSettings) -> float:
    """Return how long after the start a kind is not used, in ms; 0 if it has no cooldown."""
    match TABLE[kind].cooldown:
        case Cooldown.RIGHTS:
            return settings.rights_ms
        case Cooldown.TICKETS:
            return settings.tickets_ms
        case _:
            return 0.0


def conflict_rule(kind: str, has_quorum: bool) -> ConflictRule:
    """Return the rule that resolves conflicts on a kind of state; KeyError if the kind is unknown."""
    return TABLE[kind].with_quorum if has_quorum else TABLE[kind].without_quorum
