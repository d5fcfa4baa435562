"""Calls that a client made at one worker and that another one answers.

Owns the Unix sockets between workers, one connection to each other worker that is called, and the form of what
crosses them: a length of four bytes, then msgpack. It must never keep a client waiting longer than a call may be held,
never pass on what the front has not checked, and never answer for the owner: what the owner's front says goes back
unchanged.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Callable
from typing import Any

import msgspec

from frostspindle.net.fields import CallRejectedError
from frostspindle.net.http.calls import PendingCall
from frostspindle.net.platform import HttpFront

LONGEST = 1 << 20  # a page and its frame are far shorter
MOST = 512  # calls of one worker that wait at another
WITHIN_S = 1.5  # a call is held for 1 s at its owner
_ENCODE = msgspec.msgpack.Encoder().encode
Reply = tuple[int, Any, str, bool]  # status, body, further headers, whether it ends the connection
_CALL = msgspec.msgpack.Decoder(tuple[int, bytes, bytes])  # number, method, URL
_REPLY = msgspec.msgpack.Decoder(tuple[int, int, Any, str, bool])


class WorkerGoneError(Exception):
    """The other worker has closed the connection, does not answer in time, or has too many calls waiting."""


class _FrameProtocol(asyncio.Protocol):
    """Frames of one connection; one that can't be read ends it."""

    decoder: msgspec.msgpack.Decoder[Any]

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set before anything else is called

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= 4:
            length = int.from_bytes(self.buffer[:4], "little")
            if length > LONGEST:
                self.broken()
                return
            if len(self.buffer) < 4 + length:
                return
            message = bytes(self.buffer[4 : 4 + length])
            del self.buffer[: 4 + length]
            try:
                content = self.decoder.decode(message)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
                self.broken()
                return
            self.frame(content)

    def broken(self) -> None:
        self.buffer.clear()
        self.transport.abort()

    def frame(self, message: Any) -> None:
        raise NotImplementedError

    def send(self, message: Any) -> None:
        if not self.transport.is_closing():
            data = _ENCODE(message)
            self.transport.write(len(data).to_bytes(4, "little") + data)


class _NoConnection:
    """Stands where a slot has its client: this one is another worker's."""

    line: tuple[()] = ()


class _RemoteCall(PendingCall):
    """A call of another worker's client."""

    __slots__ = ("answer",)

    def __init__(self, answer: Callable[[Reply], None]) -> None:
        super().__init__(_NoConnection())  # type: ignore[arg-type]
        self.answer = answer

    def reply(self, status: int, body: Any = None, extra: str = "", last: bool = False) -> None:
        if self.data is None:
            self.data = b""
            self.answer((status, body, extra, last))


class _OwnerConnection(_FrameProtocol):
    """The owner's side: another worker's calls, answered by this worker's front."""

    decoder = _CALL

    def __init__(self, front: HttpFront, all_of: set[_OwnerConnection]) -> None:
        super().__init__()
        self.front, self.all_of = front, all_of
        self.slots: set[_RemoteCall] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.all_of.add(self)
        # The address has no owner in any file system: only processes of this user are listened to.
        credentials = transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
        if int.from_bytes(credentials[4:8], sys.byteorder) != os.geteuid():
            self.front.telemetry.count("mesh_strangers")
            self.transport.abort()

    def broken(self) -> None:
        self.front.telemetry.count("mesh_broken")
        super().broken()

    def frame(self, message: Any) -> None:
        number, method, url = message
        slot = _RemoteCall(lambda reply: self._answer(number, slot, reply))
        if len(self.slots) >= MOST:
            slot.reply(503, {"failure": "Busy"})
            return
        self.slots.add(slot)
        self.front.telemetry.count("relayed_in", "http")
        try:
            self.front.call(slot, method, url, {}, b"")
        except CallRejectedError as refusal:
            slot.reply(refusal.status, {"failure": refusal.text}, last=True)
        except Exception as error:  # noqa: BLE001 - a fault ends one call
            self.front.telemetry.count("faults")
            self.front.telemetry.log("fault", error=repr(error), of="relayed call")
            slot.reply(500, {"failure": "Failed"}, last=True)

    def _answer(self, number: int, slot: _RemoteCall, reply: Reply) -> None:
        self.slots.discard(slot)
        self.send((number, *reply))

    def connection_lost(self, error: Exception | None) -> None:
        self.all_of.discard(self)
        for slot in self.slots:
            slot.data = b""
            self.front.gone(slot)
        self.slots.clear()


class _CallerConnection(_FrameProtocol):
    """The side of the worker that a client called."""

    decoder = _REPLY

    def __init__(self) -> None:
        super().__init__()
        self.waiting: dict[int, asyncio.Future[Reply]] = {}
        self.numbers = 0

    def frame(self, message: Any) -> None:
        number, status, body, extra, last = message
        if (future := self.waiting.pop(number, None)) is not None and not future.done():
            future.set_result((status, body, extra, last))

    def connection_lost(self, error: Exception | None) -> None:
        for future in self.waiting.values():
            if not future.done():
                future.set_exception(WorkerGoneError("the owner ended its connection"))
        self.waiting.clear()

    async def ask(self, method: bytes, url: bytes) -> Reply:
        if len(self.waiting) >= MOST:
            raise WorkerGoneError("too many calls wait there")
        self.numbers += 1
        number = self.numbers
        future = self.waiting[number] = asyncio.get_running_loop().create_future()
        self.send((number, method, url))
        try:
            async with asyncio.timeout(WITHIN_S):
                return await future
        except TimeoutError:
            raise WorkerGoneError("the owner does not answer") from None
        finally:
            self.waiting.pop(number, None)


class WorkerMesh:
    """This worker's listening Unix socket and its connections to the other workers."""

    def __init__(self, listening: int, paths: dict[int, str], front: HttpFront) -> None:
        self.listening, self.paths, self.front = socket.socket(fileno=listening), paths, front
        self.askers: dict[int, _CallerConnection] = {}
        self.owners: set[_OwnerConnection] = set()  # the others' connections here
        self._opening: dict[int, asyncio.Lock] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept the other workers' connections; their calls are answered by this worker's front."""
        self.listening.setblocking(False)
        self._server = await asyncio.get_running_loop().create_unix_server(
            lambda: _OwnerConnection(self.front, self.owners), sock=self.listening
        )

    def close(self) -> None:
        """Stop accepting, close the others' connections after what was written, and abort our own to them."""
        if self._server is not None:
            self._server.close()  # this ends no connection that was taken
        for owner in self.owners:
            owner.transport.close()
        for asker in self.askers.values():
            asker.transport.abort()

    async def ask(self, slot: int, method: bytes, url: bytes) -> Reply:
        """Relay a call to the worker in that slot and return its reply; Gone if there is none in time."""
        if (asker := self._asker(slot)) is None:
            try:  # one at a time: calls that come together would each open a connection, and all but one be lost
                async with asyncio.timeout(WITHIN_S), self._opening.setdefault(slot, asyncio.Lock()):
                    if (asker := self._asker(slot)) is None:
                        _, asker = await asyncio.get_running_loop().create_unix_connection(
                            _CallerConnection, self.paths[slot]
                        )
                        self.askers[slot] = asker
            except (OSError, TimeoutError) as error:
                raise WorkerGoneError(repr(error)) from None
        return await asker.ask(method, url)

    def _asker(self, slot: int) -> _CallerConnection | None:
        asker = self.askers.get(slot)
        return None if asker is None or asker.transport.is_closing() else asker
