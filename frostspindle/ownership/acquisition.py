"""Which tasks a candidate requests now: those that are free, or whose lease is over for certain. No I/O.

Candidates spread their requests: by their rank for the task, and the later the more leases they hold. Times are watched
time of the `RowObserver`, in ms.
"""

from __future__ import annotations

import math
from collections.abc import Set

from frostspindle.ownership.lease_table import Acquisition, LeaseTable
from frostspindle.ownership.observation import RowObserver
from frostspindle.ownership.rebalancing import Bidder, leases_by_holder
from frostspindle.ownership.timing import LeaseSettings

RANK_PART = 0.5  # of the spread, by which a rank of 1 delays a request
LOAD_SPREADS = 4.0  # of delay for as many leases more than the mean as the mean; one lease at most
MAX_ACQUISITIONS = 64  # of one command: when many tasks fall free, all candidates get some


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
        self._cooldowns: dict[str, float] = {}  # time until which a task is not requested
        self._settled_at: float = 0.0

    def on_candidacy(self) -> None:
        """Note that this process is a candidate from now on: it waits for the other ones, once."""
        self._settled_at = self._observer.watched_ms + self._settings.spread

    def cool_down(self, task: str, duration_ms: float) -> None:
        """Do not request a task for so long."""
        self._cooldowns[task] = self._observer.watched_ms + duration_ms

    def select(self, ranks: dict[str, float], excluded: Set[str]) -> list[Acquisition]:
        """Return the tasks to request, longest due first, of those that this process has a rank for."""
        watched_ms = self._observer.watched_ms
        if watched_ms < self._observer.next_due:
            return []
        due_tasks = self._due_tasks(ranks, excluded)
        if not due_tasks:
            return []
        self._observer.next_due = watched_ms  # tasks that are not requested now are due at once
        held = leases_by_holder(self._table)
        holders = len({*held, self._name})
        mean = sum(held.values()) / holders
        excess = held[self._name] - mean
        acquisitions: list[Acquisition] = []
        for due, task in sorted(due_tasks):
            if due + self._load_delay_ms(excess, mean) > watched_ms or len(acquisitions) == MAX_ACQUISITIONS:
                break
            acquisitions.append((task, *self._observer.rows[task].version))
            excess += (holders - 1) / holders
        return acquisitions

    def _load_delay_ms(self, excess: float, mean: float) -> float:
        """Return the delay of a process that holds so many leases more than the mean."""
        delay_ms = LOAD_SPREADS * self._settings.spread * excess / (mean + LOAD_SPREADS)
        return min(float(self._settings.lease_ms), max(0.0, delay_ms))

    def _due_tasks(self, ranks: dict[str, float], excluded: Set[str]) -> list[tuple[float, str]]:
        """Return since when each task is due that may be requested now, and note when the next one is."""
        due_tasks: list[tuple[float, str]] = []
        self._observer.next_due = math.inf
        for task, rank in ranks.items():
            if task in excluded or task not in self._observer.rows:
                continue
            due = self._due(task, rank)
            if due <= self._observer.watched_ms:
                due_tasks.append((due, task))
            else:
                self._observer.due_by(due)
        return due_tasks

    def _due(self, task: str, rank: float) -> float:
        """Return the time from which a task may be requested."""
        spread = self._settings.spread
        rank_delay_ms = min(spread, RANK_PART * spread * rank)
        due = self._observer.rows[task].since
        is_free = task not in self._table.rows
        if not (is_free and self._bidder.has_bid_for(task)):  # otherwise its holder released it for this process
            due = due + rank_delay_ms + self._observer.takeover_wait_ms(task)
        return max(due, self._settled_at + rank_delay_ms, self._cooldowns.get(task, -math.inf))
