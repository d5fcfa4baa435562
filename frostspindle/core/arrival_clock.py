"""Tells the earliest time at which the bytes that are read now can have arrived, and whether the loop is behind them.

A client's time counts from its last byte, which may have waited in the system while the event loop was busy: what one
poll of the sockets returns arrived after the poll before it. The time given is never later than the arrival, but for
what the system takes to wake the process, and never earlier than it by more than the loop was late.
"""

from __future__ import annotations

import asyncio
import time
from typing import Any
from weakref import WeakKeyDictionary

from frostspindle.core.steady_clock import clock

LATE_S = 0.02  # a poll that begins or returns later than this found the process busy, starved or stopped
# Polls behind a late one until all that came meanwhile is read: a new connection is accepted, set up, watched and read.
CATCH_UP_POLLS = 6


class ArrivalClock:
    """Records when one event loop polls its sockets, in Unix ms; `of` gives the clock of a loop."""

    _of: WeakKeyDictionary[asyncio.AbstractEventLoop, ArrivalClock] = WeakKeyDictionary()

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.count = 0  # of polls
        self.poll_returned_ms = clock()  # when the last poll returned
        self.poll_started_ms = self.poll_returned_ms  # when it began
        self.previous_poll_returned_ms = self.poll_returned_ms  # when the poll before it returned
        self._returned_at_s = time.monotonic()
        self._unseen_wait_ms = 0.0  # of the last poll, if it returned too late to tell when in it bytes came
        self._found_any = True  # the last poll did
        self._caught_up_at = 0  # the number of the poll by which the loop is no longer behind
        selector = getattr(loop, "_selector", None)  # a loop of another kind has none: bytes count from when it reads
        if selector is not None:
            self._select, selector.select = selector.select, self._poll

    @classmethod
    def of(cls, loop: asyncio.AbstractEventLoop) -> ArrivalClock:
        """Return the clock of a loop; the first call for a loop wraps its selector's `select`."""
        if loop not in cls._of:
            cls._of[loop] = cls(loop)
        return cls._of[loop]

    def _poll(self, timeout: float | None = None) -> Any:
        self.previous_poll_returned_ms = self.poll_returned_ms
        self.poll_started_ms = clock()
        asked_at_s = time.monotonic()
        ready = self._select(timeout)
        self.poll_returned_ms = clock()
        self.count += 1
        busy_s = asked_at_s - self._returned_at_s
        self._returned_at_s = time.monotonic()
        overslept_s = self._returned_at_s - asked_at_s - timeout if timeout is not None else 0.0
        if busy_s > LATE_S or overslept_s > LATE_S:
            self._caught_up_at = self.count + CATCH_UP_POLLS
        # A poll that a stop of the process interrupts returns nothing, though bytes may lie there: the next finds them.
        carried_ms = 0.0 if self._found_any else self._unseen_wait_ms
        late_wait_ms = 1000.0 * (self._returned_at_s - asked_at_s) if overslept_s > LATE_S else 0.0
        self._unseen_wait_ms = late_wait_ms + carried_ms if late_wait_ms or ready else 0.0
        self._found_any = bool(ready)
        return ready

    @property
    def is_behind(self) -> bool:
        """Whether bytes and connections that came while the process did not run may still have to be read."""
        return self.count < self._caught_up_at

    async def catch_up(self) -> None:
        """Let the loop read what came while the process did not run, for CATCH_UP_POLLS polls at most."""
        for _ in range(CATCH_UP_POLLS):
            if not self.is_behind:
                return
            await asyncio.sleep(0)

    def earliest_ms(self, watched: int, unseen_ms: float) -> float:
        """Return the earliest time at which bytes read now can have come, in Unix ms.

        `watched` is how many polls were over when the socket was first watched, `unseen_ms` since when bytes may have
        lain unread on it. A poll that finds something returns at once: if the loop waited in it, the bytes ended that
        wait. If it returned later than it was asked to, they may have come at its begin.
        """
        if not self.count:
            return clock()
        since_ms = self.previous_poll_returned_ms if self.count - watched > 1 else unseen_ms
        return self.poll_returned_ms - self._unseen_wait_ms - max(0.0, self.poll_started_ms - since_ms)
