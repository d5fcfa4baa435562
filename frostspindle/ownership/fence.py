"""A receiver's fence: the highest fencing token seen for each task, and the rejection of lower ones.

Tokens are kept in memory or in a durable store (frostspindle/store). A token is stored before an action under it is
admitted, so that a receiver killed after the check still knows the token when it restarts. Fencing tokens: Kleppmann,
"How to do distributed locking" (2016); Chubby's sequencers: Burrows, OSDI 2006.
"""

from __future__ import annotations

from typing import Protocol

from frostspindle.ownership.lease import OwnershipError

MAX_TASKS = 4_096
TOKEN_BYTES = 8


class StaleTokenError(OwnershipError):
    """The action's token is lower than one seen before: the lease has passed to another holder."""

    def __init__(self, task: str, token: int, highest: int) -> None:
        super().__init__(f"{task}: token {token} is stale, {highest} was seen before")
        self.task: str = task
        self.token: int = token
        self.highest: int = highest


class FenceFullError(OwnershipError):
    """The fence has no capacity for another task; the action is rejected."""


class FenceStore(Protocol):
    """The operations that a durable fence uses of a store; see frostspindle/store/base.py."""

    def get(self, key: bytes) -> bytes | None:
        """Return the value of a key, or None if it is not set. Raise the store's errors."""

    def apply(self, changes: dict[bytes, bytes | None]) -> int:
        """Set the keys to these values, or remove those with None, atomically and durably. Raise the store's errors."""


class TokenFence:
    """The highest token of each task; with a store a new one is durable when `check` returns, and store errors pass
    through."""

    def __init__(self, store: FenceStore | None = None, max_tasks: int = MAX_TASKS, prefix: bytes = b"fence/") -> None:
        self.stale: int = 0  # number of rejected actions
        self._store: FenceStore | None = store
        self._max_tasks: int = max_tasks
        self._prefix: bytes = prefix
        self._highest: dict[str, int] = {}  # by task

    def highest(self, task: str) -> int:
        """Return the highest token seen for a task, from the store if it is not in memory; 0 if none was seen."""
        known = self._highest.get(task)
        if known is None and self._store is not None:
            known = int.from_bytes(self._store.get(self._prefix + task.encode()) or b"", "big")
            if known and len(self._highest) < self._max_tasks:
                self._highest[task] = known
        return known or 0

    def check(self, task: str, token: int) -> None:
        """Admit an action under a token, and store the token if it is the highest so far.

        The same token is admitted any number of times.

        Raise StaleTokenError for a lower token, FenceFullError if there is no capacity for another task, and ValueError
        for an invalid token.
        """
        if not 0 < token < 1 << 63:
            raise ValueError(f"{task}: invalid token: {token}")
        highest = self.highest(task)
        if token < highest:
            self.stale += 1
            raise StaleTokenError(task, token, highest)
        if token > highest:
            if task not in self._highest and len(self._highest) >= self._max_tasks:
                raise FenceFullError(f"{self._max_tasks} tasks, the fence is full")
            if self._store is not None:
                self._store.apply({self._prefix + task.encode(): token.to_bytes(TOKEN_BYTES, "big")})
            self._highest[task] = token

    def highest_of_all(self) -> dict[str, int]:
        """Return the highest tokens in memory, sorted by task, for operators."""
        return dict(sorted(self._highest.items()))
