"""Stand-ins for the review's cases: HTTP engines, the event bus, HTTP clients, and coordinators as processes.

They use loopback addresses, free ports, the real clock and the standard library only. All of them behave as the
platform's protocol page says; each case adds its own disruption. Everything that is sent, answered and run is written
to a record, one line an event.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2  # exit codes of a case
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
POLL_HOLD_S = 0.25  # an engine answers a poll without news after this
UNPOLLED_EXPIRY_S = 2.0  # an engine ends a query that was not asked for in this time
BUS_BEAT_S = 1.0
MAX_PAGE_BYTES = 6000
READY_TIMEOUT_S = 30.0


class CaseError(Exception):
    """The case could not run: its verdict says nothing about the rule."""


class Record:
    """The record of one run: a text file with one line an event, and the same events in memory."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.time()
        self._file = path.open("w", encoding="utf-8")

    def write(self, who: str, event: str, **fields: Any) -> float:
        """Write one event and return its time, in Unix seconds."""
        now = time.time()
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{now - self.started_at:9.4f} {who:<12} {event} {text}".rstrip() + "\n")
        self._file.flush()
        return now

    def since_start(self, then: float) -> float:
        """Return the seconds from the start of the record to a Unix time."""
        return then - self.started_at

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# HTTP messages.


@dataclass
class Message:
    """One HTTP message: its first line, its headers by lower-case name, and its body."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.first.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message with a length; raise IncompleteReadError at the end of the stream."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return Message(first, headers, await reader.readexactly(int(headers.get("content-length", "0"))))


# Engines.


@dataclass
class Run:
    """One query at an engine, from its complete POST to its end."""

    ticket: str
    cls: str
    engine: str
    started_at: float
    statement: str
    asked_at: float
    pages: list[bytes] = field(default_factory=list)
    threads: int = 1
    left_s: float = 0.0  # what is left of its time, where engines share their cores
    done: asyncio.Event = field(default_factory=asyncio.Event)
    ended_at: float | None = None
    ending: str = ""

    @property
    def rows(self) -> bytes:
        """All rows of the result."""
        return b"".join(self.pages)

    def end(self, ending: str) -> None:
        """Record the end of the query, once."""
        if self.ended_at is None:
            self.ended_at, self.ending = time.time(), ending


class Engine:
    """An engine that speaks the platform's HTTP protocol.

    `duration_s(run)` tells how long a query runs and `rows(run)` what it returns. `after_answer` is called with each
    final answer that was written on a connection.
    """

    def __init__(
        self,
        name: str,
        record: Record,
        duration_s: Callable[[Run], float],
        rows: Callable[[Run], bytes],
    ) -> None:
        self.name, self.record = name, record
        self.duration_s, self.rows = duration_s, rows
        self.runs: list[Run] = []
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.cores = 0.0  # shared by the threads of all queries; 0: a query never waits for another
        self.threads: Callable[[Run], int] = lambda run: 1
        self.after_answer: Callable[[asyncio.StreamWriter, Run, bytes], None] = lambda writer, run, answer: None
        self._open: dict[str, Run] = {}
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> Engine:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self._spawn(self._expire())
        if self.cores:
            self._spawn(self._share_cores())
        return self

    def stop_listening(self) -> None:
        """Accept no more connections; those that are open are served."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def reset_connections(self) -> None:
        """Reset all open connections; the queries run on."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """End the engine."""
        self.stop_listening()
        for task in self._tasks:
            task.cancel()
        self.reset_connections()

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                call = await read_message(reader)
                method, path, _ = call.first.split(" ")
                await self._answer(writer, method, path, call)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass  # the coordinator has closed the connection, it was reset, or the case is over
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, writer: asyncio.StreamWriter, method: str, path: str, call: Message) -> None:
        segments = path.strip("/").split("/")
        if segments[0] in ("healthz", "stats"):
            self._say(writer, 200)
        elif method == "POST":
            await self._news(writer, self._begin(call))
        elif method == "PUT":
            self._say(writer, 204)
        elif method == "DELETE":
            self._delete(segments[2])
            self._say(writer, 204)
        else:
            await self._page(writer, self._open.get(segments[2]), int(segments[3]))

    async def _page(self, writer: asyncio.StreamWriter, run: Run | None, number: int) -> None:
        if run is None or number and not 0 < number < len(run.pages):
            self._say(writer, 500)
            return
        run.asked_at = time.time()
        if number:
            self._say(writer, 200, run.pages[number], f"X-Page: {number}\r\n")
        else:
            await self._news(writer, run)

    def _begin(self, call: Message) -> Run:
        now = time.time()
        ticket, cls = call.headers["x-ticket"], call.headers["x-queue"]
        run = Run(ticket, cls, self.name, now, call.body.decode(), now)
        run.pages = _pages(self.rows(run))
        self.runs.append(run)
        self._open[ticket] = run
        self.record.write(self.name, "POST", ticket=ticket, cls=cls)
        run.threads, run.left_s = self.threads(run), self.duration_s(run)
        if not self.cores:
            asyncio.get_running_loop().call_later(run.left_s, self._finish, run)
        return run

    async def _share_cores(self) -> None:
        before = time.time()
        while True:
            await asyncio.sleep(0.01)
            now = time.time()
            working = [run for run in self._open.values() if run.ended_at is None and run.left_s > 0.0]
            share = min(1.0, self.cores / max(1, sum(run.threads for run in working)))
            for run in working:
                run.left_s -= share * (now - before)
                if run.left_s <= 0.0:
                    self._finish(run)
            before = now

    def _finish(self, run: Run) -> None:
        if run.ended_at is None:
            self.record.write(self.name, "done", ticket=run.ticket)
            run.done.set()

    def _delete(self, ticket: str) -> None:
        self.record.write(self.name, "DELETE", ticket=ticket)
        run = self._open.pop(ticket, None)
        if run is not None:
            run.end("deleted")

    async def _news(self, writer: asyncio.StreamWriter, run: Run) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(POLL_HOLD_S):
                await run.done.wait()
        run.asked_at = time.time()
        if not run.done.is_set():
            share = min(0.95, (run.asked_at - run.started_at) / max(0.1, self.duration_s(run)))
            self._say(writer, 202, head=f"X-Remark: pct\r\nX-Value: {share:.2f}\r\n")
            return
        run.end("answered")
        answer = self._say(writer, 200, run.pages[0], f"X-Pages: {len(run.pages)}\r\n")
        self.record.write(self.name, "answer", ticket=run.ticket, status=200)
        self.after_answer(writer, run, answer)

    def _say(self, writer: asyncio.StreamWriter, status: int, body: bytes = b"", head: str = "") -> bytes:
        busy = sum(run.ended_at is None for run in self._open.values())
        meter = f"X-Meter: load_share:{min(1.0, busy / 8):.2f};depth:0;x0:{min(1.0, busy / 32):.2f}\r\n"
        length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
        answer = f"HTTP/1.1 {status} X\r\n{length}{meter}{head}\r\n".encode() + body
        if not writer.transport.is_closing():
            writer.write(answer)
        return answer

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.time()
            for ticket, run in list(self._open.items()):
                if now - run.asked_at > UNPOLLED_EXPIRY_S:
                    del self._open[ticket]
                    if run.ended_at is None:
                        run.end("expired")
                        self.record.write(self.name, "expired", ticket=ticket)


def _pages(rows: bytes) -> list[bytes]:
    """Split rows into pages of whole rows."""
    pages = [b""]
    for row in rows.splitlines(keepends=True):
        if len(pages[-1]) + len(row) > MAX_PAGE_BYTES:
            pages.append(b"")
        pages[-1] += row
    return pages


# The event bus.


class Bus:
    """The event bus: numbered events that every follower gets, and each second a line with the last number."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> Bus:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def say(self, *hosts: dict[str, Any], whole: bool = False) -> float:
        """Tell an event to all followers; return its time."""
        offset = len(self.events) + 1
        event = {"offset": offset, "topology": {"seq": offset, "whole": whole, "hosts": list(hosts)}}
        self.events.append(event)
        for writer in self._writers:
            writer.write(json.dumps(event).encode() + b"\n")
        text = ",".join(f"{host['host']}:{host['health']}" for host in hosts)
        return self.record.write("bus", "told", offset=offset, hosts=text)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            after = int((await reader.readline()).split()[1])
            for event in self.events[after:]:
                writer.write(json.dumps(event).encode() + b"\n")
            self._writers.add(writer)
            while not writer.transport.is_closing():
                writer.write(b"%d\n" % len(self.events))
                await writer.drain()
                await asyncio.sleep(BUS_BEAT_S)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass  # the coordinator has gone, or the case is over
        finally:
            self._writers.discard(writer)
            writer.close()

    def close(self) -> None:
        """End the bus."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()


def host(
    engine: Engine, health: str = "active", born_ms: float = 0.0, place: tuple[str, str] = ("floor-1", "std-8")
) -> dict[str, Any]:
    """Return an engine's entry in an event of the bus; `place` is its failure domain and its kind."""
    return {
        "host": engine.name,
        "dial": f"127.0.0.1:{engine.port}",
        "site": place[0],
        "class": place[1],
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


# Clients.


@dataclass
class Answer:
    """A client's final answer: `kind` is served, refused, failed, or none if there was none."""

    kind: str
    status: int
    rows: list[list[str]]
    at: float


class Client:
    """One HTTP client: one call at a time on a connection that is kept, at most 4 s idle."""

    def __init__(self, port: int, record: Record, name: str) -> None:
        self.port, self.record, self.name = port, record, name
        self.path = ""  # the last path in `next`
        # Whether it walks away once it has a path: it calls no more, and its connection stays open and silent.
        self.walks_away: Callable[[], bool] = lambda: False
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._used_at = 0.0

    async def _connect(self) -> None:
        if self._writer is None or self._writer.is_closing() or time.time() - self._used_at > 3.5:
            self.close()
            self._reader, self._writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def _call(self, method: str, path: str, head: str = "", body: bytes = b"") -> Message:
        assert self._reader is not None and self._writer is not None
        length = f"Content-Length: {len(body)}\r\n" if method == "POST" else ""
        self._writer.write(f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\n{head}{length}\r\n".encode() + body)
        message = await read_message(self._reader)
        self._used_at = time.time()
        if message.headers.get("connection", "") == "close":
            self.close()
        return message

    async def ask(
        self, cls: str, ticket: str, statement: str, timeout_s: float, cost_ms: float, keeps_rows: bool = True
    ) -> Answer:
        """Send one request, follow `next` and return the final answer; kind `none` if there is none in time."""
        head = (
            f"X-Request-Id: {ticket}\r\nX-Timeout-Ms: {timeout_s * 1000:.0f}\r\n"
            f"X-Cost-Ms: {cost_ms:.1f}\r\nX-Memory: 64\r\n"
        )
        rows: list[list[str]] = []
        self.record.write(self.name, "ask", ticket=ticket, cls=cls)
        try:
            async with asyncio.timeout(timeout_s + 0.5):
                message = await self._first_call(f"/call/{cls}", head, statement.encode())
                while True:
                    body = json.loads(message.body or b"{}")
                    rows += body.get("rows", [])
                    self.path = body.get("next", "")
                    if not self.path or message.status != 200:
                        break
                    if self.walks_away():
                        return Answer("walked away", 0, [], self.record.write(self.name, "walks away", ticket=ticket))
                    message = await self._poll()
        except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
            self.close()
            at = self.record.write(self.name, "no answer", ticket=ticket, error=repr(error))
            return Answer("none", 0, rows, at)
        kind = _kind(message.status, body)
        shown = rows if keeps_rows else len(rows)
        at = self.record.write(self.name, kind, ticket=ticket, status=message.status, rows=shown)
        rows = rows if keeps_rows else []
        return Answer(kind, message.status, rows, at)

    async def _first_call(self, path: str, head: str, body: bytes) -> Message:
        is_kept = self._writer is not None and not self._writer.is_closing()
        written_at = time.time()
        await self._connect()
        try:
            return await self._call("POST", path, head, body)
        except (OSError, asyncio.IncompleteReadError):
            # A request that crosses the close of a kept connection within 50 ms is sent again, once.
            self.close()
            if not is_kept or time.time() - written_at > 0.05:
                raise
        await self._connect()
        return await self._call("POST", path, head, body)

    async def _poll(self) -> Message:
        """Call the path on the same connection; on a new one, at most three times, if it ends without an answer."""
        for _ in range(3):
            try:
                await self._connect()
                return await self._call("GET", self.path)
            except (OSError, asyncio.IncompleteReadError):
                self.close()
        await self._connect()
        return await self._call("GET", self.path)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def _kind(status: int, body: dict[str, Any]) -> str:
    if status in (429, 503) or body.get("failure") == "Busy":
        return "refused"
    return "served" if status == 200 and "failure" not in body else "failed"


class Tickets:
    """New request ids, of 16 hex digits each."""

    def __init__(self, seed: int) -> None:
        self._random = random.Random(seed)

    def next(self) -> str:
        """Return a new id."""
        return f"{self._random.getrandbits(64):016x}"


# Coordinators.


def _category(name: str, effect: str, promise: float, hard: float, worth: float, stretch: float, late: float) -> Any:
    return {
        "name": name,
        "effect": effect,
        "promise": promise,
        "hardLimit": hard,
        "worth": worth,
        "aimStretch": stretch,
        "lateShare": late,
        "window": 5000.0,
        "dedupScope": "all",
        "stream": False,
    }


def site_settings() -> dict[str, Any]:
    """Return settings like those of bole-main: three classes, engines of eight cores."""
    return {
        "balancers": 1,
        "me": 0,
        "kinds": ["std-8"],
        "failureDomains": ["floor-1", "floor-2", "floor-3"],
        "discovery": "automatic",
        "categories": [
            _category("lookup", "repeatable", 1500.0, 7500.0, 1.0, 1.5, 0.1),
            _category("report", "repeatable", 3000.0, 25000.0, 4.0, 2.5, 0.4),
            _category("load", "once", 4000.0, 20000.0, 3.0, 2.5, 0.6),
        ],
        "domain": {
            "classThreads": [1, 3, 2],
            "classLoad": [False, False, True],
            "blockedByLoads": [False, False, False],
            "kindCores": [8],
            "sizeMb": [16384.0],
            "grants": True,
            "priorities": True,
            "mostGrant": 0.4,
            "notePeriod": 500.0,
            "saysCost": False,
            "whenShort": "wait",
        },
        "limits": {
            "cancel": True,
            "probes": True,
            "retryAfter": True,
            "secondCopies": False,
            "mostTries": 5,
            "maxRetryAfter": 1000.0,
            "dialTimeout": 250.0,
            "connIdle": 15000.0,
        },
        "report": {"how": "piggyback", "columns": ["load_share", "depth", "x0"]},
        "rules": {
            "stopSendingWithin": 250.0,
            "startCapacity": 0.3,
            "warmWithin": 15000.0,
            "fall": 1000.0,
            "tipMultiple": 4.0,
            "answerSlack": 20.0,
        },
    }


def sofia_settings() -> dict[str, Any]:
    """Return settings like those of sofia-head-office: three classes, engines of sixteen cores."""
    settings = site_settings()
    settings["kinds"] = ["std-16"]
    settings["failureDomains"] = ["hall-a", "hall-b", "hall-c"]
    settings["categories"] = [
        _category("tile-lookup", "repeatable", 500.0, 2500.0, 1.0, 2.0, 0.1),
        _category("storm-report", "repeatable", 1500.0, 20000.0, 12.0, 2.5, 0.3),
        {**_category("scan-load", "once", 3000.0, 25000.0, 20.0, 2.5, 0.6), "inOrder": True},
    ]
    settings["domain"] |= {"kindCores": [16], "sizeMb": [32768.0], "notePeriod": 2000.0, "saysCost": True}
    settings["limits"] |= {"mostTries": 4}
    settings["rules"] |= {"startCapacity": 0.36, "warmWithin": 14000.0, "fall": 2000.0, "tipMultiple": 2.5}
    return settings


def free_port() -> int:
    """Return a TCP port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Coordinator:
    """One coordinator, started with the run line of the deploy file; `folder` holds its files and its log."""

    def __init__(self, name: str, record: Record, folder: Path) -> None:
        self.name, self.record = name, record
        self.port, self.operator_port = free_port(), free_port()
        self.folder = folder / name
        self.config_file, self.log_file = self.folder / "config.json", self.folder / "log.txt"
        self.scratch = self.folder / "tmp"
        self.scratch.mkdir(parents=True)
        self.operator_file: Path | None = None
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self, bus: Bus | None, settings: dict[str, Any], memory_mb: float = 192.0) -> None:
        """Write the file that LB_CONFIG names, whole; `known` has all events of the bus so far."""
        events = bus.events if bus is not None else []
        document = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "operator": f"127.0.0.1:{self.operator_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "bus": f"127.0.0.1:{bus.port}" if bus is not None else "",
            "known": {"offset": len(events), "batch": events},
            "settings": settings,
        }
        unfinished = self.config_file.with_suffix(".new")
        unfinished.write_text(json.dumps(document))
        unfinished.replace(self.config_file)

    def start(self) -> None:
        """Start the process."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environ = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "FROSTSPINDLE_"))}
        environ |= {
            "LB_NAME": self.name,
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_OPERATOR": f"127.0.0.1:{self.operator_port}",
            "LB_CONFIG": str(self.config_file),
            "TMPDIR": str(self.scratch),
        }
        if self.operator_file is not None:
            environ["FROSTSPINDLE_OPERATOR"] = str(self.operator_file)
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=environ, stdout=log, stderr=log)
        self.record.write(self.name, "started", port=self.port)

    async def ready(self) -> None:
        """Wait until the operators' port says yes; raise CaseError if it does not."""
        until = time.time() + READY_TIMEOUT_S
        while time.time() < until:
            if self.process is not None and self.process.poll() is not None:
                raise CaseError(f"{self.name} ended with {self.process.returncode}: {self.log_file.read_text()[-500:]}")
            if (await self.operate("ready")).startswith("ACK"):
                self.record.write(self.name, "ready")
                return
            await asyncio.sleep(0.05)
        raise CaseError(f"{self.name} was not ready in time")

    async def operate(self, call: str) -> str:
        """Make an operators' call; return its answer, empty if there is none."""
        try:
            async with asyncio.timeout(2.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.operator_port)
                writer.write(call.encode() + b"\n")
                answer = (await reader.read()).decode()
                writer.close()
                return answer
        except (OSError, TimeoutError):
            return ""

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        assert self.process is not None
        self.record.write(self.name, number.name)
        self.process.send_signal(number)

    def log_lines(self, *events: str) -> Iterator[dict[str, Any]]:
        """Yield the lines of the log with these events."""
        for line in self.log_file.read_text().splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if entry.get("event") in events:
                    yield entry

    @property
    def is_alive(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def end(self) -> None:
        """Kill the process."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()


# Running a case.


def run_case(file: str, play: Callable[[Record, Path], Awaitable[int]], within_s: float = 115.0) -> int:
    """Play a case; return its exit code and print its verdict. Its record is beside `file`."""
    record = Record(Path(file).resolve().parent / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def bounded() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)  # ends what the case started, too
        async with asyncio.timeout(within_s):
            return await play(record, folder)

    try:
        code = asyncio.run(bounded())
    except (CaseError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record.write("case", "could not run", error=repr(error))
        code = COULD_NOT_RUN
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}[code]
    record.write("case", "verdict", text=verdict, trouble=int(TROUBLE))
    record.close()
    print(f"{verdict} (TROUBLE={int(TROUBLE)})", file=sys.stderr)
    return code
