"""A hierarchical timer wheel: starting and cancelling cost the same however many timers there are.

It does no I/O and reads no clock: the caller passes Unix milliseconds, and a tick is one millisecond. By that clock no
timer fires early, or more than a tick late. The work of each call is bounded, so that 100,000 timers due at the same
instant do not block the event loop. A forward step of the clock makes more timers due; after a backward step all timers
are filed again, each for its own time.
"""

from __future__ import annotations

import math
from collections import deque
from typing import Any

SLOT_BITS = 8
LEVELS = 6  # with slots of 1 ms, 256 ms, 65.5 s, 4.7 h, 50 days and 35 years
SLOTS_PER_LEVEL = 1 << SLOT_BITS
MAX_TICK = (1 << SLOT_BITS * LEVELS) - 1  # later timers are due at this tick
MAX_MOVES_PER_CALL = 256  # limit on the timers that one call moves to a finer level
NO_SLOT = -1  # slot of a timer that fired or was cancelled


class Timer:
    """One timer. `value` belongs to the caller; `tick` is the Unix ms at which it is due."""

    __slots__ = ("tick", "value", "slot")

    def __init__(self, tick: int, value: Any) -> None:
        self.tick = tick
        self.value = value
        self.slot = NO_SLOT

    @property
    def is_pending(self) -> bool:
        """Whether it has neither fired nor been cancelled."""
        return self.slot != NO_SLOT


class TimerWheel:
    """A hierarchical timer wheel: each level's slots are 256 times as long as those of the level below.

    A timer is filed at the level of the highest digit (base 256) in which its time differs from now. At the first tick
    of a slot its timers are queued, to be fired or moved to a finer slot. A bit mask for each level shows which slots
    are in use, so that empty slots cost no time.
    """

    def __init__(self, now_ms: float) -> None:
        self._now = int(now_ms)  # all timers due before this tick have fired or are queued
        self._slots: list[dict[Timer, None]] = [{} for _ in range(LEVELS * SLOTS_PER_LEVEL)]
        self._used_slots = [0] * LEVELS  # a bit mask for each level
        self._queue: deque[Timer] = deque()  # timers of the slot being emptied, including cancelled ones
        self._next_slot_begins: float = math.inf  # tick; no slot in use after the current one begins earlier
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def start(self, due_ms: float, value: Any) -> Timer:
        """Start and return a timer for `due_ms` (Unix ms); one in the past is due at once. Raise ValueError for NaN."""
        tick = math.ceil(due_ms) if due_ms < MAX_TICK or math.isnan(due_ms) else MAX_TICK
        timer = Timer(tick, value)
        self._count += 1
        self._file(timer)
        return timer

    def cancel(self, timer: Timer) -> None:
        """Remove a timer; no effect if it already fired or was cancelled."""
        if timer.slot != NO_SLOT:
            self._count -= 1
            self._remove_from_slot(timer)

    def pop(self, now_ms: float) -> Timer | None:
        """Return one timer that is due.

        Return None if there is none, or after moving MAX_MOVES_PER_CALL timers; `next_ms` returns when to call again.
        """
        limit = min(int(now_ms), MAX_TICK)
        if limit < self._now:
            self._set_back(limit)
        if limit < self._next_slot_begins and not self._queue:
            return None  # the common case
        moves = 0
        while True:
            while self._queue:
                timer = self._queue.popleft()
                if timer.slot == NO_SLOT:
                    continue
                self._remove_from_slot(timer)
                if timer.tick <= self._now:
                    self._count -= 1
                    return timer
                self._file(timer)
                moves += 1
                if moves == MAX_MOVES_PER_CALL:
                    return None
            slot, begins = self._first_used_slot()
            if slot == NO_SLOT or begins > limit:
                self._now = limit
                self._next_slot_begins = begins
                return None
            self._now = int(begins)
            self._queue.extend(self._slots[slot])

    def next_ms(self) -> float | None:
        """Return when to call `pop` again after it returned None (Unix ms); None if there is no timer.

        The time is never later than the next timer is due. For distant timers it is the time at which their slot
        begins, which may be the slot of a cancelled timer.
        """
        if self._queue:
            return float(self._now)
        return float(self._next_slot_begins) if self._next_slot_begins < math.inf else None

    def _file(self, timer: Timer) -> None:
        """Put a timer into the slot of its tick, and also into the queue if it is due."""
        tick = timer.tick
        if tick <= self._now:
            tick = self._now
            self._queue.append(timer)
        level = (((tick ^ self._now) | 1).bit_length() - 1) // SLOT_BITS
        shift = level * SLOT_BITS
        index = (tick >> shift) % SLOTS_PER_LEVEL
        if tick > self._now:
            begins = tick >> shift << shift
            if begins < self._next_slot_begins:
                self._next_slot_begins = begins
        number = level * SLOTS_PER_LEVEL + index
        slot = self._slots[number]
        if not slot:
            self._used_slots[level] |= 1 << index
        slot[timer] = None
        timer.slot = number

    def _remove_from_slot(self, timer: Timer) -> None:
        number = timer.slot
        timer.slot = NO_SLOT
        slot = self._slots[number]
        del slot[timer]
        if not slot:
            self._used_slots[number // SLOTS_PER_LEVEL] ^= 1 << number % SLOTS_PER_LEVEL

    def _first_used_slot(self) -> tuple[int, float]:
        """Return the first slot in use after the current ones and its first tick; NO_SLOT and infinity for none."""
        for level, used in enumerate(self._used_slots):
            current = self._now >> level * SLOT_BITS
            later = used >> current % SLOTS_PER_LEVEL + 1
            if later:
                lowest_bit = later & -later
                found = current + lowest_bit.bit_length()
                return level * SLOTS_PER_LEVEL + found % SLOTS_PER_LEVEL, found << level * SLOT_BITS
        return NO_SLOT, math.inf

    def _set_back(self, now: int) -> None:
        """File all timers again, each for its own time, after the clock was set back to tick `now`."""
        timers = [timer for slot in self._slots for timer in slot]
        for slot in self._slots:
            slot.clear()
        self._queue.clear()
        self._used_slots = [0] * LEVELS
        self._now = now
        self._next_slot_begins = math.inf
        for timer in timers:
            self._file(timer)
