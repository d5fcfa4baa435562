"""How a cold engine's budget is leased to workers: the sum never passes the whole, whatever a worker does.

Owns the units of each cold engine: which slot holds how many, which were taken back and not yet confirmed, and which
cool. It must never read a clock or a socket, never hand a unit to one worker while another's sends under it may still
count in the rule's window, and never judge an engine: what the budget is in work, the decision module knows.

The rule is a budget over any window of W ms. A worker with u of UNITS units sends at most u/UNITS of the budget in
any W ms. A unit may change hands only when nothing that was sent under it lies within W:

    granted --take back--> pending --worker confirms--> cooling (W + the time a decided send may still wait for its
    connection) --> free --> granted

A worker that hangs confirms nothing: its leases end by themselves at their horizon, which is renewed only while its
heart beats, and it compares the horizon with the clock before each use. A worker that dies has its units cooled from
its death on. All times are milliseconds of CLOCK_MONOTONIC, which the processes of one machine share.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from frostspindle.division import max_min_fair_shares

UNITS = 240  # of one engine's budget; divisible by most numbers of workers
RESERVE = 4  # a live worker keeps a RESERVE-th of its even share, so that a first request need not wait
LEASE_MS = 300.0  # a lease that is not renewed ends after this


@dataclass(slots=True, frozen=True)
class BudgetDemand:
    """A worker's report on one cold engine: parts of the whole budget, and the newest lease serial that it obeys."""

    spent: float = 0.0
    wished: float = 0.0
    seen: int = 0


@dataclass(slots=True)
class HeldUnits:
    """The units of one engine that one slot holds, and those taken back from it and not yet confirmed."""

    units: int = 0
    serial: int = 0  # of the last change
    pending: list[tuple[int, int]] = field(default_factory=list)  # serial, units: taken back, not yet confirmed


@dataclass(slots=True)
class BudgetLedger:
    """The units of one cold engine: held by slots, cooling, or free."""

    slots: list[HeldUnits]
    units: int = UNITS
    cooling: list[tuple[float, int]] = field(default_factory=list)  # free at, units
    heard_at: float = 0.0

    @property
    def free(self) -> int:
        """Number of units that no slot holds, that are not awaiting confirmation and do not cool."""
        held = sum(s.units + sum(units for _, units in s.pending) for s in self.slots)
        return self.units - held - sum(units for _, units in self.cooling)


def wanted(need: BudgetDemand, slots: int, whole: int = UNITS) -> int:
    """Return the units for a need, at least the reserve; one more than the need, to make up for rounding down."""
    reserve = whole // (slots * RESERVE)
    if not (need.spent or need.wished):
        return reserve
    return max(reserve, min(whole, math.ceil((need.spent + need.wished) * whole) + 1))


class LeaseArbiter:
    """The supervisor's side of the leases: one ledger for each cold engine; times in ms of CLOCK_MONOTONIC."""

    def __init__(
        self, slots: int, window_ms: float, settle_ms: float, lease_ms: float = LEASE_MS, units: int = UNITS
    ) -> None:
        self.units = units
        self.count, self.cool_ms, self.lease_ms = slots, window_ms + settle_ms, lease_ms
        self.engines: dict[int, BudgetLedger] = {}
        self.horizons = [-math.inf] * slots
        self.lives = [False] * slots
        self.changed = False

    def up(self, slot: int) -> None:
        """Note that a new process serves in the slot; it holds nothing yet."""
        self.lives[slot] = True

    def down(self, slot: int, now: float) -> None:
        """Note that the slot's process has ended: the units that it held cool from `now` on."""
        self.lives[slot], self.horizons[slot] = False, -math.inf
        for ledger in self.engines.values():
            held = ledger.slots[slot]
            units = held.units + sum(units for _, units in held.pending)
            if units:
                ledger.cooling.append((now + self.cool_ms, units))
                self.changed = True
            held.units, held.pending = 0, []
            held.serial += 1

    def beat(self, slot: int, now: float) -> None:
        """Renew the leases of a live slot after its heartbeat, for `lease_ms` from `now`."""
        if self.lives[slot]:
            self.horizons[slot] = now + self.lease_ms

    def step(self, now: float, needs: Mapping[int, Mapping[int, BudgetDemand]]) -> None:
        """Settle what was confirmed or has run out, then divide each cold engine's units anew.

        `needs`: for each engine that some worker holds cold, the report of each slot. An engine that no worker has
        named for the cooling time and a lease is forgotten.
        """
        for engine in needs.keys() - self.engines.keys():
            self.engines[engine] = BudgetLedger([HeldUnits() for _ in range(self.count)], self.units)
        for engine, ledger in list(self.engines.items()):
            if engine in needs:
                ledger.heard_at = now
            elif now - ledger.heard_at > self.cool_ms + self.lease_ms:
                del self.engines[engine]  # warm or gone for all of them
                self.changed = True
                continue
            self._settle(ledger, now, needs.get(engine, {}))
            self._share(ledger, now, needs.get(engine, {}))

    def _settle(self, ledger: BudgetLedger, now: float, needs: Mapping[int, BudgetDemand]) -> None:
        """What was confirmed, or has run out unconfirmed, cools; what has cooled is free."""
        for slot, held in enumerate(ledger.slots):
            seen = needs[slot].seen if slot in needs else -1
            for serial, units in list(held.pending):
                if seen >= serial:
                    held.pending.remove((serial, units))
                    ledger.cooling.append((now + self.cool_ms, units))
            if now >= self.horizons[slot] and (held.units or held.pending):
                units = held.units + sum(units for _, units in held.pending)
                held.units, held.pending, held.serial = 0, [], held.serial + 1
                ledger.cooling.append((max(now, self.horizons[slot]) + self.cool_ms, units))
                self.changed = True
        ledger.cooling = [(at, units) for at, units in ledger.cooling if now < at]

    def _share(self, ledger: BudgetLedger, now: float, needs: Mapping[int, BudgetDemand]) -> None:
        live = [slot for slot in range(self.count) if self.lives[slot] and now < self.horizons[slot]]
        target = max_min_fair_shares(
            {slot: wanted(needs.get(slot, BudgetDemand()), self.count, self.units) for slot in live}, self.units
        )
        short = sum(max(0, target[slot] - ledger.slots[slot].units) for slot in live)
        missing = (
            short
            - ledger.free
            - sum(units for _, units in ledger.cooling)
            - sum(units for held in ledger.slots for _, units in held.pending)
        )
        for slot in live:  # take back no more than others lack: what nobody asks for may stay where it is
            held = ledger.slots[slot]
            if (back := min(held.units - target[slot], missing)) > 0:
                held.units, held.serial, missing = held.units - back, held.serial + 1, missing - back
                held.pending.append((held.serial, back))
                self.changed = True
        for slot in live:
            held = ledger.slots[slot]
            if (more := min(target[slot] - held.units, ledger.free)) > 0:
                held.units, held.serial = held.units + more, held.serial + 1
                self.changed = True


def part(units: int, horizon_ms: float, now: float) -> float:
    """Return a worker's part of the whole budget now, 0 to 1; 0 once its lease has run out. Checked before each use."""
    return units / UNITS if now < horizon_ms else 0.0
