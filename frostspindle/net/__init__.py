"""The wires: the platform's HTTP front and engines, the event bus, TDS and SNMP.

Owns what the engine drivers share, the tasks that their attempts run in. It must never let an attempt go without
its one end, however its task ends.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from frostspindle.core import Attempt, Core, EngineState, clock
from frostspindle.policy import AttemptOutcome

Work = Coroutine[Any, Any, None]


class TaskDriver:
    """A driver that runs each attempt in a task of its own."""

    numbered = False

    def __init__(self, core: Core) -> None:
        self.core = core
        self.tasks: set[asyncio.Task[None]] = set()

    def listed(self, engine: EngineState) -> None:
        """Take a new or changed engine of the list; each driver implements this."""
        raise NotImplementedError

    def rank(self, attempt: Attempt) -> None:
        """Pass an attempt's new priority to its engine where the protocol allows it; each driver implements this."""
        raise NotImplementedError

    def attempt(self, attempt: Attempt) -> Work:
        """Return a coroutine that runs the attempt and reports its end by Core.attempt_ended whatever happens."""
        raise NotImplementedError

    def probing(self, engine: int) -> Work:
        """Return a coroutine that runs one health check and reports it by Core.health_check_completed."""
        raise NotImplementedError

    def start(self, attempt: Attempt) -> None:
        """Run an attempt in a task of its own; one that is cancelled before its first step is reported as CANCELLED."""
        attempt.task = task = self.spawn(self.attempt(attempt))
        # A task that is cancelled before its first step never runs: nothing was sent, but its end is owed.
        task.add_done_callback(
            lambda task: self.core.attempt_ended(attempt, AttemptOutcome.CANCELLED) if task.cancelled() else None
        )

    def stop(self, attempt: Attempt) -> None:
        """Cancel the attempt's task, if any; the task reports the attempt's end once the engine is free of it."""
        if attempt.task is not None:
            attempt.task.cancel()

    def probe(self, engine: int) -> None:
        """Start a health check of an engine in a task of its own."""
        self.spawn(self.probing(engine))

    def spawn(self, work: Work) -> asyncio.Task[None]:
        """Run a coroutine in a task and keep a reference to it until it ends, as asyncio holds tasks only weakly."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until none is left, nor one that a cancelled task starts to free an engine."""
        while self.tasks:  # what is cancelled may leave a task that frees an engine
            for task in list(self.tasks):
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    @staticmethod
    def left_s(attempt: Attempt) -> float:
        """Return the seconds that the attempt still has; less than 0 if its time is up."""
        return attempt.remaining_ms(clock()) / 1000.0
