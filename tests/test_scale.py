"""What only shows when many coordinators meet many engines, as small cases without the bench."""

import pytest
from helpers import HEAVY, LOAD, READ, ControllerHarness, entry, settings

from frostspindle import policy
from frostspindle.policy import AttemptOutcome, EndpointListKind, ProgressKind


def many(**changes: object):
    return settings(READ, HEAVY, LOAD, **{"coordinators": 170, "kind_memory_mb": (0.0, 0.0), **changes})


def test_the_bound_holds_over_all_engines_where_a_share_is_under_one_query():
    """170 coordinators once put a query each on every idle engine: engines were full or paged."""

    def out(coordinators: int) -> int:
        k = ControllerHarness(many(coordinators=coordinators), engines=30)
        k.wait(600)
        for i in range(60):
            k.request(i, 1, cost=4000.0)
        return len(k.open)

    assert 1 <= out(170) <= 8, "three shares of 30 engines, 8.5 threads, for small work twice that"
    assert out(1) >= 30, "few coordinators use every engine"


def test_one_query_may_always_be_out():
    k = ControllerHarness(many(coordinators=1000), engines=2)
    k.wait(600)
    k.request(1, 1, cost=4000.0)
    k.request(2, 1, cost=4000.0)
    assert len(k.open) == 1


def test_small_work_passes_the_bound_by_as_much_again():
    k = ControllerHarness(many(), engines=30)
    k.warm_up(60)
    for i in range(40):
        k.request(i, 1, cost=4000.0)
    heavy = len(k.open)
    for i in range(100, 140):
        k.request(i, 0, cost=100.0)
    assert (
        heavy < len(k.open)
        and k.controller.state.threads <= 2 * k.controller.limiter.limit_factor * k.controller.state.thread_limit_sum
    )


def test_reported_memory_holds_also_for_engines_with_nothing_of_ours():
    """Where engines page, 160 coordinators that each fill an idle-looking engine make all run slower."""

    def sends(reported: float) -> int:
        memory, columns = (16384.0, 16384.0), ("concurrent", "x0")
        k = ControllerHarness(
            many(kind_memory_mb=memory, memory_shortage_mode="page", load_report_columns=columns), engines=20
        )
        k.wait(600)
        for i in range(60):
            k.request(i, 0, cost=100)
            engine = k.open.pop((i, 0))
            k.attempts[i][0]["verdict"] = AttemptOutcome.OK
            k.answer(i, "Served")
            k.feed(policy.AttemptEnded(i, 0, engine, AttemptOutcome.OK, 100.0, True, 0.0, 0.0, (9.0, reported)))
        before = len(k.sent)
        for i in range(100, 105):
            k.request(i, 0, cost=100, memory=1500.0)
        return len(k.sent) - before

    assert sends(1.0) == 1 < sends(0.2)


def test_grants_keep_a_margin_while_few_answers_told_the_need():
    def grant(answers: int) -> float:
        k = ControllerHarness(many(kind_memory_mb=(16384.0, 16384.0), reports_cost=True), engines=30)
        k.wait(600)
        for i in range(answers):
            k.request(i, 0, cost=100.0, memory=100.0)
            k.wait(20)
            k.end(i, cost=100.0, memory=100.0)
        k.request(9000, 0, cost=100.0, memory=100.0)
        return k.terms[9000].memory_mb

    assert grant(0) > 1.5 * grant(200) > 150.0


@pytest.mark.parametrize("jump", [2000.0, 60000.0])
def test_an_own_stall_is_no_silence_of_engines(jump):
    """A dispatcher that stood still finds answers late; no engine is to blame and none is suspected."""
    k = ControllerHarness(many(coordinators=4), engines=4)
    k.warm_up(60)
    for i in range(4):
        k.request(i, 1, cost=1000.0, left=100000.0)
    k.wait(200)
    slow = max(e.slowdown for e in k.controller.engines.values())
    k.now += jump
    sent = len(k.sent)
    k.request(50, 0, cost=100.0)
    assert len(k.sent) == sent, "first all that came is taken in"
    for i in range(4):
        k.end(i)
    k.wait(300)
    assert not any("silent" in line for line in k.logs)
    assert max(e.slowdown for e in k.controller.engines.values()) <= slow, "its late answers teach no latency"
    assert (50, 0) in [(r, n) for r, n, _ in k.sent], "then the pile leaves"


def test_cold_engines_get_small_work_by_turns_and_all_together_keep_the_budget():
    """200 coordinators, an engine just back: nobody's share is one query, yet it must not idle till warm."""
    work: list[tuple[float, float]] = []
    turns = 0
    for number in range(200):
        s = many(coordinators=200, number=number)
        k = ControllerHarness(s, engines=0, now=100000.0)
        k.list(entry(7, since=99000.0), how=EndpointListKind.FULL)
        for i in range(12):
            k.request(i, 1 if i % 4 == 3 else 0, cost=4000.0 if i % 4 == 3 else 300.0)
            k.wait(250)
            for request, _ in list(k.open):
                k.end(request)
        costs = [(k.attempts[r][0]["at"], k.requests[r].cost_ms) for r, _, _ in k.sent]
        turns += bool(costs)
        work += costs
    budget = s.slow_start_overload_ratio * s.slow_start_capacity * 0.85 * 8 * s.slow_start_window_ms
    assert 5 <= turns <= 120
    for at, _ in work:
        assert sum(w for t, w in work if at <= t < at + s.slow_start_window_ms) <= 1.5 * budget
    assert all(w == 300.0 for _, w in work), "small work first"


def test_one_failure_trips_where_an_engine_is_met_seldom():
    k = ControllerHarness(many(), engines=30)
    k.warm_up(60)
    k.request(1, 0, cost=100.0)
    bad = k.sent[-1][2]
    k.end(1, AttemptOutcome.ERROR)
    k.wait(20)
    k.end(1)
    for i in range(10, 60):
        k.request(i, 0, cost=100.0)
        assert k.sent[-1][2] != bad
        k.end(i)


@pytest.mark.parametrize("coordinators,engines", [(1, 0), (1, 1), (1000, 1), (1000, 300)])
def test_any_size_is_served_or_answered(coordinators, engines):
    k = ControllerHarness(many(coordinators=coordinators), engines=engines)
    for i in range(30):
        k.request(i, 0, cost=100.0)
        k.wait(50)
        for request, _ in list(k.open):
            k.end(request)
    k.wait(6000)
    assert set(k.answers) == set(range(30))
    assert ("Served" in k.answers.values()) == (engines > 0)


@pytest.mark.parametrize("change", [{"coordinators": 0}, {"coordinators": -1}, {"number": -1}])
def test_counts_are_checked(change):
    with pytest.raises(ValueError, match=next(iter(change))):
        settings(READ, **change)


def test_an_engine_from_the_future_or_of_unknown_kind_does_no_harm():
    k = ControllerHarness(many(), engines=0)
    k.list(entry(1, since=10**9, kind=9, zone=77, cell=4000), how=EndpointListKind.FULL)
    k.request(1, 0, cost=100.0)
    k.list(how=EndpointListKind.FULL)
    k.wait(6000)
    assert 1 in k.answers


def test_the_bound_is_wider_while_engines_report_free_memory():
    """Where engines page, a share of three threads let a quiet fleet run one report at a time."""

    def out(reported: float) -> int:
        k = ControllerHarness(
            many(
                kind_memory_mb=(16384.0, 16384.0), memory_shortage_mode="page", load_report_columns=("concurrent", "x0")
            ),
            engines=30,
        )
        k.warm_up(60)
        for engine in k.controller.engines:
            k.request(engine + 5000, 0, cost=100.0)
            at = k.open.pop((engine + 5000, 0))
            k.attempts[engine + 5000][0]["verdict"] = AttemptOutcome.OK
            k.answer(engine + 5000, "Served")
            k.feed(policy.AttemptEnded(engine + 5000, 0, at, AttemptOutcome.OK, 100.0, True, 0.0, 0.0, (2.0, reported)))
        before = len(k.open)
        for i in range(40):
            k.request(i, 1, cost=9000.0)
        return len(k.open) - before

    assert out(0.1) > 2 * out(0.7)


@pytest.mark.parametrize("coordinators", [3, 40])
def test_connections_that_stand_are_used_where_new_ones_cost(coordinators):
    """40 coordinators that each spread over all engines opened a connection for every third request."""

    def opened(**prices: float) -> tuple[int, int]:
        s = settings(READ, HEAVY, LOAD, coordinators=coordinators, connection_idle_ms=15000.0, zone=0, **prices)
        k = ControllerHarness(s, engines=0)
        k.list(*(entry(i, zone=i % 3) for i in range(30)), how=EndpointListKind.FULL)
        new, idle = 0, dict.fromkeys(range(30), 0)
        for i in range(200):
            k.request(i, 0, cost=100.0)
            for _, _, engine in k.sent[i:]:
                new += not idle[engine]
                idle[engine] = max(0, idle[engine] - 1)
            k.wait(40)
            if i % 4 == 3:  # up to four at once
                for (request, _), engine in list(k.open.items()):
                    idle[engine] += 1
                    k.end(request)
        return new, sum(k.controller.engines[engine].entry.zone != 0 for _, _, engine in k.sent)

    plain, priced = opened(), opened(handshake_penalty=0.08)
    assert priced[0] * 2 < plain[0]
    assert opened(handshake_penalty=0.08, cross_zone_penalty=0.02)[1] * 1.3 < plain[1]
    assert opened(cross_zone_penalty=0.02)[1] < plain[1], "a zone alone draws work while there is room"


def test_an_engine_that_is_busy_or_slow_is_left_for_a_new_connection():
    k = ControllerHarness(
        settings(READ, HEAVY, LOAD, coordinators=3, connection_idle_ms=15000.0, handshake_penalty=0.08), engines=4
    )
    k.request(1, 0, cost=100.0)
    used = k.sent[-1][2]
    k.end(1)
    k.controller.engines[used].slowdown = 5.0
    k.request(2, 0, cost=100.0)
    assert k.sent[-1][2] != used


def test_heavy_queries_do_not_all_wait_until_an_engine_is_warm():
    """No share of 40 held a heavy query: all came in the second in which the engine was warm, 11 times its capacity."""
    window, work = 1000.0, list[tuple[float, float]]()
    for number in range(40):
        s = settings(READ, HEAVY, LOAD, coordinators=40, number=number, slow_start_window_ms=window)
        k = ControllerHarness(s, engines=0, now=100000.0)
        k.list(entry(7, since=99000.0), how=EndpointListKind.FULL)
        for i in range(4):
            k.request(i, 1, cost=2500.0, left=100000.0)
        while k.now < 99000.0 + s.slow_start_duration_ms - 100.0:
            k.wait(100)
            for request, _ in list(k.open):
                k.end(request)
        work += [(k.attempts[r][0]["at"], 2500.0) for r, _, _ in k.sent]
    budget = s.slow_start_overload_ratio * s.slow_start_capacity * 0.85 * 8 * window
    assert len(work) >= 6
    assert max(sum(w for t, w in work if at <= t < at + window) for at, _ in work) <= budget


def test_a_query_in_an_engines_line_for_memory_is_not_taken_for_kept():
    """No notes come from the line: engines under load were suspected, and their queries moved to others."""

    def logs(note: bool) -> list[str]:
        k = ControllerHarness(settings(READ, HEAVY, LOAD, coordinators=40, progress_interval_ms=400.0), engines=4)
        k.warm_up(60)
        k.request(1, 0, cost=100.0, left=60000.0)
        if note:
            k.wait(5)
            k.feed(policy.ProgressReported(1, 0, k.sent[-1][2], ProgressKind.WAITS, 1.0))
        k.wait(1400)
        return [line for line in k.logs if "does not run" in line]

    assert logs(True) == [] != logs(False)


def test_time_in_an_engines_line_speaks_for_no_bad_plan():
    k = ControllerHarness(settings(READ, HEAVY, LOAD, progress_interval_ms=400.0, may_cancel=True), engines=4)
    k.warm_up(60)
    k.request(1, 0, cost=100.0, left=60000.0)
    engine = k.sent[-1][2]
    k.feed(policy.ProgressReported(1, 0, engine, ProgressKind.WAITS, 1.0))
    k.wait(1200)
    k.feed(policy.ProgressReported(1, 0, engine, ProgressKind.PROGRESS, 0.9))
    k.wait(50)
    assert [sent[0] for sent in k.sent].count(1) == 1 and (1, 0) in k.open
