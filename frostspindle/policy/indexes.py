"""Indexes that avoid a scan of all members: ranked members, members with idle connections, and counts by group.

Members are any objects with an `id`.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from itertools import islice
from random import Random
from types import MappingProxyType
from typing import Any

NO_COUNTS: Mapping[int, int] = MappingProxyType({})


def sample_if_over(items: list[Any], limit: int, sample_size: int, rng: Random) -> list[Any]:
    """Return the list itself if it has at most `limit` items, else a random sample of `sample_size` items."""
    return items if len(items) <= limit else rng.sample(items, sample_size)


class GroupedCounter:
    """Counts by group and member. Entries that reach 0 are removed."""

    def __init__(self) -> None:
        self.groups: dict[int, dict[int, int]] = {}

    def add(self, group: int, member: int, count: int) -> None:
        """Add `count`, which may be negative, to the member's count in the group; negative groups are ignored."""
        if not count or group < 0:
            return
        members = self.groups.setdefault(group, {})
        members[member] = members.get(member, 0) + count
        if not members[member]:
            del members[member]
            if not members:
                del self.groups[group]

    def counts_in(self, group: int) -> Mapping[int, int]:
        """Return the group's counts by member; a live view that must not be modified."""
        return self.groups.get(group, NO_COUNTS)

    def count_of(self, group: int, member: int) -> int:
        """Return the member's count in the group, 0 if it has none."""
        return self.groups.get(group, NO_COUNTS).get(member, 0)


class RankedSet:
    """Ordered members with their ranks by id. Selecting a subset costs little more than copying references."""

    def __init__(self) -> None:
        self.members = list[Any]()
        self.rank = dict[int, int]()

    def set(self, members: Sequence[Any]) -> None:
        """Replace the members; ranks are recomputed only if the list has changed."""
        if members != self.members:
            self.members = list(members)
            self.rank = {member.id: rank for rank, member in enumerate(self.members)}

    def select(self, step: int, first: int, excluded_ids: Mapping[int, int]) -> list[Any]:
        """Return every `step`-th member from index `first`, except those whose ids are keys of `excluded_ids`.

        The result may be the internal list, which the caller must not modify.
        """
        if step == 1 and not excluded_ids:
            return self.members
        selected = self.members[first::step]
        ranks = [self.rank.get(member, -1) for member in excluded_ids]
        excluded = [rank for rank in ranks if rank >= 0 and rank % step == first]
        for rank in sorted(excluded, reverse=True):
            del selected[(rank - first) // step]
        return selected

    def select_from(
        self, candidates: Sequence[Any], step: int, first: int, excluded_ids: Mapping[int, int]
    ) -> list[Any]:
        """Return the candidates that `select` would return with these arguments, without duplicates, by rank."""
        by_rank = {}
        for member in candidates:
            rank = self.rank.get(member.id, -1)
            if rank >= 0 and rank % step == first and member.id not in excluded_ids:
                by_rank[rank] = member
        return [by_rank[rank] for rank in sorted(by_rank)]


class IdleConnectionIndex(dict[int, Any]):
    """Members to which an idle connection is open, least recently used first.

    A member without any idle connection left is removed only when it reaches the front, so that no query has to scan
    all members.
    """

    def __init__(self, enabled: bool) -> None:
        super().__init__()
        self.enabled = enabled  # if not, nothing is recorded, because nothing queries the index

    def new_record(self, member: Any, idle_timeout_ms: float, streams: int) -> IdleConnections:
        """Return a new record of the idle connections to `member`.

        An idle connection is assumed to stay open for `idle_timeout_ms`. If `streams` is greater than 1, a connection
        carries several attempts at once, so a connection in use can serve another attempt.
        """
        return IdleConnections(self, member, idle_timeout_ms, streams > 1)

    def mark_idle(self, member: Any, now: float) -> None:
        """Move the member to the end, as a connection to it became idle at `now` (ms), and drop expired members.

        Does nothing unless `enabled`.
        """
        if self.enabled:
            self.pop(member.id, None)
            self[member.id] = member
            self._drop_expired(now)

    def _drop_expired(self, now: float) -> None:
        while self:
            first = next(iter(self.values()))
            if first.connections.has_open(now, 0):
                return
            del self[first.id]

    def most_recent(self, limit: int, sample_size: int) -> list[Any]:
        """Return the members, most recently used first: all if at most `limit`, else the first `sample_size`."""
        return list(islice(reversed(self.values()), len(self) if len(self) <= limit else sample_size)) if self else []


class IdleConnections:
    """Times (ms) since which the connections to a member are idle, inferred from the attempts sent there."""

    def __init__(self, index: IdleConnectionIndex, member: Any, idle_timeout_ms: float, multiplexed: bool) -> None:
        self.index = index
        self.member = member
        self.idle_timeout_ms = idle_timeout_ms
        self.multiplexed = multiplexed
        self.idle_since_ms = deque[float]()

    def acquire(self) -> None:
        """Record that an attempt uses a connection: the most recently used idle one, if there is any."""
        if self.idle_since_ms:
            self.idle_since_ms.pop()

    def release(self, now: float) -> None:
        """Record that a connection became idle at `now` (ms), and drop the idle ones that have expired."""
        while self.idle_since_ms and now - self.idle_since_ms[0] >= self.idle_timeout_ms:
            self.idle_since_ms.popleft()
        self.idle_since_ms.append(now)
        self.index.mark_idle(self.member, now)

    def has_open(self, now: float, running: int) -> bool:
        """Return whether an attempt at `now` (ms) would find an open connection, given `running` attempts."""
        return (self.multiplexed and running > 0) or (
            len(self.idle_since_ms) > 0 and now - self.idle_since_ms[-1] < self.idle_timeout_ms
        )
