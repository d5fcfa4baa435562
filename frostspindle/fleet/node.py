"""One coordinator in the fleet: membership, budgets, counts and judgements, tied together without I/O.

Owns which part hears which message, what each message carries besides, and when the parts are due. It must never open a
socket or read a clock: datagrams, the own monotonic time in ms and Unix time for the windows come in; datagrams, log
lines and answers go out. A message whose sender is not proven reaches no part.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import Any, NamedTuple

from frostspindle.division import split_evenly
from frostspindle.fleet import quota_flow, wire
from frostspindle.fleet.counters import FleetCounters, interval
from frostspindle.fleet.engine_verdicts import TELL_MS, EngineVerdicts
from frostspindle.fleet.incarnation import LENGTH, IncarnationChain
from frostspindle.fleet.membership import Address, Membership
from frostspindle.fleet.quota_escrow import QuotaAccount
from frostspindle.fleet.wire import MemberState, Packet

ENVELOPE = 180  # bytes kept free of piggyback for the sender's claim and the frame
ROOM = wire.MOST_BYTES - ENVELOPE  # for piggyback
KEPT = ROOM // 2  # of that, for counts that wait: when all are suspected at once, they still travel
MOST_BUDGETS = 32
COUNT_WINDOW_MS = 10_000.0
ROWS_MS, ROWS = 1_000.0, 0.25  # counts are compared with one other member so often, or in a part of the time of writing
ALONE = frozenset(
    {wire.VerdictDigest, wire.MembersRequest, wire.CountersRequest, wire.CountersPage, wire.ApplicationMessage}
)  # nothing is put into these besides
MOST_COMPARES = 64  # messages of one comparison: as many as a table that holds nothing needs in a fleet of a thousand


def rows_interval(size: int) -> float:
    """Return how often, in ms, a member compares its counts with another's; the bytes grow with log2 of the fleet."""
    return max(ROWS_MS, ROWS * interval(size))


@dataclass(slots=True, frozen=True)
class Budget:
    """A budget of so many units in any window, for the whole fleet."""

    name: str
    units: int
    window_ms: float


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """Settings that all coordinators of a fleet must have alike, and a few times of this one's own."""

    seeds: dict[str, Address]  # also the homes of all budgets, in the order of names
    budgets: tuple[Budget, ...] = ()
    lease_ms: float = 5_000.0
    drift: float = 0.055  # a clock may be so much faster or slower than real time
    probe_ms: float = 1_000.0
    timeout_ms: float = 300.0
    judges: int = 3
    verdict_ms: float = 10_000.0
    chain: int = LENGTH


class Datagram(NamedTuple):
    """One UDP datagram to send: destination and encoded packet."""

    address: Address
    data: bytes


@dataclass(slots=True)
class _BudgetState:
    budget: Budget
    number: int
    digest: int
    rights: QuotaAccount
    demand: quota_flow.Demand | quota_flow.StatedDemand
    lenders: quota_flow.LenderSelector
    flow_at: float
    asks: dict[str, tuple[int, float]] = field(default_factory=dict)  # by lender: the last Ask, unanswered yet


class FleetNode:
    """One process's fleet logic without I/O: datagrams and times in, datagrams out."""

    def __init__(
        self, name: str, address: Address, epoch: int, secret: bytes, terms: FleetSettings, now: float
    ) -> None:
        chain = IncarnationChain(secret, terms.chain)
        seed = int.from_bytes(blake2b(secret, digest_size=8, person=b"draws").digest())
        me = MemberState(name, address[0], address[1], wire.ALIVE, epoch, 0, chain.proof(0))
        self.terms, self.name, self.epoch = terms, name, epoch
        self.random = Random(seed)
        self.members = Membership(me, chain, terms.seeds, seed + 1, now, terms.probe_ms, terms.timeout_ms)
        self.counts = FleetCounters(name, epoch, now)
        self.verdicts = EngineVerdicts(terms.judges, terms.verdict_ms)
        self.counted: Counter[str] = Counter()
        self.members.count = self.counts.count = self._count
        self.note: Callable[..., None] = lambda event, **fields: None  # a log line
        self.channels: dict[int, Callable[[float, str, int, bytes], None]] = {}  # now, sender, its epoch, the message
        self.watchers: list[Callable[[float, str, str], None]] = []  # now, member, its state: one of wire.STATES
        self.homes = sorted(terms.seeds)
        self.budgets: dict[str, _BudgetState] = {}
        for number, budget in enumerate(terms.budgets, 1):
            rights = self._rights(budget, terms.lease_ms, now)
            self.budgets[budget.name] = _BudgetState(
                budget,
                number,
                self._digest(budget, terms.lease_ms),
                rights,
                quota_flow.Demand(budget.window_ms, rights.rest_ms),
                quota_flow.LenderSelector(seed + 2),
                now + self.random.random() * quota_flow.ASK_MS,
            )
        self.asked_for: Callable[[float, str], bool] = lambda now, name: False  # to open it, or whether it is in use
        self._closed_series = 0  # the highest of all budgets that were closed
        self.members.more = self.counts.pending
        self._seq = 0
        self._rows_at = now + self.random.random() * ROWS_MS
        self._compares = 0  # messages left of this comparison
        self._tell_at = now + self.random.random() * TELL_MS
        self._told: list[str] = []
        self._bytes_out = self._bytes_in = 0
        self._on: dict[type, Callable[[float, MemberState, Any], None]] = {
            wire.Ping: lambda now, me, b: self.members.on_ping(now, me.name, b),
            wire.Ack: lambda now, me, b: self.members.on_ack(now, me.name, b),
            wire.PingRequest: lambda now, me, b: self.members.on_relay(now, me.name, b),
            wire.Nack: lambda now, me, b: self.members.on_nack(b),
            wire.MembersRequest: self._on_pull,
            wire.MembersPage: self._on_page,
            wire.CountersRequest: self._on_compare,
            wire.CountersPage: self._on_rows,
            wire.Gossip: lambda now, me, b: None,
            wire.VerdictDigest: lambda now, me, b: self.verdicts.hear(now, me.name, b.verdicts),
            wire.QuotaRequest: self._on_ask,
            wire.QuotaGrant: self._on_grant,
            wire.QuotaReturn: self._on_back,
            wire.ApplicationMessage: self._on_parcel,
        }

    def _count(self, what: str) -> None:
        self.counted[what] += 1

    # What comes in.

    def receive(self, now: float, source: Address, data: bytes) -> list[Datagram]:
        """Process one datagram; return those to send.

        One that is malformed, misdelivered or of an unproven sender is counted and has no effect.
        """
        self._bytes_in += len(data)
        try:
            packet = wire.decode(data)
        except wire.InvalidPacketError:
            self._count("fleet_undecodable")
            return []
        if packet.to not in ("", self.name):
            self._count("fleet_misdelivered")
            return []
        members, me = self.members, packet.me
        if members.heard(now, me, source):
            for claim in packet.news:
                members.told(now, claim, me.name)
            for doubt in packet.doubts:
                members.doubted(now, doubt, me.name)
            for row in packet.rows:
                self.counts.merge(now, row)
            self._on[packet.body.__class__](now, me, packet.body)
            if members.met:
                members.met, self._rows_at = False, now
        return self._flush(now) if members.out or members.changes else []

    def tick(self, now: float, unix_ms: float) -> list[Datagram]:
        """Do what is due (times in ms, monotonic and Unix); return the datagrams to send."""
        self.counts.turn(int(unix_ms / COUNT_WINDOW_MS))
        self.members.tick(now)
        self.counts.publish(now, self.members.size)
        for state in self.budgets.values():
            if now >= state.flow_at:
                state.flow_at = now + quota_flow.ASK_MS
                self._flow(now, state)
        if now >= self._rows_at:  # what news missed
            self._rows_at = now + rows_interval(self.members.size) * (0.75 + 0.5 * self.random.random())
            self._compares = MOST_COMPARES
            for name in self.members.peers(1):
                self._compare(name, 0)
        if now >= self._tell_at:
            self._tell_at = now + TELL_MS
            self._tell(now)
        return self._flush(now)

    def due(self) -> float:
        """Return when `tick` must be called next, in ms of the monotonic clock: the earliest time of all parts."""
        at, write = self.members.due(), self.counts.due(self.members.size)
        if write < at:
            at = write
        if self._rows_at < at:
            at = self._rows_at
        for state in self.budgets.values():
            if state.flow_at < at:
                at = state.flow_at
        return at if at < self._tell_at else self._tell_at

    # What the coordinator calls.

    def spend(self, now: float, unix_ms: float, budget: str, units: int = 1) -> bool:
        """Use units of a budget; return whether this coordinator holds so many rights that have rested.

        KeyError for an unknown budget.
        """
        state = self.budgets[budget]
        state.demand.add(now, units)
        if not state.rights.spend(now, units):
            return False
        window = int(unix_ms / COUNT_WINDOW_MS)
        self.counts.add(f"spent:{budget}", units, stream=state.number)
        self.counts.add(f"spent:{budget}", units, window=window, stream=state.number)
        return True

    def judge(self, now: float, standing: dict[tuple[str, int], tuple[float, ...]]) -> None:
        """Set this coordinator's judgements that hold now, by engine and kind, with their evidence.

        A change is told at once.
        """
        if self.verdicts.judge(now, standing, self.members.alive):
            self._tell_at = now

    def post(self, now: float, name: str, channel: int, data: bytes) -> list[Datagram]:
        """Return the datagrams with another part's message to a member: not repeated if lost, and none to a member that
        is not alive.
        """
        self.members.send(name, wire.ApplicationMessage(channel, data))
        return self._flush(now)

    def leave(self, now: float) -> list[Datagram]:
        """Return what is borrowed and announce the departure; the node must not be used afterwards."""
        for state in self.budgets.values():
            for lender in list(state.rights.borrowed):
                state.rights.owe(now, lender, 2**53)
                self._give_back(now, state, lender)
        self.members.leave(now)
        return self._flush(now)

    # Budgets.

    def _rights(self, budget: Budget, lease_ms: float, born: float, series: int = 0) -> QuotaAccount:
        shares = dict(zip(self.homes, split_evenly(budget.units, len(self.homes)), strict=True))
        return QuotaAccount(shares.get(self.name, 0), budget.window_ms, lease_ms, self.terms.drift, born, series)

    def _digest(self, budget: Budget, lease_ms: float) -> int:
        return int.from_bytes(
            blake2b(repr((budget, self.homes, lease_ms, self.terms.drift)).encode(), digest_size=6).digest()
        )

    def open(
        self, now: float, budget: Budget, lease_ms: float, born: float
    ) -> tuple[QuotaAccount, quota_flow.StatedDemand]:
        """Add a budget that is in no settings; it is divided as at all others that open it with the same terms.

        `born`: from when the own part rests, as a predecessor may have lent or used it; -inf: none can have.
        """
        rights = self._rights(budget, lease_ms, born, self._closed_series)
        wish = quota_flow.StatedDemand()
        self.budgets[budget.name] = _BudgetState(
            budget,
            0,
            self._digest(budget, lease_ms),
            rights,
            wish,
            quota_flow.LenderSelector(self.random.getrandbits(32)),
            now + self.random.random() * quota_flow.ASK_MS,
        )
        return rights, wish

    def shut(self, now: float, name: str) -> bool:
        """Forget an opened budget; return False, and keep it, while anything is lent, borrowed or resting."""
        rights = self.budgets[name].rights
        rights.tick(now)
        if not rights.idle:
            return False
        self._closed_series = max(self._closed_series, rights.series)
        del self.budgets[name]
        return True

    def _flow(self, now: float, state: _BudgetState) -> None:
        rights, need = state.rights, state.demand.need(now, not state.lenders.scarce)
        rights.tick(now)
        for lender, units in quota_flow.excess(rights, need):
            rights.owe(now, lender, units)
            self._give_back(now, state, lender)
        for lender, (_, at) in list(state.asks.items()):
            if now - at > 4.0 * quota_flow.ASK_MS:  # no answer: whoever it is may be gone
                del state.asks[lender]
                state.lenders.silent(now, lender)
        missing = need - rights.held
        for lender in quota_flow.renewals(rights, now):
            if lender in self.members.alive and lender not in state.asks and need:
                self._ask(now, state, lender, max(0, missing))
                missing = min(missing, 0)
        if missing > 0:
            chosen = state.lenders.choose(now, self.homes, self.members.alive, state.asks)
            for place, lender in enumerate(chosen):
                self._ask(now, state, lender, -(-missing // (len(chosen) - place)))
                missing -= -(-missing // (len(chosen) - place))

    def _ask(self, now: float, state: _BudgetState, lender: str, more: int) -> None:
        member = self.members.alive[lender]
        self._seq += 1
        of, series, returned, closed = state.rights.asking(now, lender, member.claim.epoch, self._seq)
        loan = state.rights.borrowed.get(lender)
        state.asks[lender] = (self._seq, now)
        self.members.send(
            lender,
            wire.QuotaRequest(
                state.budget.name,
                state.digest,
                self._seq,
                of,
                series,
                returned,
                closed,
                (loan.held if loan else 0) + more,
            ),
        )

    def _on_ask(self, now: float, me: MemberState, ask: wire.QuotaRequest) -> None:
        state = self._same_terms(now, me, ask)
        if state is None or not state.rights.own:
            return
        rights, need = state.rights, state.demand.need(now, False)  # others lack what would lie idle
        loan = rights.on_ask(
            now, me.name, me.epoch, ask.lender == self.epoch, ask.series, ask.returned, ask.closed, ask.want
        )
        if not isinstance(wish := state.demand, quota_flow.StatedDemand):
            give, keep = quota_flow.offer(rights, need, loan, me.name)
        else:
            give, keep = quota_flow.in_turn(
                rights, need, loan, me.name, self.name, wish.turn, wish.least * rights.own // state.budget.units
            )
        rights.lend(loan, give)
        self.members.send(
            me.name,
            wire.QuotaGrant(
                state.budget.name, state.digest, ask.seq, loan.series, loan.given, keep, quota_flow.spare(rights, need)
            ),
        )

    def _on_grant(self, now: float, me: MemberState, grant: wire.QuotaGrant) -> None:
        if (state := self._same_terms(now, me, grant)) is None:
            return
        before = state.rights.held
        if not state.rights.on_grant(now, me.name, me.epoch, grant.seq, grant.series, grant.given, grant.keep):
            self._count("fleet_grants_late")
        elif (ask := state.asks.get(me.name)) is not None and ask[0] == grant.seq:
            del state.asks[me.name]
            state.lenders.answered(now, me.name, state.rights.held - before, grant.spare)

    def _on_back(self, now: float, me: MemberState, back: wire.QuotaReturn) -> None:
        state = self.budgets.get(back.budget)
        if state is not None and back.lender == self.epoch:
            state.rights.on_back(now, me.name, me.epoch, back.series, back.returned)

    def _give_back(self, now: float, state: _BudgetState, lender: str) -> None:
        if (word := state.rights.give_back(now, lender)) is not None:
            self.members.send(lender, wire.QuotaReturn(state.budget.name, *word))

    def _same_terms(
        self, now: float, me: MemberState, body: wire.QuotaRequest | wire.QuotaGrant
    ) -> _BudgetState | None:
        """Rights move only among coordinators that divide the same budget in the same way."""
        state = self.budgets.get(body.budget)
        if state is None or not state.number:  # in nobody's settings
            if not self.asked_for(now, body.budget):
                self._count("fleet_not_open")
                return None
            state = self.budgets.get(body.budget)
        if state is None or state.digest != body.terms:
            self._count("fleet_other_terms")
            self.note("fleet_other_terms", budget=body.budget, peer=me.name)
            return None
        return state

    # Judgements.

    def _tell(self, now: float) -> None:
        """The own word goes to some members at a time, from its maker only."""
        if not self.verdicts.speaks:
            return
        self._told = [name for name in self._told if name in self.members.alive]
        if not self._told:
            self._told = list(self.members.alive)
            self.random.shuffle(self._told)
        for _ in range(min(self.verdicts.many(self.members.size), len(self._told))):
            name = self._told.pop()
            if self.verdicts.tells(name):
                self.members.send(name, wire.VerdictDigest(self.verdicts.word(now, name)))

    # What is carried for other parts.

    def _on_parcel(self, now: float, me: MemberState, parcel: wire.ApplicationMessage) -> None:
        if (hear := self.channels.get(parcel.channel)) is None:
            self._count("fleet_no_such_channel")
            return
        hear(now, me.name, me.epoch, parcel.data)

    # Pages.

    def _on_pull(self, now: float, me: MemberState, pull: wire.MembersRequest) -> None:
        self.members.send(me.name, wire.MembersPage(pull.after))  # what it holds is put in as it leaves

    def _on_page(self, now: float, me: MemberState, page: wire.MembersPage) -> None:
        if page.last:
            self.members.send(me.name, wire.MembersRequest(page.last))

    def _compare(self, name: str, begin: int) -> None:
        if self._compares:
            self._compares -= 1
            self.members.send(name, self.counts.compare(begin, self.random.getrandbits(53) | 1))

    def _on_compare(self, now: float, me: MemberState, ask: wire.CountersRequest) -> None:
        self.members.send(me.name, self.counts.differing(now, ask, ROOM))

    def _on_rows(self, now: float, me: MemberState, body: wire.CountersPage) -> None:
        for row in body.rows:
            self.counts.merge(now, row)
        if body.next:
            self._compare(me.name, body.next)

    # What goes out.

    def _flush(self, now: float) -> list[Datagram]:
        members = self.members
        if members.changes:
            for name, state, why in members.changes:
                if state in ("dead", "left"):
                    self.verdicts.gone(name)
                self.note("fleet_member", member=name, state=state, why=why)
                for watch in self.watchers:
                    watch(now, name, state)
            members.changes.clear()
        out: list[Datagram] = []
        if not members.out:
            return out
        sending, members.out = members.out, []
        for address, to, body in sending:
            data = wire.encode(self._packet(now, to, body))
            if len(data) > wire.MOST_BYTES:  # the bounds on all parts leave no room for this
                self._count("fleet_too_long")
                continue
            self._bytes_out += len(data)
            out.append(Datagram(address, data))
        return out

    def _packet(self, now: float, to: str, body: wire.Body) -> Packet:
        members = self.members
        if isinstance(body, wire.MembersPage):
            claims, last = members.page(body.last, ROOM)
            return Packet(members.me, to, wire.MembersPage(last), claims)
        if body.__class__ in ALONE:
            return Packet(members.me, to, body)
        if not self.counts.pending:
            claims, doubts, _ = members.news(to, ROOM)
            return Packet(members.me, to, body, claims, [], doubts)
        claims, doubts, room = members.news(to, ROOM - KEPT)
        return Packet(members.me, to, body, claims, self.counts.news(now, room + KEPT), doubts)

    # What is told.

    def figures(self, now: float, unix_ms: float) -> dict[str, Any]:
        """Return the fleet as this coordinator sees it, for the operators' port."""
        window = int(unix_ms / COUNT_WINDOW_MS)
        stale = self.counts.staleness(now)
        return {
            "name": self.name,
            "size": self.members.size,
            "health": self.members.health,
            "members": {name: wire.STATES[member.claim.state] for name, member in sorted(self._shown())},
            "budgets": {
                name: {
                    "units": s.budget.units,
                    "window_ms": s.budget.window_ms,
                    "own": s.rights.own,
                    "held": s.rights.held,
                    "ready": s.rights.ready(now),
                    "lent": s.rights.own - s.rights.in_hand,
                    "borrowed": sum(loan.held for loan in s.rights.borrowed.values()),
                    "need": s.demand.need(now, True),
                    "spent": s.rights.spent,
                    "denied": s.rights.denied,
                }
                for name, s in self.budgets.items()
                if s.number
            },
            "sums": self.counts.sums(),
            "last_window": self.counts.sums(window - 1),
            "stale_ms": {name: round(stale[name]) for name in sorted(stale)[:256]},
            "verdicts": self.verdicts.table(now)[:64],
            "false_suspicions": self.members.false_suspicions,
            "bytes_in": self._bytes_in,
            "bytes_out": self._bytes_out,
            "counted": dict(sorted(self.counted.items())),
        }

    def _shown(self) -> Iterable[tuple[str, Any]]:
        return list(self.members.members.items())[:256]
