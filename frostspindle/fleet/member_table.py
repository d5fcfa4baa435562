"""Table of the fleet's other members, and the outbox of messages to them.

Stores each member's last accepted state and the set of live members; it does not decide which members are alive. No I/O
and no clock. Like all state of the fleet, it must be used from the event loop's thread only.
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

MAX_PAGE_CLAIMS = 32


class OutgoingMessage(NamedTuple):
    """One queued message: address, recipient's name and body."""

    address: Address
    recipient: str
    body: wire.Body


@dataclass(slots=True)
class Member:
    """State of one other member as accepted here. Times are in ms of the local monotonic clock."""

    claim: MemberState
    state_since: float
    last_received: float = -math.inf  # when the member itself last sent a message
    confirmers: frozenset[str] = frozenset()  # members whose own probes of it failed
    suspected_at: float = 0.0
    contested_at: float = -math.inf  # when its address was last pinged because a new process was claimed


class MemberTable:
    """All other members by name, the live ones among them, and the queued messages."""

    def __init__(self, random: Random) -> None:
        self.members: dict[str, Member] = {}
        self.alive: dict[str, Member] = {}  # alive or suspected
        self.outbox: list[OutgoingMessage] = []
        self._random = random
        self._alive_names: list[str] = []  # keys of `alive` in order of arrival, for random choices
        self._sequence = 0

    @property
    def size(self) -> int:
        """Number of members that are alive or suspected, this one included."""
        return len(self.alive) + 1

    def add_alive(self, name: str, member: Member) -> None:
        """Add a member to the live ones."""
        self.alive[name] = member
        self._alive_names.append(name)

    def remove_alive(self, name: str) -> None:
        """Remove a member from the live ones. Raise KeyError if it is not among them."""
        del self.alive[name]
        self._alive_names.remove(name)

    def sample_peers(self, count: int, excluded: Collection[str] = ()) -> list[str]:
        """Return up to `count` live members, chosen uniformly at random, except those excluded."""
        if len(self._alive_names) <= count + len(excluded):
            return [name for name in self._alive_names if name not in excluded]
        chosen = self._random.sample(self._alive_names, count + len(excluded))
        return [name for name in chosen if name not in excluded][:count]

    def send(self, name: str, body: wire.Body) -> None:
        """Queue a message to a member; it is dropped unless the member is alive or suspected."""
        member = self.alive.get(name)
        if member is not None:
            self.outbox.append(OutgoingMessage(member.claim.address, name, body))

    def ping(self, address: Address, name: str) -> None:
        """Queue a Ping outside of any probe, whose Ack only shows that the recipient is reachable."""
        self.outbox.append(OutgoingMessage(address, name, wire.Ping(self.next_sequence())))

    def next_sequence(self) -> int:
        """Return a new sequence number for a Ping."""
        self._sequence += 1
        return self._sequence

    def remove_departed(self, now: float, after_ms: float) -> None:
        """Remove members that have been dead, or have left, for more than `after_ms`."""
        for name, member in list(self.members.items()):
            if member.claim.state in (wire.DEAD, wire.LEFT) and now - member.state_since > after_ms:
                del self.members[name]

    def dead_claims(self) -> list[MemberState]:
        """Return the last claims of the dead members."""
        return [member.claim for member in self.members.values() if member.claim.state == wire.DEAD]

    def page(self, after: str, remaining_bytes: int) -> tuple[list[MemberState], str]:
        """Return the claims after the name `after`, in order of names and within `remaining_bytes`, and the last name.

        The last name is "" at the end.
        """
        claims: list[MemberState] = []
        for name in heapq.nsmallest(MAX_PAGE_CLAIMS + 1, (name for name in self.members if name > after)):
            claim = self.members[name].claim
            remaining_bytes -= wire.size(claim)
            if remaining_bytes < 0 or len(claims) == MAX_PAGE_CLAIMS:
                return claims, claims[-1].name if claims else ""
            claims.append(claim)
        return claims, ""

    def add_known(self, now: float, claims: Iterable[MemberState], own_name: str) -> None:
        """Add members that are not known yet as alive, except the one with `own_name`."""
        for claim in claims:
            if claim.name != own_name and claim.name not in self.members:
                member = Member(claim, now)
                self.members[claim.name] = member
                self.add_alive(claim.name, member)
