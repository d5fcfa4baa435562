"""The versions that may be active, in a durable store: what a coordinator serves by that starts without the fleet.

Owns the form of the records in a store (frostspindle/store, which applies a batch completely or not at all and has a
checksum of each entry and of the whole). A version whose digest does not match is never returned. A stored version is
not written again: each is stored as its changes from another one, and the first of such a chain as all its entries.
"""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from frostspindle.settings.active_rules import RestoredVersions
from frostspindle.settings.schema import InvalidSettingsError
from frostspindle.settings.version_encoding import pack_changes, split_into_pieces, unpack_changes
from frostspindle.settings.versions import EMPTY_VERSION, Version, diff_rules
from frostspindle.store.base import Store

METADATA_KEY = b"settings/kept"
PIECE_KEY_PREFIX = b"settings/v/"
PIECE_BYTES = 60_000
MAX_CHAIN_LENGTH = 24  # versions stored as changes, until one is stored completely again
FORMAT_VERSION = 1


class _StoredVersion(Struct, array_like=True):
    number: int
    parent: int  # the version that the changes are from; 0: they are all entries
    author: str
    digest: bytes
    piece_count: int


class _StoredMetadata(Struct, array_like=True):
    format: int
    saved_at_ms: float  # Unix time
    candidates: list[int]  # versions that may be active
    rows: list[_StoredVersion]


_decode_metadata = msgspec.msgpack.Decoder(_StoredMetadata).decode


def _piece_key(number: int, piece: int) -> bytes:
    return PIECE_KEY_PREFIX + b"%d/%d" % (number, piece)


class VersionStore:
    """One coordinator's store of versions.

    Not safe for two threads at a time; store errors are raised to the caller.
    """

    def __init__(self, store: Store) -> None:
        self.store: Store = store
        self._rows: dict[int, _StoredVersion] = {}

    def load(self) -> RestoredVersions:
        """Return what was saved last.

        InvalidSettingsError if it can't be read (a store of another program version, or changed by hand).
        """
        data = self.store.get(METADATA_KEY)
        if data is None:
            return RestoredVersions()
        try:
            metadata = _decode_metadata(data)
        except msgspec.MsgspecError as error:
            raise InvalidSettingsError(f"kept settings: {error}") from None
        if metadata.format != FORMAT_VERSION:
            raise InvalidSettingsError(f"kept settings: format {metadata.format}")
        versions = {0: EMPTY_VERSION}
        for row in metadata.rows:
            versions[row.number] = self._load_version(row, versions)
        if not set(metadata.candidates) <= versions.keys():
            raise InvalidSettingsError("kept settings: a version is missing")
        self._rows = {row.number: row for row in metadata.rows}
        return RestoredVersions(tuple(versions[number] for number in sorted(metadata.candidates)), metadata.saved_at_ms)

    def _load_version(self, row: _StoredVersion, versions: dict[int, Version]) -> Version:
        if row.parent not in versions:
            raise InvalidSettingsError(f"kept settings: version {row.number} has lost what it stands on")
        packed = b"".join(self.store.get(_piece_key(row.number, piece)) or b"" for piece in range(row.piece_count))
        version = versions[row.parent].child(row.number, unpack_changes(packed), row.author)
        if version.digest_bytes != row.digest:
            raise InvalidSettingsError(f"kept settings: the checksum of version {row.number} does not hold")
        return version

    def save(self, versions: tuple[Version, ...], unix_ms: float) -> None:
        """Make these versions, which may be active, durable, all or none; StoreError if that fails."""
        versions = tuple(sorted(versions, key=lambda version: version.number))
        rows: dict[int, _StoredVersion] = {}
        writes: dict[bytes, bytes | None] = {}
        compact = self._chain_length(versions) > MAX_CHAIN_LENGTH
        previous = EMPTY_VERSION
        for version in versions:
            stored = self._rows.get(version.number)
            if stored is not None and stored.digest == version.digest_bytes and not compact:
                rows[version.number] = stored
            else:
                parent, changes = self._base_of(version, previous, compact)
                pieces = split_into_pieces(pack_changes(changes), PIECE_BYTES)
                rows[version.number] = _StoredVersion(
                    version.number, parent, version.author, version.digest_bytes, len(pieces)
                )
                writes.update({_piece_key(version.number, index): piece for index, piece in enumerate(pieces)})
            previous = version
        needed = self._with_ancestors(rows)
        writes.update(self._removals(needed))
        ordered = dict(sorted(needed.items()))
        candidates = [version.number for version in versions]
        writes[METADATA_KEY] = msgspec.msgpack.encode(
            _StoredMetadata(FORMAT_VERSION, unix_ms, candidates, list(ordered.values()))
        )
        self.store.apply(writes)
        self._rows = ordered

    def _base_of(self, version: Version, previous: Version, compact: bool) -> tuple[int, Any]:
        """The number of the version that a new one is stored on, and the changes from there.

        That is the one saved before it in this batch; the first of a batch is stored on its parent if that is stored.
        """
        parent = previous.number
        if not parent and not compact and version.parent in self._rows:
            return version.parent, version.changes
        if parent and version.parent == parent:
            return parent, version.changes
        return parent, diff_rules(previous.rules, version.rules)

    def _with_ancestors(self, rows: dict[int, _StoredVersion]) -> dict[int, _StoredVersion]:
        """These rows and those that they are stored on."""
        needed = dict(rows)
        for row in rows.values():
            while row.parent and row.parent not in needed:
                row = self._rows[row.parent]
                needed[row.number] = row
        return needed

    def _removals(self, needed: dict[int, _StoredVersion]) -> dict[bytes, bytes | None]:
        """Removals of the pieces that are needed no more."""
        removals: dict[bytes, bytes | None] = {}
        for row in self._rows.values():
            kept = needed.get(row.number)
            first_removed = kept.piece_count if kept is not None else 0
            for piece in range(first_removed, row.piece_count):
                removals[_piece_key(row.number, piece)] = None
        return removals

    def _chain_length(self, versions: tuple[Version, ...]) -> int:
        """The longest chain of changes from any of these versions to one that is stored completely."""
        longest = 0
        for version in versions:
            length = 0
            number = version.number if version.number in self._rows else version.parent
            row = self._rows.get(number)
            while row is not None:
                length += 1
                row = self._rows.get(row.parent)
            longest = max(longest, length)
        return longest
