"""Rules about claims: which of two is newer, and whether its subject created the incarnation.

Pure functions of the claims in messages; no state.
"""

from __future__ import annotations

import msgspec

from frostspindle.fleet.incarnation import is_successor
from frostspindle.fleet.wire import ALIVE, MemberState, Suspicion


def precedence(claim: MemberState) -> tuple[int, int, int]:
    """Return the sort key of claims about one member: process, then incarnation, then severity of the state."""
    return claim.epoch, claim.incarnation, claim.state


def is_proven(known: MemberState, claim: MemberState) -> bool:
    """Return whether the owner of an accepted claim also created the incarnation of another one of its process."""
    if claim.incarnation > known.incarnation:
        return claim.address == known.address and is_successor(
            known.incarnation, known.proof, claim.incarnation, claim.proof
        )
    return claim.incarnation < known.incarnation or claim.proof == known.proof


def is_takeover(known: MemberState, sender: MemberState) -> bool:
    """Return whether a later process uses the name of a live member from another address."""
    return known.state == ALIVE and known.epoch < sender.epoch and known.address != sender.address


def with_state(claim: MemberState, state: int, suspected_by: str = "") -> MemberState:
    """Return a copy of a claim with another state."""
    return msgspec.structs.replace(claim, state=state, suspected_by=suspected_by)


def suspicion_of(claim: MemberState) -> Suspicion:
    """Return a claim that a member is not alive without the fields that receivers already know."""
    return Suspicion(claim.name, claim.state, claim.epoch, claim.incarnation, claim.suspected_by)
