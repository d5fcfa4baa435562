"""Exponential backoff with jitter. No clock: times are passed in, in ms."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

BACKOFF_MS = 50.0  # after the first failure
MAX_BACKOFF_MS = 2_000.0
MAX_FAILURES = 10  # upper bound of the failure count


@dataclass(slots=True)
class Backoff:
    """The time before which an operation is not to be retried."""

    until: float = -math.inf
    failures: int = 0

    def on_failure(self, now: float, rng: random.Random, max_ms: float) -> None:
        """Back off: BACKOFF_MS, doubled with each failure up to `max_ms`, times a random factor of 0.5 to 1."""
        self.failures = min(self.failures + 1, MAX_FAILURES)
        delay_ms = min(max_ms, BACKOFF_MS * 2.0 ** (self.failures - 1))
        self.until = now + delay_ms * rng.uniform(0.5, 1.0)

    def on_success(self) -> None:
        """End the backoff, and start the next one at its shortest."""
        self.until = -math.inf
        self.failures = 0

    def limit(self, until: float) -> None:
        """Make the backoff end at `until` at the latest."""
        self.until = min(self.until, until)
