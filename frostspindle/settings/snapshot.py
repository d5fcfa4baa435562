"""The state machine's snapshot and its encoding. No I/O.

The snapshot is encoded as a MessagePack array: the order of the fields is fixed, field names are not stored.
"""

from __future__ import annotations

import zlib
from dataclasses import replace

import msgspec
from msgspec import Struct

from frostspindle.settings.history_event import HistoryEvent
from frostspindle.settings.log_commands import DraftPiece, RenewLease
from frostspindle.settings.schema import encode_msgpack
from frostspindle.settings.version_encoding import pack_changes, unpack_changes
from frostspindle.settings.versions import EMPTY_VERSION, HISTORY_CAPACITY, VersionHistory

FORMAT_VERSION = 1
MAX_SNAPSHOT_BYTES = 16 << 20  # uncompressed
COMPRESSION_LEVEL = 1

# Number, parent (-1: unknown), author, digest, size of the changes, and the packed changes from the previous row.
VersionRow = tuple[int, int, str, bytes, int, bytes]


class Snapshot(Struct, array_like=True):
    """The machine's state without its counters and prebuilt versions."""

    format: int
    highest_token: int
    last_version: int
    active_version: int
    confirmed_version: int
    pending_version: int
    trial_index: int
    applied_index: int
    versions: list[VersionRow]
    drafts: list[tuple[DraftPiece, list[bytes], int]]
    members: list[tuple[RenewLease, int]]
    rolled_back_digests: list[tuple[bytes, int]]
    events: list[HistoryEvent]
    baseline: tuple[float, ...] = ()


_decode = msgspec.msgpack.Decoder(Snapshot).decode


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode and compress a snapshot."""
    return zlib.compress(encode_msgpack(snapshot), COMPRESSION_LEVEL)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot, without checking its versions. Raise ValueError if it is malformed."""
    try:
        stream = zlib.decompressobj()
        encoded = stream.decompress(data, MAX_SNAPSHOT_BYTES)
        if not stream.eof:
            raise ValueError("settings: the snapshot is truncated or too large")
        return _decode(encoded)
    except (zlib.error, msgspec.MsgspecError) as error:
        raise ValueError(f"settings: {error}") from None


def encode_versions(versions: VersionHistory) -> list[VersionRow]:
    """Return the history as rows, each with the changes from the row before."""
    rows: list[VersionRow] = []
    previous = EMPTY_VERSION
    for version in versions:
        follows_parent = version.parent == previous.number and previous is not EMPTY_VERSION
        if follows_parent:
            parent = version.parent
            changes = version.changes
        else:
            parent = -1
            changes = versions.changes_between(previous.number, version.number)
        rows.append(
            (
                version.number,
                parent,
                version.author,
                version.digest_bytes,
                version.changes_size,
                pack_changes(changes),
            )
        )
        previous = version
    return rows


def decode_versions(rows: list[VersionRow]) -> VersionHistory:
    """Return the history. Raise ValueError if a digest does not match."""
    versions = VersionHistory(HISTORY_CAPACITY)
    previous = EMPTY_VERSION
    for number, parent, author, digest, changes_size, packed in rows:
        version = previous.child(number, unpack_changes(packed, MAX_SNAPSHOT_BYTES), author)
        if version.digest_bytes != digest or number <= previous.number:
            raise ValueError(f"settings: version {number} does not match its digest")
        if parent < 0:  # there is no version -1, so differences from the parent are found by comparing whole tables
            version = replace(version, parent=-1, changes={})
        previous = replace(version, changes_size=changes_size)
        versions.add(previous)
    return versions
