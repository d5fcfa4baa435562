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
        self.messages = ()  # ("m", 0, message) to the publisher, ("r", its epoch, message) to the receiver
        self.received, self.gaps, self.begin = (), (), None
        self.remaining = {"make": 3, "crash": 1, "forget": 1, "widen": 1}
        self.made = {7: 0, 8: 0}

    def clone(self):
        copy = Model.__new__(Model)
        copy.__dict__.update(self.__dict__)
        copy.remaining, copy.made = dict(self.remaining), dict(self.made)
        copy.inbound = dataclasses.replace(self.inbound, buffered=dict(self.inbound.buffered), unacked=0)
        publisher = copy.publisher = EventPublisher.__new__(EventPublisher)
        publisher.__dict__.update(self.publisher.__dict__)
        publisher.outbox, publisher._events, publisher.counted = [], list(self.publisher._events), Counter()
        publisher.streams = {
            key: dataclasses.replace(
                outbound,
                matches=list(outbound.matches),
                in_flight=deque(outbound.in_flight),
                window=4,
                heard_at=0.0,
                progress_at=PAST,
                heartbeat_at=PAST,
                resend_after_ms=1.0,
            )
            for key, outbound in self.publisher.streams.items()
        }
        publisher._caught_up = {key: publisher.streams[key] for key in self.publisher._caught_up}
        return copy

    def key(self):
        publisher, inbound = self.publisher, self.inbound
        return (
            publisher.epoch,
            publisher.head,
            publisher.matched,
            len(publisher._caught_up),
            *(
                (
                    outbound.version,
                    outbound.start_position,
                    outbound.acked,
                    outbound.sent,
                    outbound.matched_through,
                    *outbound.matches,
                    -1,
                    *outbound.in_flight,
                )
                for outbound in publisher.streams.values()
            ),
            inbound.epoch,
            inbound.version,
            inbound.position,
            inbound.confirmed,
            inbound.missing_since,
            tuple(sorted(inbound.buffered)),
            tuple(sorted(map(repr, self.messages))),
            self.received,
            self.gaps,
            self.begin,
            tuple(self.remaining.values()),
        )

    def send(self, *messages):
        self.messages = (*self.messages, *messages)[:2]  # further messages are lost

    def tick_publisher(self):
        self.publisher.tick(0.0)
        self.send(*(("r", self.publisher.epoch, message) for _, message in self.publisher.outbox))

    def tick_receiver(self):
        self.inbound.request_at = PAST
        self.send(("m", 0, self.inbound.tick(0.0)))

    def deliver(self, to, epoch, message):
        inbound = self.inbound
        if to == "m":
            self.publisher.on_message(0.0, "r", 1, message)
            self.send(*(("r", self.publisher.epoch, message) for _, message in self.publisher.outbox))
        elif epoch > inbound.epoch:  # as SubscriberTable does: the earlier process's remaining events are a gap
            if inbound.position is not None:
                self.gaps += (((inbound.epoch, inbound.position + 1), (epoch, 0)),)
            inbound.epoch, inbound.position = epoch, None if inbound.position is None else 0
            inbound.restart(0.0, inbound.version + 1, inbound.filters)
        elif epoch == inbound.epoch and isinstance(message, wire.UnknownStream):
            if message.version == inbound.version:
                inbound.restart(0.0, inbound.version + 1, inbound.filters)
        elif epoch == inbound.epoch and inbound.accept(0.0, message):
            if self.begin is None:
                self.begin = (inbound.epoch, inbound.position)
            for first, last, event in inbound.receive(0.0, message):
                if event is None:
                    self.gaps += (((epoch, first), (epoch, last)),)
                else:
                    self.received += ((epoch, first),)


def steps(model):
    def after(label, action):
        copy = model.clone()
        action(copy)
        return label, copy

    if model.remaining["make"]:

        def make(copy):
            copy.remaining["make"] -= 1
            copy.made[copy.publisher.epoch] = copy.publisher.append(EVENT)

        yield after("make", make)
    if model.remaining["crash"]:

        def crash(copy):
            copy.remaining["crash"] = 0
            copy.publisher = EventPublisher("m", 8, max_events=1)
            copy.publisher._index = MatchAll()

        yield after("crash", crash)
    if model.remaining["forget"] and model.publisher.streams:

        def forget(copy):
            copy.remaining["forget"] = 0
            copy.publisher.forget_receiver("r", None)

        yield after("forget", forget)
    if model.remaining["widen"]:

        def widen(copy):
            copy.remaining["widen"] = 0
            copy.inbound.restart(0.0, copy.inbound.version + 1, copy.inbound.filters)

        yield after("widen", widen)
    if model.inbound.stalled(1e9):
        yield after("stuck", lambda copy: copy.inbound.restart(0.0, copy.inbound.version + 1, copy.inbound.filters))
    yield after("tick publisher", Model.tick_publisher)
    yield after("tick receiver", Model.tick_receiver)
    for index, message in enumerate(model.messages):

        def come(copy, index=index, message=message):
            copy.messages = copy.messages[:index] + copy.messages[index + 1 :]
            copy.deliver(*message)

        def lose(copy, index=index):
            copy.messages = copy.messages[:index] + copy.messages[index + 1 :]

        yield after("come", come)
        yield after("lose", lose)
        yield after("again", lambda copy, message=message: copy.deliver(*message))


def violation(model):
    if list(model.received) != sorted(set(model.received)):
        return f"repeated or out of order: {model.received}"
    if model.inbound.position is not None and model.begin is not None:
        for epoch, made in model.made.items():
            for number in range(1, made + 1):
                position = (epoch, number)
                if (
                    model.begin < position <= (model.inbound.epoch, model.inbound.position)
                    and position not in model.received
                    and not any(first <= position <= last for first, last in model.gaps)
                ):
                    return f"{position} lost without a gap"
    return None


def settled(model):
    return model.inbound.confirmed and (model.inbound.epoch, model.inbound.position) == (
        model.publisher.epoch,
        model.publisher.head,
    )


@pytest.mark.parametrize(
    "remaining", [{"make": 1, "crash": 0, "forget": 1, "widen": 0}, {"make": 1, "crash": 1, "forget": 0, "widen": 0}]
)
def test_no_interleaving_loses_silently_repeats_or_stalls(remaining):
    start = Model()
    start.remaining = remaining
    found = explore(start, steps, violation, 60_000, key=Model.key, goal=settled)
    assert found.holds, str(found)[:4_000]
    assert all(
        found.labels[label] for label in ("come", "lose", "again", *(name for name, n in remaining.items() if n))
    )


def test_exploration_finds_a_receiver_that_ignores_missing_batches(monkeypatch):
    def receive_unordered(self, now, data):
        yield from self._receive(data)

    monkeypatch.setattr(stream.InboundStream, "receive", receive_unordered)
    start = Model()
    start.remaining = {"make": 2, "crash": 0, "forget": 0, "widen": 0}
    assert "lost without a gap" in str(explore(start, steps, violation, 60_000, key=Model.key).fault)
