"""Transfer of snapshots between members in chunks, with the interface of the library's serializer.

Sends the journal's snapshot in chunks of wire.BATCH_BYTES, and assembles the chunks of a received one. No I/O. The
method names are the library's.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from pysyncobj.config import SERIALIZER_STATE
from pysyncobj.node import Node

from frostspindle.replica import wire
from frostspindle.replica.base import MAX_STATE_BYTES, StateMachineRegistry
from frostspindle.replica.journal import RaftJournal

MAX_SNAPSHOT_BYTES = 4 * MAX_STATE_BYTES

Chunk = tuple[bytes, bool, bool]  # data, whether it is the first chunk, whether it is the last
LibrarySnapshot = tuple[None, wire.Entry, wire.Entry, list[Node]]  # as returned by the library's deserializer


@dataclass(slots=True, frozen=True)
class RestorableState:
    """The states of all state machines after an entry, from a snapshot."""

    index: int  # of the last entry that the snapshot covers
    states: dict[str, bytes]  # by topic


@dataclass(slots=True, frozen=True)
class _OutgoingTransfer:
    data: bytes
    offset: int  # of the next chunk


class SnapshotTransfer:
    """Replaces the library's serializer."""

    def __init__(
        self,
        journal: RaftJournal,
        registry: StateMachineRegistry,
        counters: Counter[str],
        make_node: Callable[[str], Node],
        on_received: Callable[[RestorableState], None],
    ) -> None:
        """`make_node` returns the library's node for a voter's `name=address`.

        `on_received` is called after a received snapshot has replaced the journal's.
        """
        self._journal: RaftJournal = journal
        self._registry: StateMachineRegistry = registry
        self._counters: Counter[str] = counters
        self._make_node: Callable[[str], Node] = make_node
        self._on_received: Callable[[RestorableState], None] = on_received
        self._outgoing: dict[Node, _OutgoingTransfer] = {}
        self._incoming: bytearray | None = None
        self._deserialized: LibrarySnapshot | None = None

    def checkSerializing(self) -> tuple[int, None]:
        """Report a running snapshot, so that the library starts none: LogMember takes the snapshots."""
        return SERIALIZER_STATE.SERIALIZING, None

    def getTransmissionData(self, node: Node) -> Chunk:
        """Return the next chunk for a node; an empty one ends the transfer."""
        transfer = self._outgoing.get(node) or _OutgoingTransfer(self._journal.snapshot, 0)
        data = transfer.data[transfer.offset : transfer.offset + wire.BATCH_BYTES]
        if data:
            self._outgoing[node] = _OutgoingTransfer(transfer.data, transfer.offset + len(data))
        else:
            self._outgoing.pop(node, None)
        return data, transfer.offset == 0, not data

    def cancelTransmisstion(self, node: Node) -> None:
        """Abort the transfer to a node."""
        self._outgoing.pop(node, None)

    def setTransmissionData(self, chunk: Chunk | None) -> bool:
        """Add a chunk of the leader's snapshot; return whether it completed a snapshot that was accepted."""
        if chunk is None:
            return False
        data, is_first, is_last = chunk
        if is_first:
            self._incoming = bytearray()
        if self._incoming is None:
            return False
        self._incoming += data
        if len(self._incoming) > MAX_SNAPSHOT_BYTES:
            self._counters["snapshots_refused"] += 1
            self._incoming = None
        if not is_last or self._incoming is None:
            return False
        snapshot = bytes(self._incoming)
        self._incoming = None
        return self._accept(snapshot)

    def _accept(self, data: bytes) -> bool:
        try:
            snapshot = wire.decode_snapshot(data)
        except ValueError:
            self._counters["snapshots_refused"] += 1
            return False
        _, last_index, last_term = snapshot.last
        if last_index <= self._registry.index or self._journal.term_at(last_index) == last_term:
            return False  # guard 3 of member.py
        voters = [self._make_node(text) for text in snapshot.voters]
        self._deserialized = (None, snapshot.last, snapshot.before, voters)
        self._journal.snapshot = data
        self._on_received(RestorableState(last_index, snapshot.states))
        self._counters["snapshots_taken_over"] += 1
        return True

    def deserialize(self) -> LibrarySnapshot | None:
        """Return the accepted snapshot's entries and voters in the library's format."""
        return self._deserialized
