"""HTTP/1.1 clients of the soak: they use raw keep-alive connections and record all that they send and receive."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass

from frostspindle.lab.soak.plan import KEYS, SoakPlan
from frostspindle.lab.soak.records import AnswerKind, Request, RequestClass

CROSSING_S = 0.05  # a request whose connection ends this soon after it was written is retried once
MAX_REPEATED_CALLS = 3  # retries of a GET whose connection ended without a response
LATE_ANSWER_S = 3.0  # a response is read until this long after its deadline, to distinguish late from lost
KEY_SPACING_S = 0.06  # interval between two requests of the same key
KEY_SPACING_AFTER_NEW_S = 0.25  # the same after a request on a new connection
LEAVING_RATE = 0.25
SPLIT_RATE = 0.25
KEYED_RATE = 0.6  # of loads
NEW_CONNECTION_RATE = 0.1
MAX_SPLIT_DELAY_S = 0.02
MAX_PAUSE_S = 0.15
MAX_LEAVING_S = 1.6
HOLD_S = 1.0  # a request without a response by then is answered with a path to poll
CROSSING_RATE = 0.4  # of the clients that leave: without a DELETE, at the moment when the path is in flight
MAX_CROSSING_OFFSET_S = 0.01
SILENT_LEAVING_RATE = 0.3  # of the clients that leave and have a path: without a DELETE
MIN_TIMEOUT_S = 0.4
BREAK_RATE = 0.08  # of the requests without a key, in runs with faults of the list: their connection breaks
MAX_BREAK_S = 0.04  # after the request was written; it is sent again within CROSSING_S
IDLE_CLOSE_S = 4.0  # clients close a connection after this idle time


class ConnectionEndedError(Exception):
    """The connection ended before a complete response."""


class UnreadableAnswerError(Exception):
    """The received bytes are not an HTTP response with a JSON object."""


@dataclass(slots=True)
class Answer:
    """One complete HTTP response."""

    status: int
    body: dict[str, object]
    closes: bool


@dataclass(frozen=True, slots=True)
class Departure:
    """How a client leaves before its response."""

    after_s: float  # after its request was written
    sends_delete: bool  # if it has received a path by then


class Connection:
    """One connection to the coordinator."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.is_new = True

    @property
    def is_open(self) -> bool:
        """Return whether neither side is known to have closed the connection."""
        return not self.reader.at_eof() and not self.writer.is_closing()

    @property
    def has_surplus(self) -> bool:
        """Return whether unsolicited bytes were received; a StreamReader shows them only in its private buffer."""
        return bool(self.reader._buffer)  # type: ignore[attr-defined]

    async def answer(self) -> Answer:
        """Read one response; raise ConnectionEndedError or UnreadableAnswerError."""
        try:
            head = await self.reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
            body = await self.reader.readexactly(int(fields.get("content-length", "0")))
            document = json.loads(body) if body else {}
            return Answer(int(lines[0].split()[1]), document, fields.get("connection") == "close")
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                raise UnreadableAnswerError(f"truncated after {error.partial[:80]!r}") from None
            raise ConnectionEndedError(repr(error)) from None
        except (ValueError, IndexError, asyncio.LimitOverrunError) as error:
            raise UnreadableAnswerError(repr(error)) from None

    def close(self) -> None:
        """Close the connection from this side."""
        self.writer.close()


class ConnectionGate:
    """Opens new connections to a port until a time limit, if one is set."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.closes_at: float | None = None  # Unix time after which no connection is opened

    async def open(self) -> Connection | None:
        """Return a new connection; None after the time limit, or if the connection is refused."""
        if self.closes_at is not None and time.time() > self.closes_at:
            return None
        try:
            return Connection(*await asyncio.open_connection("127.0.0.1", self.port))
        except OSError:
            return None


class KeyPacer:
    """Spaces the requests of each key as the platform does, and records their order."""

    def __init__(self) -> None:
        self.written: dict[str, list[str]] = {}  # tickets by key, in the order of writing
        self._locks: dict[str, asyncio.Lock] = {}
        self._next_at: dict[str, float] = {}

    def lock(self, key: str) -> asyncio.Lock:
        """Return the lock that serializes the writing of requests of a key."""
        return self._locks.setdefault(key, asyncio.Lock())

    async def wait(self, key: str) -> None:
        """Wait until the next request of this key may be written."""
        await asyncio.sleep(max(0.0, self._next_at.get(key, 0.0) - time.time()))

    def record(self, key: str, ticket: str, was_new: bool) -> None:
        """Record that a request has been written completely."""
        self.written.setdefault(key, []).append(ticket)
        self._next_at[key] = time.time() + (KEY_SPACING_AFTER_NEW_S if was_new else KEY_SPACING_S)


class Client:
    """A client that sends one request after another until `ended` is set and it has its last response."""

    def __init__(
        self, number: int, plan: SoakPlan, gate: ConnectionGate, pacer: KeyPacer, ended: asyncio.Event
    ) -> None:
        self.number = number
        self.requests: list[Request] = []
        self.surplus: list[str] = []  # unsolicited data
        self._rng = random.Random(f"soak {plan.seed} client {number}")
        self._deadline_s = plan.class_deadline_s
        self._has_breaks = plan.has_list_faults
        self._gate = gate
        self._pacer = pacer
        self._ended = ended
        self._connection: Connection | None = None

    async def run(self) -> None:
        """Send requests until the run ends, and reuse an open connection where there is one."""
        while not self._ended.is_set():
            connection = await self._usable_connection()
            if connection is None:
                if self._gate.closes_at is not None:
                    break  # the connection is closed, and no new one may be opened
                await asyncio.sleep(0.05)
                continue
            await self._send_request(connection)
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))
        self._drop_connection()

    async def _usable_connection(self) -> Connection | None:
        connection = self._connection
        if connection is not None and connection.has_surplus:
            self.surplus.append(f"{time.time():.3f} client {self.number}: unsolicited bytes")
        is_wanted = self._rng.random() >= NEW_CONNECTION_RATE or self._gate.closes_at is not None
        if connection is not None and connection.is_open and is_wanted:
            connection.is_new = False
            return connection
        self._drop_connection()
        self._connection = await self._gate.open()
        return self._connection

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    # Requests.

    def _draw_request(self) -> Request:
        rng = self._rng
        request_class = rng.choice(list(RequestClass))
        key = ""
        if request_class is RequestClass.LOAD and rng.random() < KEYED_RATE:
            key = f"key{rng.randrange(KEYS)}"
        ticket = f"{(self.number + 1) * 1_000_000 + len(self.requests):016x}"
        timeout_s = rng.uniform(min(MIN_TIMEOUT_S, self._deadline_s / 2.0), self._deadline_s)
        request = Request(ticket, request_class, key, round(timeout_s, 3))
        request.statement = f"SELECT '{ticket}' FROM calls_{rng.randrange(5)}.notes"
        self.requests.append(request)
        return request

    def _draw_departure(self) -> Departure:
        if self._rng.random() < CROSSING_RATE:
            offset_s = self._rng.uniform(-MAX_CROSSING_OFFSET_S, MAX_CROSSING_OFFSET_S)
            return Departure(HOLD_S + offset_s, sends_delete=False)
        return Departure(self._rng.uniform(0.0, MAX_LEAVING_S), self._rng.random() >= SILENT_LEAVING_RATE)

    async def _send_request(self, connection: Connection) -> None:
        request = self._draw_request()
        departure = self._draw_departure() if self._rng.random() < LEAVING_RATE else None
        work = asyncio.create_task(self._exchange(request, connection))
        if departure is not None:
            await asyncio.wait([work], timeout=departure.after_s)
        if departure is None or work.done():
            await work
            return
        work.cancel()
        await asyncio.wait([work])
        if not request.written_at:
            self._drop_connection()  # the request may be written in part
        elif not request.answers and not request.lost_reason:
            await self._leave(request, departure.sends_delete)

    async def _exchange(self, request: Request, connection: Connection) -> None:
        """Write a request and poll its paths until the final response."""
        await self._write_in_key_order(request, connection)
        if not request.written_at:
            return  # its connection ended while it waited for the lock of its key
        if self._has_breaks and not request.key and self._rng.random() < BREAK_RATE:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_BREAK_S))
            if not await self._send_again(request, connection):
                return
        try:
            async with asyncio.timeout_at(self._loop_time(request.deadline_at + LATE_ANSWER_S)):
                await self._read_final_answer(request)
        except TimeoutError:
            request.lost_reason = "no response"
            self._drop_connection()
        except UnreadableAnswerError as error:
            request.lost_reason = f"unreadable: {error}"
            self._drop_connection()

    async def _send_again(self, request: Request, connection: Connection) -> bool:
        """Send a request again on a new connection, as its connection was reset; return whether it was written."""
        connection.writer.transport.abort()
        request.record_event(time.time(), "its connection broke")
        new_connection = self._connection = await self._gate.open()
        if new_connection is None:
            request.never_accepted = True
            return False
        await self._write_post(request, new_connection)
        return True

    @staticmethod
    def _loop_time(unix_s: float) -> float:
        return asyncio.get_running_loop().time() + unix_s - time.time()

    async def _write_in_key_order(self, request: Request, connection: Connection) -> None:
        if not request.key:
            await self._write_post(request, connection)
            return
        async with self._pacer.lock(request.key):
            await self._pacer.wait(request.key)
            if connection.is_open:
                await self._write_post(request, connection)
                self._pacer.record(request.key, request.ticket, connection.is_new)

    async def _write_post(self, request: Request, connection: Connection) -> None:
        data = _format_post(request)
        cut = self._rng.randrange(1, len(data)) if self._rng.random() < SPLIT_RATE else 0
        if cut:
            connection.writer.write(data[:cut])
            await asyncio.sleep(self._rng.uniform(0.0, MAX_SPLIT_DELAY_S))
        connection.writer.write(data[cut:])
        request.written_at = time.time()
        request.record_event(request.written_at, f"written, {'new' if connection.is_new else 'open'} connection")

    async def _read_final_answer(self, request: Request) -> None:
        path = ""
        failed_calls = 0
        while True:
            connection = self._connection
            if connection is None:
                raise UnreadableAnswerError("no connection")
            try:
                answer = await connection.answer()
            except ConnectionEndedError as error:
                request.record_event(time.time(), f"connection ended: {error}")
                failed_calls += 1
                if not await self._retry_call(request, path, failed_calls):
                    return
                continue
            now = time.time()
            request.record_event(now, f"{answer.status} {str(answer.body)[:60]}")
            if answer.closes:
                connection.close()
            next_path = answer.body.get("next")
            if answer.status != 200 or not isinstance(next_path, str):
                self._finish(request, answer, now)
                return
            path = request.path = next_path
            if answer.closes and not await self._retry_call(request, path, 0):
                return
            if not answer.closes:
                connection.writer.write(_format_get(path))

    def _finish(self, request: Request, answer: Answer, now: float) -> None:
        request.answers.append((now, _answer_kind(answer)))
        rows = answer.body.get("rows")
        if isinstance(rows, list) and rows:
            request.rows_are_own = request.statement in str(rows[-1])

    async def _retry_call(self, request: Request, path: str, failed_calls: int) -> bool:
        """Retry the call on a new connection, as the clients of the platform do; return whether it was written."""
        now = time.time()
        self._drop_connection()
        is_crossing = now - request.written_at < CROSSING_S
        if not path and (failed_calls > 1 or not is_crossing):
            request.lost_reason = f"its connection ended {now - request.written_at:.3f} s after it was written"
            return False
        if failed_calls > MAX_REPEATED_CALLS:
            request.lost_reason = "its connection ended four times without a response"
            return False
        connection = self._connection = await self._gate.open()
        if connection is None:
            request.never_accepted = not path
            request.lost_reason = "" if request.never_accepted else "its path can't be polled any more"
            return False
        if path:
            connection.writer.write(_format_get(path))
        else:
            await self._write_post(request, connection)
        return True

    async def _leave(self, request: Request, sends_delete: bool) -> None:
        """Abandon a request by DELETE on its path over a new connection, or only by closing its connection."""
        if request.path and sends_delete:
            await self._delete(request)
        else:
            self._drop_connection()
            request.left_at = time.time()
            request.record_event(request.left_at, "left, " + ("has a path" if request.path else "has no path"))

    async def _delete(self, request: Request) -> None:
        """Abandon a request by DELETE, and close its own connection before or after that."""
        closes_first = self._rng.random() < 0.5
        if closes_first:
            self._drop_connection()
            request.left_at = time.time()
        new_connection = await self._gate.open()
        if new_connection is not None:
            request.left_at = request.left_at or time.time()
            new_connection.writer.write(f"DELETE {request.path} HTTP/1.1\r\nHost: s\r\n\r\n".encode())
            try:
                async with asyncio.timeout(LATE_ANSWER_S):
                    await new_connection.answer()
            except (ConnectionEndedError, UnreadableAnswerError, TimeoutError):
                pass
            new_connection.close()
        self._drop_connection()
        request.left_at = request.left_at or time.time()  # without a connection for the DELETE, only the close shows it
        request.record_event(request.left_at, "left by DELETE" + (" after a close" if closes_first else ""))


class IdleClient:
    """A client that holds an idle connection, and opens another one when it ends."""

    def __init__(self, gate: ConnectionGate, ended: asyncio.Event) -> None:
        self._gate = gate
        self._ended = ended

    async def run(self) -> None:
        """Hold idle connections until the run ends."""
        while not self._ended.is_set():
            connection = await self._gate.open()
            if connection is None:
                if self._gate.closes_at is not None:
                    return
                await asyncio.sleep(0.1)
                continue
            waiting = asyncio.create_task(connection.reader.read(1))
            ending = asyncio.create_task(self._ended.wait())
            await asyncio.wait([waiting, ending], timeout=IDLE_CLOSE_S, return_when=asyncio.FIRST_COMPLETED)
            waiting.cancel()
            ending.cancel()
            await asyncio.gather(waiting, ending, return_exceptions=True)
            connection.close()


def _format_post(request: Request) -> bytes:
    key = f"X-Object: {request.key}\r\n" if request.key else ""
    return (
        f"POST /call/{request.request_class} HTTP/1.1\r\nHost: s\r\nX-Request-Id: {request.ticket}\r\n"
        f"X-Timeout-Ms: {int(request.timeout_s * 1000)}\r\nX-Cost-Ms: 50\r\nX-Memory: 16\r\n{key}"
        f"Content-Length: {len(request.statement)}\r\n\r\n{request.statement}"
    ).encode()


def _format_get(path: str) -> bytes:
    return f"GET {path} HTTP/1.1\r\nHost: s\r\n\r\n".encode()


def _answer_kind(answer: Answer) -> AnswerKind:
    if answer.status in (429, 503) or answer.body.get("failure") == "Busy":
        return AnswerKind.REJECTED
    if answer.status == 200 and "failure" not in answer.body:
        return AnswerKind.SERVED
    return AnswerKind.FAILED
