"""Load test of a coordinator on this machine, comparing numbers of workers that alternate within one call.

It runs the processes (engines, clients, coordinator), measures them, and formats and plots the result. Latencies are
recorded in HDR histograms (the extra `bench`) in microseconds. Figures of two numbers of workers are comparable only if
both were measured in the same call.
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

WARM_S = 1.0  # warm-up of each run, not measured
STARTED_EVENTS = ("coordinator_started", "ready")  # "ready" in versions up to 0.3
SQL = b"SELECT agent FROM calls_17.notes"
SPAWN = multiprocessing.get_context("spawn")
MAX_LATENCY_US = 60_000_000


class _ClientConnection(asyncio.Protocol):
    """One client's connection: sends a request, follows `next`, and repeats."""

    def __init__(self, load: _Load, number: int) -> None:
        self.load, self.number = load, number
        self.parser = HttpResponseParser(self)
        self.body = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._send_request()

    def connection_lost(self, error: Exception | None) -> None:
        if self.load.running:
            self.load.broken += 1
            self.load.open(self.number)

    def _send_request(self) -> None:
        self.started_at = time.perf_counter()
        self.load.last_request_id += 1
        self.transport.write(
            b"POST /call/lookup HTTP/1.1\r\nHost: b\r\nX-Request-Id: %016x\r\nX-Timeout-Ms: 7000\r\nX-Cost-Ms: %d\r\n"
            b"X-Memory: 16\r\nContent-Length: %d\r\n\r\n%b"
            % (self.load.last_request_id, self.load.cost_ms, len(SQL), SQL)
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
        self.load.record(time.perf_counter() - self.started_at, self.parser.get_status_code())
        if not self.load.running:
            self.transport.close()
        elif self.parser.get_status_code() != 200 and self.load.rest_s:
            asyncio.get_running_loop().call_later(self.load.rest_s, self._send_request)
        else:
            self._send_request()


class _Load:
    """The connections of one client process."""

    def __init__(self, port: int, connections: int, first_id: int, cost_ms: int, rest_s: float) -> None:
        from hdrh.histogram import HdrHistogram

        self.port, self.connections, self.last_request_id, self.cost_ms, self.rest_s = (
            port,
            connections,
            first_id,
            cost_ms,
            rest_s,
        )
        self.histogram = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.running = self.measured = False
        self.broken = 0
        self.statuses: dict[int, int] = {}
        self._opening: set[asyncio.Task[Any]] = set()

    def open(self, number: int) -> None:
        task = asyncio.get_running_loop().create_task(
            asyncio.get_running_loop().create_connection(
                lambda: _ClientConnection(self, number), "127.0.0.1", self.port
            )
        )
        self._opening.add(task)
        task.add_done_callback(self._opening.discard)

    def record(self, seconds: float, status: int) -> None:
        if self.measured and self.running:
            self.histogram.record_value(max(1, int(seconds * 1e6)))
            self.statuses[status] = self.statuses.get(status, 0) + 1

    async def run(self, start_at: float, seconds: float) -> None:
        await asyncio.sleep(max(0.0, start_at - time.time()))
        self.running = True
        for number in range(self.connections):
            self.open(number)
        await asyncio.sleep(max(0.0, start_at + WARM_S - time.time()))
        self.measured = True
        await asyncio.sleep(max(0.0, start_at + WARM_S + seconds - time.time()))
        self.running = False


def client_process(
    pipe: Connection,
    port: int,
    connections: int,
    first: int,
    cost_ms: int,
    rest_s: float,
    start_at: float,
    seconds: float,
) -> None:
    """Run the connections of one client process to `port` and send its results through `pipe`.

    The results are the encoded latency histogram (microseconds), the number of responses by HTTP status, and the number
    of broken connections. `start_at`: Unix time in seconds at which the load starts; the first WARM_S seconds are not
    recorded, the `seconds` after them are. Request ids count up from `first`; `cost_ms` is the X-Cost-Ms of each
    request; `rest_s` is the pause of a connection after a status other than 200.
    """
    load = _Load(port, connections, first, cost_ms, rest_s)
    asyncio.run(load.run(start_at, seconds))
    pipe.send((load.histogram.encode(), load.statuses, load.broken))


def engine_process(pipe: Connection, names: list[str], delay_s: float, cores: int, keep: bool) -> None:
    """Run stand-in engines with these names, send their ports through `pipe`, and wait for a message from it.

    Then send the requests that each engine received, and return.
    """

    async def serve() -> None:
        engines = [await Engine(name, delay_s, cores).start() for name in names]
        for engine in engines:
            engine.keep = keep
        pipe.send([engine.port for engine in engines])
        requested = asyncio.Event()
        asyncio.get_running_loop().add_reader(pipe.fileno(), requested.set)
        await requested.wait()
        pipe.recv()
        pipe.send([{"name": e.name, "posts": e.posts, "most": e.peak_running, "sent": e.sent} for e in engines])

    asyncio.run(serve())


def cpu_s(pids: list[int]) -> float:
    """Return the total user and system CPU time of these processes in seconds. Raise OSError if one has ended."""
    total = 0.0
    for pid in pids:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        total += (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
    return total


def rss_mb(pids: list[int]) -> float:
    """Return the total resident memory of these processes in MiB. Raise OSError if one has ended."""
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
    """Run a coordinator process; yield its clients' port and the pair of its operator address and process id.

    `operator`: text of the operator's file, in which FOLDER stands for the process's temporary folder; `program`:
    arguments of the interpreter; `source`: folder to run in. Raise RuntimeError if the process ends early or is not
    ready within 60 s. On exit it gets SIGTERM; raise subprocess.TimeoutExpired if it has not ended 30 s later.
    """
    with tempfile.TemporaryDirectory() as folder:
        path, operator_socket, log = Path(folder, "config.json"), str(Path(folder, "desk")), Path(folder, "log")
        config = {**config, "operator": operator_socket}
        path.write_text(json.dumps(config))
        toml = Path(folder, "operator.toml")
        toml.write_text(operator.replace("FOLDER", folder))
        with log.open("wb") as log_file:
            child = subprocess.Popen(
                [sys.executable, *program],
                stderr=log_file,
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
            deadline = time.time() + 60.0
            while True:
                try:
                    if call_operator(operator_socket, "ready").startswith("ACK"):
                        break
                except OSError:
                    pass
                if time.time() > deadline or child.poll() is not None:
                    raise RuntimeError(f"the coordinator did not start: {log.read_text()[-500:]}")
                time.sleep(0.05)
            # A configured port is not read from the log, which may lack the line if there are many engines.
            port = int(config["listen"].rpartition(":")[2])
            while not port:
                started = [
                    json.loads(line)
                    for line in log.read_text().splitlines()
                    if any(f'"event":"{name}"' in line for name in STARTED_EVENTS)
                ]
                port = next(
                    (int(event["listen"].rpartition(":")[2]) for event in started if event.get("worker") is None), 0
                )
                time.sleep(0.01)
            yield port, (operator_socket, child.pid)
        finally:
            child.send_signal(signal.SIGTERM)
            child.wait(30)


def run_once(
    workers: int, clients: int, connections: int, ports: dict[str, int], seconds: float, source: str | None = None
) -> dict[str, Any]:
    """Return the figures of one run with `workers` workers, of this version or of the checkout in `source`.

    Figures are requests per second, latencies in ms, CPU ms per request, and memory in MiB, without the warm-up of
    WARM_S seconds.
    """
    from hdrh.histogram import HdrHistogram

    config = coordinator_config([host_entry(name, port) for name, port in ports.items()])
    with coordinator(config, workers, source) as (port, (operator_socket, pid)):
        initial_stat = json.loads(call_operator(operator_socket, "show-stat").splitlines()[0])
        pids = [pid, *(row["pid"] for row in initial_stat.get("workers", []))]
        start_at = time.time() + 0.7
        pipes = []
        for number in range(clients):
            parent_end, child_end = SPAWN.Pipe()
            share = connections // clients + (number < connections % clients)
            process = SPAWN.Process(
                target=client_process,
                daemon=True,
                args=(
                    child_end,
                    port,
                    share,
                    (workers << 48) + (number << 40) + (int(start_at) & 0xFFFF << 24),
                    20,
                    0.0,
                    start_at,
                    seconds,
                ),
            )
            process.start()
            pipes.append((parent_end, process))
        time.sleep(max(0.0, start_at + WARM_S - time.time()))
        cpu, start_stat = cpu_s(pids), json.loads(call_operator(operator_socket, "show-stat").splitlines()[0])
        start = time.time()
        time.sleep(max(0.0, start_at + WARM_S + seconds - time.time()))
        cpu, elapsed_s, memory = cpu_s(pids) - cpu, time.time() - start, rss_mb(pids)
        stat = json.loads(call_operator(operator_socket, "show-stat").splitlines()[0])
        histogram, statuses, broken = HdrHistogram(1, MAX_LATENCY_US, 3), dict[int, int](), 0
        for parent_end, process in pipes:
            encoded, counts, broken_count = parent_end.recv()
            histogram.decode_and_add(encoded)
            broken += broken_count
            for status, count in counts.items():
                statuses[status] = statuses.get(status, 0) + count
            process.join()
    served = stat["calls"]["lookup"]["success"] - start_stat["calls"]["lookup"]["success"]
    by_worker = [
        row["taken"] - before["taken"]
        for row, before in zip(stat.get("workers", []), start_stat.get("workers", []), strict=True)
    ] or [served]
    return {
        "workers": workers,
        "rps": served / elapsed_s,
        "p50_ms": histogram.get_value_at_percentile(50.0) / 1000.0,
        "p99_ms": histogram.get_value_at_percentile(99.0) / 1000.0,
        "cpu_ms": 1000.0 * cpu / max(1, served),
        "cores": cpu / elapsed_s,
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
    """Run stand-in engines in `processes` child processes; yield their ports by name and one pipe per process.

    The processes are terminated on exit.
    """
    ports: dict[str, int] = {}
    pipes, started = [], []
    for number in range(processes):
        parent_end, child_end = SPAWN.Pipe()
        process_names = names[number::processes]
        process = SPAWN.Process(
            target=engine_process, args=(child_end, process_names, delay_s, cores, keep), daemon=True
        )
        process.start()
        ports |= dict(zip(process_names, parent_end.recv(), strict=True))
        pipes.append(parent_end)
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
    """Run each number of workers in turn, `rounds` times; return the medians of the rounds and all runs.

    Ratios to the first number of workers are computed within each round.
    """
    runs = []
    with engines([f"s-{n:08x}" for n in range(1, count + 1)], delay_s, min(2, count)) as (ports, _):
        for _ in range(rounds):
            for workers in numbers:
                runs.append(run_once(workers, clients, connections, ports, seconds))
    rows = []
    for workers in numbers:
        worker_runs = [run for run in runs if run["workers"] == workers]
        row: dict[str, Any] = {"workers": workers}
        for key in ("rps", "p50_ms", "p99_ms", "cpu_ms", "cores", "rss_mb", "imbalance"):
            row[key] = median(run[key] for run in worker_runs)
        # Ratios within a round cancel slow changes of the machine's speed.
        base_runs = [run for run in runs if run["workers"] == numbers[0]]
        row["speedup"] = median(run["rps"] / base["rps"] for run, base in zip(worker_runs, base_runs, strict=True))
        row["cpu_ratio"] = median(
            run["cpu_ms"] / base["cpu_ms"] for run, base in zip(worker_runs, base_runs, strict=True)
        )
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
    """Start a cold engine under load and drain another one, for each number of workers; return what both were sent.

    Figures cover all workers together. With several workers, the last to connect to the bus gets its events 2 s late.
    """
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
        port, (operator_socket, _) = await asyncio.to_thread(context.__enter__)
        try:
            start_at = time.time() + 0.7
            processes = []
            for number in range(clients):
                parent_end, child_end = SPAWN.Pipe()
                process = SPAWN.Process(
                    target=client_process,
                    daemon=True,
                    args=(
                        child_end,
                        port,
                        connections // clients,
                        (workers << 48) + (number << 40),
                        cost_ms,
                        0.02,
                        start_at,
                        seconds + 1.0,
                    ),
                )
                process.start()
                processes.append((parent_end, process))
            await asyncio.sleep(start_at + 1.0 - time.time())
            started_at = time.time()
            bus.say(host_entry(names[3], ports[names[3]], born_ms=started_at * 1000.0))
            await asyncio.sleep(seconds / 2)
            drained = time.time()
            bus.say(host_entry(names[0], ports[names[0]], "leaving"))
            await asyncio.sleep(seconds / 2 + 0.5)
            results = [await asyncio.to_thread(parent_end.recv) for parent_end, _ in processes]
            stat = json.loads((await asyncio.to_thread(call_operator, operator_socket, "show-stat")).splitlines()[0])
        finally:
            await asyncio.to_thread(context.__exit__, None, None, None)
            bus.server.close()
        sent: dict[str, list[float]] = {}
        for pipe in pipes:
            pipe.send("sent")
            sent |= {row["name"]: [first for first, *_ in row["sent"]] for row in pipe.recv()}
    times = sorted(sent[names[3]])
    worst = 0.0
    for first_index, first in enumerate(times):
        last = max(index for index in range(first_index, len(times)) if times[index] < first + 1.0)
        warmth = (max(0.0, times[last] - started_at) / 15.0) ** 2
        budget = 4.0 * (0.3 + 0.7 * warmth) * 0.85 * 8 * 1000.0  # the rule's limit in core-ms per window
        worst = max(worst, (last - first_index + 1) * cost_ms / budget)
    late = [first - drained for first in sent[names[0]] if first > drained]
    return {
        "workers": workers,
        "cold_sent": len(times),
        "worst_of_rule": worst,
        "first_s": times[0] - started_at if times else None,
        "late_ms": 1000.0 * max(late, default=0.0),
        "served": stat["calls"]["lookup"]["success"],
        "statuses": [dict(r[1]) for r in results],
    }


def table(result: dict[str, Any]) -> str:
    """Format a result of `compare` or `cold` as a text table with one row per number of workers."""
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
    """Plot requests per second and latency by number of workers into the file `path`.

    Raise SystemExit without matplotlib (the extra `plot`) or for a result that is not of `compare`.
    """
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
