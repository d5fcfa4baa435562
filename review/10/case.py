"""All engines slow down together: do the requests of a key run one at a time if two classes keep order?"""

from __future__ import annotations

import asyncio
import random
import time

from kit_2 import (
    Bus,
    ClientLine,
    Coordinator,
    Engine,
    Request,
    Run,
    Stage,
    ask,
    category,
    host,
    main,
    new_ticket,
    sofia_settings,
)

ENGINES = 3
KEYS = 8
ROUNDS = 5
ROUND_S = 7.0
SLOW_AFTER_S = 9.0
SLOW_S = 14.0
SLOWER = 2.5
LOAD_S = (1.4, 1.8)  # how long a scan-load runs
EDIT_S = (0.2, 0.4)
EDIT_AFTER_S = 2.6  # a key's scan-edit is sent so long after its scan-load, which usually has ended by then
SLACK_S = 0.05  # "every time limit is 50 ms longer"


async def case(stage: Stage) -> list[str]:
    """Play the case and return the breaks of the rule."""
    rng = random.Random(9)
    record = stage.record
    bus = await Bus().start()
    engines = []
    slow_from = slow_until = 0.0

    def work_s(cls: str, statement: str) -> float:
        seconds = rng.uniform(*(LOAD_S if cls == "scan-load" else EDIT_S))
        return seconds * SLOWER if stage.trouble and slow_from <= time.time() < slow_until else seconds

    columns = ("concurrent", "load_share", "x1")
    for number in range(ENGINES):
        engine = Engine(f"s-0000000{number + 1}", record, work_s, lambda statement: "a\t1\tx\n", columns)
        engines.append(stage.add(await engine.start()))
    bus.tell(*(host(e.name, e.port, f"hall-{'abc'[i]}", "std-16") for i, e in enumerate(engines)), whole=True)
    settings = sofia_settings()
    settings["categories"].append(
        category("scan-edit", "once", 3000.0, 25000.0, 10.0, aimStretch=2.5, lateShare=0.6, inOrder=True)
    )
    settings["domain"] |= {"classThreads": [1, 3, 2, 1], "classLoad": [False, False, True, False]}
    settings["domain"]["blockedByLoads"] = [False, False, False, False]
    coordinator = stage.add(Coordinator("n1", stage.folder, record))
    coordinator.configure(bus, settings)
    await coordinator.start()

    requests: list[Request] = []
    slow_from = time.time() + SLOW_AFTER_S
    slow_until = slow_from + SLOW_S
    await asyncio.gather(
        *(use_key(coordinator.port, f"{number:016x}", requests, stage, rng) for number in range(1, KEYS + 1))
    )
    outcomes = [f"{request.cls} {request.outcome}" for request in requests]
    print({outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))})
    return out_of_order([run for engine in engines for run in engine.runs], requests)


async def use_key(port: int, key: str, requests: list[Request], stage: Stage, rng: random.Random) -> None:
    """Send a scan-load and then a scan-edit of a key in each round, each on a connection of its own."""
    lines = ClientLine(port), ClientLine(port)
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    for _ in range(ROUNDS):
        tasks = []
        for line, cls, cost_ms in zip(lines, ("scan-load", "scan-edit"), (3200.0, 300.0), strict=True):
            statement = f"UPDATE scans_{int(key, 16)}.sweeps SET note = '{new_ticket()}'"
            request = Request(new_ticket(), cls, statement, 25.0, cost_ms)
            request.key, request.tenant = key, "franchise-east"
            requests.append(request)
            tasks.append(asyncio.create_task(ask(line, request, stage.record)))
            await asyncio.sleep(EDIT_AFTER_S)
        await asyncio.gather(asyncio.sleep(ROUND_S - 2.0 * EDIT_AFTER_S), *tasks)


def out_of_order(runs: list[Run], requests: list[Request]) -> list[str]:
    """Return the requests that came to an engine while an earlier one of their key was out, or after a later one."""
    broken = []
    taken = {request.ticket: number for number, request in enumerate(requests)}
    key_of = {request.ticket: request.key for request in requests}
    for key in sorted(set(key_of.values())):
        own = sorted((run for run in runs if key_of[run.ticket] == key), key=lambda run: run.came_at)
        for earlier, later in zip(own, own[1:], strict=False):
            overlap_s = earlier.out_until() - later.came_at
            if overlap_s > SLACK_S or taken[later.ticket] < taken[earlier.ticket]:
                broken.append(
                    f"order: {later.cls} {later.ticket} of key {key} came to {later.engine} {overlap_s * 1000.0:.0f} ms"
                    f" before the end of {earlier.cls} {earlier.ticket} at {earlier.engine} ({earlier.ending})"
                )
    return broken


if __name__ == "__main__":
    main(__file__, case)
