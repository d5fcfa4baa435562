"""The interface of this package to others: leases for work that only one coordinator may do at a time.

Decides and stores nothing: `service.LeaseManager` does.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class OwnershipError(Exception):
    """Base class of the errors of leases and their receivers."""


class LeaseLostError(OwnershipError):
    """The lease that work was done under is over; whatever is not sent yet must not be sent."""


class Lease:
    """A lease granted to this process, as handed to its users; the same object over renewals."""

    __slots__ = ("task", "token", "_holds")

    def __init__(self, task: str, token: int, holds: Callable[[], bool]) -> None:
        self.task: str = task
        self.token: int = token  # the fencing token
        self._holds: Callable[[], bool] = holds

    def holds(self) -> bool:
        """Return whether the lease is held now; asked after each step and before each send.

        True is no promise for the time after: a process may be stopped between the check and the send, so receivers
        check the token besides.
        """
        return self._holds()

    def check(self) -> None:
        """Raise LeaseLostError if the lease is over."""
        if not self._holds():
            raise LeaseLostError(f"{self.task}: the lease of token {self.token} is over")

    def __repr__(self) -> str:
        return f"Lease({self.task!r}, {self.token})"


# Called with the task, and with its lease from now on; None: it is lost or released.
LeaseListener = Callable[[str, Lease | None], None]


class LeaseProvider(Protocol):
    """The lease manager as other parts see it. Listeners are called in the event loop, and must not block or raise."""

    on_change: list[LeaseListener]

    def add_candidacy(self, task: str, weight: float = 1.0) -> None:
        """Be a candidate for a task: request its lease whenever it is free.

        A greater weight makes this coordinator likelier to get it.

        ValueError: a name that can't be used, a weight out of bounds, or more tasks than there may be.
        """

    def withdraw_candidacy(self, task: str) -> None:
        """Be a candidate for the task no longer, and release its lease if it is held."""

    def lease(self, task: str) -> Lease | None:
        """Return the task's lease; None: it is not held here now."""

    def record_rejection(self, task: str, token: int, action: str, highest: int) -> None:
        """Note that a receiver has rejected an action under this token: logged, counted and shown to operators."""
