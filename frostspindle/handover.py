"""The limit on open requests of each of the two processes of an upgrade.

Both share one limit, because clients open no more connections than that to the two of them together. The draining
process keeps its open requests: the other starts with none and needs its share only as requests arrive, whereas a
request that the draining process rejects has already waited in its queue. No I/O and no clock.
"""

from __future__ import annotations

MIN_SERVING_SHARE = 0.2  # of the limit, always available to the process that keeps serving
# Used if the other process does not report its open requests (an older version, or several workers).
FIXED_SERVING_SHARE = 0.6
FIXED_DRAINING_SHARE = 0.4


def open_request_limit(total: int, other_open: int | None, is_draining: bool) -> int:
    """Return how many requests this process may have open, of `total` for both.

    `other_open` is the number open in the other process, None if unknown; `is_draining` means that this process is the
    one shutting down. Until either shuts down, each may use what the other does not.
    """
    if other_open is None:
        return int(total * (FIXED_DRAINING_SHARE if is_draining else FIXED_SERVING_SHARE))
    min_serving = int(total * MIN_SERVING_SHARE)
    if is_draining:
        return max(0, total - max(other_open, min_serving))
    return max(min_serving, total - other_open)
