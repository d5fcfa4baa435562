"""Exponential backoff with jitter. No clock: times are passed in, in ms."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

BACKOFF_MS = 50.0  # after the first failure
MAX_BACKOFF_MS = 2_000.0
MAX_FAILURES = 10  # that are counted


@dataclass(slots=True)
class Backoff:
    """The time until which nothing is to be tried again."""

    until: float = -math.inf
    failures: int = 0

    def on_failure(self, now: float, rng: random.Random, max_ms: float) -> None:
        """Note a failure: wait from BACKOFF_MS up, doubled with each, `max_ms` at most, times 0.5 to 1."""
        self.failures = min(self.failures + 1, MAX_FAILURES)
        delay_ms = min(max_ms, BACKOFF_MS * 2.0 ** (self.failures - 1))
        self.until = now + delay_ms * rng.uniform(0.5, 1.0)

    def on_success(self) -> None:
        """Note a success: the wait ends, and the next one begins with the shortest."""
        self.until = -math.inf
        self.failures = 0

    def limit(self, until: float) -> None:
        """Let the wait end at `until` at the latest."""
        self.until = min(self.until, until)
