"""Whether the machine of an engine can be reached, by the connections that are opened to it. No I/O and no clock.

A machine that is cut off or has vanished gives no sign: new connections to it do not come up. One that does not come up
proves nothing, as the queue of a busy process may be full for a moment; one after the other do.
"""

from __future__ import annotations

import math

MAX_INTERVAL_S = 5.0  # between two connections that did not come up, and that are taken together


class Reachability:
    """The connections that were opened to one engine; times are in s of one monotonic clock."""

    def __init__(self) -> None:
        self._opened_s = -math.inf  # when the last one came up
        self._timed_out_s = -math.inf  # when the first one since then was given up

    def opened(self, now_s: float) -> None:
        """Record that a connection has come up."""
        self._opened_s = now_s
        self._timed_out_s = -math.inf

    def timed_out(self, began_s: float, now_s: float) -> bool:
        """Record a connection that was given up; return whether the machine counts as unreachable.

        It does once a connection that was begun after another one had been given up does not come up either, and none
        has come up in between.
        """
        if began_s < self._opened_s:
            return False
        if now_s - self._timed_out_s > MAX_INTERVAL_S:
            self._timed_out_s = now_s
            return False
        return began_s >= self._timed_out_s
