"""Leases on the budget of a cold (warming up) engine, so that the workers together never exceed it.

For each cold engine the arbiter records how many units each slot holds, which units are revoked but not yet confirmed,
and which are cooling. The size of the budget is determined by the decision module. No I/O and no clock.

The budget limits the work sent in any window of W ms. A worker with u of UNITS units sends at most u/UNITS of the
budget in any W ms. A unit is granted to another worker only when nothing that was sent under it lies within W:

    granted --revoke--> pending --worker confirms--> cooling (W + the time a decided send may still wait for its
    connection) --> free --> granted

A hung worker does not confirm a revocation. Its leases expire, as only heartbeats renew them, and it compares the
expiry with the clock before each use. The units of a dead worker start cooling at its death. All times are milliseconds
of CLOCK_MONOTONIC, which is the same in all processes of a machine.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from frostspindle.division import max_min_fair_shares

UNITS = 240  # into which an engine's budget is divided; divisible by most numbers of workers
RESERVE_DIVISOR = 4  # a live worker keeps a quarter of its even share, so that a first request need not wait
MAX_SEND_DELAY_MS = 400.0  # a lease does not cover a send that has waited longer for a connection
LEASE_MS = 300.0  # until a lease expires that is not renewed


@dataclass(slots=True, frozen=True)
class BudgetDemand:
    """A worker's demand for one cold engine, as fractions of the budget, and the serial of the lease it has applied."""

    spent: float = 0.0
    wanted: float = 0.0
    lease_serial: int = 0


@dataclass(slots=True)
class SlotUnits:
    """The units of one engine that a slot holds, and those revoked from it but not yet confirmed."""

    units: int = 0
    serial: int = 0  # incremented with each change
    pending: list[tuple[int, int]] = field(default_factory=list)  # serial and units of each unconfirmed revocation

    @property
    def pending_units(self) -> int:
        """Number of units that are revoked but not yet confirmed."""
        return sum(units for _, units in self.pending)

    def revoke_all(self) -> int:
        """Revoke all units, including pending ones, without a confirmation; return their number."""
        units = self.units + self.pending_units
        self.units = 0
        self.pending = []
        self.serial += 1
        return units


@dataclass(slots=True)
class BudgetLedger:
    """The units of one cold engine: held by slots, cooling, or free."""

    slots: list[SlotUnits]
    units: int = UNITS
    cooling: list[tuple[float, int]] = field(default_factory=list)  # when they become free, number of units
    last_demand_at: float = 0.0

    @property
    def cooling_units(self) -> int:
        """Number of units whose earlier use may still lie within the window."""
        return sum(units for _, units in self.cooling)

    @property
    def free(self) -> int:
        """Number of units that are neither held nor pending nor cooling."""
        allocated = sum(slot.units + slot.pending_units for slot in self.slots)
        return self.units - allocated - self.cooling_units


def units_wanted(demand: BudgetDemand, slots: int, total: int = UNITS) -> int:
    """Return the units for a demand: at least the reserve, and one extra unit to compensate for rounding down."""
    reserve = total // (slots * RESERVE_DIVISOR)
    if not (demand.spent or demand.wanted):
        return reserve
    return max(reserve, min(total, math.ceil((demand.spent + demand.wanted) * total) + 1))


class LeaseArbiter:
    """The supervisor's side of the leases, with one ledger for each cold engine; times in ms of CLOCK_MONOTONIC."""

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
        self.changed = False  # the leases differ from the published ones; reset by the caller

    def worker_started(self, slot: int) -> None:
        """Record that a new process has started in the slot; it holds no units."""
        self.alive[slot] = True

    def worker_ended(self, slot: int, now: float) -> None:
        """Record that the slot's process has exited; its units start cooling at `now`."""
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
        """Reclaim units after confirmed revocations and expired leases, then divide each cold engine's units again.

        `demands` has the demand of each slot for each engine that is cold at any worker. The ledger of an engine is
        removed if no worker has reported it for the cooling time plus a lease duration.
        """
        for engine in demands.keys() - self.engines.keys():
            self.engines[engine] = BudgetLedger([SlotUnits() for _ in range(self.slot_count)], self.units)
        for engine, ledger in list(self.engines.items()):
            if engine in demands:
                ledger.last_demand_at = now
            elif now - ledger.last_demand_at > self.cooling_ms + self.lease_ms:
                del self.engines[engine]  # no longer cold, or no longer listed, at any worker
                self.changed = True
                continue
            self._reclaim(ledger, now, demands.get(engine, {}))
            self._divide(ledger, now, demands.get(engine, {}))

    def _reclaim(self, ledger: BudgetLedger, now: float, demands: Mapping[int, BudgetDemand]) -> None:
        """Start cooling units whose revocation is confirmed or whose lease has expired; free cooled units."""
        for slot, slot_units in enumerate(ledger.slots):
            confirmed_serial = demands[slot].lease_serial if slot in demands else -1
            for serial, units in list(slot_units.pending):
                if confirmed_serial >= serial:
                    slot_units.pending.remove((serial, units))
                    ledger.cooling.append((now + self.cooling_ms, units))
            if now >= self.lease_expiries[slot] and (slot_units.units or slot_units.pending):
                ledger.cooling.append((max(now, self.lease_expiries[slot]) + self.cooling_ms, slot_units.revoke_all()))
                self.changed = True
        ledger.cooling = [(free_at, units) for free_at, units in ledger.cooling if now < free_at]

    def _divide(self, ledger: BudgetLedger, now: float, demands: Mapping[int, BudgetDemand]) -> None:
        """Move units towards a max-min fair division by demand: revoke units that others need, and grant free ones."""
        live_slots = [slot for slot in range(self.slot_count) if self.alive[slot] and now < self.lease_expiries[slot]]
        demanded_units = {
            slot: units_wanted(demands.get(slot, BudgetDemand()), self.slot_count, self.units) for slot in live_slots
        }
        target = max_min_fair_shares(demanded_units, self.units)
        self._revoke(ledger, target)
        self._grant(ledger, target)

    def _revoke(self, ledger: BudgetLedger, target: Mapping[int, int]) -> None:
        """Revoke units above the target, but no more than other slots need; units without demand are not moved."""
        shortage = sum(max(0, units - ledger.slots[slot].units) for slot, units in target.items())
        becoming_free = (
            ledger.free + ledger.cooling_units + sum(slot_units.pending_units for slot_units in ledger.slots)
        )
        to_revoke = shortage - becoming_free
        for slot, target_units in target.items():
            slot_units = ledger.slots[slot]
            revoked = min(slot_units.units - target_units, to_revoke)
            if revoked > 0:
                slot_units.units -= revoked
                slot_units.serial += 1
                slot_units.pending.append((slot_units.serial, revoked))
                to_revoke -= revoked
                self.changed = True

    def _grant(self, ledger: BudgetLedger, target: Mapping[int, int]) -> None:
        """Grant free units to slots below the target."""
        for slot, target_units in target.items():
            slot_units = ledger.slots[slot]
            granted = min(target_units - slot_units.units, ledger.free)
            if granted > 0:
                slot_units.units += granted
                slot_units.serial += 1
                self.changed = True


def budget_fraction(units: int, lease_expiry_ms: float, now: float) -> float:
    """Return a worker's fraction (0 to 1) of the budget at `now`; 0 if its lease has expired. Call before each use."""
    return units / UNITS if now < lease_expiry_ms else 0.0
