"""Quota of the fleet's budgets: lenders, shares, loans and their leases."""

from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from frostspindle.division import max_min_fair_level, max_min_fair_shares
from frostspindle.fleet import lender_selector, quota_flow
from frostspindle.fleet.quota_escrow import QuotaAccount
from frostspindle.lab.fleet import excess

DRIFT = 0.055


def test_one_lender_of_many_is_asked_at_a_time_while_quota_is_scarce():
    for count, most in ((lender_selector.SMALL_FLEET, 3), (lender_selector.SMALL_FLEET + 1, 1)):
        homes, lenders = [f"c{n:02d}" for n in range(count)], lender_selector.LenderSelector(1)
        first = lenders.choose(0.0, homes, homes, ())
        assert len(first) == 3
        for name in first:
            lenders.on_answer(0.0, name, 0, 0)
        assert len(lenders.choose(0.0, homes, homes, ())) == most
        assert not set(first) & set(lenders.choose(0.0, homes, homes, ()))  # they rest
        lenders.on_answer(1.0, homes[-1], 1, 5)
        assert (len(chosen := lenders.choose(1.0, homes, homes, ())), chosen[0]) == (3, homes[-1])
        assert set(first) <= {lenders.choose(5000.0, [*homes], first, ())[0] for _ in range(99)}


@given(
    strategies.dictionaries(strategies.text(max_size=3), strategies.integers(0, 30), min_size=1, max_size=12),
    strategies.integers(0, 150),
)
def test_level_gives_the_max_min_fair_shares(wants, whole):
    order = sorted((want, name) for name, want in wants.items())
    met, base, more = max_min_fair_level(order, whole)
    assert {
        name: want if place < met else base + (place >= more) for place, (want, name) in enumerate(order)
    } == max_min_fair_shares(wants, whole)


def test_loan_expires_on_time_and_units_to_return_are_set_aside_as_they_come():
    rights = QuotaAccount(0, 1_000.0, 3_000.0, DRIFT, 0.0)
    assert rights.ready(0.0) == 0
    for seq, units in ((1, 5), (2, 8)):
        rights.start_request(0.0, "a", 1, seq)
        assert rights.on_grant(10.0, "a", 1, seq, 1, units, units)
        if seq == 1:
            rights.schedule_return(20.0, "a", 7)
            assert rights.ready(20.0) == 0
    assert (rights.ready(2999.0), rights.borrowed["a"].set_aside) == (1, 7)
    assert (rights.ready(3000.0), rights.total) == (0, 0)


def test_lent_units_come_back_by_return_or_by_expiry():
    rights = QuotaAccount(10, 1_000.0, 3_000.0, DRIFT, 0.0)
    now = rights.reclaim_ms + rights.cooldown_ms
    for name, want in (("b", 6), ("c", 4), ("b", 3)):
        loan = rights.on_request(now, name, 1, name in rights.lent, 1, 2 if name in rights.lent else 0, 0, want)
        rights.lend(loan, 0 if loan.granted else want)
    assert (rights.unlent, rights.claims) == (2, [(3, "b"), (4, "c")])
    rights.on_return(now, "c", 1, 2, 4)
    assert (rights.unlent, rights.pool.ready) == (6, 6)
    rights.on_request(now, "b", 2, False, 0, 0, 0, 1)  # its next process: the last one's loan ends in time
    assert (rights.unlent, rights.claims) == (6, [(1, "b"), (4, "c")])
    rights.tick(now + rights.reclaim_ms)
    assert (rights.unlent, rights.claims, rights.pool.cooling) == (10, [], 4)


class LoanMachine(RuleBasedStateMachine):
    """Lender a, borrowers b and c; messages are lost, doubled and late, processes die, clocks drift. Each unit's true
    time is kept: no window of any start may hold more than the budget."""

    UNITS, WINDOW, LEASE = 12, 1_000.0, 3_000.0

    def __init__(self):
        super().__init__()
        self.now, self.spent, self.post, self.seq = 0.0, [], [], 0
        self.rates = {"a": 1.05, "b": 0.95, "c": 1.05}
        self.epochs = dict.fromkeys("abc", 0)
        self.rights = {}
        for name in "abc":
            self.start(name)

    def clock(self, name):
        return self.now * self.rates[name]

    def start(self, name):
        self.epochs[name] += 1
        self.rights[name] = QuotaAccount(
            self.UNITS if name == "a" else 0, self.WINDOW, self.LEASE, DRIFT, self.clock(name)
        )

    @rule(ms=strategies.sampled_from([1.0, 50.0, 400.0, 1_100.0, 2_900.0, 6_000.0]))
    def wait(self, ms):
        self.now += ms
        for name in "abc":
            self.rights[name].tick(self.clock(name))

    @rule(name=strategies.sampled_from("abc"), units=strategies.integers(1, 12))
    def spend(self, name, units):
        if self.rights[name].spend(self.clock(name), units):
            self.spent += [self.now] * units

    @rule(name=strategies.sampled_from("abc"))
    def die(self, name):
        self.start(name)

    @rule(name=strategies.sampled_from("bc"), want=strategies.integers(0, 12))
    def ask(self, name, want):
        self.seq += 1
        words = self.rights[name].start_request(self.clock(name), "a", self.epochs["a"], self.seq)
        self.post.append(("ask", name, self.epochs[name], self.seq, words, want))

    @rule(name=strategies.sampled_from("bc"), units=strategies.integers(1, 12))
    def back(self, name, units):
        rights = self.rights[name]
        rights.tick(self.clock(name))
        if "a" in rights.borrowed:
            rights.schedule_return(self.clock(name), "a", units)
            if word := rights.take_return(self.clock(name), "a"):
                self.post.append(("back", name, self.epochs[name], word))

    @rule(place=strategies.integers(0, 30), again=strategies.booleans(), lose=strategies.booleans())
    def carry(self, place, again, lose):
        if not self.post:
            return
        message = self.post[place % len(self.post)] if again else self.post.pop(place % len(self.post))
        if lose and not again:
            return
        kind, name, epoch, *rest = message
        lender, now = self.rights["a"], self.clock("a")
        if kind == "ask":
            seq, (of, series, returned, closed), want = rest
            if epoch != self.epochs[name]:
                return  # membership does not hear a process that was followed by another
            loan = lender.on_request(now, name, epoch, of == self.epochs["a"], series, returned, closed, want)
            give, keep = quota_flow.offer(lender, 2, loan, name)
            lender.lend(loan, give)
            self.post.append(("grant", name, epoch, self.epochs["a"], seq, loan.number, loan.granted, keep))
        elif kind == "back" and epoch == self.epochs[name] and rest[0][0] == self.epochs["a"]:
            lender.on_return(now, name, epoch, rest[0][1], rest[0][2])
        elif kind == "grant" and epoch == self.epochs[name] and rest[0] == self.epochs["a"]:
            self.rights[name].on_grant(self.clock(name), "a", *rest)

    @invariant()
    def never_more_than_the_budget_in_any_window(self):
        assert excess(self.spent, self.UNITS, self.WINDOW)[0] == 0

    @invariant()
    def rights_add_up(self):
        lender = self.rights["a"]
        assert lender.unlent == lender.pool.total >= 0

    @invariant()
    def sums_kept_are_those_of_the_loans(self):
        for name, rights in self.rights.items():
            loans = rights.borrowed.values()
            lent = [*rights.lent.values(), *rights.abandoned]
            assert rights.unlent == rights.owned - sum(loan.outstanding for loan in lent)
            assert rights.total == rights.unlent + sum(loan.outstanding for loan in loans)
            assert rights.ready(self.clock(name)) == rights.pool.ready + sum(loan.pool.ready for loan in loans)
            assert rights.claims == sorted((loan.wanted, borrower) for borrower, loan in rights.lent.items())
            assert not any(loan.set_aside < loan.to_return and loan.pool.ready for loan in loans)
            assert not any(loan.expires_at <= self.clock(name) for loan in loans)
            assert not any(pool.next_ready_at() <= self.clock(name) for pool in (rights.pool, *[o.pool for o in loans]))


LoanCase = LoanMachine.TestCase


LoanCase.settings = hypothesis_settings(max_examples=150, stateful_step_count=60, deadline=None)
