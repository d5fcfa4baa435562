"""The fleet's monotonic clock."""

from __future__ import annotations

import time


def monotonic() -> float:
    """Return the time in ms of a monotonic clock, which also advances while the process is stopped."""
    return time.monotonic() * 1000.0
