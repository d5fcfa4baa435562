"""Counters summed over the fleet: G- and PN-counters of each process (CRDTs), gossiped as deltas.

Each stream (a name, the epoch of its process, and a number) counts totals and per window. Its counters only grow, so
the join of two states is the maximum of each value: merging is commutative, associative and idempotent, and messages
may be duplicated, delayed or lost. A delta names the version that it is based on. A member without that version merges
the values but keeps its older version number until it receives a complete row.

No I/O and no clock: times are in ms of the local monotonic clock, windows are numbered by Unix time. All tables are
bounded; dropped data is counted.
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

MAX_KEYS = 20  # per stream, so that a complete row fits in one datagram
MAX_ROWS = 32  # per message
RETAINED_WINDOWS = 3  # per key
RETAINED_EPOCHS = 8  # processes of one name whose counters are retained
ROW_TRANSMISSIONS = 2  # of a row by each member; a member that misses it gets it by comparison of tables
DELTA_MS = 4_000.0  # age of a delta's base version, so that a member that missed some versions can apply it
COMPLETE_ROW_INTERVAL = 8  # versions from one complete row to the next; the others are published as deltas
MIN_PUBLISH_INTERVAL_MS = 1_000.0
MAX_FLEET_ROWS = 30.0  # rows per second published by the whole fleet, or
FLEET_ROWS_FACTOR = 4.0  # times log2 of its size, if that is more


@lru_cache(256)
def publish_interval(size: int) -> float:
    """Return the interval in ms at which an origin publishes in a fleet of `size`.

    The number of rows that the whole fleet publishes per second grows only with log2 of its size.
    """
    return MIN_PUBLISH_INTERVAL_MS * max(1.0, size / max(MAX_FLEET_ROWS, FLEET_ROWS_FACTOR * size.bit_length()))


class FleetCounters:
    """The counters of all origins, per window and in total, as known to one process."""

    def __init__(self, name: str, epoch: int, now: float) -> None:
        self.name = name
        self.epoch = epoch
        self.count: Callable[[str], None] = lambda counter: None
        self._table = CounterTable(name, epoch)
        self.streams: dict[StreamId, CounterStream] = self._table.streams
        self._table.add((name, epoch, 0), now)
        self._window = 0
        # Rows to gossip: base version of the delta, its keys, and its version.
        self._updates: GossipBuffer[StreamId, tuple[int, tuple[Key, ...], int]] = GossipBuffer()
        self.pending: Collection[StreamId] = self._updates.keys  # streams with rows to gossip; a live view
        # Publishing.
        self._changed: dict[int, dict[Key, int]] = {0: {}}  # by own stream: version of each key's last change
        self._skipped = False  # whether publishing was skipped when last due
        self._published_at = now  # when publishing was last due
        self._last_interval_ms = MIN_PUBLISH_INTERVAL_MS
        self._phase = position_of((name, epoch, 0)) / (1 << wire.POSITION_BITS)
        self._due_for_size = 0  # the fleet's size for which `_due` was computed; 0: not computed yet
        self._due = 0.0

    # Counters of this process.

    def add(self, key: str, increment: int = 0, decrement: int = 0, window: int = 0, stream: int = 0) -> None:
        """Add to a counter. Raise InvalidCountError for negative numbers or a stream out of range.

        Once a stream has MAX_KEYS keys, new keys are dropped and counted.
        """
        if increment < 0 or decrement < 0 or not 0 <= stream < MAX_STREAMS_PER_ORIGIN:
            raise InvalidCountError("increments must not be negative, and streams must be from 0 to 63")
        own_stream = self._table.own_streams.get(stream)
        if own_stream is None:
            own_stream = self._table.add((self.name, self.epoch, stream), self._published_at)
        windowed_key = (key, window)
        old = own_stream.values.get(windowed_key)
        if old is not None:
            own_stream.values[windowed_key] = (old[0] + increment, old[1] + decrement)
        elif len(own_stream.values) < MAX_KEYS:
            own_stream.values[windowed_key] = (increment, decrement)
        else:
            self.count("fleet_keys_full")
            return
        self._changed.setdefault(stream, {})[windowed_key] = own_stream.version + 1

    def publish(self, now: float, size: int) -> None:
        """Publish new versions of changed streams if due.

        Stream 0 is also published without changes, as a sign of life; in a large fleet only every other time.
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
            if self._table.own_streams[stream].version + 1 in versions.values()
        ]
        self._skipped = not changed and not self._skipped and interval_ms > MIN_PUBLISH_INTERVAL_MS
        if self._skipped:
            return
        delta_versions = math.ceil(DELTA_MS / interval_ms)
        for stream in changed or [0]:
            self._publish_stream(now, stream, delta_versions)

    def _publish_stream(self, now: float, number: int, delta_versions: int) -> None:
        stream = self._table.own_streams[number]
        stream.version += 1
        stream.published_at = now
        stream.digest = None
        # All copies of a version must have the same content, or members that compare tables would never agree.
        stream.shared = dict(stream.values)
        is_complete = stream.version % COMPLETE_ROW_INTERVAL == 1
        base_version = 0 if is_complete else max(0, stream.version - delta_versions)
        keys: tuple[Key, ...] = ()
        if base_version:
            changed = {key: version for key, version in self._changed[number].items() if version > base_version}
            self._changed[number] = changed
            keys = tuple(changed)
        self._updates.put((self.name, self.epoch, number), (base_version, keys, stream.version))

    def due(self, size: int) -> float:
        """Return when to publish next, in ms of the monotonic clock.

        When the interval grows with the fleet, each origin waits for a different fraction of the growth. Otherwise all
        members of a fleet that started together would always publish at the same time.
        """
        if self._due_for_size != size:
            interval_ms = publish_interval(size)
            growth_ms = interval_ms - self._last_interval_ms
            if growth_ms > 0:
                interval_ms = self._last_interval_ms + growth_ms * self._phase
            self._due_for_size = size
            self._due = self._published_at + interval_ms
        return self._due

    # Counters of others.

    def merge(self, now: float, row: CounterRow) -> None:
        """Merge a row from another member by the maximum of each counter.

        Rows of this process are ignored; malformed rows and rows for which there is no room are counted and dropped.
        """
        stream_id = (row.origin, row.epoch, row.stream)
        if self._table.is_own(stream_id):
            return
        if row.entries and not row.entries[0][0]:  # the first entry cannot repeat a previous name
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
        if row.version == stream.version:  # a row sent later may hold counts added after the origin published it
            stream.published_at = max(stream.published_at, published_at)
            if changed:
                self._updates.put(stream_id, (0, (), row.version))
        elif row.base_version <= stream.version:  # true of a complete row, with base version 0
            stream.version = row.version
            stream.published_at = max(stream.published_at, published_at)
            stream.digest = None
            self._updates.put(stream_id, (row.base_version, keys if row.base_version else (), row.version))

    def _join(self, stream: CounterStream, row: CounterRow) -> tuple[tuple[Key, ...], bool]:
        """Take the maximum of each counter; return the keys of the row, and whether any value changed."""
        keys: list[Key] = []
        changed = False
        values = stream.values
        expired_window = self._window - RETAINED_WINDOWS
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
        """Return whether there is room for a new stream, after dropping the oldest process of its name if necessary.

        A process older than all retained ones is not added.
        """
        name, epoch, _ = stream_id
        epochs = self._table.epochs.get(name, {})
        if len(epochs) >= RETAINED_EPOCHS and epoch not in epochs:
            oldest = min(epochs)
            if epoch < oldest or (name, oldest) == (self.name, self.epoch):
                return False
            for dropped in self._table.remove_epoch(name, oldest):
                self._updates.discard(dropped)
            self.count("fleet_origins_dropped")
        return len(self.streams) < MAX_STREAMS

    def start_window(self, window: int) -> None:
        """Start a window and drop the counters of those that are RETAINED_WINDOWS or more older.

        All members do so at the same time, as far as their clocks agree.
        """
        if window > self._window:
            self._window = window
            self._table.remove_windows(window - RETAINED_WINDOWS)

    # Gossip and comparison.

    def updates(self, now: float, remaining_bytes: int) -> list[CounterRow]:
        """Return rows to gossip within `remaining_bytes`, least transmitted first, and count them as transmitted."""
        rows: list[CounterRow] = []
        for stream_id, (base_version, keys, version) in self._updates.peek(MAX_ROWS):
            is_current = self.streams[stream_id].version == version
            row = self._table.row(now, stream_id, base_version if is_current else 0, keys)
            remaining_bytes -= wire.size(row)
            if remaining_bytes < 0:
                break
            self._updates.mark_transmitted(stream_id, ROW_TRANSMISSIONS)
            rows.append(row)
        return rows

    def request_rows(self, begin: int, salt: int) -> wire.CountersRequest:
        """Return a request for rows of which another member has newer versions; see `counter_sync`."""
        return counter_sync.request_rows(self._table, begin, salt)

    def answer_request(self, now: float, request: wire.CountersRequest, max_bytes: int) -> wire.CountersPage:
        """Return rows that the requester lacks or has in older versions, within `max_bytes`; see `counter_sync`."""
        return counter_sync.answer_request(self._table, now, request, max_bytes)

    # Sums.

    def sums(self, window: int = 0) -> dict[str, int]:
        """Return increments minus decrements by key, summed over all origins, for one window (0: total)."""
        sums: dict[str, int] = {}
        for stream in self.streams.values():
            for (name, key_window), (increments, decrements) in stream.values.items():
                if key_window == window:
                    sums[name] = sums.get(name, 0) + increments - decrements
        return sums

    def staleness(self, now: float) -> dict[str, float]:
        """Return the age in ms of the newest row of each name; 0 for this process."""
        published: dict[str, float] = {}
        for (name, _, _), stream in self.streams.items():
            published[name] = max(published.get(name, stream.published_at), stream.published_at)
        return {name: 0.0 if name == self.name else max(0.0, now - newest) for name, newest in published.items()}
