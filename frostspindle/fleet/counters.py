"""Counts that the fleet sums up: G- and PN-counters of each process, merged by join, sent on as deltas.

Owns what each origin (a name, the epoch of its process, and a stream of its counts) has counted, in all and by window,
and how old the word on it is. It must never count an origin twice or let a count fall, and never keep more than it has
bounds for: what is turned away is counted. Times are ms; windows are numbered by Unix time.

An origin's counts only grow, so the join of two states is the greater of each value: merging is commutative,
associative and idempotent, and a message may come twice, late or never. A delta names the version that it stands on;
who lacks that one still takes its values, but keeps the older version until the whole row comes.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b

from frostspindle.fleet import wire
from frostspindle.fleet.gossip_buffer import GossipBuffer
from frostspindle.fleet.wire import CounterRow

MOST_ORIGINS, MOST_STREAMS, MOST_KEYS = 8_192, 64, 20  # a whole stream fits into one datagram
KEEP = 3  # windows of each key
PLACES = 8  # so many places share a range, or up to twice that
MOST_MARKED = 120  # a range that holds more is asked for whole
TOO_MANY = b"\xff\0\0"
YOUNG_MS = 500.0  # times log10 of all names: a row written so lately is on its way to the asker as news
AHEAD, SURE = 8, 0b1110  # who seems ahead by no more is taken to be, if the salt has any of these bits
MASK = 2**64 - 1
EPOCHS = 8  # processes of one name whose counts are kept
RELAYS = 2  # times that a row is passed on by each; who misses it that way compares
BACK_MS = 4_000.0  # a delta spans the versions of so long: who missed some of them can stand on it, and passes it on
WHOLE_EVERY = 8  # so often an origin sends its whole row instead of a delta
PUBLISH_MS = 1_000.0  # how often an origin writes at the most
ALL, STEADY = 30.0, 4.0  # rows a second of the whole fleet: so many, or STEADY times log2 of its size if that is more

Key = tuple[str, int]  # name, window; window 0: in all
Place = tuple[str, int, int]  # name, epoch, stream


@dataclass(slots=True)
class CounterOrigin:
    """What is known of one stream of one origin's counts."""

    values: dict[Key, tuple[int, int]] = field(default_factory=dict)
    version: int = 0
    made: float = 0.0  # on the own clock
    position: int = 0  # among all places
    digest: int | None = None  # of version and counts in all; None: to be made anew


@lru_cache(256)
def interval(size: int) -> float:
    """Return how often, in ms, an origin writes in a fleet of `size`: the whole fleet's rows a second grow with log2 of
    it only.
    """
    return PUBLISH_MS * max(1.0, size / max(ALL, STEADY * size.bit_length()))


@lru_cache(MOST_ORIGINS)
def _position(place: Place) -> int:
    return _hash(wire.encode(place)) >> 64 - wire.SPAN_BITS


def _hash(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=8).digest())


def _byte(check: int, salt: int) -> int:
    return (check * salt & MASK) >> 56


class FleetCounters:
    """All origins' counts (grow-only, by window and in all) as one process knows them."""

    def __init__(self, name: str, epoch: int, now: float) -> None:
        self.name, self.epoch = name, epoch
        self.origins: dict[Place, CounterOrigin] = {}
        self._order: list[tuple[int, Place, CounterOrigin]] = []  # by position
        self._epochs: dict[str, dict[int, int]] = {}  # by name: how many streams of each epoch
        self._told: dict[int, dict[Key, tuple[int, int]]] = {}  # own counts as last written, by stream
        self._own: dict[int, CounterOrigin] = {}  # by stream
        self._due: tuple[int, float] = (0, 0.0)  # for this size of the fleet; size 0: to be made anew
        self._take((name, epoch, 0), now)
        self.count: Callable[[str], None] = lambda what: None
        self._changed: dict[int, dict[Key, int]] = {0: {}}  # by stream: the version in which a key was last written
        self._news: GossipBuffer[Place, tuple[int, tuple[Key, ...], int]] = GossipBuffer()  # base, keys, version
        self.pending: Collection[Place] = self._news.keys  # whose rows are to be passed on, as that changes
        self._window = 0
        self._silent = False  # nothing was written when it was last due
        self._published, self._paced = now, PUBLISH_MS  # when it was last due to write, and how often then
        self._phase = _position((name, epoch, 0)) / (1 << wire.SPAN_BITS)

    # Own counts.

    def add(self, key: str, plus: int = 0, minus: int = 0, window: int = 0, stream: int = 0) -> None:
        """Add to a count; ValueError for negative numbers or a stream out of range.

        With MOST_KEYS keys a new one is dropped and that is counted.
        """
        if plus < 0 or minus < 0 or not 0 <= stream < MOST_STREAMS:
            raise ValueError("counts only grow, in streams from 0 to 63")
        known = self._own.get(stream) or self._take((self.name, self.epoch, stream), self._published)
        mine, place = known.values, (key, window)
        if (old := mine.get(place)) is not None:
            mine[place] = (old[0] + plus, old[1] + minus)
        elif len(mine) < MOST_KEYS:
            mine[place] = (plus, minus)
        else:
            self.count("fleet_keys_full")
            return
        self._changed.setdefault(stream, {})[place] = known.version + 1

    def publish(self, now: float, size: int) -> None:
        """Write new versions of changed streams, if it is time.

        Of stream 0 also when nothing has changed, to show that we are alive (in a large fleet every other time only).
        """
        if now < self.due(size):
            return
        self._published, self._paced, self._due = now, interval(size), (0, 0.0)
        places = {stream: (self.name, self.epoch, stream) for stream in self._changed}
        written = [
            stream
            for stream, changed in self._changed.items()
            if self.origins[places[stream]].version + 1 in changed.values()
        ]
        idle = not written
        self._silent = idle and not self._silent and interval(size) > PUBLISH_MS
        if self._silent:  # in a large fleet, who has nothing to tell shows itself at every other time only
            return
        back = math.ceil(BACK_MS / interval(size))
        for stream in written or [0]:
            place = places[stream]
            mine = self.origins[place]
            mine.version += 1
            mine.made, mine.digest = now, None
            # What is told of a version is the same whenever and by whom, or those who compare would never agree.
            self._told[stream] = dict(mine.values)
            base = 0 if mine.version % WHOLE_EVERY == 1 else max(0, mine.version - back)
            self._changed[stream] = {key: at for key, at in self._changed[stream].items() if at > base or not base}
            self._news.put(place, (base, tuple(self._changed[stream]) if base else (), mine.version))

    def due(self, size: int) -> float:
        """Return when to write next, in ms of the monotonic clock.

        As the fleet grows, each origin delays by its own part of the interval's growth: else all of a fleet that starts
        together would write at the same time, for ever.
        """
        if self._due[0] != size:
            paced = interval(size)
            if paced > self._paced:
                paced = self._paced + (paced - self._paced) * self._phase
            self._due = size, self._published + paced
        return self._due[1]

    # Others'.

    def merge(self, now: float, row: CounterRow) -> None:
        """Join a row that another member tells by the greater of each count.

        Rows of this process are ignored, and malformed ones or ones without room counted.
        """
        place = (row.origin, row.epoch, row.stream)
        if place[1] == self.epoch and place[0] == self.name:
            return
        if row.entries and not row.entries[0][0]:  # the first has none before it to be named as
            self.count("fleet_undecodable")
            return
        known = self.origins.get(place)
        if known is None:
            if not self._room(place):
                self.count("fleet_rows_full")
                return
            known = self._take(place, now - row.age_ms)
        if row.version < known.version:
            return
        told: list[Key] = []
        changed, name = False, ""
        values, past = known.values, self._window - KEEP
        for same, window, plus, minus in row.entries:
            if same:
                name = same
            told.append(key := (name, window))
            if 0 < window <= past:
                continue
            old = values.get(key)
            if old is not None:
                if plus > old[0] or minus > old[1]:
                    values[key] = (max(plus, old[0]), max(minus, old[1]))
                    changed = True
            elif len(values) < MOST_KEYS:
                values[key] = (plus, minus)
                changed = True
            else:
                self.count("fleet_keys_full")
        if changed:
            known.digest = None
        if row.version == known.version:  # an origin counts on after it wrote: a row sent later may hold more
            known.made = max(known.made, now - row.age_ms)
            if changed:
                self._news.put(place, (0, (), row.version))
        elif row.base <= known.version:  # a whole row stands on version 0
            known.version, known.made, known.digest = row.version, max(known.made, now - row.age_ms), None
            keys = tuple(told) if row.base else ()
            self._news.put(place, (row.base, keys, row.version))

    def _room(self, place: Place) -> bool:
        """Processes of one name come for ever: the oldest make way, and never for one that is older still."""
        epochs = self._epochs.get(place[0], {})
        if len(epochs) >= EPOCHS and place[1] not in epochs:
            oldest = min(epochs)
            if place[1] < oldest or (place[0], oldest) == (self.name, self.epoch):
                return False
            for old in [(place[0], oldest, stream) for stream in range(MOST_STREAMS)]:
                if (known := self.origins.pop(old, None)) is not None:
                    del self._order[bisect_left(self._order, (known.position, old))]
                    self._news.drop(old)
            del epochs[oldest]
            self.count("fleet_origins_dropped")
        return len(self.origins) < MOST_ORIGINS

    def _take(self, place: Place, made: float) -> CounterOrigin:
        """A place that was not known yet."""
        known = self.origins[place] = CounterOrigin(made=made, position=_position(place))
        insort(self._order, (known.position, place, known))
        if place[1] == self.epoch and place[0] == self.name:
            self._own[place[2]] = known
        epochs = self._epochs.setdefault(place[0], {})
        epochs[place[1]] = epochs.get(place[1], 0) + 1
        return known

    def turn(self, window: int) -> None:
        """Drop the counts of windows KEEP or more older than this one, at all members alike as far as clocks agree."""
        if window <= self._window:
            return
        self._window = window
        for values in (*[origin.values for origin in self.origins.values()], *self._told.values()):
            for key in [key for key in values if 0 < key[1] <= window - KEEP]:
                del values[key]

    # What is passed on.

    def _row(self, now: float, place: Place, base: int, keys: tuple[Key, ...]) -> CounterRow:
        known = self.origins[place]
        own = place[1] == self.epoch and place[0] == self.name
        values = self._told.get(place[2], {}) if own else known.values
        entries, last = [], ""
        for key in keys if base else values:
            if key in values:
                name = key[0]
                entries.append((name if name != last else "", key[1], *values[key]))
                last = name
        age = now - known.made  # whole ms, as they take a third of the bytes
        return CounterRow(*place, base, known.version, math.ceil(min(1e9, max(0.0, age))), entries)

    def news(self, now: float, room: int) -> list[CounterRow]:
        """Return rows to pass on within `room` bytes, those sent least often first."""
        out: list[CounterRow] = []
        for place, (base, keys, version) in self._news.next(32):
            row = self._row(now, place, base if self.origins[place].version == version else 0, keys)
            room -= wire.size(row)
            if room < 0:
                break
            self._news.sent(place, RELAYS)
            out.append(row)
        return out

    # What others are asked for: rows that are newer there.

    def compare(self, begin: int, salt: int) -> wire.CountersRequest:
        """Return the question for rows that another has newer, from a position on.

        A new `salt` each time prevents that two states which look alike once do so for ever.
        """
        bits = min(10, (len(self._order) // PLACES).bit_length())
        shift = wire.SPAN_BITS - bits
        marks = bytearray()
        order, at = self._order, bisect_left(self._order, (begin,))
        for number in range(begin >> shift, 1 << bits):
            first, at = at, bisect_left(order, (number + 1 << shift,), at)
            places = held = 0
            versions = []
            for position, place, known in order[first:at]:
                if known.version:
                    places ^= position
                    held ^= self._digest(place, known) if known.digest is None else known.digest
                    versions.append(known.version & 255)
            mark = (
                bytes((len(versions), (places * salt & MASK) >> 56, (held * salt & MASK) >> 56, *versions))
                if len(versions) <= MOST_MARKED
                else TOO_MANY
            )
            if len(marks) + len(mark) > wire.MOST_MARKS:
                break
            marks += mark
        return wire.CountersRequest(begin, bits, salt, bytes(marks))

    def _range(self, low: int, high: int) -> list[tuple[int, Place, CounterOrigin]]:
        """What is known whole between two positions."""
        first = bisect_left(self._order, (low,))
        return [one for one in self._order[first : bisect_left(self._order, (high,), first)] if one[2].version]

    def _checks(self, part: list[tuple[int, Place, CounterOrigin]]) -> tuple[int, int]:
        """One number for which places these are, and one for what they hold."""
        places = held = 0
        for position, place, known in part:
            places ^= position
            held ^= self._digest(place, known) if known.digest is None else known.digest
        return places, held

    def _digest(self, place: Place, known: CounterOrigin) -> int:
        own = place[1] == self.epoch and place[0] == self.name
        values = self._told.get(place[2], {}) if own else known.values
        # Counts by window are left out: clocks that do not agree on the window would compare unlike for ever.
        known.digest = _hash(
            wire.encode((place, known.version, sorted((key, count) for key, count in values.items() if not key[1])))
        )
        return known.digest

    def differing(self, now: float, ask: wire.CountersRequest, room: int) -> wire.CountersPage:
        """Return whole rows that the asker lacks or has older, within `room` bytes, and where to go on.

        Marks that were cut short are not answered.
        """
        shift = wire.SPAN_BITS - ask.bits
        first = number = ask.begin >> shift
        at, marks = 0, ask.marks
        young = YOUNG_MS * max(1.0, math.log10(len(self._epochs)))
        out: list[CounterRow] = []
        while at + 3 <= len(marks) and number < 1 << ask.bits:
            count, places, held = marks[at : at + 3]
            theirs = marks[at + 3 : at + 3 + count] if count <= MOST_MARKED else b""
            if count <= MOST_MARKED and len(theirs) < count:
                break
            at += 3 + len(theirs)
            part = self._range(max(ask.begin, number << shift), number + 1 << shift)
            number += 1
            my_places, my_held = self._checks(part)
            aligned = count == len(part) and places == _byte(my_places, ask.salt)
            if count == len(part) - 1:  # a new one, likely: without which of ours would it be theirs?
                for index, (position, _, known) in enumerate(part):
                    if places == _byte(my_places ^ position, ask.salt):
                        theirs = b"".join((theirs[:index], bytes((known.version - 1 & 255,)), theirs[index:]))
                        aligned = True
                        break
            elif count == len(part) + 1 and count <= MOST_MARKED and ask.salt & SURE:  # likely the new one is theirs:
                shorter = [theirs[:index] + theirs[index + 1 :] for index in range(count)]  # which, the versions tell
                theirs = min(
                    shorter,
                    key=lambda marks: sum(
                        their - known.version & 255 > AHEAD for their, (_, _, known) in zip(marks, part, strict=True)
                    ),
                )
                aligned, my_held, held = True, 0, 0
            ahead = (
                [their - known.version & 255 for their, (_, _, known) in zip(theirs, part, strict=True)]
                if aligned
                else [255] * len(part)
            )
            if aligned and not any(ahead) and held == _byte(my_held, ask.salt):
                continue
            # Who is ahead of us is not told; one question in eight is answered as if none were, as a byte comes round.
            if any(ahead):
                part = [one for one, by in zip(part, ahead, strict=True) if by > (AHEAD if ask.salt & SURE else 0)]
            for position, place, _ in part:
                row = self._row(now, place, 0, ())
                if row.age_ms < young:
                    continue
                room -= wire.size(row)
                if out and (room < 0 or len(out) == 32):
                    return wire.CountersPage(position, out)
                out.append(row)
        return wire.CountersPage(number << shift if first < number < 1 << ask.bits else 0, out)

    # Sums.

    def sums(self, window: int = 0) -> dict[str, int]:
        """Return plus less minus of all origins, by key, of one window (0: in all)."""
        out: dict[str, int] = {}
        for origin in self.origins.values():
            for (key, of), (plus, minus) in origin.values.items():
                if of == window:
                    out[key] = out.get(key, 0) + plus - minus
        return out

    def staleness(self, now: float) -> dict[str, float]:
        """Return by name how old its newest row is, in ms; 0 for this process."""
        made: dict[str, float] = {}
        for (name, _, _), origin in self.origins.items():
            made[name] = max(made.get(name, origin.made), origin.made)
        return {name: 0.0 if name == self.name else max(0.0, now - at) for name, at in made.items()}
