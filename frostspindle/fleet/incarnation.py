"""Proofs of incarnations: each carries a value that only the member itself can have made.

Owns a hash chain (Lamport, 1981): a process draws a secret, its incarnation 0 carries the secret hashed LENGTH times,
incarnation k the secret hashed LENGTH - k times. Whoever knows one incarnation's value can check any later one by
hashing, and nobody but the owner can name a later one. It must never send or log the secret.
"""

from __future__ import annotations

from hashlib import blake2b

from frostspindle.fleet.wire import PROOF

LENGTH = 16_384  # incarnations of one process; past that it can't refute any more
LEAP = 1_024  # so many may be missed between two claims; a check costs a hash each
STRIDE = 128  # every so many values of the own chain are kept


def _step(value: bytes, times: int) -> bytes:
    for _ in range(times):
        value = blake2b(value, digest_size=PROOF).digest()
    return value


class IncarnationChain:
    """The owner's side of the hash chain: makes the proofs of its incarnations."""

    def __init__(self, secret: bytes, length: int = LENGTH) -> None:
        self.length = length
        self._marks = [_step(secret, 1)]  # hashed 1, 1 + STRIDE, ... times
        while len(self._marks) * STRIDE < length + 1:
            self._marks.append(_step(self._marks[-1], STRIDE))

    def proof(self, incarnation: int) -> bytes:
        """Return the proof of an incarnation from 0 to `length`; ValueError beyond."""
        if not 0 <= incarnation <= self.length:
            raise ValueError("the chain is used up")
        mark, rest = divmod(self.length - incarnation, STRIDE)
        return _step(self._marks[mark], rest)


def owned(known: int, known_proof: bytes, told: int, proof: bytes) -> bool:
    """Tell whether the owner of a known incarnation made the told one.

    False for one that is older, or more than LEAP later.
    """
    return 0 <= told - known <= LEAP and _step(proof, told - known) == known_proof
