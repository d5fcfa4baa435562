"""One TDS client session: its log-in, its batches one at a time, and the tokens of responses.

Retries and routing are decided by the core. Each batch gets exactly one final response. Encryption is not supported,
which the PRELOGIN response states.

A session is closed in three steps, so that no response is lost and no batch that was read stays unanswered: the sending
side is shut down, only while no message is queued, partly received or unread and no batch runs; further input is read
and discarded; then the connection is closed.

Numbers of the ERROR tokens: REFUSED is the documented transient error of a busy service, with the delay in its text;
FAILED means that the batch may have run; the others name unsupported or invalid input.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from frostspindle.config import TdsLogin, TdsSection
from frostspindle.core import ClientRequest, Core, Response, ResponseStatus, clock
from frostspindle.held_memory import HeldPurpose, MemoryCharge
from frostspindle.net.hangup import SocketWatch
from frostspindle.net.tds import codec
from frostspindle.telemetry import Telemetry

FRONT = "tds"
REFUSED, FAILED = 40501, 50001
UNSUPPORTED, LOGIN_FAILED, TOO_MANY, BAD_STREAM = 50010, 18456, 17809, 4002
READ_BYTES = 2 * 1024  # parsed in one turn of the event loop: a quarter of a thousand packets at most
MESSAGE_TIMEOUT_S = 2.4  # from a message's first byte until it is complete, as for HTTP clients
SEND_TIMEOUT_S = 30.0  # the session of a client that does not read is closed
LINGER_TIMEOUT_S = 1.0  # how long input is read and discarded after the sending side was shut down
UNREAD_RESPONSE_TIMEOUT_S = 5.0  # the same while the client has not read its last response
EOF_POLL_S = 0.01  # interval at which an ended session with an unread response looks whether it was taken
RESPONSE_COPIES = 2  # its tokens, and its packets while they are written
MAX_QUEUED_MESSAGES = 16  # ahead of their responses
DEFAULT_RETRY_AFTER_MS = 100.0  # in a rejection for which the core has no delay
_UNSUPPORTED_MESSAGES = {
    codec.RPC: "RPC requests are not taken here; send a SQL batch",
    codec.BULK: "Bulk load is not taken here",
    codec.MANAGER: "Transactions across batches are not taken here; use autocommit",
    codec.SSPI: "Integrated log-in is not taken here",
}


class SessionContext(Protocol):
    """The interface of the front that sessions use."""

    tds: TdsSection
    core: Core
    telemetry: Telemetry
    classes: dict[str, int]  # number of each request class, by name
    group: Callable[[str], int]  # number of a statement's table group
    tenant: Callable[[codec.Login, str, str], int] | None  # by login, address and statement

    def profile(self, login: codec.Login) -> TdsLogin | None:
        """Return the entry of the operator's file that matches a log-in, or None."""

    @property
    def accepts_requests(self) -> bool:
        """Whether log-ins and batches are accepted; not late in a drain, and not at the end of a shutdown."""

    def next_ticket(self) -> str:
        """Return the ticket of a new request."""


class ClientReader(asyncio.StreamReader):
    """A stream reader that knows whether it holds bytes that its session has not read yet."""

    def __init__(self) -> None:
        super().__init__(limit=READ_BYTES)
        self._unread_bytes = 0

    @property
    def has_unread(self) -> bool:
        """Whether bytes were received and not read."""
        return self._unread_bytes > 0

    def feed_data(self, data: bytes) -> None:
        """Add bytes from the socket."""
        self._unread_bytes += len(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` bytes; empty at the end of the stream."""
        data = await super().read(n)
        self._unread_bytes -= len(data)
        return data


class ClientSession:
    """One client's connection: its log-in, and its batches, one at a time."""

    def __init__(self, front: SessionContext, reader: ClientReader, writer: asyncio.StreamWriter) -> None:
        self.front, self.reader, self.writer = front, reader, writer
        self.loop = asyncio.get_running_loop()
        self.splitter = codec.PacketReassembler(front.tds.max_batch_bytes)
        self.messages: list[codec.Message] = []
        self.packet = codec.DEFAULT_PACKET_BYTES
        self.profile: TdsLogin | None = None
        self.database = ""
        self.login: codec.Login | None = None
        self.waiting_since_s = self.loop.time()  # loop time since which it waits for its client
        self.busy = False  # a batch is running
        self.ticket = ""  # of the last batch
        self.is_ending = False  # the sending side was shut down; input is discarded
        self.socket_watch = SocketWatch(writer.transport)
        writer.transport.max_size = READ_BYTES  # type: ignore[attr-defined]  # read at a time; asyncio's is 256 KB
        self._message_began_s: float | None = None  # loop time at which a partial message was first seen
        self.input_since_s = self.waiting_since_s  # loop time of the first byte of the partial message
        self._last_active_s = self.waiting_since_s  # loop time of the shutdown of the sending side, or of later input
        self._linger_timer: asyncio.TimerHandle | None = None
        self._eof_timer: asyncio.TimerHandle | None = None
        self._charge = MemoryCharge(front.core.held_memory, HeldPurpose.RESULTS)  # of the response being sent

    async def message(self) -> codec.Message | None:
        """Return the next message, or None at the end of the stream or after the sending side was shut down."""
        while not self.messages:
            data = await self._read()
            if not data or self.is_ending:
                return None
            self.messages += self.splitter.feed(data)
            self._charge_input()
            if len(self.messages) > MAX_QUEUED_MESSAGES:
                raise codec.ProtocolError("too many messages ahead of their answers")
        self._message_began_s = None
        return self.messages.pop(0)

    def _charge_input(self) -> None:
        """Charge for the message that is partly received."""
        held_bytes = self.splitter.held_bytes
        if not held_bytes:
            self.input_since_s = self.loop.time()
        self.front.core.input_memory.hold(self, held_bytes)

    def refuse_input(self) -> bool:
        """Refuse the message that is partly received, as too much memory is held; not while a batch runs."""
        if self.is_ending or self.busy or self.messages or not self.splitter.is_partial:
            return False
        self.front.telemetry.count("sessions_ended_input_memory", FRONT)
        self.front.telemetry.log_repeated("tds_session_ended", "input_memory", held_bytes=self.splitter.held_bytes)
        self.splitter = codec.PacketReassembler(self.front.tds.max_batch_bytes)
        self.front.core.input_memory.hold(self, 0)
        self.refuse_late()
        return True

    async def _read(self) -> bytes:
        """Return the next bytes; raise ProtocolError if a partial message is not completed in time."""
        if not self.splitter.is_partial:
            self._message_began_s = None
        elif self._message_began_s is None:
            self._message_began_s = self.loop.time()
        began_s = self._message_began_s
        await asyncio.sleep(0)  # let others have a turn: a client that sends at full speed always has bytes to read
        try:
            async with asyncio.timeout_at(began_s + MESSAGE_TIMEOUT_S if began_s is not None else None) as limit:
                return await self.reader.read(READ_BYTES)
        except TimeoutError:
            if limit.expired():
                raise codec.ProtocolError("a message did not come in time") from None
            raise

    # What the session waits for, and its end.

    def has_unread(self) -> bool:
        """Return whether bytes from the client are unread, here or in the socket."""
        return self.reader.has_unread or self.socket_watch.has_unread()

    def has_input(self) -> bool:
        """Return whether a message is queued, partly received or unread."""
        return bool(self.messages) or self.splitter.is_partial or self.has_unread()

    def is_resting(self) -> bool:
        """Return whether the session waits for its client, which has sent nothing since its last response."""
        return not self.busy and not self.is_ending and not self.has_input()

    def has_unsent(self) -> bool:
        """Return whether a response for a slow client is still buffered."""
        return self.writer.transport.get_write_buffer_size() > 0

    def has_batch_pending(self) -> bool:
        """Return whether a batch runs or may be unread, in a session that was not ended."""
        return not self.is_ending and (self.busy or self.has_input())

    def is_quiescent(self, before_s: float) -> bool:
        """Return whether it was ended before `before_s` (loop time), its responses sent, and no input came after."""
        return self.is_ending and self._last_active_s < before_s and not self.has_unsent() and not self.has_unread()

    def end(self) -> None:
        """Shut down the sending side; input is read and discarded until the client closes, or for the linger time.

        Closing with unread bytes would reset the connection and could lose the last response.
        """
        if self.is_ending:
            return
        self.is_ending = True
        self._last_active_s = self.loop.time()
        self._linger_timer = self.loop.call_later(LINGER_TIMEOUT_S, self._on_linger_timeout, self._last_active_s)
        self._write_eof()

    def _write_eof(self) -> None:
        """Shut down the sending side once the last response was taken; asyncio does not catch an error later."""
        if self.writer.transport.is_closing():
            return
        if self.has_unsent():
            self._eof_timer = self.loop.call_later(EOF_POLL_S, self._write_eof)
            return
        try:
            self.writer.write_eof()
        except OSError:  # the client has already closed
            self.writer.transport.abort()

    def refuse(self, number: int, text: str, severity: int = 16) -> None:
        """Write an ERROR token as the session's last response, and end the session."""
        if self.is_ending:
            return
        self.writer.write(self._error_packets(number, text, severity))
        self.end()

    def finish(self) -> None:
        """End the session at shutdown, unless a batch runs or input is unread; these come first."""
        if self.is_ending or self.busy or self.messages or self.has_unread():
            return
        if self.splitter.is_partial:
            self.refuse_late()
        else:
            self.end()

    def refuse_late(self) -> None:
        """Refuse a log-in or a batch that comes too late in a drain or a shutdown, and end the session."""
        if self.profile is None:
            self.refuse(TOO_MANY, "The service takes no new sessions now", 20)
            return
        self.front.telemetry.count("full", FRONT, self.profile.cls)
        self.refuse(REFUSED, _busy(DEFAULT_RETRY_AFTER_MS))

    def _on_linger_timeout(self, ended_s: float) -> None:
        if self.has_unsent() and self.loop.time() < ended_s + UNREAD_RESPONSE_TIMEOUT_S:
            self._linger_timer = self.loop.call_later(LINGER_TIMEOUT_S, self._on_linger_timeout, ended_s)
            return
        self.writer.transport.abort()

    async def linger(self) -> None:
        """Read and discard input until the client closes or the linger time is over."""
        while await self.reader.read(READ_BYTES):
            self._last_active_s = self.loop.time()

    def close(self) -> None:
        """Close the connection."""
        for timer in (self._linger_timer, self._eof_timer):
            if timer is not None:
                timer.cancel()
        self._charge.release()
        self.front.core.input_memory.hold(self, 0)
        self.writer.close()

    # Messages.

    def waits_for_answer(self) -> bool:
        """Return whether the client still waits for the response to its batch.

        Otherwise it has hung up or sent an Attention, which may be unread; nothing else may follow a batch.
        """
        if self.writer.is_closing() or self.socket_watch.has_hung_up():
            return False
        return not (self.messages or self.splitter.is_partial or self.socket_watch.has_unread())

    async def send(self, tokens: bytes) -> None:
        """Send a response and wait until most of it is written; raise TimeoutError if the client does not read."""
        self.writer.write(codec.packets(codec.RESULT, tokens, self.packet))
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await self.writer.drain()

    async def fail(self, number: int, text: str) -> None:
        """Send an ERROR token as the whole response."""
        await self.send(codec.error(number, text) + codec.done(codec.DONE_ERROR))

    def _error_packets(self, number: int, text: str, severity: int) -> bytes:
        tokens = codec.error(number, text, severity) + codec.done(codec.DONE_ERROR)
        return codec.packets(codec.RESULT, tokens, self.packet)

    async def run(self) -> None:
        """Log the client in and answer its messages until the session ends."""
        front = self.front
        try:
            async with asyncio.timeout(front.tds.login_ms / 1000.0):
                if not await self._log_in():
                    return
        except TimeoutError:
            front.telemetry.count("login_timeouts", FRONT)
            return
        while (message := await self._next_message()) is not None:
            await self._handle(message)

    async def _next_message(self) -> codec.Message | None:
        """Return the next message; None at the end of the stream, and once the session was idle for too long."""
        while True:
            try:
                async with asyncio.timeout(self.front.tds.idle_ms / 1000.0):
                    return await self.message()
            except TimeoutError:
                if self.has_input():
                    continue  # a message is being received, for which MESSAGE_TIMEOUT_S applies
                self.front.telemetry.count("idle_sessions", FRONT)
                self.end()
                return None

    async def _handle(self, message: codec.Message) -> None:
        """Answer one message after the log-in; raise ProtocolError for one that may not come there."""
        if message.kind == codec.ATTENTION:
            await self.send(codec.done(codec.DONE_ATTN))
        elif message.status & codec.IGNORE:
            await self.send(codec.done())  # the client cancelled the message while sending it
        elif message.kind == codec.BATCH:
            await self._batch(codec.read_batch(message.body))
        elif message.kind in _UNSUPPORTED_MESSAGES:
            self.front.telemetry.count("not_taken", FRONT)
            await self.fail(UNSUPPORTED, _UNSUPPORTED_MESSAGES[message.kind])
        else:
            raise codec.ProtocolError(f"a message of type {message.kind} after the log-in")

    async def _log_in(self) -> bool:
        message = await self.message()
        if message is not None and message.kind == codec.PRELOGIN:
            options = codec.read_prelogin(message.body)
            await self.send(
                codec.prelogin(
                    {
                        codec.O_VERSION: bytes((1, 0, 0, 0, 0, 0)),
                        codec.O_ENCRYPTION: bytes((codec.ENCRYPT_NOT_SUP,)),
                        codec.O_INSTANCE: b"\x00",
                        codec.O_MARS: b"\x00",
                    }
                )
            )
            if options.get(codec.O_MARS, b"\x00")[:1] == b"\x01":
                self.front.telemetry.count("mars_declined", FRONT)
            message = await self.message()
        if message is None:
            return False
        if message.kind != codec.LOGIN7:
            raise codec.ProtocolError(f"a message of type {message.kind} in place of a log-in")
        if not self.front.accepts_requests:
            self.refuse_late()
            return False
        login = codec.read_login(message.body)
        self.profile = self.front.profile(login)
        if self.profile is None:
            self.front.telemetry.count("logins_refused", FRONT)
            self.refuse(
                LOGIN_FAILED,
                f"Login failed for user '{login.user}': no entry for application "
                f"'{login.application}' and database '{login.database}'",
                14,
            )
            return False
        self.database, self.login = login.database, login
        self.front.telemetry.count("logins", FRONT, self.profile.cls)
        tokens = codec.login_ack(login.database, login.packet)
        await self.send(tokens)
        self.packet = login.packet  # applies from the next message on
        return True

    async def _batch(self, statement: str) -> None:
        """Run one batch and send its final response, unless the client disconnects."""
        if not self.front.accepts_requests:
            self.refuse_late()
            return
        if not statement.strip():
            await self.send(codec.done())
            return
        self.busy = True
        try:
            await self._run_batch(statement)
        finally:
            self.busy, self.waiting_since_s = False, self.loop.time()
            self._charge.resize(self.writer.transport.get_write_buffer_size())

    async def _run_batch(self, statement: str) -> None:
        answered: asyncio.Future[Response] = self.loop.create_future()
        request = self._make_request(statement, answered)
        if not self.front.core.submit(request):
            await self.fail(REFUSED, _busy(DEFAULT_RETRY_AFTER_MS))
            return
        next_message = asyncio.ensure_future(self.message())  # an Attention, or the end of the stream
        try:
            await asyncio.wait((answered, next_message), return_when=asyncio.FIRST_COMPLETED)
            if not answered.done():
                self.front.core.client_disconnected(request)
                await self._confirm_cancellation(next_message.result())
                return
            # The next message, if there is one, is handled after this response.
            await self._answer(answered.result())
            if next_message.done() and (message := next_message.result()) is not None:
                self.messages.insert(0, message)
        except BaseException:
            if not answered.done():
                self.front.core.client_disconnected(request)
            raise
        finally:
            if not next_message.done():
                next_message.cancel()
                await asyncio.wait((next_message,))

    def _make_request(self, statement: str, answered: asyncio.Future[Response]) -> ClientRequest:
        """Return the request of a batch by its login's entry; its first response is set as the result of `answered`."""
        front, profile = self.front, self.profile
        assert profile is not None

        def on_response(response: Response) -> None:
            if not answered.done():
                self._charge.resize(RESPONSE_COPIES * len(response.result or b""))
                answered.set_result(response)

        self.ticket = front.next_ticket()
        request = ClientRequest(
            FRONT,
            front.classes[profile.cls],
            self.ticket,
            statement,
            clock(),
            profile.deadline_ms,
            on_response,
            profile.cost_ms,
            profile.memory_mb,
            front.group(statement),
            database=self.database,
            is_client_connected=self.waits_for_answer,
        )
        if front.tenant is not None and self.login is not None:
            peer = self.writer.get_extra_info("peername") or ("",)
            request.tenant = front.tenant(self.login, peer[0], statement)
        return request

    async def _confirm_cancellation(self, message: codec.Message | None) -> None:
        """Confirm the Attention that ended a batch; None for `message` means that the client has disconnected."""
        if message is None:
            return
        if message.kind != codec.ATTENTION:
            raise codec.ProtocolError("a message before the answer to the one ahead; MARS is not spoken")
        await self.send(codec.done(codec.DONE_ATTN))

    async def _answer(self, answer: Response) -> None:
        if answer.status == ResponseStatus.SERVED:
            await self.send(answer.result)
        elif answer.reason:
            await self.fail(FAILED, answer.reason)
        elif answer.status == ResponseStatus.REJECTED:
            await self.fail(REFUSED, _busy(answer.retry_after_ms or DEFAULT_RETRY_AFTER_MS))
        else:
            await self.fail(FAILED, "The request failed. It may have run; do not repeat what must not run twice.")


def _busy(wait_ms: float) -> str:
    return (
        f"The service is currently busy. Retry the request after {wait_ms / 1000.0:g} seconds. "
        "The request was not run to an end and can be repeated."
    )
