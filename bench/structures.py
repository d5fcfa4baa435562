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

from common import write_result
from sortedcontainers import SortedList

from frostspindle.policy.deadlines import ExpiryIndex
from frostspindle.policy.queues import WaitingQueue
from frostspindle.policy.statistics import SortedWindow


def timed(variants: dict[str, Callable[[], None]], calls: int, rounds: int = 5) -> dict[str, float]:
    """Return the CPU microseconds per call of each variant: best of the rounds, which alternate between them."""
    best_us = dict.fromkeys(variants, math.inf)
    for _ in range(rounds):
        for name, variant in variants.items():
            started_ns = time.thread_time_ns()
            variant()
            best_us[name] = min(best_us[name], (time.thread_time_ns() - started_ns) / 1000.0 / calls)
    return {name: round(value, 2) for name, value in best_us.items()}


def measure_queue(size: int) -> dict[str, float]:
    """Time an addition, removals of the head and from the middle, and another addition, with `size` queued rows."""
    rng = random.Random(size)
    rows = [(0, rng.paretovariate(1.2), n, None) for n in range(size)]
    more = [(0, rng.paretovariate(1.2), size + n, None) for n in range(400)]
    sorted_list, library_list, waiting_queue = sorted(rows), SortedList(rows), WaitingQueue()
    for row in rows:
        waiting_queue.add(row, -1, row[1])

    def use_sorted_list() -> None:
        for row in more:
            insort(sorted_list, row)
            del sorted_list[bisect_left(sorted_list, row[:3])]
            insort(sorted_list, sorted_list.pop(0))

    def use_library() -> None:
        for row in more:
            library_list.add(row)
            library_list.remove(row)
            library_list.add(library_list.pop(0))

    def use_waiting_queue() -> None:
        for row in more:
            waiting_queue.add(row, -1, row[1])
            waiting_queue.drop(row[:3], -1, row[1])
            head = waiting_queue.heads[0][0]
            waiting_queue.drop(head[:3], -1, head[1])
            waiting_queue.add(head, -1, head[1])

    def sort_all() -> None:
        for row in more[:8]:  # a heap has no removal from the middle: sort again
            sorted([*rows, row])

    times_us = timed(
        {"sorted list": use_sorted_list, "SortedList": use_library, "WaitingQueue": use_waiting_queue}, len(more)
    )
    return times_us | {"order anew": timed({"": sort_all}, 8)[""]}


def measure_stuck_head(size: int) -> dict[str, float]:
    """Time a walk past `size` rows of a blocked lane to the one row behind them."""
    rows, waiting_queue = [(0, float(n), n, 5) for n in range(size)], WaitingQueue()
    rows.append((0, 1e9, size, -1))
    for row in rows:
        waiting_queue.add(row, row[3], 1.0)

    def scan_list() -> None:
        for _ in range(20):
            next(row for row in rows if row[3] != 5)

    def walk_waiting_queue() -> None:
        for _ in range(20):
            next(waiting_queue.walk({5}))

    return timed({"sorted list": scan_list, "WaitingQueue": walk_waiting_queue}, 20)


def measure_expiry(size: int) -> dict[str, float]:
    """Time the search for expired ones among `size` items, every 100 ms, as paces change and few items expire."""
    rng = random.Random(size)
    items = {number: (number % 4, rng.uniform(10, 300), rng.uniform(2000, 20_000)) for number in range(size)}
    expiry_index, now_ms = ExpiryIndex(4), {"scan": 0.0, "ours": 0.0}
    for number, item in items.items():
        expiry_index.add(number, *item)
    pace_factors = [[1.0 + 0.2 * rng.random() for _ in range(4)] for _ in range(64)]

    def scan_items() -> None:
        for paces in pace_factors[:16]:
            now_ms["scan"] += 100.0
            for number in [
                number for number, (kind, work, limit) in items.items() if now_ms["scan"] + work * paces[kind] > limit
            ]:
                del items[number]

    def pop_due_items() -> None:
        for paces in pace_factors[:16]:
            now_ms["ours"] += 100.0
            expiry_index.pop_due(now_ms["ours"], paces)

    return timed({"scan": scan_items, "ExpiryIndex": pop_due_items}, 16, rounds=3)


def measure_quantiles() -> dict[str, Any]:
    """Time adding values and reading two quantiles of the last 400 at every 25th; measure a bucket sketch's error."""
    rng = random.Random(7)
    values = [rng.paretovariate(1.2) * 60.0 for _ in range(4000)]

    def sort_recent() -> None:
        recent: deque[float] = deque(maxlen=400)
        for count, value in enumerate(values):
            recent.append(value)
            if count % 25 == 0:
                ranked = sorted(recent)
                ranked[len(ranked) // 2], ranked[int(0.9925 * (len(ranked) - 1))]

    def use_window() -> None:
        window = SortedWindow(400)
        for value in values:
            window.add(value)

    def use_library() -> None:
        recent, ranked = deque[float](), SortedList()
        for value in values:
            if len(recent) == 400:
                ranked.remove(recent.popleft())
            recent.append(value)
            ranked.add(value)

    errors = []

    def use_sketch(check_error: bool = False) -> None:
        recent, buckets, exact = deque[int](), Counter[int](), SortedWindow(400)
        for count, value in enumerate(values):
            if len(recent) == 400:
                buckets[recent.popleft()] -= 1
            recent.append(bucket := int(math.log(value) / math.log(1.02)))
            buckets[bucket] += 1
            if count % 25 == 0:
                remaining = len(recent) // 2
                for bucket in sorted(buckets):
                    remaining -= buckets[bucket]
                    if remaining < 0:
                        break
                if check_error:
                    errors.append(
                        abs(1.02 ** (bucket + 0.5) / exact.ranked[len(exact.ranked) // 2] - 1.0) if count else 0.0
                    )
            exact.add(value) if check_error else None

    use_sketch(True)
    return timed(
        {"sorted each 25th": sort_recent, "SortedWindow": use_window, "SortedList": use_library, "buckets": use_sketch},
        len(values),
    ) | {"median of buckets off by at most": round(max(errors[2:]), 3)}


def main() -> None:
    """Measure each structure at three sizes and print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--json")
    sizes = (100, 1_000, 10_000)
    write_result(
        {
            "us a call": {
                "held queue": {n: measure_queue(n) for n in sizes},
                "stuck head": {n: measure_stuck_head(n) for n in sizes},
                "times out": {n: measure_expiry(n) for n in sizes},
                "quantiles": measure_quantiles(),
            }
        },
        parser.parse_args().json,
    )


if __name__ == "__main__":
    main()
