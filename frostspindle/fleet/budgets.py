"""The fleet's budgets at one coordinator: quota accounts, and the messages that move quota between coordinators.

The units of each budget are divided among its homes (the seeds, in order of names), which own them; a coordinator that
needs more borrows from the homes. No I/O and no clock: times are in ms of the local monotonic clock.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b
from random import Random
from typing import NamedTuple

from frostspindle.division import split_evenly
from frostspindle.fleet import quota_flow, wire
from frostspindle.fleet.lender_selector import LenderSelector
from frostspindle.fleet.membership import Membership
from frostspindle.fleet.quota_demand import EstimatedDemand, StatedDemand
from frostspindle.fleet.quota_escrow import QuotaAccount
from frostspindle.fleet.quota_loans import NO_LIMIT, LentQuota
from frostspindle.fleet.wire import MemberState

ANSWER_TIMEOUT_MS = 4.0 * quota_flow.REQUEST_INTERVAL_MS


@dataclass(slots=True, frozen=True)
class Budget:
    """A limit for the whole fleet: at most `units` in any window.

    Its repr is part of the digest that coordinators compare, so the names and order of the fields must not change.
    """

    name: str
    units: int
    window_ms: float


class _PendingRequest(NamedTuple):
    sequence: int
    sent_at: float


@dataclass(slots=True)
class BudgetState:
    """One budget at this coordinator."""

    budget: Budget
    number: int  # in the settings, from 1; 0: opened by the program, not in the settings
    digest: int
    account: QuotaAccount
    demand: EstimatedDemand | StatedDemand
    lenders: LenderSelector
    rebalance_at: float
    pending: dict[str, _PendingRequest] = field(default_factory=dict)  # by lender: the last request, if unanswered


class BudgetExchange:
    """All budgets of one coordinator, with their requests, grants and returns of quota."""

    def __init__(
        self,
        membership: Membership,
        homes: list[str],
        drift: float,
        random: Random,
        count: Callable[[str], None],
        log: Callable[..., None],
    ) -> None:
        """`random` is shared with the node; `count` takes the name of a counter, `log` an event and its fields."""
        self.name = membership.me.name
        self.epoch = membership.me.epoch
        self.homes = homes
        self.states: dict[str, BudgetState] = {}
        # Returns whether a budget outside the settings is open or may be opened; set by the code that opens budgets.
        self.may_open: Callable[[float, str], bool] = lambda now, name: False
        self._membership = membership
        self._drift = drift
        self._random = random
        self._count = count
        self._log = log
        self._sequence = 0
        self._last_closed_loan = 0  # the highest loan number of all closed budgets

    # Budgets.

    def add_configured(self, now: float, budget: Budget, number: int, lease_ms: float, selector_seed: int) -> None:
        """Add a budget from the settings, with estimated demand."""
        account = self._account(budget, lease_ms, now, 0)
        self.states[budget.name] = BudgetState(
            budget,
            number,
            self._digest(budget, lease_ms),
            account,
            EstimatedDemand(budget.window_ms, account.cooldown_ms),
            LenderSelector(selector_seed),
            self._first_rebalance_at(now),
        )

    def open(self, now: float, budget: Budget, lease_ms: float, owned_at: float) -> tuple[QuotaAccount, StatedDemand]:
        """Add a budget outside the settings, divided as at all coordinators that open it with the same definition.

        `owned_at`: when the cooldown of the owned units starts, as a predecessor may have lent or used them; -inf if
        there can be none.
        """
        account = self._account(budget, lease_ms, owned_at, self._last_closed_loan)
        demand = StatedDemand()
        self.states[budget.name] = BudgetState(
            budget,
            0,
            self._digest(budget, lease_ms),
            account,
            demand,
            LenderSelector(self._random.getrandbits(32)),
            self._first_rebalance_at(now),
        )
        return account, demand

    def close(self, now: float, name: str) -> bool:
        """Remove an opened budget; return False, without removing it, while units are lent, borrowed or cooling."""
        account = self.states[name].account
        account.tick(now)
        if not account.idle:
            return False
        self._last_closed_loan = max(self._last_closed_loan, account.last_loan)
        del self.states[name]
        return True

    def _account(self, budget: Budget, lease_ms: float, owned_at: float, last_loan: int) -> QuotaAccount:
        shares = dict(zip(self.homes, split_evenly(budget.units, len(self.homes)), strict=True))
        owned = shares.get(self.name, 0)
        return QuotaAccount(owned, budget.window_ms, lease_ms, self._drift, owned_at, last_loan)

    def _digest(self, budget: Budget, lease_ms: float) -> int:
        definition = repr((budget, self.homes, lease_ms, self._drift))
        return int.from_bytes(blake2b(definition.encode(), digest_size=6).digest())

    def _first_rebalance_at(self, now: float) -> float:
        return now + self._random.random() * quota_flow.REQUEST_INTERVAL_MS

    # Schedule.

    def due(self) -> float:
        """Return when `tick` must be called next, inf without budgets."""
        due = math.inf
        for state in self.states.values():
            if state.rebalance_at < due:
                due = state.rebalance_at
        return due

    def tick(self, now: float) -> None:
        """Rebalance each budget that is due: return surplus quota, renew loans, request missing quota."""
        for state in self.states.values():
            if now >= state.rebalance_at:
                state.rebalance_at = now + quota_flow.REQUEST_INTERVAL_MS
                self._rebalance(now, state)

    def _rebalance(self, now: float, state: BudgetState) -> None:
        account = state.account
        needed = state.demand.needed(now, not state.lenders.scarce)
        account.tick(now)
        for lender, units in quota_flow.surplus(account, needed):
            account.schedule_return(now, lender, units)
            self._send_return(now, state, lender)
        self._give_up_unanswered(now, state)
        missing = needed - account.total
        for lender in quota_flow.renewals(account, now):
            if lender in self._membership.alive and lender not in state.pending and needed:
                self._request(now, state, lender, max(0, missing))
                missing = min(missing, 0)
        if missing > 0:
            self._request_missing(now, state, missing)

    def _give_up_unanswered(self, now: float, state: BudgetState) -> None:
        for lender, request in list(state.pending.items()):
            if now - request.sent_at > ANSWER_TIMEOUT_MS:  # the lender may have failed
                del state.pending[lender]
                state.lenders.back_off(now, lender)

    def _request_missing(self, now: float, state: BudgetState, missing: int) -> None:
        """Request the missing units from several lenders in even parts."""
        chosen = state.lenders.choose(now, self.homes, self._membership.alive, state.pending)
        for index, lender in enumerate(chosen):
            units = -(-missing // (len(chosen) - index))
            self._request(now, state, lender, units)
            missing -= units

    def return_all(self, now: float) -> None:
        """Return all borrowed units that are ready, as this member leaves."""
        for state in self.states.values():
            for lender in list(state.account.borrowed):
                state.account.schedule_return(now, lender, NO_LIMIT)
                self._send_return(now, state, lender)

    # Messages.

    def _request(self, now: float, state: BudgetState, lender: str, additional: int) -> None:
        lender_epoch = self._membership.alive[lender].claim.epoch
        self._sequence += 1
        reference = state.account.start_request(now, lender, lender_epoch, self._sequence)
        loan = state.account.borrowed.get(lender)
        state.pending[lender] = _PendingRequest(self._sequence, now)
        request = wire.QuotaRequest(
            budget=state.budget.name,
            budget_digest=state.digest,
            sequence=self._sequence,
            lender_epoch=reference.lender_epoch,
            loan=reference.loan,
            returned=reference.returned,
            closed_loan=reference.closed_loan,
            wanted=(loan.outstanding if loan else 0) + additional,
        )
        self._membership.send(lender, request)

    def on_request(self, now: float, sender: MemberState, request: wire.QuotaRequest) -> None:
        """Answer a request for quota with a grant, if this coordinator owns any of the budget."""
        state = self._matching_state(now, sender, request)
        if state is None or not state.account.owned:
            return
        account = state.account
        needed = state.demand.needed(now, False)  # without margin, as others lack the units that would be idle here
        loan = account.on_request(
            now,
            sender.name,
            sender.epoch,
            request.lender_epoch == self.epoch,
            request.loan,
            request.returned,
            request.closed_loan,
            request.wanted,
        )
        offer = self._offer(state, needed, loan, sender.name)
        account.lend(loan, offer.granted)
        grant = wire.QuotaGrant(
            budget=state.budget.name,
            budget_digest=state.digest,
            sequence=request.sequence,
            loan=loan.number,
            granted=loan.granted,
            limit=offer.limit,
            available=quota_flow.available(account, needed),
        )
        self._membership.send(sender.name, grant)

    def _offer(self, state: BudgetState, needed: int, loan: LentQuota, borrower: str) -> quota_flow.Offer:
        demand = state.demand
        if isinstance(demand, EstimatedDemand):
            return quota_flow.offer(state.account, needed, loan, borrower)
        min_share = demand.min_share * state.account.owned // state.budget.units
        return quota_flow.offer_rotating(state.account, needed, loan, borrower, self.name, demand.rotation, min_share)

    def on_grant(self, now: float, sender: MemberState, grant: wire.QuotaGrant) -> None:
        """Handle a lender's grant."""
        state = self._matching_state(now, sender, grant)
        if state is None:
            return
        previous_total = state.account.total
        accepted = state.account.on_grant(
            now, sender.name, sender.epoch, grant.sequence, grant.loan, grant.granted, grant.limit
        )
        if not accepted:
            self._count("fleet_grants_late")
            return
        request = state.pending.get(sender.name)
        if request is not None and request.sequence == grant.sequence:
            del state.pending[sender.name]
            state.lenders.on_answer(now, sender.name, state.account.total - previous_total, grant.available)

    def on_return(self, now: float, sender: MemberState, returned: wire.QuotaReturn) -> None:
        """Handle a borrower's return of units."""
        state = self.states.get(returned.budget)
        if state is not None and returned.lender_epoch == self.epoch:
            state.account.on_return(now, sender.name, sender.epoch, returned.loan, returned.returned)

    def _send_return(self, now: float, state: BudgetState, lender: str) -> None:
        returned = state.account.take_return(now, lender)
        if returned is not None:
            self._membership.send(lender, wire.QuotaReturn(state.budget.name, *returned))

    def _matching_state(
        self, now: float, sender: MemberState, message: wire.QuotaRequest | wire.QuotaGrant
    ) -> BudgetState | None:
        """Return the budget of a message; None if it is not open here or has another definition.

        Quota may move only between coordinators that divide the same budget in the same way.
        """
        state = self.states.get(message.budget)
        if state is None or not state.number:  # not in the settings
            if not self.may_open(now, message.budget):
                self._count("fleet_not_open")
                return None
            state = self.states.get(message.budget)
        if state is None or state.digest != message.budget_digest:
            self._count("fleet_other_terms")
            self._log("fleet_other_terms", budget=message.budget, peer=sender.name)
            return None
        return state

    # Figures.

    def figures(self, now: float) -> dict[str, dict[str, float]]:
        """Return the figures of the budgets from the settings, for the operators' port."""
        return {name: _figures(state, now) for name, state in self.states.items() if state.number}


def _figures(state: BudgetState, now: float) -> dict[str, float]:
    account = state.account
    return {
        "units": state.budget.units,
        "window_ms": state.budget.window_ms,
        "own": account.owned,
        "held": account.total,
        "ready": account.ready(now),
        "lent": account.owned - account.unlent,
        "borrowed": sum(loan.outstanding for loan in account.borrowed.values()),
        "need": state.demand.needed(now, True),
        "spent": account.spent,
        "denied": account.denied,
    }
