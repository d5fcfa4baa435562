"""One process's member of the replicated log: its connections, its journal file and the loop that drives it.

The loop is a task of the event loop and keeps the order of writing, syncing, sending and applying that `member`
requires. Disk writes and the encoding of snapshots run in one worker thread, so that they never block the event loop.
Messages are sent only after the journal is synced. A fault of the log does not end the process: the log stops, logs
this once, and its users get LogUnavailableError.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

from frostspindle.replica import wire
from frostspindle.replica.base import (
    MAX_OPEN_PROPOSALS,
    AppliedEntry,
    LogUnavailableError,
    OutcomeUnknownError,
    RegistryLog,
)
from frostspindle.replica.compaction import SNAPSHOT_AFTER_ENTRIES
from frostspindle.replica.disk import FolderLockedError, JournalCondition
from frostspindle.replica.figures import member_figures
from frostspindle.replica.journal import RaftJournal
from frostspindle.replica.journal_writer import JournalWriter
from frostspindle.replica.library_log import redirect_library_log
from frostspindle.replica.links import MAX_QUEUED_IN_BYTES, MemberLinks
from frostspindle.replica.member import LogMember
from frostspindle.replica.peer_events import MessageReceived, PeerConnected, PeerDisconnected, PeerEventQueue
from frostspindle.replica.proposals import OUTCOME_UNKNOWN, Outcome
from frostspindle.replica.raft import RaftTimeouts
from frostspindle.replica.voters import VoterNode
from frostspindle.telemetry import Telemetry

Result = TypeVar("Result")

TICK_S = 0.025
MAX_ENTRIES_PER_SLICE = 64  # events handled or entries applied before other tasks of the event loop run
TIMEOUT_GRACE_S = 0.25  # after a proposal's time limit; then it fails even while the disk hangs


class ReplicaService(RegistryLog):
    """The replicated log of a running program; see base.ReplicatedLog."""

    def __init__(
        self,
        me: str,
        voters: list[str],
        folder: Path,
        secret: bytes,
        telemetry: Telemetry,
        listen: str = "",
        first_start: bool = False,
        timeouts: RaftTimeouts | None = None,
        max_open: int = MAX_OPEN_PROPOSALS,
        snapshot_after: int = SNAPSHOT_AFTER_ENTRIES,
    ) -> None:
        """`me`: this member's name; `voters`: `name=IP:PORT`; `listen`: the listening address, if not that in `voters`.

        `first_start`: the operator's statement that an empty folder does not mean a lost journal.
        """
        super().__init__()
        self.me: str = me
        self.folder: Path = folder
        self.telemetry: Telemetry = telemetry
        self._voters: list[str] = voters
        self._secret: bytes = secret
        self._is_first_start: bool = first_start
        self._addresses: dict[str, str] = {node.id: node.address for node in map(VoterNode, voters)}
        self._listen_address: str = listen or self._addresses.get(me, "")
        self._timeouts: RaftTimeouts = timeouts or RaftTimeouts()
        self._max_open: int = max_open
        self._snapshot_after: int = snapshot_after

        self._member: LogMember | None = None
        self._links: MemberLinks | None = None
        self._events: PeerEventQueue = PeerEventQueue()
        self._wake: asyncio.Event = asyncio.Event()
        self._loop_task: asyncio.Task[None] | None = None
        self._logged_leader: str | None = None

        self.port: int = 0
        self.started: bool = False
        self.stopped: str = ""  # the reason, once the log has stopped
        self.counters: Counter[str] = Counter()
        self._journal_writer: JournalWriter = JournalWriter(folder, telemetry, self.counters)
        self.longest_slice_s: float = 0.0  # longest CPU time for which the event loop was blocked
        self._slice_started_at: float = 0.0

    # Log operations.

    @property
    def worst_sync_s(self) -> float:
        """Duration of the longest write, including its sync."""
        return self._journal_writer.worst_sync_s

    @property
    def leader(self) -> str | None:
        """Name of the leader while it sends messages; None without one, or if the log does not run."""
        return self._member.leader if self._member is not None and not self.stopped else None

    async def change_voters(self, kind: str, voter: str, within_s: float) -> None:
        """Add or remove ("add", "rem") a voter, given as `name=IP:PORT`; one change at a time.

        Raise LogUnavailableError if it is rejected or the log does not run, and OutcomeUnknownError if the leader that
        received it is lost, or after `within_s` seconds without a response.
        """
        member = self._running_member()
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        member.change_voters(kind, voter, _resolver(future))
        self._wake.set()
        try:
            async with asyncio.timeout(within_s):
                error = await future
        except TimeoutError:
            raise OutcomeUnknownError("the time limit was exceeded") from None
        if error in OUTCOME_UNKNOWN:
            raise OutcomeUnknownError("the leader that received the change was lost")
        if error:
            raise LogUnavailableError(f"the change was rejected with the FAIL_REASON {error} of the library")

    def _has_started(self) -> bool:
        return self.started

    async def _append(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        """Propose a command; return or raise within the time limit plus TIMEOUT_GRACE_S, even while the disk hangs."""
        member = self._running_member()
        future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        member.propose(time.monotonic(), topic, command, within_s, _resolver(future))
        self._wake.set()
        try:
            async with asyncio.timeout(within_s + TIMEOUT_GRACE_S):
                outcome = await future
        except TimeoutError:
            self.counters["held_up"] += 1
            outcome = OutcomeUnknownError("the disk or the event loop was blocked")
        if isinstance(outcome, AppliedEntry):
            return outcome
        raise outcome

    def _running_member(self) -> LogMember:
        if self._member is None or self.stopped:
            raise LogUnavailableError(self.stopped or "the log has not started")
        return self._member

    # Start and shutdown.

    async def start(self) -> None:
        """Read the journal, apply its snapshot, listen and start the member's loop.

        Raise OSError if the address can't be bound. A fault of the disk or the journal only stops the log, with a log
        line.
        """
        self.started = True
        redirect_library_log(self.telemetry)
        try:
            member = await self._restore_member()
        except FolderLockedError as error:
            self._stop(f"another process has locked {error}")
            return
        except (OSError, ValueError) as error:
            self._stop(f"the journal can't be used: {error}")
            return
        self._links = MemberLinks(
            self.me,
            self._secret,
            self._on_connected,
            self._on_disconnected,
            self._on_message,
            self._is_known_peer,
            self._has_capacity,
            self._log_link_event,
        )
        if self._listen_address:  # followers also listen, as they may become voters
            host, _, port = self._listen_address.rpartition(":")
            self.port = await self._links.listen(host.strip("[]"), int(port))
        self._update_targets()
        self._loop_task = asyncio.create_task(self._run())
        self.telemetry.log(
            "replica_started",
            me=self.me,
            votes=member.voter,
            term=member.term,
            entries=len(member.journal),
            port=self.port,
        )

    async def _restore_member(self) -> LogMember:
        """Create the member from its journal and apply its snapshot. Raise OSError, FolderLockedError, ValueError."""
        condition, records = await self._journal_writer.open()
        is_lost = condition is JournalCondition.FRESH and not self._is_first_start
        votes_lost = condition is JournalCondition.CORRUPT or is_lost
        self._report_journal(condition, len(records), votes_lost)
        member = LogMember(
            f"{self.me}={self._addresses.get(self.me) or self._listen_address}",
            self._voters,
            RaftJournal(records),
            os.urandom(8),
            votes_lost,
            self._timeouts,
            self._max_open,
            self._snapshot_after,
            self._registry,
        )
        self._member = member
        while member.apply_committed(MAX_ENTRIES_PER_SLICE):
            await asyncio.sleep(0)
        return member

    def _report_journal(self, condition: JournalCondition, entries: int, votes_lost: bool) -> None:
        """Log a damaged journal, or a journal that a voter has lost."""
        is_damaged = condition in (JournalCondition.CORRUPT, JournalCondition.TORN)
        if not is_damaged and not (votes_lost and self.me in self._addresses):
            return
        explanation = "a crash left the last write incomplete"
        if votes_lost:
            explanation = "restarts as a follower, and votes again once it has caught up"
        self.telemetry.count("replica_journals_" + condition)
        self.telemetry.log(
            "replica_journal_opened", found=str(condition), entries=entries, votes=not votes_lost, why=explanation
        )

    async def close(self) -> None:
        """Fail open proposals, end the loop, close the links and the journal; all accepted entries are durable."""
        if self._member is not None:
            self._member.stop()
        self.stopped = self.stopped or "the log is stopping"
        self._wake.set()
        if self._loop_task is not None:
            await self._loop_task
        await self._release()
        self._journal_writer.shutdown()

    async def _release(self) -> None:
        links = self._links
        self._links = None
        if links is not None:
            await links.close()
        self._journal_writer.close_file()

    def _stop(self, reason: str) -> None:
        """Stop the log permanently; the process continues."""
        self.stopped = reason
        self.telemetry.count("replica_stopped")
        self.telemetry.log("replica_stopped", why=reason)
        if self._member is not None:
            self._member.stop()

    # Loop.

    async def _run(self) -> None:
        assert self._member is not None
        try:
            while not self.stopped:
                await self._run_cycle(self._member)
        except Exception as error:  # noqa: BLE001 - faults of the disk, a state machine or the library must not end the process
            self._stop(f"{type(error).__name__}: {error}")
            await self._release()

    async def _run_cycle(self, member: LogMember) -> None:
        """Handle events, tick, write, send and apply, in this order."""
        await self._wait_for_work(member)
        self._begin_slice()
        await self._handle_events(member)
        member.tick(time.monotonic())
        pending_write = member.journal.take_pending_write()
        self._end_slice()
        if pending_write is not None:
            await self._journal_writer.write(pending_write)
        self._send_outbox(member)
        while member.apply_committed(MAX_ENTRIES_PER_SLICE):
            await asyncio.sleep(0)
        await self._compact(member)
        if member.ready_to_vote:
            self._promote(member)
        elif member.voters_changed:
            member.voters_changed = False
            self._update_targets()
            self.telemetry.log("replica_voters_changed", voters=sorted(member.voters))
        self._log_leader(member)

    async def _wait_for_work(self, member: LogMember) -> None:
        """Wait until there is work or the next tick is due."""
        if not self._wake.is_set() and not member.journal.dirty and not member.has_unsubmitted_proposals:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
        self._wake.clear()

    async def _handle_events(self, member: LogMember) -> None:
        for number, event in enumerate(self._events.take(), 1):
            if number % MAX_ENTRIES_PER_SLICE == 0:
                self._end_slice()
                await asyncio.sleep(0)
                self._begin_slice()
            match event:
                case MessageReceived(peer, message):
                    member.receive(peer, message)
                case PeerConnected(peer):
                    member.connected(peer, not peer.startswith("~"))
                case PeerDisconnected(peer):
                    member.disconnected(peer)

    def _send_outbox(self, member: LogMember) -> None:
        self._begin_slice()
        assert self._links is not None
        outgoing = member.take_outbox()
        for peer, message in outgoing.messages:
            self._links.send(peer, message)
        for peer in outgoing.overflowed:
            self._links.drop(peer)
        self._end_slice()

    async def _compact(self, member: LogMember) -> None:
        self._begin_slice()
        contents = member.due_snapshot()
        self._end_slice()
        if contents is None:
            return
        data = await self._journal_writer.run(wire.encode_snapshot, *contents)
        member.compact_journal(contents, data)

    def _begin_slice(self) -> None:
        """Start measuring how long the event loop is blocked, in CPU time: elapsed time also counts other processes."""
        self._slice_started_at = time.thread_time()

    def _end_slice(self) -> None:
        self.longest_slice_s = max(self.longest_slice_s, time.thread_time() - self._slice_started_at)

    def _promote(self, member: LogMember) -> None:
        """Become a voter: close all links first, as the peers know this member as a follower."""
        assert self._links is not None
        self._links.set_targets(self.me, {})
        for peer in self._events.take_disconnected():
            member.disconnected(peer)
        member.promote()
        self.telemetry.log("replica_voting_started", term=member.term, index=self.index)
        self._update_targets()

    def _update_targets(self) -> None:
        assert self._member is not None
        assert self._links is not None
        targets = {}
        for name, text in self._member.voters.items():
            targets[name] = self._addresses.get(name) or text.partition("=")[2]
        own_id = self.me if self._member.voter else f"~{self.me}"
        self._links.set_targets(own_id, targets)

    def _log_leader(self, member: LogMember) -> None:
        leader = member.leader
        if leader != self._logged_leader:
            self.telemetry.count("replica_leaders")
            self.telemetry.log("replica_leader_changed", leader=leader, was=self._logged_leader, term=member.term)
            self._logged_leader = leader

    # Callbacks of the links.

    def _on_connected(self, peer: str) -> None:
        self._events.add(PeerConnected(peer))
        self._wake.set()

    def _on_disconnected(self, peer: str) -> None:
        self._events.add(PeerDisconnected(peer))
        if not self.stopped:
            self.telemetry.count("replica_members_lost")
            self.telemetry.log("replica_member_lost", peer=peer)
        self._wake.set()

    def _on_message(self, peer: str, message: dict[str, Any], size: int) -> None:
        self._events.add(MessageReceived(peer, message), size)
        self._wake.set()

    def _has_capacity(self) -> bool:
        return self._events.message_bytes < MAX_QUEUED_IN_BYTES

    def _is_known_peer(self, peer: str) -> bool:
        """Whether a peer may connect: any follower with a valid name, or a voter; and only if this is a voter."""
        member = self._member
        if member is None or not member.voter or self.stopped:
            return False
        if peer.startswith("~") and 1 < len(peer) <= 65:
            return True
        return peer in member.voters

    def _log_link_event(self, event: str, **fields: Any) -> None:
        self.telemetry.count(event)
        self.telemetry.log(event, **fields)

    # For operators.

    def figures(self) -> dict[str, Any]:
        """Return the member's state and counters, for operators; times in ms."""
        figures: dict[str, Any] = {
            "me": self.me,
            "stopped": self.stopped,
            "leader": self.leader,
            "index": self.index,
            "worst_sync_ms": round(self.worst_sync_s * 1e3, 1),
            "worst_turn_ms": round(self.longest_slice_s * 1e3, 1),
            **self.counters,
        }
        if self._member is not None:
            figures |= member_figures(self._member)
        if self._links is not None:
            figures |= {f"link_{name}": count for name, count in self._links.counters.items()}
        return figures


def _resolver(future: asyncio.Future[Result]) -> Callable[[Result], None]:
    """Return a callback that resolves a future, unless it is already done."""

    def resolve(result: Result) -> None:
        if not future.done():
            future.set_result(result)

    return resolve
