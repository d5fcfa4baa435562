"""The lease manager of a running coordinator: its timer, its commands on the replicated log, and its listeners.

Runs in the event loop and never blocks it on the log. `holder.LeaseHolder` makes all lease decisions. This module
passes it the time, applied entries and outcomes, and proposes its commands, one at a time apart from an operator's
releases.

Log lines: `owner_took`, `owner_lost`, `owner_released`, `owner_refused` and `owner_acted`, one per event, have task,
token, holder, action, accepted and `at`, ms of CLOCK_BOOTTIME (read by lab/history.py). `lease_candidacy_delayed` (with
the reason) and `lease_candidacy_started` tell when this coordinator stops and starts to be a candidate for its tasks.
"""

from __future__ import annotations

import asyncio
import re
import secrets
import time
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from itertools import groupby
from typing import Any

from frostspindle.ownership import lease_table
from frostspindle.ownership.holder import LeaseHolder
from frostspindle.ownership.lease import Lease, LeaseListener
from frostspindle.ownership.lease_state import CommandOutcome, LeaseChanged
from frostspindle.ownership.timing import LeaseSettings
from frostspindle.replica.base import LogUnavailableError, OutcomeUnknownError, ReplicatedLog
from frostspindle.telemetry import Telemetry

TOPIC = "owners"
TICK_S = 0.05  # below timing.MAX_OBSERVED_STEP_MS, so that a candidate's observed time keeps up with the clock
FORCE_TIMEOUT_S = 2.0
LEAVE_TIMEOUT_S = 0.5
MAX_REJECTIONS = 32  # latest rejections shown to operators
MAX_ROWS_SHOWN = 1_000
MAX_SINGLE_LINES = 16  # more simultaneous changes than this are combined in log lines
MAX_CHANGES_PER_LINE = 256
_NAME = re.compile(lease_table.NAME_PATTERN)


def clock() -> float:
    """Return CLOCK_BOOTTIME in ms: monotonic, and advances while the process or the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class LeaseManager:
    """Implements lease.LeaseProvider; must be created before the log starts, as it attaches its topic."""

    def __init__(
        self,
        log: ReplicatedLog,
        name: str,
        settings: LeaseSettings,
        telemetry: Telemetry,
        busy: Callable[[], str] = lambda: "",
        now: Callable[[], float] = clock,
        seed: int | None = None,
    ) -> None:
        """`busy` returns why this coordinator must not acquire leases now, or an empty string if it may."""
        if not _NAME.match(name):
            raise ValueError(f"a coordinator's name needs 1 to 64 printable ASCII characters: {name!r:.80}")
        self.log: ReplicatedLog = log
        self.name: str = name
        self.settings: LeaseSettings = settings
        self.telemetry: Telemetry = telemetry
        self.busy: Callable[[], str] = busy
        self.now: Callable[[], float] = now
        self.on_change: list[LeaseListener] = []
        self.accepted_actions: int = 0
        self.rejected_actions: int = 0
        self.rejections: deque[dict[str, Any]] = deque(maxlen=MAX_REJECTIONS)
        self.table = lease_table.LeaseTable()
        incarnation = secrets.randbits(52)
        if seed is None:
            seed = secrets.randbits(60)
        self.holder = LeaseHolder(name, incarnation, settings, self.table, seed, now())
        self._leases: dict[str, Lease] = {}
        self._proposals: set[asyncio.Task[None]] = set()
        self._timer_task: asyncio.Task[None] | None = None
        self._logged_wait_reason: str | None = None
        self._closed: bool = False
        log.attach(TOPIC, self.table)
        log.watch(TOPIC, self._on_applied)

    # For users of leases.

    def add_candidacy(self, task: str, weight: float = 1.0) -> None:
        """See LeaseProvider; a task's name has 1 to 64 printable ASCII characters without spaces."""
        if not _NAME.match(task):
            raise ValueError(f"a task's name needs 1 to 64 printable ASCII characters: {task!r:.80}")
        self.holder.add_candidacy(task, weight)

    def withdraw_candidacy(self, task: str) -> None:
        """See LeaseProvider; if the lease was held, the listeners are called before this returns."""
        self.holder.withdraw_candidacy(task)
        self._publish_changes()

    def lease(self, task: str) -> Lease | None:
        """Return the task's lease after checking the clock, or None if this process does not hold it now."""
        lease = self._leases.get(task)
        return lease if lease is not None and lease.holds() else None

    def record_rejection(self, task: str, token: int, action: str, highest: int) -> None:
        """Count and log an action that a receiver rejected as stale; the latest ones are shown to operators."""
        self.rejected_actions += 1
        self.telemetry.count("owner_refused")
        rejection = {"task": task, "token": token, "action": action, "highest": highest}
        rejection["at_unix"] = round(time.time(), 3)
        self.rejections.append(rejection)
        self._log_event("owner_refused", task, token, action, False, highest=highest)

    def record_action(self, task: str, token: int, action: str, receiver: str) -> None:
        """Count and log an action that a receiver accepted under a token, or, like an engine, can't reject."""
        self.accepted_actions += 1
        self._log_event("owner_acted", task, token, action, True, receiver=receiver)

    # Timer and log.

    def start(self) -> None:
        """Start the timer that proposes commands every TICK_S; needs a running event loop."""
        self._timer_task = asyncio.create_task(self._run_timer())

    async def _run_timer(self) -> None:
        while True:
            try:
                self._tick()
            except Exception as error:  # noqa: BLE001 - the next tick retries
                self._report_fault(error)
            await asyncio.sleep(TICK_S)

    def _tick(self) -> None:
        now = self.now()
        wait_reason = self.busy()
        if not wait_reason and self.log.leader is None:
            wait_reason = "no known leader"
        self._log_candidacy(wait_reason)
        command = self.holder.next_command(now, not wait_reason)
        self._publish_changes()
        if command is not None and self.holder.pending is not None:
            self._spawn(self._propose(self.holder.pending.number, command))

    def _log_candidacy(self, wait_reason: str) -> None:
        if wait_reason == self._logged_wait_reason or not self.holder.ranks:
            return
        self._logged_wait_reason = wait_reason
        tasks = len(self.holder.ranks)
        if wait_reason:
            self.telemetry.log("lease_candidacy_delayed", holder=self.name, why=wait_reason, wants=tasks)
        else:
            self.telemetry.log("lease_candidacy_started", holder=self.name, wants=tasks)

    async def _propose(self, number: int, command: bytes) -> None:
        outcome = CommandOutcome.APPLIED
        try:
            await self.log.propose(TOPIC, command, self.settings.command_timeout_ms / 1000.0)
        except LogUnavailableError:
            outcome = CommandOutcome.NOT_APPENDED
        except OutcomeUnknownError:
            outcome = CommandOutcome.UNKNOWN
        finally:
            self.holder.on_outcome(self.now(), number, outcome)
        if not self._closed:
            self._tick()

    def _on_applied(self, index: int, command: bytes, result: bytes) -> None:
        self.holder.on_applied(self.now(), command, result)
        self._publish_changes()

    # Changes of leases.

    def _publish_changes(self) -> None:
        """Notify the listeners of the holder's changes in order, and log them."""
        changes = self.holder.changes
        self.holder.changes = []
        for change in changes:
            lease = self._update_lease(change)
            for listener in self.on_change:
                listener(change.task, lease)
        for event, group in groupby(changes, _event_of):
            self._log_changes(event, list(group))

    def _update_lease(self, change: LeaseChanged) -> Lease | None:
        """Return the task's lease after this change."""
        if not change.held:
            self._leases.pop(change.task, None)
            return None
        lease = self._leases.get(change.task)
        if lease is None or lease.token != change.token:
            lease = Lease(change.task, change.token, self._lease_check(change))
            self._leases[change.task] = lease
        return lease

    def _lease_check(self, change: LeaseChanged) -> Callable[[], bool]:
        def holds() -> bool:
            held = not self._closed and self.holder.holds(change.task, change.token, self.now())
            if self.holder.changes:
                self._publish_changes()
            return held

        return holds

    def _log_changes(self, event: str, changes: list[LeaseChanged]) -> None:
        action = event.removeprefix("owner_")
        if len(changes) <= MAX_SINGLE_LINES:
            for change in changes:
                reason = {"why": change.reason} if change.reason else {}
                self._log_event(event, change.task, change.token, action, True, at=round(change.at, 3), **reason)
            return
        for start in range(0, len(changes), MAX_CHANGES_PER_LINE):
            chunk = changes[start : start + MAX_CHANGES_PER_LINE]
            rows = [[change.task, change.token, round(change.at, 3)] for change in chunk]
            self.telemetry.log(event, holder=self.name, action=action, accepted=True, many=rows)

    def _log_event(self, event: str, task: str, token: int, action: str, accepted: bool, **more: Any) -> None:
        fields: dict[str, Any] = {
            "task": task,
            "token": token,
            "holder": self.name,
            "action": action,
            "accepted": accepted,
            "at": round(self.now(), 3),
        }
        self.telemetry.log(event, **(fields | more))

    # Tasks of the event loop.

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._proposals.add(task)
        task.add_done_callback(self._on_proposal_done)

    def _on_proposal_done(self, task: asyncio.Task[None]) -> None:
        self._proposals.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._report_fault(error)

    def _report_fault(self, error: BaseException) -> None:
        self.telemetry.count("faults")
        self.telemetry.log("exception_caught", error=repr(error), of="owners")

    # Operators.

    def figures(self) -> dict[str, Any]:
        """Return the lease table as applied here and counters, for operators; MAX_ROWS_SHOWN rows at most.

        `left_ms` is the time until the expiry of this process's leases, and until others may be acquired here.
        """
        now = self.now()
        self.holder.advance_clock(now)
        self._publish_changes()
        holders = Counter(row.holder for row in self.table.rows.values())
        free = sorted(task for task in self.holder.ranks if task not in self.table.rows)
        return {
            "name": self.name,
            "leader": self.log.leader,
            "index": self.log.index,
            "waits": self._logged_wait_reason or "",
            "wants": len(self.holder.ranks),
            "tasks": len(self.table.rows),
            "holders": dict(sorted(holders.items())),
            "free": free[:MAX_ROWS_SHOWN],
            "owners": self._row_figures(now),
            "refused": self.rejected_actions,
            "acted": self.accepted_actions,
            "refusals": list(self.rejections),
            "counts": dict(sorted(self.holder.counts.items())),
        }

    def _row_figures(self, now: float) -> list[dict[str, Any]]:
        rows = sorted(self.table.rows.items())[:MAX_ROWS_SHOWN]
        waits = self.holder.remaining_wait_ms([task for task, _ in rows])
        figures = []
        for task, row in rows:
            held_lease = self.holder.leases.get(task)
            left_ms = waits.get(task, 0.0) if held_lease is None else max(0.0, held_lease.expires_at - now)
            figures.append(
                {
                    "task": task,
                    "holder": row.holder,
                    "token": row.token,
                    "renewals": row.renewals,
                    "lease_ms": row.duration_ms,
                    "left_ms": round(left_ms, 1),
                    "here": held_lease is not None,
                    "forced": row.forced,
                }
            )
        return figures

    def force(self, task: str) -> dict[str, Any] | None:
        """Propose an operator's release and return the affected grant, or None if the task has no holder."""
        row = self.table.rows.get(task)
        command = self.holder.force(task)
        if row is None or command is None:
            return None
        self._spawn(self._propose_force(task, row, command))
        return {"task": task, "holder": row.holder, "token": row.token}

    async def _propose_force(self, task: str, row: lease_table.LeaseRow, command: bytes) -> None:
        fields: dict[str, Any] = {"task": task, "token": row.token, "holder": row.holder}
        try:
            await self.log.propose(TOPIC, command, FORCE_TIMEOUT_S)
        except (LogUnavailableError, OutcomeUnknownError) as error:
            fields["error"] = str(error)
        self.telemetry.log("lease_release_forced", **fields)

    # Shutdown.

    async def close(self) -> None:
        """End all leases here, then release them in the table within LEAVE_TIMEOUT_S; further calls have no effect."""
        if self._closed:
            return
        command = self.holder.leave()
        self._publish_changes()
        self._closed = True
        if self._timer_task is not None:
            self._timer_task.cancel()
        if self.holder.number > 1 and self.log.leader is not None:
            try:
                await self.log.propose(TOPIC, command, LEAVE_TIMEOUT_S)
            except (LogUnavailableError, OutcomeUnknownError) as error:
                self.telemetry.log("leases_released", holder=self.name, error=str(error))
        for task in list(self._proposals):
            task.cancel()


def _event_of(change: LeaseChanged) -> str:
    """Return the name of the log event of a change."""
    if change.held:
        return "owner_took"
    if change.reason.startswith("released"):
        return "owner_released"
    return "owner_lost"
