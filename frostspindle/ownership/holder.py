"""The lease decisions of one coordinator: which tasks it is a candidate for, what it requests, and when a lease ends.

No I/O and no clock: the caller passes the time of its monotonic clock (ms), applied entries and the outcomes of
proposed commands, and proposes the commands that are returned. A lease is never used past the expiry computed by
`timing`, and a task with another holder is requested only once that holder's lease has certainly expired.

Clock steps: for candidates see `observation`. A holder treats all its leases as expired, until they are renewed, after
a step back or a step greater than `LeaseSettings.step_ms`. This also covers a process that was suspended. It detects
the step late, so receivers reject by their fences what it sends before it checks the clock.
"""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Iterable

from frostspindle.ownership import lease_table, timing
from frostspindle.ownership.acquisition import AcquisitionSelector
from frostspindle.ownership.backoff import MAX_BACKOFF_MS, Backoff
from frostspindle.ownership.lease_state import CommandOutcome, HeldLease, LeaseChanged, PendingCommand
from frostspindle.ownership.lease_table import Acquisition, CommandResult, LeaseTable, RenewLeases
from frostspindle.ownership.observation import RowObserver
from frostspindle.ownership.ranking import rendezvous_rank
from frostspindle.ownership.rebalancing import Bidder, TransferLimiter, bids_of
from frostspindle.ownership.timing import RENEW_RATIO, LeaseSettings

MAX_WEIGHT = 1e6
FORCED_COOLDOWN_LEASES = 2.0  # lease durations without a request by this process after an operator's release
TRANSFER_COOLDOWN_SPREADS = 4.0  # spreads without a request by this process after a transfer to a bidder
MAX_OPEN_REQUESTS = 16  # commands without a known outcome whose request times are kept


class LeaseHolder:
    """Makes the lease decisions of one process.

    `table` is its copy of the lease table; entries are applied to it before `on_applied` is called.
    """

    def __init__(
        self, name: str, incarnation: int, settings: LeaseSettings, table: LeaseTable, seed: int, now: float
    ) -> None:
        self.name: str = name
        self.incarnation: int = incarnation
        self.settings: LeaseSettings = settings
        self.table: LeaseTable = table
        self.rng: random.Random = random.Random(seed)

        self.ranks: dict[
            str, float
        ] = {}  # by task with a candidacy here; the smallest rank of all candidates should win
        self.weights: dict[str, float] = {}
        self.leases: dict[str, HeldLease] = {}
        self.changes: list[LeaseChanged] = []  # drained by the service
        self.counts: Counter[str] = Counter()

        self.number: int = 0  # number of the last command
        self.pending: PendingCommand | None = None
        self._requested_at: dict[int, float] = {}  # by the number of the command
        self._releases: dict[str, int] = {}  # tokens to release, by task
        self._log_backoff: Backoff = Backoff()
        self._contention_backoff: Backoff = Backoff()  # after acquisitions lost to other candidates
        self._now: float = now
        self._observer: RowObserver = RowObserver(table, settings.drift)
        self._bidder: Bidder = Bidder(name, table, settings.lease_ms, self.rng)
        self._transfer_limiter: TransferLimiter = TransferLimiter(table, settings.lease_ms)
        self._selector: AcquisitionSelector = AcquisitionSelector(name, table, settings, self._observer, self._bidder)
        self._was_candidate: bool = False
        self._renew_ratio: float = RENEW_RATIO * self.rng.uniform(0.8, 1.0)
        self._leaving: bool = False
        # A process whose commands reach the log but that receives no entries from it must not block other candidates
        # by renewing leases that it can't use. After an unknown outcome it renews expired leases, and acquires new
        # ones, only once an entry was applied here again; an empty command probes for that.
        self._awaiting_log_entry: bool = False
        for task in table.rows:
            self._observe(task)

    # Clock.

    def advance_clock(self, now: float) -> None:
        """Advance the clock to `now` (ms) and end expired leases; to be called often, and before a lease is used."""
        self._step_clock(now)
        for task, lease in self.leases.items():
            if lease.announced and now >= lease.expires_at:
                self._announce_loss(task, lease, "over")

    def _step_clock(self, now: float) -> None:
        before = self._now
        step_ms = now - before
        self._now = now
        self._observer.advance(step_ms)
        if 0.0 <= step_ms <= self.settings.step_ms:
            return
        self.counts["clock_steps"] += 1
        for task, lease in self.leases.items():
            lease.expires_at = min(lease.expires_at, before)
            self._announce_loss(task, lease, "the clock stepped")
            lease.expires_at = -math.inf
        if step_ms < 0.0:  # request times from before a step back can't be compared with the clock any more
            self._requested_at.clear()
            self._log_backoff.limit(now + MAX_BACKOFF_MS)
            self._contention_backoff.limit(now + MAX_BACKOFF_MS)

    def holds(self, task: str, token: int, now: float) -> bool:
        """Return whether the task's lease is held under this token at `now`, in ms; called before each send.

        An expired lease is reported lost here, without waiting for the next `advance_clock`.
        """
        self._step_clock(now)
        lease = self.leases.get(task)
        if lease is None or lease.token != token:
            return False
        if now >= lease.expires_at:
            self._announce_loss(task, lease, "over")
        return now < lease.expires_at

    def _announce_loss(self, task: str, lease: HeldLease, reason: str) -> None:
        if lease.announced:
            lease.announced = False
            self.changes.append(LeaseChanged(task, lease.token, False, reason, min(self._now, lease.expires_at)))

    # Candidacy and releases.

    def add_candidacy(self, task: str, weight: float) -> None:
        """Become a candidate for a task, or change the weight of a candidacy; `next_command` requests the lease.

        Raise ValueError for more than MAX_TASKS tasks, or a weight outside (0, 1e6].
        """
        if task not in self.ranks and len(self.ranks) >= lease_table.MAX_TASKS:
            raise ValueError(f"{lease_table.MAX_TASKS} tasks are the limit")
        if not 0.0 < weight <= MAX_WEIGHT:
            raise ValueError(f"the weight must be above 0 and at most 1e6: {weight!r}")
        self.ranks[task] = rendezvous_rank(task, self.name, weight)
        self.weights[task] = weight
        self._observe(task)
        self._observer.add_due(self._observer.observed_ms)

    def withdraw_candidacy(self, task: str) -> None:
        """Withdraw a candidacy; a held lease ends here at once and is released with the next command."""
        self.ranks.pop(task, None)
        if task in self.leases:
            self._release(task)

    def leave(self) -> bytes:
        """End all leases of this process and return its last command, which releases them in the table."""
        self._leaving = True
        for task in list(self.leases):
            self._release(task)
        self.number += 1
        return lease_table.encode(lease_table.ReleaseAll(self.name, self.incarnation, self.number))

    def force(self, task: str) -> bytes | None:
        """Return the command of an operator's release of a task, or None if the task has no holder."""
        row = self.table.rows.get(task)
        if row is None:
            return None
        self.number += 1
        command = lease_table.ForceRelease(self.name, self.incarnation, self.number, task, row.token)
        return lease_table.encode(command)

    def _release(self, task: str, reason: str = "released") -> None:
        lease = self.leases.pop(task)
        self._announce_loss(task, lease, reason)
        self._releases[task] = lease.token

    # Applied entries.

    def on_applied(self, now: float, command: bytes, result: bytes) -> None:
        """Handle an entry that was applied to the table; an empty command means that a snapshot was restored."""
        self.advance_clock(now)
        self._awaiting_log_entry = False
        affected: Iterable[str] | None = None  # None: all tasks
        if command:
            decoded = lease_table.decode_command(command)
            if decoded is None:
                return
            affected = lease_table.affected_tasks(decoded)
            if isinstance(decoded, RenewLeases):
                self._on_renew_leases(decoded, lease_table.decode_result(result))
        if affected is None:
            affected = list({**self._observer.rows, **self.table.rows, **self.leases})
        for task in affected:
            self._on_row_changed(task)

    def _on_renew_leases(self, command: RenewLeases, result: CommandResult) -> None:
        if (command.holder, command.incarnation) == (self.name, self.incarnation):
            self._on_own_command_applied(command, result)
        else:
            self._on_bids(command, result)

    def _on_own_command_applied(self, command: RenewLeases, result: CommandResult) -> None:
        """Handle a command of this process that was applied, possibly long after its outcome was reported unknown."""
        requested_at = self._requested_at.pop(command.number, None)
        if result.reason:
            return
        for (task, _, _), acquired in zip(command.acquisitions, result.acquisitions, strict=True):
            self._on_acquisition(task, acquired, command, requested_at)
        for (task, token), renewed in zip(command.renewals, result.renewals, strict=True):
            self.counts["renewals" if renewed else "renewals_refused"] += 1
            if renewed:
                self._extend_lease(task, token, command, requested_at)
        if command.acquisitions and all(result.acquisitions):
            self._contention_backoff.on_success()
        elif 2 * sum(result.acquisitions) < len(command.acquisitions) and command.number != self._bidder.number:
            # Other candidates won, or the table is full. Counted once per command: counted per task, a single command
            # would cause a backoff of seconds.
            self._contention_backoff.on_failure(self._now, self.rng, MAX_BACKOFF_MS)

    def _on_acquisition(self, task: str, acquired: bool, command: RenewLeases, requested_at: float | None) -> None:
        row = self.table.rows.get(task)
        if acquired:
            self.counts["takes"] += 1
        elif command.number == self._bidder.number:
            self.counts["bids"] += 1
        else:
            self.counts["takes_refused"] += 1
        if acquired and row is not None:
            self.leases[task] = HeldLease(row.token, 0.0 if requested_at is None else requested_at, -math.inf)
            self._extend_lease(task, row.token, command, requested_at)
        if acquired:
            self._bidder.on_acquired(task)
        if task in self.leases and (task not in self.ranks or self._leaving):
            self._release(task)

    def _extend_lease(self, task: str, token: int, command: RenewLeases, requested_at: float | None) -> None:
        lease = self.leases.get(task)
        if lease is None or lease.token != token:
            return  # released meanwhile
        if requested_at is None:
            return  # the request time is unknown, so the lease counts as held only after another renewal
        lease.requested_at = requested_at
        lease.expires_at = timing.expiry_ms(requested_at, command.duration_ms, self.settings.drift)
        if self._now < lease.expires_at and not lease.announced:
            lease.announced = True
            self.changes.append(LeaseChanged(task, token, True, at=self._now))

    def _on_bids(self, command: RenewLeases, result: CommandResult) -> None:
        """Handle another process's bids for tasks that have a holder; see `rebalancing`."""
        bids = [task for task in bids_of(command, result.acquisitions) if task in self.leases]
        if not bids or self._leaving:
            return
        observed_ms = self._observer.observed_ms
        transfers = self._transfer_limiter.choose(command.holder, bids, len(self.leases), self.weights, observed_ms)
        for task in transfers:
            self._release(task, "released to even out")
            self._selector.cool_down(task, TRANSFER_COOLDOWN_SPREADS * self.settings.spread)
            self.counts["given"] += 1

    def _on_row_changed(self, task: str) -> None:
        self._observe(task)
        row = self.table.rows.get(task)
        lease = self.leases.get(task)
        if lease is not None and self._has_passed_on(row, lease):
            del self.leases[task]
            is_forced = row is not None and row.forced
            self._announce_loss(task, lease, "released by an operator" if is_forced else "passed on")
            if row is not None and row.token == lease.token and row.forced:
                # The lease is no longer used here, so release it: the next holder need not wait for its expiry.
                self._releases[task] = lease.token
                self._selector.cool_down(task, FORCED_COOLDOWN_LEASES * self.settings.lease_ms)
        released_token = self._releases.get(task)
        if released_token is not None and (row is None or row.token != released_token):
            del self._releases[task]
        if row is None or (row.holder, row.incarnation) != (self.name, self.incarnation):
            return
        if lease is None and task not in self._releases:
            self._releases[task] = row.token  # granted by a snapshot: the request time is unknown

    def _has_passed_on(self, row: lease_table.LeaseRow | None, lease: HeldLease) -> bool:
        if row is None or row.token != lease.token:
            return True
        return row.forced or row.incarnation != self.incarnation

    def _observe(self, task: str) -> None:
        self._observer.observe(task, is_candidate=task in self.ranks)

    # Commands.

    def next_command(self, now: float, is_candidate: bool) -> bytes | None:
        """Return the next command to propose, or None if none is due; pass its outcome to `on_outcome`.

        `is_candidate`: not draining, not recovering, and connected to the log; otherwise no lease is acquired. At most
        one command is pending.
        """
        self.advance_clock(now)
        self._update_candidacy(is_candidate)
        if self.pending is not None or now < self._log_backoff.until or self._leaving:
            return None
        releases = list(self._releases.items())[: lease_table.MAX_ITEMS]
        renewals = self._renewals(now)[: lease_table.MAX_ITEMS - len(releases)]
        capacity = lease_table.MAX_ITEMS - len(releases) - len(renewals)
        acquisitions: list[Acquisition] = []
        if is_candidate and not self._awaiting_log_entry and now >= self._contention_backoff.until and capacity:
            acquisitions = self._acquisitions_or_bids(capacity)
        is_log_probe = self._awaiting_log_entry and bool(self.ranks)
        if not (releases or renewals or acquisitions or is_log_probe):
            return None
        self._register_command(now)
        command = RenewLeases(
            self.name, self.incarnation, self.number, self.settings.lease_ms, acquisitions, renewals, releases
        )
        return lease_table.encode(command)

    def _update_candidacy(self, is_candidate: bool) -> None:
        if is_candidate and not self._was_candidate:
            self._selector.on_candidacy()
            self._bidder.postpone(self._observer.observed_ms + self.settings.lease_ms)
        self._was_candidate = is_candidate

    def _register_command(self, now: float) -> None:
        self.number += 1
        self.pending = PendingCommand(self.number, now)
        self._requested_at[self.number] = now
        while len(self._requested_at) > MAX_OPEN_REQUESTS:
            del self._requested_at[next(iter(self._requested_at))]

    def _renewals(self, now: float) -> list[tuple[str, int]]:
        """Return task and token of the leases to renew, most urgent first.

        Once one renewal is due, leases that will be due soon are renewed with it, so that one entry renews many.
        """
        renew_after_ms = self._renew_ratio * self.settings.lease_ms
        renew_early_after_ms = RENEW_RATIO * self.settings.lease_ms / 2.0
        renewable = {
            task: lease for task, lease in self.leases.items() if lease.expires_at > now or not self._awaiting_log_entry
        }
        if not any(
            now >= lease.requested_at + renew_after_ms or lease.expires_at <= now for lease in renewable.values()
        ):
            return []
        by_urgency = sorted(
            (lease.requested_at if lease.expires_at > now else -math.inf, task)
            for task, lease in renewable.items()
            if now >= lease.requested_at + renew_early_after_ms or lease.expires_at <= now
        )
        return [(task, self.leases[task].token) for _, task in by_urgency]

    def _acquisitions_or_bids(self, capacity: int) -> list[Acquisition]:
        excluded = self.leases.keys() | self._releases.keys()
        acquisitions = self._selector.select(self.ranks, excluded)[:capacity]
        if not acquisitions and self._bidder.is_due(self._observer.observed_ms):
            return self._bidder.bid(self.number + 1, self.ranks, self._observer.observed_ms, capacity)
        return acquisitions

    def on_outcome(self, now: float, number: int, outcome: CommandOutcome) -> None:
        """Handle the outcome of the proposed command with this number."""
        if self.pending is not None and self.pending.number == number:
            self.pending = None
        if outcome is CommandOutcome.APPLIED:
            self._log_backoff.on_success()
            self._awaiting_log_entry = False
            return
        if outcome is CommandOutcome.UNKNOWN:
            self.counts["uncertain"] += 1
            self._awaiting_log_entry = True
        else:
            self.counts["unavailable"] += 1
            self._requested_at.pop(number, None)
        # The backoff must not make a process that holds leases miss a renewal.
        max_backoff_ms = self.settings.lease_ms / 8.0 if self.leases else MAX_BACKOFF_MS
        self._log_backoff.on_failure(now, self.rng, max_backoff_ms)

    # For the service and operators.

    def held_leases(self, now: float) -> dict[str, HeldLease]:
        """Return this process's leases that have not expired at `now`, by task."""
        return {task: lease for task, lease in self.leases.items() if now < lease.expires_at}

    def remaining_wait_ms(self, tasks: Iterable[str]) -> dict[str, float]:
        """Return the time in ms until this process may acquire each of these tasks that has a holder."""
        return self._observer.remaining_wait_ms(tasks)
