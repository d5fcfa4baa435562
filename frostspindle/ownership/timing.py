"""Time limits of leases: the settings, a holder's expiry and a candidate's wait. No clock is read here.

Each process uses its own monotonic clock (ms), which need not agree with any other; its rate must be within `drift` of
true time. With D the duration and d the drift:

    the holder stops at   requested + D(1 - d)                      on its clock, before the command was proposed
    a candidate asks at   applied + D(1+d)/(1-d) + PATIENCE_MS      on its clock, the last grant or renewal applied here

The command is applied anywhere only after it was requested, so the holder's expiry is before the candidate's request in
true time, whichever clock is the faster. A candidate that applied late waits longer, and an acquisition is a
compare-and-set on the row that was seen, so a renewal that the candidate did not see makes it fail.
"""

from __future__ import annotations

from dataclasses import dataclass

PATIENCE_MS = 100.0  # that count as watched between two looks at the clock, at most
RENEW_PART = 1.0 / 3.0  # of the lease, after which it is renewed
SPREAD_PART = 0.1  # of the lease, over which candidates spread their requests
MAX_SPREAD_MS = 300.0


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Settings of the leases, times in ms; all coordinators must have the same, except for `spread_ms`."""

    lease_ms: int = 3_000
    drift: float = 0.01
    spread_ms: float = 0.0  # 0: by the lease

    @property
    def spread(self) -> float:
        """Time in ms over which candidates spread their requests, so that not all request a free task at once."""
        return self.spread_ms or min(MAX_SPREAD_MS, SPREAD_PART * self.lease_ms)

    @property
    def step_ms(self) -> float:
        """Greatest step of the clock in ms between two looks; a greater one ends all own leases until renewed."""
        return self.lease_ms / 2.0

    @property
    def command_timeout_ms(self) -> float:
        """Time limit of one command on the log, in ms."""
        return self.lease_ms * RENEW_PART


def expiry_ms(requested_at: float, duration_ms: float, drift: float) -> float:
    """Return until when a holder counts a lease requested at `requested_at`, in ms of its own clock."""
    return requested_at + duration_ms * (1.0 - drift)


def takeover_wait_ms(duration_ms: float, drift: float) -> float:
    """Return how long a candidate must watch an unchanged row before it may acquire the task, in ms."""
    return duration_ms * (1.0 + drift) / (1.0 - drift) + PATIENCE_MS
