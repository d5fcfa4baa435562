"""Faults of the module that a second deployment showed: keys with long lines, loads that stop each other.

Each test drives a controller alone and fails without the change that it names. No bench is needed.
"""

from dataclasses import replace

from helpers import HEAVY, LOAD, READ, Keeper, entry, settings

from frostspindle.policy import EndpointListKind

ORDERED = replace(LOAD, objective_stretch=2.5, late_value_ratio=0.6, priority_weight=20)


def line(*costs: float, head: float = 4000.0, tenant: int = 0, **changes: object) -> Keeper:
    """A key whose first request has just been sent; behind it one for each cost. Two threads: half as long."""
    k = Keeper(settings(READ, HEAVY, ORDERED, **changes), engines=6)
    for number, cost in enumerate((head, *costs)):
        k.request(number, 2, cost=cost, key=7, tenant=tenant if number == 1 else 0)
    k.wait(200)
    assert [request for request, _, _ in k.sent] == [0]
    return k


def test_the_largest_in_a_keys_line_makes_way_not_the_small_ones_behind_it():
    """The larger a request the later its aim: the line threw out small ones and ran what kept all others late."""
    assert line(12000.0, 1000.0, 1000.0, 1000.0).answers == {1: "RejectRequest"}
    assert line(1000.0, 12000.0, 1000.0, 1000.0).answers == {2: "RejectRequest"}


def test_what_is_late_in_a_keys_line_stays_while_none_waits_behind_it():
    """An answer past its aim is still worth something, and nobody gains by its refusal."""
    assert line(500.0, head=12000.0).answers == {}
    assert line(500.0, 500.0, head=12000.0).answers == {1: "RejectRequest"}


def test_in_a_keys_line_what_is_over_its_tenants_share_makes_way_first():
    quotas = {"tenant_quotas_per_s": (1000.0, 1e-9), "over_quota_weight": 0.2}
    assert line(2000.0, 2500.0, 1000.0, 1000.0, **quotas).answers == {2: "RejectRequest"}
    assert line(2000.0, 2500.0, 1000.0, 1000.0, tenant=1, **quotas).answers == {1: "RejectRequest"}


def test_dispatchers_that_hear_nothing_of_each_other_put_loads_on_a_group_apart():
    """Seven of ten loads met another dispatcher's load on their group and took three times as long."""
    free = LOAD
    for group in (1, 5):
        used = list[int]()
        for number in range(3):
            k = Keeper(settings(READ, HEAVY, free, coordinators=3, number=number), engines=7)
            for request in range(5):
                k.request(request, 2, cost=500.0, group=group)
            used += [engine for _, _, engine in k.sent]
        assert sorted(used) == list(range(1, 8)), "each engine has one load on the group, of all three coordinators"


def test_while_an_engine_is_cold_a_load_goes_where_it_can_though_that_is_another_dispatchers_engine():
    """Of five engines three had just started: one's own took no load for ten seconds, and loads were refused there."""
    for number in range(3):
        k = Keeper(settings(READ, HEAVY, ORDERED, coordinators=3, number=number), engines=0, now=100000.0)
        k.list(entry(1), entry(2), *(entry(i, since=99000.0) for i in (3, 4, 5)), how=EndpointListKind.FULL)
        for group in range(3):
            k.request(group, 2, cost=9000.0, group=group)
        assert len(k.sent) == 3 and {engine for _, _, engine in k.sent} == {1, 2}


def test_a_load_that_waits_for_its_group_stops_no_other_work():
    k = Keeper(settings(READ, HEAVY, LOAD, coordinators=3), engines=6)
    for request in range(20):
        k.request(request, 2, cost=10.0, group=3)
    assert len(k.sent) == 2
    k.request(50, 0, cost=1000.0)
    k.request(51, 2, cost=1000.0, group=4)
    assert {request for request, _, _ in k.sent[2:]} == {50, 51}, "not the work behind it, nor loads elsewhere"
    k.end(k.sent[0][0])
    assert len(k.sent) == 5, "the group is free again"


def test_where_dispatchers_outnumber_engines_each_may_use_them_all():
    k = Keeper(settings(READ, HEAVY, LOAD, coordinators=9, number=8), engines=2)
    for request in range(3):
        k.request(request, 2, cost=500.0, group=5)
    assert sorted(engine for _, _, engine in k.sent) == [1, 2]


def test_a_load_whose_key_waits_for_it_does_not_crawl_in_a_low_band():
    k = Keeper(settings(READ, HEAVY, LOAD))
    k.warm_up()
    k.request(1, 1, cost=100000.0, group=1)
    k.request(2, 2, cost=100000.0, group=2)
    assert k.terms[1].priority == 0 and k.terms[2].priority == 2


def test_loads_that_keep_no_order_may_go_anywhere_and_rise_for_nobody():
    k = Keeper(settings(READ, HEAVY, replace(LOAD, in_order=False), coordinators=2, number=0))
    k.warm_up()
    for request in range(4):
        k.request(request, 2, cost=100000.0, group=1)
    assert len({engine for request, _, engine in k.sent if request < 4}) > 2, "not ours alone"
    assert k.terms[0].priority == 0


def test_another_zone_costs_its_price_while_there_is_room_and_less_as_all_fills():
    """Where a new connection is free the price of zones was never looked at: two sends in three crossed."""
    k = Keeper(settings(READ, coordinators=3, zone=0, cross_zone_penalty=0.02), engines=0)
    k.list(*(entry(i, zone=i % 3) for i in range(9)), how=EndpointListKind.FULL)
    for number in range(30):
        k.request(number, 0, cost=1000.0)
    near = [k.c.engines[engine].entry.zone == 0 for _, _, engine in k.sent]
    assert all(near[:6])
    assert sum(near) <= 12, "15 fill our zone's engines: they must not be full while others have room"


def test_the_group_numbered_0_is_one_like_any_other():
    """It was taken for none: its readers went past the engine that had it warm, its loads into each other."""
    k = Keeper(settings(READ, HEAVY, LOAD), engines=2)
    for request in range(3):
        k.request(request, 2, cost=500.0, group=0)
    assert sorted(engine for _, _, engine in k.sent) == [1, 2]
    k = Keeper(settings(READ), engines=6)
    for request in range(10):
        k.request(request, 0, cost=100.0, group=0)
        k.end(request)
    assert len({engine for _, _, engine in k.sent}) == 1
    k.request(11, 0, cost=100.0, group=-1)
    assert -1 not in [group for engine in k.c.engines.values() for group in engine.cached_groups], "-1: none"


def served_inside(shares: tuple[float, ...]) -> float:
    """One tenant at five times its share while every engine is three times slower: the other's requests in time."""
    k = Keeper(
        settings(
            replace(READ, latency_objective_ms=600, deadline_ms=2500),
            coordinators=1,
            kind_cores=(4.0, 4.0),
            tenant_quotas_per_s=shares,
        ),
        engines=2,
    )
    whose, due, number = {}, [], 0
    for step in range(2400):  # of 5 ms
        for tenant, every in ((1, 25), (2, 8)):  # 8 a second within a share of 9, and 25, five times a share of 5
            if step % every == 0:
                number += 1
                whose[number] = tenant, k.now
                k.request(number, 0, cost=240.0, tenant=tenant)
        k.wait(5.0)
        due += [(k.now + 720.0, sent) for sent in k.open if sent not in {at for _, at in due}]
        for _, (request, attempt) in [one for one in due if one[0] <= k.now]:
            if (request, attempt) in k.open:
                k.end(request)
        due = [one for one in due if one[0] > k.now]
    mine = [request for request, (tenant, at) in whose.items() if tenant == 1 and at < k.now - 2500.0]
    return sum(
        k.answers.get(request) == "Served" and k.answered_at[request] - whose[request][1] <= 2000.0 for request in mine
    ) / len(mine)


def test_a_tenant_at_five_times_its_share_takes_nothing_from_another_while_all_engines_are_slow():
    assert served_inside((0.0, 9.0, 5.0)) > 0.95
    assert served_inside((0.0, 0.0, 0.0)) < 0.9  # without shares it does


def test_what_is_worth_little_stays_in_its_zone_and_what_is_worth_much_goes_where_it_is_done_sooner():
    """The price of a zone weighs against the worth of the request: for lookups it is many times a late one's loss."""

    def crossed(cls: int) -> int:
        k = Keeper(
            settings(
                replace(READ, priority_weight=1),
                replace(READ, priority_weight=12),
                coordinators=1,
                cross_zone_penalty=0.02,
            ),
            engines=0,
        )
        k.list(entry(1, zone=0), entry(2, zone=1), how=EndpointListKind.FULL)
        for number in range(6):
            k.request(number, cls, cost=1000.0, group=-1)
        return sum(engine == 2 for _, _, engine in k.sent)

    assert crossed(0) <= 1 and crossed(1) >= 2


def test_a_small_request_past_its_estimate_does_not_wait_for_its_first_note():
    """Reports whose bad plan showed only with the first note, 2 s in, were late wherever they went then."""
    k = Keeper(settings(READ, HEAVY, progress_interval_ms=2000.0), engines=2)
    k.warm_up(60)
    k.request(1, 1, cost=400.0)  # 200 ms alone
    k.wait(1300)
    assert len(k.attempts[1]) == 1, "not yet six times its time"
    k.wait(400)
    assert len(k.attempts[1]) == 2 and k.attempts[1][1]["engine"] != k.attempts[1][0]["engine"]
