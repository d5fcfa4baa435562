"""Emulator of agreed settings among many coordinators under faults, on a simulated network, clocks, disks and log.

It simulates pushes, the publisher and a replicated log, and records in true time the periods in which each coordinator
acted on exactly one version. The decisions and the state machine are those of `frostspindle/settings`. Consensus of the
log is assumed: its entries are one list, and a leader commits only with acknowledgements of a majority of the voters
over the same network.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from frostspindle.lab.faults.script import Script, parse
from frostspindle.lab.network import Network
from frostspindle.settings import log_commands
from frostspindle.settings.active_rules import RestoredVersions, RulesMode
from frostspindle.settings.agreement_settings import AgreementSettings
from frostspindle.settings.audit import ActivePeriod, find_longest_contradiction
from frostspindle.settings.intersection import contradicts, permits_no_more
from frostspindle.settings.log_commands import DraftPiece
from frostspindle.settings.member_decisions import MemberDecisions
from frostspindle.settings.publisher_decisions import PublisherDecisions
from frostspindle.settings.schema import Ban, Coordinator, Limit, ListScope, Tenant
from frostspindle.settings.state_machine import SettingsStateMachine
from frostspindle.settings.version_encoding import pack_changes
from frostspindle.settings.versions import EMPTY_VERSION, Version

TICK_MS, REPLICATION_MS, PROPOSAL_RETRY_MS = 50.0, 25.0, 150.0
ELECTION_MS, MAX_BATCH_BYTES = 400.0, 1_100  # time without a leader; bytes of entries in one message
QUIET_MS = 3_500.0  # no pushes at the end: all coordinators must converge to one version
_encode, _decode = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder().decode


@dataclass(slots=True)
class Node:
    """One coordinator: its disk, which persists over restarts, and its process."""

    number: int
    rate: float
    offset: float
    restored: RestoredVersions = field(default_factory=RestoredVersions)
    incarnation: int = 0
    applied_count: int = 0  # number of applied entries
    machine: SettingsStateMachine = field(default_factory=SettingsStateMachine)
    member: MemberDecisions | None = None
    publisher: PublisherDecisions | None = None
    waiting: dict[str, tuple[bytes, float, float]] = field(default_factory=dict)  # by proposal: command, until, sent
    proposed: int = 0
    persisting: bool = False
    publishing: str = ""
    # The only version acted on (0: none or several), and the true time at which that began.
    current_period: tuple[int, float] = (0, 0.0)
    ticking_incarnation: int = -1  # the incarnation whose ticks run


class Emulator:
    """One run. The first `voters` coordinators are the voters of the log; true time is that of the network, in ms."""

    def __init__(
        self,
        count: int,
        seed: int,
        script: Script,
        seconds: float,
        settings: AgreementSettings | None = None,
        push_s: tuple[float, float] = (0.4, 1.8),
        voters: int = 0,
    ) -> None:
        self.count, self.seconds, self.settings = (
            count,
            seconds,
            settings or AgreementSettings(drift=0.01, trial_ms=4_000.0),
        )
        self.random = random.Random(seed)
        self.network = Network(count, script, seed)
        self.script = script
        self.push_s = push_s
        self.voters = voters or min(5, count - 1 + count % 2)
        rates = dict(script.clocks)
        drift = self.settings.drift
        self.nodes = [
            Node(n, rates.get(n, 1.0 + self.random.uniform(-drift, drift)), self.random.uniform(0, 1e6))
            for n in range(count)
        ]
        self.entries: list[tuple[str, bytes]] = []  # proposal id, command
        self.committed: set[str] = set()
        self.open: dict[str, tuple[bytes, set[int]]] = {}  # at the leader, by proposal: command, acknowledging voters
        self.leader, self.epoch, self.leader_seen_at = -1, 0, 0.0
        self.applied_counts = [0] * count  # entries that each coordinator has applied, as the leader knows
        self.spans: list[ActivePeriod] = []
        self.tables: dict[int, Version] = {0: EMPTY_VERSION}
        self.live_at: dict[int, float] = {}
        self.pushed: dict[str, float] = {}  # by draft: time of the push
        self.activation_times: dict[int, list[float]] = {}  # by version: when each coordinator began to act on it alone
        self.blind: list[float] = []  # durations on an intersection that permits what the live version forbids
        self.blind_since = [math.inf] * count
        self.intersection_ms = [0.0] * count
        self.counted: Counter[str] = Counter()
        for n in range(count):
            self._start(n)
        for time_ms in (REPLICATION_MS, ELECTION_MS):
            self.network.at(time_ms, 0, "world")
        self.network.at(1_500.0, 0, "push")

    # Clocks.

    def clock(self, node: Node) -> float:
        """Return a coordinator's own clock, ms."""
        return node.offset + node.rate * self.network.now

    def true(self, node: Node, clock: float) -> float:
        """Return the true time, in ms, at which a coordinator's own clock shows `clock`."""
        return (clock - node.offset) / node.rate

    # Processes.

    def _start(self, n: int) -> None:
        node = self.nodes[n]
        node.incarnation += 1
        node.applied_count, node.machine = 0, SettingsStateMachine()
        node.waiting, node.persisting, node.publishing = {}, False, ""
        now = self.clock(node)
        node.member = MemberDecisions(
            f"c{n}", node.incarnation, self.settings, node.machine, now, restored=node.restored
        )
        node.publisher = PublisherDecisions(self.settings, node.machine)
        node.current_period = (0, self.network.now)
        self.network.at(self.network.now + self.random.uniform(0.0, TICK_MS), n, f"tick {node.incarnation}")

    def _end(self, n: int) -> None:
        node = self.nodes[n]
        self._end_period(node, self.network.now)
        node.member = node.publisher = None

    def _end_period(self, node: Node, ended_at: float) -> None:
        """End the coordinator's current period on one version."""
        version, started_at = node.current_period
        if version and node.member is not None:
            end = min(ended_at, max(started_at, self.true(node, node.member.lease_until_ms)))
            if end > started_at:
                self.spans.append(ActivePeriod(f"c{node.number}", version, started_at, end))
        node.current_period = (0, ended_at)

    # The log.

    def _is_connected(self, first: int, second: int) -> bool:
        """Return whether the script lets messages pass in both directions now."""
        now = self.network.now / 1e3
        for rule in self.script.rules:
            if rule.begins <= now < rule.ends and rule.kind in ("cut", "oneway"):
                sides = [
                    next((index for index, group in enumerate(rule.groups) if node in group), -1)
                    for node in (first, second)
                ]
                if rule.kind == "cut" and sides[0] != sides[1] and -1 not in sides:
                    return False
                if rule.kind == "oneway" and {0, 1} == set(sides):
                    return False
        return True

    def _is_running(self, n: int) -> bool:
        return self.network.up[n] and not self.network.paused[n]

    def _has_majority(self, n: int) -> bool:
        voters = sum(self._is_running(voter) and self._is_connected(n, voter) for voter in range(self.voters))
        return self._is_running(n) and voters > self.voters // 2

    def _elect(self) -> None:
        now = self.network.now
        if self.leader >= 0 and self._has_majority(self.leader):
            self.leader_seen_at = now
            return
        if now - self.leader_seen_at < ELECTION_MS and self.epoch:
            return
        candidates = [n for n in range(self.voters) if self._has_majority(n)]
        if not candidates:
            return
        old, self.leader = self.leader, self.random.choice(candidates)
        self.epoch, self.leader_seen_at = self.epoch + 1, now
        self.open = {}
        self.applied_counts = [0] * self.count
        # The new leader gets the publisher's lease later; the old one may still believe for a while that it holds it.
        self.network.at(now + self.random.uniform(300.0, 2_500.0), self.leader, f"own {self.epoch}")
        if old >= 0:
            self.network.at(now + self.random.uniform(0.0, 2_000.0), old, f"disown {self.epoch}")

    def _propose(self, node: Node, command: bytes, within_ms: float) -> str:
        node.proposed += 1
        pid = f"{node.number}.{node.incarnation}.{node.proposed}"
        node.waiting[pid] = (command, self.network.now + within_ms, -math.inf)
        self._send_proposals(node)
        return pid

    def _send_proposals(self, node: Node) -> None:
        now = self.network.now
        for pid, (command, until, sent) in list(node.waiting.items()):
            if now > until:
                del node.waiting[pid]
            elif now - sent >= PROPOSAL_RETRY_MS and self.leader >= 0:
                node.waiting[pid] = (command, until, now)
                if self.leader == node.number:
                    self._request_acks(pid, command)
                else:
                    self.network.send(node.number, self.leader, _encode(["p", pid, command]))

    def _request_acks(self, pid: str, command: bytes) -> None:
        """At the leader: request acknowledgements from the other voters."""
        if pid in self.committed:
            return
        _, answers = self.open.setdefault(pid, (command, {self.leader}))
        self._commit(pid)
        for voter in range(self.voters):
            if voter not in answers:
                self.network.send(self.leader, voter, _encode(["a", pid, self.epoch]))

    def _commit(self, pid: str) -> None:
        command, answers = self.open[pid]
        if len(answers) > self.voters // 2 and self._has_majority(self.leader) and pid not in self.committed:
            self.committed.add(pid)
            self.entries.append((pid, command))
            self.open.pop(pid)

    def _replicate(self) -> None:
        """Send each coordinator the entries that it lacks, from the leader."""
        if self.leader < 0 or not self._is_running(self.leader):
            return
        leader = self.nodes[self.leader]
        self._apply(leader, leader.applied_count, self.entries[leader.applied_count :])
        for n in range(self.count):
            if n != self.leader and self.applied_counts[n] < len(self.entries):
                begin, size, rows = self.applied_counts[n], 0, []
                for entry in self.entries[begin : begin + 64]:
                    size += len(entry[0]) + len(entry[1]) + 6
                    if rows and size > MAX_BATCH_BYTES:
                        break
                    rows.append(entry)
                self.network.send(self.leader, n, _encode(["e", begin, rows, self.epoch]))

    def _apply(self, node: Node, begin: int, rows: list[tuple[str, bytes]]) -> None:
        if node.member is None:
            return
        for index, (pid, entry) in enumerate(rows, begin):
            if index != node.applied_count:
                continue
            node.applied_count += 1
            node.waiting.pop(pid, None)
            result = node.machine.apply(node.applied_count, entry)
            node.member.on_entry_applied(self.clock(node), entry, result)
            machine = node.machine
            for number in (machine.active_version, machine.pending_version):
                if number and number not in self.tables:
                    self.tables[number] = machine.version(number)
            if machine.active_version not in self.live_at:
                self.live_at[machine.active_version] = self.network.now
            self._update_period(node)
        self._step(node)

    # Steps of a coordinator.

    def _update_period(self, node: Node) -> None:
        member = node.member
        assert member is not None
        rules = member.current_rules(self.clock(node))
        version = rules.versions[0] if rules.mode == RulesMode.VERSION else 0
        if version != node.current_period[0]:
            self._end_period(node, self.network.now)
            node.current_period = (version, self.network.now)
            if version:
                self.activation_times.setdefault(version, []).append(self.network.now)
        member.on_rules_applied(rules)

    def _step(self, node: Node) -> None:
        member, publisher, n = node.member, node.publisher, node.number
        if member is None or publisher is None:
            return
        now = self.clock(node)
        self._update_period(node)
        if not node.persisting and (versions := member.versions_to_persist()):
            node.persisting = True
            self.network.at(
                self.network.now + self.random.uniform(1.0, 20.0), n, _PersistedVersions(node.incarnation, versions)
            )
        if (renewal := member.next_renewal(now)) is not None:
            self._propose(node, log_commands.encode_command(renewal), self.settings.lease_ms)
        if node.publishing and node.publishing not in node.waiting:
            node.publishing = ""
        if publisher.token and not node.publishing and (command := publisher.next_command(now)) is not None:
            node.publishing = self._propose(node, log_commands.encode_command(command), 1_000.0)

    def _record_blind_time(self, node: Node) -> None:
        """Record how long a coordinator on an intersection permits what the live version, unknown to it, forbids."""
        member, n = node.member, node.number
        now = self.network.now
        live = max(self.live_at, default=0)
        is_blind = False
        if member is not None and not self.network.paused[n] and live:
            rules = member.current_rules(self.clock(node))
            if rules.mode == RulesMode.INTERSECTION:
                self.intersection_ms[n] += TICK_MS
                is_blind = rules.reason != "pending" and not permits_no_more(rules.rules, self.tables[live].rules)
        if is_blind and self.blind_since[n] == math.inf:
            self.blind_since[n] = now
        elif not is_blind and self.blind_since[n] < math.inf:
            self.blind.append(now - self.blind_since[n])
            self.blind_since[n] = math.inf

    def _push(self) -> None:
        running = [node for node in self.nodes if node.member is not None and self._is_running(node.number)]
        if not running:
            return
        node, rng = self.random.choice(running), self.random
        live = node.machine.version(node.machine.active_version)
        number = len(self.pushed) + 1
        kind = rng.choice(("ban", "ban", "part", "limit", "share", "back", "bad", "stale"))
        engine = f"e{rng.randrange(6)}"
        changes: dict[str, Any] = {f"ban/{engine}": None if f"ban/{engine}" in live.rules else Ban(engine, str(number))}
        if kind == "part":
            share = rng.randrange(1, 10) / 10.0
            changes = {
                "scope/coordinator": ListScope(),
                "coordinator/c0": Coordinator("c0", share),
                "coordinator/c1": Coordinator("c1", round(1.0 - share, 1)),
            }
        elif kind == "limit":
            changes = {"limit/open_requests": Limit(float(rng.randrange(20, 400)))}
        elif kind == "share":
            changes = {"tenant/blue": Tenant("blue", float(rng.randrange(100)))}
        child = live.child(live.number + 1, changes)
        base, digest, rollback_to = live.number, child.digest_bytes, -1
        if kind == "back" and live.number > 2:
            base, rollback_to = -1, live.number - rng.randrange(1, 3)
        elif kind == "bad":
            digest = bytes(16)
        elif kind == "stale":
            base = max(0, base - 1)
        draft = DraftPiece(
            f"c{node.number}", node.incarnation, number, base, digest, 0, 1, pack_changes(changes), rollback_to
        )
        self.pushed[draft.key] = self.network.now
        self._propose(node, log_commands.encode_command(draft), 2_000.0)

    # The run.

    def run(self) -> Emulator:
        """Simulate the run until `seconds` of simulated time, end all open periods, and return self."""
        network = self.network
        for now, n, event in network.deliver(self.seconds * 1e3):
            if isinstance(event, tuple):
                self._receive(n, *event)
            elif isinstance(event, _PersistedVersions):
                self._on_persisted(n, event)
            elif event == "world":
                self._elect()
                self._replicate()
                network.at(now + REPLICATION_MS, 0, "world")
            elif event == "push":
                if now < self.seconds * 1e3 - QUIET_MS:
                    self._push()
                network.at(now + self.random.uniform(*self.push_s) * 1e3, 0, "push")
            elif event == "kill":
                self._end(n)
            elif event == "start":
                if self.nodes[n].member is None:
                    self._start(n)
            elif event == "stop":
                if self.nodes[n].member is not None:
                    self._end_period(self.nodes[n], now)
                    self.counted["stops"] += 1
            elif event == "cont":
                if self.nodes[n].member is not None:
                    self.network.at(now, n, f"tick {self.nodes[n].incarnation}")
            else:
                self._timer(n, event)
        for node in self.nodes:
            self._end_period(node, network.now)
        return self

    def _timer(self, n: int, event: str) -> None:
        node = self.nodes[n]
        kind, _, number = event.partition(" ")
        if node.member is None or node.publisher is None or self.network.paused[n]:
            if kind == "own" and int(number) == self.epoch:
                self.network.at(self.network.now + 500.0, n, event)
            return
        if kind == "tick":
            if int(number) == node.incarnation:
                self._step(node)
                self._send_proposals(node)
                self._record_blind_time(node)
                self.network.at(self.network.now + TICK_MS, n, event)
        elif kind == "own" and int(number) == self.epoch:
            node.publisher.on_lease_acquired(self.clock(node), 1_000 * self.epoch)
        elif kind == "disown" and n != self.leader:
            node.publisher.on_lease_lost()

    def _on_persisted(self, n: int, persisted: _PersistedVersions) -> None:
        node = self.nodes[n]
        if node.member is None or node.incarnation != persisted.incarnation:
            return
        if self.network.paused[n]:
            self.network.at(self.network.now + 50.0, n, persisted)
            return
        node.restored = RestoredVersions(persisted.versions, self.network.now)
        node.member.on_persisted(persisted.versions)
        node.persisting = False
        self._step(node)

    def _receive(self, n: int, source: int, data: bytes) -> None:
        message = _decode(data)
        node = self.nodes[n]
        if message[0] == "p" and n == self.leader:
            self._request_acks(message[1], message[2])
        elif message[0] == "a":
            self.network.send(n, source, _encode(["k", message[1], message[2]]))
        elif message[0] == "k" and n == self.leader and message[2] == self.epoch and message[1] in self.open:
            self.open[message[1]][1].add(source)
            self._commit(message[1])
        elif message[0] == "e":
            self._apply(node, message[1], message[2])
            if node.member is not None:
                self.network.send(n, source, _encode(["t", node.applied_count, message[3], node.incarnation]))
        elif message[0] == "t" and n == self.leader and message[2] == self.epoch:
            # A restarted process has no entries: its position goes back.
            self.applied_counts[source] = message[1]


@dataclass(slots=True, frozen=True)
class _PersistedVersions:
    """A finished write of versions to disk."""

    incarnation: int
    versions: tuple[Version, ...]


def drawn(count: int, seed: int, seconds: float) -> str:
    """Return a script of faults drawn from the seed: cuts, kills, stops, loss, delays."""
    rng, statements = random.Random(seed * 7 + 1), []
    begin = 3.0
    while begin < seconds - 6.0:
        length = rng.uniform(0.3, 7.0)
        until, node = min(begin + length, seconds - 5.0), rng.randrange(count)
        kind = rng.choice(("cut", "cut", "lone", "kill", "stop", "stop", "loss", "oneway", "delay"))
        others = ",".join(str(other) for other in range(count) if other != node)
        if kind == "cut":
            side = rng.sample(range(count), rng.randrange(1, count // 2 + 1))
            other_side = [other for other in range(count) if other not in side]
            statements.append(
                f"{begin:.2f}-{until:.2f} cut {','.join(map(str, side))}|{','.join(map(str, other_side))}"
            )
        elif kind == "lone":
            statements.append(f"{begin:.2f}-{until:.2f} cut {node}|{others}")
        elif kind == "oneway":
            statements.append(f"{begin:.2f}-{until:.2f} oneway {node}>{others}")
        elif kind in ("kill", "stop"):
            statements.append(f"{begin:.2f} {kind} {node}; {until:.2f} {'start' if kind == 'kill' else 'cont'} {node}")
        elif kind == "loss":
            statements.append(f"{begin:.2f}-{until:.2f} loss {rng.uniform(0.05, 0.4):.2f}")
        else:
            statements.append(f"{begin:.2f}-{until:.2f} delay 5-{rng.randrange(50, 600)}")
        begin += rng.uniform(0.5, 5.0)
    return "; ".join(statements)


def play(count: int, seed: int, faults: str | None, seconds: float, **options: Any) -> Emulator:
    """Run an emulator to its end and return it.

    `faults`: a script; None or `drawn` for one from the seed. InvalidScriptError if it can't be parsed.
    """
    text = drawn(count, seed, seconds) if faults in (None, "drawn") else faults
    return Emulator(count, seed, parse(text or "", count), seconds, **options).run()


def measure(world: Emulator) -> dict[str, Any]:
    """Return the figures of a run.

    `contradiction_ms`: the longest time in which two coordinators acted on contradicting versions, each on one alone;
    `blind_ms`: the longest time in which a coordinator acting on an intersection permitted what the live version,
    which it had not received, forbids.
    """
    cache: dict[tuple[int, int], bool] = {}

    def is_contradiction(first: int, second: int) -> bool:
        key = (min(first, second), max(first, second))
        if key not in cache:
            cache[key] = contradicts(world.tables[first].rules, world.tables[second].rules)
        return cache[key]

    found = find_longest_contradiction(world.spans, is_contradiction)
    machine = max((node.machine for node in world.nodes), key=lambda machine: machine.applied_index)
    contradicting_versions = sum(
        is_contradiction(first, second)
        for first, second in zip(sorted(world.live_at), sorted(world.live_at)[1:], strict=False)
    )
    final_versions = {node.machine.active_version for node in world.nodes if node.member is not None}
    apply_times = sorted(
        all_at - world.pushed[version.author]
        for number, version in world.tables.items()
        if version.author in world.pushed
        and len(activations := world.activation_times.get(number, [])) >= world.count
        and (all_at := max(activations[: world.count])) > world.pushed[version.author]
    )
    blind = sorted(
        [
            *world.blind,
            *(world.network.now - blind_since for blind_since in world.blind_since if blind_since < math.inf),
        ]
    )
    return {
        "nodes": world.count,
        "seconds": world.seconds,
        "lease_ms": world.settings.lease_ms,
        "contradiction_ms": round(found.longest_ms, 3),
        "contradictions_ms": round(found.total_ms, 3),
        "blind_ms": round(max(blind, default=0.0), 1),
        "versions": machine.last_version,
        "live": machine.active_version,
        "contradicting_versions": contradicting_versions,
        "pushed": len(world.pushed),
        "leaders": world.epoch,
        "stale_tokens": machine.counts["stale"],
        "on_meet_share": round(sum(world.intersection_ms) / (world.count * world.seconds * 1e3), 4),
        "applied_ms_median": round(apply_times[len(apply_times) // 2], 1) if apply_times else None,
        "applied_ms_most": round(apply_times[-1], 1) if apply_times else None,
        "applied": len(apply_times),
        "lives_at_the_end": sorted(final_versions),
        "entries": len(world.entries),
        "messages": world.network.message_faults.passed,
    }


def write(world: Emulator, figures: dict[str, Any], folder: str) -> str:
    """Write the figures and all periods as JSON, for the checker or a plot, and return the file's path."""
    path = Path(folder, "settings.json")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.encode({"figures": figures, "spans": world.spans, "live_at": world.live_at}))
    return str(path)
