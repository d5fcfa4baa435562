"""Relay of calls between workers, for calls that a client makes at a worker that does not own the request.

Workers connect to each other by Unix sockets, with one connection to each worker that is called. A frame is a length
of four bytes followed by msgpack. The calling worker's front validates a call before it is relayed, the owner's reply
is returned unchanged, and a call waits for at most CALL_TIMEOUT_S. To be used only in the worker's event loop.
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
from frostspindle.net.http.calls import FRONT, OpenRequest, PendingCall
from frostspindle.net.http.results import parse_rows
from frostspindle.net.platform import HttpFront

MAX_FRAME_BYTES = 1 << 20  # far more than a result page with its frame
MAX_PENDING_CALLS = 512  # on one connection
MAX_UNSENT_REPLY_BYTES = 256 * 1024  # buffered for a worker that does not read, before replies with rows are withheld
CALL_TIMEOUT_S = 1.5  # the owner holds a long poll for 1 s
ABANDON = b"ABANDON"  # sent in place of a method: the client of this call has disconnected
ROWS_STATUS = 200
_ENCODE = msgspec.msgpack.Encoder().encode
_CALL = msgspec.msgpack.Decoder(tuple[int, bytes, bytes])  # number, method, URL
_REPLY = msgspec.msgpack.Decoder(tuple[int, int, Any, str, bool])


class RelayedReply(NamedTuple):
    """An owner's reply to a relayed call; its fields follow the call's number in the frame."""

    status: int
    body: Any
    extra_headers: str
    last: bool  # whether to close the client's connection after it


class MeshError(Exception):
    """Base class of the errors of the mesh."""


class WorkerUnavailableError(MeshError):
    """The other worker closed the connection, did not reply in time, or has too many pending calls."""


class _FrameProtocol(asyncio.Protocol):
    """Framing of one connection; a malformed frame aborts the connection."""

    decoder: msgspec.msgpack.Decoder[Any]

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set before anything else is called

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]

    def data_received(self, data: bytes) -> None:
        """Decode and process each complete frame; abort the connection at a malformed or oversized one."""
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
        """Abort the connection after a malformed frame."""
        self.buffer.clear()
        self.transport.abort()

    def frame_received(self, message: Any) -> None:
        """Process one decoded frame."""
        raise NotImplementedError

    def send(self, message: Any) -> None:
        """Write a message as one frame, unless the connection is closing."""
        if not self.transport.is_closing():
            data = _ENCODE(message)
            self.transport.write(len(data).to_bytes(4, "little") + data)


class _RemoteClient:
    """Stands in for the client connection of a relayed call, which is at another worker, for the duration of the call.

    After the reply to the call, the client counts as absent until its next call.
    """

    pending_calls: tuple[()] = ()

    def __init__(self) -> None:
        self.requests: dict[OpenRequest, None] = {}
        self.last_result: OpenRequest | None = None
        self.is_waiting = True

    hides_end = False  # the client's own connection is at the worker that relays the call

    def is_connected(self) -> bool:
        """Return whether the call still waits for its reply."""
        return self.is_waiting

    def flush(self) -> None:
        """Do nothing, as replies are not buffered here."""


class _RemoteCall(PendingCall):
    """A call by a client that is connected to another worker."""

    __slots__ = ("front", "on_reply", "remote_client")

    def __init__(self, front: HttpFront, on_reply: Callable[[RelayedReply], None]) -> None:
        self.remote_client = _RemoteClient()
        super().__init__(self.remote_client)
        self.front = front
        self.on_reply = on_reply

    def reply_page(self, rows: bytes, next_path: str) -> None:
        """Return a page of rows, given as text, to the calling worker."""
        body: dict[str, Any] = {"rows": parse_rows(rows)}
        if next_path:
            body["next"] = next_path
        self.reply(ROWS_STATUS, body)

    def reply(self, status: int, body: Any = None, extra: str = "", last: bool = False) -> None:
        """Return the reply to the calling worker; later replies are ignored."""
        if self.data is None:
            self.data = b""
            self.on_reply(RelayedReply(status, body, extra, last))
            self._finish()

    def abandon(self) -> None:
        """End the call without a reply, as its client or the calling worker has disconnected."""
        self.data = b""
        self.front.call_abandoned(self)
        self._finish()

    def _finish(self) -> None:
        self.remote_client.is_waiting = False
        self.front.connection_ended(self.remote_client)


class _OwnerConnection(_FrameProtocol):
    """Incoming connection, with another worker's calls for this worker's front."""

    decoder = _CALL

    def __init__(self, front: HttpFront, connections: set[_OwnerConnection]) -> None:
        super().__init__()
        self.front = front
        self.connections = connections  # all incoming connections of the mesh
        self.pending_calls: dict[int, _RemoteCall] = {}  # by call number

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; abort it if the peer process belongs to another user."""
        super().connection_made(transport)
        self.connections.add(self)
        # Abstract addresses have no file permissions, so the peer's user is checked here.
        credentials = transport.get_extra_info("socket").getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
        if int.from_bytes(credentials[4:8], sys.byteorder) != os.geteuid():
            self.front.telemetry.count("mesh_strangers")
            self.transport.abort()

    def abort_malformed(self) -> None:
        """Count the malformed frame and abort the connection."""
        self.front.telemetry.count("mesh_broken")
        super().abort_malformed()

    def frame_received(self, message: Any) -> None:
        """Pass a call to this worker's front, or reject it if MAX_PENDING_CALLS are pending."""
        call_number, method, url = message
        if method == ABANDON:
            abandoned_call = self.pending_calls.pop(call_number, None)
            if abandoned_call is not None:
                abandoned_call.abandon()
            return
        call = _RemoteCall(self.front, lambda reply: self._send_reply(call_number, self._bounded(reply, url)))
        if len(self.pending_calls) >= MAX_PENDING_CALLS:
            call.reply(503, {"failure": "Busy"})
            return
        self.pending_calls[call_number] = call
        self.front.telemetry.count("relayed_in", "http")
        try:
            self.front.call(call, method, url, {}, b"")
        except CallRejectedError as rejection:
            call.reply(rejection.status, {"failure": rejection.text}, last=True)
        except Exception as error:  # noqa: BLE001 - an exception fails only this call
            self.front.telemetry.count("faults")
            self.front.telemetry.log("exception_caught", error=repr(error), of="relayed call")
            call.reply(500, {"failure": "Failed"}, last=True)

    def _bounded(self, reply: RelayedReply, url: bytes) -> RelayedReply:
        """Return the reply; if the calling worker is slow to read, one by which the client asks for the rows again."""
        has_rows = isinstance(reply.body, dict) and "rows" in reply.body
        if not has_rows or self.transport.get_write_buffer_size() <= MAX_UNSENT_REPLY_BYTES:
            return reply
        self.front.telemetry.count("relayed_again", FRONT)
        return RelayedReply(ROWS_STATUS, {"next": url.decode("latin-1")}, "", False)

    def _send_reply(self, call_number: int, reply: RelayedReply) -> None:
        self.pending_calls.pop(call_number, None)
        self.send((call_number, *reply))

    def connection_lost(self, error: Exception | None) -> None:
        """Abandon the pending calls."""
        self.connections.discard(self)
        calls = list(self.pending_calls.values())
        self.pending_calls.clear()
        for call in calls:
            call.abandon()


class _CallerConnection(_FrameProtocol):
    """Outgoing connection to the owners of requests at another worker."""

    decoder = _REPLY

    def __init__(self) -> None:
        super().__init__()
        self.pending: dict[int, asyncio.Future[RelayedReply]] = {}  # by call number
        self.last_call_number = 0

    def frame_received(self, message: Any) -> None:
        """Resolve the pending call to which the reply belongs."""
        call_number, status, body, extra, last = message
        future = self.pending.pop(call_number, None)
        if future is not None and not future.done():
            future.set_result(RelayedReply(status, body, extra, last))

    def connection_lost(self, error: Exception | None) -> None:
        """Fail all pending calls with WorkerUnavailableError."""
        for future in self.pending.values():
            if not future.done():
                future.set_exception(WorkerUnavailableError("the owner closed the connection"))
        self.pending.clear()

    async def call(self, method: bytes, url: bytes) -> RelayedReply:
        """Send a call and return the reply; raise WorkerUnavailableError if there is none within CALL_TIMEOUT_S.

        On cancellation the owner is notified that the call is abandoned.
        """
        if len(self.pending) >= MAX_PENDING_CALLS:
            raise WorkerUnavailableError("too many pending calls to the owner")
        self.last_call_number += 1
        call_number = self.last_call_number
        future: asyncio.Future[RelayedReply] = asyncio.get_running_loop().create_future()
        self.pending[call_number] = future
        self.send((call_number, method, url))
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                return await future
        except TimeoutError:
            raise WorkerUnavailableError("the owner did not reply in time") from None
        except asyncio.CancelledError:
            self.send((call_number, ABANDON, url))
            raise
        finally:
            self.pending.pop(call_number, None)


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
        """Start accepting the other workers' connections."""
        self.listening_socket.setblocking(False)
        self._server = await asyncio.get_running_loop().create_unix_server(
            lambda: _OwnerConnection(self.front, self.incoming), sock=self.listening_socket
        )

    def close(self) -> None:
        """Stop accepting, close incoming connections after flushing them, and abort outgoing ones."""
        if self._server is not None:
            self._server.close()  # accepted connections remain open
        for incoming in self.incoming:
            incoming.transport.close()
        for outgoing in self.outgoing.values():
            outgoing.transport.abort()

    async def call(self, slot: int, method: bytes, url: bytes) -> RelayedReply:
        """Relay a call to the worker in a slot and return its reply; raise WorkerUnavailableError if there is none."""
        connection = self._open_connection(slot)
        if connection is None:
            try:
                connection = await self._connect(slot)
            except (OSError, TimeoutError) as error:
                raise WorkerUnavailableError(repr(error)) from None
        return await connection.call(method, url)

    async def _connect(self, slot: int) -> _CallerConnection:
        """Return an open connection to a worker; concurrent calls share one connection attempt."""
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
