"""Mutual authentication of two members by a shared secret, and the checksums of the frames that follow.

The handshake uses keyed BLAKE2b (RFC 7693) as in any challenge and response (ISO 9798-4): the dialling end sends its
id, the id that it wants and 16 random bytes; the accepting end answers 16 random bytes and a proof over all that; the
dialling end sends its own proof. Ids: a voter's name, or `~name` of a follower. The secret is never sent or logged.
"""

from __future__ import annotations

import asyncio
import hmac
import os
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b

from frostspindle.replica.base import ReplicaError

HELLO_MAGIC = b"FSL1"
MAX_HELLO_BYTES = 512
NONCE_BYTES = 16
PROOF_BYTES = 32
CHECKSUM_BYTES = 16

# Labels that keep the proofs and keys of the two ends and directions apart.
_ACCEPTOR_PROOF = b"answers"
_DIALLER_PROOF = b"dials"
_DIALLER_TO_ACCEPTOR = b"to"
_ACCEPTOR_TO_DIALLER = b"from"


class LinkRefusedError(ReplicaError):
    """A connection was closed on purpose: `why`, one word for the counter, then a text that is safe to log."""

    def __init__(self, why: str, text: str = "") -> None:
        super().__init__(f"{why}: {text}" if text else why)
        self.why: str = why


def proof(secret: bytes, label: bytes, hello: bytes, nonce: bytes) -> bytes:
    """Return a keyed BLAKE2b of 32 bytes over a label, the hello and the accepting end's nonce.

    With the labels of the handshake it proves knowledge of the secret, with those of a direction it is that direction's
    key.
    """
    key = blake2b(secret, digest_size=32).digest()
    return blake2b(label + hello + nonce, key=key, digest_size=PROOF_BYTES).digest()


class FrameChecksums:
    """Checksums of one direction's frames, numbered, so that none can be left out, repeated, changed or inserted."""

    def __init__(self, key: bytes) -> None:
        self._key: bytes = key
        self._number: int = 0

    def next(self, payload: bytes) -> bytes:
        """Return the checksum of the direction's next frame, CHECKSUM_BYTES long, and advance the frame's number."""
        self._number += 1
        return blake2b(self._number.to_bytes(8, "big") + payload, key=self._key, digest_size=CHECKSUM_BYTES).digest()


@dataclass(slots=True, frozen=True)
class Session:
    """The result of a handshake."""

    peer: str
    outgoing: FrameChecksums
    incoming: FrameChecksums


async def dial(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, secret: bytes, own_id: str, peer: str
) -> Session:
    """Run the dialling end of the handshake; LinkRefusedError if the peer does not prove the secret."""
    client_nonce = os.urandom(NONCE_BYTES).hex().encode()
    hello = b"\0".join((HELLO_MAGIC, own_id.encode(), peer.encode(), client_nonce))
    writer.write(len(hello).to_bytes(2, "big") + hello)
    answer = await reader.readexactly(NONCE_BYTES + PROOF_BYTES)
    nonce = answer[:NONCE_BYTES]
    if not hmac.compare_digest(answer[NONCE_BYTES:], proof(secret, _ACCEPTOR_PROOF, hello, nonce)):
        raise LinkRefusedError("not_proved", f"who answers for {peer} does not know the secret")
    writer.write(proof(secret, _DIALLER_PROOF, hello, nonce))
    return Session(
        peer,
        outgoing=FrameChecksums(proof(secret, _DIALLER_TO_ACCEPTOR, hello, nonce)),
        incoming=FrameChecksums(proof(secret, _ACCEPTOR_TO_DIALLER, hello, nonce)),
    )


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    secret: bytes,
    is_acceptable: Callable[[str, str], bool],
) -> Session:
    """Run the accepting end of the handshake.

    `is_acceptable(peer, wanted)`: whether this peer may connect to the id that it wants, asked after it has proved the
    secret. LinkRefusedError for a malformed hello, a wrong proof or a peer that is not acceptable.
    """
    hello = await _read_hello(reader)
    peer, wanted = _parse_hello(hello)
    nonce = os.urandom(NONCE_BYTES)
    writer.write(nonce + proof(secret, _ACCEPTOR_PROOF, hello, nonce))
    answer = await reader.readexactly(PROOF_BYTES)
    if not hmac.compare_digest(answer, proof(secret, _DIALLER_PROOF, hello, nonce)):
        raise LinkRefusedError("not_proved")
    if not is_acceptable(peer, wanted):
        raise LinkRefusedError("unknown", f"{peer!r:.80} wants {wanted!r:.80}")
    return Session(
        peer,
        outgoing=FrameChecksums(proof(secret, _ACCEPTOR_TO_DIALLER, hello, nonce)),
        incoming=FrameChecksums(proof(secret, _DIALLER_TO_ACCEPTOR, hello, nonce)),
    )


async def _read_hello(reader: asyncio.StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(2), "big")
    if not 0 < length <= MAX_HELLO_BYTES:
        raise LinkRefusedError("hello", "of another length")
    return await reader.readexactly(length)


def _parse_hello(hello: bytes) -> tuple[str, str]:
    """Return the peer's id and the id that it wants."""
    parts = hello.split(b"\0")
    if len(parts) != 4 or parts[0] != HELLO_MAGIC:
        raise LinkRefusedError("hello", "of another form")
    try:
        return parts[1].decode("ascii"), parts[2].decode("ascii")
    except UnicodeDecodeError:
        raise LinkRefusedError("hello", "of another form") from None
