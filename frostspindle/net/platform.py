"""The platform's front: clients that speak HTTP/1.1.

Owns the listening socket, the check of what a client sends, the paths under which an answer is fetched, and
the form of that answer. It must never forward what it could not check, never answer a request from its own
judgement other than by a refusal when the program is full, and never keep more than it has bounds for.
"""

from __future__ import annotations

import asyncio
import math
import re
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from frostspindle.config import Config
from frostspindle.core import FAILED, REFUSED, SERVED, Answer, Ask, Core, clock
from frostspindle.events import Events

FRONT = "http"
HOLD_S = 1.0  # a call is held this long for its answer, then the client is given a path to ask again
BODY = 64 * 1024  # the longest statement
BODY_S = 10.0  # the longest time that a head or a body may take to come
PAGE_BYTES = 48 * 1024  # rows in one answer
MOST_WAIT_MS = 3_600_000.0  # a request is kept at most for as long as its client may wait
KEEP_S, KEEP_BYTES = 5.0, 8 << 20  # how long answers are kept for a repeated GET, and how much of them
IDLE_S = 30.0  # clients close after 4 s idle; this is for those that do not
_ID = re.compile(r"[0-9a-f]{16}\Z")
# Strings and comments first, so that what looks like a name in them is passed over.
_SQL = re.compile(
    r"""'(?:[^']|'')*'|--[^\n]*|/\*.*?(?:\*/|\Z)|["\[`]?\b([A-Za-z]\w*?)_(\d+)["\]`]?\s*\.""", re.S)
_ENCODE = msgspec.json.Encoder().encode


class Refusal(Exception):
    """A client's call that is answered with a 4xx and goes no further."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


def table_group(statement: str) -> int:
    """The number behind the underscore in the name of the schema that the statement reads or writes."""
    for match in _SQL.finditer(statement):
        name = match.group(1)
        if name and name.lower() != "staging":
            return int(match.group(2)) % (1 << 24)
    return 0


class _Open:
    """One request at this front: its answer, and the path under which it is fetched."""

    def __init__(self, ask: Ask | None, path: str) -> None:
        self.ask, self.path = ask, path
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.pages: list[list[Any]] | None = None
        self.size, self.told = 0, False  # told: the client has had the last answer

    def settle(self, answer: Answer) -> None:
        if not self.answer.done():
            self.answer.set_result(answer)


class _Server(web.Server):
    """Bounds the connections and the time that one may stay without a whole request head."""

    def __init__(self, front: Platform) -> None:
        super().__init__(front.handle, handler_cancellation=True, keepalive_timeout=IDLE_S, access_log=None,
                         auto_decompress=False, max_line_size=2048, max_field_size=4096, max_headers=64,
                         lingering_time=1.0)
        self.front = front

    def connection_made(self, handler: RequestHandler, transport: asyncio.Transport) -> None:
        super().connection_made(handler, transport)
        asyncio.get_running_loop().call_later(BODY_S, self._check, handler)

    def _check(self, handler: RequestHandler) -> None:
        if handler in self._connections and handler not in self.front.spoken:
            self.front.events.count("silent_clients", FRONT)
            handler.force_close()

    def connection_lost(self, handler: RequestHandler, exc: BaseException | None = None) -> None:
        self.front.spoken.discard(handler)
        super().connection_lost(handler, exc)


class Platform:
    """The front of HTTP clients."""

    def __init__(self, config: Config, core: Core, events: Events) -> None:
        self.config, self.core, self.events = config, core, events
        self.most_connections = config.limits.sockets // 3
        self.classes = {name: number for number, name in enumerate(config.classes)}
        self.spoken: set[RequestHandler] = set()
        self._open: dict[str, _Open] = {}  # by path
        self._ids: set[str] = set()
        self._kept = 0
        self._paths = 0
        self._server: asyncio.Server | None = None
        self._web: _Server | None = None

    async def start(self) -> None:
        self._web = _Server(self)
        host, port = self.config.listen
        self._server = await asyncio.get_running_loop().create_server(self._web, host, port, backlog=512)

    @property
    def port(self) -> int:
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def owing(self) -> int:
        """Requests whose client has yet to fetch its last answer."""
        return sum(not opened.told for opened in self._open.values())

    @property
    def connections(self) -> int:
        return len(self._web.connections) if self._web is not None else 0

    async def close(self) -> None:
        if self._server is not None and self._web is not None:
            self._server.close()
            await self._web.shutdown(1.0)

    # One call.

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.spoken.add(request.protocol)
        try:
            return await self._route(request)
        except Refusal as refusal:
            self.events.count("bad_calls", FRONT)
            response = _json(refusal.status, {"failure": refusal.text})
            response.force_close()  # what is left of such a body is not read
            return response
        except asyncio.CancelledError:
            raise
        except Exception as error:  # noqa: BLE001 - a fault ends one call
            self.events.count("faults")
            self.events.log("fault", error=repr(error), of="call", path=request.path)
            return _json(500, {"failure": "Failed"})

    async def _route(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        if path == "/ping":
            if request.method not in ("GET", "HEAD"):
                raise Refusal(405, "only GET")
            return web.Response(text="ok")
        if not path.startswith("/call/"):
            raise Refusal(404, "no such path")
        if request.method == "POST":
            return await self._post(request, path[len("/call/"):])
        opened = self._open.get(path.rpartition("/")[0])
        if request.method == "DELETE":
            if opened is None:
                raise Refusal(404, "no such request")
            self._leave(opened)
            return web.Response(status=204)
        if request.method != "GET":
            raise Refusal(405, "only POST, GET and DELETE")
        page = path.rpartition("/")[2]
        if opened is None or not page.isdecimal() or len(page) > 4:
            raise Refusal(404, "no such request")
        return await self._next(opened, int(page))

    async def _post(self, request: web.BaseRequest, cls: str) -> web.StreamResponse:
        if self.connections > self.most_connections:
            self.events.count("full", FRONT, cls if cls in self.classes else "")
            response = _json(503, {"failure": "Busy"})
            response.force_close()
            return response
        if cls not in self.classes:
            raise Refusal(404, "no such class")
        ticket, left_ms = _one(request, "X-Request-Id"), _number(request, "X-Timeout-Ms", True, MOST_WAIT_MS)
        cost_ms, memory_mb = _number(request, "X-Cost-Ms"), _number(request, "X-Memory")
        if not _ID.match(ticket):
            raise Refusal(400, "X-Request-Id: not 16 hex digits")
        statement = await _body(request)
        taken_ms = clock()
        if ticket in self._ids:
            raise Refusal(409, "X-Request-Id: this request is already open")
        self._paths += 1
        opened = _Open(None, f"/call/{cls}/{self._paths:x}-{ticket}")
        ask = Ask(FRONT, self.classes[cls], ticket, statement, taken_ms, left_ms, opened.settle, cost_ms,
                  memory_mb, table_group(statement))
        if not self.core.submit(ask):
            return _json(503, {"failure": "Busy"})
        opened.ask = ask
        self._ids.add(ticket)
        opened.answer.add_done_callback(lambda _: self._ids.discard(ticket))
        try:
            await asyncio.wait((opened.answer,), timeout=HOLD_S)
        except asyncio.CancelledError:
            self._leave(opened)  # the client has no path yet: its connection was the request
            raise
        if opened.answer.done() and (whole := self._whole(opened)) is not None:
            return whole
        # From here on the request outlives its connection: a poor link may break, the path stays.
        self._open[opened.path] = opened
        asyncio.get_running_loop().call_later(left_ms / 1000.0 + KEEP_S, self._drop, opened)
        if opened.answer.done():
            return await self._next(opened, 0)
        return _json(200, {"next": opened.path + "/0"})

    def _whole(self, opened: _Open) -> web.Response | None:
        """The answer, if it needs no further page."""
        answer = opened.answer.result()
        if answer.how != SERVED:
            return _unserved(answer)
        self._paged(opened)
        assert opened.pages is not None
        return _json(200, {"rows": opened.pages[0]}) if len(opened.pages) == 1 else None

    def _paged(self, opened: _Open) -> None:
        """Cut the rows into answers, once; the same path gives the same rows again."""
        if opened.pages is not None:
            return
        opened.pages, page, size = [], [], 0
        for row in opened.answer.result().result:
            length = sum(map(len, row)) + 4 * len(row)
            if page and size + length > PAGE_BYTES:
                opened.pages.append(page)
                page, size = [], 0
            page.append(row)
            size += length
            opened.size += length
        opened.pages.append(page)

    async def _next(self, opened: _Open, number: int) -> web.StreamResponse:
        await asyncio.wait((opened.answer,), timeout=HOLD_S)
        if not opened.answer.done():
            return _json(200, {"next": f"{opened.path}/{number}"})
        answer = opened.answer.result()
        if answer.how != SERVED:
            opened.told = True
            return _unserved(answer)
        if opened.pages is None:
            self._paged(opened)
            self._keep(opened)
        assert opened.pages is not None
        if number >= len(opened.pages):
            raise Refusal(404, "no such page")
        body: dict[str, Any] = {"rows": opened.pages[number]}
        if number + 1 < len(opened.pages):
            body["next"] = f"{opened.path}/{number + 1}"
        else:
            opened.told = True
        return _json(200, body)

    def _keep(self, opened: _Open) -> None:
        self._kept += opened.size
        for other in list(self._open.values()):
            if self._kept <= KEEP_BYTES:
                return
            if other is not opened and other.pages is not None:
                self._drop(other)

    def _drop(self, opened: _Open) -> None:
        if self._open.pop(opened.path, None) is not None:
            self._kept -= opened.size

    def _leave(self, opened: _Open) -> None:
        """The client stopped waiting: nothing is owed, and the engine's work is freed."""
        self._drop(opened)
        if not opened.answer.done() and opened.ask is not None:
            self.core.left(opened.ask)
            opened.settle(Answer(FAILED))


def _json(status: int, body: dict[str, Any]) -> web.Response:
    return web.Response(status=status, body=_ENCODE(body), content_type="application/json")


def _unserved(answer: Answer) -> web.Response:
    if answer.how != REFUSED:
        return _json(502, {"failure": "Failed"})
    response = _json(503, {"failure": "Busy"})
    if answer.retry_after_ms > 0:
        response.headers["Retry-After-Ms"] = str(math.ceil(answer.retry_after_ms))
    return response


def _one(request: web.BaseRequest, name: str) -> str:
    values = request.headers.getall(name, ())
    if len(values) > 1:
        raise Refusal(400, f"{name}: given twice")
    return values[0].strip() if values else ""


def _number(request: web.BaseRequest, name: str, needed: bool = False, most: float = 1e9) -> float:
    text = _one(request, name)
    if not text and not needed:
        return 0.0
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0.0 <= value <= most or (needed and value <= 0):
        raise Refusal(400, f"{name}: missing or not a usable number")
    return value


async def _body(request: web.BaseRequest) -> str:
    if request.headers.get("Content-Encoding", "identity") != "identity":
        raise Refusal(415, "Content-Encoding: not taken here")
    if (request.content_length or 0) > BODY:
        raise Refusal(413, "the statement is too long")
    if request.headers.get("Expect", "").lower() == "100-continue":
        await request.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    parts, size = [], 0
    try:
        async with asyncio.timeout(BODY_S):
            while part := await request.content.readany():
                parts.append(part)
                size += len(part)
                if size > BODY:
                    raise Refusal(413, "the statement is too long")
    except TimeoutError:
        raise Refusal(408, "the statement did not come in time") from None
    try:
        statement = b"".join(parts).decode()
    except UnicodeDecodeError:
        raise Refusal(400, "the statement is not UTF-8") from None
    if not statement.strip():
        raise Refusal(400, "the statement is empty")
    return statement
