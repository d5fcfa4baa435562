"""The sending and the receiving end of the event streams between two coordinators.

A publisher numbers all its events and remembers a bounded number of them. A batch states which numbers of a range match
the receiver's filters, and is accepted only if it continues what was received before. So under loss, delay and
duplication no event is lost without a report or delivered twice, and a position means the same at every coordinator.
Events that were evicted before they were sent are reported as lost. The module does no I/O, reads no clock, and bounds
the work of one call.

The receiver holds all the state that is needed to continue a stream: a publisher may drop a stream at any time, answers
UnknownStream, and the receiver's next StreamRequest states where to continue.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from frostspindle.predicates.algebra import Predicate
from frostspindle.predicates.index import FilterIndex
from frostspindle.predicates.language import parse
from frostspindle.predicates.values import FilterError
from frostspindle.subscriptions import schema, wire
from frostspindle.subscriptions.interest import parse_summary
from frostspindle.subscriptions.schema import Event
from frostspindle.subscriptions.wire import (
    HEAD,
    EventAck,
    EventBatch,
    Message,
    StreamRequest,
    StreamStop,
    UnknownStream,
)

MAX_REMEMBERED_EVENTS = 16_384  # by a publisher
MAX_STREAMS, MAX_STREAMS_PER_RECEIVER = 2_048, 65  # per publisher; per receiver: the live stream and replays
EVENTS_PER_TICK = 64  # events matched by one call
MESSAGES_PER_TICK = 32  # messages made by one call
MIN_WINDOW, MAX_WINDOW = 4, 64  # unacknowledged messages of a stream
RESEND_MS, MAX_RESEND_MS = 250.0, 2_000.0
HEARTBEAT_MS, HEARTBEAT_PER_MEMBER_MS = 500.0, 10.0  # of an idle stream; the interval grows with the fleet
IDLE_MS = 30_000.0  # an unacknowledged stream is dropped; a live receiver requests it again
ACK_MS, ACK_EVERY, GAP_ACK_MS = 100.0, 16, 20.0
MAX_BUFFERED_MESSAGES = 32  # out-of-order messages that a receiver keeps
STALL_TIMEOUT_MS = 3_000.0  # a receiver requests the stream again if a message is missing for longer
REQUEST_RETRY_MS, MAX_REQUEST_RETRY_MS = 200.0, 2_000.0
SILENT_AFTER_HEARTBEATS = 4


def heartbeat_interval_ms(members: int) -> float:
    """Return the heartbeat interval of an idle stream, in ms; it grows with the fleet to bound the load."""
    return max(HEARTBEAT_MS, HEARTBEAT_PER_MEMBER_MS * members)


@dataclass(slots=True)
class OutboundStream:
    """The publisher's state of the stream to one receiver."""

    receiver: str
    receiver_epoch: int  # epoch of the receiver's process
    sid: int
    version: int
    predicate: Predicate
    start_position: int  # the head at the start if the receiver named no position, else HEAD
    acked: int
    sent: int
    matched_through: int  # events up to here were matched against the predicate
    heard_at: float
    matches: list[int] = field(default_factory=list)  # unacknowledged numbers that match
    in_flight: deque[int] = field(default_factory=deque)  # last number of each unacknowledged message
    window: int = MIN_WINDOW
    resend_after_ms: float = RESEND_MS
    progress_at: float = 0.0
    heartbeat_at: float = 0.0


class EventPublisher:
    """The events of this process, numbered from 1, and the streams to all receivers."""

    def __init__(
        self, name: str, epoch: int, max_events: int = MAX_REMEMBERED_EVENTS, slice_: int = EVENTS_PER_TICK
    ) -> None:
        self.name, self.epoch, self.max_events, self.slice = name, epoch, max_events, slice_
        self.head = self.base = self.matched = 0  # numbers: last appended, last evicted, last matched
        self.streams: dict[tuple[str, int], OutboundStream] = {}
        self.outbox: list[tuple[str, Message]] = []
        self.counted: Counter[str] = Counter()
        self.members = 1
        self._events: list[Event | None] = [None] * max_events
        self._index = FilterIndex()
        self._send_now = False  # acknowledgements or requests may have made sending possible
        self._caught_up: dict[tuple[str, int], OutboundStream] = {}  # streams that are matched by the index

    def append(self, event: Event) -> int:
        """Store an event, evicting the oldest if the buffer is full, and return its number; O(1)."""
        self.head += 1
        self._events[self.head % self.max_events] = event
        if self.head - self.base > self.max_events:
            self.base = self.head - self.max_events
        return self.head

    def event(self, number: int) -> Event:
        """Return an event by its number, which must not have been evicted."""
        assert self.base < number <= self.head
        return self._events[number % self.max_events]  # type: ignore[return-value]

    # Incoming messages.

    def on_message(self, now: float, receiver: str, epoch: int, message: Message) -> None:
        """Handle a receiver's StreamRequest, EventAck or StreamStop; `epoch` is that of its process."""
        if isinstance(message, StreamRequest):
            self._open(now, receiver, epoch, message)
            return
        stream = self.streams.get((receiver, message.sid))
        if stream is None or stream.receiver_epoch != epoch or stream.version != message.version:
            if isinstance(message, EventAck) and (
                stream is None or (stream.receiver_epoch, stream.version) < (epoch, message.version)
            ):
                self.outbox.append((receiver, UnknownStream(message.sid, message.version)))
        elif isinstance(message, StreamStop):
            self._drop(stream)
        elif isinstance(message, EventAck):
            stream.heard_at = now
            self._ack(now, stream, message.through)

    def _open(self, now: float, receiver: str, epoch: int, request: StreamRequest) -> None:
        stream = self.streams.get((receiver, request.sid))
        if stream is not None and (epoch, request.version) <= (stream.receiver_epoch, stream.version):
            if (epoch, request.version) == (stream.receiver_epoch, stream.version):
                stream.heard_at = stream.heartbeat_at = now  # it has not received our answer
                self._send_now = True
            return
        if request.after != HEAD and request.epoch != self.epoch:
            # The position is of an earlier process; this answer tells the receiver about the new one.
            self.outbox.append((receiver, UnknownStream(request.sid, request.version)))
            return
        try:
            predicate = parse_summary(request.filters)
        except FilterError:
            self.counted["subscriptions_not_understood"] += 1
            return
        if stream is not None:
            self._drop(stream)
        if (
            len(self.streams) >= MAX_STREAMS
            or sum(key[0] == receiver for key in self.streams) >= MAX_STREAMS_PER_RECEIVER
        ):
            self.counted["subscriptions_streams_refused"] += 1
            return
        after = self.head if request.after == HEAD else min(request.after, self.head)
        stream = OutboundStream(
            receiver,
            epoch,
            request.sid,
            request.version,
            predicate,
            after if request.after == HEAD else HEAD,
            after,
            after,
            after,
            now,
            progress_at=now,
            heartbeat_at=now,
        )
        self.streams[receiver, request.sid], self._send_now = stream, True
        for number, text in enumerate(request.filters):
            self._index.add((receiver, request.sid, number), parse(text))

    def _drop(self, stream: OutboundStream) -> None:
        key = stream.receiver, stream.sid
        del self.streams[key]
        self._caught_up.pop(key, None)
        for number in range(wire.MAX_FILTERS):
            self._index.remove((*key, number))

    def forget_receiver(self, receiver: str, epoch: int | None) -> None:
        """Drop the receiver's streams except those of the process with `epoch`; None: all of them."""
        for stream in [
            outbound
            for (name, _), outbound in self.streams.items()
            if name == receiver and outbound.receiver_epoch != epoch
        ]:
            self._drop(stream)

    def _ack(self, now: float, stream: OutboundStream, through: int) -> None:
        if not stream.acked < through <= stream.matched_through:
            return
        stream.acked = through
        stream.sent = max(stream.sent, through)
        stream.resend_after_ms, stream.progress_at, self._send_now = RESEND_MS, now, True
        del stream.matches[: bisect_right(stream.matches, through)]
        while stream.in_flight and stream.in_flight[0] <= through:
            stream.in_flight.popleft()
            stream.window = min(MAX_WINDOW, stream.window + 1)

    # Outgoing messages.

    def tick(self, now: float) -> bool:
        """Match a bounded number of events and send what is due; return whether more work is left."""
        self._send_now = False
        events_left = self._match(self.slice) if self.streams else 1
        messages_left = MESSAGES_PER_TICK
        for stream in list(self.streams.values()):
            if now - stream.heard_at >= IDLE_MS:
                self._drop(stream)
                continue
            # The message or its acknowledgement was lost.
            if stream.sent > stream.acked and now - stream.progress_at >= stream.resend_after_ms:
                stream.sent, stream.progress_at = stream.acked, now
                stream.in_flight.clear()
                stream.resend_after_ms = min(MAX_RESEND_MS, stream.resend_after_ms * 2.0)
                stream.window = max(MIN_WINDOW, stream.window // 2)
                self.counted["subscriptions_resent"] += 1
            while messages_left and len(stream.in_flight) < stream.window and self._send(now, stream):
                messages_left -= 1
        return bool(self.streams) and (events_left <= 0 or not messages_left or self.matched < self.head)

    def _match(self, left: int) -> int:
        """Match up to `left` events against the streams' predicates; return the unused part of `left`."""
        if not self._caught_up:
            self.matched = self.head  # each stream is matched from its own position
        self.matched = max(self.matched, self.base)
        while left > 0 and self.matched < self.head:
            self.matched += 1
            left -= 1
            for receiver, sid, _ in self._index.find(schema.row(self.name, self.event(self.matched))):
                stream = self._caught_up.get((receiver, sid))
                if stream is not None and (not stream.matches or stream.matches[-1] < self.matched):
                    stream.matches.append(self.matched)
        for key, stream in list(self.streams.items()):
            if key in self._caught_up:
                stream.matched_through = self.matched
                continue
            stream.matched_through = max(stream.matched_through, self.base)
            while left > 0 and stream.matched_through < self.matched:
                stream.matched_through += 1
                left -= 1
                if stream.predicate.truth(schema.row(self.name, self.event(stream.matched_through))) is True:
                    stream.matches.append(stream.matched_through)
            if stream.matched_through >= self.matched:
                self._caught_up[key] = stream
        return left

    def _send(self, now: float, stream: OutboundStream) -> bool:
        """Send a message if there are numbers to report or a heartbeat is due; return whether numbers were reported."""
        after, lost, events, size = stream.sent, False, [], 0
        first = bisect_right(stream.matches, after)
        if after < self.base:
            through, lost = self.base, True
            stream.matched_through = max(stream.matched_through, through)
        else:
            through = stream.matched_through
            for number in stream.matches[first : first + 128]:
                published, event_bytes = wire.published_event(number, self.event(number))
                if size + event_bytes > wire.MAX_EVENTS_BYTES:
                    through = number - 1
                    break
                size += event_bytes
                events.append(published)
            else:
                if len(stream.matches) > first + 128:
                    through = events[-1].number
        if not lost and not events and now < stream.heartbeat_at:
            return False
        stream.heartbeat_at = now + heartbeat_interval_ms(self.members)
        if stream.sent == stream.acked:
            stream.progress_at = now
        stream.sent = through
        if through > after:
            stream.in_flight.append(through)
        self.outbox.append(
            (
                stream.receiver,
                EventBatch(
                    stream.receiver_epoch,
                    stream.sid,
                    stream.version,
                    after == stream.start_position,
                    after,
                    through,
                    int(heartbeat_interval_ms(self.members)),
                    lost,
                    tuple(events),
                ),
            )
        )
        return through > after

    def next_tick_at(self) -> float:
        """Return when `tick` must be called next, in ms, if no message arrives before."""
        at = -float("inf") if self._send_now else float("inf")
        for stream in self.streams.values():
            at = min(at, stream.heartbeat_at, stream.heard_at + IDLE_MS)
            if stream.sent > stream.acked:
                at = min(at, stream.progress_at + stream.resend_after_ms)
        return at


@dataclass(slots=True)
class InboundStream:
    """The receiver's state of one stream. `position`: last number received in order; None: start not known yet."""

    publisher: str
    epoch: int  # of the publisher's process
    sid: int
    receiver_epoch: int  # epoch of this process
    version: int  # of the request; only batches of this version are accepted
    filters: tuple[str, ...]
    position: int | None
    heard_at: float
    heartbeat_ms: float = HEARTBEAT_MS  # the publisher's heartbeat interval, as last advertised
    confirmed: bool = False  # a batch of this version was received
    silent: bool = False
    request_at: float = 0.0
    request_retry_ms: float = REQUEST_RETRY_MS
    ack_at: float = float("inf")
    unacked: int = 0
    missing_since: float | None = None
    buffered: dict[int, EventBatch] = field(default_factory=dict)

    def restart(self, now: float, version: int, filters: tuple[str, ...]) -> None:
        """Request these filters from the current position on, under a new version."""
        self.version, self.filters, self.confirmed = version, filters, False
        self.request_at, self.request_retry_ms, self.missing_since = now, REQUEST_RETRY_MS, None
        self.buffered.clear()

    def accept(self, now: float, data: EventBatch) -> bool:
        """Return whether a batch belongs to the current version, and record its heartbeat interval.

        The first accepted batch sets the position where the stream starts.
        """
        if (
            (data.receiver_epoch, data.version) != (self.receiver_epoch, self.version)
            or self.position is None
            and not data.start
        ):
            return False
        if self.position is None:
            self.position = data.after
        self.confirmed, self.heard_at, self.heartbeat_ms = True, now, float(data.heartbeat_ms)
        return True

    def receive(self, now: float, data: EventBatch) -> Iterator[tuple[int, int, Event | None]]:
        """Yield what is new in an accepted batch: events as (number, number, event), lost ranges as (from, to, None).

        Up to MAX_BUFFERED_MESSAGES that arrive out of order are buffered until the earlier ones have arrived.
        """
        assert self.position is not None
        self.unacked += 1
        if data.after > self.position:
            if len(self.buffered) < MAX_BUFFERED_MESSAGES:
                self.buffered[data.after] = data
            if self.missing_since is None:
                self.missing_since = now
            self.ack_at = min(self.ack_at, now + GAP_ACK_MS)
            return
        yield from self._receive(data)
        while self.buffered:
            following = next((batch for batch in self.buffered.values() if batch.after <= self.position), None)
            if following is None:
                break
            del self.buffered[following.after]
            yield from self._receive(following)
        self.missing_since = now if self.buffered else None
        self.ack_at = min(self.ack_at, now + (ACK_MS if self.unacked < ACK_EVERY else 0.0))

    def _receive(self, data: EventBatch) -> Iterator[tuple[int, int, Event | None]]:
        assert self.position is not None
        before = self.position
        if data.through <= before:
            return
        self.position = data.through
        if data.lost:
            yield before + 1, data.through, None
        for published in data.events:
            if published.number > before:
                yield published.number, published.number, published.event

    def tick(self, now: float) -> Message | None:
        """Return the StreamRequest or EventAck that is due at `now`, in ms; None if neither is."""
        if not self.confirmed:
            if now < self.request_at:
                return None
            self.request_at, self.request_retry_ms = (
                now + self.request_retry_ms,
                min(MAX_REQUEST_RETRY_MS, self.request_retry_ms * 2.0),
            )
            return StreamRequest(
                self.sid,
                self.version,
                self.epoch if self.position is not None else 0,
                HEAD if self.position is None else self.position,
                self.filters,
            )
        if now >= min(self.ack_at, self.request_at):
            self.ack_at, self.unacked = float("inf"), 0
            # An acknowledgement keeps the publisher's stream alive, or shows that the publisher doesn't know it.
            self.request_at = now + 2.0 * self.heartbeat_ms
            return EventAck(self.sid, self.version, self.position or 0)
        return None

    def stalled(self, now: float) -> bool:
        """Return whether a batch has been missing for STALL_TIMEOUT_MS, so that the stream must be requested again."""
        return self.missing_since is not None and now - self.missing_since >= STALL_TIMEOUT_MS

    def next_tick_at(self) -> float:
        """Return when `tick` must be called, or the publisher counts as silent or the stream as stalled, in ms."""
        at = min(self.ack_at, self.request_at)
        if self.missing_since is not None:
            at = min(at, self.missing_since + STALL_TIMEOUT_MS)
        return at if self.silent else min(at, self.heard_at + SILENT_AFTER_HEARTBEATS * self.heartbeat_ms)
