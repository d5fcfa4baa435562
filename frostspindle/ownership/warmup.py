"""Cold engines warmed up on behalf of the fleet, by the one that holds the task: statements that no client asked for.

Owns which engine's start has had which statement from here. It must never send without a lease and the fleet's rights
for a cold engine (fleet/cold.py), so that warming it up is within the same budget as clients' work, and never hold more
than one statement out at an engine.

Each statement that has ended well is told to the log before the next is sent, so that another owner goes on from there.
An engine can't check tokens. The lease is looked at before each send and after each answer; what that leaves open is
one statement of a coordinator that was stopped right between the look and the send, besides its successor's: work that
is done twice, paid for by rights that both had, and no harm to the engine's state. A statement's ticket begins with the
token, eight hex digits of it, so that an engine's own log tells under which grant it was sent.
"""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from frostspindle.ownership import progress
from frostspindle.ownership.jobs import JobContext
from frostspindle.ownership.progress import RecordProgress, WarmupProgress
from frostspindle.replica.base import LogUnavailableError, OutcomeUnknownError, ReplicatedLog

MOST_STARTS, NOTE_S = 512, 1.0


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
        told: WarmupProgress | None = None,
    ) -> None:
        """`pay` buys the rights for one statement at an engine; False if there are none now.

        `run` sends (engine, ticket, statement) through the driver and returns whether it ended well. `log`, `told`:
        where progress is proposed, and where it is read as applied here.
        """
        self.task, self.every_s, self.statements = task, every_ms / 1000.0, statements
        self.cold, self.pay, self.query, self.log, self.told = cold, pay, run, log, told
        self.done: dict[tuple[str, float], int] = {}  # by start: so many statements, from here

    async def run(self, hand: JobContext) -> None:
        """Send one further statement to each cold engine that has not had all; the next run goes on from there.

        Raises Lost. An engine without rights for a statement now is passed over.
        """
        for engine in self.cold():
            start = engine.name, engine.born_ms
            place = max(self.done.get(start, 0), self.told.place(*start) if self.told is not None else 0)
            hand.lease.check()
            if place >= len(self.statements) or not self.pay(engine):
                continue
            statement = self.statements[place]

            async def query(token: int, engine: ColdEngine = engine, statement: str = statement) -> bool:
                return await self.query(engine.number, f"{token & 0xFFFFFFFF:08x}{secrets.token_hex(4)}", statement)

            well = await hand.send(f"warm {place + 1} of {len(self.statements)}", engine.name, query)
            if well:
                self.done.pop(start, None)
                if len(self.done) >= MOST_STARTS:
                    del self.done[next(iter(self.done))]
                self.done[start] = place + 1
                await hand.step(self._note(RecordProgress(hand.lease.token, *start, place + 1)))

    async def _note(self, note: RecordProgress) -> None:
        if self.log is not None:
            try:
                await self.log.propose(progress.TOPIC, progress.encode(note), NOTE_S)
            except (LogUnavailableError, OutcomeUnknownError):
                pass  # a successor would send this one again; it is remembered here
