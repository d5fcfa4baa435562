"""The decision module's data structures against plain ones and a library's: held queue, deadlines, quantiles.

    PYTHONPATH=. python bench/structures.py [--json FILE]

Owns the comparison. It must never measure the module itself (bench/choices.py does). sortedcontainers is not one of
the decision module's dependencies.
"""

from __future__ import annotations

import argparse
import math
import random
import time
from bisect import bisect_left, insort
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from common import tell
from sortedcontainers import SortedList

from frostspindle.policy.deadlines import ExpiryIndex
from frostspindle.policy.queues import WaitingQueue
from frostspindle.policy.statistics import SortedWindow


def timed(ways: dict[str, Callable[[], None]], calls: int, rounds: int = 5) -> dict[str, float]:
    """Return the CPU microseconds of a call by each way: best of the rounds, in which the ways take turns."""
    best = dict.fromkeys(ways, math.inf)
    for _ in range(rounds):
        for name, way in ways.items():
            began = time.thread_time_ns()
            way()
            best[name] = min(best[name], (time.thread_time_ns() - began) / 1000.0 / calls)
    return {name: round(value, 2) for name, value in best.items()}


def queue(size: int) -> dict[str, float]:
    """Time one addition, the removal of the head and of one in the middle, and another addition, with `size` held."""
    draw = random.Random(size)
    rows = [(0, draw.paretovariate(1.2), n, None) for n in range(size)]
    more = [(0, draw.paretovariate(1.2), size + n, None) for n in range(400)]
    plain, library, ours = sorted(rows), SortedList(rows), WaitingQueue()
    for row in rows:
        ours.add(row, -1, row[1])

    def by_list() -> None:
        for row in more:
            insort(plain, row)
            del plain[bisect_left(plain, row[:3])]
            insort(plain, plain.pop(0))

    def by_library() -> None:
        for row in more:
            library.add(row)
            library.remove(row)
            library.add(library.pop(0))

    def by_ours() -> None:
        for row in more:
            ours.add(row, -1, row[1])
            ours.drop(row[:3], -1, row[1])
            head = ours.heads[0][0]
            ours.drop(head[:3], -1, head[1])
            ours.add(head, -1, head[1])

    def by_heap_of_all() -> None:
        for row in more[:8]:  # no removal from within: order anew
            sorted([*rows, row])

    out = timed({"sorted list": by_list, "SortedList": by_library, "WaitingQueue": by_ours}, len(more))
    return out | {"order anew": timed({"": by_heap_of_all}, 8)[""]}


def stuck(size: int) -> dict[str, float]:
    """Time a walk past `size` rows of a lane that has no place to go, to the one row behind them."""
    rows, ours = [(0, float(n), n, 5) for n in range(size)], WaitingQueue()
    rows.append((0, 1e9, size, -1))
    for row in rows:
        ours.add(row, row[3], 1.0)

    def by_list() -> None:
        for _ in range(20):
            next(row for row in rows if row[3] != 5)

    def by_ours() -> None:
        for _ in range(20):
            next(ours.walk({5}))

    return timed({"sorted list": by_list, "WaitingQueue": by_ours}, 20)


def times_out(size: int) -> dict[str, float]:
    """Time an examination of `size` items for lapsed ones, every 100 ms, as paces change and few items lapse."""
    draw = random.Random(size)
    items = {n: (n % 4, draw.uniform(10, 300), draw.uniform(2000, 20_000)) for n in range(size)}
    lapses, state = ExpiryIndex(4), {"scan": 0.0, "ours": 0.0}
    for n, item in items.items():
        lapses.add(n, *item)
    drift = [[1.0 + 0.2 * draw.random() for _ in range(4)] for _ in range(64)]

    def by_scan() -> None:
        for paces in drift[:16]:
            state["scan"] += 100.0
            for n in [n for n, (kind, work, limit) in items.items() if state["scan"] + work * paces[kind] > limit]:
                del items[n]

    def by_ours() -> None:
        for paces in drift[:16]:
            state["ours"] += 100.0
            lapses.pop_due(state["ours"], paces)

    return timed({"scan": by_scan, "ExpiryIndex": by_ours}, 16, rounds=3)


def quantiles() -> dict[str, Any]:
    """Time adding a value and reading two quantiles at every 25th, of the last 400; and a bucket sketch's error."""
    draw = random.Random(7)
    values = [draw.paretovariate(1.2) * 60.0 for _ in range(4000)]

    def by_sort() -> None:
        last: deque[float] = deque(maxlen=400)
        for n, value in enumerate(values):
            last.append(value)
            if n % 25 == 0:
                ranked = sorted(last)
                ranked[len(ranked) // 2], ranked[int(0.9925 * (len(ranked) - 1))]

    def by_window() -> None:
        window = SortedWindow(400)
        for value in values:
            window.add(value)

    def by_library() -> None:
        last, ranked = deque[float](), SortedList()
        for value in values:
            if len(last) == 400:
                ranked.remove(last.popleft())
            last.append(value)
            ranked.add(value)

    off = []

    def by_sketch(checked: bool = False) -> None:
        last, buckets, exact = deque[int](), Counter[int](), SortedWindow(400)
        for n, value in enumerate(values):
            if len(last) == 400:
                buckets[last.popleft()] -= 1
            last.append(at := int(math.log(value) / math.log(1.02)))
            buckets[at] += 1
            if n % 25 == 0:
                left = len(last) // 2
                for at in sorted(buckets):
                    left -= buckets[at]
                    if left < 0:
                        break
                if checked:
                    off.append(abs(1.02 ** (at + 0.5) / exact.ranked[len(exact.ranked) // 2] - 1.0) if n else 0.0)
            exact.add(value) if checked else None

    by_sketch(True)
    return timed(
        {"sorted each 25th": by_sort, "SortedWindow": by_window, "SortedList": by_library, "buckets": by_sketch},
        len(values),
    ) | {"median of buckets off by at most": round(max(off[2:]), 3)}


def main() -> None:
    """Measure each structure at three sizes and print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json")
    sizes = (100, 1_000, 10_000)
    tell(
        {
            "us a call": {
                "held queue": {n: queue(n) for n in sizes},
                "stuck head": {n: stuck(n) for n in sizes},
                "times out": {n: times_out(n) for n in sizes},
                "quantiles": quantiles(),
            }
        },
        parser.parse_args().json,
    )


if __name__ == "__main__":
    main()
