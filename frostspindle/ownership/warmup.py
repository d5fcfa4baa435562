"""Warm-up of cold_engines engines for the fleet, by the lease holder of the task, with statements that no client sent.

A statement is sent only under the lease and with the fleet's slow-start budget for the engine (fleet/slow_start.py), so
that warm-ups share one budget with client requests. At most one statement is in flight.

Each successful statement is recorded on the log before the next one is sent, so that the next lease holder continues
from there. An engine can't check tokens. The lease is checked before each send and after each response, which leaves
one gap: a coordinator suspended between the check and the send may send one statement in addition to its successor's.
That statement runs twice, covered by budget that both coordinators had, and does not harm the engine's state. A
statement's ticket begins with eight hex digits of the token, so that the engine's log shows under which grant it was
sent.
"""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from frostspindle.ownership import progress
from frostspindle.ownership.jobs import JobContext
from frostspindle.ownership.progress import RecordProgress, WarmupProgress
from frostspindle.replica.base import LogUnavailableError, OutcomeUnknownError, ReplicatedLog

MAX_STARTS = 512  # engine starts whose progress is remembered
RECORD_TIMEOUT_S = 1.0


class ColdEngine(NamedTuple):
    """An engine in slow start; `born_ms` is its start in Unix ms."""

    number: int
    name: str
    born_ms: float


class WarmupJob:
    """The job that warms up cold_engines engines; see jobs.Job."""

    def __init__(
        self,
        task: str,
        every_ms: float,
        statements: list[str],
        cold_engines: Callable[[], Iterable[ColdEngine]],
        spend_budget: Callable[[ColdEngine], bool],
        run: Callable[[int, str, str], Awaitable[bool]],
        log: ReplicatedLog | None = None,
        progress_table: WarmupProgress | None = None,
    ) -> None:
        """`spend_budget` takes the budget for one statement at an engine; False if it has none now.

        `run` sends (engine, ticket, statement) through the driver and returns whether it succeeded. Progress is
        proposed to `log` and read from `progress_table`.
        """
        self.task: str = task
        self.every_s: float = every_ms / 1000.0
        self.statements: list[str] = statements
        self.cold_engines: Callable[[], Iterable[ColdEngine]] = cold_engines
        self.spend_budget: Callable[[ColdEngine], bool] = spend_budget
        self.query: Callable[[int, str, str], Awaitable[bool]] = run
        self.log: ReplicatedLog | None = log
        self.progress_table: WarmupProgress | None = progress_table
        self.positions: dict[
            tuple[str, float], int
        ] = {}  # statements that succeeded here, by the engine's name and start

    async def run(self, context: JobContext) -> None:
        """Send the next statement to each cold_engines engine that has not received all of them.

        Engines without budget for a statement are skipped. Raise LeaseLostError.
        """
        for engine in self.cold_engines():
            position = self._next_position(engine)
            context.lease.check()
            if position >= len(self.statements) or not self.spend_budget(engine):
                continue
            action = f"warm {position + 1} of {len(self.statements)}"
            succeeded = await context.send(action, engine.name, self._sender(engine, self.statements[position]))
            if succeeded:
                self._remember(engine, position + 1)
                record = RecordProgress(context.lease.token, engine.name, engine.born_ms, position + 1)
                await context.step(self._record(record))

    def _next_position(self, engine: ColdEngine) -> int:
        """Return the index of the engine's next statement, from the progress made here and that on the log."""
        local_position = self.positions.get((engine.name, engine.born_ms), 0)
        if self.progress_table is None:
            return local_position
        return max(local_position, self.progress_table.position(engine.name, engine.born_ms))

    def _sender(self, engine: ColdEngine, statement: str) -> Callable[[int], Awaitable[bool]]:
        async def send(token: int) -> bool:
            ticket = f"{token & 0xFFFFFFFF:08x}{secrets.token_hex(4)}"
            return await self.query(engine.number, ticket, statement)

        return send

    def _remember(self, engine: ColdEngine, count: int) -> None:
        start = engine.name, engine.born_ms
        self.positions.pop(start, None)
        if len(self.positions) >= MAX_STARTS:
            del self.positions[next(iter(self.positions))]
        self.positions[start] = count

    async def _record(self, record: RecordProgress) -> None:
        if self.log is None:
            return
        try:
            await self.log.propose(progress.TOPIC, progress.encode(record), RECORD_TIMEOUT_S)
        except (LogUnavailableError, OutcomeUnknownError):
            pass  # remembered in this process; only a successor would send the statement again
