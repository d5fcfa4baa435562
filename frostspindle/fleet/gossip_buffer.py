"""Gossip: each piece of news is passed on a bounded number of times, those sent least often first.

Owns how often each piece has been passed on. It must never hold two pieces under one key, and decides nothing about
what is true.
"""

from __future__ import annotations

from collections.abc import Hashable
from itertools import islice
from typing import Any, Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")


class GossipBuffer(Generic[Key, Value]):
    """Pieces of news by how often they were sent, so that taking the next few does not walk the rest."""

    def __init__(self) -> None:
        self._levels: list[dict[Key, Value]] = [{}]
        self._level: dict[Key, int] = {}
        self.keys = self._level.keys()  # of all pieces, as they come and go

    def __len__(self) -> int:
        return len(self._level)

    def put(self, key: Key, value: Value) -> None:
        """Add a piece, or replace the one under its key, as one that was sent to nobody yet."""
        self.drop(key)
        self._levels[0][key] = value
        self._level[key] = 0

    def drop(self, key: Key) -> None:
        """Stop passing on the piece under a key; no error if there is none."""
        if (level := self._level.pop(key, None)) is not None:
            del self._levels[level][key]

    def next(self, most: int) -> list[tuple[Key, Value]]:
        """Return up to `most` pieces, those sent least often first; the caller calls `sent` for each that goes out."""
        out: list[tuple[Key, Value]] = []
        if self._level:
            for level in self._levels:
                if level:
                    out += islice(level.items(), most - len(out))
                    if len(out) >= most:
                        break
        return out

    def take(self, room: int, most: int, times: int, but: Key) -> tuple[list[Any], int]:
        """Return those of the next `most` pieces that fit in `room` bytes, and the room left; they count as sent.

        Values must be pairs of a piece and its size. The piece of the key `but` counts as sent and is left out.
        """
        out: list[Any] = []
        levels, level_of = self._levels, self._level
        some = []
        for index, level in enumerate(levels):
            if level:
                some.append((index, list(islice(level.items(), most))))
                most -= len(some[-1][1])
                if not most:
                    break
        for index, pieces in some:
            level = levels[index]
            index += 1
            if index < times:
                if index == len(levels):
                    levels.append({})
                later = levels[index]
            for key, value in pieces:
                pair: Any = value
                piece, size = pair
                if size > room:
                    return out, room
                del level[key]
                if index < times:
                    later[key] = value
                    level_of[key] = index
                else:
                    del level_of[key]
                if key != but:
                    room -= size
                    out.append(piece)
        return out, room

    def sent(self, key: Key, times: int) -> None:
        """Count one more sending of a piece; after `times` of them it is forgotten."""
        level = self._level.pop(key)
        levels = self._levels
        value = levels[level].pop(key)
        level += 1
        if level < times:
            if level == len(levels):
                levels.append({})
            levels[level][key] = value
            self._level[key] = level
