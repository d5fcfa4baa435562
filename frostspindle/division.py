"""How a whole is divided among claimants: evenly, or max-min fairly by what each wants.

Workers and coordinators of a fleet share these rules. They do not know what is divided.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping, Sequence
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)


def split_evenly(whole: int, count: int) -> list[int]:
    """Divide `whole` into `count` whole numbers that differ by one at most."""
    base, remainder = divmod(whole, max(1, count))
    return [base + (index < remainder) for index in range(count)]


def max_min_fair_shares(wants: Mapping[Key, int], whole: int) -> dict[Key, int]:
    """Divide `whole` max-min fairly: the smallest wants are met, the others share the rest evenly; ties by key."""
    shares = dict.fromkeys(wants, 0)
    remaining = whole
    unserved = sorted(wants, key=lambda key: (wants[key], key))
    while unserved:
        key = unserved.pop(0)
        shares[key] = min(wants[key], remaining // (len(unserved) + 1))
        remaining -= shares[key]
    return shares


def max_min_fair_level(wants: Sequence[tuple[int, Key]], whole: int) -> tuple[int, int, int]:
    """Return `max_min_fair_shares` for claimants sorted by want and key, without a share for each.

    The three numbers are the index of the first claimant that gets less than it wants, the share of it and those after
    it, and the index from which on each gets one more than that. Those before the first get what they want.
    """
    remaining = whole
    unserved = len(wants)
    for want, _ in wants:
        if want > remaining // unserved:
            base, remainder = divmod(remaining, unserved)
            return len(wants) - unserved, base, len(wants) - remainder
        remaining -= want
        unserved -= 1
    return len(wants), 0, len(wants)
