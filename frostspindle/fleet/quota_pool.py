"""Units of quota in hand: ready, or in the cooldown that follows each use.

No I/O and no clock: all times are ms of the own monotonic clock.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple


class CooledUnits(NamedTuple):
    """Units taken from a pool, and when their cooldown ends (-inf: they are ready)."""

    units: int
    ready_at: float


class QuotaPool:
    """Units in hand, ready or cooling down until a time in ms."""

    __slots__ = ("_batches", "cooling", "ready")

    def __init__(self) -> None:
        self.ready = 0
        self.cooling = 0
        self._batches: deque[list[float]] = deque()  # earliest and latest end of cooldown, units; ready at the latest

    @property
    def total(self) -> int:
        """Number of units in hand, ready or cooling."""
        return self.ready + self.cooling

    def settle(self, now: float) -> None:
        """Make ready the units whose cooldown is over at `now`."""
        while self._batches and self._batches[0][1] <= now:
            units = int(self._batches.popleft()[2])
            self.cooling -= units
            self.ready += units

    def add_cooling(self, units: int, until: float, granularity_ms: float) -> None:
        """Add units that are ready from `until` on, or up to `granularity_ms` later: close batches are merged."""
        if units <= 0:
            return
        self.cooling += units
        last = self._batches[-1] if self._batches else None
        if last is not None and until < last[1]:
            until = last[1]  # never sooner than asked; cooldowns are in order but for that of a late loan
        if last is not None and until - last[0] <= granularity_ms:
            last[1] = until
            last[2] += units
        else:
            self._batches.append([until, until, units])

    def spend(self, units: int, until: float, granularity_ms: float) -> None:
        """Use ready units, which then cool down until `until`, or up to `granularity_ms` longer.

        The caller has checked that so many are ready.
        """
        self.ready -= units
        self.add_cooling(units, until, granularity_ms)

    def take_all(self) -> list[CooledUnits]:
        """Empty the pool; return its units, the ready ones first."""
        cooling = [CooledUnits(int(units), latest) for _, latest, units in self._batches]
        taken = [CooledUnits(self.ready, -math.inf), *cooling]
        self.ready = 0
        self.cooling = 0
        self._batches.clear()
        return taken

    def next_ready_at(self) -> float:
        """Return when the next units have cooled down; inf if none are cooling."""
        return self._batches[0][1] if self._batches else math.inf
