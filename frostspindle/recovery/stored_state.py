"""The entries of a node's store, decoded by kind of state."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from frostspindle.recovery import state_kinds, wire
from frostspindle.recovery.inputs import HeartbeatRecord, decode_heartbeat
from frostspindle.recovery.wire import BanStatement, ListedEngine, StoreState

Value = TypeVar("Value")
Entry = tuple[bytes, bytes]


@dataclass(slots=True)
class StoredState:
    """The decoded entries of a store; tickets are left to the ticket journal."""

    bans: list[BanStatement] = field(default_factory=list)
    peer_stores: dict[str, StoreState] = field(default_factory=dict)
    engines: dict[str, ListedEngine] = field(default_factory=dict)
    heartbeat: HeartbeatRecord | None = None
    tickets: list[Entry] = field(default_factory=list)
    corrupt: int = 0  # entries that could not be decoded

    def _decoded(self, entries: Iterable[Entry], decode: Callable[[bytes], Value]) -> Iterator[tuple[bytes, Value]]:
        for key, data in entries:
            try:
                value = decode(data)
            except (msgspec.DecodeError, UnicodeDecodeError):
                self.corrupt += 1
                continue
            yield key, value

    def load(self, entries: Iterable[Entry]) -> None:
        """Decode the entries of all persisted kinds; ignore other kinds and count corrupt entries."""
        by_kind: dict[str, list[Entry]] = {kind: [] for kind in state_kinds.persisted_kinds()}
        for key, data in entries:
            kind = key.partition(b"/")[0].decode("ascii", "replace")
            if kind in by_kind:
                by_kind[kind].append((key, data))
        self.bans = [statement for _, statement in self._decoded(by_kind["bans"], wire.decode_ban)]
        for key, state in self._decoded(by_kind["generations"], wire.decode_store_state):
            member = key.partition(b"/")[2].decode(errors="replace")
            self.peer_stores[member] = state
        for _, engine in self._decoded(by_kind["engines"], wire.decode_listed_engine):
            self.engines[engine.name] = engine
        for _, heartbeat in self._decoded(by_kind["beat"], decode_heartbeat):
            self.heartbeat = heartbeat
        self.tickets = by_kind["tickets"]
