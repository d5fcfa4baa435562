"""SWIM's failure detector: probes one member per interval, first directly and then through other members.

Includes Lifeguard's local health: a member that misses Acks and Nacks probes more slowly and waits longer. No I/O and
no clock: times are in ms of the local monotonic clock, messages are put in the member table's outbox.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from frostspindle.fleet import wire
from frostspindle.fleet.member_table import Member, MemberTable

INDIRECT_PROBES = 3  # members asked to probe on behalf of this one
MAX_INDIRECT_PINGS = 64  # concurrent probes on behalf of others
MAX_LOCAL_HEALTH = 8  # maximum score; each point adds one probe interval and one timeout


@dataclass(slots=True)
class _Probe:
    sequence: int
    target: str
    started_at: float
    direct_deadline: float
    deadline: float
    indirect: bool = False  # other members have been asked to probe
    nacks: int = 0
    helpers: int = 0

    @property
    def next_deadline(self) -> float:
        """Return when the probe becomes indirect, or fails if it is indirect."""
        return self.deadline if self.indirect else self.direct_deadline


@dataclass(slots=True)
class _IndirectPing:
    """A probe on behalf of another member."""

    requester: str
    sequence: int  # of the PingRequest
    target: str
    deadline: float


class FailureDetector:
    """Probes members in randomized round-robin order and reports those that do not answer."""

    def __init__(
        self,
        table: MemberTable,
        random: Random,
        now: float,
        interval_ms: float,
        timeout_ms: float,
        on_failed: Callable[[float, Member], None],
    ) -> None:
        """`on_failed` is called with the time and a live member that neither answered a probe nor sent any message."""
        self.interval_ms = interval_ms
        self.timeout_ms = timeout_ms
        self.local_health = 0  # Lifeguard's score: 0 is healthy
        self._table = table
        self._random = random
        self._on_failed = on_failed
        self._probe: _Probe | None = None
        self._indirect_pings: dict[int, _IndirectPing] = {}  # by the sequence number of our Ping
        self._round: list[str] = []  # members not yet probed in this round; the next one is last
        self._next_probe_at = now + random.random() * interval_ms

    def due(self) -> float:
        """Return the next time at which `expire` or `start_probe` must be called."""
        probe = self._probe
        due = self._next_probe_at if probe is None else probe.next_deadline
        if self._indirect_pings:
            due = min(due, *(ping.deadline for ping in self._indirect_pings.values()))
        return due

    def expire(self, now: float) -> None:
        """Handle probes past their deadline: send Nacks to requesters, start indirect probes, report a failure."""
        if self._indirect_pings:
            self._expire_indirect_pings(now)
        probe = self._probe
        if probe is None:
            return
        if not probe.indirect and now >= probe.direct_deadline:
            self._ask_helpers(probe)
        if probe.indirect and now >= probe.deadline:
            self._fail(now, probe)

    def _expire_indirect_pings(self, now: float) -> None:
        for sequence, ping in list(self._indirect_pings.items()):
            if now >= ping.deadline:
                del self._indirect_pings[sequence]
                self._table.send(ping.requester, wire.Nack(ping.sequence))

    def _ask_helpers(self, probe: _Probe) -> None:
        probe.indirect = True
        helpers = self._table.sample_peers(INDIRECT_PROBES, (probe.target,))
        probe.helpers = len(helpers)
        for name in helpers:
            self._table.send(name, wire.PingRequest(probe.sequence, probe.target))

    def _fail(self, now: float, probe: _Probe) -> None:
        self._probe = None
        # Lifeguard: a member that does not even receive Nacks from its helpers is probably itself at fault.
        self.degrade(1 + max(0, probe.helpers - probe.nacks) if probe.helpers else 1)
        member = self._table.alive.get(probe.target)
        if member is not None and member.last_received < probe.started_at:
            self._on_failed(now, member)

    def degrade(self, steps: int) -> None:
        """Raise (worsen) the local health score by `steps`, or lower it if negative, within its bounds."""
        self.local_health = max(0, min(MAX_LOCAL_HEALTH, self.local_health + steps))

    def start_probe(self, now: float) -> None:
        """Probe the next member if a probe is due and none is in progress."""
        if now < self._next_probe_at or self._probe is not None:
            return
        self._next_probe_at = now + self.interval_ms * (1 + self.local_health)
        target = self._next_target()
        if target is None:
            return
        sequence = self._table.next_sequence()
        timeout_ms = min(self.timeout_ms * (1 + self.local_health), self._next_probe_at - now)
        deadline = max(self._next_probe_at, now + 2.0 * timeout_ms)
        self._probe = _Probe(sequence, target, now, now + timeout_ms, deadline)
        self._table.send(target, wire.Ping(sequence))

    def _next_target(self) -> str | None:
        while self._round and self._round[-1] not in self._table.alive:
            self._round.pop()
        if not self._round:
            self._round = list(self._table.alive)
            self._random.shuffle(self._round)
        return self._round.pop() if self._round else None

    def add_target(self, name: str) -> None:
        """Insert a new member at a random position of the current round, as SWIM does."""
        self._round.insert(self._random.randrange(len(self._round) + 1), name)

    def on_ack(self, sender: str, ack: wire.Ack) -> None:
        """Handle an Ack: forward it if the Ping was on behalf of another member, or end the current probe."""
        ping = self._indirect_pings.get(ack.sequence)
        if ping is not None and ping.target == sender:
            del self._indirect_pings[ack.sequence]
            self._table.send(ping.requester, wire.Ack(ping.sequence))
        probe = self._probe
        # A helper's Ack stands for the target's. An Ack without a matching probe is ignored.
        if probe is not None and probe.sequence == ack.sequence and (sender == probe.target or probe.indirect):
            self._probe = None
            self.degrade(-1)

    def on_nack(self, nack: wire.Nack) -> None:
        """Count a helper's report that the probed member did not answer; it shows that the helper is reachable."""
        if self._probe is not None and self._probe.sequence == nack.sequence:
            self._probe.nacks += 1

    def on_ping_request(self, now: float, sender: str, request: wire.PingRequest) -> None:
        """Probe a member on behalf of another.

        Ignored while MAX_INDIRECT_PINGS such probes are in progress, or if the target is not alive here.
        """
        if len(self._indirect_pings) >= MAX_INDIRECT_PINGS or request.target not in self._table.alive:
            return
        sequence = self._table.next_sequence()
        deadline = now + self.timeout_ms
        self._indirect_pings[sequence] = _IndirectPing(sender, request.sequence, request.target, deadline)
        self._table.send(request.target, wire.Ping(sequence))
