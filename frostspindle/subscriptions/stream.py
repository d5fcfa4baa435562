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
from frostspindle.subscriptions.interest import understood
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

RING = 16_384  # events that a maker remembers
MOST_STREAMS, MOST_OF_ONE = 2_048, 65  # of a maker; of one receiver: the live one, and replays
SLICE = 64  # events that one call matches
SENDS = 32  # messages that one call makes
WINDOW_LEAST, WINDOW_MOST = 4, 64  # messages that may be on their way
RESEND_MS, RESEND_MOST_MS = 250.0, 2_000.0
BEAT_MS, BEAT_A_MEMBER_MS = 500.0, 10.0  # a stream without news tells so; in a large fleet, less often
IDLE_MS = 30_000.0  # a stream that nobody acknowledges ends; the receiver would want it again
ACK_MS, ACK_EVERY, HOLE_MS = 100.0, 16, 20.0
HELD = 32  # messages that a receiver keeps while an earlier one is missing
STUCK_MS = 3_000.0  # what is missing for longer is asked for anew
ASK_MS, ASK_MOST_MS = 200.0, 2_000.0
SILENT_BEATS = 4


def beat(members: int) -> float:
    """Return the interval of heartbeats on a stream without news, in ms; it grows with the fleet, to bound the load."""
    return max(BEAT_MS, BEAT_A_MEMBER_MS * members)


@dataclass(slots=True)
class OutboundStream:
    """The maker's end of one receiver's stream."""

    who: str
    of: int  # the receiver's process
    sid: int
    version: int
    wanted: Predicate
    begin: int  # where it began at the head, for a receiver that knew no position; HEAD: it named one
    acked: int
    sent: int
    scan: int  # up to here it is known what is wanted
    heard: float
    found: list[int] = field(default_factory=list)  # of what is not acknowledged, the numbers wanted
    flight: deque[int] = field(default_factory=deque)  # where each message on its way ends
    window: int = WINDOW_LEAST
    wait: float = RESEND_MS
    progress: float = 0.0
    beat_at: float = 0.0


class EventPublisher:
    """The events of this process, numbered from 1, and the streams to all receivers that want some of them."""

    def __init__(self, name: str, epoch: int, most: int = RING, slice_: int = SLICE) -> None:
        self.name, self.epoch, self.most, self.slice = name, epoch, most, slice_
        self.head = self.base = self.matched = 0  # numbers: the last made, the last forgotten, the last looked at
        self.streams: dict[tuple[str, int], OutboundStream] = {}
        self.out: list[tuple[str, Message]] = []
        self.counted: Counter[str] = Counter()
        self.members = 1
        self._ring: list[Event | None] = [None] * most
        self._index = FilterIndex()
        self._eager = False  # more may be sent than before
        self._synced: dict[tuple[str, int], OutboundStream] = {}  # those that the index finds for

    def append(self, event: Event) -> int:
        """Keep an event, in place of the oldest if memory is full, and return its number; constant time."""
        self.head += 1
        self._ring[self.head % self.most] = event
        if self.head - self.base > self.most:
            self.base = self.head - self.most
        return self.head

    def event(self, number: int) -> Event:
        """Return an event by its number, which must still be remembered."""
        assert self.base < number <= self.head
        return self._ring[number % self.most]  # type: ignore[return-value]

    # What comes.

    def hear(self, now: float, who: str, epoch: int, message: Message) -> None:
        """Take in a receiver's Want, Ack or Stop; `epoch` is that of its process."""
        if isinstance(message, StreamRequest):
            self._want(now, who, epoch, message)
            return
        stream = self.streams.get((who, message.sid))
        if stream is None or stream.of != epoch or stream.version != message.version:
            if isinstance(message, EventAck) and (
                stream is None or (stream.of, stream.version) < (epoch, message.version)
            ):
                self.out.append((who, UnknownStream(message.sid, message.version)))
        elif isinstance(message, StreamStop):
            self._drop(stream)
        elif isinstance(message, EventAck):
            stream.heard = now
            self._ack(now, stream, message.upto)

    def _want(self, now: float, who: str, epoch: int, want: StreamRequest) -> None:
        stream = self.streams.get((who, want.sid))
        if stream is not None and (epoch, want.version) <= (stream.of, stream.version):
            if (epoch, want.version) == (stream.of, stream.version):
                stream.heard = stream.beat_at = now  # it has not heard our answer
                self._eager = True
            return
        if want.after != HEAD and want.epoch != self.epoch:
            self.out.append(
                (who, UnknownStream(want.sid, want.version))
            )  # of an earlier process: ours is told with this
            return
        try:
            wanted = understood(want.parts)
        except FilterError:
            self.counted["subscriptions_not_understood"] += 1
            return
        if stream is not None:
            self._drop(stream)
        if len(self.streams) >= MOST_STREAMS or sum(key[0] == who for key in self.streams) >= MOST_OF_ONE:
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
            progress=now,
            beat_at=now,
        )
        self.streams[who, want.sid], self._eager = stream, True
        for number, part in enumerate(want.parts):
            self._index.add((who, want.sid, number), parse(part))

    def _drop(self, stream: OutboundStream) -> None:
        key = stream.who, stream.sid
        del self.streams[key]
        self._synced.pop(key, None)
        for number in range(wire.MOST_PARTS):
            self._index.remove((*key, number))

    def gone(self, who: str, epoch: int | None) -> None:
        """Drop the receiver's streams of any process but that with `epoch`; None: all of them."""
        for stream in [s for (name, _), s in self.streams.items() if name == who and s.of != epoch]:
            self._drop(stream)

    def _ack(self, now: float, stream: OutboundStream, upto: int) -> None:
        if not stream.acked < upto <= stream.scan:
            return
        stream.acked = upto
        stream.sent = max(stream.sent, upto)
        stream.wait, stream.progress, self._eager = RESEND_MS, now, True
        del stream.found[: bisect_right(stream.found, upto)]
        while stream.flight and stream.flight[0] <= upto:
            stream.flight.popleft()
            stream.window = min(WINDOW_MOST, stream.window + 1)

    # What goes.

    def tick(self, now: float) -> bool:
        """Match and send what is due, one slice of events at most; return whether there is more to do at once."""
        self._eager = False
        left = self._match(self.slice) if self.streams else 1
        sends = SENDS
        for stream in list(self.streams.values()):
            if now - stream.heard >= IDLE_MS:
                self._drop(stream)
                continue
            if stream.sent > stream.acked and now - stream.progress >= stream.wait:  # lost, or the word of it
                stream.sent, stream.progress = stream.acked, now
                stream.flight.clear()
                stream.wait = min(RESEND_MOST_MS, stream.wait * 2.0)
                stream.window = max(WINDOW_LEAST, stream.window // 2)
                self.counted["subscriptions_resent"] += 1
            while sends and len(stream.flight) < stream.window and self._send(now, stream):
                sends -= 1
        return bool(self.streams) and (left <= 0 or not sends or self.matched < self.head)

    def _match(self, left: int) -> int:
        """Find out which events who wants, a slice of them; what is left of the slice."""
        if not self._synced:
            self.matched = self.head  # all catch up by themselves
        self.matched = max(self.matched, self.base)
        while left > 0 and self.matched < self.head:
            self.matched += 1
            left -= 1
            for who, sid, _ in self._index.find(schema.row(self.name, self.event(self.matched))):
                stream = self._synced.get((who, sid))
                if stream is not None and (not stream.found or stream.found[-1] < self.matched):
                    stream.found.append(self.matched)
        for key, stream in list(self.streams.items()):
            if key in self._synced:
                stream.scan = self.matched
                continue
            stream.scan = max(stream.scan, self.base)
            while left > 0 and stream.scan < self.matched:
                stream.scan += 1
                left -= 1
                if stream.wanted.truth(schema.row(self.name, self.event(stream.scan))) is True:
                    stream.found.append(stream.scan)
            if stream.scan >= self.matched:
                self._synced[key] = stream
        return left

    def _send(self, now: float, stream: OutboundStream) -> bool:
        """One message, if there is something to say."""
        after, lost, events, size = stream.sent, False, [], 0
        place = bisect_right(stream.found, after)
        if after < self.base:
            upto, lost = self.base, True
            stream.scan = max(stream.scan, upto)
        else:
            upto = stream.scan
            for number in stream.found[place : place + 128]:
                told, more = wire.told(number, self.event(number))
                if size + more > wire.EVENTS_BYTES:
                    upto = number - 1
                    break
                size += more
                events.append(told)
            else:
                if len(stream.found) > place + 128:
                    upto = events[-1].number
        if not lost and not events and now < stream.beat_at:
            return False
        stream.beat_at = now + beat(self.members)
        if stream.sent == stream.acked:
            stream.progress = now
        stream.sent = upto
        if upto > after:
            stream.flight.append(upto)
        self.out.append(
            (
                stream.who,
                EventBatch(
                    stream.of,
                    stream.sid,
                    stream.version,
                    after == stream.begin,
                    after,
                    upto,
                    int(beat(self.members)),
                    lost,
                    tuple(events),
                ),
            )
        )
        return upto > after

    def due(self) -> float:
        """Return when `tick` must be called next, in ms, if nothing arrives before."""
        at = -float("inf") if self._eager else float("inf")
        for stream in self.streams.values():
            at = min(at, stream.beat_at, stream.heard + IDLE_MS)
            if stream.sent > stream.acked:
                at = min(at, stream.progress + stream.wait)
        return at


@dataclass(slots=True)
class InboundStream:
    """The receiver's end of one stream. `pos`: all up to this number was taken; None: its start is not known yet."""

    maker: str
    epoch: int  # of the maker's process
    sid: int
    of: int  # our own process
    version: int  # of what is wanted; only data of this version is taken
    parts: tuple[str, ...]
    pos: int | None
    heard: float
    period: float = BEAT_MS  # of the maker's beats, as it last said
    confirmed: bool = False  # data of this version has come
    silent: bool = False
    ask_at: float = 0.0
    ask_wait: float = ASK_MS
    ack_at: float = float("inf")
    unacked: int = 0
    hole_since: float | None = None
    held: dict[int, EventBatch] = field(default_factory=dict)

    def change(self, now: float, version: int, parts: tuple[str, ...]) -> None:
        """Want other filters from this position on, or the same ones anew, under a new version."""
        self.version, self.parts, self.confirmed = version, parts, False
        self.ask_at, self.ask_wait, self.hole_since = now, ASK_MS, None
        self.held.clear()

    def admit(self, now: float, data: EventBatch) -> bool:
        """Return whether a message belongs to the version that is wanted now, and take in its period.

        The first one admitted tells where the stream starts.
        """
        if (data.of, data.version) != (self.of, self.version) or self.pos is None and not data.start:
            return False
        if self.pos is None:
            self.pos = data.after
        self.confirmed, self.heard, self.period = True, now, float(data.period)
        return True

    def take(self, now: float, data: EventBatch) -> Iterator[tuple[int, int, Event | None]]:
        """Yield what is new in an admitted message: events as (number, number, event), lost ranges as (from, to, None).

        One that comes too early is held until those before it have come, up to HELD of them.
        """
        assert self.pos is not None
        self.unacked += 1
        if data.after > self.pos:
            if len(self.held) < HELD:
                self.held[data.after] = data
            if self.hole_since is None:
                self.hole_since = now
            self.ack_at = min(self.ack_at, now + HOLE_MS)
            return
        yield from self._take(data)
        while self.held:
            following = next((d for d in self.held.values() if d.after <= self.pos), None)
            if following is None:
                break
            del self.held[following.after]
            yield from self._take(following)
        self.hole_since = now if self.held else None
        self.ack_at = min(self.ack_at, now + (ACK_MS if self.unacked < ACK_EVERY else 0.0))

    def _take(self, data: EventBatch) -> Iterator[tuple[int, int, Event | None]]:
        assert self.pos is not None
        before = self.pos
        if data.upto <= before:
            return
        self.pos = data.upto
        if data.lost:
            yield before + 1, data.upto, None
        for told in data.events:
            if told.number > before:
                yield told.number, told.number, told.event

    def tick(self, now: float) -> Message | None:
        """Return the Want or Ack that is due at `now`, in ms; None: nothing is."""
        if not self.confirmed:
            if now < self.ask_at:
                return None
            self.ask_at, self.ask_wait = now + self.ask_wait, min(ASK_MOST_MS, self.ask_wait * 2.0)
            return StreamRequest(
                self.sid,
                self.version,
                self.epoch if self.pos is not None else 0,
                HEAD if self.pos is None else self.pos,
                self.parts,
            )
        if now >= min(self.ack_at, self.ask_at):
            self.ack_at, self.unacked = float("inf"), 0
            self.ask_at = now + 2.0 * self.period  # at least: the maker keeps the stream, or says that it has none
            return EventAck(self.sid, self.version, self.pos or 0)
        return None

    def stuck(self, now: float) -> bool:
        """Return whether something has been missing for STUCK_MS, so that the stream must be wanted anew."""
        return self.hole_since is not None and now - self.hole_since >= STUCK_MS

    def due(self) -> float:
        """Return when `tick` must be called next, or when the maker counts as silent or the stream as stuck, in ms."""
        at = min(self.ack_at, self.ask_at)
        if self.hole_since is not None:
            at = min(at, self.hole_since + STUCK_MS)
        return at if self.silent else min(at, self.heard + SILENT_BEATS * self.period)
