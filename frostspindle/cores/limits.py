"""How a limit of the whole coordinator is divided among its workers, and divided anew when they come and go.

Owns who may use how much of one limit (descriptors, memory, open requests, connections an engine). It must never
give to one worker what another may still use: a share grows only by what is free of all shares and of all use. It
reads nothing and enforces nothing; a worker holds itself to its share and says what it uses.
"""

from __future__ import annotations

from collections.abc import Mapping

from frostspindle.division import split_evenly


class LimitDivider:
    """The shares of one limit, by slot."""

    def __init__(self, whole: int, least: int = 0) -> None:
        self.whole, self.least = whole, least
        self.shares: dict[int, int] = {}

    def step(self, used: Mapping[int, int]) -> dict[int, int]:
        """Return the new share of each live worker; 0 for one that has to wait until others have let go.

        `used`: what each live worker uses now. Invariant: the sum over workers of the greater of share and use stays
        within the whole, as long as each worker's use stays within the share that it was told last.
        """
        self.shares = {slot: share for slot, share in self.shares.items() if slot in used}
        slots = sorted(used)
        target = dict(zip(slots, split_evenly(self.whole, len(slots)), strict=True))
        for slot in slots:  # shrink first: to the target, but not under what is in use now
            share = self.shares.get(slot, 0)
            if share > target[slot]:
                self.shares[slot] = max(target[slot], min(share, used[slot]))
        free = self.whole - sum(max(self.shares.get(slot, 0), used[slot]) for slot in slots)
        for slot in slots:
            share = self.shares.get(slot, 0)
            # One that has yet to start gets nothing rather than less than it can run with.
            more = min(target[slot] - share, free)
            if more > 0 and share + more >= min(self.least, target[slot]):
                self.shares[slot] = share + more
                free -= more
            else:
                self.shares.setdefault(slot, 0)
        return dict(self.shares)


def memory_share(whole_mb: float, workers: int, supervisor_mb: float) -> float:
    """Return the megabytes of each worker, after the supervisor's own are taken off.

    Memory that was used can't be taken back, so it is divided once, by the number of slots.
    """
    return (whole_mb - supervisor_mb) / workers
