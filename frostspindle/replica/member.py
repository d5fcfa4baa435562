"""One member of the log, without I/O: the library's Raft, its journal in memory, what it sends, and the proposals here.

Owns the order in which things happen: what came is handed to the library, it ticks, what must be durable is taken
(`journal.take`) and written by the owner, only then is `outbox` sent, and only then are committed entries applied
(`drain`). It must never send before that, never do I/O, and never let the library read what can run code.

    member.receive(peer, message); member.step(now)      # and `connected`, `disconnected`, `propose`
    writing = member.journal.take()                      # written and synced by the owner, if there is any
    for peer, message in member.take_outbox(): ...       # sent
    member.drain(); member.compact()

Guards around the library (pysyncobj 0.3.17), each tried out without it, see docs/design/replica.md:
 1. `next_node_idx`, by which a leader counts who has what, carries no term: it is stamped with the sender's, and one
    of another term than the receiver's is dropped.
 2. A follower cuts its log at `prevLogIdx` whatever comes, also where the entries that come are those that it has: an
    older message would take away what it has answered for. Entries that it has are taken out of the message first.
 3. A snapshot replaces the whole log, also a longer one: it is passed over where its last entry is here already.
 4. The library answers for what was not synced: see the order above; its own journal never syncs.
 5. Its transport and snapshots unpickle what comes: not used; see `wire`.
 6. A part of a snapshot carries the leader's commit index, up to which a follower then commits whatever it has, also
    the end of its log that nobody compared: it is taken out.
11. Its import puts a `socket.inet_ntop` for Windows into the whole process: taken back, in `journal`, which all import.
The library's private names are used in `_Raft` alone, and a test holds that this version has them.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from pysyncobj import FAIL_REASON, SyncObj, SyncObjConf
from pysyncobj.config import SERIALIZER_STATE
from pysyncobj.node import Node
from pysyncobj.transport import Transport

from frostspindle.replica import wire
from frostspindle.replica.base import (
    MAX_STATE,
    MOST_OPEN,
    AppliedEntry,
    LogUnavailableError,
    OutcomeUnknownError,
    StateMachineRegistry,
)
from frostspindle.replica.journal import RaftJournal

KEEP = 1_024  # entries, then a snapshot is taken
KEEP_BYTES = 8 << 20
AT_ONCE = 64  # proposals handed over in one step
MOST_OUT = 24 << 20  # bytes for one peer that wait; above a snapshot of the largest states
MOST_SNAPSHOT = 4 * MAX_STATE
JUMP = 1_000  # terms, by which one that forgot its votes is past any that it may have given
NOT_APPENDED = {
    FAIL_REASON.QUEUE_FULL,
    FAIL_REASON.MISSING_LEADER,
    FAIL_REASON.NOT_LEADER,
    FAIL_REASON.REQUEST_DENIED,
    FAIL_REASON.DISCARDED,
}  # another term's entry was committed at its index: it never comes to be
Outcome = AppliedEntry | LogUnavailableError | OutcomeUnknownError
Due = tuple[wire.Entry, wire.Entry, list[str], dict[str, bytes]]


@dataclass(slots=True, frozen=True)
class RaftTimeouts:
    """Raft's times in seconds.

    An election begins after a silence drawn between the two; a leader that has heard of no majority for `fallback`
    steps down.
    """

    heartbeat: float = 0.1
    election_min: float = 0.5
    election_max: float = 1.0
    fallback: float = 1.0


class VoterNode(Node):
    """A voter, given as `name=address` or by its name alone; peers are equal by name."""

    def __init__(self, text: str) -> None:
        name, _, address = text.partition("=")
        super().__init__(name, address=address)

    @property
    def text(self) -> str:
        """The peer as `name=address`, or its name if it has no address."""
        return f"{self.id}={self.address}" if self.address else str(self.id)


class _Outbox(Transport):
    """What the library sends, until it may leave."""

    def __init__(self, member: LogMember) -> None:
        super().__init__(None, None, [])
        self.member = member

    def send(self, node: Node, message: dict[str, Any]) -> bool:
        return self.member._send(node, message)

    def addNode(self, node: Node) -> None:
        self.member.voters_changed = True

    def dropNode(self, node: Node) -> None:
        self.member.voters_changed = True

    def destroy(self) -> None: ...


class _Snapshots:
    """Stands where the library has its Serializer: hands out the journal's snapshot in parts, and takes one in."""

    def __init__(self, member: LogMember) -> None:
        self.member = member
        self._at: dict[Node, tuple[bytes, int]] = {}
        self._coming: bytearray | None = None
        self._read: Any = None

    def checkSerializing(self) -> tuple[int, None]:
        return SERIALIZER_STATE.SERIALIZING, None  # the member takes its own, when all is applied

    def getTransmissionData(self, node: Node) -> tuple[bytes, bool, bool]:
        data, at = self._at.get(node, (self.member.journal.snapshot, 0))
        part = data[at : at + wire.BATCH]
        if part:
            self._at[node] = data, at + len(part)
        else:
            self._at.pop(node, None)
        return part, at == 0, not part

    def cancelTransmisstion(self, node: Node) -> None:
        self._at.pop(node, None)

    def setTransmissionData(self, told: tuple[bytes, bool, bool] | None) -> bool:
        if told is None:
            return False
        part, first, last = told
        if first:
            self._coming = bytearray()
        if self._coming is None:
            return False
        self._coming += part
        if len(self._coming) > MOST_SNAPSHOT:
            self.member.counted["snapshots_refused"] += 1
            self._coming = None
        if not last or self._coming is None:
            return False
        data, self._coming = bytes(self._coming), None
        return self._whole(data)

    def _whole(self, data: bytes) -> bool:
        member = self.member
        try:
            before, last, voters, states = wire.read_snapshot(data)
        except ValueError:
            member.counted["snapshots_refused"] += 1
            return False
        if last[1] <= member.desk.index or member.journal.term_at(last[1]) == last[2]:
            return False  # guard 3
        self._read = (None, last, before, [VoterNode(text) for text in voters])
        member.journal.snapshot = data
        member.restoring = last[1], states
        member.counted["snapshots_taken_over"] += 1
        return True

    def deserialize(self) -> Any:
        return self._read


class _Raft(SyncObj):
    """The library, with our journal and snapshots; the only place that knows its private names."""

    def __init__(self, member: LogMember, me: VoterNode | None, others: Sequence[VoterNode], conf: SyncObjConf) -> None:
        super().__init__(me, others, conf, nodeClass=VoterNode, transport=_Outbox(member))
        journal = member.journal
        self._SyncObj__raftLog = journal
        self._SyncObj__raftCurrentTerm = max(journal.getCurrentTerm(), journal.last[2])
        self._SyncObj__votedForNodeId = journal.getVotedForNodeId()
        self._SyncObj__raftCommitIndex = self._SyncObj__raftLastApplied = journal.applied
        self._SyncObj__serializer = _Snapshots(member)

    @property
    def transport(self) -> _Outbox:
        return self._SyncObj__transport

    def hear(self, node: Node, message: dict[str, Any]) -> None:
        self.transport._onMessageReceived(node, message)

    def hear_answer(self, node: Node, message: dict[str, Any]) -> None:
        """An answer to earlier entries must not have those that are on their way sent again: links lose nothing, and
        after a break the follower asks for what it lacks (`reset`)."""
        following = self._SyncObj__raftNextIndex
        was = following.get(node, 0)
        self.hear(node, message)
        if message["success"] and not message["reset"] and following.get(node, 0) < was:
            following[node] = was

    def hurry(self) -> None:
        """Send what there is in the next tick."""
        self._SyncObj__newAppendEntriesTime = 0.0

    def forget_waiting(self) -> None:
        """The answers of a leader that is out of reach will not come."""
        self._SyncObj__onLeaderChanged()


class _PendingProposal:
    """One that waits for its answer here."""

    __slots__ = ("command", "until", "done", "handed", "no_op", "least")

    def __init__(
        self, command: bytes, until: float, done: Callable[[Outcome], None], no_op: bool, least: float = 0.0
    ) -> None:
        """`least`: with less time left it is handed to nobody, as nothing could be heard of it any more."""
        self.command, self.until, self.done, self.handed, self.no_op = command, until, done, False, no_op
        self.least = least


class LogMember:
    """A voter, or a follower, which reads entries and proposes but does not vote."""

    def __init__(
        self,
        me: str,
        voters: Sequence[str],
        journal: RaftJournal,
        token: bytes,
        forgot: bool = False,
        times: RaftTimeouts | None = None,
        most_open: int = MOST_OPEN,
        keep: int = KEEP,
    ) -> None:
        """`me` and `voters`: `name=address` or names alone; a member that is not among the voters is a follower.

        `token`: 8 bytes that no other life of any member has. `forgot`: the journal of a voter was lost or spoilt, so
        that its votes and answers are not known. ValueError: the journal's snapshot can't be read.
        """
        self.me, self.times = VoterNode(me), times or RaftTimeouts()
        if forgot:
            journal.forget(True)  # until it votes again, over starts too
        self.journal, self.token, self.most_open, self.keep, self._keep = journal, token, most_open, keep, keep
        self.desk = StateMachineRegistry()
        self.counted: Counter[str] = Counter()
        self.restoring: tuple[int, dict[str, bytes]] | None = None
        self.voters_changed = False
        self.waiting: dict[bytes, _PendingProposal] = {}
        self.peers: dict[str, bool] = {}  # connected, and whether as a voter
        self._out: list[tuple[str, dict[str, Any]]] = []
        self._out_bytes: Counter[str] = Counter()
        self._full: list[str] = []
        self._number = 0
        self._sent = (0, 0)
        self._now = self._heard = 0.0  # of the last step, and of a leader's last word
        known = [VoterNode(text) for text in voters]
        if journal.snapshot:
            before, last, kept, states = wire.read_snapshot(journal.snapshot)
            journal.applied = last[1]
            self.restoring = last[1], states
            addresses = {peer.id: peer for peer in known}
            known = [addresses.get(VoterNode(text).id, VoterNode(text)) for text in kept]
        known = self._by_entries(known)
        self.voter = self.me in known and not journal.forgot
        self.wants_vote = self._asked = False
        self._raft = self._new(known)

    def _by_entries(self, voters: list[VoterNode]) -> list[VoterNode]:
        """The voters by the latest of the journal's entries, committed or not, as Raft has it."""
        by_name = {peer.id: peer for peer in voters}
        for command, _, _ in self.journal.between(self.journal.applied, self.journal.last[1]):
            if told := wire.read_change(command):
                peer = VoterNode(told[1])
                if told[0] == "add":
                    by_name.setdefault(peer.id, peer)
                else:
                    by_name.pop(peer.id, None)
        return list(by_name.values())

    def _new(self, voters: list[VoterNode]) -> _Raft:
        times = self.times
        conf = SyncObjConf(
            autoTick=False,
            appendEntriesPeriod=times.heartbeat,
            raftMinTimeout=times.election_min,
            raftMaxTimeout=times.election_max,
            leaderFallbackTimeout=times.fallback,
            connectionTimeout=max(3.5, times.election_max),
            appendEntriesBatchSizeBytes=wire.BATCH,
            commandsWaitLeader=False,
            commandsQueueSize=4 * MOST_OPEN,
            dynamicMembershipChange=True,
            logCompactionMinEntries=2**60,
            logCompactionMinTime=2**40,
        )
        return _Raft(
            self,
            self.me if self.voter else None,
            [peer for peer in voters if not (self.voter and peer == self.me)],
            conf,
        )

    def _covered(self, token: bytes, proposal: _PendingProposal) -> None:
        """A snapshot may hold the entry, and what came of it can't be told: a no-op may go out again."""
        if proposal.no_op:
            proposal.handed = False
        else:
            del self.waiting[token]
            proposal.done(OutcomeUnknownError("a snapshot may hold it"))

    # What is known.

    @property
    def leader(self) -> str | None:
        """Name of the leader while it is heard; None: the library goes on naming one that a follower last heard of."""
        if self.leads:
            return str(self.me.id)
        node = self._raft._getLeader()
        if node is None or node.id not in self.peers or self._now - self._heard > self.times.election_max:
            return None
        return str(node.id)

    @property
    def leads(self) -> bool:
        """Whether this member is the leader, as far as it knows."""
        return bool(self._raft._isLeader())

    @property
    def term(self) -> int:
        """Current Raft term of this member."""
        return int(self._raft.raftCurrentTerm)

    @property
    def committed(self) -> int:
        """Index of the last entry known here to be committed; it may not be applied yet."""
        return int(self._raft.raftCommitIndex)

    @property
    def voters(self) -> dict[str, str]:
        """Voters by name, each as `name=address`."""
        out = {str(node.id): node.text for node in self._raft.otherNodes}
        return out | ({str(self.me.id): self.me.text} if self.voter else {})

    @property
    def pressed(self) -> bool:
        """Whether proposals wait that could be handed over now."""
        return self.leader is not None and any(not one.handed for one in self.waiting.values())

    # Links.

    def connected(self, peer: str, voter: bool) -> None:
        """Note that a peer can be reached, as one of the voters or as a follower."""
        self.peers[peer] = voter
        if voter:
            self._raft.transport._onNodeConnected(VoterNode(peer))
        else:
            self._raft.transport._onReadonlyNodeConnected(VoterNode(peer))

    def disconnected(self, peer: str) -> None:
        """Note that a peer can't be reached; if it led, the answers that were awaited from it are given up."""
        voter = self.peers.pop(peer, None)
        if voter is None:
            return
        leader = self._raft._getLeader()
        if leader is not None and leader.id == peer:
            self._raft.forget_waiting()
        if voter:
            self._raft.transport._onNodeDisconnected(VoterNode(peer))
        else:
            self._raft.transport._onReadonlyNodeDisconnected(VoterNode(peer))

    def receive(self, peer: str, message: dict[str, Any]) -> None:
        """Hand a connected peer's message to the library, after guards 1, 2 and 6; Diverged.

        Messages of unconnected peers, of followers that act as voters, and answers of another term are dropped;
        proposals of topics without a machine here are denied.
        """
        if peer not in self.peers:
            return
        kind = message["type"]
        if kind in ("append_entries", "request_vote", "response_vote") and not self.peers[peer]:
            self.counted["refused"] += 1  # a follower neither leads nor votes
            return
        if kind == "next_node_idx" and message["term"] != self.term:
            self.counted["stale"] += 1  # guard 1
            return
        node = VoterNode(peer)
        if kind == "apply_command" and not self._held(message["command"]):
            self.counted["unheld"] += 1  # nobody appends what one that leads could not apply
            self._send(
                node,
                {
                    "type": "apply_command_response",
                    "request_id": message["request_id"],
                    "error": FAIL_REASON.REQUEST_DENIED,
                },
            )
            return
        if "serialized" in message:
            message["commit_index"] = 0  # guard 6
        if kind == "append_entries" and message["term"] >= self.term:
            self._heard = self._now
        if "prevLogIdx" in message and message["term"] >= self.term and not self._trim(node, message):
            return
        if kind == "next_node_idx":
            self._raft.hear_answer(node, message)
        else:
            self._raft.hear(node, message)

    def _held(self, command: bytes) -> bool:
        if command[0] != wire.ENTRY:
            return True
        try:
            topic = wire.read_body(command[1:])[0]
        except ValueError:
            return False
        return not topic or topic in self.desk.machines

    def _trim(self, node: VoterNode, message: dict[str, Any]) -> bool:
        """Guard 2: take out of a message the entries that are here; False: nothing of it is left to do."""
        journal = self.journal
        at, term, entries = message["prevLogIdx"], message["prevLogTerm"], message["entries"]
        if journal.term_at(at) != term:
            return True  # the library asks for earlier ones
        message["commit_index"] = min(message["commit_index"], at + len(entries))
        same = 0
        while same < len(entries) and journal.term_at(entries[same][1]) == entries[same][2]:
            same += 1
        if same:
            at, term = entries[same - 1][1:]
            message["prevLogIdx"], message["prevLogTerm"], message["entries"] = at, term, entries[same:]
        if same < len(entries) or at == journal.last[1]:
            return True
        # All of it is here, and more: the library would cut that off.
        self.counted["kept"] += 1
        plain = {key: message[key] for key in ("type", "term", "commit_index")}
        self._raft.hear(node, {**plain, "serialized": None})
        self._send(node, {"type": "next_node_idx", "next_node_idx": at + 1, "reset": False, "success": True})
        return False

    def _send(self, node: Node, message: dict[str, Any]) -> bool:
        if node.id not in self.peers:
            return False
        if message["type"] == "next_node_idx":
            message["term"] = self.term
        size = 64 + sum(len(one[0]) + 32 for one in message.get("entries", ()))
        if message.get("serialized"):
            size += len(message["serialized"][0])
        if self._out_bytes[node.id] + size > MOST_OUT:
            self.counted["crowded"] += 1
            if node.id not in self._full:
                self._full.append(node.id)
            self._raft.transport._onNodeDisconnected(node)
            return False
        self._out_bytes[node.id] += size
        self._out.append((str(node.id), message))
        return True

    def take_outbox(self) -> tuple[list[tuple[str, dict[str, Any]]], list[str]]:
        """Return the messages that may be sent once the journal is durable, and the peers whose connection must be
        closed.

        Those peers fell so far behind that what they were sent has a hole.
        """
        out, full = self._out, self._full
        self._out, self._full, self._out_bytes = [], [], Counter()
        return [(peer, message) for peer, message in out if peer not in full], full

    # Time and proposals.

    def propose(self, now: float, topic: str, command: bytes, within: float, done: Callable[[Outcome], None]) -> None:
        """Queue a proposal; `done` is called once, in `step`, `drain` or `stop`, or here if too many are open.

        `now` and `within` are in seconds.
        """
        if len(self.waiting) >= self.most_open:
            done(LogUnavailableError(f"{self.most_open} proposals are open"))
            return
        self._number += 1
        token = self.token + self._number.to_bytes(8, "big")
        self.waiting[token] = _PendingProposal(
            wire.body(topic, command, token), now + within, done, not topic, min(self.times.heartbeat, within / 4.0)
        )

    def change_voters(self, kind: str, voter: str, done: Callable[[int], None]) -> None:
        """Add or remove ("add", "rem") a voter, given as `name=address`.

        `done` is called with the library's FAIL_REASON, 0 for success. One change at a time: another is refused
        meanwhile.
        """
        self._raft._applyCommand(wire.change(kind, voter), lambda _, error: done(error))

    def step(self, now: float) -> None:
        """Hand queued proposals to the library, end those whose time is over, and tick it; twice where a leader has
        news.

        `now` in seconds of a monotonic clock. Diverged.
        """
        handed, self._now = 0, now
        for token, proposal in list(self.waiting.items()):
            if now >= proposal.until - (0.0 if proposal.handed else proposal.least):
                del self.waiting[token]
                proposal.done(
                    OutcomeUnknownError("the time was over first")
                    if proposal.handed
                    else LogUnavailableError("no leader was heard of in time")
                )
            elif not proposal.handed and handed < AT_ONCE and self.leader is not None:
                proposal.handed, handed = True, handed + 1
                self._raft._applyCommand(proposal.command, self._answered(token), wire.ENTRY)
        if not self.voter and not self.wants_vote:
            self._look_for_vote(now)
        self._raft.doTick(0.0)
        if self.leads and (self.journal.last[1], self.committed) != self._sent:
            self._raft.hurry()
            self._raft.doTick(0.0)
            self._sent = self.journal.last[1], self.committed

    def _look_for_vote(self, now: float) -> None:
        """A follower that the others count among the voters becomes one: at once, or, if it forgot its votes, once it
        holds all that was committed before: a no-op of its own that the others committed without it tells that."""
        if self.me.id not in self.voters:
            return
        if not self.journal.forgot:
            self.wants_vote = True
        elif not self._asked and self.leader is not None:
            self._asked = True
            self.propose(now, "", b"", 5.0, self._caught_up)

    def _caught_up(self, outcome: Outcome) -> None:
        self._asked = False
        self.wants_vote = isinstance(outcome, AppliedEntry)

    def _answered(self, token: bytes) -> Callable[[Any, int], None]:
        def told(_: Any, error: int) -> None:
            proposal = self.waiting.get(token)
            if proposal is None:
                return
            if error in NOT_APPENDED:
                proposal.handed = False  # nobody has it, or ever will: it goes out again, while there is time
            elif error == FAIL_REASON.UNKNOWN_OUTCOME:
                self._covered(token, proposal)

        return told

    def drain(self, most: int = 512) -> bool:
        """Restore a snapshot that came and apply up to `most` committed entries; return whether there are more.

        ValueError: a machine can't read its state; UnknownTopicError: a topic has no machine here.
        """
        if self.restoring is not None:
            index, states = self.restoring
            self.restoring = None
            self.desk.restore(index, states)
            for proposal in self.waiting.values():
                if proposal.no_op:
                    proposal.handed = False
        upto = min(self._raft.raftLastApplied, self.desk.index + most)
        for command, index, _ in self.journal.between(max(self.desk.index, self.journal.entries[0][1] - 1), upto):
            self._apply(index, command)
        self.journal.applied = max(self.journal.applied, self.desk.index)
        return bool(upto < self._raft.raftLastApplied)

    def _apply(self, index: int, command: bytes) -> None:
        result, token = b"", b""
        if command[0] == wire.ENTRY:
            try:
                topic, told, token = wire.read_body(command[1:])
            except ValueError:
                self.counted["spoilt_entries"] += 1  # the same everywhere
                topic = ""
            if topic:
                result = self.desk.apply(index, topic, told)
            else:
                self.desk.pass_to(index)
        else:
            self.desk.pass_to(index)
        proposal = self.waiting.pop(token, None)
        if proposal is not None:
            proposal.done(AppliedEntry(index, result))

    def compact(self) -> bool:
        """Take a snapshot if the journal has grown long; return whether one was taken."""
        due = self.due_snapshot()
        if due is not None:
            self.rebase(due, wire.snapshot(*due))
        return due is not None

    def due_snapshot(self) -> Due | None:
        """Return what a snapshot is to be made of, if the journal has grown long; else None.

        `wire.snapshot` makes it, which takes time and may run in another thread while nothing else is called here.
        """
        journal, at = self.journal, self.desk.index
        if at != self._raft.raftLastApplied or journal.term_at(at - 1) is None:
            return None
        if at - journal.entries[0][1] < self.keep and journal.size < KEEP_BYTES * self.keep // self._keep:
            return None
        try:
            states = self.desk.states()
        except ValueError:
            self.counted["states_too_long"] += 1  # the journal grows on, and it is tried again once it has doubled
            self.keep *= 2
            return None
        before, last = journal.between(at - 2, at)
        return before, last, [*self.voters.values()], states

    def rebase(self, due: Due, data: bytes) -> None:
        """Replace the entries that a snapshot holds by that snapshot."""
        self.journal.rebase(data, due[0], due[1])
        self.counted["snapshots"] += 1

    def promote(self) -> None:
        """Become a voter, after `wants_vote`; all links must have been closed.

        The term of a member that forgot its votes is raised by JUMP, past all in which it may have given one.
        """
        voters = [VoterNode(text) for text in self.voters.values()]
        self.voter, self.wants_vote = True, False
        if self.journal.forgot:
            self.journal.setCurrentTerm(self.term + JUMP, self.me.id)
            self.journal.forget(False)
        self.peers.clear()
        self._raft = self._new(voters)

    def stop(self) -> None:
        """Answer all open proposals with Uncertain or Unavailable; later ones are refused."""
        self.most_open = 0
        for proposal in self.waiting.values():
            proposal.done(
                OutcomeUnknownError("the log stops") if proposal.handed else LogUnavailableError("the log stops")
            )
        self.waiting.clear()
