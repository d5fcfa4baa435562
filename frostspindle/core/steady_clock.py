"""The clock for all durations: deadlines, windows, waits and grace periods.

It returns Unix time in ms but advances with the monotonic clock, so that a step of the wall clock does not affect
running timers. The wall clock is read once at startup, and to convert Unix times on input and output. Processes that
compare their times use the same offset (`set_offset_ms`).
"""

from __future__ import annotations

import time


def unix_ms() -> float:
    """Return the wall clock's time in Unix ms. It may step either way, so don't measure durations with it."""
    return time.time() * 1000.0


def _monotonic_ms() -> float:
    return time.monotonic() * 1000.0


_offset_ms = unix_ms() - _monotonic_ms()


def clock() -> float:
    """Return the current time of the steady clock in ms."""
    return _monotonic_ms() + _offset_ms


def offset_ms() -> float:
    """Return the difference of the steady clock to the monotonic clock."""
    return _offset_ms


def set_offset_ms(offset: float) -> None:
    """Set the offset to that of another process. Call it before anything reads the clock."""
    global _offset_ms
    _offset_ms = offset


def from_unix_ms(then_unix_ms: float) -> float:
    """Convert a present or past Unix time to the steady clock, by its age on the wall clock; return 0 for 0.

    A time in the future, which occurs after the wall clock was set back, counts as now. The result is rounded to whole
    ms, so that processes with the same offset get the same value.
    """
    if then_unix_ms <= 0.0:
        return 0.0
    return float(round(clock() - max(0.0, unix_ms() - then_unix_ms)))
