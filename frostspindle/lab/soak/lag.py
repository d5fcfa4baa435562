"""Measures how much time a busy machine takes from this process, as an estimate for the others on it."""

from __future__ import annotations

import asyncio
import time

INTERVAL_S = 0.02
USUAL_LATENESS_S = 0.004  # lateness of an interval on an idle machine


class LagWatch:
    """Measures how late timers of the event loop fire; times are Unix seconds."""

    def __init__(self) -> None:
        self.worst_s = 0.0
        self._delays: list[tuple[float, float]] = []  # (time, delay)
        self._task = asyncio.create_task(self._watch())

    def lost_s(self, begin: float) -> float:
        """Return the total delay in seconds since a time."""
        return sum(late_s for measured_at, late_s in self._delays if measured_at >= begin)

    def close(self) -> None:
        """Stop measuring."""
        self._task.cancel()

    async def _watch(self) -> None:
        while True:
            started_at = time.monotonic()
            await asyncio.sleep(INTERVAL_S)
            late_s = time.monotonic() - started_at - INTERVAL_S - USUAL_LATENESS_S
            if late_s > 0.0:
                self._delays.append((time.time(), late_s))
                self.worst_s = max(self.worst_s, late_s)
