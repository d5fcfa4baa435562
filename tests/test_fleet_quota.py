"""Quota of the fleet's budgets: lender selection, shares, loans and their leases."""

from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from frostspindle.division import max_min_fair_level, max_min_fair_shares
from frostspindle.fleet import lender_selector, quota_flow
from frostspindle.fleet.quota_escrow import QuotaAccount
from frostspindle.lab.fleet import excess

DRIFT = 0.055


def test_one_lender_of_many_is_chosen_at_a_time_while_quota_is_scarce():
    for count, chosen_count in ((lender_selector.SMALL_FLEET, 3), (lender_selector.SMALL_FLEET + 1, 1)):
        homes, lenders = [f"c{n:02d}" for n in range(count)], lender_selector.LenderSelector(1)
        first = lenders.choose(0.0, homes, homes, ())
        assert len(first) == 3
        for name in first:
            lenders.on_answer(0.0, name, 0, 0)
        assert len(lenders.choose(0.0, homes, homes, ())) == chosen_count
        assert not set(first) & set(lenders.choose(0.0, homes, homes, ()))  # they are in backoff
        lenders.on_answer(1.0, homes[-1], 1, 5)
        assert (len(chosen := lenders.choose(1.0, homes, homes, ())), chosen[0]) == (3, homes[-1])
        assert set(first) <= {lenders.choose(5000.0, [*homes], first, ())[0] for _ in range(99)}


@given(
    strategies.dictionaries(strategies.text(max_size=3), strategies.integers(0, 30), min_size=1, max_size=12),
    strategies.integers(0, 150),
)
def test_level_gives_the_max_min_fair_shares(claims, units):
    ordered = sorted((wanted, name) for name, wanted in claims.items())
    met_count, base, larger_from = max_min_fair_level(ordered, units)
    assert {
        name: wanted if index < met_count else base + (index >= larger_from)
        for index, (wanted, name) in enumerate(ordered)
    } == max_min_fair_shares(claims, units)


def test_loan_expires_on_time_and_units_to_return_are_set_aside_when_ready():
    account = QuotaAccount(0, 1_000.0, 3_000.0, DRIFT, 0.0)
    assert account.ready(0.0) == 0
    for sequence, units in ((1, 5), (2, 8)):
        account.start_request(0.0, "a", 1, sequence)
        assert account.on_grant(10.0, "a", 1, sequence, 1, units, units)
        if sequence == 1:
            account.schedule_return(20.0, "a", 7)
            assert account.ready(20.0) == 0
    assert (account.ready(2999.0), account.borrowed["a"].set_aside) == (1, 7)
    assert (account.ready(3000.0), account.total) == (0, 0)


def test_lent_units_come_back_by_return_or_by_expiry():
    account = QuotaAccount(10, 1_000.0, 3_000.0, DRIFT, 0.0)
    now = account.reclaim_ms + account.cooldown_ms
    for name, wanted in (("b", 6), ("c", 4), ("b", 3)):
        loan = account.on_request(now, name, 1, name in account.lent, 1, 2 if name in account.lent else 0, 0, wanted)
        account.lend(loan, 0 if loan.granted else wanted)
    assert (account.unlent, account.claims) == (2, [(3, "b"), (4, "c")])
    account.on_return(now, "c", 1, 2, 4)
    assert (account.unlent, account.pool.ready) == (6, 6)
    account.on_request(now, "b", 2, False, 0, 0, 0, 1)  # its next process; the loan to the previous one expires in time
    assert (account.unlent, account.claims) == (6, [(1, "b"), (4, "c")])
    account.tick(now + account.reclaim_ms)
    assert (account.unlent, account.claims, account.pool.cooling) == (10, [], 4)


class LoanMachine(RuleBasedStateMachine):
    """Lender a and borrowers b and c; messages are lost, duplicated and delayed, processes are killed, clocks drift.

    Units are recorded at the true time at which they are spent: no window, wherever it starts, may contain more than
    the budget.
    """

    UNITS, WINDOW, LEASE = 12, 1_000.0, 3_000.0

    def __init__(self):
        super().__init__()
        self.now, self.spent_at, self.in_flight, self.sequence = 0.0, [], [], 0
        self.rates = {"a": 1.05, "b": 0.95, "c": 1.05}
        self.epochs = dict.fromkeys("abc", 0)
        self.accounts = {}
        for name in "abc":
            self.start(name)

    def clock(self, name):
        return self.now * self.rates[name]

    def start(self, name):
        self.epochs[name] += 1
        self.accounts[name] = QuotaAccount(
            self.UNITS if name == "a" else 0, self.WINDOW, self.LEASE, DRIFT, self.clock(name)
        )

    @rule(ms=strategies.sampled_from([1.0, 50.0, 400.0, 1_100.0, 2_900.0, 6_000.0]))
    def wait(self, ms):
        self.now += ms
        for name in "abc":
            self.accounts[name].tick(self.clock(name))

    @rule(name=strategies.sampled_from("abc"), units=strategies.integers(1, 12))
    def spend(self, name, units):
        if self.accounts[name].spend(self.clock(name), units):
            self.spent_at += [self.now] * units

    @rule(name=strategies.sampled_from("abc"))
    def restart(self, name):
        self.start(name)

    @rule(name=strategies.sampled_from("bc"), wanted=strategies.integers(0, 12))
    def request(self, name, wanted):
        self.sequence += 1
        reference = self.accounts[name].start_request(self.clock(name), "a", self.epochs["a"], self.sequence)
        self.in_flight.append(("request", name, self.epochs[name], self.sequence, reference, wanted))

    @rule(name=strategies.sampled_from("bc"), units=strategies.integers(1, 12))
    def give_back(self, name, units):
        account = self.accounts[name]
        account.tick(self.clock(name))
        if "a" in account.borrowed:
            account.schedule_return(self.clock(name), "a", units)
            if returned := account.take_return(self.clock(name), "a"):
                self.in_flight.append(("return", name, self.epochs[name], returned))

    @rule(index=strategies.integers(0, 30), duplicate=strategies.booleans(), lose=strategies.booleans())
    def deliver(self, index, duplicate, lose):
        if not self.in_flight:
            return
        message = (
            self.in_flight[index % len(self.in_flight)]
            if duplicate
            else self.in_flight.pop(index % len(self.in_flight))
        )
        if lose and not duplicate:
            return
        kind, name, epoch, *rest = message
        lender, now = self.accounts["a"], self.clock("a")
        if kind == "request":
            sequence, (lender_epoch, number, returned, closed_loan), wanted = rest
            if epoch != self.epochs[name]:
                return  # membership rejects messages of a process that was replaced
            loan = lender.on_request(
                now, name, epoch, lender_epoch == self.epochs["a"], number, returned, closed_loan, wanted
            )
            granted, limit = quota_flow.offer(lender, 2, loan, name)
            lender.lend(loan, granted)
            self.in_flight.append(("grant", name, epoch, self.epochs["a"], sequence, loan.number, loan.granted, limit))
        elif kind == "return" and epoch == self.epochs[name] and rest[0][0] == self.epochs["a"]:
            lender.on_return(now, name, epoch, rest[0][1], rest[0][2])
        elif kind == "grant" and epoch == self.epochs[name] and rest[0] == self.epochs["a"]:
            self.accounts[name].on_grant(self.clock(name), "a", *rest)

    @invariant()
    def budget_is_not_exceeded_in_any_window(self):
        assert excess(self.spent_at, self.UNITS, self.WINDOW)[0] == 0

    @invariant()
    def unlent_units_are_in_the_pool(self):
        lender = self.accounts["a"]
        assert lender.unlent == lender.pool.total >= 0

    @invariant()
    def cached_sums_equal_those_of_the_loans(self):
        for name, account in self.accounts.items():
            loans = account.borrowed.values()
            lent = [*account.lent.values(), *account.abandoned]
            assert account.unlent == account.owned - sum(loan.outstanding for loan in lent)
            assert account.total == account.unlent + sum(loan.outstanding for loan in loans)
            assert account.ready(self.clock(name)) == account.pool.ready + sum(loan.pool.ready for loan in loans)
            assert account.claims == sorted((loan.wanted, borrower) for borrower, loan in account.lent.items())
            assert not any(loan.set_aside < loan.to_return and loan.pool.ready for loan in loans)
            assert not any(loan.expires_at <= self.clock(name) for loan in loans)
            assert not any(
                pool.next_ready_at() <= self.clock(name) for pool in (account.pool, *[loan.pool for loan in loans])
            )


LoanCase = LoanMachine.TestCase


LoanCase.settings = hypothesis_settings(max_examples=150, stateful_step_count=60, deadline=None)
