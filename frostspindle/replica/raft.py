"""Adapter of the Raft library (pysyncobj 0.3.17), the only module that uses the library's private names.

`RaftNode` is the library's node with this package's journal, transport and snapshot transfer. No I/O: `LogMember` ticks
the library, and outgoing messages go to the callback given to `RaftTransport`. A test checks that the installed version
has the private names that are used here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from pysyncobj import SyncObj, SyncObjConf
from pysyncobj.node import Node
from pysyncobj.transport import Transport

from frostspindle.replica import wire
from frostspindle.replica.base import MAX_OPEN_PROPOSALS
from frostspindle.replica.journal import RaftJournal
from frostspindle.replica.snapshot_transfer import SnapshotTransfer
from frostspindle.replica.voters import VoterNode

Message = dict[str, Any]  # a message of the library, with the library's keys


@dataclass(slots=True, frozen=True)
class RaftTimeouts:
    """Raft's timeouts in seconds.

    The election timeout is random between `election_min` and `election_max`; a leader without contact to a majority for
    `fallback` steps down.
    """

    heartbeat: float = 0.1
    election_min: float = 0.5
    election_max: float = 1.0
    fallback: float = 1.0


class RaftTransport(Transport):
    """The library's transport: passes each message to a callback, which queues it until the journal is durable."""

    def __init__(self, send: Callable[[Node, Message], bool], on_voters_changed: Callable[[], None]) -> None:
        super().__init__(None, None, [])
        self._send: Callable[[Node, Message], bool] = send
        self._on_voters_changed: Callable[[], None] = on_voters_changed

    def send(self, node: Node, message: Message) -> bool:
        """Queue a message for a node; return False if it was not queued."""
        return self._send(node, message)

    def addNode(self, node: Node) -> None:
        """Report that a voter was added."""
        self._on_voters_changed()

    def dropNode(self, node: Node) -> None:
        """Report that a voter was removed."""
        self._on_voters_changed()

    def destroy(self) -> None:
        """Do nothing: this transport has no connections."""


def library_config(timeouts: RaftTimeouts) -> SyncObjConf:
    """Return the library's configuration: ticked by the caller, with the library's compaction disabled."""
    return SyncObjConf(
        autoTick=False,
        appendEntriesPeriod=timeouts.heartbeat,
        raftMinTimeout=timeouts.election_min,
        raftMaxTimeout=timeouts.election_max,
        leaderFallbackTimeout=timeouts.fallback,
        connectionTimeout=max(3.5, timeouts.election_max),
        appendEntriesBatchSizeBytes=wire.BATCH_BYTES,
        commandsWaitLeader=False,
        commandsQueueSize=4 * MAX_OPEN_PROPOSALS,
        dynamicMembershipChange=True,
        logCompactionMinEntries=2**60,
        logCompactionMinTime=2**40,
    )


class RaftNode(SyncObj):
    """The library's Raft node with this package's journal, transport and snapshot transfer."""

    def __init__(
        self,
        self_node: VoterNode | None,
        other_voters: Iterable[VoterNode],
        timeouts: RaftTimeouts,
        journal: RaftJournal,
        transport: RaftTransport,
        snapshots: SnapshotTransfer,
    ) -> None:
        """`self_node`: None for a follower, which has no vote."""
        super().__init__(self_node, other_voters, library_config(timeouts), nodeClass=VoterNode, transport=transport)
        self._SyncObj__raftLog = journal
        self._SyncObj__raftCurrentTerm = max(journal.getCurrentTerm(), journal.last[2])
        self._SyncObj__votedForNodeId = journal.getVotedForNodeId()
        self._SyncObj__raftCommitIndex = journal.applied
        self._SyncObj__raftLastApplied = journal.applied
        self._SyncObj__serializer = snapshots

    @property
    def transport(self) -> RaftTransport:
        """The transport given to the constructor."""
        return self._SyncObj__transport

    @property
    def leader_name(self) -> str | None:
        """Name of the last known leader, which may be unreachable by now, or None."""
        node = self._getLeader()
        return None if node is None else str(node.id)

    @property
    def is_leader(self) -> bool:
        """Whether this node considers itself the leader."""
        return bool(self._isLeader())

    def on_connected(self, peer: str, is_voter: bool) -> None:
        """Handle a new connection to a voter or to a follower."""
        if is_voter:
            self.transport._onNodeConnected(VoterNode(peer))
        else:
            self.transport._onReadonlyNodeConnected(VoterNode(peer))

    def on_disconnected(self, peer: str, is_voter: bool) -> None:
        """Handle the end of a connection."""
        if is_voter:
            self.transport._onNodeDisconnected(VoterNode(peer))
        else:
            self.transport._onReadonlyNodeDisconnected(VoterNode(peer))

    def on_send_queue_overflow(self, node: Node) -> None:
        """Treat a voter as unreachable, as its send queue is full."""
        self.transport._onNodeDisconnected(node)

    def on_message(self, node: Node, message: Message) -> None:
        """Handle a message of a connected node."""
        self.transport._onMessageReceived(node, message)

    def on_append_response(self, node: Node, message: Message) -> None:
        """Handle the response to `append_entries` without resending entries that are still in flight.

        Connections are reliable, and after a reconnect the follower requests the missing entries (`reset`).
        """
        next_index = self._SyncObj__raftNextIndex
        previous = next_index.get(node, 0)
        self.on_message(node, message)
        if message["success"] and not message["reset"] and next_index.get(node, 0) < previous:
            next_index[node] = previous

    def submit(self, command: bytes, on_response: Callable[[Any, int], None], kind: int | None = None) -> None:
        """Submit a command to the library; `on_response` is called with its result and its FAIL_REASON."""
        if kind is None:
            self._applyCommand(command, on_response)
        else:
            self._applyCommand(command, on_response, kind)

    def send_entries_now(self) -> None:
        """Send new entries and the commit index in the next tick instead of with the next heartbeat."""
        self._SyncObj__newAppendEntriesTime = 0.0

    def abandon_forwarded_commands(self) -> None:
        """Stop waiting for responses of a leader that is unreachable."""
        self._SyncObj__onLeaderChanged()
