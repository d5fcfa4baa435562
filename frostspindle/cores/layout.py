"""Binary layout of the memory that the supervisor and its workers share.

Defines all offsets and the encoding of rows, control pages and counter names with their checksums, without I/O;
shared_memory.py maps the buffer. Each cell has a single writer: the supervisor writes the header, the two control pages
and the lease expiries; the worker in a slot writes that slot's region, as does the supervisor once that worker is dead.
Numbers are little-endian. Aligned cells of eight bytes are written in one store; longer values are preceded by a
CRC-32, so that a reader detects a torn write.

    header | control: version, 2 pages | lease expiries | request ids | region of slot 0 | region of slot 1 | ...
    request ids: each bucket has the cells of slot 0, then of slot 1, ..., so that one read finds an id of any worker
    region: head cells | counter values | counter names | row sequences | rows
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from frostspindle.cores.peer_workers import EngineLoadRow

MAGIC = b"FSBOARD\x00"
VERSION = 1
HEADER = struct.Struct("<8sIIIIIQQ")  # magic, version, slots, engines, counters, buckets, nonce, size
HEADER_BYTES = 128  # reserved for the header
CONTROL_PAGE_BYTES = 1024 * 1024  # one page: length, CRC, content; untouched memory is not allocated
PAGE_HEADER = struct.Struct("<II")
REGION_HEAD_CELLS = 32  # cells of eight bytes at the start of a region
COUNTER_NAME_BYTES = 96  # encoded name of a counter, with front and class
WAYS = 16  # request ids that each slot can store in a bucket
ROW = struct.Struct("<IIQIIIIddd8dffII64s32s")
ROW_BYTES = 320
_CRC = struct.Struct("<I")
REPORT_VALUES = 8  # maximum number of load report values in a row


class SharedMemoryError(Exception):
    """Base class of the errors of the shared memory."""


class IncompatibleMemoryError(SharedMemoryError):
    """The memory has an unknown format or another version, or belongs to another instance."""


class ControlPageTooLongError(SharedMemoryError, ValueError):
    """The content does not fit into a control page."""


class HeadCell(IntEnum):
    """Numbers of the cells in a region's head. All are u64 except HEARTBEAT, which is f64."""

    INCARNATION = 0
    PID = 1
    STATE = 2  # a WorkerState
    OPEN_REQUESTS = 3
    CLIENT_CONNECTIONS = 4
    DESCRIPTORS_USED = 5
    ROW_UPDATES = 6  # incremented after each write of rows
    URGENT_UPDATES = 7  # incremented when an engine stops accepting work
    ROW_COUNT = 8  # highest number of rows used so far
    COUNTER_COUNT = 9
    CONTROL_VERSION = 10  # the newest control page that the worker has applied
    TDS_SESSIONS = 11
    HEARTBEAT = 12  # ms of CLOCK_MONOTONIC
    HELD_BYTES = 13  # memory held for clients
    HELD_LIMIT = 14  # bytes


class WorkerState(IntEnum):
    """Values of the cell STATE."""

    STARTING = 0
    SERVING = 1
    DRAINING = 2
    ENDED = 3


@dataclass(frozen=True, slots=True)
class Layout:
    """Sizes and byte offsets of the shared memory, derived from four counts."""

    slots: int
    engines: int = 1024
    counters: int = 512
    buckets: int = 512

    @property
    def control_offset(self) -> int:
        """Offset of the control area: an 8-byte version, then two pages."""
        return HEADER_BYTES

    @property
    def lease_expiries(self) -> int:
        """Offset of the lease expiries: one f64 per slot, in ms of CLOCK_MONOTONIC."""
        return self.control_offset + 8 + 2 * CONTROL_PAGE_BYTES

    @property
    def request_ids(self) -> int:
        """Offset of the buckets of request ids; aligned to 64 bytes."""
        return (self.lease_expiries + 8 * self.slots + 63) // 64 * 64

    @property
    def regions(self) -> int:
        """Offset of slot 0's region, directly after the request ids."""
        return self.request_ids + 8 * WAYS * self.slots * self.buckets

    @property
    def counter_values(self) -> int:
        """Offset of the counter values within a region."""
        return 8 * REGION_HEAD_CELLS

    @property
    def counter_names(self) -> int:
        """Offset of the counter names within a region."""
        return self.counter_values + 8 * self.counters

    @property
    def row_sequences(self) -> int:
        """Offset of the rows' sequence numbers within a region."""
        return self.counter_names + COUNTER_NAME_BYTES * self.counters

    @property
    def rows(self) -> int:
        """Offset of the engine rows within a region."""
        return self.row_sequences + 8 * self.engines

    @property
    def region_bytes(self) -> int:
        """Bytes of one region, rounded up to a multiple of 64."""
        return (self.rows + ROW_BYTES * self.engines + 63) // 64 * 64

    @property
    def size(self) -> int:
        """Bytes of the whole shared memory."""
        return self.regions + self.slots * self.region_bytes

    def region_offset(self, slot: int) -> int:
        """Return the offset of a slot's region within the shared memory."""
        return self.regions + slot * self.region_bytes


def write_header(buffer: memoryview, layout: Layout, nonce: int) -> None:
    """Write magic, version, counts, nonce and size to the start of the buffer, with a CRC-32."""
    head = HEADER.pack(
        MAGIC, VERSION, layout.slots, layout.engines, layout.counters, layout.buckets, nonce, layout.size
    )
    buffer[: len(head)] = head
    _CRC.pack_into(buffer, len(head), zlib.crc32(head))


def read_header(buffer: memoryview, nonce: int) -> Layout:
    """Return the layout; raise IncompatibleMemoryError for another format, version or instance, or a corrupt header."""
    if len(buffer) < HEADER_BYTES:
        raise IncompatibleMemoryError("shared memory is shorter than its header")
    head = bytes(buffer[: HEADER.size])
    magic, version, slots, engines, counters, buckets, written_nonce, size = HEADER.unpack(head)
    if magic != MAGIC:
        raise IncompatibleMemoryError("shared memory has an unknown format")
    if version != VERSION:
        raise IncompatibleMemoryError(f"shared memory has version {version}, expected {VERSION}")
    if _CRC.unpack_from(buffer, HEADER.size)[0] != zlib.crc32(head):
        raise IncompatibleMemoryError("shared memory header is corrupt")
    layout = Layout(slots, engines, counters, buckets)
    if size != layout.size or len(buffer) < size:
        raise IncompatibleMemoryError(f"shared memory has {len(buffer)} bytes, expected {layout.size}")
    if written_nonce != nonce:
        raise IncompatibleMemoryError("shared memory belongs to another instance")
    return layout


def truncated(text: str, max_bytes: int) -> bytes:
    """Return the text as UTF-8 of at most `max_bytes` bytes.

    A truncated text ends with a CRC-32 of the full text, so that long names with the same start remain distinct.
    """
    data = text.encode()
    if len(data) <= max_bytes:
        return data
    return data[: max_bytes - 9].decode("utf-8", "ignore").encode() + b"~%08x" % zlib.crc32(data)


def pack_row(row: EngineLoadRow) -> bytes:
    """Encode a row with a preceding CRC-32; limit its report to REPORT_VALUES values and truncate long names."""
    report = (*row.report[:REPORT_VALUES], *(0.0,) * (REPORT_VALUES - len(row.report)))
    body = ROW.pack(
        row.engine,
        len(row.report[:REPORT_VALUES]),
        row.version,
        row.health,
        row.ejected,
        row.threads,
        0,
        row.granted_mb,
        row.since_ms,
        row.reported_at_ms,
        *report,
        row.spent,
        row.wanted,
        row.lease_serial,
        0,
        truncated(row.name, 64),
        truncated(row.address, 32),
    )
    return _CRC.pack(zlib.crc32(body)) + body


def unpack_row(data: bytes) -> EngineLoadRow | None:
    """Decode a row; return None if its checksum does not match, as it is being written or was never written."""
    body = data[4 : 4 + ROW.size]
    if _CRC.unpack_from(data)[0] != zlib.crc32(body):
        return None
    engine, report_length, version, health, ejected, threads, _, granted_mb, since_ms, reported_at_ms, *rest = (
        ROW.unpack(body)
    )
    report = rest[:REPORT_VALUES]
    spent, wanted, lease_serial, _, name, address = rest[REPORT_VALUES:]
    return EngineLoadRow(
        engine,
        version,
        health,
        bool(ejected),
        threads,
        granted_mb,
        since_ms,
        reported_at_ms,
        tuple(report[:report_length]),
        spent,
        wanted,
        lease_serial,
        name.rstrip(b"\0").decode("utf-8", "replace"),
        address.rstrip(b"\0").decode("latin-1"),
    )


def pack_page(content: bytes) -> bytes:
    """Encode a control page: length, CRC-32, content. Raise ControlPageTooLongError if the content does not fit."""
    if len(content) > CONTROL_PAGE_BYTES - PAGE_HEADER.size:
        raise ControlPageTooLongError(f"{len(content)} bytes do not fit into a control page")
    return PAGE_HEADER.pack(len(content), zlib.crc32(content)) + content


def unpack_page(data: bytes | memoryview) -> bytes | None:
    """Decode a control page; return None if its checksum does not match, as it is being written."""
    length, checksum = PAGE_HEADER.unpack_from(data)
    content = bytes(data[PAGE_HEADER.size : PAGE_HEADER.size + length])
    return content if len(content) == length and zlib.crc32(content) == checksum else None


class CounterName(NamedTuple):
    """The full name of a counter; `front` and `cls` (the class of requests) may be empty."""

    counter: str
    front: str
    cls: str


def pack_counter_name(name: CounterName) -> bytes:
    """Encode a counter's name to COUNTER_NAME_BYTES: length, CRC-32, text.

    A name that is truncated before its class can't be decoded.
    """
    text = "\x1f".join(name)
    data = truncated(text, COUNTER_NAME_BYTES - 5)
    return (bytes((len(data),)) + _CRC.pack(zlib.crc32(data)) + data).ljust(COUNTER_NAME_BYTES, b"\0")


def unpack_counter_name(data: bytes) -> CounterName | None:
    """Decode a counter's name; return None if it is empty, fails its checksum, or has other than three parts."""
    text = data[5 : 5 + data[0]]
    if not text or _CRC.unpack_from(data, 1)[0] != zlib.crc32(text):
        return None
    parts = text.decode("utf-8", "replace").split("\x1f")
    return CounterName(*parts) if len(parts) == 3 else None
