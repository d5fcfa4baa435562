"""Demand on a budget at one coordinator: estimated from recent use, or stated by its user.

No I/O and no clock: all times are in ms of the local monotonic clock.
"""

from __future__ import annotations

import math
from collections import deque

SLICES = 8  # per window; the granularity at which demand is counted
RECENT_WINDOWS = 2.0  # windows covered by the estimate


class EstimatedDemand:
    """Estimate of the units needed to meet the recent demand on a budget, whether it was granted or denied."""

    def __init__(self, window_ms: float, cooldown_ms: float) -> None:
        self._slice_ms = window_ms / SLICES
        self._units_per_use = cooldown_ms / window_ms  # a unit cools down for longer than a window
        self._slices: deque[tuple[int, int]] = deque()  # slice number, units
        self._units = 0  # over all slices

    def add(self, now: float, units: int) -> None:
        """Count units requested from the budget at `now`, whether granted or denied."""
        current = int(now / self._slice_ms)
        self._units += units
        if self._slices and self._slices[-1][0] == current:
            self._slices[-1] = (current, self._slices[-1][1] + units)
        else:
            self._slices.append((current, units))
            self._remove_old_slices(current)

    def _remove_old_slices(self, current: int) -> None:
        while self._slices and self._slices[0][0] <= current - RECENT_WINDOWS * SLICES:
            self._units -= self._slices.popleft()[1]

    def needed(self, now: float, with_margin: bool) -> int:
        """Return the units that meet the mean demand of the last RECENT_WINDOWS; 0 without any demand.

        `with_margin` adds one standard deviation.
        """
        self._remove_old_slices(int(now / self._slice_ms))
        if not self._units:
            return 0
        mean = self._units / RECENT_WINDOWS
        return math.ceil((mean + with_margin * math.sqrt(mean)) * self._units_per_use) + with_margin


class StatedDemand:
    """Demand stated by the user of the budget instead of being estimated.

    Shares below `min_share` units of the whole budget are of no use. When the even share is smaller, the claims above
    it are met in full, one after another, in an order that changes with `rotation`.
    """

    def __init__(self) -> None:
        self.units = 0
        self.min_share = 0
        self.rotation = 0

    def add(self, now: float, units: int) -> None:
        """Do nothing, as the demand is not estimated."""

    def needed(self, now: float, with_margin: bool) -> int:
        """Return the stated need in units; `now` and `with_margin` are ignored."""
        return self.units
