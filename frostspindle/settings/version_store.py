"""The versions that may be live, in a durable store: what a coordinator serves by that starts without the fleet.

Owns the form of the records in a store (frostspindle/store, which is whole or not at all at every write point and has a
checksum of each entry and of the whole). It must never hand out a version whose digest does not hold, and never write a
version anew that is there: a version is its changes from one that is kept, the first of a chain is whole.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from frostspindle.settings.decisions import RestoredVersions
from frostspindle.settings.schema import InvalidSettingsError
from frostspindle.settings.versions import EMPTY, Version, cut, diff, pack, unpack
from frostspindle.store.base import Store

META, PREFIX = b"settings/kept", b"settings/v/"
PIECE = 60_000
CHAIN = 24  # versions by their changes only, until one is written whole again
FORMAT = 1


class _StoredVersion(Struct, array_like=True):
    number: int
    parent: int  # the version that the changes are from; 0: they are the whole
    by: str
    digest: bytes
    pieces: int


class _StoredMeta(Struct, array_like=True):
    format: int
    at_ms: float
    open: list[int]  # versions that may be live
    rows: list[_StoredVersion]


_READ = msgspec.msgpack.Decoder(_StoredMeta).decode


def _key(number: int, piece: int) -> bytes:
    return PREFIX + b"%d/%d" % (number, piece)


class VersionStore:
    """One coordinator's store of versions.

    Not safe for two threads at a time; store errors are raised to the caller.
    """

    def __init__(self, store: Store) -> None:
        self.store = store
        self._rows: dict[int, _StoredVersion] = {}

    def load(self) -> RestoredVersions:
        """Return what was kept last.

        BadSettings if it does not hold (a store of another program version, or changed by hand).
        """
        if (data := self.store.get(META)) is None:
            return RestoredVersions()
        try:
            meta = _READ(data)
        except msgspec.MsgspecError as error:
            raise InvalidSettingsError(f"kept settings: {error}") from None
        if meta.format != FORMAT:
            raise InvalidSettingsError(f"kept settings: format {meta.format}")
        versions = {0: EMPTY}
        for row in meta.rows:
            if row.parent not in versions:
                raise InvalidSettingsError(f"kept settings: version {row.number} has lost what it stands on")
            packed = b"".join(self.store.get(_key(row.number, piece)) or b"" for piece in range(row.pieces))
            version = versions[row.parent].next(row.number, unpack(packed), row.by)
            if version.sum != row.digest:
                raise InvalidSettingsError(f"kept settings: the checksum of version {row.number} does not hold")
            versions[row.number] = version
        if not set(meta.open) <= versions.keys():
            raise InvalidSettingsError("kept settings: a version is missing")
        self._rows = {row.number: row for row in meta.rows}
        return RestoredVersions(tuple(versions[number] for number in sorted(meta.open)), meta.at_ms)

    def keep(self, versions: tuple[Version, ...], unix_ms: float) -> None:
        """Make these versions, which may be live, durable, all or none; StoreError if that fails."""
        versions = tuple(sorted(versions, key=lambda version: version.number))
        rows, changes = {}, {}
        whole = self._chain(versions) > CHAIN
        before = EMPTY
        for version in versions:
            known = self._rows.get(version.number)
            if known is not None and known.digest == version.sum and not whole:
                rows[version.number] = known
            else:
                parent = before.number
                made = diff(before.rules, version.rules) if version.parent != parent or not parent else version.changes
                if not parent and not whole and (kept := self._rows.get(version.parent)) is not None:
                    parent, made = kept.number, version.changes
                pieces = cut(pack(made), PIECE)
                rows[version.number] = _StoredVersion(version.number, parent, version.by, version.sum, len(pieces))
                changes.update({_key(version.number, at): piece for at, piece in enumerate(pieces)})
            before = version
        needed = dict(rows)
        for row in rows.values():  # what these stand on stays
            while row.parent and row.parent not in needed:
                row = self._rows[row.parent]
                needed[row.number] = row
        for row in self._rows.values():
            now = needed.get(row.number)
            for piece in range(now.pieces if now is not None else 0, row.pieces):
                changes[_key(row.number, piece)] = None
        ordered = dict(sorted(needed.items()))
        changes[META] = msgspec.msgpack.encode(
            _StoredMeta(FORMAT, unix_ms, [version.number for version in versions], list(ordered.values()))
        )
        self.store.apply(changes)
        self._rows = ordered

    def _chain(self, versions: tuple[Version, ...]) -> int:
        """The longest way of these versions down to a whole one."""
        longest = 0
        for version in versions:
            steps, number = 0, version.number if version.number in self._rows else version.parent
            while (row := self._rows.get(number)) is not None:
                steps, number = steps + 1, row.parent
            longest = max(longest, steps)
        return longest
