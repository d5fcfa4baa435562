"""Regression tests for key queues, loads that block each other, zones and quotas.

Each test drives a single controller.
"""

from dataclasses import replace

from helpers import HEAVY, LOAD, READ, ControllerHarness, entry, settings

from frostspindle.policy import EndpointListKind

ORDERED = replace(LOAD, objective_stretch=2.5, late_value_ratio=0.6, priority_weight=20)


def harness_with_key_queue(
    *costs: float, head: float = 4000.0, tenant: int = 0, **changes: object
) -> ControllerHarness:
    """Return a harness whose key has one running request and one queued for each cost.

    Requests use two threads, so they run for half their cost.
    """
    k = ControllerHarness(settings(READ, HEAVY, ORDERED, **changes), engines=6)
    for number, cost in enumerate((head, *costs)):
        k.request(number, 2, cost=cost, key=7, tenant=tenant if number == 1 else 0)
    k.wait(200)
    assert [request for request, _, _ in k.sent] == [0]
    return k


def test_largest_request_in_a_key_queue_is_shed_first():
    """Larger requests have later objectives, so small ones were shed and the large one made all others late."""
    assert harness_with_key_queue(12000.0, 1000.0, 1000.0, 1000.0).answers == {1: "RejectRequest"}
    assert harness_with_key_queue(1000.0, 12000.0, 1000.0, 1000.0).answers == {2: "RejectRequest"}


def test_late_request_at_the_end_of_a_key_queue_is_kept():
    """A response past its objective still has value, and shedding the last request helps no other."""
    assert harness_with_key_queue(500.0, head=12000.0).answers == {}
    assert harness_with_key_queue(500.0, 500.0, head=12000.0).answers == {1: "RejectRequest"}


def test_over_quota_request_in_a_key_queue_is_shed_first():
    quotas = {"tenant_quotas_per_s": (1000.0, 1e-9), "over_quota_weight": 0.2}
    assert harness_with_key_queue(2000.0, 2500.0, 1000.0, 1000.0, **quotas).answers == {2: "RejectRequest"}
    assert harness_with_key_queue(2000.0, 2500.0, 1000.0, 1000.0, tenant=1, **quotas).answers == {1: "RejectRequest"}


def test_coordinators_use_separate_engines_for_ordered_loads_of_a_group():
    """Seven of ten loads met another coordinator's load of their group and took three times as long."""
    ordered_load = LOAD
    for group in (1, 5):
        used_engines = list[int]()
        for number in range(3):
            k = ControllerHarness(settings(READ, HEAVY, ordered_load, coordinators=3, number=number), engines=7)
            for request in range(5):
                k.request(request, 2, cost=500.0, group=group)
            used_engines += [engine for _, _, engine in k.sent]
        assert sorted(used_engines) == list(range(1, 8)), "each engine has one load of the group"


def test_ordered_load_may_use_all_engines_during_slow_start():
    """With three of five engines in slow start, a coordinator's own engine took no load for 10 s: it rejected them."""
    for number in range(3):
        k = ControllerHarness(settings(READ, HEAVY, ORDERED, coordinators=3, number=number), engines=0, now=100000.0)
        k.list(entry(1), entry(2), *(entry(i, since=99000.0) for i in (3, 4, 5)), list_kind=EndpointListKind.FULL)
        for group in range(3):
            k.request(group, 2, cost=9000.0, group=group)
        assert len(k.sent) == 3 and {engine for _, _, engine in k.sent} == {1, 2}


def test_waiting_load_does_not_block_other_requests():
    k = ControllerHarness(settings(READ, HEAVY, LOAD, coordinators=3), engines=6)
    for request in range(20):
        k.request(request, 2, cost=10.0, group=3)
    assert len(k.sent) == 2
    k.request(50, 0, cost=1000.0)
    k.request(51, 2, cost=1000.0, group=4)
    assert {request for request, _, _ in k.sent[2:]} == {50, 51}, (
        "neither requests behind it nor loads of other groups are blocked"
    )
    k.end(k.sent[0][0])
    assert len(k.sent) == 5, "the next load of the group is sent"


def test_ordered_loads_use_all_engines_if_coordinators_outnumber_them():
    k = ControllerHarness(settings(READ, HEAVY, LOAD, coordinators=9, number=8), engines=2)
    for request in range(3):
        k.request(request, 2, cost=500.0, group=5)
    assert sorted(engine for _, _, engine in k.sent) == [1, 2]


def test_ordered_load_is_raised_to_the_blocking_band():
    k = ControllerHarness(settings(READ, HEAVY, LOAD))
    k.warm_up()
    k.request(1, 1, cost=100000.0, group=1)
    k.request(2, 2, cost=100000.0, group=2)
    assert k.priority_updates[1].priority == 0 and k.priority_updates[2].priority == 2


def test_unordered_loads_use_all_engines_and_keep_their_band():
    k = ControllerHarness(settings(READ, HEAVY, replace(LOAD, in_order=False), coordinators=2, number=0))
    k.warm_up()
    for request in range(4):
        k.request(request, 2, cost=100000.0, group=1)
    assert len({engine for request, _, engine in k.sent if request < 4}) > 2, "not only this coordinator's engines"
    assert k.priority_updates[0].priority == 0


def test_zone_penalty_applies_while_there_is_capacity():
    """Without a handshake penalty the zone penalty was ignored: two of three sends crossed zones."""
    k = ControllerHarness(settings(READ, coordinators=3, zone=0, cross_zone_penalty=0.02), engines=0)
    k.list(*(entry(i, zone=i % 3) for i in range(9)), list_kind=EndpointListKind.FULL)
    for number in range(30):
        k.request(number, 0, cost=1000.0)
    in_own_zone = [k.controller.engines[engine].entry.zone == 0 for _, _, engine in k.sent]
    assert all(in_own_zone[:6])
    assert sum(in_own_zone) <= 12, "15 requests fill the own zone: it must not be full while others have capacity"


def test_table_group_0_is_a_valid_group():
    """Group 0 was treated as no group: readers missed the engine with a warm cache, and loads met each other."""
    k = ControllerHarness(settings(READ, HEAVY, LOAD), engines=2)
    for request in range(3):
        k.request(request, 2, cost=500.0, group=0)
    assert sorted(engine for _, _, engine in k.sent) == [1, 2]
    k = ControllerHarness(settings(READ), engines=6)
    for request in range(10):
        k.request(request, 0, cost=100.0, group=0)
        k.end(request)
    assert len({engine for _, _, engine in k.sent}) == 1
    k.request(11, 0, cost=100.0, group=-1)
    assert -1 not in [group for engine in k.controller.engines.values() for group in engine.cached_groups], (
        "-1 means no group"
    )


def in_time_ratio(quotas: tuple[float, ...]) -> float:
    """Return the ratio of one tenant's requests served in time.

    Another tenant sends at five times its quota while every engine is three times slower.
    """
    k = ControllerHarness(
        settings(
            replace(READ, latency_objective_ms=600, deadline_ms=2500),
            coordinators=1,
            kind_cores=(4.0, 4.0),
            tenant_quotas_per_s=quotas,
        ),
        engines=2,
    )
    arrivals, responses, number = {}, [], 0
    for step in range(2400):  # of 5 ms
        for tenant, interval in (
            (1, 25),
            (2, 8),
        ):  # 8 per second within a quota of 9; 25 per second, five times a quota of 5
            if step % interval == 0:
                number += 1
                arrivals[number] = tenant, k.now
                k.request(number, 0, cost=240.0, tenant=tenant)
        k.wait(5.0)
        responses += [(k.now + 720.0, sent) for sent in k.open if sent not in {key for _, key in responses}]
        for _, (request, attempt) in [response for response in responses if response[0] <= k.now]:
            if (request, attempt) in k.open:
                k.end(request)
        responses = [response for response in responses if response[0] > k.now]
    measured = [request for request, (tenant, at) in arrivals.items() if tenant == 1 and at < k.now - 2500.0]
    return sum(
        k.answers.get(request) == "Served" and k.answered_at[request] - arrivals[request][1] <= 2000.0
        for request in measured
    ) / len(measured)


def test_tenant_over_quota_does_not_delay_another_tenant():
    assert in_time_ratio((0.0, 9.0, 5.0)) > 0.95
    assert in_time_ratio((0.0, 0.0, 0.0)) < 0.9  # without quotas it is delayed


def test_zone_penalty_weighs_against_the_priority_weight():
    """The zone penalty is relative to the priority weight: for lookups it far exceeds the loss of a late response."""

    def cross_zone_sends(cls: int) -> int:
        k = ControllerHarness(
            settings(
                replace(READ, priority_weight=1),
                replace(READ, priority_weight=12),
                coordinators=1,
                cross_zone_penalty=0.02,
            ),
            engines=0,
        )
        k.list(entry(1, zone=0), entry(2, zone=1), list_kind=EndpointListKind.FULL)
        for number in range(6):
            k.request(number, cls, cost=1000.0, group=-1)
        return sum(engine == 2 for _, _, engine in k.sent)

    assert cross_zone_sends(0) <= 1 and cross_zone_sends(1) >= 2


def test_small_request_past_its_estimate_is_relocated_before_its_first_report():
    """Bad plans detected only by the first progress report, after 2 s, were late wherever they were sent."""
    k = ControllerHarness(settings(READ, HEAVY, progress_interval_ms=2000.0), engines=2)
    k.warm_up(60)
    k.request(1, 1, cost=400.0)  # 200 ms without contention
    k.wait(1300)
    assert len(k.attempts[1]) == 1, "not yet six times its expected time"
    k.wait(400)
    assert len(k.attempts[1]) == 2 and k.attempts[1][1]["engine"] != k.attempts[1][0]["engine"]
