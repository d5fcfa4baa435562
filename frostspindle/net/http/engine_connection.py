"""One connection to an engine: a call is written, one answer is read.

Owns the parser and the bounds of an answer, and whether the connection may be used again. It must never be used again
after the first doubt: when more or less came than one good answer, or something that was not asked for. The parser is
httptools (llhttp in its strict mode).
"""

from __future__ import annotations

import asyncio
import select
from typing import Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from frostspindle.core import clock
from frostspindle.net.http.duplicate_responses import MIN_CONFIRMATION_S, ConfirmationBackoff, RecentResponses
from frostspindle.net.http.replies import (
    MAX_HEADER_BYTES,
    MAX_HEADERS,
    MAX_PAGE_BYTES,
    MAX_RESPONSE_BYTES,
    EngineReply,
    InvalidReplyError,
)

OK_STATUS = 200


class ConnectionBrokenError(Exception):
    """The connection ended during a call."""


class RequestNotWrittenError(ConnectionBrokenError):
    """The connection ended before the system had taken the whole call: the engine can't have run it."""


class ConnectionSettings(Protocol):
    """What holds for the connections to all engines."""

    loop: asyncio.AbstractEventLoop
    idle_s: float  # how long an idle one is used


class ConnectionOwner(Protocol):
    """The owner of a connection: the engine's process behind it."""

    confirmations: ConfirmationBackoff

    @property
    def driver(self) -> ConnectionSettings:
        """What holds for the connections to all engines."""

    def count_copy(self) -> None:
        """Count a second copy of a response, or another one that nothing asked for."""

    def connection_opened(self, connection: EngineConnection) -> None:
        """Register a connection that has been opened."""

    def connection_closed(self, connection: EngineConnection) -> None:
        """Forget a connection that has ended."""

    def release(self, connection: EngineConnection) -> None:
        """Take back a connection whose call is over; it may serve another one."""


class ResponseWaiter(Protocol):
    """What waits for a response: a task's future, or an attempt without a task. It is told once."""

    def done(self) -> bool:
        """Return whether it has been told a response or an error, or was cancelled."""

    def set_result(self, reply: EngineReply, /) -> None:
        """Take the response."""

    def set_exception(self, error: BaseException, /) -> None:
        """Take the error that came in place of a response: ConnectionBrokenError, InvalidReplyError or TimeoutError."""


class EngineConnection(asyncio.Protocol):
    """One connection to an engine; one call at a time, and nothing more after the first doubt."""

    def __init__(self, pool: ConnectionOwner) -> None:
        self.pool, self.loop = pool, pool.driver.loop
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set before anything else is called
        self.parser = HttpResponseParser(self)
        self.waiter: ResponseWaiter | None = None
        self.deadline_s = 0.0  # when the answer is overdue
        self.timer: asyncio.TimerHandle | None = None  # the loop's, for that or an earlier call's
        self.is_reusable, self.is_complete, self.idle_since_s = True, False, self.loop.time()
        self.has_unwritten = False  # the system has yet to take a part of the call
        self.opened_ms = self.last_response_ms = clock()  # up since, and last answered
        self.response_bytes = self.header_count = self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.poll = select.poll()
        self._recent = RecentResponses()
        self._is_checked = False  # the response to this call may be a copy that has to be recognised
        self._written_at_s = 0.0
        self._confirmed_by_s = 0.0  # by then it has to be delivered
        self._doubtful: EngineReply | None = None  # it may be a copy: the call's own response is waited for
        self._doubt_timer: asyncio.TimerHandle | None = None
        self._has_copies = False  # a copy came in answer to this call

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, register with the peer, and watch the socket for unread bytes.

        A write buffer limit of 0 makes asyncio report every byte that the system has not taken.
        """
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(0)  # to be told of every byte that it holds back
        self.pool.connection_opened(self)
        self.poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the timer, unregister, and fail the open call: ConnectionBrokenError or RequestNotWrittenError."""
        self.is_reusable = False
        if self.timer is not None:
            self.timer.cancel()
        self.pool.connection_closed(self)
        self._fail(ConnectionBrokenError(repr(error) if error else "the engine ended its connection"))

    def pause_writing(self) -> None:
        """Note that part of the call is still unwritten."""
        self.has_unwritten = True

    def resume_writing(self) -> None:
        """Note that the system has taken all of the call."""
        self.has_unwritten = False

    def eof_received(self) -> None:
        """Abort the connection, as the engine has ended its side."""
        self.drop()  # a mere close would first write out the rest of a call to an engine that has ended

    def data_received(self, data: bytes) -> None:
        """Parse what came and pass a whole response to the waiter.

        Bytes that were not asked for, a malformed or too long response, and one to a call that is not written yet end
        the connection; the waiter gets the error.
        """
        if self.waiter is None or self.waiter.done():
            self.pool.count_copy()
            self.drop()  # nothing was asked: what it is can't be known, nor what it would do to the next answer
            return
        self.response_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self.is_reusable = False  # noise behind a whole answer leaves that answer good
            if self._doubtful is not None:  # it was whole; whether it was a copy can't be told any more
                self._fail(ConnectionBrokenError("noise behind a response that may be a copy"))
            elif not self.is_complete:
                self._fail(InvalidReplyError(str(error.__context__ or error)))
        if self.is_complete:
            if self.has_unwritten:
                self._fail(InvalidReplyError("an answer to a call that was not written yet"))
            elif not self.waiter.done():
                self._deliver(EngineReply(self.status, self.headers, b"".join(self.body)))
        elif self.response_bytes > MAX_RESPONSE_BYTES:
            self._fail(InvalidReplyError("an answer is too long"))
        if not self.is_reusable:
            self.drop()

    def _deliver(self, reply: EngineReply) -> None:
        """Pass a response to the waiter, as that of the call."""
        if self._is_checked:
            self._recent.record(reply, self.loop.time())
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(reply)

    # A response that may be a second copy of an earlier one.

    def _confirms(self, reply: EngineReply) -> bool:
        """Return whether a response is kept back until the call's own one has come, or is overdue."""
        if not self._is_checked or self.has_unwritten or not self.parser.should_keep_alive():
            return False
        now_s = self.loop.time()
        return self._recent.may_be_copy(reply, now_s) and self.pool.confirmations.allows_wait(reply.status, now_s)

    def _start_doubt(self, reply: EngineReply) -> None:
        self._doubtful = reply
        if self._doubt_timer is None:
            self._doubt_timer = self.loop.call_at(self._confirmed_by_s, self._on_doubt_over)

    def _on_doubt_over(self) -> None:
        """Take a response for that of the call, as no other has followed it; not from an engine that sends copies."""
        reply = self._doubtful
        self._end_doubt()
        if reply is None:
            return
        now_s = self.loop.time()
        is_confirmed = now_s - self._written_at_s >= MIN_CONFIRMATION_S
        if not is_confirmed or not self.pool.confirmations.takes_unconfirmed(now_s):
            self._doubtful = reply
            self._fail(ConnectionBrokenError("the response may be a copy of an earlier one"))
            self.drop()
            return
        self.pool.confirmations.record_honest(reply.status, now_s)
        self.is_complete = True
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
            # An error is taken: the news would be asked for by an id that another request may have.
            doubtful.headers.pop(b"x-shed", None)  # what may be a copy proves nothing
            self._deliver(doubtful)
            return
        if self.has_unwritten:
            error = RequestNotWrittenError(str(error))
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(error)

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Reset headers and body; InvalidReplyError if a whole response to this call came already."""
        if self.is_complete:
            self.is_reusable = False
            self.pool.count_copy()
            raise InvalidReplyError("more than one answer")
        self.headers, self.body, self.header_count = {}, [], 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header by its lower-case name; InvalidReplyError beyond FIELDS headers or FIELD bytes."""
        self.header_count += 1
        if self.header_count > MAX_HEADERS or len(name) + len(value) > MAX_HEADER_BYTES:
            raise InvalidReplyError("a head without bounds")
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        """Check the head; InvalidReplyError if a final response has no length, or one beyond PAGE_BYTES."""
        self.status = self.parser.get_status_code()
        if (
            self.status >= 200
            and self.status != 204
            and not (b"content-length" in self.headers or b"transfer-encoding" in self.headers)
        ):
            raise InvalidReplyError("an answer without a length")  # nothing would show that it was cut
        if int(self.headers.get(b"content-length", b"0")) > MAX_PAGE_BYTES:
            raise InvalidReplyError("an answer is too long")

    def on_body(self, part: bytes) -> None:
        """Collect a part of the body; `data_received` bounds the whole."""
        self.body.append(part)

    def on_message_complete(self) -> None:
        """Mark a final response (not 1xx) as whole; without keep-alive the connection is not used again."""
        if self.status < 200:
            return
        reply = EngineReply(self.status, self.headers, b"".join(self.body))
        if self._doubtful is not None:  # so the one before it was a copy
            self.pool.count_copy()
            self._has_copies = True
        if self._confirms(reply):
            self._start_doubt(reply)
            return
        self._end_doubt()
        self.is_complete, self.idle_since_s = True, self.loop.time()
        self.is_reusable = self.is_reusable and self.parser.should_keep_alive() and not self._has_copies

    # What the peer calls.

    def is_usable(self) -> bool:
        """Return whether a call may be written now: a hang-up, a reset or stray bytes may lie unread in the socket."""
        return (
            self.is_reusable
            and not self.transport.is_closing()
            and self.loop.time() - self.idle_since_s < self.pool.driver.idle_s
            and not self.poll.poll(0)
        )

    def drop(self) -> None:
        """Abort the connection; it is not used again."""
        self.is_reusable = False
        self.transport.abort()

    def expire(self) -> None:
        """End an overdue call with TimeoutError, or RequestNotWrittenError, and abort the connection."""
        self._fail(TimeoutError())  # type: ignore[arg-type]
        self.drop()

    def request(self, data: bytes, within_s: float, waiter: ResponseWaiter, confirm_s: float = -1.0) -> None:
        """Write a call at once; `waiter` gets its response or an error, after `within_s` a TimeoutError.

        A response that equals a recent one is kept back until it is known not to be a copy of that, `confirm_s` after
        this call at the latest; negative: it is not checked.
        """
        self.waiter = waiter
        self.is_complete, self.response_bytes = False, 0
        now_s = self.loop.time()
        self._is_checked = confirm_s >= 0.0
        self._written_at_s = now_s
        self._has_copies = False
        self._confirmed_by_s = now_s + min(confirm_s, within_s)
        self.deadline_s = now_s + within_s
        if self.timer is None or self.timer.when() > self.deadline_s:
            if self.timer is not None:
                self.timer.cancel()
            self.timer = self.loop.call_at(self.deadline_s, self._on_timer)
        self.transport.write(data)
        if self.transport.is_closing():
            self.has_unwritten = True  # reset before this call: the system took none of it

    def _on_timer(self) -> None:
        """One timer serves a connection's calls in turn: setting one for each costs more than a look here."""
        self.timer = None
        if self.waiter is None:
            return
        if self.loop.time() < self.deadline_s:
            self.timer = self.loop.call_at(self.deadline_s, self._on_timer)
        else:
            self.expire()

    def end_call(self) -> None:
        """End the wait for the call's response; a connection without a whole response is dropped."""
        self._end_doubt()
        self.waiter = None
        if not self.is_complete:  # not to be read: whatever still comes belongs to no call
            self.drop()

    def detach(self) -> bool:
        """Stop waiting for the response; return whether the connection is kept until it comes, and released then."""
        if not self.is_reusable or self.is_complete or self.has_unwritten:
            return False  # what is not written yet must not follow
        # The answer is on its way, and a new connection costs the engine more.
        detached: asyncio.Future[EngineReply] = self.loop.create_future()
        detached.add_done_callback(self._on_detached_response)
        self.waiter = detached
        return True

    def _on_detached_response(self, waiter: asyncio.Future[EngineReply]) -> None:
        """The answer to a call that was given up has come, or will not: the line is free, or gone."""
        self.waiter = None
        if waiter.cancelled() or waiter.exception() is not None:
            self.is_reusable = False
        self.pool.release(self)
