"""Mutual authentication of two members by a shared secret, and the checksums of the frames that follow.

The handshake is a challenge-response exchange (ISO 9798-4) with keyed BLAKE2b (RFC 7693). The dialling end sends its
id, the id of its target and 16 random bytes. The accepting end responds with 16 random bytes and a proof over all of
these. The dialling end then sends its own proof. An id is a voter's name, or `~name` for a follower. The secret is
never sent or logged.
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

# Labels that make the proofs and keys of the two ends and directions different.
_ACCEPTOR_PROOF = b"answers"
_DIALLER_PROOF = b"dials"
_DIALLER_TO_ACCEPTOR = b"to"
_ACCEPTOR_TO_DIALLER = b"from"


class LinkRefusedError(ReplicaError):
    """A connection was rejected: `reason` is one word for the counter, `text` is safe to log."""

    def __init__(self, reason: str, text: str = "") -> None:
        super().__init__(f"{reason}: {text}" if text else reason)
        self.reason: str = reason


def proof(secret: bytes, label: bytes, hello: bytes, nonce: bytes) -> bytes:
    """Return a keyed BLAKE2b of 32 bytes over a label, the hello and the accepting end's nonce.

    With a handshake label it proves knowledge of the secret; with a direction's label it is the key of that direction.
    """
    key = blake2b(secret, digest_size=32).digest()
    return blake2b(label + hello + nonce, key=key, digest_size=PROOF_BYTES).digest()


class FrameChecksums:
    """Checksums over the numbered frames of one direction, which detect lost, repeated, changed and inserted frames."""

    def __init__(self, key: bytes) -> None:
        self._key: bytes = key
        self._number: int = 0

    def next(self, payload: bytes) -> bytes:
        """Return the checksum of the next frame, CHECKSUM_BYTES long, and advance the frame number."""
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
    """Run the dialling end of the handshake. Raise LinkRefusedError if the peer does not prove the secret."""
    client_nonce = os.urandom(NONCE_BYTES).hex().encode()
    hello = b"\0".join((HELLO_MAGIC, own_id.encode(), peer.encode(), client_nonce))
    writer.write(len(hello).to_bytes(2, "big") + hello)
    response = await reader.readexactly(NONCE_BYTES + PROOF_BYTES)
    nonce = response[:NONCE_BYTES]
    if not hmac.compare_digest(response[NONCE_BYTES:], proof(secret, _ACCEPTOR_PROOF, hello, nonce)):
        raise LinkRefusedError("not_proved", f"the process responding as {peer} does not know the secret")
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

    `is_acceptable(peer, target)` is called after the peer has proved the secret, and returns whether it may connect to
    this target id. Raise LinkRefusedError for a malformed hello, a wrong proof or a peer that is not acceptable.
    """
    hello = await _read_hello(reader)
    peer, target = _parse_hello(hello)
    nonce = os.urandom(NONCE_BYTES)
    writer.write(nonce + proof(secret, _ACCEPTOR_PROOF, hello, nonce))
    response = await reader.readexactly(PROOF_BYTES)
    if not hmac.compare_digest(response, proof(secret, _DIALLER_PROOF, hello, nonce)):
        raise LinkRefusedError("not_proved")
    if not is_acceptable(peer, target):
        raise LinkRefusedError("unknown", f"{peer!r:.80} requested {target!r:.80}")
    return Session(
        peer,
        outgoing=FrameChecksums(proof(secret, _ACCEPTOR_TO_DIALLER, hello, nonce)),
        incoming=FrameChecksums(proof(secret, _DIALLER_TO_ACCEPTOR, hello, nonce)),
    )


async def _read_hello(reader: asyncio.StreamReader) -> bytes:
    length = int.from_bytes(await reader.readexactly(2), "big")
    if not 0 < length <= MAX_HELLO_BYTES:
        raise LinkRefusedError("hello", "invalid length")
    return await reader.readexactly(length)


def _parse_hello(hello: bytes) -> tuple[str, str]:
    """Return the peer's id and its target's id."""
    fields = hello.split(b"\0")
    if len(fields) != 4 or fields[0] != HELLO_MAGIC:
        raise LinkRefusedError("hello", "malformed")
    try:
        return fields[1].decode("ascii"), fields[2].decode("ascii")
    except UnicodeDecodeError:
        raise LinkRefusedError("hello", "malformed") from None
