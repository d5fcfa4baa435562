"""Selection of the members to ask for quota: those that had some left, else at random, with exponential backoff.

No I/O and no clock: all times are ms of the own monotonic clock.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Collection, Container
from typing import NamedTuple

MAX_LENDERS = 3  # asked at once
SMALL_FLEET = 32  # homes; of more, one is asked at a time while nobody has any left
BACKOFF_MS = 200.0
MAX_BACKOFF_MS = 3_200.0


class _Backoff(NamedTuple):
    until: float
    pause_ms: float  # before jitter


NO_BACKOFF = _Backoff(0.0, 0.0)


class LenderSelector:
    """Choice of whom to ask for quota next, from what the lenders answered."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.available: dict[str, int] = {}  # units that each lender had left when it last answered
        self._with_quota: set[str] = set()  # lenders that had some left
        self._recent_empty: deque[bool] = deque([False], maxlen=MAX_LENDERS)  # whether an answer gave and left nothing
        self._backoff: dict[str, _Backoff] = {}
        self._homes: list[str] = []
        self._free: list[str] = []  # homes that are not in backoff, sorted
        self._backoff_ends: list[tuple[float, str]] = []  # a heap; entries of backoffs that changed are void

    @property
    def scarce(self) -> bool:
        """Whether none of the last answers lent or had anything: a margin would then only lie idle while others lack
        units.
        """
        return all(self._recent_empty)

    def choose(self, now: float, homes: list[str], alive: Container[str], excluded: Collection[str]) -> list[str]:
        """Return up to MAX_LENDERS homes to ask (one if all are scarce and many): alive, not excluded, not in backoff.

        `homes` must be sorted, and the same list object each time: another one has the free list built anew.
        """
        if homes is not self._homes:
            self._set_homes(homes)
        self._end_backoffs(now)
        count = 1 if len(homes) > SMALL_FLEET and self.scarce else MAX_LENDERS
        chosen = self._with_most_available(now, count, alive, excluded) if self._with_quota else []
        if len(chosen) < count:
            chosen += self._draw(count - len(chosen), alive, excluded)
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
        """Those that had most left; a random one first among those that had as many. All, if it is one."""
        candidates = [
            name
            for name, units in self.available.items()
            if units and now >= self._backoff.get(name, NO_BACKOFF).until and name in alive and name not in excluded
        ]
        if len(candidates) <= 1:
            return candidates
        first = int(self.random.random() * len(candidates))
        rotated = candidates[first:] + candidates[:first]
        return heapq.nlargest(count, rotated, key=self.available.__getitem__)

    def _draw(self, count: int, alive: Container[str], excluded: Collection[str]) -> list[str]:
        """Up to `count` of the others, drawn uniformly."""
        free = list(filter(alive.__contains__, self._free))
        for name in (*excluded, *self._with_quota):  # few, or enough have some left
            _remove_sorted(free, name)
        drawn = []
        for place in range(min(count, len(free))):  # the first steps of a shuffle
            other = place + int(self.random.random() * (len(free) - place))
            free[place], free[other] = free[other], free[place]
            drawn.append(free[place])
        return drawn

    def on_answer(self, now: float, name: str, granted: int, available: int) -> None:
        """Record a lender's answer: units granted, and units it has left.

        Nothing granted starts or lengthens its backoff, anything granted ends it.
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
        """Double the lender's backoff, from BACKOFF_MS up to MAX_BACKOFF_MS, with jitter of 0.5 to 1.5 times.

        It is not chosen before that is over.
        """
        previous = self._backoff.get(name)
        pause_ms = BACKOFF_MS if previous is None else min(MAX_BACKOFF_MS, 2.0 * previous.pause_ms)
        self._backoff[name] = _Backoff(now + pause_ms * (0.5 + self.random.random()), pause_ms)
        self._pause(name)

    def _pause(self, name: str) -> None:
        heapq.heappush(self._backoff_ends, (self._backoff[name].until, name))
        _remove_sorted(self._free, name)

    def _release(self, name: str) -> None:
        place = bisect_left(self._free, name)
        if self._free[place : place + 1] != [name] and name in self._homes:
            self._free.insert(place, name)


def _remove_sorted(names: list[str], name: str) -> None:
    """Remove a name from a sorted list, if it is there."""
    place = bisect_left(names, name)
    if place < len(names) and names[place] == name:
        del names[place]
