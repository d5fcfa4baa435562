"""The rules of request handling, each with a case that a naive controller violates."""

from dataclasses import replace

import pytest
from helpers import KEYED, LOAD, READ, ControllerHarness, entry, settings

from frostspindle.policy import (
    AttemptOutcome,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdated,
    SubscribeEndpoints,
    TimerFired,
)


def test_every_request_is_answered_before_its_deadline():
    k = ControllerHarness(settings(), engines=0)
    k.request(1, 0, left=800)
    k.request(2, 2, key=7, left=900)
    k.request(3, 3, left=1000)
    k.wait(1200)
    assert k.answers == {1: "RejectRequest", 2: "RejectRequest", 3: "RejectRequest"}


def test_attempt_without_a_response_ends_in_one_failure():
    k = ControllerHarness(settings(replace(LOAD, in_order=False)), engines=1)
    k.request(1, 0, cost=500, left=3000)
    k.wait(3100)
    assert k.answers == {1: "FailRequest"}, "a request that may have run is not rejected"


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED]
)
def test_non_idempotent_request_is_sent_once_if_it_may_have_run(outcome):
    k = ControllerHarness(settings())
    k.request(1, 2)
    k.wait(50)
    k.end(1, outcome)
    k.wait(500)
    assert len(k.attempts[1]) == 1 and k.answers[1] == "FailRequest"


def test_non_idempotent_request_is_resent_if_it_never_ran():
    k = ControllerHarness(settings())
    k.request(1, 2)
    k.wait(50)
    k.end(1, AttemptOutcome.CONNECT_FAILED)
    k.wait(100)
    assert len(k.attempts[1]) == 2


def test_keyed_retry_stays_in_its_window_and_cell():
    k = ControllerHarness(settings(replace(KEYED, dedup_scope="cell")), engines=0)
    k.list(entry(1, cell=1), entry(2, cell=2), entry(3, cell=1), list_kind=EndpointListKind.FULL)
    k.request(1, 0, cost=300)
    first = k.sent[0][2]
    k.wait(50)
    k.end(1, AttemptOutcome.RESET)
    k.wait(100)
    assert len(k.sent) == 2 and k.entries[k.sent[1][2]].cell == k.entries[first].cell
    k.now += 6000
    k.end(1, AttemptOutcome.RESET)
    k.wait(300)
    assert len(k.sent) == 2 and k.answers[1] == "FailRequest"


@pytest.mark.parametrize("health", [0, 2])
def test_draining_engine_gets_no_new_requests(health):
    k = ControllerHarness(settings(), engines=2)
    k.list(entry(1, health=health))
    for i in range(6):
        k.request(i, 0)
        k.wait(400)
    assert {engine for _, _, engine in k.sent} == {2}


def test_engine_missing_from_a_full_list_gets_no_new_requests():
    k = ControllerHarness(settings(), engines=2)
    k.list(entry(2), list_kind=EndpointListKind.FULL)
    for i in range(6):
        k.request(i, 0)
        k.wait(400)
    assert {engine for _, _, engine in k.sent} == {2}


@pytest.mark.parametrize("coordinators", [1, 3])
def test_slow_start_budget_is_not_exceeded(coordinators):
    s = settings(coordinators=coordinators)
    k = ControllerHarness(s, engines=0, now=100000.0)
    k.list(entry(1, since=99000.0), list_kind=EndpointListKind.FULL)
    for i in range(200):
        k.request(i, i % 2, cost=300.0 if i % 2 == 0 else 4000.0)
        k.wait(10)
        for request, _ in list(k.open):
            k.end(request)
    budget = s.slow_start_overload_ratio * s.slow_start_capacity * 0.85 * 8 * s.slow_start_window_ms / coordinators
    mean_costs = {0: 300.0, 1: 4000.0}
    sends = [(k.attempts[r][0]["at"], mean_costs[k.requests[r].cls]) for r, _, _ in k.sent]
    assert sends, "small requests are sent during slow start"
    for at, _ in sends:
        assert sum(w for t, w in sends if at <= t < at + s.slow_start_window_ms) <= budget


def test_ordered_key_runs_one_request_at_a_time_and_pauses_after_a_timeout():
    k = ControllerHarness(settings())
    k.request(1, 2, key=5)
    k.request(2, 2, key=5)
    k.request(3, 2, key=6)
    k.wait(100)
    assert [r for r, _, _ in k.sent] == [1, 3]
    k.end(1, AttemptOutcome.TIMEOUT)
    k.wait(480)
    assert len(k.sent) == 2, "the key cools down"
    k.wait(100)
    assert [r for r, _, _ in k.sent] == [1, 3, 2]


def test_ordered_key_waits_for_an_attempt_of_a_disconnected_client():
    k = ControllerHarness(settings(may_cancel=False))
    k.request(1, 2, key=5)
    k.request(2, 2, key=5)
    k.answer(1, "ClientDisconnected")
    k.feed(ClientDisconnected(1))
    k.wait(1000)
    assert [r for r, _, _ in k.sent] == [1]
    k.end(1, AttemptOutcome.OK)
    k.wait(100)
    assert [r for r, _, _ in k.sent] == [1, 2]


def test_placement_rules_hold_when_the_only_match_is_full_or_draining():
    restricted = replace(READ, only_kinds=frozenset({1}), only_zones=frozenset({2}))
    k = ControllerHarness(settings(restricted), engines=0)
    k.list(
        entry(1, kind=0, zone=2), entry(2, kind=1, zone=0), entry(3, kind=1, zone=2), list_kind=EndpointListKind.FULL
    )
    k.request(1, 0)
    k.wait(10)
    assert k.sent == [(1, 0, 3)]
    k.end(1, AttemptOutcome.OVERLOADED)
    k.list(entry(3, health=2))
    k.wait(5000)
    assert len(k.sent) <= 2 and k.answers[1] == "RejectRequest"


def test_retry_budget_is_kept_over_any_window():
    s = settings(READ, retry_budget_min=2.0, retry_budget_ratio=0.1, retry_budget_window_ms=5000.0, max_attempts=3)
    k = ControllerHarness(s, engines=6)
    for i in range(80):
        k.request(i, 0)
        k.wait(30)
        for request, number in list(k.open):
            if number == len(k.attempts[request]) - 1:
                k.end(request, AttemptOutcome.OVERLOADED if i % 3 else AttemptOutcome.OK)
    assert k.extras, "some requests were retried"


def test_failed_subscription_to_the_endpoint_list_is_retried():
    k = ControllerHarness(settings(subscribe_endpoints=True), engines=0)
    first = k.feed(EndpointListUpdated(EndpointListKind.CACHED, 1, (entry(1),)))
    assert first.count(SubscribeEndpoints(True)) == 1
    failed = k.feed(EndpointListUpdated(EndpointListKind.FAILED, 1, ()))
    assert SubscribeEndpoints(True) not in failed, "not at once, because the discovery service may be overloaded"
    k.now += 600
    assert SubscribeEndpoints(True) in k.feed(TimerFired(0))
    assert SubscribeEndpoints(True) not in ControllerHarness(settings(), engines=0).feed(
        EndpointListUpdated(EndpointListKind.CACHED, 1, ())
    )
