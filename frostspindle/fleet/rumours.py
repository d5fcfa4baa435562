"""News on its way through the fleet: each piece is passed on a bounded number of times, the newest first.

Owns how often each piece has been passed on. It must never hold two pieces under one key, and decides nothing about
what is true.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class Rumours(Generic[Key, Value]):
    """Pieces by how often they were sent: a look at the next few costs nothing for the rest."""

    def __init__(self) -> None:
        self._levels: list[dict[Key, Value]] = [{}]
        self._level: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._level)

    def put(self, key: Key, value: Value) -> None:
        """A piece, or newer word in its place, that nobody has been sent."""
        self.drop(key)
        self._levels[0][key] = value
        self._level[key] = 0

    def drop(self, key: Key) -> None:
        if (level := self._level.pop(key, None)) is not None:
            del self._levels[level][key]

    def next(self, most: int) -> Iterator[tuple[Key, Value]]:
        """Up to so many pieces, those sent least often first; call `sent` for each that goes out."""
        for level in list(self._levels):
            for piece in list(level.items())[:most]:
                yield piece
                most -= 1
            if most <= 0:
                return

    def sent(self, key: Key, times: int) -> None:
        """It went out once more; after `times` it is forgotten."""
        level = self._level.pop(key)
        value = self._levels[level].pop(key)
        if level + 1 < times:
            if level + 1 == len(self._levels):
                self._levels.append({})
            self._levels[level + 1][key] = value
            self._level[key] = level + 1
