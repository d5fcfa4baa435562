"""The public interface of this package: leases for work that only one coordinator may do at a time.

The implementation is `service.LeaseManager`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class OwnershipError(Exception):
    """Base class of the errors of leases and their receivers."""


class LeaseLostError(OwnershipError):
    """The lease of the current work has ended; nothing more may be sent under it."""


class Lease:
    """A lease granted to this process; the same object across renewals."""

    __slots__ = ("task", "token", "_holds")

    def __init__(self, task: str, token: int, holds: Callable[[], bool]) -> None:
        self.task: str = task
        self.token: int = token  # the fencing token
        self._holds: Callable[[], bool] = holds

    def holds(self) -> bool:
        """Return whether the lease is held now; to be called after each step and before each send.

        The result holds only for this moment: the process may be suspended between the check and the send, so receivers
        also check the token.
        """
        return self._holds()

    def check(self) -> None:
        """Raise LeaseLostError if the lease has ended."""
        if not self._holds():
            raise LeaseLostError(f"{self.task}: the lease with token {self.token} has ended")

    def __repr__(self) -> str:
        return f"Lease({self.task!r}, {self.token})"


# Called with the task, and with its lease if it was acquired or None if it was lost or released.
LeaseListener = Callable[[str, Lease | None], None]


class LeaseProvider(Protocol):
    """The lease manager's interface for other packages. Listeners run in the event loop and must not block or raise."""

    on_change: list[LeaseListener]

    def add_candidacy(self, task: str, weight: float = 1.0) -> None:
        """Become a candidate for a task: request its lease whenever it is free.

        A greater weight makes this coordinator more likely to acquire it.

        Raise ValueError for an invalid name, a weight out of bounds, or too many tasks.
        """

    def withdraw_candidacy(self, task: str) -> None:
        """Stop being a candidate for the task, and release its lease if it is held."""

    def lease(self, task: str) -> Lease | None:
        """Return the task's lease, or None if this process does not hold it now."""

    def record_rejection(self, task: str, token: int, action: str, highest: int) -> None:
        """Record that a receiver has rejected an action under this token: logged, counted and shown to operators."""
