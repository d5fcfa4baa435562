"""Connections between members over TCP: dialling, accepting, heartbeats, and frames with a keyed checksum.

A connection begins with the handshake (`handshake`). Each frame after it has its length (4 bytes), a checksum of
CHECKSUM_BYTES over its number and payload under a key of this connection and direction, and its payload
(wire.encode_message; empty for a heartbeat). A malformed, oversized, late or unauthenticated frame closes its
connection, with a counter and a log line without content. Nothing from an unauthenticated peer is processed.
"""

from __future__ import annotations

import asyncio
import hmac
import random
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

from frostspindle.replica import handshake, wire
from frostspindle.replica.handshake import CHECKSUM_BYTES, LinkRefusedError, Session

HANDSHAKE_TIMEOUT_S = 2.0
SILENCE_TIMEOUT_S = 2.0  # a connection without a frame for this time is closed
HEARTBEAT_S = 0.5
RECONNECT_DELAY_S = (0.1, 0.4)  # range of the random delay between connection attempts
MAX_UNAUTHENTICATED = 32  # accepted connections with an incomplete handshake
MAX_QUEUED_OUT_BYTES = 32 << 20  # send buffer of one peer
MAX_QUEUED_IN_BYTES = 32 << 20  # received messages that the member has not handled; above it reading stops
BACKPRESSURE_POLL_S = 0.005
STREAM_BUFFER_BYTES = 1 << 17
_LENGTH_BYTES = 4


class MemberLink:
    """One connection to an authenticated peer."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, session: Session) -> None:
        self.reader: asyncio.StreamReader = reader
        self.writer: asyncio.StreamWriter = writer
        self.peer: str = session.peer
        self._outgoing = session.outgoing
        self._incoming = session.incoming

    def send(self, payload: bytes) -> bool:
        """Queue a frame; return False without queueing it if the send buffer would exceed MAX_QUEUED_OUT_BYTES.

        On a connection that has ended, which `receive` reports in a later turn of the event loop, it is dropped.
        """
        if self.writer.transport.is_closing():
            return True
        if self.writer.transport.get_write_buffer_size() + len(payload) > MAX_QUEUED_OUT_BYTES:
            return False
        self.writer.write(len(payload).to_bytes(_LENGTH_BYTES, "big") + self._outgoing.next(payload))
        if payload:
            self.writer.write(payload)
        return True

    async def receive(self) -> bytes:
        """Return the next frame's payload, empty for a heartbeat.

        Raise LinkRefusedError for a wrong checksum or length, TimeoutError after SILENCE_TIMEOUT_S without a frame, and
        OSError or IncompleteReadError when the connection ends.
        """
        async with asyncio.timeout(SILENCE_TIMEOUT_S):
            header = await self.reader.readexactly(_LENGTH_BYTES + CHECKSUM_BYTES)
            length = int.from_bytes(header[:_LENGTH_BYTES], "big")
            if length > wire.MAX_FRAME_BYTES:
                raise LinkRefusedError("too_long", f"{length} bytes")
            payload = await self.reader.readexactly(length)
        if not hmac.compare_digest(self._incoming.next(payload), header[_LENGTH_BYTES:]):
            raise LinkRefusedError("sum")
        return payload

    async def receive_message(self) -> tuple[dict[str, Any] | None, int]:
        """Return the next message (None for a heartbeat) and its length in bytes. Raise the errors of `receive`."""
        payload = await self.receive()
        if not payload:
            return None, 0
        try:
            return wire.decode_message(payload), len(payload)
        except ValueError as error:
            raise LinkRefusedError("spoilt", str(error)[:120]) from None


class MemberLinks:
    """All connections of one member; the callbacks run in the event loop."""

    def __init__(
        self,
        name: str,
        secret: bytes,
        on_connected: Callable[[str], None],
        on_disconnected: Callable[[str], None],
        on_message: Callable[[str, dict[str, Any], int], None],
        is_known: Callable[[str], bool],
        has_capacity: Callable[[], bool],
        log_event: Callable[..., None],
    ) -> None:
        """Start sending heartbeats; needs a running event loop.

        `on_message` is called with the peer, the message and its length in bytes. `is_known` returns whether an id may
        connect now, `has_capacity` whether more may be read. `log_event(event, **fields)` counts and logs.
        """
        self.name: str = name
        self.id: str = name  # `~name` while it is a follower
        self.links: dict[str, MemberLink] = {}  # by peer
        self.counters: Counter[str] = Counter()
        self._secret: bytes = secret
        self._on_connected: Callable[[str], None] = on_connected
        self._on_disconnected: Callable[[str], None] = on_disconnected
        self._on_message: Callable[[str, dict[str, Any], int], None] = on_message
        self._is_known: Callable[[str], bool] = is_known
        self._has_capacity: Callable[[], bool] = has_capacity
        self._log_event: Callable[..., None] = log_event
        self._server: asyncio.Server | None = None
        self._dial_tasks: dict[str, asyncio.Task[None]] = {}  # by the peer's name
        self._accepted_tasks: set[asyncio.Task[None]] = set()
        self._unauthenticated: int = 0
        self._heartbeat_task: asyncio.Task[None] = asyncio.create_task(self._send_heartbeats())

    async def listen(self, host: str, port: int) -> int:
        """Accept connections at an address; return the port, chosen by the system if `port` is 0. Raise OSError."""
        self._server = await asyncio.start_server(self._accept, host, port, limit=STREAM_BUFFER_BYTES)
        return int(self._server.sockets[0].getsockname()[1])

    def set_targets(self, own_id: str, targets: dict[str, str]) -> None:
        """Use `own_id` from now on, and keep connections to these voters: by name, the address `IP:PORT`.

        If the id changes, all connections are closed first. Of two voters, the one with the lower name dials.
        """
        if own_id != self.id:
            for peer in list(self.links):
                self.drop(peer)
            for task in self._dial_tasks.values():
                task.cancel()
            self._dial_tasks.clear()
        self.id = own_id
        wanted = {name: address for name, address in targets.items() if address and self._is_dialled_here(name)}
        for name in self._dial_tasks.keys() - wanted.keys():
            self._dial_tasks.pop(name).cancel()
        for name in wanted.keys() - self._dial_tasks.keys():
            self._dial_tasks[name] = asyncio.create_task(self._keep_connected(name, wanted[name]))

    def _is_dialled_here(self, name: str) -> bool:
        return name != self.name and (self.id.startswith("~") or self.id < name)

    def send(self, peer: str, message: dict[str, Any]) -> None:
        """Send one of the library's messages to a peer; without a connection, the message is dropped.

        A message too long for one frame is counted and dropped. If the peer's send buffer is full, its connection is
        closed.
        """
        link = self.links.get(peer)
        if link is None:
            return
        try:
            payload = wire.encode_message(message)
            if len(payload) > wire.MAX_FRAME_BYTES:
                raise ValueError
        except ValueError:
            self.counters["too_long"] += 1  # a fault of this member: no peer would accept the frame
            return
        if not link.send(payload):
            self.counters["crowded"] += 1
            self.drop(peer)

    def drop(self, peer: str) -> None:
        """Close a peer's connection and call `on_disconnected`; the dialling end reconnects."""
        link = self.links.pop(peer, None)
        if link is not None:
            link.writer.transport.abort()
            self._on_disconnected(peer)

    async def close(self) -> None:
        """Stop listening, close all connections, calling `on_disconnected` for each, and wait for their tasks."""
        self._heartbeat_task.cancel()
        if self._server is not None:
            self._server.close()
        tasks = (*self._dial_tasks.values(), *self._accepted_tasks)
        for task in tasks:
            task.cancel()
        for link in self.links.values():
            link.writer.transport.abort()
        await asyncio.gather(*tasks, self._heartbeat_task, return_exceptions=True)
        self.links.clear()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for peer, link in list(self.links.items()):
                if not link.send(b""):
                    self.drop(peer)

    async def _keep_connected(self, name: str, address: str) -> None:
        host, _, port = address.rpartition(":")
        while True:
            try:
                async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(
                        host.strip("[]"), int(port), limit=STREAM_BUFFER_BYTES
                    )
            except (OSError, TimeoutError):
                pass
            else:
                session = handshake.dial(reader, writer, self._secret, self.id, name)
                await self._serve(reader, writer, session)
            await asyncio.sleep(random.uniform(*RECONNECT_DELAY_S))

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._unauthenticated >= MAX_UNAUTHENTICATED:
            self.counters["strangers"] += 1
            writer.transport.abort()
            return
        session = handshake.accept(reader, writer, self._secret, self._is_acceptable)
        task = asyncio.create_task(self._serve(reader, writer, session))
        self._accepted_tasks.add(task)
        task.add_done_callback(self._accepted_tasks.discard)

    def _is_acceptable(self, peer: str, wanted: str) -> bool:
        return wanted == self.id and self._is_known(peer)

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        run_handshake: Coroutine[Any, Any, Session],
    ) -> None:
        """Run a connection from the handshake until it closes."""
        link: MemberLink | None = None
        try:
            link = MemberLink(reader, writer, await self._authenticate(run_handshake))
            self.drop(link.peer)  # an older connection, which the other end has closed or will close
            self.links[link.peer] = link
            self._on_connected(link.peer)
            await self._read_messages(link)
        except LinkRefusedError as error:
            self.counters[error.reason] += 1
            self._log_event("replica_link_refused", why=str(error), peer=link.peer if link else _address_of(writer))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.counters["unproved" if link is None else "broken"] += 1  # before authentication; after it
        finally:
            writer.transport.abort()
            if link is not None and self.links.get(link.peer) is link:
                del self.links[link.peer]
                self._on_disconnected(link.peer)

    async def _authenticate(self, run_handshake: Coroutine[Any, Any, Session]) -> Session:
        self._unauthenticated += 1
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                return await run_handshake
        finally:
            self._unauthenticated -= 1

    async def _read_messages(self, link: MemberLink) -> None:
        """Pass messages to the member until the connection ends; stop reading while the member has no capacity."""
        while True:
            message, size = await link.receive_message()
            if message is None:
                continue
            if self.links.get(link.peer) is link:
                self._on_message(link.peer, message, size)
            while not self._has_capacity():
                await asyncio.sleep(BACKPRESSURE_POLL_S)


def _address_of(writer: asyncio.StreamWriter) -> str:
    with suppress(Exception):
        host, port, *_ = writer.get_extra_info("peername")
        return f"{host}:{port}"
    return "?"
