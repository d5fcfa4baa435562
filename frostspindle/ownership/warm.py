"""Cold engines warmed up on behalf of the fleet, by the one that holds the task: statements that no client asked for.

Owns which engine's start has had which statement from here. It must never send without a lease and the fleet's rights
for a cold engine (fleet/cold.py), so that warming it up is within the same budget as clients' work, and never hold more
than one statement out at an engine.

An engine can't check tokens. The lease is looked at before each send and after each answer; what that leaves open is
one statement of a coordinator that was stopped right between the look and the send, besides its successor's: work that
is done twice, paid for by rights that both had, and no harm to the engine's state.
"""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

from frostspindle.ownership.jobs import Hand

MOST_STARTS = 512


class Cold(NamedTuple):
    """An engine that is cold now."""

    number: int
    name: str
    born_ms: float


class Warm:
    """A Job: see jobs."""

    def __init__(self, task: str, every_ms: float, statements: list[str], cold: Callable[[], Iterable[Cold]],
                 pay: Callable[[Cold], bool], run: Callable[[int, str, str], Awaitable[bool]]) -> None:
        """`pay`: rights for one statement at an engine, False if there are none now; `run`: (engine, ticket, statement)
        at the driver, whether it ended well."""
        self.task, self.every_s, self.statements = task, every_ms / 1000.0, statements
        self.cold, self.pay, self.query = cold, pay, run
        self.done: dict[tuple[str, float], int] = {}  # by start: so many statements

    async def run(self, hand: Hand) -> None:
        """One further statement at each engine that is cold and has not had all: next time goes on from there."""
        for engine in self.cold():
            start = engine.name, engine.born_ms
            place = self.done.get(start, 0)
            hand.lease.check()
            if place >= len(self.statements) or not self.pay(engine):
                continue
            statement = self.statements[place]

            async def query(token: int, engine: Cold = engine, statement: str = statement) -> bool:
                return await self.query(engine.number, secrets.token_hex(8), statement)
            well = await hand.send(f"warm {place + 1} of {len(self.statements)}", engine.name, query)
            if well:
                self.done.pop(start, None)
                if len(self.done) >= MOST_STARTS:
                    del self.done[next(iter(self.done))]
                self.done[start] = place + 1
