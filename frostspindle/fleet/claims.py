"""Rules about claims: which of two is newer, and whether its subject made it.

Pure functions on the messages' claims; no state.
"""

from __future__ import annotations

import msgspec

from frostspindle.fleet.incarnation import is_successor
from frostspindle.fleet.wire import ALIVE, MemberState, Suspicion


def precedence(claim: MemberState) -> tuple[int, int, int]:
    """Return the sort key of claims on one member: later process, then later incarnation, then graver state."""
    return claim.epoch, claim.incarnation, claim.state


def is_proven(known: MemberState, claim: MemberState) -> bool:
    """Whether the owner of a believed claim made the incarnation of another one of the same process."""
    if claim.incarnation > known.incarnation:
        return claim.address == known.address and is_successor(
            known.incarnation, known.proof, claim.incarnation, claim.proof
        )
    return claim.incarnation < known.incarnation or claim.proof == known.proof


def is_takeover(known: MemberState, sender: MemberState) -> bool:
    """Whether a later process speaks from another address in the name of a member that is alive."""
    return known.state == ALIVE and known.epoch < sender.epoch and known.address != sender.address


def with_state(claim: MemberState, state: int, suspected_by: str = "") -> MemberState:
    """Return the same claim with another state."""
    return msgspec.structs.replace(claim, state=state, suspected_by=suspected_by)


def suspicion_of(claim: MemberState) -> Suspicion:
    """Return a claim that a member is not alive without what receivers know already."""
    return Suspicion(claim.name, claim.state, claim.epoch, claim.incarnation, claim.suspected_by)
