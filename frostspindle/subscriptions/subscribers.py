"""The subscriptions of this coordinator: which events each one is sent, its gaps, its cursor and its replays.

A subscription is acknowledged only after each member known to be alive has confirmed the subscription's filter, or its
silence was reported as a gap. An event is never sent twice or out of its publisher's order, and each range of a
publisher's numbers is either received or reported as a gap. No I/O and no clock.

A subscription's position at a publisher is that of the live stream; while it is behind that, the position of its own
replay, which ends once it has caught up; before either has started, the position in the cursor it was resumed from.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime

import msgspec

from frostspindle.predicates.algebra import FALSE, Predicate
from frostspindle.predicates.implication import covers
from frostspindle.predicates.index import FilterIndex
from frostspindle.predicates.language import parse
from frostspindle.predicates.values import FilterError
from frostspindle.subscriptions import cursor, schema, stream
from frostspindle.subscriptions.cursor import Position
from frostspindle.subscriptions.fanout import BacklogItem, Fanout
from frostspindle.subscriptions.interest import CombinedInterest, parse_summary
from frostspindle.subscriptions.schema import Event
from frostspindle.subscriptions.stream import InboundStream
from frostspindle.subscriptions.wire import EventAck, EventBatch, Message, StreamStop, UnknownStream

MAX_SUBSCRIPTIONS = 1_000
CONFIRM_TIMEOUT_MS = 3_000.0  # a publisher that has not confirmed by then is reported as a gap
BATCHING_MS = 50.0  # new subscriptions are requested from publishers together
NARROW_DELAY_MS = 5_000.0  # delay of narrowing the filters after a subscription ended
REPLAY_STALL_MS = 10_000.0  # a replay without progress for longer becomes a gap
MAX_PUBLISHERS = 1_024
PAUSE_DETECTION_MS = 1_000.0  # a longer time between ticks means that this process was paused, not the others
MAX_TICK_INTERVAL_MS = 250.0  # while there are subscriptions
_json = msgspec.json.Encoder().encode


@dataclass(slots=True)
class Subscription:
    """One subscriber's filter, and its position at each publisher."""

    number: int
    text: str
    predicate: Predicate
    deadline: float
    resume_from: dict[str, Position] | None  # the cursor's positions, at publishers not joined yet; None: from now on
    active: bool = False  # its filter is part of what publishers are asked for
    unconfirmed: set[str] = field(default_factory=set)  # publishers that have not confirmed
    acknowledged: bool = False
    # Positions up to which events were sent already, at publishers whose live stream is behind.
    sent_through: dict[str, Position] = field(default_factory=dict)
    replays: dict[str, int] = field(default_factory=dict)  # stream id by publisher
    open_gaps: dict[str, Position] = field(default_factory=dict)  # first position of open-ended gaps


def event_line(publisher: str, epoch: int, number: int, event: Event) -> bytes:
    """Return the line of JSON that subscribers read for an event, with its publisher, epoch and number."""
    at = datetime.fromtimestamp(event.at_ms / 1000.0, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return (
        _json(
            {
                "event": {
                    "kind": schema.NAMES[event.kind],
                    "maker": publisher,
                    "at": at,
                    **dict(zip(schema.COLUMNS[event.kind], event.values, strict=True)),
                },
                "of": [publisher, epoch, number],
            }
        )
        + b"\n"
    )


def gap_line(item: BacklogItem) -> bytes:
    """Return a gap as a line of JSON: publisher, first and last position, inclusive; `to` null: open-ended."""
    return _json({"gap": {"maker": item.publisher, "from": item.first, "to": item.last}}) + b"\n"


class SubscriberTable:
    """All subscriptions of this process, and the inbound streams for them; times in ms."""

    def __init__(
        self,
        name: str,
        epoch: int,
        now: float,
        max_subscriptions: int = MAX_SUBSCRIPTIONS,
        fanout: Fanout | None = None,
    ) -> None:
        self.name, self.epoch, self.max_subscriptions = name, epoch, max_subscriptions
        self.fanout = fanout or Fanout()
        self.subscriptions: dict[int, Subscription] = {}
        self.live: dict[str, InboundStream] = {}
        self.replays: dict[tuple[str, int], tuple[InboundStream, Subscription]] = {}
        self.expected: frozenset[str] = frozenset()  # all configured members, alive or not
        self.acknowledged: list[int] = []  # newly acknowledged, in order; emptied by the caller
        self.outbox: list[tuple[str, Message]] = []
        self.counted: Counter[str] = Counter()
        self.unmatched_events = self.received_events = 0  # from other publishers: without a match here, and all
        self.filters: tuple[str, ...] = ()  # filters that publishers are asked for
        self._wanted: Predicate = FALSE  # the predicate of `filters`
        self._alive: dict[str, int] = {}
        self._interest = CombinedInterest()
        self._index = FilterIndex(max_filters=max(max_subscriptions, 1))
        self._last_number = self._last_version = 0
        self._inactive: dict[int, Subscription] = {}  # accepted, but not active yet
        self._unacknowledged: dict[int, Subscription] = {}
        self._activate_at = self._narrow_at = float("inf")
        self._last_tick_at = now

    # Calls of subscribers.

    def subscribe(self, now: float, text: str) -> int:
        """Start a subscription and return its number; nothing is sent to it until it is acknowledged.

        FilterError if the filter is invalid or there are too many subscriptions.
        """
        return self._add(now, text, None)

    def resume(self, now: float, text: str) -> int:
        """Start a subscription that continues from a cursor; InvalidCursorError or FilterError if it is invalid."""
        decoded = cursor.decode(text)
        return self._add(now, decoded.filter, dict(decoded.at))

    def _add(self, now: float, text: str, resume_from: dict[str, Position] | None) -> int:
        if len(self.subscriptions) >= self.max_subscriptions:
            raise FilterError(f"there are {self.max_subscriptions} subscriptions already")
        if len(text) > cursor.MAX_FILTER_CHARS:
            raise FilterError(f"a subscription's filter has up to {cursor.MAX_FILTER_CHARS} characters")
        predicate = schema.check(parse(text))
        self._last_number += 1
        sub = Subscription(self._last_number, text, predicate, now + CONFIRM_TIMEOUT_MS, resume_from)
        self._index.add(sub.number, predicate)
        self._index.remove(sub.number)  # raises if the index can't hold it; `_activate` adds it
        self.subscriptions[sub.number] = self._inactive[sub.number] = self._unacknowledged[sub.number] = sub
        self.fanout.join(sub.number)
        self._activate_at = min(self._activate_at, now + (BATCHING_MS if self.filters else 0.0))
        return sub.number

    def unsubscribe(self, now: float, number: int) -> bool:
        """End a subscription; return whether there was one."""
        sub = self.subscriptions.pop(number, None)
        if sub is None:
            return False
        self._inactive.pop(number, None)
        self._unacknowledged.pop(number, None)
        self.fanout.leave(number)
        self._index.remove(number)
        self._interest.remove(number)
        for publisher in list(sub.replays):
            self._end_replay(sub, publisher)
        self._narrow_at = min(self._narrow_at, now + (NARROW_DELAY_MS if self.subscriptions else 0.0))
        return True

    def cursor(self, number: int) -> str | None:
        """Return the cursor from which the subscription can be resumed; None if it would exceed its bounds."""
        sub = self.subscriptions[number]
        positions = dict(sub.resume_from or ())
        for publisher in self.live:
            if (position := self.position(sub, publisher)) is not None:
                positions[publisher] = position
        positions.update(self.fanout.pending(number))
        for publisher, (epoch, first) in sub.open_gaps.items():  # an open-ended gap is reported again
            positions[publisher] = min(positions.get(publisher, (epoch, first - 1)), (epoch, first - 1))
        return cursor.encode(sub.text, positions)

    # Positions.

    def position(self, sub: Subscription, publisher: str) -> Position | None:
        """Return the last position up to which a publisher's events were sent or reported as gaps; None: not known."""
        if (sid := sub.replays.get(publisher)) is not None:
            inbound = self.replays[publisher, sid][0]
            return inbound.epoch, inbound.position or 0
        if sub.resume_from is not None and publisher in sub.resume_from:
            return sub.resume_from[publisher]
        inbound = self.live.get(publisher)
        if inbound is None or inbound.position is None or not sub.active:
            return None
        return max((inbound.epoch, inbound.position), sub.sent_through.get(publisher, (0, 0)))

    # Members.

    def members(self, now: float, alive: dict[str, int]) -> None:
        """Update the members that are alive, this one included, with the epoch of each one's process."""
        self._alive = alive
        if not self.filters:
            return
        for name, epoch in alive.items():
            inbound = self.live.get(name)
            if inbound is None:
                self._add_publisher(now, name, epoch)
            elif epoch > inbound.epoch:
                self._publisher_restarted(now, inbound, epoch)
        for name, inbound in self.live.items():
            if name not in alive and not inbound.silent:
                self._mark_silent(inbound)

    def _version(self) -> int:
        self._last_version += 1
        return self._last_version

    def _add_publisher(self, now: float, name: str, epoch: int) -> None:
        """Request a new publisher's stream: from its process start if a subscription was acknowledged before, else from
        now on."""
        if len(self.live) >= MAX_PUBLISHERS:
            removable = next((publisher for publisher in self.live if publisher not in self._alive), None)
            if removable is None:
                self.counted["subscriptions_makers_refused"] += 1
                return
            del self.live[removable]
        any_acknowledged = any(sub.acknowledged for sub in self.subscriptions.values())
        self.live[name] = InboundStream(
            name,
            epoch,
            0,
            self.epoch,
            self._version(),
            self.filters,
            0 if any_acknowledged else None,
            now,
            request_at=now,
        )
        for sub in self.subscriptions.values():
            if sub.active and not sub.acknowledged:
                sub.unconfirmed.add(name)
                if sub.resume_from is not None:
                    sub.resume_from.setdefault(name, (0, 0))

    def _publisher_restarted(self, now: float, inbound: InboundStream, epoch: int) -> None:
        """Handle a publisher's restart: report the old process's remaining events as lost, request all new ones."""
        publisher, previous_epoch = inbound.publisher, inbound.epoch
        positions = {sub.number: self.position(sub, publisher) for sub in self.subscriptions.values()}
        was_started = inbound.position is not None
        inbound.epoch, inbound.position, inbound.silent, inbound.heard_at = (
            epoch,
            0 if was_started else None,
            False,
            now,
        )
        inbound.restart(now, self._version(), self.filters)
        for sub in self.subscriptions.values():
            position = positions[sub.number]
            if publisher in sub.replays:
                self._end_replay(sub, publisher)
            if position is None or position[0] >= epoch:
                continue  # position unknown, or its cursor is already of the new process
            sub.sent_through.pop(publisher, None)
            self._report_gap(sub, publisher, self._after(position), (epoch, 0))
            if sub.resume_from is not None:
                sub.resume_from.pop(publisher, None)
                if not was_started:
                    sub.resume_from[publisher] = (epoch, 0)
        self.counted["subscriptions_makers_renewed"] += previous_epoch != epoch

    # Incoming messages.

    def on_message(self, now: float, sender: str, epoch: int, message: EventBatch | UnknownStream) -> None:
        """Handle a publisher's message; `epoch` is that of its process."""
        if message.sid:
            self._on_replay_message(now, sender, epoch, message)
            return
        inbound = self.live.get(sender)
        if inbound is None or epoch < inbound.epoch:
            if inbound is None and isinstance(message, EventBatch):
                self.outbox.append((sender, StreamStop(0, message.version)))
            return
        if epoch > inbound.epoch:
            self._publisher_restarted(now, inbound, epoch)
            return
        if isinstance(message, UnknownStream):
            if message.version == inbound.version:
                inbound.restart(now, self._version(), inbound.filters)
            return
        was_confirmed, was_started = inbound.confirmed, inbound.position is not None
        if not inbound.accept(now, message):
            return
        was_heard, inbound.silent = not inbound.silent, False
        if not (was_heard and was_started and was_confirmed):
            self._close_gaps(inbound)
        if not (was_heard and was_confirmed):
            self._on_confirmed(now, inbound)
        for first, last, event in inbound.receive(now, message):
            if event is None:
                self._on_lost(inbound, first, last)
            else:
                self._on_event(inbound, first, event)
        self._catch_up(now, sender)

    def _on_event(self, inbound: InboundStream, number: int, event: Event) -> None:
        publisher, position = inbound.publisher, (inbound.epoch, number)
        matching = self._index.find(schema.row(publisher, event))
        if publisher != self.name:
            self.received_events += 1
            self.unmatched_events += not matching
        encoded = b""
        for key in matching:
            sub = self.subscriptions[key]  # type: ignore[index]
            if publisher in sub.replays or sub.resume_from is not None and publisher in sub.resume_from:
                continue  # its replay delivers the event in order
            if publisher in sub.sent_through:
                if position <= sub.sent_through[publisher]:
                    continue
                del sub.sent_through[publisher]
            encoded = encoded or event_line(publisher, inbound.epoch, number, event)
            self.fanout.offer(sub.number, BacklogItem(publisher, position, position, encoded))

    def _on_lost(self, inbound: InboundStream, first: int, last: int) -> None:
        self.counted["subscriptions_lost_ranges"] += 1
        for sub in self.subscriptions.values():
            if (
                not sub.active
                or inbound.publisher in sub.replays
                or sub.resume_from is not None
                and inbound.publisher in sub.resume_from
            ):
                continue
            gap_start = max((inbound.epoch, first), self._after(sub.sent_through.get(inbound.publisher, (0, 0))))
            if gap_start <= (inbound.epoch, last):
                self._report_gap(sub, inbound.publisher, gap_start, (inbound.epoch, last))

    @staticmethod
    def _after(position: Position) -> Position:
        return position[0], position[1] + 1

    # Gaps.

    def _report_gap(self, sub: Subscription, publisher: str, first: Position, last: Position | None) -> None:
        """Queue a gap, which replaces an open-ended one of this publisher; `last` None: open-ended."""
        if publisher in sub.open_gaps:
            first = min(first, sub.open_gaps.pop(publisher))
        if last is None:
            sub.open_gaps[publisher] = first
        self.counted["subscriptions_gaps"] += 1
        self.fanout.offer(sub.number, BacklogItem(publisher, first, last))

    def _mark_silent(self, inbound: InboundStream) -> None:
        """Report an open-ended gap, as a silent publisher's events since its last message are unknown."""
        inbound.silent = True
        for sub in self.subscriptions.values():
            if sub.acknowledged and inbound.publisher not in sub.open_gaps:
                self._report_gap(
                    sub, inbound.publisher, self._after(self.position(sub, inbound.publisher) or (0, 0)), None
                )

    def _close_gaps(self, inbound: InboundStream) -> None:
        """End the open-ended gaps of a publisher that is heard again or for the first time.

        The stream then delivers the missed events or reports them as lost."""
        publisher = inbound.publisher
        for sub in self.subscriptions.values():
            if (
                publisher in sub.open_gaps
                and sub.active
                and (sub.resume_from is None or publisher not in sub.resume_from)
            ):
                position = self.position(sub, publisher)
                assert position is not None
                self._report_gap(sub, publisher, self._after(position), position)

    # Activation, replays and acknowledgement.

    def _activate(self, now: float) -> None:
        """Request the filters of all inactive subscriptions together."""
        self._activate_at = float("inf")
        activated, self._inactive = list(self._inactive.values()), {}
        for sub in activated:
            self._interest.add(sub.number, sub.predicate)
            self._index.add(sub.number, sub.predicate)
            sub.active = True
        if not self.filters or not all(covers(self._wanted, sub.predicate) for sub in activated):
            self._request_filters(now, self._interest.filters())
        for sub in activated:
            sub.unconfirmed = {
                publisher
                for publisher, inbound in self.live.items()
                if publisher in self._alive and not (inbound.confirmed and not inbound.silent)
            }
            for publisher, inbound in self.live.items():
                if sub.resume_from is not None:  # the cursor's coordinator did not know this publisher: from its start
                    sub.resume_from.setdefault(publisher, (0, 0))
                if inbound.confirmed:
                    self._join_stream(sub, inbound, now)

    def _request_filters(self, now: float, filters: tuple[str, ...]) -> None:
        """Request other filters from the current position of each stream on."""
        if filters == self.filters:
            return
        self.filters, self._wanted = filters, parse_summary(filters)
        self.counted["subscriptions_interests"] += 1
        if not filters:
            for name, inbound in self.live.items():
                self.outbox.append((name, StreamStop(0, inbound.version)))
            self.live.clear()
            return
        for inbound in self.live.values():
            inbound.restart(now, self._version(), filters)
        self.members(now, self._alive)

    def _on_confirmed(self, now: float, inbound: InboundStream) -> None:
        """Handle a publisher's confirmation of the filters of all active subscriptions."""
        for sub in self.subscriptions.values():
            if sub.active:
                sub.unconfirmed.discard(inbound.publisher)
                self._join_stream(sub, inbound, now)

    def _join_stream(self, sub: Subscription, inbound: InboundStream, now: float) -> None:
        """Join a publisher's stream at the cursor's position, with a replay if that is behind the live stream."""
        publisher = inbound.publisher
        resume_from = sub.resume_from.get(publisher) if sub.resume_from is not None else None
        if resume_from is None or sub.resume_from is None or inbound.position is None:
            return
        if resume_from[0] > inbound.epoch:
            return  # the cursor is of a later process, which is not known here yet
        sub.resume_from.pop(publisher, None)
        if resume_from[0] < inbound.epoch:
            self._report_gap(sub, publisher, self._after(resume_from), (inbound.epoch, 0))
            resume_from = (inbound.epoch, 0)
        elif publisher in sub.open_gaps:
            self._report_gap(sub, publisher, self._after(resume_from), resume_from)
        if resume_from[1] >= inbound.position:
            sub.sent_through[publisher] = resume_from
            return
        self._last_version += 1
        sid = self._last_version
        replay = InboundStream(
            publisher, inbound.epoch, sid, self.epoch, sid, self._summary_of(sub), resume_from[1], now, request_at=now
        )
        self.replays[publisher, sid] = replay, sub
        sub.replays[publisher] = sid
        self.counted["subscriptions_replays"] += 1

    @staticmethod
    def _summary_of(sub: Subscription) -> tuple[str, ...]:
        interest = CombinedInterest()
        interest.add(0, sub.predicate)
        return interest.filters()

    def _on_replay_message(self, now: float, sender: str, epoch: int, message: EventBatch | UnknownStream) -> None:
        replay, sub = self.replays.get((sender, message.sid), (None, None))
        if replay is None or sub is None or epoch != replay.epoch:
            if isinstance(message, EventBatch):
                self.outbox.append((sender, StreamStop(message.sid, message.version)))
            return
        if isinstance(message, UnknownStream):
            if message.version == replay.version:
                replay.restart(now, self._version(), replay.filters)
            return
        if sender in sub.open_gaps:  # the cursor stays before an open-ended gap: events sent now would be repeated
            replay.heard_at = now  # the publisher resends this after the live stream has closed the gap
            return
        for first, last, event in replay.receive(now, message) if replay.accept(now, message) else ():
            if event is None:
                self._report_gap(sub, sender, (epoch, first), (epoch, last))
            elif sub.predicate.truth(schema.row(sender, event)) is True:
                self.fanout.offer(
                    sub.number,
                    BacklogItem(sender, (epoch, first), (epoch, first), event_line(sender, epoch, first, event)),
                )
            else:
                self.unmatched_events += sender != self.name
            self.received_events += event is not None and sender != self.name
        self._catch_up(now, sender, sub)

    def _catch_up(self, now: float, publisher: str, sub: Subscription | None = None) -> None:
        """End replays that have reached the live stream's position; the live stream continues from there."""
        inbound = self.live.get(publisher)
        if inbound is None or inbound.position is None or not inbound.confirmed:
            return
        for candidate in (
            [sub]
            if sub is not None
            else [replaying for (name, _), (_, replaying) in self.replays.items() if name == publisher]
        ):
            replay = self.replays[publisher, candidate.replays[publisher]][0]
            if replay.epoch == inbound.epoch and (replay.position or 0) >= inbound.position:
                candidate.sent_through[publisher] = replay.epoch, replay.position or 0
                self._end_replay(candidate, publisher)

    def _end_replay(self, sub: Subscription, publisher: str) -> None:
        replay, _ = self.replays.pop((publisher, sub.replays.pop(publisher)))
        self.outbox.append((publisher, StreamStop(replay.sid, replay.version)))

    def _acknowledge(self, now: float, sub: Subscription) -> None:
        """Acknowledge a subscription: from here on each event is sent or reported as missing."""
        del self._unacknowledged[sub.number]
        sub.acknowledged = True
        self.acknowledged.append(sub.number)
        silent = sub.unconfirmed | {publisher for publisher, inbound in self.live.items() if inbound.silent}
        silent |= {publisher for publisher in (*(sub.resume_from or ()), *self.expected) if publisher not in self.live}
        for publisher in sorted(silent):
            if publisher not in sub.open_gaps:
                self._report_gap(sub, publisher, self._after(self.position(sub, publisher) or (0, 0)), None)
        sub.unconfirmed.clear()

    # Time.

    def tick(self, now: float) -> None:
        """Do what is due at `now`, in ms; messages go to `outbox`, acknowledgements to `acknowledged`."""
        if now - self._last_tick_at > PAUSE_DETECTION_MS:
            for inbound in self._inbound_streams():
                inbound.heard_at += now - self._last_tick_at
        self._last_tick_at = now
        if now >= self._activate_at:
            self._activate(now)
        if now >= self._narrow_at:
            self._narrow_at = float("inf")
            self._request_filters(now, self._interest.filters(narrow=True))
        for inbound in list(self.live.values()):
            if inbound.stalled(now):
                inbound.restart(now, self._version(), inbound.filters)
            if not inbound.silent and now - inbound.heard_at >= stream.SILENT_AFTER_HEARTBEATS * inbound.heartbeat_ms:
                self._mark_silent(inbound)
            self._post(inbound.publisher, inbound.tick(now))
        for (publisher, _), (replay, sub) in list(self.replays.items()):
            if replay.stalled(now):
                replay.restart(now, self._version(), replay.filters)
            inbound = self.live.get(publisher)
            if (
                now - replay.heard_at >= REPLAY_STALL_MS
                and inbound is not None
                and not inbound.silent
                and inbound.confirmed
            ):
                # Probably the publisher has no free stream for the replay.
                live_position = inbound.epoch, inbound.position or 0
                self._report_gap(sub, publisher, (replay.epoch, (replay.position or 0) + 1), live_position)
                self._end_replay(sub, publisher)
                continue
            self._post(publisher, replay.tick(now))
        for sub in list(self._unacknowledged.values()):
            if sub.active and (not sub.unconfirmed or now >= sub.deadline):
                self._acknowledge(now, sub)

    def _inbound_streams(self) -> Iterable[InboundStream]:
        yield from self.live.values()
        for replay, _ in self.replays.values():
            yield replay

    def _post(self, publisher: str, message: Message | None) -> None:
        if message is not None and (publisher in self._alive or not isinstance(message, EventAck)):
            self.outbox.append((publisher, message))

    def next_tick_at(self) -> float:
        """Return when `tick` must be called next, in ms: within MAX_TICK_INTERVAL_MS while there are subscriptions."""
        if not self.subscriptions and not self.live:
            return min(self._activate_at, self._narrow_at)
        next_at = min(self._activate_at, self._narrow_at, self._last_tick_at + MAX_TICK_INTERVAL_MS)
        for inbound in self._inbound_streams():
            next_at = min(next_at, inbound.next_tick_at())
        return next_at
