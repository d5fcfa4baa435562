"""Membership of the fleet: SWIM (Das et al., 2002) with Lifeguard's refinements (Dadgar et al., 2018).

Owns the table of members, the probes, suspicions and their ends, and what of these is passed on. It must never open a
socket or read a clock: `tick` and the `on_` calls get the time, in ms of the own monotonic clock, and append to `out`
what is to be sent. It never takes an incarnation that its owner did not make, nor a new process of a living member from
hearsay before the member's own address was asked.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass
from functools import lru_cache
from typing import Any, NamedTuple

from frostspindle.fleet import wire
from frostspindle.fleet.gossip_buffer import GossipBuffer
from frostspindle.fleet.incarnation import IncarnationChain, owned
from frostspindle.fleet.wire import ALIVE, DEAD, LEFT, SUSPECT, MemberState, Suspicion

Address = tuple[str, int]
MOST_MEMBERS = 8_192  # tombstones too; past that nobody new is taken
HELPERS = 3  # members asked to probe for us
FANOUT, GOSSIP_MS = 3, 200.0  # who is told news, and how often
RESEND = 4  # times log10 of the fleet, and no less: so often is one piece of news passed on by each
CONFIRMS = 3  # independent suspicions that bring the time to answer one down to its least
LEAST, SPAN = 5.0, 6.0  # least time to refute, in probe intervals times log10 of the fleet; most: SPAN times that
HEALTH_MOST = 8  # Lifeguard's local health: probes become so much slower at most
REJOIN_MS, SYNC_MS, FORGET_MS = 5_000.0, 30_000.0, 600_000.0
REVIVED_MS = 1_000.0  # of many that are back, one is asked for all that it knows in so much time


class OutgoingMessage(NamedTuple):
    """One message to be sent: address, member and body."""

    address: Address
    to: str
    body: wire.Body


@dataclass(slots=True)
class Member:
    """One other member, as this one believes it to be."""

    claim: MemberState
    since: float  # of its state
    heard: float = -math.inf  # a message of its own came
    confirmers: frozenset[str] = frozenset()  # who suspects it
    suspected_at: float = 0.0
    contested: float = -math.inf  # a new process in its name was told of, and its own address asked


@dataclass(slots=True)
class _Probe:
    seq: int
    target: str
    began: float
    direct_until: float
    until: float
    helped: bool = False
    nacks: int = 0
    helpers: int = 0


@dataclass(slots=True)
class _IndirectPing:
    """A probe on behalf of another member."""

    asker: str
    seq: int
    target: str
    until: float


@lru_cache(256)
def resends(size: int) -> int:
    """Return how often each member passes a piece of news on in a fleet of `size`: 10 times for 300, 13 for 1,000."""
    return max(RESEND, math.ceil(RESEND * math.log10(size + 1)))


def rank(claim: MemberState) -> tuple[int, int, int]:
    """Return the sort key of claims on one member: later process, then later incarnation, then graver state."""
    return claim.epoch, claim.incarnation, claim.state


class Membership:
    """One member's view of the fleet: states, probes, suspicions and gossip."""

    def __init__(
        self,
        me: MemberState,
        chain: IncarnationChain,
        seeds: dict[str, Address],
        seed: int,
        now: float,
        probe_ms: float = 1_000.0,
        timeout_ms: float = 300.0,
    ) -> None:
        self.me, self.chain, self.seeds = me, chain, {n: a for n, a in seeds.items() if n != me.name}
        self.random = random.Random(seed)
        self.probe_ms, self.timeout_ms = probe_ms, timeout_ms
        self.members: dict[str, Member] = {}
        self.alive: dict[str, Member] = {}  # those alive or suspected: who is sent to
        self.suspects: dict[str, Member] = {}
        self.health = 0
        self.out: list[OutgoingMessage] = []
        self._names: list[str] = []  # of `alive`, for draws
        self.changes: list[tuple[str, str, str]] = []  # name, state, why: for the log
        self.count: Callable[[str], None] = lambda what: None
        self.more: Collection[Any] = ()  # other news to pass on
        self.false_suspicions = self.deaths = 0
        self.leaving = False
        self.met = False  # who may know much that we do not has been met
        self._met_at = -math.inf
        self._news: GossipBuffer[str, tuple[MemberState | Suspicion, int]] = GossipBuffer()  # with its size in bytes
        self._seq = 0
        self._probe: _Probe | None = None
        self._errands: dict[int, _IndirectPing] = {}
        self._round: list[str] = []
        self._verdict: float | None = math.inf  # see _first_verdict
        self._probe_at = now + self.random.random() * probe_ms
        self._gossip_at = now + self.random.random() * GOSSIP_MS
        self._rejoin_at, self._sync_at = now, now + self.random.random() * SYNC_MS
        self._join_wait = min(250.0, probe_ms)

    # The fleet.

    @property
    def size(self) -> int:
        """Number of members that are alive or suspected, this one included."""
        return len(self.alive) + 1

    def know(self, now: float, claims: Iterable[MemberState]) -> None:
        """Take these as members that are alive already, without gossiping about them."""
        for claim in claims:
            if claim.name != self.me.name and claim.name not in self.members:
                self.members[claim.name] = self.alive[claim.name] = Member(claim, now)
                self._names.append(claim.name)
        # Who knows all needs no early page of it: in a fleet of 3,000 that were four fifths of all bytes for 30 s.
        self._sync_at = now + SYNC_MS * max(1.0, self.size / 100.0) * self.random.random()

    def peers(self, count: int, but: tuple[str, ...] = ()) -> list[str]:
        """Return up to `count` live members, drawn evenly, except those in `but`."""
        if len(self._names) <= count + len(but):
            return [name for name in self._names if name not in but]
        drawn = self.random.sample(self._names, count + len(but))
        return [name for name in drawn if name not in but][:count]

    def address(self, name: str) -> Address | None:
        """Return a member's address; None unless it is alive or suspected."""
        member = self.alive.get(name)
        return member.claim.address if member else None

    def send(self, name: str, body: wire.Body) -> None:
        """Queue a message to a member in `out`; dropped unless it is alive or suspected."""
        if (member := self.alive.get(name)) is not None:
            self.out.append(OutgoingMessage(member.claim.address, name, body))

    # Time.

    def due(self) -> float:
        """Return when `tick` must be called next, at the latest, in ms of the monotonic clock."""
        probe = self._probe
        at = self._probe_at if probe is None else probe.until if probe.helped else probe.direct_until
        verdict = self._verdict
        if verdict is None:
            verdict = self._first_verdict()
        if verdict < at:
            at = verdict
        if self._gossip_at < at and (self._news.keys or self.more):
            at = self._gossip_at
        if self._errands:
            for errand in self._errands.values():
                if errand.until < at:
                    at = errand.until
        if self._rejoin_at < at:
            at = self._rejoin_at
        return at if at < self._sync_at else self._sync_at

    def tick(self, now: float) -> None:
        """Do what is due at `now` (ms of the monotonic clock): time out probes, end suspicions, start the next probe.

        Also ask absent seeds and lost members to rejoin, pull a page of members from one peer, forget members long
        gone, and gossip news. Does nothing once this member is leaving.
        """
        if self.leaving:
            return
        if self._errands or self._probe is not None:
            self._overdue(now)
        for name, member in list(self.suspects.items()) if now >= self._first_verdict() else ():
            if now >= self._verdict_at(member):
                self._apply(now, _as(member.claim, DEAD), "did not answer its suspicion")
                if name not in self.suspects:
                    self.deaths += 1
        if now >= self._probe_at and self._probe is None:
            self._start(now)
        if now >= self._rejoin_at:
            self._rejoin(now)
        if now >= self._sync_at:
            self._sync_at = now + SYNC_MS * max(1.0, self.size / 100.0) * (0.75 + 0.5 * self.random.random())
            for name in self.peers(1):
                self.send(name, wire.MembersRequest(""))
            for name, member in list(self.members.items()):
                if member.claim.state in (DEAD, LEFT) and now - member.since > FORGET_MS:
                    del self.members[name]
        if now >= self._gossip_at:
            self._gossip_at = now + GOSSIP_MS
            if self._news.keys or self.more:
                for name in self.peers(FANOUT):
                    self.send(name, wire.Gossip())

    def _overdue(self, now: float) -> None:
        for seq, errand in list(self._errands.items()):
            if now >= errand.until:
                del self._errands[seq]
                self.send(errand.asker, wire.Nack(errand.seq))
        probe = self._probe
        if probe is None:
            return
        if not probe.helped and now >= probe.direct_until:
            probe.helped = True
            helpers = self.peers(HELPERS, (probe.target,))
            probe.helpers = len(helpers)
            for name in helpers:
                self.send(name, wire.PingRequest(probe.seq, probe.target))
        if probe.helped and now >= probe.until:
            self._probe = None
            # Lifeguard: who hears no word of its helpers either is likely the one in trouble.
            self._feel(1 + max(0, probe.helpers - probe.nacks) if probe.helpers else 1)
            if (member := self.alive.get(probe.target)) is not None and member.heard < probe.began:
                self._apply(now, _as(member.claim, SUSPECT, self.me.name), "no answer to a probe")

    def _feel(self, worse: int) -> None:
        self.health = max(0, min(HEALTH_MOST, self.health + worse))

    def _start(self, now: float) -> None:
        self._probe_at = now + self.probe_ms * (1 + self.health)
        while self._round and self._round[-1] not in self.alive:
            self._round.pop()
        if not self._round:
            self._round = list(self.alive)
            self.random.shuffle(self._round)
        if not self._round:
            return
        target = self._round.pop()
        self._seq += 1
        wait = min(self.timeout_ms * (1 + self.health), self._probe_at - now)
        self._probe = _Probe(self._seq, target, now, now + wait, max(self._probe_at, now + 2.0 * wait))
        self.send(target, wire.Ping(self._seq))

    def _rejoin(self, now: float) -> None:
        """Ask seeds that are not here, and one of those that were lost: partitions end."""
        away = [(name, at) for name, at in self.seeds.items() if name not in self.alive]
        lost = [m.claim for m in self.members.values() if m.claim.state == DEAD]
        if not self.alive:  # joining: some seeds, soon again
            asked = self.random.sample(away, min(FANOUT, len(away)))
            self._join_wait = min(REJOIN_MS, 1.5 * self._join_wait)
            self._rejoin_at = now + self._join_wait * (0.75 + 0.5 * self.random.random())
        else:
            asked = self.random.sample(away, min(1, len(away)))
            if lost:
                claim = self.random.choice(lost)
                asked.append((claim.name, claim.address))
            self._rejoin_at = now + REJOIN_MS * (0.75 + 0.5 * self.random.random())
        for name, address in asked:
            self._seq += 1
            self.out.append(OutgoingMessage(address, name, wire.Ping(self._seq)))

    def _first_verdict(self) -> float:
        """When the first suspicion ends; it is looked for again when a claim has changed, and with it who is here."""
        if self._verdict is None:
            self._verdict = min((self._verdict_at(member) for member in self.suspects.values()), default=math.inf)
        return self._verdict

    def _verdict_at(self, member: Member) -> float:
        """Lifeguard: long at first, shorter with each member that suspects the same by itself."""
        least = LEAST * max(1.0, math.log10(self.size)) * self.probe_ms
        share = math.log(max(1, len(member.confirmers))) / math.log(CONFIRMS + 1)
        return member.suspected_at + least * max(1.0, SPAN - (SPAN - 1.0) * share)

    # News.

    def news(self, to: str, room: int) -> tuple[list[MemberState], list[Suspicion], int]:
        """Return claims and doubts to piggyback on a message to a member within `room` bytes, and the room left.

        A wrong belief of that member itself goes first.
        """
        claims: list[MemberState] = []
        doubts: list[Suspicion] = []
        member = self.members.get(to)
        if member is not None and member.claim.state != ALIVE:
            doubts.append(_doubt(member.claim))
            room -= wire.size(doubts[0])
        if self._news.keys:
            pieces, room = self._news.take(room, 32 - len(doubts), resends(self.size), to)
            for piece in pieces:
                if piece.__class__ is Suspicion:
                    doubts.append(piece)
                else:
                    claims.append(piece)
        return claims, doubts, room

    def page(self, after: str, room: int) -> tuple[list[MemberState], str]:
        """Return claims after the name `after`, in order of names and within `room` bytes, and the last name ("" at the
        end).
        """
        out: list[MemberState] = []
        for name in heapq.nsmallest(33, (name for name in self.members if name > after)):
            claim = self.members[name].claim
            room -= wire.size(claim)
            if room < 0 or len(out) == 32:
                return out, out[-1].name if out else ""
            out.append(claim)
        return out, ""

    # Messages.

    def heard(self, now: float, me: MemberState, source: Address) -> bool:
        """Check the sender of a message: return whether it is who it claims to be.

        A message for which this is False must not be read further.
        """
        known = self.members.get(me.name)
        if known is not None and known.claim == me and me.state == ALIVE and source == me.address:  # most messages
            known.heard = now
            return True
        if me.name == self.me.name or me.state not in (ALIVE, LEFT):
            self.count("fleet_impostor")
            return False
        if source != me.address:
            self.count("fleet_spoofed")
            return False
        if known is not None and known.claim.state in (ALIVE, SUSPECT) and known.claim.epoch < me.epoch:
            if known.claim.address != source and known.claim.state == ALIVE:
                self._contest(now, known)
                return False
        if not self._apply(now, me, "spoke", direct=True):
            return False
        if (member := self.members.get(me.name)) is not None:
            if member.claim.epoch != me.epoch or member.claim.address != source:
                self.count("fleet_spoofed")
                return False
            member.heard = now
        return True

    def told(self, now: float, claim: MemberState, by: str) -> None:
        """Take a claim that another member passes on; one of ourselves that is wrong is refuted."""
        known = self.members.get(claim.name)
        if known is not None and known.claim == claim:  # most are no news
            return
        if claim.name == self.me.name:
            self._refute(now, claim, by)
        else:
            self._apply(now, claim, f"told by {by}")

    def doubted(self, now: float, doubt: Suspicion, by: str) -> None:
        """Take a doubt that another member passes on, as `told`.

        Of an incarnation unknown here it is not believed, as it brings no proof.
        """
        name = doubt.name
        if name == self.me.name:
            self._refute(now, doubt, by)
        elif (known := self.members.get(name)) is not None:
            claim = known.claim
            if doubt.epoch == claim.epoch and doubt.incarnation == claim.incarnation:
                state = doubt.state
                if state > claim.state or state == SUSPECT == claim.state and doubt.by not in known.confirmers:
                    self._apply(now, _as(claim, state, doubt.by), f"told by {by}")  # most are no news
            elif (doubt.epoch, doubt.incarnation) > (claim.epoch, claim.incarnation):
                self.count("fleet_unproven")

    def on_ping(self, now: float, sender: str, ping: wire.Ping) -> None:
        """Answer a probe with an Ack, also to a member that is held for dead: the reply tells it so."""
        if (member := self.members.get(sender)) is not None:  # also one that is held for dead: it has to hear so
            self.out.append(OutgoingMessage(member.claim.address, sender, wire.Ack(ping.seq)))

    def on_ack(self, now: float, sender: str, ack: wire.Ack) -> None:
        """Take an answer to a probe: relay it if we probed for another member.

        End our own probe and improve the local health if it is for that.
        """
        if (errand := self._errands.get(ack.seq)) is not None and errand.target == sender:
            del self._errands[ack.seq]
            self.send(errand.asker, wire.Ack(errand.seq))
        probe = self._probe
        # A helper's Ack stands for the target's; one that no probe waits for changes nothing.
        if probe is not None and probe.seq == ack.seq and (sender == probe.target or probe.helped):
            self._probe = None
            self._feel(-1)

    def on_nack(self, nack: wire.Nack) -> None:
        """Count a helper's word that the target of our probe did not answer it.

        Used to tell whether we ourselves are cut off.
        """
        if self._probe is not None and self._probe.seq == nack.seq:
            self._probe.nacks += 1

    def on_relay(self, now: float, sender: str, relay: wire.PingRequest) -> None:
        """Probe a member for another one, with the usual timeout.

        Ignored with 64 such probes under way or if the target is not alive here.
        """
        if len(self._errands) < 64 and relay.target in self.alive:
            self._seq += 1
            self._errands[self._seq] = _IndirectPing(sender, relay.seq, relay.target, now + self.timeout_ms)
            self.send(relay.target, wire.Ping(self._seq))

    def leave(self, now: float) -> None:
        """Announce the own departure to a few members, which gossip it; no more probes from then on."""
        self.leaving = True
        self.me = _as(self.me, LEFT)
        for name in self.peers(3 * FANOUT):
            self.send(name, wire.Gossip())

    # Beliefs.

    def _refute(self, now: float, claim: MemberState | Suspicion, by: str) -> None:
        """Somebody believes that we are not well, or says what we never said."""
        if claim.epoch > self.me.epoch or (claim.epoch == self.me.epoch and claim.incarnation > self.me.incarnation):
            self.count("fleet_forged")  # nobody but us can have proof of such a one: others drop it too
            self.changes.append((self.me.name, "forged", f"by {by}"))
            return
        if (
            claim.epoch == self.me.epoch
            and claim.incarnation == self.me.incarnation
            and claim.state != ALIVE
            and not self.leaving
        ):
            self._feel(1)
            try:
                proof = self.chain.proof(self.me.incarnation + 1)
            except ValueError:
                self.count("fleet_chain_used_up")
                return
            self.me = MemberState(
                self.me.name, self.me.host, self.me.port, ALIVE, self.me.epoch, self.me.incarnation + 1, proof
            )
            self._tell(self.me)

    def _tell(self, claim: MemberState) -> None:
        piece = claim if claim.state == ALIVE else _doubt(claim)
        self._news.put(claim.name, (piece, wire.size(piece)))

    def _contest(self, now: float, known: Member) -> None:
        """A new process in a living member's name: its own address decides, or its suspicion."""
        if now - known.contested > self.probe_ms:
            known.contested = now
            self.count("fleet_contested")
            self._seq += 1
            self.out.append(OutgoingMessage(known.claim.address, known.claim.name, wire.Ping(self._seq)))

    def _apply(self, now: float, claim: MemberState, why: str, direct: bool = False) -> bool:
        """Take a claim if it is newer and its owner made its incarnation; False: it is not to be believed."""
        known = self.members.get(claim.name)
        if known is None:
            if claim.state in (DEAD, LEFT):
                return True  # who was never known need not be remembered
            if len(self.members) >= MOST_MEMBERS:
                self.count("fleet_full")
                return False
            self.members[claim.name] = member = Member(claim, now, confirmers=frozenset({claim.by}), suspected_at=now)
            self._place(now, member, claim, why)
            return True
        old = known.claim
        if claim.epoch == old.epoch:
            if claim.incarnation > old.incarnation:
                if claim.address != old.address or not owned(
                    old.incarnation, old.proof, claim.incarnation, claim.proof
                ):
                    self.count("fleet_forged")
                    return False
            elif claim.incarnation == old.incarnation and claim.proof != old.proof:
                self.count("fleet_forged")
                return False
        elif claim.epoch > old.epoch and not direct and old.state in (ALIVE, SUSPECT):
            self._contest(now, known)
            return True
        if claim.state == SUSPECT and rank(claim) == rank(old) and claim.by not in known.confirmers:
            if claim.by and len(known.confirmers) <= CONFIRMS:
                known.confirmers |= {claim.by}
                self._verdict = None
                self._tell(claim)  # Lifeguard: an independent suspicion is passed on anew
        if rank(claim) <= rank(old):
            return True
        self._place(now, known, claim, why)
        return True

    def _place(self, now: float, member: Member, claim: MemberState, why: str) -> None:
        name, before = claim.name, member.claim
        if claim.state == SUSPECT and before.state != SUSPECT:
            member.suspected_at, member.confirmers = now, frozenset({claim.by})
        elif claim.state == ALIVE:
            if before.state == SUSPECT and before.epoch == claim.epoch:
                self.false_suspicions += 1
            member.confirmers = frozenset()
        if claim.state != before.state or claim.epoch != before.epoch or name not in self.alive:
            member.since = now
            self.changes.append((name, wire.STATES[claim.state], why))
        revived = claim.state == ALIVE and before.state in (DEAD, LEFT)
        member.claim = claim
        self._verdict = None
        here = claim.state in (ALIVE, SUSPECT)
        if here != (name in self.alive):
            if here:
                self.alive[name] = member
                self._names.append(name)
                self._round.insert(self.random.randrange(len(self._round) + 1), name)
            else:
                del self.alive[name]
                self._names.remove(name)
        if claim.state == SUSPECT:
            self.suspects[name] = member
        else:
            self.suspects.pop(name, None)
        self._tell(claim)
        if len(self.alive) == 1 and here or revived and now - self._met_at > REVIVED_MS:
            self._met_at = now  # we join, or a partition ends: hear all that it knows
            self.met = True
            self.send(name, wire.MembersRequest(""))


def _as(claim: MemberState, state: int, by: str = "") -> MemberState:
    return MemberState(claim.name, claim.host, claim.port, state, claim.epoch, claim.incarnation, claim.proof, by)


def _doubt(claim: MemberState) -> Suspicion:
    return Suspicion(claim.name, claim.state, claim.epoch, claim.incarnation, claim.by)
