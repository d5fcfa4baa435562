"""Slow-start quota of a fleet: no engine is sent more than its budget, and quota moves to coordinators with demand."""

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


class SlowStartMachine(RuleBasedStateMachine):
    """Seeds a and b and a third coordinator, with faults.

    Messages are lost, delayed and duplicated, processes are killed, stopped and partitioned, clocks drift, and engines
    restart, which each coordinator learns at its own time. Units are recorded at the true time at which they are spent.
    """

    def __init__(self):
        super().__init__()
        self.now, self.epoch = 0.0, 0
        self.rates = {"a": 1.05, "b": 0.95, "c": 1.0}
        self.nodes, self.budgets, self.stopped, self.partitioned, self.delivered = {}, {}, set(), set(), []
        self.started = dict.fromkeys(ENGINES, UNIX)
        self.known_starts = {name: dict(self.started) for name in NAMES}
        self.demand = {}
        self.idle_stores, self.clean_starts = set(), {}  # stores that record no quota in use; whether found so at start
        self.spent_at = {engine: [] for engine in ENGINES}
        self.addresses = {name: ("127.0.0.1", 4_000 + n) for n, name in enumerate(NAMES)}
        self.fleet_settings = FleetSettings({name: self.addresses[name] for name in "ab"}, chain_length=64)

    def clock(self, name):
        return self.now * self.rates[name] + 1e6

    def start(self, name):
        self.epoch += 1
        node = FleetNode(
            name,
            self.addresses[name],
            self.epoch,
            bytes([self.epoch % 256] * 16),
            self.fleet_settings,
            self.clock(name),
        )
        self.nodes[name] = node
        self.budgets[name] = budgets = SlowStartBudgets(node, WINDOW, 3, 0, LEASE, self.clock(name), UNIX + self.now)
        self.clean_starts[name] = name in self.idle_stores
        budgets.set_store_state(self.clock(name), name in self.idle_stores, False)
        self.stopped.discard(name)

    @initialize()
    def begin(self):
        for name in NAMES:
            self.start(name)
        for node in self.nodes.values():
            node.membership.add_known(self.now, [other.membership.me for other in self.nodes.values()])
        self.wait(4_000.0)

    def send(self, name, datagrams):
        name_at = {address: other for other, address in self.addresses.items()}
        for address, data in datagrams:
            target = name_at[address]
            if (name in self.partitioned) == (target in self.partitioned):
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
                now, budgets = self.clock(name), self.budgets[name]
                budgets.tick(now)
                for engine, started_ms in self.known_starts[name].items():
                    wanted = self.demand.get((name, engine), 0.0)
                    budgets.usable_fraction(now, UNIX + self.now, engine, started_ms, UNITS, 0.0, wanted)
                self.send(name, self.nodes[name].tick(now, UNIX + self.now))
            while self.queue:
                self.deliver(*self.queue.pop(0))

    def deliver(self, target, source, data):
        if target not in self.stopped:
            self.delivered = [*self.delivered[-40:], (target, source, data)]
            self.send(target, self.nodes[target].receive(self.clock(target), source, data))

    @rule(index=strategies.integers(0, 40))
    def duplicate(self, index):
        self.queue = []
        if self.delivered:
            self.deliver(*self.delivered[index % len(self.delivered)])

    @rule(name=names, engine=engines, fraction=strategies.sampled_from([0.0, 0.3, 1.0]))
    def set_demand(self, name, engine, fraction):
        self.demand[name, engine] = fraction

    @rule(name=names, engine=engines, units=strategies.sampled_from([1, 40, 160, 320, 480, 900]))
    def spend(self, name, engine, units):
        if name not in self.stopped:
            for amount in (units, units // 2, units // 4):
                if amount and self.budgets[name].spend(
                    self.clock(name), engine, self.known_starts[name][engine], 0.0, amount, UNITS
                ):
                    self.spent_at[engine] += [self.now] * amount

    @rule(engine=engines)
    def restart_engine(self, engine):
        self.started[engine] = UNIX + self.now + 0.1234

    @rule(name=names)
    def learn_starts(self, name):
        self.known_starts[name] = dict(self.started)

    @rule(name=names)
    def kill(self, name):
        self.start(name)
        self.nodes[name].membership.add_known(self.clock(name), [n.membership.me for n in self.nodes.values()])

    @rule(name=names)
    def write_store(self, name):
        """Change whether the store records that no quota is in use."""
        budgets, now = self.budgets[name], self.clock(name)
        if name in self.stopped:
            return
        if budgets.blocked and not (budgets.idle and not self.clean_starts[name]):
            self.idle_stores.discard(name)
            budgets.set_store_state(now, False, self.clean_starts[name])
        elif budgets.idle:
            self.idle_stores.add(name)
            budgets.set_store_state(now, True, False)

    @rule(name=names)
    def stop_or_continue(self, name):
        self.stopped ^= {name}

    @rule(name=names)
    def partition_or_heal(self, name):
        self.partitioned ^= {name}

    @invariant()
    def no_engine_exceeds_its_budget_whichever_start_is_known(self):
        for times in self.spent_at.values():
            assert excess(times, UNITS, WINDOW)[0] == 0


SlowStartCase = SlowStartMachine.TestCase
SlowStartCase.settings = hypothesis_settings(max_examples=25, stateful_step_count=25, deadline=None)


def isolated(name="a", seeds="a", now=0.0, **kw):
    """Return the budgets of a coordinator that receives no messages, with its first cooldown starting at `now`."""
    addresses = {seed: ("127.0.0.1", 4_000 + n) for n, seed in enumerate(seeds)}
    fleet_settings = FleetSettings({seed: addresses[seed] for seed in seeds}, chain_length=16)
    node = FleetNode(name, addresses.get(name, ("127.0.0.1", 5_000)), 1, b"s" * 16, fleet_settings, now)
    return SlowStartBudgets(node, WINDOW, kw.get("coordinators", 3), kw.get("outside", 0), LEASE, now, UNIX)


@pytest.mark.parametrize(
    ("name", "seeds", "outside", "fraction"),
    [("a", "abc", 0, 1 / 3), ("d", "abc", 0, 0.0), ("a", "a", 0, 1.0), ("a", "a", 1, 2 / 3)],
)
def test_isolated_coordinator_uses_its_own_units_after_the_cooldown_and_no_others(name, seeds, outside, fraction):
    budgets = isolated(name, seeds, outside=outside)
    # A predecessor may have used or lent all units.
    assert budgets.usable_fraction(0.0, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 0.0
    cooled_at = LEASE * 1.055 / 0.945 + WINDOW * 1.055 + 10.0
    budgets.node.tick(cooled_at, UNIX)
    assert budgets.usable_fraction(cooled_at, UNIX + cooled_at, "x", UNIX, 1e3, 0.0, 1.0) == pytest.approx(fraction)
    assert budgets.spend(cooled_at, "x", UNIX, UNIX + cooled_at, fraction * 1e3 + 1.5, 1e3) is False
    if fraction:
        assert budgets.spend(cooled_at, "x", UNIX, UNIX + cooled_at, fraction * 1e3, 1e3)
        # The module still counts the sent work, and no units are ready before their cooldown ends.
        assert budgets.usable_fraction(cooled_at, UNIX + cooled_at, "x", UNIX, 1e3, fraction, 0.0) == pytest.approx(
            fraction
        )
        assert budgets.usable_fraction(cooled_at + 1_040.0, UNIX + cooled_at + 1_040.0, "x", UNIX, 1e3, 0.0, 0.0) == 0.0
        assert budgets.spend(cooled_at + 1_070.0, "x", UNIX, UNIX, fraction * 1e3, 1e3)


def test_later_start_stops_sends_of_the_earlier_one_and_takes_over_its_units():
    budgets, counted = isolated(now=0.0), []
    budgets.count = counted.append
    now = 10_000.0
    assert budgets.spend(now, "x", UNIX, UNIX, 500.0, 1e3)
    assert budgets.may_open(now, budget_name("x", UNIX)) and budgets.may_open(now, budget_name("x", UNIX + 5.0))
    assert not budgets.spend(now, "x", UNIX, UNIX, 1.0, 1e3)
    assert not budgets.may_open(now, budget_name("x", UNIX))
    assert budgets.usable_fraction(now, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 0.0
    # Half is ready; the other half is still cooling, and the module counts it.
    assert budgets.usable_fraction(now, UNIX, "x", UNIX + 5.0, 1e3, 0.0, 1.0) == 1.0
    assert not budgets.spend(now, "x", UNIX + 5.0, UNIX, 501.0, 1e3)
    assert budgets.usable_fraction(now + 1_040.0, UNIX + 1_040.0, "x", UNIX + 5.0, 1e3, 0.0, 1.0) == 0.5
    assert budgets.spend(now + 1_070.0, "x", UNIX + 5.0, UNIX + 1_070.0, 1e3, 1e3)
    budgets.tick(now + 3_000.0)
    assert budgets.usable_fraction(now, UNIX, "y", UNIX, 1e3, 0.0, 1.0) == 1.0  # another engine is independent
    budgets.node.tick(now + 9_000.0, UNIX)
    # The earlier start is removed, and not opened again for a coordinator that still assumes it.
    budgets.tick(now + 9_000.0)
    assert budgets.usable_fraction(now + 9_000.0, UNIX, "x", UNIX + 5.0, 1e3, 0.0, 0.0) == 1.0
    assert budgets.usable_fraction(now + 9_000.0, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 0.0
    assert list(budgets.starts) == [budget_name("x", UNIX + 5.0)]
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
    budgets = isolated()
    assert not budgets.may_open(0.0, name)
    assert not budgets.starts and not budgets.node.budgets.states


def test_lent_units_of_an_earlier_start_move_only_once_they_are_back():
    budgets, now = isolated(), 10_000.0
    budgets.usable_fraction(now, UNIX, "x", UNIX, 1e3, 0.0, 1.0)
    before = budgets.starts[budget_name("x", UNIX)].account
    loan = before.on_request(now, "b", 1, False, 0, 0, 0, 300)
    before.lend(loan, 300)
    budgets.usable_fraction(now, UNIX, "x", UNIX + 5.0, 1e3, 0.0, 1.0)
    after = budgets.starts[budget_name("x", UNIX + 5.0)].account
    assert (before.owned, before.unlent, after.owned, after.ready(now)) == (
        300,
        0,
        UNITS - 300,
        UNITS - 300,
    )
    before.on_return(now + 500.0, "b", 1, loan.number, 100)  # these have cooled down at the borrower
    budgets.tick(now + 500.0)
    assert (before.owned, after.owned, after.ready(now + 500.0)) == (200, UNITS - 200, UNITS - 200)
    budgets.tick(now + before.reclaim_ms + 10.0)  # the lease of the others has expired, and they cool down here
    assert (before.owned, after.owned, after.ready(now + before.reclaim_ms + 10.0)) == (
        0,
        UNITS,
        UNITS - 200,
    )
    assert after.ready(now + before.reclaim_ms + before.cooldown_ms + 30.0) == UNITS


def test_clean_store_skips_the_first_cooldown_and_blocks_sends_until_it_is_rewritten():
    budgets, notified = isolated(), []
    budgets.on_blocked = lambda: notified.append(True)
    budgets.set_store_state(0.0, True, False)  # as found in the store
    assert budgets.usable_fraction(0.0, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 0.0 and notified
    budgets.set_store_state(10.0, False, True)  # the store has been rewritten
    assert budgets.usable_fraction(10.0, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 1.0
    assert budgets.usable_fraction(10.0, UNIX, "y", UNIX, 1e3, 0.0, 1.0) == 1.0
    budgets.set_store_state(10.0, True, True)
    assert not budgets.may_open(10.0, budget_name("x", UNIX)) and not budgets.spend(10.0, "x", UNIX, UNIX, 1.0, 1e3)
    assert budgets.usable_fraction(10.0, UNIX, "x", UNIX, 1e3, 0.0, 1.0) == 0.0
    # A late report of a clean start does not release units that cool down after use by this process.
    late = isolated()
    assert late.spend(10_000.0, "x", UNIX, UNIX, 1e3, 1e3)
    late.set_store_state(10_100.0, False, True)
    assert not late.spend(10_200.0, "x", UNIX, UNIX, 1.0, 1e3)


def test_coordinator_requests_its_even_shares_at_one_engine_smallest_work_first():
    assert work_to_request([], 3, 100.0) == (0.0, 0.0)
    assert work_to_request([250.0, 90.0, 40.0], 3, 100.0) == (130.0, 40.0)
    assert work_to_request([900.0, 800.0], 3, 100.0) == (800.0, 800.0)  # at least one
    assert [budget_factor(9, *case, (0.75, 0.5)) for case in ((0, True), (1, True), (0, False))] == [1.5, 1.0, 1.0]


def test_few_coordinators_choose_engines_by_rank_and_many_by_number():
    def chosen_engines(numbers):
        live = [f"c{n}" for n in numbers]
        rows = [[requests_at(n, f"c{n}", [c for c in live if c != f"c{n}"], i, 3) for i in range(3)] for n in numbers]
        assert all(sum(row) == 1 for row in rows)
        return [row.index(True) for row in rows]

    assert chosen_engines([0, 3, 6, 9]) == [0, 1, 2, 0]
    assert chosen_engines([0, 1, 2, 3, 6, 9]) == [0, 1, 2, 0, 0, 0]


def test_starts_are_bounded_and_closed_once_nothing_is_lent():
    budgets, counted = isolated(), []
    budgets.count = counted.append
    for n in range(MAX_STARTS + 1):
        budgets.usable_fraction(10_000.0, UNIX, f"x{n}", UNIX, 1e3, 0.0, 1.0)
    assert (len(budgets.starts), counted) == (MAX_STARTS, ["cold_full"])
    # Demand has ended, but no start is closed while others may still count a loan to this process.
    budgets.tick(11_000.0)
    assert len(budgets.starts) == MAX_STARTS and not any(start.demand.units for start in budgets.starts.values())
    start = budgets.starts[budget_name("x0", UNIX)]
    loan = start.account.on_request(11_000.0, "b", 1, False, 0, 0, 0, 5)
    start.account.lend(loan, 5)
    start.account.on_return(11_000.0, "b", 1, loan.number, 5)
    assert budgets.spend(14_000.0, "x1", UNIX, UNIX, 1e3, 1e3)
    budgets.tick(14_100.0)
    account, _ = budgets.node.budgets.open(14_100.0, Budget("~", 9, WINDOW), LEASE, 0.0)
    assert account.last_loan == loan.number  # loan numbers are not reused
    assert budgets.node.budgets.close(18_000.0, "~")
    assert list(budgets.starts) == [budget_name("x1", UNIX)] == list(budgets.node.budgets.states)
    budgets.tick(20_000.0)
    assert not budgets.starts and not budgets.newest and not budgets.node.budgets.states
    assert parse_budget_name(budget_name("x", float("inf"))) == (budget_name("x", 0.0)[1:17], 1e14)


def test_shares_too_small_for_a_query_rotate_and_small_claims_are_still_met():
    account = QuotaAccount(60, WINDOW, LEASE, 0.055, float("-inf"))
    loans = {
        name: account.on_request(0.0, name, 1, False, 0, 0, 0, wanted)
        for name, wanted in (("b", 4), ("c", 50), ("d", 50), ("e", 50))
    }
    offers = {
        rotation: {
            name: quota_flow.offer_rotating(account, 0, loan, name, "a", rotation, 40)[1]
            for name, loan in loans.items()
        }
        for rotation in range(20)
    }
    assert {tuple(sorted(row.values())) for row in offers.values()} == {(0, 4, 6, 50)}
    assert all(row["b"] == 4 for row in offers.values())
    assert {name for row in offers.values() for name, units in row.items() if units == 50} == {"c", "d", "e"}
    even = {name: quota_flow.offer_rotating(account, 0, loan, name, "a", 1, 10)[1] for name, loan in loans.items()}
    assert sorted(even.values()) == [4, 18, 19, 19]


def test_module_sends_within_its_share_and_the_fence_spends_quota_for_each_attempt(monkeypatch):
    """One of three coordinators uses the whole budget, as the others have no demand."""
    now = UNIX + 10_000.0
    module = Controller(settings(READ, coordinators=3, workers=3), 1)
    module.handle(now, policy.EndpointListUpdated(EndpointListKind.CACHED, 1, (entry(1, since=now - 1.0),)))
    budget_ms = module.slow_start.budget_ms(module.engines[1], now)
    actions = []
    for n in range(100):
        actions += module.handle(now, policy.RequestArrived(n, 0, 0, 0, 60_000.0, 100.0, 10.0, 0.0, False, True))
    assert not [action for action in actions if isinstance(action, policy.StartAttempt)]  # no quota is known yet
    budgets = isolated()
    program = SimpleNamespace(
        core=SimpleNamespace(settings=module.settings, controller=module, may_start=None),
        telemetry=SimpleNamespace(count=lambda counter: None),
        config=SimpleNamespace(operator=SimpleNamespace(fleet=SimpleNamespace(cold_lease_ms=LEASE, cold_outside=0))),
    )
    coordinator = SlowStartCoordinator(program)
    assert program.core.may_start == coordinator.fence
    (sent_fraction, wanted_fraction) = module.slow_start.needs(now)[1]
    share = budgets.usable_fraction(10_000.0, now, "x", now - 1.0, budget_ms, sent_fraction, wanted_fraction)
    sent, pending = (
        [],
        list(module.handle(now, policy.WorkerLoadReported((policy.WorkerLoad(1, 0, 0.0, False, share, (), 0.0),)))),
    )
    while pending:  # each attempt is answered at once, which may start further ones
        if isinstance(action := pending.pop(0), policy.StartAttempt):
            sent.append(action.request)
            pending += module.handle(now, policy.AttemptEnded(action.request, 0, 1, 0, 50.0, False, 0.0, 0.0, ()))
    assert 0.9 * budget_ms < len(sent) * 130.0 <= budget_ms
    state = SimpleNamespace(name="x", started_unix_ms=module.engines[1].entry.since_ms)
    attempts = [
        SimpleNamespace(engine=1, is_finished=False, request=SimpleNamespace(number=n), sent_ms=now) for n in sent
    ]
    monkeypatch.setattr("frostspindle.fleet.slow_start_service.clock", lambda: now)
    monkeypatch.setattr("frostspindle.fleet.slow_start_service.monotonic", lambda: 10_000.0)
    request = SimpleNamespace(cost_ms=100.0, cost_estimate_ms=100.0, cls=0)
    module.state.requests = dict.fromkeys(sent, request)  # as if not answered yet
    assert not coordinator.fence(state, attempts[0])  # the fleet's port is not bound yet
    coordinator.budgets = budgets
    assert all(coordinator.fence(state, attempt) for attempt in attempts)
    assert not coordinator.fence(state, attempts[0])  # all units are spent
    module.handle(now, policy.EndpointListUpdated(EndpointListKind.DELTA, 1, (entry(1, since=0.0),)))
    assert coordinator.fence(state, attempts[0])  # no quota is needed after slow start


def test_no_engine_exceeds_its_budget_under_faults_and_uneven_demand_uses_most_of_the_budget():
    script = (
        "0- loss 0.1; 0- dup 0.2; 5-9 cut 0-1|2; 6 kill 1; 7 start 1; 8 stop 2; 10 cont 2; clock 0 1.05; clock 2 0.95"
    )
    faulty = ColdEmulator(3, 5, parse(script, 3), 18.0, engines=1, every_s=5.0, lag_ms=2_000.0)
    faulty.run()
    figures = faulty.figures()
    assert figures["cold_overruns"] == 0 and figures["at_one_process"] <= UNITS and figures["paid"] > 3 * UNITS
    utilisations = []
    for plain in (False, True):
        fault_free = ColdEmulator(5, 1, parse("", 5), 25.0, engines=1, load=0.8, plain=plain)
        fault_free.run()
        utilisations.append(fault_free.figures()["use"])
    assert utilisations[0] > 1.4 * utilisations[1], utilisations
