"""Quota for slow start: how much work each coordinator may send to an engine that has just started.

Each start of an engine (its name and when it began) has one budget of work in any window, for all coordinators
together. It is divided in UNITS_PER_START, which the seeds own for good; a coordinator without units in hand sends
nothing to that engine while it is warming up, whatever it believes of the others. A seed that is cut off has its own
units, the plain share. Units are spent at the moment of the first byte, so that no time between decision and byte has
to be counted in their cooldown.

The accounts are kept by `quota_escrow`, quota moves by `budgets`, and what the whole budget is in work is known to the
decision module. No I/O and no clock: times are ms, `now` of the own monotonic clock, `unix_ms` where it is named so.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import Any, NamedTuple

from frostspindle.fleet.budgets import Budget
from frostspindle.fleet.node import FleetNode
from frostspindle.fleet.quota_demand import StatedDemand
from frostspindle.fleet.quota_escrow import QuotaAccount

UNITS_PER_START = 960  # small beside a query, and some for each of the most seeds there may be
MAX_STARTS = 512  # that are looked after at once
COORDINATORS_PER_ENGINE = 2  # with fewer for each engine in slow start, they choose theirs by who is present
TURN_WINDOWS = 2.0  # duration of a turn: what the one before has used must cool down first
NAME_PREFIX = "~"  # of budget names: no budget of the settings can have it
HASH_END = 17  # where the engine's hash ends in a budget name
IDLE_MS = 300.0  # an engine that was not in slow start here for so long is wanted no more
MAX_CLOCK_SKEW_MS = 2_000.0  # an engine's clock may be so far ahead of ours
MAX_STARTED_MS = 1e14  # Unix time
MAX_STARTS_SHOWN = 64


def budget_factor(coordinators: int, outside: int, sparse: bool, safety: tuple[float, float]) -> float:
    """Return how many times the module's budget the quota is worth.

    The module uses less of its budget (`safety`, by shares and by turns) where shares are so small that it takes turns,
    as one turn ends when the next begins. Quota is counted in any window, so that all of what shares may have can be
    used.
    """
    return safety[0] / safety[1] if sparse and coordinators > 1 and not outside else 1.0


def work_to_request(queued_work: Sequence[float], engines: int, even_share: float) -> tuple[float, float]:
    """Return the work to request quota for at one of `engines` in slow start, and the smallest of the queued works.

    If all requested everything at every engine, each would get an even share, in which little fits. So a coordinator
    requests at one engine what its even shares of all engines (`even_share`: of one) come to; the smallest works go
    first, and one at least, which the lenders meet in turn if it is more.
    """
    total = 0.0
    ascending = sorted(queued_work)
    for work in ascending:
        if total and total + work > even_share * engines:
            break
        total += work
    return total, ascending[0] if ascending else 0.0


def requests_at(number: int, name: str, others: Collection[str], place: int, engines: int) -> bool:
    """Tell whether this coordinator (`number` of all, with `others` present) requests quota at the engine in `place`.

    By fixed numbers the first few coordinators to return would crowd at one engine and leave others unused, so few of
    them choose by rank among those present. With more the choice would change with each arrival, and quota would move
    for it.
    """
    few = len(others) + 1 < COORDINATORS_PER_ENGINE * engines
    rank = sum(other < name for other in others) if few else number
    return place == rank % engines


class StartReference(NamedTuple):
    """One start of an engine, as a budget name states it."""

    engine_hash: str
    started_ms: float  # Unix time


def budget_name(engine: str, started_ms: float) -> str:
    """Return the budget name of one start of an engine: the engine's hash and the start in Unix ms."""
    engine_hash = blake2b(engine.encode(), digest_size=8).hexdigest()
    return _format_name(engine_hash, min(max(started_ms, 0.0), MAX_STARTED_MS))


def _format_name(engine_hash: str, started_ms: float) -> str:
    return f"{NAME_PREFIX}{engine_hash}@{started_ms:.3f}"


def parse_budget_name(name: str) -> StartReference | None:
    """Read the name of a start's budget; None if it is no such name."""
    if len(name) < HASH_END + 2 or name[0] != NAME_PREFIX or name[HASH_END] != "@":
        return None
    try:
        started_ms = float(name[HASH_END + 1 :])
    except ValueError:
        return None
    engine_hash = name[1:HASH_END]
    if 0.0 <= started_ms <= MAX_STARTED_MS and name == _format_name(engine_hash, started_ms):
        return StartReference(engine_hash, started_ms)
    return None


@dataclass(slots=True)
class EngineStart:
    """One start of an engine, as this coordinator knows it."""

    engine_hash: str
    started_ms: float  # Unix time
    account: QuotaAccount
    demand: StatedDemand
    last_used_at: float  # when it was last in slow start here, or quota of it was requested
    last_cold_at: float = -math.inf  # when it was last in slow start here
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # Unix ms of the decision, work


class SlowStartBudgets:
    """One process's quota in the budgets of engines in slow start, one budget for each start of an engine."""

    def __init__(
        self,
        node: FleetNode,
        window_ms: float,
        coordinators: int,
        outside: int,
        lease_ms: float,
        now: float,
        unix_ms: float,
    ) -> None:
        """`coordinators` share each engine, of which `outside` never use quota but their plain share; `now`: from
        when this process is the only one of its name."""
        self.node = node
        self.window_ms = window_ms
        self.lease_ms = lease_ms
        self.units = UNITS_PER_START * (coordinators - outside) // coordinators
        self.began_at = now
        self.began_unix_ms = unix_ms
        self.starts: dict[str, EngineStart] = {}  # by budget name
        self.newest: dict[str, float] = {}  # by engine hash: the latest start that is known here, Unix ms
        # What the store says: while `blocked`, it says or may say that nothing of ours is out, so nothing may be.
        self.blocked = False
        self.clean_start = False  # it said so as this process began
        self.on_blocked: Callable[[], None] = lambda: None  # called when a start is needed while blocked
        self.count: Callable[[str], None] = lambda what: None
        node.budgets.may_open = self.may_open

    # Starts.

    def may_open(self, now: float, name: str) -> bool:
        """Tell whether this coordinator takes part in a start's budget, as another requests quota in it or answers.

        Once a later start of the same engine is known, nothing of the earlier budget is lent: what is still sent under
        it would reach the new process. A start unknown here is taken up, unless it lies in the future by more than
        MAX_CLOCK_SKEW_MS.
        """
        reference = parse_budget_name(name)
        if reference is None or reference.started_ms > self._unix_ms(now) + MAX_CLOCK_SKEW_MS:
            return False
        start = self._find_or_open(now, name, reference)
        if start is None:
            return False
        start.last_used_at = now
        return not self.blocked and reference.started_ms >= self.newest[reference.engine_hash]

    def _unix_ms(self, now: float) -> float:
        return self.began_unix_ms + (now - self.began_at)

    def _cold_start(self, now: float, engine: str, started_ms: float) -> EngineStart | None:
        """The start of an engine that is in slow start here; None if there is no room, or it is outdated."""
        name = budget_name(engine, started_ms)
        start = self._find_or_open(now, name, parse_budget_name(name) or StartReference("", 0.0))
        if start is not None:
            start.last_used_at = now
            start.last_cold_at = now
        return start

    def _find_or_open(self, now: float, name: str, reference: StartReference) -> EngineStart | None:
        return self.starts.get(name) or self._open(now, name, reference)

    def _open(self, now: float, name: str, reference: StartReference) -> EngineStart | None:
        engine_hash, started_ms = reference
        if len(self.starts) >= MAX_STARTS:
            self.count("cold_full")
            return None
        if started_ms < self.newest.get(engine_hash, 0.0):
            self.count("cold_old_start")
            return None
        if self.blocked:
            self.on_blocked()
        # What a predecessor of ours lent or used, of this start or of one before, is over after the first cooldown.
        budget = Budget(name, self.units, self.window_ms)
        account, demand = self.node.budgets.open(now, budget, self.lease_ms, self.began_at)
        if self.clean_start:
            account.end_first_cooldown()
        previous = [other for other in self.starts.values() if other.engine_hash == engine_hash]
        self.newest[engine_hash] = started_ms
        start = EngineStart(engine_hash, started_ms, account, demand, now)
        self.starts[name] = start
        if previous:
            self._take_over(now, start, previous)
        return start

    def _take_over(self, now: float, start: EngineStart, previous: Iterable[EngineStart]) -> None:
        """Have a start use the units of the ones before: coordinators that do not know it may still use some."""
        start.account.pool.take_all()
        start.account.owned = 0
        start.sent.extend(sorted(sent for other in previous for sent in other.sent))
        self._move_to_newest(now)

    def _move_to_newest(self, now: float) -> None:
        """Move own units of earlier starts that are in hand to the newest start of their engine."""
        newest = {start.engine_hash: start for start in self.starts.values() if self._is_newest(start)}
        for start in self.starts.values():
            target = newest[start.engine_hash]
            if target is not start:
                start.account.move_owned(now, target.account)

    def _is_newest(self, start: EngineStart) -> bool:
        return start.started_ms == self.newest[start.engine_hash]

    def set_store_state(self, now: float, blocked: bool, clean_start: bool) -> None:
        """Take what the store says, as `recovery.node` has it: `blocked`, so that nothing may be lent or used.

        `clean_start`, so that nothing has to cool down first. Not called without a store.
        """
        self.blocked = blocked
        if not clean_start or self.clean_start:
            return
        self.clean_start = True
        for start in self.starts.values():
            # Later some may be cooling from our own use.
            if now < self.began_at + start.account.reclaim_ms + start.account.cooldown_ms:
                start.account.end_first_cooldown()

    @property
    def idle(self) -> bool:
        """Whether nothing is lent, borrowed or wanted, so that the store may record it."""
        return not self.starts

    def tick(self, now: float) -> None:
        """Move returned units to the newest starts, and forget starts long warm or gone that have nothing out."""
        self._move_to_newest(now)
        for name, start in list(self.starts.items()):
            if now - start.last_cold_at >= IDLE_MS:
                start.demand.units = 0  # or two that no longer use it would keep each other at lending
            if self._may_close(now, start) and self.node.budgets.close(now, name):
                del self.starts[name]
                if not any(other.engine_hash == start.engine_hash for other in self.starts.values()):
                    del self.newest[start.engine_hash]

    def _may_close(self, now: float, start: EngineStart) -> bool:
        # As long after the last use as others may still count a loan to us, so that none is taken up again.
        quiet_ms = start.account.reclaim_ms + 2.0 * start.account.cooldown_ms
        if now - start.last_used_at < quiet_ms:
            return False
        # Not before what earlier starts have lent is back: it would be lost.
        return not any(
            other.engine_hash == start.engine_hash and other.started_ms < start.started_ms
            for other in self.starts.values()
        )

    # What the coordinator asks.

    def usable_fraction(
        self,
        now: float,
        unix_ms: float,
        engine: str,
        started_ms: float,
        budget_work: float,
        sent_part: float,
        wanted_part: float,
        min_part: float = 0.0,
        until_ms: float = 0.0,
    ) -> float:
        """Return the part of the whole budget (`budget_work` in a window) that the decision module may count as its
        own; state the demand for it.

        `sent_part` and `wanted_part` are the module's own figures, as parts of the whole: sent in its window, and
        turned down lately; `min_part` is the part that one usual query takes: smaller shares are served in turns of
        TURN_WINDOWS windows. The module counts a send until its window is over, while units cool down a little longer:
        so the part is what the module still counts for the next `until_ms`, plus what is ready.
        """
        start = self._cold_start(now, engine, started_ms)
        if start is None:
            return 0.0
        if not self._is_current(start):
            start.demand.units = 0
            return 0.0
        start.demand.units = self._demanded_units(start, sent_part + wanted_part)
        start.demand.min_share = math.ceil(min_part * UNITS_PER_START)
        start.demand.turn = int(unix_ms / (TURN_WINDOWS * self.window_ms))
        while start.sent and start.sent[0][0] < unix_ms + until_ms - self.window_ms:
            start.sent.popleft()
        counted = sum(work for _, work in start.sent) / budget_work if budget_work > 0 else 0.0
        return counted + (0.0 if self.blocked else start.account.ready(now) / UNITS_PER_START)

    def _is_current(self, start: EngineStart) -> bool:
        """Whether no later start of the engine is known."""
        return self.newest[start.engine_hash] <= start.started_ms

    def _demanded_units(self, start: EngineStart, part: float) -> int:
        """Units whose use sends a part of the budget in each window, with the cooldown; one more for rounding."""
        if not part:
            return 0
        cooldown_windows = start.account.cooldown_ms / self.window_ms
        return min(self.units, math.ceil(part * UNITS_PER_START * cooldown_windows) + 1)

    def spend(
        self, now: float, engine: str, started_ms: float, decided_ms: float, work: float, budget_work: float
    ) -> bool:
        """Use units for a query of `work` just before its first byte; return whether it may be sent.

        False also while the store may say that nothing is out, and for an outdated start.
        """
        if budget_work <= 0 or self.blocked:
            return False
        start = self._cold_start(now, engine, started_ms)
        if start is None:
            return False
        if not self._is_current(start):
            self.count("cold_old_start")
            return False
        units = max(1, math.ceil(work * UNITS_PER_START / budget_work - 1e-9))
        if not start.account.spend(now, units):
            self.count("cold_unpaid")
            return False
        start.sent.append((decided_ms, work))
        return True

    def figures(self, now: float) -> dict[str, Any]:
        """Return for each start the units owned, held, ready and lent, and those used and denied in all."""
        return {name: _figures(start, now) for name, start in list(self.starts.items())[:MAX_STARTS_SHOWN]}


def _figures(start: EngineStart, now: float) -> dict[str, float]:
    account = start.account
    return {
        "born_ms": start.started_ms,
        "own": account.owned,
        "held": account.total,
        "ready": account.ready(now),
        "lent": account.owned - account.in_hand,
        "need": start.demand.units,
        "used": account.spent,
        "denied": account.denied,
    }
