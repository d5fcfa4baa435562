"""Engines that speak the platform's HTTP: one attempt from its POST to its last page.

Owns the connections to those engines and the calls that start, follow, rank and give up a query. It must
never resend what may have reached an engine, never begin a send to an engine that has started to drain
meanwhile, never report an attempt's end while the engine may still be running it, and never report a good
end without all rows in hand. Which engine, when and for how long is not its affair.
"""

from __future__ import annotations

import asyncio
import contextvars
import math
from typing import Any

import aiohttp

from frostspindle.config import Config
from frostspindle.core import Attempt, Core, EngineState, clock
from frostspindle.events import Events
from frostspindle.net import TaskDriver
from pinstage.interface import Health, NoteKind, Verdict

ANSWER_S = 1.2  # news come within 250 ms; a query not asked for in 2 s is dropped by its engine
GIVE_UP_S = 0.3  # how long a DELETE may wait for its answer
FORGOTTEN_MS = 2100.0  # an engine drops what has not been asked for in 2 s
RETIRE_S = 30.0
PAGES, PAGE_BYTES, RESULT_BYTES = 64, 64 * 1024, 256 * 1024  # bounds on a result; the protocol has 48,000 bytes
POOL_PART, POOL_FRESH = 24, 8  # connections to one engine: a part of all sockets, and new ones beside them
NOTES = {"pct": NoteKind.PROGRESS, "overflow": NoteKind.SPILLS, "queued": NoteKind.WAITS}
NAMES = {"util": "load_share", "queue": "depth", "inflight": "concurrent"}
Rows = list[list[str]]


class Drained(aiohttp.ClientError):
    """The engine may get nothing new; nothing of the call was written."""


class BadReply(Exception):
    """An engine's answer that can't be read."""


class _Call:
    """What is known of one HTTP call: whether it has had a connection, so that bytes may have gone out."""

    __slots__ = ("attempt", "wired")

    def __init__(self, attempt: Attempt | None = None) -> None:
        self.attempt, self.wired = attempt, False


_call: contextvars.ContextVar[_Call] = contextvars.ContextVar("call")


class _Connector(aiohttp.TCPConnector):
    """Asks once more, after any wait for a connection, whether a new query may still be sent."""

    core: Core

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Any:
        connection = await super().connect(req, traces, timeout)
        call = _call.get()
        if call.attempt is not None and not self.core.may_send(call.attempt):
            connection.release()
            raise Drained("the engine drains")
        call.wired = True
        return connection


class _Reply:
    __slots__ = ("status", "headers", "body")

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body


class _Peer:
    """One engine's address and connections."""

    def __init__(self, driver: Engines, state: EngineState) -> None:
        self.state = state
        self.base = f"http://{state.address[0]}:{state.address[1]}"
        connect_s = driver.core.settings.connect_timeout_ms / 1000.0
        # Idle connections are closed here well before the engine does: a call that crosses its close is lost.
        pooled = _Connector(limit=max(8, driver.sockets // POOL_PART), keepalive_timeout=driver.idle_s * 0.5)
        # Whether a silent engine's machine is still there shows only on a connection that is new.
        fresh = _Connector(limit=POOL_FRESH, force_close=True)
        self.sessions = []
        for connector in (pooled, fresh):
            connector.core = driver.core
            session = aiohttp.ClientSession(
                connector=connector, cookie_jar=aiohttp.DummyCookieJar(), auto_decompress=False,
                timeout=aiohttp.ClientTimeout(total=None, connect=connect_s, sock_connect=connect_s),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"))
            # aiohttp quietly repeats idempotent calls on a stale connection; only this file repeats calls.
            session._retry_connection = False
            self.sessions.append(session)

    async def close(self) -> None:
        for session in self.sessions:
            await session.close()

    async def call(self, method: str, path: str, headers: dict[str, str] | None = None,
                   body: bytes | None = None, call: _Call | None = None, within_s: float = ANSWER_S,
                   fresh: bool = False) -> _Reply:
        _call.set(call or _Call())
        async with asyncio.timeout(within_s):
            async with self.sessions[fresh].request(method, self.base + path, headers=headers, data=body,
                                                    allow_redirects=False) as response:
                content = await response.content.read(PAGE_BYTES + 1)
                while not response.content.at_eof() and len(content) <= PAGE_BYTES:
                    content += await response.content.read(PAGE_BYTES + 1 - len(content))
                if len(content) > PAGE_BYTES:
                    response.close()
                    raise BadReply("an answer is too long")
                return _Reply(response.status, response.headers, content)


class Engines(TaskDriver):
    """The driver of HTTP engines."""

    def __init__(self, config: Config, core: Core, events: Events) -> None:
        super().__init__(core)
        self.events = events
        self.idle_s, self.sockets = config.idle_ms / 1000.0, config.limits.sockets
        self.columns = core.settings.report_columns
        self.peers: dict[int, _Peer] = {}

    # The core's interface.

    def listed(self, engine: EngineState) -> None:
        number = engine.entry.engine
        peer = self.peers.get(number)
        restarted = peer is not None and (
            peer.state.address != engine.address or engine.entry.since_ms > peer.state.entry.since_ms)
        if peer is not None and (restarted or engine.entry.health == Health.GONE):
            del self.peers[number]
            self.spawn(self._retire(peer))
            peer = None
        if peer is not None:
            peer.state = engine
        elif engine.entry.health != Health.GONE:
            self.peers[number] = _Peer(self, engine)

    def rank(self, attempt: Attempt) -> None:
        peer = self.peers.get(attempt.engine)
        if peer is not None:
            self.spawn(self._rank(peer, attempt))

    async def close(self) -> None:
        await super().close()
        for peer in self.peers.values():
            await peer.close()

    async def _retire(self, peer: _Peer) -> None:
        """A gone engine's connections stay until its attempts have had time to end."""
        try:
            await asyncio.sleep(RETIRE_S)
        finally:
            await peer.close()

    # One attempt.

    async def attempt(self, attempt: Attempt) -> None:
        peer = self.peers.get(attempt.engine)
        if peer is None:
            self.core.ended(attempt, Verdict.CONNECT_FAILED)
            return
        call = _Call(attempt)
        asked = [clock()]  # when the engine was last asked for this query
        try:
            async with asyncio.timeout(self.left_s(attempt)):
                verdict, report, rows = await self._follow(peer, attempt, call, asked)
        except TimeoutError:
            verdict = Verdict.TIMEOUT if call.wired else Verdict.CONNECT_FAILED
        except asyncio.CancelledError:
            verdict = Verdict.CANCELLED
        except BadReply as error:
            self.events.count("engine_bad_replies")
            self.events.log("engine_reply", engine=peer.state.name, ticket=attempt.ask.ticket,
                            error=str(error))
            verdict = Verdict.ERROR
        except Exception as error:  # noqa: BLE001 - one attempt's fault is its own
            self.events.count("faults")
            self.events.log("fault", error=repr(error), of="attempt", ticket=attempt.ask.ticket)
            verdict = Verdict.ERROR
        else:
            # Broken connections do not prove that the query ended with them: that too is given up first.
            if verdict != Verdict.RESET:
                self.core.ended(attempt, verdict, report, rows)
                return
        # A task of its own: a further cancel must not cut short what frees the engine.
        self.spawn(self._free(peer, attempt, call, asked[0], verdict))

    async def _free(self, peer: _Peer, attempt: Attempt, call: _Call, asked_ms: float, verdict: int) -> None:
        try:
            await self._give_up(peer, attempt, call, asked_ms)
        finally:
            self.core.ended(attempt, verdict)

    async def _follow(self, peer: _Peer, attempt: Attempt, call: _Call,
                      asked: list[float]) -> tuple[int, tuple[float, ...], Rows | None]:
        """From the POST to the last page; the verdict, the load report and the rows."""
        ask = attempt.ask
        headers = {"X-Ticket": ask.ticket, "X-Queue": attempt.class_name,
                   "X-Max-Ms": str(max(1, int(attempt.timeout_ms))), "X-Priority": str(attempt.priority)}
        if attempt.grant_mb > 0:
            headers["X-Memory-Mb"] = f"{attempt.grant_mb:.3f}"
        path = f"/v1/store/{ask.ticket}/"
        report: tuple[float, ...] = ()
        reply = None
        try:
            reply = await peer.call("POST", "/v1/store", headers, ask.statement.encode(), call)
        except Drained:
            return Verdict.CONNECT_FAILED, (), None
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if not call.wired:  # no connection, so nothing was written: proof that nothing ran
                self.events.log("connect", engine=peer.state.name, error=repr(error))
                return Verdict.CONNECT_FAILED, (), None
        while True:
            if reply is None:
                reply = await self._news(peer, path + "0", asked)
                if reply is None:
                    return Verdict.RESET, report, None
            report = self._report(reply) or report
            shed = reply.headers.get("X-Shed") == "1"
            if reply.status == 202:
                self._note(attempt, reply)
                reply = None
            elif reply.status == 200:
                rows = await self._pages(peer, path, reply, asked)
                return (Verdict.OK if rows is not None else Verdict.ERROR), report, rows
            elif reply.status in (503, 504) and shed:
                return Verdict.FULL, report, None
            elif reply.status in (500, 503, 504):
                return Verdict.ERROR, report, None
            else:
                raise BadReply(f"status {reply.status}")

    async def _news(self, peer: _Peer, path: str, asked: list[float]) -> _Reply | None:
        """Ask for news, on a new connection if the old one breaks; None: the process is gone."""
        broken, fresh = 0, False
        while True:
            call, began = _Call(), clock()
            try:
                return await peer.call("GET", path, call=call, fresh=fresh)
            except aiohttp.ClientConnectorError as error:
                if isinstance(error.os_error, ConnectionRefusedError):
                    return None
            except (TimeoutError, aiohttp.ServerTimeoutError):
                pass  # silent: ask again until the attempt's own time is over
            except (aiohttp.ClientError, OSError):
                broken += 1
                if broken > 1:
                    return None
            finally:
                if call.wired:  # what had no connection can't have been an ask that keeps the query going
                    asked[0] = began
            fresh = True
            await asyncio.sleep(0.0 if call.wired else 0.2)

    async def _pages(self, peer: _Peer, path: str, first: _Reply, asked: list[float]) -> Rows | None:
        """All rows of the result, in order; None: a page is lost."""
        try:
            pages = int(first.headers.get("X-Pages", ""))
        except ValueError:
            raise BadReply("no count of pages") from None
        if not 1 <= pages <= PAGES:
            raise BadReply(f"{pages} pages")
        rows, size = _rows(first.body), len(first.body)
        for number in range(1, pages):
            reply = await self._news(peer, f"{path}{number}", asked)
            if reply is None or reply.status != 200:
                return None
            if reply.headers.get("X-Page") != str(number):
                raise BadReply(f"page {reply.headers.get('X-Page')} in place of {number}")
            size += len(reply.body)
            if size > RESULT_BYTES:
                raise BadReply("a result is too long")
            rows += _rows(reply.body)
        return rows

    async def _give_up(self, peer: _Peer, attempt: Attempt, call: _Call, asked_ms: float) -> None:
        """Free the engine's work. Returns once the attempt can't be out any more."""
        if not call.wired:
            return
        path = f"/v1/store/{attempt.ask.ticket}"
        for fresh in (False, True):
            delete = _Call()
            try:
                await peer.call("DELETE", path, call=delete, within_s=GIVE_UP_S, fresh=fresh)
                return
            except aiohttp.ClientConnectorError as error:
                if isinstance(error.os_error, ConnectionRefusedError):
                    return  # the process is gone, and what it ran with it
            except (aiohttp.ClientError, OSError, TimeoutError, BadReply):
                if fresh and delete.wired:
                    return  # a live machine has the whole call; it merely does not answer
        await asyncio.sleep(max(0.0, asked_ms + FORGOTTEN_MS - clock()) / 1000.0)

    async def _rank(self, peer: _Peer, attempt: Attempt) -> None:
        sent = attempt.priority
        try:
            reply = await peer.call("PUT", f"/v1/store/{attempt.ask.ticket}", None, b"%d" % sent)
            self.events.count("ranked" if reply.status == 204 else "rank_failed")
        except (aiohttp.ClientError, OSError, TimeoutError, BadReply):
            self.events.count("rank_failed")

    async def probing(self, engine: int) -> None:
        began, peer, call = clock(), self.peers.get(engine), _Call()
        verdict, report = Verdict.CONNECT_FAILED, ()
        if peer is not None:
            try:
                reply = await peer.call("GET", "/stats", call=call, within_s=0.3)
                verdict = Verdict.OK if reply.status == 200 else Verdict.ERROR
                report = self._report(reply)
            except (aiohttp.ClientError, OSError, TimeoutError, BadReply) as error:
                if call.wired:
                    verdict = Verdict.TIMEOUT if isinstance(error, TimeoutError) else Verdict.RESET
        self.core.probed(engine, verdict, clock() - began, report)

    # Reading.

    def _report(self, reply: _Reply) -> tuple[float, ...]:
        text = reply.headers.get("X-Meter", "")
        if not text or not self.columns:
            return ()
        values: dict[str, float] = {}
        try:
            for part in text.split(";"):
                name, _, value = part.partition(":")
                number = float(value)
                values[NAMES.get(name.strip(), name.strip())] = number if math.isfinite(number) else 0.0
            return tuple(values[column] for column in self.columns)
        except (ValueError, KeyError):
            self._unreadable("engine_bad_reports", text)
            return ()

    def _unreadable(self, what: str, text: str) -> None:
        """Count it, and log it the first time: an engine that writes it once writes it with every answer."""
        if not self.events.counts[what, "", ""]:
            self.events.log(what, text=text[:200])
        self.events.count(what)

    def _note(self, attempt: Attempt, reply: _Reply) -> None:
        remark = reply.headers.get("X-Remark")
        if not remark:
            return
        try:
            value = float(reply.headers.get("X-Value", ""))
        except ValueError:
            value = math.nan
        if remark not in NOTES or not math.isfinite(value):
            self._unreadable("engine_bad_notes", f"{remark}: {reply.headers.get('X-Value')}")
            return
        self.core.note(attempt, NOTES[remark], value)


def _rows(page: bytes) -> Rows:
    """A page's rows: columns end with a tab, rows with a line feed; unchanged or not at all."""
    if not page:
        return []
    try:
        text = page.decode()
    except UnicodeDecodeError:
        raise BadReply("a page is not UTF-8") from None
    if not text.endswith("\n"):
        raise BadReply("a page ends inside a row")
    return [line.split("\t") for line in text[:-1].split("\n")]
