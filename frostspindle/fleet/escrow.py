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

from collections import deque
from dataclasses import dataclass, field

GRAINS = 128  # a window has so many steps of rest; a right may rest one step longer than it must


class Pool:
    """Rights in hand: ready, or resting until a time."""

    __slots__ = ("_rest", "ready", "resting")

    def __init__(self) -> None:
        self.ready = self.resting = 0
        self._rest: deque[list[float]] = deque()  # first, last, units: resting until `last`

    @property
    def total(self) -> int:
        return self.ready + self.resting

    def settle(self, now: float) -> None:
        while self._rest and self._rest[0][1] <= now:
            units = int(self._rest.popleft()[2])
            self.resting -= units
            self.ready += units

    def rest(self, units: int, until: float, grain: float) -> None:
        """Units that may be used again from `until` on."""
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
        self.ready -= units
        self.rest(units, until, grain)

    def ready_at(self) -> float | None:
        return self._rest[0][1] if self._rest else None


@dataclass(slots=True)
class Lent:
    """One loan, as its lender has it."""

    epoch: int  # of the borrower's process
    series: int
    ends: float
    given: int = 0
    returned: int = 0
    want: int = 0

    @property
    def out(self) -> int:
        return self.given - self.returned


@dataclass(slots=True)
class Borrowed:
    """One loan, as its borrower has it."""

    epoch: int  # of the lender's process
    series: int
    ends: float
    given: int = 0
    returned: int = 0
    keep: int = 2**53  # what the lender would have us hold at most
    asked: float = 0.0  # when it was last renewed
    owed: int = 0  # units to go back as they have rested, before anything else is made of them
    aside: int = 0  # of these, rested already
    pool: Pool = field(default_factory=Pool)

    @property
    def held(self) -> int:
        return self.given - self.returned


class Rights:
    """One coordinator's rights in one budget."""

    def __init__(self, own: int, window_ms: float, lease_ms: float, drift: float, born: float) -> None:
        self.own, self.lease_ms = own, lease_ms
        self.rest_ms = window_ms * (1.0 + drift)
        self.back_ms = lease_ms * (1.0 + drift) / (1.0 - drift)
        self.grain = self.rest_ms / GRAINS
        self.pool = Pool()  # of the own rights
        self.pool.rest(own, born + self.back_ms + self.rest_ms, self.grain)
        self.lent: dict[str, Lent] = {}  # by borrower
        self.lapsing: list[Lent] = []  # to processes that were followed by others
        self.borrowed: dict[str, Borrowed] = {}  # by lender
        self.closed: dict[str, tuple[int, int]] = {}  # by lender: its epoch and the highest series that is over
        self.asked: dict[str, dict[int, float]] = {}  # by lender: when each Ask went out
        self.spent = self.denied = self.lapsed = 0
        self._series = 0

    # Use.

    @property
    def in_hand(self) -> int:
        """Own rights that are not lent."""
        return self.own - sum(loan.out for loan in self.lent.values()) - sum(loan.out for loan in self.lapsing)

    @property
    def held(self) -> int:
        """All rights that may be used here, at once or when they have rested."""
        return self.in_hand + sum(loan.held for loan in self.borrowed.values())

    def ready(self, now: float) -> int:
        self._settle(now)
        return self.pool.ready + sum(loan.pool.ready for loan in self.borrowed.values())

    def spend(self, now: float, units: int) -> bool:
        """Use so many rights, all or none."""
        self._settle(now)
        if units > self.pool.ready + sum(loan.pool.ready for loan in self.borrowed.values()):
            self.denied += units
            return False
        left, until = units, now + self.rest_ms
        for pool in (self.pool, *(loan.pool for loan in self.borrowed.values())):
            if part := min(left, pool.ready):
                pool.spend(part, until, self.grain)
                left -= part
        self.spent += units
        return True

    def _settle(self, now: float) -> None:
        """What has rested is ready; loans whose time is over are closed before anything is used."""
        self.pool.settle(now)
        for lender, loan in list(self.borrowed.items()):
            if now >= loan.ends:
                self._close(lender, loan)
            else:
                loan.pool.settle(now)
                if back := min(loan.owed - loan.aside, loan.pool.ready):
                    loan.pool.ready -= back  # a coordinator that is short would use them at once, for ever
                    loan.aside += back

    def _close(self, lender: str, loan: Borrowed) -> None:
        self.lapsed += loan.held
        self.closed[lender] = (loan.epoch, loan.series)
        del self.borrowed[lender]

    # The lender's side.

    def tick(self, now: float) -> None:
        """Take back what is over."""
        self._settle(now)
        for borrower, loan in list(self.lent.items()):
            if now >= loan.ends:
                del self.lent[borrower]
                self.pool.rest(loan.out, max(now, loan.ends) + self.rest_ms, self.grain)
        for loan in [loan for loan in self.lapsing if now >= loan.ends]:
            self.lapsing.remove(loan)
            self.pool.rest(loan.out, now + self.rest_ms, self.grain)

    def on_ask(self, now: float, borrower: str, epoch: int, mine: bool, series: int, returned: int, closed: int,
               want: int) -> Lent:
        """A borrower's word: its loan, renewed. `mine`: series and closed are of this process."""
        self.tick(now)
        loan = self.lent.get(borrower)
        if loan is not None and loan.epoch != epoch:
            self.lapsing.append(loan)  # its process is gone, or the word is an old one: either way it ends in time
            loan = None
        if loan is not None and mine and closed >= loan.series:
            # Used no more from the moment of the asking on, which is past.
            self.pool.rest(loan.out, now + self.rest_ms, self.grain)
            loan = None
        if loan is None:
            self._series += 1
            loan = Lent(epoch, self._series, now)
        elif mine and series == loan.series:
            self._returned(loan, returned)
        loan.want = want
        loan.ends = max(loan.ends, now + self.back_ms)
        self.lent[borrower] = loan
        return loan

    def lend(self, loan: Lent, units: int) -> None:
        """Give more of what is ready."""
        if not 0 <= units <= self.pool.ready:
            raise ValueError("only what is ready can be lent")
        self.pool.ready -= units
        loan.given += units

    def on_back(self, now: float, borrower: str, epoch: int, series: int, returned: int) -> None:
        self.tick(now)
        loan = self.lent.get(borrower)
        if loan is not None and loan.epoch == epoch and loan.series == series:
            self._returned(loan, returned)
            if not loan.out and not loan.want:
                del self.lent[borrower]

    def _returned(self, loan: Lent, returned: int) -> None:
        units = max(0, min(returned, loan.given) - loan.returned)
        loan.returned += units
        self.pool.ready += units  # the borrower gives back only what has rested

    # The borrower's side.

    def asking(self, now: float, lender: str, epoch: int, seq: int) -> tuple[int, int, int, int]:
        """Note that an Ask goes out; the lender's epoch, series, returned and closed to be named in it."""
        self._settle(now)
        waits = self.asked.setdefault(lender, {})
        for old in [s for s, at in waits.items() if now - at > self.lease_ms]:
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
        """A lender's word. False: of no use, as it is late, not ours, or of a loan that is over."""
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
            loan = self.borrowed[lender] = Borrowed(epoch, series, asked + self.lease_ms, asked=asked)
        if given > loan.given:
            loan.pool.ready += given - loan.given
            loan.given = given
        loan.ends = max(loan.ends, asked + self.lease_ms)
        loan.keep = keep
        return True

    def owe(self, now: float, lender: str, units: int) -> None:
        """So many units are to go back to a lender, each as soon as it has rested."""
        loan = self.borrowed[lender]
        loan.owed = max(units, loan.aside)
        self._settle(now)

    def give_back(self, now: float, lender: str) -> tuple[int, int, int] | None:
        """Return what was set aside: the lender's epoch, the series, and units returned in all."""
        self._settle(now)
        loan = self.borrowed.get(lender)
        if loan is None or not loan.aside:
            return None
        loan.returned += loan.aside
        loan.owed -= loan.aside
        loan.aside = 0
        word = loan.epoch, loan.series, loan.returned
        if not loan.held:
            self.closed[lender] = (loan.epoch, loan.series)
            del self.borrowed[lender]
        return word
