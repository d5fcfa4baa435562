"""The subscribers of this coordinator: who is sent what, from when on, and what is reported to be missing.

Owns each subscription from its call to its end, which streams it takes part in, when it is acknowledged, its gaps and
its cursor. It must never acknowledge one before each member known to be alive has confirmed that it sends what the
subscription wants, or the member's silence stands as a gap; never send an event twice or out of its maker's order; and
never let a range of a maker's numbers go by that was neither taken nor reported as a gap. No I/O, no clock.

A subscriber's position at a maker is that of the live stream; behind that, that of a replay of its own, which ends as
soon as it has caught up; before both, that of the cursor it came with.
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
from frostspindle.subscriptions.cursor import Pos
from frostspindle.subscriptions.fanout import BacklogItem, Fanout
from frostspindle.subscriptions.interest import CombinedInterest, understood
from frostspindle.subscriptions.schema import Event
from frostspindle.subscriptions.stream import InboundStream
from frostspindle.subscriptions.wire import EventAck, EventBatch, Message, StreamStop, UnknownStream

MOST = 1_000  # subscriptions
CONFIRM_MS = 3_000.0  # who has not confirmed after this is told as a gap
GATHER_MS = 50.0  # changes of what is wanted are told together
NARROW_MS = 5_000.0  # what nobody wants any more is still asked for so long
REPLAY_MS = 10_000.0  # a replay that stands still for so long is told as a gap
MOST_MAKERS = 1_024
ASLEEP_MS = 1_000.0  # so long without a tick: we were stopped, not the others
SLEEPY_MS = 250.0  # a tick comes so often while there are subscriptions
_json = msgspec.json.Encoder().encode


@dataclass(slots=True)
class Subscription:
    """One subscriber's filter, and its position at each maker."""

    number: int
    text: str
    predicate: Predicate
    deadline: float
    came: dict[str, Pos] | None  # by the cursor, at makers whose stream it has not joined yet; None: from now on
    entered: bool = False  # what it wants is asked for
    need: set[str] = field(default_factory=set)  # makers that have not confirmed
    acknowledged: bool = False
    skip: dict[str, Pos] = field(default_factory=dict)  # already told up to here, where the live stream is behind
    replays: dict[str, int] = field(default_factory=dict)  # by maker, the stream of its own
    open: dict[str, Pos] = field(default_factory=dict)  # gaps without an end, by maker: where they begin


def line(maker: str, epoch: int, number: int, event: Event) -> bytes:
    """Return an event as a line of JSON, as its subscribers read it, with its maker, epoch and number."""
    at = datetime.fromtimestamp(event.at_ms / 1000.0, UTC).isoformat(timespec="milliseconds").replace("+00:00", "Z")
    return (
        _json(
            {
                "event": {
                    "kind": schema.NAMES[event.kind],
                    "maker": maker,
                    "at": at,
                    **dict(zip(schema.COLUMNS[event.kind], event.values, strict=True)),
                },
                "of": [maker, epoch, number],
            }
        )
        + b"\n"
    )


def gap_line(item: BacklogItem) -> bytes:
    """Return a gap as a line of JSON: maker, first and last position, both included; `to` null: no end yet."""
    return _json({"gap": {"maker": item.maker, "from": item.first, "to": item.last}}) + b"\n"


class SubscriberTable:
    """All subscriptions of this process, and the streams that they need; times in ms."""

    def __init__(self, name: str, epoch: int, now: float, most: int = MOST, fanout: Fanout | None = None) -> None:
        self.name, self.epoch, self.most = name, epoch, most
        self.fanout = fanout or Fanout()
        self.all: dict[int, Subscription] = {}
        self.live: dict[str, InboundStream] = {}
        self.replays: dict[tuple[str, int], tuple[InboundStream, Subscription]] = {}
        self.expected: frozenset[str] = frozenset()  # members that there are, known to be alive or not
        self.acknowledged: list[int] = []  # to be told so, in this order; the caller empties it
        self.out: list[tuple[str, Message]] = []
        self.counted: Counter[str] = Counter()
        self.needless = self.taken = 0  # events that came from others, and those of them that nobody here wanted
        self.parts: tuple[str, ...] = ()  # what makers are asked for
        self._wanted: Predicate = FALSE  # the same
        self._alive: dict[str, int] = {}
        self._interest = CombinedInterest()
        self._index = FilterIndex(most=max(most, 1))
        self._numbers = self._versions = 0
        self._waiting: dict[int, Subscription] = {}  # not entered yet
        self._unacknowledged: dict[int, Subscription] = {}
        self._enter_at = self._narrow_at = float("inf")
        self._ticked = now

    # What subscribers call.

    def subscribe(self, now: float, text: str) -> int:
        """Start a subscription and return its number; nothing is sent to it until it is acknowledged.

        FilterError if the filter can't be taken or there are too many subscriptions.
        """
        return self._take(now, text, None)

    def resume(self, now: float, text: str) -> int:
        """Start a subscription that goes on from a cursor; BadCursor or FilterError if it can't be taken."""
        held = cursor.decode(text)
        return self._take(now, held.filter, dict(held.at))

    def _take(self, now: float, text: str, came: dict[str, Pos] | None) -> int:
        if len(self.all) >= self.most:
            raise FilterError(f"there are {self.most} subscriptions already")
        if len(text) > cursor.MOST_FILTER:
            raise FilterError(f"a subscription's filter has up to {cursor.MOST_FILTER} characters")
        predicate = schema.check(parse(text))
        self._numbers += 1
        sub = Subscription(self._numbers, text, predicate, now + CONFIRM_MS, came)
        self._index.add(sub.number, predicate)
        self._index.remove(sub.number)  # whether it can be taken at all; it stands there from `_enter` on
        self.all[sub.number] = self._waiting[sub.number] = self._unacknowledged[sub.number] = sub
        self.fanout.join(sub.number)
        self._enter_at = min(self._enter_at, now + (GATHER_MS if self.parts else 0.0))
        return sub.number

    def unsubscribe(self, now: float, number: int) -> bool:
        """End a subscription; return whether there was one."""
        sub = self.all.pop(number, None)
        if sub is None:
            return False
        self._waiting.pop(number, None)
        self._unacknowledged.pop(number, None)
        self.fanout.leave(number)
        self._index.remove(number)
        self._interest.remove(number)
        for maker in list(sub.replays):
            self._end_replay(sub, maker)
        self._narrow_at = min(self._narrow_at, now + (NARROW_MS if self.all else 0.0))
        return True

    def cursor(self, number: int) -> str | None:
        """Return the cursor by which the subscription could go on now; None where it would exceed its bounds."""
        sub = self.all[number]
        at = dict(sub.came or ())
        for maker in self.live:
            if (position := self.position(sub, maker)) is not None:
                at[maker] = position
        at.update(self.fanout.pending(number))
        for maker, (epoch, first) in sub.open.items():  # what it has been told of without an end is told anew
            at[maker] = min(at.get(maker, (epoch, first - 1)), (epoch, first - 1))
        return cursor.encode(sub.text, at)

    # Where a subscription stands.

    def position(self, sub: Subscription, maker: str) -> Pos | None:
        """Return up to where all of a maker's events were sent, or reported as missing; None: it is not known."""
        if (sid := sub.replays.get(maker)) is not None:
            inflow = self.replays[maker, sid][0]
            return inflow.epoch, inflow.pos or 0
        if sub.came is not None and maker in sub.came:
            return sub.came[maker]
        inflow = self.live.get(maker)
        if inflow is None or inflow.pos is None or not sub.entered:
            return None
        return max((inflow.epoch, inflow.pos), sub.skip.get(maker, (0, 0)))

    # Members.

    def members(self, now: float, alive: dict[str, int]) -> None:
        """Take in which members are alive, this one included, with the epoch of each one's process."""
        self._alive = alive
        if not self.parts:
            return
        for name, epoch in alive.items():
            inflow = self.live.get(name)
            if inflow is None:
                self._join(now, name, epoch)
            elif epoch > inflow.epoch:
                self._renewed(now, inflow, epoch)
        for name, inflow in self.live.items():
            if name not in alive and not inflow.silent:
                self._silent(inflow)

    def _version(self) -> int:
        self._versions += 1
        return self._versions

    def _join(self, now: float, name: str, epoch: int) -> None:
        """A maker whose stream was not wanted before. If somebody subscribed before it was known, its events since its
        start are meant."""
        if len(self.live) >= MOST_MAKERS:
            dead = next((n for n in self.live if n not in self._alive), None)
            if dead is None:
                self.counted["subscriptions_makers_refused"] += 1
                return
            del self.live[dead]
        earlier = any(sub.acknowledged for sub in self.all.values())
        self.live[name] = InboundStream(
            name, epoch, 0, self.epoch, self._version(), self.parts, 0 if earlier else None, now, ask_at=now
        )
        for sub in self.all.values():
            if sub.entered and not sub.acknowledged:
                sub.need.add(name)
                if sub.came is not None:
                    sub.came.setdefault(name, (0, 0))

    def _renewed(self, now: float, inflow: InboundStream, epoch: int) -> None:
        """Another process of a maker: what the earlier one still had is told as lost; all of the new one is meant."""
        maker, before = inflow.maker, inflow.epoch
        known = {sub.number: self.position(sub, maker) for sub in self.all.values()}
        begun = inflow.pos is not None
        inflow.epoch, inflow.pos, inflow.silent, inflow.heard = epoch, 0 if begun else None, False, now
        inflow.change(now, self._version(), self.parts)
        for sub in self.all.values():
            position = known[sub.number]
            if maker in sub.replays:
                self._end_replay(sub, maker)
            if position is None or position[0] >= epoch:
                continue  # nothing is known of it, or by its cursor more than we knew
            sub.skip.pop(maker, None)
            self._gap(sub, maker, self._after(position), (epoch, 0))
            if sub.came is not None:
                sub.came.pop(maker, None)
                if not begun:
                    sub.came[maker] = (epoch, 0)
        self.counted["subscriptions_makers_renewed"] += before != epoch

    # What comes.

    def hear(self, now: float, who: str, epoch: int, message: EventBatch | UnknownStream) -> None:
        """Take in a maker's message; `epoch` is that of its process."""
        if message.sid:
            self._hear_replay(now, who, epoch, message)
            return
        inflow = self.live.get(who)
        if inflow is None or epoch < inflow.epoch:
            if inflow is None and isinstance(message, EventBatch):
                self.out.append((who, StreamStop(0, message.version)))
            return
        if epoch > inflow.epoch:
            self._renewed(now, inflow, epoch)
            return
        if isinstance(message, UnknownStream):
            if message.version == inflow.version:
                inflow.change(now, self._version(), inflow.parts)
            return
        confirmed, begun = inflow.confirmed, inflow.pos is not None
        if not inflow.admit(now, message):
            return
        heard, inflow.silent = not inflow.silent, False
        if not (heard and begun and confirmed):
            self._close(inflow)
        if not (heard and confirmed):
            self._confirmed(now, inflow)
        for first, last, event in inflow.take(now, message):
            if event is None:
                self._lost(inflow, first, last)
            else:
                self._event(inflow, first, event)
        self._catch_up(now, who)

    def _event(self, inflow: InboundStream, number: int, event: Event) -> None:
        maker, at = inflow.maker, (inflow.epoch, number)
        found = self._index.find(schema.row(maker, event))
        if maker != self.name:
            self.taken += 1
            self.needless += not found
        words = b""
        for key in found:
            sub = self.all[key]  # type: ignore[index]
            if maker in sub.replays or sub.came is not None and maker in sub.came:
                continue  # a stream of its own brings it, in order
            if maker in sub.skip:
                if at <= sub.skip[maker]:
                    continue
                del sub.skip[maker]
            words = words or line(maker, inflow.epoch, number, event)
            self.fanout.offer(sub.number, BacklogItem(maker, at, at, words))

    def _lost(self, inflow: InboundStream, first: int, last: int) -> None:
        self.counted["subscriptions_lost_ranges"] += 1
        for sub in self.all.values():
            if not sub.entered or inflow.maker in sub.replays or sub.came is not None and inflow.maker in sub.came:
                continue
            begin = max((inflow.epoch, first), self._after(sub.skip.get(inflow.maker, (0, 0))))
            if begin <= (inflow.epoch, last):
                self._gap(sub, inflow.maker, begin, (inflow.epoch, last))

    @staticmethod
    def _after(at: Pos) -> Pos:
        return at[0], at[1] + 1

    # Gaps.

    def _gap(self, sub: Subscription, maker: str, first: Pos, last: Pos | None) -> None:
        """Tell one; an open one of this maker ends with it."""
        if maker in sub.open:
            first = min(first, sub.open.pop(maker))
        if last is None:
            sub.open[maker] = first
        self.counted["subscriptions_gaps"] += 1
        self.fanout.offer(sub.number, BacklogItem(maker, first, last))

    def _silent(self, inflow: InboundStream) -> None:
        """Nothing is heard of a maker: nobody knows what it has seen since."""
        inflow.silent = True
        for sub in self.all.values():
            if sub.acknowledged and inflow.maker not in sub.open:
                self._gap(sub, inflow.maker, self._after(self.position(sub, inflow.maker) or (0, 0)), None)

    def _close(self, inflow: InboundStream) -> None:
        """A maker is heard again, or for the first time: gaps without an end have one; what was missed follows, or is
        told as lost."""
        maker = inflow.maker
        for sub in self.all.values():
            if maker in sub.open and sub.entered and (sub.came is None or maker not in sub.came):
                at = self.position(sub, maker)
                assert at is not None
                self._gap(sub, maker, self._after(at), at)

    # The life of a subscription.

    def _enter(self, now: float) -> None:
        """Ask for what the waiting ones want, all at once."""
        self._enter_at = float("inf")
        new, self._waiting = list(self._waiting.values()), {}
        for sub in new:
            self._interest.add(sub.number, sub.predicate)
            self._index.add(sub.number, sub.predicate)
            sub.entered = True
        if not self.parts or not all(covers(self._wanted, sub.predicate) for sub in new):
            self._ask(now, self._interest.parts())
        for sub in new:
            sub.need = {
                maker
                for maker, inflow in self.live.items()
                if maker in self._alive and not (inflow.confirmed and not inflow.silent)
            }
            for maker, inflow in self.live.items():
                if sub.came is not None:  # what the cursor's coordinator did not know of is meant from its start
                    sub.came.setdefault(maker, (0, 0))
                if inflow.confirmed:
                    self._settle(sub, inflow, now)

    def _ask(self, now: float, parts: tuple[str, ...]) -> None:
        """From where each stream stands, want something else."""
        if parts == self.parts:
            return
        self.parts, self._wanted = parts, understood(parts)
        self.counted["subscriptions_interests"] += 1
        if not parts:
            for name, inflow in self.live.items():
                self.out.append((name, StreamStop(0, inflow.version)))
            self.live.clear()
            return
        for inflow in self.live.values():
            inflow.change(now, self._version(), parts)
        self.members(now, self._alive)

    def _confirmed(self, now: float, inflow: InboundStream) -> None:
        """A maker sends what all who have entered want."""
        for sub in self.all.values():
            if sub.entered:
                sub.need.discard(inflow.maker)
                self._settle(sub, inflow, now)

    def _settle(self, sub: Subscription, inflow: InboundStream, now: float) -> None:
        """Join a maker's stream from where the cursor stands, by a replay if that is behind."""
        maker = inflow.maker
        came = sub.came.get(maker) if sub.came is not None else None
        if came is None or sub.came is None or inflow.pos is None:
            return
        if came[0] > inflow.epoch:
            return  # the cursor knows a later process than we do; it will be heard of
        sub.came.pop(maker, None)
        if came[0] < inflow.epoch:
            self._gap(sub, maker, self._after(came), (inflow.epoch, 0))
            came = (inflow.epoch, 0)
        elif maker in sub.open:
            self._gap(sub, maker, self._after(came), came)
        if came[1] >= inflow.pos:
            sub.skip[maker] = came
            return
        self._versions += 1
        sid = self._versions
        replay = InboundStream(maker, inflow.epoch, sid, self.epoch, sid, self._own(sub), came[1], now, ask_at=now)
        self.replays[maker, sid] = replay, sub
        sub.replays[maker] = sid
        self.counted["subscriptions_replays"] += 1

    @staticmethod
    def _own(sub: Subscription) -> tuple[str, ...]:
        one = CombinedInterest()
        one.add(0, sub.predicate)
        return one.parts()

    def _hear_replay(self, now: float, who: str, epoch: int, message: EventBatch | UnknownStream) -> None:
        replay, sub = self.replays.get((who, message.sid), (None, None))
        if replay is None or sub is None or epoch != replay.epoch:
            if isinstance(message, EventBatch):
                self.out.append((who, StreamStop(message.sid, message.version)))
            return
        if isinstance(message, UnknownStream):
            if message.version == replay.version:
                replay.change(now, self._version(), replay.parts)
            return
        if who in sub.open:  # the cursor stays before a gap without an end, so that what is told now came twice
            replay.heard = now  # the maker sends it again, once the live stream has closed the gap
            return
        for first, last, event in replay.take(now, message) if replay.admit(now, message) else ():
            if event is None:
                self._gap(sub, who, (epoch, first), (epoch, last))
            elif sub.predicate.truth(schema.row(who, event)) is True:
                self.fanout.offer(
                    sub.number, BacklogItem(who, (epoch, first), (epoch, first), line(who, epoch, first, event))
                )
            else:
                self.needless += who != self.name
            self.taken += event is not None and who != self.name
        self._catch_up(now, who, sub)

    def _catch_up(self, now: float, maker: str, sub: Subscription | None = None) -> None:
        """A replay that has come to where the live stream stands ends, and the subscription goes on with that."""
        inflow = self.live.get(maker)
        if inflow is None or inflow.pos is None or not inflow.confirmed:
            return
        for one in [sub] if sub is not None else [s for (m, _), (_, s) in self.replays.items() if m == maker]:
            replay = self.replays[maker, one.replays[maker]][0]
            if replay.epoch == inflow.epoch and (replay.pos or 0) >= inflow.pos:
                one.skip[maker] = replay.epoch, replay.pos or 0
                self._end_replay(one, maker)

    def _end_replay(self, sub: Subscription, maker: str) -> None:
        replay, _ = self.replays.pop((maker, sub.replays.pop(maker)))
        self.out.append((maker, StreamStop(replay.sid, replay.version)))

    def _acknowledge(self, now: float, sub: Subscription) -> None:
        """From here on the subscriber is told all, or what is missing."""
        del self._unacknowledged[sub.number]
        sub.acknowledged = True
        self.acknowledged.append(sub.number)
        mute = sub.need | {maker for maker, inflow in self.live.items() if inflow.silent}
        mute |= {maker for maker in (*(sub.came or ()), *self.expected) if maker not in self.live}
        for maker in sorted(mute):
            if maker not in sub.open:
                self._gap(sub, maker, self._after(self.position(sub, maker) or (0, 0)), None)
        sub.need.clear()

    # Time.

    def tick(self, now: float) -> None:
        """Do whatever is due at `now`, in ms; messages are left in `out`, acknowledgements in `acknowledged`."""
        if now - self._ticked > ASLEEP_MS:
            for inflow in self._inflows():
                inflow.heard += now - self._ticked
        self._ticked = now
        if now >= self._enter_at:
            self._enter(now)
        if now >= self._narrow_at:
            self._narrow_at = float("inf")
            self._ask(now, self._interest.parts(narrow=True))
        for inflow in list(self.live.values()):
            if inflow.stuck(now):
                inflow.change(now, self._version(), inflow.parts)
            if not inflow.silent and now - inflow.heard >= stream.SILENT_BEATS * inflow.period:
                self._silent(inflow)
            self._say(inflow.maker, inflow.tick(now))
        for (maker, _), (replay, sub) in list(self.replays.items()):
            if replay.stuck(now):
                replay.change(now, self._version(), replay.parts)
            inflow = self.live.get(maker)
            if now - replay.heard >= REPLAY_MS and inflow is not None and not inflow.silent and inflow.confirmed:
                at = inflow.epoch, inflow.pos or 0  # the maker has no room for it
                self._gap(sub, maker, (replay.epoch, (replay.pos or 0) + 1), at)
                self._end_replay(sub, maker)
                continue
            self._say(maker, replay.tick(now))
        for sub in list(self._unacknowledged.values()):
            if sub.entered and (not sub.need or now >= sub.deadline):
                self._acknowledge(now, sub)

    def _inflows(self) -> Iterable[InboundStream]:
        yield from self.live.values()
        for replay, _ in self.replays.values():
            yield replay

    def _say(self, maker: str, message: Message | None) -> None:
        if message is not None and (maker in self._alive or not isinstance(message, EventAck)):
            self.out.append((maker, message))

    def due(self) -> float:
        """Return when `tick` must be called next, in ms: within SLEEPY_MS while there are subscriptions or streams."""
        if not self.all and not self.live:
            return min(self._enter_at, self._narrow_at)
        at = min(self._enter_at, self._narrow_at, self._ticked + SLEEPY_MS)
        for inflow in self._inflows():
            at = min(at, inflow.due())
        return at
