"""Measures task ownership: seeded runs in simulated time, processes on sockets, take-over times, cost of renewals.

    nice python bench/ownership.py [--runs 500] [--jobs 3] [--first 0] [--kills 200] [--sockets 30]
                                   [--processor 1] [--out FILE]

Prints one JSON object. `runs`: accepted stale actions and histories with faults, under drawn faults, with the fence and
without. `takeover`: time from a holder's kill -9 to the first accepted action of another, by lease, in simulated time
(`emulated`) and with processes of the program (`sockets`). `renewals`: load of the log by the number of held tasks.
`processor`: CPU use of a process by the number of leases, in shares of a core, from /proc, at the default lease.
`evenness`: distribution of 1,000 tasks after a start of all coordinators, and after one was killed and restarted.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import signal
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from frostspindle.lab.faults.owners import OwnershipFleet  # noqa: E402
from frostspindle.lab.ownership import Lab, measure, play  # noqa: E402
from frostspindle.ownership.service import clock  # noqa: E402


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the median, p99, minimum, maximum and count of values in ms, rounded; only the count if it is 0."""
    values = sorted(values)
    if not values:
        return {"of": 0}
    return {
        "p50": round(values[len(values) // 2]),
        "p99": round(values[int(len(values) * 0.99)]),
        "least": round(values[0]),
        "most": round(values[-1]),
        "of": len(values),
    }


def run_seed(job: tuple[int, bool]) -> dict[str, Any]:
    """Run one emulation, given as its seed and whether stale tokens are fenced; return its figures."""
    seed, fenced = job
    lease_ms = (1_000, 3_000)[seed % 2]
    lab = play(
        5,
        seed,
        "drawn",
        20.0 + 10.0 * (seed % 2),
        lease_ms=lease_ms,
        voters=(3, 5)[seed // 2 % 2],
        fenced=fenced,
        late=(0.1, 0.4)[seed // 4 % 2],
    )
    return {"seed": seed, **measure(lab)}


def measure_takeover(job: tuple[int, int]) -> float:
    """Kill a holder at a random time within its lease; return the ms until the first accepted action of another.

    Raise AssertionError if the history has a fault.
    """
    seed, lease_ms = job
    lab = Lab(5, seed, "", tasks=1, lease_ms=lease_ms, late=0.0)
    lab.run(3.0 + random.Random(seed).uniform(0.0, lease_ms / 1_000.0))
    holder = lab.sink.lines[-1]["holder"]
    killed_at_ms = lab.now
    lab.replicas.kill(int(holder[1:]))
    lab.run((killed_at_ms + 2.0 * lease_ms) / 1_000.0 + 3.0)
    assert lab.checked().good
    return (
        next(line["at"] for line in lab.sink.lines if line["at"] > killed_at_ms + 25.0 and line["holder"] != holder)
        - killed_at_ms
    )


def measure_renewals(tasks: int) -> dict[str, Any]:
    """Return the cost of renewing that many leases for five coordinators, from 20 s to 50 s of simulated time."""
    lab = Lab(5, 1, "", tasks=tasks, late=0.0)
    lab.act = lambda coordinator, task, token: None  # type: ignore[method-assign]
    started = time.perf_counter()
    received_bytes = [0] * 5
    schedule = lab.replicas.network.at

    def count_received(due_at_ms: float, node: int, event: Any) -> None:
        received_bytes[node] += len(getattr(event, "data", b""))
        schedule(due_at_ms, node, event)

    lab.replicas.network.at = count_received  # type: ignore[method-assign]
    lab.run(20.0)
    received_bytes[:] = [0] * 5
    held_by_coordinator: dict[str, int] = {}
    for row in lab.coordinators[0].table.rows.values():
        held_by_coordinator[row.holder] = held_by_coordinator.get(row.holder, 0) + 1
    commands, sent = lab.commands, lab.bytes
    renewed = sum(coordinator.holder.counts["renewals"] for coordinator in lab.coordinators.values())
    lab.run(50.0)
    renewed_since = sum(coordinator.holder.counts["renewals"] for coordinator in lab.coordinators.values()) - renewed
    return {
        "held": held_by_coordinator,
        "entries_a_second": round((lab.commands - commands) / 30.0, 2),
        "renewals_a_second": round(renewed_since / 30.0, 1),
        "command_bytes_a_second": round((lab.bytes - sent) / 30.0),
        "bytes_in_a_second_a_voter": [round(count / 30.0) for count in received_bytes[:3]],
        "state_bytes": len(lab.coordinators[0].table.state()),
        "cpu_s_a_simulated_s_all_five": round((time.perf_counter() - started) / 50.0, 3),
    }


def measure_evenness(seed: int) -> dict[str, Any]:
    """Return the distribution of 1,000 tasks over five coordinators at several times, and the moves until then."""
    lab = Lab(5, seed, "60 kill 4; 70 start 4", tasks=1_000, late=0.0)
    lab.act = lambda coordinator, task, token: None  # type: ignore[method-assign]
    result: dict[str, Any] = {}
    for at_s in (4.0, 20.0, 55.0, 68.0, 80.0, 100.0, 140.0, 160.0):
        lab.run(at_s)
        held_by_coordinator = dict.fromkeys((f"c{number}" for number in range(5)), 0)
        for row in lab.coordinators[0].table.rows.values():
            held_by_coordinator[row.holder] += 1
        tasks_moved = sum(coordinator.holder.counts["given"] for coordinator in lab.coordinators.values())
        result[f"{at_s:g} s"] = {"held": [*held_by_coordinator.values()], "moved by those that live": tasks_moved}
    return result


async def run_processes(runs: int, lease_ms: int, faults: bool, first: int = 0) -> dict[str, Any]:
    """Run processes of the program and kill the holder; with `faults`, alternately stop, isolate or kill it.

    A stopped holder continues after twice its lease; a killed one is restarted. Return the times until the first
    accepted action of another (ms), the counts of accepted and refused actions, and faults in the histories.
    """
    takeover_ms: list[float] = []
    violations: list[str] = []
    accepted = refused = stale_accepted = 0
    for seed in range(first, first + runs):
        fleet = OwnershipFleet(lease_ms=lease_ms, voters=(3, 5)[seed % 2], seed=seed)
        try:
            await fleet.start()
            fault = ("stop", "cut", "kill")[seed % 3] if faults else "kill"
            await asyncio.sleep(random.Random(seed).uniform(0.0, 0.5))
            holder = fleet.process((await fleet.next_action())["holder"])
            lines_before, failed_at_ms = len(fleet.sink.lines), clock()
            if fault == "stop":
                holder.send_signal(signal.SIGSTOP)
            elif fault == "cut":
                fleet.streams.cut = {holder.number}
            else:
                await fleet.kill(holder)
            next_action = await fleet.next_action(lines_before, holder.name)
            takeover_ms.append(next_action["at"] - failed_at_ms)
            if fault == "stop":
                await asyncio.sleep(max(0.0, 2.0 * lease_ms - takeover_ms[-1]) / 1_000.0)
                holder.send_signal(signal.SIGCONT)
            elif fault == "cut":
                fleet.streams.cut = set()
            elif faults:
                await holder.start()
            if faults:
                await asyncio.sleep(0.5)
            history = fleet.checked()
            violations += history.faults
            accepted, refused, stale_accepted = (
                accepted + history.accepted,
                refused + history.refused,
                stale_accepted + history.stale_accepted,
            )
        finally:
            await fleet.close()
    return {
        "lease_ms": lease_ms,
        "took_ms": quantiles(takeover_ms),
        "accepted": accepted,
        "refused": refused,
        "stale_accepted": stale_accepted,
        "faults": violations[:5],
    }


ADD_TASKS_PROGRAM = """
import runpy
from frostspindle.ownership import wiring
start = wiring.OwnershipComponent.start
def begin(part):
    for n in range({tasks}):
        part.lease_manager.add_candidacy(f"t{{n}}")
    start(part)
wiring.OwnershipComponent.start = begin
runpy.run_module("frostspindle", run_name="__main__")
"""  # the unchanged program, with candidacies for more tasks than the settings file can list


def used_s(pid: int) -> float:
    """Return the CPU seconds, user and system, that a process has used so far."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def measure_processor(tasks: int, duration_s: float = 20.0) -> dict[str, Any]:
    """Return the share of a core that each of five processes, three of them voters, uses once all tasks are held."""
    fleet = OwnershipFleet(lease_ms=3_000, tasks=())
    for process in fleet.processes:
        process.python_arguments = ["-c", ADD_TASKS_PROGRAM.format(tasks=tasks)]
    try:
        await fleet.start(await_candidacy=bool(tasks))
        figures: list[dict[str, Any]] = [{}]
        async with asyncio.timeout(60.0):
            while sum((figures[0].get("holders") or {}).values()) < tasks:
                await asyncio.sleep(0.5)
                figures = [await process.figures("show-owners") for process in fleet.processes[:1]]
        await asyncio.sleep(15.0 if tasks else 2.0)
        pids = [process.child.pid for process in fleet.processes if process.child is not None]
        used_at_start, started = [used_s(pid) for pid in pids], time.monotonic()
        await asyncio.sleep(duration_s)
        elapsed_s = time.monotonic() - started
        core_shares = [
            round((used_s(pid) - used_before) / elapsed_s, 4)
            for pid, used_before in zip(pids, used_at_start, strict=True)
        ]
        figures = [await process.figures("show-owners") for process in fleet.processes[:1]]
        leader = figures[0]["leader"]
        return {"tasks": tasks, "of_a_core": core_shares, "voters": 3, "leader": leader, "held": figures[0]["holders"]}
    finally:
        await fleet.close()


def main() -> None:
    """Run all measurements; print intermediate results to stderr, and one JSON object at the end."""
    parser = argparse.ArgumentParser()
    for name, default in (("runs", 500), ("jobs", 3), ("first", 0), ("kills", 200), ("sockets", 30)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--processor", type=int, default=1)
    parser.add_argument("--out")
    args = parser.parse_args()
    result: dict[str, Any] = {}
    with ProcessPoolExecutor(args.jobs) as pool:
        for fenced in (True, False):
            runs = args.runs if fenced else args.runs // 5
            results = list(pool.map(run_seed, [(seed, fenced) for seed in range(args.first, args.first + runs)]))
            result["runs" if fenced else "runs without the fence"] = {
                "of": len(results),
                "bad": [run for run in results if not run["good"]][: 3 if fenced else 0],
                "runs_with_a_fault": sum(not run["good"] for run in results),
                **{
                    key: sum(run[key] for run in results) for key in ("stale_accepted", "accepted", "refused", "grants")
                },
            }
            print(json.dumps(result), file=sys.stderr, flush=True)
        result["takeover, emulated"] = {
            lease_ms: quantiles(list(pool.map(measure_takeover, [(seed, lease_ms) for seed in range(args.kills)])))
            for lease_ms in (1_000, 3_000, 10_000)
        }
        result["evenness"] = list(pool.map(measure_evenness, range(3)))
        result["renewals"] = dict(
            zip(("1", "10", "100", "1000"), pool.map(measure_renewals, (1, 10, 100, 1_000)), strict=True)
        )
    print(json.dumps(result), file=sys.stderr, flush=True)
    if args.processor:
        result["processor"] = [asyncio.run(measure_processor(tasks)) for tasks in (0, 100, 1_000, 0, 100, 1_000)]
        print(json.dumps(result), file=sys.stderr, flush=True)
    if args.sockets:
        result["sockets, mixed faults"] = asyncio.run(run_processes(args.sockets, 1_000, True))
        print(json.dumps(result), file=sys.stderr, flush=True)
        result["takeover, sockets"] = [
            asyncio.run(run_processes(kills, lease_ms, False))
            for kills, lease_ms in ((10, 1_000), (6, 3_000), (3, 10_000))
        ]
    print(json.dumps(result, indent=1))
    if args.out:
        with open(args.out, "w", encoding="utf-8") as file:
            json.dump(result, file, indent=1)


if __name__ == "__main__":
    main()
