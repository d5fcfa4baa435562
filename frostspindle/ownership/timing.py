"""Time limits of leases: the settings, a holder's expiry and a candidate's wait. No clock is read here.

Each process uses its own monotonic clock (ms). Clocks need not agree, but the rate of each must be within `drift` of
true time. With D the lease duration and d the drift:

    the holder stops at        requested + D(1 - d)
    a candidate requests at    applied + D(1+d)/(1-d) + MAX_OBSERVED_STEP_MS

`requested` is read on the holder's clock before the command is proposed, `applied` on the candidate's clock when the
last grant or renewal is applied there. A command is applied at any process only after it was
requested, so the holder's expiry is before the candidate's request in true time, whichever clock is faster. A candidate
that applies the entry late waits longer. An acquisition is a compare-and-set on the observed row, so it fails if the
candidate missed a renewal.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_OBSERVED_STEP_MS = 100.0  # upper bound of the observed time between two clock readings, added to each wait
RENEW_RATIO = 1.0 / 3.0  # a lease is renewed after this fraction of its duration
SPREAD_RATIO = 0.1  # candidates spread their requests over this fraction of the lease
MAX_SPREAD_MS = 300.0


@dataclass(slots=True, frozen=True)
class LeaseSettings:
    """Settings of the leases, times in ms; all coordinators must have the same, except for `spread_ms`."""

    lease_ms: int = 3_000
    drift: float = 0.01
    spread_ms: float = 0.0  # 0: derived from the lease duration

    @property
    def spread(self) -> float:
        """Time in ms over which candidates spread their requests for a free task."""
        return self.spread_ms or min(MAX_SPREAD_MS, SPREAD_RATIO * self.lease_ms)

    @property
    def step_ms(self) -> float:
        """Greatest accepted clock step in ms between two readings; a greater one ends this process's leases."""
        return self.lease_ms / 2.0

    @property
    def command_timeout_ms(self) -> float:
        """Timeout of one command on the log, in ms."""
        return self.lease_ms * RENEW_RATIO


def expiry_ms(requested_at: float, duration_ms: float, drift: float) -> float:
    """Return when a lease requested at `requested_at` expires for its holder, in ms of the holder's clock."""
    return requested_at + duration_ms * (1.0 - drift)


def takeover_wait_ms(duration_ms: float, drift: float) -> float:
    """Return how long a candidate must observe a row unchanged before it may acquire the task, in ms."""
    return duration_ms * (1.0 + drift) / (1.0 - drift) + MAX_OBSERVED_STEP_MS
