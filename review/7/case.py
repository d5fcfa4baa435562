"""One hall is cut off for 6 s, twice: do the loads of a key run one at a time, in their order?"""

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
    Run,
    Stage,
    ask,
    host,
    main,
    new_ticket,
    sofia_settings,
)

HALLS = ("hall-a", "hall-b", "hall-c")
ENGINES_PER_HALL = 2
CUT_HALL = 1
CUT_S = 6.0
PAUSES_S = (8.0, 14.0)  # before each cut
END_S = 12.0  # after the last cut
LOOKUPS_PER_S = 15.0
KEYS = 24
KEY_PAUSE_S = (0.3, 1.5)  # between the answer to a key's load and its next one
LOAD_S = (1.6, 3.4)  # how long a load runs, on 2 threads
SLACK_S = 0.05  # "every time limit is 50 ms longer"


async def case(stage: Stage) -> list[str]:
    """Play the case and return the breaks of the rule."""
    rng = random.Random(8)
    record = stage.record
    bus = await Bus().start()
    engines, links = [], []

    def work_s(cls: str, statement: str) -> float:
        return rng.uniform(*LOAD_S) if cls == "scan-load" else rng.uniform(0.05, 0.15)

    columns = ("concurrent", "load_share", "x1")
    for number in range(ENGINES_PER_HALL * len(HALLS)):
        name = f"s-0000000{number + 1}"
        engines.append(stage.add(await Engine(name, record, work_s, lambda statement: "a\t1\tx\n", columns).start()))
        links.append(stage.add(Link(f"link-{number + 1}", engines[-1], record)))
    bus.tell(
        *(host(engines[i].name, links[i].port, HALLS[i % len(HALLS)], "std-16") for i in range(len(engines))),
        whole=True,
    )
    coordinator = stage.add(Coordinator("n1", stage.folder, record))
    coordinator.configure(bus, sofia_settings())
    await coordinator.start()

    loads: list[Request] = []
    asking = [
        asyncio.create_task(load_key(coordinator.port, f"{number:016x}", loads, stage, rng))
        for number in range(1, KEYS + 1)
    ]
    asking.append(asyncio.create_task(look_up(coordinator.port, stage, rng)))
    for pause_s in PAUSES_S:
        await asyncio.sleep(pause_s)
        cut = links[CUT_HALL :: len(HALLS)] if stage.trouble else []
        for link in cut:
            await link.cut()
        await asyncio.sleep(CUT_S)
        for link in cut:
            link.mend()
    await asyncio.sleep(END_S)
    for task in asking:
        task.cancel()
    outcomes = [request.outcome for request in loads if request.answered_at]
    print({outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))})
    return out_of_order([run for engine in engines for run in engine.runs], loads)


def out_of_order(runs: list[Run], loads: list[Request]) -> list[str]:
    """Return the loads that came to an engine while an earlier one of their key was out, or after a later one."""
    broken = []
    number = {request.ticket: number for number, request in enumerate(loads)}
    key = {request.ticket: request.key for request in loads}
    for one in {request.key for request in loads}:
        own = sorted((run for run in runs if key.get(run.ticket) == one), key=lambda run: run.came_at)
        for earlier, later in zip(own, own[1:], strict=False):
            overlap_s = earlier.out_until() - later.came_at
            if overlap_s > SLACK_S:
                broken.append(
                    f"order: scan-load {later.ticket} of key {one} came to {later.engine} {overlap_s * 1000.0:.0f} ms"
                    f" before the end of {earlier.ticket} at {earlier.engine} ({earlier.ending})"
                )
            elif number[later.ticket] < number[earlier.ticket]:
                broken.append(f"order: scan-load {later.ticket} of key {one} came after the later {earlier.ticket}")
    return broken


async def load_key(port: int, key: str, loads: list[Request], stage: Stage, rng: random.Random) -> None:
    """Send the loads of a key, the next one some time after the answer to the one before."""
    line = ClientLine(port)
    statement = f"INSERT INTO scans_{int(key, 16)}.sweeps SELECT * FROM staging.sweep"
    while True:
        await asyncio.sleep(rng.uniform(*KEY_PAUSE_S))
        request = Request(new_ticket(), "scan-load", statement, 25.0)
        request.key, request.tenant, request.cost_ms = key, "franchise-east", 5000.0
        loads.append(request)
        await ask(line, request, stage.record)


async def look_up(port: int, stage: Stage, rng: random.Random) -> None:
    """Send lookups at a steady rate."""
    resting: list[ClientLine] = []
    tasks: set[asyncio.Task[None]] = set()

    async def one() -> None:
        line = resting.pop() if resting else ClientLine(port)
        request = Request(new_ticket(), "tile-lookup", "SELECT tile FROM radar_17.tiles", 2.5, 120.0)
        request.tenant = "franchise-west"
        await ask(line, request, stage.record)
        resting.append(line)

    try:
        while True:
            tasks.add(asyncio.create_task(one()))
            await asyncio.sleep(rng.expovariate(LOOKUPS_PER_S))
    finally:
        for task in tasks:
            task.cancel()


if __name__ == "__main__":
    main(__file__, case)
