"""Proofs of incarnations: each incarnation carries a value that only the member itself can compute.

Uses a hash chain (Lamport, 1981): a process generates a secret; the proof of its incarnation k is the secret hashed
CHAIN_LENGTH - k times. With the proof of one incarnation, any later one can be verified by hashing, but only the owner
can compute a later one. No I/O; the secret is never sent or logged.
"""

from __future__ import annotations

from hashlib import blake2b

from frostspindle.fleet.errors import ChainExhaustedError
from frostspindle.fleet.wire import PROOF_BYTES

CHAIN_LENGTH = 16_384  # incarnations of one process, which cannot refute suspicions after the last one
MAX_SKIPPED = 1_024  # incarnations that may be missed between two claims; each costs one hash to verify
CHECKPOINT_STRIDE = 128  # the owner stores every 128th value of its chain


def _hash_repeatedly(value: bytes, times: int) -> bytes:
    for _ in range(times):
        value = blake2b(value, digest_size=PROOF_BYTES).digest()
    return value


class IncarnationChain:
    """The owner's hash chain, which computes the proofs of its incarnations."""

    def __init__(self, secret: bytes, length: int = CHAIN_LENGTH) -> None:
        self.length = length
        self._checkpoints = [_hash_repeatedly(secret, 1)]  # hashed 1, 1 + CHECKPOINT_STRIDE, ... times
        while len(self._checkpoints) * CHECKPOINT_STRIDE < length + 1:
            self._checkpoints.append(_hash_repeatedly(self._checkpoints[-1], CHECKPOINT_STRIDE))

    def proof(self, incarnation: int) -> bytes:
        """Return the proof of an incarnation from 0 to `length`. Raise ChainExhaustedError for any other."""
        if not 0 <= incarnation <= self.length:
            raise ChainExhaustedError("the incarnation is not covered by the hash chain")
        checkpoint, remainder = divmod(self.length - incarnation, CHECKPOINT_STRIDE)
        return _hash_repeatedly(self._checkpoints[checkpoint], remainder)


def is_successor(known: int, known_proof: bytes, claimed: int, claimed_proof: bytes) -> bool:
    """Return whether the owner of a known incarnation also created the claimed one.

    Return False if it is older, or more than MAX_SKIPPED later.
    """
    skipped = claimed - known
    return 0 <= skipped <= MAX_SKIPPED and _hash_repeatedly(claimed_proof, skipped) == known_proof
