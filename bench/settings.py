"""Measures replicated settings: contradictions in seeded runs, push to applied, versions as persistent maps or copies.

    python bench/settings.py contradictions [--runs 500] [--nodes 5,7,9] [--refuse]
    python bench/settings.py applied [--nodes 3,30,300]
    python bench/settings.py versions [--engines 10000]
    python bench/settings.py guard [--runs 2000]
    python bench/settings.py pace [--windows 40] [--rate 300]          windows with and without 1,200 pushes a minute
    python bench/settings.py held [--first 10000]                      CPU time of a push in the event loop
    python bench/settings.py sockets [--runs 30] [--nodes 9]           processes of the program under cuts and stops
    python bench/settings.py explore [--limit 100000]

Each prints one JSON object. Emulator runs depend only on the seed; runs with processes depend on the machine.
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

from frostspindle.lab import settings as emulation  # noqa: E402
from frostspindle.lab.faults.script import parse  # noqa: E402
from frostspindle.settings.active_rules import RulesMode  # noqa: E402
from frostspindle.settings.agreement_settings import AgreementSettings  # noqa: E402
from frostspindle.settings.intersection import intersect, intersect_with_child  # noqa: E402
from frostspindle.settings.schema import Ban, Class, Engine, ListScope  # noqa: E402
from frostspindle.settings.version_encoding import pack_changes, split_into_pieces  # noqa: E402
from frostspindle.settings.versions import EMPTY_VERSION, diff_rules  # noqa: E402


def percentiles(values: list[float]) -> dict[str, float]:
    """Return the median, p90, p99 and maximum of the values, or an empty dict for no values."""
    ranked = sorted(values)
    return (
        {
            name: round(ranked[min(len(ranked) - 1, int(fraction * len(ranked)))], 3)
            for name, fraction in (("median", 0.5), ("p90", 0.9), ("p99", 0.99), ("most", 1.0))
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
    node_counts, rows = [int(n) for n in nodes.split(",")], []
    for seed in range(runs):
        world = emulation.play(
            node_counts[seed % len(node_counts)],
            seed,
            "drawn",
            seconds,
            settings=AgreementSettings(2_000.0, 0.01, 4_000.0, RulesMode.REJECT if refuse else "meet"),
        )
        rows.append(emulation.measure(world))
    click.echo(
        json.dumps(
            {
                "runs": runs,
                "lease_ms": 2_000,
                "longest_contradiction_ms": percentiles([figures["contradiction_ms"] for figures in rows]),
                "runs_with_any": sum(figures["contradiction_ms"] > 0 for figures in rows),
                "blind_ms": percentiles([figures["blind_ms"] for figures in rows]),
                "runs_blind_past_a_lease": sum(figures["blind_ms"] > 2_000 for figures in rows),
                "versions": sum(figures["versions"] for figures in rows),
                "contradicting": sum(figures["contradicting_versions"] for figures in rows),
                "leaders": sum(figures["leaders"] for figures in rows),
                "stale_tokens": sum(figures["stale_tokens"] for figures in rows),
                "on_meet_share": percentiles([figures["on_meet_share"] for figures in rows]),
                "not_one_at_the_end": sum(len(figures["lives_at_the_end"]) > 1 for figures in rows),
            }
        )
    )


@cli.command()
@click.option("--nodes", default="3,30,300")
@click.option("--seconds", default=12.0)
def applied(nodes: str, seconds: float) -> None:
    """Measure the time from a push until all coordinators act on it, without faults; a message takes 0.5 ms."""
    result = {}
    for count in (int(n) for n in nodes.split(",")):
        started = time.perf_counter()
        world = emulation.Emulator(count, 1, parse("", count), seconds, voters=3 if count < 5 else 5).run()
        figures = emulation.measure(world)
        result[count] = {
            key: figures[key]
            for key in ("applied", "applied_ms_median", "applied_ms_most", "entries", "messages", "contradiction_ms")
        } | {"took_s": round(time.perf_counter() - started, 1)}
    click.echo(json.dumps(result))


@cli.command()
@click.option("--engines", default=10_000)
@click.option("--versions", "count", default=100)
def versions(engines: int, count: int) -> None:
    """Measure time and memory of a version that changes one entry, as a persistent map and as a copied dict."""
    rules: dict[str, Any] = {
        f"engine/http/e{n}": Engine(f"e{n}", f"10.0.{n // 250}.{n % 250}:80", zone=f"z{n % 4}") for n in range(engines)
    }
    rules["scope/http"] = ListScope()
    result: dict[str, Any] = {"engines": engines}

    def measure(name: str, work: Any, repetitions: int = 1) -> Any:
        started = time.perf_counter()
        for _ in range(repetitions):
            value = work()
        result[name + "_ms"] = round((time.perf_counter() - started) * 1e3 / repetitions, 4)
        return value

    first = measure("first_version", lambda: EMPTY_VERSION.child(1, rules))
    measure("pack_whole", lambda: pack_changes(rules), 5)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    chain = [first]
    for n in range(count):
        chain.append(chain[-1].child(n + 2, {f"ban/e{n}": Ban(f"e{n}")}))
    result["persistent_kb_a_version"] = round((tracemalloc.get_traced_memory()[0] - before) / count / 1024, 2)
    before = tracemalloc.get_traced_memory()[0]
    copies = [dict(first.rules)]
    for n in range(20):
        copies.append({**copies[-1], f"ban/e{n}": Ban(f"e{n}")})
    result["copied_kb_a_version"] = round((tracemalloc.get_traced_memory()[0] - before) / 21 / 1024, 1)
    tracemalloc.stop()
    measure("persistent_next", lambda: first.child(2, {"ban/e1": Ban("e1")}), 500)
    first_rules = copies[0]

    def copy_and_change() -> dict[str, Any]:
        copy = dict(first_rules)
        copy["ban/e1"] = Ban("e1")
        return copy

    measure("copied_next", copy_and_change, 100)
    second = first.child(2, {"ban/e1": Ban("e1"), "engine/http/e5": None})
    measure("diff_by_walk", lambda: diff_rules(first.rules, second.rules), 20)
    measure("meet_whole", lambda: intersect(first.rules, second.rules), 10)
    measure("meet_of_neighbours", lambda: intersect_with_child(first.rules, second.rules, second.changes), 500)
    click.echo(json.dumps(result))


@cli.command()
@click.option("--runs", default=2_000)
def guard(runs: int) -> None:
    """Measure how often series without harm are called harmful, and how soon harm of a given size is found."""
    from test_settings import judge_windows, row

    rng = random.Random(11)

    def count_failures(count: int, rate: float) -> int:
        return sum(rng.random() < rate for _ in range(count))

    def window(rate: float, burst: bool, size: tuple[int, int]) -> list[int]:
        count = rng.randrange(*size)
        failures = count_failures(count, rate * (6.0 if burst and rng.random() < 0.15 else 1.0))
        return row(count, failures, failures // 2, count_failures(count, 0.01))

    harmful: Counter[str] = Counter()
    for trial in range(runs):
        rate, size = rng.choice((0.002, 0.02, 0.1)), rng.choice(((20, 60), (60, 300), (300, 600)))
        verdict = judge_windows(
            [window(rate, trial % 2 == 1, size) for _ in range(30)],
            [window(rate, trial % 2 == 1, size) for _ in range(14)],
        )[0]
        harmful["bursts" if trial % 2 else "plain"] += verdict != "calm"
    found = {}
    for extra in (0.02, 0.03, 0.05, 0.1, 0.3):
        verdicts = [
            judge_windows(
                [window(0.01, False, (60, 300)) for _ in range(30)],
                [window(0.01 + extra, False, (60, 300)) for _ in range(14)],
            )
            for _ in range(60)
        ]
        detected_at = [windows_needed for verdict, windows_needed in verdicts if verdict != "calm"]
        found[f"failed +{extra:.0%}"] = {
            "found": round(len(detected_at) / 60, 2),
            "windows": percentiles([float(number) for number in detected_at]),
        }
    click.echo(json.dumps({"runs": runs, "called_harmful": dict(harmful), "found": found}))


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
        started = time.perf_counter()
        search_result = search(world, steps, SettingsCluster.fault, limit, key=key)
        click.echo(
            json.dumps(
                {
                    "coordinators, ticks, crashes, grants, holds, unfit": case,
                    "states": search_result.states,
                    "whole": search_result.exhausted,
                    "depth": search_result.depth,
                    "fault": search_result.fault,
                    "took_s": round(time.perf_counter() - started, 1),
                }
            )
        )


class _Connection(asyncio.Protocol):
    """A client connection with at most one request at a time."""

    def __init__(self, open_loop: _OpenLoop) -> None:
        from httptools import HttpResponseParser

        self.open_loop, self.parser, self.body, self.due_at_s = open_loop, HttpResponseParser(self), b"", 0.0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.open_loop.idle.append(self)

    def connection_lost(self, error: Exception | None) -> None:
        if self in self.open_loop.idle:
            self.open_loop.idle.remove(self)

    def send_request(self, due_at_s: float) -> None:
        self.due_at_s = due_at_s
        self.open_loop.last_number += 1
        self.transport.write(
            b"POST /call/lookup HTTP/1.1\r\nHost: b\r\nX-Request-Id: %016x\r\nX-Timeout-Ms: 7000\r\n"
            b"X-Cost-Ms: 20\r\nX-Memory: 16\r\nContent-Length: 8\r\n\r\nSELECT 1" % self.open_loop.last_number
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
            self.open_loop.done(self)


class _OpenLoop:
    """An open-loop load: requests are due at a fixed rate, independent of earlier responses.

    Response times count from the due time, so they include waiting for a connection and delays of the client.
    """

    def __init__(self, rate: float, connections: int) -> None:
        self.rate, self.connection_count = rate, connections
        self.idle: deque[_Connection] = deque()
        self.overdue: deque[float] = deque()
        self.last_number = int(time.time()) << 24
        self.results: list[tuple[float, float, int]] = []

    def done(self, connection: _Connection) -> None:
        self.results.append(
            (connection.due_at_s, time.time() - connection.due_at_s, connection.parser.get_status_code())
        )
        if self.overdue:
            connection.send_request(self.overdue.popleft())
        else:
            self.idle.append(connection)

    async def run(self, port: int, start_at: float, seconds: float) -> int:
        await asyncio.sleep(max(0.0, start_at - 0.5 - time.time()))  # the server soon closes idle connections
        for _ in range(self.connection_count):
            await asyncio.get_running_loop().create_connection(lambda: _Connection(self), "127.0.0.1", port)
        total = int(seconds * self.rate)
        for number in range(total):
            due_at_s = start_at + number / self.rate
            if (delay_s := due_at_s - time.time()) > 0.0:
                await asyncio.sleep(delay_s)
            if self.idle:
                self.idle.popleft().send_request(due_at_s)
            else:
                self.overdue.append(due_at_s)
        give_up_at = time.time() + 10.0
        while len(self.results) < total and time.time() < give_up_at:
            await asyncio.sleep(0.01)
        return total


def _run_precisely(work: Any) -> Any:
    """Run a coroutine with timers that are not rounded up to milliseconds, and without garbage collection."""
    gc.disable()
    with asyncio.Runner(loop_factory=lambda: asyncio.SelectorEventLoop(selectors.SelectSelector())) as runner:
        return runner.run(work)


def paced_process(pipe: Any, port: int, rate: float, start_at: float, seconds: float) -> None:
    """Send requests at `rate` per second from Unix time `start_at`; send their count and a row per response."""
    open_loop = _OpenLoop(rate, 64)
    pipe.send((_run_precisely(open_loop.run(port, start_at, seconds)), open_loop.results))


def pushing_process(
    pipe: Any, operator_socket: str, pushes: list[float], entries: int, engine_ports: dict[str, int]
) -> None:
    """Push versions at these times (Unix seconds); send counts by kind and outcome to the pipe.

    Half of the versions are valid, a quarter each broken and truncated; each outcome is queried once. Each version has
    `entries` entries besides those that change. If `engine_ports` lists engines, all versions are valid.
    """
    pipe.send(_run_precisely(_pushing(operator_socket, pushes, entries, engine_ports)))


async def _pushing(
    operator_socket: str, pushes: list[float], entries: int, engine_ports: dict[str, int]
) -> dict[str, int]:
    rng, outcomes = random.Random(2), Counter[str]()
    base: dict[str, Any] = {f"ban/b{n}": Ban(f"b{n}") for n in range(entries)}
    if engine_ports:
        base |= {
            f"engine/http/{name}": Engine(name, f"127.0.0.1:{port}", state="active" if port != 9 else "leaving")
            for name, port in engine_ports.items()
        } | {"scope/http": ListScope()}

    async def call(command: str) -> str:
        reader, writer = await asyncio.open_unix_connection(operator_socket)
        writer.write(command.encode() + b"\n")
        answer = await reader.read()
        writer.close()
        return answer.decode()

    async def push(number: int) -> None:
        rules: dict[str, Any] = {
            **base,
            f"ban/x{number % 7}": Ban(f"x{number % 7}", str(number)),
            f"drain/y{number % 5}": Ban(f"y{number % 5}"),
        }  # a push contains all entries
        if number % 4 == 0:
            rules["class/lookup"] = Class("lookup", 1_500.0 + number % 3)
        data, kind = pack_changes(rules), rng.choice(("valid", "valid", "broken", "cut short"))
        kind = "valid" if engine_ports else kind
        data = data[:-2] + b"xx" if kind == "broken" else data[:-5] if kind == "cut short" else data
        outcomes["pushes"] += 1
        pieces = split_into_pieces(data, 32_768)
        for part_number, piece in enumerate(pieces):
            answer = await call(
                f"settings-push p{number} {part_number}/{len(pieces)} {base64.b64encode(piece).decode()}"
            )
            if answer.startswith("NAK"):
                outcomes[f"{kind}, not taken"] += 1
                return
        await asyncio.sleep(1.0)
        answer = await call(f"settings-outcome p{number}")
        state = "not known any more" if answer.startswith("NAK") else json.loads(answer.splitlines()[0])["state"]
        outcomes[f"{kind}, {'live' if state == 'proven' else state}"] += 1

    tasks = []
    for number, push_at in enumerate(pushes):
        await asyncio.sleep(max(0.0, push_at - time.time()))
        tasks.append(asyncio.create_task(push(number)))
    await asyncio.gather(*tasks)
    return dict(outcomes)


def processor_s(pid: int) -> float:
    """Return the CPU seconds used by all threads of a process, from the nanoseconds of the scheduler."""
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
    from frostspindle.lab.engines import coordinator_config, host_entry
    from frostspindle.operator_client import call_operator

    rng, settle_s = random.Random(seed), 0.5  # excludes requests and pushes left over from the previous window
    has_pushes = [with_pushes for _ in range(windows // 2) for with_pushes in rng.sample((False, True), 2)]
    with (
        engines([f"s-{number}" for number in range(4)], delay_ms / 1e3, 2) as (ports, _),
        coordinator(
            coordinator_config([host_entry(name, port) for name, port in ports.items()]), 1, operator=OPERATOR
        ) as (
            port,
            (operator_socket, pid),
        ),
    ):
        start = time.time() + 3.0
        window_starts = [start + 1.0 + number * seconds for number in range(windows)]
        push_times = [
            window_start + push * 60.0 / pushes
            for window_start, with_pushes in zip(window_starts, has_pushes, strict=True)
            if with_pushes
            for push in range(int(seconds * pushes / 60.0))
        ]
        pipes = []
        for target, args in (
            (paced_process, (port, rate, start, 1.0 + windows * seconds)),
            (pushing_process, (operator_socket, push_times, entries, {})),
        ):
            parent_pipe, child_pipe = SPAWN.Pipe()
            SPAWN.Process(target=target, args=(child_pipe, *args), daemon=True).start()
            pipes.append(parent_pipe)
        cpu_by_window_s, versions_published, load_averages = [], [], []
        for window_start in window_starts:
            time.sleep(max(0.0, window_start + settle_s - time.time()))
            cpu_before, last_before = (
                processor_s(pid),
                json.loads(call_operator(operator_socket, "show-settings").splitlines()[0])["last"],
            )
            time.sleep(max(0.0, window_start + seconds - time.time()))
            cpu_by_window_s.append(processor_s(pid) - cpu_before)
            versions_published.append(
                json.loads(call_operator(operator_socket, "show-settings").splitlines()[0])["last"] - last_before
            )
            load_averages.append(os.getloadavg()[0])
        total, answers = pipes[0].recv()
        outcomes = pipes[1].recv()
    latencies_ms: list[list[float]] = [[] for _ in window_starts]
    for due_at_s, latency_s, _ in answers:
        window, offset_s = divmod(due_at_s - window_starts[0], seconds)
        if 0 <= window < windows and offset_s >= settle_s:
            latencies_ms[int(window)].append(latency_s * 1e3)
    for window_latencies in latencies_ms:
        window_latencies.sort()
    pairs = []  # window with pushes, window without
    for number in range(0, windows, 2):
        pairs.append((number, number + 1) if has_pushes[number] else (number + 1, number))

    def quantile_of(fraction: float) -> Any:
        def quantile(chosen: list[int]) -> float:
            ranked = sorted(value for window in chosen for value in latencies_ms[window])
            return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]

        return quantile

    def cpu_ms(chosen: list[int]) -> float:
        return (
            1e3
            * sum(cpu_by_window_s[window] for window in chosen)
            / sum(len(latencies_ms[window]) for window in chosen)
        )

    result = {}
    for name, statistic in (("p50_ms", quantile_of(0.5)), ("p99_ms", quantile_of(0.99)), ("cpu_ms_a_request", cpu_ms)):
        ratios_of_resamples = []
        for _ in range(400):
            resampled = [rng.choice(pairs) for _ in pairs]
            ratios_of_resamples.append(
                statistic([pushed_window for pushed_window, _ in resampled])
                / statistic([quiet_window for _, quiet_window in resampled])
            )
        ratios_of_resamples.sort()
        low, high = ratios_of_resamples[10], ratios_of_resamples[389]
        # The median over pairs is robust against bursts of other work, which distort single windows.
        ratios = sorted(statistic([pushed_window]) / statistic([quiet_window]) for pushed_window, quiet_window in pairs)
        medians = sorted(median(rng.choices(ratios, k=len(ratios))) for _ in range(2_000))
        quiet_windows = [quiet_window for _, quiet_window in pairs]
        rng.shuffle(quiet_windows)
        result[name] = {
            "with": round(statistic([pushed_window for pushed_window, _ in pairs]), 3),
            "without": round(statistic(quiet_windows), 3),
            "ratio": round(statistic([pushed_window for pushed_window, _ in pairs]) / statistic(quiet_windows), 4),
            "interval_95": [round(low, 4), round(high, 4)],
            "median_of_pairs": [round(value, 4) for value in (median(ratios), medians[50], medians[1949])],
            # windows without pushes against each other: the noise of the machine
            "null": round(statistic(quiet_windows[::2]) / statistic(quiet_windows[1::2]), 4),
            # the number of windows that narrows the interval of the median to +-2%
            "windows_for_2%": max(2, math.ceil(windows * ((medians[1949] - medians[50]) / 2.0 / 0.02) ** 2)),
        }
    measured_s = (seconds - settle_s) * windows / 2
    click.echo(
        json.dumps(
            {
                "windows": windows,
                "seconds": seconds,
                "requests_a_second": rate,
                "requests": total,
                "answers": len(answers),
                "statuses": dict(Counter(status for _, _, status in answers)),
                **result,
                "pushes_a_minute": round(len(push_times) / (seconds * windows / 2) * 60.0),
                "outcomes": outcomes,
                "versions_a_minute": round(
                    sum(
                        versions
                        for versions, with_pushes in zip(versions_published, has_pushes, strict=True)
                        if with_pushes
                    )
                    / measured_s
                    * 60.0
                ),
                "core_share": {
                    name: round(sum(cpu_by_window_s[pair[with_pushes]] for pair in pairs) / measured_s, 3)
                    for with_pushes, name in enumerate(("with", "without"))
                },
                "load_average": [round(min(load_averages), 1), round(max(load_averages), 1)],
            }
        )
    )


# Runs the program with every event-loop callback timed; a signal makes it write the table and start a new one.
LOOP_TIMER = """
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
    from frostspindle.lab.engines import coordinator_config, host_entry

    def spawn(target: Any, *args: Any) -> Any:
        parent_pipe, child_pipe = SPAWN.Pipe()
        SPAWN.Process(target=target, args=(child_pipe, *args), daemon=True).start()
        return parent_pipe

    with tempfile.TemporaryDirectory() as folder, engines(["s-0"], 0.02) as (ports, _):
        path = Path(folder, "table")
        with coordinator(
            coordinator_config([host_entry("s-0", ports["s-0"])]),
            1,
            operator=OPERATOR,
            program=("-c", LOOP_TIMER, str(path)),
        ) as (port, (operator_socket, pid)):

            def table() -> dict[str, list[float]]:
                os.kill(pid, signal.SIGRTMIN + 1)
                while not path.exists():
                    time.sleep(0.01)
                rows = json.loads(path.read_text())
                path.unlink()
                return dict(rows)

            start_at = time.time() + 2.0
            load_pipe = spawn(paced_process, port, rate, start_at, 2.0 * seconds + 4.0)
            push_pipe = spawn(
                pushing_process,
                operator_socket,
                [start_at + seconds + 3.0]
                if first
                else [
                    start_at + seconds + 3.0 + number * 60.0 / pushes for number in range(int(seconds * pushes / 60.0))
                ],
                entries,
                {"s-0": ports["s-0"], **{f"n{number}": 9 for number in range(first - 1)}} if first else {},
            )
            time.sleep(start_at + 2.0 - time.time())
            table()
            time.sleep(seconds)
            quiet, cpu_before = table(), processor_s(pid)
            outcomes = push_pipe.recv()
            cpu_used_s, with_pushes = processor_s(pid) - cpu_before, table()
            load_pipe.recv()
    count, quiet_ratio = outcomes["pushes"], (seconds + 2.0) / seconds
    rows = {
        name: (
            1e3 * (row[1] - quiet.get(name, [0, 0.0])[1] * quiet_ratio) / count,
            (row[0] - quiet.get(name, [0])[0] * quiet_ratio) / count,
            1e3 * row[2],
            1e3 * row[3],
        )
        for name, row in with_pushes.items()
    }
    click.echo(
        json.dumps(
            {
                "pushes": outcomes,
                "loop_ms_a_push": round(sum(row[0] for row in rows.values()), 3),
                "cpu_s": round(cpu_used_s, 2),
                "loop_ms_a_second_without": round(1e3 * sum(row[1] for row in quiet.values()) / seconds, 2),
                "longest_ms": {
                    name: round(row[2], 2) for name, row in sorted(rows.items(), key=lambda x: -x[1][2])[:8]
                },
                "longest_ms_without": round(1e3 * max(row[2] for row in quiet.values()), 2),
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
        for push_number in range(3):  # measure push to applied before injecting faults
            started = boot_ms()
            code, _ = await world.processes[push_number].command(
                "push", world.file(f'[[ban]]\nengine = "q{push_number}"\n'), "--wait", "20"
            )
            if code == 0:
                for process in world.processes:
                    await process.wait_for_version(push_number + 1)
                last_applied_ms = max(process.current_rules()["mono_ms"] for process in world.processes)
                published_ms = min(
                    event["mono_ms"]
                    for process in world.processes
                    for event in process.events("settings_history_recorded", what="published", version=push_number + 1)
                )
                pushes.append((push_number + 1, last_applied_ms - started, last_applied_ms - published_ms))
        end_at, step = time.monotonic() + seconds, 0
        stopped: list[Any] = []
        while time.monotonic() < end_at:
            step += 1
            target = rng.choice(world.processes)
            action = rng.choice(("cut", "cut", "stop", "stop", "heal", "push", "push", "push"))
            if action == "cut":
                world.streams.cut = set(rng.sample(range(nodes), rng.randrange(1, nodes // 2)))
            elif action == "stop" and len(stopped) < nodes // 3:
                target.send_signal(signal.SIGSTOP)
                stopped.append(target)
            elif action == "heal":
                world.streams.cut = set()
                for process in stopped:
                    process.send_signal(signal.SIGCONT)
                stopped = []
            elif action == "push":
                name = f"e{rng.randrange(4)}"
                await asyncio.wait_for(
                    rng.choice([process for process in world.processes if process not in stopped]).command(
                        "push", world.file(f'[[ban]]\nengine = "{name}"\nwhy = "{step}"\n'), "--wait", "2"
                    ),
                    30.0,
                )
            await asyncio.sleep(rng.uniform(0.2, 1.5))
        world.streams.cut = set()
        for process in world.processes:
            process.send_signal(signal.SIGCONT)
        await asyncio.sleep(2.0)
        history = world.audit()
        versions = {
            event["version"]
            for process in world.processes
            for event in process.events("settings_history_recorded", what="live")
        }
        leases_lost = sum(
            event["mode"] == "meet" and event["why"] == "alone"
            for process in world.processes
            for event in process.events("settings_rules_activated")
        )
        return {
            "seed": seed,
            "nodes": nodes,
            "lease_ms": 1_000,
            "contradiction_ms": round(history.longest_ms, 3),
            "whole_ms": round(history.total_ms, 3),
            "live_versions": len(versions),
            "leases_lost": leases_lost,
            "command_to_applied_ms": [round(event[1], 1) for event in pushes],
            "published_to_applied_ms": [round(event[2], 1) for event in pushes],
            "faults": sum(len(process.events("exception_caught")) for process in world.processes),
        }
    finally:
        await world.close()


if __name__ == "__main__":
    cli()
