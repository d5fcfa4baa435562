"""Membership of the fleet: SWIM (Das et al., 2002) with the Lifeguard extensions (Dadgar et al., 2018).

Decides which claims about members are accepted, refutes wrong claims about this member, and gossips updates. No I/O and
no clock: `tick` and the `on_` methods are passed the time, in ms of the local monotonic clock, and append messages to
`outbox`. An incarnation is accepted only with its owner's proof. A new process of a live member that is reported by
others is accepted only once the member's known address has stopped answering or has confirmed it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from frostspindle.fleet import wire
from frostspindle.fleet.claims import is_proven, is_takeover, precedence, with_state
from frostspindle.fleet.failure_detector import FailureDetector
from frostspindle.fleet.incarnation import ChainExhaustedError, IncarnationChain
from frostspindle.fleet.member_table import Address, Member, MemberTable, OutgoingMessage
from frostspindle.fleet.member_updates import MemberUpdates, Piggyback
from frostspindle.fleet.suspicion import MAX_CONFIRMATIONS, SuspicionTimers
from frostspindle.fleet.wire import ALIVE, DEAD, LEFT, SUSPECT, MemberState, Suspicion

MAX_MEMBERS = 8_192  # including dead and departed ones; further members are rejected
GOSSIP_FANOUT = 3  # members that receive updates per gossip interval
GOSSIP_INTERVAL_MS = 200.0
REJOIN_INTERVAL_MS = 5_000.0
FIRST_JOIN_DELAY_MS = 250.0
SYNC_INTERVAL_MS = 30_000.0
FORGET_AFTER_MS = 600_000.0  # time after which members that are dead or have left are removed
REVIVAL_SYNC_MS = 1_000.0  # at most one revived member is asked for its member list in this time


class StateChange(NamedTuple):
    """A member's new state, for the log and the watchers."""

    member: str
    state: str  # one of wire.STATES, or "forged"
    reason: str


class Membership:
    """One member's view of the fleet: member states, suspicions and gossip."""

    def __init__(
        self,
        me: MemberState,
        chain: IncarnationChain,
        seeds: dict[str, Address],
        seed: int,
        now: float,
        probe_interval_ms: float = 1_000.0,
        probe_timeout_ms: float = 300.0,
    ) -> None:
        self.me = me
        self.chain = chain
        self.seeds = {name: address for name, address in seeds.items() if name != me.name}
        self.random = random.Random(seed)
        self.leaving = False
        # Members, and messages to them.
        self._table = MemberTable(self.random)
        self.members: dict[str, Member] = self._table.members
        self.alive: dict[str, Member] = self._table.alive
        self.outbox: list[OutgoingMessage] = self._table.outbox
        self.detector = FailureDetector(
            self._table, self.random, now, probe_interval_ms, probe_timeout_ms, self._suspect
        )
        self._suspicion = SuspicionTimers(probe_interval_ms)
        # Read and set by the owner.
        self.changes: list[StateChange] = []
        self.count: Callable[[str], None] = lambda counter: None
        self.other_updates: Collection[object] = ()  # updates of other components waiting for gossip
        self.false_suspicions = 0
        self.deaths = 0
        self.rejoined = False  # a member with possibly many unknown updates was found; reset by the owner
        # Gossip.
        self._updates = MemberUpdates(self._table)
        self._gossip_at = now + self.random.random() * GOSSIP_INTERVAL_MS
        # Joining and synchronization.
        self._rejoin_at = now
        self._join_delay_ms = min(FIRST_JOIN_DELAY_MS, probe_interval_ms)
        self._sync_at = now + self.random.random() * SYNC_INTERVAL_MS
        self._rejoined_at = -math.inf

    # Members.

    @property
    def size(self) -> int:
        """Number of members that are alive or suspected, this one included."""
        return len(self.alive) + 1

    def take_outbox(self) -> list[OutgoingMessage]:
        """Return the queued messages and clear the outbox."""
        messages = list(self.outbox)
        self.outbox.clear()
        return messages

    def add_known(self, now: float, claims: Iterable[MemberState]) -> None:
        """Add members that are known to be alive, without gossiping about them."""
        self._table.add_known(now, claims, self.me.name)
        # A member that knows all others needs no early sync, which in a fleet of 3,000 was 4/5 of all bytes for 30 s.
        self._sync_at = now + self._sync_interval_ms() * self.random.random()

    def piggyback(self, recipient: str, max_bytes: int) -> Piggyback:
        """Return the updates to piggyback on a message to a member, within `max_bytes`; see `member_updates`."""
        return self._updates.piggyback(recipient, max_bytes)

    def page(self, after: str, max_bytes: int) -> tuple[list[MemberState], str]:
        """Return the page of known members after a name; see `MemberTable.page`."""
        return self._table.page(after, max_bytes)

    def sample_peers(self, count: int) -> list[str]:
        """Return up to `count` live members, chosen uniformly at random."""
        return self._table.sample_peers(count)

    def send(self, name: str, body: wire.Body) -> None:
        """Queue a message to a member; it is dropped unless the member is alive or suspected."""
        self._table.send(name, body)

    # Schedule.

    def due(self) -> float:
        """Return the latest time for the next call of `tick`, in ms of the monotonic clock."""
        due = min(self.detector.due(), self._suspicion.first_deadline(self.size), self._rejoin_at, self._sync_at)
        if self._gossip_at < due and self._has_updates():
            return self._gossip_at
        return due

    def _has_updates(self) -> bool:
        return bool(self._updates.pending or self.other_updates)

    def tick(self, now: float) -> None:
        """Run all work that is due at `now` (ms): time out probes, expire suspicions, start the next probe.

        Also ping absent seeds and dead members to rejoin them, pull a page of members from one peer, remove members
        that departed long ago, and gossip updates. Do nothing once this member is leaving.
        """
        if self.leaving:
            return
        self.detector.expire(now)
        if now >= self._suspicion.first_deadline(self.size):
            self._expire_suspicions(now)
        self.detector.start_probe(now)
        if now >= self._rejoin_at:
            self._rejoin(now)
        if now >= self._sync_at:
            self._sync(now)
        if now >= self._gossip_at:
            self._gossip(now)

    def _expire_suspicions(self, now: float) -> None:
        for name, member in list(self._suspicion.suspects.items()):
            if now < self._suspicion.deadline(member, self.size):
                continue
            self._apply(now, with_state(member.claim, DEAD), "suspicion timed out")
            if name not in self._suspicion.suspects:
                self.deaths += 1

    def _suspect(self, now: float, member: Member) -> None:
        self._apply(now, with_state(member.claim, SUSPECT, self.me.name), "probe timed out")

    def _sync_interval_ms(self) -> float:
        return SYNC_INTERVAL_MS * max(1.0, self.size / 100.0)

    def _sync(self, now: float) -> None:
        """Pull the member list of one peer, and remove members that departed long ago."""
        self._sync_at = now + self._sync_interval_ms() * self._jitter()
        for name in self.sample_peers(1):
            self.send(name, wire.MembersRequest(""))
        self._table.remove_departed(now, FORGET_AFTER_MS)

    def _gossip(self, now: float) -> None:
        self._gossip_at = now + GOSSIP_INTERVAL_MS
        if self._has_updates():
            for name in self.sample_peers(GOSSIP_FANOUT):
                self.send(name, wire.Gossip())

    def _jitter(self) -> float:
        return 0.75 + 0.5 * self.random.random()

    def _rejoin(self, now: float) -> None:
        """Ping an absent seed and a dead member, as a partition may have healed; several seeds while joining."""
        absent = [(name, address) for name, address in self.seeds.items() if name not in self.alive]
        if not self.alive:  # joining: ping several seeds, with short delays
            chosen = self.random.sample(absent, min(GOSSIP_FANOUT, len(absent)))
            self._join_delay_ms = min(REJOIN_INTERVAL_MS, 1.5 * self._join_delay_ms)
            self._rejoin_at = now + self._join_delay_ms * self._jitter()
        else:
            chosen = self.random.sample(absent, min(1, len(absent)))
            lost = self._table.dead_claims()
            if lost:
                claim = self.random.choice(lost)
                chosen.append((claim.name, claim.address))
            self._rejoin_at = now + REJOIN_INTERVAL_MS * self._jitter()
        for name, address in chosen:
            self._table.ping(address, name)

    # Received messages.

    def verify_sender(self, now: float, sender: MemberState, source: Address) -> bool:
        """Return whether the sender of a message is the member that it claims to be.

        A message for which this returns False must be ignored.
        """
        known = self.members.get(sender.name)
        if known is not None and known.claim == sender and sender.state == ALIVE and source == sender.address:
            known.last_received = now  # fast path of most messages
            return True
        if sender.name == self.me.name or sender.state not in (ALIVE, LEFT):
            self.count("fleet_impostor")
            return False
        if source != sender.address:
            self.count("fleet_spoofed")
            return False
        if known is not None and is_takeover(known.claim, sender):
            self._contest(now, known)
            return False
        if not self._apply(now, sender, "message received", direct=True):
            return False
        member = self.members.get(sender.name)
        if member is None:  # it is leaving and was unknown
            return True
        if member.claim.epoch != sender.epoch or member.claim.address != source:
            self.count("fleet_spoofed")
            return False
        member.last_received = now
        return True

    def on_claim(self, now: float, claim: MemberState, sender: str) -> None:
        """Handle a claim forwarded by another member; refute a wrong claim about this member."""
        known = self.members.get(claim.name)
        if known is not None and known.claim == claim:  # the usual case
            return
        if claim.name == self.me.name:
            self._refute(now, claim, sender)
        else:
            self._apply(now, claim, f"reported by {sender}")

    def on_suspicion(self, now: float, suspicion: Suspicion, sender: str) -> None:
        """Handle a suspicion forwarded by another member.

        A suspicion of an unknown incarnation is not accepted, as it carries no proof.
        """
        if suspicion.name == self.me.name:
            self._refute(now, suspicion, sender)
            return
        known = self.members.get(suspicion.name)
        if known is None:
            return
        claim = known.claim
        if suspicion.epoch == claim.epoch and suspicion.incarnation == claim.incarnation:
            confirms = suspicion.state == SUSPECT == claim.state and suspicion.suspected_by not in known.confirmers
            if suspicion.state > claim.state or confirms:  # usually neither
                self._apply(now, with_state(claim, suspicion.state, suspicion.suspected_by), f"reported by {sender}")
        elif (suspicion.epoch, suspicion.incarnation) > (claim.epoch, claim.incarnation):
            self.count("fleet_unproven")

    def on_ping(self, sender: str, ping: wire.Ping) -> None:
        """Answer a probe with an Ack, also to a member that is considered dead: the piggyback lets it refute that."""
        member = self.members.get(sender)
        if member is not None:
            self.outbox.append(OutgoingMessage(member.claim.address, sender, wire.Ack(ping.sequence)))

    def leave(self) -> None:
        """Announce this member's departure to a few members, which gossip it, and stop probing."""
        self.leaving = True
        self.me = with_state(self.me, LEFT)
        for name in self.sample_peers(3 * GOSSIP_FANOUT):
            self.send(name, wire.Gossip())

    # Claims.

    def _refute(self, now: float, claim: MemberState | Suspicion, sender: str) -> None:
        """Refute a claim that this member is not alive with its next incarnation; count a forged claim."""
        current = (self.me.epoch, self.me.incarnation)
        claimed = (claim.epoch, claim.incarnation)
        if claimed > current:
            self.count("fleet_forged")  # only this process can prove a later incarnation: others drop the claim too
            self.changes.append(StateChange(self.me.name, "forged", f"by {sender}"))
            return
        if claimed < current or claim.state == ALIVE or self.leaving:
            return
        self.detector.degrade(1)
        incarnation = self.me.incarnation + 1
        try:
            proof = self.chain.proof(incarnation)
        except ChainExhaustedError:
            self.count("fleet_chain_used_up")
            return
        self.me = MemberState(self.me.name, self.me.host, self.me.port, ALIVE, self.me.epoch, incarnation, proof)
        self._updates.put(self.me)

    def _contest(self, now: float, known: Member) -> None:
        """Ping the known address of a live member whose name a new process claims.

        The member is kept if it answers; else it is suspected, and the new process is accepted once it is dead.
        """
        if now - known.contested_at > self.detector.interval_ms:
            known.contested_at = now
            self.count("fleet_contested")
            self._table.ping(known.claim.address, known.claim.name)

    def _apply(self, now: float, claim: MemberState, reason: str, direct: bool = False) -> bool:
        """Accept a claim if it is newer; return False if it is forged or there is no room for the member.

        `direct`: the subject itself sent the claim, from the address in it.
        """
        known = self.members.get(claim.name)
        if known is None:
            return self._add(now, claim, reason)
        old = known.claim
        if claim.epoch == old.epoch:
            if not is_proven(old, claim):
                self.count("fleet_forged")
                return False
        elif claim.epoch > old.epoch and not direct and old.state in (ALIVE, SUSPECT):
            self._contest(now, known)
            return True
        if claim.state == SUSPECT and precedence(claim) == precedence(old):
            self._confirm_suspicion(known, claim)
        if precedence(claim) > precedence(old):
            self._set_claim(now, known, claim, reason)
        return True

    def _add(self, now: float, claim: MemberState, reason: str) -> bool:
        """Add an unknown member; return False if there is no room."""
        if claim.state in (DEAD, LEFT):
            return True  # not worth an entry
        if len(self.members) >= MAX_MEMBERS:
            self.count("fleet_full")
            return False
        member = Member(claim, now, confirmers=frozenset({claim.suspected_by}), suspected_at=now)
        self.members[claim.name] = member
        self._set_claim(now, member, claim, reason)
        return True

    def _confirm_suspicion(self, known: Member, claim: MemberState) -> None:
        """Record an independent suspicion, which shortens the timeout and is gossiped again (Lifeguard)."""
        suspected_by = claim.suspected_by
        if suspected_by and suspected_by not in known.confirmers and len(known.confirmers) <= MAX_CONFIRMATIONS:
            known.confirmers |= {suspected_by}
            self._suspicion.invalidate()
            self._updates.put(claim)

    def _set_claim(self, now: float, member: Member, claim: MemberState, reason: str) -> None:
        """Store an accepted claim and apply the effects of the state change."""
        name = claim.name
        previous = member.claim
        if claim.state == SUSPECT and previous.state != SUSPECT:
            member.suspected_at = now
            member.confirmers = frozenset({claim.suspected_by})
        elif claim.state == ALIVE:
            if previous.state == SUSPECT and previous.epoch == claim.epoch:
                self.false_suspicions += 1
            member.confirmers = frozenset()
        if claim.state != previous.state or claim.epoch != previous.epoch or name not in self.alive:
            member.state_since = now
            self.changes.append(StateChange(name, wire.STATES[claim.state], reason))
        member.claim = claim
        self._suspicion.invalidate()
        self._update_liveness(name, member)
        self._updates.put(claim)
        revived = claim.state == ALIVE and previous.state in (DEAD, LEFT)
        is_first = len(self.alive) == 1 and claim.state in (ALIVE, SUSPECT)
        if is_first or (revived and now - self._rejoined_at > REVIVAL_SYNC_MS):
            self._request_members(now, name)

    def _update_liveness(self, name: str, member: Member) -> None:
        """Add a member to, or remove it from, the live and the suspected members, according to its claim."""
        state = member.claim.state
        is_alive = state in (ALIVE, SUSPECT)
        if is_alive and name not in self.alive:
            self._table.add_alive(name, member)
            self.detector.add_target(name)
        elif not is_alive and name in self.alive:
            self._table.remove_alive(name)
        if state == SUSPECT:
            self._suspicion.suspects[name] = member
        else:
            self._suspicion.suspects.pop(name, None)

    def _request_members(self, now: float, name: str) -> None:
        """Request a member's whole member list, when joining or after a partition."""
        self._rejoined_at = now
        self.rejoined = True
        self.send(name, wire.MembersRequest(""))
