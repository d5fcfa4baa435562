"""What settings need of task ownership: the lease of the publisher's task. No I/O."""

from __future__ import annotations

from typing import Protocol


class TaskLease(Protocol):
    """This coordinator's lease on a task."""

    @property
    def token(self) -> int:
        """The fencing token."""

    def holds(self) -> bool:
        """Whether the lease has not run out."""


class TaskOwnership(Protocol):
    """The leases of this coordinator; see frostspindle/ownership."""

    def lease(self, task: str) -> TaskLease | None:
        """Return this coordinator's lease on a task; None while it has none."""


class _PermanentLease:
    token = 1

    def holds(self) -> bool:
        return True


class LocalOwnership:
    """Ownership for a coordinator that is alone with its own log: it always holds each task's lease."""

    def lease(self, task: str) -> TaskLease | None:
        """Return a lease that always holds, with token 1."""
        return _PermanentLease()
