"""Escrow of a budget's units: a coordinator may spend only units in its hand, and all hands add up to the budget.

After escrow (O'Neil, 1986) and the bounded counter (Balegas et al., 2015): the units of a budget are divided among its
homes for good, and move by loans only. What a borrower may use, granted as it received less returned, is never more
than what the lender counts as outstanding, granted less returned as it received. Beyond the bounded counter, each loan
is a lease:

    the borrower uses it for `lease_ms` of its clock from the moment it SENT its request, then never again;
    the lender reclaims it `lease_ms` times (1 + drift) / (1 - drift) after it ANSWERED, and lets it cool down a window.

So units come back from a process that died or is cut off, and a cut-off part spends at most what it had. A unit cools
down a window times (1 + drift) after each use, hence is used once in any window of real time as long as no clock is
faster or slower than real time by more than `drift`. A home that starts, for all it knows after a kill, can't know what
its predecessor lent or spent: its own units cool down until every such loan and use is over.

No I/O and no clock: all times are ms of the own monotonic clock. How much to request or
lend is decided in `quota_flow`.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort

from frostspindle.fleet.errors import QuotaUnavailableError
from frostspindle.fleet.quota_loans import BorrowedQuota, LentQuota, LoanReference, ReturnedUnits
from frostspindle.fleet.quota_pool import QuotaPool

COOLDOWN_STEPS = 128  # of a window; a unit may cool down one step longer than it must


class QuotaAccount:
    """One coordinator's units of one budget: its own, lent and borrowed ones."""

    def __init__(
        self, owned: int, window_ms: float, lease_ms: float, drift: float, born: float, last_loan: int = 0
    ) -> None:
        """`born`: when this process's own units came to it; -inf where no predecessor can have lent or used any.
        `last_loan`: number of the last loan that this process has made of a budget of this name before."""
        self.owned = owned
        self.lease_ms = lease_ms
        self.cooldown_ms = window_ms * (1.0 + drift)
        self.reclaim_ms = lease_ms * (1.0 + drift) / (1.0 - drift)
        self.granularity_ms = self.cooldown_ms / COOLDOWN_STEPS
        self.pool = QuotaPool()  # of the own units
        self.pool.add_cooling(owned, born + self.reclaim_ms + self.cooldown_ms, self.granularity_ms)
        # The lender's side.
        self.lent: dict[str, LentQuota] = {}  # by borrower
        self.abandoned: list[LentQuota] = []  # to processes that were followed by others; they only expire
        self.claims: list[tuple[int, str]] = []  # units that each borrower wants, and its name, sorted
        self.last_loan = last_loan
        # The borrower's side.
        self.borrowed: dict[str, BorrowedQuota] = {}  # by lender
        self.closed: dict[str, tuple[int, int]] = {}  # by lender: its epoch and the highest loan that is over
        self.requested_at: dict[str, dict[int, float]] = {}  # by lender and sequence number of the request
        # Totals.
        self.spent = 0
        self.denied = 0
        self.expired = 0
        # Sums of the loans, kept as they change, and times before which nothing cools down or expires: a coordinator
        # needs them several times a message, and has a loan with each home.
        self._lent_units = 0
        self._borrowed_units = 0
        self._borrowed_ready = 0
        self._settle_at = -math.inf
        self._lent_expire_at = -math.inf

    # Use.

    @property
    def in_hand(self) -> int:
        """Number of own units that are not lent."""
        return self.owned - self._lent_units

    @property
    def total(self) -> int:
        """Number of units that may be used here, at once or when they have cooled down."""
        return self.owned - self._lent_units + self._borrowed_units

    @property
    def idle(self) -> bool:
        """Whether nothing is lent, borrowed or cooling, so that the account can be made anew, with `last_loan`, without
        loss.
        """
        return not (self.lent or self.abandoned or self.borrowed or self.pool.cooling)

    def ready(self, now: float) -> int:
        """Return how many units can be used at once, own and borrowed.

        Loans whose lease is over at `now` are closed first.
        """
        self._settle(now)
        return self.pool.ready + self._borrowed_ready

    def spend(self, now: float, units: int) -> bool:
        """Use `units`, all or none; return whether so many were ready.

        Each cools down for a window, stretched by the drift.
        """
        self._settle(now)
        if units > self.pool.ready + self._borrowed_ready:
            self.denied += units
            return False
        until = now + self.cooldown_ms
        self._settle_at = min(self._settle_at, until)
        from_own = min(units, self.pool.ready)
        if from_own:
            self.pool.spend(from_own, until, self.granularity_ms)
        if units > from_own:
            self._spend_borrowed(units - from_own, until)
        self.spent += units
        return True

    def _spend_borrowed(self, units: int, until: float) -> None:
        self._borrowed_ready -= units
        for loan in self.borrowed.values():
            part = min(units, loan.pool.ready)
            if part:
                loan.pool.spend(part, until, self.granularity_ms)
                units -= part
                if not units:
                    return

    def _settle(self, now: float) -> None:
        """Make ready what has cooled down, and close loans whose lease is over before anything is used."""
        if now < self._settle_at:
            return
        self.pool.settle(now)
        next_settle_at = self.pool.next_ready_at()
        expired = []
        for lender, loan in self.borrowed.items():
            if now >= loan.expires_at:
                expired.append((lender, loan))
            else:
                next_settle_at = min(next_settle_at, loan.expires_at, self._settle_loan(now, loan))
        for lender, loan in expired:
            self._close(lender, loan)
        # Cooldowns and leases only move to later; whatever else there is comes with a call of its own.
        self._settle_at = next_settle_at

    def _settle_loan(self, now: float, loan: BorrowedQuota) -> float:
        """Make ready what has cooled down of a loan, and set aside what is to be returned; when the next is ready."""
        pool = loan.pool
        next_ready_at = pool.next_ready_at()
        if next_ready_at <= now:
            before = pool.ready
            pool.settle(now)
            self._borrowed_ready += pool.ready - before
            next_ready_at = pool.next_ready_at()
        if loan.to_return > loan.set_aside and pool.ready:
            units = min(loan.to_return - loan.set_aside, pool.ready)
            pool.ready -= units  # a coordinator that is short would use them at once, for ever
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
        """Move the own units in hand to another account of the same units, each with the rest of its cooldown.

        Units that are lent follow in later calls, only once they are back: their borrower may still use them here.
        """
        self.tick(now)
        for units, ready_at in self.pool.take_all():
            self.owned -= units
            target.owned += units
            if ready_at > now:
                target.pool.add_cooling(units, ready_at, target.granularity_ms)
                target._settle_at = min(target._settle_at, ready_at)
            else:
                target.pool.ready += units

    def end_first_cooldown(self) -> None:
        """Make the own units ready, if all of them are still cooling since the start.

        Only for a process without a predecessor that can have lent or used any.
        """
        if self.pool.cooling == self.owned:
            self.pool.take_all()
            self.pool.ready = self.owned

    # The lender's side.

    def tick(self, now: float) -> None:
        """Reclaim what was lent and whose lease is over; it cools down for a window."""
        self._settle(now)
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
        """Take units that were lent in hand again, cooling down."""
        self._lent_units -= units
        self.pool.add_cooling(units, ready_at, self.granularity_ms)
        self._settle_at = min(self._settle_at, ready_at)

    def _remove_lent(self, borrower: str) -> LentQuota:
        """Remove and return a loan; its units are still counted as lent."""
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
        """Take a borrower's request and return its loan, renewed or new.

        `is_of_this_process`: `number` and `closed_loan` are of loans by this process. A loan to an earlier process of
        the borrower is left to expire; one that the borrower has closed is reclaimed.
        """
        self.tick(now)
        loan = self.lent.get(borrower)
        if loan is not None and loan.borrower_epoch != borrower_epoch:
            # Its process is gone, or the request is an old one: either way it ends in time.
            self.abandoned.append(self._remove_lent(borrower))
            loan = None
        if loan is not None and is_of_this_process and closed_loan >= loan.number:
            # The borrower has not used it since it sent the request, which is past.
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
        """Add ready units to a loan; QuotaUnavailableError if more than is ready, or a negative number."""
        if not 0 <= units <= self.pool.ready:
            raise QuotaUnavailableError("only what is ready can be lent")
        self.pool.ready -= units
        loan.granted += units
        self._lent_units += units

    def on_return(self, now: float, borrower: str, borrower_epoch: int, number: int, returned: int) -> None:
        """Take units that a borrower returned; `returned` is a running total, so that repeats are harmless.

        Ignored if of another process or loan. A loan with nothing outstanding and nothing wanted is dropped.
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
        self.pool.ready += units  # the borrower returns only what has cooled down

    # The borrower's side.

    def start_request(self, now: float, lender: str, lender_epoch: int, sequence: int) -> LoanReference:
        """Record that a request is sent to a lender at `now`; return what it must say of the loan."""
        self._settle(now)
        requests = self.requested_at.setdefault(lender, {})
        while requests:
            oldest = next(iter(requests))  # in the order of sending
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
        """Take a lender's grant; the loan's lease counts from when the request was sent.

        False: of no use, as it is late, was not requested, or is of a loan that is over.
        """
        self._settle(now)
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
            # The lender has ended that loan: so do we, though we might use it a little longer.
            self._close(lender, loan)
            loan = None
        expires_at = requested_at + self.lease_ms
        if loan is None:
            if not granted:
                return True  # nothing was to be had: there is no loan to keep
            loan = BorrowedQuota(lender_epoch, number, expires_at, requested_at=requested_at)
            self.borrowed[lender] = loan
        self._renew(loan, granted, expires_at)
        loan.limit = limit
        return True

    def _renew(self, loan: BorrowedQuota, granted: int, expires_at: float) -> None:
        """Take newly granted units and a later end of the lease."""
        new_units = granted - loan.granted
        if new_units > 0:
            loan.pool.ready += new_units
            self._borrowed_ready += new_units
            self._borrowed_units += new_units
            loan.granted = granted
        loan.expires_at = max(loan.expires_at, expires_at)
        if loan.to_return == loan.set_aside:
            self._settle_at = min(self._settle_at, loan.expires_at)
        else:
            self._settle_at = -math.inf

    def schedule_return(self, now: float, lender: str, units: int) -> None:
        """Set aside `units` in all for return to a lender, each as soon as it has cooled down."""
        loan = self.borrowed[lender]
        loan.to_return = max(units, loan.set_aside)
        if loan.to_return > loan.set_aside:
            self._settle_at = -math.inf
        self._settle(now)

    def take_return(self, now: float, lender: str) -> ReturnedUnits | None:
        """Return the units set aside to the lender: what its QuotaReturn must say; None if there are none."""
        self._settle(now)
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
