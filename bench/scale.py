"""Measures how the cost of requests grows with engines and open requests, and the cost of timers.

    python bench/scale.py cells [FILE]               core and policy without sockets, by engines and open requests
    python bench/scale.py timers [FILE]              the wheel, a heap, asyncio's heap and a sorted list, side by side
    python bench/scale.py profile [FILE [CHECKOUT]]  a coordinator under load on sockets, sampled by its processor time
    python bench/scale.py compare BASE [ROUNDS]      this checkout and another in turn: CPU per request, p99 at 80% load

`cells` drives a `Core` with simulated engines; calls of the decision module are timed separately. With PYTHONPATH set
to another checkout it measures that one. `profile` needs no change of the program: a sitecustomize module in the
coordinator samples the stack at each millisecond of its CPU time. Times are CPU times of this thread, and so depend
little on other load of the machine.
"""

from __future__ import annotations

import asyncio
import collections
import functools
import heapq
import io
import itertools
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from statistics import median
from typing import Any
from unittest import mock

from common import write_result

from frostspindle import policy
from frostspindle.core import Attempt, ClientRequest, Core, EngineState
from frostspindle.lab.bench import SPAWN, SQL, coordinator, cpu_s, engines
from frostspindle.lab.engines import coordinator_config, host_entry
from frostspindle.policy import AttemptOutcome
from frostspindle.telemetry import Telemetry

ENGINES, OPEN = (4, 32, 96, 300, 1000), (100, 1000, 10_000)
MAX_CELL_CPU_S = 1.5  # ends the measurement of a cell
REPORT = (0.3, 2.0, 0.2)


# Without sockets.


class ManualDriver:
    """A driver whose attempts end when the benchmark ends them."""

    has_shared_versions = False

    def __init__(self) -> None:
        self.running: list[Attempt] = []

    def update_engine(self, engine: EngineState) -> None:
        """Ignore a newly listed engine."""

    def update_priority(self, attempt: Attempt) -> None:
        """Ignore a change of an attempt's priority."""

    def start_health_check(self, engine: int) -> None:
        """Ignore a health check; it never gets a result."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Store the attempt until the benchmark ends it."""
        self.running.append(attempt)

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Ignore a cancellation."""


def settings() -> policy.Settings:
    """Return settings of one class of repeatable requests, with memory grants, priorities and load reports."""
    cls = policy.ClassSettings(25_000.0, 60_000.0, idempotency=policy.Idempotency.IDEMPOTENT, late_value_ratio=0.4)
    return policy.Settings(
        (cls,),
        kind_cores=(8.0,),
        kind_memory_mb=(16384.0,),
        grants=True,
        priorities=True,
        max_grant_ratio=0.4,
        may_cancel=True,
        may_check_health=True,
        max_attempts=5,
        retry_after=True,
        load_report_columns=("load_share", "depth", "x0"),
        progress_interval_ms=0.0,
    )


async def measure_cell(engine_count: int, open_count: int) -> dict[str, Any]:
    """Load a core that has `open_count` open requests and `engine_count` engines.

    Return CPU microseconds per request of the core without the decision module, of the module, and of the module by
    event; and the number of timers.
    """
    rng, driver = random.Random(7), ManualDriver()
    core = Core(settings(), [("bench", "lookup")], 1, Telemetry(sink=io.BytesIO()), open_count + 64)
    cpu_by_event_s: collections.Counter[str] = collections.Counter()
    original_handle, request_numbers, answer_numbers = core.controller.handle, itertools.count(1), itertools.count()

    def timed(now: float, event: Any) -> Any:
        started = time.thread_time()
        try:
            return original_handle(now, event)
        finally:
            cpu_by_event_s[type(event).__name__] += time.thread_time() - started

    core.controller.handle = timed
    task = asyncio.create_task(core.run())
    core.update_endpoints(
        driver,
        [
            EngineState(policy.EngineEntry(n, 0, 0, 0, 1, 1.0, 0.0), f"s-{n}", ("", 0), driver)
            for n in range(engine_count)
        ],
        policy.EndpointListKind.FULL,
        1,
    )

    def request() -> None:
        core.submit(
            ClientRequest(
                "bench",
                0,
                f"{next(request_numbers):016x}",
                "SELECT 1",
                time.time() * 1000.0,
                60_000.0,
                lambda answer: next(answer_numbers) and None,
                20.0 * rng.uniform(0.5, 2.0),
                16.0,
                rng.randrange(50),
            )
        )

    async def settle() -> None:
        for _ in range(3):
            await asyncio.sleep(0)
        while core.dispatcher.inbox or core.dispatcher.urgent:
            await asyncio.sleep(0)

    def end_one() -> None:
        index = rng.randrange(len(driver.running))
        driver.running[index], driver.running[-1] = driver.running[-1], driver.running[index]
        core.attempt_ended(driver.running.pop(), AttemptOutcome.OK, REPORT)

    for _ in range(open_count):
        request()
    await settle()
    for _ in range(64):
        end_one()
        request()
    await settle()
    cpu_by_event_s.clear()
    completed, started = 0, time.thread_time()
    while (cpu_s := time.thread_time() - started) < MAX_CELL_CPU_S and completed < 20_000:
        for _ in range(8):
            if driver.running:
                end_one()
                request()
                completed += 1
        await settle()
    result = {
        "engines": engine_count,
        "open": open_count,
        "out": len(driver.running),
        "requests": completed,
        "core_us": 1e6 * (cpu_s - sum(cpu_by_event_s.values())) / completed,
        "module_us": 1e6 * sum(cpu_by_event_s.values()) / completed,
        "request_us": 1e6 * cpu_by_event_s["RequestArrived"] / completed,
        "ended_us": 1e6 * cpu_by_event_s["AttemptEnded"] / completed,
        "due_us": 1e6 * cpu_by_event_s["TimerFired"] / completed,
        "timers": core.sizes()["timers"],
    }
    task.cancel()
    return result


async def measure_open_requests_mb(open_count: int) -> float:
    """Return the memory (MB) that open requests use in the core and the decision module."""
    driver = ManualDriver()
    core = Core(settings(), [("bench", "lookup")], 1, Telemetry(sink=io.BytesIO()), open_count + 64)
    task = asyncio.create_task(core.run())
    core.update_endpoints(
        driver,
        [EngineState(policy.EngineEntry(n, 0, 0, 0, 1, 1.0, 0.0), f"s-{n}", ("", 0), driver) for n in range(96)],
        policy.EndpointListKind.FULL,
        1,
    )
    await asyncio.sleep(0.01)
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    for number in range(open_count):
        core.submit(
            ClientRequest(
                "bench",
                0,
                f"{number:016x}",
                f"SELECT {number} FROM calls_17.notes",
                time.time() * 1000.0,
                60_000.0,
                lambda answer: None,
                20.0,
                16.0,
                17,
            )
        )
    while core.dispatcher.inbox:
        await asyncio.sleep(0)
    used_bytes = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    task.cancel()
    return used_bytes / 2**20


def measure_cells() -> dict[str, Any]:
    """Measure each number of engines with each number of open requests; print each row to stderr."""
    rows = []
    for engine_count in ENGINES:
        for open_count in OPEN:
            rows.append(asyncio.run(measure_cell(engine_count, open_count)))
            print({key: round(value, 1) for key, value in rows[-1].items()}, file=sys.stderr, flush=True)
    return {"kind": "cells", "cells": rows, "mb_of_10000_open": asyncio.run(measure_open_requests_mb(10_000))}


# Timers.


class HeapTimers:
    """A plain heap; cancelled timers remain until they are due."""

    def __init__(self) -> None:
        self.heap: list[Any] = []
        self.sequence = 0

    def start(self, due_at_ms: float, payload: Any) -> Any:
        """Add a timer; return None, as it can't be cancelled."""
        self.sequence += 1
        heapq.heappush(self.heap, (due_at_ms, self.sequence, payload))

    def cancel(self, timer: Any) -> None:
        """Do nothing; the timer remains until it is due."""

    def fire_due(self, now: float) -> int:
        """Fire all timers due at `now`, including cancelled ones; return their number."""
        fired = 0
        while self.heap and self.heap[0][0] <= now:
            heapq.heappop(self.heap)
            fired += 1
        return fired

    def size(self) -> int:
        """Return the number of timers, including cancelled ones."""
        return len(self.heap)


class AsyncioTimers:
    """Timers of asyncio; cancelled ones are removed in bulk once they are half of all."""

    def __init__(self) -> None:
        self.loop, self.fired, self.now = asyncio.new_event_loop(), 0, 0.0
        self.loop.time = lambda: self.now
        self.loop._clock_resolution = 0.0

    def _fire(self, payload: Any) -> None:
        self.fired += 1

    def start(self, due_at_ms: float, payload: Any) -> Any:
        """Add a timer and return its handle."""
        return self.loop.call_at(due_at_ms, self._fire, payload)

    def cancel(self, timer: Any) -> None:
        """Mark the timer as cancelled."""
        timer.cancel()

    def fire_due(self, now: float) -> int:
        """Run the event loop once at time `now` and return how many timers fired."""
        self.now, self.fired = now, 0
        self.loop.call_soon(int)
        self.loop._run_once()
        return self.fired

    def size(self) -> int:
        """Return the number of timers, including cancelled ones until they are removed."""
        return len(self.loop._scheduled)


class SortedTimers:
    """Timers in a SortedList of sortedcontainers."""

    def __init__(self) -> None:
        from sortedcontainers import SortedList

        self.list, self.sequence = SortedList(), 0

    def start(self, due_at_ms: float, payload: Any) -> Any:
        """Add a timer and return its row."""
        self.sequence += 1
        timer = (due_at_ms, self.sequence, payload)
        self.list.add(timer)
        return timer

    def cancel(self, timer: Any) -> None:
        """Remove the timer; raise ValueError if it has fired."""
        self.list.remove(timer)

    def fire_due(self, now: float) -> int:
        """Fire and remove all timers due at `now`; return how many there were."""
        fired = 0
        while self.list and self.list[0][0] <= now:
            del self.list[0]
            fired += 1
        return fired

    def size(self) -> int:
        """Return the number of pending timers."""
        return len(self.list)


class WheelTimers:
    """The project's timer wheel."""

    def __init__(self) -> None:
        from frostspindle.timers import TimerWheel

        self.wheel = TimerWheel(0.0)
        self.start, self.cancel, self.size = self.wheel.start, self.wheel.cancel, self.wheel.__len__

    def fire_due(self, now: float) -> int:
        """Fire and remove all timers due at `now`; return how many there were."""
        fired = 0
        while self.wheel.pop(now) is not None:
            fired += 1
        return fired


KINDS: dict[str, Callable[[], Any]] = {
    "heap": HeapTimers,
    "asyncio": AsyncioTimers,
    "sorted": SortedTimers,
    "wheel": WheelTimers,
}


def measure_answered(kind: str, rate: int, seconds: float, deadline_ms: float) -> dict[str, Any]:
    """Run requests at `rate` per second, each answered after 50 ms, firing due timers every millisecond.

    Deadlines are drawn from a fifth of `deadline_ms` up to it. Time and memory are measured in separate runs, as
    tracing memory is slow. Return CPU microseconds per request, the maximum number of timers, and MB at the end.
    """
    result: dict[str, Any] = {"kind": kind, "rate": rate}
    for traced in (False, True):
        rng, timers, pending, max_held = random.Random(3), KINDS[kind](), collections.deque[Any](), 0
        deadlines = [rng.uniform(deadline_ms / 5.0, deadline_ms) for _ in range(4096)]
        if traced:
            tracemalloc.start()
        started, number = time.thread_time(), 0
        for now in range(int(seconds * 1000)):
            for _ in range(rate // 1000):
                number += 1
                pending.append(timers.start(now + deadlines[number & 4095], now))
            if now >= 50:
                for _ in range(rate // 1000):
                    timers.cancel(pending.popleft())
            timers.fire_due(float(now))
            max_held = max(max_held, timers.size())
        if not traced:
            result |= {"us_a_request": 1e6 * (time.thread_time() - started) / number, "most": max_held}
        else:
            result["mb"] = tracemalloc.get_traced_memory()[0] / 2**20
            tracemalloc.stop()
    return result


def measure_simultaneous(kind: str, count: int, ahead_ms: float) -> dict[str, Any]:
    """Return the CPU microseconds to start and to fire each of `count` timers that are due at the same time."""
    timers = KINDS[kind]()
    started = time.thread_time()
    for number in range(count):
        timers.start(ahead_ms, number)
    start_end = time.thread_time()
    fired = 0
    while fired < count:
        fired += timers.fire_due(ahead_ms + 1.0)
    return {
        "kind": kind,
        "count": count,
        "ahead_ms": ahead_ms,
        "start_us": 1e6 * (start_end - started) / count,
        "fire_us": 1e6 * (time.thread_time() - start_end) / count,
    }


def measure_timers(rounds: int = 3) -> dict[str, Any]:
    """Measure the kinds of timers alternately, `rounds` times, and return the medians."""

    def medians(runs: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            key: median(run[key] for run in runs) if isinstance(value, float) else value
            for key, value in runs[0].items()
        }

    rows = []
    for measure, cases in (
        (measure_answered, [(rate, 30.0, 25_000.0) for rate in (1000, 5000)]),
        (measure_simultaneous, [(100_000, 100.0), (100_000, 25_000.0)]),
    ):
        for case in cases:
            rounds_run = [[measure(kind, *case) for kind in KINDS] for _ in range(rounds)]
            rows += [medians([round_run[index] for round_run in rounds_run]) for index in range(len(KINDS))]
    for row in rows:
        print(
            {key: round(value, 2) if isinstance(value, float) else value for key, value in row.items()}, file=sys.stderr
        )
    return {"kind": "timers", "rows": rows}


# On sockets.

SAMPLER = """
import atexit, collections, json, os, signal
path = os.environ.get("SCALE_SAMPLES")
if path:
    seen = collections.Counter()
    def take(number, frame):
        stack = []
        while frame is not None and len(stack) < 12:
            stack.append((frame.f_code.co_filename, frame.f_code.co_name))
            frame = frame.f_back
        seen[tuple(stack)] += 1
    def begin(number, frame):
        seen.clear()
        signal.setitimer(signal.ITIMER_PROF, 0.001, 0.001)
    signal.signal(signal.SIGPROF, take)
    signal.signal(signal.SIGUSR2, begin)
    atexit.register(lambda: open(path, "w").write(json.dumps(list(seen.items()))))
"""
# Kind, part of a file name, and functions (all if empty). The innermost frame that matches determines the kind.
FRAME_KINDS: tuple[tuple[str, str, tuple[str, ...]], ...] = (
    ("module", "frostspindle/policy/", ()),
    ("timers", "frostspindle/timers.py", ()),
    ("timers", "asyncio/timeouts.py", ()),
    ("timers", "heapq.py", ()),
    ("timers", "base_events.py", ("call_later", "call_at", "_timer_handle_cancelled")),
    ("timers", "asyncio/events.py", ("__lt__", "cancel", "when")),
    ("sockets", "selector_events.py", ()),
    ("sockets", "selectors.py", ()),
    ("sockets", "line.py", ("usable",)),
    ("parsing", "http/clients.py", ()),
    ("parsing", "net/fields.py", ()),
    ("parsing", "statements.py", ()),
    (
        "parsing",
        "http/line.py",
        ("data_received", "on_message_begin", "on_header", "on_headers_complete", "on_body", "on_message_complete"),
    ),
    ("parsing", "replies.py", ()),
    ("parsing", "readings.py", ()),
    ("answers, JSON", "http/calls.py", ()),
    ("answers, JSON", "http/paths.py", ()),
    ("ledger, queue", "frostspindle/core/", ()),
    ("ledger, queue", "frostspindle/telemetry.py", ()),
    ("front", "net/platform.py", ()),
    ("attempt", "net/http/", ()),
    ("attempt", "net/engines.py", ()),
    ("attempt", "net/__init__.py", ()),
    ("attempt", "frostspindle/pools.py", ()),
    ("tasks, wake-ups", "asyncio/", ()),
)


def classify_stack(stack: list[list[str]]) -> str:
    """Return the kind of work of a sampled stack: the first match in FRAME_KINDS, from the innermost frame out."""
    for file, function in stack:
        for kind, part, functions in FRAME_KINDS:
            if part in file and (not functions or function in functions):
                return kind
    return "other"


HEAD = (
    b"POST /call/lookup HTTP/1.1\r\nHost: b\r\nX-Request-Id: %016x\r\nX-Timeout-Ms: 7000\r\nX-Cost-Ms: 20\r\n"
    b"X-Memory: 16\r\nContent-Length: %d\r\n\r\n%b"
)


class Client(asyncio.Protocol):
    """One connection that sends requests at scheduled times, or after each response if the load has no rate.

    Response times count from the scheduled time, even if the request was sent late.
    """

    def __init__(self, load: Load, first: float) -> None:
        self.load, self.scheduled_at, self.buffer = load, first, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Schedule the first request."""
        self.transport: Any = transport
        asyncio.get_running_loop().call_at(self.scheduled_at, self.request)

    def request(self) -> None:
        """Send the next request unless the load is complete."""
        if not self.load.done.done():
            self.load.sent += 1
            self.transport.write(HEAD % (self.load.first + self.load.sent, len(SQL), SQL))

    def data_received(self, data: bytes) -> None:
        """Follow a `next` link; record a final response and send or schedule the next request."""
        self.buffer += data
        head, separator, body = self.buffer.partition(b"\r\n\r\n")
        if not separator or len(body) < int(head.partition(b"Content-Length: ")[2].partition(b"\r")[0]):
            return
        self.buffer = b""
        loop = asyncio.get_running_loop()
        if b'"next"' in body:
            self.transport.write(b"GET %b HTTP/1.1\r\nHost: b\r\n\r\n" % json.loads(body)["next"].encode())
            return
        now = loop.time()
        self.load.record(now - self.scheduled_at, head[9:12])
        if not self.load.period:
            self.scheduled_at = now
            self.request()
        else:
            self.scheduled_at += self.load.period
            loop.call_at(self.scheduled_at, self.request)


class Load:
    """`count` requests over `connections` connections: a closed loop, or scheduled at `rate` a second."""

    def __init__(self, first: int, count: int, connections: int, rate: float) -> None:
        self.first, self.count, self.sent = first, count, 0
        self.period = connections / rate if rate else 0.0
        self.response_times_s: list[float] = []
        self.statuses: collections.Counter[bytes] = collections.Counter()
        self.connections = connections

    def record(self, seconds: float, status: bytes) -> None:
        """Record the response time (s) and status of a request; the load is complete after `count` requests."""
        self.response_times_s.append(seconds)
        self.statuses[status] += 1
        if len(self.response_times_s) >= self.count and not self.done.done():
            self.done.set_result(None)

    async def run(self, port: int) -> float:
        """Run the load against a port and return its duration (s); raise TimeoutError if it takes over 60 s."""
        loop = asyncio.get_running_loop()
        self.done = loop.create_future()
        started = loop.time() + 0.2
        starts = [started + index * self.period / self.connections for index in range(self.connections)]
        transports = [
            (await loop.create_connection(functools.partial(Client, self, start_at), "127.0.0.1", port))[0]
            for start_at in starts
        ]
        await asyncio.wait_for(self.done, 60.0)
        elapsed_s = loop.time() - started
        for transport in transports:
            transport.close()
        return elapsed_s


def client_process(
    pipe: Any, port: int, first: int, warm_up_count: int, count: int, connections: int, rate: float
) -> None:
    """Entry point of the client process: warm up, notify the parent, wait for its signal, measure, send the figures.

    Errors are sent as text; otherwise the parent would wait forever.
    """
    try:
        asyncio.run(Load(first, warm_up_count, connections, 0.0).run(port))
        pipe.send(None)
        pipe.recv()
        load = Load(first + (1 << 30), count, connections, rate)
        seconds = asyncio.run(load.run(port))
    except Exception as error:  # noqa: BLE001 - otherwise the parent would wait forever
        pipe.send(repr(error))
        return
    response_times_s = sorted(load.response_times_s)
    pipe.send(
        {
            "rps": len(response_times_s) / seconds,
            "p50_ms": 1000.0 * response_times_s[len(response_times_s) // 2],
            "p99_ms": 1000.0 * response_times_s[int(0.99 * len(response_times_s))],
            "ok": load.statuses[b"200"] / len(response_times_s),
        }
    )


def run(
    ports: dict[str, int], source: str | None, count: int, connections: int = 64, rate: float = 0.0, samples: str = ""
) -> dict[str, float]:
    """Run one coordinator of the checkout `source`, None for this one, under a load from a separate process.

    Return requests per second, latencies (ms), the share of responses with status 200, and the CPU time per request
    (ms). Raise RuntimeError if the client fails. With `samples`, the sampler runs during the measurement.
    """
    with socket.create_server(("127.0.0.1", 0)) as probe:
        listen = f"127.0.0.1:{probe.getsockname()[1]}"
    config = coordinator_config([host_entry(name, port) for name, port in ports.items()], listen=listen)
    with coordinator(config, 1, source) as (port, (_, pid)):
        parent_pipe, child_pipe = SPAWN.Pipe()
        process = SPAWN.Process(
            target=client_process,
            daemon=True,
            args=(child_pipe, port, random.getrandbits(50) << 8, 1000, count, connections, rate),
        )
        process.start()
        if error := parent_pipe.recv():
            raise RuntimeError(error)
        if samples:
            os.kill(pid, signal.SIGUSR2)
        cpu_before = cpu_s([pid])
        parent_pipe.send(None)
        if isinstance(result := parent_pipe.recv(), str):
            raise RuntimeError(result)
        result["cpu_ms"] = 1000.0 * (cpu_s([pid]) - cpu_before) / count
        process.join()
    return result


@contextmanager
def sampler() -> Iterator[str]:
    """Set the environment so that interpreters started within it sample their stacks; yield the path of the samples.

    The file is written at the regular exit of that process.
    """
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "sitecustomize.py").write_text(SAMPLER)
        samples = str(Path(folder, "samples"))
        path = os.pathsep.join(filter(None, (folder, os.environ.get("PYTHONPATH"))))
        with mock.patch.dict(os.environ, {"PYTHONPATH": path, "SCALE_SAMPLES": samples}):
            yield samples


def profile_coordinators(source: str | None = None) -> dict[str, Any]:
    """Sample coordinators with each number of engines and 64 connections, then with 32 slow engines."""
    rows = []
    for count, connections, delay_s in [(n, 64, 0.0) for n in ENGINES] + [(32, 100, 0.1), (32, 1000, 0.1)]:
        names = [f"s-{n:08x}" for n in range(1, count + 1)]
        with engines(names, delay_s, 2) as (ports, _), sampler() as samples:
            try:
                row: dict[str, Any] = {
                    "engines": count,
                    "connections": connections,
                    "delay_s": delay_s,
                    **run(ports, source, 8000 if delay_s else 20_000, connections, samples=samples),
                }
            except Exception as error:  # noqa: BLE001 - a size that fails is a result
                rows.append({"engines": count, "connections": connections, "error": repr(error)})
                print(rows[-1], file=sys.stderr, flush=True)
                continue
            samples_by_kind: collections.Counter[str] = collections.Counter()
            for stack, sample_count in json.loads(Path(samples).read_text()):
                samples_by_kind[classify_stack(stack)] += sample_count
            row["share"] = {
                kind: round(sample_count / samples_by_kind.total(), 3)
                for kind, sample_count in samples_by_kind.most_common()
            }
            row["samples"] = samples_by_kind.total()
            rows.append(row)
            print(row, file=sys.stderr, flush=True)
    return {"kind": "profile", "rows": rows}


def compare(base: str, rounds: int, sizes: tuple[int, ...] = (4, 32, 96)) -> dict[str, Any]:
    """Alternate this checkout and `base`, closed loop, then at 80% of the base's rate; return ratios to the base."""
    rows = []
    for count in sizes:
        with engines([f"s-{n:08x}" for n in range(1, count + 1)], 0.0, 2) as (ports, _):
            closed_loop, paced = [], []
            for round_number in range(rounds):
                order = [base, None][:: 1 if round_number % 2 else -1]
                closed_loop.append({source: run(ports, source, 6000) for source in order})
            rate = 0.8 * median(pair[base]["rps"] for pair in closed_loop)
            for round_number in range(rounds):
                order = [base, None][:: 1 if round_number % 2 else -1]
                paced.append({source: run(ports, source, int(6 * rate), rate=rate) for source in order})
        row: dict[str, Any] = {"engines": count, "rate": rate}
        for key, pairs, name in (
            ("cpu_ms", closed_loop, "cpu_ms"),
            ("rps", closed_loop, "rps"),
            ("p99_ms", paced, "p99_at_80"),
            ("cpu_ms", paced, "cpu_at_80"),
        ):
            ratios = sorted(pair[None][key] / pair[base][key] for pair in pairs)
            row[name] = {
                "ratio": median(ratios),
                "least": ratios[0],
                "most": ratios[-1],
                "now": median(pair[None][key] for pair in pairs),
                "base": median(pair[base][key] for pair in pairs),
            }
        row["ok"] = min(result["ok"] for pair in closed_loop + paced for result in pair.values())
        rows.append(row)
        print(json.dumps(row), file=sys.stderr, flush=True)
    return {"kind": "compare", "rows": rows}


def main() -> None:
    """Run the measurement named by the first argument and print one JSON object."""
    measurement, arguments = sys.argv[1], sys.argv[2:]
    if measurement == "compare":
        write_result(compare(arguments[0], int(arguments[1]) if arguments[1:] else 3), None)
    else:
        measurements: dict[str, Callable[..., dict[str, Any]]] = {
            "cells": measure_cells,
            "timers": measure_timers,
            "profile": profile_coordinators,
        }
        write_result(measurements[measurement](*arguments[1:]), arguments[0] if arguments else None)


if __name__ == "__main__":
    main()
