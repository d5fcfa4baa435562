"""Statistics of recent values: sorted and sliding windows, token buckets, running estimates.

The classes have no clock and no tuning constants; callers supply times, quantiles and learning rates.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Sequence


class SortedWindow:
    """The last `size` values, also in sorted order: adding costs two binary searches, a quantile one index."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.recent = deque[float]()
        self.ranked = list[float]()

    def add(self, value: float) -> None:
        """Add a value; if the window is full, drop the oldest."""
        if len(self.recent) == self.size:
            del self.ranked[bisect_left(self.ranked, self.recent.popleft())]
        self.recent.append(value)
        insort(self.ranked, value)

    def __len__(self) -> int:
        return len(self.ranked)


class SlidingWindowSum:
    """Sum of weights in a sliding window, recomputed after each change so that rounding errors do not accumulate."""

    def __init__(self) -> None:
        self.entries = deque[tuple[float, float]]()
        self.sum = 0.0
        self.stale = False

    def add(self, time_ms: float, weight: float) -> None:
        """Add a weight at a time that must not precede the previous one."""
        self.entries.append((time_ms, weight))
        self.stale = True

    def total(self, since_ms: float) -> float:
        """Drop entries before `since_ms` and return the sum of the remaining weights."""
        while self.entries and self.entries[0][0] < since_ms:
            self.entries.popleft()
            self.stale = True
        if self.stale:
            self.sum = sum(weight for _, weight in self.entries)
            self.stale = False
        return self.sum


class SlidingWindowCounter(deque[float]):
    """Times (ms) in ascending order, pruned at each use so that the window bounds their number."""

    def after(self, time_ms: float) -> SlidingWindowCounter:
        """Drop times at or before `time_ms` and return self."""
        while self and self[0] <= time_ms:
            self.popleft()
        return self


class TokenBuckets(list[float]):
    """Token buckets, one for each of several rates per second; each fills at 1/`shares` of its rate."""

    refilled_at_ms = 0.0

    def take(self, index: int, now: float, rates: Sequence[float], shares: int, min_capacity: float) -> bool:
        """Refill all buckets up to `now` (ms), then take a token from bucket `index`; return whether it had one.

        Return True for an index without a bucket. A bucket holds the tokens of one second, or `min_capacity` if that is
        more.
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
    """Robust running mean of the logarithm of a ratio, and its mean absolute deviation.

    The mean starts at 0, weighted like two samples. The distance by which one sample pulls the mean is clamped to
    `max_step`.
    """

    def __init__(self, spread_rate: float, max_step: float, max_samples: int) -> None:
        self.spread_rate = spread_rate
        self.max_step = max_step
        self.max_samples = max_samples
        self.mean = 0.0
        self.spread = 0.2
        self.count = 0

    def add(self, ratio: float) -> None:
        """Add one ratio, clamped to the range 0.001 to 1000."""
        log_ratio = math.log(max(1e-3, min(1e3, ratio)))
        self.count += 1
        self.spread += self.spread_rate * (abs(log_ratio - self.mean) - self.spread)
        step = max(-self.max_step, min(self.max_step, log_ratio - self.mean))
        self.mean += step / min(2 + self.count, self.max_samples)
