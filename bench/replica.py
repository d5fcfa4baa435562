"""Measures the replicated log: seeded runs in simulated time, processes over sockets, and the library's own journal.

    python bench/replica.py [--runs 200] [--jobs 4] [--first 0] [--kills 10] [--out FILE]

Prints one JSON object. `runs`: under drawn faults, how many went wrong in any way. `sockets`: one process with five
members (so that CPU and turns are upper bounds). `processes`: from a leader's kill -9, SIGSTOP or cut to the first
answered proposal elsewhere. `library`: what pysyncobj's own journal syncs and notices.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import resource
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from io import BytesIO
from pathlib import Path
from typing import Any
from unittest import mock

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from frostspindle.lab.faults.logs import ReplicaMembers, TextStateMachine  # noqa: E402
from frostspindle.lab.faults.runner import free_port  # noqa: E402
from frostspindle.lab.faults.script import parse  # noqa: E402
from frostspindle.lab.replica_runs import Run  # noqa: E402
from frostspindle.replica.service import ReplicaService  # noqa: E402
from frostspindle.telemetry import Telemetry  # noqa: E402


def seeded(seed: int) -> dict[str, Any]:
    """Run the log under drawn faults in simulated time; return what went wrong, outcomes of proposals and counters."""
    nodes, voters = ((5, 3), (5, 5), (3, 3))[seed % 3]
    run = Run(seed, nodes=nodes, voters=voters)
    ends = Counter(type(told[0]).__name__ for told in run.answers.values() if told)
    counted: Counter[str] = Counter({"journals lost": run.lost, "votes again": len(run.lab.told)})
    for node in run.lab.nodes:
        if node.member is not None:
            counted += node.member.counters
    return {"seed": seed, "bad": run.bad[:3], "ends": dict(ends), "counted": dict(counted), "script": run.script}


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the median, p99, most and count of values; raise IndexError if there are none."""
    values = sorted(values)
    return {
        "p50": round(values[len(values) // 2], 2),
        "p99": round(values[int(len(values) * 0.99)], 2),
        "most": round(values[-1], 2),
        "of": len(values),
    }


def cpu() -> float:
    """Return the processor seconds, user and system, that this process has used so far."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


async def sockets() -> dict[str, Any]:
    """Run five members, three of them voters, in this process; return latencies (ms), throughput, syncs and CPU."""
    with tempfile.TemporaryDirectory(dir=".") as folder:
        voters = [f"c{n}=127.0.0.1:{free_port(socket.SOCK_STREAM)}" for n in range(3)]
        logs = [
            ReplicaService(
                f"c{n}", voters, Path(folder, f"c{n}"), b"s" * 32, Telemetry(f"c{n}", BytesIO()), first_start=True
            )
            for n in range(5)
        ]
        for log in logs:
            log.attach("t", TextStateMachine())
            await log.start()
        await asyncio.gather(*(log.barrier(20.0) for log in logs))
        leader = next(log for log in logs if log.leader == log.me)
        out: dict[str, Any] = {}
        for name, log in (("at the leader", leader), ("at a follower", logs[4])):
            took = []
            for number in range(400):
                began = time.perf_counter()
                await log.propose("t", b"%100d" % number, 10.0)
                took.append((time.perf_counter() - began) * 1e3)
            out[f"one after another, ms, {name}"] = quantiles(took)
        for log in logs:
            log.longest_slice_s = 0.0
        began, used = time.perf_counter(), cpu()
        many, size = 20, 1_000

        async def line(number: int) -> None:
            for _ in range(many * size // 200):
                await logs[number % 5].propose("t", b"x" * 100, 20.0)

        await asyncio.gather(*(line(number) for number in range(200)))
        took_s = time.perf_counter() - began
        out["200 at once"] = {
            "a second": round(many * size / took_s),
            "cpu_us an entry, all five": round((cpu() - used) * 1e6 / (many * size)),
            "longest turn, cpu ms": round(max(log.longest_slice_s for log in logs) * 1e3, 1),
            "syncs": leader.counters["syncs"],
            "longest sync ms": round(max(log.worst_sync_s for log in logs) * 1e3, 1),
        }
        used, began = cpu(), time.perf_counter()
        await asyncio.sleep(10.0)
        out["idle, cpu ms a second a member"] = round((cpu() - used) * 1e3 / (time.perf_counter() - began) / 5, 2)
        for log in logs:
            await log.close()
        return out


async def processes(kills: int) -> dict[str, Any]:
    """Kill, stop or cut off the leader of five processes, `kills` times each.

    Return the times (ms) until another answers a proposal and, for a cut, until the old leader steps down.
    """
    out: dict[str, Any] = {}
    for what in ("kill", "stop", "cut"):
        took: list[float] = []
        steps: list[float] = []
        for seed in range(kills):
            logs = await ReplicaMembers(5, 3, parse("", 5), seed).start()
            leader = await logs.leader()
            other = next(m for m in logs.members[3:])
            await other.call("propose", "before")
            await asyncio.sleep(random.Random(seed).uniform(0.0, 0.3))
            began = time.perf_counter()
            if what == "kill":
                leader.send_signal(signal.SIGKILL)
            elif what == "stop":
                leader.send_signal(signal.SIGSTOP)
            else:
                logs.streams.cut = {leader.number}
            while "index" not in await other.call("propose", "after", 0.2):
                pass
            took.append((time.perf_counter() - began) * 1e3)
            if what == "cut":
                await leader.until(lambda leader=leader: leader.events("replica_leader_changed", leader=None))
                steps.append((time.perf_counter() - began) * 1e3)
                logs.streams.cut = set()
            await logs.close()
        out[what] = {"answered elsewhere after ms": quantiles(took)} | (
            {"the old one has stepped down after ms": quantiles(steps)} if steps else {}
        )
    return out


def library() -> dict[str, Any]:
    """Return the syncs of pysyncobj's journal for 1,000 entries and 100 votes, and how many flipped bits it notices."""
    from pysyncobj.journal import FileJournal

    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "journal")
        with (
            mock.patch("os.fsync") as first,
            mock.patch("os.fdatasync") as second,
            mock.patch("pysyncobj.journal.ResizableFile.flush") as third,
        ):
            journal = FileJournal(path)
            began = time.perf_counter()
            for number in range(1_000):
                journal.add(b"\0" + b"x" * 100, number + 1, 1)
            took = time.perf_counter() - began
            for number in range(100):
                journal.setCurrentTerm(number, "c1")
            syncs = first.call_count + second.call_count + third.call_count
        journal._destroy()
        data = Path(path).read_bytes()
        draw, noticed, other = random.Random(1), 0, 0
        for _ in range(300):
            spoilt = bytearray(data)
            spoilt[draw.randrange(40, 1_000 * 125)] ^= 1 << draw.randrange(8)
            Path(path).write_bytes(spoilt)
            try:
                again = FileJournal(path)
                other += [one[0] for one in again] != [b"\0" + b"x" * 100] * 1_000
                again._destroy()
            except Exception:  # noqa: BLE001 - whatever it raises, it has noticed
                noticed += 1
    return {
        "syncs": syncs,
        "us an entry": round(took * 1e3, 1),
        "bits spoilt": 300,
        "noticed": noticed,
        "other commands read": other,
    }


def main() -> None:
    """Run the measurements asked for and print one JSON object."""
    parser = argparse.ArgumentParser()
    for name, value in (("runs", 200), ("jobs", 4), ("first", 0), ("kills", 10)):
        parser.add_argument(f"--{name}", type=int, default=value)
    parser.add_argument("--out", default="")
    options = parser.parse_args()
    out: dict[str, Any] = {}
    if options.runs:
        began = time.perf_counter()
        with ProcessPoolExecutor(options.jobs) as pool:
            rows = list(pool.map(seeded, range(options.first, options.first + options.runs)))
        ends: Counter[str] = Counter()
        counted: Counter[str] = Counter()
        for row in rows:
            ends.update(row["ends"])
            counted.update(row["counted"])
        out["runs"] = {
            "runs": len(rows),
            "bad": [row for row in rows if row["bad"]],
            "proposals": dict(ends),
            "counted": dict(counted),
            "took_s": round(time.perf_counter() - began),
        }
    out["library"] = library()
    out["sockets"] = asyncio.run(sockets())
    if options.kills:
        out["processes"] = asyncio.run(processes(options.kills))
    text = json.dumps(out, indent=1)
    print(text)
    if options.out:
        Path(options.out).write_text(text + "\n")


if __name__ == "__main__":
    main()
