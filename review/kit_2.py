"""Stand-ins for the second review: engines, an event bus, clients, a link that can be cut, and one coordinator.

They follow the platform's protocol page, use the standard library only, and listen on loopback addresses. A coordinator
is started as a process of its own with the `run` line of the deploy file. `Record` writes what was sent, answered and
run into `record.txt` beside the script.
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
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2  # exit codes of a case
HOLD_S = 0.25  # an engine answers a call at the latest after this
EXPIRY_S = 2.0  # an engine drops a query that was not asked for in this time
FIRST_RETRANSMISSION_S = 0.2  # usual shortest time after which TCP sends again what was not confirmed
READY_S = 30.0  # a coordinator must be ready within this


class CannotRunError(Exception):
    """The case could not be run."""


class Record:
    """The file with what happened; times are ms since the start of the case."""

    def __init__(self, folder: Path) -> None:
        self.began = time.time()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")  # noqa: SIM115 - open until the case ends

    def line(self, who: str, text: str, at: float | None = None) -> None:
        """Write one line; `at` is a Unix time, now by default."""
        ms = ((time.time() if at is None else at) - self.began) * 1000.0
        self.file.write(f"{ms:10.1f} {who:14} {text}\n")
        self.file.flush()


def free_port() -> int:
    """Return a TCP port of 127.0.0.1 that is free now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return first line, fields (by lower-case names) and body of one HTTP message; raise EOFError at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        fields = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        length = int(fields.get("content-length", "0"))
        return first, fields, await reader.readexactly(length) if length else b""
    except asyncio.IncompleteReadError as error:
        raise EOFError from error


# Engines.


@dataclass
class Run:
    """One query that came whole to an engine."""

    ticket: str
    engine: str
    cls: str
    statement: str
    came_at: float  # Unix time at which its POST was whole
    work_s: float
    asked_at: float  # when it was last asked for, or a call for it was last held
    ended_at: float | None = None  # its end was written for the first time, or it was given up or dropped
    ending: str = ""
    done: asyncio.Event = field(default_factory=asyncio.Event)
    holds: int = 0  # calls for it that are held
    told_done: float = 0.0

    def out_until(self) -> float:
        """Return until when the attempt was out: until its end was written, or it was given up or dropped."""
        return time.time() if self.ended_at is None else self.ended_at


class Engine:
    """An engine of the platform; `work_s` and `rows` say how long a statement runs and what it returns."""

    def __init__(
        self,
        name: str,
        record: Record,
        work_s: Callable[[str, str], float],
        rows: Callable[[str], str],
        columns: tuple[str, ...] = ("load_share", "depth", "x0"),
    ) -> None:
        self.name, self.record, self.work_s, self.rows, self.columns = name, record, work_s, rows, columns
        self.runs: list[Run] = []
        self.by_ticket: dict[str, Run] = {}
        self.deleted: dict[str, float] = {}  # when the last DELETE of a query came whole
        self.is_refusing = False  # as an engine that drains: new queries get 503 with X-Shed
        self.is_hanging = False  # answers nothing
        self.after_answer: Callable[[asyncio.StreamWriter, int, bytes], None] | None = None  # a fault
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> Engine:
        """Listen on 127.0.0.1."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        self._spawn(self._drop_forgotten())
        return self

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """End the process: connections are reset, and what ran is lost."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            with contextlib.suppress(OSError):
                writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        for run in list(self.by_ticket.values()):
            self._end(run, "process ended")
        self.by_ticket.clear()

    def _end(self, run: Run, ending: str) -> None:
        if run.ended_at is None:
            run.ended_at, run.ending = time.time(), ending
            self.record.line(self.name, f"end of {run.ticket}: {ending}")
            run.done.set()

    async def _drop_forgotten(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for ticket, run in list(self.by_ticket.items()):
                if run.holds == 0 and time.time() - run.asked_at > EXPIRY_S:
                    self._end(run, "not asked for in 2 s")
                    del self.by_ticket[ticket]

    async def _finish(self, run: Run) -> None:
        await asyncio.sleep(run.work_s)
        run.done.set()

    def running(self) -> int:
        """Return how many queries run."""
        return sum(not run.done.is_set() for run in self.by_ticket.values())

    def _meter(self) -> str:
        busy = min(1.0, self.running() / 8.0)
        values = {"load_share": busy, "depth": 0, "x0": busy / 2, "concurrent": self.running(), "x1": busy / 2}
        return "X-Meter: " + ";".join(f"{name}:{values[name]:.2f}" for name in self.columns) + "\r\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, fields, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                while self.is_hanging:
                    await asyncio.sleep(0.02)
                status, head, rows = await self._call(method, path, fields, body)
                length = "" if status == 204 else f"Content-Length: {len(rows)}\r\n"
                answer = f"HTTP/1.1 {status} X\r\n{length}{head}\r\n".encode() + rows
                writer.write(answer)
                if self.after_answer is not None:
                    self.after_answer(writer, status, answer)
        except (EOFError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _call(self, method: str, path: str, fields: dict[str, str], body: bytes) -> tuple[int, str, bytes]:
        parts = path.strip("/").split("/")
        if method == "GET" and parts[0] in ("healthz", "stats"):
            return 200, self._meter(), b""
        if method == "POST" and path == "/v1/store":
            ticket = fields["x-ticket"]
            if self.is_refusing:
                self.record.line(self.name, f"POST {ticket}: 503 full")
                return 503, "X-Shed: 1\r\n" + self._meter(), b""
            statement, cls = body.decode(), fields["x-queue"]
            now = time.time()
            run = Run(ticket, self.name, cls, statement, now, self.work_s(cls, statement), now)
            self.runs.append(run)
            self.by_ticket[ticket] = run
            self.record.line(self.name, f"POST {ticket} {cls} came whole: {statement[:70]}")
            self._spawn(self._finish(run))
            return await self._news(run)
        run = self.by_ticket.get(parts[2]) if len(parts) > 2 else None
        if method == "DELETE":
            self.record.line(self.name, f"DELETE {parts[2]}")
            self.deleted[parts[2]] = time.time()
            if run is not None:
                self._end(run, "deleted")
                del self.by_ticket[run.ticket]
            return 204, "", b""
        if run is None:
            return 500, self._meter(), b""
        run.asked_at = time.time()
        if method == "PUT":
            return 204, "", b""
        if parts[3] == "0":
            return await self._news(run)
        return 500, self._meter(), b""

    async def _news(self, run: Run) -> tuple[int, str, bytes]:
        run.holds += 1
        try:
            async with asyncio.timeout(HOLD_S):
                await run.done.wait()
        except TimeoutError:
            share = min(0.99, (time.time() - run.came_at) / run.work_s)
            return 202, f"X-Remark: pct\r\nX-Value: {share:.3f}\r\n" + self._meter(), b""
        finally:
            run.holds -= 1
            run.asked_at = time.time()
        if run.ticket not in self.by_ticket:
            return 500, self._meter(), b""
        self._end(run, "served")
        return 200, "X-Pages: 1\r\n" + self._meter(), self.rows(run.statement).encode()


# The event bus.


class Bus:
    """The event bus: numbered changes of the list of engines, and every second the last number."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> Bus:
        """Listen on 127.0.0.1."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def tell(self, *hosts: dict[str, Any], whole: bool = False) -> None:
        """Add an event, and write it to all that follow."""
        offset = len(self.events) + 1
        self.events.append({"offset": offset, "topology": {"seq": offset, "whole": whole, "hosts": list(hosts)}})
        for writer in self._writers:
            writer.write(json.dumps(self.events[-1]).encode() + b"\n")

    def known(self) -> dict[str, Any]:
        """Return the events up to now, as the configuration holds them."""
        return {"offset": len(self.events), "batch": self.events[:]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            after = int((await reader.readline()).split()[1])
            for event in self.events[after:]:
                writer.write(json.dumps(event).encode() + b"\n")
            self._writers.add(writer)
            while True:
                writer.write(b"%d\n" % len(self.events))
                await writer.drain()
                await asyncio.sleep(1.0)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def host(
    name: str, port: int, site: str = "floor-1", kind: str = "std-8", health: str = "active", born_ms: float = 0.0
) -> dict[str, Any]:
    """Return an engine's entry in an event."""
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": site,
        "class": kind,
        "block": 0,
        "health": health,
        "share": 1,
        "born_ms": born_ms,
    }


# A link to an engine that can be cut.


def sent_again_at(written_at: float, over_at: float) -> float:
    """Return when TCP sends again, after a cut, what was written during it: 0.2 s later, then doubled."""
    wait_s = FIRST_RETRANSMISSION_S
    at = written_at + wait_s
    while at < over_at:
        wait_s *= 2.0
        at += wait_s
    return at


class Link:
    """The network between a coordinator and one engine.

    While it is cut, open connections are silent and new ones never come up. What was written into a connection before
    it was closed arrives after the cut, when TCP sends it again; what a sender reset is lost, as it sends no more.
    """

    BACKLOG = 1

    def __init__(self, name: str, engine: Engine, record: Record) -> None:
        self.name, self.engine, self.record = name, engine, record
        self.is_cut = False
        self._over = asyncio.Event()
        self._over.set()
        self._fillers: list[socket.socket] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._listening = socket.create_server(("127.0.0.1", 0), backlog=self.BACKLOG)
        self._listening.setblocking(False)
        self.port = self._listening.getsockname()[1]
        self._spawn(self._accept())

    def _spawn(self, work: Any) -> asyncio.Task[Any]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cut(self) -> None:
        """Cut the link: nothing passes, and the queue of new connections is full."""
        self.is_cut = True
        self._over.clear()
        for _ in range(self.BACKLOG + 3):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(("127.0.0.1", self.port))
            self._fillers.append(filler)
        await asyncio.sleep(0.01)
        self.record.line(self.name, "is cut")

    def mend(self) -> None:
        """End the cut."""
        self.record.line(self.name, "is mended")
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self.is_cut = False
        self._over.set()

    def stop(self) -> None:
        """Close everything."""
        for task in list(self._tasks):
            task.cancel()
        self._listening.close()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            while self.is_cut:
                await self._over.wait()
            # Not with sock_accept: a pending one would accept during a cut.
            try:
                accepted, _ = self._listening.accept()
            except BlockingIOError:
                await asyncio.sleep(0.001)
                continue
            accepted.setblocking(False)
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._spawn(self._carry(loop, accepted))

    async def _carry(self, loop: asyncio.AbstractEventLoop, near: socket.socket) -> None:
        far = socket.socket()
        far.setblocking(False)
        far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await loop.sock_connect(far, ("127.0.0.1", self.engine.port))
            await asyncio.wait(
                (self._spawn(self._copy(loop, near, far)), self._spawn(self._copy(loop, far, near))),
            )
        except OSError:
            pass
        finally:
            near.close()
            far.close()

    async def _copy(self, loop: asyncio.AbstractEventLoop, source: socket.socket, target: socket.socket) -> None:
        """Copy one direction; bytes that are on their way while the link is cut wait in their order."""
        try:
            while True:
                data = await loop.sock_recv(source, 65536)
                if self.is_cut:
                    written_at = time.time()
                    await self._over.wait()
                    await asyncio.sleep(sent_again_at(written_at, time.time()) - time.time())
                    if source.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                        raise ConnectionResetError  # the sender has reset it, and sends nothing again
                if not data:
                    with contextlib.suppress(OSError):
                        target.shutdown(socket.SHUT_WR)
                    return
                await loop.sock_sendall(target, data)
        except OSError:
            for end in (source, target):
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RDWR)


# Clients.


@dataclass
class Request:
    """One request of a client, and its final answer."""

    ticket: str
    cls: str
    statement: str
    timeout_s: float
    cost_ms: float = 100.0
    memory_mb: float = 16.0
    key: str = ""
    tenant: str = ""
    sent_at: float = 0.0
    answered_at: float = 0.0
    status: int = 0  # of the final answer; 0: none
    failure: str = ""
    rows: list[list[str]] = field(default_factory=list)
    connections: int = 0
    path: str = ""  # the last that it was told
    written_at: float = 0.0  # when the system had taken the last byte of its first POST
    came_new: bool = False  # this went over a new connection

    @property
    def outcome(self) -> str:
        """Return served, refused, failed or none."""
        if not self.status:
            return "none"
        if self.status in (429, 503) or self.failure == "Busy":
            return "refused"
        return "served" if self.status == 200 and not self.failure else "failed"


_tickets = random.Random(time.time_ns())


def new_ticket() -> str:
    """Return a new request id."""
    return f"{_tickets.getrandbits(64):016x}"


class ClientLine:
    """A client's connection, which is kept between requests."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.is_new = False  # it was opened by the last call of `open`

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return the connection, a new one if there is none."""
        self.is_new = self.reader is None or self.writer is None or self.writer.is_closing() or self.reader.at_eof()
        if self.is_new:
            self.close()
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
            self.writer.transport.set_write_buffer_limits(0)  # so that `drain` waits until the system has taken all
        assert self.reader is not None and self.writer is not None
        return self.reader, self.writer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def ask(line: ClientLine, request: Request, record: Record, grace_s: float = 1.0) -> Request:
    """Send a request and follow it to its final answer, as the protocol page says; give up `grace_s` after its time."""
    request.sent_at = time.time()
    record.line("client", f"POST {request.ticket} {request.cls} {request.key}: {request.statement[:70]}")
    try:
        async with asyncio.timeout(request.timeout_s + grace_s):
            await _follow(line, request)
    except TimeoutError:
        line.close()
    request.answered_at = time.time()
    record.line("client", f"answer to {request.ticket}: {request.outcome} {request.status} {str(request.rows)[:70]}")
    return request


async def _follow(line: ClientLine, request: Request) -> None:
    fields = f"X-Request-Id: {request.ticket}\r\nX-Timeout-Ms: {request.timeout_s * 1000.0:.0f}\r\n"
    fields += f"X-Cost-Ms: {request.cost_ms:.1f}\r\nX-Memory: {request.memory_mb:.0f}\r\n"
    fields += f"X-Object: {request.key}\r\n" if request.key else ""
    fields += f"X-Tenant: {request.tenant}\r\n" if request.tenant else ""
    body = request.statement.encode()
    call = f"POST /call/{request.cls} HTTP/1.1\r\nHost: app.svc\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode()
    call += body
    repeats = 0
    while True:
        try:
            reader, writer = await line.open()
            is_new = line.is_new
            writer.write(call)
            await writer.drain()
            if not request.written_at:
                request.written_at, request.came_new = time.time(), is_new
            first, head, data = await read_message(reader)
        except (EOFError, OSError):
            line.close()
            repeats += 1
            if repeats > 3:
                return
            continue
        if head.get("connection", "") == "close":
            line.close()
        status = int(first.split()[1])
        answer = json.loads(data) if data else {}
        request.rows += answer.get("rows", [])
        if status == 200 and isinstance(answer, dict) and answer.get("next"):
            request.path = answer["next"]
            call = f"GET {request.path} HTTP/1.1\r\nHost: app.svc\r\n\r\n".encode()
            repeats = 0
            continue
        request.status = status
        request.failure = answer.get("failure", "") if isinstance(answer, dict) else ""
        return


# The coordinator.


def category(name: str, effect: str, promise: float, hard: float, worth: float, **more: Any) -> dict[str, Any]:
    """Return one class of the settings."""
    return {
        "name": name,
        "effect": effect,
        "promise": promise,
        "hardLimit": hard,
        "worth": worth,
        "stream": False,
        "window": 5000.0,
        "dedupScope": "all",
        **more,
    }


def bole_settings() -> dict[str, Any]:
    """Return settings with the figures of the site bole-main, for a deployment with one coordinator."""
    return {
        "balancers": 1,
        "me": 0,
        "kinds": ["std-8"],
        "failureDomains": ["floor-1", "floor-2", "floor-3"],
        "locality": 0,
        "discovery": "automatic",
        "weightKind": "nominal",
        "worthBy": "request",
        "categories": [
            category("lookup", "repeatable", 1500.0, 7500.0, 1.0, aimStretch=1.5, lateShare=0.1),
            category("report", "repeatable", 3000.0, 25000.0, 4.0, aimStretch=2.5, lateShare=0.4),
            category("load", "once", 4000.0, 20000.0, 3.0, aimStretch=2.5, lateShare=0.6),
        ],
        "deductions": {"crossZone": 0.0095, "lateFail": 0.03, "probe": 0.0081, "waste": 0.042},
        "domain": {
            "blockedByLoads": [False, False, False],
            "classLoad": [False, False, True],
            "classThreads": [1, 3, 2],
            "grants": True,
            "kindCores": [8],
            "mostGrant": 0.4,
            "notePeriod": 500.0,
            "priorities": True,
            "saysCost": False,
            "sizeMb": [16384.0],
            "whenShort": "wait",
        },
        "limits": {
            "cancel": True,
            "connIdle": 15000.0,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500000,
            "dialTimeout": 250.0,
            "maxOpen": 20000,
            "maxRetryAfter": 1000.0,
            "mostTries": 5,
            "peers": False,
            "probes": True,
            "retryAfter": True,
            "secondCopies": False,
            "streamsPerConn": 100,
        },
        "report": {"how": "piggyback", "columns": ["load_share", "depth", "x0"]},
        "rules": {
            "answerSlack": 20.0,
            "fall": 1000.0,
            "mustAskIn": 10000.0,
            "startCapacity": 0.3,
            "stopSendingWithin": 250.0,
            "tipMultiple": 4.0,
            "warmWithin": 15000.0,
        },
    }


def sofia_settings() -> dict[str, Any]:
    """Return settings with the figures of the site sofia-head-office, for a deployment with one coordinator."""
    settings = bole_settings()
    settings["kinds"] = ["std-16"]
    settings["failureDomains"] = ["hall-a", "hall-b", "hall-c"]
    settings["weightKind"] = "silent"
    settings["overShareWorth"] = 0.2
    settings["clients"] = {"marksRetry": True}
    settings["categories"] = [
        category("tile-lookup", "repeatable", 500.0, 2500.0, 1.0, aimStretch=2.0, lateShare=0.1),
        category("storm-report", "repeatable", 1500.0, 20000.0, 12.0, aimStretch=2.5, lateShare=0.3),
        category("scan-load", "once", 3000.0, 25000.0, 20.0, aimStretch=2.5, lateShare=0.6, inOrder=True),
    ]
    settings["deductions"] = {"crossZone": 0.02, "lateFail": 0.057, "probe": 0.01, "waste": 0.056}
    settings["domain"] |= {"kindCores": [16], "notePeriod": 2000.0, "saysCost": True}
    settings["limits"] |= {"mostTries": 4, "cpuUsPerS": 400000}
    settings["parties"] = [
        {"name": "franchise-east", "allowancePerS": 110.0, "portion": 0.44},
        {"name": "franchise-west", "allowancePerS": 82.0, "portion": 0.33},
        {"name": "franchise-north", "allowancePerS": 32.0, "portion": 0.13},
        {"name": "franchise-south", "allowancePerS": 25.0, "portion": 0.1},
    ]
    settings["report"] = {"how": "pull", "columns": ["concurrent", "load_share", "x1"]}
    settings["rules"] |= {
        "startCapacity": 0.36,
        "warmWithin": 14000.0,
        "tipMultiple": 2.5,
        "fall": 2000.0,
        "orderPause": 0.0,
    }
    return settings


class Coordinator:
    """One coordinator, started with the `run` line of the deploy file."""

    def __init__(self, name: str, folder: Path, record: Record, more_environment: dict[str, str] | None = None) -> None:
        self.name, self.folder, self.record = name, folder, record
        self.port = free_port()
        self.operator_port = free_port()
        self.more_environment = more_environment or {}
        self.inherited: tuple[int, ...] = ()
        self.process: subprocess.Popen[bytes] | None = None
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"

    def configure(self, bus: Bus, settings: dict[str, Any], **more: Any) -> None:
        """Write the file of the configuration."""
        config = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.port}",
            "operator": f"127.0.0.1:{self.operator_port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "bus": f"127.0.0.1:{bus.port}",
            "known": bus.known(),
            "settings": settings,
            **more,
        }
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(config))
        temporary.rename(self.config_path)

    async def start(self, ready: bool = True) -> Coordinator:
        """Start the process, and wait until it answers /ping with 200."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        private = self.folder / f"tmp-{self.name}"
        private.mkdir(exist_ok=True)
        environment = {
            name: value for name, value in os.environ.items() if not name.startswith(("LB_", "FROSTSPINDLE"))
        }
        environment |= {
            "LB_NAME": self.name,
            "LB_LISTEN": f"127.0.0.1:{self.port}",
            "LB_CONFIG": str(self.config_path),
            "TMPDIR": str(private),
            "PYTHONDONTWRITEBYTECODE": "1",
            **self.more_environment,
        }
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log_path.open("ab"),  # noqa: SIM115 - the process has it
            stderr=subprocess.STDOUT,
            pass_fds=self.inherited,
        )
        self.record.line(self.name, "is started")
        if ready:
            await self.until_ready()
        return self

    async def until_ready(self) -> None:
        """Wait until it answers /ping with 200; raise CannotRunError if it does not."""
        until = time.time() + READY_S
        while time.time() < until and self.process is not None and self.process.poll() is None:
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(b"GET /ping HTTP/1.1\r\nHost: app.svc\r\n\r\n")
                first, _, _ = await read_message(reader)
                writer.close()
                if " 200 " in first:
                    self.record.line(self.name, "is ready")
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready: {self.log_path.read_text()[-2000:]}")

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` started."""
        assert self.process is not None
        self.record.line(self.name, f"gets {number.name}")
        self.process.send_signal(number)

    def stop(self) -> None:
        """Kill the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


@dataclass
class Stage:
    """What a case has: its record, a temporary folder, and what is stopped at its end."""

    folder: Path
    record: Record
    trouble: bool
    parts: list[Any] = field(default_factory=list)

    def add(self, part: Any) -> Any:
        """Have a part stopped at the end."""
        self.parts.append(part)
        return part


def main(script: str, case: Callable[[Stage], Awaitable[list[str]]], limit_s: float = 110.0) -> None:
    """Play a case; exit with 1 if it returns broken rules, with 0 if it returns none, with 2 if it couldn't run."""
    folder = Path(tempfile.mkdtemp(prefix="review-"))
    record = Record(Path(script).resolve().parent)
    stage = Stage(folder, record, os.environ.get("TROUBLE", "1") != "0")

    async def play() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(limit_s):
                return await case(stage)
        finally:
            for part in reversed(stage.parts):
                part.stop()

    code = NOT_RUN
    try:
        broken = asyncio.run(play())
        for text in broken:
            record.line("RULE BROKEN", text)
        code = BROKEN if broken else HELD
        print(f"{len(broken)} breaks; " + ("; ".join(broken[:3]) if broken else "the rule held"))
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - a case that can't run says so
        record.line("case", f"couldn't run: {error!r}")
        print(f"couldn't run: {error!r}")
    finally:
        if os.environ.get("KEEP"):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)  # connections that are still open need no end of their own
