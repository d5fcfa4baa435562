"""What waits for each subscriber to be written, and whose turn it is.

Owns the backlogs, their bounds, and the order: the smallest backlog goes first, so that one who falls behind holds up
nobody. Must never drop anything unsaid: a backlog that passes its bound becomes one gap for each maker, with its
bounds, and the subscriber goes on from there.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from frostspindle.subscriptions.cursor import Position

MAX_BACKLOG_ITEMS, MAX_TOTAL_ITEMS = 1_024, 65_536  # items
MAX_BATCH_ITEMS = 64  # of one subscriber in a turn


class BacklogItem(NamedTuple):
    """An event's line, or without one a gap from `first` to `last`, both included.

    `last` None: the end is not known yet. A gap whose `last` is before its `first` says that nothing was lost.
    """

    publisher: str
    first: Position
    last: Position | None
    line: bytes = b""
    kind: str = ""


def merge_into_gaps(items: Iterable[BacklogItem]) -> list[BacklogItem]:
    """Return, in place of all that waits for a subscriber, one gap for each maker, and one without an end where one is
    open.

    They stay two, as the cursor may stand between both.
    """
    closed: dict[str, BacklogItem] = {}
    still: dict[str, BacklogItem] = {}
    for item in items:
        if item.last is None:
            still[item.publisher] = item
            continue
        still.pop(item.publisher, None)
        before = closed.get(item.publisher, item)
        assert before.last is not None
        closed[item.publisher] = BacklogItem(item.publisher, min(before.first, item.first), max(before.last, item.last))
    return [*closed.values(), *still.values()]


class Fanout:
    """All subscribers' backlogs, bounded each and together."""

    def __init__(self, max_backlog: int = MAX_BACKLOG_ITEMS, max_total: int = MAX_TOTAL_ITEMS) -> None:
        self.max_backlog, self.max_total = max_backlog, max_total
        self.backlogs: dict[int, deque[BacklogItem]] = {}
        self.total = self.overflows = 0  # items that wait; how often somebody fell behind
        self._waiting: dict[int, None] = {}  # those who have something to be told

    def join(self, who: int) -> None:
        """Give a subscriber an empty backlog; it must have one before `offer`."""
        self.backlogs[who] = deque()

    def leave(self, who: int) -> None:
        """Drop a subscriber and its backlog; nothing happens if it has none."""
        self.total -= len(self.backlogs.pop(who, ()))
        self._waiting.pop(who, None)

    def offer(self, who: int, item: BacklogItem) -> None:
        """Append an item to a subscriber's backlog.

        If that passes `most_of_one` items, its backlog is replaced by gaps; if all pass `most_of_all`, the longest one
        is.
        """
        backlog = self.backlogs[who]
        backlog.append(item)
        self.total += 1
        self._waiting[who] = None
        if len(backlog) > self.max_backlog:
            self._collapse(who)
        elif self.total > self.max_total:
            self._collapse(max(self._waiting, key=lambda one: len(self.backlogs[one])))

    def _collapse(self, who: int) -> None:
        backlog = self.backlogs[who]
        kept = merge_into_gaps(backlog)
        self.total += len(kept) - len(backlog)
        self.backlogs[who] = deque(kept)
        self.overflows += 1

    def next_batches(self, busy: set[int], most: int) -> Iterator[tuple[int, list[BacklogItem]]]:
        """Yield whom to send which items, `most` in all, AT_ONCE each: the smallest backlog first, nobody `busy`."""
        ready = [(len(self.backlogs[who]), who) for who in self._waiting if who not in busy]
        for size, who in heapq.nsmallest(most, ready):
            backlog = self.backlogs.get(who)
            if most <= 0 or backlog is None:
                break
            items = [backlog.popleft() for _ in range(min(size, MAX_BATCH_ITEMS, most))]
            most -= len(items)
            self.total -= len(items)
            if not backlog:
                del self._waiting[who]
            yield who, items

    def has_more(self, busy: set[int]) -> bool:
        """Return whether items wait for a subscriber that is not busy."""
        return any(who not in busy for who in self._waiting)

    def pending(self, who: int) -> dict[str, Position]:
        """Return, by maker, the position right before the first item that waits for a subscriber."""
        out: dict[str, Position] = {}
        for item in self.backlogs[who]:
            if item.publisher not in out:
                out[item.publisher] = item.first[0], max(0, item.first[1] - 1)
        return out
