"""Estimates when received bytes arrived, and detects that the event loop has unread input from a stall.

A client's timeout counts from its last byte, which may have waited in the kernel while the event loop was busy: bytes
that a poll of the sockets returns arrived after the previous poll. The estimate is never later than the arrival, apart
from the time that the system takes to wake the process, and earlier by at most the delay of the event loop.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any
from weakref import WeakKeyDictionary

from frostspindle.core.steady_clock import clock

LATE_S = 0.02  # a poll that starts or returns later than this means that the process was busy, starved or stopped
# Polls after a late one until all pending input is read: a new connection is accepted, set up, watched and read.
CATCH_UP_POLLS = 6


class ArrivalClock:
    """Records when an event loop polls its sockets, in Unix ms; `of` returns the instance of a loop."""

    _of: WeakKeyDictionary[asyncio.AbstractEventLoop, ArrivalClock] = WeakKeyDictionary()

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.count = 0  # number of polls
        self.poll_returned_ms = clock()  # end of the last poll
        self.poll_started_ms = self.poll_returned_ms  # start of the last poll
        self.previous_poll_returned_ms = self.poll_returned_ms  # end of the poll before the last
        self._returned_at_s = time.monotonic()
        self._unseen_wait_ms = 0.0  # length of the last poll, if it was so late that bytes may have come at any time
        self._found_any = True  # whether the last poll returned any event
        self._caught_up_at = 0  # number of the poll from which the loop is no longer behind
        # Called before each poll, and after each one that has found something.
        self.on_poll: Callable[[], None] | None = None
        self.on_found: Callable[[], None] | None = None
        selector = getattr(loop, "_selector", None)  # without one, bytes count from the time at which they are read
        if selector is not None:
            self._select, selector.select = selector.select, self._poll

    @classmethod
    def of(cls, loop: asyncio.AbstractEventLoop) -> ArrivalClock:
        """Return the clock of a loop; the first call for a loop wraps its selector's `select`."""
        if loop not in cls._of:
            cls._of[loop] = cls(loop)
        return cls._of[loop]

    def _poll(self, timeout: float | None = None) -> Any:
        if self.on_poll is not None:
            self.on_poll()
        self.previous_poll_returned_ms = self.poll_returned_ms
        self.poll_started_ms = clock()
        started_at_s = time.monotonic()
        ready = self._select(timeout)
        self.poll_returned_ms = clock()
        self.count += 1
        busy_s = started_at_s - self._returned_at_s
        self._returned_at_s = time.monotonic()
        overslept_s = self._returned_at_s - started_at_s - timeout if timeout is not None else 0.0
        if busy_s > LATE_S or overslept_s > LATE_S:
            self._caught_up_at = self.count + CATCH_UP_POLLS
        # A poll that is interrupted by SIGSTOP returns no events even if bytes are pending; the next poll returns them.
        carried_ms = 0.0 if self._found_any else self._unseen_wait_ms
        late_wait_ms = 1000.0 * (self._returned_at_s - started_at_s) if overslept_s > LATE_S else 0.0
        self._unseen_wait_ms = late_wait_ms + carried_ms if late_wait_ms or ready else 0.0
        self._found_any = bool(ready)
        if ready and self.on_found is not None:
            self.on_found()
        return ready

    @property
    def found_since_ms(self) -> float:
        """The earliest time at which input that the last poll has found can have arrived, in Unix ms."""
        busy_ms = max(0.0, self.poll_started_ms - self.previous_poll_returned_ms)
        return self.poll_returned_ms - self._unseen_wait_ms - busy_ms

    @property
    def is_behind(self) -> bool:
        """Whether bytes and connections that arrived while the process did not run may still be unread."""
        return self.count < self._caught_up_at

    async def catch_up(self) -> None:
        """Let the loop read what arrived while the process did not run, within CATCH_UP_POLLS polls."""
        for _ in range(CATCH_UP_POLLS):
            if not self.is_behind:
                return
            await asyncio.sleep(0)

    def earliest_ms(self, watched: int, unseen_ms: float) -> float:
        """Return the earliest time at which bytes that are read now can have arrived, in Unix ms.

        `watched` is the poll count at which the loop began to watch the socket, `unseen_ms` the time from which bytes
        may have been unread on it. A poll returns as soon as there is input, so bytes found by a poll that waited
        arrived at its end. If it returned later than its timeout, they may have arrived at its start.
        """
        if not self.count:
            return clock()
        since_ms = self.previous_poll_returned_ms if self.count - watched > 1 else unseen_ms
        return self.poll_returned_ms - self._unseen_wait_ms - max(0.0, self.poll_started_ms - since_ms)
