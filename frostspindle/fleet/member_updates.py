"""Updates on members that travel with other messages (SWIM's infection-style dissemination).

No I/O and no clock; decides nothing about what is believed.
"""

from __future__ import annotations

import math
from functools import lru_cache
from typing import NamedTuple

from frostspindle.fleet import wire
from frostspindle.fleet.claims import suspicion_of
from frostspindle.fleet.gossip_buffer import GossipBuffer
from frostspindle.fleet.member_table import MemberTable
from frostspindle.fleet.wire import ALIVE, MemberState, Suspicion

MAX_UPDATES = 32  # in one message
RETRANSMIT_FACTOR = 4  # times log10 of the fleet's size, and no less: transmissions of an update by each member


class Piggyback(NamedTuple):
    """Updates that travel with a message, and the bytes left over."""

    claims: list[MemberState]
    suspicions: list[Suspicion]
    room: int


@lru_cache(256)
def retransmissions(size: int) -> int:
    """Return how often each member transmits an update in a fleet of `size`: 10 times for 300, 13 for 1,000."""
    return max(RETRANSMIT_FACTOR, math.ceil(RETRANSMIT_FACTOR * math.log10(size + 1)))


class MemberUpdates:
    """The last update on each member, as long as it is to be transmitted."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._buffer: GossipBuffer[str, tuple[MemberState | Suspicion, int]] = GossipBuffer()  # with its size in bytes
        self.pending = self._buffer.keys  # members with an update to transmit; a live view

    def put(self, claim: MemberState) -> None:
        """Add an update; it replaces an earlier one on the same member. If not alive, it goes without address."""
        update = claim if claim.state == ALIVE else suspicion_of(claim)
        self._buffer.put(claim.name, (update, wire.size(update)))

    def piggyback(self, recipient: str, room: int) -> Piggyback:
        """Return the updates to send with a message to a member, within `room` bytes; they count as transmitted.

        If the recipient itself is believed not to be alive, that goes first, so that it can refute.
        """
        claims: list[MemberState] = []
        suspicions: list[Suspicion] = []
        member = self._table.members.get(recipient)
        if member is not None and member.claim.state != ALIVE:
            suspicions.append(suspicion_of(member.claim))
            room -= wire.size(suspicions[0])
        if self.pending:
            count = MAX_UPDATES - len(suspicions)
            updates, room = self._buffer.take(room, count, retransmissions(self._table.size), recipient)
            for update in updates:
                if isinstance(update, Suspicion):
                    suspicions.append(update)
                else:
                    claims.append(update)
        return Piggyback(claims, suspicions, room)
