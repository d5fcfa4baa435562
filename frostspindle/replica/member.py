"""One member of the log, without I/O: Raft, its journal in memory, outgoing messages, and the member's proposals.

Keeps the order that Raft's durability requires. Received messages are passed to the library, and it is ticked. The
owner then writes and syncs the changes of the journal (`journal.take_pending_write`), sends the queued messages only
after that, and only then applies committed entries (`apply_committed`). The library never unpickles received data.

    member.receive(peer, message); member.tick(now)      # and `connected`, `disconnected`, `propose`
    pending_write = member.journal.take_pending_write()  # written and synced by the owner, unless None
    for peer, message in member.take_outbox().messages: ...  # sent
    member.apply_committed(); member.compact()

Guards around the library (pysyncobj 0.3.17). The fault behind each was reproduced without it, see
docs/design/replica.md:
 1. `next_node_idx`, which acknowledges entries to the leader, has no term. It is stamped with the sender's term, and
    dropped if the receiver's term differs.
 2. A follower always truncates its log at `prevLogIdx`, even if it has the message's entries, so an older message would
    remove acknowledged entries. Entries that it has are removed from the message first; see `known_entries`.
 3. A snapshot replaces the complete log, even a longer one. It is ignored if its last entry is already in the journal;
    see `snapshot_transfer`.
 4. The library acknowledges entries before they are synced, and its own journal never syncs: see the order above.
 5. The library's transport and snapshots unpickle received data: neither is used; see `wire`.
 6. A snapshot chunk has the leader's commit index, up to which a follower would commit all its entries, including an
    unverified end of its log. The index is cleared.
11. The library's import replaces `socket.inet_ntop` in the complete process by a version for Windows. `journal`, which
    all other modules import, restores it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from pysyncobj import FAIL_REASON
from pysyncobj.node import Node

from frostspindle.replica import wire
from frostspindle.replica.base import MAX_OPEN_PROPOSALS, AppliedEntry, StateMachineRegistry
from frostspindle.replica.compaction import SNAPSHOT_AFTER_ENTRIES, CompactionPolicy
from frostspindle.replica.journal import RaftJournal
from frostspindle.replica.known_entries import remove_known_entries
from frostspindle.replica.outbox import Outbox, Outgoing
from frostspindle.replica.proposals import Outcome, ProposalQueue
from frostspindle.replica.raft import Message, RaftNode, RaftTimeouts, RaftTransport
from frostspindle.replica.snapshot_transfer import RestorableState, SnapshotTransfer
from frostspindle.replica.voters import VoterNode, apply_voter_changes

CATCH_UP_TIMEOUT_S = 5.0
LOST_VOTES_TERM_INCREMENT = 1_000  # raises the term past any in which a member that lost its votes may have voted


class LogMember:
    """A voter, or a follower, which applies entries and proposes but does not vote."""

    def __init__(
        self,
        me: str,
        voters: Sequence[str],
        journal: RaftJournal,
        token: bytes,
        votes_lost: bool = False,
        timeouts: RaftTimeouts | None = None,
        max_open: int = MAX_OPEN_PROPOSALS,
        snapshot_after: int = SNAPSHOT_AFTER_ENTRIES,
        registry: StateMachineRegistry | None = None,
    ) -> None:
        """`me` and `voters`: `name=address` or only names; a member that is not among the voters is a follower.

        `token`: 8 bytes unique to this incarnation of this member. `votes_lost`: the journal of a voter was lost or
        corrupt, so that its votes and acknowledgements are unknown. `snapshot_after`: the number of entries after which
        a snapshot is due. Raise ValueError if the journal's snapshot is malformed.
        """
        if votes_lost:
            journal.set_votes_lost(True)  # stored until it votes again, also across restarts
        self.me: VoterNode = VoterNode(me)
        self.timeouts: RaftTimeouts = timeouts or RaftTimeouts()
        self.journal: RaftJournal = journal
        self.registry: StateMachineRegistry = registry or StateMachineRegistry()
        self.proposals: ProposalQueue = ProposalQueue(token, max_open, self.timeouts.heartbeat)
        self.counters: Counter[str] = Counter()
        self.restoring: RestorableState | None = None  # a snapshot from which the state machines are to be restored
        self.voters_changed: bool = False
        self.peers: dict[str, bool] = {}  # connected peers, and whether each is a voter
        self._outbox: Outbox = Outbox()
        self._compaction: CompactionPolicy = CompactionPolicy(snapshot_after)
        self._sent_indexes: tuple[int, int] = (0, 0)  # as leader: the last index and commit index that were sent
        self._now: float = 0.0  # time of the last tick
        self._leader_heard_at: float = 0.0
        self._catching_up: bool = False  # a no-op of this member is in flight
        initial_voters = apply_voter_changes(self._voters_of_snapshot([VoterNode(text) for text in voters]), journal)
        self.voter: bool = self.me in initial_voters and not journal.votes_lost
        self.ready_to_vote: bool = False  # the owner must close all links and call `promote`
        self._raft: RaftNode = self._make_raft_node(initial_voters)

    def _voters_of_snapshot(self, configured: list[VoterNode]) -> list[VoterNode]:
        """Schedule the restore of the journal's snapshot, if any, and return its voters, else the configured ones."""
        if not self.journal.snapshot:
            return configured
        snapshot = wire.decode_snapshot(self.journal.snapshot)
        last_index = snapshot.last[1]
        self.journal.applied = last_index
        self.restoring = RestorableState(last_index, snapshot.states)
        configured_by_name = {node.id: node for node in configured}
        recorded = [VoterNode(text) for text in snapshot.voters]
        return [configured_by_name.get(node.id, node) for node in recorded]

    def _make_raft_node(self, voters: list[VoterNode]) -> RaftNode:
        snapshots = SnapshotTransfer(self.journal, self.registry, self.counters, VoterNode, self._on_snapshot_received)
        return RaftNode(
            self.me if self.voter else None,
            [node for node in voters if not (self.voter and node == self.me)],
            self.timeouts,
            self.journal,
            RaftTransport(self._send, self._on_voters_changed),
            snapshots,
        )

    def _on_snapshot_received(self, state: RestorableState) -> None:
        self.restoring = state

    def _on_voters_changed(self) -> None:
        self.voters_changed = True

    # State.

    @property
    def leader(self) -> str | None:
        """Name of the leader while it sends messages, else None, even if the library still names a former one."""
        if self.is_leader:
            return str(self.me.id)
        name = self._raft.leader_name
        if name is None or name not in self.peers:
            return None
        if self._now - self._leader_heard_at > self.timeouts.election_max:
            return None
        return name

    @property
    def is_leader(self) -> bool:
        """Whether this member considers itself the leader."""
        return self._raft.is_leader

    @property
    def term(self) -> int:
        """Current Raft term of this member."""
        return int(self._raft.raftCurrentTerm)

    @property
    def commit_index(self) -> int:
        """Index of the last entry that this member knows to be committed; it may not be applied yet."""
        return int(self._raft.raftCommitIndex)

    @property
    def voters(self) -> dict[str, str]:
        """Voters by name, each as `name=address`."""
        voters = {str(node.id): node.text for node in self._raft.otherNodes}
        if self.voter:
            voters[str(self.me.id)] = self.me.text
        return voters

    @property
    def has_unsubmitted_proposals(self) -> bool:
        """Whether there are proposals that could be submitted now."""
        return self.leader is not None and self.proposals.has_unsubmitted

    # Connections and messages.

    def connected(self, peer: str, voter: bool) -> None:
        """Handle a new connection to a peer, which is a voter or a follower."""
        self.peers[peer] = voter
        self._raft.on_connected(peer, voter)

    def disconnected(self, peer: str) -> None:
        """Handle the end of a peer's connection; if it was the leader, stop waiting for its responses."""
        voter = self.peers.pop(peer, None)
        if voter is None:
            return
        if self._raft.leader_name == peer:
            self._raft.abandon_forwarded_commands()
        self._raft.on_disconnected(peer, voter)

    def receive(self, peer: str, message: Message) -> None:
        """Pass a connected peer's message to the library, after guards 1, 2 and 6. Raise LogDivergedError.

        Messages of unconnected peers, voter messages from followers, and responses of another term are dropped.
        Proposals of topics without a state machine here are denied.
        """
        if peer not in self.peers or not self._is_acceptable(peer, message):
            return
        node = VoterNode(peer)
        if message["type"] == "apply_command" and not self._has_machine_for(message["command"]):
            self._deny_proposal(node, message["request_id"])
            return
        if "serialized" in message:
            message["commit_index"] = 0  # guard 6
        if message["type"] == "append_entries" and message["term"] >= self.term:
            self._leader_heard_at = self._now
        if "prevLogIdx" in message and message["term"] >= self.term:
            known_index = remove_known_entries(self.journal, message)
            if known_index is not None:
                self._acknowledge_known(node, message, known_index)
                return
        if message["type"] == "next_node_idx":
            self._raft.on_append_response(node, message)
        else:
            self._raft.on_message(node, message)

    def _is_acceptable(self, peer: str, message: Message) -> bool:
        kind = message["type"]
        if kind in ("append_entries", "request_vote", "response_vote") and not self.peers[peer]:
            self.counters["refused"] += 1  # a follower must neither lead nor vote
            return False
        if kind == "next_node_idx" and message["term"] != self.term:
            self.counters["stale"] += 1  # guard 1
            return False
        return True

    def _has_machine_for(self, command: bytes) -> bool:
        if command[0] != wire.ENTRY:
            return True
        try:
            topic = wire.decode_body(command[1:]).topic
        except ValueError:
            return False
        return not topic or topic in self.registry.machines

    def _deny_proposal(self, node: VoterNode, request_id: int) -> None:
        """Deny a proposal that this leader could not apply."""
        self.counters["unheld"] += 1
        response = {"type": "apply_command_response", "request_id": request_id, "error": FAIL_REASON.REQUEST_DENIED}
        self._send(node, response)

    def _acknowledge_known(self, node: VoterNode, message: Message, known_index: int) -> None:
        """Acknowledge a message with only known entries, as the library would truncate later ones (guard 2)."""
        self.counters["kept"] += 1
        heartbeat = {key: message[key] for key in ("type", "term", "commit_index")}
        heartbeat["serialized"] = None
        self._raft.on_message(node, heartbeat)
        response = {"type": "next_node_idx", "next_node_idx": known_index + 1, "reset": False, "success": True}
        self._send(node, response)

    def _send(self, node: Node, message: Message) -> bool:
        if node.id not in self.peers:
            return False
        if message["type"] == "next_node_idx":
            message["term"] = self.term
        if not self._outbox.add(str(node.id), message):
            self.counters["crowded"] += 1
            self._raft.on_send_queue_overflow(node)
            return False
        return True

    def take_outbox(self) -> Outgoing:
        """Return the messages that may be sent once the journal is durable, and the peers to disconnect.

        Messages to those peers were dropped because their send queues were full.
        """
        return self._outbox.take()

    # Time and proposals.

    def propose(
        self, now: float, topic: str, command: bytes, timeout_s: float, on_done: Callable[[Outcome], None]
    ) -> None:
        """Queue a proposal; an empty topic proposes a no-op.

        `on_done` is called once: in `tick`, `apply_committed` or `stop`, or here if too many are open. `now` is in
        seconds of a monotonic clock.
        """
        self.proposals.add(now, topic, command, timeout_s, on_done)

    def change_voters(self, kind: str, voter: str, on_done: Callable[[int], None]) -> None:
        """Add or remove ("add", "rem") a voter, given as `name=address`.

        `on_done` is called with the library's FAIL_REASON, 0 for success. Only one change may be in progress. Changes
        are rejected without a reachable leader, as the library would forward them to a former one.
        """
        if self.leader is None:
            on_done(FAIL_REASON.MISSING_LEADER)
            return
        self._raft.submit(wire.encode_voter_change(kind, voter), lambda _result, error: on_done(error))

    def tick(self, now: float) -> None:
        """Fail expired proposals, submit queued ones and tick the library. Raise LogDivergedError.

        `now` is in seconds of a monotonic clock. A leader with new entries or a new commit index is ticked twice, as
        the library sends them only in the next tick.
        """
        self._now = now
        self.proposals.expire_and_submit(now, self.term, lambda: self.leader is not None, self._submit_entry)
        if not self.voter and not self.ready_to_vote:
            self._check_right_to_vote(now)
        self._raft.doTick(0.0)
        if self.is_leader and (self.journal.last[1], self.commit_index) != self._sent_indexes:
            self._raft.send_entries_now()
            self._raft.doTick(0.0)
            self._sent_indexes = (self.journal.last[1], self.commit_index)

    def _submit_entry(self, command: bytes, on_response: Callable[[object, int], None]) -> None:
        self._raft.submit(command, on_response, wire.ENTRY)

    def _check_right_to_vote(self, now: float) -> None:
        """Make a follower that is in the set of voters ready to vote.

        If it lost its votes, it first must have all entries committed before. A no-op proposed by this member, which
        the others commit without its vote, proves that.
        """
        if self.me.id not in self.voters:
            return
        if not self.journal.votes_lost:
            self.ready_to_vote = True
        elif not self._catching_up and self.leader is not None:
            self._catching_up = True
            self.propose(now, "", b"", CATCH_UP_TIMEOUT_S, self._on_caught_up)

    def _on_caught_up(self, outcome: Outcome) -> None:
        self._catching_up = False
        self.ready_to_vote = isinstance(outcome, AppliedEntry)

    # Applying and snapshots.

    def apply_committed(self, max_entries: int = 512) -> bool:
        """Restore a received snapshot and apply up to `max_entries` committed entries; return whether there are more.

        Raise ValueError if a state is malformed, and UnknownTopicError if a topic has no state machine here.
        """
        if self.restoring is not None:
            state = self.restoring
            self.restoring = None
            self.registry.restore(state.index, state.states)
            self.proposals.resubmit_no_ops()
        after = max(self.registry.index, self.journal.entries[0][1] - 1)
        up_to = min(self._raft.raftLastApplied, self.registry.index + max_entries)
        for command, index, term in self.journal.entries_between(after, up_to):
            self._apply(index, command)
            self.proposals.fail_lost(term)
        self.journal.applied = max(self.journal.applied, self.registry.index)
        return bool(up_to < self._raft.raftLastApplied)

    def _apply(self, index: int, command: bytes) -> None:
        body = wire.EMPTY_BODY
        if command[0] == wire.ENTRY:
            try:
                body = wire.decode_body(command[1:])
            except ValueError:
                self.counters["spoilt_entries"] += 1  # identical at all members
        result = b""
        if body.topic:
            result = self.registry.apply(index, body.topic, body.command)
        else:
            self.registry.advance_to(index)
        self.proposals.complete(body.token, index, result)

    def compact(self) -> bool:
        """Take a snapshot if one is due; return whether one was taken."""
        contents = self.due_snapshot()
        if contents is None:
            return False
        self.compact_journal(contents, wire.encode_snapshot(*contents))
        return True

    def due_snapshot(self) -> wire.SnapshotContents | None:
        """Return the contents of a snapshot if one is due, else None.

        Encoding by `wire.encode_snapshot` is slow and may run in another thread, as long as no other method of this
        member is called.
        """
        index = self.registry.index
        if index != self._raft.raftLastApplied or self.journal.term_at(index - 1) is None:
            return None
        if not self._compaction.is_due(index - self.journal.entries[0][1], self.journal.size):
            return None
        try:
            states = self.registry.states()
        except ValueError:
            self.counters["states_too_long"] += 1  # retried when the journal has doubled
            self._compaction.postpone()
            return None
        before, last = self.journal.entries_between(index - 2, index)
        return wire.SnapshotContents(before, last, [*self.voters.values()], states)

    def compact_journal(self, contents: wire.SnapshotContents, data: bytes) -> None:
        """Replace the entries that a snapshot covers by that snapshot, encoded as `data`."""
        self.journal.compact(data, contents.before, contents.last)
        self.counters["snapshots"] += 1

    # Changes of role.

    def promote(self) -> None:
        """Become a voter, after `ready_to_vote`; all links must have been closed before.

        The term of a member that lost its votes is raised by LOST_VOTES_TERM_INCREMENT, past all terms in which it may
        have voted.
        """
        voters = [VoterNode(text) for text in self.voters.values()]
        self.voter = True
        self.ready_to_vote = False
        if self.journal.votes_lost:
            self.journal.setCurrentTerm(self.term + LOST_VOTES_TERM_INCREMENT, self.me.id)
            self.journal.set_votes_lost(False)
        self.peers.clear()
        self._raft = self._make_raft_node(voters)

    def stop(self) -> None:
        """Fail all open proposals with OutcomeUnknownError or LogUnavailableError; later ones fail at once."""
        self.proposals.close()
