"""Buffer of updates to gossip: each is transmitted a bounded number of times, least transmitted updates first.

Stores one update per key and counts its transmissions, whatever the update says. No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Hashable
from itertools import islice
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")
Update = TypeVar("Update")


class GossipBuffer(Generic[Key, Value]):
    """Updates grouped by number of transmissions, so that taking the next few does not scan all of them."""

    def __init__(self) -> None:
        self._levels: list[dict[Key, Value]] = [{}]  # indexed by number of transmissions
        self._level_of: dict[Key, int] = {}
        self.keys = self._level_of.keys()  # of all updates; a live view

    def __len__(self) -> int:
        return len(self._level_of)

    def put(self, key: Key, value: Value) -> None:
        """Add an update, or replace the one with the same key, with no transmissions counted."""
        self.discard(key)
        self._levels[0][key] = value
        self._level_of[key] = 0

    def discard(self, key: Key) -> None:
        """Remove the update with a key, if there is one."""
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[level][key]

    def peek(self, count: int) -> list[tuple[Key, Value]]:
        """Return up to `count` updates, least transmitted ones first.

        The caller must call `mark_transmitted` for each one that is sent.
        """
        chosen: list[tuple[Key, Value]] = []
        if not self._level_of:
            return chosen
        for level in self._levels:
            chosen += islice(level.items(), count - len(chosen))
            if len(chosen) >= count:
                break
        return chosen

    def _level(self, number: int) -> dict[Key, Value]:
        """Return a level, creating it if it follows the last one."""
        if number == len(self._levels):
            self._levels.append({})
        return self._levels[number]

    def mark_transmitted(self, key: Key, max_transmissions: int) -> None:
        """Count a transmission of an update; after `max_transmissions` it is removed."""
        number = self._level_of.pop(key)
        value = self._levels[number].pop(key)
        if number + 1 < max_transmissions:
            self._level(number + 1)[key] = value
            self._level_of[key] = number + 1


class SizedGossipBuffer(GossipBuffer[Key, tuple[Update, int]]):
    """Updates with their sizes in bytes, to fill messages of limited size."""

    def take(self, remaining_bytes: int, count: int, max_transmissions: int, excluded: Key) -> tuple[list[Update], int]:
        """Return those of the next `count` updates that fit in `remaining_bytes`, and the bytes still left.

        All returned updates count as transmitted; so does the update with the key `excluded`, which is left out.
        """
        taken: list[Update] = []
        for number, candidates in self._next_by_level(count):
            level = self._levels[number]
            next_level = self._level(number + 1) if number + 1 < max_transmissions else None
            for key, value in candidates:
                update, size = value
                if size > remaining_bytes:
                    return taken, remaining_bytes
                del level[key]
                if next_level is None:
                    del self._level_of[key]
                else:
                    next_level[key] = value
                    self._level_of[key] = number + 1
                if key != excluded:
                    remaining_bytes -= size
                    taken.append(update)
        return taken, remaining_bytes

    def _next_by_level(self, count: int) -> list[tuple[int, list[tuple[Key, tuple[Update, int]]]]]:
        """Return the next `count` updates grouped by level, as a copy that later moves do not affect."""
        groups = []
        for number, level in enumerate(self._levels):
            if level:
                group = list(islice(level.items(), count))
                groups.append((number, group))
                count -= len(group)
                if not count:
                    break
        return groups
