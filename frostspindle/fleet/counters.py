"""Counters that the fleet sums up: G- and PN-counters of each process, merged by join, gossiped as deltas.

An origin (a name, the epoch of its process, and a stream of its counters) counts in all and by window. Its counters
only grow, so the join of two states is the greater of each value: merging is commutative, associative and idempotent,
and a message may come twice, late or never. A delta names the version that it is based on; a member that lacks that one
still takes the values, but keeps the older version until the whole row comes.

No I/O and no clock: times are ms of the own monotonic clock, windows are numbered by Unix time. All tables are bounded;
what is dropped is counted.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection
from functools import lru_cache

from frostspindle.fleet import counter_sync, wire
from frostspindle.fleet.counter_table import (
    MAX_STREAMS,
    MAX_STREAMS_PER_ORIGIN,
    CounterStream,
    CounterTable,
    Key,
    StreamId,
    position_of,
)
from frostspindle.fleet.errors import InvalidCountError
from frostspindle.fleet.gossip_buffer import GossipBuffer
from frostspindle.fleet.wire import CounterRow

MAX_KEYS = 20  # of a stream, which as a whole fits into one datagram
MAX_ROWS = 32  # in one message
KEPT_WINDOWS = 3  # of each key
KEPT_EPOCHS = 8  # processes of one name whose counters are kept
ROW_TRANSMISSIONS = 2  # of a row by each member; a member that misses it that way gets it by comparison
DELTA_MS = 4_000.0  # a delta spans the versions of so long: a member that missed some of them can build on it
WHOLE_ROW_EVERY = 8  # versions; the others are published as deltas
MIN_PUBLISH_INTERVAL_MS = 1_000.0
MAX_FLEET_ROWS = 30.0  # rows a second of the whole fleet, or
FLEET_ROWS_FACTOR = 4.0  # times log2 of its size, if that is more


@lru_cache(256)
def publish_interval(size: int) -> float:
    """Return how often, in ms, an origin publishes in a fleet of `size`: the whole fleet's rows a second grow with log2
    of it only.
    """
    return MIN_PUBLISH_INTERVAL_MS * max(1.0, size / max(MAX_FLEET_ROWS, FLEET_ROWS_FACTOR * size.bit_length()))


class FleetCounters:
    """All origins' counters (grow-only, by window and in all) as one process knows them."""

    def __init__(self, name: str, epoch: int, now: float) -> None:
        self.name = name
        self.epoch = epoch
        self.count: Callable[[str], None] = lambda what: None
        self._table = CounterTable(name, epoch)
        self.streams: dict[StreamId, CounterStream] = self._table.streams
        self._table.add((name, epoch, 0), now)
        self._window = 0
        # Rows to gossip: version that the delta is based on, its keys, and the version that it leads to.
        self._updates: GossipBuffer[StreamId, tuple[int, tuple[Key, ...], int]] = GossipBuffer()
        self.pending: Collection[StreamId] = self._updates.keys  # streams with rows to gossip; a live view
        # Publishing.
        self._changed: dict[int, dict[Key, int]] = {0: {}}  # by own stream: version in which each key last changed
        self._skipped = False  # nothing was published when it was last due
        self._published_at = now  # when it was last due
        self._last_interval_ms = MIN_PUBLISH_INTERVAL_MS
        self._phase = position_of((name, epoch, 0)) / (1 << wire.POSITION_BITS)
        self._due_for_size = 0  # the fleet's size that `_due` was computed for; 0: to be computed anew
        self._due = 0.0

    # Own counters.

    def add(self, key: str, increment: int = 0, decrement: int = 0, window: int = 0, stream: int = 0) -> None:
        """Add to a counter; InvalidCountError for negative numbers or a stream out of range.

        With MAX_KEYS keys a new one is dropped and that is counted.
        """
        if increment < 0 or decrement < 0 or not 0 <= stream < MAX_STREAMS_PER_ORIGIN:
            raise InvalidCountError("counts only grow, in streams from 0 to 63")
        own = self._table.own.get(stream)
        if own is None:
            own = self._table.add((self.name, self.epoch, stream), self._published_at)
        place = (key, window)
        old = own.values.get(place)
        if old is not None:
            own.values[place] = (old[0] + increment, old[1] + decrement)
        elif len(own.values) < MAX_KEYS:
            own.values[place] = (increment, decrement)
        else:
            self.count("fleet_keys_full")
            return
        self._changed.setdefault(stream, {})[place] = own.version + 1

    def publish(self, now: float, size: int) -> None:
        """Publish new versions of changed streams, if it is time.

        Of stream 0 also when nothing has changed, to show that we are alive (in a large fleet every other time only).
        """
        if now < self.due(size):
            return
        interval_ms = publish_interval(size)
        self._published_at = now
        self._last_interval_ms = interval_ms
        self._due_for_size = 0
        changed = [
            stream
            for stream, versions in self._changed.items()
            if self._table.own[stream].version + 1 in versions.values()
        ]
        self._skipped = not changed and not self._skipped and interval_ms > MIN_PUBLISH_INTERVAL_MS
        if self._skipped:
            return
        delta_versions = math.ceil(DELTA_MS / interval_ms)
        for stream in changed or [0]:
            self._publish_stream(now, stream, delta_versions)

    def _publish_stream(self, now: float, number: int, delta_versions: int) -> None:
        stream = self._table.own[number]
        stream.version += 1
        stream.published_at = now
        stream.digest = None
        # What is sent of a version must be the same whenever and by whom, or members that compare would never agree.
        stream.shared = dict(stream.values)
        whole = stream.version % WHOLE_ROW_EVERY == 1
        base_version = 0 if whole else max(0, stream.version - delta_versions)
        keys: tuple[Key, ...] = ()
        if base_version:
            changed = {key: version for key, version in self._changed[number].items() if version > base_version}
            self._changed[number] = changed
            keys = tuple(changed)
        self._updates.put((self.name, self.epoch, number), (base_version, keys, stream.version))

    def due(self, size: int) -> float:
        """Return when to publish next, in ms of the monotonic clock.

        As the fleet grows, each origin delays by its own part of the interval's growth: else all of a fleet that starts
        together would publish at the same time, for ever.
        """
        if self._due_for_size != size:
            interval_ms = publish_interval(size)
            growth_ms = interval_ms - self._last_interval_ms
            if growth_ms > 0:
                interval_ms = self._last_interval_ms + growth_ms * self._phase
            self._due_for_size = size
            self._due = self._published_at + interval_ms
        return self._due

    # Others' counters.

    def merge(self, now: float, row: CounterRow) -> None:
        """Join a row from another member by the greater of each counter.

        Rows of this process are ignored, and malformed ones or ones without room counted.
        """
        stream_id = (row.origin, row.epoch, row.stream)
        if self._table.is_own(stream_id):
            return
        if row.entries and not row.entries[0][0]:  # the first has none before it to be named as
            self.count("fleet_undecodable")
            return
        published_at = now - row.age_ms
        stream = self.streams.get(stream_id)
        if stream is None:
            if not self._make_room(stream_id):
                self.count("fleet_rows_full")
                return
            stream = self._table.add(stream_id, published_at)
        if row.version < stream.version:
            return
        keys, changed = self._join(stream, row)
        if changed:
            stream.digest = None
        if row.version == stream.version:  # an origin counts on after it published: a row sent later may hold more
            stream.published_at = max(stream.published_at, published_at)
            if changed:
                self._updates.put(stream_id, (0, (), row.version))
        elif row.base_version <= stream.version:  # a whole row is based on version 0
            stream.version = row.version
            stream.published_at = max(stream.published_at, published_at)
            stream.digest = None
            self._updates.put(stream_id, (row.base_version, keys if row.base_version else (), row.version))

    def _join(self, stream: CounterStream, row: CounterRow) -> tuple[tuple[Key, ...], bool]:
        """Take the greater of each counter; return the keys of the row, and whether anything changed."""
        keys: list[Key] = []
        changed = False
        values = stream.values
        expired_window = self._window - KEPT_WINDOWS
        name = ""
        for entry_name, window, increments, decrements in row.entries:
            name = entry_name or name
            key = (name, window)
            keys.append(key)
            if 0 < window <= expired_window:
                continue
            old = values.get(key)
            if old is not None:
                if increments > old[0] or decrements > old[1]:
                    values[key] = (max(increments, old[0]), max(decrements, old[1]))
                    changed = True
            elif len(values) < MAX_KEYS:
                values[key] = (increments, decrements)
                changed = True
            else:
                self.count("fleet_keys_full")
        return tuple(keys), changed

    def _make_room(self, stream_id: StreamId) -> bool:
        """Drop the oldest process of a name that has too many, unless the new one is older still; return whether there
        is room.
        """
        name, epoch, _ = stream_id
        epochs = self._table.epochs.get(name, {})
        if len(epochs) >= KEPT_EPOCHS and epoch not in epochs:
            oldest = min(epochs)
            if epoch < oldest or (name, oldest) == (self.name, self.epoch):
                return False
            for dropped in self._table.remove_epoch(name, oldest):
                self._updates.discard(dropped)
            self.count("fleet_origins_dropped")
        return len(self.streams) < MAX_STREAMS

    def start_window(self, window: int) -> None:
        """Drop the counters of windows KEPT_WINDOWS or more older than this one, at all members alike as far as clocks
        agree.
        """
        if window > self._window:
            self._window = window
            self._table.remove_windows(window - KEPT_WINDOWS)

    # Gossip and comparison.

    def updates(self, now: float, room: int) -> list[CounterRow]:
        """Return rows to gossip within `room` bytes, those sent least often first; they count as transmitted."""
        rows: list[CounterRow] = []
        for stream_id, (base_version, keys, version) in self._updates.peek(MAX_ROWS):
            is_current = self.streams[stream_id].version == version
            row = self._table.row(now, stream_id, base_version if is_current else 0, keys)
            room -= wire.size(row)
            if room < 0:
                break
            self._updates.mark_transmitted(stream_id, ROW_TRANSMISSIONS)
            rows.append(row)
        return rows

    def request_rows(self, begin: int, salt: int) -> wire.CountersRequest:
        """Return the request for rows that another member has newer, from a position on; see `counter_sync`."""
        return counter_sync.request_rows(self._table, begin, salt)

    def answer_request(self, now: float, request: wire.CountersRequest, room: int) -> wire.CountersPage:
        """Return rows that the requester lacks or has older, within `room` bytes; see `counter_sync`."""
        return counter_sync.answer_request(self._table, now, request, room)

    # Sums.

    def sums(self, window: int = 0) -> dict[str, int]:
        """Return increments less decrements of all origins, by key, of one window (0: in all)."""
        sums: dict[str, int] = {}
        for stream in self.streams.values():
            for (name, key_window), (increments, decrements) in stream.values.items():
                if key_window == window:
                    sums[name] = sums.get(name, 0) + increments - decrements
        return sums

    def staleness(self, now: float) -> dict[str, float]:
        """Return by name how old its newest row is, in ms; 0 for this process."""
        published: dict[str, float] = {}
        for (name, _, _), stream in self.streams.items():
            published[name] = max(published.get(name, stream.published_at), stream.published_at)
        return {name: 0.0 if name == self.name else max(0.0, now - at) for name, at in published.items()}
