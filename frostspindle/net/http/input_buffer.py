"""Bytes of one connection that were read and are not parsed yet, each with the time at which it arrived. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

READ_BYTES = 16 * 1024  # at most at a time, from one connection
SHORT_READ_BYTES = 2 * 1024  # the same while memory for partial requests is short
READ_AHEAD_BYTES = 64 * 1024  # unparsed, for a connection that sends calls ahead of their answers


@dataclass(slots=True)
class _Segment:
    """Bytes that were read at once."""

    data: memoryview
    received_ms: float  # Unix ms


class InputBuffer:
    """The unparsed bytes of one connection, in order."""

    __slots__ = ("size", "_segments")

    def __init__(self) -> None:
        self.size = 0
        self._segments: deque[_Segment] = deque()

    def append(self, data: bytes, received_ms: float) -> None:
        """Add bytes that arrived at `received_ms` (Unix ms)."""
        self._segments.append(_Segment(memoryview(data), received_ms))
        self.size += len(data)

    @property
    def received_ms(self) -> float:
        """The time at which the first byte arrived; the buffer must not be empty."""
        return self._segments[0].received_ms

    def take(self, max_bytes: int) -> memoryview:
        """Remove and return the first bytes, at most `max_bytes` of those that arrived together."""
        segment = self._segments[0]
        data = segment.data[:max_bytes]
        segment.data = segment.data[max_bytes:]
        if not segment.data:
            self._segments.popleft()
        self.size -= len(data)
        return data

    def clear(self) -> None:
        """Remove all bytes."""
        self._segments.clear()
        self.size = 0
