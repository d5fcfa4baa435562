"""Statistics of recent values: sorted and sliding windows, token buckets, running estimates.

It has no clock, does not know what the values mean, and chooses no quantile and no
learning rate.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Sequence


class SortedWindow:
    """The last `size` values, also kept sorted: an addition costs two binary searches, a quantile one index."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.recent = deque[float]()
        self.ranked = list[float]()

    def add(self, value: float) -> None:
        """Add a value; the oldest is dropped once there are `size`."""
        if len(self.recent) == self.size:
            del self.ranked[bisect_left(self.ranked, self.recent.popleft())]
        self.recent.append(value)
        insort(self.ranked, value)

    def __len__(self) -> int:
        return len(self.ranked)


class SlidingWindowSum:
    """Weights with their times; the sum is computed anew after each change, so that no rounding error accumulates."""

    def __init__(self) -> None:
        self.entries = deque[tuple[float, float]]()
        self.sum = 0.0
        self.stale = False

    def add(self, time_ms: float, weight: float) -> None:
        """Add a weight at a time (ms), which must not be before that of the last one."""
        self.entries.append((time_ms, weight))
        self.stale = True

    def total(self, since_ms: float) -> float:
        """Drop entries from before `since` (ms) and return the sum of the other weights."""
        while self.entries and self.entries[0][0] < since_ms:
            self.entries.popleft()
            self.stale = True
        if self.stale:
            self.sum = sum(weight for _, weight in self.entries)
            self.stale = False
        return self.sum


class SlidingWindowCounter(deque[float]):
    """Times (ms) in ascending order, pruned at each use, so that their number is bounded by the window."""

    def after(self, time_ms: float) -> SlidingWindowCounter:
        """Drop times at or before `at` (ms) and return itself."""
        while self and self[0] <= time_ms:
            self.popleft()
        return self


class TokenBuckets(list[float]):
    """Token buckets, one for each of several rates per second, of which each fills at a `parts`-th.

    The least capacity of a bucket is chosen by the caller of `take`.
    """

    refilled_at_ms = 0.0

    def take(self, index: int, now: float, rates: Sequence[float], shares: int, min_capacity: float) -> bool:
        """Refill all buckets for the time since the last call (`now` in ms), then take a token of bucket `which`.

        Return whether it had one; always True for an index without a bucket. A bucket holds at most a second's tokens,
        but `least` where that is more.
        """
        if index >= len(self):
            return True
        elapsed_s = (now - self.refilled_at_ms) / 1000.0 / shares
        self.refilled_at_ms = now
        for bucket, rate in enumerate(rates[: len(self)]):
            self[bucket] = min(max(min_capacity, rate / shares), self[bucket] + elapsed_s * rate)
        has_token = self[index] >= 1.0
        self[index] -= has_token
        return has_token


class LogRatioEstimator:
    """Robust running mean of the logarithm of a ratio, and its spread.

    The mean starts at 0 and is drawn towards it while samples are few; a sample moves it by at most a part of
    `longest_step`.
    """

    def __init__(self, spread_rate: float, max_step: float, max_samples: int) -> None:
        self.spread_rate = spread_rate
        self.max_step = max_step
        self.max_samples = max_samples
        self.mean = 0.0
        self.spread = 0.2
        self.count = 0

    def add(self, ratio: float) -> None:
        """Learn from one ratio, clamped to 0.001 to 1000."""
        log_ratio = math.log(max(1e-3, min(1e3, ratio)))
        self.count += 1
        self.spread += self.spread_rate * (abs(log_ratio - self.mean) - self.spread)
        step = max(-self.max_step, min(self.max_step, log_ratio - self.mean))
        self.mean += step / min(2 + self.count, self.max_samples)
