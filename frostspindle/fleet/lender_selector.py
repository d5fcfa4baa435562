"""Selection of lenders to request quota from: those known to have some left, else random ones, with backoff.

No I/O and no clock: all times are in ms of the local monotonic clock.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Collection, Container
from typing import NamedTuple

MAX_LENDERS = 3  # per request for missing quota
SMALL_FLEET = 32  # homes; with more, only one lender is chosen at a time while quota is scarce
BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 3_200.0


class _Backoff(NamedTuple):
    until: float
    pause_ms: float  # before jitter


NO_BACKOFF = _Backoff(0.0, 0.0)


class LenderSelector:
    """Chooses the next lenders to request quota from, based on their previous answers."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.available: dict[str, int] = {}  # units that each lender had left at its last answer
        self._with_quota: set[str] = set()  # lenders with units left
        self._recent_empty: deque[bool] = deque([False], maxlen=MAX_LENDERS)  # per answer: nothing granted or left
        self._backoff: dict[str, _Backoff] = {}
        self._homes: list[str] = []
        self._free: list[str] = []  # homes that are not in backoff, sorted
        self._backoff_ends: list[tuple[float, str]] = []  # a heap; outdated entries are ignored

    @property
    def scarce(self) -> bool:
        """Whether none of the last answers granted units or reported any left.

        A safety margin would then stay unused while other coordinators lack units.
        """
        return all(self._recent_empty)

    def choose(self, now: float, homes: list[str], alive: Container[str], excluded: Collection[str]) -> list[str]:
        """Return up to MAX_LENDERS homes that are alive, not excluded and not in backoff.

        Only one is returned while quota is scarce and there are more than SMALL_FLEET homes. `homes` must be sorted and
        should be the same list object each time, as the free list is rebuilt for another one.
        """
        if homes is not self._homes:
            self._set_homes(homes)
        self._end_backoffs(now)
        count = 1 if len(homes) > SMALL_FLEET and self.scarce else MAX_LENDERS
        chosen = self._with_most_available(now, count, alive, excluded) if self._with_quota else []
        if len(chosen) < count:
            chosen += self._choose_random(count - len(chosen), alive, excluded)
        return chosen[:count]

    def _set_homes(self, homes: list[str]) -> None:
        self._homes = homes
        self._free = list(homes)
        self._backoff_ends = []
        for name in self._backoff:
            self._pause(name)

    def _end_backoffs(self, now: float) -> None:
        while self._backoff_ends and now >= self._backoff_ends[0][0]:
            until, name = heapq.heappop(self._backoff_ends)
            if until == self._backoff.get(name, NO_BACKOFF).until:
                self._release(name)

    def _with_most_available(
        self, now: float, count: int, alive: Container[str], excluded: Collection[str]
    ) -> list[str]:
        """Return up to `count` lenders with the most units left; ties are broken at random."""
        candidates = [
            name
            for name, units in self.available.items()
            if units and now >= self._backoff.get(name, NO_BACKOFF).until and name in alive and name not in excluded
        ]
        if len(candidates) <= 1:
            return candidates
        offset = int(self.random.random() * len(candidates))
        rotated = candidates[offset:] + candidates[:offset]
        return heapq.nlargest(count, rotated, key=self.available.__getitem__)

    def _choose_random(self, count: int, alive: Container[str], excluded: Collection[str]) -> list[str]:
        """Return up to `count` other free homes, chosen uniformly at random."""
        free = list(filter(alive.__contains__, self._free))
        for name in (*excluded, *self._with_quota):  # usually few; if many have quota left, enough lenders were found
            _remove_sorted(free, name)
        chosen = []
        for index in range(min(count, len(free))):  # the first steps of a Fisher-Yates shuffle
            swap_index = index + int(self.random.random() * (len(free) - index))
            free[index], free[swap_index] = free[swap_index], free[index]
            chosen.append(free[index])
        return chosen

    def on_answer(self, now: float, name: str, granted: int, available: int) -> None:
        """Record a lender's answer: the units that it granted and those that it has left.

        An answer without a grant starts or extends the lender's backoff; a grant ends it.
        """
        self.available[name] = available
        if available:
            self._with_quota.add(name)
        else:
            self._with_quota.discard(name)
        self._recent_empty.append(not granted and not available)
        if not granted:
            self.back_off(now, name)
        elif name in self._backoff:
            del self._backoff[name]
            self._release(name)

    def back_off(self, now: float, name: str) -> None:
        """Start or double a lender's backoff, from BACKOFF_MS up to MAX_BACKOFF_MS, with a jitter of 0.5 to 1.5 times.

        The lender is not chosen until its backoff ends.
        """
        previous = self._backoff.get(name)
        pause_ms = BACKOFF_MS if previous is None else min(MAX_BACKOFF_MS, 2.0 * previous.pause_ms)
        self._backoff[name] = _Backoff(now + pause_ms * (0.5 + self.random.random()), pause_ms)
        self._pause(name)

    def _pause(self, name: str) -> None:
        heapq.heappush(self._backoff_ends, (self._backoff[name].until, name))
        _remove_sorted(self._free, name)

    def _release(self, name: str) -> None:
        index = bisect_left(self._free, name)
        if self._free[index : index + 1] != [name] and name in self._homes:
            self._free.insert(index, name)


def _remove_sorted(names: list[str], name: str) -> None:
    """Remove a name from a sorted list, if it is contained."""
    index = bisect_left(names, name)
    if index < len(names) and names[index] == name:
        del names[index]
