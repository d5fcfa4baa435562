"""Anti-entropy of counters: two members compare fingerprints of their tables and exchange the rows that differ.

The positions of all streams are cut in ranges of one width; for each range the requester sends how many rows it has,
one byte that identifies them, one of their content, and the low byte of each version. No I/O and no clock: times are ms
of the own monotonic clock.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from frostspindle.fleet import wire
from frostspindle.fleet.counter_table import CounterTable, PositionedStream
from frostspindle.fleet.wire import CounterRow

STREAMS_PER_RANGE = 8  # or up to twice that
MAX_RANGE_BITS = 10
MAX_VERSIONS = 120  # of a range; one that holds more is requested in full
TOO_MANY = b"\xff\0\0"  # fingerprint of such a range
MAX_ROWS = 32  # in one page
RECENT_MS = 500.0  # times log10 of all names: a row published so lately is on its way to the requester as gossip
MAX_VERSIONS_AHEAD = 8  # a requester that seems ahead by no more is taken to be so, unless the answer is thorough
THOROUGH_BITS = 0b1110  # of the salt: an answer is thorough if none of them is set
MASK = 2**64 - 1


class Fingerprint(NamedTuple):
    """What a requester has in one range."""

    count: int
    identity: int
    content: int
    versions: bytes  # low bytes, in order of positions


def request_rows(table: CounterTable, begin: int, salt: int) -> wire.CountersRequest:
    """Return the request for rows that another member has newer, from a position on.

    A new `salt` each time prevents that two states which look alike once do so for ever.
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
        return TOO_MANY
    identity, content = _checksums(table, entries)
    versions = [entry.stream.version & 255 for entry in entries]
    return bytes((len(versions), _salted_byte(identity, salt), _salted_byte(content, salt), *versions))


def _checksums(table: CounterTable, entries: Sequence[PositionedStream]) -> tuple[int, int]:
    """One number for which streams these are, and one for their content."""
    identity = 0
    content = 0
    for position, stream_id, stream in entries:
        identity ^= position
        content ^= table.digest(stream_id, stream) if stream.digest is None else stream.digest
    return identity, content


def _salted_byte(checksum: int, salt: int) -> int:
    return (checksum * salt & MASK) >> 56


def answer_request(table: CounterTable, now: float, request: wire.CountersRequest, room: int) -> wire.CountersPage:
    """Return whole rows that the requester lacks or has older, within `room` bytes, and where to go on.

    Fingerprints that were cut short are not answered.
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
            room -= wire.size(row)
            if rows and (room < 0 or len(rows) == MAX_ROWS):
                return wire.CountersPage(position, rows)
            rows.append(row)
    return wire.CountersPage(end << shift if first < end < 1 << request.range_bits else 0, rows)


def _read_fingerprints(data: bytes) -> Iterator[Fingerprint]:
    """The fingerprints of a request, up to one that was cut short."""
    at = 0
    while at + 3 <= len(data):
        count, identity, content = data[at : at + 3]
        versions = data[at + 3 : at + 3 + count] if count <= MAX_VERSIONS else b""
        if count <= MAX_VERSIONS and len(versions) < count:
            return
        at += 3 + len(versions)
        yield Fingerprint(count, identity, content, versions)


def _complete_streams(table: CounterTable, low: int, high: int) -> list[PositionedStream]:
    """The streams between two positions that have a version."""
    first = bisect_left(table.by_position, (low,))
    end = bisect_left(table.by_position, (high,), first)
    return [entry for entry in table.by_position[first:end] if entry.stream.version]


def _newer_streams(
    table: CounterTable, entries: list[PositionedStream], theirs: Fingerprint, salt: int
) -> list[PositionedStream]:
    """Those of our streams in one range that the requester lacks or has older, as far as its fingerprint tells."""
    identity, content = _checksums(table, entries)
    their_content = theirs.content
    versions: bytes | None = None  # theirs, one for each of our streams; None: they can't be matched
    if theirs.count == len(entries):
        if theirs.identity == _salted_byte(identity, salt):
            versions = theirs.versions
    elif theirs.count == len(entries) - 1:
        versions = _with_missing_version(entries, theirs, identity, salt)
    elif theirs.count == len(entries) + 1 and theirs.count <= MAX_VERSIONS and salt & THOROUGH_BITS:
        versions = _without_additional_version(entries, theirs.versions)
        their_content = content = 0  # can't be compared
    if versions is None:
        return entries
    # How far the requester is ahead, modulo 256: a great number means that it is behind.
    leads = [version - entry.stream.version & 255 for version, entry in zip(versions, entries, strict=True)]
    if not any(leads):
        return [] if their_content == _salted_byte(content, salt) else entries
    # A requester that is ahead of us gets nothing; one answer in eight is thorough, as a byte comes round.
    threshold = MAX_VERSIONS_AHEAD if salt & THOROUGH_BITS else 0
    return [entry for entry, lead in zip(entries, leads, strict=True) if lead > threshold]


def _with_missing_version(
    entries: list[PositionedStream], theirs: Fingerprint, identity: int, salt: int
) -> bytes | None:
    """Their versions with an older one put in for the stream that they lack, likely a new one; None if none fits."""
    for index, entry in enumerate(entries):
        if theirs.identity == _salted_byte(identity ^ entry.position, salt):
            older = bytes((entry.stream.version - 1 & 255,))
            return theirs.versions[:index] + older + theirs.versions[index:]
    return None


def _without_additional_version(entries: list[PositionedStream], versions: bytes) -> bytes:
    """Their versions without that of the stream that we lack, likely a new one: which, the versions tell."""

    def streams_behind(candidate: bytes) -> int:
        return sum(
            version - entry.stream.version & 255 > MAX_VERSIONS_AHEAD
            for version, entry in zip(candidate, entries, strict=True)
        )

    return min((versions[:index] + versions[index + 1 :] for index in range(len(versions))), key=streams_behind)
