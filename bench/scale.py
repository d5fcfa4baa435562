"""Where a request's time goes as engines and open requests grow, and the cost of timers.

    python bench/scale.py cells [FILE]               core and module without sockets, by engines and open requests
    python bench/scale.py timers [FILE]              the wheel, a heap, asyncio's heap and a sorted list, side by side
    python bench/scale.py profile [FILE [CHECKOUT]]  a coordinator under load on sockets, sampled by its processor time
    python bench/scale.py compare BASE [ROUNDS]      this checkout and another in turn: CPU a request, p99 at 80% load

`cells` drives a `Core` with engines that answer when the bench says so; the module's part is timed inside. With
PYTHONPATH set to another checkout it measures that one. `profile` needs no change in the program: the coordinator is
started with a sampler on the interpreter's path that records the stack at each millisecond of its own processor time.
Times are of this thread's processor, and so depend little on what else the machine does.
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

from common import tell

from frostspindle import policy
from frostspindle.core import Attempt, ClientRequest, Core, EngineState
from frostspindle.lab.bench import SPAWN, SQL, coordinator, cpu_s, engines
from frostspindle.lab.engines import coordinator_config, host_entry
from frostspindle.policy import AttemptOutcome
from frostspindle.telemetry import Telemetry

ENGINES, OPEN = (4, 32, 96, 300, 1000), (100, 1000, 10_000)
CELL_S = 1.5  # of processor time at most, for one cell
REPORT = (0.3, 2.0, 0.2)


# Without sockets.


class Silent:
    """A driver whose attempts end when the benchmark ends them."""

    has_shared_versions = False

    def __init__(self) -> None:
        self.out: list[Attempt] = []

    def update_engine(self, engine: EngineState) -> None:
        """Ignore a newly listed engine."""

    def update_priority(self, attempt: Attempt) -> None:
        """Ignore a change of an attempt's priority."""

    def start_health_check(self, engine: int) -> None:
        """Ignore a health check, which never gets a result."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Keep the attempt for the benchmark to end."""
        self.out.append(attempt)

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


async def cell(count: int, open_: int) -> dict[str, Any]:
    """Load a core that has `open_` requests open with `count` engines.

    Return CPU microseconds a request: of the core without the decision module, of that module, of it by event; and the
    number of timers.
    """
    draw, driver = random.Random(7), Silent()
    core = Core(settings(), [("bench", "lookup")], 1, Telemetry(sink=io.BytesIO()), open_ + 64)
    spent: collections.Counter[str] = collections.Counter()
    handle, numbers, answers = core.controller.handle, itertools.count(1), itertools.count()

    def timed(now: float, event: Any) -> Any:
        began = time.thread_time()
        try:
            return handle(now, event)
        finally:
            spent[type(event).__name__] += time.thread_time() - began

    core.controller.handle = timed
    task = asyncio.create_task(core.run())
    core.update_endpoints(
        driver,
        [EngineState(policy.EngineEntry(n, 0, 0, 0, 1, 1.0, 0.0), f"s-{n}", ("", 0), driver) for n in range(count)],
        policy.EndpointListKind.FULL,
        1,
    )

    def request() -> None:
        core.submit(
            ClientRequest(
                "bench",
                0,
                f"{next(numbers):016x}",
                "SELECT 1",
                time.time() * 1000.0,
                60_000.0,
                lambda answer: next(answers) and None,
                20.0 * draw.uniform(0.5, 2.0),
                16.0,
                draw.randrange(50),
            )
        )

    async def settle() -> None:
        for _ in range(3):
            await asyncio.sleep(0)
        while core.dispatcher.inbox or core.dispatcher.urgent:
            await asyncio.sleep(0)

    def end_one() -> None:
        place = draw.randrange(len(driver.out))
        driver.out[place], driver.out[-1] = driver.out[-1], driver.out[place]
        core.attempt_ended(driver.out.pop(), AttemptOutcome.OK, REPORT)

    for _ in range(open_):
        request()
    await settle()
    for _ in range(64):
        end_one()
        request()
    await settle()
    spent.clear()
    done, began = 0, time.thread_time()
    while (took := time.thread_time() - began) < CELL_S and done < 20_000:
        for _ in range(8):
            if driver.out:
                end_one()
                request()
                done += 1
        await settle()
    result = {
        "engines": count,
        "open": open_,
        "out": len(driver.out),
        "requests": done,
        "core_us": 1e6 * (took - sum(spent.values())) / done,
        "module_us": 1e6 * sum(spent.values()) / done,
        "request_us": 1e6 * spent["RequestArrived"] / done,
        "ended_us": 1e6 * spent["AttemptEnded"] / done,
        "due_us": 1e6 * spent["TimerFired"] / done,
        "timers": core.sizes()["timers"],
    }
    task.cancel()
    return result


async def held_mb(open_: int) -> float:
    """Return the memory (MB) that so many open requests take in core and module."""
    driver = Silent()
    core = Core(settings(), [("bench", "lookup")], 1, Telemetry(sink=io.BytesIO()), open_ + 64)
    task = asyncio.create_task(core.run())
    core.update_endpoints(
        driver,
        [EngineState(policy.EngineEntry(n, 0, 0, 0, 1, 1.0, 0.0), f"s-{n}", ("", 0), driver) for n in range(96)],
        policy.EndpointListKind.FULL,
        1,
    )
    await asyncio.sleep(0.01)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    for number in range(open_):
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
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    task.cancel()
    return used / 2**20


def cells() -> dict[str, Any]:
    """Measure each number of engines with each number of open requests; print a row of each to stderr."""
    rows = []
    for count in ENGINES:
        for open_ in OPEN:
            rows.append(asyncio.run(cell(count, open_)))
            print({k: round(v, 1) for k, v in rows[-1].items()}, file=sys.stderr, flush=True)
    return {"kind": "cells", "cells": rows, "mb_of_10000_open": asyncio.run(held_mb(10_000))}


# Timers.


class Heap:
    """A plain heap; a cancelled timer stays until its time."""

    def __init__(self) -> None:
        self.heap: list[Any] = []
        self.order = 0

    def start(self, due: float, what: Any) -> Any:
        """Add a timer due at a time (ms); return nothing, as it can't be cancelled."""
        self.order += 1
        heapq.heappush(self.heap, (due, self.order, what))

    def cancel(self, timer: Any) -> None:
        """Do nothing: the timer stays until its time."""

    def turn(self, now: float) -> int:
        """Fire all timers due at `now`, cancelled ones too, and return how many there were."""
        fired = 0
        while self.heap and self.heap[0][0] <= now:
            heapq.heappop(self.heap)
            fired += 1
        return fired

    def size(self) -> int:
        """Return the number of timers held, cancelled ones included."""
        return len(self.heap)


class Loop:
    """asyncio's timers, call_at and cancel: cancelled ones are removed together once they are half of all."""

    def __init__(self) -> None:
        self.loop, self.fired, self.now = asyncio.new_event_loop(), 0, 0.0
        self.loop.time = lambda: self.now
        self.loop._clock_resolution = 0.0

    def _fire(self, what: Any) -> None:
        self.fired += 1

    def start(self, due: float, what: Any) -> Any:
        """Add a timer due at a time (ms) and return its handle."""
        return self.loop.call_at(due, self._fire, what)

    def cancel(self, timer: Any) -> None:
        """Mark the timer as cancelled."""
        timer.cancel()

    def turn(self, now: float) -> int:
        """Run the event loop once at time `now` and return how many timers fired."""
        self.now, self.fired = now, 0
        self.loop.call_soon(int)
        self.loop._run_once()
        return self.fired

    def size(self) -> int:
        """Return the number of timers held, cancelled ones included until they are removed."""
        return len(self.loop._scheduled)


class Sorted:
    """Timers in a SortedList of sortedcontainers."""

    def __init__(self) -> None:
        from sortedcontainers import SortedList

        self.list, self.order = SortedList(), 0

    def start(self, due: float, what: Any) -> Any:
        """Add a timer due at a time (ms) and return its row."""
        self.order += 1
        timer = (due, self.order, what)
        self.list.add(timer)
        return timer

    def cancel(self, timer: Any) -> None:
        """Remove the timer; raise ValueError if it has fired."""
        self.list.remove(timer)

    def turn(self, now: float) -> int:
        """Fire and remove all timers due at `now`; return how many there were."""
        fired = 0
        while self.list and self.list[0][0] <= now:
            del self.list[0]
            fired += 1
        return fired

    def size(self) -> int:
        """Return the number of timers that are pending."""
        return len(self.list)


class Wheels:
    """The project's timer wheel."""

    def __init__(self) -> None:
        from frostspindle.timers import TimerWheel

        self.wheel = TimerWheel(0.0)
        self.start, self.cancel, self.size = self.wheel.start, self.wheel.cancel, self.wheel.__len__

    def turn(self, now: float) -> int:
        """Fire and remove all timers due at `now`; return how many there were."""
        fired = 0
        while self.wheel.pop(now) is not None:
            fired += 1
        return fired


KINDS: dict[str, Callable[[], Any]] = {"heap": Heap, "asyncio": Loop, "sorted": Sorted, "wheel": Wheels}


def answered(kind: str, rate: int, seconds: float, deadline_ms: float) -> dict[str, Any]:
    """Run requests at `rate` a second, each answered 50 ms later, with a turn of the loop every millisecond.

    Deadlines are drawn from a fifth of `deadline_ms` up to it. Run twice, for time and for memory, which is slow to
    trace. Return CPU microseconds a request, the most timers held, and MB at the end.
    """
    result: dict[str, Any] = {"kind": kind, "rate": rate}
    for traced in (False, True):
        draw, timers, out, most = random.Random(3), KINDS[kind](), collections.deque[Any](), 0
        dues = [draw.uniform(deadline_ms / 5.0, deadline_ms) for _ in range(4096)]
        if traced:
            tracemalloc.start()
        began, number = time.thread_time(), 0
        for now in range(int(seconds * 1000)):
            for _ in range(rate // 1000):
                number += 1
                out.append(timers.start(now + dues[number & 4095], now))
            if now >= 50:
                for _ in range(rate // 1000):
                    timers.cancel(out.popleft())
            timers.turn(float(now))
            most = max(most, timers.size())
        if not traced:
            result |= {"us_a_request": 1e6 * (time.thread_time() - began) / number, "most": most}
        else:
            result["mb"] = tracemalloc.get_traced_memory()[0] / 2**20
            tracemalloc.stop()
    return result


def at_once(kind: str, count: int, ahead_ms: float) -> dict[str, Any]:
    """Return the CPU microseconds to start, and to fire, each of `count` timers that are due at the same time."""
    timers = KINDS[kind]()
    began = time.thread_time()
    for number in range(count):
        timers.start(ahead_ms, number)
    started = time.thread_time()
    fired = 0
    while fired < count:
        fired += timers.turn(ahead_ms + 1.0)
    return {
        "kind": kind,
        "count": count,
        "ahead_ms": ahead_ms,
        "start_us": 1e6 * (started - began) / count,
        "fire_us": 1e6 * (time.thread_time() - started) / count,
    }


def timer_costs(rounds: int = 3) -> dict[str, Any]:
    """Measure the kinds of timers in turn, `rounds` times over, and return the medians."""

    def middle(runs: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            key: median(run[key] for run in runs) if isinstance(value, float) else value
            for key, value in runs[0].items()
        }

    rows = []
    for measure, cases in (
        (answered, [(rate, 30.0, 25_000.0) for rate in (1000, 5000)]),
        (at_once, [(100_000, 100.0), (100_000, 25_000.0)]),
    ):
        for case in cases:
            turns = [[measure(kind, *case) for kind in KINDS] for _ in range(rounds)]
            rows += [middle([turn[place] for turn in turns]) for place in range(len(KINDS))]
    for row in rows:
        print({k: round(v, 2) if isinstance(v, float) else v for k, v in row.items()}, file=sys.stderr)
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
# The innermost frame that one of these knows says what the time went to: a part of the file's name, and functions.
KNOWN: tuple[tuple[str, str, tuple[str, ...]], ...] = (
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


def sort(stack: list[list[str]]) -> str:
    """Return the part of the program that a sampled stack belongs to: KNOWN's first match, from the inside out."""
    for file, function in stack:
        for kind, part, functions in KNOWN:
            if part in file and (not functions or function in functions):
                return kind
    return "other"


HEAD = (
    b"POST /call/lookup HTTP/1.1\r\nHost: b\r\nX-Request-Id: %016x\r\nX-Timeout-Ms: 7000\r\nX-Cost-Ms: 20\r\n"
    b"X-Memory: 16\r\nContent-Length: %d\r\n\r\n%b"
)


class Client(asyncio.Protocol):
    """One connection that sends requests at scheduled times, or after each answer where the load has no rate.

    A request's time counts from when it was scheduled, also if it was sent late.
    """

    def __init__(self, load: Load, first: float) -> None:
        self.load, self.due, self.buffer = load, first, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Schedule the first request."""
        self.transport: Any = transport
        asyncio.get_running_loop().call_at(self.due, self.request)

    def request(self) -> None:
        """Send the next request, unless the load is complete."""
        if not self.load.done.done():
            self.load.asked += 1
            self.transport.write(HEAD % (self.load.first + self.load.asked, len(SQL), SQL))

    def data_received(self, data: bytes) -> None:
        """Follow an answer that has a next part; record a final one and send or schedule the next request."""
        self.buffer += data
        head, mark, body = self.buffer.partition(b"\r\n\r\n")
        if not mark or len(body) < int(head.partition(b"Content-Length: ")[2].partition(b"\r")[0]):
            return
        self.buffer = b""
        loop = asyncio.get_running_loop()
        if b'"next"' in body:
            self.transport.write(b"GET %b HTTP/1.1\r\nHost: b\r\n\r\n" % json.loads(body)["next"].encode())
            return
        now = loop.time()
        self.load.answered(now - self.due, head[9:12])
        if not self.load.period:
            self.due = now
            self.request()
        else:
            self.due += self.load.period
            loop.call_at(self.due, self.request)


class Load:
    """`count` requests over `connections` connections: a closed loop, or scheduled at `rate` a second."""

    def __init__(self, first: int, count: int, connections: int, rate: float) -> None:
        self.first, self.count, self.asked = first, count, 0
        self.period = connections / rate if rate else 0.0
        self.took: list[float] = []
        self.statuses: collections.Counter[bytes] = collections.Counter()
        self.connections = connections

    def answered(self, seconds: float, status: bytes) -> None:
        """Record the time (s) and status of a request; the load is complete at `count` of them."""
        self.took.append(seconds)
        self.statuses[status] += 1
        if len(self.took) >= self.count and not self.done.done():
            self.done.set_result(None)

    async def run(self, port: int) -> float:
        """Run the load against a port and return its seconds; raise TimeoutError if it takes over 60 s."""
        loop = asyncio.get_running_loop()
        self.done = loop.create_future()
        began = loop.time() + 0.2
        starts = [began + n * self.period / self.connections for n in range(self.connections)]
        transports = [
            (await loop.create_connection(functools.partial(Client, self, at), "127.0.0.1", port))[0] for at in starts
        ]
        await asyncio.wait_for(self.done, 60.0)
        took = loop.time() - began
        for transport in transports:
            transport.close()
        return took


def client(pipe: Any, port: int, first: int, warm: int, count: int, connections: int, rate: float) -> None:
    """Run a load in a process of its own: warm up, report that to the pipe, wait, measure and send the figures.

    Any error is sent as text, as the receiver would wait for ever otherwise.
    """
    try:
        asyncio.run(Load(first, warm, connections, 0.0).run(port))
        pipe.send(None)
        pipe.recv()
        load = Load(first + (1 << 30), count, connections, rate)
        seconds = asyncio.run(load.run(port))
    except Exception as error:  # noqa: BLE001 - or who waits for the result would wait for ever
        pipe.send(repr(error))
        return
    took = sorted(load.took)
    pipe.send(
        {
            "rps": len(took) / seconds,
            "p50_ms": 1000.0 * took[len(took) // 2],
            "p99_ms": 1000.0 * took[int(0.99 * len(took))],
            "ok": load.statuses[b"200"] / len(took),
        }
    )


def run(
    ports: dict[str, int], source: str | None, count: int, connections: int = 64, rate: float = 0.0, samples: str = ""
) -> dict[str, float]:
    """Run one coordinator of the checkout `source`, None for this one, under a load from a process of its own.

    Return requests a second, latencies (ms), the part answered with 200, and its processor time a request (ms). Raise
    RuntimeError if the client fails. With `samples` its sampler is started for the measured part.
    """
    with socket.create_server(("127.0.0.1", 0)) as free:
        listen = f"127.0.0.1:{free.getsockname()[1]}"
    config = coordinator_config([host_entry(name, port) for name, port in ports.items()], listen=listen)
    with coordinator(config, 1, source) as (port, (_, pid)):
        here, there = SPAWN.Pipe()
        process = SPAWN.Process(
            target=client, daemon=True, args=(there, port, random.getrandbits(50) << 8, 1000, count, connections, rate)
        )
        process.start()
        if failed := here.recv():
            raise RuntimeError(failed)
        if samples:
            os.kill(pid, signal.SIGUSR2)
        before = cpu_s([pid])
        here.send(None)
        if isinstance(result := here.recv(), str):
            raise RuntimeError(result)
        result["cpu_ms"] = 1000.0 * (cpu_s([pid]) - before) / count
        process.join()
    return result


@contextmanager
def sampler() -> Iterator[str]:
    """Set the environment so that an interpreter started within samples its stacks; yield the file that they go to.

    The file is written when that process ends, if it ends in good order.
    """
    with tempfile.TemporaryDirectory() as folder:
        Path(folder, "sitecustomize.py").write_text(SAMPLER)
        samples = str(Path(folder, "samples"))
        path = os.pathsep.join(filter(None, (folder, os.environ.get("PYTHONPATH"))))
        with mock.patch.dict(os.environ, {"PYTHONPATH": path, "SCALE_SAMPLES": samples}):
            yield samples


def profile(source: str | None = None) -> dict[str, Any]:
    """Sample coordinators at each number of engines with 64 connections, then of connections with 32 slow engines."""
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
            except Exception as error:  # noqa: BLE001 - how far it reaches is a result
                rows.append({"engines": count, "connections": connections, "error": repr(error)})
                print(rows[-1], file=sys.stderr, flush=True)
                continue
            spent: collections.Counter[str] = collections.Counter()
            for stack, times in json.loads(Path(samples).read_text()):
                spent[sort(stack)] += times
            row["share"] = {kind: round(times / spent.total(), 3) for kind, times in spent.most_common()}
            row["samples"] = spent.total()
            rows.append(row)
            print(row, file=sys.stderr, flush=True)
    return {"kind": "profile", "rows": rows}


def compare(base: str, rounds: int, sizes: tuple[int, ...] = (4, 32, 96)) -> dict[str, Any]:
    """Run this checkout and `base` in turn, closed loop, then at 80% of the base's rate; return ratios to the base."""
    rows = []
    for count in sizes:
        with engines([f"s-{n:08x}" for n in range(1, count + 1)], 0.0, 2) as (ports, _):
            full, paced = [], []
            for turn in range(rounds):
                order = [base, None][:: 1 if turn % 2 else -1]
                full.append({source: run(ports, source, 6000) for source in order})
            rate = 0.8 * median(pair[base]["rps"] for pair in full)
            for turn in range(rounds):
                order = [base, None][:: 1 if turn % 2 else -1]
                paced.append({source: run(ports, source, int(6 * rate), rate=rate) for source in order})
        row: dict[str, Any] = {"engines": count, "rate": rate}
        for key, pairs, name in (
            ("cpu_ms", full, "cpu_ms"),
            ("rps", full, "rps"),
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
        row["ok"] = min(one["ok"] for pair in full + paced for one in pair.values())
        rows.append(row)
        print(json.dumps(row), file=sys.stderr, flush=True)
    return {"kind": "compare", "rows": rows}


def main() -> None:
    """Run the measurement named by the first argument and print one JSON object."""
    what, rest = sys.argv[1], sys.argv[2:]
    if what == "compare":
        tell(compare(rest[0], int(rest[1]) if rest[1:] else 3), None)
    else:
        does: dict[str, Callable[..., dict[str, Any]]] = {"cells": cells, "timers": timer_costs, "profile": profile}
        tell(does[what](*rest[1:]), rest[0] if rest else None)


if __name__ == "__main__":
    main()
