"""Network protocols: the HTTP front and HTTP engines, the event bus, TDS, SNMP and the operators' port.

Defines the base class of the engine drivers, which runs attempts in tasks. The end of each attempt is reported to the
core exactly once, however its task ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from frostspindle.core import Attempt, Core, EngineState, clock
from frostspindle.policy import AttemptOutcome

Work = Coroutine[Any, Any, None]


class TaskDriver:
    """A driver that runs each attempt in a separate task."""

    has_shared_versions = False

    def __init__(self, core: Core) -> None:
        self.core = core
        self.tasks: set[asyncio.Task[None]] = set()

    def update_engine(self, engine: EngineState) -> None:
        """Apply a new or changed engine of the list; each driver implements this."""
        raise NotImplementedError

    def update_priority(self, attempt: Attempt) -> None:
        """Pass an attempt's new priority to its engine where the protocol allows it; each driver implements this."""
        raise NotImplementedError

    def attempt(self, attempt: Attempt) -> Work:
        """Return a coroutine that runs the attempt and always reports its end by Core.attempt_ended."""
        raise NotImplementedError

    def health_check(self, engine: int) -> Work:
        """Return a coroutine that runs one health check and reports it by Core.health_check_completed."""
        raise NotImplementedError

    def start_attempt(self, attempt: Attempt) -> None:
        """Run an attempt in a task; if that is cancelled before its first step, report it as CANCELLED."""
        attempt.task = task = self.spawn(self.attempt(attempt))
        # A task that is cancelled before its first step never runs: nothing was sent, but its end must be reported.
        task.add_done_callback(
            lambda task: self.core.attempt_ended(attempt, AttemptOutcome.CANCELLED) if task.cancelled() else None
        )

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt's task, if any; the task reports the end once the engine has stopped the query."""
        if attempt.task is not None:
            attempt.task.cancel()

    def start_health_check(self, engine: int) -> None:
        """Start a health check of an engine in a task."""
        self.spawn(self.health_check(engine))

    def spawn(self, work: Work) -> asyncio.Task[None]:
        """Run a coroutine in a task and keep a reference to it until it ends, as asyncio holds tasks only weakly."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait for them, including tasks that they start to free an engine."""
        while self.tasks:  # a cancelled task may start one that frees its engine
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    @staticmethod
    def left_s(attempt: Attempt) -> float:
        """Return the attempt's remaining time in seconds; negative after its deadline."""
        return attempt.remaining_ms(clock()) / 1000.0
