"""A crowd of clients that send partial or unwanted input: for tests and the soak, in a process of its own or in theirs.

`python -m frostspindle.lab.crowd PORT KIND CONNECTIONS SECONDS` plays one against a loopback port. A client that is
refused or closed connects again after RECONNECT_S.
"""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from enum import StrEnum
from itertools import count

HOST = "127.0.0.1"
RECONNECT_S = 0.02
SLOW_PIECE_BYTES = 700
SLOW_INTERVAL_S = 0.05
MAX_BODY_BYTES = 64 * 1024  # of a statement
FLOOD_CALLS = 500  # that a flooding client writes at a time
FIRST_ID = 1 << 60  # of the crowd's requests, apart from those of other clients
READ_BYTES = 1 << 16
PRELOGIN_TYPE = 18  # of a TDS packet
TDS_PACKET_BYTES = 30_000


class CrowdKind(StrEnum):
    """What the clients of a crowd do."""

    SILENT = "silent"  # connect and send nothing
    HALF_BODY = "half_body"  # stop shortly before the end of a long statement
    SMALL_CHUNKS = "small_chunks"  # the same, with a body in chunks of two bytes
    SLOW_BODY = "slow_body"  # write a long statement in small pieces
    SHORT_FIELDS = "short_fields"  # a head of as many short fields as it may have, and no end
    SAME_FIELDS = "same_fields"  # one short field repeated, up to the longest head
    WIDE_HEAD = "wide_head"  # the longest head, and half a body
    PING_FLOOD = "ping_flood"  # small calls at full speed, with the answers read
    POST_FLOOD = "post_flood"  # small requests at full speed, each of another table
    UNREAD_FLOOD = "unread_flood"  # small calls at full speed, with no answer read
    INVALID_FLOOD = "invalid_flood"  # unreadable calls at full speed, on new connections once closed
    TDS_HALF_LOGIN = "tds_half_login"  # a log-in of many packets without an end
    TDS_EMPTY_PACKETS = "tds_empty_packets"  # packets without content at full speed


FLOODS = {
    CrowdKind.PING_FLOOD,
    CrowdKind.POST_FLOOD,
    CrowdKind.UNREAD_FLOOD,
    CrowdKind.INVALID_FLOOD,
    CrowdKind.TDS_EMPTY_PACKETS,
}


def is_of_crowd(ticket: str) -> bool:
    """Return whether a request's id, in hex, is one of a crowd's."""
    return int(ticket, 16) >= FIRST_ID


def post_head(number: int, fields: bytes = b"") -> bytes:
    """Return the head of a request without its end."""
    return b"POST /call/lookup HTTP/1.1\r\nHost: c\r\nX-Request-Id: %016x\r\nX-Timeout-Ms: 2000\r\n%b" % (
        FIRST_ID + number,
        fields,
    )


def _small_posts(number: int) -> bytes:
    requests = []
    for sequence in range(number * FLOOD_CALLS, (number + 1) * FLOOD_CALLS):
        statement = b"SELECT 1 FROM calls_%d.notes" % sequence
        fields = b"Content-Length: %d\r\n\r\n" % len(statement)
        requests.append(post_head(sequence, fields) + statement)
    return b"".join(requests)


def _fields(number: int, value: bytes) -> bytes:
    return b"".join(b"f%d: %b\r\n" % (field, value) for field in range(number))


_LENGTH = b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_INPUTS: dict[CrowdKind, Callable[[int], bytes]] = {
    CrowdKind.SILENT: lambda _: b"",
    CrowdKind.HALF_BODY: lambda number: post_head(number, _LENGTH) + b"x" * (MAX_BODY_BYTES - 500),
    CrowdKind.SMALL_CHUNKS: lambda number: post_head(number, _CHUNKED) + b"2\r\nab\r\n" * 27_000,
    CrowdKind.SLOW_BODY: lambda number: post_head(number, _LENGTH) + b"x" * (MAX_BODY_BYTES - 500),
    CrowdKind.SHORT_FIELDS: lambda number: post_head(number, _fields(59, b"1")),
    CrowdKind.SAME_FIELDS: lambda number: post_head(number) + b"a:1\r\n" * 3_200,
    CrowdKind.WIDE_HEAD: lambda number: post_head(number, _fields(56, b"v" * 240) + _LENGTH) + b"x" * 65_000,
    CrowdKind.PING_FLOOD: lambda _: b"GET /ping HTTP/1.1\r\n\r\n" * FLOOD_CALLS,
    CrowdKind.POST_FLOOD: _small_posts,
    CrowdKind.UNREAD_FLOOD: lambda _: b"GET /ping HTTP/1.1\r\n\r\n" * FLOOD_CALLS,
    CrowdKind.INVALID_FLOOD: lambda _: b"NO CALL\r\n\r\n" * FLOOD_CALLS,
    CrowdKind.TDS_HALF_LOGIN: lambda _: _tds_packets(PRELOGIN_TYPE, 2, TDS_PACKET_BYTES),
    CrowdKind.TDS_EMPTY_PACKETS: lambda _: _tds_packets(PRELOGIN_TYPE, FLOOD_CALLS, 0),
}


def _tds_packets(kind: int, packet_count: int, body_bytes: int) -> bytes:
    """Return packets of one message without its end."""
    length = 8 + body_bytes
    return (bytes((kind, 0)) + length.to_bytes(2, "big") + bytes(4) + b"x" * body_bytes) * packet_count


class CrowdClient:
    """One client of a crowd; it counts its connections."""

    def __init__(self, port: int, kind: CrowdKind, numbers: Iterator[int]) -> None:
        self.connections = 0
        self._port = port
        self._kind = kind
        self._numbers = numbers

    async def run(self) -> None:
        """Connect and send until cancelled."""
        while True:
            with suppress(OSError):
                await self._connect_once()
            await asyncio.sleep(RECONNECT_S)

    async def _connect_once(self) -> None:
        reader, writer = await asyncio.open_connection(HOST, self._port)
        self.connections += 1
        try:
            if self._kind in FLOODS:
                await self._flood(reader, writer)
            else:
                await self._send_part(reader, writer)
        finally:
            writer.close()

    async def _send_part(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        data = _INPUTS[self._kind](next(self._numbers))
        if self._kind is CrowdKind.SLOW_BODY:
            for start in range(0, len(data), SLOW_PIECE_BYTES):
                writer.write(data[start : start + SLOW_PIECE_BYTES])
                await asyncio.sleep(SLOW_INTERVAL_S)
        else:
            writer.write(data)
        while await reader.read(READ_BYTES):
            pass

    async def _flood(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        reading = None
        if self._kind is not CrowdKind.UNREAD_FLOOD:
            reading = asyncio.create_task(_discard(reader))
        try:
            while not (writer.is_closing() or (reading is not None and reading.done())):
                writer.write(_INPUTS[self._kind](next(self._numbers)))
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            if reading is not None:
                reading.cancel()


async def _discard(reader: asyncio.StreamReader) -> None:
    with suppress(OSError):
        while await reader.read(READ_BYTES):
            pass


class Crowd:
    """A number of clients of one kind, which run from `start` to `close`."""

    def __init__(self, port: int, kind: CrowdKind, connections: int, first_number: int = 0) -> None:
        numbers = count(first_number)
        self.clients = [CrowdClient(port, kind, numbers) for _ in range(connections)]
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start all clients."""
        self._tasks = [asyncio.create_task(client.run()) for client in self.clients]

    async def close(self) -> None:
        """Stop all clients and close their connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def connections(self) -> int:
        """Number of connections made so far."""
        return sum(client.connections for client in self.clients)


async def play(port: int, kind: CrowdKind, connections: int, seconds: float) -> int:
    """Play a crowd for some seconds; return the number of connections that it made."""
    crowd = Crowd(port, kind, connections)
    crowd.start()
    await asyncio.sleep(seconds)
    await crowd.close()
    return crowd.connections


def play_datagrams(port: int, message: Callable[[int], bytes], seconds: float) -> int:
    """Send datagrams to a loopback port at full speed for some seconds; return their number."""
    sent = 0
    until_s = time.monotonic() + seconds
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.connect((HOST, port))
        while time.monotonic() < until_s:
            with suppress(OSError):
                sender.send(message(sent))
            sent += 1
    return sent


def main() -> None:
    """Play the crowd that the command line names, and print the number of its connections."""
    port, kind, connections, seconds = sys.argv[1:5]
    print(asyncio.run(play(int(port), CrowdKind(kind), int(connections), float(seconds))))


if __name__ == "__main__":
    main()
