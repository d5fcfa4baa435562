"""Division of a limit of the whole coordinator among its workers, repeated whenever workers start or exit.

Decides how much of one limit (descriptors, memory, open requests, connections per engine) each worker may use. A quota
grows only by units that are outside all quotas and unused, so that no unit is assigned to two workers. Nothing is
enforced here: each worker observes its quota and publishes its use. No I/O.
"""

from __future__ import annotations

from collections.abc import Mapping

from frostspindle.division import split_evenly

RESERVED_DESCRIPTORS = 12  # that a worker uses in addition to its connections


class LimitDivider:
    """The quotas of one limit, by slot."""

    def __init__(self, total: int, minimum: int = 0) -> None:
        self.total = total
        self.minimum = minimum  # a worker that has not started yet gets at least this or 0
        self.quotas: dict[int, int] = {}

    def divide(self, used: Mapping[int, int]) -> dict[int, int]:
        """Return the new quota of each live worker; 0 for one that must wait until others have reduced their use.

        `used` is the present use of each live worker. Invariant: the sum over workers of max(quota, use) does not
        exceed the total, as long as each worker's use does not exceed its latest quota.
        """
        self.quotas = {slot: quota for slot, quota in self.quotas.items() if slot in used}
        slots = sorted(used)
        target = dict(zip(slots, split_evenly(self.total, len(slots)), strict=True))
        for slot in slots:  # shrink first, to the target, but not below the present use
            quota = self.quotas.get(slot, 0)
            if quota > target[slot]:
                self.quotas[slot] = max(target[slot], min(quota, used[slot]))
        free = self.total - sum(max(self.quotas.get(slot, 0), used[slot]) for slot in slots)
        for slot in slots:
            quota = self.quotas.get(slot, 0)
            # A worker that has not started yet gets 0 rather than less than the minimum.
            growth = min(target[slot] - quota, free)
            if growth > 0 and quota + growth >= min(self.minimum, target[slot]):
                self.quotas[slot] = quota + growth
                free -= growth
            else:
                self.quotas.setdefault(slot, 0)
        return dict(self.quotas)


def memory_quota(total_mb: float, workers: int, supervisor_mb: float) -> float:
    """Return the memory limit of each worker in MB, after subtracting the supervisor's.

    A process can't give back memory, so the limit is divided once, by the number of slots.
    """
    return (total_mb - supervisor_mb) / workers
