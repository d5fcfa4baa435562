"""The replicated log in simulated time: the real members on the real library, over the lab's simulated network.

It replaces the library's clock and randomness, simulates streams between members (ordered and complete until they
break, as TCP), and disks that take time to sync and lose unsynced writes when a member is killed. It never corrects a
member's actions. The same seed and the same calls give the same run.

    lab = EmulatedReplicas(5, 3, seed=7, script="5-9 cut 0|1-2; 6 kill 1; 8 start 1",
                           attach=lambda number, log: log.attach("t", Machine()))
    lab.advance(3_000.0)                              # ms
    task = asyncio.create_task(lab.member(4).propose("t", b"x", within_s=2.0))
    await lab.run(task)                               # advances time until it is done

`attach` is called at each start of a member with a new log. `member(i).submit(...)` proposes without a running event
loop. Callbacks of state machines are called in `advance`.
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
RETRY_MS = 200.0  # interval of retransmissions of lost segments and of connection attempts
STALLED_MS = 2_000.0  # a connection without progress for this time is closed


@dataclass(slots=True)
class _Frame:
    connection: int
    source: int
    data: bytes


@dataclass(slots=True)
class _Link:
    connection: int
    up: bool
    peer: int
    voter: bool


@dataclass(slots=True)
class _Event:
    kind: str  # tick, synced, link, again, now
    incarnation: int = 0
    other: int = 0


@dataclass(slots=True)
class _Stream:
    """One direction of a connection."""

    connection: int
    segments: deque[bytes] = field(default_factory=deque)
    last_delivery: float = 0.0
    stuck_since: float | None = None
    retry_scheduled: bool = False  # a retransmission is scheduled


@dataclass(slots=True)
class _Node:
    incarnation: int = 0
    member: LogMember | None = None
    log: Any = None
    records: list[Record] = field(default_factory=list)  # on its disk
    unsynced: PendingWrite | None = None
    syncing: bool = False
    connections: dict[int, int] = field(default_factory=dict)  # by peer: the connection as seen at this end
    inbox: list[_Frame] = field(default_factory=list)
    deferred: list[Any] = field(default_factory=list)
    stopped_at: float = 0.0
    run_scheduled: bool = False


class EmulatedLog:
    """One member's log in simulated time; see replica.base.Log.

    It responds only while `EmulatedReplicas` advances time.
    """

    def __init__(self, lab: EmulatedReplicas, number: int, member: LogMember) -> None:
        self._lab, self._number, self._member = lab, number, member

    @property
    def index(self) -> int:
        """Index of the last entry that this member applied."""
        return self._member.registry.index

    @property
    def leader(self) -> str | None:
        """Name of the leader as known to this member, None without one."""
        return self._member.leader

    def attach(self, topic: str, machine: StateMachine) -> None:
        """Apply a topic's entries with a state machine.

        Raise RuntimeError once an entry was applied, and ValueError for an invalid name or a topic that has a machine.
        """
        if self._member.registry.index:
            raise RuntimeError("the log has started")
        self._member.registry.attach(topic, machine)

    def watch(self, topic: str, listener: EntryListener) -> None:
        """Call `listener` with each entry of a topic, in order, after it was applied."""
        self._member.registry.watch(topic, listener)

    def submit(self, topic: str, command: bytes, within_s: float, on_outcome: Callable[[Outcome], None]) -> None:
        """Propose a command and pass its outcome to `done` in simulated time.

        The outcome is an AppliedEntry, a LogUnavailableError or an OutcomeUnknownError. An empty topic proposes a
        no-op. Raise ValueError for a command that can't be appended.
        """
        if topic:
            self._member.registry.check(topic, command)
        lab, node = self._lab, self._lab.nodes[self._number]
        if node.member is not self._member:
            on_outcome(LogUnavailableError("the log has stopped"))
            return
        self._member.propose(lab.clock(self._number), topic, command, within_s, on_outcome)
        lab._schedule_run(self._number)

    async def propose(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        """Append a command and return once this member applied it.

        Raise ValueError for a command that can't be appended, LogUnavailableError if it was not appended, and
        OutcomeUnknownError if it may be, after `within_s` simulated seconds.
        """
        self._member.registry.check(topic, command)
        return await self._propose_and_wait(topic, command, within_s)

    async def barrier(self, within_s: float) -> int:
        """Commit a no-op and return its index once this member applied all entries committed before the call.

        Raise the errors of `propose`.
        """
        return (await self._propose_and_wait("", b"", within_s)).index

    async def _propose_and_wait(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.submit(topic, command, within_s, lambda result: None if future.done() else future.set_result(result))
        outcome = await future
        if isinstance(outcome, AppliedEntry):
            return outcome
        raise outcome


class EmulatedReplicas:
    """Members named c0, c1, ..., of which the first `voters` vote."""

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
        self._last_connection = 0
        self.faults: list[str] = []  # errors that stopped a member
        self.notices: list[tuple[float, int, str]] = []  # time, member, text; for example promotions
        for number in range(nodes):
            self._start(number, first=True)
        for low in range(nodes):
            for high in range(low + 1, nodes):
                self.network.at(0.0, low, _Event("link", other=high))

    # Interface.

    @property
    def now(self) -> float:
        """True time in ms."""
        return self.network.now

    def clock(self, number: int) -> float:
        """Return a member's own monotonic clock, in seconds."""
        return 1_000.0 + self.network.now * self.rates.get(number, 1.0) / 1_000.0

    def member(self, number: int) -> EmulatedLog:
        """Return the log of a member's current incarnation, or of the last one if it is down."""
        log = self.nodes[number].log
        assert isinstance(log, EmulatedLog)
        return log

    def leaders(self) -> list[int]:
        """Return the members that consider themselves the leader; after a cut there may be two for a while."""
        return [n for n, node in enumerate(self.nodes) if node.member is not None and node.member.is_leader]

    def advance(self, ms: float) -> None:
        """Advance simulated time by `ms` milliseconds."""
        for _, number, event in self.network.deliver(self.network.now + ms):
            self._deliver(number, event)

    async def run(self, *work: Awaitable[Any], most_ms: float = 120_000.0) -> list[Any]:
        """Advance time until all awaitables are done, and return their results or exceptions.

        Raise TimeoutError after `most_ms` of simulated time.
        """
        tasks = [asyncio.ensure_future(awaitable) for awaitable in work]
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
        """Kill a member, as by SIGKILL and a power loss: unsynced writes may be lost."""
        self.network.end(number)
        self._end(number)

    def start(self, number: int) -> None:
        """Start a killed member again with the records on its disk."""
        self.network.up[number] = True
        self._start(number, first=False)

    def stop(self, number: int) -> None:
        """Stop a member as by SIGSTOP, until `cont`."""
        self.network.at(self.now, number, "stop")

    def cont(self, number: int) -> None:
        """Continue a stopped member as by SIGCONT; messages that waited are delivered then."""
        self.network.at(self.now, number, "cont")

    def lose(self, number: int) -> None:
        """Delete the journal of a member, which must be down."""
        assert self.nodes[number].member is None
        self.nodes[number].records = []

    def change_voters(self, number: int, kind: str, voter: str, done: Callable[[int], None]) -> None:
        """Propose at a member to add ("add") or remove ("rem") a voter.

        `done` is called with the library's FAIL_REASON, 0 on success.
        """
        member = self.nodes[number].member
        assert member is not None
        member.change_voters(kind, voter, done)
        self._schedule_run(number)

    # Members.

    def _start(self, number: int, first: bool) -> None:
        node = self.nodes[number]
        node.incarnation += 1
        node.connections, node.inbox, node.deferred, node.syncing, node.unsynced = {}, [], [], False, None
        with self._library_environment(number):
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
        self.network.at(self.now + self.random.uniform(0.0, TICK_MS), number, _Event("tick", node.incarnation))

    def _end(self, number: int) -> None:
        node = self.nodes[number]
        if node.unsynced is not None and self.random.random() < 0.5:
            self._persist(node, node.unsynced)  # the write had reached the disk
        if node.member is not None:
            node.member.stop()
        node.member, node.unsynced = None, None
        for other in range(len(self.nodes)):
            self._disconnect(number, other)

    @contextmanager
    def _library_environment(self, number: int) -> Any:
        """Replace the library's clock and randomness with those of a member."""
        saved = library.monotonicTime, library.random
        library.monotonicTime, library.random = lambda: self.clock(number), self.random
        try:
            yield
        finally:
            library.monotonicTime, library.random = saved

    def _schedule_run(self, number: int) -> None:
        node = self.nodes[number]
        if not node.run_scheduled:
            node.run_scheduled = True
            self.network.at(self.now, number, _Event("now", node.incarnation))

    def _deliver(self, number: int, event: Any) -> None:
        node = self.nodes[number]
        if isinstance(event, _Event) and event.kind == "link":
            self._connect(number, event.other)
            return
        if isinstance(event, _Event) and event.kind == "again":
            stream = self.streams.get((number, event.other))
            if stream is not None and stream.connection == event.incarnation:
                stream.retry_scheduled = False
                self._push(number, event.other)
            return
        if event == "kill":
            self._end(number)
        elif event == "start":
            if node.member is None:
                self._start(number, first=False)
        elif event == "stop":
            node.stopped_at = self.now
        elif event == "cont":
            deferred, node.deferred = node.deferred, []
            for item in deferred:
                self._deliver(number, item)
        elif self.network.paused[number]:
            node.deferred.append(event)
        elif node.member is not None:
            self._handle(number, node, node.member, event)

    def _handle(self, number: int, node: _Node, member: LogMember, event: Any) -> None:
        if isinstance(event, _Frame):
            if node.connections.get(event.source) != event.connection:
                return
            node.inbox.append(event)
        elif isinstance(event, _Link):
            self._on_link(number, node, member, event)
        elif event.incarnation != node.incarnation:
            return
        elif event.kind == "tick":
            self.network.at(
                self.now + TICK_MS * self.random.uniform(0.9, 1.1), number, _Event("tick", node.incarnation)
            )
        elif event.kind == "now":
            node.run_scheduled = False
        elif event.kind == "synced":
            assert node.unsynced is not None
            self._persist(node, node.unsynced)
            node.unsynced, node.syncing = None, False
            self._finish(number, node, member)
        if not node.syncing and node.member is member:
            self._cycle(number, node, member)

    def _cycle(self, number: int, node: _Node, member: LogMember) -> None:
        try:
            with self._library_environment(number):
                inbox, node.inbox = node.inbox, []
                for frame in inbox:
                    if node.connections.get(frame.source) == frame.connection:
                        source = self.nodes[frame.source].member
                        peer = f"c{frame.source}"
                        if peer not in member.peers:
                            peer = "~" + peer
                        assert source is None or peer in member.peers
                        member.receive(peer, wire.decode_message(frame.data))
                member.tick(self.clock(number))
        except Exception as error:  # noqa: BLE001 - as in the service the member stops; `faults` reports it
            self._stop_faulty(number, node, member, error)
            return
        node.unsynced = member.journal.take_pending_write()
        if node.unsynced is not None:
            node.syncing = True
            self.network.at(self.now + self.random.uniform(*self.sync_ms), number, _Event("synced", node.incarnation))
        else:
            self._finish(number, node, member)

    def _stop_faulty(self, number: int, node: _Node, member: LogMember, error: Exception) -> None:
        self.faults.append(f"c{number} at {self.now:.0f}: {error!r}")
        member.stop()
        node.member = None
        for other in range(len(self.nodes)):
            self._disconnect(number, other)

    def _finish(self, number: int, node: _Node, member: LogMember) -> None:
        """Send the messages that waited for the write, and apply committed entries."""
        messages, full_peers = member.take_outbox()
        for peer, message in messages:
            other = int(peer.lstrip("~c"))
            stream = self.streams.get((number, other))
            if stream is not None and node.connections.get(other) == stream.connection:
                stream.segments.append(wire.encode_message(message))
                self._push(number, other)
        for peer in full_peers:
            self._disconnect(number, int(peer.lstrip("~c")))
        with self._library_environment(number):
            try:
                while member.apply_committed():
                    pass
                member.compact()
            except Exception as error:  # noqa: BLE001
                self._stop_faulty(number, node, member, error)
                return
            if member.ready_to_vote:
                for other in range(len(self.nodes)):
                    self._disconnect(number, other)
                for peer in list(member.peers):
                    member.disconnected(peer)
                node.connections.clear()
                member.promote()
                self.notices.append((self.now, number, "votes again"))

    @staticmethod
    def _persist(node: _Node, writing: PendingWrite) -> None:
        node.records = list(writing.records) if writing.replaces_all else [*node.records, *writing.records]

    # Streams.

    def _on_link(self, number: int, node: _Node, member: LogMember, link: _Link) -> None:
        stream = self.streams.get((number, link.peer))
        peer = f"c{link.peer}" if link.voter else f"~c{link.peer}"
        with self._library_environment(number):
            if link.up and stream is not None and stream.connection == link.connection:
                node.connections[link.peer] = link.connection
                member.connected(peer, link.voter)
            elif not link.up and node.connections.get(link.peer) == link.connection:
                del node.connections[link.peer]
                member.disconnected(peer)

    def _connect(self, low: int, high: int) -> None:
        """Try to connect two members, and schedule the next attempt."""
        self.network.at(self.now + RETRY_MS * self.random.uniform(0.8, 1.2), low, _Event("link", other=high))
        members = self.nodes[low].member, self.nodes[high].member
        for number in (low, high):
            if self.network.paused[number] and self.now - self.nodes[number].stopped_at > STALLED_MS:
                self._disconnect(low, high)
        if (low, high) in self.streams:
            return
        if members[0] is None or members[1] is None or self.network.paused[low] or self.network.paused[high]:
            return
        if high in self.nodes[low].connections or low in self.nodes[high].connections:
            return  # one end has not noticed yet that the previous connection is closed
        are_voters = [member.voter for member in members]
        if (
            not any(are_voters)
            or are_voters == [True, True]
            and not (f"c{low}" in members[1].voters and f"c{high}" in members[0].voters)
        ):
            return
        delays = [
            self.network.message_faults.draw_delays(self.now / 1_000.0, *direction)
            for direction in ((low, high), (high, low))
        ]
        if not all(delays):
            return
        self._last_connection += 1
        for number, peer, voter in ((low, high, are_voters[1]), (high, low, are_voters[0])):
            self.streams[number, peer] = _Stream(self._last_connection)
            self.network.at(self.now, number, _Link(self._last_connection, True, peer, voter))

    def _push(self, source: int, target: int) -> None:
        stream = self.streams.get((source, target))
        if stream is None or stream.retry_scheduled:
            return
        now = self.now
        while stream.segments:
            delays = self.network.message_faults.draw_delays(now / 1_000.0, source, target)
            if not delays:
                if stream.stuck_since is None:
                    stream.stuck_since = now
                if now - stream.stuck_since > STALLED_MS:
                    self._disconnect(source, target)
                else:
                    stream.retry_scheduled = True
                    self.network.at(now + RETRY_MS, source, _Event("again", stream.connection, target))
                return
            stream.stuck_since = None
            stream.last_delivery = max(stream.last_delivery, now + delays[0])
            self.network.at(stream.last_delivery, target, _Frame(stream.connection, source, stream.segments.popleft()))

    def _disconnect(self, first: int, second: int) -> None:
        """Close a connection; each end notices it at its own time."""
        stream = self.streams.pop((first, second), None)
        self.streams.pop((second, first), None)
        if stream is None:
            return
        for number, peer in ((first, second), (second, first)):
            member = self.nodes[number].member
            if member is not None:
                voter = f"c{peer}" in member.peers
                self.network.at(
                    self.now + self.random.uniform(0.0, RETRY_MS), number, _Link(stream.connection, False, peer, voter)
                )
