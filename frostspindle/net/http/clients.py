"""One client's connection: what it sends is parsed within bounds, its calls are answered in their order.

Owns the parser, the bounds of a head, a body and a line of calls, and how long the connection has been as it is. It
must never pass on what is not a whole and bounded call, never answer a call before those that came earlier, and never
close over an answer that is still to arrive. The parser is httptools (llhttp in its strict mode); this file only adds
bounds to it.
"""

from __future__ import annotations

import asyncio
import math
import select
from collections import deque
from typing import Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from frostspindle.events import Events
from frostspindle.net import fields as read
from frostspindle.net.fields import Refusal
from frostspindle.net.http.calls import FRONT, Slot
from frostspindle.net.http.places import BUSY, COMING, FRESH, IDLE, LEAVING

BODY = 64 * 1024  # the longest statement
URL, FIELD, FIELDS = 2048, 4096, 64  # the longest path and header, and how many headers
HEAD = 16 * 1024  # a head, from which the parser tells nothing before a header is whole
REQUEST = BODY + 128 * 1024  # the most bytes that one request may take on the wire, its head and chunks included
LINGER_BYTES = 64 << 20  # so much of what a refused client still sends is read and dropped
AHEAD = 16  # calls of one connection that are taken while earlier ones are not yet answered
_SINGLE = read.SINGLE | {b"host", b"content-encoding"}


class Front(Protocol):
    """What a connection needs of the front."""

    loop: asyncio.AbstractEventLoop
    events: Events
    clients: set[Client]

    @property
    def draining(self) -> bool: ...

    def joined(self, client: Client) -> None:
        """It is connected."""

    def call(self, slot: Slot, method: bytes, url: bytes, fields: dict[bytes, bytes], body: bytes) -> None:
        """A whole call; Refusal if it goes no further."""

    def gone(self, slot: Slot) -> None:
        """The connection of a call has ended."""


class Client(asyncio.Protocol):
    """One client's connection: its parser, its calls in line, and how long it has been as it is."""

    def __init__(self, front: Front) -> None:
        self.front, self.now = front, front.loop.time
        self.parser = HttpRequestParser(self)
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set before anything else is called
        self.line: deque[Slot] = deque()
        self.since = self.now()
        self.spoken = self.leaving = self.deaf = self.partial = self.headed = False
        self.awaited = False  # it was given a `next`, which only this process knows, and has not called it yet
        self.stuck_at = math.inf
        self.came = self.dropped = self.size = 0
        self.refusal: Refusal | None = None
        self.url = b""
        self.fields: dict[bytes, bytes] = {}
        self.body: list[bytes] = []

    def state(self) -> int:
        if self.leaving:
            return LEAVING
        if self.line:
            return BUSY
        if self.partial:
            return COMING
        return IDLE if self.spoken else FRESH

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.front.joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.front.clients.discard(self)
        self.leaving = self.deaf = True
        for slot in self.line:
            self.front.gone(slot)
        self.line.clear()

    def pause_writing(self) -> None:
        self.stuck_at = self.now()
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        self.stuck_at = math.inf
        self._read_on()

    def _read_on(self) -> None:
        if self.stuck_at == math.inf and len(self.line) < AHEAD and not self.transport.is_closing():
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        if self.deaf:  # refused: what still comes is only read so that the refusal arrives
            self.dropped += len(data)
            if self.dropped > LINGER_BYTES:
                self.transport.abort()
            return
        self.came += len(data)
        try:
            self.parser.feed_data(data)
            if self.came > (REQUEST if self.headed else HEAD):
                raise Refusal(413 if self.headed else 431, "the request is too long")
        except HttpParserUpgrade:
            self.refuse(Refusal(400, "no other protocol is spoken here"))
        except Refusal as refusal:
            self.refuse(refusal)
        except HttpParserError as error:  # a Refusal from below comes wrapped in one
            self.refuse(self.refusal or Refusal(400, f"unreadable: {error}"))
        if len(self.line) >= AHEAD:
            self.transport.pause_reading()

    def end(self) -> None:
        """Close a connection on which nothing is open, unless a call lies unread in the system."""
        unread = select.poll()
        unread.register(self.transport.get_extra_info("socket").fileno(), select.POLLIN)
        if not unread.poll(0):
            self.transport.close()

    def refuse(self, refusal: Refusal) -> None:
        """The last answer of this connection; nothing more of it is parsed."""
        self.deaf, self.partial = True, False
        self.front.events.count("bad_calls", FRONT)
        slot = Slot(self)
        self.line.append(slot)
        slot.reply(refusal.status, {"failure": refusal.text}, last=True)

    def flush(self) -> None:
        """Write the answers that are due, in order."""
        if self.transport is None or self.transport.is_closing():
            return
        out, last = [], False
        while self.line and self.line[0].data is not None and not last:
            slot = self.line.popleft()
            out.append(slot.data)
            last = slot.last
        if not out:
            return
        self.transport.write(b"".join(out))  # type: ignore[arg-type]
        if last:
            # Closing while the client still sends would reset the connection and could take the answer along.
            self.leaving = self.deaf = True
            self.since = self.now()
            self.transport.write_eof()
            self._read_on()
        elif not self.line:
            if not self.partial:
                self.since = self.now()
            self._read_on()

    # What the parser calls.

    def _stop(self, status: int, text: str) -> None:
        self.refusal = Refusal(status, text)
        raise self.refusal

    def on_message_begin(self) -> None:
        self.url, self.fields, self.body, self.size = b"", {}, [], 0
        self.partial, self.headed, self.awaited = True, False, False
        if self.spoken:
            self.since = self.now()

    def on_url(self, url: bytes) -> None:
        self.url += url
        if len(self.url) > URL:
            self._stop(414, "the path is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self.fields) >= FIELDS or len(name) + len(value) > FIELD:
            self._stop(431, "too many headers, or too long ones")
        name = name.lower()
        if name in self.fields and name in _SINGLE:
            self._stop(400, f"{name.decode().title()}: given twice")  # ours: one of _SINGLE
        self.fields[name] = value

    def on_headers_complete(self) -> None:
        self.headed = True
        if b"content-encoding" in self.fields and self.fields[b"content-encoding"] != b"identity":
            self._stop(415, "Content-Encoding: not taken here")
        length = self.fields.get(b"content-length", b"0")
        if len(length) > 6 or int(length) > BODY:  # the parser lets digits only through
            self._stop(413, "the statement is too long")
        if self.fields.get(b"expect", b"").lower() == b"100-continue" and not self.line:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, part: bytes) -> None:
        self.size += len(part)
        if self.size > BODY:
            self._stop(413, "the statement is too long")
        self.body.append(part)

    def on_message_complete(self) -> None:
        self.came, self.partial, self.spoken = 0, False, True
        slot = Slot(self)
        slot.last = self.deaf = not self.parser.should_keep_alive()
        self.line.append(slot)
        try:
            self.front.call(slot, self.parser.get_method(), self.url, self.fields, b"".join(self.body))
        except Refusal as refusal:
            self.line.remove(slot)
            self._stop(refusal.status, refusal.text)
        except Exception as error:  # noqa: BLE001 - a fault ends one call
            self.front.events.count("faults")
            self.front.events.log("fault", error=repr(error), of="call")
            slot.reply(500, {"failure": "Failed"}, last=True)
