"""One call to an engine: what is sent, on which connection it may go, and what became of it."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from frostspindle.core import Attempt
from frostspindle.query_lifetime import POLL_HOLD_MS, QueryLifetime

if TYPE_CHECKING:
    from frostspindle.net.http.engine_connection import EngineConnection

RESPONSE_TIMEOUT_S = 0.5  # engines answer polls within 250 ms; a lost response is polled again


@dataclass(slots=True, eq=False)
class EngineCall:
    """A call, and after `ConnectionPool.call` its connection and whether it was written."""

    method: str
    path: str
    body: bytes = b""
    head: Callable[[], str] = str  # returns the header fields, as the call is written
    within_s: float = RESPONSE_TIMEOUT_S
    late_s: float = 0.0  # after the timeout: for which its connection is kept, as a response may come late
    page: int | None = None  # of a result, as which its response is validated
    until_ms: float = math.inf  # the request's deadline, in Unix ms
    sending: Attempt | None = None  # the attempt whose POST this is
    new_connection: bool = False
    must_reach_process: bool = False  # an existing connection is waited for if no new one can be opened
    query: QueryLifetime | None = None  # connections to the process that has this query are preferred
    was_written: bool = False  # bytes may have gone out
    written_ms: float = 0.0  # Unix ms
    is_detached: bool = False  # it was abandoned, and its connection is kept until its response comes
    connection: EngineConnection | None = None

    def may_arrive_until_ms(self, now_ms: float, is_abandoned: bool) -> float:
        """Return the latest time at which the engine may get the call, or hold it, now that it has ended.

        An engine need not notice the end of a connection while it holds the call.
        """
        if not is_abandoned:
            return now_ms
        hold_ms = 1000.0 * self.within_s if self.is_detached else POLL_HOLD_MS
        return max(now_ms, self.written_ms + hold_ms)
