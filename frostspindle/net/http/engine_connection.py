"""One connection to an engine: writes one call at a time and reads its response within limits.

A connection is reused only after exactly one valid response to each call; surplus, partial or unsolicited bytes end it.
The parser is httptools (llhttp in strict mode).

A connection with an unanswered call is reset when it ends, also when its process is killed. After a usual close the
system would go on sending what it holds, and the engine would receive the call after it was given up.
"""

from __future__ import annotations

import asyncio
import math
import select
import socket
import struct
from typing import Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from frostspindle.core import clock
from frostspindle.net.http.duplicate_responses import MIN_CONFIRMATION_S, ConfirmationBackoff, RecentResponses
from frostspindle.net.http.engine_log import EngineCloseReason
from frostspindle.net.http.replies import (
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    MAX_PAGE_BYTES,
    MAX_RESPONSE_BYTES,
    EngineReply,
    InvalidReplyError,
)

OK_STATUS = 200
READ_BYTES = 64 * 1024  # a whole page of the platform's protocol
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s
_USUAL_CLOSE = struct.pack("ii", 0, 0)


class ConnectionBrokenError(Exception):
    """The connection ended during a call."""


class RequestNotWrittenError(ConnectionBrokenError):
    """The connection ended before the call was written completely: the engine cannot have run it."""


class ConnectionSettings(Protocol):
    """Settings of the connections to all engines."""

    loop: asyncio.AbstractEventLoop
    idle_s: float  # idle connections older than this are not used


class ConnectionOwner(Protocol):
    """The owner of a connection: the pool of the engine's process."""

    confirmations: ConfirmationBackoff

    @property
    def driver(self) -> ConnectionSettings:
        """Settings of the connections to all engines."""

    def count_copy(self) -> None:
        """Count a duplicate or unsolicited response."""

    def connection_opened(self, connection: EngineConnection) -> None:
        """Register a connection that has been opened."""

    def connection_closed(self, connection: EngineConnection, reason: EngineCloseReason, error: str) -> None:
        """Remove a connection that has ended."""

    def release(self, connection: EngineConnection) -> None:
        """Take back a connection whose call is over, for the next call."""


class ResponseWaiter(Protocol):
    """Waits for a response: a task's future, or an attempt without a task. It is completed once."""

    def done(self) -> bool:
        """Return whether it has a response or an error, or was cancelled."""

    def set_result(self, reply: EngineReply, /) -> None:
        """Take the response."""

    def set_exception(self, error: BaseException, /) -> None:
        """Take the error in place of a response: ConnectionBrokenError, InvalidReplyError or TimeoutError."""


class EngineConnection(asyncio.Protocol):
    """One connection to an engine; one call at a time, and none after a protocol violation."""

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool, self.loop = pool, pool.driver.loop
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set in connection_made
        self.parser = HttpResponseParser(self)
        self.waiter: ResponseWaiter | None = None
        self.deadline_s = 0.0  # loop time at which the response is overdue
        self.timer: asyncio.TimerHandle | None = None  # for this deadline or that of an earlier call
        self.is_reusable, self.is_complete, self.idle_since_s = True, False, self.loop.time()
        self.has_unwritten = False  # part of the call is still in the write buffer
        self.opened_ms = self.confirmed_ms = self.written_ms = clock()  # Unix ms; see query_lifetime.ConnectionLife
        self.ended_ms = math.inf  # likewise
        self.response_bytes = self.header_count = self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()  # one buffer, however small the chunks are
        self.poll = select.poll()
        self._recent = RecentResponses()
        self._is_checked = False  # the response to this call is checked for being a copy
        self._written_at_s = 0.0
        self._confirmed_by_s = 0.0  # loop time by which a doubtful response has to be delivered
        self._doubtful: EngineReply | None = None  # may be a copy of an earlier response; another one may follow
        self._doubt_timer: asyncio.TimerHandle | None = None
        self._has_copies = False  # a copy was received during this call
        self._close_reason: EngineCloseReason | None = None
        self._late_s = 0.0  # for which the connection is kept after its call is overdue
        self._is_detached = False  # nobody waits for the response to the call
        self.is_overdue = False  # its call was not answered in time, and the response may come late

    # Callbacks of asyncio.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, register with the pool, and watch the socket for unread bytes.

        A write buffer limit of 0 makes asyncio report every byte that the system has not taken.
        """
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(0)  # report every buffered byte
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]  # read at a time; asyncio's is 256 KB
        self.pool.connection_opened(self)
        self._socket = transport.get_extra_info("socket")
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.poll.register(self._socket.fileno(), select.POLLIN)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the timer, unregister, and fail the open call by ConnectionBrokenError or RequestNotWrittenError."""
        self.is_reusable = False
        self.ended_ms = clock()
        if self.timer is not None:
            self.timer.cancel()
        unexpected = EngineCloseReason.BROKEN if error is not None else EngineCloseReason.ENGINE_CLOSED
        self.pool.connection_closed(self, self._close_reason or unexpected, repr(error) if error else "")
        self.body = bytearray()
        self._fail(ConnectionBrokenError(repr(error) if error else "the engine ended its connection"))

    def pause_writing(self) -> None:
        """Record that part of the call is still buffered."""
        self.has_unwritten = True

    def resume_writing(self) -> None:
        """Record that the call was written completely."""
        self.has_unwritten = False

    def eof_received(self) -> None:
        """Abort the connection, as the engine has closed its side."""
        # A close would first write the rest of a call to an engine that has ended.
        self.drop(EngineCloseReason.ENGINE_CLOSED)

    def data_received(self, data: bytes) -> None:
        """Parse the data and pass a complete response to the waiter.

        Unsolicited bytes, a malformed or too long response, and one to a call that is not completely written end the
        connection; the waiter gets the error.
        """
        if self.waiter is None or self.waiter.done():
            self.pool.count_copy()
            self.drop(EngineCloseReason.UNSOLICITED)  # it could be taken for the next call's response
            return
        self.response_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self.is_reusable = False  # a complete response before invalid bytes is still valid
            if self._doubtful is not None:  # complete, but it can no longer be told whether it is a copy
                self._fail(ConnectionBrokenError("invalid data after a response that may be a copy"))
            elif not self.is_complete:
                self._fail(InvalidReplyError(str(error.__context__ or error)))
        if self.is_complete:
            if self.has_unwritten:
                self._fail(InvalidReplyError("a response before the call was written completely"))
            elif not self.waiter.done():
                self._deliver(self._take_reply())
        elif self.response_bytes > MAX_RESPONSE_BYTES:
            self._fail(InvalidReplyError("the response is too long"))
        if not self.is_reusable:
            self.drop(EngineCloseReason.INVALID_RESPONSE)

    def _take_reply(self) -> EngineReply:
        """Return the response that was received last; the connection, which may rest now, does not keep it."""
        reply = EngineReply(self.status, self.headers, bytes(self.body))
        self.headers = {}
        self.body = bytearray()
        return reply

    def _deliver(self, reply: EngineReply) -> None:
        """Pass a response to the waiter as that of the call."""
        if self._is_checked:
            self._recent.record(reply, self.loop.time())
        if not reply.may_be_copy:
            self.confirmed_ms = self.written_ms
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(reply)

    # Responses that may be copies of earlier ones.

    def _must_confirm(self, reply: EngineReply) -> bool:
        """Return whether a response is held back until the call's own response has come or is overdue."""
        if not self._is_checked or self.has_unwritten or not self.parser.should_keep_alive():
            return False
        now_s = self.loop.time()
        return self._recent.may_be_copy(reply, now_s) and self.pool.confirmations.allows_wait(reply.status, now_s)

    def _start_doubt(self, reply: EngineReply) -> None:
        self._doubtful = reply
        if self._doubt_timer is None:
            self._doubt_timer = self.loop.call_at(self._confirmed_by_s, self._on_doubt_over)

    def _on_doubt_over(self) -> None:
        """Accept a doubtful response, as no other has followed it, unless the engine has recently sent copies."""
        reply = self._doubtful
        self._end_doubt()
        if reply is None:
            return
        now_s = self.loop.time()
        is_confirmed = now_s - self._written_at_s >= MIN_CONFIRMATION_S
        if not is_confirmed or not self.pool.confirmations.accepts_unconfirmed(now_s):
            self._doubtful = reply
            self._fail(ConnectionBrokenError("the response may be a copy of an earlier one"))
            self.drop(EngineCloseReason.INVALID_RESPONSE)
            return
        self.pool.confirmations.record_genuine(reply.status, now_s)
        self.is_complete = True
        self.headers = {}
        self.body = bytearray()
        self.idle_since_s = now_s
        self._deliver(reply)

    def _end_doubt(self) -> None:
        self._doubtful = None
        if self._doubt_timer is not None:
            self._doubt_timer.cancel()
            self._doubt_timer = None

    def _fail(self, error: Exception) -> None:
        self.is_reusable = False
        doubtful = self._doubtful
        self._end_doubt()
        if doubtful is not None and doubtful.status != OK_STATUS:
            # An error response is accepted: polling by its id could reach another request with that id.
            doubtful.may_be_copy = True
            self._deliver(doubtful)
            return
        if self.has_unwritten:
            error = RequestNotWrittenError(str(error))
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(error)

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Reset headers and body; raise InvalidReplyError if this call already has a complete response."""
        if self.is_complete:
            self.is_reusable = False
            self.pool.count_copy()
            raise InvalidReplyError("more than one response")
        self.headers = {}
        self.body = bytearray()
        self.header_count = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header by its lower-case name; raise InvalidReplyError beyond the limits."""
        self.header_count += 1
        if self.header_count > MAX_HEADERS or len(name) + len(value) > MAX_HEADER_BYTES:
            raise InvalidReplyError("too many headers, or too long ones")
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Check the head; raise InvalidReplyError if a final response has no length or one over MAX_PAGE_BYTES."""
        self.status = self.parser.get_status_code()
        if (
            self.status >= 200
            and self.status != 204
            and not (b"content-length" in self.headers or b"transfer-encoding" in self.headers)
        ):
            raise InvalidReplyError("a response without a length")  # truncation could not be detected
        if int(self.headers.get(b"content-length", b"0")) > MAX_PAGE_BYTES:
            raise InvalidReplyError("the response is too long")

    def on_body(self, chunk: bytes) -> None:
        """Collect a chunk of the body; `data_received` limits the total."""
        self.body += chunk

    def on_message_complete(self) -> None:
        """Mark a final response (not 1xx) as complete; without keep-alive the connection is not reused."""
        if self.status < 200:
            return
        reply = EngineReply(self.status, self.headers, bytes(self.body))
        if self._doubtful is not None:  # so the previous one was a copy
            self.pool.count_copy()
            self._has_copies = True
        if self._must_confirm(reply):
            self._start_doubt(reply)
            return
        self._end_doubt()
        self.is_complete, self.idle_since_s = True, self.loop.time()
        self.is_reusable = self.is_reusable and self.parser.should_keep_alive() and not self._has_copies

    # Interface for the pool.

    def is_usable(self) -> bool:
        """Return whether a call may be written now; a hang-up, reset or stray bytes may be unread in the socket."""
        return (
            self.is_reusable
            and not self.transport.is_closing()
            and self.loop.time() - self.idle_since_s < self.pool.driver.idle_s
            and not self.poll.poll(0)
        )

    @property
    def has_call(self) -> bool:
        """Whether a call was written whose response has not come."""
        return self.waiter is not None and not self.is_complete

    def drop(self, reason: EngineCloseReason) -> None:
        """Abort the connection, with a reset if a call is unanswered; the first reason that is given is logged."""
        self._close_reason = self._close_reason or reason
        self.is_reusable = False
        if self.is_complete and not self.transport.is_closing():
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _USUAL_CLOSE)
        self.transport.abort()

    def _on_overdue(self) -> None:
        """Fail an overdue call by TimeoutError; keep the connection for its late response, if the call asked for that.

        The response, or its lack, then shows whether the engine has received the call.
        """
        waiter, late_s = self.waiter, self._late_s
        self._late_s = 0.0
        if late_s <= 0.0 or not self._may_be_answered():
            self._expire()
            return
        self.is_overdue = True
        self.deadline_s = self.loop.time() + late_s
        self.timer = self.loop.call_at(self.deadline_s, self._on_timer)
        if not self._is_detached:
            self._detach()
            assert waiter is not None
            if not waiter.done():  # cancelled in this turn of the event loop
                waiter.set_exception(TimeoutError())

    def _may_be_answered(self) -> bool:
        """Return whether a call was written completely and may get its response on this connection."""
        is_open = self.is_reusable and not self.is_complete
        return is_open and not self.has_unwritten and self._doubtful is None

    def _expire(self) -> None:
        """Fail an overdue call by TimeoutError or RequestNotWrittenError and abort the connection."""
        self._close_reason = self._close_reason or EngineCloseReason.OVERDUE
        self._fail(TimeoutError())  # type: ignore[arg-type]
        self.drop(EngineCloseReason.OVERDUE)

    def request(
        self, data: bytes, within_s: float, waiter: ResponseWaiter, confirm_s: float = -1.0, late_s: float = 0.0
    ) -> None:
        """Write a call at once; `waiter` gets its response or an error, after `within_s` a TimeoutError.

        A response that equals a recent one is held back until it is known not to be a copy, for at most `confirm_s`
        after this call; it is not checked if `confirm_s` is negative. After the TimeoutError the connection is kept for
        `late_s`, so that a late response can come.
        """
        self.waiter = waiter
        self._late_s = late_s
        self._is_detached = False
        self.is_complete, self.response_bytes = False, 0
        now_s = self.loop.time()
        self._is_checked = confirm_s >= 0.0
        self._written_at_s = now_s
        self.written_ms = clock()
        self._has_copies = False
        self._confirmed_by_s = now_s + min(confirm_s, within_s)
        self.deadline_s = now_s + within_s
        if self.timer is None or self.timer.when() > self.deadline_s:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = self.loop.call_at(self.deadline_s, self._on_timer)
        self.transport.write(data)
        if self.transport.is_closing():
            self.has_unwritten = True  # reset before this call: none of it was written

    def _on_timer(self) -> None:
        """Expire an overdue call. One timer serves all calls in turn: one for each call costs more."""
        self.timer = None
        if self.waiter is None:
            return
        if self.loop.time() < self.deadline_s:
            self.timer = self.loop.call_at(self.deadline_s, self._on_timer)
        else:
            self._on_overdue()

    def give_up_call(self, written_ms: float) -> None:
        """Wait no longer than usual for the response to the call that was written at `written_ms`.

        If that time is over the connection is dropped, so that the engine does not get the call any more.
        """
        if self.written_ms != written_ms or not self.has_call:
            return
        self._late_s = 0.0
        if self.is_overdue:
            self.drop(EngineCloseReason.OVERDUE)

    def end_call(self) -> None:
        """Stop waiting for the response; drop the connection if the response is not complete."""
        self._end_doubt()
        self.waiter = None
        if not self.is_complete:  # further input would belong to no call
            self.drop(EngineCloseReason.ABANDONED)

    def detach(self) -> bool:
        """Stop waiting for the response; return whether the connection is kept until it comes and then released."""
        if not self.is_reusable or self.is_complete or self.has_unwritten:
            return False  # the rest of a call must not be written any more
        # The response is on its way, and a new connection costs the engine more.
        self._detach()
        return True

    def _detach(self) -> None:
        self._is_detached = True
        detached: asyncio.Future[EngineReply] = self.loop.create_future()
        detached.add_done_callback(self._on_detached_response)
        self.waiter = detached

    def _on_detached_response(self, waiter: asyncio.Future[EngineReply]) -> None:
        """Release the connection, as the response to a cancelled call has come or failed."""
        self.waiter = None
        self.is_overdue = False
        if waiter.cancelled() or waiter.exception() is not None:
            self.is_reusable = False
        self.pool.release(self)
