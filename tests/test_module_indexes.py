"""The data structures of the decision module against full scans, and the load cases they are designed for."""

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


class IndexMachine(RuleBasedStateMachine):
    """Compares the waiting queue, expiry index and cooldowns with plain dictionaries."""

    def __init__(self) -> None:
        super().__init__()
        self.queue, self.rows, self.number = WaitingQueue(), {}, 0
        self.expiry, self.items, self.paces, self.now = ExpiryIndex(2), {}, [1.0, 1.0], 0.0
        self.cooldowns, self.until = KeyCooldowns(), {}

    @rule(over_quota=strategies.booleans(), size=SMALL, lane=strategies.integers(-1, 2), cost=strategies.floats(1, 1e6))
    def add_row(self, over_quota, size, lane, cost):
        self.number += 1
        rank = (int(over_quota), float(size), self.number)
        self.rows[rank] = (lane, cost)
        self.queue.add((*rank, f"item {self.number}"), lane, cost)

    @precondition(lambda self: self.rows)
    @rule(position=strategies.integers(0, 1000))
    def drop_row(self, position):
        rank = list(self.rows)[position % len(self.rows)]
        self.queue.drop(rank, *self.rows.pop(rank))

    @rule(initially_skipped=strategies.sets(strategies.integers(-1, 2)), interval=SMALL)
    def walk(self, initially_skipped, interval):
        """Lanes are skipped from the start, or after one of their items was visited."""
        skipped, visited = set(initially_skipped), []
        for item in self.queue.walk(skipped):
            visited.append(item)
            if len(visited) % 3 == interval:
                skipped.add(self.rows[next(s for s in self.rows if f"item {s[2]}" == item)][0])
        excluded, expected = set(initially_skipped), []
        for rank in sorted(self.rows):
            if self.rows[rank][0] not in excluded:
                expected.append(f"item {rank[2]}")
                excluded |= {self.rows[rank][0]} if len(expected) % 3 == interval else set()
        assert visited == expected

    @rule(key=SMALL, kind=strategies.integers(0, 1), work=strategies.floats(1, 500), left=strategies.floats(-10, 900))
    def add_item(self, key, kind, work, left):
        self.items[key] = (kind, work, self.now + left)
        self.expiry.add(key, *self.items[key])

    @rule(key=SMALL)
    def discard_item(self, key):
        self.items.pop(key, None)
        self.expiry.discard(key)

    @rule(key=SMALL, duration_ms=strategies.floats(1, 300))
    def start_cooldown(self, key, duration_ms):
        self.until[key] = max(self.until.get(key, 0.0), self.now + duration_ms)
        self.cooldowns.start(key, self.now + duration_ms)

    @rule(ms=strategies.floats(0, 200), paces=strategies.lists(strategies.floats(1, 9), min_size=2, max_size=2))
    def advance_time(self, ms, paces):
        self.now, self.paces = self.now + ms, paces
        expired = {k for k, (kind, work, limit) in self.items.items() if self.now + work * paces[kind] > limit}
        assert sorted(self.expiry.pop_due(self.now, paces)) == sorted(expired)
        self.items = {k: v for k, v in self.items.items() if k not in expired}
        ended = {key for key, until in self.until.items() if until <= self.now}
        assert set(self.cooldowns.pop_due(self.now)) == ended
        self.until = {key: until for key, until in self.until.items() if key not in ended}

    @invariant()
    def indexes_match_the_model(self):
        assert [row[:3] for row in self.queue] == sorted(self.rows) and len(self.queue) == len(self.rows)
        assert [row[:3] for row in self.queue[:2]] == sorted(self.rows)[:2]
        assert self.queue.total == pytest.approx(sum(cost for _, cost in self.rows.values()))
        assert len(self.expiry) == len(self.items) and self.cooldowns == self.until
        assert self.cooldowns.earliest_ms == min(self.until.values(), default=math.inf)


def test_queue_and_deadline_indexes_match_a_model():
    run_state_machine_as_test(
        IndexMachine,
        settings=hypothesis_settings(derandomize=True, max_examples=60, stateful_step_count=40, deadline=None),
    )


@hypothesis_settings(derandomize=True, max_examples=80, deadline=None)
@given(strategies.lists(strategies.tuples(strategies.floats(0, 50), strategies.floats(1, 1e4)), max_size=80))
def test_statistics_windows_match_a_full_scan(steps):
    window, sliding, now, samples, dropped_before_ms = SortedWindow(12), SlidingWindowSum(), 0.0, [], -math.inf
    for wait, value in steps:
        now += wait
        window.add(value)
        sliding.add(now, value)
        samples.append((now, value))
        assert window.ranked == sorted(v for _, v in samples[-12:])
        for since_ms in (now - 100.0, now - 90.0):  # the second call only drops entries
            dropped_before_ms = max(dropped_before_ms, since_ms)
            assert sliding.total(since_ms) == sum(v for at, v in samples if at >= dropped_before_ms)


def test_deadline_heap_drops_entries_of_answered_requests():
    deadlines, existing = DeadlineQueue(), set()
    for number in range(3 * MAX_STALE_ENTRIES):
        existing = {number, -1}
        deadlines.add(1e6 + number, number, existing)
    assert len(deadlines.heap) <= MAX_STALE_ENTRIES + 8
    assert deadlines.pop_due(2e6)[-1] == 3 * MAX_STALE_ENTRIES - 1


def check_indexes(controller) -> None:
    """Assert that all indexes match a full scan of the requests and engines."""
    state, now = controller.state, controller.last_event_at_ms
    waiting = sorted((r for r in state.requests.values() if r.waiting), key=lambda r: r.rank)
    assert [row[-1] for row in state.waiting_queue] == waiting
    assert state.waiting_queue.total == pytest.approx(sum(r.cost_ms for r in waiting), abs=1e-2)
    expiry = controller.waiting.expiry
    assert {*expiry.added, *expiry.entries_by_key} == {r.number for r in waiting}
    running = [a for e in state.engines.values() for a in e.attempts.values() if a.request.group >= 0]
    for counter, counts in ((state.running_loads, "is_load"), (state.blocked_requests, "blocked_by_loads")):
        scanned = Counter((a.request.group, a.engine.id) for a in running if getattr(a.request.class_settings, counts))
        assert {(g, e): n for g, members in counter.groups.items() for e, n in members.items()} == scanned
    usable, ranked = state.usable_engines, state.ranked_engines
    assert ranked.members == usable and ranked.rank == {e.id: rank for rank, e in enumerate(usable)}
    assert [e for e in state.slow_start_engines if e.in_slow_start(now)] == [e for e in usable if e.in_slow_start(now)]
    idle = state.idle_connections
    connected = {e.id for e in usable if idle.enabled and e.connections.has_open(now, 0)}
    assert connected <= set(idle) and list(idle) == [e.id for e in idle.values()]
    for engine in state.engines.values():
        for a in engine.attempts.values():  # no fault can be found before examine_at_ms
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
        strategies.just("progress"), strategies.integers(0, 50), strategies.integers(1, 3), strategies.floats(0, 2)
    ),
    strategies.tuples(strategies.just("wait"), strategies.integers(1, 900)),
    strategies.tuples(
        strategies.just("list"), strategies.integers(1, 20), strategies.integers(0, 2), strategies.booleans()
    ),
)


@pytest.mark.parametrize("single_coordinator", [True, False])
@hypothesis_settings(derandomize=True, max_examples=150, deadline=None)
@given(steps=strategies.lists(STEP, min_size=15, max_size=60))
def test_indexes_match_full_scans_after_random_events(single_coordinator, steps):
    blocked_class = replace(HEAVY, blocked_by_loads=True)
    k = ControllerHarness(
        settings(
            READ,
            blocked_class,
            LOAD,
            KEYED,
            replace(LOAD, in_order=False),
            coordinators=1 if single_coordinator else 40,
            progress_interval_ms=400.0,
            connection_idle_ms=2000.0,
            handshake_penalty=0.08,
        ),
        engines=0,
    )
    k.list(
        *(entry(n, zone=n % 3, since=k.now - 500.0 * (n % 2)) for n in range(1, 21)), list_kind=EndpointListKind.FULL
    )
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
        check_indexes(k.controller)


@hypothesis_settings(derandomize=True, max_examples=100, deadline=None)
@given(
    strategies.lists(strategies.tuples(SMALL, SMALL, strategies.integers(1, 3)), max_size=30),
    strategies.integers(1, 4),
    strategies.integers(0, 3),
    strategies.integers(0, 20),
)
def test_ranked_set_selections_match_a_full_scan(counts, step, first, member_count):
    ranks, counter, first = RankedSet(), GroupedCounter(), first % step
    members = [type("Member", (), {"id": 3 * n}) for n in range(member_count)]
    ranks.set(members)
    for group, member, count in counts:
        counter.add(group, 3 * member, count)
        counter.add(group - 9, 3 * member, count)
    for group in range(-9, 7):
        excluded_ids = {3 * m for g, m, _ in counts if g == group}
        expected = [m for rank, m in enumerate(members) if rank % step == first and m.id not in excluded_ids]
        arguments = step, first, counter.counts_in(group)
        assert ranks.select(*arguments) == expected
        assert ranks.select_from([*members[::-1], *members[:2]], *arguments) == expected
    for group, member, count in counts:
        counter.add(group, 3 * member, -count)
    assert not counter.groups


def harness_with_queue(count: int, requests: int, **changes: object) -> ControllerHarness:
    k = ControllerHarness(settings(READ, HEAVY, LOAD, **changes), engines=0)
    k.list(*(entry(n) for n in range(1, count + 1)), list_kind=EndpointListKind.FULL)
    k.wait(200)
    for i in range(requests):
        k.request(i, 1, cost=3000.0, left=600_000.0)
    return k


def test_queued_requests_use_slow_start_budgets_after_all_engines_are_replaced():
    """All engines are in slow start: queued requests are sent to them within their budgets, none to the old ones."""
    k = harness_with_queue(1000, 12_500)
    queued = len(k.controller.waiting_queue)
    assert queued > 200, "the limits of all engines are reached"
    sent_before = len(k.sent)
    k.list(*(entry(n, since=k.now) for n in range(2001, 3001)), list_kind=EndpointListKind.FULL)
    k.wait(3000, step=50.0)
    check_indexes(k.controller)
    sends_by_engine = Counter(engine for _, _, engine in k.sent[sent_before:])
    assert (
        min(sends_by_engine) > 2000
        and sum(sends_by_engine.values()) > 200
        and len(k.controller.state.slow_start_eligible) <= 1000
    )
    budget = max(k.controller.slow_start.budget_ms(e, k.now) for e in k.controller.engines.values() if e.id > 2000)
    assert max(sends_by_engine.values()) * 3000.0 <= 4.0 * budget, "three windows and one that had already begun"


def test_two_remaining_engines_are_kept_busy_when_all_others_drain():
    k = harness_with_queue(300, 3500)
    k.list(
        entry(7),
        entry(8),
        *(entry(n, health=Health.DRAINING) for n in range(1, 301) if n not in (7, 8)),
        list_kind=EndpointListKind.FULL,
    )
    sent_before = len(k.sent)
    for _ in range(40):
        for request, number in [key for key, engine in k.open.items() if engine in (7, 8)]:
            assert number == 0
            k.end(request)
        k.wait(50)
    check_indexes(k.controller)
    assert {engine for _, _, engine in k.sent[sent_before:]} == {7, 8}
    assert len(k.sent) - sent_before > 100, "both engines are kept busy"


def test_blocked_queue_head_does_not_cause_a_scan_of_the_queue():
    """Each engine takes one load of a group; every event used to evaluate all requests queued behind them."""
    k = ControllerHarness(settings(READ, HEAVY, LOAD), engines=4)
    candidate_calls, fits_calls, find_candidates, fits = (
        [],
        [],
        k.controller.selector.candidates,
        k.controller.limiter.fits,
    )
    k.controller.selector.candidates = lambda request, now: (
        candidate_calls.append(request.number) or find_candidates(request, now)
    )
    k.controller.limiter.fits = lambda request: fits_calls.append(request.number) or fits(request)
    for i in range(10_000):
        assert len(fits_calls) <= 3 * i, "only a few queued requests per event"
        k.controller.handle(k.now, policy.RequestArrived(i, 2, 0, i + 1, 600_000.0, 100.0 + i, 0.0, 5.0))
    assert len(k.controller.waiting_queue) == 9_996
    candidate_calls.clear()
    for i in range(10_000, 10_020):  # requests behind all of them in the queue are still sent at once
        k.request(i, 0, cost=15_000.0, left=600_000.0, group=1)
    assert len(k.sent) == 20 and len(candidate_calls) == 40, "the head of the queue and the new request"


def test_slow_start_engines_with_budget_are_considered_among_many():
    s = settings(READ, HEAVY, LOAD, coordinators=40, number=3)
    k = ControllerHarness(s, engines=0, now=100_000.0)
    k.list(*(entry(n, since=99_000.0) for n in range(1, 1001)), list_kind=EndpointListKind.FULL)
    k.wait(150)
    assert MAX_UNSAMPLED < 1000 and 0 < len(k.controller.state.slow_start_eligible) < 200
    for i in range(40):
        k.request(i, 0, cost=100.0)
    assert len(k.sent) > 20, "a sample of all engines would seldom contain one with budget left"


def test_recently_used_idle_connections_are_considered_among_many():
    s = settings(READ, coordinators=3, connection_idle_ms=15_000.0, handshake_penalty=0.08)
    k = ControllerHarness(s, engines=0)
    k.list(*(entry(n) for n in range(1, 1001)), list_kind=EndpointListKind.FULL)
    rng = Random(3)
    used_engines = rng.sample(range(1, 1001), 400)
    for engine in used_engines[-24:] + used_engines:  # the last 24 are used both first and last
        k.controller.engines[engine].connections.release(k.now)
    for i in range(30):
        k.request(i, 0, cost=100.0)
    chosen = {engine for _, _, engine in k.sent}
    assert len(chosen & set(used_engines[-2 * SAMPLE_SIZE :])) > 10 and len(chosen) > 10


def test_lowest_value_is_shed_first_and_expired_requests_end_in_queue_order():
    """Compares shedding with a scan of all waiting requests; the indexes may also hold stale entries."""
    k, rng, shed_count = ControllerHarness(settings(READ, HEAVY, LOAD), engines=1), Random(5), 0
    k.controller.max_open_requests = 60
    for i in range(1, 300):
        waiting_values = {
            request.number: k.controller.waiting.value(request, k.now) for *_, request in k.controller.waiting_queue
        }
        k.requests[i], k.taken_at[i], k.attempts[i] = None, k.now, []
        event = policy.RequestArrived(i, rng.randrange(2), 0, 0, 60_000.0, rng.uniform(50.0, 9000.0), 0.0, -1.0)
        k.requests[i] = event
        actions = k.feed(event)
        expired = [a.request for a in actions if isinstance(a, policy.RejectRequest)]
        if expired:
            shed_count += 1
            new = {i: event.cost_ms} if i not in waiting_values else {}
            values = {
                **waiting_values,
                **{n: k.settings.classes[event.cls].priority_weight / cost for n, cost in new.items()},
            }
            assert expired == [min(values, key=values.get)], i
        if i % 40 == 39 and k.open:
            k.end(next(iter(k.open))[0])
    assert shed_count > 100
    k.controller.max_open_requests = 1000
    k.now += 100.0
    k.controller.handle(k.now, policy.TimerFired(0))
    queue_order, k.now = [row[2] for row in k.controller.waiting_queue], k.now + 300.0
    k.now += 50_000.0
    k.controller.handle(k.now, policy.TimerFired(0))
    k.now += 200.0
    expired = [
        a.request
        for a in k.controller.handle(k.now, policy.TimerFired(0))
        if isinstance(a, (policy.RejectRequest, policy.FailRequest))
    ]
    assert expired == [n for n in queue_order if n in expired] and len(expired) > 5
