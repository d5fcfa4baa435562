"""Leases on the budget of a cold (warming up) engine: the workers together never exceed it, whatever one of them does.

Keeps the units of each cold engine: which slot holds how many, which were revoked and not yet confirmed, and which are
cooling. No I/O and no clock. A unit is not granted to one worker while another's sends under it may still count in the
window of the rule. How much work the budget is, the decision module determines.

The rule is a budget over any window of W ms. A worker with u of UNITS units sends at most u/UNITS of the budget in
any W ms. A unit may be granted to another worker only when nothing that was sent under it lies within W:

    granted --revoke--> pending --worker confirms--> cooling (W + the time a decided send may still wait for its
    connection) --> free --> granted

A worker that hangs confirms nothing: its leases end by themselves at their expiry, which is renewed only by heartbeats,
and it compares the expiry with the clock before each use. The units of a worker that dies are cooling from its death
on. All times are milliseconds of CLOCK_MONOTONIC, which the processes of one machine share.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from frostspindle.division import max_min_fair_shares

UNITS = 240  # of one engine's budget; divisible by most numbers of workers
RESERVE_DIVISOR = 4  # a live worker keeps this part of its even share, so that a first request need not wait
MAX_SEND_DELAY_MS = 400.0  # a send to a cold engine that has waited longer for a connection is not covered by a lease
LEASE_MS = 300.0  # a lease that is not renewed expires after this


@dataclass(slots=True, frozen=True)
class BudgetDemand:
    """A worker's report on one cold engine: fractions of the budget, and the serial of the newest applied lease."""

    spent: float = 0.0
    wanted: float = 0.0
    lease_serial: int = 0


@dataclass(slots=True)
class HeldUnits:
    """The units of one engine that one slot holds, and those revoked from it and not yet confirmed."""

    units: int = 0
    serial: int = 0  # of the last change
    pending: list[tuple[int, int]] = field(default_factory=list)  # serial and units of each unconfirmed revocation

    @property
    def pending_units(self) -> int:
        """Number of units that were revoked and not yet confirmed."""
        return sum(units for _, units in self.pending)

    def revoke_all(self) -> int:
        """Take back all units, also those pending, without waiting for a confirmation; return their number."""
        units = self.units + self.pending_units
        self.units = 0
        self.pending = []
        self.serial += 1
        return units


@dataclass(slots=True)
class BudgetLedger:
    """The units of one cold engine: held by slots, cooling, or free."""

    slots: list[HeldUnits]
    units: int = UNITS
    cooling: list[tuple[float, int]] = field(default_factory=list)  # when they are free, units
    last_demand_at: float = 0.0

    @property
    def cooling_units(self) -> int:
        """Number of units whose former use may still count in the window."""
        return sum(units for _, units in self.cooling)

    @property
    def free(self) -> int:
        """Number of units that no slot holds, and that are neither pending nor cooling."""
        held = sum(slot.units + slot.pending_units for slot in self.slots)
        return self.units - held - self.cooling_units


def units_wanted(demand: BudgetDemand, slots: int, total: int = UNITS) -> int:
    """Return the units for a demand, at least the reserve; one more than the demand, to make up for rounding down."""
    reserve = total // (slots * RESERVE_DIVISOR)
    if not (demand.spent or demand.wanted):
        return reserve
    return max(reserve, min(total, math.ceil((demand.spent + demand.wanted) * total) + 1))


class LeaseArbiter:
    """The supervisor's side of the leases: one ledger for each cold engine; times in ms of CLOCK_MONOTONIC."""

    def __init__(
        self, slots: int, window_ms: float, max_send_delay_ms: float, lease_ms: float = LEASE_MS, units: int = UNITS
    ) -> None:
        self.units = units
        self.slot_count = slots
        self.cooling_ms = window_ms + max_send_delay_ms
        self.lease_ms = lease_ms
        self.engines: dict[int, BudgetLedger] = {}
        self.lease_expiries = [-math.inf] * slots  # by slot
        self.alive = [False] * slots
        self.changed = False  # leases differ from those last published; the caller resets it

    def worker_started(self, slot: int) -> None:
        """Record that a new process serves in the slot; it holds nothing yet."""
        self.alive[slot] = True

    def worker_ended(self, slot: int, now: float) -> None:
        """Record that the slot's process has ended: the units that it held are cooling from `now` on."""
        self.alive[slot] = False
        self.lease_expiries[slot] = -math.inf
        for ledger in self.engines.values():
            units = ledger.slots[slot].revoke_all()
            if units:
                ledger.cooling.append((now + self.cooling_ms, units))
                self.changed = True

    def renew(self, slot: int, now: float) -> None:
        """Renew the leases of a live slot after its heartbeat, for `lease_ms` from `now`."""
        if self.alive[slot]:
            self.lease_expiries[slot] = now + self.lease_ms

    def rebalance(self, now: float, demands: Mapping[int, Mapping[int, BudgetDemand]]) -> None:
        """Reclaim what was confirmed or has expired, then divide each cold engine's units anew.

        `demands`: for each engine that is cold for some worker, the report of each slot. An engine that no worker has
        reported for the cooling time and a lease is forgotten.
        """
        for engine in demands.keys() - self.engines.keys():
            self.engines[engine] = BudgetLedger([HeldUnits() for _ in range(self.slot_count)], self.units)
        for engine, ledger in list(self.engines.items()):
            if engine in demands:
                ledger.last_demand_at = now
            elif now - ledger.last_demand_at > self.cooling_ms + self.lease_ms:
                del self.engines[engine]  # warm or gone for all of them
                self.changed = True
                continue
            self._reclaim(ledger, now, demands.get(engine, {}))
            self._divide(ledger, now, demands.get(engine, {}))

    def _reclaim(self, ledger: BudgetLedger, now: float, demands: Mapping[int, BudgetDemand]) -> None:
        """Let units cool whose revocation is confirmed or whose lease has expired, and free those that have cooled."""
        for slot, held in enumerate(ledger.slots):
            confirmed_serial = demands[slot].lease_serial if slot in demands else -1
            for serial, units in list(held.pending):
                if confirmed_serial >= serial:
                    held.pending.remove((serial, units))
                    ledger.cooling.append((now + self.cooling_ms, units))
            if now >= self.lease_expiries[slot] and (held.units or held.pending):
                ledger.cooling.append((max(now, self.lease_expiries[slot]) + self.cooling_ms, held.revoke_all()))
                self.changed = True
        ledger.cooling = [(at, units) for at, units in ledger.cooling if now < at]

    def _divide(self, ledger: BudgetLedger, now: float, demands: Mapping[int, BudgetDemand]) -> None:
        """Move units towards a max-min fair division by demand: revoke what others lack, grant what is free."""
        live = [slot for slot in range(self.slot_count) if self.alive[slot] and now < self.lease_expiries[slot]]
        wants = {slot: units_wanted(demands.get(slot, BudgetDemand()), self.slot_count, self.units) for slot in live}
        target = max_min_fair_shares(wants, self.units)
        self._revoke(ledger, target)
        self._grant(ledger, target)

    def _revoke(self, ledger: BudgetLedger, target: Mapping[int, int]) -> None:
        """Take back units above the target, but no more than others lack: units that nobody wants stay in place."""
        lacking = sum(max(0, units - ledger.slots[slot].units) for slot, units in target.items())
        coming = ledger.free + ledger.cooling_units + sum(held.pending_units for held in ledger.slots)
        missing = lacking - coming
        for slot, target_units in target.items():
            held = ledger.slots[slot]
            revoked = min(held.units - target_units, missing)
            if revoked > 0:
                held.units -= revoked
                held.serial += 1
                held.pending.append((held.serial, revoked))
                missing -= revoked
                self.changed = True

    def _grant(self, ledger: BudgetLedger, target: Mapping[int, int]) -> None:
        """Give free units to slots below the target."""
        for slot, target_units in target.items():
            held = ledger.slots[slot]
            granted = min(target_units - held.units, ledger.free)
            if granted > 0:
                held.units += granted
                held.serial += 1
                self.changed = True


def budget_fraction(units: int, lease_expiry_ms: float, now: float) -> float:
    """Return a worker's fraction of the budget now, 0 to 1; 0 once its lease has expired. Checked before each use."""
    return units / UNITS if now < lease_expiry_ms else 0.0
