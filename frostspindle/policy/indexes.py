"""Indexes that spare a scan of all members: members in order of rank, those with idle connections, counts by group.

It takes no decisions: members are any objects with an `id`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from itertools import islice
from random import Random
from types import MappingProxyType
from typing import Any

NONE: Mapping[int, int] = MappingProxyType({})


def thinned(items: list[Any], most: int, take: int, draw: Random) -> list[Any]:
    """Return the same list if it has at most `most` items, else a random sample of `take` of them."""
    return items if len(items) <= most else draw.sample(items, take)


class GroupedCounter:
    """Counts by group and member; entries that reach 0 are removed."""

    def __init__(self) -> None:
        self.groups: dict[int, dict[int, int]] = {}

    def add(self, group: int, member: int, count: int) -> None:
        """Add `count`, which may be negative, to the member's count in the group; a group below 0 is ignored."""
        if not count or group < 0:
            return
        members = self.groups.setdefault(group, {})
        members[member] = members.get(member, 0) + count
        if not members[member]:
            del members[member]
            if not members:
                del self.groups[group]

    def of(self, group: int) -> Mapping[int, int]:
        """Return the group's counts by member, empty for an unknown group; a live view, not to be changed."""
        return self.groups.get(group, NONE)

    def at(self, group: int, member: int) -> int:
        """Return the member's count in the group, 0 where it has none."""
        return self.groups.get(group, NONE).get(member, 0)


class RankedSet:
    """Members in order, with each one's rank by id; a subset of them costs little more than a copy of references."""

    def __init__(self) -> None:
        self.members = list[Any]()
        self.rank = dict[int, int]()

    def set(self, members: Sequence[Any]) -> None:
        """Replace the members, in this order; ranks are computed again only where the list has changed."""
        if members != self.members:
            self.members = list(members)
            self.rank = {member.id: rank for rank, member in enumerate(self.members)}

    def every(self, step: int, first: int, without: Mapping[int, int]) -> list[Any]:
        """Return each `step`-th member from index `first` on, without those whose ids are keys of `without`.

        The result may be the internal list, which the caller must not change.
        """
        if step == 1 and not without:
            return self.members
        few = self.members[first::step]
        gone = [rank for member in without if (rank := self.rank.get(member, -1)) >= 0 and rank % step == first]
        for rank in sorted(gone, reverse=True):
            del few[(rank - first) // step]
        return few

    def order(self, marked: Sequence[Any], step: int, first: int, without: Mapping[int, int]) -> list[Any]:
        """Return those of `marked` that `every` would return with these arguments, each once and in order of rank."""
        found = {
            rank: member
            for member in marked
            if (rank := self.rank.get(member.id, -1)) >= 0 and rank % step == first and member.id not in without
        }
        return [found[rank] for rank in sorted(found)]


class IdleConnectionIndex(dict[int, Any]):
    """Members to which an idle connection of ours is open, the one freed last at the end.

    A member whose last idle connection was used or has expired is removed only when it comes first, so that no query
    has to scan the members.
    """

    def __init__(self, kept: bool) -> None:
        super().__init__()
        self.kept = kept  # else it stays empty: nobody will ask

    def idle(self, member: Any, lasts_ms: float, streams: int) -> IdleConnections:
        """Return a new record of the idle connections to `member`.

        An idle connection is taken as open for `lasts_ms`. With more than 1 in `streams` a connection carries several
        attempts at once, so that one in use serves for a further attempt too.
        """
        return IdleConnections(self, member, lasts_ms, streams > 1)

    def free(self, member: Any, now: float) -> None:
        """Move the member to the end, as a connection to it is idle at `now` (ms), and drop expired members in front.

        Nothing is recorded unless `kept`.
        """
        if self.kept:
            self.pop(member.id, None)
            self[member.id] = member
            while self and not (first := next(iter(self.values()))).connections.any(now, 0):
                del self[first.id]

    def last(self, most: int, take: int) -> list[Any]:
        """Return the members, latest freed first: all where there are at most `most`, else the first `take`."""
        return list(islice(reversed(self.values()), len(self) if len(self) <= most else take)) if self else []


class IdleConnections:
    """Times (ms) at which each idle connection to a member was last used, inferred from the attempts sent there."""

    def __init__(self, index: IdleConnectionIndex, member: Any, lasts_ms: float, many: bool) -> None:
        self.index = index
        self.member = member
        self.lasts_ms = lasts_ms
        self.many = many
        self.since = deque[float]()

    def take(self) -> None:
        """Note that an attempt uses a connection: the one that was freed last, if any is idle."""
        if self.since:
            self.since.pop()

    def free(self, now: float) -> None:
        """Note that a connection has become idle at `now` (ms); idle ones that have expired by then are forgotten."""
        while self.since and now - self.since[0] >= self.lasts_ms:
            self.since.popleft()
        self.since.append(now)
        self.index.free(self.member, now)

    def any(self, now: float, out: int) -> bool:
        """Tell whether an attempt at `now` (ms) would find an open connection, with `out` attempts running there."""
        return (self.many and out > 0) or (len(self.since) > 0 and now - self.since[-1] < self.lasts_ms)
