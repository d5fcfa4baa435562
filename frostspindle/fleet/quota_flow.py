"""Movement of rights: how many a coordinator needs, whom it asks, what a lender gives and wants back.

Owns the estimate of demand and the rules of lending. It must never hold a right itself or read a clock, and whatever it
says is only a wish or an offer: `escrow` keeps the sums. All times are ms of the own monotonic clock.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Collection, Container
from hashlib import blake2b

from frostspindle.division import max_min_fair_level
from frostspindle.fleet.quota_escrow import LentQuota, QuotaAccount

PARTS = 8  # of a window, by which demand is counted
RECENT = 2.0  # windows looked back on
ASKED_AT_ONCE, FEW = 3, 32  # lenders; of more than FEW, one at a time while nobody has any left
ASK_MS, BACKOFF_MS, BACKOFF_MOST_MS = 100.0, 200.0, 3_200.0
RENEW = 1 / 3  # of a lease
FREE = (0.0, 0.0)
SLACK = 1.1  # held over the need by more than this is given back


class Demand:
    """Estimate of the rights that meet the recent demand on a budget, granted or not."""

    def __init__(self, window_ms: float, rest_ms: float) -> None:
        self.step = window_ms / PARTS
        self.per_right = rest_ms / window_ms  # a right rests longer than a window
        self.parts: deque[tuple[int, int]] = deque()  # number of the part, units
        self.units = 0  # of all parts

    def add(self, now: float, units: int) -> None:
        """Count units asked of the budget at `now`, granted or not."""
        part = int(now / self.step)
        self.units += units
        if self.parts and self.parts[-1][0] == part:
            self.parts[-1] = (part, self.parts[-1][1] + units)
        else:
            self.parts.append((part, units))
            self._forget(part)

    def _forget(self, part: int) -> None:
        while self.parts and self.parts[0][0] <= part - RECENT * PARTS:
            self.units -= self.parts.popleft()[1]

    def need(self, now: float, scatter: bool) -> int:
        """Return the rights that meet the mean demand of the last RECENT windows, and one standard deviation more with
        `scatter`. 0 if nothing was asked.
        """
        part = int(now / self.step)
        self._forget(part)
        if not self.units:
            return 0
        mean = self.units / RECENT
        return math.ceil((mean + scatter * math.sqrt(mean)) * self.per_right) + scatter


class StatedDemand:
    """A need that its owner states, in place of an estimate of what was asked.

    A share of less than `least` units of the whole is of no use: then all but the smallest claims are met in turn.
    """

    def __init__(self) -> None:
        self.units = self.least = self.turn = 0

    def add(self, now: float, units: int) -> None:
        """Do nothing, as nothing is estimated."""

    def need(self, now: float, scatter: bool) -> int:
        """Return the stated need in units; `now` and `scatter` change nothing."""
        return self.units


class LenderSelector:
    """Choice of whom to ask next: members that had rights left when they last answered, else at random, with
    exponential backoff.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.again: dict[str, tuple[float, float]] = {}  # not before, pause
        self._homes: list[str] = []
        self._free: list[str] = []  # homes that may be asked, in their order
        self._pauses: list[tuple[float, str]] = []  # a heap of when the others may be
        self.spare: dict[str, int] = {}
        self._rich: set[str] = set()  # who had some left
        self._dry: deque[bool] = deque([False], maxlen=ASKED_AT_ONCE)  # of the last answers: nothing, and none left

    @property
    def scarce(self) -> bool:
        """Whether none of the last answers lent or had anything: rights for scatter would then only lie idle while
        others lack them.
        """
        return all(self._dry)

    def choose(self, now: float, homes: list[str], here: Container[str], but: Collection[str]) -> list[str]:
        """Return up to ASKED_AT_ONCE homes to ask (one if all are scarce and many): in `here`, not in `but`, not in
        backoff.

        `homes` must be sorted, and the same list object each time: another one has the free list built anew.
        """
        if homes is not self._homes:
            self._homes, self._free, self._pauses = homes, list(homes), []
            for name in self.again:
                self._pause(name)
        while self._pauses and now >= self._pauses[0][0]:
            at, name = heapq.heappop(self._pauses)
            if at == self.again.get(name, FREE)[0]:
                self._release(name)
        most = 1 if len(homes) > FEW and self.scarce else ASKED_AT_ONCE
        some = (
            [
                name
                for name, left in self.spare.items()
                if left and now >= self.again.get(name, FREE)[0] and name in here and name not in but
            ]
            if self._rich
            else []
        )
        if len(some) > 1:  # the draw is among those that had as many left
            first = int(self.random.random() * len(some))
            some = heapq.nlargest(most, some[first:] + some[:first], key=self.spare.__getitem__)
        if len(some) < most:
            free = list(filter(here.__contains__, self._free))
            for name in (*but, *self._rich):  # few, or enough have some left
                place = bisect_left(free, name)
                if place < len(free) and free[place] == name:
                    del free[place]
            for place in range(min(most - len(some), len(free))):
                other = place + int(self.random.random() * (len(free) - place))
                free[place], free[other] = free[other], free[place]
                some.append(free[place])
        return some[:most]

    def answered(self, now: float, name: str, got: int, spare: int) -> None:
        """Record a lender's answer: units lent (`got`) and units it has left.

        Nothing lent starts or lengthens its backoff, anything lent ends it.
        """
        self.spare[name] = spare
        if spare:
            self._rich.add(name)
        else:
            self._rich.discard(name)
        self._dry.append(not got and not spare)
        if not got:
            self.silent(now, name)
        elif self.again.pop(name, None):
            self._release(name)

    def silent(self, now: float, name: str) -> None:
        """Double the lender's backoff, from BACKOFF_MS up to BACKOFF_MOST_MS, with jitter of 0.5 to 1.5 times.

        It is not chosen before that is over.
        """
        pause = min(BACKOFF_MOST_MS, 2.0 * self.again.get(name, (0.0, BACKOFF_MS / 2.0))[1])
        self.again[name] = (now + pause * (0.5 + self.random.random()), pause)
        self._pause(name)

    def _pause(self, name: str) -> None:
        heapq.heappush(self._pauses, (self.again[name][0], name))
        place = bisect_left(self._free, name)
        if place < len(self._free) and self._free[place] == name:
            del self._free[place]

    def _release(self, name: str) -> None:
        place = bisect_left(self._free, name)
        if self._free[place : place + 1] != [name] and name in self._homes:
            self._free.insert(place, name)


def offer(rights: QuotaAccount, need: int, loan: LentQuota, borrower: str) -> tuple[int, int]:
    """Return what to lend now in answer to an Ask, and what that borrower should hold at most.

    All claimants of the own rights, this coordinator among them, are served max-min fair. What a borrower holds over
    its share comes back as it rests (`keep`), so that a small claim is met within a window or two, whoever was first.
    """
    claims = rights.claims
    place = bisect_left(claims, (loan.want, borrower))
    mine = bisect_left(claims, (need, ""))  # where the own need comes among them
    claims.insert(mine, (need, ""))
    met, base, more = max_min_fair_level(claims, rights.own)
    del claims[mine]
    place += place >= mine
    share = loan.want if place < met else base + (place >= more)
    own = need if mine < met else base + (mine >= more)
    return max(0, min(share - loan.out, rights.pool.ready, rights.in_hand - own)), share


def in_turn(
    rights: QuotaAccount, need: int, loan: LentQuota, borrower: str, me: str, turn: int, least: int
) -> tuple[int, int]:
    """Return the same as `offer`, where an even share may be too small for one use of `least` units.

    Claims under the even share are met as usual. The others are met whole one after another, in an order by `turn` that
    is the same at all homes, so that rights gather at one coordinator, and at another with each turn.
    """
    claims = sorted((*rights.claims, (need, me)))
    met, base, _ = max_min_fair_level(claims, rights.own)
    if base >= least or met == len(claims):
        return offer(rights, need, loan, borrower)
    shares = {name: want for want, name in claims[:met]}
    left = rights.own - sum(shares.values())
    for want, name in sorted(claims[met:], key=lambda claim: blake2b(f"{turn} {claim[1]}".encode()).digest()):
        shares[name] = min(want, left)
        left -= shares[name]
    share = shares[borrower]
    return max(0, min(share - loan.out, rights.pool.ready, rights.in_hand - shares[me])), share


def spare(rights: QuotaAccount, need: int) -> int:
    """Return how many ready rights are left over this coordinator's own need."""
    return max(0, min(rights.pool.ready, rights.in_hand - need))


def excess(rights: QuotaAccount, need: int) -> list[tuple[str, int]]:
    """Return how many units of each loan should go back: over what its lender allows (`keep`) and over the need.

    The smallest loans come first. Loans with units owed or set aside are listed with 0.
    """
    if not rights.borrowed:
        return []
    out = []
    over = rights.held - max(math.ceil(need * SLACK), min(need, rights.in_hand) + 1 if need else 0)
    if over <= 0:  # the order is that of all
        loans = [
            (loan.given - loan.returned, lender)
            for lender, loan in rights.borrowed.items()
            if loan.given - loan.returned > loan.keep or loan.owed or loan.aside
        ]
    else:
        loans = [(loan.given - loan.returned, lender) for lender, loan in rights.borrowed.items()]
    for held, lender in sorted(loans):
        loan = rights.borrowed[lender]
        units = max(held - loan.keep, min(held, over), 0)
        if units or loan.owed or loan.aside:
            out.append((lender, units))
        over -= units
    return out


def renewals(rights: QuotaAccount, now: float) -> list[str]:
    """Return the lenders whose loans are due for a new Ask: a third of the lease after the last one."""
    return [name for name, loan in rights.borrowed.items() if now - loan.asked >= RENEW * rights.lease_ms]
