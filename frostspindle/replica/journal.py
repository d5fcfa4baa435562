"""A member's journal in memory, and the records that must be written to disk: entries, term and vote, snapshot.

Holds the list of entries that the library reads and writes, and records the changes since the last
`take_pending_write`. No I/O: the caller writes and syncs the records before it sends messages that depend on them. An
applied entry is never removed: LogDivergedError is raised instead, and the member must stop.

Records, in the order in which they are replayed; the first number is the `RecordKind`:
    (0, kind, data, index, term)      an entry, see wire.to_plain
    (1, index)                        all entries from this index on are removed
    (2, term, vote)                   the current term, and the node voted for in it ("" if none)
    (3, snapshot, entries, term, vote, votes_lost) replaces everything; only as the first record
    (4, votes_lost)                   whether a lost journal's votes still count as unknown, see LogMember.promote
"""

from __future__ import annotations

import _socket
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from itertools import pairwise
from typing import Any

from pysyncobj.journal import Journal as LibraryJournal

from frostspindle.replica import wire
from frostspindle.replica.base import ReplicaError
from frostspindle.replica.wire import Entry

socket.inet_ntop = _socket.inet_ntop  # guard 11: undoes the library's Windows-only replacement

Record = tuple[Any, ...]
_FIRST_ENTRY: Entry = (bytes([wire.NO_OP]), 1, 0)  # the library's first entry of every log


class RecordKind(IntEnum):
    """The first value of a record."""

    ENTRY = 0
    TRUNCATED = 1
    VOTE = 2
    SNAPSHOT = 3
    VOTES_LOST = 4


class LogDivergedError(ReplicaError):
    """An applied entry would be replaced by another one, which can't happen while the log is consistent."""


@dataclass(slots=True)
class PendingWrite:
    """Records that must be durable before further messages are sent."""

    replaces_all: bool  # the records replace everything that was written before
    records: list[Record] = field(default_factory=list)


class RaftJournal(LibraryJournal):
    """The journal in memory, with the interface of the library's own journal."""

    def __init__(self, records: Iterable[Record] = ()) -> None:
        """Replay the stored records. Raise ValueError if they are not consecutive."""
        self.entries: list[Entry] = [_FIRST_ENTRY]
        self.term: int = 0
        self.vote: str = ""  # name of the node voted for in this term; empty if none
        self.snapshot: bytes = b""
        self.votes_lost: bool = False
        self.applied: int = 1  # index up to which entries are applied and must not be removed
        self._records: list[Record] = []
        self._rewrite_due: bool = True  # the next write replaces the file
        for number, record in enumerate(records):
            self._replay(number, record)
            self._rewrite_due = False
        self.size: int = _command_bytes(self.entries)

    def _replay(self, number: int, record: Record) -> None:
        kind, *values = record
        match kind:
            case RecordKind.SNAPSHOT if number == 0:
                self._replay_snapshot(values)
            case RecordKind.ENTRY if values[2] == self.last[1] + 1:
                self.entries.append(wire.from_plain(tuple(values)))
            case RecordKind.TRUNCATED if self.entries[0][1] < values[0] <= self.last[1]:
                del self.entries[values[0] - self.entries[0][1] :]
            case RecordKind.VOTE:
                self.term, self.vote = values
            case RecordKind.VOTES_LOST:
                self.votes_lost = bool(values[0])
            case _:
                raise ValueError(f"record {number}, of kind {kind!r:.9}, is out of place")
        if not self.entries:
            raise ValueError("the journal has no entries")

    def _replay_snapshot(self, values: list[Any]) -> None:
        self.snapshot, plain_entries, self.term, self.vote, self.votes_lost = values
        self.entries = [wire.from_plain(tuple(plain)) for plain in plain_entries]
        for previous, following in pairwise(self.entries):
            if following[1] != previous[1] + 1:
                raise ValueError("gap in the entries")

    @property
    def last(self) -> Entry:
        """The last entry, as (command, index, term)."""
        return self.entries[-1]

    @property
    def dirty(self) -> bool:
        """Whether `take_pending_write` has something to write."""
        return self._rewrite_due or bool(self._records)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry with this index, or None if the journal does not have it."""
        position = index - self.entries[0][1]
        return self.entries[position][2] if 0 <= position < len(self.entries) else None

    def entries_between(self, after: int, up_to: int) -> list[Entry]:
        """Return the entries with an index above `after` and up to `up_to`; the one at `after` + 1 must exist."""
        first = self.entries[0][1]
        return self.entries[after + 1 - first : up_to + 1 - first]

    def take_pending_write(self) -> PendingWrite | None:
        """Return the changes since the last call, to be written and synced, or None without changes."""
        if self._rewrite_due:
            self._rewrite_due = False
            self._records = []
            return PendingWrite(True, [self._snapshot_record()])
        if not self._records:
            return None
        records = self._records
        self._records = []
        return PendingWrite(False, records)

    def _snapshot_record(self) -> Record:
        entries = [wire.to_plain(entry) for entry in self.entries]
        return RecordKind.SNAPSHOT, self.snapshot, entries, self.term, self.vote, self.votes_lost

    def compact(self, snapshot: bytes, before: Entry, last: Entry) -> None:
        """Replace all entries up to `last` by a snapshot; later ones are kept if `last` matches the journal."""
        later = []
        if self.term_at(last[1]) == last[2]:
            later = self.entries_between(last[1], self.last[1])
        self.snapshot = snapshot
        self.entries = [before, last, *later]
        self.size = _command_bytes(self.entries)
        self._rewrite_due = True

    def set_votes_lost(self, lost: bool) -> None:
        """Record whether the votes of an earlier, lost journal still count as unknown."""
        if lost != self.votes_lost:
            self.votes_lost = lost
            self._records.append((RecordKind.VOTES_LOST, lost))

    # Called by the library.

    def add(self, command: bytes, idx: int, term: int) -> None:
        """Append an entry. Raise ValueError if its index is not the next one."""
        if self.entries and idx != self.last[1] + 1:
            raise ValueError(f"entry {idx} does not follow {self.last[1]}")
        entry = (command, idx, term)
        self.entries.append(entry)
        self.size += len(command)
        self._records.append((RecordKind.ENTRY, *wire.to_plain(entry)))

    def clear(self) -> None:
        """Drop all entries, as a snapshot from the leader replaces them; the library then adds its two entries."""
        self.entries = []
        self.size = 0
        self._rewrite_due = True

    def deleteEntriesFrom(self, entryFrom: int) -> None:
        """Drop the entries from this position in the journal on. Raise LogDivergedError if one was applied."""
        index = self.entries[0][1] + entryFrom
        if index <= self.applied:
            raise LogDivergedError(f"entry {index} can't be removed: entries up to {self.applied} are applied")
        self.size -= _command_bytes(self.entries[entryFrom:])
        del self.entries[entryFrom:]
        self._records.append((RecordKind.TRUNCATED, index))

    def deleteEntriesTo(self, entryTo: int) -> None:
        """Raise NotImplementedError: the library's compaction is disabled, LogMember takes the snapshots."""
        raise NotImplementedError("LogMember takes the snapshots")

    def __getitem__(self, item: Any) -> Any:
        return self.entries[item]

    def __len__(self) -> int:
        return len(self.entries)

    def _destroy(self) -> None:
        pass

    def setRaftCommitIndex(self, raftCommitIndex: int) -> None:
        """Do nothing: the commit index is not stored, as a leader sends it again."""

    def getRaftCommitIndex(self) -> int:
        """Return the index of the last applied entry, at least 1."""
        return self.applied

    def setCurrentTerm(self, term: int, votedForNodeId: str | None) -> None:
        """Set term and vote (None for no vote), recorded only if they change."""
        vote = votedForNodeId or ""
        if (term, vote) == (self.term, self.vote):
            return
        self.term = term
        self.vote = vote
        self._records.append((RecordKind.VOTE, term, vote))

    def getCurrentTerm(self) -> int:
        """Return the current term; 0 in a new journal."""
        return self.term

    def getVotedForNodeId(self) -> str | None:
        """Return the id of the node voted for in the current term, or None."""
        return self.vote or None


def _command_bytes(entries: list[Entry]) -> int:
    return sum(len(command) for command, _, _ in entries)
