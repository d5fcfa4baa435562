"""Measures predicates: an index of filters against a scan, parsed and cached statements, may_match and covers.

    PYTHONPATH=. python bench/predicates.py [--quick] > predicates.json

Seeded. Compared variants alternate within one run; times are medians of the rounds, in microseconds per call.
"""

from __future__ import annotations

import json
import random
import statistics
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable
from datetime import UTC, datetime, timedelta

from frostspindle.predicates import Predicate, covers, match, may_match
from frostspindle.predicates.index import FilterIndex
from frostspindle.predicates.language import parse
from frostspindle.predicates.statements import Reader
from frostspindle.predicates.summaries import Summary

CLASSES = ("lookup", "bulk", "report", "live", "batch")
START = datetime(2026, 1, 1, tzinfo=UTC)
BROAD = (
    "cost > 990000",
    "class = 'live' AND cost < 5000",
    "status IN ('failed') AND class = 'report'",
    "agent STARTS WITH '+49' AND status <> 'served'",
    "NOT class IN ('lookup', 'bulk', 'report', 'live')",
)


def draw_filters(count: int, rng: random.Random) -> list[Predicate]:
    """Draw typical filters of operators and tenants: ten per tenant; one in a hundred, at most five, is broad."""
    predicates = []
    for _ in range(count):
        tenant, engine = rng.randrange(max(1, count // 10)), rng.randrange(500)
        cost, day = rng.randrange(1_000_000), rng.randrange(3_650)
        cls, kind = rng.choice(CLASSES), rng.random()
        if kind < 0.40:
            text = f"tenant = 't{tenant}' AND class = '{cls}' AND cost > {cost}"
        elif kind < 0.55:
            text = f"tenant = 't{tenant}' AND status IN ('failed', 'refused')"
        elif kind < 0.65:
            text = f"engine = {engine} AND cost BETWEEN {cost} AND {cost + 20_000}"
        elif kind < 0.80:
            text = f"class = '{cls}' AND cost BETWEEN {cost} AND {cost + 200}"
        elif kind < 0.90:
            text = f"agent STARTS WITH '+49{rng.randrange(10**6):06}'"
        elif kind < 0.95:
            started_at = START + timedelta(days=day)
            text = (
                f"at >= TIME '{started_at.isoformat()}' AND at < TIME '{(started_at + timedelta(hours=1)).isoformat()}'"
            )
        else:
            text = f"tenant = 't{tenant}' AND (class <> '{cls}' OR engine IN ({engine}, {engine + 1}, {engine + 2}))"
        predicates.append(parse(text))
    for index, text in enumerate(BROAD[: count // 100]):
        predicates[index] = parse(text)
    return predicates


def draw_event(count: int, rng: random.Random) -> dict:
    """Draw an event to match; `count`, the number of filters, determines the number of tenants."""
    return {
        "tenant": f"t{rng.randrange(max(1, count // 10))}",
        "class": rng.choice(CLASSES),
        "engine": rng.randrange(500),
        "cost": rng.randrange(1_000_000),
        "agent": f"+49{rng.randrange(10**9):09}",
        "status": rng.choice(("served", "served", "failed", "refused")),
        "at": START + timedelta(minutes=rng.randrange(3_650 * 1_440)),
    }


def timed(call: Callable[[int], object], min_s: float) -> float:
    """Return the mean microseconds per call, repeated for at least `min_s`; each call gets its number."""
    count, started = 0, time.perf_counter()
    while (now := time.perf_counter()) - started < min_s or not count:
        call(count)
        count += 1
    return (now - started) / count * 1e6


def measure_in_turn(calls: dict[str, Callable[[int], object]], rounds: int, min_s: float) -> dict[str, float]:
    """Time the calls alternately, `rounds` times; return the median microseconds of each."""
    times_by_name: dict[str, list[float]] = {name: [] for name in calls}
    for _ in range(rounds):
        for name, call in calls.items():
            times_by_name[name].append(timed(call, min_s))
    return {name: round(statistics.median(times), 3) for name, times in times_by_name.items()}


def measure_index(rounds: int, min_s: float) -> dict:
    """Compare the index of filters with a scan, for 1, 1,000 and 100,000 filters.

    Raise AssertionError if they find different filters.
    """
    sizes, calls, result = (1, 1_000, 100_000), {}, {}
    for count in sizes:
        rng = random.Random(count)
        predicates, events, index = (
            draw_filters(count, rng),
            [draw_event(count, rng) for _ in range(500)],
            FilterIndex(),
        )
        tracemalloc.start()
        for key, predicate in enumerate(predicates):
            index.add(key, predicate)
        size_bytes = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        started = time.perf_counter()
        for key in range(count):
            index.remove(key)
        removed = time.perf_counter()
        for key, predicate in enumerate(predicates):
            index.add(key, predicate)
        added = time.perf_counter()
        for row in events[:20]:
            assert sorted(index.find(row)) == [key for key, predicate in enumerate(predicates) if match(predicate, row)]
        index.tried = 0
        found = sum(len(index.find(row)) for row in events)
        result[str(count)] = {
            "found": found / 500,
            "tried": index.tried / 500,
            "bytes_a_filter": round(size_bytes / count),
            "add_us": round((added - removed) / count * 1e6, 2),
            "remove_us": round((removed - started) / count * 1e6, 2),
        }
        calls[f"index {count}"] = lambda number, index=index, events=events: index.find(events[number % 500])
        calls[f"scan {count}"] = lambda number, predicates=predicates, events=events: [
            key for key, predicate in enumerate(predicates) if match(predicate, events[number % 500])
        ]
    times = measure_in_turn(calls, rounds, min_s)
    for count in sizes:
        index, scan = times[f"index {count}"], times[f"scan {count}"]
        result[str(count)] |= {"index_us": index, "scan_us": scan, "scan_over_index": round(scan / index, 2)}
    result["index_100000_over_1000"] = round(times["index 100000"] / times["index 1000"], 2)
    return result


def make_statement(n: int) -> str:
    """Return a SQL statement with four conditions, different for each number."""
    return (
        f"SELECT agent, max(note) FROM calls_17.notes n WHERE n.status IN ('failed', 'refused') AND "
        f"n.at >= '2026-01-{n % 28 + 1:02} 00:00:00' AND n.cost BETWEEN {n} AND {n + 500} AND "
        f"n.agent = '+49{n:09}' GROUP BY agent"
    )


def measure_statements(rounds: int, min_s: float) -> dict:
    """Return the times to parse new, cached and worst-case statements, and to import the parser (ms)."""
    cached, uncached = Reader(), Reader(cached=0)
    texts = [make_statement(number) for number in range(500)]
    for text in texts:
        assert cached.read(text).understood
    times_us = measure_in_turn(
        {
            "known": lambda number: cached.read(texts[number % 500]),
            "read": lambda number: uncached.read(texts[number % 500]),
            "known_and_table": lambda number: cached.read(texts[number % 500]).predicate("calls_17.notes"),
            "filter_parsed": lambda number: parse(
                f"tenant = 't{number}' AND cost > {number} AND NOT class IN ('a', 'b')"
            ),
        },
        rounds,
        min_s,
    )
    worst_us = {
        name: timed(lambda number, text=text: uncached.read(text), 0.0)
        for name, text in (
            ("4096 characters of a.b.", "SELECT 1 FROM t WHERE " + "a.b." * 1_018),
            ("300 conditions", "SELECT 1 FROM t WHERE " + " AND ".join(f"n = {number}" for number in range(300))),
        )
    }
    import_ms = {}
    for name in ("", ".summaries", ".language", ".index", ".statements"):
        code = (
            "import time; t = time.perf_counter(); "
            f"import frostspindle.predicates{name}; print(time.perf_counter() - t)"
        )
        runs = [
            float(subprocess.run([sys.executable, "-c", code], capture_output=True, check=True).stdout)
            for _ in range(3)
        ]
        import_ms["predicates" + name] = round(min(runs) * 1e3, 1)
    return {
        "us": times_us,
        "read_over_known": round(times_us["read"] / times_us["known"], 1),
        "worst_us": {name: round(duration_us) for name, duration_us in worst_us.items()},
        "import_ms": import_ms,
    }


def draw_summary(values: int, bits: int, rng: random.Random) -> Summary:
    """Return a summary of drawn rows of four columns, with a sketch of `bits` bits for each column."""
    summary = Summary(["agent", "cost", "status", "at"], bits)
    for _ in range(values):
        summary.widen(
            {
                "agent": f"+49{rng.randrange(10**9):09}",
                "cost": rng.randrange(1_000_000),
                "status": rng.choice(("served", "failed")),
                "at": START + timedelta(minutes=rng.randrange(40_000)),
            }
        )
    return summary


def measure_summaries(rounds: int, min_s: float) -> dict:
    """Return the times of operations on predicates and summaries, and the rate of false matches by summary size."""
    rng = random.Random(5)
    summary = draw_summary(1_000, 4_096, rng)
    empty = draw_summary(0, 4_096, rng)
    rows = [draw_event(10, rng) for _ in range(100)]
    reader = Reader(times=["at"])
    predicates = [reader.read(make_statement(number * 977)).predicate("notes") for number in range(100)]
    narrow, wide = parse("tenant = 't1' AND cost BETWEEN 5 AND 9"), parse("cost > 4 OR tenant STARTS WITH 'x'")
    encoded = summary.encode()
    times_us = measure_in_turn(
        {
            "may_match_of_5_conditions": lambda number: may_match(predicates[number % 100], summary),
            "covers": lambda number: covers(wide, narrow),
            "match_of_3_conditions": lambda number: match(narrow, rows[number % 100]),
            "widen_4_columns": lambda number: empty.widen(rows[number % 100]),
            "encode": lambda number: summary.encode(),
            "decode": lambda number: Summary.decode(encoded),
        },
        rounds,
        min_s,
    )
    false_matches = []
    for values in (100, 1_000, 10_000):
        for bits in (0, 1_024, 4_096, 16_384, 65_536):
            rng = random.Random(values)
            sketched = draw_summary(values, bits, rng)
            absent = [parse(f"agent = '+49{rng.randrange(10**9):09}x'") for _ in range(2_000)]
            false_matches.append(
                {
                    "values": values,
                    "bits": bits,
                    "bytes_4_columns": len(sketched.encode()),
                    "false_yes": sum(may_match(predicate, sketched) for predicate in absent) / 2_000,
                }
            )
    return {"us": times_us, "false_yes_of_equality": false_matches}


def main() -> None:
    """Run all measurements and print one JSON object."""
    rounds, min_s = (1, 0.02) if "--quick" in sys.argv else (5, 0.3)
    json.dump(
        {
            "filters": measure_index(rounds, min_s),
            "statements": measure_statements(rounds, min_s),
            "summaries": measure_summaries(rounds, min_s),
        },
        sys.stdout,
        indent=1,
    )
    print()


if __name__ == "__main__":
    main()
