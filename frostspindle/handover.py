"""How many requests each of the two processes of an upgrade may have open.

Owns the division of one bound that both must keep together, as clients hold no more connections than that for the
two of them. It must never take from the process that ends what it may keep: the other starts with nothing open and
needs its part only as work comes, while what is refused here was waiting for its turn. It does no I/O and reads no
clock.
"""

from __future__ import annotations

LEAST = 0.2  # part of the whole that the process that goes on may have in any case
# Where the other process does not tell what it has open (an older version, several workers): fixed parts.
STAYS, ENDS = 0.6, 0.4


def most_open(whole: int, theirs: int | None, ends: bool) -> int:
    """The most requests that this process may have open, of `whole` for both.

    `theirs` is what the other has open, None if it does not tell; `ends` says which of the two this one is. Before
    either ends, each may have what the other does not use.
    """
    if theirs is None:
        return int(whole * (ENDS if ends else STAYS))
    least = int(whole * LEAST)
    return max(0, whole - max(theirs, least)) if ends else max(least, whole - theirs)
