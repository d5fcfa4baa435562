"""Anti-entropy of counters: two members compare fingerprints of their tables and exchange the rows that differ.

The positions of all streams are divided into ranges of equal width. For each range the requester sends the number of
its rows, one byte that identifies them, one byte for their content, and the low byte of each version. No I/O and no
clock: times are in ms of the local monotonic clock.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from frostspindle.fleet import wire
from frostspindle.fleet.counter_table import CounterTable, PositionedStream
from frostspindle.fleet.wire import CounterRow

STREAMS_PER_RANGE = 8  # upper bound of the mean, which is at least half of it in larger tables
MAX_RANGE_BITS = 10
MAX_VERSIONS = 120  # per range; a range with more is requested in full
TOO_MANY_VERSIONS = b"\xff\0\0"  # fingerprint of such a range
MAX_ROWS = 32  # per page
RECENT_MS = 500.0  # times log10 of the number of names: more recent rows still reach the requester by gossip
MAX_VERSIONS_AHEAD = 8  # a requester that seems ahead by no more is assumed to be, unless the answer is thorough
THOROUGH_BITS = 0b1110  # of the salt: an answer is thorough if none of them is set
MASK = 2**64 - 1


class Fingerprint(NamedTuple):
    """Summary of a requester's rows in one range."""

    count: int
    identity: int
    content: int
    versions: bytes  # low byte of each version, in order of positions


def request_rows(table: CounterTable, begin: int, salt: int) -> wire.CountersRequest:
    """Return a request for rows of which another member has newer versions, from a position on.

    With a new `salt` for each request, two states whose checksums collide once do not collide again and again.
    """
    order = table.by_position
    range_bits = min(MAX_RANGE_BITS, (len(order) // STREAMS_PER_RANGE).bit_length())
    shift = wire.POSITION_BITS - range_bits
    fingerprints = bytearray()
    end = bisect_left(order, (begin,))
    for number in range(begin >> shift, 1 << range_bits):
        first = end
        end = bisect_left(order, (number + 1 << shift,), first)
        fingerprint = _fingerprint(table, [entry for entry in order[first:end] if entry.stream.version], salt)
        if len(fingerprints) + len(fingerprint) > wire.MAX_FINGERPRINT_BYTES:
            break
        fingerprints += fingerprint
    return wire.CountersRequest(begin, range_bits, salt, bytes(fingerprints))


def _fingerprint(table: CounterTable, entries: Sequence[PositionedStream], salt: int) -> bytes:
    if len(entries) > MAX_VERSIONS:
        return TOO_MANY_VERSIONS
    identity, content = _checksums(table, entries)
    versions = [entry.stream.version & 255 for entry in entries]
    return bytes((len(versions), _salted_byte(identity, salt), _salted_byte(content, salt), *versions))


def _checksums(table: CounterTable, entries: Sequence[PositionedStream]) -> tuple[int, int]:
    """Return a checksum of the streams' identities and one of their content."""
    identity = 0
    content = 0
    for position, stream_id, stream in entries:
        identity ^= position
        content ^= table.digest(stream_id, stream) if stream.digest is None else stream.digest
    return identity, content


def _salted_byte(checksum: int, salt: int) -> int:
    return (checksum * salt & MASK) >> 56


def answer_request(
    table: CounterTable, now: float, request: wire.CountersRequest, remaining_bytes: int
) -> wire.CountersPage:
    """Return complete rows that the requester lacks or has in older versions, and the position to continue from.

    The rows fit in `remaining_bytes`, except that one row is always sent. Truncated fingerprints are not answered.
    """
    shift = wire.POSITION_BITS - request.range_bits
    first = request.begin >> shift
    end = first
    recent_ms = RECENT_MS * max(1.0, math.log10(len(table.epochs)))
    rows: list[CounterRow] = []
    for number, fingerprint in enumerate(_read_fingerprints(request.fingerprints), first):
        if number >= 1 << request.range_bits:
            break
        end = number + 1
        entries = _complete_streams(table, max(request.begin, number << shift), end << shift)
        for position, stream_id, _ in _newer_streams(table, entries, fingerprint, request.salt):
            row = table.row(now, stream_id, 0, ())
            if row.age_ms < recent_ms:
                continue
            remaining_bytes -= wire.size(row)
            if rows and (remaining_bytes < 0 or len(rows) == MAX_ROWS):
                return wire.CountersPage(position, rows)
            rows.append(row)
    return wire.CountersPage(end << shift if first < end < 1 << request.range_bits else 0, rows)


def _read_fingerprints(data: bytes) -> Iterator[Fingerprint]:
    """Yield the fingerprints of a request up to a truncated one."""
    offset = 0
    while offset + 3 <= len(data):
        count, identity, content = data[offset : offset + 3]
        versions = data[offset + 3 : offset + 3 + count] if count <= MAX_VERSIONS else b""
        if count <= MAX_VERSIONS and len(versions) < count:
            return
        offset += 3 + len(versions)
        yield Fingerprint(count, identity, content, versions)


def _complete_streams(table: CounterTable, low: int, high: int) -> list[PositionedStream]:
    """Return the streams between two positions that have a complete version."""
    first = bisect_left(table.by_position, (low,))
    end = bisect_left(table.by_position, (high,), first)
    return [entry for entry in table.by_position[first:end] if entry.stream.version]


def _newer_streams(
    table: CounterTable, entries: list[PositionedStream], requester: Fingerprint, salt: int
) -> list[PositionedStream]:
    """Return the local streams in one range that the requester lacks or has in older versions, by its fingerprint."""
    identity, content = _checksums(table, entries)
    requester_content = requester.content
    versions: bytes | None = None  # the requester's, one per local stream; None: cannot be matched
    if requester.count == len(entries):
        if requester.identity == _salted_byte(identity, salt):
            versions = requester.versions
    elif requester.count == len(entries) - 1:
        versions = _with_missing_version(entries, requester, identity, salt)
    elif requester.count == len(entries) + 1 and requester.count <= MAX_VERSIONS and salt & THOROUGH_BITS:
        versions = _without_additional_version(entries, requester.versions)
        requester_content = content = 0  # cannot be compared
    if versions is None:
        return entries
    # How far the requester is ahead, modulo 256; a large number means that it is behind.
    leads = [version - entry.stream.version & 255 for version, entry in zip(versions, entries, strict=True)]
    if not any(leads):
        return [] if requester_content == _salted_byte(content, salt) else entries
    # A requester that is ahead is sent no row. As the version byte wraps around, one answer in eight is thorough.
    threshold = MAX_VERSIONS_AHEAD if salt & THOROUGH_BITS else 0
    return [entry for entry, lead in zip(entries, leads, strict=True) if lead > threshold]


def _with_missing_version(
    entries: list[PositionedStream], requester: Fingerprint, identity: int, salt: int
) -> bytes | None:
    """Return the requester's versions with an older one inserted for the stream that it lacks, probably a new one.

    Return None if no stream matches.
    """
    for index, entry in enumerate(entries):
        if requester.identity == _salted_byte(identity ^ entry.position, salt):
            older = bytes((entry.stream.version - 1 & 255,))
            return requester.versions[:index] + older + requester.versions[index:]
    return None


def _without_additional_version(entries: list[PositionedStream], versions: bytes) -> bytes:
    """Return the requester's versions without that of the stream unknown here, probably a new one.

    That stream is found by the best match of the other versions.
    """

    def streams_behind(candidate: bytes) -> int:
        """Return the number of local streams for which the requester's version would be older."""
        return sum(
            version - entry.stream.version & 255 > MAX_VERSIONS_AHEAD
            for version, entry in zip(candidate, entries, strict=True)
        )

    return min((versions[:index] + versions[index + 1 :] for index in range(len(versions))), key=streams_behind)
