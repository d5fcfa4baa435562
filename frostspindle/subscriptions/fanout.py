"""The subscribers' backlogs of lines to be written, and the order in which they are written.

The smallest backlog is written first, so that a subscriber that falls behind delays no other. Items are never dropped
without a report: a backlog that exceeds its bound is replaced by one gap for each publisher, with first and last
position, and the subscriber continues from there.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from frostspindle.subscriptions.cursor import Position

MAX_BACKLOG_ITEMS, MAX_TOTAL_ITEMS = 1_024, 65_536  # items
MAX_BATCH_ITEMS = 64  # of one subscriber at a time


class BacklogItem(NamedTuple):
    """An event's line, or without one a gap from `first` to `last`, both included.

    `last` None: the gap is open-ended. A gap whose `last` is before its `first` states that no event was lost.
    """

    publisher: str
    first: Position
    last: Position | None
    line: bytes = b""
    kind: str = ""


def merge_into_gaps(items: Iterable[BacklogItem]) -> list[BacklogItem]:
    """Return the gaps that replace a backlog: one for each publisher, and an open-ended one where there is one.

    The two are not merged, as the cursor may lie between them.
    """
    closed: dict[str, BacklogItem] = {}
    unended: dict[str, BacklogItem] = {}
    for item in items:
        if item.last is None:
            unended[item.publisher] = item
            continue
        unended.pop(item.publisher, None)
        previous = closed.get(item.publisher, item)
        assert previous.last is not None
        closed[item.publisher] = BacklogItem(
            item.publisher, min(previous.first, item.first), max(previous.last, item.last)
        )
    return [*closed.values(), *unended.values()]


class Fanout:
    """The backlogs of all subscribers, each of them and their total bounded."""

    def __init__(self, max_backlog: int = MAX_BACKLOG_ITEMS, max_total: int = MAX_TOTAL_ITEMS) -> None:
        self.max_backlog, self.max_total = max_backlog, max_total
        self.backlogs: dict[int, deque[BacklogItem]] = {}
        self.total = self.overflows = 0  # queued items; how often a backlog was replaced by gaps
        self._waiting: dict[int, None] = {}  # subscribers with queued items, in insertion order

    def join(self, subscriber: int) -> None:
        """Create a subscriber's backlog; required before `offer`."""
        self.backlogs[subscriber] = deque()

    def leave(self, subscriber: int) -> None:
        """Remove a subscriber and its backlog, if there is one."""
        self.total -= len(self.backlogs.pop(subscriber, ()))
        self._waiting.pop(subscriber, None)

    def offer(self, subscriber: int, item: BacklogItem) -> None:
        """Append an item to a subscriber's backlog.

        If the backlog exceeds `max_backlog` items, it is replaced by gaps; if all together exceed `max_total`, the
        longest one is.
        """
        backlog = self.backlogs[subscriber]
        backlog.append(item)
        self.total += 1
        self._waiting[subscriber] = None
        if len(backlog) > self.max_backlog:
            self._collapse(subscriber)
        elif self.total > self.max_total:
            self._collapse(max(self._waiting, key=lambda waiting: len(self.backlogs[waiting])))

    def _collapse(self, subscriber: int) -> None:
        backlog = self.backlogs[subscriber]
        gaps = merge_into_gaps(backlog)
        self.total += len(gaps) - len(backlog)
        self.backlogs[subscriber] = deque(gaps)
        self.overflows += 1

    def next_batches(self, busy: set[int], max_items: int) -> Iterator[tuple[int, list[BacklogItem]]]:
        """Yield subscribers and items to write, `max_items` items in all and MAX_BATCH_ITEMS each.

        The smallest backlog comes first; `busy` subscribers are skipped.
        """
        ready = [(len(self.backlogs[subscriber]), subscriber) for subscriber in self._waiting if subscriber not in busy]
        for size, subscriber in heapq.nsmallest(max_items, ready):
            backlog = self.backlogs.get(subscriber)
            if max_items <= 0 or backlog is None:
                break
            items = [backlog.popleft() for _ in range(min(size, MAX_BATCH_ITEMS, max_items))]
            max_items -= len(items)
            self.total -= len(items)
            if not backlog:
                del self._waiting[subscriber]
            yield subscriber, items

    def has_more(self, busy: set[int]) -> bool:
        """Return whether a subscriber that is not busy has queued items."""
        return any(subscriber not in busy for subscriber in self._waiting)

    def pending(self, subscriber: int) -> dict[str, Position]:
        """Return, by publisher, the position before a subscriber's first queued item."""
        positions: dict[str, Position] = {}
        for item in self.backlogs[subscriber]:
            if item.publisher not in positions:
                positions[item.publisher] = item.first[0], max(0, item.first[1] - 1)
        return positions
