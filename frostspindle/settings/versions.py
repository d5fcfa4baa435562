"""Numbered versions of the rules as persistent maps with digests, and the history of the last versions.

No I/O. Applying changes never walks a whole version: the maps are the hash array mapped tries of `immutables` (Bagwell
2001; Steindorfer and Vinju, OOPSLA 2015), where a changed copy shares all unchanged subtrees. The digest is the sum of
the entries' checksums modulo 2^128, an incremental hash as in Bellare and Micciancio, EUROCRYPT 1997, and as in the
store. It detects accidental corruption but not forged entries.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from immutables import Map

from frostspindle.settings.schema import Entry, Rules, encode_msgpack
from frostspindle.settings.slices import SlicedWork, iterate_in_slices, run_to_end
from frostspindle.store.base import SUM, entry_sum

HISTORY_CAPACITY = 16
DIGEST_MODULUS = 1 << 8 * SUM
Table = Map[str, Entry]  # a version's rules as a persistent map
Changes = Mapping[str, Entry | None]  # key to the new entry, or None if it is removed


@dataclass(slots=True, frozen=True)
class Version:
    """One version: its rules, and the `changes` from its parent's rules."""

    number: int
    rules: Table
    digest: int
    parent: int = field(default=0, compare=False)
    changes: Changes = field(default_factory=dict, compare=False)
    author: str = ""  # key of the draft that it was made from
    size: int = 0  # total bytes of the keys and encoded entries
    changes_size: int = field(default=0, compare=False)  # the same for `changes`

    @property
    def digest_bytes(self) -> bytes:
        """The digest as bytes, for the wire."""
        return self.digest.to_bytes(SUM, "big")

    def child(self, number: int, changes: Changes, author: str = "") -> Version:
        """Return the version that results from these changes, in time linear in the changes."""
        return run_to_end(self.child_in_slices(number, changes, author))

    def child_in_slices(self, number: int, changes: Changes, author: str = "") -> SlicedWork[Version]:
        """Do the work of `child` in slices."""
        digest = self.digest
        size = self.size
        changes_size = 0
        effective_changes: dict[str, Entry | None] = {}  # without those that have no effect
        with self.rules.mutate() as table:
            for (key, entry), slice_ends in iterate_in_slices(changes.items()):
                if slice_ends:
                    yield
                previous = self.rules.get(key)
                if previous == entry:
                    continue
                effective_changes[key] = entry
                name = key.encode()
                changes_size += len(name)
                if previous is not None:
                    previous_bytes = encode_msgpack(previous)
                    digest -= entry_sum(name, previous_bytes)
                    size -= len(name) + len(previous_bytes)
                if entry is None:
                    del table[key]
                else:
                    entry_bytes = encode_msgpack(entry)
                    digest += entry_sum(name, entry_bytes)
                    size += len(name) + len(entry_bytes)
                    changes_size += len(entry_bytes)
                    table[key] = entry
            rules = table.finish()
        return Version(
            number, rules, digest % DIGEST_MODULUS, self.number, effective_changes, author, size, changes_size
        )


EMPTY_VERSION = Version(0, Map(), 0)


def diff_rules(old: Rules, new: Rules) -> dict[str, Entry | None]:
    """Return the changes from one table to another by walking both; None marks a removed entry."""
    changes: dict[str, Entry | None] = {key: None for key in old if key not in new}
    changes.update((key, entry) for key, entry in new.items() if old.get(key) != entry)
    return changes


class VersionHistory:
    """The last versions, up to `capacity`. Pinned versions, such as the target of a rollback, are not evicted."""

    def __init__(self, capacity: int = HISTORY_CAPACITY) -> None:
        self.capacity: int = capacity
        self._versions: dict[int, Version] = {}

    def __iter__(self) -> Iterator[Version]:
        return iter(self._versions.values())

    def __len__(self) -> int:
        return len(self._versions)

    def get(self, number: int) -> Version | None:
        """Return a version, None if it is not in the history. Version 0 is the empty version and always available."""
        return EMPTY_VERSION if number == 0 else self._versions.get(number)

    def add(self, version: Version, pinned: Iterable[int] = ()) -> None:
        """Add a version, and remove the oldest ones that are not pinned if there are too many."""
        self._versions[version.number] = version
        pinned_numbers = {*pinned, version.number}
        while len(self._versions) > self.capacity:
            oldest = next((number for number in self._versions if number not in pinned_numbers), None)
            if oldest is None:
                break
            del self._versions[oldest]

    def remove(self, number: int) -> None:
        """Remove a version, if it is in the history."""
        self._versions.pop(number, None)

    def changes_between(self, old: int, new: int) -> dict[str, Entry | None]:
        """Return the changes from one version to another. Raise KeyError if one is not in the history.

        If the old version is an ancestor of the new one, only the changes between them are visited, else both tables.
        """
        old_version = self.get(old)
        new_version = self.get(new)
        if old_version is None:
            raise KeyError(old)
        if new_version is None:
            raise KeyError(new)
        descendants = self._path_from_ancestor(new_version, old)
        if descendants is None:
            return diff_rules(old_version.rules, new_version.rules)
        changed_keys = {key for version in descendants for key in version.changes}
        return {
            key: new_version.rules.get(key)
            for key in changed_keys
            if old_version.rules.get(key) != new_version.rules.get(key)
        }

    def _path_from_ancestor(self, version: Version, ancestor: int) -> list[Version] | None:
        """Return the versions from `version` up to an ancestor, without it.

        None if it is not an ancestor, or a version between them is not in the history.
        """
        path: list[Version] = []
        while version.number > ancestor and version.number:
            path.append(version)
            parent = self.get(version.parent)
            if parent is None or len(path) > self.capacity:
                return None
            version = parent
        return path if version.number == ancestor else None
