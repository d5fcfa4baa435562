"""Passes requests with an ordering key on in the order in which they arrived, as far as one process can tell.

Connects the arrival queue to the core and to the front's unparsed input. The order among processes is kept by
`service`, which adds what the others have not parsed yet.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from frostspindle.core import ClientRequest, Core
from frostspindle.order.arrival_queue import ArrivalQueue, ArrivedRequest
from frostspindle.telemetry import Telemetry

CHECK_INTERVAL_S = 0.002  # at which waiting requests are looked at again


class UnparsedInput(Protocol):
    """The input of a front that was received and is not parsed yet."""

    def earliest_ms(self) -> float:
        """Return the earliest arrival of what may keep an order, in Unix ms; infinity if there is none."""

    def may_hold_earlier(self, key: int, arrived_ms: float) -> bool:
        """Return whether a request with this key that arrived before `arrived_ms` may not be parsed yet."""


def nothing_elsewhere(_arrived_ms: float) -> bool:
    """Return that no other process has unparsed input."""
    return False


class ArrivalOrder:
    """Implements core.ArrivalOrder for one core; runs in the event loop's thread."""

    def __init__(self, core: Core, telemetry: Telemetry, unparsed: UnparsedInput) -> None:
        # Whether another process may hold a request that arrived before a time (Unix ms).
        self.may_be_unparsed_elsewhere: Callable[[float], bool] = nothing_elsewhere
        self._core = core
        self._telemetry = telemetry
        self._unparsed = unparsed
        self._submitted: dict[ClientRequest, None] = {}  # queued for the core's task
        self._queue = ArrivalQueue(self._may_hold_earlier)
        self._timer: asyncio.TimerHandle | None = None

    def earliest_ms(self) -> float:
        """Return the earliest arrival of what has not left this queue, in Unix ms; infinity if there is nothing."""
        submitted_ms = min((request.arrived_ms for request in self._submitted), default=math.inf)
        return min(self._unparsed.earliest_ms(), submitted_ms, self._queue.earliest_ms)

    def submitted(self, request: ClientRequest) -> None:
        """Note a request that is queued for the core's task."""
        self._submitted[request] = None

    def discard(self, request: ClientRequest) -> None:
        """Forget a submitted request that is answered without its turn."""
        self._submitted.pop(request, None)

    def add(self, request: ClientRequest, now_ms: float) -> None:
        """Let a submitted request wait until `pop_ready` returns it."""
        self.discard(request)
        self._queue.add(request.number, request.key, request.arrived_ms, request.timeout_ms, now_ms)

    def pop_ready(self, now_ms: float) -> int | None:
        """Return the number of a request that need not wait any more; None if there is none, and look again later."""
        arrived = self._queue.pop_ready(now_ms)
        if arrived is not None:
            self._record(arrived)
            return arrived.number
        if self._queue and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(CHECK_INTERVAL_S, self._check)
        return None

    def close(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        self._timer = None
        self._core.check_arrivals()

    def _may_hold_earlier(self, key: int, arrived_ms: float) -> bool:
        if any(request.key == key and request.arrived_ms < arrived_ms for request in self._submitted):
            return True
        return self._unparsed.may_hold_earlier(key, arrived_ms) or self.may_be_unparsed_elsewhere(arrived_ms)

    def _record(self, arrived: ArrivedRequest) -> None:
        if arrived.is_overdue:
            self._telemetry.count("arrivals_overdue")
            self._telemetry.log("arrival_wait_ended", request=arrived.number, waited_ms=round(arrived.waited_ms, 1))
        elif arrived.waited_ms > 0.0:
            self._telemetry.count("arrivals_waited")
