"""Encoding of a version's changes for the log: compressed, with a checksum, split into pieces. No I/O."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field

import msgspec

from frostspindle.settings.schema import (
    MAX_ENTRIES,
    MAX_VERSION_BYTES,
    Entry,
    InvalidSettingsError,
    decode_entry,
    encode_msgpack,
)
from frostspindle.settings.slices import SlicedWork, iterate_in_slices, run_to_end
from frostspindle.settings.versions import Changes
from frostspindle.store.base import CorruptDataError, seal, unseal

PIECE_BYTES = 48 * 1024  # in one command of the log, which is limited to 64 KiB
MAX_PACKED_BYTES = 512 << 10  # of one draft, compressed
MAX_PIECES = 1 + MAX_PACKED_BYTES // PIECE_BYTES
MAX_CHANGES_BYTES = 2 * MAX_VERSION_BYTES  # of changes, uncompressed
COMPRESSION_LEVEL = 3

_decode_rows = msgspec.msgpack.Decoder(list[tuple[str, bytes | None]]).decode


def pack_changes(changes: Changes) -> bytes:
    """Encode and compress changes, with a checksum."""
    rows = [(key, entry if entry is None else encode_msgpack(entry)) for key, entry in sorted(changes.items())]
    return seal(zlib.compress(encode_msgpack(rows), COMPRESSION_LEVEL))


def unpack_changes(data: bytes, max_bytes: int = MAX_CHANGES_BYTES) -> dict[str, Entry | None]:
    """Decode changes. Raise InvalidSettingsError if they are corrupt or larger than `max_bytes`."""
    return run_to_end(unpack_changes_in_slices(data, max_bytes))


def unpack_changes_in_slices(data: bytes, max_bytes: int = MAX_CHANGES_BYTES) -> SlicedWork[dict[str, Entry | None]]:
    """Do the work of `unpack_changes` in slices."""
    try:
        stream = zlib.decompressobj()
        encoded_rows = stream.decompress(unseal(data), max_bytes)
        if not stream.eof:
            raise InvalidSettingsError(f"changes of more than {max_bytes} bytes, or some cut short")
        rows = _decode_rows(encoded_rows)
    except (CorruptDataError, zlib.error, msgspec.MsgspecError) as error:
        raise InvalidSettingsError(f"the version's bytes: {error}") from None
    if len(rows) > 2 * MAX_ENTRIES or len({key for key, _ in rows}) < len(rows):
        raise InvalidSettingsError("too many entries, or one twice")
    changes: dict[str, Entry | None] = {}
    for (key, entry), slice_ends in iterate_in_slices(rows):
        if slice_ends:
            yield
        changes[key] = None if entry is None else decode_entry(key, entry)
    return changes


def split_into_pieces(data: bytes, piece_bytes: int = PIECE_BYTES) -> list[bytes]:
    """Split bytes into pieces; empty input gives one empty piece."""
    return [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)] or [b""]


@dataclass(slots=True)
class VersionAssembly:
    """Collects the pieces of a draft in order."""

    piece_count: int
    pieces: list[bytes] = field(default_factory=list)

    def add(self, piece_index: int, piece_count: int, data: bytes) -> str:
        """Add the next piece and return "", or return why it was not added. A repeated piece has no effect."""
        if (
            piece_count != self.piece_count
            or not 0 <= piece_index < piece_count <= MAX_PIECES
            or len(data) > PIECE_BYTES
        ):
            return "bounds"
        if piece_index > len(self.pieces):
            return f"gap {len(self.pieces)}"
        if piece_index < len(self.pieces):
            return "repeat" if self.pieces[piece_index] == data else "other"
        self.pieces.append(data)
        return ""

    @property
    def is_complete(self) -> bool:
        """Whether all pieces have arrived."""
        return len(self.pieces) == self.piece_count

    @property
    def size(self) -> int:
        """Total size of the pieces that have arrived, in bytes."""
        return sum(map(len, self.pieces))
