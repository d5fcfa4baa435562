"""The interface of this package to others: what a lease is to those who work under one, and whom they ask for it.

Owns the names that other packages may use. It must never decide or keep anything: `service.Owners` does.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol


class LeaseLostError(Exception):
    """The lease that work was done under is over; whatever is not sent yet must not be sent."""


class Lease:
    """A lease granted to this process, as handed to those who work under it; the same object over renewals."""

    __slots__ = ("task", "token", "_holds")

    def __init__(self, task: str, token: int, holds: Callable[[], bool]) -> None:
        self.task, self.token, self._holds = task, token, holds

    def holds(self) -> bool:
        """Return whether the lease is held now; asked after each step and before each send.

        True is no promise for the time after: a process may be stopped between the check and the send, so receivers
        check the token besides.
        """
        return self._holds()

    def check(self) -> None:
        """Raise Lost if the lease is over."""
        if not self._holds():
            raise LeaseLostError(f"{self.task}: the lease of token {self.token} is over")

    def __repr__(self) -> str:
        return f"Lease({self.task!r}, {self.token})"


Changed = Callable[[str, Lease | None], None]  # the task, and the lease from now on; None: it is lost or released


class LeaseProvider(Protocol):
    """The service as other parts see it. `on_change` is called in the event loop, and must not block or raise."""

    on_change: list[Changed]

    def want(self, task: str, weight: float = 1.0) -> None:
        """Stand for a task: ask for its lease whenever it is free. A greater weight makes this coordinator likelier to
        get it.

        ValueError: a name that can't be used, a weight out of bounds, or more tasks than there may be.
        """

    def unwant(self, task: str) -> None:
        """Stand for the task no longer, and release its lease if it is held."""

    def lease(self, task: str) -> Lease | None:
        """Return the task's lease; None: it is not held here now."""

    def refused(self, task: str, token: int, action: str, highest: int) -> None:
        """Note that a receiver has refused an action under this token: logged, counted and shown to operators."""
