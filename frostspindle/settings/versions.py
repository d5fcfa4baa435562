"""Numbered versions of the rules as persistent maps, with digests, and the last ones as a history.

No I/O. A change never walks a whole version: the maps are hash array mapped tries (Bagwell 2001; Steindorfer and
Vinju, OOPSLA 2015) of `immutables`, where a changed copy shares all but the path of what changed. The digest is the sum
of the entries' sums modulo 2^128 (an incremental hash as in Bellare and Micciancio, EUROCRYPT 1997, and the store's):
it detects accidents, not somebody who forges entries.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from immutables import Map

from frostspindle.settings.schema import encode_msgpack
from frostspindle.settings.slices import SlicedWork, iterate_in_slices, run_to_end
from frostspindle.store.base import SUM, entry_sum

KEPT_VERSIONS = 16
DIGEST_MODULUS = 1 << 8 * SUM
Changes = Mapping[str, Any]  # by key the new entry, or None for a removed one


@dataclass(slots=True, frozen=True)
class Version:
    """One version: its rules, and `changes` from its parent's rules."""

    number: int
    rules: Map[str, Any]
    digest: int
    parent: int = field(default=0, compare=False)
    changes: Changes = field(default_factory=dict, compare=False)
    author: str = ""  # key of the draft
    size: int = 0  # bytes of its keys and entries
    changes_size: int = field(default=0, compare=False)  # bytes of the keys and entries of `changes`

    @property
    def digest_bytes(self) -> bytes:
        """The digest as bytes, for the wire."""
        return self.digest.to_bytes(SUM, "big")

    def child(self, number: int, changes: Changes, author: str = "") -> Version:
        """Return the version that these changes make, at a cost that grows with the changes alone."""
        return run_to_end(self.child_in_slices(number, changes, author))

    def child_in_slices(self, number: int, changes: Changes, author: str = "") -> SlicedWork[Version]:
        """Make the version as `child` does, in slices."""
        digest = self.digest
        size = self.size
        changes_size = 0
        effective_changes: dict[str, Any] = {}  # without those that change nothing
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


def diff_rules(old: Mapping[str, Any], new: Mapping[str, Any]) -> dict[str, Any]:
    """Return the changes from one table to another, by walking both; None stands for a removed entry."""
    changes = {key: None for key in old if key not in new}
    changes.update((key, entry) for key, entry in new.items() if old.get(key) != entry)
    return changes


class VersionHistory:
    """The last versions, up to `capacity`, and those that are pinned, such as the one that a rollback goes to."""

    def __init__(self, capacity: int = KEPT_VERSIONS) -> None:
        self.capacity: int = capacity
        self._versions: dict[int, Version] = {}

    def __iter__(self) -> Iterator[Version]:
        return iter(self._versions.values())

    def __len__(self) -> int:
        return len(self._versions)

    def get(self, number: int) -> Version | None:
        """Return a version; None if it is not kept. 0 is the empty version, which always is."""
        return EMPTY_VERSION if number == 0 else self._versions.get(number)

    def add(self, version: Version, pinned: Iterable[int] = ()) -> None:
        """Keep one more version; the oldest that is not pinned is removed if there are too many."""
        self._versions[version.number] = version
        pinned_numbers = {*pinned, version.number}
        while len(self._versions) > self.capacity:
            oldest = next((number for number in self._versions if number not in pinned_numbers), None)
            if oldest is None:
                break
            del self._versions[oldest]

    def remove(self, number: int) -> None:
        """Remove a version; no error if it is not kept."""
        self._versions.pop(number, None)

    def changes_between(self, old: int, new: int) -> dict[str, Any]:
        """Return the changes that lead from one version to another; KeyError if one is not kept.

        Put together from the versions' changes where these follow one another, else by walking both tables.
        """
        old_version = self.get(old)
        new_version = self.get(new)
        if old_version is None:
            raise KeyError(old)
        if new_version is None:
            raise KeyError(new)
        descendants = self._path_up_to(new_version, old)
        if descendants is None:
            return diff_rules(old_version.rules, new_version.rules)
        changed_keys = {key for version in descendants for key in version.changes}
        return {
            key: new_version.rules.get(key)
            for key in changed_keys
            if old_version.rules.get(key) != new_version.rules.get(key)
        }

    def _path_up_to(self, version: Version, ancestor: int) -> list[Version] | None:
        """The versions from `version` up to, without, an ancestor; None if it is none or one between is not kept."""
        path: list[Version] = []
        while version.number > ancestor and version.number:
            path.append(version)
            parent = self.get(version.parent)
            if parent is None or len(path) > self.capacity:
                return None
            version = parent
        return path if version.number == ancestor else None
