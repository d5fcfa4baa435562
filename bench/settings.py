"""Measures agreed settings: contradictions over seeded runs, push to applied, versions as persistent maps or copies.

    python bench/settings.py contradictions [--runs 500] [--nodes 5,7,9] [--refuse]
    python bench/settings.py applied [--nodes 3,30,300]
    python bench/settings.py versions [--engines 10000]
    python bench/settings.py guard [--runs 2000]
    python bench/settings.py flood [--seconds 60] [--rate 16.7]        a process of the program, with and without pushes
    python bench/settings.py sockets [--runs 30] [--nodes 9]           processes of the program, cuts and stops
    python bench/settings.py explore [--limit 100000]

Each prints one JSON object. Emulator runs are by seed; those with processes depend on the machine.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import time
import tracemalloc
from collections import Counter
from typing import Any

import click

sys.path[:0] = [os.path.join(os.path.dirname(__file__), ".."), os.path.join(os.path.dirname(__file__), "..", "tests")]

from frostspindle.lab import settings as playing  # noqa: E402
from frostspindle.lab.faults.script import parse  # noqa: E402
from frostspindle.settings.deciding import REFUSE, Terms  # noqa: E402
from frostspindle.settings.meet import adjacent, meet  # noqa: E402
from frostspindle.settings.schema import Ban, Engine, Scope  # noqa: E402
from frostspindle.settings.versions import EMPTY, diff, pack  # noqa: E402


def spread(values: list[float]) -> dict[str, float]:
    """Median, p90, p99 and the most."""
    ranked = sorted(values)
    return {name: round(ranked[min(len(ranked) - 1, int(part * len(ranked)))], 3) for name, part in (
        ("median", 0.5), ("p90", 0.9), ("p99", 0.99), ("most", 1.0))} if ranked else {}


@click.group()
def cli() -> None:
    """Measures agreed settings."""


@cli.command()
@click.option("--runs", default=500)
@click.option("--nodes", default="5,7,9")
@click.option("--seconds", default=25.0)
@click.option("--refuse", is_flag=True)
def contradictions(runs: int, nodes: str, seconds: float, refuse: bool) -> None:
    """The longest contradiction over seeded runs under drawn faults."""
    counts, rows = [int(n) for n in nodes.split(",")], []
    for seed in range(runs):
        world = playing.play(counts[seed % len(counts)], seed, "drawn", seconds,
                             terms=Terms(2_000.0, 0.01, 4_000.0, REFUSE if refuse else "meet"))
        rows.append(playing.measure(world))
    click.echo(json.dumps({
        "runs": runs, "lease_ms": 2_000, "longest_contradiction_ms": spread([r["contradiction_ms"] for r in rows]),
        "runs_with_any": sum(r["contradiction_ms"] > 0 for r in rows),
        "blind_ms": spread([r["blind_ms"] for r in rows]), "runs_blind_past_a_lease": sum(
            r["blind_ms"] > 2_000 for r in rows),
        "versions": sum(r["versions"] for r in rows),
        "contradicting": sum(r["contradicting_versions"] for r in rows), "leaders": sum(r["leaders"] for r in rows),
        "stale_tokens": sum(r["stale_tokens"] for r in rows),
        "on_meet_share": spread([r["on_meet_share"] for r in rows]),
        "not_one_at_the_end": sum(len(r["lives_at_the_end"]) > 1 for r in rows)}))


@cli.command()
@click.option("--nodes", default="3,30,300")
@click.option("--seconds", default=12.0)
def applied(nodes: str, seconds: float) -> None:
    """From a push to the last coordinator that acts on it plainly, without faults; messages take 0.5 ms."""
    out = {}
    for count in (int(n) for n in nodes.split(",")):
        began = time.perf_counter()
        world = playing.Emulator(count, 1, parse("", count), seconds, voters=3 if count < 5 else 5).run()
        figures = playing.measure(world)
        out[count] = {key: figures[key] for key in ("applied", "applied_ms_median", "applied_ms_most", "entries",
                                                    "messages", "contradiction_ms")} | {
            "took_s": round(time.perf_counter() - began, 1)}
    click.echo(json.dumps(out))


@cli.command()
@click.option("--engines", default=10_000)
@click.option("--versions", "count", default=100)
def versions(engines: int, count: int) -> None:
    """Time and memory a version that changes one entry, persistent against copied dicts."""
    rules: dict[str, Any] = {f"engine/http/e{n}": Engine(f"e{n}", f"10.0.{n // 250}.{n % 250}:80", zone=f"z{n % 4}")
                             for n in range(engines)}
    rules["scope/http"] = Scope()
    out: dict[str, Any] = {"engines": engines}

    def timed(name: str, work: Any, times: int = 1) -> Any:
        began = time.perf_counter()
        for _ in range(times):
            result = work()
        out[name + "_ms"] = round((time.perf_counter() - began) * 1e3 / times, 4)
        return result

    first = timed("first_version", lambda: EMPTY.next(1, rules))
    timed("pack_whole", lambda: pack(rules), 5)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [first]
    for n in range(count):
        kept.append(kept[-1].next(n + 2, {f"ban/e{n}": Ban(f"e{n}")}))
    out["persistent_kb_a_version"] = round((tracemalloc.get_traced_memory()[0] - before) / count / 1024, 2)
    before = tracemalloc.get_traced_memory()[0]
    copies = [dict(first.rules)]
    for n in range(20):
        copies.append({**copies[-1], f"ban/e{n}": Ban(f"e{n}")})
    out["copied_kb_a_version"] = round((tracemalloc.get_traced_memory()[0] - before) / 21 / 1024, 1)
    tracemalloc.stop()
    timed("persistent_next", lambda: first.next(2, {"ban/e1": Ban("e1")}), 500)
    plain = copies[0]

    def copied() -> dict[str, Any]:
        made = dict(plain)
        made["ban/e1"] = Ban("e1")
        return made
    timed("copied_next", copied, 100)
    two = first.next(2, {"ban/e1": Ban("e1"), "engine/http/e5": None})
    timed("diff_by_walk", lambda: diff(first.rules, two.rules), 20)
    timed("meet_whole", lambda: meet(first.rules, two.rules), 10)
    timed("meet_of_neighbours", lambda: adjacent(first.rules, two.rules, two.changes), 500)
    click.echo(json.dumps(out))


@cli.command()
@click.option("--runs", default=2_000)
def guard(runs: int) -> None:
    """How often calm series are called harmful, and how soon harm of a size is found."""
    from test_settings import played, row

    rng = random.Random(11)

    def hits(count: int, rate: float) -> int:
        return sum(rng.random() < rate for _ in range(count))

    def window(rate: float, burst: bool, size: tuple[int, int]) -> list[int]:
        count = rng.randrange(*size)
        fails = hits(count, rate * (6.0 if burst and rng.random() < 0.15 else 1.0))
        return row(count, fails, fails // 2, hits(count, 0.01))

    called: Counter[str] = Counter()
    for trial in range(runs):
        rate, size = rng.choice((0.002, 0.02, 0.1)), rng.choice(((20, 60), (60, 300), (300, 600)))
        verdict = played([window(rate, trial % 2 == 1, size) for _ in range(30)],
                         [window(rate, trial % 2 == 1, size) for _ in range(14)])[0]
        called["bursts" if trial % 2 else "plain"] += verdict != "calm"
    found = {}
    for more in (0.02, 0.03, 0.05, 0.1, 0.3):
        verdicts = [played([window(0.01, False, (60, 300)) for _ in range(30)],
                           [window(0.01 + more, False, (60, 300)) for _ in range(14)]) for _ in range(60)]
        ends = [at for verdict, at in verdicts if verdict != "calm"]
        found[f"failed +{more:.0%}"] = {"found": round(len(ends) / 60, 2), "windows": spread([float(e) for e in ends])}
    click.echo(json.dumps({"runs": runs, "called_harmful": dict(called), "found": found}))


@cli.command()
@click.option("--limit", default=100_000)
def explore(limit: int) -> None:
    """Longer searches of every order of apply, keep, crash and publish than the tests make."""
    from agreeing import World
    from test_settings_agreement import model

    from frostspindle.lab.explore import explore as search

    for case in ((2, 2, 0, 0, 1, ""), (2, 1, 1, 0, 1, ""), (2, 1, 1, 1, 1, ""), (3, 1, 0, 0, 1, ""),
                 (3, 1, 1, 0, 1, "c1")):
        world, steps, key = model(*case)
        began = time.perf_counter()
        found = search(world, steps, World.fault, limit, key=key)
        click.echo(json.dumps({"coordinators, ticks, crashes, grants, holds, unfit": case, "states": found.states,
                               "whole": found.exhausted, "depth": found.depth, "fault": found.fault,
                               "took_s": round(time.perf_counter() - began, 1)}))


@cli.command()
@click.option("--seconds", default=60.0)
@click.option("--rate", default=1_000 / 60.0)
@click.option("--clients", default=16)
def flood(seconds: float, rate: float, clients: int) -> None:
    """Versions of valid, broken and truncated kinds at a coordinator under load, against the same time without."""
    click.echo(json.dumps(asyncio.run(_flood(seconds, rate, clients))))


async def _flood(seconds: float, rate: float, clients: int) -> dict[str, Any]:
    import base64

    from test_settings_processes import call

    from frostspindle.caller import operate
    from frostspindle.lab.faults.settled import Agreeing
    from frostspindle.settings.versions import cut

    world = await Agreeing(1, 1, parse("", 1), 3, delay_s=0.02).start()
    c0, out = world.processes[0], {}
    try:
        for name in ("calm", "flood", "calm_again"):
            ended, statuses, times = asyncio.Event(), Counter[int](), list[float]()

            async def client(number: int, ended: Any = ended, statuses: Any = statuses, times: Any = times) -> None:
                place = 0
                while not ended.is_set():
                    place += 1
                    began = time.perf_counter()
                    statuses[await call(c0.http, (number << 32) + place + int(time.time()) % 1_000 * 1_000_000)] += 1
                    times.append((time.perf_counter() - began) * 1e3)

            tasks = [asyncio.create_task(client(n + 1)) for n in range(clients)]
            pushed: Counter[str] = Counter()
            until, number, rng = time.monotonic() + seconds, 0, random.Random(2)
            while time.monotonic() < until:
                await asyncio.sleep(1.0 / rate)
                if name == "flood":
                    number += 1
                    data = pack({f"ban/x{number % 7}": Ban(f"x{number % 7}", str(number))})
                    kind = rng.choice(("valid", "valid", "broken", "truncated"))
                    if kind == "broken":
                        data = data[:-2] + b"xx"
                    elif kind == "truncated":
                        data = data[:-5]
                    text = f"settings-push p{number} 0/1 {base64.b64encode(cut(data)[0]).decode()}"
                    answer = await asyncio.to_thread(operate, ("127.0.0.1", c0.desk), text)
                    pushed[kind + (" refused" if answer.startswith("NAK") else "")] += 1
            ended.set()
            await asyncio.gather(*tasks)
            figures = await c0.figures("show-settings")
            out[name] = {"statuses": dict(statuses), "ms": spread(times), "pushed": dict(pushed),
                         "versions": figures["last"], "counts": figures["counts"]}
    finally:
        await world.close()
    return out


@cli.command()
@click.option("--runs", default=30)
@click.option("--nodes", default=9)
@click.option("--seconds", default=20.0)
def sockets(runs: int, nodes: int, seconds: float) -> None:
    """Processes of the program under cuts and stops: the longest contradiction by their logs, push to applied."""
    for seed in range(runs):
        click.echo(json.dumps(asyncio.run(_sockets(seed, nodes, seconds))))


async def _sockets(seed: int, nodes: int, seconds: float) -> dict[str, Any]:
    from frostspindle.lab.faults.settled import Agreeing, boot_ms

    rng = random.Random(seed)
    world = await Agreeing(nodes, 3, parse("", nodes), seed, engines=1).start()
    pushes: list[tuple[int, float, float]] = []
    try:
        await world.publisher()
        for quiet in range(3):  # push to applied before any fault
            began = boot_ms()
            code, _ = await world.processes[quiet].command(
                "push", world.file(f'[[ban]]\nengine = "q{quiet}"\n'), "--wait", "20")
            if code == 0:
                for process in world.processes:
                    await process.plain(quiet + 1)
                line = max(p.acts()["mono_ms"] for p in world.processes)
                pushed = min(x["mono_ms"] for p in world.processes for x in p.events("settings_news", what="published",
                                                                                     version=quiet + 1))
                pushes.append((quiet + 1, line - began, line - pushed))
        until, number = time.monotonic() + seconds, 0
        stopped: list[Any] = []
        while time.monotonic() < until:
            number += 1
            target = rng.choice(world.processes)
            what = rng.choice(("cut", "cut", "stop", "stop", "heal", "push", "push", "push"))
            if what == "cut":
                world.streams.cut = set(rng.sample(range(nodes), rng.randrange(1, nodes // 2)))
            elif what == "stop" and len(stopped) < nodes // 3:
                target.send_signal(signal.SIGSTOP)
                stopped.append(target)
            elif what == "heal":
                world.streams.cut = set()
                for process in stopped:
                    process.send_signal(signal.SIGCONT)
                stopped = []
            elif what == "push":
                name = f"e{rng.randrange(4)}"
                await asyncio.wait_for(rng.choice([p for p in world.processes if p not in stopped]).command(
                    "push", world.file(f'[[ban]]\nengine = "{name}"\nwhy = "{number}"\n'), "--wait", "2"), 30.0)
            await asyncio.sleep(rng.uniform(0.2, 1.5))
        world.streams.cut = set()
        for process in world.processes:
            process.send_signal(signal.SIGCONT)
        await asyncio.sleep(2.0)
        found = world.found()
        versions = {x["version"] for p in world.processes for x in p.events("settings_news", what="live")}
        meets = sum(x["mode"] == "meet" and x["why"] == "alone" for p in world.processes
                    for x in p.events("settings_acting"))
        return {"seed": seed, "nodes": nodes, "lease_ms": 1_000, "contradiction_ms": round(found.longest_ms, 3),
                "whole_ms": round(found.whole_ms, 3), "live_versions": len(versions), "leases_lost": meets,
                "command_to_applied_ms": [round(x[1], 1) for x in pushes],
                "published_to_applied_ms": [round(x[2], 1) for x in pushes],
                "faults": sum(len(p.events("fault")) for p in world.processes)}
    finally:
        await world.close()


if __name__ == "__main__":
    cli()
