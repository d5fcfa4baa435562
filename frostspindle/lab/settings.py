"""Plays agreed settings among many coordinators under faults, on a simulated network, clocks, disks and log.

Owns the simulated world: pushes, who publishes, a replicated log whose consensus is taken as given (its entries are one
list; a leader commits only with answers of a majority of the voters, over the same network), and the spans of time in
which each coordinator acted plainly on a version, by true time. It must never decide about a version by itself: what is
played is the decisions and the state machine of `frostspindle/settings`.
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

TICK_MS, SPREAD_MS, AGAIN_MS = 50.0, 25.0, 150.0  # a coordinator's look; the leader's word to others; proposals again
ELECT_MS, BATCH = 400.0, 1_100  # without a leader; bytes of entries in one message
QUIET_MS = 3_500.0  # at the end nothing is pushed: all must come to act on one version
_OUT, _IN = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder().decode


@dataclass(slots=True)
class Place:
    """One coordinator: its disk, which outlives its processes, and its process."""

    number: int
    rate: float
    offset: float
    kept: RestoredVersions = field(default_factory=RestoredVersions)
    life: int = 0
    at: int = 0  # entries applied
    machine: SettingsStateMachine = field(default_factory=SettingsStateMachine)
    member: MemberDecisions | None = None
    publisher: PublisherDecisions | None = None
    waiting: dict[str, tuple[bytes, float, float]] = field(default_factory=dict)  # proposals: command, until, sent
    proposed: int = 0
    keeping: bool = False
    publishing: str = ""
    since: tuple[int, float] = (0, 0.0)  # the version acted on plainly, and since when (true time)
    ticking: int = -1  # the life whose ticks run


class Emulator:
    """One run. The first `voters` coordinators are the voters of the log; true time is the network's, in ms."""

    def __init__(
        self,
        count: int,
        seed: int,
        script: Script,
        seconds: float,
        terms: AgreementSettings | None = None,
        push_s: tuple[float, float] = (0.4, 1.8),
        voters: int = 0,
    ) -> None:
        self.count, self.seconds, self.terms = count, seconds, terms or AgreementSettings(drift=0.01, trial_ms=4_000.0)
        self.random = random.Random(seed)
        self.network = Network(count, script, seed)
        self.script = script
        self.push_s = push_s
        self.voters = voters or min(5, count - 1 + count % 2)
        rates = dict(script.clocks)
        drift = self.terms.drift
        self.places = [
            Place(n, rates.get(n, 1.0 + self.random.uniform(-drift, drift)), self.random.uniform(0, 1e6))
            for n in range(count)
        ]
        self.entries: list[tuple[str, bytes]] = []  # and the number of each proposal
        self.committed: set[str] = set()
        self.open: dict[str, tuple[bytes, set[int]]] = {}  # at the leader: answers of voters
        self.leader, self.epoch, self.without = -1, 0, 0.0
        self.heard_at = [0] * count  # by the leader: how far each has applied
        self.spans: list[ActivePeriod] = []
        self.tables: dict[int, Version] = {0: EMPTY_VERSION}
        self.live_at: dict[int, float] = {}
        self.pushed: dict[str, float] = {}  # by draft when
        self.took: dict[int, list[float]] = {}  # by version: when each coordinator acted on it plainly, once all live
        self.blind: list[float] = []  # longest times on a meet that permits what the live version forbids
        self.blind_since = [math.inf] * count
        self.meets = [0.0] * count
        self.counted: Counter[str] = Counter()
        for n in range(count):
            self._start(n)
        for at in (SPREAD_MS, ELECT_MS):
            self.network.at(at, 0, "world")
        self.network.at(1_500.0, 0, "push")

    # Clocks.

    def clock(self, place: Place) -> float:
        """Return a coordinator's own clock, ms."""
        return place.offset + place.rate * self.network.now

    def true(self, place: Place, clock: float) -> float:
        """Return the true time, in ms, at which a coordinator's own clock shows `clock`."""
        return (clock - place.offset) / place.rate

    # Processes.

    def _start(self, n: int) -> None:
        place = self.places[n]
        place.life += 1
        place.at, place.machine = 0, SettingsStateMachine()
        place.waiting, place.keeping, place.publishing = {}, False, ""
        now = self.clock(place)
        place.member = MemberDecisions(f"c{n}", place.life, self.terms, place.machine, now, restored=place.kept)
        place.publisher = PublisherDecisions(self.terms, place.machine)
        place.since = (0, self.network.now)
        self.network.at(self.network.now + self.random.uniform(0.0, TICK_MS), n, f"tick {place.life}")

    def _end(self, n: int) -> None:
        place = self.places[n]
        self._cut(place, self.network.now)
        place.member = place.publisher = None

    def _cut(self, place: Place, at: float) -> None:
        """The coordinator acts no more as it did."""
        version, since = place.since
        if version and place.member is not None:
            ends = min(at, max(since, self.true(place, place.member.lease_until_ms)))
            if ends > since:
                self.spans.append(ActivePeriod(f"c{place.number}", version, since, ends))
        place.since = (0, at)

    # The log.

    def _linked(self, a: int, b: int) -> bool:
        """Whether the script lets messages pass both ways now."""
        now = self.network.now / 1e3
        for rule in self.script.rules:
            if rule.begins <= now < rule.ends and rule.kind in ("cut", "oneway"):
                sides = [next((k for k, group in enumerate(rule.groups) if x in group), -1) for x in (a, b)]
                if rule.kind == "cut" and sides[0] != sides[1] and -1 not in sides:
                    return False
                if rule.kind == "oneway" and {0, 1} == set(sides):
                    return False
        return True

    def _runs(self, n: int) -> bool:
        return self.network.up[n] and not self.network.paused[n]

    def _able(self, n: int) -> bool:
        voters = sum(self._runs(v) and self._linked(n, v) for v in range(self.voters))
        return self._runs(n) and voters > self.voters // 2

    def _elect(self) -> None:
        now = self.network.now
        if self.leader >= 0 and self._able(self.leader):
            self.without = now
            return
        if now - self.without < ELECT_MS and self.epoch:
            return
        able = [n for n in range(self.voters) if self._able(n)]
        if not able:
            return
        old, self.leader = self.leader, self.random.choice(able)
        self.epoch, self.without = self.epoch + 1, now
        self.open = {}
        self.heard_at = [0] * self.count
        # The lease of the task goes to the new one, later; the old one may believe for a while that it has it.
        self.network.at(now + self.random.uniform(300.0, 2_500.0), self.leader, f"own {self.epoch}")
        if old >= 0:
            self.network.at(now + self.random.uniform(0.0, 2_000.0), old, f"disown {self.epoch}")

    def _propose(self, place: Place, command: bytes, within_ms: float) -> str:
        place.proposed += 1
        pid = f"{place.number}.{place.life}.{place.proposed}"
        place.waiting[pid] = (command, self.network.now + within_ms, -math.inf)
        self._send_proposals(place)
        return pid

    def _send_proposals(self, place: Place) -> None:
        now = self.network.now
        for pid, (command, until, sent) in list(place.waiting.items()):
            if now > until:
                del place.waiting[pid]
            elif now - sent >= AGAIN_MS and self.leader >= 0:
                place.waiting[pid] = (command, until, now)
                if self.leader == place.number:
                    self._take(pid, command)
                else:
                    self.network.send(place.number, self.leader, _OUT(["p", pid, command]))

    def _take(self, pid: str, command: bytes) -> None:
        """At the leader: ask the other voters."""
        if pid in self.committed:
            return
        _, answers = self.open.setdefault(pid, (command, {self.leader}))
        self._commit(pid)
        for voter in range(self.voters):
            if voter not in answers:
                self.network.send(self.leader, voter, _OUT(["a", pid, self.epoch]))

    def _commit(self, pid: str) -> None:
        command, answers = self.open[pid]
        if len(answers) > self.voters // 2 and self._able(self.leader) and pid not in self.committed:
            self.committed.add(pid)
            self.entries.append((pid, command))
            self.open.pop(pid)

    def _spread(self) -> None:
        """The leader tells each what it lacks."""
        if self.leader < 0 or not self._runs(self.leader):
            return
        own = self.places[self.leader]
        self._apply(own, own.at, self.entries[own.at :])
        for n in range(self.count):
            if n != self.leader and self.heard_at[n] < len(self.entries):
                begin, size, rows = self.heard_at[n], 0, []
                for entry in self.entries[begin : begin + 64]:
                    size += len(entry[0]) + len(entry[1]) + 6
                    if rows and size > BATCH:
                        break
                    rows.append(entry)
                self.network.send(self.leader, n, _OUT(["e", begin, rows, self.epoch]))

    def _apply(self, place: Place, begin: int, rows: list[tuple[str, bytes]]) -> None:
        if place.member is None:
            return
        for index, (pid, entry) in enumerate(rows, begin):
            if index != place.at:
                continue
            place.at += 1
            place.waiting.pop(pid, None)
            result = place.machine.apply(place.at, entry)
            place.member.on_entry_applied(self.clock(place), entry, result)
            machine = place.machine
            for number in (machine.active_version, machine.pending_version):
                if number and number not in self.tables:
                    self.tables[number] = machine.version(number)
            if machine.active_version not in self.live_at:
                self.live_at[machine.active_version] = self.network.now
            self._look(place)
        self._step(place)

    # A coordinator's turn.

    def _look(self, place: Place) -> None:
        holder = place.member
        assert holder is not None
        acting = holder.current_rules(self.clock(place))
        plain = acting.versions[0] if acting.mode == RulesMode.VERSION else 0
        if plain != place.since[0]:
            self._cut(place, self.network.now)
            place.since = (plain, self.network.now)
            if plain:
                self.took.setdefault(plain, []).append(self.network.now)
        holder.on_rules_applied(acting)

    def _step(self, place: Place) -> None:
        holder, publisher, n = place.member, place.publisher, place.number
        if holder is None or publisher is None:
            return
        now = self.clock(place)
        self._look(place)
        if not place.keeping and (versions := holder.versions_to_persist()):
            place.keeping = True
            self.network.at(self.network.now + self.random.uniform(1.0, 20.0), n, _Keep(place.life, versions))
        if (hold := holder.next_renewal(now)) is not None:
            self._propose(place, log_commands.encode_command(hold), self.terms.lease_ms)
        if place.publishing and place.publishing not in place.waiting:
            place.publishing = ""
        if publisher.token and not place.publishing and (word := publisher.next_command(now)) is not None:
            place.publishing = self._propose(place, log_commands.encode_command(word), 1_000.0)

    def _blind(self, place: Place) -> None:
        """How long a coordinator on a meet permits what the live version forbids: what it can't know."""
        holder, n = place.member, place.number
        now = self.network.now
        live = max(self.live_at, default=0)
        bad = False
        if holder is not None and not self.network.paused[n] and live:
            acting = holder.current_rules(self.clock(place))
            if acting.mode == RulesMode.INTERSECTION:
                self.meets[n] += TICK_MS
                bad = acting.reason != "pending" and not permits_no_more(acting.rules, self.tables[live].rules)
        if bad and self.blind_since[n] == math.inf:
            self.blind_since[n] = now
        elif not bad and self.blind_since[n] < math.inf:
            self.blind.append(now - self.blind_since[n])
            self.blind_since[n] = math.inf

    def _push(self) -> None:
        able = [place for place in self.places if place.member is not None and self._runs(place.number)]
        if not able:
            return
        place, draw = self.random.choice(able), self.random
        live = place.machine.version(place.machine.active_version)
        number = len(self.pushed) + 1
        kind = draw.choice(("ban", "ban", "part", "limit", "share", "back", "bad", "stale"))
        engine = f"e{draw.randrange(6)}"
        changes: dict[str, Any] = {f"ban/{engine}": None if f"ban/{engine}" in live.rules else Ban(engine, str(number))}
        if kind == "part":
            cut = draw.randrange(1, 10) / 10.0
            changes = {
                "scope/coordinator": ListScope(),
                "coordinator/c0": Coordinator("c0", cut),
                "coordinator/c1": Coordinator("c1", round(1.0 - cut, 1)),
            }
        elif kind == "limit":
            changes = {"limit/open_requests": Limit(float(draw.randrange(20, 400)))}
        elif kind == "share":
            changes = {"tenant/blue": Tenant("blue", float(draw.randrange(100)))}
        made = live.child(live.number + 1, changes)
        base, digest, to = live.number, made.digest_bytes, -1
        if kind == "back" and live.number > 2:
            base, to = -1, live.number - draw.randrange(1, 3)
        elif kind == "bad":
            digest = bytes(16)
        elif kind == "stale":
            base = max(0, base - 1)
        draft = DraftPiece(f"c{place.number}", place.life, number, base, digest, 0, 1, pack_changes(changes), to)
        self.pushed[draft.key] = self.network.now
        self._propose(place, log_commands.encode_command(draft), 2_000.0)

    # The world.

    def run(self) -> Emulator:
        """Play the run until `seconds` of simulated time, end all open spans, and return self."""
        network = self.network
        for now, n, what in network.deliver(self.seconds * 1e3):
            if isinstance(what, tuple):
                self._hear(n, *what)
            elif isinstance(what, _Keep):
                self._kept(n, what)
            elif what == "world":
                self._elect()
                self._spread()
                network.at(now + SPREAD_MS, 0, "world")
            elif what == "push":
                if now < self.seconds * 1e3 - QUIET_MS:
                    self._push()
                network.at(now + self.random.uniform(*self.push_s) * 1e3, 0, "push")
            elif what == "kill":
                self._end(n)
            elif what == "start":
                if self.places[n].member is None:
                    self._start(n)
            elif what == "stop":
                if self.places[n].member is not None:
                    self._cut(self.places[n], now)
                    self.counted["stops"] += 1
            elif what == "cont":
                if self.places[n].member is not None:
                    self.network.at(now, n, f"tick {self.places[n].life}")
            else:
                self._timer(n, what)
        for place in self.places:
            self._cut(place, network.now)
        return self

    def _timer(self, n: int, what: str) -> None:
        place = self.places[n]
        word, _, number = what.partition(" ")
        if place.member is None or place.publisher is None or self.network.paused[n]:
            if word == "own" and int(number) == self.epoch:
                self.network.at(self.network.now + 500.0, n, what)
            return
        if word == "tick":
            if int(number) == place.life:
                self._step(place)
                self._send_proposals(place)
                self._blind(place)
                self.network.at(self.network.now + TICK_MS, n, what)
        elif word == "own" and int(number) == self.epoch:
            place.publisher.on_lease_acquired(self.clock(place), 1_000 * self.epoch)
        elif word == "disown" and n != self.leader:
            place.publisher.on_lease_lost()

    def _kept(self, n: int, keep: _Keep) -> None:
        place = self.places[n]
        if place.member is None or place.life != keep.life:
            return
        if self.network.paused[n]:
            self.network.at(self.network.now + 50.0, n, keep)
            return
        place.kept = RestoredVersions(keep.versions, self.network.now)
        place.member.on_persisted(keep.versions)
        place.keeping = False
        self._step(place)

    def _hear(self, n: int, source: int, data: bytes) -> None:
        word = _IN(data)
        place = self.places[n]
        if word[0] == "p" and n == self.leader:
            self._take(word[1], word[2])
        elif word[0] == "a":
            self.network.send(n, source, _OUT(["k", word[1], word[2]]))
        elif word[0] == "k" and n == self.leader and word[2] == self.epoch and word[1] in self.open:
            self.open[word[1]][1].add(source)
            self._commit(word[1])
        elif word[0] == "e":
            self._apply(place, word[1], word[2])
            if place.member is not None:
                self.network.send(n, source, _OUT(["t", place.at, word[3], place.life]))
        elif word[0] == "t" and n == self.leader and word[2] == self.epoch:
            # A process that began anew lacks all: its word goes down again.
            self.heard_at[source] = word[1]


@dataclass(slots=True, frozen=True)
class _Keep:
    """Versions that are durable once this comes."""

    life: int
    versions: tuple[Version, ...]


def drawn(count: int, seed: int, seconds: float) -> str:
    """Return a script of faults drawn from the seed: cuts, kills, stops, loss, delays."""
    draw, parts = random.Random(seed * 7 + 1), []
    at = 3.0
    while at < seconds - 6.0:
        length = draw.uniform(0.3, 7.0)
        until, n = min(at + length, seconds - 5.0), draw.randrange(count)
        kind = draw.choice(("cut", "cut", "lone", "kill", "stop", "stop", "loss", "oneway", "delay"))
        others = ",".join(str(x) for x in range(count) if x != n)
        if kind == "cut":
            side = draw.sample(range(count), draw.randrange(1, count // 2 + 1))
            rest = [x for x in range(count) if x not in side]
            parts.append(f"{at:.2f}-{until:.2f} cut {','.join(map(str, side))}|{','.join(map(str, rest))}")
        elif kind == "lone":
            parts.append(f"{at:.2f}-{until:.2f} cut {n}|{others}")
        elif kind == "oneway":
            parts.append(f"{at:.2f}-{until:.2f} oneway {n}>{others}")
        elif kind in ("kill", "stop"):
            parts.append(f"{at:.2f} {kind} {n}; {until:.2f} {'start' if kind == 'kill' else 'cont'} {n}")
        elif kind == "loss":
            parts.append(f"{at:.2f}-{until:.2f} loss {draw.uniform(0.05, 0.4):.2f}")
        else:
            parts.append(f"{at:.2f}-{until:.2f} delay 5-{draw.randrange(50, 600)}")
        at += draw.uniform(0.5, 5.0)
    return "; ".join(parts)


def play(count: int, seed: int, faults: str | None, seconds: float, **more: Any) -> Emulator:
    """Play one run and return it. `faults`: a script; None or `drawn` for one from the seed. BadScript if it can't
    be read."""
    text = drawn(count, seed, seconds) if faults in (None, "drawn") else faults
    return Emulator(count, seed, parse(text or "", count), seconds, **more).run()


def measure(world: Emulator) -> dict[str, Any]:
    """Return the figures of a run, in ms where named so. `contradiction_ms`: the longest time that any two acted
    plainly on contradicting versions; `blind_ms`: the longest that one acting on the meet permitted what the live
    version, which it had not received, forbids."""
    memo: dict[tuple[int, int], bool] = {}

    def clash(one: int, two: int) -> bool:
        key = (min(one, two), max(one, two))
        if key not in memo:
            memo[key] = contradicts(world.tables[one].rules, world.tables[two].rules)
        return memo[key]

    found = find_longest_contradiction(world.spans, clash)
    machine = max((place.machine for place in world.places), key=lambda machine: machine.applied_index)
    ran = sum(clash(one, two) for one, two in zip(sorted(world.live_at), sorted(world.live_at)[1:], strict=False))
    ends = {place.machine.active_version for place in world.places if place.member is not None}
    times = sorted(
        all_at - world.pushed[version.author]
        for number, version in world.tables.items()
        if version.author in world.pushed
        and len(took := world.took.get(number, [])) >= world.count
        and (all_at := max(took[: world.count])) > world.pushed[version.author]
    )
    blind = sorted([*world.blind, *(world.network.now - since for since in world.blind_since if since < math.inf)])
    return {
        "nodes": world.count,
        "seconds": world.seconds,
        "lease_ms": world.terms.lease_ms,
        "contradiction_ms": round(found.longest_ms, 3),
        "contradictions_ms": round(found.total_ms, 3),
        "blind_ms": round(max(blind, default=0.0), 1),
        "versions": machine.last_version,
        "live": machine.active_version,
        "contradicting_versions": ran,
        "pushed": len(world.pushed),
        "leaders": world.epoch,
        "stale_tokens": machine.counts["stale"],
        "on_meet_share": round(sum(world.meets) / (world.count * world.seconds * 1e3), 4),
        "applied_ms_median": round(times[len(times) // 2], 1) if times else None,
        "applied_ms_most": round(times[-1], 1) if times else None,
        "applied": len(times),
        "lives_at_the_end": sorted(ends),
        "entries": len(world.entries),
        "messages": world.network.message_faults.passed,
    }


def write(world: Emulator, figures: dict[str, Any], folder: str) -> str:
    """Write the figures and all spans as JSON, for the checker or a plot, and return the file's path."""
    path = Path(folder, "settings.json")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.encode({"figures": figures, "spans": world.spans, "live_at": world.live_at}))
    return str(path)
