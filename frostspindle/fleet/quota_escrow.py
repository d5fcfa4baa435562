"""Rights to spend a budget: whoever holds one may spend one unit in any window, and all rights add up to the budget.

Owns the rights of one coordinator in one budget: its own, those it has lent, those it has borrowed, and when each may
be used again. It must never read a clock or a socket, never use a right that another may use, and never decide how
many to ask for or lend (`flow` does). All times are ms of the own monotonic clock.

After escrow (O'Neil, 1986) and the bounded counter (Balegas et al., 2015): the units of a budget are divided among its
homes for good, and move by loans only. A loan is a pair of counters that only grow, units given (the lender's) and
units returned (the borrower's), so that messages about it may come twice, late, in any order or not at all: each side
takes the greater. What the borrower may use, given as it heard less returned, is never more than what the lender counts
as away, given less returned as it heard. Beyond the bounded counter, each loan is a lease:

    the borrower uses it for `lease` ms of its clock from the moment it ASKED, then never again;
    the lender takes it back `lease` ms times (1 + drift) / (1 - drift) after it ANSWERED, and lets it rest a window.

So a right comes back from a process that died or hears nothing, and a cut-off part spends at most what it held. A right
rests a window times (1 + drift) after each use, hence is used once in any window of real time as long as no clock is
faster or slower than real time by more than `drift`. A home that starts, for all it knows after a kill, can't know what
its predecessor lent or spent: its own rights rest until every such loan and use is over.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections import deque
from dataclasses import dataclass, field

GRAINS = 128  # a window has so many steps of rest; a right may rest one step longer than it must


class QuotaPool:
    """Rights in hand, ready or resting until a time in ms."""

    __slots__ = ("_rest", "ready", "resting")

    def __init__(self) -> None:
        self.ready = self.resting = 0
        self._rest: deque[list[float]] = deque()  # first, last, units: resting until `last`

    @property
    def total(self) -> int:
        """Number of rights in hand, ready or resting."""
        return self.ready + self.resting

    def settle(self, now: float) -> None:
        """Make ready the rights whose rest is over at `now`."""
        while self._rest and self._rest[0][1] <= now:
            units = int(self._rest.popleft()[2])
            self.resting -= units
            self.ready += units

    def rest(self, units: int, until: float, grain: float) -> None:
        """Add units that may be used again from `until` on, or up to `grain` ms later: steps that close are merged."""
        if units <= 0:
            return
        self.resting += units
        if self._rest and until < self._rest[-1][1]:
            until = self._rest[-1][1]  # never sooner than asked; rests are in order but for a late loan's
        if self._rest and until - self._rest[-1][0] <= grain:
            self._rest[-1][1] = until
            self._rest[-1][2] += units
        else:
            self._rest.append([until, until, units])

    def spend(self, units: int, until: float, grain: float) -> None:
        """Use ready rights, which then rest until `until`, or up to `grain` ms longer.

        The caller has checked that so many are ready.
        """
        self.ready -= units
        self.rest(units, until, grain)

    def take(self) -> list[tuple[int, float]]:
        """Empty the pool; return its units, each with the time until which it rests (-inf: ready)."""
        out = [(self.ready, -math.inf), *((int(units), last) for _, last, units in self._rest)]
        self.ready = self.resting = 0
        self._rest.clear()
        return out

    def ready_at(self) -> float:
        """Return when the next units have rested; inf if none rest."""
        return self._rest[0][1] if self._rest else math.inf


@dataclass(slots=True)
class LentQuota:
    """One loan, as its lender records it."""

    epoch: int  # of the borrower's process
    series: int
    ends: float
    given: int = 0
    returned: int = 0
    want: int = 0

    @property
    def out(self) -> int:
        """Units given and not yet returned, as this lender has heard."""
        return self.given - self.returned


@dataclass(slots=True)
class BorrowedQuota:
    """One loan, as its borrower records it."""

    epoch: int  # of the lender's process
    series: int
    ends: float
    given: int = 0
    returned: int = 0
    keep: int = 2**53  # what the lender would have us hold at most
    asked: float = 0.0  # when it was last renewed
    owed: int = 0  # units to go back as they have rested, before anything else is made of them
    aside: int = 0  # of these, rested already
    pool: QuotaPool = field(default_factory=QuotaPool)

    @property
    def held(self) -> int:
        """Units of the loan that are still here, ready, resting or set aside for return."""
        return self.given - self.returned


class QuotaAccount:
    """One coordinator's rights in one budget: its own, lent and borrowed ones."""

    def __init__(self, own: int, window_ms: float, lease_ms: float, drift: float, born: float, series: int = 0) -> None:
        """`born`: when this process's own rights came to it; -inf where no predecessor can have lent or used any.
        `series`: of all loans that this process has made of rights of this name before."""
        self.own, self.lease_ms = own, lease_ms
        self.rest_ms = window_ms * (1.0 + drift)
        self.back_ms = lease_ms * (1.0 + drift) / (1.0 - drift)
        self.grain = self.rest_ms / GRAINS
        self.pool = QuotaPool()  # of the own rights
        self.pool.rest(own, born + self.back_ms + self.rest_ms, self.grain)
        self.lent: dict[str, LentQuota] = {}  # by borrower
        self.lapsing: list[LentQuota] = []  # to processes that were followed by others
        self.borrowed: dict[str, BorrowedQuota] = {}  # by lender
        self.closed: dict[str, tuple[int, int]] = {}  # by lender: its epoch and the highest series that is over
        self.asked: dict[str, dict[int, float]] = {}  # by lender: when each Ask went out
        self.spent = self.denied = self.lapsed = 0
        self.claims: list[tuple[int, str]] = []  # what each borrower wants, in order
        self.series = series
        # Sums of the loans, kept as they change, and times before which nothing rests out or ends: a coordinator asks
        # for them several times a message, and has a loan with each home.
        self._out = self._borrowed = self._loans_ready = 0
        self._settle_at = self._lent_ends = -math.inf

    # Use.

    @property
    def in_hand(self) -> int:
        """Number of own rights that are not lent."""
        return self.own - self._out

    @property
    def held(self) -> int:
        """Number of rights that may be used here, at once or when they have rested."""
        return self.own - self._out + self._borrowed

    @property
    def idle(self) -> bool:
        """Whether nothing is lent, borrowed or resting, so that the object can be made anew, with its series, without
        loss.
        """
        return not (self.lent or self.lapsing or self.borrowed or self.pool.resting)

    def ready(self, now: float) -> int:
        """Return how many rights can be used at once, own and borrowed.

        Loans whose lease is over at `now` are closed first.
        """
        self._settle(now)
        return self.pool.ready + self._loans_ready

    def spend(self, now: float, units: int) -> bool:
        """Use `units` rights, all or none; return whether so many were ready.

        Each rests for a window, stretched by the drift.
        """
        self._settle(now)
        if units > self.pool.ready + self._loans_ready:
            self.denied += units
            return False
        left, until = units, now + self.rest_ms
        self._settle_at = min(self._settle_at, until)
        if part := min(left, self.pool.ready):
            self.pool.spend(part, until, self.grain)
            left -= part
        if left:
            self._loans_ready -= left
            for loan in self.borrowed.values():
                if part := min(left, loan.pool.ready):
                    loan.pool.spend(part, until, self.grain)
                    left -= part
                    if not left:
                        break
        self.spent += units
        return True

    def _settle(self, now: float) -> None:
        """What has rested is ready; loans whose time is over are closed before anything is used."""
        if now < self._settle_at:
            return
        self.pool.settle(now)
        at = self.pool.ready_at()
        ended = []
        for lender, loan in self.borrowed.items():
            if now >= loan.ends:
                ended.append((lender, loan))
                continue
            pool = loan.pool
            if (ready_at := pool.ready_at()) <= now:
                before = pool.ready
                pool.settle(now)
                self._loans_ready += pool.ready - before
                ready_at = pool.ready_at()
            if loan.owed > loan.aside and pool.ready:
                back = min(loan.owed - loan.aside, pool.ready)
                pool.ready -= back  # a coordinator that is short would use them at once, for ever
                self._loans_ready -= back
                loan.aside += back
            if loan.ends < at:
                at = loan.ends
            if ready_at < at:
                at = ready_at
        for lender, loan in ended:
            self._close(lender, loan)
        self._settle_at = at  # rests and ends only move to later, and what else there is comes with a call of its own

    def _close(self, lender: str, loan: BorrowedQuota) -> None:
        self.lapsed += loan.held
        self._borrowed -= loan.held
        self._loans_ready -= loan.pool.ready
        self.closed[lender] = (loan.epoch, loan.series)
        del self.borrowed[lender]

    def move(self, now: float, to: QuotaAccount) -> None:
        """Move the own units in hand to another budget of the same units; each rests there as long as it must here.

        Units that are lent follow in later calls, only once they are back: their borrower may still use them here.
        """
        self.tick(now)
        for units, until in self.pool.take():
            self.own -= units
            to.own += units
            if until > now:
                to.pool.rest(units, until, to.grain)
                to._settle_at = min(to._settle_at, until)
            else:
                to.pool.ready += units

    def wake(self) -> None:
        """Make the own rights ready, if all of them still rest since the start.

        Only for a process without a predecessor that can have lent or used any.
        """
        if self.pool.resting == self.own:
            self.pool.take()
            self.pool.ready = self.own

    # The lender's side.

    def tick(self, now: float) -> None:
        """Take back what was lent and whose lease is over; it rests for a window."""
        self._settle(now)
        if now < self._lent_ends:
            return
        for borrower, loan in list(self.lent.items()):
            if now >= loan.ends:
                self._forget(borrower)
                self._rest(loan.out, max(now, loan.ends) + self.rest_ms)
        for loan in [loan for loan in self.lapsing if now >= loan.ends]:
            self.lapsing.remove(loan)
            self._rest(loan.out, now + self.rest_ms)
        self._lent_ends = min((loan.ends for loan in (*self.lent.values(), *self.lapsing)), default=math.inf)

    def _rest(self, units: int, until: float) -> None:
        """Units that were lent are in hand again, and rest."""
        self._out -= units
        self.pool.rest(units, until, self.grain)
        self._settle_at = min(self._settle_at, until)

    def _forget(self, borrower: str) -> LentQuota:
        """A loan that is no longer lent; its units are still out."""
        loan = self.lent.pop(borrower)
        del self.claims[bisect_left(self.claims, (loan.want, borrower))]
        return loan

    def on_ask(
        self, now: float, borrower: str, epoch: int, mine: bool, series: int, returned: int, closed: int, want: int
    ) -> LentQuota:
        """Take a borrower's Ask and return its loan, renewed or new.

        `mine`: `series` and `closed` are of loans by this process. A loan to an earlier process of the borrower is left
        to lapse; one that the borrower has closed comes back and rests for a window.
        """
        self.tick(now)
        loan = self.lent.get(borrower)
        if loan is not None and loan.epoch != epoch:
            # Its process is gone, or the word is an old one: either way it ends in time.
            self.lapsing.append(self._forget(borrower))
            loan = None
        if loan is not None and mine and closed >= loan.series:
            # Used no more from the moment of the asking on, which is past.
            self._forget(borrower)
            self._rest(loan.out, now + self.rest_ms)
            loan = None
        if loan is None:
            self.series += 1
            loan = self.lent[borrower] = LentQuota(epoch, self.series, now, want=want)
            insort(self.claims, (want, borrower))
        else:
            if mine and series == loan.series:
                self._returned(loan, returned)
            if loan.want != want:
                del self.claims[bisect_left(self.claims, (loan.want, borrower))]
                insort(self.claims, (want, borrower))
                loan.want = want
        loan.ends = max(loan.ends, now + self.back_ms)
        self._lent_ends = min(self._lent_ends, loan.ends)
        return loan

    def lend(self, loan: LentQuota, units: int) -> None:
        """Add ready units to a loan; ValueError if more than is ready, or a negative number."""
        if not 0 <= units <= self.pool.ready:
            raise ValueError("only what is ready can be lent")
        self.pool.ready -= units
        loan.given += units
        self._out += units

    def on_back(self, now: float, borrower: str, epoch: int, series: int, returned: int) -> None:
        """Book units that a borrower returned; `returned` is a running total, so that repeats are harmless.

        Ignored if of another process or series. A loan with nothing out and nothing wanted is dropped.
        """
        self.tick(now)
        loan = self.lent.get(borrower)
        if loan is not None and loan.epoch == epoch and loan.series == series:
            self._returned(loan, returned)
            if not loan.out and not loan.want:
                self._forget(borrower)

    def _returned(self, loan: LentQuota, returned: int) -> None:
        units = max(0, min(returned, loan.given) - loan.returned)
        loan.returned += units
        self._out -= units
        self.pool.ready += units  # the borrower gives back only what has rested

    # The borrower's side.

    def asking(self, now: float, lender: str, epoch: int, seq: int) -> tuple[int, int, int, int]:
        """Record that an Ask goes out at `now`.

        Return the lender's epoch, series, returned and closed that it must name.
        """
        self._settle(now)
        waits = self.asked.setdefault(lender, {})
        while waits and now - waits[old := next(iter(waits))] > self.lease_ms:  # in the order of asking
            del waits[old]
        waits[seq] = now
        loan = self.borrowed.get(lender)
        if loan is not None:
            loan.asked = now
        of, series = self.closed.get(lender, (0, 0))
        if loan is not None and loan.epoch == epoch:
            return epoch, loan.series, loan.returned, series if of == epoch else 0
        return (epoch, 0, 0, series) if of == epoch else (0, 0, 0, 0)

    def on_grant(self, now: float, lender: str, epoch: int, seq: int, series: int, given: int, keep: int) -> bool:
        """Take a lender's Grant; the loan's lease counts from when the Ask was sent.

        False: of no use, as it is late, unasked, or of a loan that is over.
        """
        self._settle(now)
        asked = self.asked.get(lender, {}).get(seq)
        if asked is None or now >= asked + self.lease_ms:
            return False
        of, closed = self.closed.get(lender, (0, 0))
        if of == epoch and series <= closed:
            return False
        loan = self.borrowed.get(lender)
        if loan is not None and (loan.epoch, loan.series) != (epoch, series):
            if loan.epoch == epoch and series < loan.series:
                return False
            # The lender has ended that loan: so do we, though we might use it a little longer.
            self._close(lender, loan)
            loan = None
        if loan is None:
            if not given:
                return True  # nothing was to be had: there is no loan to keep
            loan = self.borrowed[lender] = BorrowedQuota(epoch, series, asked + self.lease_ms, asked=asked)
        if given > loan.given:
            loan.pool.ready += given - loan.given
            self._loans_ready += given - loan.given
            self._borrowed += given - loan.given
            loan.given = given
        loan.ends = max(loan.ends, asked + self.lease_ms)
        self._settle_at = min(self._settle_at, loan.ends) if loan.owed == loan.aside else -math.inf
        loan.keep = keep
        return True

    def owe(self, now: float, lender: str, units: int) -> None:
        """Set aside `units` in all for return to a lender, each as soon as it has rested."""
        loan = self.borrowed[lender]
        loan.owed = max(units, loan.aside)
        if loan.owed > loan.aside:
            self._settle_at = -math.inf
        self._settle(now)

    def give_back(self, now: float, lender: str) -> tuple[int, int, int] | None:
        """Return the units set aside to the lender: its epoch, the series and units returned in all, to be sent as a
        Back; None if there are none.
        """
        self._settle(now)
        loan = self.borrowed.get(lender)
        if loan is None or not loan.aside:
            return None
        loan.returned += loan.aside
        loan.owed -= loan.aside
        self._borrowed -= loan.aside
        loan.aside = 0
        word = loan.epoch, loan.series, loan.returned
        if not loan.held:
            self.closed[lender] = (loan.epoch, loan.series)
            del self.borrowed[lender]
        return word
