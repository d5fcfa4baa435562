"""The platform's front: clients that speak HTTP/1.1.

Owns the listening socket, each client's connection and how long it may stay without a whole request, the check
of what a client sends, the paths under which an answer is fetched, and the form of that answer. It must never
forward what it could not check, never answer a request from its own judgement other than by a refusal when the
program is full, never keep more than it has bounds for, and never let those who say nothing keep the places of
those who ask. The parser is httptools (llhttp in its strict mode); this file only adds bounds to it.
"""

from __future__ import annotations

import asyncio
import math
import re
import select
import socket
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import msgspec
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from frostspindle.config import Config
from frostspindle.core import FAILED, REFUSED, SERVED, Answer, Ask, Core, clock
from frostspindle.events import Events
from frostspindle.ledger.tenants import Facts

FRONT = "http"
HOLD_S = 1.0  # a call is held this long for its answer, then the client is given a path to ask again
BODY = 64 * 1024  # the longest statement
URL, FIELD, FIELDS = 2048, 4096, 64  # the longest path and header, and how many headers
HEAD = 16 * 1024  # a head, from which the parser tells nothing before a header is whole
REQUEST = BODY + 128 * 1024  # the most bytes that one request may take on the wire, its head and chunks included
WHOLE_S = 2.4  # from connecting, or from a later request's first byte, until a request is whole
IDLE_S = 4.6  # usual clients close after 4 s idle; this is for those that do not
LINGER_S, LINGER_BYTES = 1.0, 64 << 20  # so much of what a refused client still sends is read and dropped
STUCK_S = 5.0  # how long a client may leave its answers unread
SWEEP_S = 0.2
# In a drain: new connections come for another 0.3 s, idle ones end from EASE_S on, nothing is taken after TAKE_S.
EASE_S, TAKE_S, QUIET_S = 0.4, 1.8, 0.3
AHEAD = 16  # calls of one connection that are taken while earlier ones are not yet answered
CLIENT_PART, CROWDED_PART = 0.42, 0.34  # of all sockets; usual clients hold a third at most, of both processes
ACCEPT, BACKLOG = 16, 512  # connections accepted in one turn, and those that the system keeps waiting
LET_GO_S = 0.003  # how long a worker with more connections than another leaves a new one to it
SHORT_S = 0.1  # accepting rests for so long when descriptors run out all the same
PAGE_BYTES = 48 * 1024  # rows in one answer
KEEP_S = 5.0  # how long answers are kept for a repeated GET
RANGE = 10.0  # a client may say that it waits for so many times its class's longest wait
MOST_COST_MS = 3_600_000.0  # and that its work takes this long
_ID = re.compile(rb"[0-9a-f]{16}\Z")
_FIGURE = re.compile(rb"[0-9]{1,10}(?:\.[0-9]{0,9})?\Z")
# Strings and comments first, so that what looks like a name in them is passed over.
_SQL = re.compile(
    r"""'(?:[^']|'')*'|--[^\n]*|/\*.*?(?:\*/|\Z)|["\[`]?\b([A-Za-z]\w*?)_(\d+)["\]`]?\s*\.""", re.S)
_SINGLE = {b"x-request-id", b"x-timeout-ms", b"x-cost-ms", b"x-memory", b"host", b"content-encoding"}
_ENCODE = msgspec.json.Encoder().encode
_REASONS = {200: "OK", 204: "No Content", 502: "Bad Gateway", 503: "Service Unavailable"}
_CLOSE = "Connection: close\r\n"
FRESH, COMING, IDLE, BUSY, LEAVING = range(5)


class Refusal(Exception):
    """A client's call that is answered with a 4xx and goes no further; its connection is closed."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


def _schema(statement: str) -> re.Match[str] | None:
    """The first name of a schema that the statement reads or writes."""
    for match in _SQL.finditer(statement):
        name = match.group(1)
        if name and name.lower() != "staging":
            return match
    return None


def table_group(statement: str) -> int:
    """The number behind the underscore in the name of the schema that the statement reads or writes."""
    match = _schema(statement)
    return int(match.group(2)[:18]) % (1 << 24) if match else 0


def schema(statement: str) -> str:
    """That name whole."""
    match = _schema(statement)
    return f"{match.group(1)}_{match.group(2)}" if match else ""


class Relay(Protocol):
    """What ties this front to those of the other workers; a single process has none."""

    def claim(self, ticket: str) -> Refusal | None:
        """Take an id for this worker; a refusal says why it can't be had."""

    def release(self, ticket: str) -> None:
        """The request is settled."""

    def passes(self, slot: _Slot, method: bytes, path: str, url: bytes) -> bool:
        """Whether a call on a path that is not known here is answered elsewhere."""

    def accepts(self) -> bool:
        """Whether this worker should take a new connection before others do."""


class _Open:
    """One request at this front: its answer, and the path under which it is fetched."""

    __slots__ = ("front", "ticket", "path", "ask", "answer", "pages", "size", "told", "slots", "timer")

    def __init__(self, front: Platform, ticket: str, path: str) -> None:
        self.front, self.ticket, self.path = front, ticket, path
        self.ask: Ask | None = None
        self.answer: Answer | None = None
        self.pages: list[list[Any]] | None = None
        self.size, self.told = 0, False  # told: the client has had the last answer
        self.slots: list[_Slot] = []  # the calls that wait for its answer
        self.timer: asyncio.TimerHandle | None = None

    def settle(self, answer: Answer) -> None:
        if self.answer is None:
            self.answer, self.ask = answer, None
            self.front.ids.discard(self.ticket)
            if self.front.relay is not None:
                self.front.relay.release(self.ticket)
            slots, self.slots = self.slots, []
            for slot in slots:
                self.front.give(slot)


class _Slot:
    """One call in its connection's line; answers leave in the order of the calls."""

    __slots__ = ("client", "opened", "page", "timer", "data", "last")

    def __init__(self, client: _Client, opened: _Open | None = None, page: int = 0) -> None:
        self.client, self.opened, self.page = client, opened, page
        self.timer: asyncio.TimerHandle | None = None
        self.data: bytes | None = None
        self.last = False

    def reply(self, status: int, body: Any = None, extra: str = "", last: bool = False) -> None:
        if self.timer is not None:
            self.timer.cancel()
        more = isinstance(body, dict) and "next" in body
        if self.client.front.draining and not more and self.client.line and self.client.line[-1] is self:
            last = True
        self.client.awaited = more
        last = self.last = self.last or last
        data = b"" if body is None else _ENCODE(body)
        length = "" if status == 204 else f"Content-Length: {len(data)}\r\n"
        head = (f"HTTP/1.1 {status} {_REASONS.get(status, 'Refused')}\r\nContent-Type: application/json\r\n"
                f"{length}{extra}{_CLOSE if last else ''}\r\n")
        self.data = head.encode() + data
        self.client.flush()


class _Client(asyncio.Protocol):
    """One client's connection: its parser, its calls in line, and how long it has been as it is."""

    def __init__(self, front: Platform) -> None:
        self.front, self.now = front, front.loop.time
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set before anything else is called
        self.line: deque[_Slot] = deque()
        self.since = self.now()
        self.spoken = self.leaving = self.deaf = self.partial = self.headed = False
        self.awaited = False  # it was given a `next`, which only this process knows, and has not called it yet
        self.stuck_at = math.inf
        self.came = self.dropped = self.size = 0
        self.refusal: Refusal | None = None
        self.url = b""
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []

    def state(self) -> int:
        if self.leaving:
            return LEAVING
        if self.line:
            return BUSY
        if self.partial:
            return COMING
        return IDLE if self.spoken else FRESH

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.front.joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.front.clients.discard(self)
        self.leaving = self.deaf = True
        for slot in self.line:
            self.front.gone(slot)
        self.line.clear()

    def pause_writing(self) -> None:
        self.stuck_at = self.now()
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        self.stuck_at = math.inf
        self._read_on()

    def _read_on(self) -> None:
        if self.stuck_at == math.inf and len(self.line) < AHEAD and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.deaf:  # refused: what still comes is only read so that the refusal arrives
            self.dropped += len(data)
            if self.dropped > LINGER_BYTES:
                self.transport.abort()
            return
        self.came += len(data)
        try:
            self.parser.feed_data(data)
            if self.came > (REQUEST if self.headed else HEAD):
                raise Refusal(413 if self.headed else 431, "the request is too long")
        except HttpParserUpgrade:
            self.refuse(Refusal(400, "no other protocol is spoken here"))
        except Refusal as refusal:
            self.refuse(refusal)
        except HttpParserError as error:  # a Refusal from below comes wrapped in one
            self.refuse(self.refusal or Refusal(400, f"unreadable: {error}"))
        if len(self.line) >= AHEAD:
            self.transport.pause_reading()

    def end(self) -> None:
        """Close a connection on which nothing is open, unless a call lies unread in the system."""
        unread = select.poll()
        unread.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        if not unread.poll(0):
            self.transport.close()

    def refuse(self, refusal: Refusal) -> None:
        """The last answer of this connection; nothing more of it is parsed."""
        self.deaf, self.partial = True, False
        self.front.events.count("bad_calls", FRONT)
        slot = _Slot(self)
        self.line.append(slot)
        slot.reply(refusal.status, {"failure": refusal.text}, last=True)

    def flush(self) -> None:
        """Write the answers that are due, in order."""
        if self.transport is None or self.transport.is_closing():
            return
        out, last = [], False
        while self.line and self.line[0].data is not None and not last:
            slot = self.line.popleft()
            out.append(slot.data)
            last = slot.last
        if not out:
            return
        self.transport.write(b"".join(out))  # type: ignore[arg-type]
        if last:
            # Closing while the client still sends would reset the connection and could take the answer along.
            self.leaving = self.deaf = True
            self.since = self.now()
            self.transport.write_eof()
            self._read_on()
        elif not self.line:
            if not self.partial:
                self.since = self.now()
            self._read_on()

    # What the parser calls.

    def _stop(self, status: int, text: str) -> None:
        self.refusal = Refusal(status, text)
        raise self.refusal

    def on_message_begin(self) -> None:
        self.url, self.fields, self.body, self.size = b"", {}, [], 0
        self.partial, self.headed, self.awaited = True, False, False
        if self.spoken:
            self.since = self.now()

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > URL:
            self._stop(414, "the path is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self.fields) >= FIELDS or len(name) + len(value) > FIELD:
            self._stop(431, "too many headers, or too long ones")
        name = name.lower()
        if name in self.fields and name in _SINGLE:
            self._stop(400, "a header is given twice")
        self.fields[name] = value

    def on_headers_complete(self) -> None:
        self.headed = True
        if b"content-encoding" in self.fields and self.fields[b"content-encoding"] != b"identity":
            self._stop(415, "Content-Encoding: not taken here")
        length = self.fields.get(b"content-length", b"0")
        if len(length) > 6 or int(length) > BODY:  # the parser lets digits only through
            self._stop(413, "the statement is too long")
        if self.fields.get(b"expect", b"").lower() == b"100-continue" and not self.line:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > BODY:
            self._stop(413, "the statement is too long")
        self.body.append(part)

    def on_message_complete(self) -> None:
        self.came, self.partial, self.spoken = 0, False, True
        slot = _Slot(self)
        slot.last = self.deaf = not self.parser.should_keep_alive()
        self.line.append(slot)
        try:
            self.front.call(slot, self.parser.get_method(), self.url, self.fields, b"".join(self.body))
        except Refusal as refusal:
            self.line.remove(slot)
            self._stop(refusal.status, refusal.text)
        except Exception as error:  # noqa: BLE001 - a fault ends one call
            self.front.events.count("faults")
            self.front.events.log("fault", error=repr(error), of="call")
            slot.reply(500, {"failure": "Failed"}, last=True)


class Platform:
    """The front of HTTP clients."""

    def __init__(self, config: Config, core: Core, events: Events) -> None:
        self.config, self.core, self.events = config, core, events
        self.loop = asyncio.get_running_loop()
        self.sockets = config.limits.sockets  # this process's, of which clients have a part
        self.crowd(False)
        self.prefix = ""  # of paths: it names the worker among several
        self.relay: Relay | None = None
        self.tenant: Callable[[Facts], int] | None = None
        self.most_memory = max((*core.settings.kind_memory_mb, 1.0))
        self.keep_bytes = int(config.limits.memory_mb * 2**20 / 24)
        self.classes = {name.encode(): number for number, name in enumerate(config.classes)}
        self.clients: set[_Client] = set()
        self.ids: set[str] = set()  # of the requests that are open
        self._open: dict[str, _Open] = {}  # by path
        self._kept = self._paths = 0
        self.port = 0
        self._listener: socket.socket | None = None
        self._joining: set[asyncio.Task[Any]] = set()
        self._sweeper: asyncio.TimerHandle | None = None
        self._drained_at = math.inf

    def start(self) -> None:
        """Accept from the socket that the platform holds, or from one of our own."""
        held = self.config.inherited if self.config.listener is None else self.config.listener
        if held is not None:
            # It is shared with the platform and another process: no bind, no shutdown, and no listen, which would
            # set its backlog anew.
            listener = socket.socket(fileno=held)
        else:
            host, port = self.config.listen
            listener = socket.create_server(
                (host, port), family=socket.AF_INET6 if ":" in host else socket.AF_INET, backlog=BACKLOG)
        listener.setblocking(False)
        self._listener, self.port = listener, listener.getsockname()[1]
        self._listen()
        self._sweep()

    def _listen(self, waited: bool = False) -> None:
        if self._listener is not None:
            self.loop.add_reader(self._listener, self._accept)
            if waited:
                self._accept_one()

    def _accept(self) -> None:
        """Take a few: all of one turn must fit into the descriptors; the others wait in the system."""
        for _ in range(ACCEPT):
            if self._listener is None:
                return
            if self.relay is not None and not self.relay.accepts():
                # Another worker holds fewer: it has a moment to be first, then whoever still waits is taken here.
                self.loop.remove_reader(self._listener)
                self.loop.call_later(LET_GO_S, self._listen, True)
                return
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        assert self._listener is not None
        try:
            accepted, _ = self._listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return False  # the other process was first, or the client has gone
        except OSError as error:
            self.events.log("accept", error=repr(error))
            self.loop.remove_reader(self._listener)
            self.loop.call_later(SHORT_S, self._listen)
            return False
        accepted.setblocking(False)
        joining = self.loop.create_task(self.loop.connect_accepted_socket(lambda: _Client(self), accepted))
        self._joining.add(joining)
        joining.add_done_callback(self._joining.discard)
        return True

    def leave(self) -> None:
        """Stop accepting; who waits in an inherited socket's line is the other process's."""
        if self._listener is not None:
            self.loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    @property
    def owing(self) -> int:
        """Requests whose client has yet to fetch its last answer."""
        return sum(not opened.told for opened in self._open.values())

    @property
    def connections(self) -> int:
        return len(self.clients)

    @property
    def held(self) -> int:
        """Connections, with those that were accepted in this turn."""
        return len(self.clients) + len(self._joining)

    async def close(self) -> None:
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.leave()
        for client in list(self.clients):
            client.transport.close()

    def crowd(self, crowded: bool) -> None:
        """Bound the connections; while another process serves too, both must fit into the descriptors."""
        self.most_clients = max(16, int(self.sockets * (CROWDED_PART if crowded else CLIENT_PART)))

    # Draining.

    @property
    def draining(self) -> bool:
        return self._drained_at < math.inf

    def drain(self) -> None:
        """Send clients away: serve what comes, and end each connection when nothing is open on it."""
        self._drained_at = min(self._drained_at, self.loop.time())

    def resume(self) -> None:
        self._drained_at = math.inf

    def _ease(self, client: _Client, state: int, waited: float, drained: float) -> None:
        """One connection in a drain: idle ones end, but not one whose client is about to ask for a `next`."""
        if state == COMING:
            if waited > QUIET_S and drained > TAKE_S:
                client.refuse(Refusal(503, "Busy"))
        elif drained > EASE_S and waited > (QUIET_S if state == FRESH else 1.0 if client.awaited else 0.0):
            client.end()

    # Connections.

    def joined(self, client: _Client) -> None:
        self.clients.add(client)
        if len(self.clients) > self.most_clients and not self._make_room(client):
            self.events.count("full", FRONT)
            client.deaf = True
            slot = _Slot(client)
            client.line.append(slot)
            slot.reply(503, {"failure": "Busy"}, last=True)

    def _make_room(self, newest: _Client) -> bool:
        """Close the one that needs its place least: refused, silent, long idle or slow; never a busy one."""
        now, best, victim = self.loop.time(), 0.0, None
        for client in self.clients:
            state = client.state()
            if state == BUSY or client is newest:
                continue
            waited = now - client.since
            rank = {LEAVING: 5.0, FRESH: 4.0 if waited > 0.1 else 1.0, COMING: 2.0 if waited > 0.5 else 0.5,
                    IDLE: 3.0 if waited > 1.0 else 1.5}[state] + min(waited, 9.0) / 20.0
            if rank > best:
                best, victim = rank, client
        if victim is None:
            return False
        self.events.count("places_cleared", FRONT)
        self.clients.discard(victim)
        victim.transport.abort()
        return True

    def _sweep(self) -> None:
        """Close whoever has had its time: a word or a close is owed within 3 s of connecting."""
        self._sweeper = self.loop.call_later(SWEEP_S, self._sweep)
        now = self.loop.time()
        for client in list(self.clients):
            state, waited = client.state(), now - client.since
            if now - client.stuck_at > STUCK_S or (state == LEAVING and waited > LINGER_S):
                client.transport.abort()
            elif state == COMING and waited > WHOLE_S:
                self.events.count("slow_clients", FRONT)
                client.refuse(Refusal(408, "the request did not come in time"))
            elif (state == FRESH and waited > WHOLE_S) or (state == IDLE and waited > IDLE_S):
                self.events.count("silent_clients", FRONT)
                client.end()
            elif self.draining and state in (FRESH, COMING, IDLE):
                self._ease(client, state, waited, now - self._drained_at)

    # One call.

    def call(self, slot: _Slot, method: bytes, url: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        if not url.startswith(b"/call/"):
            if url != b"/ping":
                raise Refusal(404, "no such path")
            if method not in (b"GET", b"HEAD"):
                raise Refusal(405, "only GET")
            if self.draining:
                slot.reply(503, {"failure": "Busy"}, last=True)
                return
            slot.reply(200) if method == b"HEAD" else slot.reply(200, "ok")
            return
        if method == b"POST":
            self._post(slot, url[6:], fields, body)
            return
        path, _, page = url.decode("latin-1").rpartition("/")
        opened = self._open.get(path)
        if opened is None and self.relay is not None and self.relay.passes(slot, method, path, url):
            return
        if method == b"DELETE":
            if opened is None:
                raise Refusal(404, "no such request")
            self._leave(opened)
            slot.reply(204)
        elif method != b"GET":
            raise Refusal(405, "only POST, GET and DELETE")
        elif opened is None or not (page.isascii() and page.isdecimal()) or len(page) > 4:
            raise Refusal(404, "no such request")
        else:
            slot.opened, slot.page = opened, int(page)
            self._wait(slot)

    def _post(self, slot: _Slot, cls: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        if cls not in self.classes:
            raise Refusal(404, "no such class")
        ticket = fields.get(b"x-request-id", b"")
        if not _ID.match(ticket):
            raise Refusal(400, "X-Request-Id: not 16 hex digits")
        number = self.classes[cls]
        left_ms = _figure(fields, b"X-Timeout-Ms", RANGE * self.core.settings.classes[number].deadline_ms)
        cost_ms = _figure(fields, b"X-Cost-Ms", MOST_COST_MS, False)
        memory_mb = _figure(fields, b"X-Memory", self.most_memory, False)
        try:
            statement = body.decode()
        except UnicodeDecodeError:
            raise Refusal(400, "the statement is not UTF-8") from None
        if not statement.strip():
            raise Refusal(400, "the statement is empty")
        name = ticket.decode()
        if name in self.ids:
            raise Refusal(409, "X-Request-Id: this request is already open")
        if len(slot.client.line) > AHEAD or self.loop.time() - self._drained_at > TAKE_S:
            self.events.count("full", FRONT, self.core.classes[number][1])
            slot.reply(503, {"failure": "Busy"})
            return
        if self.relay is not None and (refusal := self.relay.claim(name)) is not None:
            if refusal.status < 500:
                raise refusal
            slot.reply(refusal.status, {"failure": refusal.text})
            return
        self._paths += 1
        opened = _Open(self, name, f"/call/{cls.decode()}/{self.prefix}{self._paths:x}-{name}")
        ask = Ask(FRONT, number, name, statement, clock(), left_ms, opened.settle, cost_ms, memory_mb,
                  table_group(statement))
        if self.tenant is not None:
            peer = slot.client.transport.get_extra_info("peername") or ("",)
            ask.tenant = self.tenant(Facts(FRONT, peer[0], fields, schema=schema(statement)))
        if not self.core.submit(ask):
            if self.relay is not None:
                self.relay.release(name)
            slot.reply(503, {"failure": "Busy"})
            return
        opened.ask, slot.opened, slot.page = ask, opened, -1
        self.ids.add(name)
        self._wait(slot)

    def _wait(self, slot: _Slot) -> None:
        """Answer the call now, or when there is an answer, or with a path once it was held long enough."""
        assert slot.opened is not None
        if slot.opened.answer is not None:
            self.give(slot)
        else:
            slot.opened.slots.append(slot)
            slot.timer = self.loop.call_later(HOLD_S, self._held, slot)

    def _held(self, slot: _Slot) -> None:
        opened = slot.opened
        assert opened is not None
        opened.slots.remove(slot)
        if slot.page < 0:
            self._publish(opened)
        slot.reply(200, {"next": f"{opened.path}/{max(0, slot.page)}"})

    def _publish(self, opened: _Open) -> None:
        """From here on the request outlives its connection: a poor link may break, the path stays."""
        self._open[opened.path] = opened
        left_ms = opened.ask.left_ms if opened.ask is not None else 0.0
        opened.timer = self.loop.call_later(left_ms / 1000.0 + KEEP_S, self._drop, opened)

    def give(self, slot: _Slot) -> None:
        """Answer a call whose request is settled."""
        opened = slot.opened
        assert opened is not None and opened.answer is not None
        answer, page = opened.answer, max(0, slot.page)
        if answer.how != SERVED:
            self._told(opened)
            wait = answer.retry_after_ms if answer.how == REFUSED else 0.0
            slot.reply(503 if answer.how == REFUSED else 502,
                       {"failure": "Busy" if answer.how == REFUSED else "Failed"},
                       f"Retry-After-Ms: {math.ceil(wait)}\r\n" if wait > 0 else "")
            return
        if opened.pages is None:
            opened.pages, opened.size = _paged(*answer.result)
            if slot.page < 0 and len(opened.pages) > 1:
                self._publish(opened)
            if opened.path in self._open:
                self._keep(opened)
        if page >= len(opened.pages):
            slot.reply(404, {"failure": "no such page"}, last=True)
            return
        body: dict[str, Any] = {"rows": opened.pages[page]}
        if page + 1 < len(opened.pages):
            body["next"] = f"{opened.path}/{page + 1}"
        else:
            self._told(opened)
        slot.reply(200, body)

    def _told(self, opened: _Open) -> None:
        """The client has all; the path stays a little, should its connection have broken meanwhile."""
        opened.told = True
        if opened.timer is not None:
            opened.timer.cancel()
            opened.timer = self.loop.call_later(KEEP_S, self._drop, opened)

    def _keep(self, opened: _Open) -> None:
        self._kept += opened.size
        for other in list(self._open.values()) if self._kept > self.keep_bytes else ():
            if self._kept <= self.keep_bytes:
                return
            if other is not opened and other.pages is not None:
                self._drop(other)

    def _drop(self, opened: _Open) -> None:
        if self._open.pop(opened.path, None) is not None:
            self._kept -= opened.size
            if opened.timer is not None:
                opened.timer.cancel()

    def gone(self, slot: _Slot) -> None:
        """The connection of a call has ended."""
        if slot.timer is not None:
            slot.timer.cancel()
        opened = slot.opened
        if opened is None or slot.data is not None:
            return
        if slot in opened.slots:
            opened.slots.remove(slot)
        if slot.page < 0:
            self._leave(opened)  # the client has no path yet: its connection was the request

    def _leave(self, opened: _Open) -> None:
        """The client stopped waiting: nothing is owed, and the engine's work is freed."""
        self._drop(opened)
        if opened.answer is None and opened.ask is not None:
            self.core.left(opened.ask)
            opened.settle(Answer(FAILED))


def _paged(rows: list[list[str]], size: int) -> tuple[list[list[Any]], int]:
    """Cut the rows into answers, once; the same path gives the same rows again."""
    if size <= PAGE_BYTES:
        return [rows], size
    pages: list[list[Any]] = []
    page: list[Any] = []
    length = 0
    for row in rows:
        part = sum(map(len, row)) + 4 * len(row)
        if page and length + part > PAGE_BYTES:
            pages.append(page)
            page, length = [], 0
        page.append(row)
        length += part
    return [*pages, page], size


def _figure(fields: dict[bytes, bytes], name: bytes, most: float, needed: bool = True) -> float:
    """A figure in plain digits and in its range."""
    text = fields.get(name.lower(), b"")
    if not text and not needed:
        return 0.0
    value = float(text) if _FIGURE.match(text) else math.nan
    if not 0.0 <= value <= most or (needed and value <= 0):
        raise Refusal(400, f"{name.decode()}: missing or not a usable figure")
    return value
