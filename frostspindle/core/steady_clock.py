"""The clock of all spans: deadlines, windows, waits and graces.

It reads as Unix time in ms but is carried on by the monotonic clock, so that a step of the wall clock moves nothing
that is under way. The wall clock is read once for the process, and where a Unix time comes in or goes out. Processes
that compare their times agree on one offset (`set_offset_ms`).
"""

from __future__ import annotations

import time


def unix_ms() -> float:
    """Return the wall clock's time in Unix ms; it may step either way, so no span is measured by it."""
    return time.time() * 1000.0


def _monotonic_ms() -> float:
    return time.monotonic() * 1000.0


_offset_ms = unix_ms() - _monotonic_ms()


def clock() -> float:
    """Return the current time in ms of the steady clock."""
    return _monotonic_ms() + _offset_ms


def offset_ms() -> float:
    """Return by how much the steady clock is ahead of the monotonic one."""
    return _offset_ms


def set_offset_ms(offset: float) -> None:
    """Take over the offset of another process; before anything has read the clock."""
    global _offset_ms
    _offset_ms = offset


def from_unix_ms(then_unix_ms: float) -> float:
    """Return the time of the steady clock at a Unix time of now or before, by its age on the wall clock; 0 for 0.

    A time that lies ahead, as the wall clock was set back meanwhile, counts as now. Whole milliseconds, so that
    processes that use one offset find the same.
    """
    if then_unix_ms <= 0.0:
        return 0.0
    return float(round(clock() - max(0.0, unix_ms() - then_unix_ms)))
