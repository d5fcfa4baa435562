"""Relay of calls between workers: a client made the call at one worker, another one owns the request and answers.

Owns the Unix sockets between workers, one connection to each other worker that is called, and the framing on them: a
length of four bytes, then msgpack. A call waits CALL_TIMEOUT_S at most, is passed on only after the front has checked
it, and the owner's reply is returned unchanged. All of it runs in the worker's event loop.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from frostspindle.net.fields import CallRejectedError
from frostspindle.net.http.calls import OpenRequest, PendingCall
from frostspindle.net.platform import HttpFront

MAX_FRAME_BYTES = 1 << 20  # a result page with its frame is far shorter
MAX_PENDING_CALLS = 512  # of one worker at another
CALL_TIMEOUT_S = 1.5  # the owner holds a call (long poll) for 1 s
ABANDON = b"ABANDON"  # in place of a method: the client of an earlier call has gone
_ENCODE = msgspec.msgpack.Encoder().encode
_CALL = msgspec.msgpack.Decoder(tuple[int, bytes, bytes])  # number, method, URL
_REPLY = msgspec.msgpack.Decoder(tuple[int, int, Any, str, bool])


class RelayedReply(NamedTuple):
    """An owner's reply to a relayed call; its fields follow the call's number in the frame."""

    status: int
    body: Any
    extra_headers: str
    last: bool  # whether the client's connection ends with it


class MeshError(Exception):
    """Base class of the errors of the mesh."""


class WorkerGoneError(MeshError):
    """The other worker has closed the connection, does not answer in time, or has too many calls waiting."""


class _FrameProtocol(asyncio.Protocol):
    """Frames of one connection; a frame that can't be decoded ends the connection."""

    decoder: msgspec.msgpack.Decoder[Any]

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set before anything else is called

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Decode each complete frame and hand it on; a malformed or too long one ends the connection."""
        self.buffer += data
        while len(self.buffer) >= 4:
            length = int.from_bytes(self.buffer[:4], "little")
            if length > MAX_FRAME_BYTES:
                self.abort_malformed()
                return
            if len(self.buffer) < 4 + length:
                return
            message = bytes(self.buffer[4 : 4 + length])
            del self.buffer[: 4 + length]
            try:
                content = self.decoder.decode(message)
            except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
                self.abort_malformed()
                return
            self.frame_received(content)

    def abort_malformed(self) -> None:
        """Abort the connection, as a frame can't be decoded."""
        self.buffer.clear()
        self.transport.abort()

    def frame_received(self, message: Any) -> None:
        """Take one decoded frame."""
        raise NotImplementedError

    def send(self, message: Any) -> None:
        """Write one message as a frame; nothing is written to a connection that closes."""
        if not self.transport.is_closing():
            data = _ENCODE(message)
            self.transport.write(len(data).to_bytes(4, "little") + data)


class _RemoteClient:
    """Takes the place of a relayed call's client connection, which is at another worker; it lasts as long as the call.

    Once the call has its reply the client is away, as far as this worker can tell, until its next call comes.
    """

    pending_calls: tuple[()] = ()

    def __init__(self) -> None:
        self.requests: dict[OpenRequest, None] = {}
        self.is_waiting = True

    def is_connected(self) -> bool:
        """Return whether the call still waits for its reply."""
        return self.is_waiting

    def flush(self) -> None:
        """Do nothing: the reply is passed on as it is given."""


class _RemoteCall(PendingCall):
    """A call of another worker's client."""

    __slots__ = ("front", "on_reply", "remote_client")

    def __init__(self, front: HttpFront, on_reply: Callable[[RelayedReply], None]) -> None:
        self.remote_client = _RemoteClient()
        super().__init__(self.remote_client)
        self.front = front
        self.on_reply = on_reply

    def reply(self, status: int, body: Any = None, extra: str = "", last: bool = False) -> None:
        """Pass the response back to the calling worker, once."""
        if self.data is None:
            self.data = b""
            self.on_reply(RelayedReply(status, body, extra, last))
            self._end()

    def abandon(self) -> None:
        """End the call without a reply: its client has gone, or the worker that it called."""
        self.data = b""
        self.front.call_abandoned(self)
        self._end()

    def _end(self) -> None:
        self.remote_client.is_waiting = False
        self.front.connection_ended(self.remote_client)


class _OwnerConnection(_FrameProtocol):
    """Incoming connection: another worker's calls, answered by this worker's front."""

    decoder = _CALL

    def __init__(self, front: HttpFront, connections: set[_OwnerConnection]) -> None:
        super().__init__()
        self.front = front
        self.connections = connections  # all of the mesh
        self.pending_calls: dict[int, _RemoteCall] = {}  # by number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the connection, unless a process of another user opened it."""
        super().connection_made(transport)
        self.connections.add(self)
        # An abstract address has no file permissions: accept only processes of this user.
        credentials = transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
        if int.from_bytes(credentials[4:8], sys.byteorder) != os.geteuid():
            self.front.telemetry.count("mesh_strangers")
            self.transport.abort()

    def abort_malformed(self) -> None:
        """Count the malformed frame and abort the connection."""
        self.front.telemetry.count("mesh_broken")
        super().abort_malformed()

    def frame_received(self, message: Any) -> None:
        """Hand another worker's call to this worker's front; beyond MAX_PENDING_CALLS it is rejected."""
        number, method, url = message
        if method == ABANDON:
            abandoned = self.pending_calls.pop(number, None)
            if abandoned is not None:
                abandoned.abandon()
            return
        call = _RemoteCall(self.front, lambda reply: self._send_reply(number, reply))
        if len(self.pending_calls) >= MAX_PENDING_CALLS:
            call.reply(503, {"failure": "Busy"})
            return
        self.pending_calls[number] = call
        self.front.telemetry.count("relayed_in", "http")
        try:
            self.front.call(call, method, url, {}, b"")
        except CallRejectedError as rejection:
            call.reply(rejection.status, {"failure": rejection.text}, last=True)
        except Exception as error:  # noqa: BLE001 - a fault ends this call only
            self.front.telemetry.count("faults")
            self.front.telemetry.log("exception_caught", error=repr(error), of="relayed call")
            call.reply(500, {"failure": "Failed"}, last=True)

    def _send_reply(self, number: int, reply: RelayedReply) -> None:
        self.pending_calls.pop(number, None)
        self.send((number, *reply))

    def connection_lost(self, error: Exception | None) -> None:
        """Drop the calls that wait for a response."""
        self.connections.discard(self)
        calls = list(self.pending_calls.values())
        self.pending_calls.clear()
        for call in calls:
            call.abandon()


class _CallerConnection(_FrameProtocol):
    """Outgoing connection of the worker that a client called, to the owner of the request."""

    decoder = _REPLY

    def __init__(self) -> None:
        super().__init__()
        self.pending: dict[int, asyncio.Future[RelayedReply]] = {}  # by number of the call
        self.last_number = 0

    def frame_received(self, message: Any) -> None:
        """Resolve the call that the response belongs to."""
        number, status, body, extra, last = message
        future = self.pending.pop(number, None)
        if future is not None and not future.done():
            future.set_result(RelayedReply(status, body, extra, last))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all calls that wait, with WorkerGoneError."""
        for future in self.pending.values():
            if not future.done():
                future.set_exception(WorkerGoneError("the owner ended its connection"))
        self.pending.clear()

    async def call(self, method: bytes, url: bytes) -> RelayedReply:
        """Send a call and return its response; WorkerGoneError if none can be had in time.

        If it is cancelled, the owner is told that nobody waits for the response any more.
        """
        if len(self.pending) >= MAX_PENDING_CALLS:
            raise WorkerGoneError("too many calls wait there")
        self.last_number += 1
        number = self.last_number
        future: asyncio.Future[RelayedReply] = asyncio.get_running_loop().create_future()
        self.pending[number] = future
        self.send((number, method, url))
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await future
        except TimeoutError:
            raise WorkerGoneError("the owner does not answer") from None
        except asyncio.CancelledError:
            self.send((number, ABANDON, url))
            raise
        finally:
            self.pending.pop(number, None)


class WorkerMesh:
    """This worker's listening Unix socket and its connections to the other workers."""

    def __init__(self, listening_fd: int, paths: dict[int, str], front: HttpFront) -> None:
        self.listening_socket = socket.socket(fileno=listening_fd)
        self.paths = paths  # address by slot
        self.front = front
        self.outgoing: dict[int, _CallerConnection] = {}  # by slot
        self.incoming: set[_OwnerConnection] = set()
        self._connect_locks: dict[int, asyncio.Lock] = {}
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept the other workers' connections; their calls are answered by this worker's front."""
        self.listening_socket.setblocking(False)
        self._server = await asyncio.get_running_loop().create_unix_server(
            lambda: _OwnerConnection(self.front, self.incoming), sock=self.listening_socket
        )

    def close(self) -> None:
        """Stop accepting, close incoming connections after what was written, and abort outgoing ones."""
        if self._server is not None:
            self._server.close()  # this ends no connection that was accepted
        for incoming in self.incoming:
            incoming.transport.close()
        for outgoing in self.outgoing.values():
            outgoing.transport.abort()

    async def call(self, slot: int, method: bytes, url: bytes) -> RelayedReply:
        """Relay a call to the worker in that slot and return its reply; WorkerGoneError if there is none in time."""
        connection = self._open_connection(slot)
        if connection is None:
            try:
                connection = await self._connect(slot)
            except (OSError, TimeoutError) as error:
                raise WorkerGoneError(repr(error)) from None
        return await connection.call(method, url)

    async def _connect(self, slot: int) -> _CallerConnection:
        """Return an open connection to a worker; concurrent calls wait for one connection rather than open several."""
        async with asyncio.timeout(CALL_TIMEOUT_S), self._connect_locks.setdefault(slot, asyncio.Lock()):
            connection = self._open_connection(slot)
            if connection is None:
                _, connection = await asyncio.get_running_loop().create_unix_connection(
                    _CallerConnection, self.paths[slot]
                )
                self.outgoing[slot] = connection
            return connection

    def _open_connection(self, slot: int) -> _CallerConnection | None:
        connection = self.outgoing.get(slot)
        if connection is None or connection.transport.is_closing():
            return None
        return connection
