"""Small reproductions of faults that occur only with many coordinators and many engines."""

import pytest
from helpers import HEAVY, LOAD, READ, ControllerHarness, entry, settings

from frostspindle import policy
from frostspindle.policy import AttemptOutcome, EndpointListKind, ProgressKind


def fleet_settings(**changes: object):
    return settings(READ, HEAVY, LOAD, **{"coordinators": 170, "kind_memory_mb": (0.0, 0.0), **changes})


def test_overall_limit_applies_if_a_share_is_smaller_than_one_request():
    """Guards against 170 coordinators that each sent a query to every idle engine: engines were full or paged."""

    def open_attempts(coordinators: int) -> int:
        k = ControllerHarness(fleet_settings(coordinators=coordinators), engines=30)
        k.wait(600)
        for i in range(60):
            k.request(i, 1, cost=4000.0)
        return len(k.open)

    assert 1 <= open_attempts(170) <= 8, (
        "three times the shares of 30 engines: 8.5 threads, twice that for small requests"
    )
    assert open_attempts(1) >= 30, "a single coordinator uses every engine"


def test_one_request_may_always_run():
    k = ControllerHarness(fleet_settings(coordinators=1000), engines=2)
    k.wait(600)
    k.request(1, 1, cost=4000.0)
    k.request(2, 1, cost=4000.0)
    assert len(k.open) == 1


def test_small_requests_may_use_twice_the_overall_limit():
    k = ControllerHarness(fleet_settings(), engines=30)
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


def test_reported_memory_is_respected_on_engines_without_own_attempts():
    """Where engines page, 160 coordinators that each fill an engine that looks idle slow down all requests."""

    def sends(reported: float) -> int:
        memory, columns = (16384.0, 16384.0), ("concurrent", "x0")
        k = ControllerHarness(
            fleet_settings(kind_memory_mb=memory, memory_shortage_mode="page", load_report_columns=columns), engines=20
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


def test_memory_grants_have_a_larger_margin_with_few_samples():
    def grant(answers: int) -> float:
        k = ControllerHarness(fleet_settings(kind_memory_mb=(16384.0, 16384.0), reports_cost=True), engines=30)
        k.wait(600)
        for i in range(answers):
            k.request(i, 0, cost=100.0, memory=100.0)
            k.wait(20)
            k.end(i, cost=100.0, memory=100.0)
        k.request(9000, 0, cost=100.0, memory=100.0)
        return k.priority_updates[9000].memory_mb

    assert grant(0) > 1.5 * grant(200) > 150.0


@pytest.mark.parametrize("jump", [2000.0, 60000.0])
def test_stall_of_the_process_does_not_count_as_silence_of_engines(jump):
    """After a stall of the coordinator itself, responses are read late; no engine may be ejected for that."""
    k = ControllerHarness(fleet_settings(coordinators=4), engines=4)
    k.warm_up(60)
    for i in range(4):
        k.request(i, 1, cost=1000.0, left=100000.0)
    k.wait(200)
    slow = max(e.slowdown for e in k.controller.engines.values())
    k.now += jump
    sent = len(k.sent)
    k.request(50, 0, cost=100.0)
    assert len(k.sent) == sent, "events that arrived during the stall are handled first"
    for i in range(4):
        k.end(i)
    k.wait(300)
    assert not any("silent" in line for line in k.logs)
    assert max(e.slowdown for e in k.controller.engines.values()) <= slow, "late responses do not raise the slowdown"
    assert (50, 0) in [(r, n) for r, n, _ in k.sent], "then waiting requests are sent"


def test_coordinators_take_turns_with_small_requests_in_slow_start_and_keep_the_budget():
    """With 200 coordinators no share of a restarted engine holds one query, yet it must not idle until it is warm."""
    work: list[tuple[float, float]] = []
    turns = 0
    for number in range(200):
        s = fleet_settings(coordinators=200, number=number)
        k = ControllerHarness(s, engines=0, now=100000.0)
        k.list(entry(7, since=99000.0), list_kind=EndpointListKind.FULL)
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
    assert all(w == 300.0 for _, w in work), "small requests first"


def test_one_failure_ejects_an_engine_with_a_fractional_share():
    k = ControllerHarness(fleet_settings(), engines=30)
    k.warm_up(60)
    k.request(1, 0, cost=100.0)
    failed_engine = k.sent[-1][2]
    k.end(1, AttemptOutcome.ERROR)
    k.wait(20)
    k.end(1)
    for i in range(10, 60):
        k.request(i, 0, cost=100.0)
        assert k.sent[-1][2] != failed_engine
        k.end(i)


@pytest.mark.parametrize("coordinators,engines", [(1, 0), (1, 1), (1000, 1), (1000, 300)])
def test_fleets_of_any_size_answer_all_requests(coordinators, engines):
    k = ControllerHarness(fleet_settings(coordinators=coordinators), engines=engines)
    for i in range(30):
        k.request(i, 0, cost=100.0)
        k.wait(50)
        for request, _ in list(k.open):
            k.end(request)
    k.wait(6000)
    assert set(k.answers) == set(range(30))
    assert ("Served" in k.answers.values()) == (engines > 0)


@pytest.mark.parametrize("change", [{"coordinators": 0}, {"coordinators": -1}, {"number": -1}])
def test_invalid_counts_raise(change):
    with pytest.raises(ValueError, match=next(iter(change))):
        settings(READ, **change)


def test_engine_with_future_start_time_or_unknown_kind_is_handled():
    k = ControllerHarness(fleet_settings(), engines=0)
    k.list(entry(1, since=10**9, kind=9, zone=77, cell=4000), list_kind=EndpointListKind.FULL)
    k.request(1, 0, cost=100.0)
    k.list(list_kind=EndpointListKind.FULL)
    k.wait(6000)
    assert 1 in k.answers


def test_overall_limit_is_wider_while_engines_report_free_memory():
    """Where engines page, a share of three threads let an idle fleet run one heavy query at a time."""

    def open_attempts(reported: float) -> int:
        k = ControllerHarness(
            fleet_settings(
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

    assert open_attempts(0.1) > 2 * open_attempts(0.7)


@pytest.mark.parametrize("coordinators", [3, 40])
def test_idle_connections_are_preferred_if_new_ones_have_a_penalty(coordinators):
    """Guards against 40 coordinators that spread over all engines and connected anew for every third request."""

    def connections_and_crossings(**penalties: float) -> tuple[int, int]:
        s = settings(READ, HEAVY, LOAD, coordinators=coordinators, connection_idle_ms=15000.0, zone=0, **penalties)
        k = ControllerHarness(s, engines=0)
        k.list(*(entry(i, zone=i % 3) for i in range(30)), list_kind=EndpointListKind.FULL)
        new, idle = 0, dict.fromkeys(range(30), 0)
        for i in range(200):
            k.request(i, 0, cost=100.0)
            for _, _, engine in k.sent[i:]:
                new += not idle[engine]
                idle[engine] = max(0, idle[engine] - 1)
            k.wait(40)
            if i % 4 == 3:  # up to four concurrent attempts
                for (request, _), engine in list(k.open.items()):
                    idle[engine] += 1
                    k.end(request)
        return new, sum(k.controller.engines[engine].entry.zone != 0 for _, _, engine in k.sent)

    plain, priced = connections_and_crossings(), connections_and_crossings(handshake_penalty=0.08)
    assert priced[0] * 2 < plain[0]
    assert connections_and_crossings(handshake_penalty=0.08, cross_zone_penalty=0.02)[1] * 1.3 < plain[1]
    assert connections_and_crossings(cross_zone_penalty=0.02)[1] < plain[1], (
        "a zone penalty alone keeps requests in the zone while there is capacity"
    )


def test_slow_engine_with_an_idle_connection_is_not_preferred():
    k = ControllerHarness(
        settings(READ, HEAVY, LOAD, coordinators=3, connection_idle_ms=15000.0, handshake_penalty=0.08), engines=4
    )
    k.request(1, 0, cost=100.0)
    used = k.sent[-1][2]
    k.end(1)
    k.controller.engines[used].slowdown = 5.0
    k.request(2, 0, cost=100.0)
    assert k.sent[-1][2] != used


def test_heavy_requests_are_sent_during_slow_start():
    """Guards against shares of 40 coordinators that never fit a heavy query.

    All heavy queries were sent in the second in which the engine was warm, 11 times its capacity.
    """
    window, work = 1000.0, list[tuple[float, float]]()
    for number in range(40):
        s = settings(READ, HEAVY, LOAD, coordinators=40, number=number, slow_start_window_ms=window)
        k = ControllerHarness(s, engines=0, now=100000.0)
        k.list(entry(7, since=99000.0), list_kind=EndpointListKind.FULL)
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


def test_attempt_queued_for_memory_does_not_count_as_hung():
    """Attempts queued for memory send no reports: loaded engines were ejected and their queries relocated."""

    def logs(with_report: bool) -> list[str]:
        k = ControllerHarness(settings(READ, HEAVY, LOAD, coordinators=40, progress_interval_ms=400.0), engines=4)
        k.warm_up(60)
        k.request(1, 0, cost=100.0, left=60000.0)
        if with_report:
            k.wait(5)
            k.feed(policy.ProgressReported(1, 0, k.sent[-1][2], ProgressKind.WAITS, 1.0))
        k.wait(1400)
        return [line for line in k.logs if "does not run" in line]

    assert logs(True) == [] != logs(False)


def test_time_queued_for_memory_does_not_count_as_run_time():
    k = ControllerHarness(settings(READ, HEAVY, LOAD, progress_interval_ms=400.0, may_cancel=True), engines=4)
    k.warm_up(60)
    k.request(1, 0, cost=100.0, left=60000.0)
    engine = k.sent[-1][2]
    k.feed(policy.ProgressReported(1, 0, engine, ProgressKind.WAITS, 1.0))
    k.wait(1200)
    k.feed(policy.ProgressReported(1, 0, engine, ProgressKind.PROGRESS, 0.9))
    k.wait(50)
    assert [sent[0] for sent in k.sent].count(1) == 1 and (1, 0) in k.open
