"""Warming up of cold engines on behalf of the fleet, by the lease holder of the task: statements of no client.

A statement is sent only under the lease and with the fleet's rights for a cold engine (fleet/cold.py), so that warming
up is within the same budget as clients' work; one statement is in flight at most.

Each statement that succeeded is recorded on the log before the next is sent, so that another lease holder goes on from
there. An engine can't check tokens. The lease is checked before each send and after each answer, which leaves one gap:
a coordinator that is stopped right between the check and the send may send one statement besides its successor's. That
work is done twice, paid for by rights that both had, and does not harm the engine's state. A statement's ticket begins
with eight hex digits of the token, so that an engine's own log shows under which grant it was sent.
"""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from frostspindle.ownership import progress
from frostspindle.ownership.jobs import JobContext
from frostspindle.ownership.progress import RecordProgress, WarmupProgress
from frostspindle.replica.base import LogUnavailableError, OutcomeUnknownError, ReplicatedLog

MAX_STARTS = 512  # of engines that are remembered
RECORD_TIMEOUT_S = 1.0


class ColdEngine(NamedTuple):
    """An engine that is cold now; `born_ms` is its start in Unix ms."""

    number: int
    name: str
    born_ms: float


class WarmupJob:
    """The job that warms cold engines up; see jobs.Job."""

    def __init__(
        self,
        task: str,
        every_ms: float,
        statements: list[str],
        cold: Callable[[], Iterable[ColdEngine]],
        pay: Callable[[ColdEngine], bool],
        run: Callable[[int, str, str], Awaitable[bool]],
        log: ReplicatedLog | None = None,
        progress_table: WarmupProgress | None = None,
    ) -> None:
        """`pay` buys the rights for one statement at an engine; False if there are none now.

        `run` sends (engine, ticket, statement) through the driver and returns whether it ended well. `log`,
        `progress_table`: where progress is proposed, and where it is read as applied here.
        """
        self.task: str = task
        self.every_s: float = every_ms / 1000.0
        self.statements: list[str] = statements
        self.cold: Callable[[], Iterable[ColdEngine]] = cold
        self.pay: Callable[[ColdEngine], bool] = pay
        self.query: Callable[[int, str, str], Awaitable[bool]] = run
        self.log: ReplicatedLog | None = log
        self.progress_table: WarmupProgress | None = progress_table
        self.done: dict[tuple[str, float], int] = {}  # statements sent from here, by the engine's name and start

    async def run(self, context: JobContext) -> None:
        """Send one further statement to each cold engine that has not had all; the next run goes on from there.

        LeaseLostError. An engine without rights for a statement now is passed over.
        """
        for engine in self.cold():
            position = self._next_position(engine)
            context.lease.check()
            if position >= len(self.statements) or not self.pay(engine):
                continue
            action = f"warm {position + 1} of {len(self.statements)}"
            succeeded = await context.send(action, engine.name, self._sender(engine, self.statements[position]))
            if succeeded:
                self._remember(engine, position + 1)
                note = RecordProgress(context.lease.token, engine.name, engine.born_ms, position + 1)
                await context.step(self._record(note))

    def _next_position(self, engine: ColdEngine) -> int:
        """Return the index of the engine's next statement, by what was done here and by the log."""
        done_here = self.done.get((engine.name, engine.born_ms), 0)
        if self.progress_table is None:
            return done_here
        return max(done_here, self.progress_table.position(engine.name, engine.born_ms))

    def _sender(self, engine: ColdEngine, statement: str) -> Callable[[int], Awaitable[bool]]:
        async def send(token: int) -> bool:
            ticket = f"{token & 0xFFFFFFFF:08x}{secrets.token_hex(4)}"
            return await self.query(engine.number, ticket, statement)

        return send

    def _remember(self, engine: ColdEngine, count: int) -> None:
        start = engine.name, engine.born_ms
        self.done.pop(start, None)
        if len(self.done) >= MAX_STARTS:
            del self.done[next(iter(self.done))]
        self.done[start] = count

    async def _record(self, note: RecordProgress) -> None:
        if self.log is None:
            return
        try:
            await self.log.propose(progress.TOPIC, progress.encode(note), RECORD_TIMEOUT_S)
        except (LogUnavailableError, OutcomeUnknownError):
            pass  # a successor would send this one again; it is remembered here
