"""Table of counter streams, ordered by the hash that two members use to compare their tables.

An origin is one process of a coordinator (its name and epoch) and counts in numbered streams. No I/O and no clock:
times are in ms of the local monotonic clock.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

from frostspindle.fleet import wire
from frostspindle.fleet.wire import CounterRow

MAX_STREAMS = 8_192  # over all origins
MAX_STREAMS_PER_ORIGIN = 64

Key = tuple[str, int]  # name, window; window 0: total over all windows
Values = dict[Key, tuple[int, int]]  # increments and decrements
StreamId = tuple[str, int, int]  # name, epoch, stream


@dataclass(slots=True)
class CounterStream:
    """Local copy of one stream of an origin's counters."""

    values: Values = field(default_factory=dict)
    shared: Values = field(default_factory=dict)  # sent to others: for own streams, as last published
    version: int = 0  # 0: no complete version received yet
    published_at: float = 0.0
    position: int = 0
    digest: int | None = None  # of the version and the totals; None: not computed yet


class PositionedStream(NamedTuple):
    """A stream with its position, by which streams are sorted."""

    position: int
    stream_id: StreamId
    stream: CounterStream


@lru_cache(MAX_STREAMS)
def position_of(stream_id: StreamId) -> int:
    """Return the position of a stream: a hash of its identifier, wire.POSITION_BITS wide."""
    return hash64(wire.encode(stream_id)) >> 64 - wire.POSITION_BITS


def hash64(data: bytes) -> int:
    """Return a 64-bit hash that is equal in all processes."""
    return int.from_bytes(blake2b(data, digest_size=8).digest())


class CounterTable:
    """All streams known to one process, including its own."""

    def __init__(self, name: str, epoch: int) -> None:
        self.name = name
        self.epoch = epoch
        self.streams: dict[StreamId, CounterStream] = {}
        self.own_streams: dict[int, CounterStream] = {}  # by stream number
        self.by_position: list[PositionedStream] = []
        self.epochs: dict[str, dict[int, int]] = {}  # by name: number of streams of each epoch

    def is_own(self, stream_id: StreamId) -> bool:
        """Return whether a stream belongs to this process."""
        return stream_id[1] == self.epoch and stream_id[0] == self.name

    def add(self, stream_id: StreamId, published_at: float) -> CounterStream:
        """Add an unknown stream, without values."""
        stream = CounterStream(published_at=published_at, position=position_of(stream_id))
        self.streams[stream_id] = stream
        insort(self.by_position, PositionedStream(stream.position, stream_id, stream))
        name, epoch, number = stream_id
        if self.is_own(stream_id):
            self.own_streams[number] = stream
        else:
            stream.shared = stream.values
        epochs = self.epochs.setdefault(name, {})
        epochs[epoch] = epochs.get(epoch, 0) + 1
        return stream

    def remove_epoch(self, name: str, epoch: int) -> list[StreamId]:
        """Remove all streams of one process and return their identifiers."""
        removed = []
        for number in range(MAX_STREAMS_PER_ORIGIN):
            stream_id = (name, epoch, number)
            stream = self.streams.pop(stream_id, None)
            if stream is not None:
                del self.by_position[bisect_left(self.by_position, (stream.position, stream_id))]
                removed.append(stream_id)
        del self.epochs[name][epoch]
        return removed

    def remove_windows(self, last: int) -> None:
        """Remove the counters of windows up to and including `last`, but not the totals (window 0)."""
        for stream in self.streams.values():
            _remove_windows(stream.values, last)
            if stream.shared is not stream.values:
                _remove_windows(stream.shared, last)

    def row(self, now: float, stream_id: StreamId, base_version: int, keys: Iterable[Key]) -> CounterRow:
        """Return a stream as a row: the counters in `keys` if `base_version` is not 0, else all."""
        stream = self.streams[stream_id]
        values = stream.shared
        entries = []
        last_name = ""
        for key in keys if base_version else values:
            if key in values:
                name, window = key
                entries.append((name if name != last_name else "", window, *values[key]))
                last_name = name
        age_ms = math.ceil(min(1e9, max(0.0, now - stream.published_at)))  # whole ms take a third of the bytes
        return CounterRow(*stream_id, base_version, stream.version, age_ms, entries)

    def digest(self, stream_id: StreamId, stream: CounterStream) -> int:
        """Return a hash of a stream's version and totals, cached until either changes.

        Counters by window are excluded: members whose clocks disagree on the window would never compare as equal.
        """
        if stream.digest is None:
            totals = sorted((key, value) for key, value in stream.shared.items() if not key[1])
            stream.digest = hash64(wire.encode((stream_id, stream.version, totals)))
        return stream.digest


def _remove_windows(values: Values, last: int) -> None:
    for key in [key for key in values if 0 < key[1] <= last]:
        del values[key]
