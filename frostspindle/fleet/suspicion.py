"""Lifeguard's suspicion timeouts: the time a suspected member has to refute before it is declared dead.

The timeout starts long and shrinks with each member that suspects the same one after its own probe. No I/O and no
clock: times are in ms of the local monotonic clock.
"""

from __future__ import annotations

import math

from frostspindle.fleet.member_table import Member

MAX_CONFIRMATIONS = 3  # independent suspicions that reduce the timeout to its minimum
MIN_TIMEOUT_FACTOR = 5.0  # minimum timeout, in probe intervals times log10 of the fleet's size
MAX_TIMEOUT_FACTOR = 6.0  # maximum timeout, in minimum timeouts


class SuspicionTimers:
    """The suspected members and the deadline of each."""

    def __init__(self, probe_interval_ms: float) -> None:
        self.suspects: dict[str, Member] = {}
        self._probe_interval_ms = probe_interval_ms
        self._first_deadline: float | None = math.inf  # None: not computed yet

    def invalidate(self) -> None:
        """Discard the cached deadline after a change of a claim, a confirmation or the fleet's size."""
        self._first_deadline = None

    def first_deadline(self, fleet_size: int) -> float:
        """Return the earliest deadline of all suspects, inf if there are none. Cached until `invalidate`."""
        if self._first_deadline is None:
            deadlines = (self.deadline(member, fleet_size) for member in self.suspects.values())
            self._first_deadline = min(deadlines, default=math.inf)
        return self._first_deadline

    def deadline(self, member: Member, fleet_size: int) -> float:
        """Return the time at which a suspect is declared dead unless it refutes."""
        minimum_ms = MIN_TIMEOUT_FACTOR * max(1.0, math.log10(fleet_size)) * self._probe_interval_ms
        confirmed = math.log(max(1, len(member.confirmers))) / math.log(MAX_CONFIRMATIONS + 1)
        return member.suspected_at + minimum_ms * max(1.0, MAX_TIMEOUT_FACTOR - (MAX_TIMEOUT_FACTOR - 1.0) * confirmed)
