"""The structures of the decision module against plain scans, step by step, and the hard cases they are for."""

import math
from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from helpers import HEAVY, KEYED, LOAD, READ, ControllerHarness, entry, settings
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule, run_state_machine_as_test

from frostspindle import policy
from frostspindle.policy import AttemptOutcome, EndpointListKind, Health
from frostspindle.policy.deadlines import MAX_STALE_ENTRIES, DeadlineQueue, ExpiryIndex, KeyCooldowns
from frostspindle.policy.indexes import GroupedCounter, RankedSet
from frostspindle.policy.queues import WaitingQueue
from frostspindle.policy.selection import MAX_UNSAMPLED, SAMPLE_SIZE
from frostspindle.policy.statistics import SlidingWindowSum, SortedWindow

SMALL = strategies.integers(0, 6)


class IndexesAgainstScans(RuleBasedStateMachine):
    """The queue and the times out, each beside the plain list or dictionary that it stands for."""

    def __init__(self) -> None:
        super().__init__()
        self.queue, self.rows, self.number = WaitingQueue(), {}, 0
        self.expiry, self.items, self.paces, self.now = ExpiryIndex(2), {}, [1.0, 1.0], 0.0
        self.cooldowns, self.until = KeyCooldowns(), {}

    @rule(over=strategies.booleans(), size=SMALL, lane=strategies.integers(-1, 2), cost=strategies.floats(1, 1e6))
    def hold(self, over, size, lane, cost):
        self.number += 1
        slot = (int(over), float(size), self.number)
        self.rows[slot] = (lane, cost)
        self.queue.add((*slot, f"item {self.number}"), lane, cost)

    @precondition(lambda self: self.rows)
    @rule(pick=strategies.integers(0, 1000))
    def drop(self, pick):
        slot = list(self.rows)[pick % len(self.rows)]
        self.queue.drop(slot, *self.rows.pop(slot))

    @rule(skip=strategies.sets(strategies.integers(-1, 2)), tire=SMALL)
    def walk(self, skip, tire):
        """Lanes are passed from the start, or from the first item of theirs that came out on."""
        passed, out = set(skip), []
        for item in self.queue.walk(passed):
            out.append(item)
            if len(out) % 3 == tire:
                passed.add(self.rows[next(s for s in self.rows if f"item {s[2]}" == item)][0])
        shut, expected = set(skip), []
        for slot in sorted(self.rows):
            if self.rows[slot][0] not in shut:
                expected.append(f"item {slot[2]}")
                shut |= {self.rows[slot][0]} if len(expected) % 3 == tire else set()
        assert out == expected

    @rule(key=SMALL, kind=strategies.integers(0, 1), work=strategies.floats(1, 500), left=strategies.floats(-10, 900))
    def limit(self, key, kind, work, left):
        self.items[key] = (kind, work, self.now + left)
        self.expiry.add(key, *self.items[key])

    @rule(key=SMALL)
    def spare(self, key):
        self.items.pop(key, None)
        self.expiry.discard(key)

    @rule(key=SMALL, more=strategies.floats(1, 300))
    def rest(self, key, more):
        self.until[key] = max(self.until.get(key, 0.0), self.now + more)
        self.cooldowns.start(key, self.now + more)

    @rule(ms=strategies.floats(0, 200), paces=strategies.lists(strategies.floats(1, 9), min_size=2, max_size=2))
    def go_on(self, ms, paces):
        self.now, self.paces = self.now + ms, paces
        gone = {k for k, (kind, work, limit) in self.items.items() if self.now + work * paces[kind] > limit}
        assert sorted(self.expiry.pop_due(self.now, paces)) == sorted(gone)
        self.items = {k: v for k, v in self.items.items() if k not in gone}
        rested = {key for key, until in self.until.items() if until <= self.now}
        assert set(self.cooldowns.pop_due(self.now)) == rested
        self.until = {key: until for key, until in self.until.items() if key not in rested}

    @invariant()
    def agrees(self):
        assert [row[:3] for row in self.queue] == sorted(self.rows) and len(self.queue) == len(self.rows)
        assert [row[:3] for row in self.queue[:2]] == sorted(self.rows)[:2]
        assert self.queue.total == pytest.approx(sum(cost for _, cost in self.rows.values()))
        assert len(self.expiry) == len(self.items) and self.cooldowns == self.until
        assert self.cooldowns.first == min(self.until.values(), default=math.inf)


def test_queue_and_times_out_are_what_a_scan_says():
    run_state_machine_as_test(
        IndexesAgainstScans,
        settings=hypothesis_settings(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None),
    )


@hypothesis_settings(derandomize=True, max_examples=80, deadline=None)
@given(strategies.lists(strategies.tuples(strategies.floats(0, 50), strategies.floats(1, 1e4)), max_size=80))
def test_windows_are_what_a_scan_of_all_says(steps):
    window, span, now, seen, low = SortedWindow(12), SlidingWindowSum(), 0.0, [], -math.inf
    for wait, value in steps:
        now += wait
        window.add(value)
        span.add(now, value)
        seen.append((now, value))
        assert window.ranked == sorted(v for _, v in seen[-12:])
        for since in (now - 100.0, now - 90.0):  # also where one left and none came
            low = max(low, since)
            assert span.total(since) == sum(v for at, v in seen if at >= low)


def test_a_day_of_answered_requests_leaves_no_heap_of_dead_times():
    deadlines, there = DeadlineQueue(), set()
    for number in range(3 * MAX_STALE_ENTRIES):
        there = {number, -1}
        deadlines.add(1e6 + number, number, there)
    assert len(deadlines.heap) <= MAX_STALE_ENTRIES + 8
    assert deadlines.pop_due(2e6)[-1] == 3 * MAX_STALE_ENTRIES - 1


def audit(controller) -> None:
    """What the module's indexes say is what a scan of its truth says."""
    state, now = controller.state, controller.last_event_at_ms
    waiting = sorted((r for r in state.requests.values() if r.waiting), key=lambda r: r.rank)
    assert [row[-1] for row in state.waiting_queue] == waiting
    assert state.waiting_queue.total == pytest.approx(sum(r.cost_ms for r in waiting), abs=1e-2)
    expiry = controller.waiting.expiry
    assert {*expiry.added, *expiry.entries_by_key} == {r.number for r in waiting}
    out = [a for e in state.engines.values() for a in e.attempts.values() if a.request.group >= 0]
    for counter, counts in ((state.running_loads, "is_load"), (state.blocked_requests, "blocked_by_loads")):
        scanned = Counter((a.request.group, a.engine.id) for a in out if getattr(a.request.class_settings, counts))
        assert {(g, e): n for g, members in counter.groups.items() for e, n in members.items()} == scanned
    usable, ranked = state.usable_engines, state.ranked_engines
    assert ranked.members == usable and ranked.rank == {e.id: rank for rank, e in enumerate(usable)}
    assert [e for e in state.slow_start_engines if e.in_slow_start(now)] == [e for e in usable if e.in_slow_start(now)]
    idle = state.idle_connections
    connected = {e.id for e in usable if idle.enabled and e.connections.has_open(now, 0)}
    assert connected <= set(idle) and list(idle) == [e.id for e in idle.values()]
    for engine in state.engines.values():
        for a in engine.attempts.values():  # nothing is to be found before it is looked for
            if now < engine.examine_at_ms:
                request = a.request
                ratio = controller.estimates.latency_ratio(engine, request.cls)
                expected = a.cost_ms / request.class_settings.threads * ratio
                period = state.settings.progress_interval_ms or math.inf
                unheard = not a.queued_for_memory and now - a.progress_at_ms > period + 375.0
                ran = now - a.sent_at_ms - a.waited_ms
                bad = ran > 300.0 + 6.0 * expected and not request.done_ratio and not request.bad_plan_handled
                assert not (unheard or bad or controller.outliers.is_silent(engine, now)), (engine.id, now)


STEP = strategies.one_of(
    strategies.tuples(strategies.just("request"), strategies.integers(0, 4), strategies.floats(50, 9000), SMALL),
    strategies.tuples(
        strategies.just("end"), strategies.integers(0, 50), strategies.sampled_from(list(AttemptOutcome))
    ),
    strategies.tuples(
        strategies.just("note"), strategies.integers(0, 50), strategies.integers(1, 3), strategies.floats(0, 2)
    ),
    strategies.tuples(strategies.just("wait"), strategies.integers(1, 900)),
    strategies.tuples(
        strategies.just("list"), strategies.integers(1, 20), strategies.integers(0, 2), strategies.booleans()
    ),
)


@pytest.mark.parametrize("few", [True, False])
@hypothesis_settings(derandomize=True, max_examples=150, deadline=None)
@given(steps=strategies.lists(STEP, min_size=15, max_size=60))
def test_indexes_and_truth_never_drift_apart(few, steps):
    waiter = replace(HEAVY, blocked_by_loads=True)
    k = ControllerHarness(
        settings(
            READ,
            waiter,
            LOAD,
            KEYED,
            replace(LOAD, in_order=False),
            coordinators=1 if few else 40,
            progress_interval_ms=400.0,
            connection_idle_ms=2000.0,
            handshake_penalty=0.08,
        ),
        engines=0,
    )
    k.list(*(entry(n, zone=n % 3, since=k.now - 500.0 * (n % 2)) for n in range(1, 21)), how=EndpointListKind.FULL)
    for number, step in enumerate(steps):
        if step[0] == "request":
            k.request(number, step[1], cost=step[2], key=step[3] if step[1] == 2 else 0, group=step[3] - 1)
        elif step[0] == "wait":
            k.wait(step[1], step=50.0)
        elif step[0] == "list":
            since = k.now if step[3] else k.entries[step[1]].since_ms
            k.list(k.entries[step[1]]._replace(health=step[2], since_ms=since))
        elif k.open:
            request, attempt = list(k.open)[step[1] % len(k.open)]
            if step[0] == "end":
                k.end(request, step[2])
            else:
                k.feed(policy.ProgressReported(request, attempt, k.open[(request, attempt)], step[2], step[3]))
        audit(k.controller)


@hypothesis_settings(derandomize=True, max_examples=100, deadline=None)
@given(
    strategies.lists(strategies.tuples(SMALL, SMALL, strategies.integers(1, 3)), max_size=30),
    strategies.integers(1, 4),
    strategies.integers(0, 3),
    strategies.integers(0, 20),
)
def test_a_cut_of_the_ranks_is_a_scan_of_all(counts, step, first, many):
    ranks, tally, first = RankedSet(), GroupedCounter(), first % step
    members = [type("Member", (), {"id": 3 * n}) for n in range(many)]
    ranks.set(members)
    for group, member, count in counts:
        tally.add(group, 3 * member, count)
        tally.add(group - 9, 3 * member, count)
    for group in range(-9, 7):
        busy = {3 * m for g, m, _ in counts if g == group}
        expected = [m for rank, m in enumerate(members) if rank % step == first and m.id not in busy]
        cut = step, first, tally.counts_in(group)
        assert ranks.select(*cut) == expected
        assert ranks.select_from([*members[::-1], *members[:2]], *cut) == expected
    for group, member, count in counts:
        tally.add(group, 3 * member, -count)
    assert not tally.groups


def crowd(count: int, held: int, **changes: object) -> ControllerHarness:
    k = ControllerHarness(settings(READ, HEAVY, LOAD, **changes), engines=0)
    k.list(*(entry(n) for n in range(1, count + 1)), how=EndpointListKind.FULL)
    k.wait(200)
    for i in range(held):
        k.request(i, 1, cost=3000.0, left=600_000.0)
    return k


def test_a_thousand_engines_replaced_while_requests_are_held():
    """Every one is new and cold: the held leave for them within their budgets, and none for the old ones."""
    k = crowd(1000, 12_500)
    held = len(k.controller.waiting_queue)
    assert held > 200, "the bound of all engines is reached"
    old = len(k.sent)
    k.list(*(entry(n, since=k.now) for n in range(2001, 3001)), how=EndpointListKind.FULL)
    k.wait(3000, step=50.0)
    audit(k.controller)
    later = Counter(engine for _, _, engine in k.sent[old:])
    assert min(later) > 2000 and sum(later.values()) > 200 and len(k.controller.state.slow_start_eligible) <= 1000
    budget = max(k.controller.slow_start.budget_ms(e, k.now) for e in k.controller.engines.values() if e.id > 2000)
    assert max(later.values()) * 3000.0 <= 4.0 * budget, "three windows, and one that began before"


def test_all_engines_but_two_banned():
    k = crowd(300, 3500)
    k.list(
        entry(7),
        entry(8),
        *(entry(n, health=Health.DRAINING) for n in range(1, 301) if n not in (7, 8)),
        how=EndpointListKind.FULL,
    )
    old = len(k.sent)
    for _ in range(40):
        for request, number in [key for key, engine in k.open.items() if engine in (7, 8)]:
            assert number == 0
            k.end(request)
        k.wait(50)
    audit(k.controller)
    assert {engine for _, _, engine in k.sent[old:]} == {7, 8}
    assert len(k.sent) - old > 100, "the two are kept busy"


def test_a_queue_of_ten_thousand_whose_head_cannot_be_placed_is_not_walked():
    """Loads of one group go to one engine each; all others behind them used to be asked at every event."""
    k = ControllerHarness(settings(READ, HEAVY, LOAD), engines=4)
    asked, met, looked_at, fits = [], [], k.controller.selector.candidates, k.controller.limiter.fits
    k.controller.selector.candidates = lambda request, now: asked.append(request.number) or looked_at(request, now)
    k.controller.limiter.fits = lambda request: met.append(request.number) or fits(request)
    for i in range(10_000):
        assert len(met) <= 3 * i, "a few of the queue at an event"
        k.controller.handle(k.now, policy.RequestArrived(i, 2, 0, i + 1, 600_000.0, 100.0 + i, 0.0, 5.0))
    assert len(k.controller.waiting_queue) == 9_996
    asked.clear()
    for i in range(10_000, 10_020):  # what is larger than all of them still finds its place at once
        k.request(i, 0, cost=15_000.0, left=600_000.0, group=1)
    assert len(k.sent) == 20 and len(asked) == 40, "the head once, and the new one"


def test_of_many_cold_engines_those_with_a_turn_are_looked_at():
    s = settings(READ, HEAVY, LOAD, coordinators=40, number=3)
    k = ControllerHarness(s, engines=0, now=100_000.0)
    k.list(*(entry(n, since=99_000.0) for n in range(1, 1001)), how=EndpointListKind.FULL)
    k.wait(150)
    assert MAX_UNSAMPLED < 1000 and 0 < len(k.controller.state.slow_start_eligible) < 200
    for i in range(40):
        k.request(i, 0, cost=100.0)
    assert len(k.sent) > 20, "a sample of all thousand would find a turn for a few only"


def test_of_many_standing_connections_the_last_used_are_looked_at():
    s = settings(READ, coordinators=3, connection_idle_ms=15_000.0, handshake_penalty=0.08)
    k = ControllerHarness(s, engines=0)
    k.list(*(entry(n) for n in range(1, 1001)), how=EndpointListKind.FULL)
    draw = Random(3)
    used = draw.sample(range(1, 1001), 400)
    for engine in used[-24:] + used:  # those used last were also used first
        k.controller.engines[engine].connections.release(k.now)
    for i in range(30):
        k.request(i, 0, cost=100.0)
    met = {engine for _, _, engine in k.sent}
    assert len(met & set(used[-2 * SAMPLE_SIZE :])) > 10 and len(met) > 10


def test_too_many_open_what_is_worth_least_goes_and_what_is_past_hope_in_its_order():
    """Against a scan of all held, as of the last ranking; the structures may hold more than what is held still."""
    k, draw, shed = ControllerHarness(settings(READ, HEAVY, LOAD), engines=1), Random(5), 0
    k.controller.max_open_requests = 60
    for i in range(1, 300):
        held = {
            request.number: k.controller.waiting.value(request, k.now) for *_, request in k.controller.waiting_queue
        }
        k.requests[i], k.taken_at[i], k.attempts[i] = None, k.now, []
        event = policy.RequestArrived(i, draw.randrange(2), 0, 0, 60_000.0, draw.uniform(50.0, 9000.0), 0.0, -1.0)
        k.requests[i] = event
        actions = k.feed(event)
        gone = [a.request for a in actions if isinstance(a, policy.RejectRequest)]
        if gone:
            shed += 1
            new = {i: event.cost_ms} if i not in held else {}
            worth = {**held, **{n: k.settings.classes[event.cls].priority_weight / cost for n, cost in new.items()}}
            assert gone == [min(worth, key=worth.get)], i
        if i % 40 == 39 and k.open:
            k.end(next(iter(k.open))[0])
    assert shed > 100
    k.controller.max_open_requests = 1000
    k.now += 100.0
    k.controller.handle(k.now, policy.TimerFired(0))
    order, k.now = [row[2] for row in k.controller.waiting_queue], k.now + 300.0
    k.now += 50_000.0
    k.controller.handle(k.now, policy.TimerFired(0))
    k.now += 200.0
    gone = [
        a.request
        for a in k.controller.handle(k.now, policy.TimerFired(0))
        if isinstance(a, (policy.RejectRequest, policy.FailRequest))
    ]
    assert gone == [n for n in order if n in gone] and len(gone) > 5
