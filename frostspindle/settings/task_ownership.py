"""The interface that settings need from task ownership: the lease of the publisher's task. No I/O."""

from __future__ import annotations

from typing import Protocol


class TaskLease(Protocol):
    """This coordinator's lease on a task."""

    @property
    def token(self) -> int:
        """Fencing token of the lease."""

    def holds(self) -> bool:
        """Whether the lease has not expired."""


class TaskOwnership(Protocol):
    """This coordinator's leases on tasks; see frostspindle/ownership."""

    def lease(self, task: str) -> TaskLease | None:
        """Return this coordinator's lease on a task; None while it has none."""


class _PermanentLease:
    token = 1

    def holds(self) -> bool:
        return True


class LocalOwnership:
    """Ownership for a standalone coordinator with a local log: it always holds the lease of every task."""

    def lease(self, task: str) -> TaskLease | None:
        """Return a lease that never expires, with token 1."""
        return _PermanentLease()
