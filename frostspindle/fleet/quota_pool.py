"""Pool of quota units, which are ready or in the cooldown that follows each use.

No I/O and no clock: all times are in ms of the local monotonic clock.
"""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple


class CooledUnits(NamedTuple):
    """Units taken from a pool and the time at which they become ready (-inf: already ready)."""

    units: int
    ready_at: float


class QuotaPool:
    """Units that are ready, and batches of units that are cooling down."""

    __slots__ = ("_batches", "cooling", "ready")

    def __init__(self) -> None:
        self.ready = 0
        self.cooling = 0
        self._batches: deque[list[float]] = deque()  # first and last end of cooldown, units; ready at the last

    @property
    def total(self) -> int:
        """Number of units in the pool, ready or cooling."""
        return self.ready + self.cooling

    def end_cooldowns(self, now: float) -> None:
        """Mark units as ready whose cooldown has ended by `now`."""
        while self._batches and self._batches[0][1] <= now:
            units = int(self._batches.popleft()[2])
            self.cooling -= units
            self.ready += units

    def add_cooling(self, units: int, until: float, granularity_ms: float) -> None:
        """Add units that become ready at `until`, or up to `granularity_ms` later, as nearby batches are merged."""
        if units <= 0:
            return
        self.cooling += units
        last = self._batches[-1] if self._batches else None
        if last is not None and until < last[1]:
            until = last[1]  # later than requested, to keep the batches sorted; only a late loan comes out of order
        if last is not None and until - last[0] <= granularity_ms:
            last[1] = until
            last[2] += units
        else:
            self._batches.append([until, until, units])

    def spend(self, units: int, until: float, granularity_ms: float) -> None:
        """Spend ready units, which then cool down until `until`, or up to `granularity_ms` longer.

        The caller must ensure that enough units are ready.
        """
        self.ready -= units
        self.add_cooling(units, until, granularity_ms)

    def take_all(self) -> list[CooledUnits]:
        """Remove and return all units, ready ones first."""
        cooling = [CooledUnits(int(units), latest) for _, latest, units in self._batches]
        taken = [CooledUnits(self.ready, -math.inf), *cooling]
        self.ready = 0
        self.cooling = 0
        self._batches.clear()
        return taken

    def next_ready_at(self) -> float:
        """Return when the next units become ready, inf if none are cooling."""
        return self._batches[0][1] if self._batches else math.inf
