"""Stand-in engines and event bus as raw protocols, cheap enough that a load test measures the coordinator.

They implement the engines' side of the platform's HTTP and the bus, on loopback only. An engine answers each query
after its delay with one row that names the engine and the statement, records the requests that it receives, and sends
load reports. The coordinator must not import this module.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from httptools import HttpParserUpgrade, HttpRequestParser


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One request to an engine; `first_byte_at` is the Unix time of its first byte."""

    method: bytes
    url: bytes
    fields: dict[bytes, bytes] = field(default_factory=dict)  # by their lower-case names
    body: bytes = b""
    first_byte_at: float = 0.0

    @property
    def segments(self) -> list[str]:
        """The parts of the path, without empty ones at its ends."""
        return self.url.decode("latin-1").strip("/").split("/")

    @property
    def ticket(self) -> str:
        """The X-Ticket of a POST."""
        return self.fields.get(b"x-ticket", b"").decode()

    @property
    def max_ms(self) -> float:
        """The X-Max-Ms of a POST."""
        return float(self.fields.get(b"x-max-ms", b"0"))


class EngineConnection(asyncio.Protocol):
    """One connection of the coordinator to an engine, with one request at a time."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.parser = HttpRequestParser(self)
        self.fields: dict[bytes, bytes] = {}
        self.url, self.body = b"", b""
        self.first = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add this connection to the engine's open connections."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.engine.lines.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Remove this connection from the engine's open connections."""
        self.engine.lines.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse received data, and record the time of a request's first byte."""
        self.first = self.first or time.time()
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.url, self.body, self.fields = b"", b"", {}

    def on_url(self, url: bytes) -> None:
        """Collect the path."""
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header by its lower-case name."""
        self.fields[name.lower()] = value

    def on_body(self, chunk: bytes) -> None:
        """Collect a part of the body."""
        self.body += chunk

    def on_message_complete(self) -> None:
        """Pass a complete request to the engine."""
        request = EngineRequest(self.parser.get_method(), self.url, self.fields, self.body, self.first)
        self.first = 0.0
        self.engine.call(self, request)

    def say(self, status: int, body: bytes = b"", head: str = "") -> None:
        """Write a response, unless the connection is closed."""
        if not self.transport.is_closing():
            length = "" if status == 204 else f"Content-Length: {len(body)}\r\n"
            self.transport.write(f"HTTP/1.1 {status} X\r\n{length}{head}\r\n".encode() + body)


class Engine:
    """A stand-in engine that answers each query `delay_s` seconds after its start, or at once without a delay.

    At most `cores` queries run at once while others are queued (0: no limit).
    """

    connection_class = EngineConnection

    def __init__(self, name: str, delay_s: float = 0.0, cores: int = 0) -> None:
        self.name, self.delay_s, self.cores = name, delay_s, cores
        self.lines: set[EngineConnection] = set()  # open connections
        self.results: dict[str, bytes | None] = {}  # by ticket; None while it runs
        self.waiting: dict[str, EngineConnection] = {}  # by ticket: the connection that waits for the result
        self.queue: deque[tuple[str, str]] = deque()  # queued queries: ticket, statement
        self.sent: list[tuple[float, str, float]] = []  # per POST: time of its first byte, ticket, estimate
        self.keep = False  # whether POSTs are recorded in `sent`
        self.running = self.peak_running = self.posts = 0  # running queries, their maximum, number of POSTs
        self.silent = False  # ignore all requests

    async def start(self, port: int = 0) -> Engine:
        """Listen on 127.0.0.1 and return self; port 0 selects a free port, which is stored in `port`.

        Raise OSError if the port is taken.
        """
        self.server = await self.listen(port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def listen(self, port: int) -> asyncio.Server:
        """Return a server for this engine's connections on 127.0.0.1. Raise OSError if the port is taken."""
        return await asyncio.get_running_loop().create_server(
            lambda: self.connection_class(self), "127.0.0.1", port, backlog=1024
        )

    def meter(self) -> str:
        """Return the X-Meter header line with the load report.

        `load_share` is the number of running queries over `cores` (over 8 without a limit), `depth` the number of
        queued queries, `x0` half of that ratio; both ratios are capped at 1.
        """
        busy = self.running / max(1, self.cores or 8)
        return f"X-Meter: load_share:{min(1.0, busy):.2f};depth:{len(self.queue)};x0:{min(1.0, busy / 2):.2f}\r\n"

    def call(self, connection: EngineConnection, request: EngineRequest) -> None:
        """Answer one request of a connection; ignore it while `silent`.

        POST starts the query of its X-Ticket, and GET with the ticket as the third of four path segments polls it: both
        are answered with the result, or with 202 if there is none within 0.25 s. GET healthz or stats is a health
        check. DELETE discards a result, PUT does nothing; both are answered with 204. Other requests and unknown
        tickets are answered with 500.
        """
        if self.silent:
            return
        method, segments = request.method, request.segments
        if method == b"POST":
            self.posts += 1
            if self.keep:
                self.sent.append((request.first_byte_at, request.ticket, request.max_ms))
            self._accept_query(request.ticket, " ".join(request.body.decode().split()))
            self._respond(connection, request.ticket)
        elif method == b"GET" and segments[0] in ("healthz", "stats"):
            connection.say(200, head=self.meter())
        elif method == b"GET" and len(segments) == 4:
            self._respond(connection, segments[2])
        elif method in (b"PUT", b"DELETE"):
            if method == b"DELETE" and len(segments) > 2:
                self.results.pop(segments[2], None)
            connection.say(204)
        else:
            connection.say(500)

    def answer(self, statement: str) -> bytes:
        """Return the result's only page: engine name, length of the statement and statement, separated by tabs."""
        return f"{self.name}\t{len(statement)}\t{statement}\n".encode()

    def _accept_query(self, ticket: str, statement: str) -> None:
        if not self.delay_s:
            self.results[ticket] = self.answer(statement)
            return
        self.results[ticket] = None
        if self.cores and self.running >= self.cores:
            self.queue.append((ticket, statement))
        else:
            self._run(ticket, statement)

    def _run(self, ticket: str, statement: str) -> None:
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        asyncio.get_running_loop().call_later(self.delay_s, self._done, ticket, statement)

    def _done(self, ticket: str, statement: str) -> None:
        self.running -= 1
        if ticket in self.results:
            self.results[ticket] = self.answer(statement)
            if connection := self.waiting.pop(ticket, None):
                self._respond(connection, ticket)
        while self.queue and (not self.cores or self.running < self.cores):
            next_ticket, next_statement = self.queue.popleft()
            if next_ticket in self.results:
                self._run(next_ticket, next_statement)

    def _respond(self, connection: EngineConnection, ticket: str) -> None:
        if ticket not in self.results:
            connection.say(500)
        elif (result := self.results[ticket]) is not None:
            if len(self.results) > 4096:  # discard the oldest results
                for ticket_to_drop in list(self.results)[:1024]:
                    if self.results[ticket_to_drop] is not None:
                        del self.results[ticket_to_drop]
            connection.say(200, result, f"X-Pages: 1\r\n{self.meter()}")
        else:
            self.waiting[ticket] = connection
            asyncio.get_running_loop().call_later(0.25, self._on_poll_timeout, connection, ticket)

    def _on_poll_timeout(self, connection: EngineConnection, ticket: str) -> None:
        if self.waiting.get(ticket) is connection:
            del self.waiting[ticket]
            connection.say(202, head=self.meter())


class Bus:
    """A stand-in event bus that keeps all events and sends each follower those after the follower's offset."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.followers: dict[asyncio.StreamWriter, float] = {}  # delivery delay in seconds
        self.delays: dict[int, float] = {}  # delivery delay by order of connection

    async def start(self, port: int = 0) -> Bus:
        """Listen on 127.0.0.1 and return self; port 0 selects a free port, which is stored in `port`.

        Raise OSError if the port is taken.
        """
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def say(self, *hosts: dict[str, Any], whole: bool = False) -> dict[str, Any]:
        """Publish a topology event with these hosts and return it.

        `whole`: the hosts are the complete list of engines. Each follower gets the event after its own delay.
        """
        offset = len(self.events) + 1
        self.events.append({"offset": offset, "topology": {"seq": offset, "whole": whole, "hosts": list(hosts)}})
        for writer, delay in self.followers.items():
            asyncio.get_running_loop().call_later(delay, self._deliver, writer, offset - 1)
        return self.events[-1]

    def _deliver(self, writer: asyncio.StreamWriter, after: int) -> None:
        if not writer.is_closing():
            for event in self.events[after : after + 1]:
                writer.write(json.dumps(event).encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            after = int((await reader.readline()).split()[1])
            for event in self.events[after:]:
                writer.write(json.dumps(event).encode() + b"\n")
            delay = self.followers[writer] = self.delays.get(len(self.followers), 0.0)
            while True:
                if not delay:
                    writer.write(b"%d\n" % len(self.events))
                await writer.drain()
                await asyncio.sleep(1.0)
        except (OSError, IndexError, ValueError, asyncio.CancelledError):
            pass  # the connection is closed at either end
        finally:
            self.followers.pop(writer, None)
            writer.close()


def host_entry(
    name: str, port: int, health: str = "active", born_ms: float = 0.0, site: str = "floor-1"
) -> dict[str, Any]:
    """Return an engine's entry in a topology event. `born_ms`: Unix ms of its start, 0 for none known."""
    return {
        "host": name,
        "dial": f"127.0.0.1:{port}",
        "site": site,
        "class": "std-8",
        "block": 0,
        "health": health,
        "share": 1.0,
        "born_ms": born_ms,
    }


def coordinator_config(
    hosts: list[dict[str, Any]],
    bus: int = 0,
    listen: str = "127.0.0.1:0",
    operator: str = "127.0.0.1:0",
    sockets: int = 4096,
    memory_mb: float = 2048.0,
    zones: tuple[str, ...] = ("floor-1",),
    **settings: Any,
) -> dict[str, Any]:
    """Return a coordinator's configuration for these engines in the platform's format.

    It has three request classes (lookup, report, load), as on the operators' sites. Further keyword arguments replace
    keys of `settings`.
    """

    def request_class(name: str, effect: str, promise: float, hard: float, worth: float) -> dict[str, Any]:
        return {
            "name": name,
            "effect": effect,
            "promise": promise,
            "hardLimit": hard,
            "worth": worth,
            "aimStretch": 2.0,
            "lateShare": 0.4,
            "window": 5000.0,
            "dedupScope": "all",
        }

    return {
        "name": "demo",
        "listen": listen,
        "operator": operator,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "bus": f"127.0.0.1:{bus}" if bus else "",
        "known": {"offset": 1, "batch": [{"offset": 1, "topology": {"seq": 1, "whole": True, "hosts": hosts}}]},
        "settings": {
            "balancers": 1,
            "me": 0,
            "kinds": ["std-8"],
            "failureDomains": list(zones),
            "categories": [
                request_class("lookup", "repeatable", 1500.0, 7500.0, 1.0),
                request_class("report", "repeatable", 3000.0, 25000.0, 4.0),
                request_class("load", "once", 4000.0, 20000.0, 3.0),
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
            **settings,
        },
    }
