"""Table of the fleet's other members, and the outbox of messages to them.

Holds each member's last believed state and which members are alive. No I/O and no clock; it decides nothing about who
is alive. Belongs to the event loop's thread, as all of the fleet's state does.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from frostspindle.fleet import wire
from frostspindle.fleet.wire import MemberState

Address = tuple[str, int]

MAX_PAGE = 32  # claims in one page


class OutgoingMessage(NamedTuple):
    """One message to be sent: address, recipient's name and body."""

    address: Address
    recipient: str
    body: wire.Body


@dataclass(slots=True)
class Member:
    """One other member, as this one believes it to be. Times are ms of the own monotonic clock."""

    claim: MemberState
    state_since: float
    last_received: float = -math.inf  # last message that the member itself sent
    confirmers: frozenset[str] = frozenset()  # members that suspect it independently
    suspected_at: float = 0.0
    contested_at: float = -math.inf  # last time that its address was pinged because of a claimed new process


class MemberTable:
    """All other members by name, those of them that are alive or suspected, and the messages to send."""

    def __init__(self, random: Random) -> None:
        self.members: dict[str, Member] = {}
        self.alive: dict[str, Member] = {}  # alive or suspected
        self.outbox: list[OutgoingMessage] = []
        self._random = random
        self._alive_names: list[str] = []  # keys of `alive` in order of arrival, for random draws
        self._sequence = 0

    @property
    def size(self) -> int:
        """Number of members that are alive or suspected, this one included."""
        return len(self.alive) + 1

    def add_alive(self, name: str, member: Member) -> None:
        """Put a member among those alive."""
        self.alive[name] = member
        self._alive_names.append(name)

    def remove_alive(self, name: str) -> None:
        """Take a member out of those alive; KeyError if it is not among them."""
        del self.alive[name]
        self._alive_names.remove(name)

    def draw_peers(self, count: int, excluded: Collection[str] = ()) -> list[str]:
        """Return up to `count` live members, drawn uniformly, except those excluded."""
        if len(self._alive_names) <= count + len(excluded):
            return [name for name in self._alive_names if name not in excluded]
        drawn = self._random.sample(self._alive_names, count + len(excluded))
        return [name for name in drawn if name not in excluded][:count]

    def send(self, name: str, body: wire.Body) -> None:
        """Queue a message to a member; dropped unless the member is alive or suspected."""
        member = self.alive.get(name)
        if member is not None:
            self.outbox.append(OutgoingMessage(member.claim.address, name, body))

    def ping(self, address: Address, name: str) -> None:
        """Queue a Ping whose Ack only proves that the recipient is there: no probe waits for it."""
        self.outbox.append(OutgoingMessage(address, name, wire.Ping(self.next_sequence())))

    def next_sequence(self) -> int:
        """Return a new sequence number for a Ping."""
        self._sequence += 1
        return self._sequence

    def remove_departed(self, now: float, after_ms: float) -> None:
        """Forget members that have been dead or gone for more than `after_ms`."""
        for name, member in list(self.members.items()):
            if member.claim.state in (wire.DEAD, wire.LEFT) and now - member.state_since > after_ms:
                del self.members[name]

    def dead_claims(self) -> list[MemberState]:
        """Return the last claims of the members that are believed dead."""
        return [member.claim for member in self.members.values() if member.claim.state == wire.DEAD]

    def page(self, after: str, room: int) -> tuple[list[MemberState], str]:
        """Return claims after the name `after`, in order of names and within `room` bytes, and the last name ("" at the
        end).
        """
        claims: list[MemberState] = []
        for name in heapq.nsmallest(MAX_PAGE + 1, (name for name in self.members if name > after)):
            claim = self.members[name].claim
            room -= wire.size(claim)
            if room < 0 or len(claims) == MAX_PAGE:
                return claims, claims[-1].name if claims else ""
            claims.append(claim)
        return claims, ""

    def add_known(self, now: float, claims: Iterable[MemberState], own_name: str) -> None:
        """Take members as alive that are not known yet, except the own name."""
        for claim in claims:
            if claim.name != own_name and claim.name not in self.members:
                member = Member(claim, now)
                self.members[claim.name] = member
                self.add_alive(claim.name, member)
