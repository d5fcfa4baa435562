"""Counters of the fleet: laws of the merge, deltas, publishing, and the comparison of two tables."""

import random
from collections import Counter

import pytest
from hypothesis import given, strategies
from hypothesis import settings as hypothesis_settings

from frostspindle.fleet import wire
from frostspindle.fleet.counters import MIN_PUBLISH_INTERVAL_MS, FleetCounters, publish_interval
from frostspindle.fleet.node import FleetNode, FleetSettings


def rows(values):
    counters = FleetCounters("o", 1, 0.0)
    for key, increment, decrement, window in values:
        counters.add(f"k{key}", increment, decrement, window)
        counters._published_at = -1e9
        counters.publish(0.0, 1)
        yield from counters.updates(0.0, 2_000)


_adds = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 3), strategies.integers(0, 9), strategies.integers(0, 9), strategies.integers(0, 2)
    ),
    max_size=20,
)


@given(_adds, strategies.randoms(use_true_random=False))
def test_merge_is_commutative_associative_and_idempotent(adds, rng):
    sent = list(rows(adds))
    views = []
    for _ in range(3):
        view = FleetCounters("v", 1, 0.0)
        received = sent + rng.choices(sent, k=len(sent)) if sent else []
        rng.shuffle(received)
        for row in [*received, *sent[-1:]]:
            view.merge(0.0, row)
        complete = FleetCounters("o", 1, 0.0)
        for key, increment, decrement, window in adds:
            complete.add(f"k{key}", increment, decrement, window)
        stream_id = ("o", 1, 0)
        if sent:
            complete.streams[stream_id].version = 10**6
            complete._changed[0] = dict.fromkeys(complete.streams[stream_id].values, 10**6 + 1)
            complete.publish(10**6, 1)
            view.merge(0.0, complete._table.row(0.0, stream_id, 0, ()))
            view.merge(0.0, complete._table.row(0.0, stream_id, 0, ()))
            assert view.streams[stream_id].values == complete.streams[stream_id].values
        views.append({stream_id: stream.values for stream_id, stream in view.streams.items()})
    assert views[0] == views[1]
    assert views[1] == views[2]


def test_row_with_higher_counts_of_the_same_version_is_merged():
    """Guards against views that never converge when an origin dies after sending two rows of one version."""
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
    assert len([stream_id for stream_id in view.streams if stream_id[0] == "o"]) == 8


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


def fill(versions: dict[int, int]) -> FleetCounters:
    """Return counters that know the given version of each origin."""
    view = FleetCounters("v", 1, 0.0)
    for number, version in versions.items():
        view.merge(0.0, wire.CounterRow(f"o{number}", 1, number % 3, 0, version, 0, [("k", 0, version, 0)]))
    return view


def pull(requester: FleetCounters, other: FleetCounters, salt: int, now: float = 10_000.0, room: int = 500) -> int:
    """Let the requester pull newer rows from another member; return their number."""
    begin = received = 0
    for _ in range(1_000):
        page = other.answer_request(now, requester.request_rows(begin, salt), room)
        assert sum(map(wire.size, page.rows[1:])) <= room
        received += len(page.rows)
        for row in page.rows:
            requester.merge(now, row)
        if not page.next_begin:
            return received
        assert page.next_begin > begin  # otherwise the comparison would not terminate
        begin = page.next_begin
    raise AssertionError("the comparison does not end")


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
    rng = random.Random(seed)
    first, second = (fill({n: pair[side] for n, pair in pairs.items() if pair[side]}) for side in (0, 1))
    for exchange in range(40):
        salt = rng.getrandbits(53) | 1
        pull(*((first, second) if exchange % 2 else (second, first)), salt if exchange < 36 else salt & ~14)
    for number, pair in pairs.items():
        stream_id = (f"o{number}", 1, number % 3)
        if max(pair):
            assert [view.streams[stream_id].version for view in (first, second)] == [max(pair)] * 2
    assert first.sums() == second.sums()


def test_comparison_sends_only_newer_rows_and_none_published_recently():
    versions = dict.fromkeys(range(300), 5)
    newer, older = fill(versions | {7: 6, 8: 7}), fill(versions | {9: 6})
    assert older.answer_request(10000.0, newer.request_rows(0, 15), 1000).rows[0].origin == "o9"
    assert pull(older, newer, 15, now=1000.0) == 0  # published one second ago, still being gossiped
    assert pull(older, newer, 15) == 2
    assert pull(older, newer, 15) == 0
    assert pull(newer, newer, 15) == 0
    newer.merge(0.0, wire.CounterRow("new", 1, 0, 0, 1, 0, []))
    assert (pull(newer, older, 15), pull(older, newer, 15)) == (1, 1)  # o9 and new only


def test_comparison_finds_different_counts_of_the_same_version():
    first, second = fill(dict.fromkeys(range(50), 5)), fill(dict.fromkeys(range(50), 5))
    second.merge(0.0, wire.CounterRow("o7", 1, 1, 0, 5, 0, [("k", 0, 9, 0)]))
    pull(first, second, 2**52 + 15)
    assert first.sums() == second.sums()


@given(
    strategies.integers(0, 2**48 - 1),
    strategies.integers(0, 10),
    strategies.integers(0, 2**53),
    strategies.binary(max_size=wire.MAX_FINGERPRINT_BYTES),
)
def test_arbitrary_fingerprints_are_answered_within_bounds(begin, bits, salt, fingerprints):
    view = fill(dict.fromkeys(range(40), 3))
    page = view.answer_request(10_000.0, wire.CountersRequest(begin, bits, salt, fingerprints), 500)
    assert sum(map(wire.size, page.rows[1:])) <= 500
    assert 0 <= page.next_begin < 2**48


def test_truncated_fingerprints_of_equal_tables_are_answered_without_rows():
    view = fill(dict.fromkeys(range(40), 3))
    request = view.request_rows(0, 15)
    for length in range(len(request.fingerprints)):
        assert (
            view.answer_request(
                10000.0, wire.CountersRequest(0, request.range_bits, 15, request.fingerprints[:length]), 500
            ).rows
            == []
        )


def test_member_whose_pages_never_end_is_sent_a_bounded_number_of_requests():
    seeds = {name: ("127.0.0.1", port) for name, port in (("a", 1), ("b", 2))}
    node, peer = (
        FleetNode(name, seeds[name], 10, name.encode() * 16, FleetSettings(seeds, chain_length=64), 0.0)
        for name in seeds
    )
    page = wire.encode(wire.Packet(peer.membership.me, "a", wire.CountersPage(5, [])))
    requests = sum(
        isinstance(wire.decode(datagram.data).body, wire.CountersRequest)
        for _ in range(500)
        for datagram in node.receive(1.0, seeds["b"], page)
    )
    assert requests <= 64


def test_many_suspicions_leave_room_for_rows_and_only_one_of_many_revived_members_is_asked():
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
    for number, claim in enumerate(claims):  # a later process of each member sends a message
        node.membership.verify_sender(
            10_000.0 + number,
            wire.MemberState(claim.name, claim.host, claim.port, wire.ALIVE, 2, 0, bytes(16)),
            claim.address,
        )
    assert [type(message.body) for message in node.membership.outbox] == [wire.MembersRequest]


def test_content_of_a_published_version_never_changes():
    origin = FleetCounters("o", 1, 0.0)
    origin.add("k", 1)
    origin.publish(10**6, 1)
    first = origin.updates(0.0, 2_000)[0]
    origin.add("k", 5)
    assert origin.updates(0.0, 2000)[0].entries == first.entries
    origin.publish(2 * 10**6, 1)
    assert origin.updates(0.0, 2000)[0].entries == [("k", 0, 6, 0)]


def test_row_states_a_repeated_name_once_and_a_row_without_a_first_name_is_rejected():
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
    counted = []
    view.count = counted.append
    view.merge(0.0, wire.CounterRow("p", 1, 0, 0, 1, 0, [("", 0, 1, 0)]))
    assert (view.sums()["k"], counted, len(view.streams)) == (1, ["fleet_undecodable"], 2)


def test_delta_covers_the_last_four_versions():
    origin, view = FleetCounters("o", 1, 0.0), FleetCounters("v", 1, 0.0)
    for number in range(1, 7):
        origin.add(f"k{number}", 1)
        origin.publish(number * 1e6, 1)
        row = origin.updates(0.0, 2_000)[0]
        if number in (2, 6):
            view.merge(0.0, row)
    assert (row.base_version, view.streams["o", 1, 0].version, len(view.sums())) == (2, 6, 6)


def test_idle_origin_publishes_half_as_often_in_a_large_fleet():
    for size, versions in ((30, 20), (300, 10)):
        idle, busy = FleetCounters("o", 1, 0.0), FleetCounters("o", 1, 0.0)
        for number in range(1, 21):
            busy.add("k", 1)
            for counters in (idle, busy):
                counters.publish(number * 1e6, size)
        assert (idle.streams["o", 1, 0].version, busy.streams["o", 1, 0].version) == (versions, 20)


def test_publishing_of_a_large_fleet_is_spread_over_an_interval():
    origins = [FleetCounters(f"c{n}", 1, 0.0) for n in range(1_000)]
    for size, spread in ((3, 0.0), (1_000, 1.0)):
        tenths = Counter(
            int(
                10.0
                * (origin.due(size) - MIN_PUBLISH_INTERVAL_MS)
                / (publish_interval(size) - MIN_PUBLISH_INTERVAL_MS or 1e9)
            )
            for origin in origins
        )
        assert spread * 50 <= min(tenths.values()) and len(tenths) == (10 if spread else 1), tenths
    for origin in origins:
        origin.publish(origin.due(1_000), 1_000)
    assert {round(origin.due(1000) - origin._published_at) for origin in origins} == {round(publish_interval(1000))}
