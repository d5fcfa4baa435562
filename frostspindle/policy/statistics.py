"""Statistics of recent values: exact quantiles of the last n values, sums over a time span, learned ratios.

Owns the windows and their order. It has no clock, does not know what the values mean, and chooses no quantile and no
learning rate.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from collections.abc import Sequence


class Window:
    """The last `size` values, also kept sorted: an addition costs two binary searches, a quantile one index."""

    def __init__(self, size: int) -> None:
        self.size, self.last, self.ranked = size, deque[float](), list[float]()

    def add(self, value: float) -> None:
        """Add a value; the oldest is dropped once there are `size`."""
        if len(self.last) == self.size:
            del self.ranked[bisect_left(self.ranked, self.last.popleft())]
        self.last.append(value)
        insort(self.ranked, value)

    def __len__(self) -> int:
        return len(self.ranked)


class Span:
    """Weights with their times; the sum is computed anew after each change, so that no rounding error accumulates."""

    def __init__(self) -> None:
        self.rows, self.sum, self.stale = deque[tuple[float, float]](), 0.0, False

    def add(self, at: float, weight: float) -> None:
        """Add a weight at a time (ms), which must not be before that of the last one."""
        self.rows.append((at, weight))
        self.stale = True

    def total(self, since: float) -> float:
        """Drop entries from before `since` (ms) and return the sum of the other weights."""
        while self.rows and self.rows[0][0] < since:
            self.rows.popleft()
            self.stale = True
        if self.stale:
            self.sum, self.stale = sum(weight for _, weight in self.rows), False
        return self.sum


class Times(deque[float]):
    """Times in ascending order, pruned at each use, so that the list does not grow while nobody reads it."""

    def since(self, at: float) -> Times:
        """Drop times at or before `at` (ms) and return itself."""
        while self and self[0] <= at:
            self.popleft()
        return self


class Buckets(list[float]):
    """Token buckets, one for each of several rates per second, of which each fills at a `parts`-th.

    The least capacity of a bucket is chosen by the caller of `take`.
    """

    at = 0.0

    def take(self, which: int, now: float, rates: Sequence[float], parts: int, least: float) -> bool:
        """Refill all buckets for the time since the last call (`now` in ms), then take a token of bucket `which`.

        Return whether it had one; always True for an index without a bucket. A bucket holds at most a second's tokens,
        but `least` where that is more.
        """
        if which >= len(self):
            return True
        span, self.at = (now - self.at) / 1000.0 / parts, now
        for i, rate in enumerate(rates[: len(self)]):
            self[i] = min(max(least, rate / parts), self[i] + span * rate)
        within = self[which] >= 1.0
        self[which] -= within
        return within


class Learned:
    """Robust running mean of the logarithm of a ratio, and its spread.

    The mean starts at 0 and is drawn towards it while samples are few; a sample moves it by at most a part of
    `longest_step`.
    """

    def __init__(self, spread_rate: float, longest_step: float, memory: int) -> None:
        self.spread_rate, self.longest_step, self.memory = spread_rate, longest_step, memory
        self.mid, self.spread, self.count = 0.0, 0.2, 0

    def add(self, ratio: float) -> None:
        """Learn from one ratio, clamped to 0.001 to 1000."""
        x = math.log(max(1e-3, min(1e3, ratio)))
        self.count += 1
        self.spread += self.spread_rate * (abs(x - self.mid) - self.spread)
        step = max(-self.longest_step, min(self.longest_step, x - self.mid))
        self.mid += step / min(2 + self.count, self.memory)
