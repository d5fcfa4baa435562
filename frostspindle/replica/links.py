"""Connections between members: TCP, a hello that both ends prove a shared secret in, then frames with a keyed sum each.

Owns sockets, hellos, frames, their bounds, and who is connected as whom. It must never unpickle, never hand on a byte
of who has not proved the secret, and never log the secret or what is in a frame.

Hello, HMAC-like by keyed BLAKE2b (RFC 7693) as in any challenge and response (ISO 9798-4): the dialler sends its id,
whom it wants and 16 random bytes; the other answers 16 random bytes and a proof over all that; the dialler sends its
own proof. Ids: a voter's name, or `~name` of a follower. A frame: its length (4 bytes), 16 bytes of sum over its
number and payload under a key of this connection and direction, its payload (wire.message_out, or nothing, which
says: still here). Whatever is out of form, too long, late or not proved ends its connection with a count and a log
line.
"""

from __future__ import annotations

import asyncio
import hmac
import os
import random
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from hashlib import blake2b
from typing import Any

from frostspindle.replica import wire

HELLO = b"FSL1"
HELLO_S = 2.0
SILENT_S = 2.0  # without a frame: the connection is given up
HERE_S = 0.5  # so often each end says that it is there
AGAIN_S = (0.1, 0.4)  # between tries to connect, drawn
STRANGERS = 32  # connections that have not proved the secret yet
MOST_OUT = 32 << 20  # bytes that wait for one peer
MOST_IN = 32 << 20  # bytes of messages that wait for the member; then nothing is read
MOST_HELLO = 512
SUM = 16


class LinkRefusedError(Exception):
    """A connection was closed on purpose: `why`, one word for the counter, then a text that is safe to log."""

    def __init__(self, why: str, text: str = "") -> None:
        super().__init__(f"{why}: {text}" if text else why)
        self.why = why


def proof(secret: bytes, who: bytes, hello: bytes, nonce: bytes) -> bytes:
    """Return a keyed BLAKE2b of 32 bytes over a label, the hello and the answer's nonce.

    With the labels of the hello it proves knowledge of the secret, with those of a direction it is that direction's
    key.
    """
    return blake2b(who + hello + nonce, key=blake2b(secret, digest_size=32).digest(), digest_size=32).digest()


class FrameChecksums:
    """Checksums of one direction's frames, numbered, so that none can be left out, repeated, changed or inserted."""

    def __init__(self, key: bytes) -> None:
        self._key, self._number = key, 0

    def next(self, payload: bytes) -> bytes:
        """Return the sum of the direction's next frame, SUM bytes; each call advances the frame's number."""
        self._number += 1
        return blake2b(self._number.to_bytes(8, "big") + payload, key=self._key, digest_size=SUM).digest()


class MemberLink:
    """One connection whose peer has proved that it knows the secret."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: str,
        here: FrameChecksums,
        there: FrameChecksums,
    ) -> None:
        self.reader, self.writer, self.peer, self._here, self._there = reader, writer, peer, here, there

    def send(self, payload: bytes) -> bool:
        """Queue a frame; False, and nothing is queued, if more than MOST_OUT bytes would wait."""
        if self.writer.transport.get_write_buffer_size() + len(payload) > MOST_OUT:
            return False
        self.writer.write(len(payload).to_bytes(4, "big") + self._here.next(payload))
        if payload:
            self.writer.write(payload)
        return True

    async def receive(self) -> bytes:
        """Return the next frame's payload, empty for a heartbeat.

        Refused for a wrong sum or length, TimeoutError after SILENT_S of silence, OSError or IncompleteReadError when
        the connection ends.
        """
        async with asyncio.timeout(SILENT_S):
            head = await self.reader.readexactly(4 + SUM)
            length = int.from_bytes(head[:4], "big")
            if length > wire.MOST_FRAME:
                raise LinkRefusedError("too_long", f"{length} bytes")
            payload = await self.reader.readexactly(length)
        if not hmac.compare_digest(self._there.next(payload), head[4:]):
            raise LinkRefusedError("sum")
        return payload


class MemberLinks:
    """All connections of one member; `up`, `down` and `heard` are called in the event loop."""

    def __init__(
        self,
        name: str,
        secret: bytes,
        up: Callable[[str], None],
        down: Callable[[str], None],
        heard: Callable[[str, dict[str, Any], int], None],
        knows: Callable[[str], bool],
        room: Callable[[], bool],
        note: Callable[..., None],
    ) -> None:
        """Start sending heartbeats; a running event loop is needed.

        `knows`: whether this id may connect now; `note(event, **fields)` logs; `room`: whether more may be read.
        """
        self.name, self._secret, self.note = name, secret, note
        self._up, self._down, self._heard, self._knows, self._room = up, down, heard, knows, room
        self.id = name
        self.links: dict[str, MemberLink] = {}
        self.counted: Counter[str] = Counter()
        self._server: asyncio.Server | None = None
        self._dials: dict[str, asyncio.Task[None]] = {}
        self._served: set[asyncio.Task[Any]] = set()
        self._strangers = 0
        self._here = asyncio.create_task(self._say_here())

    async def listen(self, host: str, port: int) -> int:
        """Accept connections at an address; return the port, as chosen by the system if it was 0. OSError."""
        self._server = await asyncio.start_server(self._accept, host, port, limit=1 << 17)
        return int(self._server.sockets[0].getsockname()[1])

    def aim(self, ident: str, targets: dict[str, str]) -> None:
        """Be `ident` from now on and keep connections to these voters, by name `IP:PORT`.

        With another id than before, all connections end first. Of two voters the one with the lower name dials.
        """
        if ident != self.id:
            for peer in list(self.links):
                self.drop(peer)
            for task in self._dials.values():
                task.cancel()
            self._dials.clear()
        self.id = ident
        wanted = {
            name: at
            for name, at in targets.items()
            if at and name != self.name and (ident.startswith("~") or ident < name)
        }
        for name in self._dials.keys() - wanted.keys():
            self._dials.pop(name).cancel()
        for name in wanted.keys() - self._dials.keys():
            self._dials[name] = asyncio.create_task(self._dial(name, wanted[name]))

    def send(self, peer: str, message: dict[str, Any]) -> None:
        """Send one of the library's messages to a peer; nothing happens if it is not connected.

        A message that can't be sent in one frame is counted and dropped. If too much waits for the peer, its connection
        ends.
        """
        link = self.links.get(peer)
        if link is None:
            return
        try:
            payload = wire.message_out(message)
            if len(payload) > wire.MOST_FRAME:
                raise ValueError
        except ValueError:
            self.counted["too_long"] += 1  # a fault of ours: nobody would read it
            return
        if not link.send(payload):
            self.counted["crowded"] += 1
            self.drop(peer)

    def drop(self, peer: str) -> None:
        """End a peer's connection, with a call of `down`; whichever end dials opens it anew."""
        link = self.links.pop(peer, None)
        if link is not None:
            link.writer.transport.abort()
            self._down(peer)

    async def close(self) -> None:
        """Stop listening, end all connections, each with a call of `down`, and wait until their tasks have ended."""
        self._here.cancel()
        if self._server is not None:
            self._server.close()
        for task in (*self._dials.values(), *self._served):
            task.cancel()
        for link in self.links.values():
            link.writer.transport.abort()
        await asyncio.gather(*self._dials.values(), *self._served, self._here, return_exceptions=True)
        self.links.clear()

    async def _say_here(self) -> None:
        while True:
            await asyncio.sleep(HERE_S)
            for peer, link in list(self.links.items()):
                if not link.send(b""):
                    self.drop(peer)

    async def _dial(self, name: str, at: str) -> None:
        host, _, port = at.rpartition(":")
        while True:
            try:
                async with asyncio.timeout(HELLO_S):
                    reader, writer = await asyncio.open_connection(host.strip("[]"), int(port), limit=1 << 17)
            except (OSError, TimeoutError):
                pass
            else:
                await self._serve(writer, self._greet(reader, writer, name))
            await asyncio.sleep(random.uniform(*AGAIN_S))

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._strangers >= STRANGERS:
            self.counted["strangers"] += 1
            writer.transport.abort()
            return
        task = asyncio.create_task(self._serve(writer, self._greeted(reader, writer)))
        self._served.add(task)
        task.add_done_callback(self._served.discard)

    async def _serve(self, writer: asyncio.StreamWriter, greeting: Any) -> None:
        """A connection from its hello to its end."""
        link = None
        self._strangers += 1
        try:
            try:
                async with asyncio.timeout(HELLO_S):
                    link = await greeting
            finally:
                self._strangers -= 1
            self.drop(link.peer)  # an older one: its other end has given it up, or will
            self.links[link.peer] = link
            self._up(link.peer)
            while True:
                payload = await link.receive()
                if payload:
                    try:
                        message = wire.message_in(payload)
                    except ValueError as error:
                        raise LinkRefusedError("spoilt", str(error)[:120]) from None
                    if self.links.get(link.peer) is link:
                        self._heard(link.peer, message, len(payload))
                    while not self._room():
                        await asyncio.sleep(0.005)
        except LinkRefusedError as error:
            self.counted[error.why] += 1
            self.note("replica_refused", why=str(error), peer=link.peer if link else _where(writer))
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.counted["unproved" if link is None else "broken"] += 1  # silent or gone before its proof; later
        finally:
            writer.transport.abort()
            if link is not None and self.links.get(link.peer) is link:
                del self.links[link.peer]
                self._down(link.peer)

    async def _greet(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str) -> MemberLink:
        hello = b"\0".join((HELLO, self.id.encode(), name.encode(), os.urandom(16).hex().encode()))
        writer.write(len(hello).to_bytes(2, "big") + hello)
        answer = await reader.readexactly(48)
        nonce, said = answer[:16], answer[16:]
        if not hmac.compare_digest(said, proof(self._secret, b"answers", hello, nonce)):
            raise LinkRefusedError("not_proved", f"who answers for {name} does not know the secret")
        writer.write(proof(self._secret, b"dials", hello, nonce))
        return MemberLink(
            reader,
            writer,
            name,
            FrameChecksums(proof(self._secret, b"to", hello, nonce)),
            FrameChecksums(proof(self._secret, b"from", hello, nonce)),
        )

    async def _greeted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> MemberLink:
        length = int.from_bytes(await reader.readexactly(2), "big")
        if not 0 < length <= MOST_HELLO:
            raise LinkRefusedError("hello", "of another length")
        hello = await reader.readexactly(length)
        parts = hello.split(b"\0")
        if len(parts) != 4 or parts[0] != HELLO:
            raise LinkRefusedError("hello", "of another form")
        try:
            peer, wanted = parts[1].decode("ascii"), parts[2].decode("ascii")
        except UnicodeDecodeError:
            raise LinkRefusedError("hello", "of another form") from None
        nonce = os.urandom(16)
        writer.write(nonce + proof(self._secret, b"answers", hello, nonce))
        if not hmac.compare_digest(await reader.readexactly(32), proof(self._secret, b"dials", hello, nonce)):
            raise LinkRefusedError("not_proved")
        if wanted != self.id or not self._knows(peer):
            raise LinkRefusedError("unknown", f"{peer!r:.80} wants {wanted!r:.80}")
        return MemberLink(
            reader,
            writer,
            peer,
            FrameChecksums(proof(self._secret, b"from", hello, nonce)),
            FrameChecksums(proof(self._secret, b"to", hello, nonce)),
        )


def _where(writer: asyncio.StreamWriter) -> str:
    with suppress(Exception):
        host, port, *_ = writer.get_extra_info("peername")
        return f"{host}:{port}"
    return "?"
