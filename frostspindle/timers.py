"""A hierarchical timer wheel: starting and cancelling cost the same however many timers there are.

Owns when each timer is due, and in what order due ones come out. It has no I/O and no clock: times are handed in, Unix
milliseconds, and its tick is one of them. It must never give out a timer before its time by the clock that it is
handed, nor keep one for more than a tick after it, and never do more than a bounded part of its work in one call, so
that 100,000 timers of one instant hold up nothing else. A step of the clock forward makes more of them due; after one
backward they are filed anew, each for its own time.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any

BITS, LEVELS = 8, 6  # 256 slots a level: of 1 ms, 256 ms, 65.5 s, 4.7 h, 50 days, 35 years
SLOTS = 1 << BITS
LAST = (1 << BITS * LEVELS) - 1  # what is due later is due then
MOVES = 256  # timers that one call takes to a finer level before others get their turn
OUT = -1  # the place of a timer that was given out or cancelled


class Timer:
    """One timer; `what` is its owner's value."""

    __slots__ = ("tick", "what", "place")

    def __init__(self, tick: int, what: Any) -> None:
        self.tick, self.what, self.place = tick, what, OUT


class TimerWheel:
    """A hierarchical timer wheel: each level's slots are 256 times as long as those of the level below.

    A timer lies at the level of the highest digit (base 256) in which its time differs from now. A slot is looked at
    when its first tick has come; its timers then queue up, to be given out or moved to a finer slot. A bit mask for
    each level shows which slots are in use, so that empty time costs nothing.
    """

    def __init__(self, now_ms: float) -> None:
        self._now = int(now_ms)  # all that was due before this tick is out, or in line
        self._slots: list[dict[Timer, None]] = [{} for _ in range(LEVELS * SLOTS)]
        self._busy = [0] * LEVELS
        self._line: deque[Timer] = deque()  # of the slot that is being emptied, with cancelled ones
        self._next: float = math.inf  # no slot in use after now's begins before
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def start(self, due_ms: float, what: Any) -> Timer:
        """Start and return a timer for `due_ms` (Unix ms); one in the past is due at once."""
        timer = Timer(math.ceil(due_ms) if due_ms < LAST or math.isnan(due_ms) else LAST, what)
        self._count += 1
        self._file(timer)
        return timer

    def cancel(self, timer: Timer) -> None:
        """Remove a timer; no effect if it was given out or cancelled already."""
        if timer.place != OUT:
            self._count -= 1
            self._lift(timer)

    def pop(self, now_ms: float) -> Timer | None:
        """Return one timer that is due; None: none is, or MOVES timers were moved and `next_ms` tells when to go on."""
        limit = min(int(now_ms), LAST)
        if limit < self._now:
            self._turn_back(limit)
        if limit < self._next and not self._line:
            return None  # as nearly always
        moves = 0
        while True:
            while self._line:
                timer = self._line.popleft()
                if timer.place == OUT:
                    continue
                self._lift(timer)
                if timer.tick <= self._now:
                    self._count -= 1
                    return timer
                self._file(timer)
                if (moves := moves + 1) == MOVES:
                    return None
            place, tick = self._first()
            if place == OUT or tick > limit:
                self._now, self._next = limit, math.inf if place == OUT else tick
                return None
            self._now = tick
            self._line.extend(self._slots[place])

    def next_ms(self) -> float | None:
        """Return when to call `pop` again after it gave None (Unix ms); None: there is no timer.

        It is never later than the next timer is due. For timers far away it is the time at which their slot begins;
        that of a cancelled one may stay.
        """
        if self._line:
            return float(self._now)
        return float(self._next) if self._next < math.inf else None

    def _file(self, timer: Timer) -> None:
        tick = timer.tick
        if tick <= self._now:
            tick = self._now
            self._line.append(timer)
        level = (((tick ^ self._now) | 1).bit_length() - 1) // BITS
        shift = level * BITS
        index = (tick >> shift) % SLOTS
        if tick > self._now and (begin := tick >> shift << shift) < self._next:
            self._next = begin
        timer.place = place = level * SLOTS + index
        slot = self._slots[place]
        if not slot:
            self._busy[level] |= 1 << index
        slot[timer] = None

    def _lift(self, timer: Timer) -> None:
        place, timer.place = timer.place, OUT
        slot = self._slots[place]
        del slot[timer]
        if not slot:
            self._busy[place // SLOTS] ^= 1 << place % SLOTS

    def _first(self) -> tuple[int, int]:
        """The first slot in use after those that hold now, and its first tick."""
        for level, busy in enumerate(self._busy):
            here = self._now >> level * BITS
            if ahead := busy >> here % SLOTS + 1:
                at = here + (ahead & -ahead).bit_length()
                return level * SLOTS + at % SLOTS, at << level * BITS
        return OUT, 0

    def _turn_back(self, now: int) -> None:
        """The clock was set back: each timer keeps its time, and is filed as seen from now."""
        timers = [timer for slot in self._slots for timer in slot]
        for slot in self._slots:
            slot.clear()
        self._line.clear()
        self._busy, self._now, self._next = [0] * LEVELS, now, math.inf
        for timer in timers:
            self._file(timer)
