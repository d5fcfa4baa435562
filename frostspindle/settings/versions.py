"""Numbered versions as persistent maps: digests, diffs, the last K of them, and the pieces in which they travel.

Owns the form of changes on the wire, a version's digest, what history keeps, and how pieces are put together. It must
never do I/O, never walk a whole version for one change, and never take a piece that does not follow the one before.

The maps are hash array mapped tries (Bagwell 2001; Steindorfer and Vinju, OOPSLA 2015) of `immutables`: a changed copy
shares all but the path of what changed. The digest is the sum of the entries' sums modulo 2^128 (an incremental hash as
in Bellare and Micciancio, EUROCRYPT 1997, and the store's): it tells accidents, not somebody who forges entries.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec
from immutables import Map

from frostspindle.settings import schema
from frostspindle.settings.schema import ENCODE, MOST_BYTES, MOST_ENTRIES, InvalidSettingsError
from frostspindle.settings.slices import Steps, sliced, whole
from frostspindle.store.base import SUM, CorruptDataError, entry_sum, seal, unseal

PIECE = 48 * 1024  # bytes of a version in one command of the log, whose own bound is 64 KiB
MOST_PACKED = 512 << 10  # bytes of one version, compressed
MOST_PIECES = 1 + MOST_PACKED // PIECE
KEPT = 16
Changes = Mapping[str, Any]  # by key the new entry, or None: it is taken out
MODULUS = 1 << 8 * SUM


@dataclass(slots=True, frozen=True)
class Version:
    """One version: its rules, and `changes` from its parent's rules."""

    number: int
    rules: Map[str, Any]
    digest: int
    parent: int = field(default=0, compare=False)
    changes: Changes = field(default_factory=dict, compare=False)
    by: str = ""
    size: int = 0  # bytes of its keys and entries
    moved: int = field(default=0, compare=False)  # and of its changes

    @property
    def sum(self) -> bytes:
        """The digest as bytes, for the wire."""
        return self.digest.to_bytes(SUM, "big")

    def next(self, number: int, changes: Changes, by: str = "") -> Version:
        """Return the version that these changes make, at a cost that grows with the changes alone."""
        return whole(self.following(number, changes, by))

    def following(self, number: int, changes: Changes, by: str = "") -> Steps[Version]:
        """Make the version as `next` does, in slices."""
        digest, real, size, moved = self.digest, {}, self.size, 0
        with self.rules.mutate() as table:
            for (key, entry), turn in sliced(changes.items()):
                if turn:
                    yield
                was = self.rules.get(key)
                if was == entry:
                    continue
                real[key] = entry
                name = key.encode()
                moved += len(name)
                if was is not None:
                    old = ENCODE(was)
                    digest -= entry_sum(name, old)
                    size -= len(name) + len(old)
                if entry is None:
                    del table[key]
                else:
                    new = ENCODE(entry)
                    digest += entry_sum(name, new)
                    size, moved = size + len(name) + len(new), moved + len(new)
                    table[key] = entry
            rules = table.finish()
        return Version(number, rules, digest % MODULUS, self.number, real, by, size, moved)


EMPTY = Version(0, Map(), 0)


def diff(old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, Any]:
    """Return the changes from one table to another, by walking both; None stands for a removed entry."""
    changes = {key: None for key in old if key not in new}
    changes.update((key, entry) for key, entry in new.items() if old.get(key) != entry)
    return changes


def pack(changes: Changes) -> bytes:
    """Encode changes as compressed bytes with a checksum."""
    rows = [(key, entry if entry is None else ENCODE(entry)) for key, entry in sorted(changes.items())]
    return seal(zlib.compress(ENCODE(rows), 3))


_ROWS = msgspec.msgpack.Decoder(list[tuple[str, bytes | None]])


def unpack(data: bytes, most: int = 2 * MOST_BYTES) -> dict[str, Any]:
    """Decode changes; BadSettings says what can't be read, or that they are more than `most` bytes."""
    return whole(unpacking(data, most))


def unpacking(data: bytes, most: int = 2 * MOST_BYTES) -> Steps[dict[str, Any]]:
    """Decode as `unpack` does, in slices."""
    try:
        stream = zlib.decompressobj()
        text = stream.decompress(unseal(data), most)
        if not stream.eof:
            raise InvalidSettingsError(f"changes of more than {most} bytes, or some cut short")
        rows = _ROWS.decode(text)
    except (CorruptDataError, zlib.error, msgspec.MsgspecError) as error:
        raise InvalidSettingsError(f"the version's bytes: {error}") from None
    if len(rows) > 2 * MOST_ENTRIES or len({key for key, _ in rows}) < len(rows):
        raise InvalidSettingsError("too many entries, or one twice")
    changes = {}
    for (key, entry), turn in sliced(rows):
        if turn:
            yield
        changes[key] = None if entry is None else schema.entry_in(key, entry)
    return changes


def cut(data: bytes, size: int = PIECE) -> list[bytes]:
    """Split a version's bytes into pieces of `size` bytes, at least one."""
    return [data[at : at + size] for at in range(0, len(data), size)] or [b""]


@dataclass(slots=True)
class VersionAssembly:
    """A version as its pieces arrive, in order."""

    of: int
    pieces: list[bytes] = field(default_factory=list)

    def add(self, at: int, of: int, data: bytes) -> str:
        """Take the next piece; return "" if taken, else what is wrong with it. A repeat changes nothing."""
        if of != self.of or not 0 <= at < of <= MOST_PIECES or len(data) > PIECE:
            return "bounds"
        if at > len(self.pieces):
            return f"gap {len(self.pieces)}"
        if at < len(self.pieces):
            return "repeat" if self.pieces[at] == data else "other"
        self.pieces.append(data)
        return ""

    @property
    def whole(self) -> bool:
        """Whether all pieces are here."""
        return len(self.pieces) == self.of

    @property
    def size(self) -> int:
        """Number of bytes of the pieces that are here."""
        return sum(map(len, self.pieces))


class VersionHistory:
    """The last K versions, and those that are pinned, such as the proven one that rollback goes to."""

    def __init__(self, most: int = KEPT) -> None:
        self.most = most
        self._kept: dict[int, Version] = {}

    def __iter__(self) -> Iterator[Version]:
        return iter(self._kept.values())

    def __len__(self) -> int:
        return len(self._kept)

    def get(self, number: int) -> Version | None:
        """Return a version; None if it is not kept. 0 is the empty version, which always is."""
        return EMPTY if number == 0 else self._kept.get(number)

    def add(self, version: Version, pinned: Iterable[int] = ()) -> None:
        """Keep one more version; the oldest that is not pinned is dropped if there are too many."""
        self._kept[version.number] = version
        kept = {*pinned, version.number}
        while len(self._kept) > self.most:
            gone = next((number for number in self._kept if number not in kept), None)
            if gone is None:
                break
            del self._kept[gone]

    def drop(self, number: int) -> None:
        """Remove a version; no error if it is not kept."""
        self._kept.pop(number, None)

    def changes(self, old: int, new: int) -> dict[str, Any]:
        """Return the changes that lead from one version to another; KeyError if one is not kept.

        Put together from the versions' changes where these follow one another, else by walking both tables.
        """
        one, two = self.get(old), self.get(new)
        if one is None or two is None:
            raise KeyError(old if one is None else new)
        way, at = [], two
        while at.number > old and at.number:
            way.append(at)
            parent = self.get(at.parent)
            if parent is None or len(way) > self.most:
                return diff(one.rules, two.rules)
            at = parent
        if at.number != old:
            return diff(one.rules, two.rules)
        touched = {key for version in way for key in version.changes}
        return {key: two.rules.get(key) for key in touched if one.rules.get(key) != two.rules.get(key)}
