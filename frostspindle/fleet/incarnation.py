"""Proofs of incarnations: each incarnation number carries a value that only the member itself can have made.

A hash chain (Lamport, 1981): a process draws a secret; its incarnation 0 carries the secret hashed CHAIN_LENGTH times,
incarnation k the secret hashed CHAIN_LENGTH - k times. Whoever knows one incarnation's proof can check any later one by
hashing, and nobody but the owner can make a later one. No I/O; the secret is never sent or logged.
"""

from __future__ import annotations

from hashlib import blake2b

from frostspindle.fleet.errors import ChainExhaustedError
from frostspindle.fleet.wire import PROOF_BYTES

CHAIN_LENGTH = 16_384  # incarnations of one process; beyond that it can't refute any more
MAX_SKIPPED = 1_024  # incarnations that may be missed between two claims; a check costs one hash for each
STRIDE = 128  # the owner keeps one value of its chain out of so many


def _hash_repeatedly(value: bytes, times: int) -> bytes:
    for _ in range(times):
        value = blake2b(value, digest_size=PROOF_BYTES).digest()
    return value


class IncarnationChain:
    """The owner's side of the hash chain: makes the proofs of its incarnations."""

    def __init__(self, secret: bytes, length: int = CHAIN_LENGTH) -> None:
        self.length = length
        self._checkpoints = [_hash_repeatedly(secret, 1)]  # hashed 1, 1 + STRIDE, ... times
        while len(self._checkpoints) * STRIDE < length + 1:
            self._checkpoints.append(_hash_repeatedly(self._checkpoints[-1], STRIDE))

    def proof(self, incarnation: int) -> bytes:
        """Return the proof of an incarnation from 0 to `length`; ChainExhaustedError beyond."""
        if not 0 <= incarnation <= self.length:
            raise ChainExhaustedError("the chain is used up")
        checkpoint, remainder = divmod(self.length - incarnation, STRIDE)
        return _hash_repeatedly(self._checkpoints[checkpoint], remainder)


def is_successor(known: int, known_proof: bytes, claimed: int, claimed_proof: bytes) -> bool:
    """Tell whether the owner of a known incarnation also made the claimed one.

    False for one that is older, or more than MAX_SKIPPED later.
    """
    skipped = claimed - known
    return 0 <= skipped <= MAX_SKIPPED and _hash_repeatedly(claimed_proof, skipped) == known_proof
