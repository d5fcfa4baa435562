"""The state that a lease holder keeps of its leases and commands, and the changes that it reports."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CommandOutcome(Enum):
    """What became of a proposed command."""

    APPLIED = "applied"
    NOT_APPENDED = "not appended"  # and it never will be
    UNKNOWN = "unknown"  # it may be applied later


@dataclass(slots=True)
class HeldLease:
    """A lease granted to this process; times in ms of its own clock."""

    token: int
    requested_at: float
    expires_at: float  # -inf: over until it is renewed
    announced: bool = False  # its users know that it is held, and not yet that it is over


@dataclass(slots=True)
class LeaseChanged:
    """A lease that was acquired or lost, for its users."""

    task: str
    token: int
    held: bool
    reason: str = ""
    at: float = 0.0  # from when it was held, or until when, on the own clock


@dataclass(slots=True)
class PendingCommand:
    """The one command whose outcome is awaited."""

    number: int
    requested_at: float
