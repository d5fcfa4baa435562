"""The fleet's counters: laws of the merge, deltas, publishing, and the comparison of two tables."""

import random
from collections import Counter

import pytest
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings

from frostspindle.fleet import wire
from frostspindle.fleet.counters import MIN_PUBLISH_INTERVAL_MS, FleetCounters, publish_interval
from frostspindle.fleet.node import FleetNode, FleetSettings


def rows(values):
    counts = FleetCounters("o", 1, 0.0)
    for key, plus, minus, window in values:
        counts.add(f"k{key}", plus, minus, window)
        counts._published_at = -1e9
        counts.publish(0.0, 1)
        yield from counts.updates(0.0, 2_000)


_adds = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 3), strategies.integers(0, 9), strategies.integers(0, 9), strategies.integers(0, 2)
    ),
    max_size=20,
)


@given(_adds, strategies.randoms(use_true_random=False))
def test_merge_is_commutative_associative_and_idempotent(adds, draw):
    sent = list(rows(adds))
    views = []
    for _ in range(3):
        view = FleetCounters("v", 1, 0.0)
        mixed = sent + draw.choices(sent, k=len(sent)) if sent else []
        draw.shuffle(mixed)
        for row in [*mixed, *sent[-1:]]:
            view.merge(0.0, row)
        whole = FleetCounters("o", 1, 0.0)
        for key, plus, minus, window in adds:
            whole.add(f"k{key}", plus, minus, window)
        place = ("o", 1, 0)
        if sent:
            whole.streams[place].version = 10**6
            whole._changed[0] = dict.fromkeys(whole.streams[place].values, 10**6 + 1)
            whole.publish(10**6, 1)
            view.merge(0.0, whole._table.row(0.0, place, 0, ()))
            view.merge(0.0, whole._table.row(0.0, place, 0, ()))
            assert view.streams[place].values == whole.streams[place].values
        views.append({place: origin.values for place, origin in view.streams.items()})
    assert views[0] == views[1]
    assert views[1] == views[2]


def test_row_with_more_counts_under_the_same_version_is_still_merged():
    """An origin that dies after that must not leave two views that never agree."""
    early, late = FleetCounters("a", 1, 0.0), FleetCounters("b", 1, 0.0)
    early.merge(0.0, wire.CounterRow("o", 1, 0, 0, 1, 0, [("k", 0, 1, 0)]))
    late.merge(0.0, wire.CounterRow("o", 1, 0, 0, 1, 0, [("k", 0, 6, 0)]))
    assert (early.sums(), late.sums()) == ({"k": 1}, {"k": 6})
    for row in late.answer_request(5_000.0, early.request_rows(0, 1), 1_000).rows:
        early.merge(5_000.0, row)
    assert early.sums() == {"k": 6}
    assert early.pending


def test_later_process_adds_to_earlier_ones_and_the_oldest_are_dropped():
    view = FleetCounters("v", 1, 0.0)
    for epoch in range(1, 12):
        other = FleetCounters("o", epoch, 0.0)
        other.add("spent", 5)
        other.publish(10**6, 1)
        view.merge(0.0, other._table.row(0.0, ("o", epoch, 0), 0, ()))
    assert view.sums() == {"spent": 40}
    assert len([place for place in view.streams if place[0] == "o"]) == 8


def test_old_windows_are_dropped_and_staleness_is_reported():
    view = FleetCounters("v", 1, 1_000.0)
    view.add("x", 3, window=7)
    view.start_window(7)
    assert view.sums(7) == {"x": 3}
    view.start_window(10)
    assert view.sums(7) == {}
    view.merge(5_000.0, wire.CounterRow("o", 1, 0, 0, 1, 700.0, [("x", 0, 1, 0)]))
    assert view.staleness(6000.0) == {"v": 0.0, "o": 1700.0}
    with pytest.raises(ValueError):
        view.add("x", -1)


def fill(held: dict[int, int]) -> FleetCounters:
    """Counts of so many versions of each origin."""
    view = FleetCounters("v", 1, 0.0)
    for number, version in held.items():
        view.merge(0.0, wire.CounterRow(f"o{number}", 1, number % 3, 0, version, 0, [("k", 0, version, 0)]))
    return view


def ask(asker: FleetCounters, other: FleetCounters, salt: int, now: float = 10_000.0, room: int = 500) -> int:
    begin = told = 0
    for _ in range(1_000):
        answer = other.answer_request(now, asker.request_rows(begin, salt), room)
        assert sum(map(wire.size, answer.rows[1:])) <= room
        told += len(answer.rows)
        for row in answer.rows:
            asker.merge(now, row)
        if not answer.next_begin:
            return told
        assert answer.next_begin > begin  # else it would go on for ever
        begin = answer.next_begin
    raise AssertionError("never at the end")


@given(
    strategies.dictionaries(
        strategies.integers(0, 300),
        strategies.tuples(strategies.integers(0, 600), strategies.integers(0, 600)),
        max_size=60,
    ),
    strategies.integers(0, 2**53),
)
@hypothesis_settings(max_examples=40, deadline=None)
def test_comparison_converges_to_the_newest_rows(pairs, seed):
    draw = random.Random(seed)
    first, second = (fill({n: pair[side] for n, pair in pairs.items() if pair[side]}) for side in (0, 1))
    for turn in range(40):
        salt = draw.getrandbits(53) | 1
        ask(*((first, second) if turn % 2 else (second, first)), salt if turn < 36 else salt & ~14)
    for number, pair in pairs.items():
        place = (f"o{number}", 1, number % 3)
        if max(pair):
            assert [view.streams[place].version for view in (first, second)] == [max(pair)] * 2
    assert first.sums() == second.sums()


def test_comparison_sends_only_newer_rows_and_none_published_recently():
    held = dict.fromkeys(range(300), 5)
    newer, older = fill(held | {7: 6, 8: 7}), fill(held | {9: 6})
    assert older.answer_request(10000.0, newer.request_rows(0, 15), 1000).rows[0].origin == "o9"
    assert ask(older, newer, 15, now=1000.0) == 0  # it was written a second ago
    assert ask(older, newer, 15) == 2
    assert ask(older, newer, 15) == 0
    assert ask(newer, newer, 15) == 0
    newer.merge(0.0, wire.CounterRow("new", 1, 0, 0, 1, 0, []))
    assert (ask(newer, older, 15), ask(older, newer, 15)) == (1, 1)  # of o9 and new only


def test_comparison_finds_different_counts_under_one_version():
    first, second = fill(dict.fromkeys(range(50), 5)), fill(dict.fromkeys(range(50), 5))
    second.merge(0.0, wire.CounterRow("o7", 1, 1, 0, 5, 0, [("k", 0, 9, 0)]))
    ask(first, second, 2**52 + 15)
    assert first.sums() == second.sums()


@given(
    strategies.integers(0, 2**48 - 1),
    strategies.integers(0, 10),
    strategies.integers(0, 2**53),
    strategies.binary(max_size=wire.MAX_FINGERPRINT_BYTES),
)
def test_arbitrary_fingerprints_are_answered_within_bounds(begin, bits, salt, marks):
    view = fill(dict.fromkeys(range(40), 3))
    answer = view.answer_request(10_000.0, wire.CountersRequest(begin, bits, salt, marks), 500)
    assert sum(map(wire.size, answer.rows[1:])) <= 500
    assert 0 <= answer.next_begin < 2**48


def test_truncated_fingerprints_are_answered_as_far_as_they_go():
    view = fill(dict.fromkeys(range(40), 3))
    ask = view.request_rows(0, 15)
    for length in range(len(ask.fingerprints)):
        assert (
            view.answer_request(
                10000.0, wire.CountersRequest(0, ask.range_bits, 15, ask.fingerprints[:length]), 500
            ).rows
            == []
        )


def test_member_that_answers_for_ever_gets_a_bounded_number_of_requests():
    seeds = {name: ("127.0.0.1", port) for name, port in (("a", 1), ("b", 2))}
    node, liar = (
        FleetNode(name, seeds[name], 10, name.encode() * 16, FleetSettings(seeds, chain_length=64), 0.0)
        for name in seeds
    )
    word = wire.encode(wire.Packet(liar.membership.me, "a", wire.CountersPage(5, [])))
    asked = sum(
        isinstance(wire.decode(out.data).body, wire.CountersRequest)
        for _ in range(500)
        for out in node.receive(1.0, seeds["b"], word)
    )
    assert asked <= 64


def test_many_suspicions_leave_room_for_rows_and_of_many_revived_members_one_is_asked():
    seeds = {"a": ("127.0.0.1", 1)}
    node = FleetNode("a", seeds["a"], 10, b"a" * 16, FleetSettings(seeds, chain_length=64), 0.0)
    claims = [wire.MemberState(f"m{n}", "127.0.0.1", 100 + n, wire.ALIVE, 1, 0, bytes(16)) for n in range(60)]
    node.membership.add_known(0.0, claims)
    for claim in claims:
        node.membership.on_claim(
            1.0, wire.MemberState(claim.name, claim.host, claim.port, wire.DEAD, 1, 0, bytes(16)), "m0"
        )
    node.counters.add("k", 1)
    node.counters.publish(10**6, 60)
    packet = node._packet(1.0, "m0", wire.Gossip())
    assert len(packet.suspicions) > 20
    assert len(packet.rows) == 1
    node.membership.outbox.clear()
    for number, claim in enumerate(claims):  # a later process of each speaks
        node.membership.verify_sender(
            10_000.0 + number,
            wire.MemberState(claim.name, claim.host, claim.port, wire.ALIVE, 2, 0, bytes(16)),
            claim.address,
        )
    assert [type(out.body) for out in node.membership.outbox] == [wire.MembersRequest]


def test_content_of_a_published_version_never_changes():
    origin = FleetCounters("o", 1, 0.0)
    origin.add("k", 1)
    origin.publish(10**6, 1)
    first = origin.updates(0.0, 2_000)[0]
    origin.add("k", 5)
    assert origin.updates(0.0, 2000)[0].entries == first.entries
    origin.publish(2 * 10**6, 1)
    assert origin.updates(0.0, 2000)[0].entries == [("k", 0, 6, 0)]


def test_row_names_a_repeated_key_once_and_one_without_a_first_key_is_rejected():
    origin, view = FleetCounters("o", 1, 0.0), FleetCounters("v", 1, 0.0)
    for key, window in (("k", 0), ("k", 1), ("k", 2), ("l", 0), ("l", 2), ("k", 3)):
        origin.add(key, 1 + window, window=window)
    origin.publish(10**6, 1)
    row = origin.updates(0.0, 2_000)[0]
    assert [entry[0] for entry in row.entries] == ["k", "", "", "l", "", "k"]
    view.merge(
        0.0,
        wire.decode(
            wire.encode(
                wire.Packet(wire.MemberState("o", "127.0.0.1", 1, 0, 1, 0, bytes(16)), "", wire.Gossip(), [], [row])
            )
        ).rows[0],
    )
    assert view.streams["o", 1, 0].values == origin.streams["o", 1, 0].values
    assert view.updates(0.0, 2000)[0].entries == row.entries
    refused = []
    view.count = refused.append
    view.merge(0.0, wire.CounterRow("p", 1, 0, 0, 1, 0, [("", 0, 1, 0)]))
    assert (view.sums()["k"], refused, len(view.streams)) == (1, ["fleet_undecodable"], 2)


def test_delta_covers_the_last_three_versions():
    origin, view = FleetCounters("o", 1, 0.0), FleetCounters("v", 1, 0.0)
    for number in range(1, 7):
        origin.add(f"k{number}", 1)
        origin.publish(number * 1e6, 1)
        row = origin.updates(0.0, 2_000)[0]
        if number in (2, 6):
            view.merge(0.0, row)
    assert (row.base_version, view.streams["o", 1, 0].version, len(view.sums())) == (2, 6, 6)


def test_idle_origin_publishes_half_as_often_in_a_large_fleet():
    for size, most in ((30, 20), (300, 10)):
        idle, busy = FleetCounters("o", 1, 0.0), FleetCounters("o", 1, 0.0)
        for number in range(1, 21):
            busy.add("k", 1)
            for counts in (idle, busy):
                counts.publish(number * 1e6, size)
        assert (idle.streams["o", 1, 0].version, busy.streams["o", 1, 0].version) == (most, 20)


def test_publishing_of_a_large_fleet_is_spread_over_an_interval():
    many = [FleetCounters(f"c{n}", 1, 0.0) for n in range(1_000)]
    for size, least in ((3, 0.0), (1_000, 1.0)):
        spans = Counter(
            int(
                10.0
                * (one.due(size) - MIN_PUBLISH_INTERVAL_MS)
                / (publish_interval(size) - MIN_PUBLISH_INTERVAL_MS or 1e9)
            )
            for one in many
        )
        assert least * 50 <= min(spans.values()) and len(spans) == (10 if least else 1), spans
    for one in many:
        one.publish(one.due(1_000), 1_000)
    assert {round(one.due(1000) - one._published_at) for one in many} == {round(publish_interval(1000))}
