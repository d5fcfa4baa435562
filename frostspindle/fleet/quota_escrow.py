"""Escrow of a budget's units: coordinators spend only units that they hold, and all holdings add up to the budget.

Based on escrow (O'Neil, 1986) and the bounded counter (Balegas et al., 2015): the units of a budget are divided
permanently among its homes and move only as loans. The units that a borrower may use (the grants that it has received,
minus its returns) never exceed the units that the lender counts as outstanding (its grants, minus the returns that it
has received). Unlike in the bounded counter, each loan is a lease:

    the borrower uses it only for `lease_ms` of its clock from the time at which it SENT its request;
    the lender reclaims it `lease_ms` * (1 + drift) / (1 - drift) after it ANSWERED, followed by a cooldown.

So units are recovered from a process that died or is partitioned, and a partition spends at most what it held. A unit
cools down for a window times (1 + drift) after each use, so it is used at most once in any window of real time, as long
as no clock deviates from real time by more than `drift`. A home that starts, possibly after a crash, does not know what
its predecessor lent or spent: its units cool down until every such loan and use must be over.

No I/O and no clock: all times are in ms of the local monotonic clock. How much to request or lend is decided in
`quota_flow`.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort

from frostspindle.fleet.errors import QuotaUnavailableError
from frostspindle.fleet.quota_loans import BorrowedQuota, LentQuota, LoanReference, ReturnedUnits
from frostspindle.fleet.quota_pool import QuotaPool

COOLDOWN_STEPS = 128  # per cooldown; a unit may cool down for up to one step longer than necessary


class QuotaAccount:
    """One coordinator's units of one budget: owned, lent and borrowed."""

    def __init__(
        self, owned: int, window_ms: float, lease_ms: float, drift: float, owned_at: float, last_loan: int = 0
    ) -> None:
        """`owned_at`: when the process took over the owned units; -inf if no predecessor can have lent or used any.
        `last_loan`: number of the last loan that this process made from an earlier account of this budget."""
        self.owned = owned
        self.lease_ms = lease_ms
        self.cooldown_ms = window_ms * (1.0 + drift)
        self.reclaim_ms = lease_ms * (1.0 + drift) / (1.0 - drift)
        self.granularity_ms = self.cooldown_ms / COOLDOWN_STEPS
        self.pool = QuotaPool()  # of the owned units
        self.pool.add_cooling(owned, owned_at + self.reclaim_ms + self.cooldown_ms, self.granularity_ms)
        # The lender's side.
        self.lent: dict[str, LentQuota] = {}  # by borrower
        self.abandoned: list[LentQuota] = []  # loans to replaced processes; they only expire
        self.claims: list[tuple[int, str]] = []  # units wanted and name of each borrower, sorted
        self.last_loan = last_loan
        # The borrower's side.
        self.borrowed: dict[str, BorrowedQuota] = {}  # by lender
        self.closed: dict[str, tuple[int, int]] = {}  # by lender: its epoch and the highest loan that has ended
        self.requested_at: dict[str, dict[int, float]] = {}  # by lender and sequence number of the request
        # Totals.
        self.spent = 0
        self.denied = 0
        self.expired = 0
        # Sums over the loans, and the next times at which units cool down or leases expire. They are cached, as they
        # are needed several times per message and there may be a loan with each home.
        self._lent_units = 0
        self._borrowed_units = 0
        self._borrowed_ready = 0
        self._update_at = -math.inf
        self._lent_expire_at = -math.inf

    # Use.

    @property
    def unlent(self) -> int:
        """Number of owned units that are not lent."""
        return self.owned - self._lent_units

    @property
    def total(self) -> int:
        """Number of units that may be used here, immediately or after their cooldown."""
        return self.owned - self._lent_units + self._borrowed_units

    @property
    def idle(self) -> bool:
        """Whether no units are lent, borrowed or cooling.

        An idle account can be dropped and later recreated, with `last_loan`, without losing state.
        """
        return not (self.lent or self.abandoned or self.borrowed or self.pool.cooling)

    def ready(self, now: float) -> int:
        """Return the number of units that can be used immediately, owned and borrowed.

        Loans whose lease has expired by `now` are closed first.
        """
        self._update(now)
        return self.pool.ready + self._borrowed_ready

    def spend(self, now: float, units: int) -> bool:
        """Spend `units`; return False, and spend none, if fewer are ready.

        Each unit then cools down for a window, extended by the drift.
        """
        self._update(now)
        if units > self.pool.ready + self._borrowed_ready:
            self.denied += units
            return False
        until = now + self.cooldown_ms
        self._update_at = min(self._update_at, until)
        from_owned = min(units, self.pool.ready)
        if from_owned:
            self.pool.spend(from_owned, until, self.granularity_ms)
        if units > from_owned:
            self._spend_borrowed(units - from_owned, until)
        self.spent += units
        return True

    def _spend_borrowed(self, units: int, until: float) -> None:
        self._borrowed_ready -= units
        for loan in self.borrowed.values():
            from_loan = min(units, loan.pool.ready)
            if from_loan:
                loan.pool.spend(from_loan, until, self.granularity_ms)
                units -= from_loan
                if not units:
                    return

    def _update(self, now: float) -> None:
        """Mark units as ready that have cooled down, and close loans whose lease has expired; called before any use."""
        if now < self._update_at:
            return
        self.pool.end_cooldowns(now)
        next_update_at = self.pool.next_ready_at()
        expired = []
        for lender, loan in self.borrowed.items():
            if now >= loan.expires_at:
                expired.append((lender, loan))
                continue
            ready_at = self._update_loan(now, loan)
            if ready_at < next_update_at:  # faster than min(); there may be a loan with each home
                next_update_at = ready_at
            if loan.expires_at < next_update_at:
                next_update_at = loan.expires_at
        for lender, loan in expired:
            self._close(lender, loan)
        # Existing cooldowns and leases only get longer; every other change lowers `_update_at` itself.
        self._update_at = next_update_at

    def _update_loan(self, now: float, loan: BorrowedQuota) -> float:
        """Update the units of a loan and set aside those to return; return when its next units become ready."""
        pool = loan.pool
        next_ready_at = pool.next_ready_at()
        if next_ready_at <= now:
            previously_ready = pool.ready
            pool.end_cooldowns(now)
            self._borrowed_ready += pool.ready - previously_ready
            next_ready_at = pool.next_ready_at()
        if loan.to_return > loan.set_aside and pool.ready:
            units = min(loan.to_return - loan.set_aside, pool.ready)
            pool.ready -= units  # else a coordinator short of units would use them again and never return any
            self._borrowed_ready -= units
            loan.set_aside += units
        return next_ready_at

    def _close(self, lender: str, loan: BorrowedQuota) -> None:
        self.expired += loan.outstanding
        self._borrowed_units -= loan.outstanding
        self._borrowed_ready -= loan.pool.ready
        self.closed[lender] = (loan.lender_epoch, loan.number)
        del self.borrowed[lender]

    def move_owned(self, now: float, target: QuotaAccount) -> None:
        """Move the owned units that are not lent to another account, with what remains of their cooldowns.

        Lent units are moved by later calls once they are back, as their borrower may still use them under this budget.
        """
        self.tick(now)
        for units, ready_at in self.pool.take_all():
            self.owned -= units
            target.owned += units
            if ready_at > now:
                target.pool.add_cooling(units, ready_at, target.granularity_ms)
                target._update_at = min(target._update_at, ready_at)
            else:
                target.pool.ready += units

    def end_first_cooldown(self) -> None:
        """Mark the owned units as ready, if all of them are still in their first cooldown.

        Must be called only if no predecessor of this process can have lent or used any.
        """
        if self.pool.cooling == self.owned:
            self.pool.take_all()
            self.pool.ready = self.owned

    # The lender's side.

    def tick(self, now: float) -> None:
        """Reclaim the units of loans to others whose lease has expired; they first cool down."""
        self._update(now)
        if now < self._lent_expire_at:
            return
        for borrower, loan in list(self.lent.items()):
            if now >= loan.expires_at:
                self._remove_lent(borrower)
                self._reclaim(loan.outstanding, max(now, loan.expires_at) + self.cooldown_ms)
        for loan in [loan for loan in self.abandoned if now >= loan.expires_at]:
            self.abandoned.remove(loan)
            self._reclaim(loan.outstanding, now + self.cooldown_ms)
        remaining = (*self.lent.values(), *self.abandoned)
        self._lent_expire_at = min((loan.expires_at for loan in remaining), default=math.inf)

    def _reclaim(self, units: int, ready_at: float) -> None:
        """Take back lent units, which cool down until `ready_at`."""
        self._lent_units -= units
        self.pool.add_cooling(units, ready_at, self.granularity_ms)
        self._update_at = min(self._update_at, ready_at)

    def _remove_lent(self, borrower: str) -> LentQuota:
        """Remove and return a loan, without changing the count of lent units."""
        loan = self.lent.pop(borrower)
        del self.claims[bisect_left(self.claims, (loan.wanted, borrower))]
        return loan

    def on_request(
        self,
        now: float,
        borrower: str,
        borrower_epoch: int,
        is_of_this_process: bool,
        number: int,
        returned: int,
        closed_loan: int,
        wanted: int,
    ) -> LentQuota:
        """Handle a borrower's request and return its renewed or new loan.

        `is_of_this_process`: whether `number` and `closed_loan` refer to loans made by this process. A loan to another
        process of the borrower is left to expire; one that the borrower has closed is reclaimed.
        """
        self.tick(now)
        loan = self.lent.get(borrower)
        if loan is not None and loan.borrower_epoch != borrower_epoch:
            # The borrower has restarted, or the request is an old one; in both cases the loan expires in time.
            self.abandoned.append(self._remove_lent(borrower))
            loan = None
        if loan is not None and is_of_this_process and closed_loan >= loan.number:
            # The borrower stopped using the loan before it sent this request.
            self._remove_lent(borrower)
            self._reclaim(loan.outstanding, now + self.cooldown_ms)
            loan = None
        if loan is None:
            loan = self._create_lent(now, borrower, borrower_epoch, wanted)
        else:
            if is_of_this_process and number == loan.number:
                self._take_returned(loan, returned)
            self._set_wanted(borrower, loan, wanted)
        loan.expires_at = max(loan.expires_at, now + self.reclaim_ms)
        self._lent_expire_at = min(self._lent_expire_at, loan.expires_at)
        return loan

    def _create_lent(self, now: float, borrower: str, borrower_epoch: int, wanted: int) -> LentQuota:
        self.last_loan += 1
        loan = LentQuota(borrower_epoch, self.last_loan, now, wanted=wanted)
        self.lent[borrower] = loan
        insort(self.claims, (wanted, borrower))
        return loan

    def _set_wanted(self, borrower: str, loan: LentQuota, wanted: int) -> None:
        if loan.wanted != wanted:
            del self.claims[bisect_left(self.claims, (loan.wanted, borrower))]
            insort(self.claims, (wanted, borrower))
            loan.wanted = wanted

    def lend(self, loan: LentQuota, units: int) -> None:
        """Add ready units to a loan. Raise QuotaUnavailableError if `units` is negative or more than is ready."""
        if not 0 <= units <= self.pool.ready:
            raise QuotaUnavailableError("the number of units to lend is negative or exceeds the ready units")
        self.pool.ready -= units
        loan.granted += units
        self._lent_units += units

    def on_return(self, now: float, borrower: str, borrower_epoch: int, number: int, returned: int) -> None:
        """Handle returned units; `returned` is a running total, so duplicates are harmless.

        A return of another process or loan is ignored. A loan with no units outstanding or wanted is removed.
        """
        self.tick(now)
        loan = self.lent.get(borrower)
        if loan is not None and loan.borrower_epoch == borrower_epoch and loan.number == number:
            self._take_returned(loan, returned)
            if not loan.outstanding and not loan.wanted:
                self._remove_lent(borrower)

    def _take_returned(self, loan: LentQuota, returned: int) -> None:
        units = max(0, min(returned, loan.granted) - loan.returned)
        loan.returned += units
        self._lent_units -= units
        self.pool.ready += units  # the borrower returns only units that have cooled down

    # The borrower's side.

    def start_request(self, now: float, lender: str, lender_epoch: int, sequence: int) -> LoanReference:
        """Record a request sent to a lender at `now`; return the state of the loan to put in it."""
        self._update(now)
        requests = self.requested_at.setdefault(lender, {})
        while requests:
            oldest = next(iter(requests))  # in order of sending
            if now - requests[oldest] <= self.lease_ms:
                break
            del requests[oldest]
        requests[sequence] = now
        loan = self.borrowed.get(lender)
        if loan is not None:
            loan.requested_at = now
        closed_epoch, closed = self.closed.get(lender, (0, 0))
        closed_loan = closed if closed_epoch == lender_epoch else 0
        if loan is not None and loan.lender_epoch == lender_epoch:
            return LoanReference(lender_epoch, loan.number, loan.returned, closed_loan)
        return LoanReference(lender_epoch if closed_epoch == lender_epoch else 0, 0, 0, closed_loan)

    def on_grant(
        self, now: float, lender: str, lender_epoch: int, sequence: int, number: int, granted: int, limit: int
    ) -> bool:
        """Handle a lender's grant; the lease of the loan starts when the request was sent.

        Return False if the grant is late, was not requested, or is for a loan that has ended.
        """
        self._update(now)
        requested_at = self.requested_at.get(lender, {}).get(sequence)
        if requested_at is None or now >= requested_at + self.lease_ms:
            return False
        closed_epoch, closed = self.closed.get(lender, (0, 0))
        if closed_epoch == lender_epoch and number <= closed:
            return False
        loan = self.borrowed.get(lender)
        if loan is not None and (loan.lender_epoch, loan.number) != (lender_epoch, number):
            if loan.lender_epoch == lender_epoch and number < loan.number:
                return False
            # The lender has ended the previous loan. It is closed here too, although its lease is not over yet.
            self._close(lender, loan)
            loan = None
        expires_at = requested_at + self.lease_ms
        if loan is None:
            if not granted:
                return True  # nothing was granted, so there is no loan to record
            loan = BorrowedQuota(lender_epoch, number, expires_at, requested_at=requested_at)
            self.borrowed[lender] = loan
        self._renew(loan, granted, expires_at)
        loan.limit = limit
        return True

    def _renew(self, loan: BorrowedQuota, granted: int, expires_at: float) -> None:
        """Add newly granted units and extend the lease."""
        new_units = granted - loan.granted
        if new_units > 0:
            loan.pool.ready += new_units
            self._borrowed_ready += new_units
            self._borrowed_units += new_units
            loan.granted = granted
        loan.expires_at = max(loan.expires_at, expires_at)
        if loan.to_return == loan.set_aside:
            self._update_at = min(self._update_at, loan.expires_at)
        else:
            self._update_at = -math.inf

    def schedule_return(self, now: float, lender: str, units: int) -> None:
        """Set aside a total of `units` for return to a lender, each as soon as it has cooled down."""
        loan = self.borrowed[lender]
        loan.to_return = max(units, loan.set_aside)
        if loan.to_return > loan.set_aside:
            self._update_at = -math.inf
        self._update(now)

    def take_return(self, now: float, lender: str) -> ReturnedUnits | None:
        """Remove the units set aside for a lender; return the content of the QuotaReturn, None if there are none."""
        self._update(now)
        loan = self.borrowed.get(lender)
        if loan is None or not loan.set_aside:
            return None
        loan.returned += loan.set_aside
        loan.to_return -= loan.set_aside
        self._borrowed_units -= loan.set_aside
        loan.set_aside = 0
        if not loan.outstanding:
            self.closed[lender] = (loan.lender_epoch, loan.number)
            del self.borrowed[lender]
        return ReturnedUnits(loan.lender_epoch, loan.number, loan.returned)
