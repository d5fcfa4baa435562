"""One TDS client session: its log-in, its batches one at a time, and the tokens of responses.

Retries and routing are decided by the core. Each batch gets exactly one final response. Encryption is not supported,
which the PRELOGIN response states.

Numbers of the ERROR tokens: REFUSED is the documented transient error of a busy service, with the delay in its text;
FAILED means that the batch may have run; the others name unsupported or invalid input.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from frostspindle.config import TdsLogin, TdsSection
from frostspindle.core import ClientRequest, Core, Response, ResponseStatus, clock
from frostspindle.net.hangup import SocketWatch
from frostspindle.net.tds import codec
from frostspindle.telemetry import Telemetry

FRONT = "tds"
REFUSED, FAILED = 40501, 50001
UNSUPPORTED, LOGIN_FAILED, TOO_MANY, BAD_STREAM = 50010, 18456, 17809, 4002
READ_BYTES = 16 * 1024
MESSAGE_TIMEOUT_S = 2.4  # from a message's first byte until it is complete, as for HTTP clients
SEND_TIMEOUT_S = 30.0  # the session of a client that does not read is closed
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

    def next_ticket(self) -> str:
        """Return the ticket of a new request."""


class ClientSession:
    """One client's connection: its log-in, and its batches, one at a time."""

    def __init__(self, front: SessionContext, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.front, self.reader, self.writer = front, reader, writer
        self.splitter = codec.PacketReassembler(front.tds.max_batch_bytes)
        self.messages: list[codec.Message] = []
        self.packet = codec.DEFAULT_PACKET_BYTES
        self.profile: TdsLogin | None = None
        self.database = ""
        self.login: codec.Login | None = None
        self.waiting_since_s = asyncio.get_running_loop().time()  # loop time since which it waits for its client
        self.busy = False  # a batch is running
        self.ticket = ""  # of the last batch
        self.socket_watch = SocketWatch(writer.transport)

    async def message(self) -> codec.Message | None:
        """Return the next message, or None at the end of the stream."""
        began_s: float | None = None
        while not self.messages:
            if self.splitter.is_partial and began_s is None:
                began_s = asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout_at(began_s + MESSAGE_TIMEOUT_S if began_s is not None else None) as limit:
                    data = await self.reader.read(READ_BYTES)
            except TimeoutError:
                if limit.expired():
                    raise codec.ProtocolError("a message did not come in time") from None
                raise
            if not data:
                return None
            self.messages += self.splitter.feed(data)
            if len(self.messages) > MAX_QUEUED_MESSAGES:
                raise codec.ProtocolError("too many messages ahead of their answers")
        return self.messages.pop(0)

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

    async def fail(self, number: int, text: str, severity: int = 16) -> None:
        """Send an ERROR token as the whole response."""
        await self.send(codec.error(number, text, severity) + codec.done(codec.DONE_ERROR))

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
        while True:
            try:
                async with asyncio.timeout(front.tds.idle_ms / 1000.0):
                    message = await self.message()
            except TimeoutError:
                front.telemetry.count("idle_sessions", FRONT)
                return
            if message is None:
                return
            if message.kind == codec.ATTENTION:
                await self.send(codec.done(codec.DONE_ATTN))
            elif message.status & codec.IGNORE:
                await self.send(codec.done())  # the client cancelled the message while sending it
            elif message.kind == codec.BATCH:
                if not await self._batch(codec.read_batch(message.body)):
                    return
            elif message.kind in _UNSUPPORTED_MESSAGES:
                front.telemetry.count("not_taken", FRONT)
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
        login = codec.read_login(message.body)
        self.profile = self.front.profile(login)
        if self.profile is None:
            self.front.telemetry.count("logins_refused", FRONT)
            await self.fail(
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

    async def _batch(self, statement: str) -> bool:
        """Run one batch and send its final response; return False if the client has disconnected."""
        self.busy = True
        try:
            return await self._run_batch(statement)
        finally:
            self.busy, self.waiting_since_s = False, asyncio.get_running_loop().time()

    async def _run_batch(self, statement: str) -> bool:
        front, profile = self.front, self.profile
        assert profile is not None
        if not statement.strip():
            await self.send(codec.done())
            return True
        answered: asyncio.Future[Response] = asyncio.get_running_loop().create_future()

        def on_response(answer: Response) -> None:
            if not answered.done():
                answered.set_result(answer)

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
        if not front.core.submit(request):
            await self.fail(REFUSED, _busy(DEFAULT_RETRY_AFTER_MS))
            return True
        next_message = asyncio.ensure_future(self.message())  # an Attention, or the end of the stream
        try:
            await asyncio.wait((answered, next_message), return_when=asyncio.FIRST_COMPLETED)
            if not answered.done():
                front.core.client_disconnected(request)
                message = next_message.result()
                if message is None:
                    return False
                if message.kind != codec.ATTENTION:
                    raise codec.ProtocolError("a message before the answer to the one ahead; MARS is not spoken")
                await self.send(codec.done(codec.DONE_ATTN))
                return True
            # The next message, if there is one, is handled after this response.
            await self._answer(answered.result())
            if next_message.done():
                message = next_message.result()
                if message is None:
                    return False
                self.messages.insert(0, message)
            return True
        except BaseException:
            if not answered.done():
                front.core.client_disconnected(request)
            raise
        finally:
            if not next_message.done():
                next_message.cancel()
                await asyncio.wait((next_message,))

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
