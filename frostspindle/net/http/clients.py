"""One client's connection: what it sends is parsed within bounds, its calls are answered in their order.

Owns the parser, the bounds of a head, a body and a line of calls, and how long the connection has been as it is. It
must never pass on what is not a whole and bounded call, never answer a call before those that came earlier, and never
close over an answer that is still to arrive. The parser is httptools (llhttp in its strict mode); this file only adds
bounds to it.

A connection ends in three steps, so that no answer is lost and nothing is read that is not answered: the side to the
client is shut, only while nothing is half read, in line or unread; what still comes is read and dropped; then it is
closed. A client that has shut or closed its own side has gone, and all that it asked on this connection with it.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from frostspindle.core import ArrivalClock
from frostspindle.net import fields as request_fields
from frostspindle.net.fields import CallRejectedError
from frostspindle.net.hangup import SocketWatch
from frostspindle.net.http.calls import FRONT, OpenRequest, PendingCall
from frostspindle.net.http.connection_limits import BUSY, CLOSING, IDLE, NEW, RECEIVING
from frostspindle.telemetry import Telemetry

MAX_BODY_BYTES = 64 * 1024  # the longest statement
MAX_URL_BYTES, MAX_HEADER_BYTES, MAX_HEADERS = 2048, 4096, 64  # the longest path and header, and how many headers
MAX_HEAD_BYTES = 16 * 1024  # a head, from which the parser tells nothing before a header is whole
MAX_REQUEST_BYTES = (
    MAX_BODY_BYTES + 128 * 1024
)  # the most bytes that one request may take on the wire, its head and chunks included
MAX_LINGER_BYTES = 64 << 20  # so much of what a refused client still sends is read and dropped
MAX_PIPELINED_CALLS = 16  # calls of one connection that are taken while earlier ones are not yet answered
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_SINGLE_HEADERS = request_fields.SINGLE_HEADERS | {b"host", b"content-encoding"}


class ConnectionContext(Protocol):
    """What a connection needs of the front."""

    loop: asyncio.AbstractEventLoop
    telemetry: Telemetry
    arrival_clock: ArrivalClock
    clients: set[ClientConnection]

    @property
    def draining(self) -> bool:
        """Whether clients are being sent away: connections end once nothing is open on them."""

    @property
    def retry_after_header(self) -> str:
        """The `Retry-After-Ms` header line of the front's own refusals."""

    def register(self, client: ClientConnection) -> None:
        """Register a connection that is set up."""

    def call(self, call: PendingCall, method: bytes, url: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        """Take a whole call; Refusal if it goes no further."""

    def call_abandoned(self, call: PendingCall) -> None:
        """Note that the connection of a call has ended."""

    def connection_ended(self, client: ClientConnection) -> None:
        """Note that a client's connection has ended."""


class _ParsingStoppedError(Exception):
    """Nothing more of this connection is parsed."""


class ClientConnection(asyncio.Protocol):
    """One client's connection: its parser, its queue of calls, and how long it has been in its state.

    `unseen_ms`: its first bytes can't have come before this (Unix ms).
    """

    def __init__(self, front: ConnectionContext, unseen_ms: float) -> None:
        self.front, self.loop_time = front, front.loop.time
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set before anything else is called
        self.pending_calls: deque[PendingCall] = deque()
        self.requests: dict[OpenRequest, None] = {}  # the open ones, in order, whose client is on this connection
        self.state_since = self.loop_time()
        self.has_completed_call = self.is_closing = self.ignores_input = self.is_receiving = self.is_head_complete = (
            False
        )
        self.is_parsing = self.expects_continue = (
            False  # the parser is at work; the client waits for a 100 before its body
        )
        self.has_pipelined = False  # it has sent a call while an earlier one was not yet answered
        self.is_over_limit = (
            False  # beyond the bound on connections: it has a place once it asks and another one gives way
        )
        self.unread_since_ms = self.received_ms = (
            unseen_ms  # since when bytes may lie unread; the earliest that the last came
        )
        self.last_poll = 0  # the looks of the loop that were over when reading began
        self.socket_watch: SocketWatch = None  # type: ignore[assignment]  # set with the transport
        self.expects_poll = False  # it was given a `next`, which only this process knows, and has not called it yet
        self.write_paused_at = math.inf
        self.last_received_at = self.state_since  # when bytes last came
        self.request_bytes = self.dropped_bytes = self.body_bytes = 0
        self.rejection: CallRejectedError | None = None
        self.url = b""
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []

    def state(self) -> int:
        """Return the connection's state, one of those of places.py: FRESH, COMING, IDLE, BUSY or LEAVING."""
        if self.is_closing:
            return CLOSING
        if self.pending_calls:
            return BUSY
        if self.is_receiving:
            return RECEIVING
        return IDLE if self.has_completed_call else NEW

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, watch the socket for unread bytes and hang-up, and register with the front."""
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(0)  # it is told of each answer that the system does not take whole
        self.socket_watch = SocketWatch(transport)
        self.last_poll = self.front.arrival_clock.count
        self.front.register(self)

    def eof_received(self) -> None:
        """Treat a client that shuts its sending side as gone, and all its open calls with it."""
        self._on_client_closed()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the front and report its open calls as gone."""
        self.front.clients.discard(self)
        self._on_client_closed()

    def _on_client_closed(self) -> None:
        """The client has closed or shut its side: nothing is owed, and its calls are told so once."""
        self.is_closing = self.ignores_input = True
        self.is_receiving = False
        self.state_since = self.loop_time()
        line, self.pending_calls = self.pending_calls, deque()
        for call in line:
            self.front.call_abandoned(call)
        self.front.connection_ended(self)

    def is_connected(self) -> bool:
        """Return whether the client is connected, by polling the socket: its end may lie behind unread bytes."""
        if self.transport.is_closing():
            return False
        if self.socket_watch.has_hung_up():
            self._on_client_closed()
            self.transport.close()
            return False
        return True

    def has_unread(self) -> bool:
        """Return whether bytes lie unread in the socket."""
        return self.socket_watch.has_unread()

    def pause_writing(self) -> None:
        """Stop reading while the client does not take its responses, and note since when."""
        self.write_paused_at = self.loop_time()
        self._pause_reading(self.front.arrival_clock.poll_returned_ms)

    def resume_writing(self) -> None:
        """Read again, unless too many calls are open; a connection that is ending starts its linger time now."""
        self.write_paused_at = math.inf
        if self.is_closing:
            self.state_since = self.loop_time()  # its last answer has left only now
        self._resume_reading()

    def _pause_reading(self, unseen_ms: float) -> None:
        if self.transport.is_reading():
            self.unread_since_ms = unseen_ms
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if (
            self.write_paused_at == math.inf
            and len(self.pending_calls) < MAX_PIPELINED_CALLS
            and not self.transport.is_reading()
        ):
            self.last_poll = self.front.arrival_clock.count
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse what came and answer what is due.

        A request that is malformed, too long, or wants another protocol is refused with a 4xx, the connection's last
        response. After a refusal up to LINGER_BYTES are read and dropped. Reading pauses while AHEAD calls are open.
        """
        self.last_received_at = self.loop_time()
        if self.ignores_input:  # refused: what still comes is only read so that the refusal arrives
            self.dropped_bytes += len(data)
            if self.dropped_bytes > MAX_LINGER_BYTES:
                self._pause_reading(
                    0.0
                ) if self.pending_calls else self.transport.abort()  # answers are owed before it ends
            return
        self.request_bytes += len(data)
        self.received_ms = self.front.arrival_clock.earliest_ms(self.last_poll, self.unread_since_ms)
        self.is_parsing = True
        try:
            self.parser.feed_data(data)
            if self.request_bytes > (MAX_REQUEST_BYTES if self.is_head_complete else MAX_HEAD_BYTES):
                raise CallRejectedError(413 if self.is_head_complete else 431, "the request is too long")
        except HttpParserUpgrade:
            self.reject(CallRejectedError(400, "no other protocol is spoken here"))
        except CallRejectedError as rejection:
            self.reject(rejection)
        except HttpParserError as error:  # a Refusal from below comes wrapped in one
            if (
                not self.ignores_input
            ):  # else it is what came behind a call that was to be the last, or behind the client's end
                self.reject(self.rejection or CallRejectedError(400, f"unreadable: {error}"))
        finally:
            self.is_parsing = False
        self.flush()
        if len(self.pending_calls) >= MAX_PIPELINED_CALLS:
            self._pause_reading(self.received_ms)

    def end(self) -> None:
        """Shut down a connection on which nothing is open, unless bytes lie unread in the socket."""
        if not self.has_unread():
            self.leave()

    def leave(self) -> None:
        """Shut down the sending side; what the client still sends is read and dropped until it ends, or for a while.

        A close over unread bytes would reset the connection and could lose the last response.
        """
        self.is_closing = self.ignores_input = True
        self.is_receiving = False
        self.state_since = self.loop_time()
        try:
            self.transport.write_eof()
        except OSError:  # the client was first
            self.transport.abort()
        self._resume_reading()

    def finish(self) -> None:
        """Shut down as the program ends, unless a response is owed or bytes lie unread, which are handled first."""
        if self.is_closing or self.pending_calls or self.has_unread():
            return
        if self.is_receiving:
            self.reject(CallRejectedError(503, "Busy"))
        else:
            self.leave()

    def has_call_pending(self) -> bool:
        """Return whether a call is open here or may lie unread, on a connection that was not shut down."""
        return not self.is_closing and (bool(self.pending_calls) or self.has_unread())

    def is_quiescent(self, since: float) -> bool:
        """Return whether it was shut down before `since` (loop time), all responses left, and nothing came after."""
        return (
            self.is_closing
            and max(self.last_received_at, self.state_since) < since
            and self.write_paused_at == math.inf
            and not self.has_unread()
        )

    def reclaim(self) -> bool:
        """Close to make room for another connection; False: a response is owed, or bytes lie unread in the socket."""
        if self.pending_calls or self.write_paused_at < math.inf or self.has_unread():
            return False
        if self.is_receiving:
            self.reject(CallRejectedError(503, "Busy"))
        elif self.has_pipelined:
            self.leave()  # more may be on its way behind an answer that is not yet read
        else:
            self.front.clients.discard(self)
            self.transport.close()
        return True

    def reject(self, rejection: CallRejectedError) -> None:
        """Queue the connection's last response, an error; nothing more of it is parsed."""
        self.ignores_input, self.is_receiving, self.expects_continue = True, False, False
        self.front.telemetry.count("bad_calls", FRONT)
        self.front.telemetry.log("call_rejected", status=rejection.status)  # its text may hold what the client sent
        call = PendingCall(self)
        self.pending_calls.append(call)
        call.reply(
            rejection.status,
            {"failure": rejection.text},
            self.front.retry_after_header if rejection.status == 503 else "",
            True,
        )

    def flush(self) -> None:
        """Write the responses that are due, in order; the connection ends only with one that has nothing behind it.

        Not while the parser is running: the rest of its data may hold further calls.
        """
        if self.is_parsing or self.is_closing or self.transport.is_closing():
            return
        out, closes = [], False
        while self.pending_calls and self.pending_calls[0].data is not None:
            call = self.pending_calls.popleft()
            self.expects_poll = call.has_next
            closes = not self.pending_calls and self._is_last_response(call)
            out.append(call.encode(closes))
        if self.expects_continue and not self.pending_calls:
            self.expects_continue = False
            out.append(_CONTINUE)
        if not out:
            return
        self.transport.write(b"".join(out))
        if closes:
            self.leave()
        elif not self.pending_calls:
            if not self.is_receiving:
                self.state_since = self.loop_time()
            self._resume_reading()

    def _is_last_response(self, call: PendingCall) -> bool:
        """Whether the connection ends with this answer, the last in line. A call that is half read or lies unread in
        the system would be lost with it: the connection stays then, and is ended when it rests."""
        if self.ignores_input:
            return True
        return (
            (call.last or (self.front.draining and not call.has_next))
            and not self.is_receiving
            and not self.has_unread()
        )

    # What the parser calls.

    def _stop_parsing(self, status: int, text: str) -> None:
        self.rejection = CallRejectedError(status, text)
        raise self.rejection

    def on_message_begin(self) -> None:
        """Reset the request's fields, and its clock unless it is the first; `_Over` where no more calls are taken."""
        if self.ignores_input:
            raise _ParsingStoppedError
        self.url, self.fields, self.body, self.body_bytes = b"", {}, [], 0
        self.is_receiving, self.is_head_complete, self.expects_poll = True, False, False
        if self.has_completed_call:
            self.state_since = self.loop_time()

    def on_url(self, url: bytes) -> None:
        """Collect the path; 414 beyond URL bytes."""
        self.url += url
        if len(self.url) > MAX_URL_BYTES:
            self._stop_parsing(414, "the path is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header by its lower-case name; 431 beyond the bounds, 400 for one of `_SINGLE` given twice."""
        if len(self.fields) >= MAX_HEADERS or len(name) + len(value) > MAX_HEADER_BYTES:
            self._stop_parsing(431, "too many headers, or too long ones")
        name = name.lower()
        if name in self.fields and name in _SINGLE_HEADERS:
            self._stop_parsing(400, f"{name.decode().title()}: given twice")  # ours: one of _SINGLE
        self.fields[name] = value

    def on_headers_complete(self) -> None:
        """Check the head: 415 for an encoded body, 413 for a length beyond BODY; note an `Expect: 100-continue`."""
        self.is_head_complete = True
        if b"content-encoding" in self.fields and self.fields[b"content-encoding"] != b"identity":
            self._stop_parsing(415, "Content-Encoding: not taken here")
        length = self.fields.get(b"content-length", b"0")
        if len(length) > 6 or int(length) > MAX_BODY_BYTES:  # the parser lets digits only through
            self._stop_parsing(413, "the statement is too long")
        if self.fields.get(b"expect", b"").lower() == b"100-continue" and self.parser.get_http_version() != "1.0":
            self.expects_continue = True  # told behind the answers to earlier calls

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body; 413 beyond BODY bytes in all."""
        self.expects_continue = False
        self.body_bytes += len(part)
        if self.body_bytes > MAX_BODY_BYTES:
            self._stop_parsing(413, "the statement is too long")
        self.body.append(part)

    def on_message_complete(self) -> None:
        """Queue the call and hand it to the front.

        A CallRejectedError becomes the connection's last response; any other exception a 500 for this call, logged.
        """
        self.request_bytes, self.is_receiving, self.has_completed_call, self.expects_continue = 0, False, True, False
        self.has_pipelined = self.has_pipelined or bool(self.pending_calls)
        call = PendingCall(self)
        call.last = self.ignores_input = not self.parser.should_keep_alive()
        self.pending_calls.append(call)
        try:
            self.front.call(call, self.parser.get_method(), self.url, self.fields, b"".join(self.body))
        except CallRejectedError as rejection:
            self.pending_calls.remove(call)
            self._stop_parsing(rejection.status, rejection.text)
        except Exception as error:  # noqa: BLE001 - a fault ends one call
            self.front.telemetry.count("faults")
            self.front.telemetry.log("exception_caught", error=repr(error), of="call")
            call.reply(500, {"failure": "Failed"}, last=True)
