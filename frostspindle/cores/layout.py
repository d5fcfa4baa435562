"""The form of the memory that the supervisor and its workers share.

Owns every offset and the packing of a row with its checksum. It must never map, allocate or wait: it works on a buffer
that board.py holds. Each cell has one writer: the header and the two control pages the supervisor, a slot's region the
worker in that slot (and the supervisor once that worker is dead). Numbers are little-endian; aligned cells of eight
bytes are written in one store, anything longer stands behind a CRC-32, so that a torn or unfinished one shows.

    header | control: version, 2 pages | horizons | ids | region of slot 0 | region of slot 1 | ...
    ids: of each bucket, the cells of slot 0, then those of slot 1, ...: one look finds an id at any worker
    region: head cells | counter values | counter names | row sequences | rows
"""

from __future__ import annotations

import struct
import zlib
from dataclasses import dataclass
from typing import NamedTuple

from frostspindle.cores.peer_workers import EngineLoadRow

MAGIC, VERSION = b"FSBOARD\x00", 1
HEADER = struct.Struct("<8sIIIIIQQ")  # magic, version, slots, engines, counters, buckets, nonce, size
HEAD_BYTES = 128
PAGE = 1024 * 1024  # one control page: length, CRC, blob; only what is written of it takes memory
PAGE_HEAD = struct.Struct("<II")
CELLS = 32  # of a region's head, eight bytes each
NAME_BYTES = 96  # of a counter: what, front and class
WAYS = 16  # ids in one bucket
ROW = struct.Struct("<IIQIIIIddd8dffII64s32s")
ROW_BYTES = 320
_CRC = struct.Struct("<I")
REPORT = 8


class IncompatibleMemoryError(Exception):
    """The memory is no board of this program's version, or belongs to another instance."""


# A region's head, by cell number. Integers are u64, times f64.
INCARNATION, PID, STATE, OPEN, CLIENTS, SOCKETS, FLUSHES, URGENT, ROWS, NAMES, SEEN, TDS, HEARTBEAT = range(13)
STARTING, SERVING, LEAVING, ENDED = range(4)  # STATE


@dataclass(frozen=True, slots=True)
class Layout:
    """Sizes and byte offsets of the board, all derived from four counts."""

    slots: int
    engines: int = 1024
    counters: int = 512
    buckets: int = 512

    @property
    def control(self) -> int:
        """Offset of the control area: a version of 8 bytes, then two pages."""
        return HEAD_BYTES

    @property
    def horizons(self) -> int:
        """Offset of the lease horizons: one f64 a slot, ms of CLOCK_MONOTONIC."""
        return self.control + 8 + 2 * PAGE

    @property
    def ids(self) -> int:
        """Offset of the buckets of request ids; aligned to 64 bytes."""
        return (self.horizons + 8 * self.slots + 63) // 64 * 64

    @property
    def regions(self) -> int:
        """Offset of slot 0's region, right behind the request ids."""
        return self.ids + 8 * WAYS * self.slots * self.buckets

    @property
    def values(self) -> int:
        """Offset of the counter values within a region."""
        return 8 * CELLS

    @property
    def names(self) -> int:
        """Offset of the counter names within a region."""
        return self.values + 8 * self.counters

    @property
    def sequences(self) -> int:
        """Offset of the rows' change numbers within a region."""
        return self.names + NAME_BYTES * self.counters

    @property
    def rows(self) -> int:
        """Offset of the engine rows within a region."""
        return self.sequences + 8 * self.engines

    @property
    def region(self) -> int:
        """Bytes of one region, rounded up to a multiple of 64."""
        return (self.rows + ROW_BYTES * self.engines + 63) // 64 * 64

    @property
    def size(self) -> int:
        """Bytes of the whole board."""
        return self.regions + self.slots * self.region

    def at(self, slot: int) -> int:
        """Return the offset of a slot's region within the board."""
        return self.regions + slot * self.region


def write_header(buffer: memoryview, layout: Layout, nonce: int) -> None:
    """Write magic, version, counts, nonce and size to the start of the buffer, with a CRC-32."""
    head = HEADER.pack(
        MAGIC, VERSION, layout.slots, layout.engines, layout.counters, layout.buckets, nonce, layout.size
    )
    buffer[: len(head)] = head
    _CRC.pack_into(buffer, len(head), zlib.crc32(head))


def read_header(buffer: memoryview, nonce: int) -> Layout:
    """Return the layout; BadBoard if it is of another program, version or instance, too short, or damaged."""
    if len(buffer) < HEAD_BYTES:
        raise IncompatibleMemoryError("it is shorter than a header")
    head = bytes(buffer[: HEADER.size])
    magic, version, slots, engines, counters, buckets, written, size = HEADER.unpack(head)
    if magic != MAGIC:
        raise IncompatibleMemoryError("it is no board")
    if version != VERSION:
        raise IncompatibleMemoryError(f"it has version {version}, this program {VERSION}")
    if _CRC.unpack_from(buffer, HEADER.size)[0] != zlib.crc32(head):
        raise IncompatibleMemoryError("its header is damaged")
    layout = Layout(slots, engines, counters, buckets)
    if size != layout.size or len(buffer) < size:
        raise IncompatibleMemoryError(f"it has {len(buffer)} bytes in place of {layout.size}")
    if written != nonce:
        raise IncompatibleMemoryError("it belongs to another instance")
    return layout


def cut(text: str, most: int) -> bytes:
    """Return the text as UTF-8 of `most` bytes at most.

    A text that is cut ends with a CRC-32 of the whole, so that two long names with the same start stay distinct.
    """
    data = text.encode()
    if len(data) <= most:
        return data
    return data[: most - 9].decode("utf-8", "ignore").encode() + b"~%08x" % zlib.crc32(data)


def pack_row(row: EngineLoadRow) -> bytes:
    """Encode a row behind a CRC-32; at most REPORT figures of its report are kept, long names are cut."""
    report = (*row.report[:REPORT], *(0.0,) * (REPORT - len(row.report)))
    body = ROW.pack(
        row.engine,
        len(row.report[:REPORT]),
        row.version,
        row.health,
        row.suspect,
        row.threads,
        0,
        row.granted_mb,
        row.since_ms,
        row.report_at,
        *report,
        row.spent,
        row.wished,
        row.seen,
        0,
        cut(row.name, 64),
        cut(row.address, 32),
    )
    return _CRC.pack(zlib.crc32(body)) + body


def unpack_row(data: bytes) -> EngineLoadRow | None:
    """Decode a row; None if its checksum does not match: it is being written, or never was."""
    body = data[4 : 4 + ROW.size]
    if _CRC.unpack_from(data)[0] != zlib.crc32(body):
        return None
    (engine, count, version, health, suspect, threads, _, granted, since, report_at, *rest) = ROW.unpack(body)
    report, (spent, wished, seen, _, name, address) = rest[:REPORT], rest[REPORT:]
    return EngineLoadRow(
        engine,
        version,
        health,
        bool(suspect),
        threads,
        granted,
        since,
        report_at,
        tuple(report[:count]),
        spent,
        wished,
        seen,
        name.rstrip(b"\0").decode("utf-8", "replace"),
        address.rstrip(b"\0").decode("latin-1"),
    )


def pack_page(blob: bytes) -> bytes:
    """Encode a control page: length, CRC-32, content. ValueError: the content is longer than a page."""
    if len(blob) > PAGE - PAGE_HEAD.size:
        raise ValueError(f"{len(blob)} bytes do not fit into a control page")
    return PAGE_HEAD.pack(len(blob), zlib.crc32(blob)) + blob


def unpack_page(data: bytes | memoryview) -> bytes | None:
    """Decode a control page; None if its checksum does not match: it is being written."""
    length, crc = PAGE_HEAD.unpack_from(data)
    blob = bytes(data[PAGE_HEAD.size : PAGE_HEAD.size + length])
    return blob if len(blob) == length and zlib.crc32(blob) == crc else None


class CounterName(NamedTuple):
    """The name of a counter: what is counted, at which front, for which request class; the last two may be empty."""

    what: str
    front: str
    cls: str


def pack_name(name: CounterName) -> bytes:
    """Encode a counter's name to NAME_BYTES: length, CRC-32, text. One cut within front or class won't decode."""
    text = "\x1f".join(name)
    data = cut(text, NAME_BYTES - 5)
    return (bytes((len(data),)) + _CRC.pack(zlib.crc32(data)) + data).ljust(NAME_BYTES, b"\0")


def unpack_name(data: bytes) -> CounterName | None:
    """Decode a counter's name; None if it is empty, fails its checksum, or has not three parts."""
    text = data[5 : 5 + data[0]]
    if not text or _CRC.unpack_from(data, 1)[0] != zlib.crc32(text):
        return None
    parts = text.decode("utf-8", "replace").split("\x1f")
    return CounterName(*parts) if len(parts) == 3 else None
