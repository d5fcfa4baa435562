"""A receiver's fence: the highest token that it has seen for each task, and the refusal of lower ones.

Owns the highest tokens of one receiver, in memory or in a durable store (frostspindle/store). It must never forget a
token while its store has it, and never let an action pass under a token that was not kept first: a receiver that is
killed after the check knows the token at its next start. Fencing tokens: Kleppmann, "How to do distributed locking"
(2016); Chubby's sequencers: Burrows, OSDI 2006.
"""

from __future__ import annotations

from typing import Protocol

MOST_TASKS = 4_096
TOKEN_BYTES = 8


class StaleTokenError(Exception):
    """An action under a lower token than one seen before: its sender's lease has passed to another holder."""

    def __init__(self, task: str, token: int, highest: int) -> None:
        super().__init__(f"{task}: token {token} is stale, {highest} was seen")
        self.task, self.token, self.highest = task, token, highest


class FenceFullError(Exception):
    """The fence has no room for one more task; the action is refused."""


class FenceStore(Protocol):
    """What a durable fence needs of a store; see frostspindle/store/base.py."""

    def get(self, key: bytes) -> bytes | None:
        """Return the value of a key; None: it has none. The store's errors."""

    def apply(self, changes: dict[bytes, bytes | None]) -> int:
        """Set the keys to these values, or remove those with None, all or nothing and durable. The store's errors."""


class TokenFence:
    """The highest token of each task; with a store a rise is durable when `check` returns, and its errors pass."""

    def __init__(self, store: FenceStore | None = None, most: int = MOST_TASKS, prefix: bytes = b"fence/") -> None:
        self._store, self._most, self._prefix = store, most, prefix
        self._highest: dict[str, int] = {}
        self.stale = 0  # so many were refused

    def highest(self, task: str) -> int:
        """Return the highest token seen for a task, from the store if it is not in memory; 0: none was seen."""
        known = self._highest.get(task)
        if known is None and self._store is not None:
            known = int.from_bytes(self._store.get(self._prefix + task.encode()) or b"", "big")
            if known and len(self._highest) < self._most:
                self._highest[task] = known
        return known or 0

    def check(self, task: str, token: int) -> None:
        """Admit an action under a token, and keep the token if it is the highest so far; the same one passes any number
        of times.

        Raises Stale for a lower token, FenceFull for a further task without room, ValueError for what is no token.
        """
        if not 0 < token < 1 << 63:
            raise ValueError(f"{task}: not a token: {token}")
        highest = self.highest(task)
        if token < highest:
            self.stale += 1
            raise StaleTokenError(task, token, highest)
        if token > highest:
            if task not in self._highest and len(self._highest) >= self._most:
                raise FenceFullError(f"{self._most} tasks are fenced already")
            if self._store is not None:
                self._store.apply({self._prefix + task.encode(): token.to_bytes(TOKEN_BYTES, "big")})
            self._highest[task] = token

    def highest_of_all(self) -> dict[str, int]:
        """Return the highest token of each task that is in memory, sorted by task, for operators."""
        return dict(sorted(self._highest.items()))
