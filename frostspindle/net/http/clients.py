"""One client connection: reads calls within limits and answers them in order (HTTP pipelining).

Only complete calls within the limits are passed to the front, responses leave in the order of the calls, and a
connection is not closed before its responses have arrived. `request_parser.py` parses and bounds requests.

What clients send is read a little at a time into one buffer of the front, and a few calls are handled in each turn of
the event loop. While calls wait for their answers, input is read ahead up to READ_AHEAD_BYTES, so that the end of a
connection is seen behind it.

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

from frostspindle.core import ArrivalClock, clock
from frostspindle.held_memory import HeldMemory, HeldPurpose, MemoryCharge
from frostspindle.input_memory import InputMemory
from frostspindle.net.fields import CallRejectedError
from frostspindle.net.hangup import SocketWatch
from frostspindle.net.http.calls import OpenRequest, PendingCall
from frostspindle.net.http.connection_limits import BUSY, CLOSING, IDLE, NEW, RECEIVING
from frostspindle.net.http.connection_log import CloseReason, ConnectionLog
from frostspindle.net.http.input_backlog import InputBacklog
from frostspindle.net.http.input_buffer import READ_AHEAD_BYTES, SHORT_READ_BYTES, InputBuffer
from frostspindle.net.http.input_scheduler import InputScheduler
from frostspindle.net.http.request_parser import ParsedRequest, RequestParser
from frostspindle.net.http.tcp_info import TCP_INFO_BYTES, received_age_ms
from frostspindle.telemetry import Telemetry

MAX_LINGER_BYTES = 64 << 20  # read and discarded after a rejection
MAX_WRITE_BYTES = 64 * 1024  # of responses that are joined into one write
MAX_PENDING_CALLS = 32  # unanswered, those included that are refused; input beyond them is read ahead, not parsed
CALLS_PER_STEP = 4  # handled at once; further ones that are read wait for a later turn of the event loop
SLICES_PER_STEP = 8  # parsed at once
PARSE_SLICE_BYTES = 512  # passed to the parser at a time, which can't stop between two calls
SHORT_INPUT_BYTES = 2048  # of a request, with what was parsed of it
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ConnectionContext(Protocol):
    """The interface of the front that connections use."""

    loop: asyncio.AbstractEventLoop
    telemetry: Telemetry
    connection_log: ConnectionLog
    arrival_clock: ArrivalClock
    clients: set[ClientConnection]
    held_memory: HeldMemory
    input_memory: InputMemory
    input_backlog: InputBacklog
    input_scheduler: InputScheduler
    read_buffer: memoryview  # for the input of any connection, within one callback
    unsent_answers: dict[ClientConnection, None]  # connections whose answers wait until others are read, in order

    @property
    def draining(self) -> bool:
        """Whether the front drains: connections are closed once they have no open calls."""

    @property
    def retry_after_header(self) -> str:
        """The `Retry-After-Ms` header line of the front's own rejections."""

    @property
    def keeps_order(self) -> bool:
        """Whether any class keeps the order of its requests."""

    def ordering_key(self, url: bytes, fields: dict[bytes, bytes]) -> int:
        """Return the ordering key of the request with this head, 0 if it has none."""

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


class ClientConnection(asyncio.BufferedProtocol):
    """One client's connection: its input, its queue of pending calls, and the time in its state.

    `unread_since_ms`: the earliest time (Unix ms) at which its first bytes can have arrived.
    """

    def __init__(self, front: ConnectionContext, unread_since_ms: float) -> None:
        self.front = front
        self.loop_time = front.loop.time
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set in connection_made
        self.socket_watch: SocketWatch = None  # type: ignore[assignment]  # set with the transport
        self.state_since = self.loop_time()
        self.has_called = False
        self.is_closing = False
        self.is_over_limit = False  # accepted over the connection limit: its request needs another one to be closed

        # Input.
        self.parser = RequestParser(self)
        self.is_parsing = False
        self.ignores_input = False
        self.dropped_bytes = 0
        self.input_since_s = self.state_since  # loop time of the first byte of the request that is partly received
        self.last_received_at = self.state_since  # loop time
        # The earliest possible arrival of unread bytes, and of the call that is being parsed.
        self.unread_since_ms = unread_since_ms
        self.received_ms = unread_since_ms
        self.last_poll = 0  # count of the arrival clock when reading was resumed, or last left bytes unread
        self._last_unread_poll = 0  # count of the poll after which bytes that were left unread have been read
        self._input = InputBuffer()
        self._held_bytes = 0  # charged for input
        self._calls_in_step = 0
        self._slices_in_step = 0

        # Calls and their answers.
        self.pending_calls: deque[PendingCall] = deque()
        self.requests: dict[OpenRequest, None] = {}  # open, in order; their client last called on this connection
        self.last_result: OpenRequest | None = None
        self.has_pipelined = False  # a call was sent before the response to an earlier one
        self.expects_poll = False  # its client got a response path (`next`) and has not called it yet
        self.write_paused_at = math.inf
        self._unsent = MemoryCharge(front.held_memory, HeldPurpose.UNSENT)

    @property
    def is_receiving(self) -> bool:
        """Whether a request is partly received."""
        return self.parser.is_receiving

    @property
    def request_bytes(self) -> int:
        """Bytes received of the partial request."""
        return self.parser.request_bytes

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
        self._expect_unread()
        self.front.register(self)

    def eof_received(self) -> None:
        """Treat a client that shuts down its sending side as disconnected, and cancel its open calls."""
        self._on_client_closed()

    def connection_lost(self, error: Exception | None) -> None:
        """Remove the connection from the front and cancel its open calls."""
        self.front.clients.discard(self)
        self.front.input_backlog.discard(self)
        self._on_client_closed()
        self._release_unsent()
        self.parser.close()

    def _on_client_closed(self) -> None:
        """The client has closed or shut down its side: cancel its calls, once."""
        self.is_closing = True
        self._ignore_input()
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

    @property
    def hides_end(self) -> bool:
        """Whether the client has sent so much ahead that the end of its connection would not be seen."""
        return not self.transport.is_reading() and self.socket_watch.has_unread()

    def has_unread(self) -> bool:
        """Return whether bytes from the client are not parsed yet, or unread in the socket."""
        return self._input.size > 0 or self.socket_watch.has_unread()

    def pause_writing(self) -> None:
        """Handle no further calls while the client does not read its responses, and record since when."""
        self.write_paused_at = self.loop_time()
        self._unsent.resize(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Go on with further calls in the next turn; a closing connection starts its linger time now."""
        self.write_paused_at = math.inf
        if self.is_closing:
            self.state_since = self.loop_time()  # its last response was written only now
        # asyncio reports the end of a connection twice if a write fails within this callback.
        self.front.loop.call_soon(self._on_writable)

    def _on_writable(self) -> None:
        if self.write_paused_at < math.inf:  # paused again
            return
        self._release_unsent()
        if self.transport.is_closing():
            return
        if self.is_closing:
            self._write_eof()
        else:
            self.flush()

    def _release_unsent(self) -> None:
        if self._unsent.size:
            self._unsent.resize(0)
            self.front.write_waiting_answers()

    # Input.

    def get_buffer(self, _size_hint: int) -> memoryview:
        """Return the buffer that the next bytes are read into."""
        buffer = self.front.read_buffer
        return buffer[:SHORT_READ_BYTES] if self.front.input_memory.is_short else buffer

    def buffer_updated(self, byte_count: int) -> None:
        """Handle the first of the calls that were read, and write the responses that are ready."""
        self.last_received_at = self.loop_time()
        if self.ignores_input:  # after a rejection: input is read only so that the response arrives
            self._discard(byte_count)
            return
        arrival_clock = self.front.arrival_clock
        received_ms = arrival_clock.earliest_ms(self.last_poll, self.unread_since_ms)
        self.unread_since_ms = arrival_clock.poll_returned_ms
        if byte_count >= SHORT_READ_BYTES:  # perhaps not all that had arrived
            self.unread_since_ms = received_ms
            self.last_poll = arrival_clock.count
            self._expect_unread()
        self._input.append(bytes(self.front.read_buffer[:byte_count]), received_ms)
        if not self.front.input_scheduler.run_now(self):
            self._continue_input()

    @property
    def has_short_input(self) -> bool:
        """Whether its input is short, and its client waits for no answer."""
        return not self.pending_calls and self.parser.request_bytes + self._input.size <= SHORT_INPUT_BYTES

    @property
    def may_be_ordered(self) -> bool:
        """Whether its input may hold a request that keeps an order, and its client waits for no answer."""
        if not self.front.keeps_order or self.has_pipelined or self.pending_calls:
            return False
        return self._next_key() != 0

    def _next_key(self) -> int | None:
        """Return the ordering key of the next request, 0 if it has none; None if its head is not complete."""
        head = self.parser.partial_head
        return None if head is None else self.front.ordering_key(*head)

    def _expect_unread(self) -> None:
        """Note that the socket may hold bytes that the next poll finds."""
        self._last_unread_poll = self.front.arrival_clock.count + 1
        self.front.input_backlog.add(self)

    def unparsed_since_ms(self) -> float:
        """Return the earliest time at which unparsed input may have arrived, in Unix ms; infinity if there is none.

        Calls that were sent ahead of an answer don't count: their client has not waited, and would hold up others.
        """
        if self.is_closing or self.ignores_input or self.has_pipelined or self.pending_calls:
            return math.inf
        if self._input.size:
            return self._input.received_ms
        return self.unread_since_ms if self.front.arrival_clock.count <= self._last_unread_poll else math.inf

    def may_hold_key(self, key: int) -> bool:
        """Return whether the next request in the unparsed input may have this ordering key."""
        return self._next_key() in (None, key)

    def arrived_ms(self) -> float:
        """Return when the request that has just been parsed arrived with its last byte, in Unix ms."""
        if self._input.size:  # the system tells of the last bytes only
            return self.received_ms
        age_ms = received_age_ms(self.socket_watch.tcp_info(TCP_INFO_BYTES))
        return self.received_ms if age_ms is None else max(self.received_ms, clock() - age_ms)

    def process_input(self) -> None:
        """Parse input, at most CALLS_PER_STEP calls and SLICES_PER_STEP, and write the responses that are ready.

        A request that is malformed, too long, or asks for another protocol is rejected with a 4xx, the connection's
        last response. After that up to MAX_LINGER_BYTES are read and discarded.
        """
        self._calls_in_step = 0
        self._slices_in_step = 0
        self.is_parsing = True
        try:
            while self._may_parse():
                self._slices_in_step += 1
                self.received_ms = self._input.received_ms
                self.parser.feed(self._input.take(max(PARSE_SLICE_BYTES, self.parser.missing_body_bytes)))
        except CallRejectedError as rejection:
            self.reject(rejection)
        finally:
            self.is_parsing = False
        self._write_responses()
        self._continue_input()

    def _may_parse(self) -> bool:
        return (
            self._has_next_input() and self._calls_in_step < CALLS_PER_STEP and self._slices_in_step < SLICES_PER_STEP
        )

    def _has_next_input(self) -> bool:
        """Return whether there is input to parse, and not too many calls or responses wait already."""
        return (
            self._input.size > 0
            and not self.ignores_input
            and len(self.pending_calls) < MAX_PENDING_CALLS
            and self.write_paused_at == math.inf
        )

    def _continue_input(self) -> None:
        """Charge for the input that is held, and go on parsing and reading as far as there is room."""
        if self.is_parsing:
            return
        if self.ignores_input:
            self._input.clear()
        held_bytes = self._input.size + self.parser.held_bytes
        if held_bytes != self._held_bytes:
            self._held_bytes = held_bytes
            self.front.input_memory.hold(self, held_bytes)
        if not self._input.size:
            self._resume_reading()
            return
        self.front.input_backlog.add(self)
        if self._has_next_input():
            self.front.input_scheduler.add(self)
        # Input is read ahead only to see the end of a connection behind it, while calls wait for their answers.
        max_ahead = READ_AHEAD_BYTES if self.pending_calls else 0
        if self._input.size >= max_ahead or self.front.input_memory.is_short:
            self._pause_reading()
        else:
            self._resume_reading()

    def _pause_reading(self) -> None:
        if self.transport.is_reading():
            self.transport.pause_reading()

    def _resume_reading(self) -> None:
        if not self.transport.is_closing() and not self.transport.is_reading():
            self.last_poll = self.front.arrival_clock.count
            self._expect_unread()
            self.transport.resume_reading()

    def _ignore_input(self) -> None:
        """Parse nothing more, and keep nothing of what was received."""
        self.ignores_input = True
        self.parser.stop()
        self._input.clear()
        self._held_bytes = 0
        self.front.input_memory.hold(self, 0)
        self.front.input_scheduler.discard(self)

    def _discard(self, byte_count: int) -> None:
        self.dropped_bytes += byte_count
        if self.dropped_bytes <= MAX_LINGER_BYTES:
            return
        if self.pending_calls:  # first send the responses
            self._pause_reading()
        else:
            self.transport.abort()

    def refuse_input(self) -> bool:
        """Refuse the request that is partly received; not while complete calls may follow in the input."""
        if not self.is_receiving or (self._input.size and (self.has_pipelined or self.pending_calls)):
            return False
        self.reject(CallRejectedError(503, "Busy"), CloseReason.INPUT_MEMORY)
        return True

    def end(self) -> None:
        """Shut down a connection without open calls, unless the socket has unread bytes."""
        if not self.has_unread():
            self.leave()

    def leave(self) -> None:
        """Shut down the sending side; read and discard input until the client closes, or for the linger time.

        Closing with unread bytes would reset the connection and could lose the last response.
        """
        self.is_closing = True
        self._ignore_input()
        self.state_since = self.loop_time()
        if self.write_paused_at == math.inf:  # else once the system has taken the last response
            self._write_eof()
        self._resume_reading()

    def _write_eof(self) -> None:
        try:
            self.transport.write_eof()
        except OSError:  # the client has already closed
            self.transport.abort()

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
        """Close to free the descriptor; return False if calls are open, or bytes are unwritten or unread.

        What is unread behind a partial request is the rest of it, unless the client has sent calls ahead before.
        """
        if self.pending_calls or self.write_paused_at < math.inf:
            return False
        if self.is_receiving and not self.has_pipelined:
            self.reject(CallRejectedError(503, "Busy"), CloseReason.TOO_MANY_CONNECTIONS)
            return True
        if self.has_unread():
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
        self._ignore_input()
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
        """Write the responses that are ready, and go on with input that waited for that."""
        self._write_responses()
        self._continue_input()

    def _write_responses(self) -> None:
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
        if self.parser.awaits_continue and not self.pending_calls:
            self.parser.awaits_continue = False
            responses.append(_CONTINUE)
        if not responses:
            return
        self.transport.write(b"".join(responses))
        if is_last:
            self.leave()
            return
        if not self.pending_calls and not self.is_receiving:
            self.state_since = self.loop_time()

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

    def request_started(self) -> None:
        """Start the timer of a request, unless it is the connection's first."""
        self.expects_poll = False
        self.input_since_s = self.loop_time()
        if self.has_called:
            self.state_since = self.input_since_s

    def request_received(self, request: ParsedRequest) -> None:
        """Queue the call and pass it to the front; raise CallRejectedError if that rejects it.

        Any other exception is logged and answered with 500.
        """
        self._calls_in_step += 1
        self.has_called = True
        self.has_pipelined = self.has_pipelined or bool(self.pending_calls)
        if self.last_result is not None:
            self.last_result.is_read = not self.has_pipelined  # a call that was sent ahead proves nothing
            self.last_result = None
        call = PendingCall(self)
        call.last = self.ignores_input = request.is_last
        self.pending_calls.append(call)
        try:
            self.front.call(call, request.method, request.url, request.fields, request.body)
        except CallRejectedError:
            self.pending_calls.remove(call)
            raise
        except Exception as error:  # noqa: BLE001 - a fault ends this call only
            self.front.telemetry.count("faults")
            self.front.telemetry.log("exception_caught", error=repr(error), of="call")
            call.reply(500, {"failure": "Failed"}, last=True)
