"""How long this process has observed the rows of the lease table unchanged. No I/O; time steps are passed in.

Between two clock readings observed time advances by MAX_OBSERVED_STEP_MS at most, and not at all for a step back. One
clock jump thus can't shorten a candidate's wait by more than the MAX_OBSERVED_STEP_MS that is added to each wait.
Time that was not observed never counts.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from frostspindle.ownership import timing
from frostspindle.ownership.lease_table import NO_VERSION, LeaseTable


@dataclass(slots=True, frozen=True)
class ObservedRow:
    """The version of a row, and the time from which this process has observed it unchanged."""

    version: tuple[int, int]
    unchanged_from: float  # observed time, ms


class RowObserver:
    """Tracks the versions of the lease table's rows over observed time."""

    def __init__(self, table: LeaseTable, drift: float) -> None:
        self.observed_ms: float = 0.0
        self.rows: dict[str, ObservedRow] = {}  # by task
        self.next_due: float = math.inf  # observed time before which no task can be acquired
        self._table: LeaseTable = table
        self._drift: float = drift

    def advance(self, step_ms: float) -> None:
        """Add a step of the clock to the observed time, within its bounds."""
        self.observed_ms += min(max(step_ms, 0.0), timing.MAX_OBSERVED_STEP_MS)

    def add_due(self, due_ms: float) -> None:
        """Record that a task may be acquired at this observed time."""
        self.next_due = min(self.next_due, due_ms)

    def observe(self, task: str, is_candidate: bool) -> None:
        """Record the row's current version; rows without a holder are observed only by candidates for the task."""
        version = self._table.version(task)
        previous = self.rows.get(task)
        if version == NO_VERSION and not is_candidate:
            self.rows.pop(task, None)
        elif previous is None or previous.version != version:
            self.rows[task] = ObservedRow(version, self.observed_ms)
            self.add_due(self.observed_ms + self.takeover_wait_ms(task))

    def takeover_wait_ms(self, task: str) -> float:
        """Return how long the row must be observed unchanged before the task may be acquired; 0 without a holder."""
        row = self._table.rows.get(task)
        return 0.0 if row is None else timing.takeover_wait_ms(row.duration_ms, self._drift)

    def remaining_wait_ms(self, tasks: Iterable[str]) -> dict[str, float]:
        """Return the time in ms until this process may acquire each of these tasks that has a holder."""
        remaining = {}
        for task in tasks:
            observed = self.rows.get(task)
            if task in self._table.rows and observed is not None:
                unchanged_ms = self.observed_ms - observed.unchanged_from
                remaining[task] = max(0.0, self.takeover_wait_ms(task) - unchanged_ms)
        return remaining
