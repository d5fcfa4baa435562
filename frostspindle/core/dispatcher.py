"""The event queues and timers of the core's task, and the loop that passes each event to the handler."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from frostspindle import policy
from frostspindle.core.arrival_clock import ArrivalClock
from frostspindle.core.steady_clock import clock
from frostspindle.telemetry import Telemetry
from frostspindle.timers import Timer, TimerWheel

MAX_EVENTS_PER_TURN = 64  # events, and as many timers, processed before the event loop may poll the sockets
CLOCK_STEP_MS = 1000.0  # a clock that went back by more than this is treated as set back
ALARM_TOLERANCE_S = 50e-6  # an alarm up to this late is kept, as replacing it would cost more than the delay


class EventHandler(Protocol):
    """Interface of the object that processes the dispatcher's events."""

    def handle(self, now: float, event: Any) -> None:
        """Process one event; `now` is in Unix ms. Must not raise."""


class EventDispatcher:
    """Queues events for the core's task, wakes it for events and timers, and passes them to the handler of `run`.

    Not thread-safe: call all methods in the event loop's thread. Events in the urgent queue, such as endpoint list
    changes, are processed before those in the inbox. The inbox holds open requests and reports of their attempts, so
    the limit on open requests bounds its size.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self.timers = TimerWheel(clock())  # the value of a timer is the event that it fires
        self.urgent: deque[Any] = deque()
        self.inbox: deque[Any] = deque()
        self.has_open_requests: Callable[[], bool] = lambda: False  # whether any request is open or in flight
        self._telemetry = telemetry
        self._policy_timers: dict[int, Timer] = {}  # the decision module's latest timer for each token
        self._wakeup: asyncio.Future[None] | None = None  # awaited while the queues are empty
        self._alarm: asyncio.TimerHandle | None = None  # event loop timer for the earliest timer of the wheel
        self._last_iteration_ms = -math.inf

    def enqueue(self, event: Any) -> None:
        """Queue an ordinary event, such as one of a client or an attempt."""
        self.inbox.append(event)
        self.wake()

    def enqueue_urgent(self, event: Any) -> None:
        """Queue an event that is processed before all ordinary ones."""
        self.urgent.append(event)
        self.wake()

    def wake(self) -> None:
        """Wake the task so that it checks its queues and timers."""
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    def set_policy_timer(self, due_ms: float, token: int) -> None:
        """Start a timer of the decision module that fires at `due_ms` (Unix ms)."""
        self._policy_timers[token] = self.timers.start(due_ms, policy.TimerFired(token))

    async def run(self, handler: EventHandler) -> None:
        """Process events and timers with `handler` until cancelled."""
        loop = asyncio.get_running_loop()
        arrivals = ArrivalClock.of(loop)
        while True:
            if not self.urgent and not self.inbox:
                self._wakeup = loop.create_future()
                self._set_alarm(loop)
                await self._wakeup
            if self.has_open_requests():
                await arrivals.catch_up()  # read pending disconnects first, so that nothing is sent for such clients
            now = clock()
            if now < self._last_iteration_ms - CLOCK_STEP_MS:
                self._on_clock_set_back(now)
            self._last_iteration_ms = now
            self._process_events(now, handler)
            self._process_timers(now, handler)
            if self.urgent or self.inbox:
                await asyncio.sleep(0)

    def _process_events(self, now: float, handler: EventHandler) -> None:
        for _ in range(MAX_EVENTS_PER_TURN):
            if self.urgent:
                handler.handle(now, self.urgent.popleft())
            elif self.inbox:
                handler.handle(now, self.inbox.popleft())
            else:
                return

    def _process_timers(self, now: float, handler: EventHandler) -> None:
        # Bounded, because a clock step may make very many timers due at once.
        for _ in range(MAX_EVENTS_PER_TURN):
            if self.urgent:
                return
            timer = self.timers.pop(now)
            if timer is None:
                return
            handler.handle(now, timer.value)

    def _on_clock_set_back(self, now: float) -> None:
        """Fire the decision module's timers now, as it sets the next one only when one fires.

        Otherwise its deadlines would stop until the clock has caught up.
        """
        self._telemetry.log("clock_stepped_back", back_ms=round(self._last_iteration_ms - now))
        for token, timer in self._policy_timers.items():
            if timer.is_pending:
                self.timers.cancel(timer)
                self._policy_timers[token] = self.timers.start(now, timer.value)

    def _set_alarm(self, loop: asyncio.AbstractEventLoop) -> None:
        """Set the alarm for the next timer. An earlier alarm is kept: replacing it in each iteration costs more."""
        due_ms = self.timers.next_ms()
        if due_ms is None:
            return
        alarm_at_s = loop.time() + max(0.0, due_ms - clock()) / 1000.0
        if self._alarm is not None:
            if self._alarm.when() <= alarm_at_s + ALARM_TOLERANCE_S:
                return
            self._alarm.cancel()
        self._alarm = loop.call_at(alarm_at_s, self._on_alarm)

    def _on_alarm(self) -> None:
        self._alarm = None
        self.wake()
