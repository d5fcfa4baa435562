"""Division of a limit of the whole coordinator among its workers, repeated whenever workers start or end.

Decides how much of one limit (descriptors, memory, open requests, connections an engine) each worker may use. A quota
grows only by what is free of all quotas and of all use, so that no worker is given what another may still use. No I/O
and no enforcement: each worker keeps to its quota and publishes what it uses.
"""

from __future__ import annotations

from collections.abc import Mapping

from frostspindle.division import split_evenly

RESERVED_DESCRIPTORS = 12  # of a worker beside its connections


class LimitDivider:
    """The quotas of one limit, by slot."""

    def __init__(self, total: int, minimum: int = 0) -> None:
        self.total = total
        self.minimum = minimum  # a worker that has yet to start gets this much or nothing
        self.quotas: dict[int, int] = {}

    def divide(self, used: Mapping[int, int]) -> dict[int, int]:
        """Return the new quota of each live worker; 0 for one that has to wait until others have shrunk to theirs.

        `used`: what each live worker uses now. Invariant: the sum over workers of the greater of quota and use stays
        within the total, as long as each worker's use stays within the quota that it has received last.
        """
        self.quotas = {slot: quota for slot, quota in self.quotas.items() if slot in used}
        slots = sorted(used)
        target = dict(zip(slots, split_evenly(self.total, len(slots)), strict=True))
        for slot in slots:  # shrink first, to the target, but not below what is in use now
            quota = self.quotas.get(slot, 0)
            if quota > target[slot]:
                self.quotas[slot] = max(target[slot], min(quota, used[slot]))
        free = self.total - sum(max(self.quotas.get(slot, 0), used[slot]) for slot in slots)
        for slot in slots:
            quota = self.quotas.get(slot, 0)
            # A worker that has yet to start gets nothing rather than less than it can run with.
            growth = min(target[slot] - quota, free)
            if growth > 0 and quota + growth >= min(self.minimum, target[slot]):
                self.quotas[slot] = quota + growth
                free -= growth
            else:
                self.quotas.setdefault(slot, 0)
        return dict(self.quotas)


def memory_quota(total_mb: float, workers: int, supervisor_mb: float) -> float:
    """Return the megabytes of each worker, after those of the supervisor are subtracted.

    Memory that was used can't be reclaimed, so it is divided once, by the number of slots.
    """
    return (total_mb - supervisor_mb) / workers
