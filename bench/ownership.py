"""Measures owners: seeded runs in simulated time, processes over sockets, take-over times, and what renewals cost.

    nice python bench/ownership.py [--runs 500] [--jobs 3] [--first 0] [--kills 200] [--sockets 30]
                                   [--processor 1] [--out FILE]

Prints one JSON object. `runs`: under drawn faults, stale actions accepted and histories with any fault, with the fence
and without. `takeover`: from a holder's kill -9 to the first accepted action of another, by lease, in simulated time
(`emulated`) and with processes of the program (`sockets`). `renewals`: what holding so many tasks costs the log.
`processor`: what so many leases cost a process of the program, in parts of a core, by /proc, at the default lease.
`evenness`: who holds how many of 1,000 tasks after a start of all, and after one was killed and came back.
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
    """Return the median, p99, least, most and count of values in ms, rounded; the count alone if there are none."""
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


def seeded(what: tuple[int, bool]) -> dict[str, Any]:
    """Run one emulation, of `what` as its seed and whether stale tokens are fenced; return its figures."""
    seed, fenced = what
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


def taken_over(what: tuple[int, int]) -> float:
    """Kill a holder at a random time within its lease; return the true ms until another's first accepted action.

    Raise AssertionError if the history has a fault.
    """
    seed, lease_ms = what
    lab = Lab(5, seed, "", tasks=1, lease_ms=lease_ms, late=0.0)
    lab.run(3.0 + random.Random(seed).uniform(0.0, lease_ms / 1_000.0))
    holder = lab.sink.lines[-1]["holder"]
    died = lab.now
    lab.replicas.kill(int(holder[1:]))
    lab.run((died + 2.0 * lease_ms) / 1_000.0 + 3.0)
    assert lab.checked().good
    return next(line["at"] for line in lab.sink.lines if line["at"] > died + 25.0 and line["holder"] != holder) - died


def renewals(tasks: int) -> dict[str, Any]:
    """Return what renewing the leases of that many tasks costs five coordinators, over 30 s after the first 20."""
    lab = Lab(5, 1, "", tasks=tasks, late=0.0)
    lab.act = lambda who, task, token: None  # type: ignore[method-assign]
    began = time.perf_counter()
    heard = [0] * 5
    put = lab.replicas.network.at

    def at(when: float, node: int, what: Any) -> None:
        heard[node] += len(getattr(what, "data", b""))
        put(when, node, what)

    lab.replicas.network.at = at  # type: ignore[method-assign]
    lab.run(20.0)
    heard[:] = [0] * 5
    held: dict[str, int] = {}
    for row in lab.coordinators[0].table.rows.values():
        held[row.holder] = held.get(row.holder, 0) + 1
    commands, sent = lab.commands, lab.bytes
    renewed = sum(who.holder.counts["renewals"] for who in lab.coordinators.values())
    lab.run(50.0)
    more = sum(who.holder.counts["renewals"] for who in lab.coordinators.values()) - renewed
    return {
        "held": held,
        "entries_a_second": round((lab.commands - commands) / 30.0, 2),
        "renewals_a_second": round(more / 30.0, 1),
        "command_bytes_a_second": round((lab.bytes - sent) / 30.0),
        "bytes_in_a_second_a_voter": [round(count / 30.0) for count in heard[:3]],
        "state_bytes": len(lab.coordinators[0].table.state()),
        "cpu_s_a_simulated_s_all_five": round((time.perf_counter() - began) / 50.0, 3),
    }


def evened(seed: int) -> dict[str, Any]:
    """Return how 1,000 tasks are spread over five coordinators at several times, and how many moved until then."""
    lab = Lab(5, seed, "60 kill 4; 70 start 4", tasks=1_000, late=0.0)
    lab.act = lambda who, task, token: None  # type: ignore[method-assign]
    out: dict[str, Any] = {}
    for at in (4.0, 20.0, 55.0, 68.0, 80.0, 100.0, 140.0, 160.0):
        lab.run(at)
        held = dict.fromkeys((f"c{n}" for n in range(5)), 0)
        for row in lab.coordinators[0].table.rows.values():
            held[row.holder] += 1
        moved = sum(who.holder.counts["given"] for who in lab.coordinators.values())
        out[f"{at:g} s"] = {"held": [*held.values()], "moved by those that live": moved}
    return out


async def sockets(runs: int, lease_ms: int, faults: bool, first: int = 0) -> dict[str, Any]:
    """Run processes of the program and kill the holder, or with `faults` stop it, cut it off or kill it, in turn.

    One that is stopped continues after twice its lease, one killed is started again. Return the times until another's
    first accepted action (ms), the counts of accepted and refused actions, and faults in the histories.
    """
    took: list[float] = []
    bad: list[str] = []
    accepted = refused = stale = 0
    for seed in range(first, first + runs):
        fleet = OwnershipFleet(lease_ms=lease_ms, voters=(3, 5)[seed % 2], seed=seed)
        try:
            await fleet.start()
            kind = ("stop", "cut", "kill")[seed % 3] if faults else "kill"
            await asyncio.sleep(random.Random(seed).uniform(0.0, 0.5))
            holder = fleet.process((await fleet.next_action())["holder"])
            mark, died = len(fleet.sink.lines), clock()
            if kind == "stop":
                holder.send_signal(signal.SIGSTOP)
            elif kind == "cut":
                fleet.streams.cut = {holder.number}
            else:
                await fleet.kill(holder)
            other = await fleet.next_action(mark, holder.name)
            took.append(other["at"] - died)
            if kind == "stop":
                await asyncio.sleep(max(0.0, 2.0 * lease_ms - took[-1]) / 1_000.0)
                holder.send_signal(signal.SIGCONT)
            elif kind == "cut":
                fleet.streams.cut = set()
            elif faults:
                await holder.start()
            if faults:
                await asyncio.sleep(0.5)
            found = fleet.checked()
            bad += found.faults
            accepted, refused, stale = accepted + found.accepted, refused + found.refused, stale + found.stale_accepted
        finally:
            await fleet.close()
    return {
        "lease_ms": lease_ms,
        "took_ms": quantiles(took),
        "accepted": accepted,
        "refused": refused,
        "stale_accepted": stale,
        "faults": bad[:5],
    }


WANTS = """
import runpy
from frostspindle.ownership import wiring
start = wiring.OwnershipComponent.start
def begin(part):
    for n in range({tasks}):
        part.lease_manager.add_candidacy(f"t{{n}}")
    start(part)
wiring.OwnershipComponent.start = begin
runpy.run_module("frostspindle", run_name="__main__")
"""  # more tasks than a file may name: the program as it is, that wants these besides


def used_s(pid: int) -> float:
    """Return the processor seconds, user and system, that a process has used so far."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def processor(tasks: int, over_s: float = 20.0) -> dict[str, Any]:
    """Return the part of a core that each of five processes uses, three of them voters, once all tasks are held."""
    fleet = OwnershipFleet(lease_ms=3_000, tasks=())
    for process in fleet.processes:
        process.python_arguments = ["-c", WANTS.format(tasks=tasks)]
    try:
        await fleet.start(await_candidacy=bool(tasks))
        shown: list[dict[str, Any]] = [{}]
        async with asyncio.timeout(60.0):
            while sum((shown[0].get("holders") or {}).values()) < tasks:
                await asyncio.sleep(0.5)
                shown = [await process.figures("show-owners") for process in fleet.processes[:1]]
        await asyncio.sleep(15.0 if tasks else 2.0)
        pids = [process.child.pid for process in fleet.processes if process.child is not None]
        before, began = [used_s(pid) for pid in pids], time.monotonic()
        await asyncio.sleep(over_s)
        took = time.monotonic() - began
        parts = [round((used_s(pid) - was) / took, 4) for pid, was in zip(pids, before, strict=True)]
        shown = [await process.figures("show-owners") for process in fleet.processes[:1]]
        leader = shown[0]["leader"]
        return {"tasks": tasks, "of_a_core": parts, "voters": 3, "leader": leader, "held": shown[0]["holders"]}
    finally:
        await fleet.close()


def main() -> None:
    """Run all measurements, print each result to stderr as it comes, and one JSON object at the end."""
    parser = argparse.ArgumentParser()
    for name, default in (("runs", 500), ("jobs", 3), ("first", 0), ("kills", 200), ("sockets", 30)):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--processor", type=int, default=1)
    parser.add_argument("--out")
    said = parser.parse_args()
    out: dict[str, Any] = {}
    with ProcessPoolExecutor(said.jobs) as pool:
        for fenced in (True, False):
            runs = said.runs if fenced else said.runs // 5
            told = list(pool.map(seeded, [(seed, fenced) for seed in range(said.first, said.first + runs)]))
            out["runs" if fenced else "runs without the fence"] = {
                "of": len(told),
                "bad": [one for one in told if not one["good"]][: 3 if fenced else 0],
                "runs_with_a_fault": sum(not one["good"] for one in told),
                **{key: sum(one[key] for one in told) for key in ("stale_accepted", "accepted", "refused", "grants")},
            }
            print(json.dumps(out), file=sys.stderr, flush=True)
        out["takeover, emulated"] = {
            lease: quantiles(list(pool.map(taken_over, [(seed, lease) for seed in range(said.kills)])))
            for lease in (1_000, 3_000, 10_000)
        }
        out["evenness"] = list(pool.map(evened, range(3)))
        out["renewals"] = dict(zip(("1", "10", "100", "1000"), pool.map(renewals, (1, 10, 100, 1_000)), strict=True))
    print(json.dumps(out), file=sys.stderr, flush=True)
    if said.processor:
        out["processor"] = [asyncio.run(processor(tasks)) for tasks in (0, 100, 1_000, 0, 100, 1_000)]
        print(json.dumps(out), file=sys.stderr, flush=True)
    if said.sockets:
        out["sockets, mixed faults"] = asyncio.run(sockets(said.sockets, 1_000, True))
        print(json.dumps(out), file=sys.stderr, flush=True)
        out["takeover, sockets"] = [
            asyncio.run(sockets(kills, lease, False)) for kills, lease in ((10, 1_000), (6, 3_000), (3, 10_000))
        ]
    print(json.dumps(out, indent=1))
    if said.out:
        with open(said.out, "w", encoding="utf-8") as file:
            json.dump(out, file, indent=1)


if __name__ == "__main__":
    main()
