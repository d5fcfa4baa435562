"""Durable store of the versions that may be active, for a coordinator that starts while it can't reach the others.

Defines the records in a store (frostspindle/store, which applies batches atomically and checks each entry and the whole
by checksums). A version whose digest does not match is never returned. A version is written once, as its changes from
another stored version; the first version of such a chain is stored with all its entries.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from frostspindle.settings.active_rules import RestoredVersions
from frostspindle.settings.schema import InvalidSettingsError
from frostspindle.settings.version_encoding import pack_changes, split_into_pieces, unpack_changes
from frostspindle.settings.versions import EMPTY_VERSION, Changes, Version, diff_rules
from frostspindle.store.base import Store

METADATA_KEY = b"settings/kept"
PIECE_KEY_PREFIX = b"settings/v/"
PIECE_BYTES = 60_000
MAX_CHAIN_LENGTH = 24  # beyond this, versions are written completely again
FORMAT_VERSION = 1


class _StoredVersion(Struct, array_like=True):
    number: int
    parent: int  # the version that the changes apply to; 0: all entries are stored
    author: str
    digest: bytes
    piece_count: int


class _StoredMetadata(Struct, array_like=True):
    format: int
    saved_at_ms: float  # Unix time in ms
    candidates: list[int]  # versions that may be active
    rows: list[_StoredVersion]


_decode_metadata = msgspec.msgpack.Decoder(_StoredMetadata).decode


def _piece_key(number: int, piece: int) -> bytes:
    return PIECE_KEY_PREFIX + b"%d/%d" % (number, piece)


class VersionStore:
    """One coordinator's store of versions.

    Not thread-safe; errors of the store are raised to the caller.
    """

    def __init__(self, store: Store) -> None:
        self.store: Store = store
        self._rows: dict[int, _StoredVersion] = {}

    def load(self) -> RestoredVersions:
        """Return what was saved last.

        Raise InvalidSettingsError if it is malformed (written by another program version, or modified by hand).
        """
        data = self.store.get(METADATA_KEY)
        if data is None:
            return RestoredVersions()
        try:
            metadata = _decode_metadata(data)
        except msgspec.MsgspecError as error:
            raise InvalidSettingsError(f"stored settings: {error}") from None
        if metadata.format != FORMAT_VERSION:
            raise InvalidSettingsError(f"stored settings: unsupported format {metadata.format}")
        versions = {0: EMPTY_VERSION}
        for row in metadata.rows:
            versions[row.number] = self._load_version(row, versions)
        if not set(metadata.candidates) <= versions.keys():
            raise InvalidSettingsError("stored settings: a version is missing")
        self._rows = {row.number: row for row in metadata.rows}
        return RestoredVersions(tuple(versions[number] for number in sorted(metadata.candidates)), metadata.saved_at_ms)

    def _load_version(self, row: _StoredVersion, versions: dict[int, Version]) -> Version:
        if row.parent not in versions:
            raise InvalidSettingsError(f"stored settings: the parent of version {row.number} is missing")
        packed = b"".join(self.store.get(_piece_key(row.number, piece)) or b"" for piece in range(row.piece_count))
        version = versions[row.parent].child(row.number, unpack_changes(packed), row.author)
        if version.digest_bytes != row.digest:
            raise InvalidSettingsError(f"stored settings: version {row.number} does not match its digest")
        return version

    def save(self, versions: tuple[Version, ...], unix_ms: float) -> None:
        """Store the versions that may be active, atomically. Raise StoreError if that fails."""
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
                parent, changes = self._find_base(version, previous, compact)
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

    def _find_base(self, version: Version, previous: Version, compact: bool) -> tuple[int, Changes]:
        """Return the number of the version that a new one is stored relative to, and the changes from there.

        That is the previous version of the batch; for the first of a batch, its parent if that is stored.
        """
        parent = previous.number
        if not parent and not compact and version.parent in self._rows:
            return version.parent, version.changes
        if parent and version.parent == parent:
            return parent, version.changes
        return parent, diff_rules(previous.rules, version.rules)

    def _with_ancestors(self, rows: dict[int, _StoredVersion]) -> dict[int, _StoredVersion]:
        """Return these rows and the rows that they are stored relative to."""
        needed = dict(rows)
        for row in rows.values():
            while row.parent and row.parent not in needed:
                row = self._rows[row.parent]
                needed[row.number] = row
        return needed

    def _removals(self, needed: dict[int, _StoredVersion]) -> dict[bytes, bytes | None]:
        """Return the removals of pieces that are no longer needed."""
        removals: dict[bytes, bytes | None] = {}
        for row in self._rows.values():
            retained = needed.get(row.number)
            first_removed = retained.piece_count if retained is not None else 0
            for piece in range(first_removed, row.piece_count):
                removals[_piece_key(row.number, piece)] = None
        return removals

    def _chain_length(self, versions: tuple[Version, ...]) -> int:
        """Return the length of the longest chain of stored rows that these versions build on."""
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
