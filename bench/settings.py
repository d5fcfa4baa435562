"""Measures agreed settings: contradictions over seeded runs, push to applied, versions as persistent maps or copies.

    python bench/settings.py contradictions [--runs 500] [--nodes 5,7,9] [--refuse]
    python bench/settings.py applied [--nodes 3,30,300]
    python bench/settings.py versions [--engines 10000]
    python bench/settings.py guard [--runs 2000]
    python bench/settings.py pace [--windows 40] [--rate 300]          windows with and without 1,200 pushes a minute
    python bench/settings.py held [--first 10000]                      what a push costs the event loop
    python bench/settings.py sockets [--runs 30] [--nodes 9]           processes of the program, cuts and stops
    python bench/settings.py explore [--limit 100000]

Each prints one JSON object. Emulator runs are by seed; those with processes depend on the machine.
"""

from __future__ import annotations

import asyncio
import base64
import gc
import json
import math
import os
import random
import selectors
import signal
import sys
import tempfile
import time
import tracemalloc
from collections import Counter, deque
from pathlib import Path
from statistics import median
from typing import Any

import click

sys.path[:0] = [os.path.join(os.path.dirname(__file__), ".."), os.path.join(os.path.dirname(__file__), "..", "tests")]

from frostspindle.lab import settings as playing  # noqa: E402
from frostspindle.lab.faults.script import parse  # noqa: E402
from frostspindle.settings.active_rules import RulesMode  # noqa: E402
from frostspindle.settings.agreement_settings import AgreementSettings  # noqa: E402
from frostspindle.settings.intersection import intersect, intersect_with_child  # noqa: E402
from frostspindle.settings.schema import Ban, Class, Engine, ListScope  # noqa: E402
from frostspindle.settings.version_encoding import pack_changes, split_into_pieces  # noqa: E402
from frostspindle.settings.versions import EMPTY_VERSION, diff_rules  # noqa: E402


def spread(values: list[float]) -> dict[str, float]:
    """Return the median, p90, p99 and most of the values; empty if there are none."""
    ranked = sorted(values)
    return (
        {
            name: round(ranked[min(len(ranked) - 1, int(part * len(ranked)))], 3)
            for name, part in (("median", 0.5), ("p90", 0.9), ("p99", 0.99), ("most", 1.0))
        }
        if ranked
        else {}
    )


@click.group()
def cli() -> None:
    """Measure agreed settings."""


@cli.command()
@click.option("--runs", default=500)
@click.option("--nodes", default="5,7,9")
@click.option("--seconds", default=25.0)
@click.option("--refuse", is_flag=True)
def contradictions(runs: int, nodes: str, seconds: float, refuse: bool) -> None:
    """Measure the longest contradiction over seeded runs under drawn faults."""
    counts, rows = [int(n) for n in nodes.split(",")], []
    for seed in range(runs):
        world = playing.play(
            counts[seed % len(counts)],
            seed,
            "drawn",
            seconds,
            terms=AgreementSettings(2_000.0, 0.01, 4_000.0, RulesMode.REJECT if refuse else "meet"),
        )
        rows.append(playing.measure(world))
    click.echo(
        json.dumps(
            {
                "runs": runs,
                "lease_ms": 2_000,
                "longest_contradiction_ms": spread([r["contradiction_ms"] for r in rows]),
                "runs_with_any": sum(r["contradiction_ms"] > 0 for r in rows),
                "blind_ms": spread([r["blind_ms"] for r in rows]),
                "runs_blind_past_a_lease": sum(r["blind_ms"] > 2_000 for r in rows),
                "versions": sum(r["versions"] for r in rows),
                "contradicting": sum(r["contradicting_versions"] for r in rows),
                "leaders": sum(r["leaders"] for r in rows),
                "stale_tokens": sum(r["stale_tokens"] for r in rows),
                "on_meet_share": spread([r["on_meet_share"] for r in rows]),
                "not_one_at_the_end": sum(len(r["lives_at_the_end"]) > 1 for r in rows),
            }
        )
    )


@cli.command()
@click.option("--nodes", default="3,30,300")
@click.option("--seconds", default=12.0)
def applied(nodes: str, seconds: float) -> None:
    """Measure the time from a push until all coordinators act on it, without faults; a message takes 0.5 ms."""
    out = {}
    for count in (int(n) for n in nodes.split(",")):
        began = time.perf_counter()
        world = playing.Emulator(count, 1, parse("", count), seconds, voters=3 if count < 5 else 5).run()
        figures = playing.measure(world)
        out[count] = {
            key: figures[key]
            for key in ("applied", "applied_ms_median", "applied_ms_most", "entries", "messages", "contradiction_ms")
        } | {"took_s": round(time.perf_counter() - began, 1)}
    click.echo(json.dumps(out))


@cli.command()
@click.option("--engines", default=10_000)
@click.option("--versions", "count", default=100)
def versions(engines: int, count: int) -> None:
    """Measure time and memory of a version that changes one entry, as a persistent map and as a copied dict."""
    rules: dict[str, Any] = {
        f"engine/http/e{n}": Engine(f"e{n}", f"10.0.{n // 250}.{n % 250}:80", zone=f"z{n % 4}") for n in range(engines)
    }
    rules["scope/http"] = ListScope()
    out: dict[str, Any] = {"engines": engines}

    def timed(name: str, work: Any, times: int = 1) -> Any:
        began = time.perf_counter()
        for _ in range(times):
            result = work()
        out[name + "_ms"] = round((time.perf_counter() - began) * 1e3 / times, 4)
        return result

    first = timed("first_version", lambda: EMPTY_VERSION.child(1, rules))
    timed("pack_whole", lambda: pack_changes(rules), 5)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = [first]
    for n in range(count):
        kept.append(kept[-1].child(n + 2, {f"ban/e{n}": Ban(f"e{n}")}))
    out["persistent_kb_a_version"] = round((tracemalloc.get_traced_memory()[0] - before) / count / 1024, 2)
    before = tracemalloc.get_traced_memory()[0]
    copies = [dict(first.rules)]
    for n in range(20):
        copies.append({**copies[-1], f"ban/e{n}": Ban(f"e{n}")})
    out["copied_kb_a_version"] = round((tracemalloc.get_traced_memory()[0] - before) / 21 / 1024, 1)
    tracemalloc.stop()
    timed("persistent_next", lambda: first.child(2, {"ban/e1": Ban("e1")}), 500)
    plain = copies[0]

    def copied() -> dict[str, Any]:
        made = dict(plain)
        made["ban/e1"] = Ban("e1")
        return made

    timed("copied_next", copied, 100)
    two = first.child(2, {"ban/e1": Ban("e1"), "engine/http/e5": None})
    timed("diff_by_walk", lambda: diff_rules(first.rules, two.rules), 20)
    timed("meet_whole", lambda: intersect(first.rules, two.rules), 10)
    timed("meet_of_neighbours", lambda: intersect_with_child(first.rules, two.rules, two.changes), 500)
    click.echo(json.dumps(out))


@cli.command()
@click.option("--runs", default=2_000)
def guard(runs: int) -> None:
    """Measure how often series without harm are called harmful, and how soon harm of a given size is found."""
    from test_settings import judge_windows, row

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
        verdict = judge_windows(
            [window(rate, trial % 2 == 1, size) for _ in range(30)],
            [window(rate, trial % 2 == 1, size) for _ in range(14)],
        )[0]
        called["bursts" if trial % 2 else "plain"] += verdict != "calm"
    found = {}
    for more in (0.02, 0.03, 0.05, 0.1, 0.3):
        verdicts = [
            judge_windows(
                [window(0.01, False, (60, 300)) for _ in range(30)],
                [window(0.01 + more, False, (60, 300)) for _ in range(14)],
            )
            for _ in range(60)
        ]
        ends = [at for verdict, at in verdicts if verdict != "calm"]
        found[f"failed +{more:.0%}"] = {"found": round(len(ends) / 60, 2), "windows": spread([float(e) for e in ends])}
    click.echo(json.dumps({"runs": runs, "called_harmful": dict(called), "found": found}))


@cli.command()
@click.option("--limit", default=100_000)
def explore(limit: int) -> None:
    """Search more orders of apply, keep, crash and publish for a fault than the tests do."""
    from settings_cluster import SettingsCluster
    from test_settings_agreement import model

    from frostspindle.lab.explore import explore as search

    for case in (
        (2, 2, 0, 0, 1, ""),
        (2, 1, 1, 0, 1, ""),
        (2, 1, 1, 1, 1, ""),
        (3, 1, 0, 0, 1, ""),
        (3, 1, 1, 0, 1, "c1"),
    ):
        world, steps, key = model(*case)
        began = time.perf_counter()
        found = search(world, steps, SettingsCluster.fault, limit, key=key)
        click.echo(
            json.dumps(
                {
                    "coordinators, ticks, crashes, grants, holds, unfit": case,
                    "states": found.states,
                    "whole": found.exhausted,
                    "depth": found.depth,
                    "fault": found.fault,
                    "took_s": round(time.perf_counter() - began, 1),
                }
            )
        )


class _Line(asyncio.Protocol):
    """One of the clients' connections; it has one request at a time."""

    def __init__(self, load: _Paced) -> None:
        from httptools import HttpResponseParser

        self.load, self.parser, self.body, self.due = load, HttpResponseParser(self), b"", 0.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.load.idle.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        if self in self.load.idle:
            self.load.idle.remove(self)

    def ask(self, due: float) -> None:
        self.due = due
        self.load.numbers += 1
        self.transport.write(
            b"POST /call/lookup HTTP/1.1\r\nHost: b\r\nX-Request-Id: %016x\r\nX-Timeout-Ms: 7000\r\n"
            b"X-Cost-Ms: 20\r\nX-Memory: 16\r\nContent-Length: 8\r\n\r\nSELECT 1" % self.load.numbers
        )

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.body = b""

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        if b'"next"' in self.body:
            self.transport.write(b"GET %b HTTP/1.1\r\nHost: b\r\n\r\n" % json.loads(self.body)["next"].encode())
        else:
            self.load.done(self)


class _Paced:
    """An open loop: requests are due at a fixed rate, whatever became of those before, and a request's time counts from
    when it was due, so that waiting for a connection or a late client is in it."""

    def __init__(self, rate: float, lines: int) -> None:
        self.rate, self.lines = rate, lines
        self.idle: deque[_Line] = deque()
        self.waiting: deque[float] = deque()
        self.numbers = int(time.time()) << 24
        self.rows: list[tuple[float, float, int]] = []

    def done(self, line: _Line) -> None:
        self.rows.append((line.due, time.time() - line.due, line.parser.get_status_code()))
        if self.waiting:
            line.ask(self.waiting.popleft())
        else:
            self.idle.append(line)

    async def run(self, port: int, at: float, seconds: float) -> int:
        await asyncio.sleep(max(0.0, at - 0.5 - time.time()))  # a connection on which nothing comes is ended soon
        for _ in range(self.lines):
            await asyncio.get_running_loop().create_connection(lambda: _Line(self), "127.0.0.1", port)
        total = int(seconds * self.rate)
        for number in range(total):
            due = at + number / self.rate
            if (left := due - time.time()) > 0.0:
                await asyncio.sleep(left)
            if self.idle:
                self.idle.popleft().ask(due)
            else:
                self.waiting.append(due)
        until = time.time() + 10.0
        while len(self.rows) < total and time.time() < until:
            await asyncio.sleep(0.01)
        return total


def _exactly(work: Any) -> Any:
    """Run with timers that are not rounded up to milliseconds, and no collector of garbage in between."""
    gc.disable()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selectors.SelectSelector())) as runner:
        return runner.run(work)


def paced_process(pipe: Any, port: int, rate: float, at: float, seconds: float) -> None:
    """Send requests at `rate` a second from Unix time `at` on; put their count and a row per answer into the pipe."""
    load = _Paced(rate, 64)
    pipe.send((_exactly(load.run(port, at, seconds)), load.rows))


def pushing_process(pipe: Any, desk: str, pushes: list[float], entries: int, listed: dict[str, int]) -> None:
    """Push versions at these times (Unix seconds); send counts by kind and outcome to the pipe.

    Half are valid, a quarter each broken and truncated; the outcome of each is asked for once. Each version has
    `entries` entries besides what changes. `listed`: engines and their ports; with any, all versions are valid.
    """
    pipe.send(_exactly(_pushing(desk, pushes, entries, listed)))


async def _pushing(desk: str, pushes: list[float], entries: int, listed: dict[str, int]) -> dict[str, int]:
    rng, told = random.Random(2), Counter[str]()
    base: dict[str, Any] = {f"ban/b{n}": Ban(f"b{n}") for n in range(entries)}
    if listed:
        base |= {
            f"engine/http/{name}": Engine(name, f"127.0.0.1:{port}", state="active" if port != 9 else "leaving")
            for name, port in listed.items()
        } | {"scope/http": ListScope()}

    async def call(text: str) -> str:
        reader, writer = await asyncio.open_unix_connection(desk)
        writer.write(text.encode() + b"\n")
        answer = await reader.read()
        writer.close()
        return answer.decode()

    async def push(number: int) -> None:
        rules: dict[str, Any] = {
            **base,
            f"ban/x{number % 7}": Ban(f"x{number % 7}", str(number)),
            f"drain/y{number % 5}": Ban(f"y{number % 5}"),
        }  # a push has the whole file
        if number % 4 == 0:
            rules["class/lookup"] = Class("lookup", 1_500.0 + number % 3)
        data, kind = pack_changes(rules), rng.choice(("valid", "valid", "broken", "cut short"))
        kind = "valid" if listed else kind
        data = data[:-2] + b"xx" if kind == "broken" else data[:-5] if kind == "cut short" else data
        told["pushes"] += 1
        pieces = split_into_pieces(data, 32_768)
        for at, piece in enumerate(pieces):
            answer = await call(f"settings-push p{number} {at}/{len(pieces)} {base64.b64encode(piece).decode()}")
            if answer.startswith("NAK"):
                told[f"{kind}, not taken"] += 1
                return
        await asyncio.sleep(1.0)
        answer = await call(f"settings-outcome p{number}")
        state = "not known any more" if answer.startswith("NAK") else json.loads(answer.splitlines()[0])["state"]
        told[f"{kind}, {'live' if state == 'proven' else state}"] += 1

    tasks = []
    for number, at in enumerate(pushes):
        await asyncio.sleep(max(0.0, at - time.time()))
        tasks.append(asyncio.create_task(push(number)))
    await asyncio.gather(*tasks)
    return dict(told)


def processor_s(pid: int) -> float:
    """Return the processor seconds that all threads of a process have used, from the scheduler's nanoseconds."""
    return (
        sum(
            int(Path(f"/proc/{pid}/task/{task}/schedstat").read_text().split()[0])
            for task in os.listdir(f"/proc/{pid}/task")
        )
        / 1e9
    )


OPERATOR = '[settings]\nfolder = "FOLDER/kept"\n'


@cli.command()
@click.option("--windows", default=40, help="Half of them with pushes, in an order that is drawn pair by pair.")
@click.option("--seconds", default=5.0, help="Of a window.")
@click.option("--rate", default=300.0, help="Requests a second, open loop.")
@click.option("--pushes", default=1_200.0, help="A minute, in windows that have them.")
@click.option("--delay-ms", default=20.0, help="Of each query at its engine.")
@click.option("--entries", default=0, help="Of each version, besides what changes.")
@click.option("--seed", default=1)
def pace(windows: int, seconds: float, rate: float, pushes: float, delay_ms: float, entries: int, seed: int) -> None:
    """Push valid, broken and truncated versions under a steady load, in windows among others without pushes.

    Clients, pushing client, stand-in engines and coordinator are processes of their own; the ratios' intervals are
    bootstrapped over pairs of windows.
    """
    from frostspindle.lab.bench import SPAWN, coordinator, engines
    from frostspindle.lab.engines import document, host
    from frostspindle.operator_client import call_operator

    rng, settle = random.Random(seed), 0.5  # the end of what the window before left is not measured
    pushed = [side for _ in range(windows // 2) for side in rng.sample((False, True), 2)]
    with (
        engines([f"s-{n}" for n in range(4)], delay_ms / 1e3, 2) as (ports, _),
        coordinator(document([host(name, port) for name, port in ports.items()]), 1, operator=OPERATOR) as (
            port,
            (desk, pid),
        ),
    ):
        start = time.time() + 3.0
        begins = [start + 1.0 + n * seconds for n in range(windows)]
        plan = [
            begin + k * 60.0 / pushes
            for begin, side in zip(begins, pushed, strict=True)
            if side
            for k in range(int(seconds * pushes / 60.0))
        ]
        pipes = []
        for target, args in (
            (paced_process, (port, rate, start, 1.0 + windows * seconds)),
            (pushing_process, (desk, plan, entries, {})),
        ):
            here, there = SPAWN.Pipe()
            SPAWN.Process(target=target, args=(there, *args), daemon=True).start()
            pipes.append(here)
        cpu, lasts, load = [], [], []
        for begin in begins:
            time.sleep(max(0.0, begin + settle - time.time()))
            before, last = processor_s(pid), json.loads(call_operator(desk, "show-settings").splitlines()[0])["last"]
            time.sleep(max(0.0, begin + seconds - time.time()))
            cpu.append(processor_s(pid) - before)
            lasts.append(json.loads(call_operator(desk, "show-settings").splitlines()[0])["last"] - last)
            load.append(os.getloadavg()[0])
        total, rows = pipes[0].recv()
        outcomes = pipes[1].recv()
    cells: list[list[float]] = [[] for _ in begins]
    for due, took, _ in rows:
        place, into = divmod(due - begins[0], seconds)
        if 0 <= place < windows and into >= settle:
            cells[int(place)].append(took * 1e3)
    for cell in cells:
        cell.sort()
    pairs = []  # with and without pushes
    for n in range(0, windows, 2):
        pairs.append((n, n + 1) if pushed[n] else (n + 1, n))

    def part(of: float) -> Any:
        def told(places: list[int]) -> float:
            ranked = sorted(x for place in places for x in cells[place])
            return ranked[min(len(ranked) - 1, int(of * len(ranked)))]

        return told

    def cpu_ms(places: list[int]) -> float:
        return 1e3 * sum(cpu[p] for p in places) / sum(len(cells[p]) for p in places)

    out = {}
    for name, figure in (("p50_ms", part(0.5)), ("p99_ms", part(0.99)), ("cpu_ms_a_request", cpu_ms)):
        drawn = []
        for _ in range(400):
            some = [rng.choice(pairs) for _ in pairs]
            drawn.append(figure([w for w, _ in some]) / figure([o for _, o in some]))
        drawn.sort()
        low, high = drawn[10], drawn[389]
        # A burst of other work spoils one window: the median over pairs hardly sees it.
        ratios = sorted(figure([w]) / figure([o]) for w, o in pairs)
        medians = sorted(median(rng.choices(ratios, k=len(ratios))) for _ in range(2_000))
        calm = [o for _, o in pairs]
        rng.shuffle(calm)
        out[name] = {
            "with": round(figure([w for w, _ in pairs]), 3),
            "without": round(figure(calm), 3),
            "ratio": round(figure([w for w, _ in pairs]) / figure(calm), 4),
            "interval_95": [round(low, 4), round(high, 4)],
            "median_of_pairs": [round(x, 4) for x in (median(ratios), medians[50], medians[1949])],
            # windows without against windows without: what the machine alone makes of it
            "null": round(figure(calm[::2]) / figure(calm[1::2]), 4),
            # so many would make the interval of the median 2% to either side
            "windows_for_2%": max(2, math.ceil(windows * ((medians[1949] - medians[50]) / 2.0 / 0.02) ** 2)),
        }
    measured_s = (seconds - settle) * windows / 2
    click.echo(
        json.dumps(
            {
                "windows": windows,
                "seconds": seconds,
                "requests_a_second": rate,
                "requests": total,
                "answers": len(rows),
                "statuses": dict(Counter(status for _, _, status in rows)),
                **out,
                "pushes_a_minute": round(len(plan) / (seconds * windows / 2) * 60.0),
                "outcomes": outcomes,
                "versions_a_minute": round(
                    sum(n for n, side in zip(lasts, pushed, strict=True) if side) / measured_s * 60.0
                ),
                "core_share": {
                    name: round(sum(cpu[p[side]] for p in pairs) / measured_s, 3)
                    for side, name in enumerate(("with", "without"))
                },
                "load_average": [round(min(load), 1), round(max(load), 1)],
            }
        )
    )


# Runs the program with each turn of a callback in the event loop timed; a signal has the table written and begun anew.
HELD = """
import asyncio.events, json, os, signal, sys, time
table, run = {}, asyncio.events.Handle._run
def timed(handle):
    call = handle._callback
    of = getattr(call, "__self__", None)
    name = of.get_coro().__qualname__ if hasattr(of, "get_coro") else getattr(call, "__qualname__", repr(call))
    began, wall = time.thread_time(), time.perf_counter()
    run(handle)
    took, wall = time.thread_time() - began, time.perf_counter() - wall
    row = table.setdefault(name, [0, 0.0, 0.0, 0.0])
    row[0] += 1; row[1] += took; row[2] = max(row[2], took); row[3] = max(row[3], wall)
def dump(*_):
    with open(sys.argv[1] + ".new", "w") as out:
        json.dump(table, out)
    table.clear()
    os.rename(sys.argv[1] + ".new", sys.argv[1])
asyncio.events.Handle._run = timed
signal.signal(signal.SIGRTMIN + 1, dump)
from frostspindle.serving import serve
sys.exit(serve())
"""


@cli.command()
@click.option("--seconds", default=8.0)
@click.option("--pushes", default=1_200.0, help="A minute.")
@click.option("--entries", default=0, help="Of each version, besides what changes.")
@click.option("--rate", default=100.0, help="Requests a second meanwhile.")
@click.option("--first", default=0, help="Instead of pushes one first version of so many engines.")
def held(seconds: float, pushes: float, entries: int, rate: float, first: int) -> None:
    """Measure what a push costs the event loop, by callback: processor ms above the same time without pushes."""
    from frostspindle.lab.bench import SPAWN, coordinator, engines
    from frostspindle.lab.engines import document, host

    def started(target: Any, *args: Any) -> Any:
        here, there = SPAWN.Pipe()
        SPAWN.Process(target=target, args=(there, *args), daemon=True).start()
        return here

    with tempfile.TemporaryDirectory() as folder, engines(["s-0"], 0.02) as (ports, _):
        path = Path(folder, "table")
        with coordinator(
            document([host("s-0", ports["s-0"])]), 1, operator=OPERATOR, program=("-c", HELD, str(path))
        ) as (port, (desk, pid)):

            def table() -> dict[str, list[float]]:
                os.kill(pid, signal.SIGRTMIN + 1)
                while not path.exists():
                    time.sleep(0.01)
                rows = json.loads(path.read_text())
                path.unlink()
                return dict(rows)

            at = time.time() + 2.0
            load = started(paced_process, port, rate, at, 2.0 * seconds + 4.0)
            pushing = started(
                pushing_process,
                desk,
                [at + seconds + 3.0]
                if first
                else [at + seconds + 3.0 + k * 60.0 / pushes for k in range(int(seconds * pushes / 60.0))],
                entries,
                {"s-0": ports["s-0"], **{f"n{n}": 9 for n in range(first - 1)}} if first else {},
            )
            time.sleep(at + 2.0 - time.time())
            table()
            time.sleep(seconds)
            calm, before = table(), processor_s(pid)
            told = pushing.recv()
            cpu, busy = processor_s(pid) - before, table()
            load.recv()
    count, times = told["pushes"], (seconds + 2.0) / seconds
    rows = {
        name: (
            1e3 * (row[1] - calm.get(name, [0, 0.0])[1] * times) / count,
            (row[0] - calm.get(name, [0])[0] * times) / count,
            1e3 * row[2],
            1e3 * row[3],
        )
        for name, row in busy.items()
    }
    click.echo(
        json.dumps(
            {
                "pushes": told,
                "loop_ms_a_push": round(sum(row[0] for row in rows.values()), 3),
                "cpu_s": round(cpu, 2),
                "loop_ms_a_second_without": round(1e3 * sum(row[1] for row in calm.values()) / seconds, 2),
                "longest_ms": {
                    name: round(row[2], 2) for name, row in sorted(rows.items(), key=lambda x: -x[1][2])[:8]
                },
                "longest_ms_without": round(1e3 * max(row[2] for row in calm.values()), 2),
                "ms_a_push": {
                    name: [round(row[0], 4), round(row[1], 2)]
                    for name, row in sorted(rows.items(), key=lambda item: -item[1][0])[:14]
                },
            }
        )
    )


@cli.command()
@click.option("--runs", default=30)
@click.option("--nodes", default=9)
@click.option("--seconds", default=20.0)
def sockets(runs: int, nodes: int, seconds: float) -> None:
    """Run processes of the program under cuts and stops: longest contradiction by their logs, push to applied."""
    for seed in range(runs):
        click.echo(json.dumps(asyncio.run(_sockets(seed, nodes, seconds))))


async def _sockets(seed: int, nodes: int, seconds: float) -> dict[str, Any]:
    from frostspindle.lab.faults.settled import SettingsFleet, boot_ms

    rng = random.Random(seed)
    world = await SettingsFleet(nodes, 3, parse("", nodes), seed, engines=1).start()
    pushes: list[tuple[int, float, float]] = []
    try:
        await world.publisher()
        for quiet in range(3):  # push to applied before any fault
            began = boot_ms()
            code, _ = await world.processes[quiet].command(
                "push", world.file(f'[[ban]]\nengine = "q{quiet}"\n'), "--wait", "20"
            )
            if code == 0:
                for process in world.processes:
                    await process.wait_for_version(quiet + 1)
                line = max(p.current_rules()["mono_ms"] for p in world.processes)
                pushed = min(
                    x["mono_ms"]
                    for p in world.processes
                    for x in p.events("settings_history_recorded", what="published", version=quiet + 1)
                )
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
                await asyncio.wait_for(
                    rng.choice([p for p in world.processes if p not in stopped]).command(
                        "push", world.file(f'[[ban]]\nengine = "{name}"\nwhy = "{number}"\n'), "--wait", "2"
                    ),
                    30.0,
                )
            await asyncio.sleep(rng.uniform(0.2, 1.5))
        world.streams.cut = set()
        for process in world.processes:
            process.send_signal(signal.SIGCONT)
        await asyncio.sleep(2.0)
        found = world.audit()
        versions = {x["version"] for p in world.processes for x in p.events("settings_history_recorded", what="live")}
        meets = sum(
            x["mode"] == "meet" and x["why"] == "alone"
            for p in world.processes
            for x in p.events("settings_rules_activated")
        )
        return {
            "seed": seed,
            "nodes": nodes,
            "lease_ms": 1_000,
            "contradiction_ms": round(found.longest_ms, 3),
            "whole_ms": round(found.total_ms, 3),
            "live_versions": len(versions),
            "leases_lost": meets,
            "command_to_applied_ms": [round(x[1], 1) for x in pushes],
            "published_to_applied_ms": [round(x[2], 1) for x in pushes],
            "faults": sum(len(p.events("exception_caught")) for p in world.processes),
        }
    finally:
        await world.close()


if __name__ == "__main__":
    cli()
