"""How long this process has watched the rows of the lease table unchanged. No I/O; time steps are passed in.

Watched time counts PATIENCE_MS at most between two looks at the clock and nothing for a step back, so that one jump
can't shorten a candidate's wait by more than the PATIENCE_MS that it waits besides. Time that was not watched never
counts.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from frostspindle.ownership import timing
from frostspindle.ownership.lease_table import NO_VERSION, LeaseTable


@dataclass(slots=True, frozen=True)
class ObservedRow:
    """The version of a row, and since when this process has watched it unchanged."""

    version: tuple[int, int]
    since: float  # watched time, ms


class RowObserver:
    """The rows of the lease table as this process has watched them."""

    def __init__(self, table: LeaseTable, drift: float) -> None:
        self.watched_ms: float = 0.0
        self.rows: dict[str, ObservedRow] = {}  # by task
        self.next_due: float = math.inf  # watched time before which no task can be acquired
        self._table: LeaseTable = table
        self._drift: float = drift

    def advance(self, step_ms: float) -> None:
        """Count a step of the clock as watched, as far as it counts."""
        self.watched_ms += min(max(step_ms, 0.0), timing.PATIENCE_MS)

    def due_by(self, due: float) -> None:
        """Note that a task may be acquired at this watched time."""
        self.next_due = min(self.next_due, due)

    def observe(self, task: str, is_candidate: bool) -> None:
        """Note the row's present version; rows without a holder are watched only by candidates for the task."""
        version = self._table.version(task)
        known = self.rows.get(task)
        if version == NO_VERSION and not is_candidate:
            self.rows.pop(task, None)
        elif known is None or known.version != version:
            self.rows[task] = ObservedRow(version, self.watched_ms)
            self.due_by(self.watched_ms + self.takeover_wait_ms(task))

    def takeover_wait_ms(self, task: str) -> float:
        """Return how long the row must be watched unchanged before the task may be acquired; 0 if nobody holds it."""
        row = self._table.rows.get(task)
        return 0.0 if row is None else timing.takeover_wait_ms(row.duration_ms, self._drift)

    def remaining_wait_ms(self, tasks: Iterable[str]) -> dict[str, float]:
        """Return, for tasks that have a holder, how long it is until this process may acquire them, in ms."""
        remaining = {}
        for task in tasks:
            observed = self.rows.get(task)
            if task in self._table.rows and observed is not None:
                watched_ms = self.watched_ms - observed.since
                remaining[task] = max(0.0, self.takeover_wait_ms(task) - watched_ms)
        return remaining
