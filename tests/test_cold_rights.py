"""Cold engines' budgets as rights of a fleet: never more than the budget at an engine, and used by who wants it."""

from types import SimpleNamespace

import pytest
from helpers import READ, entry, settings
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from frostspindle import policy
from frostspindle.fleet import quota_flow
from frostspindle.fleet.node import Budget, FleetNode, FleetSettings
from frostspindle.fleet.quota_escrow import QuotaAccount
from frostspindle.fleet.slow_start import (
    MAX_CLOCK_SKEW_MS,
    MAX_STARTS,
    UNITS_PER_START,
    SlowStartBudgets,
    budget_factor,
    budget_name,
    parse_budget_name,
    requests_at,
    work_to_request,
)
from frostspindle.fleet.slow_start_service import SlowStartCoordinator
from frostspindle.lab.cold import ColdEmulator
from frostspindle.lab.faults.script import parse
from frostspindle.lab.fleet import excess
from frostspindle.policy import Controller, EndpointListKind

UNITS, WINDOW, LEASE, UNIX = UNITS_PER_START, 1_000.0, 1_500.0, 1.7e12
NAMES, ENGINES = "abc", ("x", "y")
names, engines = strategies.sampled_from(NAMES), strategies.sampled_from(ENGINES)


class ColdMachine(RuleBasedStateMachine):
    """Seeds a and b and a third coordinator; messages lost, late and twice, processes killed, stopped and cut off,
    clocks that drift, engines that start again, which each hears when it does; what is paid has its true time."""

    def __init__(self):
        super().__init__()
        self.now, self.epoch = 0.0, 0
        self.rates = {"a": 1.05, "b": 0.95, "c": 1.0}
        self.nodes, self.colds, self.stopped, self.away, self.late = {}, {}, set(), set(), []
        self.true = dict.fromkeys(ENGINES, UNIX)
        self.heard = {name: dict(self.true) for name in NAMES}
        self.wish = {}
        self.disk, self.spares = set(), {}  # whose store says that none are out; who found it so
        self.paid = {engine: [] for engine in ENGINES}
        self.addresses = {name: ("127.0.0.1", 4_000 + n) for n, name in enumerate(NAMES)}
        self.terms = FleetSettings({name: self.addresses[name] for name in "ab"}, chain_length=64)

    def clock(self, name):
        return self.now * self.rates[name] + 1e6

    def start(self, name):
        self.epoch += 1
        node = FleetNode(
            name, self.addresses[name], self.epoch, bytes([self.epoch % 256] * 16), self.terms, self.clock(name)
        )
        self.nodes[name] = node
        self.colds[name] = cold = SlowStartBudgets(node, WINDOW, 3, 0, LEASE, self.clock(name), UNIX + self.now)
        self.spares[name] = name in self.disk
        cold.set_store_state(self.clock(name), name in self.disk, False)
        self.stopped.discard(name)

    @initialize()
    def begin(self):
        for name in NAMES:
            self.start(name)
        for node in self.nodes.values():
            node.membership.add_known(self.now, [other.membership.me for other in self.nodes.values()])
        self.wait(4_000.0)

    def send(self, name, datagrams):
        owner = {address: other for other, address in self.addresses.items()}
        for address, data in datagrams:
            target = owner[address]
            if (name in self.away) == (target in self.away):
                self.queue.append((target, self.addresses[name], data))

    @rule(ms=strategies.sampled_from([100.0, 300.0, 1_100.0, 3_000.0]))
    def wait(self, ms):
        end = self.now + ms
        while self.now < end:
            self.now += 50.0
            self.queue = []
            for name in NAMES:
                if name in self.stopped:
                    continue
                now, cold = self.clock(name), self.colds[name]
                cold.tick(now)
                for engine, born in self.heard[name].items():
                    wish = self.wish.get((name, engine), 0.0)
                    cold.usable_fraction(now, UNIX + self.now, engine, born, UNITS, 0.0, wish)
                self.send(name, self.nodes[name].tick(now, UNIX + self.now))
            while self.queue:
                self.carry(*self.queue.pop(0))

    def carry(self, target, source, data):
        if target not in self.stopped:
            self.late = [*self.late[-40:], (target, source, data)]
            self.send(target, self.nodes[target].receive(self.clock(target), source, data))

    @rule(place=strategies.integers(0, 40))
    def twice(self, place):
        self.queue = []
        if self.late:
            self.carry(*self.late[place % len(self.late)])

    @rule(name=names, engine=engines, part=strategies.sampled_from([0.0, 0.3, 1.0]))
    def want(self, name, engine, part):
        self.wish[name, engine] = part

    @rule(name=names, engine=engines, units=strategies.sampled_from([1, 40, 160, 320, 480, 900]))
    def pay(self, name, engine, units):
        if name not in self.stopped:
            for part in (units, units // 2, units // 4):
                if part and self.colds[name].spend(
                    self.clock(name), engine, self.heard[name][engine], 0.0, part, UNITS
                ):
                    self.paid[engine] += [self.now] * part

    @rule(engine=engines)
    def engine_starts(self, engine):
        self.true[engine] = UNIX + self.now + 0.1234

    @rule(name=names)
    def hear(self, name):
        self.heard[name] = dict(self.true)

    @rule(name=names)
    def kill(self, name):
        self.start(name)
        self.nodes[name].membership.add_known(self.clock(name), [n.membership.me for n in self.nodes.values()])

    @rule(name=names)
    def write(self, name):
        """The store says that none are out, or says so no more."""
        cold, now = self.colds[name], self.clock(name)
        if name in self.stopped:
            return
        if cold.blocked and not (cold.idle and not self.spares[name]):
            self.disk.discard(name)
            cold.set_store_state(now, False, self.spares[name])
        elif cold.idle:
            self.disk.add(name)
            cold.set_store_state(now, True, False)

    @rule(name=names)
    def stop_or_go_on(self, name):
        self.stopped ^= {name}

    @rule(name=names)
    def cut_or_heal(self, name):
        self.away ^= {name}

    @invariant()
    def never_more_than_the_budget_at_an_engine_whatever_of_its_starts_is_known(self):
        for times in self.paid.values():
            assert excess(times, UNITS, WINDOW)[0] == 0


ColdCase = ColdMachine.TestCase
ColdCase.settings = hypothesis_settings(max_examples=25, stateful_step_count=25, deadline=None)


def alone(name="a", seeds="a", now=0.0, **kw):
    """A coordinator whose rights have rested, and that hears nobody."""
    addresses = {seed: ("127.0.0.1", 4_000 + n) for n, seed in enumerate(seeds)}
    terms = FleetSettings({seed: addresses[seed] for seed in seeds}, chain_length=16)
    node = FleetNode(name, addresses.get(name, ("127.0.0.1", 5_000)), 1, b"s" * 16, terms, now)
    return SlowStartBudgets(node, WINDOW, kw.get("coordinators", 3), kw.get("outside", 0), LEASE, now, UNIX)


@pytest.mark.parametrize(
    ("name", "seeds", "outside", "part"),
    [("a", "abc", 0, 1 / 3), ("d", "abc", 0, 0.0), ("a", "a", 0, 1.0), ("a", "a", 1, 2 / 3)],
)
def test_isolated_coordinator_uses_its_own_units_after_the_cooldown_and_no_others(name, seeds, outside, part):
    cold = alone(name, seeds, outside=outside)
    assert cold.usable_fraction(0.0, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 0.0  # a predecessor may have used or lent all
    rested = LEASE * 1.055 / 0.945 + WINDOW * 1.055 + 10.0
    cold.node.tick(rested, UNIX)
    assert cold.usable_fraction(rested, UNIX + rested, "x", UNIX, 1e3, 0.0, 1.0) == pytest.approx(part)
    assert cold.spend(rested, "x", UNIX, UNIX + rested, part * 1e3 + 1.5, 1e3) is False
    if part:
        assert cold.spend(rested, "x", UNIX, UNIX + rested, part * 1e3, 1e3)
        # The module still counts it, and nothing is ready until it has rested.
        assert cold.usable_fraction(rested, UNIX + rested, "x", UNIX, 1e3, part, 0.0) == pytest.approx(part)
        assert cold.usable_fraction(rested + 1_040.0, UNIX + rested + 1_040.0, "x", UNIX, 1e3, 0.0, 0.0) == 0.0
        assert cold.spend(rested + 1_070.0, "x", UNIX, UNIX, part * 1e3, 1e3)


def test_later_start_stops_sends_of_the_earlier_one_and_takes_over_its_units():
    cold, counted = alone(now=0.0), []
    cold.count = counted.append
    now = 10_000.0
    assert cold.spend(now, "x", UNIX, UNIX, 500.0, 1e3)
    assert cold.may_open(now, budget_name("x", UNIX)) and cold.may_open(now, budget_name("x", UNIX + 5.0))
    assert not cold.spend(now, "x", UNIX, UNIX, 1.0, 1e3)
    assert not cold.may_open(now, budget_name("x", UNIX))
    assert cold.usable_fraction(now, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 0.0
    # Half is ready; the other half is in its window still, and the module counts it.
    assert cold.usable_fraction(now, UNIX, "x", UNIX + 5.0, 1e3, 0.0, 1.0) == 1.0
    assert not cold.spend(now, "x", UNIX + 5.0, UNIX, 501.0, 1e3)
    assert cold.usable_fraction(now + 1_040.0, UNIX + 1_040.0, "x", UNIX + 5.0, 1e3, 0.0, 1.0) == 0.5
    assert cold.spend(now + 1_070.0, "x", UNIX + 5.0, UNIX + 1_070.0, 1e3, 1e3)
    cold.tick(now + 3_000.0)
    assert cold.usable_fraction(now, UNIX, "y", UNIX, 1e3, 0.0, 1.0) == 1.0  # another engine is another matter
    cold.node.tick(now + 9_000.0, UNIX)
    cold.tick(now + 9_000.0)  # the earlier one is forgotten, and not taken up again by who still believes in it
    assert cold.usable_fraction(now + 9_000.0, UNIX, "x", UNIX + 5.0, 1e3, 0.0, 0.0) == 1.0
    assert cold.usable_fraction(now + 9_000.0, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 0.0
    assert list(cold.starts) == [budget_name("x", UNIX + 5.0)]
    assert counted == ["cold_old_start", "cold_unpaid", "cold_old_start"]


@pytest.mark.parametrize(
    "name",
    [
        "",
        "~",
        "blue",
        "~0123456789abcdef",
        "~0123456789abcdef@",
        "~0123456789abcdef@nan",
        "~0123456789abcdef@-1.000",
        "~0123456789abcdef@1e3",
        "~0123456789abcdef@inf",
        "~0123456789abcdef@1_0.000",
        budget_name("x", UNIX + MAX_CLOCK_SKEW_MS + 1e6),
    ],
)
def test_invalid_budget_name_is_not_opened(name):
    cold = alone()
    assert not cold.may_open(0.0, name)
    assert not cold.starts and not cold.node.budgets.states


def test_lent_units_of_an_earlier_start_move_only_once_they_are_back():
    cold, now = alone(), 10_000.0
    cold.usable_fraction(now, UNIX, "x", UNIX, 1e3, 0.0, 1.0)
    before = cold.starts[budget_name("x", UNIX)].account
    loan = before.on_request(now, "b", 1, False, 0, 0, 0, 300)
    before.lend(loan, 300)
    cold.usable_fraction(now, UNIX, "x", UNIX + 5.0, 1e3, 0.0, 1.0)
    after = cold.starts[budget_name("x", UNIX + 5.0)].account
    assert (before.owned, before.unlent, after.owned, after.ready(now)) == (
        300,
        0,
        UNITS - 300,
        UNITS - 300,
    )
    before.on_return(now + 500.0, "b", 1, loan.number, 100)  # these have rested at the borrower
    cold.tick(now + 500.0)
    assert (before.owned, after.owned, after.ready(now + 500.0)) == (200, UNITS - 200, UNITS - 200)
    cold.tick(now + before.reclaim_ms + 10.0)  # the others are over there, and rest
    assert (before.owned, after.owned, after.ready(now + before.reclaim_ms + 10.0)) == (
        0,
        UNITS,
        UNITS - 200,
    )
    assert after.ready(now + before.reclaim_ms + before.cooldown_ms + 30.0) == UNITS


def test_clean_store_skips_the_first_cooldown_and_blocks_sends_while_it_says_so():
    cold, woken = alone(), []
    cold.on_blocked = lambda: woken.append(True)
    cold.set_store_state(0.0, True, False)  # as the store was found
    assert cold.usable_fraction(0.0, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 0.0 and woken
    cold.set_store_state(10.0, False, True)  # it says so no more
    assert cold.usable_fraction(10.0, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 1.0
    assert cold.usable_fraction(10.0, UNIX, "y", UNIX, 1e3, 0.0, 1.0) == 1.0
    cold.set_store_state(10.0, True, True)
    assert not cold.may_open(10.0, budget_name("x", UNIX)) and not cold.spend(10.0, "x", UNIX, UNIX, 1.0, 1e3)
    assert cold.usable_fraction(10.0, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 0.0
    # The word that comes late frees nothing that rests from our own use.
    late = alone()
    assert late.spend(10_000.0, "x", UNIX, UNIX, 1e3, 1e3)
    late.set_store_state(10_100.0, False, True)
    assert not late.spend(10_200.0, "x", UNIX, UNIX, 1.0, 1e3)


def test_coordinator_requests_its_even_shares_at_one_engine_smallest_first():
    assert work_to_request([], 3, 100.0) == (0.0, 0.0)
    assert work_to_request([250.0, 90.0, 40.0], 3, 100.0) == (130.0, 40.0)
    assert work_to_request([900.0, 800.0], 3, 100.0) == (800.0, 800.0)  # one at least
    assert [budget_factor(9, *case, (0.75, 0.5)) for case in ((0, True), (1, True), (0, False))] == [1.5, 1.0, 1.0]


def test_few_coordinators_choose_engines_by_rank_and_many_by_number():
    def places(numbers):
        here = [f"c{n}" for n in numbers]
        rows = [[requests_at(n, f"c{n}", [c for c in here if c != f"c{n}"], p, 3) for p in range(3)] for n in numbers]
        assert all(sum(row) == 1 for row in rows)
        return [row.index(True) for row in rows]

    assert places([0, 3, 6, 9]) == [0, 1, 2, 0]
    assert places([0, 1, 2, 3, 6, 9]) == [0, 1, 2, 0, 0, 0]


def test_starts_are_bounded_and_closed_once_nothing_is_lent():
    cold, counted = alone(), []
    cold.count = counted.append
    for n in range(MAX_STARTS + 1):
        cold.usable_fraction(10_000.0, UNIX, f"x{n}", UNIX, 1e3, 0.0, 1.0)
    assert (len(cold.starts), counted) == (MAX_STARTS, ["cold_full"])
    cold.tick(11_000.0)  # none is wanted any more, and none forgotten while others may count a loan to us
    assert len(cold.starts) == MAX_STARTS and not any(start.demand.units for start in cold.starts.values())
    start = cold.starts[budget_name("x0", UNIX)]
    loan = start.account.on_request(11_000.0, "b", 1, False, 0, 0, 0, 5)
    start.account.lend(loan, 5)
    start.account.on_return(11_000.0, "b", 1, loan.number, 5)
    assert cold.spend(14_000.0, "x1", UNIX, UNIX, 1e3, 1e3)
    cold.tick(14_100.0)
    account, _ = cold.node.budgets.open(14_100.0, Budget("~", 9, WINDOW), LEASE, 0.0)
    assert account.last_loan == loan.number  # no number twice
    assert cold.node.budgets.close(18_000.0, "~")
    assert list(cold.starts) == [budget_name("x1", UNIX)] == list(cold.node.budgets.states)
    cold.tick(20_000.0)
    assert not cold.starts and not cold.newest and not cold.node.budgets.states
    assert parse_budget_name(budget_name("x", float("inf"))) == (budget_name("x", 0.0)[1:17], 1e14)


def test_shares_too_small_for_a_query_rotate_and_small_claims_are_still_met():
    rights = QuotaAccount(60, WINDOW, LEASE, 0.055, float("-inf"))
    loans = {
        name: rights.on_request(0.0, name, 1, False, 0, 0, 0, want)
        for name, want in (("b", 4), ("c", 50), ("d", 50), ("e", 50))
    }
    offers = {
        turn: {name: quota_flow.offer_rotating(rights, 0, loan, name, "a", turn, 40)[1] for name, loan in loans.items()}
        for turn in range(20)
    }
    assert {tuple(sorted(row.values())) for row in offers.values()} == {(0, 4, 6, 50)}
    assert all(row["b"] == 4 for row in offers.values())
    assert {name for row in offers.values() for name, units in row.items() if units == 50} == {"c", "d", "e"}
    even = {name: quota_flow.offer_rotating(rights, 0, loan, name, "a", 1, 10)[1] for name, loan in loans.items()}
    assert sorted(even.values()) == [4, 18, 19, 19]


def test_module_sends_within_its_part_and_the_fence_spends_for_each_attempt(monkeypatch):
    """A coordinator of three in a fleet: the whole budget, as nobody else wants any of it."""
    now = UNIX + 10_000.0
    module = Controller(settings(READ, coordinators=3, workers=3), 1)
    module.handle(now, policy.EndpointListUpdated(EndpointListKind.CACHED, 1, (entry(1, since=now - 1.0),)))
    whole = module.slow_start.budget_ms(module.engines[1], now)
    out = []
    for n in range(100):
        out += module.handle(now, policy.RequestArrived(n, 0, 0, 0, 60_000.0, 100.0, 10.0, 0.0, False, True))
    assert not [action for action in out if isinstance(action, policy.StartAttempt)]  # nothing is heard of rights yet
    cold = alone()
    program = SimpleNamespace(
        core=SimpleNamespace(settings=module.settings, controller=module, may_start=None),
        telemetry=SimpleNamespace(count=lambda what: None),
        config=SimpleNamespace(operator=SimpleNamespace(fleet=SimpleNamespace(cold_lease_ms=LEASE, cold_outside=0))),
    )
    warming = SlowStartCoordinator(program)
    assert program.core.may_start == warming.fence
    (spent, wished) = module.slow_start.needs(now)[1]
    part = cold.usable_fraction(10_000.0, now, "x", now - 1.0, whole, spent, wished)
    sent, todo = (
        [],
        list(module.handle(now, policy.WorkerLoadReported((policy.WorkerLoad(1, 0, 0.0, False, part, (), 0.0),)))),
    )
    while todo:  # each is answered at once, and what that releases is a send again
        if isinstance(action := todo.pop(0), policy.StartAttempt):
            sent.append(action.request)
            todo += module.handle(now, policy.AttemptEnded(action.request, 0, 1, 0, 50.0, False, 0.0, 0.0, ()))
    assert 0.9 * whole < len(sent) * 130.0 <= whole
    state = SimpleNamespace(name="x", born_unix_ms=module.engines[1].entry.since_ms)
    attempts = [
        SimpleNamespace(engine=1, is_finished=False, request=SimpleNamespace(number=n), sent_ms=now) for n in sent
    ]
    monkeypatch.setattr("frostspindle.fleet.slow_start_service.clock", lambda: now)
    monkeypatch.setattr("frostspindle.fleet.slow_start_service.monotonic", lambda: 10_000.0)
    job = SimpleNamespace(cost_ms=100.0, cost_estimate_ms=100.0, cls=0)
    module.state.requests = dict.fromkeys(sent, job)  # as before their answers
    assert not warming.fence(state, attempts[0])  # the fleet's port is not ours yet
    warming.budgets = cold
    assert all(warming.fence(state, attempt) for attempt in attempts)
    assert not warming.fence(state, attempts[0])  # all is paid out
    module.handle(now, policy.EndpointListUpdated(EndpointListKind.DELTA, 1, (entry(1, since=0.0),)))
    assert warming.fence(state, attempts[0])  # a warm one needs no rights


def test_no_engine_exceeds_its_budget_under_faults_and_uneven_demand_uses_most_of_it():
    script = (
        "0- loss 0.1; 0- dup 0.2; 5-9 cut 0-1|2; 6 kill 1; 7 start 1; 8 stop 2; 10 cont 2; clock 0 1.05; clock 2 0.95"
    )
    faulty = ColdEmulator(3, 5, parse(script, 3), 18.0, engines=1, every_s=5.0, lag_ms=2_000.0)
    faulty.run()
    figures = faulty.figures()
    assert figures["cold_overruns"] == 0 and figures["at_one_process"] <= UNITS and figures["paid"] > 3 * UNITS
    uses = []
    for plain in (False, True):
        calm = ColdEmulator(5, 1, parse("", 5), 25.0, engines=1, load=0.8, plain=plain)
        calm.run()
        uses.append(calm.figures()["use"])
    assert uses[0] > 1.4 * uses[1], uses
