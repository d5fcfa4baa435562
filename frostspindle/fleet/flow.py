"""Where rights flow: how many a coordinator needs, whom it asks, what a lender gives and would have back.

Owns the estimate of demand and the rules of lending. It must never hold a right itself or read a clock, and whatever it
says is only a wish or an offer: `escrow` keeps the sums. All times are ms of the own monotonic clock.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable

from frostspindle.division import fair
from frostspindle.fleet.escrow import Lent, Rights

PARTS = 8  # of a window, by which demand is counted
RECENT = 2.0  # windows looked back on
ASKED_AT_ONCE = 3  # lenders
ASK_MS, BACKOFF_MS, BACKOFF_MOST_MS = 100.0, 200.0, 3_200.0
RENEW = 1 / 3  # of a lease
SLACK = 1.1  # held over the need by more than this is given back


class Demand:
    """What was asked of a budget lately, granted or not, as rights that it takes to meet it."""

    def __init__(self, window_ms: float, rest_ms: float) -> None:
        self.step = window_ms / PARTS
        self.per_right = rest_ms / window_ms  # a right rests longer than a window
        self.parts: deque[tuple[int, int]] = deque()  # number of the part, units

    def add(self, now: float, units: int) -> None:
        part = int(now / self.step)
        if self.parts and self.parts[-1][0] == part:
            self.parts[-1] = (part, self.parts[-1][1] + units)
        else:
            self.parts.append((part, units))
            self._forget(part)

    def _forget(self, part: int) -> None:
        while self.parts and self.parts[0][0] <= part - RECENT * PARTS:
            self.parts.popleft()

    def need(self, now: float, scatter: bool) -> int:
        """Rights that meet the mean of the last windows, and its usual scatter if asked; 0 where nothing was wanted."""
        part = int(now / self.step)
        self._forget(part)
        units = sum(count for _, count in self.parts)
        if not units:
            return 0
        mean = units / RECENT
        return math.ceil((mean + scatter * math.sqrt(mean)) * self.per_right) + scatter


class Lenders:
    """Whom to ask next: who had some left when it last answered, else at random, with longer and longer pauses."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.again: dict[str, tuple[float, float]] = {}  # not before, pause
        self.spare: dict[str, int] = {}
        self._dry: deque[bool] = deque([False], maxlen=ASKED_AT_ONCE)  # of the last answers: nothing, and none left

    @property
    def scarce(self) -> bool:
        """Nobody had anything lately: room for scatter would only keep rights idle that others lack."""
        return all(self._dry)

    def choose(self, now: float, homes: Iterable[str]) -> list[str]:
        free = [name for name in homes if now >= self.again.get(name, (0.0, 0.0))[0]]
        self.random.shuffle(free)
        free.sort(key=lambda name: -self.spare.get(name, 0))
        return free[:ASKED_AT_ONCE]

    def answered(self, now: float, name: str, got: int, spare: int) -> None:
        self.spare[name] = spare
        self._dry.append(not got and not spare)
        if got:
            self.again.pop(name, None)
        else:
            self.silent(now, name)

    def silent(self, now: float, name: str) -> None:
        pause = min(BACKOFF_MOST_MS, 2.0 * self.again.get(name, (0.0, BACKOFF_MS / 2.0))[1])
        self.again[name] = (now + pause * (0.5 + self.random.random()), pause)


def offer(rights: Rights, need: int, loan: Lent, borrower: str) -> tuple[int, int]:
    """What to lend now in answer to an Ask, and what that borrower should hold at most.

    All claimants of the own rights, oneself among them, are served max-min fair. What a borrower holds over its share
    comes back as it rests (`keep`), so that a small claim is met within a window or two, whoever was first.
    """
    wants = {name: other.want for name, other in rights.lent.items()}
    shares = fair({"": need, **wants}, rights.own)
    give = min(shares[borrower] - loan.out, rights.pool.ready, rights.in_hand - shares[""])
    return max(0, give), shares[borrower]


def spare(rights: Rights, need: int) -> int:
    """Rights that would be lent to who asked for them."""
    return max(0, min(rights.pool.ready, rights.in_hand - need))


def excess(rights: Rights, need: int) -> list[tuple[str, int]]:
    """What should go back of each loan: over what its lender would have us hold, and over the need, smallest first."""
    out = []
    over = rights.held - max(math.ceil(need * SLACK), min(need, rights.in_hand) + 1 if need else 0)
    for lender, loan in sorted(rights.borrowed.items(), key=lambda item: (item[1].held, item[0])):
        units = max(loan.held - loan.keep, min(loan.held, over), 0)
        out.append((lender, units))
        over -= units
    return out


def renewals(rights: Rights, now: float) -> list[str]:
    """Loans that are to be asked for again."""
    return [name for name, loan in rights.borrowed.items() if now - loan.asked >= RENEW * rights.lease_ms]
