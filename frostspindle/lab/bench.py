"""Loads a coordinator of this machine and compares numbers of workers, all in one run and in turn.

Owns the processes of a run (engines, clients, coordinator), what is measured of them, and the result's form and plot.
Latencies are kept in HDR histograms (the extra `bench`), in microseconds. It must never measure across runs: figures of
two numbers of workers are comparable only where they alternate in one call.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from multiprocessing.connection import Connection
from pathlib import Path
from statistics import median
from typing import Any

from httptools import HttpResponseParser

from frostspindle.lab.engines import Bus, Engine, coordinator_config, host_entry
from frostspindle.operator_client import call_operator

WARM_S = 1.0  # of each run, not measured
STARTED_EVENTS = ("coordinator_started", "ready")  # the second of versions up to 0.3
SQL = b"SELECT agent FROM calls_17.notes"
SPAWN = multiprocessing.get_context("spawn")
LONGEST_US = 60_000_000


class _Caller(asyncio.Protocol):
    """One client's connection: asks, follows `next`, asks again."""

    def __init__(self, load: _Load, number: int) -> None:
        self.load, self.number = load, number
        self.parser = HttpResponseParser(self)
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._ask()

    def connection_lost(self, error: Exception | None) -> None:
        if self.load.running:
            self.load.broken += 1
            self.load.open(self.number)

    def _ask(self) -> None:
        self.began = time.perf_counter()
        self.load.numbers += 1
        self.transport.write(
            b"POST /call/lookup HTTP/1.1\r\nHost: b\r\nX-Request-Id: %016x\r\nX-Timeout-Ms: 7000\r\nX-Cost-Ms: %d\r\n"
            b"X-Memory: 16\r\nContent-Length: %d\r\n\r\n%b" % (self.load.numbers, self.load.cost_ms, len(SQL), SQL)
        )

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        self.body = b""

    def on_body(self, part: bytes) -> None:
        self.body += part

    def on_message_complete(self) -> None:
        if b'"next"' in self.body:
            path = json.loads(self.body)["next"].encode()
            self.transport.write(b"GET %b HTTP/1.1\r\nHost: b\r\n\r\n" % path)
            return
        self.load.done(time.perf_counter() - self.began, self.parser.get_status_code())
        if not self.load.running:
            self.transport.close()
        elif self.parser.get_status_code() != 200 and self.load.rest_s:
            asyncio.get_running_loop().call_later(self.load.rest_s, self._ask)
        else:
            self._ask()


class _Load:
    """All connections of one client process."""

    def __init__(self, port: int, connections: int, first: int, cost_ms: int, rest_s: float) -> None:
        from hdrh.histogram import HdrHistogram

        self.port, self.connections, self.numbers, self.cost_ms, self.rest_s = port, connections, first, cost_ms, rest_s
        self.histogram = HdrHistogram(1, LONGEST_US, 3)
        self.running = self.measured = False
        self.broken = 0
        self.statuses: dict[int, int] = {}
        self._opening: set[asyncio.Task[Any]] = set()

    def open(self, number: int) -> None:
        task = asyncio.get_running_loop().create_task(
            asyncio.get_running_loop().create_connection(lambda: _Caller(self, number), "127.0.0.1", self.port)
        )
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def done(self, seconds: float, status: int) -> None:
        if self.measured and self.running:
            self.histogram.record_value(max(1, int(seconds * 1e6)))
            self.statuses[status] = self.statuses.get(status, 0) + 1

    async def run(self, at: float, seconds: float) -> None:
        await asyncio.sleep(max(0.0, at - time.time()))
        self.running = True
        for number in range(self.connections):
            self.open(number)
        await asyncio.sleep(max(0.0, at + WARM_S - time.time()))
        self.measured = True
        await asyncio.sleep(max(0.0, at + WARM_S + seconds - time.time()))
        self.running = False


def client_process(
    pipe: Connection, port: int, connections: int, first: int, cost_ms: int, rest_s: float, at: float, seconds: float
) -> None:
    """Run one client process's connections to `port` and send its results through `pipe`: the encoded latency
    histogram (microseconds), the number of answers by HTTP status, and the number of broken connections.

    `at`: Unix time in seconds when the load starts; the first WARM_S seconds are not recorded, the `seconds` after
    them are. Request ids count up from `first`; `cost_ms` is each request's X-Cost-Ms; `rest_s` is the pause of a
    connection after a status other than 200.
    """
    load = _Load(port, connections, first, cost_ms, rest_s)
    asyncio.run(load.run(at, seconds))
    pipe.send((load.histogram.encode(), load.statuses, load.broken))


def engine_process(pipe: Connection, names: list[str], delay_s: float, cores: int, keep: bool) -> None:
    """Serve stand-in engines of these names; send their ports through `pipe`, then, at the first message from it,
    what each engine was sent, and return."""

    async def serve() -> None:
        engines = [await Engine(name, delay_s, cores).start() for name in names]
        for engine in engines:
            engine.keep = keep
        pipe.send([engine.port for engine in engines])
        asked = asyncio.Event()
        asyncio.get_running_loop().add_reader(pipe.fileno(), asked.set)
        await asked.wait()
        pipe.recv()
        pipe.send([{"name": e.name, "posts": e.posts, "most": e.most, "sent": e.sent} for e in engines])

    asyncio.run(serve())


def cpu_s(pids: list[int]) -> float:
    """Return the user and system CPU time of these processes together so far, in seconds; OSError if one is gone."""
    total = 0.0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        total += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return total


def rss_mb(pids: list[int]) -> float:
    """Return the resident memory of these processes together, in MiB; OSError if one is gone."""
    pages = sum(int(Path(f"/proc/{pid}/statm").read_text().split()[1]) for pid in pids)
    return pages * os.sysconf("SC_PAGE_SIZE") / 2**20


@contextmanager
def coordinator(
    config: dict[str, Any],
    workers: int,
    source: str | None = None,
    operator: str = "",
    program: tuple[str, ...] = ("-m", "frostspindle"),
) -> Iterator[tuple[int, Any]]:
    """Run a coordinator process; yield its clients' port and the pair of its operators' address and process id.

    `operator`: the text of the operator's file, in which FOLDER stands for the process's temporary folder;
    `program`: the interpreter's arguments; `source`: the folder to run in. RuntimeError if the process ends early or
    is not ready within 60 s. On exit it gets SIGTERM; subprocess.TimeoutExpired if it has not ended 30 s later.
    """
    with tempfile.TemporaryDirectory() as folder:
        path, desk, log = Path(folder, "config.json"), str(Path(folder, "desk")), Path(folder, "log")
        config = {**config, "operator": desk}
        path.write_text(json.dumps(config))
        toml = Path(folder, "operator.toml")
        toml.write_text(operator.replace("FOLDER", folder))
        with log.open("wb") as sink:
            child = subprocess.Popen(
                [sys.executable, *program],
                stderr=sink,
                cwd=source,
                env={
                    **os.environ,
                    "LB_CONFIG": str(path),
                    "FROSTSPINDLE_OPERATOR": str(toml) if operator else "",
                    "TMPDIR": folder,
                    "FROSTSPINDLE_WORKERS": str(workers),
                },
            )
        try:
            until = time.time() + 60.0
            while True:
                try:
                    if call_operator(desk, "ready").startswith("ACK"):
                        break
                except OSError:
                    pass
                if time.time() > until or child.poll() is not None:
                    raise RuntimeError(f"the coordinator does not start: {log.read_text()[-500:]}")
                time.sleep(0.05)
            port = int(config["listen"].rpartition(":")[2])  # where it is set, a log of many engines may lack the line
            while not port:
                started = [
                    json.loads(line)
                    for line in log.read_text().splitlines()
                    if any(f'"event":"{name}"' in line for name in STARTED_EVENTS)
                ]
                port = next((int(e["listen"].rpartition(":")[2]) for e in started if e.get("worker") is None), 0)
                time.sleep(0.01)
            yield port, (desk, child.pid)
        finally:
            child.send_signal(signal.SIGTERM)
            child.wait(30)


def one(
    workers: int, clients: int, connections: int, ports: dict[str, int], seconds: float, source: str | None = None
) -> dict[str, Any]:
    """Return the figures of one run with so many workers, of this version or of the checkout in `source`: requests a
    second, latencies in ms, CPU ms a request, memory in MiB. The warm-up of WARM_S seconds is not counted."""
    from hdrh.histogram import HdrHistogram

    config = coordinator_config([host_entry(name, port) for name, port in ports.items()])
    with coordinator(config, workers, source) as (port, (desk, pid)):
        began = json.loads(call_operator(desk, "show-stat").splitlines()[0])
        pids = [pid, *(row["pid"] for row in began.get("workers", []))]
        at = time.time() + 0.7
        pipes = []
        for number in range(clients):
            here, there = SPAWN.Pipe()
            share = connections // clients + (number < connections % clients)
            process = SPAWN.Process(
                target=client_process,
                daemon=True,
                args=(
                    there,
                    port,
                    share,
                    (workers << 48) + (number << 40) + (int(at) & 0xFFFF << 24),
                    20,
                    0.0,
                    at,
                    seconds,
                ),
            )
            process.start()
            pipes.append((here, process))
        time.sleep(max(0.0, at + WARM_S - time.time()))
        cpu, asked = cpu_s(pids), json.loads(call_operator(desk, "show-stat").splitlines()[0])
        start = time.time()
        time.sleep(max(0.0, at + WARM_S + seconds - time.time()))
        cpu, took, memory = cpu_s(pids) - cpu, time.time() - start, rss_mb(pids)
        stat = json.loads(call_operator(desk, "show-stat").splitlines()[0])
        histogram, statuses, broken = HdrHistogram(1, LONGEST_US, 3), dict[int, int](), 0
        for here, process in pipes:
            encoded, counts, lost = here.recv()
            histogram.decode_and_add(encoded)
            broken += lost
            for status, count in counts.items():
                statuses[status] = statuses.get(status, 0) + count
            process.join()
    served = stat["calls"]["lookup"]["success"] - asked["calls"]["lookup"]["success"]
    by_worker = [
        row["taken"] - before["taken"]
        for row, before in zip(stat.get("workers", []), asked.get("workers", []), strict=True)
    ] or [served]
    return {
        "workers": workers,
        "rps": served / took,
        "p50_ms": histogram.get_value_at_percentile(50.0) / 1000.0,
        "p99_ms": histogram.get_value_at_percentile(99.0) / 1000.0,
        "cpu_ms": 1000.0 * cpu / max(1, served),
        "cores": cpu / took,
        "rss_mb": memory,
        "statuses": statuses,
        "broken": broken,
        "taken": by_worker,
        "clients": [row["clients"] for row in stat.get("workers", [])] or [connections],
        "imbalance": max(by_worker) * len(by_worker) / max(1, sum(by_worker)),
    }


@contextmanager
def engines(
    names: list[str], delay_s: float, processes: int = 1, cores: int = 0, keep: bool = False
) -> Iterator[tuple[dict[str, int], list[Connection]]]:
    """Run stand-in engines, spread over `processes` child processes; yield their ports by name and one pipe a
    process. The processes are terminated on exit."""
    ports: dict[str, int] = {}
    pipes, started = [], []
    for number in range(processes):
        here, there = SPAWN.Pipe()
        part = names[number::processes]
        process = SPAWN.Process(target=engine_process, args=(there, part, delay_s, cores, keep), daemon=True)
        process.start()
        ports |= dict(zip(part, here.recv(), strict=True))
        pipes.append(here)
        started.append(process)
    try:
        yield ports, pipes
    finally:
        for process in started:
            process.terminate()
            process.join()


def compare(
    numbers: list[int], clients: int, connections: int, count: int, delay_s: float, seconds: float, rounds: int
) -> dict[str, Any]:
    """Run each number of workers in turn, `rounds` times over; return the medians of the rounds, with ratios to the
    first number taken within a round, and all runs."""
    runs = []
    with engines([f"s-{n:08x}" for n in range(1, count + 1)], delay_s, min(2, count)) as (ports, _):
        for _ in range(rounds):
            for workers in numbers:
                runs.append(one(workers, clients, connections, ports, seconds))
    rows = []
    for workers in numbers:
        mine = [run for run in runs if run["workers"] == workers]
        row: dict[str, Any] = {"workers": workers}
        for key in ("rps", "p50_ms", "p99_ms", "cpu_ms", "cores", "rss_mb", "imbalance"):
            row[key] = median(run[key] for run in mine)
        # Ratios within one round, so that the machine's drift does not enter.
        bases = [run for run in runs if run["workers"] == numbers[0]]
        row["speedup"] = median(run["rps"] / base["rps"] for run, base in zip(mine, bases, strict=True))
        row["cpu_ratio"] = median(run["cpu_ms"] / base["cpu_ms"] for run, base in zip(mine, bases, strict=True))
        rows.append(row)
    return {
        "kind": "compare",
        "cores_here": os.cpu_count(),
        "clients": clients,
        "connections": connections,
        "engines": count,
        "delay_s": delay_s,
        "seconds": seconds,
        "rounds": rounds,
        "rows": rows,
        "runs": runs,
    }


def cold(numbers: list[int], clients: int, connections: int, seconds: float) -> dict[str, Any]:
    """Start an engine cold under load and drain another one, for each number of workers; return what the two were
    sent, all workers together. With several workers the last to join the bus gets all of its events 2 s late."""
    rows = []
    for workers in numbers:
        rows.append(asyncio.run(_cold(workers, clients, connections, seconds)))
    return {"kind": "cold", "cores_here": os.cpu_count(), "rows": rows}


async def _cold(workers: int, clients: int, connections: int, seconds: float) -> dict[str, Any]:
    names = [f"s-{n:08x}" for n in range(1, 5)]
    cost_ms = 200
    with engines(names, 0.05, 2, 8, True) as (ports, pipes):
        bus = await Bus().start()
        bus.delays = {workers - 1: 2.0} if workers > 1 else {}
        bus.say(*(host_entry(name, ports[name]) for name in names[:3]), whole=True)
        config = coordinator_config(bus.events[0]["topology"]["hosts"], bus.port)
        context = coordinator(config, workers)
        port, (desk, _) = await asyncio.to_thread(context.__enter__)
        try:
            at = time.time() + 0.7
            processes = []
            for number in range(clients):
                here, there = SPAWN.Pipe()
                process = SPAWN.Process(
                    target=client_process,
                    daemon=True,
                    args=(
                        there,
                        port,
                        connections // clients,
                        (workers << 48) + (number << 40),
                        cost_ms,
                        0.02,
                        at,
                        seconds + 1.0,
                    ),
                )
                process.start()
                processes.append((here, process))
            await asyncio.sleep(at + 1.0 - time.time())
            born = time.time()
            bus.say(host_entry(names[3], ports[names[3]], born_ms=born * 1000.0))
            await asyncio.sleep(seconds / 2)
            drained = time.time()
            bus.say(host_entry(names[0], ports[names[0]], "leaving"))
            await asyncio.sleep(seconds / 2 + 0.5)
            results = [await asyncio.to_thread(here.recv) for here, _ in processes]
            stat = json.loads((await asyncio.to_thread(call_operator, desk, "show-stat")).splitlines()[0])
        finally:
            await asyncio.to_thread(context.__exit__, None, None, None)
            bus.server.close()
        sent: dict[str, list[float]] = {}
        for pipe in pipes:
            pipe.send("sent")
            sent |= {row["name"]: [first for first, *_ in row["sent"]] for row in pipe.recv()}
    times = sorted(sent[names[3]])
    worst = 0.0
    for place, first in enumerate(times):
        last = max(index for index in range(place, len(times)) if times[index] < first + 1.0)
        grown = (max(0.0, times[last] - born) / 15.0) ** 2
        rule = 4.0 * (0.3 + 0.7 * grown) * 0.85 * 8 * 1000.0  # the rule's multiple of capacity, in core-ms a window
        worst = max(worst, (last - place + 1) * cost_ms / rule)
    late = [first - drained for first in sent[names[0]] if first > drained]
    return {
        "workers": workers,
        "cold_sent": len(times),
        "worst_of_rule": worst,
        "first_s": times[0] - born if times else None,
        "late_ms": 1000.0 * max(late, default=0.0),
        "served": stat["calls"]["lookup"]["success"],
        "statuses": [dict(r[1]) for r in results],
    }


def table(result: dict[str, Any]) -> str:
    """Format a result of `compare` or `cold` as a plain-text table with one row for each number of workers."""
    if result["kind"] == "cold":
        lines = [f"{'workers':>7} {'cold sent':>10} {'of the rule':>12} {'first after s':>14} {'after drain ms':>15}"]
        for row in result["rows"]:
            first = "-" if row["first_s"] is None else f"{row['first_s']:.2f}"
            lines.append(
                f"{row['workers']:>7} {row['cold_sent']:>10} {row['worst_of_rule']:>12.2f} {first:>14} "
                f"{row['late_ms']:>15.0f}"
            )
        return "\n".join(lines)
    lines = [
        f"{'workers':>7} {'rps':>8} {'times':>6} {'p50 ms':>8} {'p99 ms':>8} {'cpu ms':>7} {'ratio':>6} "
        f"{'cores':>6} {'MB':>6} {'imbalance':>9}"
    ]
    for row in result["rows"]:
        lines.append(
            f"{row['workers']:>7} {row['rps']:>8.0f} {row['speedup']:>6.2f} {row['p50_ms']:>8.2f} "
            f"{row['p99_ms']:>8.2f} {row['cpu_ms']:>7.3f} {row['cpu_ratio']:>6.2f} {row['cores']:>6.2f} "
            f"{row['rss_mb']:>6.0f} {row['imbalance']:>9.2f}"
        )
    return "\n".join(lines)


def draw(result: dict[str, Any], path: str) -> None:
    """Plot requests a second and latency by number of workers into the file `path`. SystemExit without matplotlib
    (the extra `plot`) or for a result that is not of `compare`."""
    try:
        import matplotlib
    except ModuleNotFoundError:
        raise SystemExit("frostspindle: --plot needs the extra: pip install 'frostspindle[plot]'") from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    if result["kind"] != "compare":
        raise SystemExit("frostspindle: --plot draws comparisons only")
    rows = result["rows"]
    workers = [row["workers"] for row in rows]
    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    left.plot(workers, [row["rps"] for row in rows], "o-", label="measured")
    left.plot(workers, [rows[0]["rps"] / workers[0] * w for w in workers], ":", color="grey", label="in proportion")
    left.set(xlabel="workers", ylabel="requests a second", ylim=(0, None), xticks=workers)
    left.legend()
    right.plot(workers, [row["p50_ms"] for row in rows], "o-", label="p50")
    right.plot(workers, [row["p99_ms"] for row in rows], "s-", label="p99")
    right.set(xlabel="workers", ylabel="latency, ms", ylim=(0, None), xticks=workers)
    right.legend()
    figure.suptitle(
        f"{result['connections']} connections, {result['engines']} engines, {result['cores_here']} cores "
        "shared with clients and engines"
    )
    figure.tight_layout()
    figure.savefig(path, dpi=110)
