"""The event queue and the timers of the core's task, and the loop that hands each event to its handler."""

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

MAX_EVENTS_PER_TURN = 64  # events, and timers, that one turn of the task processes before the sockets get theirs
CLOCK_STEP_MS = 1000.0  # a wall clock that went back by more than this was set back
ALARM_TOLERANCE_S = 50e-6  # an alarm so close to the wanted time is kept: a new one would cost more than the wait


class EventHandler(Protocol):
    """What the dispatcher needs of the handler of its events."""

    def handle(self, now: float, event: Any) -> None:
        """Process one event at `now` (Unix ms); never raises."""


class EventDispatcher:
    """Queues events for the core's task, wakes it for events and timers, and hands each to the handler given to `run`.

    All methods belong to the thread of the event loop. Events of the urgent queue, such as changes of the endpoint
    list, never wait behind those of the inbox. The inbox is bounded by the limit on open requests, as it holds these
    and what their attempts report.
    """

    def __init__(self, telemetry: Telemetry) -> None:
        self.timers = TimerWheel(clock())  # the value of each is the event for its due time
        self.urgent: deque[Any] = deque()
        self.inbox: deque[Any] = deque()
        self.has_open_requests: Callable[[], bool] = lambda: False  # whether any request is open
        self._telemetry = telemetry
        self._policy_timers: dict[int, Timer] = {}  # the decision module's last timer for each token
        self._wakeup: asyncio.Future[None] | None = None  # what the task awaits while there is nothing to do
        self._alarm: asyncio.TimerHandle | None = None  # the event loop's one timer for all timers of the wheel
        self._last_iteration_ms = -math.inf

    def enqueue(self, event: Any) -> None:
        """Queue an event of client work."""
        self.inbox.append(event)
        self.wake()

    def enqueue_urgent(self, event: Any) -> None:
        """Queue an event that is processed before all client work."""
        self.urgent.append(event)
        self.wake()

    def wake(self) -> None:
        """Let the task look at its queues and timers."""
        if self._wakeup is not None and not self._wakeup.done():
            self._wakeup.set_result(None)

    def set_policy_timer(self, due_ms: float, token: int) -> None:
        """Start a timer of the decision module for `due_ms` (Unix ms)."""
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
                await arrivals.catch_up()  # nothing is sent for a client whose leaving is still unread
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
        # Bounded, as a step of the clock may make very many timers due at once.
        for _ in range(MAX_EVENTS_PER_TURN):
            if self.urgent:
                return
            timer = self.timers.pop(now)
            if timer is None:
                return
            handler.handle(now, timer.value)

    def _on_clock_set_back(self, now: float) -> None:
        """Fire the decision module's timers now: each asks for the next, so none may wait for the clock to catch up."""
        self._telemetry.log("clock_stepped_back", back_ms=round(self._last_iteration_ms - now))
        for token, timer in self._policy_timers.items():
            if timer.is_pending:
                self.timers.cancel(timer)
                self._policy_timers[token] = self.timers.start(now, timer.value)

    def _set_alarm(self, loop: asyncio.AbstractEventLoop) -> None:
        """Set the alarm for the next timer; one that rings earlier is kept, as a new one for each turn costs more."""
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
