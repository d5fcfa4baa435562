"""The form in which a version's changes travel: compressed, with a checksum, and in pieces. No I/O."""

from __future__ import annotations

import zlib
from dataclasses import dataclass, field
from typing import Any

import msgspec

from frostspindle.settings.schema import (
    MAX_ENTRIES,
    MAX_VERSION_BYTES,
    InvalidSettingsError,
    decode_entry,
    encode_msgpack,
)
from frostspindle.settings.slices import SlicedWork, iterate_in_slices, run_to_end
from frostspindle.settings.versions import Changes
from frostspindle.store.base import CorruptDataError, seal, unseal

PIECE_BYTES = 48 * 1024  # of a version in one command of the log, whose own limit is 64 KiB
MAX_PACKED_BYTES = 512 << 10  # of one version, compressed
MAX_PIECES = 1 + MAX_PACKED_BYTES // PIECE_BYTES
MAX_CHANGES_BYTES = 2 * MAX_VERSION_BYTES  # of changes, not compressed
COMPRESSION_LEVEL = 3

_decode_rows = msgspec.msgpack.Decoder(list[tuple[str, bytes | None]]).decode


def pack_changes(changes: Changes) -> bytes:
    """Encode changes as compressed bytes with a checksum."""
    rows = [(key, entry if entry is None else encode_msgpack(entry)) for key, entry in sorted(changes.items())]
    return seal(zlib.compress(encode_msgpack(rows), COMPRESSION_LEVEL))


def unpack_changes(data: bytes, max_bytes: int = MAX_CHANGES_BYTES) -> dict[str, Any]:
    """Decode changes; InvalidSettingsError if they can't be read or are more than `max_bytes`."""
    return run_to_end(unpack_changes_in_slices(data, max_bytes))


def unpack_changes_in_slices(data: bytes, max_bytes: int = MAX_CHANGES_BYTES) -> SlicedWork[dict[str, Any]]:
    """Decode as `unpack_changes` does, in slices."""
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
    changes: dict[str, Any] = {}
    for (key, entry), slice_ends in iterate_in_slices(rows):
        if slice_ends:
            yield
        changes[key] = None if entry is None else decode_entry(key, entry)
    return changes


def split_into_pieces(data: bytes, piece_bytes: int = PIECE_BYTES) -> list[bytes]:
    """Split a version's bytes into pieces, at least one."""
    return [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)] or [b""]


@dataclass(slots=True)
class VersionAssembly:
    """A version's pieces as they arrive, in order."""

    piece_count: int
    pieces: list[bytes] = field(default_factory=list)

    def add(self, piece_index: int, piece_count: int, data: bytes) -> str:
        """Take the next piece; return "" if taken, else what is wrong with it. A repeat changes nothing."""
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
        """Number of bytes of the pieces that have arrived."""
        return sum(map(len, self.pieces))
