"""Some good answers of the engines are followed by a second copy: does every client get the rows of its own query?"""

from __future__ import annotations

import asyncio
import random

from kit_2 import (
    Bus,
    ClientLine,
    Coordinator,
    Engine,
    Request,
    Stage,
    ask,
    bole_settings,
    host,
    main,
    new_ticket,
)

ENGINES = 4
CLIENTS = 80
QUIET_S = 30.0  # without a disruption
TROUBLED_S = 30.0
COPIED_SHARE = 0.02  # of the good answers
COPY_DELAY_S = (0.002, 0.008)
SCREEN = "SELECT agent, count(*), max(note) FROM calls_17.notes WHERE tag = 'none' GROUP BY agent"
SCREEN_SHARE = 0.5  # of the lookups: what the screens of all supervisors ask, of which there are no rows


def rows_of(statement: str) -> str:
    """Return the rows of a statement as an engine sends them: none for the screens, else one that names it."""
    return "" if statement == SCREEN else f"{statement.split(chr(39))[1]}\t1\tx\n"


def expected(statement: str) -> list[list[str]]:
    """Return the rows that the client of a statement has to get."""
    return [row.split("\t") for row in rows_of(statement).splitlines()]


async def case(stage: Stage) -> list[str]:
    """Play the case and return the breaks of the rule."""
    rng = random.Random(6)
    record = stage.record
    bus = stage.add(Stopping(await Bus().start())).part
    engines = []
    for number in range(ENGINES):
        engine = Engine(f"s-0000000{number + 1}", record, lambda cls, statement: rng.uniform(0.06, 0.2), rows_of)
        engines.append(stage.add(await engine.start()))
    bus.tell(*(host(engine.name, engine.port) for engine in engines), whole=True)
    coordinator = stage.add(Coordinator("n1", stage.folder, record))
    coordinator.configure(bus, bole_settings())
    await coordinator.start()

    copies = 0

    def copy(writer: asyncio.StreamWriter, status: int, answer: bytes) -> None:
        nonlocal copies
        if status == 200 and b"X-Pages" in answer and rng.random() < COPIED_SHARE:
            copies += 1
            record.line("engine", f"writes a second copy of {answer[-30:]!r}")
            asyncio.get_running_loop().call_later(rng.uniform(*COPY_DELAY_S), write_copy, writer, answer)

    requests: list[Request] = []
    until = asyncio.get_running_loop().time() + QUIET_S + TROUBLED_S
    clients = [asyncio.create_task(client(coordinator.port, rng, requests, until, stage)) for _ in range(CLIENTS)]
    await asyncio.sleep(QUIET_S)
    if stage.trouble:
        for engine in engines:
            engine.after_answer = copy
    await asyncio.gather(*clients)
    served = [request for request in requests if request.outcome == "served"]
    record.line("case", f"{len(requests)} lookups, {len(served)} served, {copies} answers copied")
    print(f"{len(requests)} lookups, {len(served)} served, {copies} answers copied")
    foreign = [request for request in served if request.rows != expected(request.statement)]
    return [
        f"lost: {request.ticket} asked {request.statement!r} and was served {request.rows!r}" for request in foreign
    ]


def write_copy(writer: asyncio.StreamWriter, answer: bytes) -> None:
    """Write the second copy of an answer, if the connection is still open."""
    if not writer.is_closing():
        writer.write(answer)


async def client(port: int, rng: random.Random, requests: list[Request], until: float, stage: Stage) -> None:
    """Ask one lookup after the other on one connection."""
    line = ClientLine(port)
    while asyncio.get_running_loop().time() < until:
        if rng.random() < SCREEN_SHARE:
            statement = SCREEN
        else:
            statement = (
                f"SELECT agent, count(*), max(note) FROM calls_17.notes WHERE tag = '{new_ticket()}' GROUP BY agent"
            )
        requests.append(await ask(line, Request(new_ticket(), "lookup", statement, 7.5), stage.record))
        await asyncio.sleep(rng.uniform(0.0, 0.05))
    line.close()


class Stopping:
    """A part that ends with the process of the case."""

    def __init__(self, part: Bus) -> None:
        self.part = part

    def stop(self) -> None:
        """Do nothing."""


if __name__ == "__main__":
    main(__file__, case)
