"""A lease holder's state of leases and commands, and the changes that it reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CommandOutcome(Enum):
    """The outcome of a proposed command."""

    APPLIED = "applied"
    NOT_APPENDED = "not appended"  # and never will be
    UNKNOWN = "unknown"  # it may be applied later


@dataclass(slots=True)
class HeldLease:
    """A lease granted to this process; times in ms of its clock."""

    token: int
    requested_at: float
    expires_at: float  # -inf: not usable until it is renewed
    announced: bool = False  # the acquisition was reported to users, and the loss was not yet


@dataclass(slots=True)
class LeaseChanged:
    """The acquisition or loss of a lease, reported to its users."""

    task: str
    token: int
    held: bool
    reason: str = ""
    at: float = 0.0  # when the lease began or ended, in ms of this process's clock


@dataclass(slots=True)
class PendingCommand:
    """The one command whose outcome is awaited."""

    number: int
    requested_at: float
