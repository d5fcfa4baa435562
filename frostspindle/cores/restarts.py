"""Restart policy of worker processes: backoff before a restart, detection of hung workers and of crash loops.

It starts and kills nothing itself and reads no clock: all times are milliseconds of one clock that the caller reads.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

INITIAL_BACKOFF_MS = 100.0  # doubled with each crash in a row
MAX_BACKOFF_MS = 5_000.0
STABLE_AFTER_MS = 10_000.0  # a crash after a run of this length begins with the initial backoff again
START_TIMEOUT_MS = 15_000.0  # from start to first heartbeat: the process imports modules and reads its configuration


@dataclass(slots=True)
class SlotHistory:
    """The history of one worker slot's starts and failures."""

    started_at: float = 0.0
    crashes_in_a_row: int = 0
    starts: int = 0


@dataclass(slots=True)
class RestartPolicy:
    """The restart policy for all slots."""

    crashes: int  # this number of crashes within `within_ms` is a crash loop
    within_ms: float
    hang_ms: float  # without a heartbeat for longer a worker counts as hung
    slots: dict[int, SlotHistory] = field(default_factory=dict)
    crash_times: deque[float] = field(default_factory=deque)

    def worker_started(self, slot: int, now: float) -> None:
        """Record that a process was started in the slot at `now`, in ms."""
        history = self.slots.setdefault(slot, SlotHistory())
        history.started_at = now
        history.starts += 1

    def backoff_after_end(self, slot: int, now: float, crashed: bool) -> float | None:
        """Record the end of the slot's process; return the wait before its restart, in ms, or None in a crash loop.

        A crash doubles the wait, from INITIAL_BACKOFF_MS up to MAX_BACKOFF_MS; after a run of STABLE_AFTER_MS it begins
        with the first again. A worker that was asked to end did not crash: its successor starts at once.
        """
        history = self.slots[slot]
        if not crashed:
            history.crashes_in_a_row = 0
            return 0.0
        self.crash_times.append(now)
        while self.crash_times and self.crash_times[0] <= now - self.within_ms:
            self.crash_times.popleft()
        if len(self.crash_times) >= self.crashes:
            return None
        if now - history.started_at >= STABLE_AFTER_MS:
            history.crashes_in_a_row = 0
        history.crashes_in_a_row += 1
        return min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** (history.crashes_in_a_row - 1))

    def is_hung(self, slot: int, now: float, heartbeat_ms: float) -> bool:
        """Return whether the slot's process has hung: no heartbeat for `hang_ms`, or none within START_TIMEOUT_MS
        of its start.

        `heartbeat_ms`: its last heartbeat; 0: there was none yet.
        """
        if not heartbeat_ms:
            return now - self.slots[slot].started_at > START_TIMEOUT_MS
        return now - heartbeat_ms > self.hang_ms
