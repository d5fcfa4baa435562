"""Ranking of the candidates for a task by weighted rendezvous hashing, identical at every coordinator."""

from __future__ import annotations

import math
from hashlib import blake2b


def uniform_draw(task: str, holder: str) -> float:
    """Return a hash of task and holder as a number within (0, 1), uniformly distributed and the same everywhere."""
    digest = blake2b(f"{task}\0{holder}".encode(), digest_size=7).digest()
    return (int.from_bytes(digest, "big") + 1) / (2**56 + 1)


def rendezvous_rank(task: str, holder: str, weight: float) -> float:
    """Return a candidate's rank for a task; the candidate with the smallest rank should hold it.

    Weighted rendezvous hashing as an exponential race: among exponential variables with rates w, the i-th is the
    smallest with probability w_i / sum w.
    """
    return -math.log(uniform_draw(task, holder)) / weight
