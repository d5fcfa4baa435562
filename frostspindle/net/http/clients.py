"""One client connection: parses requests within limits and answers them in order (HTTP pipelining).

Only complete calls within the limits are passed to the front, responses leave in the order of the calls, and a
connection is not closed before its responses have arrived. The parser is httptools (llhttp in strict mode); this module
adds the limits.

A connection is closed in three steps, so that no response is lost and every call that was read is answered: the sending
side is shut down, only while no call is partly received, pending or unread; further input is read and discarded; then
the connection is closed. A client that shuts down or closes its side counts as disconnected, and all its calls on this
connection are cancelled.
"""

from __future__ import annotations

import asyncio
import math
from collections import deque
from typing import Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from frostspindle.core import ArrivalClock
from frostspindle.held_memory import HeldMemory, HeldPurpose, MemoryCharge
from frostspindle.net import fields as request_fields
from frostspindle.net.fields import CallRejectedError
from frostspindle.net.hangup import SocketWatch
from frostspindle.net.http.calls import OpenRequest, PendingCall
from frostspindle.net.http.connection_limits import BUSY, CLOSING, IDLE, NEW, RECEIVING
from frostspindle.net.http.connection_log import CloseReason, ConnectionLog
from frostspindle.telemetry import Telemetry

MAX_BODY_BYTES = 64 * 1024  # of a statement
MAX_URL_BYTES, MAX_HEADER_BYTES, MAX_HEADERS = 2048, 4096, 64  # length of a path and a header, and headers of a request
MAX_HEAD_BYTES = 16 * 1024  # the parser reports a header only when it is complete
MAX_REQUEST_BYTES = MAX_BODY_BYTES + 128 * 1024  # on the wire, with head and chunk framing
MAX_LINGER_BYTES = 64 << 20  # read and discarded after a rejection
MAX_WRITE_BYTES = 64 * 1024  # of responses that are joined into one write
MAX_PIPELINED_CALLS = 16  # accepted on one connection while earlier ones are unanswered
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_SINGLE_HEADERS = request_fields.SINGLE_HEADERS | {b"host", b"content-encoding"}


class ConnectionContext(Protocol):
    """The interface of the front that connections use."""

    loop: asyncio.AbstractEventLoop
    telemetry: Telemetry
    connection_log: ConnectionLog
    arrival_clock: ArrivalClock
    clients: set[ClientConnection]
    held_memory: HeldMemory
    unsent_answers: dict[ClientConnection, None]  # connections whose answers wait until others are read, in order

    @property
    def draining(self) -> bool:
        """Whether the front drains: connections are closed once they have no open calls."""

    @property
    def retry_after_header(self) -> str:
        """The `Retry-After-Ms` header line of the front's own rejections."""

    def register(self, client: ClientConnection) -> None:
        """Register an established connection."""

    def call(self, call: PendingCall, method: bytes, url: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        """Process a complete call; raise CallRejectedError if it is rejected."""

    def call_abandoned(self, call: PendingCall) -> None:
        """Drop a call whose connection has ended."""

    def connection_ended(self, client: ClientConnection) -> None:
        """Handle the end of a client's connection."""

    def write_waiting_answers(self) -> None:
        """Write the answers of connections in `unsent_answers`, as there is room again."""


class _ParsingStoppedError(Exception):
    """Raised in a parser callback to stop parsing."""


class ClientConnection(asyncio.Protocol):
    """One client's connection: its parser, its queue of pending calls, and the time in its state.

    `unread_since_ms`: the earliest time (Unix ms) at which its first bytes can have arrived.
    """

    def __init__(self, front: ConnectionContext, unread_since_ms: float) -> None:
        self.front, self.loop_time = front, front.loop.time
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set in connection_made
        self.pending_calls: deque[PendingCall] = deque()
        self.requests: dict[OpenRequest, None] = {}  # open, in order; their client last called on this connection
        self.last_result: OpenRequest | None = None
        self._unsent = MemoryCharge(front.held_memory, HeldPurpose.UNSENT)
        self.state_since = self.loop_time()
        self.has_called = self.is_closing = self.ignores_input = self.is_receiving = self.is_head_complete = False
        self.is_parsing = self.expects_continue = False  # expects_continue: the client waits for a 100
        self.has_pipelined = False  # a call was sent before the response to an earlier one
        self.is_over_limit = False  # accepted over the connection limit: its request needs another one to be closed
        # The earliest possible arrival of unread bytes, and of the last bytes that were read.
        self.unread_since_ms = self.received_ms = unread_since_ms
        self.last_poll = 0  # count of the arrival clock when reading was resumed
        self.socket_watch: SocketWatch = None  # type: ignore[assignment]  # set with the transport
        self.expects_poll = False  # its client got a response path (`next`) and has not called it yet
        self.write_paused_at = math.inf
        self.last_received_at = self.state_since  # loop time
        self.request_bytes = self.dropped_bytes = self.body_bytes = 0
        self.rejection: CallRejectedError | None = None
        self.url = b""
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []

    def state(self) -> int:
        """Return the connection's state, as in connection_limits: NEW, RECEIVING, IDLE, BUSY or CLOSING."""
        if self.is_closing:
            return CLOSING
        if self.pending_calls:
            return BUSY
        if self.is_receiving:
            return RECEIVING
        return IDLE if self.has_called else NEW

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, watch the socket for unread bytes and hang-up, and register with the front."""
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(0)  # report every response that the system does not take completely
        self.socket_watch = SocketWatch(transport)
        self.last_poll = self.front.arrival_clock.count
        self.front.register(self)

    def eof_received(self) -> None:
        """Treat a client that shuts down its sending side as disconnected, and cancel its open calls."""
        self._on_client_closed()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the front and cancel its open calls."""
        self.front.clients.discard(self)
        self._on_client_closed()
        self._release_unsent()

    def _on_client_closed(self) -> None:
        """The client has closed or shut down its side: cancel its calls, once."""
        self.is_closing = self.ignores_input = True
        self.is_receiving = False
        self.state_since = self.loop_time()
        calls, self.pending_calls = self.pending_calls, deque()
        self.front.unsent_answers.pop(self, None)
        for call in calls:
            call.release()
            self.front.call_abandoned(call)
        self.front.connection_ended(self)

    def is_connected(self) -> bool:
        """Return whether the client is connected, by polling the socket: a FIN may follow unread bytes."""
        if self.transport.is_closing():
            return False
        if self.socket_watch.has_hung_up():
            self._on_client_closed()
            self.transport.close()
            return False
        return True

    def has_unread(self) -> bool:
        """Return whether the socket has unread bytes."""
        return self.socket_watch.has_unread()

    def pause_writing(self) -> None:
        """Stop reading while the client does not read its responses, and record since when."""
        self.write_paused_at = self.loop_time()
        self._unsent.resize(self.transport.get_write_buffer_size())
        self._pause_reading(self.front.arrival_clock.poll_returned_ms)

    def resume_writing(self) -> None:
        """Resume reading unless too many calls are open; a closing connection starts its linger time now."""
        self.write_paused_at = math.inf
        if self.is_closing:
            self.state_since = self.loop_time()  # its last response was written only now
        self._release_unsent()
        self.flush()
        self._resume_reading()

    def _release_unsent(self) -> None:
        if self._unsent.size:
            self._unsent.resize(0)
            self.front.write_waiting_answers()

    def _pause_reading(self, unread_since_ms: float) -> None:
        if self.transport.is_reading():
            self.unread_since_ms = unread_since_ms
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
        """Parse the data and write the responses that are ready.

        A request that is malformed, too long, or asks for another protocol is rejected with a 4xx, the connection's
        last response. After that up to MAX_LINGER_BYTES are read and discarded. Reading pauses while
        MAX_PIPELINED_CALLS are open.
        """
        self.last_received_at = self.loop_time()
        if self.ignores_input:  # after a rejection: input is read only so that the response arrives
            self.dropped_bytes += len(data)
            if self.dropped_bytes > MAX_LINGER_BYTES:
                self._pause_reading(0.0) if self.pending_calls else self.transport.abort()  # first send the responses
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
        except HttpParserError as error:  # httptools wraps a CallRejectedError of a callback
            if not self.ignores_input:  # else input after the last call or after a hang-up
                self.reject(self.rejection or CallRejectedError(400, f"unreadable: {error}"))
        finally:
            self.is_parsing = False
        self.flush()
        if len(self.pending_calls) >= MAX_PIPELINED_CALLS:
            self._pause_reading(self.received_ms)

    def end(self) -> None:
        """Shut down a connection without open calls, unless the socket has unread bytes."""
        if not self.has_unread():
            self.leave()

    def leave(self) -> None:
        """Shut down the sending side; read and discard input until the client closes, or for the linger time.

        Closing with unread bytes would reset the connection and could lose the last response.
        """
        self.is_closing = self.ignores_input = True
        self.is_receiving = False
        self.state_since = self.loop_time()
        try:
            self.transport.write_eof()
        except OSError:  # the client has already closed
            self.transport.abort()
        self._resume_reading()

    def finish(self) -> None:
        """Shut down at the end of the program, unless calls are open or bytes are unread; these come first."""
        if self.is_closing or self.pending_calls or self.has_unread():
            return
        if self.is_receiving:
            self.reject(CallRejectedError(503, "Busy"), CloseReason.SHUTTING_DOWN)
        else:
            self.leave()

    def has_call_pending(self) -> bool:
        """Return whether a call is open or may be unread, on a connection that was not shut down."""
        return not self.is_closing and (bool(self.pending_calls) or self.has_unread())

    def is_quiescent(self, before: float) -> bool:
        """Return whether it was shut down before `before` (loop time), all responses sent, and no input after."""
        return (
            self.is_closing
            and max(self.last_received_at, self.state_since) < before
            and self.write_paused_at == math.inf
            and not self.has_unread()
        )

    def reclaim(self) -> bool:
        """Close to free the descriptor; return False if calls are open, or bytes are unwritten or unread."""
        if self.pending_calls or self.write_paused_at < math.inf or self.has_unread():
            return False
        if self.is_receiving:
            self.reject(CallRejectedError(503, "Busy"), CloseReason.TOO_MANY_CONNECTIONS)
        elif self.has_pipelined:
            self.leave()  # more calls may be in flight
        else:
            self.front.clients.discard(self)
            self.transport.close()
        return True

    def reject(self, rejection: CallRejectedError, reason: CloseReason = CloseReason.INVALID_CALL) -> None:
        """Queue an error as the connection's last response and stop parsing."""
        self.ignores_input, self.is_receiving, self.expects_continue = True, False, False
        self.front.connection_log.call_rejected(rejection.status, reason)  # the text may contain client input
        call = PendingCall(self)
        self.pending_calls.append(call)
        call.reply(
            rejection.status,
            {"failure": rejection.text},
            self.front.retry_after_header if rejection.status == 503 else "",
            True,
        )

    def flush(self) -> None:
        """Write the responses that are ready, in order; close the connection only after the last one.

        Does nothing while the parser is running, as the rest of its data may contain further calls.
        """
        if self.is_parsing or self.is_closing or self.transport.is_closing():
            return
        responses: list[bytes] = []
        size = 0
        is_last = False
        while self.pending_calls and self.pending_calls[0].is_ready:
            if size >= MAX_WRITE_BYTES:
                self.transport.write(b"".join(responses))
                responses, size = [], 0
            if not self._may_write(self.pending_calls[0]):
                break
            call = self.pending_calls.popleft()
            call.release()
            self.expects_poll = call.has_next
            is_last = not self.pending_calls and self._is_last_response(call)
            responses.append(call.encode(is_last))
            size += len(responses[-1])
        if self.expects_continue and not self.pending_calls:
            self.expects_continue = False
            responses.append(_CONTINUE)
        if not responses:
            return
        self.transport.write(b"".join(responses))
        if is_last:
            self.leave()
        elif not self.pending_calls:
            if not self.is_receiving:
                self.state_since = self.loop_time()
            self._resume_reading()

    def _may_write(self, call: PendingCall) -> bool:
        """Return whether a response may be written now; if not, charge for those that wait.

        They wait while the client has not read the ones before, and rows also while too many answers are unread.
        """
        if self.write_paused_at == math.inf and (call.rows is None or self.front.held_memory.may_send):
            return True
        if self.write_paused_at == math.inf:
            self.front.unsent_answers[self] = None
        for waiting_call in self.pending_calls:
            waiting_call.hold(self.front.held_memory)
        return False

    def _is_last_response(self, call: PendingCall) -> bool:
        """Return whether the connection is closed after this response, the last pending one.

        Not while a call is partly received or unread, which would be lost; the connection is then closed when idle.
        """
        if self.ignores_input:
            return True
        return (
            (call.last or (self.front.draining and not call.has_next))
            and not self.is_receiving
            and not self.has_unread()
        )

    # Callbacks of the parser.

    def _stop_parsing(self, status: int, text: str) -> None:
        self.rejection = CallRejectedError(status, text)
        raise self.rejection

    def on_message_begin(self) -> None:
        """Start a request: reset its fields, and its timer unless it is the first. Stop after the last call."""
        if self.ignores_input:
            raise _ParsingStoppedError
        self.url, self.fields, self.body, self.body_bytes = b"", {}, [], 0
        self.is_receiving, self.is_head_complete, self.expects_poll = True, False, False
        if self.has_called:
            self.state_since = self.loop_time()

    def on_url(self, url: bytes) -> None:
        """Collect the path; reject with 414 beyond MAX_URL_BYTES."""
        self.url += url
        if len(self.url) > MAX_URL_BYTES:
            self._stop_parsing(414, "the path is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header by its lower-case name; reject with 431 beyond the limits, 400 for a repeated single one."""
        if len(self.fields) >= MAX_HEADERS or len(name) + len(value) > MAX_HEADER_BYTES:
            self._stop_parsing(431, "too many headers, or too long ones")
        name = name.lower()
        if name in self.fields and name in _SINGLE_HEADERS:
            # The name is one of _SINGLE_HEADERS, not client input.
            self._stop_parsing(400, f"{name.decode().title()}: given twice")
        self.fields[name] = value

    def on_headers_complete(self) -> None:
        """Check the head: 415 for an encoded body, 413 for a length over MAX_BODY_BYTES, `Expect: 100-continue`."""
        self.is_head_complete = True
        if b"content-encoding" in self.fields and self.fields[b"content-encoding"] != b"identity":
            self._stop_parsing(415, "Content-Encoding: not taken here")
        length = self.fields.get(b"content-length", b"0")
        if len(length) > 6 or int(length) > MAX_BODY_BYTES:  # the parser accepts only digits
            self._stop_parsing(413, "the statement is too long")
        if self.fields.get(b"expect", b"").lower() == b"100-continue" and self.parser.get_http_version() != "1.0":
            self.expects_continue = True  # sent after the responses to earlier calls

    def on_body(self, chunk: bytes) -> None:
        """Collect a chunk of the body; reject with 413 beyond MAX_BODY_BYTES in total."""
        self.expects_continue = False
        self.body_bytes += len(chunk)
        if self.body_bytes > MAX_BODY_BYTES:
            self._stop_parsing(413, "the statement is too long")
        self.body.append(chunk)

    def on_message_complete(self) -> None:
        """Queue the call and pass it to the front.

        A CallRejectedError becomes the connection's last response; any other exception is logged and answered with 500.
        """
        self.request_bytes, self.is_receiving, self.has_called, self.expects_continue = 0, False, True, False
        self.has_pipelined = self.has_pipelined or bool(self.pending_calls)
        if self.last_result is not None:
            self.last_result.is_read = not self.has_pipelined  # a call that was sent ahead proves nothing
            self.last_result = None
        call = PendingCall(self)
        call.last = self.ignores_input = not self.parser.should_keep_alive()
        self.pending_calls.append(call)
        fields, body = self.fields, b"".join(self.body)
        self.fields = {}  # a resting connection keeps nothing of its last request
        self.body = []
        try:
            self.front.call(call, self.parser.get_method(), self.url, fields, body)
        except CallRejectedError as rejection:
            self.pending_calls.remove(call)
            self._stop_parsing(rejection.status, rejection.text)
        except Exception as error:  # noqa: BLE001 - a fault ends this call only
            self.front.telemetry.count("faults")
            self.front.telemetry.log("exception_caught", error=repr(error), of="call")
            call.reply(500, {"failure": "Failed"}, last=True)
