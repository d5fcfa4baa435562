"""The fleet's monotonic clock."""

from __future__ import annotations

import time


def monotonic() -> float:
    """Return milliseconds of a clock that runs on while the process is stopped."""
    return time.monotonic() * 1000.0
