"""Slow-start quota: how much work each coordinator may send to an engine that has recently started.

Each start of an engine (its name and start time) has one budget of work per window, shared by all coordinators. It is
divided into UNITS_PER_START units, which are permanently owned by the seeds. A coordinator without units sends nothing
to the engine during slow start, whatever it knows about the others; a partitioned seed still has its own units, an even
share. Units are spent when the first byte is sent, so their cooldown need not cover the time since the decision.

Accounts are implemented in `quota_escrow`, the exchange of quota in `budgets`; the amount of work in a budget is known
to the decision module. No I/O and no clock: times are in ms, `now` of the local monotonic clock, `unix_ms` Unix time.
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

UNITS_PER_START = 960  # a unit is small compared to a query, and even the largest number of seeds gets some each
MAX_STARTS = 512  # tracked at once
COORDINATORS_PER_ENGINE = 2  # with fewer live ones per engine in slow start, they choose engines by rank
ROTATION_WINDOWS = 2.0  # windows per rotation, as units used in the previous one must cool down first
NAME_PREFIX = "~"  # of budget names; not allowed in names of budgets in the settings
HASH_END = 17  # index after the engine's hash in a budget name
IDLE_MS = 300.0  # demand ends when an engine has not been in slow start here for so long
MAX_CLOCK_SKEW_MS = 2_000.0  # by which an engine's clock may be ahead of the local one
MAX_STARTED_MS = 1e14  # Unix time
MAX_STARTS_SHOWN = 64


def budget_factor(coordinators: int, outside: int, sparse: bool, safety: tuple[float, float]) -> float:
    """Return the ratio of the quota's worth to the decision module's budget.

    Where shares are so small that the module lets coordinators take turns, it uses a smaller part of its budget
    (`safety`: with shares and with turns), as one turn may overlap the next. Quota limits the work in any window, so as
    much as with shares can be used.
    """
    return safety[0] / safety[1] if sparse and coordinators > 1 and not outside else 1.0


def work_to_request(queued_work: Sequence[float], engines: int, even_share: float) -> tuple[float, float]:
    """Return the work to request quota for at one of `engines` in slow start, and the smallest queued work.

    If all coordinators requested quota for all of their work at every engine, each would get an even share, which fits
    few queries. Instead, a coordinator requests at one engine the sum of its even shares of all engines (`even_share`
    is that of one). It takes the smallest queued works first, and at least one; lenders grant a larger one by rotation.
    """
    total = 0.0
    ascending = sorted(queued_work)
    for work in ascending:
        if total and total + work > even_share * engines:
            break
        total += work
    return total, ascending[0] if ascending else 0.0


def requests_at(number: int, name: str, others: Collection[str], index: int, engines: int) -> bool:
    """Return whether this coordinator requests quota at the engine with this index among those in slow start.

    While few coordinators are alive, they choose by rank among the live ones, as their fixed numbers could send several
    to one engine and leave others unused. With more coordinators a rank would change with each arrival and move quota
    for no reason, so they choose by `number`.
    """
    few = len(others) + 1 < COORDINATORS_PER_ENGINE * engines
    rank = sum(other < name for other in others) if few else number
    return index == rank % engines


class StartReference(NamedTuple):
    """One start of an engine, as encoded in a budget name."""

    engine_hash: str
    started_ms: float  # Unix time


def budget_name(engine: str, started_ms: float) -> str:
    """Return the budget name of one start of an engine: hash of its name, and Unix time of the start in ms."""
    engine_hash = blake2b(engine.encode(), digest_size=8).hexdigest()
    return _format_name(engine_hash, min(max(started_ms, 0.0), MAX_STARTED_MS))


def _format_name(engine_hash: str, started_ms: float) -> str:
    return f"{NAME_PREFIX}{engine_hash}@{started_ms:.3f}"


def parse_budget_name(name: str) -> StartReference | None:
    """Parse the budget name of a start; return None for any other name."""
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
    """Local state of one start of an engine."""

    engine_hash: str
    started_ms: float  # Unix time
    account: QuotaAccount
    demand: StatedDemand
    last_used_at: float  # when it was last in slow start here, or another coordinator sent a message about its quota
    last_slow_start_at: float = -math.inf  # when it was last in slow start here
    sent: deque[tuple[float, float]] = field(default_factory=deque)  # Unix ms of each decision, and its work


class SlowStartBudgets:
    """One process's accounts for engines in slow start, with one budget per start of an engine."""

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
        """`coordinators` share each engine; `outside` of them do not use quota, but always an even share. `now`: when
        this process became the only one of its name."""
        self.node = node
        self.window_ms = window_ms
        self.lease_ms = lease_ms
        self.units = UNITS_PER_START * (coordinators - outside) // coordinators
        self.created_at = now
        self.created_unix_ms = unix_ms
        self.starts: dict[str, EngineStart] = {}  # by budget name
        self.newest: dict[str, float] = {}  # by engine hash: latest known start, Unix ms
        # State of the store. While `blocked`, it records, or may record, that this process has no quota in use.
        self.blocked = False
        self.clean_start = False  # whether the store recorded that when this process started
        self.on_blocked: Callable[[], None] = lambda: None  # called when a start is opened while blocked
        self.count: Callable[[str], None] = lambda counter: None
        node.budgets.may_open = self.may_open

    # Starts.

    def may_open(self, now: float, name: str) -> bool:
        """Return whether a budget named in another coordinator's message is open, opening it if necessary.

        Once a later start of the same engine is known, units of the earlier budget are not lent any more, as work sent
        under it would reach the new process. An unknown start is opened, unless it is in the future by more than
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
        return self.created_unix_ms + (now - self.created_at)

    def _record_slow_start(self, now: float, engine: str, started_ms: float) -> EngineStart | None:
        """Return the start of an engine in slow start, marked as used; None if there is no room or it is outdated."""
        name = budget_name(engine, started_ms)
        start = self._find_or_open(now, name, parse_budget_name(name) or StartReference("", 0.0))
        if start is not None:
            start.last_used_at = now
            start.last_slow_start_at = now
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
        # The first cooldown outlasts all loans and uses by a predecessor of this process, for this or earlier starts.
        budget = Budget(name, self.units, self.window_ms)
        account, demand = self.node.budgets.open(now, budget, self.lease_ms, self.created_at)
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
        """Transfer units from earlier starts, as coordinators that do not know the new one may still use some."""
        start.account.pool.take_all()
        start.account.owned = 0
        start.sent.extend(sorted(sent for other in previous for sent in other.sent))
        self._move_to_newest(now)

    def _move_to_newest(self, now: float) -> None:
        """Move the unlent units of earlier starts to the newest start of their engine."""
        newest = {start.engine_hash: start for start in self.starts.values() if self._is_newest(start)}
        for start in self.starts.values():
            target = newest[start.engine_hash]
            if target is not start:
                start.account.move_owned(now, target.account)

    def _is_newest(self, start: EngineStart) -> bool:
        return start.started_ms == self.newest[start.engine_hash]

    def set_store_state(self, now: float, blocked: bool, clean_start: bool) -> None:
        """Set the state of the store, as reported by `recovery.node`; not called without a store.

        `blocked`: no units may be lent or used now. `clean_start`: the owned units need no first cooldown.
        """
        self.blocked = blocked
        if not clean_start or self.clean_start:
            return
        self.clean_start = True
        for start in self.starts.values():
            # After the first cooldown, units may be cooling down from use by this process.
            if now < self.created_at + start.account.reclaim_ms + start.account.cooldown_ms:
                start.account.end_first_cooldown()

    @property
    def idle(self) -> bool:
        """Whether no quota is lent, borrowed or wanted, so that the store may record that."""
        return not self.starts

    def tick(self, now: float) -> None:
        """Move returned units to the newest starts, and close the accounts of starts that are no longer used."""
        self._move_to_newest(now)
        for name, start in list(self.starts.items()):
            if now - start.last_slow_start_at >= IDLE_MS:
                start.demand.units = 0  # else two coordinators without need would keep borrowing from each other
            if self._may_close(now, start) and self.node.budgets.close(now, name):
                del self.starts[name]
                if not any(other.engine_hash == start.engine_hash for other in self.starts.values()):
                    del self.newest[start.engine_hash]

    def _may_close(self, now: float, start: EngineStart) -> bool:
        # For this long after the last use, lenders may still count a loan to this process and expect it to continue.
        quiet_ms = start.account.reclaim_ms + 2.0 * start.account.cooldown_ms
        if now - start.last_used_at < quiet_ms:
            return False
        # Units that earlier starts have lent would be lost if they came back after this start was closed.
        return not any(
            other.engine_hash == start.engine_hash and other.started_ms < start.started_ms
            for other in self.starts.values()
        )

    # Calls of the coordinator.

    def usable_fraction(
        self,
        now: float,
        unix_ms: float,
        engine: str,
        started_ms: float,
        budget_work: float,
        sent_fraction: float,
        wanted_fraction: float,
        min_fraction: float = 0.0,
        until_ms: float = 0.0,
    ) -> float:
        """Return the fraction of the whole budget (`budget_work` per window) that the decision module may use, and
        update the demand for it.

        `sent_fraction` and `wanted_fraction` are the module's own figures, relative to the whole budget: work sent in
        its window, and work recently denied. `min_fraction` is that of a typical query; smaller shares are replaced by
        rotations of ROTATION_WINDOWS windows. The module counts sent work for one window, but units cool down slightly
        longer. Therefore the result is the work that the module will still count in `until_ms`, plus the ready units.
        """
        start = self._record_slow_start(now, engine, started_ms)
        if start is None:
            return 0.0
        if not self._is_current(start):
            start.demand.units = 0
            return 0.0
        start.demand.units = self._demanded_units(start, sent_fraction + wanted_fraction)
        start.demand.min_share = math.ceil(min_fraction * UNITS_PER_START)
        start.demand.rotation = int(unix_ms / (ROTATION_WINDOWS * self.window_ms))
        while start.sent and start.sent[0][0] < unix_ms + until_ms - self.window_ms:
            start.sent.popleft()
        counted = sum(work for _, work in start.sent) / budget_work if budget_work > 0 else 0.0
        return counted + (0.0 if self.blocked else start.account.ready(now) / UNITS_PER_START)

    def _is_current(self, start: EngineStart) -> bool:
        """Return whether no later start of the engine is known."""
        return self.newest[start.engine_hash] <= start.started_ms

    def _demanded_units(self, start: EngineStart, fraction: float) -> int:
        """Return the units needed to send a fraction of the budget per window, with their cooldown and rounding."""
        if not fraction:
            return 0
        cooldown_windows = start.account.cooldown_ms / self.window_ms
        return min(self.units, math.ceil(fraction * UNITS_PER_START * cooldown_windows) + 1)

    def spend(
        self, now: float, engine: str, started_ms: float, decided_ms: float, work: float, budget_work: float
    ) -> bool:
        """Spend units for a query of `work` just before its first byte is sent; return whether it may be sent.

        Also return False while `blocked`, and for an outdated start.
        """
        if budget_work <= 0 or self.blocked:
            return False
        start = self._record_slow_start(now, engine, started_ms)
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
        """Return the units of each start: owned, held, ready and lent, and the totals used and denied."""
        return {name: _figures(start, now) for name, start in list(self.starts.items())[:MAX_STARTS_SHOWN]}


def _figures(start: EngineStart, now: float) -> dict[str, float]:
    account = start.account
    return {
        "born_ms": start.started_ms,
        "own": account.owned,
        "held": account.total,
        "ready": account.ready(now),
        "lent": account.owned - account.unlent,
        "need": start.demand.units,
        "used": account.spent,
        "denied": account.denied,
    }
