"""Division of a total among claimants: evenly, or max-min fairly by demand.

Workers and the coordinators of a fleet use the same rules.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping, Sequence
from typing import TypeVar

Key = TypeVar("Key", bound=Hashable)


def split_evenly(total: int, count: int) -> list[int]:
    """Divide `total` into `count` integers that differ by at most one."""
    base, remainder = divmod(total, max(1, count))
    return [base + (index < remainder) for index in range(count)]


def max_min_fair_shares(demands: Mapping[Key, int], total: int) -> dict[Key, int]:
    """Divide `total` max-min fairly: the smallest demands are met, the others share the rest evenly; ties by key."""
    shares = dict.fromkeys(demands, 0)
    remaining = total
    unmet = sorted(demands, key=lambda key: (demands[key], key))
    while unmet:
        key = unmet.pop(0)
        shares[key] = min(demands[key], remaining // (len(unmet) + 1))
        remaining -= shares[key]
    return shares


def max_min_fair_level(demands: Sequence[tuple[int, Key]], total: int) -> tuple[int, int, int]:
    """Return `max_min_fair_shares` for claimants sorted by demand and key, in compact form.

    The three numbers are the index of the first claimant that gets less than its demand, the share of it and those
    after it, and the index from which on each gets one more than that. Claimants before the first get their full
    demand.
    """
    remaining = total
    unmet = len(demands)
    for demand, _ in demands:
        if demand > remaining // unmet:
            base, remainder = divmod(remaining, unmet)
            return len(demands) - unmet, base, len(demands) - remainder
        remaining -= demand
        unmet -= 1
    return len(demands), 0, len(demands)
