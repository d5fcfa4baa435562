"""The parts of subscriptions without I/O: summaries, cursors, backlogs, and streams over a faulty network."""

import random
from collections import deque

import msgspec
import pytest
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from frostspindle.lab import subscriptions as lab
from frostspindle.predicates import all_of, language, match
from frostspindle.predicates.language import parse
from frostspindle.predicates.normal import normal
from frostspindle.predicates.values import FilterError
from frostspindle.subscriptions import cover, cursor, interest, schema, stream, wire
from frostspindle.subscriptions.fanout import BacklogItem, Fanout
from frostspindle.subscriptions.hub import SubscriptionHub
from frostspindle.subscriptions.stream import EventPublisher

FILTERS = (
    "TRUE",
    "kind = 'answer'",
    "tenant = 't1'",
    "kind = 'answer' AND tenant IN ('t1', 't2')",
    "ms > 40 OR ms < 3",
    "engine STARTS WITH 'e1'",
    "kind = 'engine' AND change = 'ban'",
    "NOT (kind = 'answer' AND tenant = 't3')",
    "outcome IS NULL",
    "class = 'a' AND outcome <> 'served'",
)


def event(rng: random.Random) -> schema.Event:
    if rng.random() < 0.2:
        return schema.make(schema.ENGINE, 1.7e12, f"e{rng.randrange(20)}", rng.choice(("ban", "unban")), None)
    return schema.make(
        schema.ANSWER,
        1.7e12,
        rng.choice("ab"),
        f"t{rng.randrange(5)}",
        None,
        rng.choice(("served", "failed")),
        f"e{rng.randrange(20)}",
        "http",
        rng.randrange(50),
    )


# Events, filters, summaries and messages.


def test_event_has_only_its_columns_truncated_to_their_bounds():
    truncated = schema.make(schema.ANSWER, -5.0, "x" * 99, "é" * 99, 2**70, None, "\ud800", "http", 3.7)
    assert truncated.at_ms == 0 and truncated.values == ("x" * 64, "é" * 48, 2**53, None, "?", "http", 3)
    for kind, columns in enumerate(schema.COLUMNS):  # the largest of each kind fits a message
        _, size = wire.published_event(
            2**53,
            schema.make(
                kind, 1e18, *["\U0001f600" * 64 if column_kind != 1 else 2**60 for column_kind in columns.values()]
            ),
        )
        assert size <= wire.MAX_EVENTS_BYTES
    with pytest.raises(ValueError):
        schema.make(schema.MEMBER, 0.0, "only one")
    for text in ("statement = 'x'", "ms = 'x'", "at > 5", "NOT (kind IN (1, 2))"):
        with pytest.raises(FilterError):
            schema.check(parse(text))


SHAPES = (
    st.sampled_from(FILTERS),
    st.builds("tenant = 't{}' AND class = '{}'".format, st.integers(0, 60), st.sampled_from("abc")),
    st.builds("kind = 'answer' AND ms BETWEEN {0} AND {0}0".format, st.integers(1, 9)),
    st.builds(
        "{} {} {}".format,
        st.sampled_from(("ms", '"group"')),
        st.sampled_from(["<", "<=", ">", ">=", "=", "<>"]),
        st.integers(0, 60),
    ),
    st.builds("engine {}STARTS WITH 'e{}'".format, st.sampled_from(("", "", "NOT ")), st.integers(0, 20)),
    st.builds("class = 'a' AND tenant {}IN ('t1', 't{}')".format, st.sampled_from(("", "NOT ")), st.integers(0, 9)),
    st.builds("at > TIME '2023-11-14T22:13:{}Z' OR tenant < 't{}'".format, st.integers(10, 40), st.integers(0, 9)),
)
LISTS = st.lists(st.one_of(SHAPES), min_size=1, max_size=50) | st.sampled_from(SHAPES).flatmap(
    lambda shape: st.lists(shape, min_size=1, max_size=50)
)


def rows(rng, count=60):
    for _ in range(count):
        row = schema.row("c1", event(rng))
        yield row | {"at": row["at"] + schema.timedelta(seconds=rng.randrange(-30, 30))}


@seed(1)
@settings(max_examples=30, deadline=None)
@given(LISTS, st.randoms(use_true_random=False), st.sampled_from((3, 30, 1_024)))
def test_summary_covers_all_its_filters_and_is_bounded(texts, rng, max_boxes):
    combined, remaining = interest.CombinedInterest(), {}
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(interest, "MAX_BOXES", max_boxes)
        for number, text in enumerate(texts):
            combined.add(number, parse(text))
            remaining[number] = text
            if rng.random() < 0.3:
                removed = rng.choice(sorted(remaining))
                combined.remove(removed)
                del remaining[removed]
            if rng.random() < 0.2:
                combined.filters(narrow=rng.random() < 0.3)
            assert len(combined._added) <= max_boxes
        filters = combined.filters()
    assert len(filters) <= wire.MAX_FILTERS and sum(len(part.encode()) for part in filters) <= wire.MAX_FILTERS_BYTES
    wanted = interest.parse_summary(filters)
    for row in rows(rng):
        assert match(wanted, row) or not any(match(parse(text), row) for text in remaining.values())
    assert bool(filters) == bool(remaining)


@seed(2)
@settings(max_examples=50, deadline=None)
@given(
    LISTS,
    st.integers(1, 9),
    st.sampled_from((4, 60, 300, 800)),
    st.randoms(use_true_random=False),
    st.sampled_from((2, 12, 192)),
)
def test_boxes_are_reduced_to_few_that_contain_them_all(texts, max_boxes, max_bytes, rng, max_candidates):
    terms = [term for text in texts for term in normal(parse(text))]
    boxes = [cover.box(term) for term in terms]
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(cover, "MAX_MERGE_CANDIDATES", max_candidates)
        patch.setattr(cover, "MAX_PAIRWISE_BOXES", min(max_candidates, 20))
        reduced = [cover.predicate(box) for box in cover.reduce_boxes(boxes, max_boxes, max_bytes)]
    assert 0 < len(reduced) <= max_boxes and sum(len(language.text(box).encode()) for box in reduced) <= max_bytes
    assert all(parse(language.text(box)) == box for box in reduced)
    for row in rows(rng):
        for term, box in zip(terms, boxes, strict=True):
            if match(all_of(*term), row):
                assert match(cover.predicate(box), row) and any(
                    match(reduced_predicate, row) for reduced_predicate in reduced
                )


def test_summary_of_many_filters_joins_similar_ones_and_of_too_many_keeps_what_they_have_in_common(monkeypatch):
    combined = interest.CombinedInterest()
    for number in range(500):
        combined.add(number, parse(f"kind = 'answer' AND tenant = 't{number % 7}' AND ms > {500 + number % 70}"))
    combined.add("far", parse("kind = 'engine' AND engine STARTS WITH 'e1'"))
    wanted = interest.parse_summary(combined.filters())
    for tenant, ms, matched in (("t3", 600, True), ("t7", 600, False), ("t3", 499, False)):
        assert match(wanted, {"kind": "answer", "tenant": tenant, "ms": ms}) is matched
    assert [match(wanted, {"kind": "engine", "engine": name}) for name in ("e12", "e2")] == [True, False]
    for number in range(500):
        if number % 7 == 3:
            combined.remove(number)
    wide = interest.parse_summary(combined.filters())  # after removals it may stay wide until it is rebuilt
    assert match(wide, {"kind": "answer", "tenant": "t3", "ms": 600})
    assert not match(
        interest.parse_summary(combined.filters(narrow=True)), {"kind": "answer", "tenant": "t3", "ms": 600}
    )
    low, high, overlapping = (cover.box(normal(parse(condition))[0]) for condition in ("ms < 5", "ms >= 40", "ms < 9"))
    assert cover.join(low, high) == frozenset() and cover.join(low, overlapping) == cover.box(
        normal(parse("ms <= 9"))[0]
    )
    monkeypatch.setattr(interest, "MAX_BOXES", 40)
    combined = interest.CombinedInterest()
    for number in range(100):  # the boxes added since the last summary are bounded
        combined.add(number % 30, parse(f"kind = 'answer' AND tenant = 'a rather long name {number}'"))
        assert len(combined._added) <= 40 and (number != 30 or combined.filters())
    combined = interest.CombinedInterest()
    for number in range(500):
        combined.add(number, parse(f"kind = 'answer' AND tenant = 't{number % 7}' AND ms > {number}"))
    assert combined.filters() == ("kind = 'answer' AND tenant IN ('t0', 't1', 't2', 't3', 't4', 't5', 't6')",)
    combined.add(500, parse("kind = 'answer' AND ms > 0"))
    assert combined.filters() == ("kind = 'answer'",)
    combined.add(501, parse("ms > 0 OR outcome IS NULL"))
    assert combined.filters() == ("TRUE",)


@pytest.mark.parametrize("max_boxes", (1_024, 0))  # reduced by joining; by what all have in common
def test_summary_keeps_its_size_and_a_filter_without_a_normal_form_widens_it_to_all(max_boxes, monkeypatch):
    monkeypatch.setattr(interest, "MAX_BOXES", max_boxes)
    long = "t" * 40
    for count, values_per_filter in ((3, 10), (20, 1), (1, 23), (2, 60)):
        combined = interest.CombinedInterest()
        for number in range(count):
            names = ", ".join(f"'{long}{number}-{value}'" for value in range(values_per_filter))
            combined.add(number, parse(f"kind = 'answer' AND tenant IN ({names})"))
        filters = combined.filters()
        assert sum(map(len, filters)) <= wire.MAX_FILTERS_BYTES and match(
            interest.parse_summary(filters), {"kind": "answer", "tenant": f"{long}{count - 1}-{values_per_filter - 1}"}
        )
    large = " AND ".join(f"(tenant = 't{number}' OR ms > {number})" for number in range(7)) + f" AND class <> '{long}'"
    assert normal(parse(large)) is None
    combined.add("none", parse(large))
    assert combined.filters() == ("TRUE",)


def test_cursor_round_trips_and_damaged_ones_are_rejected():
    positions = {"c1": (17, 4), "c2": (18, 0)}
    text = cursor.encode("ms > 5", positions)
    assert (cursor.decode(text).filter, cursor.decode(text).at) == ("ms > 5", positions)
    raw = msgspec.msgpack.encode(cursor.Cursor(1, "TRUE", {"": (1, 2)}))
    other = cursor.base64.urlsafe_b64decode(text + "=" * (-len(text) % 4)).replace(b"ms > 5", b"ms > 4")
    for bad in (
        cursor.base64.urlsafe_b64encode(other).decode(),  # well formed, but altered
        "",
        "é",
        text[:-1],
        text[:9] + ("A" if text[9] != "A" else "B") + text[10:],
        "A" * 99_999,
        cursor.base64.urlsafe_b64encode(cursor._check(raw) + raw).decode(),
    ):
        with pytest.raises(cursor.InvalidCursorError):
            cursor.decode(bad)
    assert cursor.encode("TRUE", {f"c{n}": (1, 1) for n in range(cursor.MAX_PUBLISHERS + 1)}) is None
    assert cursor.encode("x" * (cursor.MAX_FILTER_CHARS + 1), {}) is None


def test_malformed_messages_are_rejected_by_the_decoder():
    published = wire.published_event(5, schema.make(schema.MEMBER, 1.0, "c1", "alive"))[0]
    good = wire.EventBatch(1, 0, 1, False, 4, 6, 500, False, (published,))
    assert wire.decode(wire.encode(good)) == good
    replace = msgspec.structs.replace
    for bad in (
        replace(good, after=7),
        replace(good, lost=True),
        replace(good, after=5),
        replace(good, through=4),
        replace(good, events=(published, published)),
        replace(good, events=(replace(published, values=("c1",)),)),
        replace(good, events=(replace(published, values=("c1", 5)),)),
        replace(good, events=(replace(published, kind=9),)),
        wire.StreamRequest(0, 1, 0, -2, ()),
        wire.StreamRequest(0, 1, 0, 0, ("x" * 300,) * 3),
        wire.EventAck(-1, 0, 0),
    ):
        with pytest.raises(wire.InvalidPacketError):
            wire.decode(wire.encode(bad))
    for data in (b"", b"\xc1", wire.encode(good)[:-1], wire.encode(good) * 20):
        with pytest.raises(wire.InvalidPacketError):
            wire.decode(data)


# Backlogs.


def test_smallest_backlog_is_written_first_and_a_full_one_becomes_gaps():
    fanout = Fanout(max_backlog=8, max_total=20)
    for subscriber in (1, 2, 3):
        fanout.join(subscriber)

    def enqueue(subscriber: int, numbers, publisher="m"):
        for number in numbers:
            fanout.offer(subscriber, BacklogItem(publisher, (1, number), (1, number), b"%d" % number))

    enqueue(1, range(1, 8))
    enqueue(2, range(1, 3))
    enqueue(3, range(1, 6))
    assert [(subscriber, len(items)) for subscriber, items in fanout.next_batches({3}, 100)] == [(2, 2), (1, 7)]
    assert fanout.has_more(set()) and not fanout.has_more({3})
    fanout.offer(3, BacklogItem("n", (1, 9), None))  # an open-ended gap from 9 on
    enqueue(3, range(6, 9))
    assert fanout.pending(3) == {"m": (1, 0), "n": (1, 8)}
    assert [items for _, items in fanout.next_batches(set(), 100)] == [
        [BacklogItem("m", (1, 1), (1, 8)), BacklogItem("n", (1, 9), None)]
    ]
    fanout.offer(3, BacklogItem("n", (1, 9), None))
    fanout.offer(3, BacklogItem("n", (1, 9), (1, 8)))  # closed: the publisher is heard again
    enqueue(3, range(9, 17))
    assert [items for _, items in fanout.next_batches(set(), 100)] == [
        [BacklogItem("n", (1, 9), (1, 8)), BacklogItem("m", (1, 9), (1, 15)), BacklogItem("m", (1, 16), (1, 16), b"16")]
    ]
    for subscriber in (1, 2, 3):
        enqueue(subscriber, range(20, 27))  # 21 in all: one of the largest becomes gaps
    assert fanout.total == sum(map(len, fanout.backlogs.values())) <= 20 and fanout.overflows == 3


# Streams.


def sent_by(publisher: EventPublisher, now: float) -> list[wire.Message]:
    publisher.tick(now)
    sent, publisher.outbox[:] = [message for _, message in publisher.outbox], []
    return sent


def test_publisher_evicts_the_oldest_reports_them_lost_and_resumes_at_any_position():
    publisher = EventPublisher("m", 7, max_events=10)
    for _ in range(25):
        publisher.append(schema.make(schema.MEMBER, 1.0, "x", "alive"))
    publisher.on_message(0.0, "r", 1, wire.StreamRequest(0, 1, 7, 3, ("TRUE",)))
    lost, remaining = sent_by(publisher, 0.0)
    assert (lost.lost, lost.after, lost.through) == (True, 3, 15)
    assert [published.number for published in remaining.events] == list(range(16, 26)) and (
        remaining.after,
        remaining.through,
    ) == (
        15,
        25,
    )
    publisher.on_message(1.0, "r", 1, wire.StreamRequest(0, 1, 7, 3, ("TRUE",)))  # duplicate: answered, not restarted
    assert [(batch.after, batch.through) for batch in sent_by(publisher, 1.0)] == [(25, 25)]
    publisher.on_message(2.0, "r", 1, wire.StreamRequest(0, 2, 6, 3, ("TRUE",)))  # a position of an earlier process
    assert publisher.outbox.pop() == ("r", wire.UnknownStream(0, 2))
    publisher.on_message(3.0, "r", 1, wire.EventAck(5, 9, 3))  # an unknown stream
    assert publisher.outbox.pop() == ("r", wire.UnknownStream(5, 9))
    publisher.on_message(3.0, "r", 1, wire.EventAck(0, 1, 99))  # more than was sent
    assert publisher.streams["r", 0].acked == 3
    for sid in range(1, 200):
        publisher.on_message(4.0, "r", 1, wire.StreamRequest(sid, 1, 7, 3, ("TRUE",)))
    assert len(publisher.streams) == stream.MAX_STREAMS_PER_RECEIVER
    publisher.on_message(4.0, "s", 1, wire.StreamRequest(0, 1, 7, 3, ("nonsense ((",)))
    assert ("s", 0) not in publisher.streams
    publisher.tick(stream.IDLE_MS + 5.0)
    assert not publisher.streams


def test_publisher_matches_bounded_slices_and_the_index_agrees_with_a_scan():
    rng = random.Random(3)
    publisher = EventPublisher("m", 7, slice_=10)
    for number, text in enumerate(FILTERS):
        publisher.on_message(0.0, f"r{number}", 1, wire.StreamRequest(0, 1, 0, wire.HEAD, (text,)))
    sent_by(publisher, 0.0)
    events = [event(rng) for _ in range(95)]
    for candidate in events:
        publisher.append(candidate)
    assert publisher.tick(0.1) and publisher.matched == 10
    while publisher.tick(0.2):
        pass
    for number, text in enumerate(FILTERS):
        wanted = [
            event_number
            for event_number, candidate in enumerate(events, 1)
            if match(parse(text), schema.row("m", candidate))
        ]
        published = [
            published_event.number
            for receiver, batch in publisher.outbox
            if receiver == f"r{number}"
            for published_event in batch.events
        ]
        assert published == wanted[: len(published)] and (
            len(published) == len(wanted) or publisher.streams[f"r{number}", 0].in_flight
        )


def test_publisher_resends_messages_until_they_are_acknowledged():
    publisher = EventPublisher("m", 7, slice_=10)
    for n in range(60):
        publisher.append(schema.make(schema.ANSWER, 1.0, *["x" * 64, "y" * 64, n, "z" * 64, "e" * 64, "http", n]))
    got, now = [], 0.0
    for who in "rs":  # the second requests old events after the first has caught up
        publisher.on_message(now, who, 1, wire.StreamRequest(0, 1, 7, 0, ("ms >= 7",)))
        at, again = 0, 0
        while at < 60:
            now += 1.0
            sent = []
            while publisher.tick(now):
                pass
            sent, publisher.outbox[:] = [m for w, m in publisher.outbox if w == who], []
            for message in sent:
                assert message.after == at and len(wire.encode(message)) <= wire.MAX_MESSAGE_BYTES
                got += [published.number for published in message.events]
                at = message.through
            if not again:  # all lost: resent after the timeout
                assert len(sent) == stream.MIN_WINDOW
                assert sent_by(publisher, now + stream.RESEND_MS - 9.0) == []
                now += stream.RESEND_MS
                assert [
                    m.after for m in sent_by(publisher, now) if isinstance(m, wire.EventBatch) and m.receiver_epoch == 1
                ][0] == 0
                again = 1
            publisher.on_message(now, who, 1, wire.EventAck(0, 1, at))
    assert got == list(range(8, 61)) * 2


def data(after, through, *numbers, version=1, receiver_epoch=1, start=False, lost=False):
    published = tuple(wire.published_event(n, schema.make(schema.MEMBER, 1.0, f"x{n}", "alive"))[0] for n in numbers)
    return wire.EventBatch(receiver_epoch, 0, version, start, after, through, 500, lost, published)


def test_receiver_accepts_only_what_continues_its_position():
    def received(*messages):
        result = []
        for message in messages:
            if inbound.accept(5.0, message):
                result += [
                    (first, last) if event_or_lost is None else first
                    for first, last, event_or_lost in inbound.receive(5.0, message)
                ]
        return result

    inbound = stream.InboundStream("m", 7, 0, 1, 1, ("TRUE",), None, 0.0)
    assert received(data(9, 9)) == [] and inbound.position is None and not inbound.confirmed  # not the stream's start
    assert received(data(4, 6, 5, start=True, receiver_epoch=2), data(4, 6, 5, start=True, version=0)) == []
    assert received(data(4, 6, 5, start=True)) == [5] and inbound.position == 6
    assert received(data(4, 6, 5, start=True), data(5, 9, 6, 8)) == [8]  # duplicate; then split differently
    assert received(data(11, 14, 12), data(14, 15, 15)) == [] and inbound.position == 9  # a batch is missing
    assert received(data(9, 11, 10)) == [10, 12, 15] and inbound.missing_since is None
    assert received(data(13, 20, lost=True)) == [(16, 20)]
    assert (
        received(*(data(n, n + 1) for n in range(30, 99))) == []
        and len(inbound.buffered) == stream.MAX_BUFFERED_MESSAGES
    )
    assert inbound.stalled(5.0 + stream.STALL_TIMEOUT_MS) and not inbound.stalled(5.0)
    inbound.restart(6.0, 2, ("TRUE",))
    assert received(data(20, 21, 21)) == [] and inbound.tick(6.0) == wire.StreamRequest(0, 2, 7, 20, ("TRUE",))
    assert received(data(20, 21, 21, version=2)) == [21]


class Pair:
    """A hub with subscribers, and publishers whose messages the test writes."""

    def __init__(self, expected=(), **alive):
        self.now, self.alive = 0.0, alive
        self.subs = SubscriptionHub("me", 1, 0.0).subscribers
        self.subs.expected = frozenset(expected)
        self.subs.members(0.0, alive)

    def advance(self, ms=60.0):
        """Let time pass; return the messages sent, with their receivers."""
        self.now += ms
        self.subs.members(self.now, self.alive)
        self.subs.tick(self.now)
        sent_messages, self.subs.outbox[:] = list(self.subs.outbox), []
        return sent_messages

    def last_request(self, publisher, ms=60.0):
        return [
            message
            for receiver, message in self.advance(ms)
            if receiver == publisher and isinstance(message, wire.StreamRequest)
        ][-1]

    def deliver(self, publisher, request, after, through, *numbers, start=False, lost=False, epoch=None):
        published = tuple(
            wire.published_event(n, schema.make(schema.MEMBER, 1.0, f"x{n}", "alive"))[0] for n in numbers
        )
        self.subs.on_message(
            self.now,
            publisher,
            epoch or self.alive[publisher],
            wire.EventBatch(1, request.sid, request.version, start, after, through, 500, lost, published),
        )

    def drain(self, number):
        """Drain a subscriber's backlog: numbers of events, gaps as (publisher, from, to)."""
        drained = [
            item.first[1] if item.line else (item.publisher, item.first, item.last)
            for item in self.subs.fanout.backlogs[number]
        ]
        self.subs.fanout.backlogs[number].clear()
        return drained

    def acked(self, number):
        return self.subs.subscriptions[number].acknowledged


def test_subscription_is_acknowledged_after_all_live_members_confirmed_and_silence_is_a_gap():
    pair = Pair(expected=("c", "d"), a=5, b=6)
    subscription = pair.subs.subscribe(0.0, "kind = 'member'")
    requests = {publisher: pair.last_request(publisher) for publisher in ("a",)}
    assert requests["a"].after == wire.HEAD and requests["a"].filters == ("kind = 'member'",)
    pair.deliver("a", requests["a"], 10, 10, start=True)
    pair.advance()
    assert not pair.acked(subscription)  # b has not confirmed
    pair.advance(3_000.0)
    assert pair.acked(subscription) and pair.drain(subscription) == [
        ("b", (0, 1), None),
        ("c", (0, 1), None),
        ("d", (0, 1), None),
    ]
    request = pair.last_request("b", 2_000.0)
    pair.deliver("b", request, 40, 40, start=True)  # heard for the first time: the gap ends where its stream starts
    assert [gap for gap in pair.drain(subscription) if gap[0] == "b"] == [("b", (0, 1), (6, 40))]
    pair.deliver("b", request, 40, 42, 41, 42)
    pair.deliver("b", request, 42, 50, lost=True)  # the publisher evicted these
    assert pair.drain(subscription) == [41, 42, ("b", (6, 43), (6, 50))]
    pair.alive["c"] = 9  # new member: all events since its start are requested
    request = pair.last_request("c")
    assert (request.epoch, request.after) == (9, 0)
    assert cursor.decode(pair.subs.cursor(subscription)).at["c"] == (0, 0)  # never past an open-ended gap
    pair.deliver("c", request, 0, 3, 2)
    assert pair.drain(subscription) == [("c", (0, 1), (9, 0)), 2]
    for _ in range(5):
        pair.advance(500.0)
    assert ("c", (9, 4), None) in pair.drain(subscription)  # silent
    pair.deliver("c", request, 3, 5, 5)
    assert pair.drain(subscription) == [("c", (9, 4), (9, 3)), 5]  # no event was lost
    pair.alive["c"] = 11  # restarted
    request = pair.last_request("c")
    assert pair.drain(subscription)[-1:] == [("c", (9, 6), (11, 0))] and (request.epoch, request.after) == (11, 0)
    pair.deliver("c", request, 0, 2, 1, epoch=9)
    assert pair.drain(subscription) == []  # of the earlier process
    del pair.alive["c"]
    pair.advance()
    assert pair.drain(subscription) == [("c", (11, 1), None)]


def test_wider_filters_are_requested_from_the_position_and_batches_of_the_old_request_are_ignored():
    pair = Pair(a=5)
    subscription = pair.subs.subscribe(0.0, "kind = 'member' AND member = 'x1'")
    first = pair.last_request("a")
    pair.deliver("a", first, 10, 12, start=True)
    pair.advance()
    other = pair.subs.subscribe(pair.now, "kind = 'member'")
    second = pair.last_request("a")
    assert (second.after, second.version > first.version, second.filters) == (12, True, ("kind = 'member'",))
    pair.deliver("a", first, 12, 20)  # none of these matched the narrower filters
    pair.advance()
    assert not pair.acked(other) and pair.subs.live["a"].position == 12
    pair.deliver("a", second, 12, 20, 13, 20)
    pair.advance()
    assert (
        pair.acked(subscription)
        and pair.acked(other)
        and (pair.drain(subscription), pair.drain(other)) == ([], [13, 20])
    )
    pair.subs.on_message(pair.now, "a", 5, wire.UnknownStream(0, second.version))  # the stream was dropped
    assert pair.last_request("a").after == 20


def test_resumed_subscription_replays_what_it_missed_and_skips_what_it_was_sent():
    pair = Pair(a=5, b=6, c=7)
    subscription = pair.subs.subscribe(0.0, "TRUE")
    requests = {
        publisher_name: message for publisher_name, message in pair.advance() if isinstance(message, wire.StreamRequest)
    }
    for publisher in "abc":
        pair.deliver(publisher, requests[publisher], 10, 20, start=True)
    pair.advance()
    at = {"a": (5, 14), "b": (6, 23), "c": (4, 99), "z": (3, 8)}
    resumed = pair.subs.resume(pair.now, cursor.encode("kind = 'member'", at))
    replay = {
        publisher_name: message for publisher_name, message in pair.advance() if isinstance(message, wire.StreamRequest)
    }
    assert {publisher_name: (message.epoch, message.after) for publisher_name, message in replay.items()} == {
        "a": (5, 14),
        "c": (7, 0),
    }
    assert pair.acked(resumed) and pair.drain(resumed) == [("c", (4, 100), (7, 0)), ("z", (3, 9), None)]
    assert cursor.decode(pair.subs.cursor(resumed)).at == {"a": (5, 14), "b": (6, 23), "c": (7, 0), "z": (3, 8)}
    for publisher in "abc":
        pair.deliver(publisher, requests[publisher], 20, 24, 22, 24)
    assert (
        pair.drain(resumed) == [24] and pair.drain(subscription) == [22, 24] * 3
    )  # b's; a's and c's come from their replays
    pair.deliver("a", replay["a"], 14, 16, lost=True)
    pair.deliver("a", replay["a"], 16, 22, 18, 22)
    assert pair.subs.subscriptions[resumed].replays.keys() == {"a", "c"}
    assert pair.drain(resumed) == [("a", (5, 15), (5, 16)), 18, 22]
    pair.deliver("a", replay["a"], 22, 26, 24, 25)  # past the live stream: the replay ends, the live stream continues
    assert pair.subs.subscriptions[resumed].replays.keys() == {"c"}
    pair.deliver("a", requests["a"], 24, 28, 25, 27)
    assert pair.drain(resumed) == [24, 25, 27]
    for _ in range(25):
        pair.advance(500.0)
        pair.deliver("c", requests["c"], 24, 25)
    assert ("c", (7, 1), (7, 25)) in pair.drain(resumed)  # the publisher never answered the replay's request
    pair.subs.fanout.offer(resumed, BacklogItem("a", (5, 29), (5, 29), b"x"))
    assert cursor.decode(pair.subs.cursor(resumed)).at["a"] == (5, 28)


def test_resume_without_a_position_at_a_publisher_replays_from_its_start():
    pair = Pair(a=5)
    pair.subs.subscribe(0.0, "TRUE")
    request = pair.last_request("a")
    pair.deliver("a", request, 10, 20, start=True)
    pair.advance()
    resumed = pair.subs.resume(pair.now, cursor.encode("TRUE", {}))
    replay = pair.last_request("a")
    assert (replay.epoch, replay.after) == (5, 0)
    assert pair.drain(resumed) == [("a", (0, 1), (5, 0))]  # events of its earlier processes
    pair.alive["b"] = 6
    pair.advance()
    assert cursor.decode(pair.subs.cursor(resumed)).at == {"a": (5, 0), "b": (6, 0)}


def test_cursor_is_before_queued_items_and_after_an_earlier_process_and_silence_is_reported_at_once():
    pair = Pair(a=5)
    subscription = pair.subs.subscribe(0.0, "TRUE")
    request = pair.last_request("a")
    pair.deliver("a", request, 10, 10, start=True)
    pair.advance()
    pair.deliver("a", request, 10, 20, 13, 15)
    assert cursor.decode(pair.subs.cursor(subscription)).at == {"a": (5, 12)}  # 13 and 15 are queued
    later = pair.subs.resume(pair.now, cursor.encode("TRUE", {"a": (7, 3)}))
    pair.advance()
    pair.deliver("a", request, 20, 24, 22)  # of a process older than the cursor's
    assert pair.drain(later) == [] and cursor.decode(pair.subs.cursor(later)).at == {"a": (7, 3)}
    assert pair.drain(subscription) == [13, 15, 22]
    pair.alive.clear()
    pair.advance()
    new = pair.subs.subscribe(pair.now, "kind = 'member'")
    pair.advance()
    assert pair.acked(new) and pair.drain(new) == [("a", (5, 25), None)]


def test_publisher_joining_before_the_acknowledgement_is_replayed_from_its_start_for_a_cursor_without_it():
    pair = Pair(a=5)
    pair.subs.resume(0.0, cursor.encode("TRUE", {"a": (5, 10)}))
    first = pair.last_request("a")
    pair.alive["b"] = 6
    met = pair.last_request("b")
    assert met.after == wire.HEAD
    pair.deliver("b", met, 10, 10, start=True)
    assert [
        (message.after, message.epoch)
        for to, message in pair.advance()
        if to == "b" and isinstance(message, wire.StreamRequest)
    ] == [(0, 6)]
    pair.deliver("a", first, 10, 10, start=True)


def test_replay_continues_until_the_live_stream_confirms_the_current_filters():
    pair = Pair(a=5)
    pair.subs.subscribe(0.0, "kind = 'member'")
    request = pair.last_request("a")
    pair.deliver("a", request, 10, 20, start=True)
    resumed = pair.subs.resume(pair.now, cursor.encode("kind = 'member'", {"a": (5, 14)}))
    replay = pair.last_request("a")
    pair.subs.subscribe(pair.now, "TRUE")
    wider = pair.last_request("a")
    assert wider.sid == request.sid and wider.version > request.version
    pair.deliver("a", replay, 14, 22, 15, 21)
    pair.deliver("a", replay, 22, 26, 25)  # the live stream has not confirmed yet; the replay is not delayed
    assert pair.drain(resumed) == [15, 21, 25]
    pair.deliver("a", wider, 20, 24, 21, 23)
    pair.deliver("a", wider, 24, 28, 25, 27)
    assert pair.drain(resumed) == [27] and not pair.subs.replays


def test_replay_delivers_nothing_during_an_open_ended_gap():
    pair = Pair(a=5)
    pair.subs.subscribe(0.0, "TRUE")
    request = pair.last_request("a")
    pair.deliver("a", request, 10, 20, start=True)
    resumed = pair.subs.resume(pair.now, cursor.encode("TRUE", {"a": (5, 14)}))
    replay = pair.last_request("a")
    pair.alive.clear()  # declared dead; then the replay receives before the live stream does
    pair.advance()
    pair.alive["a"] = 5
    pair.deliver("a", replay, 14, 18, 15, 17)
    assert pair.drain(resumed) == [("a", (5, 15), None)] and cursor.decode(pair.subs.cursor(resumed)).at == {
        "a": (5, 14)
    }
    for _ in range(22):  # longer than the stall timeout of replays
        pair.advance(500.0)
        pair.deliver("a", replay, 14, 18, 15, 17)
    pair.deliver("a", request, 20, 21)
    pair.advance()
    pair.deliver("a", replay, 14, 22, 15, 17)
    assert pair.drain(resumed) == [("a", (5, 15), (5, 14)), 15, 17] and not pair.subs.replays


def test_process_that_was_paused_itself_reports_no_silence():
    pair = Pair(a=5)
    subscription = pair.subs.subscribe(0.0, "TRUE")
    pair.deliver("a", pair.last_request("a"), 0, 0, start=True)
    pair.advance()
    pair.drain(subscription)
    pair.advance(60_000.0)
    assert pair.drain(subscription) == [] and not pair.subs.live["a"].silent


class Fleet(RuleBasedStateMachine):
    """Three hubs, two moving subscribers, and a network that loses, duplicates, delays and partitions."""

    def __init__(self) -> None:
        super().__init__()
        self.now, self.starts, self.sent = 0.0, 0, 0
        self.random = random.Random(5)
        self.network_messages: list[tuple[int, int, tuple[str, int, wire.Message]]] = []  # from, to, message
        self.isolated: set[int] = set()
        self.paused: set[int] = set()
        self.hubs: list[SubscriptionHub | None] = [None] * 3
        self.lab = lab.Lab.__new__(lab.Lab)
        self.lab.made = {}
        self.lab.clients = [lab.Client(n, text) for n, text in enumerate(("kind = 'answer'", "tenant = 't1'"))]
        for n in range(3):
            self.start(n)

    def start(self, n):
        if self.hubs[n] is None:
            self.starts += 1
            self.hubs[n] = SubscriptionHub(f"h{n}", 100 + self.starts, self.now, ring=24, fanout=Fanout(6, 40))
            self.hubs[n].subscribers.expected = frozenset(f"h{m}" for m in range(3) if m != n)
            self.lab.made[f"h{n}", 100 + self.starts] = []
            self.update_members()

    @rule(n=st.integers(0, 2))
    def kill_or_start(self, n):
        if self.hubs[n] is None:
            self.start(n)
            return
        self.hubs[n] = None
        self.paused.discard(n)
        for client in self.lab.clients:
            if client.at == n:
                lab.Lab._leave(self.lab, client)

    @rule(n=st.integers(0, 2))
    def pause_or_resume(self, n):
        self.paused ^= {n} if self.hubs[n] is not None else set()

    @rule(n=st.sets(st.integers(0, 2), max_size=1))
    def isolate(self, n):
        self.isolated = n

    @rule()
    def update_members(self):
        for n, hub in enumerate(self.hubs):
            if hub is not None:
                hub.members(
                    self.now,
                    {
                        other.name: other.epoch
                        for m, other in enumerate(self.hubs)
                        if other is not None and m != n and not {n, m} & self.isolated
                    },
                )

    @rule(n=st.integers(0, 1), at=st.integers(0, 2))
    def move(self, n, at):
        client, hub = self.lab.clients[n], self.hubs[at]
        if hub is None or at in self.paused:
            return
        if client.hub is not None:
            client.hub.subscribers.unsubscribe(self.now, client.sub)
            lab.Lab._leave(self.lab, client)
        subs = hub.subscribers
        client.sub = (
            subs.subscribe(self.now, client.text) if client.cursor is None else subs.resume(self.now, client.cursor)
        )
        client.hub, client.at = hub, at

    def read(self, n, keep=True):
        client, self.lab.now = self.lab.clients[n], self.now
        client.cursor_at = -1e9 if keep else 1e9
        if client.hub is not None and client.at not in self.paused:
            lab.Lab._read(self.lab, client, client.hub)

    @rule(
        message_outcomes=st.lists(
            st.sampled_from(("come", "come", "come", "lost", "twice", "late")), min_size=1, max_size=12
        ),
        ms=st.sampled_from((1.0, 60.0, 300.0, 1_500.0, 5_000.0)),
        event_counts=st.lists(st.integers(0, 9), max_size=6),
        keep=st.booleans(),
        rounds=st.integers(1, 8),
    )
    def run_steps(self, message_outcomes, ms, event_counts, keep, rounds):
        """Reconnect subscribers, publish events, let time pass, and read what was written."""
        for client in self.lab.clients:
            if client.hub is None:
                self.move(client.number, (client.number + self.starts) % 3)
        for _ in range(rounds):
            for n, count in enumerate(event_counts):
                self.make(n % 3, count)
            self.deliver(message_outcomes, ms)
            self.read(0, keep)
            self.read(1)

    def make(self, n, count):
        if (hub := self.hubs[n]) is not None and n not in self.paused:
            for _ in range(count):
                new_event = event(self.random)
                self.lab.made[hub.name, hub.epoch].append((self.now, new_event))
                hub.make(new_event)

    def deliver(self, message_outcomes, ms):
        """Let time pass, tick all hubs, and give each message the next of `message_outcomes`."""
        self.now += ms
        for n, hub in enumerate(self.hubs):
            if hub is not None and n not in self.paused:
                self.network_messages += [
                    (n, int(to[1]), (hub.name, hub.epoch, message)) for to, message in hub.tick(self.now)
                ]
        in_transit, self.network_messages = deque(self.network_messages), []
        for _ in range(len(in_transit)):
            source, target, envelope = in_transit.popleft()
            self.sent += 1
            outcome = message_outcomes[self.sent % len(message_outcomes)]
            if outcome == "late" or target in self.paused:
                self.network_messages.append((source, target, envelope))
            elif outcome != "lost" and not {source, target} & self.isolated and (hub := self.hubs[target]) is not None:
                for _ in range(1 + (outcome == "twice")):
                    hub.on_message(self.now, envelope[0], envelope[1], wire.decode(wire.encode(envelope[2])))
        del self.network_messages[:-200]

    @invariant()
    def no_event_is_repeated_foreign_or_out_of_order(self):
        if self.starts and any(client.events for client in self.lab.clients):
            counts = self.measure()
            assert not (counts["repeated"] or counts["foreign"] or counts["disordered"]), counts

    def measure(self):
        self.lab.nodes = self.lab.seed = self.lab.seconds = 0
        self.lab.unmatched_events = self.lab.received_events = self.lab.messages = self.lab.bytes = 0
        self.lab.counted = {}
        return lab.measure(self.lab)

    def teardown(self):
        """Heal the network: every event is then delivered or within a closed gap."""
        self.isolated, self.paused = set(), set()
        for n in range(3):
            self.start(n)
        for client in self.lab.clients:
            if client.hub is None:
                self.move(client.number, 0)
        for step in range(120):
            if step % 10 == 0:
                self.update_members()
            self.deliver(["come"], 100.0)
            self.read(0)
            self.read(1)
        counts = self.measure()
        assert not (counts["lost_silently"] or counts["gaps_open"] or counts["never_acknowledged"]), counts
        self.no_event_is_repeated_foreign_or_out_of_order()


def test_no_event_is_lost_without_a_gap_under_network_faults():
    run_state_machine_as_test(
        seed(11)(Fleet),
        settings=settings(
            max_examples=30,
            stateful_step_count=25,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.mark.parametrize("number,nodes,ring", [(3, 3, 200), (12, 5, 2_000), (24, 7, 200)])
def test_simulation_finds_no_unreported_loss_repetition_or_foreign_event(number, nodes, ring):
    run = lab.play(nodes, number, None, 8.0, ring=ring, rate=10.0, move_s=2.0)
    found = lab.measure(run)
    assert not any(found[key] for key in ("lost_silently", "repeated", "foreign", "disordered", "never_acknowledged"))
    assert found["told"] > 200 and found["moves"] > 5
