"""A maker's and a receiver's end of the streams of events between two coordinators.

Owns the numbers, the maker's bounded memory of its events, acknowledgements, what is sent again, and what is said of
events that fell out of that memory. A maker numbers all its events; a message says which of a range of numbers are
wanted, and is taken only where it follows what was taken before. So nothing is left out unsaid and nothing comes twice,
whatever is lost, late or doubled; and a position in the maker's numbers means the same at every coordinator. It must
never do I/O, read a clock, or do more in one call than its slice.

All that a stream needs to go on is known to the receiver: a maker may forget one at any time, says so (Stale), and is
then told by Want where to go on.
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

MAX_REMEMBERED_EVENTS = 16_384  # events that a maker remembers
MAX_STREAMS, MAX_STREAMS_PER_RECEIVER = 2_048, 65  # of a maker; of one receiver: the live one, and replays
EVENTS_PER_TICK = 64  # events that one call matches
MESSAGES_PER_TICK = 32  # messages that one call makes
MIN_WINDOW, MAX_WINDOW = 4, 64  # messages that may be on their way
RESEND_MS, MAX_RESEND_MS = 250.0, 2_000.0
HEARTBEAT_MS, HEARTBEAT_PER_MEMBER_MS = 500.0, 10.0  # a stream without news tells so; in a large fleet, less often
IDLE_MS = 30_000.0  # a stream that nobody acknowledges ends; the receiver would want it again
ACK_MS, ACK_EVERY, GAP_ACK_MS = 100.0, 16, 20.0
MAX_BUFFERED_MESSAGES = 32  # messages that a receiver keeps while an earlier one is missing
STALL_TIMEOUT_MS = 3_000.0  # what is missing for longer is asked for anew
REQUEST_RETRY_MS, MAX_REQUEST_RETRY_MS = 200.0, 2_000.0
SILENT_AFTER_HEARTBEATS = 4


def heartbeat_interval_ms(members: int) -> float:
    """Return the interval of heartbeats on a stream without news, in ms; it grows with the fleet, to bound the load."""
    return max(HEARTBEAT_MS, HEARTBEAT_PER_MEMBER_MS * members)


@dataclass(slots=True)
class OutboundStream:
    """The maker's end of one receiver's stream."""

    receiver: str
    receiver_epoch: int  # the receiver's process
    sid: int
    version: int
    predicate: Predicate
    start_position: int  # where it began at the head, for a receiver that knew no position; HEAD: it named one
    acked: int
    sent: int
    matched_through: int  # up to here it is known what is wanted
    heard_at: float
    matches: list[int] = field(default_factory=list)  # of what is not acknowledged, the numbers wanted
    in_flight: deque[int] = field(default_factory=deque)  # where each message on its way ends
    window: int = MIN_WINDOW
    resend_after_ms: float = RESEND_MS
    progress_at: float = 0.0
    heartbeat_at: float = 0.0


class EventPublisher:
    """The events of this process, numbered from 1, and the streams to all receivers that want some of them."""

    def __init__(self, name: str, epoch: int, most: int = MAX_REMEMBERED_EVENTS, slice_: int = EVENTS_PER_TICK) -> None:
        self.name, self.epoch, self.most, self.slice = name, epoch, most, slice_
        self.head = self.base = self.matched = 0  # numbers: the last made, the last forgotten, the last looked at
        self.streams: dict[tuple[str, int], OutboundStream] = {}
        self.outbox: list[tuple[str, Message]] = []
        self.counted: Counter[str] = Counter()
        self.members = 1
        self._events: list[Event | None] = [None] * most
        self._index = FilterIndex()
        self._send_now = False  # more may be sent than before
        self._caught_up: dict[tuple[str, int], OutboundStream] = {}  # those that the index finds for

    def append(self, event: Event) -> int:
        """Keep an event, in place of the oldest if memory is full, and return its number; constant time."""
        self.head += 1
        self._events[self.head % self.most] = event
        if self.head - self.base > self.most:
            self.base = self.head - self.most
        return self.head

    def event(self, number: int) -> Event:
        """Return an event by its number, which must still be remembered."""
        assert self.base < number <= self.head
        return self._events[number % self.most]  # type: ignore[return-value]

    # What comes.

    def on_message(self, now: float, who: str, epoch: int, message: Message) -> None:
        """Take in a receiver's Want, Ack or Stop; `epoch` is that of its process."""
        if isinstance(message, StreamRequest):
            self._open(now, who, epoch, message)
            return
        stream = self.streams.get((who, message.sid))
        if stream is None or stream.receiver_epoch != epoch or stream.version != message.version:
            if isinstance(message, EventAck) and (
                stream is None or (stream.receiver_epoch, stream.version) < (epoch, message.version)
            ):
                self.outbox.append((who, UnknownStream(message.sid, message.version)))
        elif isinstance(message, StreamStop):
            self._drop(stream)
        elif isinstance(message, EventAck):
            stream.heard_at = now
            self._ack(now, stream, message.through)

    def _open(self, now: float, who: str, epoch: int, want: StreamRequest) -> None:
        stream = self.streams.get((who, want.sid))
        if stream is not None and (epoch, want.version) <= (stream.receiver_epoch, stream.version):
            if (epoch, want.version) == (stream.receiver_epoch, stream.version):
                stream.heard_at = stream.heartbeat_at = now  # it has not heard our answer
                self._send_now = True
            return
        if want.after != HEAD and want.epoch != self.epoch:
            self.outbox.append(
                (who, UnknownStream(want.sid, want.version))
            )  # of an earlier process: ours is told with this
            return
        try:
            wanted = parse_summary(want.filters)
        except FilterError:
            self.counted["subscriptions_not_understood"] += 1
            return
        if stream is not None:
            self._drop(stream)
        if len(self.streams) >= MAX_STREAMS or sum(key[0] == who for key in self.streams) >= MAX_STREAMS_PER_RECEIVER:
            self.counted["subscriptions_streams_refused"] += 1
            return
        after = self.head if want.after == HEAD else min(want.after, self.head)
        stream = OutboundStream(
            who,
            epoch,
            want.sid,
            want.version,
            wanted,
            after if want.after == HEAD else HEAD,
            after,
            after,
            after,
            now,
            progress_at=now,
            heartbeat_at=now,
        )
        self.streams[who, want.sid], self._send_now = stream, True
        for number, part in enumerate(want.filters):
            self._index.add((who, want.sid, number), parse(part))

    def _drop(self, stream: OutboundStream) -> None:
        key = stream.receiver, stream.sid
        del self.streams[key]
        self._caught_up.pop(key, None)
        for number in range(wire.MAX_FILTERS):
            self._index.remove((*key, number))

    def forget_receiver(self, who: str, epoch: int | None) -> None:
        """Drop the receiver's streams of any process but that with `epoch`; None: all of them."""
        for stream in [s for (name, _), s in self.streams.items() if name == who and s.receiver_epoch != epoch]:
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

    # What goes.

    def tick(self, now: float) -> bool:
        """Match and send what is due, one slice of events at most; return whether there is more to do at once."""
        self._send_now = False
        left = self._match(self.slice) if self.streams else 1
        sends = MESSAGES_PER_TICK
        for stream in list(self.streams.values()):
            if now - stream.heard_at >= IDLE_MS:
                self._drop(stream)
                continue
            if (
                stream.sent > stream.acked and now - stream.progress_at >= stream.resend_after_ms
            ):  # lost, or the word of it
                stream.sent, stream.progress_at = stream.acked, now
                stream.in_flight.clear()
                stream.resend_after_ms = min(MAX_RESEND_MS, stream.resend_after_ms * 2.0)
                stream.window = max(MIN_WINDOW, stream.window // 2)
                self.counted["subscriptions_resent"] += 1
            while sends and len(stream.in_flight) < stream.window and self._send(now, stream):
                sends -= 1
        return bool(self.streams) and (left <= 0 or not sends or self.matched < self.head)

    def _match(self, left: int) -> int:
        """Find out which events who wants, a slice of them; what is left of the slice."""
        if not self._caught_up:
            self.matched = self.head  # all catch up by themselves
        self.matched = max(self.matched, self.base)
        while left > 0 and self.matched < self.head:
            self.matched += 1
            left -= 1
            for who, sid, _ in self._index.find(schema.row(self.name, self.event(self.matched))):
                stream = self._caught_up.get((who, sid))
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
        """One message, if there is something to say."""
        after, lost, events, size = stream.sent, False, [], 0
        place = bisect_right(stream.matches, after)
        if after < self.base:
            through, lost = self.base, True
            stream.matched_through = max(stream.matched_through, through)
        else:
            through = stream.matched_through
            for number in stream.matches[place : place + 128]:
                told, more = wire.published_event(number, self.event(number))
                if size + more > wire.MAX_EVENTS_BYTES:
                    through = number - 1
                    break
                size += more
                events.append(told)
            else:
                if len(stream.matches) > place + 128:
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
        """Return when `tick` must be called next, in ms, if nothing arrives before."""
        at = -float("inf") if self._send_now else float("inf")
        for stream in self.streams.values():
            at = min(at, stream.heartbeat_at, stream.heard_at + IDLE_MS)
            if stream.sent > stream.acked:
                at = min(at, stream.progress_at + stream.resend_after_ms)
        return at


@dataclass(slots=True)
class InboundStream:
    """The receiver's end of one stream. `pos`: all up to this number was taken; None: its start is not known yet."""

    publisher: str
    epoch: int  # of the maker's process
    sid: int
    receiver_epoch: int  # our own process
    version: int  # of what is wanted; only data of this version is taken
    filters: tuple[str, ...]
    position: int | None
    heard_at: float
    heartbeat_ms: float = HEARTBEAT_MS  # of the maker's beats, as it last said
    confirmed: bool = False  # data of this version has come
    silent: bool = False
    request_at: float = 0.0
    request_retry_ms: float = REQUEST_RETRY_MS
    ack_at: float = float("inf")
    unacked: int = 0
    missing_since: float | None = None
    buffered: dict[int, EventBatch] = field(default_factory=dict)

    def restart(self, now: float, version: int, filters: tuple[str, ...]) -> None:
        """Want other filters from this position on, or the same ones anew, under a new version."""
        self.version, self.filters, self.confirmed = version, filters, False
        self.request_at, self.request_retry_ms, self.missing_since = now, REQUEST_RETRY_MS, None
        self.buffered.clear()

    def accept(self, now: float, data: EventBatch) -> bool:
        """Return whether a message belongs to the version that is wanted now, and take in its period.

        The first one admitted tells where the stream starts.
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
        """Yield what is new in an admitted message: events as (number, number, event), lost ranges as (from, to, None).

        One that comes too early is held until those before it have come, up to HELD of them.
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
            following = next((d for d in self.buffered.values() if d.after <= self.position), None)
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
        for told in data.events:
            if told.number > before:
                yield told.number, told.number, told.event

    def tick(self, now: float) -> Message | None:
        """Return the Want or Ack that is due at `now`, in ms; None: nothing is."""
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
            self.request_at = (
                now + 2.0 * self.heartbeat_ms
            )  # at least: the maker keeps the stream, or says that it has none
            return EventAck(self.sid, self.version, self.position or 0)
        return None

    def stalled(self, now: float) -> bool:
        """Return whether something has been missing for STUCK_MS, so that the stream must be wanted anew."""
        return self.missing_since is not None and now - self.missing_since >= STALL_TIMEOUT_MS

    def next_tick_at(self) -> float:
        """Return when `tick` must be called next, or when the maker counts as silent or the stream as stuck, in ms."""
        at = min(self.ack_at, self.request_at)
        if self.missing_since is not None:
            at = min(at, self.missing_since + STALL_TIMEOUT_MS)
        return at if self.silent else min(at, self.heard_at + SILENT_AFTER_HEARTBEATS * self.heartbeat_ms)
