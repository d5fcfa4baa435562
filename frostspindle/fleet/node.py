"""One coordinator of the fleet: combines membership, budgets, counters and verdicts, without I/O and without a clock.

Dispatches received messages to the components, chooses the piggyback of sent ones, and schedules the components. Inputs
are datagrams, the local monotonic time in ms, and Unix time for the counter windows; outputs are datagrams, log events
and return values. Messages of unverified senders are not dispatched. Must be used from the event loop's thread only.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from random import Random
from typing import Any, NamedTuple

from frostspindle.fleet import wire
from frostspindle.fleet.budgets import Budget as Budget
from frostspindle.fleet.budgets import BudgetExchange
from frostspindle.fleet.counters import FleetCounters, publish_interval
from frostspindle.fleet.engine_verdicts import PUBLISH_INTERVAL_MS, EngineKind, EngineVerdicts, Evidence
from frostspindle.fleet.errors import InvalidPacketError
from frostspindle.fleet.incarnation import CHAIN_LENGTH, IncarnationChain
from frostspindle.fleet.member_table import Address
from frostspindle.fleet.membership import Membership
from frostspindle.fleet.wire import MemberState, Packet

ENVELOPE_BYTES = 180  # reserved for the sender's claim and the framing
PIGGYBACK_BYTES = wire.MAX_PACKET_BYTES - ENVELOPE_BYTES
COUNTER_RESERVE_BYTES = PIGGYBACK_BYTES // 2  # while counters are pending, so that mass suspicions cannot starve them
WINDOW_MS = 10_000.0  # of counters
MIN_COMPARISON_INTERVAL_MS = 1_000.0  # between comparisons of counters with another member, or
COMPARISON_FRACTION = 0.25  # of the interval at which counters are published, if that is longer
MAX_COMPARISON_REQUESTS = 64  # of one comparison; a member without rows needs so many in a fleet of a thousand
MAX_MEMBERS_SHOWN = 256
MAX_VERDICTS_SHOWN = 64
WITHOUT_PIGGYBACK = frozenset(
    {wire.VerdictDigest, wire.MembersRequest, wire.CountersRequest, wire.CountersPage, wire.ApplicationMessage}
)


def comparison_interval(size: int) -> float:
    """Return the interval in ms at which a member compares its counters with another's.

    The bytes sent grow with log2 of the fleet's size.
    """
    return max(MIN_COMPARISON_INTERVAL_MS, COMPARISON_FRACTION * publish_interval(size))


@dataclass(slots=True, frozen=True)
class FleetSettings:
    """Settings that must be equal at all coordinators of a fleet, and a few intervals that may differ."""

    seeds: dict[str, Address]  # also the homes of all budgets, in order of names
    budgets: tuple[Budget, ...] = ()
    lease_ms: float = 5_000.0
    drift: float = 0.055  # maximum relative drift of a clock from real time
    probe_interval_ms: float = 1_000.0
    probe_timeout_ms: float = 300.0
    quorum: int = 3  # number of coordinators that must share a verdict before it counts
    verdict_valid_ms: float = 10_000.0
    chain_length: int = CHAIN_LENGTH  # maximum number of incarnations of one process


class Datagram(NamedTuple):
    """One UDP datagram to send: destination and encoded packet."""

    address: Address
    data: bytes


class FleetNode:
    """Fleet logic of one process, without I/O: takes datagrams and times, returns datagrams."""

    def __init__(
        self, name: str, address: Address, epoch: int, secret: bytes, settings: FleetSettings, now: float
    ) -> None:
        chain = IncarnationChain(secret, settings.chain_length)
        seed = int.from_bytes(blake2b(secret, digest_size=8, person=b"draws").digest())
        me = MemberState(name, address[0], address[1], wire.ALIVE, epoch, 0, chain.proof(0))
        self.settings = settings
        self.name = name
        self.epoch = epoch
        self.homes = sorted(settings.seeds)
        self.random = Random(seed)
        # Read and set by the owner; comments name the arguments of callbacks.
        self.counted: Counter[str] = Counter()
        self.log: Callable[..., None] = lambda event, **fields: None
        self.channels: dict[int, Callable[[float, str, int, bytes], None]] = {}  # now, sender, its epoch, message
        self.watchers: list[Callable[[float, str, str], None]] = []  # now, member, one of wire.STATES
        # Components.
        self.membership = Membership(
            me, chain, settings.seeds, seed + 1, now, settings.probe_interval_ms, settings.probe_timeout_ms
        )
        self.counters = FleetCounters(name, epoch, now)
        self.verdicts = EngineVerdicts(settings.quorum, settings.verdict_valid_ms)
        self.membership.count = self._count
        self.membership.other_updates = self.counters.pending
        self.counters.count = self._count
        self.budgets = BudgetExchange(self.membership, self.homes, settings.drift, self.random, self._count, self._log)
        for number, budget in enumerate(settings.budgets, 1):
            self.budgets.add_configured(now, budget, number, settings.lease_ms, seed + 2)
        # Schedule and totals.
        self._compare_at = now + self.random.random() * MIN_COMPARISON_INTERVAL_MS
        self._comparison_requests_left = 0
        self._publish_verdicts_at = now + self.random.random() * PUBLISH_INTERVAL_MS
        self._verdict_round: list[str] = []  # members that have not received the verdicts in this round
        self._bytes_out = 0
        self._bytes_in = 0

    def _count(self, counter: str) -> None:
        self.counted[counter] += 1

    def _log(self, event: str, **fields: Any) -> None:
        self.log(event, **fields)

    # Received messages.

    def receive(self, now: float, source: Address, data: bytes) -> list[Datagram]:
        """Process one datagram; return the datagrams to send.

        A malformed or misdelivered datagram, or one of an unverified sender, is counted and ignored.
        """
        self._bytes_in += len(data)
        try:
            packet = wire.decode(data)
        except InvalidPacketError:
            self._count("fleet_undecodable")
            return []
        if packet.recipient not in ("", self.name):
            self._count("fleet_misdelivered")
            return []
        if self.membership.verify_sender(now, packet.sender, source):
            self._take_piggyback(now, packet)
            self._dispatch(now, packet.sender, packet.body)
            if self.membership.rejoined:
                self.membership.rejoined = False
                self._compare_at = now
        return self._flush(now) if self.membership.outbox or self.membership.changes else []

    def _take_piggyback(self, now: float, packet: Packet) -> None:
        sender = packet.sender.name
        membership = self.membership
        for claim in packet.claims:
            membership.on_claim(now, claim, sender)
        for suspicion in packet.suspicions:
            membership.on_suspicion(now, suspicion, sender)
        for row in packet.rows:
            self.counters.merge(now, row)

    def _dispatch(self, now: float, sender: MemberState, body: wire.Body) -> None:
        """Pass a message's body to the component that handles it."""
        match body:
            case wire.Gossip():
                pass  # only the piggyback matters
            case wire.Ping():
                self.membership.on_ping(sender.name, body)
            case wire.Ack():
                self.membership.detector.on_ack(sender.name, body)
            case wire.PingRequest():
                self.membership.detector.on_ping_request(now, sender.name, body)
            case wire.Nack():
                self.membership.detector.on_nack(body)
            case wire.MembersRequest():
                self._send(sender, wire.MembersPage(body.after))  # filled when it is sent, in `_packet`
            case wire.MembersPage():
                if body.last:
                    self._send(sender, wire.MembersRequest(body.last))
            case wire.CountersRequest():
                self._send(sender, self.counters.answer_request(now, body, PIGGYBACK_BYTES))
            case wire.CountersPage():
                self._on_counters_page(now, sender, body)
            case wire.VerdictDigest():
                self.verdicts.on_digest(now, sender.name, body.verdicts)
            case wire.QuotaRequest():
                self.budgets.on_request(now, sender, body)
            case wire.QuotaGrant():
                self.budgets.on_grant(now, sender, body)
            case wire.QuotaReturn():
                self.budgets.on_return(now, sender, body)
            case wire.ApplicationMessage():
                self._on_application_message(now, sender, body)

    def _send(self, member: MemberState, body: wire.Body) -> None:
        self.membership.send(member.name, body)

    def _on_application_message(self, now: float, sender: MemberState, message: wire.ApplicationMessage) -> None:
        on_message = self.channels.get(message.channel)
        if on_message is None:
            self._count("fleet_no_such_channel")
            return
        on_message(now, sender.name, sender.epoch, message.data)

    def _on_counters_page(self, now: float, sender: MemberState, page: wire.CountersPage) -> None:
        for row in page.rows:
            self.counters.merge(now, row)
        if page.next_begin:
            self._request_counters(sender.name, page.next_begin)

    # Schedule.

    def tick(self, now: float, unix_ms: float) -> list[Datagram]:
        """Run all work that is due (times in ms, monotonic and Unix); return the datagrams to send."""
        self.counters.start_window(int(unix_ms / WINDOW_MS))
        self.membership.tick(now)
        self.counters.publish(now, self.membership.size)
        self.budgets.tick(now)
        if now >= self._compare_at:  # to get rows that gossip has missed
            self._start_comparison(now)
        if now >= self._publish_verdicts_at:
            self._publish_verdicts_at = now + PUBLISH_INTERVAL_MS
            self._publish_verdicts(now)
        return self._flush(now)

    def due(self) -> float:
        """Return when `tick` must be called next, in ms of the monotonic clock: the earliest time of all components."""
        return min(
            self.membership.due(),
            self.counters.due(self.membership.size),
            self.budgets.due(),
            self._compare_at,
            self._publish_verdicts_at,
        )

    def _start_comparison(self, now: float) -> None:
        jitter = 0.75 + 0.5 * self.random.random()
        self._compare_at = now + comparison_interval(self.membership.size) * jitter
        self._comparison_requests_left = MAX_COMPARISON_REQUESTS
        for name in self.membership.sample_peers(1):
            self._request_counters(name, 0)

    def _request_counters(self, name: str, begin: int) -> None:
        if self._comparison_requests_left:
            self._comparison_requests_left -= 1
            salt = self.random.getrandbits(53) | 1
            self.membership.send(name, self.counters.request_rows(begin, salt))

    def _publish_verdicts(self, now: float) -> None:
        """Send the local verdicts to the next members of this round."""
        if not self.verdicts.has_recipients:
            return
        alive = self.membership.alive
        self._verdict_round = [name for name in self._verdict_round if name in alive]
        if not self._verdict_round:
            self._verdict_round = list(alive)
            self.random.shuffle(self._verdict_round)
        count = min(self.verdicts.recipients_at_a_time(self.membership.size), len(self._verdict_round))
        for _ in range(count):
            name = self._verdict_round.pop()
            if self.verdicts.is_recipient(name):
                self.membership.send(name, wire.VerdictDigest(self.verdicts.digest_for(now, name)))

    # Calls of the coordinator.

    def spend(self, now: float, unix_ms: float, budget: str, units: int = 1) -> bool:
        """Spend units of a budget; return False, and spend none, if fewer are ready at this coordinator.

        Raise KeyError for an unknown budget.
        """
        state = self.budgets.states[budget]
        state.demand.add(now, units)
        if not state.account.spend(now, units):
            return False
        window = int(unix_ms / WINDOW_MS)
        self.counters.add(f"spent:{budget}", units, stream=state.number)
        self.counters.add(f"spent:{budget}", units, window=window, stream=state.number)
        return True

    def set_verdicts(self, now: float, verdicts: Mapping[EngineKind, Evidence]) -> None:
        """Replace this coordinator's current verdicts, by engine and kind, with their evidence.

        A change is sent immediately.
        """
        if self.verdicts.set_own(now, verdicts, self.membership.alive):
            self._publish_verdicts_at = now

    def post(self, now: float, name: str, channel: int, data: bytes) -> list[Datagram]:
        """Return the datagrams that carry an application message to a member.

        The message is not retransmitted if lost, and not sent to a member that is not alive.
        """
        self.membership.send(name, wire.ApplicationMessage(channel, data))
        return self._flush(now)

    def leave(self, now: float) -> list[Datagram]:
        """Return all borrowed quota and announce the departure. The node must not be used afterwards."""
        self.budgets.return_all(now)
        self.membership.leave()
        return self._flush(now)

    # Sent messages.

    def _flush(self, now: float) -> list[Datagram]:
        """Report changes of members, and return the datagrams of all queued messages."""
        if self.membership.changes:
            self._report_changes(now)
        if not self.membership.outbox:
            return []
        datagrams: list[Datagram] = []
        for address, recipient, body in self.membership.take_outbox():
            data = wire.encode(self._packet(now, recipient, body))
            if len(data) > wire.MAX_PACKET_BYTES:  # the bounds on the parts of a packet should prevent this
                self._count("fleet_too_long")
                continue
            self._bytes_out += len(data)
            datagrams.append(Datagram(address, data))
        return datagrams

    def _report_changes(self, now: float) -> None:
        for name, state, reason in self.membership.changes:
            if state in ("dead", "left"):
                self.verdicts.remove_member(name)
            self.log("fleet_member", member=name, state=state, why=reason)
            for watch in self.watchers:
                watch(now, name, state)
        self.membership.changes.clear()

    def _packet(self, now: float, recipient: str, body: wire.Body) -> Packet:
        """Return a message with as much piggyback as fits."""
        membership = self.membership
        if isinstance(body, wire.MembersPage):
            claims, last = membership.page(body.last, PIGGYBACK_BYTES)
            return Packet(membership.me, recipient, wire.MembersPage(last), claims)
        if type(body) in WITHOUT_PIGGYBACK:
            return Packet(membership.me, recipient, body)
        if not self.counters.pending:
            claims, suspicions, _ = membership.piggyback(recipient, PIGGYBACK_BYTES)
            return Packet(membership.me, recipient, body, claims, [], suspicions)
        claims, suspicions, remaining_bytes = membership.piggyback(recipient, PIGGYBACK_BYTES - COUNTER_RESERVE_BYTES)
        rows = self.counters.updates(now, remaining_bytes + COUNTER_RESERVE_BYTES)
        return Packet(membership.me, recipient, body, claims, rows, suspicions)

    # Figures.

    def figures(self, now: float, unix_ms: float) -> dict[str, Any]:
        """Return the local view of the fleet, for the operators' port."""
        window = int(unix_ms / WINDOW_MS)
        staleness = self.counters.staleness(now)
        members = list(self.membership.members.items())[:MAX_MEMBERS_SHOWN]
        return {
            "name": self.name,
            "size": self.membership.size,
            "health": self.membership.detector.local_health,
            "members": {name: wire.STATES[member.claim.state] for name, member in sorted(members)},
            "budgets": self.budgets.figures(now),
            "sums": self.counters.sums(),
            "last_window": self.counters.sums(window - 1),
            "stale_ms": {name: round(staleness[name]) for name in sorted(staleness)[:MAX_MEMBERS_SHOWN]},
            "verdicts": self.verdicts.table(now)[:MAX_VERDICTS_SHOWN],
            "false_suspicions": self.membership.false_suspicions,
            "bytes_in": self._bytes_in,
            "bytes_out": self._bytes_out,
            "counted": dict(sorted(self.counted.items())),
        }
