"""Restart policy of worker processes: backoff before a restart, detection of hung workers and of crash loops.

Only makes decisions; the caller starts and kills processes and passes the time, in milliseconds of one clock.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

INITIAL_BACKOFF_MS = 100.0  # doubled with each consecutive crash
MAX_BACKOFF_MS = 5_000.0
STABLE_AFTER_MS = 10_000.0  # a crash after a run of this length restarts with the initial backoff
START_TIMEOUT_MS = 15_000.0  # until the first heartbeat; the process imports modules and reads its configuration


@dataclass(slots=True)
class SlotHistory:
    """The starts and crashes of one worker slot."""

    started_at: float = 0.0
    consecutive_crashes: int = 0
    starts: int = 0


@dataclass(slots=True)
class RestartPolicy:
    """The restart policy for all slots."""

    crash_limit: int  # as many crashes within `crash_window_ms` are a crash loop
    crash_window_ms: float
    hang_timeout_ms: float  # a worker without a heartbeat for longer is hung
    slots: dict[int, SlotHistory] = field(default_factory=dict)
    crash_times: deque[float] = field(default_factory=deque)

    def worker_started(self, slot: int, now: float) -> None:
        """Record that a process was started in the slot at `now`, in ms."""
        history = self.slots.setdefault(slot, SlotHistory())
        history.started_at = now
        history.starts += 1

    def backoff_after_end(self, slot: int, now: float, crashed: bool) -> float | None:
        """Record the exit of the slot's process; return the backoff before its restart in ms, or None in a crash loop.

        Each crash doubles the backoff, from INITIAL_BACKOFF_MS up to MAX_BACKOFF_MS; a run of STABLE_AFTER_MS resets
        it. After a regular exit, the process is restarted at once.
        """
        history = self.slots[slot]
        if not crashed:
            history.consecutive_crashes = 0
            return 0.0
        self.crash_times.append(now)
        while self.crash_times and self.crash_times[0] <= now - self.crash_window_ms:
            self.crash_times.popleft()
        if len(self.crash_times) >= self.crash_limit:
            return None
        if now - history.started_at >= STABLE_AFTER_MS:
            history.consecutive_crashes = 0
        history.consecutive_crashes += 1
        return min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2.0 ** (history.consecutive_crashes - 1))

    def is_hung(self, slot: int, now: float, heartbeat_ms: float) -> bool:
        """Return whether the slot's process hangs: its heartbeat is older than `hang_timeout_ms`.

        `heartbeat_ms` is the time of the last heartbeat; 0 if there was none, which is allowed for START_TIMEOUT_MS.
        """
        if not heartbeat_ms:
            return now - self.slots[slot].started_at > START_TIMEOUT_MS
        return now - heartbeat_ms > self.hang_timeout_ms
