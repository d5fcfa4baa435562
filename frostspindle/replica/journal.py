"""A member's journal in memory and what of it must be written: entries, term and vote, and the snapshot under them.

Owns the list that the library reads and writes, and the records of what changed since the last `take`. It must never
do I/O: who owns it writes the records and syncs them before anything that depends on them is sent. It never cuts off
an entry that was applied: that is Diverged, and the member must stop.

Records, in the order in which they are replayed:
    (0, kind, data, index, term)      an entry, see wire.plain
    (1, index)                        all entries from this one on are gone
    (2, term, vote)                   the current term, and who has the vote in it ("": nobody)
    (3, snapshot, entries, term, vote, forgot) all of it anew; only as the first record
    (4, forgot)                       whether a lost journal's votes are still not made up for, see member.promote
"""

from __future__ import annotations

import _socket
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from pysyncobj.journal import Journal as Interface

from frostspindle.replica import wire
from frostspindle.replica.wire import Entry

socket.inet_ntop = _socket.inet_ntop  # guard 11: what the library's import has put there works on Windows alone

Record = tuple[Any, ...]
_FIRST: Entry = (bytes([wire.NO_OP]), 1, 0)  # what the library has every log begin with


class LogDivergedError(Exception):
    """An entry that was applied here was to be replaced by another: no leader of a sound log asks for that."""


@dataclass(slots=True)
class PendingWrite:
    """Records that must be durable before anything more is sent."""

    whole: bool  # replaces all that was written before
    records: list[Record] = field(default_factory=list)


class RaftJournal(Interface):
    """The journal in memory, in the interface that the library expects of its own."""

    def __init__(self, records: Iterable[Record] = ()) -> None:
        """Replay the records that were kept; ValueError where they do not follow on each other."""
        self.entries: list[Entry] = [_FIRST]
        self.term, self.vote = 0, ""
        self.snapshot = b""
        self.forgot = False
        self.applied = 1  # nothing up to here may be cut off
        self.size = 0
        self._records: list[Record] = []
        self._whole = True
        for number, record in enumerate(records):
            self._replay(number, record)
            self._whole = False
        self.size = sum(len(one[0]) for one in self.entries)

    def _replay(self, number: int, record: Record) -> None:
        kind, *rest = record
        if kind == 3 and number == 0:
            self.snapshot, entries, self.term, self.vote, self.forgot = rest
            self.entries = [wire.entry(tuple(one)) for one in entries]
            if any(b[1] != a[1] + 1 for a, b in zip(self.entries, self.entries[1:], strict=False)):
                raise ValueError("entries with a gap")
        elif kind == 0 and rest[2] == self.last[1] + 1:
            self.entries.append(wire.entry(tuple(rest)))
        elif kind == 1 and self.entries[0][1] < rest[0] <= self.last[1]:
            del self.entries[rest[0] - self.entries[0][1] :]
        elif kind == 2:
            self.term, self.vote = rest
        elif kind == 4:
            self.forgot = bool(rest[0])
        else:
            raise ValueError(f"record {number}, of kind {kind!r:.9}, is out of place")
        if not self.entries:
            raise ValueError("no entry is left")

    @property
    def last(self) -> Entry:
        """The last entry, as (command, index, term)."""
        return self.entries[-1]

    @property
    def dirty(self) -> bool:
        """Whether `take` has something to write."""
        return self._whole or bool(self._records)

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry with this index; None: it is not here."""
        place = index - self.entries[0][1]
        return self.entries[place][2] if 0 <= place < len(self.entries) else None

    def between(self, after: int, upto: int) -> list[Entry]:
        """Return the entries with an index over `after` and up to `upto`; the one at `after` + 1 must be here."""
        first = self.entries[0][1]
        return self.entries[after + 1 - first : upto + 1 - first]

    def take(self) -> PendingWrite | None:
        """Return the changes since the last call, to be written and synced; None: there are none."""
        if self._whole:
            self._whole, self._records = False, []
            return PendingWrite(
                True, [(3, self.snapshot, [wire.plain(one) for one in self.entries], self.term, self.vote, self.forgot)]
            )
        if not self._records:
            return None
        out, self._records = PendingWrite(False, self._records), []
        return out

    def rebase(self, snapshot: bytes, before: Entry, last: Entry) -> None:
        """Replace all entries up to `last` by a snapshot; later ones stay where they follow on it."""
        keep = self.between(last[1], self.last[1]) if self.term_at(last[1]) == last[2] else []
        self.snapshot, self.entries = snapshot, [before, last, *keep]
        self.size = sum(len(one[0]) for one in self.entries)
        self._whole = True

    def forget(self, forgot: bool) -> None:
        """Record whether votes that were lost with an earlier journal are still not made up for."""
        if forgot != self.forgot:
            self.forgot = forgot
            self._records.append((4, forgot))

    # The library's calls.

    def add(self, command: bytes, idx: int, term: int) -> None:
        """Append an entry; ValueError if its index does not follow on the last."""
        if self.entries and idx != self.last[1] + 1:
            raise ValueError(f"entry {idx} after {self.last[1]}")
        one = (command, idx, term)
        self.entries.append(one)
        self.size += len(command)
        self._records.append((0, *wire.plain(one)))

    def clear(self) -> None:
        """Drop all entries, before a snapshot from the leader is put here; the library then adds its two entries."""
        self.entries, self.size, self._whole = [], 0, True

    def deleteEntriesFrom(self, entryFrom: int) -> None:
        """Drop the entries from this position on, counted from the first here; Diverged if one was applied."""
        index = self.entries[0][1] + entryFrom
        if index <= self.applied:
            raise LogDivergedError(f"entry {index} was to go, and {self.applied} are applied")
        self.size -= sum(len(one[0]) for one in self.entries[entryFrom:])
        del self.entries[entryFrom:]
        self._records.append((1, index))

    def deleteEntriesTo(self, entryTo: int) -> None:
        """Raise NotImplementedError: the library's compaction is off, the member takes its snapshots itself."""
        raise NotImplementedError("the member makes its snapshots itself")

    def __getitem__(self, item: Any) -> Any:
        return self.entries[item]

    def __len__(self) -> int:
        return len(self.entries)

    def _destroy(self) -> None: ...

    def setRaftCommitIndex(self, raftCommitIndex: int) -> None:
        """Do nothing: the commit index is not kept, a leader sends it again."""

    def getRaftCommitIndex(self) -> int:
        """Return the index of the last entry that was applied here, at least 1."""
        return self.applied

    def setCurrentTerm(self, term: int, votedForNodeId: str | None) -> None:
        """Set term and vote (None: nobody has it), recorded only if they change."""
        if (term, votedForNodeId or "") == (self.term, self.vote):
            return
        self.term, self.vote = term, votedForNodeId or ""
        self._records.append((2, self.term, self.vote))

    def getCurrentTerm(self) -> int:
        """Return the current term; 0 in a fresh journal."""
        return self.term

    def getVotedForNodeId(self) -> str | None:
        """Return the id of the node that has the vote in the current term; None: nobody."""
        return self.vote or None
