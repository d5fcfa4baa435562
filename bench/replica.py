"""Measures the replicated log: seeded runs in simulated time, processes on sockets, and the library's journal.

    python bench/replica.py [--runs 200] [--jobs 4] [--first 0] [--kills 10] [--out FILE]

Prints one JSON object. `runs`: violations under drawn faults. `sockets`: one process with five members, so CPU times
and turns are upper bounds. `processes`: time from a leader's kill -9, SIGSTOP or isolation to the first proposal that
another member answers. `library`: syncs of pysyncobj's journal, and the corruption that it detects.
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


def run_seed(seed: int) -> dict[str, Any]:
    """Run the log under drawn faults in simulated time; return violations, outcomes of proposals and counters."""
    nodes, voters = ((5, 3), (5, 5), (3, 3))[seed % 3]
    run = Run(seed, nodes=nodes, voters=voters)
    outcomes = Counter(type(answers[0]).__name__ for answers in run.answers.values() if answers)
    counters: Counter[str] = Counter({"journals lost": run.lost, "votes again": len(run.lab.notices)})
    for node in run.lab.nodes:
        if node.member is not None:
            counters += node.member.counters
    return {"seed": seed, "bad": run.bad[:3], "ends": dict(outcomes), "counted": dict(counters), "script": run.script}


def quantiles(values: list[float]) -> dict[str, float]:
    """Return the median, p99, maximum and count of values; raise IndexError if there are none."""
    values = sorted(values)
    return {
        "p50": round(values[len(values) // 2], 2),
        "p99": round(values[int(len(values) * 0.99)], 2),
        "most": round(values[-1], 2),
        "of": len(values),
    }


def cpu_used_s() -> float:
    """Return the CPU seconds, user and system, that this process has used so far."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


async def run_members() -> dict[str, Any]:
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
        result: dict[str, Any] = {}
        for name, log in (("at the leader", leader), ("at a follower", logs[4])):
            latencies_ms = []
            for number in range(400):
                started = time.perf_counter()
                await log.propose("t", b"%100d" % number, 10.0)
                latencies_ms.append((time.perf_counter() - started) * 1e3)
            result[f"one after another, ms, {name}"] = quantiles(latencies_ms)
        for log in logs:
            log.longest_slice_s = 0.0
        started, cpu_before = time.perf_counter(), cpu_used_s()
        batches, batch_size = 20, 1_000

        async def propose_in_turn(number: int) -> None:
            for _ in range(batches * batch_size // 200):
                await logs[number % 5].propose("t", b"x" * 100, 20.0)

        await asyncio.gather(*(propose_in_turn(number) for number in range(200)))
        elapsed_s = time.perf_counter() - started
        result["200 at once"] = {
            "a second": round(batches * batch_size / elapsed_s),
            "cpu_us an entry, all five": round((cpu_used_s() - cpu_before) * 1e6 / (batches * batch_size)),
            "longest turn, cpu ms": round(max(log.longest_slice_s for log in logs) * 1e3, 1),
            "syncs": leader.counters["syncs"],
            "longest sync ms": round(max(log.worst_sync_s for log in logs) * 1e3, 1),
        }
        cpu_before, started = cpu_used_s(), time.perf_counter()
        await asyncio.sleep(10.0)
        result["idle, cpu ms a second a member"] = round(
            (cpu_used_s() - cpu_before) * 1e3 / (time.perf_counter() - started) / 5, 2
        )
        for log in logs:
            await log.close()
        return result


async def measure_failover(kills: int) -> dict[str, Any]:
    """Kill, stop or isolate the leader of five processes, `kills` times each.

    Return the times (ms) until another member answers a proposal and, if isolated, until the old leader steps down.
    """
    result: dict[str, Any] = {}
    for fault in ("kill", "stop", "cut"):
        failover_ms: list[float] = []
        step_down_ms: list[float] = []
        for seed in range(kills):
            logs = await ReplicaMembers(5, 3, parse("", 5), seed).start()
            leader = await logs.leader()
            other = next(member for member in logs.members[3:])
            await other.call("propose", "before")
            await asyncio.sleep(random.Random(seed).uniform(0.0, 0.3))
            started = time.perf_counter()
            if fault == "kill":
                leader.send_signal(signal.SIGKILL)
            elif fault == "stop":
                leader.send_signal(signal.SIGSTOP)
            else:
                logs.streams.cut = {leader.number}
            while "index" not in await other.call("propose", "after", 0.2):
                pass
            failover_ms.append((time.perf_counter() - started) * 1e3)
            if fault == "cut":
                await leader.until(lambda leader=leader: leader.events("replica_leader_changed", leader=None))
                step_down_ms.append((time.perf_counter() - started) * 1e3)
                logs.streams.cut = set()
            await logs.close()
        result[fault] = {"answered elsewhere after ms": quantiles(failover_ms)} | (
            {"the old one has stepped down after ms": quantiles(step_down_ms)} if step_down_ms else {}
        )
    return result


def measure_library() -> dict[str, Any]:
    """Return the syncs of pysyncobj's journal for 1,000 entries and 100 votes, and the flipped bits that it detects."""
    from pysyncobj.journal import FileJournal

    with tempfile.TemporaryDirectory() as folder:
        path = os.path.join(folder, "journal")
        with (
            mock.patch("os.fsync") as fsync,
            mock.patch("os.fdatasync") as fdatasync,
            mock.patch("pysyncobj.journal.ResizableFile.flush") as flush,
        ):
            journal = FileJournal(path)
            started = time.perf_counter()
            for number in range(1_000):
                journal.add(b"\0" + b"x" * 100, number + 1, 1)
            elapsed_s = time.perf_counter() - started
            for number in range(100):
                journal.setCurrentTerm(number, "c1")
            syncs = fsync.call_count + fdatasync.call_count + flush.call_count
        journal._destroy()
        data = Path(path).read_bytes()
        rng, noticed, different = random.Random(1), 0, 0
        for _ in range(300):
            corrupted = bytearray(data)
            corrupted[rng.randrange(40, 1_000 * 125)] ^= 1 << rng.randrange(8)
            Path(path).write_bytes(corrupted)
            try:
                reopened = FileJournal(path)
                different += [entry[0] for entry in reopened] != [b"\0" + b"x" * 100] * 1_000
                reopened._destroy()
            except Exception:  # noqa: BLE001 - any exception counts as detection
                noticed += 1
    return {
        "syncs": syncs,
        "us an entry": round(elapsed_s * 1e3, 1),
        "bits spoilt": 300,
        "noticed": noticed,
        "other commands read": different,
    }


def main() -> None:
    """Run the selected measurements and print one JSON object."""
    parser = argparse.ArgumentParser()
    for name, value in (("runs", 200), ("jobs", 4), ("first", 0), ("kills", 10)):
        parser.add_argument(f"--{name}", type=int, default=value)
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    result: dict[str, Any] = {}
    if args.runs:
        started = time.perf_counter()
        with ProcessPoolExecutor(args.jobs) as pool:
            rows = list(pool.map(run_seed, range(args.first, args.first + args.runs)))
        outcomes: Counter[str] = Counter()
        counters: Counter[str] = Counter()
        for row in rows:
            outcomes.update(row["ends"])
            counters.update(row["counted"])
        result["runs"] = {
            "runs": len(rows),
            "bad": [row for row in rows if row["bad"]],
            "proposals": dict(outcomes),
            "counted": dict(counters),
            "took_s": round(time.perf_counter() - started),
        }
    result["library"] = measure_library()
    result["sockets"] = asyncio.run(run_members())
    if args.kills:
        result["processes"] = asyncio.run(measure_failover(args.kills))
    text = json.dumps(result, indent=1)
    print(text)
    if args.out:
        Path(args.out).write_text(text + "\n")


if __name__ == "__main__":
    main()
