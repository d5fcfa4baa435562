"""When a worker that ended is started again, when one that hangs is given up, and when it is no use any more.

Owns the waits before restarts and the bound on crashes. It must never start or kill anything by itself, and reads no
clock: all times are milliseconds of one clock that the caller reads.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

FIRST_MS, MOST_MS = 100.0, 5_000.0  # waits grow twofold from the first to the longest
STEADY_MS = 10_000.0  # one that ran for so long starts anew with the first wait
STARTING_MS = 15_000.0  # until the first heartbeat; a start reads configuration and imports


@dataclass(slots=True)
class SlotHistory:
    """The history of one worker slot's starts and failures."""

    started_at: float = 0.0
    failures: int = 0  # in a row
    starts: int = 0


@dataclass(slots=True)
class RestartPolicy:
    """The restart policy for all slots."""

    crashes: int  # so many within within_ms are a loop
    within_ms: float
    hang_ms: float
    slots: dict[int, SlotHistory] = field(default_factory=dict)
    times: deque[float] = field(default_factory=deque)

    def started(self, slot: int, now: float) -> None:
        """Note that a process was started in the slot at `now`, in ms."""
        place = self.slots.setdefault(slot, SlotHistory())
        place.started_at = now
        place.starts += 1

    def ended(self, slot: int, now: float, crashed: bool) -> float | None:
        """Return how long to wait before the next start, in ms; None: a crash loop, give up.

        A crash doubles the wait, from FIRST_MS up to MOST_MS; a run of STEADY_MS begins anew with the first. A worker
        that was asked to end did not crash: its successor starts at once and nothing counts against it.
        """
        place = self.slots[slot]
        if not crashed:
            place.failures = 0
            return 0.0
        self.times.append(now)
        while self.times and self.times[0] <= now - self.within_ms:
            self.times.popleft()
        if len(self.times) >= self.crashes:
            return None
        place.failures = 1 if now - place.started_at >= STEADY_MS else place.failures + 1
        return min(MOST_MS, FIRST_MS * 2.0 ** (place.failures - 1))

    def hangs(self, slot: int, now: float, beat_at: float) -> bool:
        """Return whether the slot's process has hung: no heartbeat for `hang_ms`, or none within STARTING_MS of its
        start.

        `beat_at`: its last heartbeat in ms; 0: there was none yet.
        """
        if not beat_at:
            return now - self.slots[slot].started_at > STARTING_MS
        return now - beat_at > self.hang_ms
