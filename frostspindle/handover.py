"""The limit on open requests of each of the two processes of an upgrade.

Both share one limit, as clients hold no more connections than that for the two of them. The process that drains keeps
what it has open: the other one starts with nothing open and needs its share only as work comes, while what it rejects
was waiting for its turn. Without I/O or clock.
"""

from __future__ import annotations

MIN_SERVING_SHARE = 0.2  # of the whole limit, which the process that goes on serving has in any case
# Fixed shares where the other process does not tell what it has open (an older version, several workers).
FIXED_SERVING_SHARE = 0.6
FIXED_DRAINING_SHARE = 0.4


def open_request_limit(total: int, other_open: int | None, is_draining: bool) -> int:
    """Return how many requests this process may have open, of `total` for both.

    `other_open` is what the other process has open, None if it does not tell; `is_draining`: this is the one that ends.
    Before either ends, each may have what the other does not use.
    """
    if other_open is None:
        return int(total * (FIXED_DRAINING_SHARE if is_draining else FIXED_SERVING_SHARE))
    min_serving = int(total * MIN_SERVING_SHARE)
    if is_draining:
        return max(0, total - max(other_open, min_serving))
    return max(min_serving, total - other_open)
