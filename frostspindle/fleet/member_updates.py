"""Updates about members, piggybacked on other messages (SWIM's infection-style dissemination).

No I/O and no clock; it does not decide which claims are accepted.
"""

from __future__ import annotations

import math
from functools import lru_cache
from typing import NamedTuple

from frostspindle.fleet import wire
from frostspindle.fleet.claims import suspicion_of
from frostspindle.fleet.gossip_buffer import SizedGossipBuffer
from frostspindle.fleet.member_table import MemberTable
from frostspindle.fleet.wire import ALIVE, MemberState, Suspicion

MAX_UPDATES = 32  # per message
RETRANSMIT_FACTOR = 4  # each member transmits an update this times log10 of the fleet's size, and never less often


class Piggyback(NamedTuple):
    """Updates to send with a message, and the remaining bytes."""

    claims: list[MemberState]
    suspicions: list[Suspicion]
    remaining_bytes: int


@lru_cache(256)
def retransmissions(size: int) -> int:
    """Return how often each member transmits an update in a fleet of `size`, e.g. 10 times for 300, 13 for 1,000."""
    return max(RETRANSMIT_FACTOR, math.ceil(RETRANSMIT_FACTOR * math.log10(size + 1)))


class MemberUpdates:
    """The last update about each member, until it has been transmitted often enough."""

    def __init__(self, table: MemberTable) -> None:
        self._table = table
        self._buffer: SizedGossipBuffer[str, MemberState | Suspicion] = SizedGossipBuffer()
        self.pending = self._buffer.keys  # names of members with a pending update; a live view

    def put(self, claim: MemberState) -> None:
        """Add an update, replacing an earlier one about the same member; unless alive, it is sent without address."""
        update = claim if claim.state == ALIVE else suspicion_of(claim)
        self._buffer.put(claim.name, (update, wire.size(update)))

    def piggyback(self, recipient: str, remaining_bytes: int) -> Piggyback:
        """Return the updates to piggyback on a message, within `remaining_bytes`, and count them as transmitted.

        If the recipient itself is suspected or considered dead, that comes first, so that it can refute it.
        """
        claims: list[MemberState] = []
        suspicions: list[Suspicion] = []
        member = self._table.members.get(recipient)
        if member is not None and member.claim.state != ALIVE:
            suspicions.append(suspicion_of(member.claim))
            remaining_bytes -= wire.size(suspicions[0])
        if self.pending:
            count = MAX_UPDATES - len(suspicions)
            updates, remaining_bytes = self._buffer.take(
                remaining_bytes, count, retransmissions(self._table.size), recipient
            )
            for update in updates:
                if isinstance(update, Suspicion):
                    suspicions.append(update)
                else:
                    claims.append(update)
        return Piggyback(claims, suspicions, remaining_bytes)
