"""The wall clock that all rules and deadlines of the core use."""

from __future__ import annotations

import time


def clock() -> float:
    """Return the current time in Unix ms."""
    return time.time() * 1000.0
