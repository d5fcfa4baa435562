"""Counts that the fleet sums up: G- and PN-counters of each process, merged by join, sent on as deltas.

Owns what each origin (a name, the epoch of its process, and a stream of its counts) has counted, in all and by window,
and how old the word on it is. It must never count an origin twice or let a count fall, and never keep more than it has
bounds for: what is turned away is counted. Times are ms; windows are numbered by Unix time.

An origin's counts only grow, so the join of two states is the greater of each value: merging is commutative,
associative and idempotent, and a message may come twice, late or never. A delta names the version that it stands on;
who lacks that one still takes its values, but keeps the older version until the whole row comes.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from frostspindle.fleet import wire
from frostspindle.fleet.rumours import Rumours
from frostspindle.fleet.wire import Row

MOST_ORIGINS, MOST_STREAMS, MOST_KEYS = 8_192, 64, 20  # a whole stream fits into one datagram
KEEP = 3  # windows of each key
EPOCHS = 8  # processes of one name whose counts are kept
RELAYS = 4  # times that a row is passed on by each
WHOLE_EVERY = 8  # so often an origin sends its whole row instead of a delta
PUBLISH_MS, STEADY = 1_000.0, 4.0  # an origin writes so often in a fleet of up to STEADY times log2(size)

Key = tuple[str, int]  # name, window; window 0: in all
Place = tuple[str, int, int]  # name, epoch, stream


@dataclass(slots=True)
class Origin:
    """What is known of one stream."""

    values: dict[Key, tuple[int, int]] = field(default_factory=dict)
    version: int = 0
    made: float = 0.0  # on the own clock


def interval(size: int) -> float:
    """How often an origin writes: the whole fleet's rows a second grow with log2 of its size only."""
    return PUBLISH_MS * max(1.0, size / (STEADY * max(1, size.bit_length())))


def _place(text: str) -> Place:
    """A place as a page names it; one that can't be read is before all others."""
    try:
        name, epoch, stream = text.rsplit("\n", 2)
        return name, int(epoch), int(stream)
    except ValueError:
        return "", 0, 0


class Counts:
    """All origins' counts as one process knows them."""

    def __init__(self, name: str, epoch: int, now: float) -> None:
        self.name, self.epoch = name, epoch
        self.origins: dict[Place, Origin] = {(name, epoch, 0): Origin(made=now)}
        self.count: Callable[[str], None] = lambda what: None
        self._changed: dict[int, dict[Key, None]] = {0: {}}  # by stream, since its last version
        self._news: Rumours[Place, tuple[int, tuple[Key, ...], int]] = Rumours()  # base, keys, version
        self._window = 0
        self._published = now

    # Own counts.

    def add(self, key: str, plus: int = 0, minus: int = 0, window: int = 0, stream: int = 0) -> None:
        """Count; negative numbers are refused, as counts only grow."""
        if plus < 0 or minus < 0 or not 0 <= stream < MOST_STREAMS:
            raise ValueError("counts only grow, in streams from 0 to 63")
        mine = self.origins.setdefault((self.name, self.epoch, stream), Origin(made=self._published)).values
        if (key, window) not in mine and len(mine) >= MOST_KEYS:
            self.count("fleet_keys_full")
            return
        old = mine.get((key, window), (0, 0))
        mine[key, window] = (old[0] + plus, old[1] + minus)
        self._changed.setdefault(stream, {})[key, window] = None

    def publish(self, now: float, size: int) -> None:
        """Write new versions, if it is time; stream 0 also when nothing has changed, so that others see us live."""
        if now < self.due(size):
            return
        self._published = now
        for stream, changed in self._changed.items():
            if changed or stream == 0:
                place = (self.name, self.epoch, stream)
                mine = self.origins[place]
                mine.version += 1
                mine.made = now
                whole = mine.version % WHOLE_EVERY == 1
                word = (0, (), mine.version) if whole else (mine.version - 1, tuple(changed), mine.version)
                self._news.put(place, word)
                self._changed[stream] = {}

    def due(self, size: int) -> float:
        return self._published + interval(size)

    @property
    def pending(self) -> bool:
        return len(self._news) > 0

    # Others'.

    def merge(self, now: float, row: Row) -> None:
        """Join what another tells; our own rows are nobody else's to tell."""
        place = (row.origin, row.epoch, row.stream)
        if place[:2] == (self.name, self.epoch):
            return
        known = self.origins.get(place)
        if known is None:
            if not self._room(place):
                self.count("fleet_rows_full")
                return
            known = self.origins[place] = Origin(made=now - row.age_ms)
        if row.version < known.version:
            return
        changed = False
        for key, window, plus, minus in row.entries:
            if window and window <= self._window - KEEP:
                continue
            old = known.values.get((key, window))
            if old is None and len(known.values) >= MOST_KEYS:
                self.count("fleet_keys_full")
            elif old is None or plus > old[0] or minus > old[1]:
                known.values[key, window] = (max(plus, old[0]), max(minus, old[1])) if old else (plus, minus)
                changed = True
        if row.version == known.version:  # an origin counts on after it wrote: a row sent later may hold more
            known.made = max(known.made, now - row.age_ms)
            if changed:
                self._news.put(place, (0, (), row.version))
        elif row.base <= known.version:  # a whole row stands on version 0
            known.version, known.made = row.version, max(known.made, now - row.age_ms)
            keys = tuple((key, window) for key, window, _, _ in row.entries) if row.base else ()
            self._news.put(place, (row.base, keys, row.version))

    def _room(self, place: Place) -> bool:
        """Processes of one name come for ever: the oldest make way, and never for one that is older still."""
        epochs = sorted({epoch for name, epoch, _ in self.origins if name == place[0]}) if len(
            self.origins) >= EPOCHS else []
        if place[1] not in epochs and len(epochs) >= EPOCHS:
            if place[1] < epochs[0] or (place[0], epochs[0]) == (self.name, self.epoch):
                return False
            for old in [old for old in self.origins if old[:2] == (place[0], epochs[0])]:
                del self.origins[old]
                self._news.drop(old)
            self.count("fleet_origins_dropped")
        return len(self.origins) < MOST_ORIGINS

    def turn(self, window: int) -> None:
        """Windows so much older than this one are let go of, everywhere alike as far as clocks agree."""
        if window <= self._window:
            return
        self._window = window
        for origin in self.origins.values():
            for key in [key for key in origin.values if 0 < key[1] <= window - KEEP]:
                del origin.values[key]

    # What is passed on.

    def _row(self, now: float, place: Place, base: int, keys: tuple[Key, ...]) -> Row:
        known = self.origins[place]
        entries = [(*key, *known.values[key]) for key in (keys if base else known.values) if key in known.values]
        return Row(*place, base, known.version, min(1e9, max(0.0, now - known.made)), entries)

    def news(self, now: float, room: int) -> Iterator[Row]:
        """Rows to pass on within so many bytes, those sent least often first."""
        for place, (base, keys, version) in self._news.next(32):
            row = self._row(now, place, base if self.origins[place].version == version else 0, keys)
            room -= wire.size(row)
            if room < 0:
                return
            self._news.sent(place, RELAYS)
            yield row

    def page(self, now: float, after: str, room: int) -> tuple[list[Row], str]:
        """Whole rows in the order of their places, and the place to go on after, "" at the end."""
        begin = _place(after)
        out: list[Row] = []
        for place in heapq.nsmallest(33, (place for place in self.origins if place > begin)):
            row = self._row(now, place, 0, ())
            room -= wire.size(row)
            if out and (room < 0 or len(out) == 32):
                return out, "\n".join(map(str, (out[-1].origin, out[-1].epoch, out[-1].stream)))
            out.append(row)
        return out, ""

    # Sums.

    def sums(self, window: int = 0) -> dict[str, int]:
        """Plus less minus of all origins, by key."""
        out: dict[str, int] = {}
        for origin in self.origins.values():
            for (key, of), (plus, minus) in origin.values.items():
                if of == window:
                    out[key] = out.get(key, 0) + plus - minus
        return out

    def staleness(self, now: float) -> dict[str, float]:
        """How old the newest word of each name is, in ms."""
        made: dict[str, float] = {}
        for (name, _, _), origin in self.origins.items():
            made[name] = max(made.get(name, origin.made), origin.made)
        return {name: 0.0 if name == self.name else max(0.0, now - at) for name, at in made.items()}
