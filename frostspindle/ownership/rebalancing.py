"""Rebalancing of leases between coordinators by bids and transfers. No I/O; times are observed time in ms.

A process with too few leases bids: it requests a task of another holder as if the task were free. The table rejects the
request while the task has a holder, but all processes see it in the log. The holder releases the task if it has more
leases than the bidder by a margin (`rebalance_margin`), has renewed the task MIN_RENEWALS times, and has transferred
fewer than MAX_MOVES tasks in this lease duration. The bidder acquires the released task at once. Each move brings the
two closer by more than the next could undo, so moves do not oscillate, and a task without another candidate is never
released. Safety does not depend on this: a row is removed only after its holder has stopped.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable

from frostspindle.ownership.lease_table import NO_VERSION, Acquisition, LeaseTable, RenewLeases

MIN_MARGIN = 2.0
MARGIN_RATIO = 0.1  # fraction of the mean number of leases
MAX_MOVES = 16  # bids per command (one such command per lease duration), and transfers per lease duration
MIN_RENEWALS = 9  # a task with fewer renewals (about three lease durations) is neither bid for nor transferred
MAX_BID_INTERVAL_LEASES = 8.0  # in lease durations


def rebalance_margin(tasks: int, holders: int) -> float:
    """Return by how many leases two holders may differ before tasks are moved: a fraction of the mean."""
    return max(MIN_MARGIN, MARGIN_RATIO * tasks / max(1, holders))


def leases_by_holder(table: LeaseTable) -> Counter[str]:
    """Return the number of leases of each holder."""
    return Counter(row.holder for row in table.rows.values())


class Bidder:
    """Chooses the bids of one process. The interval between bids grows while they are unsuccessful: the holder may
    have a greater weight, or may not receive them."""

    def __init__(self, name: str, table: LeaseTable, lease_ms: float, rng: random.Random) -> None:
        self.number: int = -1  # number of the last command with bids
        self._name: str = name
        self._table: LeaseTable = table
        self._lease_ms: float = lease_ms
        self._rng: random.Random = rng
        self._tasks: set[str] = set()  # tasks of the last bids that were not acquired yet
        self._next_at: float = 0.0
        self._interval_leases: float = 1.0

    def postpone(self, until: float) -> None:
        """Place no bids before this time."""
        self._next_at = max(self._next_at, until)

    def is_due(self, observed_ms: float) -> bool:
        """Whether the next bids are due."""
        return observed_ms >= self._next_at

    def has_bid_for(self, task: str) -> bool:
        """Whether the last bids contained this task and it was not acquired since."""
        return task in self._tasks

    def on_acquired(self, task: str) -> None:
        """Record an acquisition; if the task was bid for, reset the interval between bids."""
        if task in self._tasks:
            self._tasks.discard(task)
            self._interval_leases = 1.0

    def bid(self, number: int, ranks: dict[str, float], observed_ms: float, max_items: int) -> list[Acquisition]:
        """Choose the bids of the command with this number, best ranks first."""
        bids = self._choose(ranks, observed_ms)[:max_items]
        self._tasks = {task for task, _, _ in bids}
        self.number = number
        return bids

    def _choose(self, ranks: dict[str, float], observed_ms: float) -> list[Acquisition]:
        lease_counts = leases_by_holder(self._table)
        own_leases = lease_counts[self._name]
        margin = rebalance_margin(len(self._table.rows), len({*lease_counts, self._name}))
        self._next_at = observed_ms + self._lease_ms * self._interval_leases * self._rng.uniform(0.8, 1.0)
        if max(lease_counts.values(), default=0) - own_leases < margin:
            self._interval_leases = 1.0
            return []
        bids: list[Acquisition] = []
        for _, task in sorted((rank, task) for task, rank in ranks.items() if task in self._table.rows):
            row = self._table.rows[task]
            if (
                row.holder == self._name
                or row.renewals < MIN_RENEWALS
                or lease_counts[row.holder] - own_leases < margin
            ):
                continue
            bids.append((task, *NO_VERSION))
            lease_counts[row.holder] -= 1
            own_leases += 1
            if len(bids) == MAX_MOVES:
                break
        if bids:
            self._interval_leases = min(MAX_BID_INTERVAL_LEASES, 2.0 * self._interval_leases)
        return bids


class TransferLimiter:
    """Chooses the tasks that a holder transfers to bidders, MAX_MOVES per lease duration at most."""

    def __init__(self, table: LeaseTable, lease_ms: float) -> None:
        self._table: LeaseTable = table
        self._lease_ms: float = lease_ms
        self._transferred: int = 0
        self._period_start: float = -math.inf

    def choose(
        self, bidder: str, tasks: Iterable[str], own_leases: int, weights: dict[str, float], observed_ms: float
    ) -> list[str]:
        """Return the tasks to transfer to a bidder; `tasks`: those that it bid for and this process holds."""
        if observed_ms >= self._period_start + self._lease_ms:
            self._transferred = 0
            self._period_start = observed_ms
        lease_counts = leases_by_holder(self._table)
        margin = rebalance_margin(len(self._table.rows), len({*lease_counts, bidder}))
        bidder_leases = lease_counts[bidder]
        transfers: list[str] = []
        for task in tasks:
            weight = weights.get(task, 1.0)
            excess = own_leases / max(1.0, weight) - bidder_leases
            if self._transferred < MAX_MOVES and excess >= margin and self._table.rows[task].renewals >= MIN_RENEWALS:
                transfers.append(task)
                self._transferred += 1
                own_leases -= 1
                bidder_leases += 1
        return transfers


def bids_of(command: RenewLeases, acquired: list[bool]) -> list[str]:
    """Return the tasks that a command requested as if they were free, without success."""
    return [
        task
        for (task, *version), is_acquired in zip(command.acquisitions, acquired, strict=False)
        if not is_acquired and tuple(version) == NO_VERSION
    ]
