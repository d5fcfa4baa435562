"""Engines that speak the platform's HTTP: one attempt from its POST to its last page.

Owns the connections to those engines and the calls that start, follow, rank and give up a query. It must
never resend what may have reached an engine, never begin a send to an engine that has started to drain
meanwhile, never use a connection again on which more or less came than one good answer, never report an
attempt's end while the engine may still be running it, and never report a good end without all rows in hand.
Which engine, when and for how long is not its affair. The parser is httptools (llhttp in its strict mode).
"""

from __future__ import annotations

import asyncio
import functools
import math
import select
from collections import deque
from collections.abc import Coroutine
from typing import Any

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from frostspindle import pools
from frostspindle.config import Config
from frostspindle.core import Attempt, Core, EngineState, clock
from frostspindle.events import Events
from frostspindle.net import TaskDriver
from frostspindle.pools import Course
from pinstage.interface import Effect, Health, NoteKind, Verdict

ANSWER_S = 0.5  # news come within 250 ms; an answer that is lost on the way is asked for again
GIVE_UP_S = 0.3  # how long a DELETE may wait for its answer
LOOK_S = 0.05  # so often it is looked whether an old connection has answered
ASKS = 3  # so many broken or unreadable answers to one ask for news or a page are borne
PAGES, PAGE_BYTES, RESULT_BYTES = 64, 64 * 1024, 256 * 1024  # bounds on a result; the protocol has 48,000 bytes
ANSWER_BYTES = PAGE_BYTES + 16 * 1024  # of one answer on the wire: head, page, and 1xx answers before it
FIELDS, FIELD = 64, 4096  # headers of one answer, and their length
TIDY_S = 1.0
NOTES = {b"pct": NoteKind.PROGRESS, b"overflow": NoteKind.SPILLS, b"queued": NoteKind.WAITS}
NAMES = {"util": "load_share", "queue": "depth", "inflight": "concurrent"}
Rows = list[list[str]]


class Drained(Exception):
    """The engine may get nothing new; nothing of the call was written."""


class NoLine(Exception):
    """No connection could be had; nothing of the call was written."""

    def __init__(self, text: str, refused: bool = False, full: bool = False) -> None:
        super().__init__(text)
        self.refused, self.full = refused, full  # by the engine's machine; by the bounds here


class Broken(Exception):
    """The connection ended under a call."""


class BadReply(Exception):
    """An engine's answer that can't be read."""


class _Reply:
    __slots__ = ("status", "headers", "body", "pages", "rows", "line_ms")

    def __init__(self, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body
        self.pages, self.rows, self.line_ms = 0, list[list[str]](), 0.0  # line_ms: when its connection came up

    def read(self, number: int) -> None:
        """Check it as the answer to an ask for a page, 0 being the news; BadReply if it can't be that."""
        if self.status not in (200, 202, 500, 503, 504):
            raise BadReply(f"status {self.status}")
        if self.status != 200:
            return
        if number == 0:
            text = self.text(b"x-pages")
            if not (text.isascii() and text.isdecimal() and 1 <= int(text[:4]) <= PAGES):
                raise BadReply(f"a count of {text!r} pages")
            self.pages = int(text)
        elif self.text(b"x-page") != str(number):
            raise BadReply(f"page {self.text(b'x-page')!r} in place of {number}")
        self.rows = _rows(self.body)

    def text(self, name: bytes) -> str:
        return self.headers.get(name, b"").decode("latin-1")


class _Line(asyncio.Protocol):
    """One connection to an engine; one call at a time, and nothing more after the first doubt."""

    def __init__(self, peer: _Peer) -> None:
        self.peer, self.loop = peer, peer.driver.loop
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set before anything else is called
        self.parser = HttpResponseParser(self)
        self.waiter: asyncio.Future[_Reply] | None = None
        self.good, self.whole, self.idle_at = True, False, self.loop.time()
        self.born_ms = self.heard_ms = clock()  # up since, and last answered
        self.came = self.fields = self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.poll = select.poll()

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.peer.lines.add(self)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def connection_lost(self, error: Exception | None) -> None:
        self.good = False
        self.peer.lost(self)
        self._fail(Broken(repr(error) if error else "the engine ended its connection"))

    def data_received(self, data: bytes) -> None:
        if self.waiter is None or self.waiter.done():
            self.drop()  # nothing was asked: what it is can't be known, nor what it would do to the next answer
            return
        self.came += len(data)
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self.good = False  # noise behind a whole answer leaves that answer good
            if not self.whole:
                self._fail(BadReply(str(error.__context__ or error)))
        if self.whole:
            if not self.waiter.done():
                self.waiter.set_result(_Reply(self.status, self.headers, b"".join(self.body)))
        elif self.came > ANSWER_BYTES:
            self._fail(BadReply("an answer is too long"))
        if not self.good:
            self.drop()

    def _fail(self, error: Exception) -> None:
        self.good = False
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(error)

    # What the parser calls.

    def on_message_begin(self) -> None:
        if self.whole:
            self.good = False
            raise BadReply("more than one answer")
        self.headers, self.body, self.fields = {}, [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields += 1
        if self.fields > FIELDS or len(name) + len(value) > FIELD:
            raise BadReply("a head without bounds")
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        self.status = self.parser.get_status_code()
        if self.status >= 200 and self.status != 204 and not (
                b"content-length" in self.headers or b"transfer-encoding" in self.headers):
            raise BadReply("an answer without a length")  # nothing would show that it was cut
        if int(self.headers.get(b"content-length", b"0")) > PAGE_BYTES:
            raise BadReply("an answer is too long")

    def on_body(self, part: bytes) -> None:
        self.body.append(part)

    def on_message_complete(self) -> None:
        if self.status >= 200:
            self.whole = True
            self.good = self.good and self.parser.should_keep_alive()

    # What the peer calls.

    def usable(self) -> bool:
        """Asked right before a call is written: an end, a reset or noise may lie unread in the system."""
        return (self.good and not self.transport.is_closing()
                and self.loop.time() - self.idle_at < self.peer.driver.idle_s and not self.poll.poll(0))

    def drop(self) -> None:
        self.good = False
        self.transport.abort()

    def expire(self) -> None:
        self._fail(TimeoutError())  # type: ignore[arg-type]
        self.drop()

    def ask(self, data: bytes, within_s: float) -> Coroutine[Any, Any, _Reply]:
        """Write a call at once; its answer is to be awaited."""
        self.waiter = self.loop.create_future()
        self.whole, self.came = False, 0
        timer = self.loop.call_later(within_s, self.expire)
        self.transport.write(data)
        return self._answer(timer)

    async def _answer(self, timer: asyncio.TimerHandle) -> _Reply:
        waiter = self.waiter
        try:
            return await waiter  # type: ignore[misc]
        except asyncio.CancelledError:
            if self.good and not self.whole:
                # The call is given up, its answer is on its way, and a new connection costs the engine more.
                self.waiter = self.loop.create_future()
                self.waiter.add_done_callback(functools.partial(self._unheard, timer))
            raise
        finally:
            if self.waiter is waiter:
                timer.cancel()
                if not self.whole:  # not to be read: whatever still comes belongs to no call
                    self.drop()
                self.waiter = None

    def _unheard(self, timer: asyncio.TimerHandle, waiter: asyncio.Future[_Reply]) -> None:
        """The answer to a call that was given up has come, or will not: the line is free, or gone."""
        timer.cancel()
        self.waiter = None
        if waiter.cancelled() or waiter.exception() is not None:
            self.good = False
        self.peer.release(self)


class _Peer:
    """One engine's process: its address and the connections to it. A successor at the same address has its own."""

    def __init__(self, driver: Engines, state: EngineState) -> None:
        self.driver, self.state = driver, state
        self.idle: list[_Line] = []
        self.lines: set[_Line] = set()
        self.opening = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.gone = False
        self.host = f"{state.address[0]}:{state.address[1]}"

    def retire(self) -> None:
        """The process is gone: idle connections end now, the others with their calls."""
        self.gone = True
        for line in self.idle:
            line.drop()
        self.idle.clear()

    def lost(self, line: _Line) -> None:
        self.lines.discard(line)
        if line in self.idle:
            self.idle.remove(line)
        self._next()

    def _next(self) -> None:
        """A line or a place is free: for a call that waits here, or else for one that waits for another engine."""
        for peer in (self, *self.driver.peers.values()):
            while peer.waiting:
                waiter = peer.waiting.popleft()
                if not waiter.done():
                    waiter.set_result(None)
                    return

    def release(self, line: _Line) -> None:
        if not line.good or self.gone:
            line.drop()
            return
        line.idle_at = line.loop.time()
        self.idle.append(line)
        self._next()

    async def line(self, fresh: bool = False, eldest: bool = False, stay: bool = False) -> _Line:
        """A connection to use: an idle one, the last used or the eldest, unless it must be fresh; else a new one.

        An engine that drains refuses new connections and serves the old ones: who must reach this process and no
        other (`stay`) waits for one of those then.
        """
        limit_s, resets, bound = self.driver.core.settings.connect_timeout_ms / 1000.0, 0, False
        try:
            async with asyncio.timeout(limit_s):
                while True:
                    while self.idle and not fresh:
                        line = pools.pick(self.idle, eldest)
                        self.idle.remove(line)
                        if line.usable():
                            return line
                        line.drop()
                    if self.driver.may_open(self):
                        # Reset when new: nothing was written yet, so that one more can be tried.
                        try:
                            if (line := await self._open()) is not None:
                                return line
                            resets += 1
                            if resets >= ASKS:
                                raise NoLine("connections are reset as they open")
                            continue
                        except NoLine as error:
                            if not (stay and error.refused and self.lines):
                                raise
                            fresh = False
                            if self.idle:
                                continue
                    bound = True
                    waiter: asyncio.Future[None] = self.driver.loop.create_future()
                    self.waiting.append(waiter)
                    await waiter
        except TimeoutError:
            raise NoLine("no connection in time", full=bound) from None

    async def _open(self) -> _Line | None:
        """A new connection; None: reset as it opened."""
        self.opening += 1
        self.driver.opening += 1
        try:
            _, line = await self.driver.loop.create_connection(lambda: _Line(self), *self.state.address)
        except ConnectionResetError:
            return None
        except OSError as error:
            raise NoLine(repr(error), isinstance(error, ConnectionRefusedError)) from None
        finally:
            self.opening -= 1
            self.driver.opening -= 1
        if line.usable():
            return line
        line.drop()
        return None

    async def call(self, method: str, path: str, head: str = "", body: bytes = b"",
                   sending: Attempt | None = None, wired: list[bool] | None = None, within_s: float = ANSWER_S,
                   fresh: bool = False, page: int | None = None, eldest: bool = False,
                   stay: bool = False) -> _Reply:
        """One call. `wired` is set once bytes may go out; `sending` is an attempt whose POST this is.

        The answer is checked as that of `page` while the connection is still held: a spoilt one ends it.
        """
        line = await self.line(fresh, eldest, stay)
        if sending is not None and not self.driver.core.may_send(sending):
            self.release(line)
            raise Drained("the engine drains")
        if wired is not None:
            wired[0] = True
        length = f"Content-Length: {len(body)}\r\n" if body or method in ("POST", "PUT") else ""
        try:
            answer = line.ask(
                f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n{head}{length}\r\n".encode() + body, within_s)
            if sending is not None and not line.transport.get_write_buffer_size():
                self.driver.core.written(sending)
            reply = await answer
            reply.line_ms, line.heard_ms = line.born_ms, clock()
            if page is not None:
                reply.read(page)
            return reply
        except BadReply:
            line.good = False
            raise
        finally:
            if line.waiter is None:  # else an answer is still to come
                self.release(line)


class Engines(TaskDriver):
    """The driver of HTTP engines."""

    numbered = True  # the event bus counts

    def __init__(self, config: Config, core: Core, events: Events) -> None:
        super().__init__(core)
        self.events = events
        self.loop = asyncio.get_running_loop()
        self.idle_s = pools.kept_ms(config.idle_ms) / 1000.0
        self.sockets = config.limits.sockets
        self.crowd(False)
        self.opening = 0
        self.columns = core.settings.report_columns
        self.peers: dict[int, _Peer] = {}
        self.retired: set[_Peer] = set()  # with calls that have yet to end
        self._tidier = self.loop.call_later(TIDY_S, self._tidy)

    def crowd(self, crowded: bool) -> None:
        """Bound the connections; while another process serves too, both must fit into the descriptors."""
        self.most, self.most_each = pools.bounds(self.sockets, crowded)

    @property
    def connections(self) -> int:
        return sum(len(peer.lines) for peer in (*self.peers.values(), *self.retired)) + self.opening

    def may_open(self, peer: _Peer) -> bool:
        """Bounds all connections to engines together; idle ones of other engines make room."""
        peers = [*self.peers.values(), *self.retired]
        if sum(len(p.lines) for p in peers) + self.opening < self.most:
            return len(peer.lines) + peer.opening < self.most_each
        if spare := next((p for p in peers if p.idle and p is not peer), None):
            spare.idle[0].drop()  # its place is free once the loop has let go of it
        return False

    def _tidy(self) -> None:
        self._tidier = self.loop.call_later(TIDY_S, self._tidy)
        before = self.loop.time() - self.idle_s
        for peer in self.peers.values():
            while peer.idle and peer.idle[0].idle_at < before:
                peer.idle.pop(0).drop()
        self.retired = {peer for peer in self.retired if peer.lines}

    # The core's interface.

    def listed(self, engine: EngineState) -> None:
        number = engine.entry.engine
        peer = self.peers.get(number)
        restarted = peer is not None and (
            peer.state.address != engine.address or engine.entry.since_ms > peer.state.entry.since_ms)
        if peer is not None and (restarted or engine.entry.health == Health.GONE):
            del self.peers[number]
            peer.retire()
            self.retired.add(peer)
            peer = None
        if peer is not None:
            peer.state = engine
        elif engine.entry.health != Health.GONE:
            self.peers[number] = _Peer(self, engine)

    def rank(self, attempt: Attempt) -> None:
        """Told with the next ask for news, within 250 ms: a call of its own would open a connection for itself."""

    async def close(self) -> None:
        self._tidier.cancel()
        await super().close()
        for peer in [*self.peers.values(), *self.retired]:
            for line in list(peer.lines):
                line.drop()

    # One attempt.

    async def attempt(self, attempt: Attempt) -> None:
        peer = self.peers.get(attempt.engine)
        if peer is None:
            self.core.ended(attempt, Verdict.CONNECT_FAILED)
            return
        course = Course(clock())
        try:
            async with asyncio.timeout(self.left_s(attempt)):
                verdict, report, rows = await self._follow(peer, attempt, course)
        except TimeoutError:
            verdict = Verdict.TIMEOUT if course.wired[0] else Verdict.CONNECT_FAILED
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
            # Neither broken connections nor an engine that does not know the query prove that it has ended: a POST
            # may still be on its way, or have reached what stood there before. It is given up first.
            if verdict not in (Verdict.RESET, Verdict.CANCELLED):
                self.core.ended(attempt, verdict, report, rows)
                return
        # A task of its own: a further cancel must not cut short what frees the engine.
        self.spawn(self._free(peer, attempt, course, verdict))

    async def _free(self, peer: _Peer, attempt: Attempt, course: Course, verdict: int) -> None:
        try:
            await self._give_up(peer, attempt, course)
        finally:
            self.core.ended(attempt, verdict)

    async def _follow(self, peer: _Peer, attempt: Attempt,
                      course: Course) -> tuple[int, tuple[float, ...], tuple[Rows, int] | None]:
        """From the POST to the last page; the verdict, the load report, and the rows with their size.

        RESET and CANCELLED leave open whether the query has ended.
        """
        ask = attempt.ask
        grant = f"X-Memory-Mb: {attempt.grant_mb:.3f}\r\n" if attempt.grant_mb > 0 else ""
        head = (f"X-Ticket: {ask.ticket}\r\nX-Queue: {attempt.class_name}\r\n"
                f"X-Max-Ms: {max(1, int(attempt.timeout_ms))}\r\nX-Priority: {attempt.priority}\r\n{grant}")
        path = f"/v1/store/{ask.ticket}/"
        report: tuple[float, ...] = ()
        reply: _Reply | None = None
        told = attempt.priority
        try:
            reply = await peer.call("POST", "/v1/store", head, ask.statement.encode(), attempt, course.wired,
                                    page=0)
        except Drained:
            return Verdict.CONNECT_FAILED, (), None
        except NoLine as error:  # nothing was written: proof that nothing ran
            self.events.log("connect", engine=peer.state.name, error=str(error))
            return (Verdict.FULL if error.full else Verdict.CONNECT_FAILED), (), None
        except (Broken, BadReply, TimeoutError) as error:
            self._spoilt(peer, attempt, error)  # it may run: its news are asked for
            course.doubted = True
        while True:
            if reply is None:
                if told != attempt.priority:
                    told = attempt.priority
                    await self._rank(peer, attempt, course)
                reply = await self._news(peer, attempt, path, 0, course)
                if reply is None:
                    return Verdict.RESET, report, None
            report = self._report(reply) or report
            if course.doubted and reply.status == 500:
                # The engine lives and does not know the query: the POST was lost, or the process that took it.
                # That it never ran, or runs no more, is likely and unproven.
                self.events.count("queries_unknown")
                return Verdict.CANCELLED, report, None
            shed = reply.headers.get(b"x-shed") == b"1"
            if reply.status == 202:
                self._note(attempt, reply)
                reply = None
            elif reply.status == 200:
                rows = await self._pages(peer, attempt, path, reply, course)
                return (Verdict.OK if rows is not None else Verdict.ERROR), report, rows
            elif reply.status in (503, 504) and shed:
                return Verdict.FULL, report, None
            else:
                return Verdict.ERROR, report, None

    def _spoilt(self, peer: _Peer, attempt: Attempt, error: Exception) -> None:
        if isinstance(error, BadReply):
            self.events.count("engine_bad_replies")
            self.events.log("engine_reply", engine=peer.state.name, ticket=attempt.ask.ticket, error=str(error))
        elif isinstance(error, Broken):
            self.events.count("engine_breaks")

    async def _news(self, peer: _Peer, attempt: Attempt, path: str, number: int,
                    course: Course) -> _Reply | None:
        """Ask for news or a page, on a new connection if the answer is broken; None: the process is gone.

        An engine gives the same answer again, so that one which came spoilt is not yet lost.
        """
        broken, fresh = 0, False
        while True:
            wired, began = [False], clock()
            try:
                reply = await peer.call("GET", f"{path}{number}", wired=wired, fresh=fresh, page=number, stay=True)
                wired[0] = reply.status != 500  # a process that does not know it keeps nothing going
                return reply
            except NoLine as error:
                if error.refused:
                    return None
            except TimeoutError:
                pass  # silent: ask again until the attempt's own time is over
            except (Broken, BadReply) as error:
                self._spoilt(peer, attempt, error)
                broken += 1
                if broken >= ASKS:
                    if isinstance(error, BadReply):
                        raise
                    return None
            finally:
                if wired[0]:  # what had no connection can't have been an ask that keeps the query going
                    course.asked_ms = began
            fresh = course.doubted = True
            await asyncio.sleep(0.0 if wired[0] else 0.2)

    async def _pages(self, peer: _Peer, attempt: Attempt, path: str, first: _Reply,
                     course: Course) -> tuple[Rows, int] | None:
        """All rows of the result, in order; None: a page is lost."""
        rows, size = first.rows, len(first.body)
        for number in range(1, first.pages):
            reply = await self._news(peer, attempt, path, number, course)
            if reply is None or reply.status != 200:
                return None
            size += len(reply.body)
            if size > RESULT_BYTES:
                raise BadReply("a result is too long")
            rows += reply.rows
        return rows, size

    async def _give_up(self, peer: _Peer, attempt: Attempt, course: Course) -> None:
        """Free the engine's work. Returns once the attempt can't be out any more.

        After a silence or a broken answer the process that gets the DELETE may be a successor of the one that has
        the query, or had it written to it: a machine that was lost comes back that way, and says 204 to an id
        that it never saw. Only a connection as old as the query shows that the process is the same. What may never
        be sent again needs no such proof.
        """
        if not course.wired[0]:
            return
        once = self.core.settings.classes[attempt.ask.cls].effect == Effect.ONCE
        path = f"/v1/store/{attempt.ask.ticket}"
        delete = [False]
        for fresh in (False, True):
            unsure = course.unsure(clock())
            try:
                reply = await peer.call("DELETE", path, wired=delete, within_s=GIVE_UP_S, fresh=fresh,
                                        eldest=unsure, stay=True)
                if not unsure or once or course.same(reply.line_ms):
                    return
                break
            except NoLine as error:
                if error.refused:
                    return  # the process is gone, and what it ran with it
            except (Broken, TimeoutError, BadReply):
                if fresh and delete[0] and (once or not unsure):
                    return  # a live machine has the whole call; it merely does not answer
        told = clock() if delete[0] else math.inf  # without a DELETE no answer ends the wait
        while (left := course.wait_ms(clock(), told, peer.lines)) > 0:
            await asyncio.sleep(min(LOOK_S, left / 1000.0))

    async def _rank(self, peer: _Peer, attempt: Attempt, course: Course) -> None:
        try:
            reply = await peer.call("PUT", f"/v1/store/{attempt.ask.ticket}", body=b"%d" % attempt.priority)
            self.events.count("ranked" if reply.status == 204 else "rank_failed")
        except (NoLine, Broken, TimeoutError, BadReply):
            self.events.count("rank_failed")
            course.doubted = True

    async def probing(self, engine: int) -> None:
        began, peer, wired = clock(), self.peers.get(engine), [False]
        verdict, report = Verdict.CONNECT_FAILED, ()
        if peer is not None:
            try:
                reply = await peer.call("GET", "/stats", wired=wired, within_s=0.3)
                verdict = Verdict.OK if reply.status == 200 else Verdict.ERROR
                report = self._report(reply)
            except (NoLine, Broken, TimeoutError, BadReply) as error:
                if wired[0]:
                    verdict = Verdict.TIMEOUT if isinstance(error, TimeoutError) else Verdict.RESET
        self.core.probed(engine, verdict, clock() - began, report)

    # Reading.

    def _report(self, reply: _Reply) -> tuple[float, ...]:
        text = reply.text(b"x-meter")
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
        remark = reply.headers.get(b"x-remark")
        if not remark:
            return
        try:
            value = float(reply.headers.get(b"x-value", b""))
        except ValueError:
            value = math.nan
        if remark not in NOTES or not math.isfinite(value):
            self._unreadable("engine_bad_notes", f"{reply.text(b'x-remark')}: {reply.text(b'x-value')}")
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
