"""Buffer of updates to gossip: each is transmitted a bounded number of times, those sent least often first.

Keeps one update a key and counts its transmissions; decides nothing about what is true. No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Hashable
from itertools import islice
from typing import Any, Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class GossipBuffer(Generic[Key, Value]):
    """Updates grouped by how often they were transmitted, so that taking the next few does not walk all of them."""

    def __init__(self) -> None:
        self._levels: list[dict[Key, Value]] = [{}]  # by the number of transmissions
        self._level_of: dict[Key, int] = {}
        self.keys = self._level_of.keys()  # of all updates, as they come and go

    def __len__(self) -> int:
        return len(self._level_of)

    def put(self, key: Key, value: Value) -> None:
        """Add an update, or replace the one under its key, as one that was not transmitted yet."""
        self.discard(key)
        self._levels[0][key] = value
        self._level_of[key] = 0

    def discard(self, key: Key) -> None:
        """Stop transmitting the update under a key; no error if there is none."""
        level = self._level_of.pop(key, None)
        if level is not None:
            del self._levels[level][key]

    def peek(self, count: int) -> list[tuple[Key, Value]]:
        """Return up to `count` updates, those transmitted least often first.

        The caller calls `mark_transmitted` for each that goes out.
        """
        chosen: list[tuple[Key, Value]] = []
        if not self._level_of:
            return chosen
        for level in self._levels:
            chosen += islice(level.items(), count - len(chosen))
            if len(chosen) >= count:
                break
        return chosen

    def take(self, room: int, count: int, max_transmissions: int, excluded: Key) -> tuple[list[Any], int]:
        """Return those of the next `count` updates that fit in `room` bytes, and the room left.

        Values must be pairs of an update and its size. All taken count as transmitted; the update under the key
        `excluded` does too, and is left out.
        """
        taken: list[Any] = []
        for number, candidates in self._next_by_level(count):
            level = self._levels[number]
            later = self._level(number + 1) if number + 1 < max_transmissions else None
            for key, value in candidates:
                pair: Any = value
                update, size = pair
                if size > room:
                    return taken, room
                del level[key]
                if later is None:
                    del self._level_of[key]
                else:
                    later[key] = value
                    self._level_of[key] = number + 1
                if key != excluded:
                    room -= size
                    taken.append(update)
        return taken, room

    def _next_by_level(self, count: int) -> list[tuple[int, list[tuple[Key, Value]]]]:
        """The next `count` updates with the level that each group is on, before any of them moves."""
        groups = []
        for number, level in enumerate(self._levels):
            if level:
                group = list(islice(level.items(), count))
                groups.append((number, group))
                count -= len(group)
                if not count:
                    break
        return groups

    def _level(self, number: int) -> dict[Key, Value]:
        """A level, which is made if it is the next one."""
        if number == len(self._levels):
            self._levels.append({})
        return self._levels[number]

    def mark_transmitted(self, key: Key, max_transmissions: int) -> None:
        """Count one more transmission of an update; after `max_transmissions` it is dropped."""
        number = self._level_of.pop(key)
        value = self._levels[number].pop(key)
        if number + 1 < max_transmissions:
            self._level(number + 1)[key] = value
            self._level_of[key] = number + 1
