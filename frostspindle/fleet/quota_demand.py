"""Demand on a budget at one coordinator: estimated from what was asked of it, or stated by its user.

No I/O and no clock: all times are ms of the own monotonic clock.
"""

from __future__ import annotations

import math
from collections import deque

SLICES = 8  # of a window, by which demand is counted
RECENT_WINDOWS = 2.0  # windows that the estimate is made of


class EstimatedDemand:
    """Estimate of the units that meet the recent demand on a budget, granted or not."""

    def __init__(self, window_ms: float, cooldown_ms: float) -> None:
        self._slice_ms = window_ms / SLICES
        self._units_per_use = cooldown_ms / window_ms  # a unit cools down for longer than a window
        self._slices: deque[tuple[int, int]] = deque()  # number of the slice, units
        self._units = 0  # of all slices

    def add(self, now: float, units: int) -> None:
        """Count units asked of the budget at `now`, granted or not."""
        current = int(now / self._slice_ms)
        self._units += units
        if self._slices and self._slices[-1][0] == current:
            self._slices[-1] = (current, self._slices[-1][1] + units)
        else:
            self._slices.append((current, units))
            self._forget(current)

    def _forget(self, current: int) -> None:
        while self._slices and self._slices[0][0] <= current - RECENT_WINDOWS * SLICES:
            self._units -= self._slices.popleft()[1]

    def needed(self, now: float, with_margin: bool) -> int:
        """Return the units that meet the mean demand of the last RECENT_WINDOWS; 0 if nothing was asked.

        `with_margin` adds one standard deviation.
        """
        self._forget(int(now / self._slice_ms))
        if not self._units:
            return 0
        mean = self._units / RECENT_WINDOWS
        return math.ceil((mean + with_margin * math.sqrt(mean)) * self._units_per_use) + with_margin


class StatedDemand:
    """Demand that its user states, in place of an estimate of what was asked.

    Shares of less than `min_share` units of the whole budget are of no use: then all but the smallest claims are met in
    an order that changes with `turn`.
    """

    def __init__(self) -> None:
        self.units = 0
        self.min_share = 0
        self.turn = 0

    def add(self, now: float, units: int) -> None:
        """Do nothing, as nothing is estimated."""

    def needed(self, now: float, with_margin: bool) -> int:
        """Return the stated need in units; `now` and `with_margin` change nothing."""
        return self.units
