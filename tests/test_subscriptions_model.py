"""Explores all interleavings of one stream: the publisher may crash or drop the stream, the receiver may request it
again, and messages may be delayed, duplicated or lost."""

import dataclasses
from collections import Counter, deque

import pytest

from frostspindle.lab.explore import explore
from frostspindle.subscriptions import schema, stream, wire
from frostspindle.subscriptions.stream import EventPublisher, InboundStream

EVENT = schema.make(schema.MEMBER, 1.0, "x", "alive")
PAST = -1e9  # in the past: every timer is due


class MatchAll:
    """Replaces the index: each stream matches all events."""

    def find(self, row):
        return [("r", 0, 0)]

    def add(self, key, predicate):
        pass

    def remove(self, key):
        pass


class Model:
    def __init__(self):
        self.publisher = EventPublisher("m", 7, max_events=1)
        self.publisher._index = MatchAll()
        self.inbound = InboundStream("m", 7, 0, 1, 1, ("TRUE",), None, 0.0)
        self.net = ()  # ("m", 0, message) to the publisher, ("r", its epoch, message) to the receiver
        self.received, self.gaps, self.begin = (), (), None
        self.left = {"make": 3, "crash": 1, "forget": 1, "widen": 1}
        self.made = {7: 0, 8: 0}

    def clone(self):
        out = Model.__new__(Model)
        out.__dict__.update(self.__dict__)
        out.left, out.made = dict(self.left), dict(self.made)
        out.inbound = dataclasses.replace(self.inbound, buffered=dict(self.inbound.buffered), unacked=0)
        publisher = out.publisher = EventPublisher.__new__(EventPublisher)
        publisher.__dict__.update(self.publisher.__dict__)
        publisher.outbox, publisher._events, publisher.counted = [], list(self.publisher._events), Counter()
        publisher.streams = {
            key: dataclasses.replace(
                s,
                matches=list(s.matches),
                in_flight=deque(s.in_flight),
                window=4,
                heard_at=0.0,
                progress_at=PAST,
                heartbeat_at=PAST,
                resend_after_ms=1.0,
            )
            for key, s in self.publisher.streams.items()
        }
        publisher._caught_up = {key: publisher.streams[key] for key in self.publisher._caught_up}
        return out

    def key(self):
        m, i = self.publisher, self.inbound
        return (
            m.epoch,
            m.head,
            m.matched,
            len(m._caught_up),
            *(
                (s.version, s.start_position, s.acked, s.sent, s.matched_through, *s.matches, -1, *s.in_flight)
                for s in m.streams.values()
            ),
            i.epoch,
            i.version,
            i.position,
            i.confirmed,
            i.missing_since,
            tuple(sorted(i.buffered)),
            tuple(sorted(map(repr, self.net))),
            self.received,
            self.gaps,
            self.begin,
            tuple(self.left.values()),
        )

    def send(self, *messages):
        self.net = (*self.net, *messages)[:2]  # further messages are lost

    def tick_maker(self):
        self.publisher.tick(0.0)
        self.send(*(("r", self.publisher.epoch, m) for _, m in self.publisher.outbox))

    def tick_receiver(self):
        self.inbound.request_at = PAST
        self.send(("m", 0, self.inbound.tick(0.0)))

    def deliver(self, to, epoch, message):
        i = self.inbound
        if to == "m":
            self.publisher.on_message(0.0, "r", 1, message)
            self.send(*(("r", self.publisher.epoch, m) for _, m in self.publisher.outbox))
        elif epoch > i.epoch:  # as SubscriberTable does: the earlier process's remaining events are a gap
            if i.position is not None:
                self.gaps += (((i.epoch, i.position + 1), (epoch, 0)),)
            i.epoch, i.position = epoch, None if i.position is None else 0
            i.restart(0.0, i.version + 1, i.filters)
        elif epoch == i.epoch and isinstance(message, wire.UnknownStream):
            if message.version == i.version:
                i.restart(0.0, i.version + 1, i.filters)
        elif epoch == i.epoch and i.accept(0.0, message):
            if self.begin is None:
                self.begin = (i.epoch, i.position)
            for first, last, event in i.receive(0.0, message):
                if event is None:
                    self.gaps += (((epoch, first), (epoch, last)),)
                else:
                    self.received += ((epoch, first),)


def steps(s):
    def after(label, do):
        out = s.clone()
        do(out)
        return label, out

    if s.left["make"]:

        def make(o):
            o.left["make"] -= 1
            o.made[o.publisher.epoch] = o.publisher.append(EVENT)

        yield after("make", make)
    if s.left["crash"]:

        def crash(o):
            o.left["crash"] = 0
            o.publisher = EventPublisher("m", 8, max_events=1)
            o.publisher._index = MatchAll()

        yield after("crash", crash)
    if s.left["forget"] and s.publisher.streams:

        def forget(o):
            o.left["forget"] = 0
            o.publisher.forget_receiver("r", None)

        yield after("forget", forget)
    if s.left["widen"]:

        def widen(o):
            o.left["widen"] = 0
            o.inbound.restart(0.0, o.inbound.version + 1, o.inbound.filters)

        yield after("widen", widen)
    if s.inbound.stalled(1e9):
        yield after("stuck", lambda o: o.inbound.restart(0.0, o.inbound.version + 1, o.inbound.filters))
    yield after("tick maker", Model.tick_maker)
    yield after("tick receiver", Model.tick_receiver)
    for n, message in enumerate(s.net):

        def come(o, n=n, message=message):
            o.net = o.net[:n] + o.net[n + 1 :]
            o.deliver(*message)

        def lose(o, n=n):
            o.net = o.net[:n] + o.net[n + 1 :]

        yield after("come", come)
        yield after("lose", lose)
        yield after("again", lambda o, message=message: o.deliver(*message))


def violation(s):
    if list(s.received) != sorted(set(s.received)):
        return f"repeated or out of order: {s.received}"
    if s.inbound.position is not None and s.begin is not None:
        for epoch, made in s.made.items():
            for number in range(1, made + 1):
                at = (epoch, number)
                if (
                    s.begin < at <= (s.inbound.epoch, s.inbound.position)
                    and at not in s.received
                    and not any(first <= at <= last for first, last in s.gaps)
                ):
                    return f"{at} lost without a gap"
    return None


def settled(s):
    return s.inbound.confirmed and (s.inbound.epoch, s.inbound.position) == (s.publisher.epoch, s.publisher.head)


@pytest.mark.parametrize(
    "left", [{"make": 1, "crash": 0, "forget": 1, "widen": 0}, {"make": 1, "crash": 1, "forget": 0, "widen": 0}]
)
def test_no_interleaving_loses_silently_repeats_or_stalls(left):
    start = Model()
    start.left = left
    found = explore(start, steps, violation, 60_000, key=Model.key, goal=settled)
    assert found.holds, str(found)[:4_000]
    assert all(found.labels[label] for label in ("come", "lose", "again", *(name for name, n in left.items() if n)))


def test_exploration_finds_a_receiver_that_ignores_missing_batches(monkeypatch):
    def receive_unordered(self, now, data):
        yield from self._receive(data)

    monkeypatch.setattr(stream.InboundStream, "receive", receive_unordered)
    start = Model()
    start.left = {"make": 2, "crash": 0, "forget": 0, "widen": 0}
    assert "lost without a gap" in str(explore(start, steps, violation, 60_000, key=Model.key).fault)
