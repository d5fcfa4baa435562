"""Bad clients send at full speed: are the loads of a key run in the order in which they were taken?"""

from __future__ import annotations

import asyncio
import random
import subprocess
import sys
import time
from pathlib import Path

from kit_2 import (
    Bus,
    ClientLine,
    Coordinator,
    Engine,
    Request,
    Run,
    Stage,
    ask,
    host,
    main,
    new_ticket,
    sofia_settings,
)

ENGINES = 6
HALLS = ("hall-a", "hall-b", "hall-c")
BAD_CLIENTS, BAD_PROCESSES = 240, 4
KEYS = 8
LENGTH_S = 45.0
ROWS = 400  # of the first load of each pair, in a statement of 30 KB; the second one has one row
LEAST_GAP_S, GAP_S = 0.060, 0.070  # between two requests of a key
LEAST_NEW_GAP_S, NEW_GAP_S = 0.250, 0.260  # after one that came over a new connection
END_S = 4.0


async def case(stage: Stage) -> list[str]:
    """Play the case and return the breaks of the rule."""
    rng = random.Random(10)
    record = stage.record
    bus = await Bus().start()
    engines = []
    columns = ("concurrent", "load_share", "x1")
    for number in range(ENGINES):
        name = f"s-0000000{number + 1}"
        engine = Engine(name, record, lambda cls, statement: rng.uniform(0.05, 0.2), lambda statement: "", columns)
        engines.append(stage.add(await engine.start()))
    bus.tell(*(host(e.name, e.port, HALLS[i % 3], "std-16") for i, e in enumerate(engines)), whole=True)
    coordinator = stage.add(Coordinator("n1", stage.folder, record))
    coordinator.configure(bus, sofia_settings())
    await coordinator.start()

    until = time.time() + LENGTH_S
    if stage.trouble:
        for _ in range(BAD_PROCESSES):
            stage.add(BadClients(coordinator.port, BAD_CLIENTS // BAD_PROCESSES, until))
    loads: list[Request] = []
    await asyncio.gather(
        *(load_key(coordinator.port, number, until - END_S, loads, stage) for number in range(1, KEYS + 1))
    )
    outcomes = [request.outcome for request in loads]
    print({outcome: outcomes.count(outcome) for outcome in sorted(set(outcomes))})
    return out_of_order([run for engine in engines for run in engine.runs], loads)


class BadClients:
    """A process with bad clients."""

    def __init__(self, port: int, count: int, until: float) -> None:
        script = str(Path(__file__).with_name("rude_clients.py"))
        self.process = subprocess.Popen([sys.executable, script, str(port), str(count), str(until)])

    def stop(self) -> None:
        """End the process."""
        self.process.kill()
        self.process.wait()


async def load_key(port: int, number: int, until: float, loads: list[Request], stage: Stage) -> None:
    """Send pairs of loads of a key, first a long one and then a short one, each on a connection of its own."""
    lines = ClientLine(port), ClientLine(port)
    while time.time() < until:
        tasks = []
        for line, rows in zip(lines, (ROWS, 1), strict=True):
            values = ", ".join(f"({number}, '{new_ticket()}', {row})" for row in range(rows))[: 75 * rows]
            values = values.ljust(75 * rows)
            request = Request(new_ticket(), "scan-load", f"INSERT INTO scans_{number}.sweeps VALUES {values}", 25.0)
            request.key, request.tenant, request.cost_ms = f"{number:016x}", "franchise-east", 300.0
            loads.append(request)
            tasks.append(asyncio.create_task(ask(line, request, stage.record)))
            while not request.written_at and not request.answered_at:
                await asyncio.sleep(0.001)
            await asyncio.sleep(NEW_GAP_S if request.came_new else GAP_S)
        await asyncio.gather(*tasks)
        await asyncio.sleep(0.3)


def out_of_order(runs: list[Run], loads: list[Request]) -> list[str]:
    """Return the loads that came to an engine after one of their key that was taken later."""
    broken = []
    run_of = {run.ticket: run for run in runs}
    for key in sorted({request.key for request in loads}):
        own = [request for request in loads if request.key == key and request.ticket in run_of]
        for earlier, later in zip(own, own[1:], strict=False):
            gap_s = later.written_at - earlier.written_at
            is_apart = gap_s >= (LEAST_NEW_GAP_S if earlier.came_new else LEAST_GAP_S)
            late_s = run_of[earlier.ticket].came_at - run_of[later.ticket].came_at
            if is_apart and late_s > 0.0:
                broken.append(
                    f"order: load {earlier.ticket} of key {key} came to an engine {late_s * 1000.0:.0f} ms after"
                    f" {later.ticket}, which was written {gap_s * 1000.0:.0f} ms after it"
                )
    return broken


if __name__ == "__main__":
    main(__file__, case)
