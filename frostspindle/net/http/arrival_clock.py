"""When the bytes that are read now can have come, at the earliest.

Owns the note of when an event loop last looked at its sockets. A client's time counts from its last byte, which may
have lain in the system while the loop was at work elsewhere: what a look brings came after the look before it. It must
never give a moment that is later than the bytes can have come, but for what the system takes to wake the process, and
never one that is earlier by more than the loop was late. It knows no connections and reads nothing.
"""

from __future__ import annotations

import asyncio
from typing import Any
from weakref import WeakKeyDictionary

from frostspindle.core import clock


class ArrivalClock:
    """The polls of one event loop on its sockets, in Unix ms; `of` gives those of a loop."""

    _of: WeakKeyDictionary[asyncio.AbstractEventLoop, ArrivalClock] = WeakKeyDictionary()

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.count = 0
        self.before_ms = self.asked_ms = self.now_ms = clock()  # the look before; the last one, asked for and over
        selector = getattr(loop, "_selector", None)  # a loop of another kind has none: bytes count from when it reads
        if selector is not None:
            self._select, selector.select = selector.select, self._look

    @classmethod
    def of(cls, loop: asyncio.AbstractEventLoop) -> ArrivalClock:
        """Return the looks of a loop; the first call for a loop wraps its selector's `select`."""
        if loop not in cls._of:
            cls._of[loop] = cls(loop)
        return cls._of[loop]

    def _look(self, timeout: float | None = None) -> Any:
        self.before_ms, self.asked_ms = self.now_ms, clock()
        ready = self._select(timeout)
        self.now_ms = clock()
        self.count += 1
        return ready

    def earliest_ms(self, watched: int, unseen_ms: float) -> float:
        """Return the earliest time at which bytes read now can have come, in Unix ms.

        `watched` is how many polls were over when the socket was first watched, `unseen_ms` since when bytes may have
        lain unread on it. A poll that finds something returns at once: if the loop waited in it, the bytes ended that
        wait.
        """
        if not self.count:
            return clock()
        since_ms = self.before_ms if self.count - watched > 1 else unseen_ms
        return self.now_ms - max(0.0, self.asked_ms - since_ms)
