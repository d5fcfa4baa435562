"""Selection of the tasks that a candidate requests now: free ones, and those whose lease has certainly expired. No I/O.

Candidates spread their requests over time: a candidate waits longer the worse its rank for the task is and the more
leases it holds. Times are the observed time of the `RowObserver`, in ms.
"""

from __future__ import annotations

import math
from collections.abc import Set

from frostspindle.ownership.lease_table import Acquisition, LeaseTable
from frostspindle.ownership.observation import RowObserver
from frostspindle.ownership.rebalancing import Bidder, leases_by_holder
from frostspindle.ownership.timing import LeaseSettings

RANK_DELAY_RATIO = 0.5  # delay of a request for a rank of 1, as a fraction of the spread
LOAD_DELAY_SPREADS = 4.0  # delay in spreads of a process with about twice the mean number of leases
MAX_ACQUISITIONS = 64  # per command, so that all candidates get a share when many tasks become free


class AcquisitionSelector:
    """Selects the tasks that one process requests."""

    def __init__(
        self, name: str, table: LeaseTable, settings: LeaseSettings, observer: RowObserver, bidder: Bidder
    ) -> None:
        self._name: str = name
        self._table: LeaseTable = table
        self._settings: LeaseSettings = settings
        self._observer: RowObserver = observer
        self._bidder: Bidder = bidder
        self._cooldowns: dict[str, float] = {}  # by task: the time before which it is not requested
        self._earliest_request: float = 0.0

    def on_candidacy(self) -> None:
        """Start a candidacy: requests wait for one spread, so that other starting candidates can take part."""
        self._earliest_request = self._observer.observed_ms + self._settings.spread

    def cool_down(self, task: str, duration_ms: float) -> None:
        """Suppress requests for a task for this duration."""
        self._cooldowns[task] = self._observer.observed_ms + duration_ms

    def select(self, ranks: dict[str, float], excluded: Set[str]) -> list[Acquisition]:
        """Return the tasks to request among those in `ranks`, longest due first."""
        observed_ms = self._observer.observed_ms
        if observed_ms < self._observer.next_due:
            return []
        due_tasks = self._due_tasks(ranks, excluded)
        if not due_tasks:
            return []
        self._observer.next_due = observed_ms  # due tasks that are not requested now stay due
        lease_counts = leases_by_holder(self._table)
        holders = len({*lease_counts, self._name})
        mean = sum(lease_counts.values()) / holders
        excess = lease_counts[self._name] - mean
        acquisitions: list[Acquisition] = []
        for due_ms, task in sorted(due_tasks):
            if due_ms + self._load_delay_ms(excess, mean) > observed_ms or len(acquisitions) == MAX_ACQUISITIONS:
                break
            acquisitions.append((task, *self._observer.rows[task].version))
            excess += (holders - 1) / holders
        return acquisitions

    def _load_delay_ms(self, excess: float, mean: float) -> float:
        """Return the request delay of a process that holds `excess` leases more than the mean, one lease at most."""
        delay_ms = LOAD_DELAY_SPREADS * self._settings.spread * excess / (mean + LOAD_DELAY_SPREADS)
        return min(float(self._settings.lease_ms), max(0.0, delay_ms))

    def _due_tasks(self, ranks: dict[str, float], excluded: Set[str]) -> list[tuple[float, str]]:
        """Return the tasks that may be requested now, each with its due time, and record when the next one is due."""
        due_tasks: list[tuple[float, str]] = []
        self._observer.next_due = math.inf
        for task, rank in ranks.items():
            if task in excluded or task not in self._observer.rows:
                continue
            due_ms = self._due_time(task, rank)
            if due_ms <= self._observer.observed_ms:
                due_tasks.append((due_ms, task))
            else:
                self._observer.add_due(due_ms)
        return due_tasks

    def _due_time(self, task: str, rank: float) -> float:
        """Return the time from which a task may be requested."""
        spread = self._settings.spread
        rank_delay_ms = min(spread, RANK_DELAY_RATIO * spread * rank)
        due_ms = self._observer.rows[task].unchanged_from
        is_free = task not in self._table.rows
        if not (is_free and self._bidder.has_bid_for(task)):  # otherwise its holder released it to this process
            due_ms = due_ms + rank_delay_ms + self._observer.takeover_wait_ms(task)
        return max(due_ms, self._earliest_request + rank_delay_ms, self._cooldowns.get(task, -math.inf))
