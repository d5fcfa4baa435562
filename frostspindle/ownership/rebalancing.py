"""Evening out the number of leases between coordinators, by bids and gifts. No I/O; times are watched time in ms.

A process that holds too little bids: it requests a task that another holds as if it were free. The table refuses that
while the task is held, and all read it in the log. The holder releases the task if it holds more than the bidder by a
margin (`rebalance_margin`), has renewed it MIN_RENEWALS times, and has given away no more than MAX_MOVES in this lease;
the bidder acquires what falls free by it at once. Each move brings the two nearer by more than the next could undo, so
none goes back, and no task is released for which nobody else is a candidate. Safety is not affected: a row is gone only
after its holder has stopped.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable

from frostspindle.ownership.lease_table import NO_VERSION, Acquisition, LeaseTable, RenewLeases

MIN_MARGIN = 2.0
MARGIN_PART = 0.1  # of the mean number of leases
MAX_MOVES = 16  # bids of one command, a command of them a lease, and gifts a lease
MIN_RENEWALS = 9  # what was renewed less often is kept, and not bid for: about three leases
MAX_BID_INTERVAL_LEASES = 8.0


def rebalance_margin(tasks: int, holders: int) -> float:
    """Return by how many leases two holders may differ before some are moved: a part of the mean."""
    return max(MIN_MARGIN, MARGIN_PART * tasks / max(1, holders))


def leases_by_holder(table: LeaseTable) -> Counter[str]:
    """Return the number of leases of each holder."""
    return Counter(row.holder for row in table.rows.values())


class Bidder:
    """The bids of one process. A process that gets nothing by them bids more and more seldom: its bids may reach one
    with a greater weight, or that does not hear them."""

    def __init__(self, name: str, table: LeaseTable, lease_ms: float, rng: random.Random) -> None:
        self.number: int = -1  # of the last command with bids
        self._name: str = name
        self._table: LeaseTable = table
        self._lease_ms: float = lease_ms
        self._rng: random.Random = rng
        self._tasks: set[str] = set()  # of the last bids, as far as not won
        self._next_at: float = 0.0
        self._interval_leases: float = 1.0

    def postpone(self, until: float) -> None:
        """Bid for nothing before this time."""
        self._next_at = max(self._next_at, until)

    def is_due(self, watched_ms: float) -> bool:
        """Whether it is time for the next bids."""
        return watched_ms >= self._next_at

    def has_bid_for(self, task: str) -> bool:
        """Whether the last bids had this task, and it was not acquired since."""
        return task in self._tasks

    def on_acquired(self, task: str) -> None:
        """Note that a task was acquired; if it was bid for, the next bids come soon."""
        if task in self._tasks:
            self._tasks.discard(task)
            self._interval_leases = 1.0

    def bid(self, number: int, ranks: dict[str, float], watched_ms: float, max_items: int) -> list[Acquisition]:
        """Choose the bids of the command with this number, best ranks first."""
        bids = self._choose(ranks, watched_ms)[:max_items]
        self._tasks = {task for task, _, _ in bids}
        self.number = number
        return bids

    def _choose(self, ranks: dict[str, float], watched_ms: float) -> list[Acquisition]:
        held = leases_by_holder(self._table)
        own = held[self._name]
        margin = rebalance_margin(len(self._table.rows), len({*held, self._name}))
        self._next_at = watched_ms + self._lease_ms * self._interval_leases * self._rng.uniform(0.8, 1.0)
        if max(held.values(), default=0) - own < margin:
            self._interval_leases = 1.0
            return []
        bids: list[Acquisition] = []
        for _, task in sorted((rank, task) for task, rank in ranks.items() if task in self._table.rows):
            row = self._table.rows[task]
            if row.holder == self._name or row.renewals < MIN_RENEWALS or held[row.holder] - own < margin:
                continue
            bids.append((task, *NO_VERSION))
            held[row.holder] -= 1
            own += 1
            if len(bids) == MAX_MOVES:
                break
        if bids:
            self._interval_leases = min(MAX_BID_INTERVAL_LEASES, 2.0 * self._interval_leases)
        return bids


class GiftLimiter:
    """Which tasks a holder gives away to bidders, MAX_MOVES a lease at most."""

    def __init__(self, table: LeaseTable, lease_ms: float) -> None:
        self._table: LeaseTable = table
        self._lease_ms: float = lease_ms
        self._given: int = 0
        self._period_began: float = -math.inf

    def choose(
        self, bidder: str, tasks: Iterable[str], own_leases: int, weights: dict[str, float], watched_ms: float
    ) -> list[str]:
        """Return the tasks to give to a bidder, of those that it bid for and this process holds."""
        if watched_ms >= self._period_began + self._lease_ms:
            self._given = 0
            self._period_began = watched_ms
        held = leases_by_holder(self._table)
        margin = rebalance_margin(len(self._table.rows), len({*held, bidder}))
        theirs = held[bidder]
        gifts: list[str] = []
        for task in tasks:
            weight = weights.get(task, 1.0)
            excess = own_leases / max(1.0, weight) - theirs
            if self._given < MAX_MOVES and excess >= margin and self._table.rows[task].renewals >= MIN_RENEWALS:
                gifts.append(task)
                self._given += 1
                own_leases -= 1
                theirs += 1
        return gifts


def bids_of(command: RenewLeases, acquired: list[bool]) -> list[str]:
    """Return the tasks that a command requested as if they were free and did not get."""
    return [
        task
        for (task, *version), done in zip(command.acquisitions, acquired, strict=False)
        if not done and tuple(version) == NO_VERSION
    ]
