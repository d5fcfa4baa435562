"""The link to one floor is cut for 6 s, twice: is ever more than one attempt of a report out at once?"""

from __future__ import annotations

import asyncio
import random

from kit_2 import (
    Bus,
    ClientLine,
    Coordinator,
    Engine,
    Link,
    Request,
    Stage,
    ask,
    bole_settings,
    host,
    main,
    new_ticket,
)

FLOORS = ("floor-1", "floor-2", "floor-3")
CUT_FLOOR = 1
CUT_S = 6.0
PAUSES_S = (8.0, 14.0)  # before each cut
END_S = 10.0  # after the last cut
LOOKUPS_PER_S = 10.0
REPORTS_PER_S = 1.5
REPORT_S = (3.0, 6.0)  # how long a report runs, on 3 threads
SLACK_S = 0.05  # "every time limit is 50 ms longer"


async def case(stage: Stage) -> list[str]:
    """Play the case and return the breaks of the rule."""
    rng = random.Random(7)
    record = stage.record
    bus = await Bus().start()
    engines, links = [], []

    def work_s(cls: str, statement: str) -> float:
        return rng.uniform(*REPORT_S) if cls == "report" else rng.uniform(0.05, 0.2)

    for number in range(len(FLOORS)):
        name = f"s-0000000{number + 1}"
        engines.append(stage.add(await Engine(name, record, work_s, lambda statement: "a\t1\tx\n").start()))
        links.append(stage.add(Link(f"link-{number + 1}", engines[-1], record)))
    bus.tell(
        *(host(engine.name, link.port, site) for engine, link, site in zip(engines, links, FLOORS, strict=True)),
        whole=True,
    )
    coordinator = stage.add(Coordinator("n1", stage.folder, record))
    coordinator.configure(bus, bole_settings())
    await coordinator.start()

    requests: list[Request] = []
    asking = [
        asyncio.create_task(ask_steadily(coordinator.port, "lookup", LOOKUPS_PER_S, 7.5, 150.0, requests, stage, rng)),
        asyncio.create_task(
            ask_steadily(coordinator.port, "report", REPORTS_PER_S, 25.0, 9000.0, requests, stage, rng)
        ),
    ]
    for pause_s in PAUSES_S:
        await asyncio.sleep(pause_s)
        if stage.trouble:
            await links[CUT_FLOOR].cut()
        await asyncio.sleep(CUT_S)
        if stage.trouble:
            links[CUT_FLOOR].mend()
    await asyncio.sleep(END_S)
    for task in asking:
        task.cancel()
    outcomes = [f"{request.cls} {request.outcome}" for request in requests if request.answered_at]
    print({outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))})
    return overlaps([run for engine in engines for run in engine.runs], requests)


def overlaps(runs: list, requests: list[Request]) -> list[str]:
    """Return the attempts that came whole to an engine while another attempt of their request was out."""
    broken = []
    for request in requests:
        own = sorted((run for run in runs if run.ticket == request.ticket), key=lambda run: run.came_at)
        for earlier, later in zip(own, own[1:], strict=False):
            overlap_s = earlier.out_until() - later.came_at
            if overlap_s > SLACK_S:
                broken.append(
                    f"duplicate: {request.cls} {request.ticket} came to {later.engine}"
                    f" {overlap_s * 1000.0:.0f} ms before the end of its attempt at {earlier.engine} ({earlier.ending})"
                )
    return broken


async def ask_steadily(
    port: int,
    cls: str,
    per_s: float,
    timeout_s: float,
    cost_ms: float,
    requests: list[Request],
    stage: Stage,
    rng: random.Random,
) -> None:
    """Send requests of a class at a rate, each on a connection that no other request uses meanwhile."""
    resting: list[ClientLine] = []
    tasks: set[asyncio.Task[None]] = set()

    async def one() -> None:
        line = resting.pop() if resting else ClientLine(port)
        request = Request(new_ticket(), cls, "SELECT agent FROM calls_17.notes", timeout_s, cost_ms)
        requests.append(request)
        await ask(line, request, stage.record)
        resting.append(line)

    try:
        while True:
            tasks.add(asyncio.create_task(one()))
            await asyncio.sleep(rng.expovariate(per_s))
    finally:
        for task in tasks:
            task.cancel()


if __name__ == "__main__":
    main(__file__, case)
