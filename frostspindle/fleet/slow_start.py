"""Cold engines' budgets as rights of the fleet: who may send how much to an engine that has just started.

Owns one budget for each start of an engine (its name and when it began), the part of it that this coordinator may use
now, and how much it asks others for. It must never do I/O or read a clock, never judge an engine or choose one, and
never let work pass that no right is paid for: `escrow` keeps the sums, `flow` moves rights, the decision module knows
what the whole budget is in work. Times are ms: `now` of the own monotonic clock, `unix` where it is named so.

A budget is so much work in any window of W ms, of all coordinators together. It is divided in UNITS, which the seeds
own for good; who has none in hand sends nothing to that engine while it is cold, whatever it believes of the others. A
coordinator that is a seed and hears nobody has its own units, the plain share. A right is paid at the moment of the
first byte, so that no time between decision and byte has to be counted in its rest.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any

from frostspindle.fleet.node import Budget, FleetNode
from frostspindle.fleet.quota_escrow import QuotaAccount
from frostspindle.fleet.quota_flow import StatedDemand

UNITS = 960  # of one start's budget: small beside a query, and some for each of the most seeds there may be
MOST = 512  # starts that are looked after at once
FEW = 2  # coordinators for each cold engine: fewer choose theirs by who is there
TURN = 2.0  # windows: what the one before has used must rest first
MARK, PLACE = "~", 17  # a name no budget of the settings can have; where its second part begins
IDLE_MS = 300.0  # what was not believed cold for so long is wanted no more
SKEW_MS = 2_000.0  # an engine's clock may be so far ahead of ours
LATEST_MS = 1e14


def exact(coordinators: int, outside: int, sparse: bool, safety: tuple[float, float]) -> float:
    """Return how many times the module's budget the rights are worth.

    The module uses less of its budget (`safety`, by shares and by turns) where shares are so small that it takes turns,
    as one turn ends when the next begins. Rights are counted in any window, so that all of what shares may have can be
    used.
    """
    return safety[0] / safety[1] if sparse and coordinators > 1 and not outside else 1.0


def wished(works: Sequence[float], engines: int, even: float) -> tuple[float, float]:
    """Return the work to ask for at one of `engines` cold engines, of the `works` that wait, and the smallest of them.

    If all asked for everything at every engine, each would get an even share, in which little fits. So a coordinator
    asks at one engine for what its even shares of all engines (`even`: of one) come to; the smallest works go first,
    and one at least, which `flow` meets in turn if it is more.
    """
    total, order = 0.0, sorted(works)
    for work in order:
        if total and total + work > even * engines:
            break
        total += work
    return total, order[0] if order else 0.0


def gathers(number: int, name: str, others: Collection[str], place: int, engines: int) -> bool:
    """Tell whether this coordinator (`number` of all, with `others` present) states its wish at the engine in `place`.

    By fixed numbers the first few coordinators to return would crowd at one engine and leave others unused, so few of
    them choose by rank among those present. With more the choice would change with each arrival, and rights would move
    for it.
    """
    few = len(others) + 1 < FEW * engines
    return place == (sum(other < name for other in others) if few else number) % engines


def named(engine: str, born_ms: float) -> str:
    """Return the budget name of one start of an engine: the engine's hash and the start in Unix ms."""
    place = blake2b(engine.encode(), digest_size=8).hexdigest()
    return f"{MARK}{place}@{min(max(born_ms, 0.0), LATEST_MS):.3f}"


def read(name: str) -> tuple[str, float] | None:
    """Split the name of a start's budget into hash and start (Unix ms); None if it is no such name."""
    if len(name) < PLACE + 2 or name[0] != MARK or name[PLACE] != "@":
        return None
    try:
        born = float(name[PLACE + 1 :])
    except ValueError:
        return None
    place = name[1:PLACE]
    return (place, born) if 0.0 <= born <= LATEST_MS and name == f"{MARK}{place}@{born:.3f}" else None


@dataclass(slots=True)
class EngineStart:
    """One start of an engine, as this coordinator knows it."""

    place: str
    born_ms: float
    rights: QuotaAccount
    wish: StatedDemand
    heard_at: float  # when it was last believed cold, or asked for
    cold_at: float = -math.inf  # when it was last believed cold here
    used: deque[tuple[float, float]] = field(default_factory=deque)  # Unix ms of the decision, work


class SlowStartBudgets:
    """One process's rights in the budgets of cold engines, one budget for each start of an engine."""

    def __init__(
        self,
        node: FleetNode,
        window_ms: float,
        coordinators: int,
        outside: int,
        lease_ms: float,
        now: float,
        unix: float,
    ) -> None:
        """`coordinators` share each engine, of which `outside` never use rights but their plain share; `now`: from
        when this process is the only one of its name."""
        self.node, self.window_ms, self.lease_ms = node, window_ms, lease_ms
        self.units = UNITS * (coordinators - outside) // coordinators
        self.now, self.unix = now, unix  # when the process began, by both clocks
        self.starts: dict[str, EngineStart] = {}
        self.newest: dict[str, float] = {}  # of each engine: the latest start that anybody here has heard of
        self.count: Callable[[str], None] = lambda what: None
        self.marked = False  # a store says, or may say, that nothing of ours is out: nothing may be
        self.woken: Callable[[], None] = lambda: None  # asked for a start while that is so
        self.spared = False  # so one did as this process began
        node.asked_for = self.asked_for

    # Starts.

    def asked_for(self, now: float, name: str) -> bool:
        """Tell whether this coordinator takes part in a start's budget, as another asks for rights in it or answers.

        Once a later start of the same engine is known, nothing of the earlier budget is lent: what is still sent under
        it would reach the new process. A start unknown here is taken up, unless it lies in the future by more than
        SKEW_MS.
        """
        parts = read(name)
        if parts is None or parts[1] > self.unix + (now - self.now) + SKEW_MS:
            return False
        place, born = parts
        if (start := self.starts.get(name) or self._open(now, name, place, born)) is None:
            return False
        start.heard_at = now
        return not self.marked and born >= self.newest[place]

    def _start(self, now: float, engine: str, born_ms: float) -> EngineStart | None:
        """The start that is believed cold here."""
        name = named(engine, born_ms)
        start = self.starts.get(name) or self._open(now, name, *(read(name) or ("", 0.0)))
        if start is not None:
            start.heard_at = start.cold_at = now
        return start

    def _open(self, now: float, name: str, place: str, born: float) -> EngineStart | None:
        if len(self.starts) >= MOST or born < self.newest.get(place, 0.0):
            self.count("cold_full" if len(self.starts) >= MOST else "cold_old_start")
            return None
        if self.marked:
            self.woken()
        # What a predecessor of ours lent or used, of this start or of one before, is over after a rest.
        rights, wish = self.node.open(now, Budget(name, self.units, self.window_ms), self.lease_ms, self.now)
        if self.spared:
            rights.wake()
        before = [other for other in self.starts.values() if other.place == place]
        self.newest[place] = born
        start = self.starts[name] = EngineStart(place, born, rights, wish, now)
        if before:  # the units are those of the start before, and who has not heard of this one may still use some
            rights.pool.take()
            rights.own = 0
            start.used.extend(sorted(use for other in before for use in other.used))
            self._carry(now)
        return start

    def _carry(self, now: float) -> None:
        """Own units of earlier starts that are in hand belong to the newest start of their engine."""
        newest = {start.place: start for start in self.starts.values() if start.born_ms == self.newest[start.place]}
        for start in self.starts.values():
            if (other := newest[start.place]) is not start:
                start.rights.move(now, other.rights)

    def kept(self, now: float, marked: bool, spared: bool) -> None:
        """Take what the store says, as `recovery.node` has it: `marked`, so that nothing may be lent or used.

        `spared`, so that nothing has to rest. Not called without a store.
        """
        self.marked = marked
        if spared and not self.spared:
            self.spared = True
            for start in self.starts.values():
                if now < self.now + start.rights.back_ms + start.rights.rest_ms:  # or some rest from our own use
                    start.rights.wake()

    @property
    def quiet(self) -> bool:
        """Whether nothing is lent, borrowed or wanted, so that the store may record it."""
        return not self.starts

    def tick(self, now: float) -> None:
        """Move returned units to the newest starts, and forget starts long warm or gone that have nothing out."""
        self._carry(now)
        for name, start in list(self.starts.items()):
            if now - start.cold_at >= IDLE_MS:
                start.wish.units = 0  # or two that no longer use it would keep each other at lending
            # As long after the last use as others may still count a loan to us, so that none is taken up again.
            quiet = start.rights.back_ms + 2.0 * start.rights.rest_ms
            if now - start.heard_at < quiet or any(
                # Not before what earlier starts have lent is back: it would be lost.
                o.place == start.place and o.born_ms < start.born_ms
                for o in self.starts.values()
            ):
                continue
            if self.node.shut(now, name):
                del self.starts[name]
                if not any(other.place == start.place for other in self.starts.values()):
                    del self.newest[start.place]

    # What the coordinator asks.

    def look(
        self,
        now: float,
        unix: float,
        engine: str,
        born_ms: float,
        whole: float,
        spent: float,
        wished: float,
        least: float = 0.0,
        until_ms: float = 0.0,
    ) -> float:
        """Return the part of the whole budget (`whole`: work in a window) that the decision module may count as its
        own.

        `spent` and `wished` are the module's own figures, as parts of the whole: sent in its window, and turned down
        lately; `least` is the part that one usual query takes: smaller shares are served in turns of TURN windows. The
        module counts a send until its window is over, while rights rest a little longer: so the part is what the module
        still counts for the next `until_ms`, plus what is ready.
        """
        if (start := self._start(now, engine, born_ms)) is None:
            return 0.0
        if self.newest[start.place] > start.born_ms:
            start.wish.units = 0
            return 0.0
        rest = start.rights.rest_ms / self.window_ms
        start.wish.units = min(self.units, math.ceil((spent + wished) * UNITS * rest) + 1) if spent + wished else 0
        start.wish.least, start.wish.turn = math.ceil(least * UNITS), int(unix / (TURN * self.window_ms))
        while start.used and start.used[0][0] < unix + until_ms - self.window_ms:
            start.used.popleft()
        counted = sum(work for _, work in start.used) / whole if whole > 0 else 0.0
        return counted + (0.0 if self.marked else start.rights.ready(now) / UNITS)

    def pay(self, now: float, engine: str, born_ms: float, decided_ms: float, work: float, whole: float) -> bool:
        """Use rights for a query of `work` just before its first byte; return whether it may be sent.

        False also while the store may say that nothing is out, and for an outdated start.
        """
        if whole <= 0 or self.marked or (start := self._start(now, engine, born_ms)) is None:
            return False
        if self.newest[start.place] > start.born_ms:
            self.count("cold_old_start")
            return False
        if not start.rights.spend(now, max(1, math.ceil(work * UNITS / whole - 1e-9))):
            self.count("cold_unpaid")
            return False
        start.used.append((decided_ms, work))
        return True

    def figures(self, now: float) -> dict[str, Any]:
        """Return for each start the units owned, held, ready and lent, and those used and denied in all."""
        return {
            name: {
                "born_ms": s.born_ms,
                "own": s.rights.own,
                "held": s.rights.held,
                "ready": s.rights.ready(now),
                "lent": s.rights.own - s.rights.in_hand,
                "need": s.wish.units,
                "used": s.rights.spent,
                "denied": s.rights.denied,
            }
            for name, s in list(self.starts.items())[:64]
        }
