"""The last known states of other members' stores, so that a member can learn that its store is lost or outdated."""

from __future__ import annotations

import math

from frostspindle.recovery import wire
from frostspindle.recovery.wire import StoreState
from frostspindle.recovery.write_buffer import WriteBuffer

MAX_MEMBERS = 512
SAVE_DELAY_MS = 1_000.0  # within which a received state is passed to our store, even without loads


class PeerStores:
    """Store states by member. No I/O; times in ms of the monotonic clock."""

    def __init__(self) -> None:
        self.states: dict[str, StoreState] = {}
        self.save_at: float = math.inf
        self._unsaved: set[str] = set()

    def remember(self, now: float, name: str, state: StoreState | None) -> None:
        """Remember the state that a member reports of its own store if it is later than the known one."""
        if state is None or (name not in self.states and len(self.states) >= MAX_MEMBERS):
            return
        old = self.states.get(name)
        if old is None or state.version > old.version:
            self.states[name] = state
            self._unsaved.add(name)
            self.save_at = min(self.save_at, now + SAVE_DELAY_MS)

    def save(self, buffer: WriteBuffer) -> None:
        """Pass the states that are not yet stored to the write buffer."""
        self.save_at = math.inf
        for name in self._unsaved:
            buffer.put("generations", name, wire.encode(self.states[name]))
        self._unsaved.clear()
