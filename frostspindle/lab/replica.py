"""The replicated log in simulated time: the real members on the real library, over the lab's network.

Owns the clock and the randomness that the library sees while it runs here, streams between members (in order, whole,
or broken: as TCP), and disks that take time and lose what was not synced when a member is killed. It must never mend
what a member did. The same seed and the same calls give the same run.

    lab = EmulatedReplicas(5, 3, seed=7, script="5-9 cut 0|1-2; 6 kill 1; 8 start 1",
                           attach=lambda number, log: log.attach("t", Machine()))
    lab.advance(3_000.0)                              # ms
    task = asyncio.create_task(lab.member(4).propose("t", b"x", within_s=2.0))
    await lab.run(task)                               # lets time pass until it is done

`attach` is called at each start of a member, with a new log, as a process is new. Proposals without a running event
loop: `member(i).submit(...)`. A machine's callbacks are called in `advance`.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import pysyncobj.syncobj as library

from frostspindle.lab.faults.script import Script, parse
from frostspindle.lab.network import Network
from frostspindle.replica import wire
from frostspindle.replica.base import MAX_OPEN_PROPOSALS, AppliedEntry, EntryListener, LogUnavailableError, StateMachine
from frostspindle.replica.compaction import SNAPSHOT_AFTER_ENTRIES
from frostspindle.replica.journal import PendingWrite, RaftJournal, Record
from frostspindle.replica.member import LogMember
from frostspindle.replica.proposals import Outcome
from frostspindle.replica.raft import RaftTimeouts

TICK_MS = 50.0
AGAIN_MS = 200.0  # a segment that was lost is sent again, and connections are tried, so often
SILENT_MS = 2_000.0  # then a connection is given up


@dataclass(slots=True)
class _Frame:
    conn: int
    source: int
    data: bytes


@dataclass(slots=True)
class _Link:
    conn: int
    up: bool
    peer: int
    voter: bool


@dataclass(slots=True)
class _Word:
    what: str  # tick, synced, link, again, down
    life: int = 0
    other: int = 0


@dataclass(slots=True)
class _Stream:
    """One direction of a connection."""

    conn: int
    segments: deque[bytes] = field(default_factory=deque)
    last: float = 0.0
    stuck_since: float | None = None
    again: bool = False  # it is tried at a time to come


@dataclass(slots=True)
class _Node:
    life: int = 0
    member: LogMember | None = None
    log: Any = None
    records: list[Record] = field(default_factory=list)  # on its disk
    unsynced: PendingWrite | None = None
    syncing: bool = False
    conns: dict[int, int] = field(default_factory=dict)  # by peer, as this end sees it
    inbox: list[_Frame] = field(default_factory=list)
    stash: list[Any] = field(default_factory=list)
    stopped_at: float = 0.0
    again: bool = False


class EmulatedLog:
    """One member's log in simulated time; see replica.base.Log. It answers only while time is let pass
    (`EmulatedReplicas`)."""

    def __init__(self, lab: EmulatedReplicas, number: int, member: LogMember) -> None:
        self._lab, self._number, self._member = lab, number, member

    @property
    def index(self) -> int:
        """Index of the last entry that was applied here."""
        return self._member.registry.index

    @property
    def leader(self) -> str | None:
        """Name of the leader as known here, None without one."""
        return self._member.leader

    def attach(self, topic: str, machine: StateMachine) -> None:
        """Have a topic's entries applied by a machine. RuntimeError once an entry was applied; ValueError for a bad
        name, or a topic that has a machine."""
        if self._member.registry.index:
            raise RuntimeError("the log has started")
        self._member.registry.attach(topic, machine)

    def watch(self, topic: str, listener: EntryListener) -> None:
        """Have `listener` called with each entry of a topic, in order, after it was applied."""
        self._member.registry.watch(topic, listener)

    def submit(self, topic: str, command: bytes, within_s: float, done: Callable[[Outcome], None]) -> None:
        """Propose a command and hand the outcome (Applied, Unavailable or Uncertain) to `done`, in simulated time.
        ValueError for a command that can't be appended; a topic of "" proposes a no-op."""
        if topic:
            self._member.registry.check(topic, command)
        lab, node = self._lab, self._lab.nodes[self._number]
        if node.member is not self._member:
            done(LogUnavailableError("the log has stopped"))
            return
        self._member.propose(lab.clock(self._number), topic, command, within_s, done)
        lab._soon(self._number)

    async def propose(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        """Append a command and return once it is applied here; ValueError for one that can't be appended, else
        Unavailable (never appended) or Uncertain (it may be) after `within_s` simulated seconds."""
        self._member.registry.check(topic, command)
        return await self._ask(topic, command, within_s)

    async def barrier(self, within_s: float) -> int:
        """Return, once all that was committed before the call is applied here, the index of a committed no-op;
        Unavailable or Uncertain as `propose`."""
        return (await self._ask("", b"", within_s)).index

    async def _ask(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.submit(topic, command, within_s, lambda out: None if future.done() else future.set_result(out))
        outcome = await future
        if isinstance(outcome, AppliedEntry):
            return outcome
        raise outcome


class EmulatedReplicas:
    """So many members, the first `voters` of them voting, named c0, c1, ..."""

    def __init__(
        self,
        nodes: int,
        voters: int,
        seed: int,
        script: Script | str = "",
        attach: Callable[[int, EmulatedLog], None] = lambda number, log: None,
        times: RaftTimeouts | None = None,
        sync_ms: tuple[float, float] = (0.1, 5.0),
        keep: int = SNAPSHOT_AFTER_ENTRIES,
        most_open: int = MAX_OPEN_PROPOSALS,
    ) -> None:
        script = parse(script, nodes) if isinstance(script, str) else script
        self.network = Network(nodes, script, seed)
        self.random = random.Random(f"replicas {seed}")
        self.voters = [f"c{n}" for n in range(voters)]
        self.attach, self.times, self.sync_ms, self.keep, self.most_open = attach, times, sync_ms, keep, most_open
        self.rates = dict(script.clocks)
        self.nodes = [_Node() for _ in range(nodes)]
        self.streams: dict[tuple[int, int], _Stream] = {}
        self._conn = 0
        self.faults: list[str] = []  # members that had to stop
        self.told: list[tuple[float, int, str]] = []  # promotions and the like
        for number in range(nodes):
            self._start(number, first=True)
        for low in range(nodes):
            for high in range(low + 1, nodes):
                self.network.at(0.0, low, _Word("link", other=high))

    # Use.

    @property
    def now(self) -> float:
        """True time, ms."""
        return self.network.now

    def clock(self, number: int) -> float:
        """Return a member's own monotonic clock, in seconds."""
        return 1_000.0 + self.network.now * self.rates.get(number, 1.0) / 1_000.0

    def member(self, number: int) -> EmulatedLog:
        """Return the log of a member's current life, or of the last one if it is down."""
        log = self.nodes[number].log
        assert isinstance(log, EmulatedLog)
        return log

    def leaders(self) -> list[int]:
        """Return the members that take themselves for the leader; after a cut there may be two for a while."""
        return [n for n, node in enumerate(self.nodes) if node.member is not None and node.member.is_leader]

    def advance(self, ms: float) -> None:
        """Let so many ms of simulated time pass."""
        for _, number, what in self.network.deliver(self.network.now + ms):
            self._comes(number, what)

    async def run(self, *work: Awaitable[Any], most_ms: float = 120_000.0) -> list[Any]:
        """Let time pass until all of this is done; return the results, with exceptions among them. TimeoutError
        after `most_ms` of simulated time."""
        tasks = [asyncio.ensure_future(one) for one in work]
        until = self.network.now + most_ms
        for _ in range(3):
            await asyncio.sleep(0)
        while not all(task.done() for task in tasks):
            if self.network.now > until:
                raise TimeoutError(f"not done within {most_ms:g} ms of simulated time")
            self.advance(10.0)
            for _ in range(3):
                await asyncio.sleep(0)
        return list(await asyncio.gather(*tasks, return_exceptions=True))

    def kill(self, number: int) -> None:
        """Kill a member, as by SIGKILL and a power loss: what was not synced to disk may be lost."""
        self.network.end(number)
        self._end(number)

    def start(self, number: int) -> None:
        """Start a killed member again, with what is on its disk."""
        self.network.up[number] = True
        self._start(number, first=False)

    def stop(self, number: int) -> None:
        """Stop a member as by SIGSTOP, until `cont`."""
        self.network.at(self.now, number, "stop")

    def cont(self, number: int) -> None:
        """Continue a stopped member as by SIGCONT; messages that waited meanwhile are delivered then."""
        self.network.at(self.now, number, "cont")

    def lose(self, number: int) -> None:
        """Delete the journal of a member, which must be down."""
        assert self.nodes[number].member is None
        self.nodes[number].records = []

    def change_voters(self, number: int, kind: str, voter: str, done: Callable[[int], None]) -> None:
        """Propose at a member to add ("add") or remove ("rem") a voter; `done` gets the library's FAIL_REASON, 0 on
        success."""
        member = self.nodes[number].member
        assert member is not None
        member.change_voters(kind, voter, done)
        self._soon(number)

    # Members.

    def _start(self, number: int, first: bool) -> None:
        node = self.nodes[number]
        node.life += 1
        node.conns, node.inbox, node.stash, node.syncing, node.unsynced = {}, [], [], False, None
        with self._as(number):
            member = LogMember(
                f"c{number}",
                self.voters,
                RaftJournal(node.records),
                self.random.randbytes(8),
                not first and not node.records,
                self.times,
                self.most_open,
                self.keep,
            )
        node.member, node.log = member, EmulatedLog(self, number, member)
        self.attach(number, node.log)
        self.network.at(self.now + self.random.uniform(0.0, TICK_MS), number, _Word("tick", node.life))

    def _end(self, number: int) -> None:
        node = self.nodes[number]
        if node.unsynced is not None and self.random.random() < 0.5:
            self._keep(node, node.unsynced)  # the disk had it already
        if node.member is not None:
            node.member.stop()
        node.member, node.unsynced = None, None
        for other in range(len(self.nodes)):
            self._break(number, other)

    @contextmanager
    def _as(self, number: int) -> Any:
        """The library's clock and randomness are this member's meanwhile."""
        was = library.monotonicTime, library.random
        library.monotonicTime, library.random = lambda: self.clock(number), self.random
        try:
            yield
        finally:
            library.monotonicTime, library.random = was

    def _soon(self, number: int) -> None:
        node = self.nodes[number]
        if not node.again:
            node.again = True
            self.network.at(self.now, number, _Word("now", node.life))

    def _comes(self, number: int, what: Any) -> None:
        node = self.nodes[number]
        if isinstance(what, _Word) and what.what == "link":
            self._connect(number, what.other)
            return
        if isinstance(what, _Word) and what.what == "again":
            stream = self.streams.get((number, what.other))
            if stream is not None and stream.conn == what.life:
                stream.again = False
                self._push(number, what.other)
            return
        if what == "kill":
            self._end(number)
        elif what == "start":
            if node.member is None:
                self._start(number, first=False)
        elif what == "stop":
            node.stopped_at = self.now
        elif what == "cont":
            stash, node.stash = node.stash, []
            for one in stash:
                self._comes(number, one)
        elif self.network.paused[number]:
            node.stash.append(what)
        elif node.member is not None:
            self._event(number, node, node.member, what)

    def _event(self, number: int, node: _Node, member: LogMember, what: Any) -> None:
        if isinstance(what, _Frame):
            if node.conns.get(what.source) != what.conn:
                return
            node.inbox.append(what)
        elif isinstance(what, _Link):
            self._linked(number, node, member, what)
        elif what.life != node.life:
            return
        elif what.what == "tick":
            self.network.at(self.now + TICK_MS * self.random.uniform(0.9, 1.1), number, _Word("tick", node.life))
        elif what.what == "now":
            node.again = False
        elif what.what == "synced":
            assert node.unsynced is not None
            self._keep(node, node.unsynced)
            node.unsynced, node.syncing = None, False
            self._finish(number, node, member)
        if not node.syncing and node.member is member:
            self._cycle(number, node, member)

    def _cycle(self, number: int, node: _Node, member: LogMember) -> None:
        try:
            with self._as(number):
                inbox, node.inbox = node.inbox, []
                for frame in inbox:
                    if node.conns.get(frame.source) == frame.conn:
                        source = self.nodes[frame.source].member
                        peer = f"c{frame.source}"
                        if peer not in member.peers:
                            peer = "~" + peer
                        assert source is None or peer in member.peers
                        member.receive(peer, wire.decode_message(frame.data))
                member.tick(self.clock(number))
        except Exception as error:  # noqa: BLE001 - as the service: the member stops, the run tells
            self._fault(number, node, member, error)
            return
        node.unsynced = member.journal.take_pending_write()
        if node.unsynced is not None:
            node.syncing = True
            self.network.at(self.now + self.random.uniform(*self.sync_ms), number, _Word("synced", node.life))
        else:
            self._finish(number, node, member)

    def _fault(self, number: int, node: _Node, member: LogMember, error: Exception) -> None:
        self.faults.append(f"c{number} at {self.now:.0f}: {error!r}")
        member.stop()
        node.member = None
        for other in range(len(self.nodes)):
            self._break(number, other)

    def _finish(self, number: int, node: _Node, member: LogMember) -> None:
        """What is durable now is sent, and what is committed applied."""
        out, full = member.take_outbox()
        for peer, message in out:
            other = int(peer.lstrip("~c"))
            stream = self.streams.get((number, other))
            if stream is not None and node.conns.get(other) == stream.conn:
                stream.segments.append(wire.encode_message(message))
                self._push(number, other)
        for peer in full:
            self._break(number, int(peer.lstrip("~c")))
        with self._as(number):
            try:
                while member.apply_committed():
                    pass
                member.compact()
            except Exception as error:  # noqa: BLE001
                self._fault(number, node, member, error)
                return
            if member.ready_to_vote:
                for other in range(len(self.nodes)):
                    self._break(number, other)
                for peer in list(member.peers):
                    member.disconnected(peer)
                node.conns.clear()
                member.promote()
                self.told.append((self.now, number, "votes again"))

    @staticmethod
    def _keep(node: _Node, writing: PendingWrite) -> None:
        node.records = list(writing.records) if writing.replaces_all else [*node.records, *writing.records]

    # Streams.

    def _linked(self, number: int, node: _Node, member: LogMember, link: _Link) -> None:
        stream = self.streams.get((number, link.peer))
        peer = f"c{link.peer}" if link.voter else f"~c{link.peer}"
        with self._as(number):
            if link.up and stream is not None and stream.conn == link.conn:
                node.conns[link.peer] = link.conn
                member.connected(peer, link.voter)
            elif not link.up and node.conns.get(link.peer) == link.conn:
                del node.conns[link.peer]
                member.disconnected(peer)

    def _connect(self, low: int, high: int) -> None:
        """A pair tries to have a connection."""
        self.network.at(self.now + AGAIN_MS * self.random.uniform(0.8, 1.2), low, _Word("link", other=high))
        members = self.nodes[low].member, self.nodes[high].member
        for number in (low, high):
            if self.network.paused[number] and self.now - self.nodes[number].stopped_at > SILENT_MS:
                self._break(low, high)
        if (low, high) in self.streams:
            return
        if members[0] is None or members[1] is None or self.network.paused[low] or self.network.paused[high]:
            return
        if high in self.nodes[low].conns or low in self.nodes[high].conns:
            return  # one end has not seen the old one's end yet
        votes = [member.voter for member in members]
        if (
            not any(votes)
            or votes == [True, True]
            and not (f"c{low}" in members[1].voters and f"c{high}" in members[0].voters)
        ):
            return
        ways = [self.network.message_faults.draw_delays(self.now / 1_000.0, *way) for way in ((low, high), (high, low))]
        if not all(ways):
            return
        self._conn += 1
        for number, peer, voter in ((low, high, votes[1]), (high, low, votes[0])):
            self.streams[number, peer] = _Stream(self._conn)
            self.network.at(self.now, number, _Link(self._conn, True, peer, voter))

    def _push(self, source: int, target: int) -> None:
        stream = self.streams.get((source, target))
        if stream is None or stream.again:
            return
        now = self.now
        while stream.segments:
            delays = self.network.message_faults.draw_delays(now / 1_000.0, source, target)
            if not delays:
                if stream.stuck_since is None:
                    stream.stuck_since = now
                if now - stream.stuck_since > SILENT_MS:
                    self._break(source, target)
                else:
                    stream.again = True
                    self.network.at(now + AGAIN_MS, source, _Word("again", stream.conn, target))
                return
            stream.stuck_since = None
            stream.last = max(stream.last, now + delays[0])
            self.network.at(stream.last, target, _Frame(stream.conn, source, stream.segments.popleft()))

    def _break(self, one: int, other: int) -> None:
        """Both ends see it, each at its own time."""
        stream = self.streams.pop((one, other), None)
        self.streams.pop((other, one), None)
        if stream is None:
            return
        for number, peer in ((one, other), (other, one)):
            member = self.nodes[number].member
            if member is not None:
                voter = f"c{peer}" in member.peers
                self.network.at(
                    self.now + self.random.uniform(0.0, AGAIN_MS), number, _Link(stream.conn, False, peer, voter)
                )
