"""Compares the index of tenant rules with a scan of all rules, and measures the cost of building it.

PYTHONPATH=. python bench/tenants.py
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable
from functools import partial

from frostspindle.ledger.rule_index import RuleIndex
from frostspindle.ledger.tenant_rules import RequestAttributes, Rule, best_match


def draw_rules(count: int, rng: random.Random) -> list[Rule]:
    """Draw tenant rules by header, database, schema, network, and database with application, in equal numbers."""
    rules = []
    for number in range(count):
        kind = number % 5
        rules.append(
            Rule(
                f"t{number}",
                header=f"X-Team=team-{number}" if kind == 0 else "",
                database=f"db_{number}" if kind in (1, 4) else "",
                schema=f"sales_{number}" if kind == 2 else "",
                application=f"app{number % 7}" if kind == 4 else "",
                address=f"10.{number >> 8 & 255}.{number & 255}.0/{rng.choice((20, 24, 28))}".replace(".0/20", ".0/24")
                if kind == 3
                else "",
            )
        )
    return rules


def draw_attributes(count: int, rng: random.Random) -> RequestAttributes:
    """Draw the attributes of a connection from the header, network, application, database and schema of one rule."""
    number = rng.randrange(count)
    return RequestAttributes(
        "http",
        f"10.{number >> 8 & 255}.{number & 255}.{rng.randrange(256)}",
        {b"x-team": b"team-%d" % number, b"host": b"x"},
        "me",
        f"app{number % 7}",
        f"db_{number}",
        f"sales_{number}",
    )


def timed(
    find: Callable[[RequestAttributes], object], connections: list[RequestAttributes], min_s: float = 0.3
) -> float:
    """Return the mean microseconds of a look-up, repeated over the list for at least `min_s`."""
    count, started = 0, time.perf_counter()
    while time.perf_counter() - started < min_s:
        find(connections[count % len(connections)])
        count += 1
    return (time.perf_counter() - started) / count * 1e6


def main() -> None:
    """Print a table of build time, memory and look-up times; raise AssertionError if index and scan differ."""
    print(f"{'rules':>8}{'build ms':>10}{'MB':>7}{'index us':>10}{'scan us':>12}")
    for count in (10, 1_000, 100_000):
        rng = random.Random(count)
        rules = draw_rules(count, rng)
        started = time.perf_counter()
        index = RuleIndex(rules)
        build_ms = (time.perf_counter() - started) * 1000.0
        tracemalloc.start()
        index = RuleIndex(rules)
        size_mb = tracemalloc.get_traced_memory()[0] / 2**20
        tracemalloc.stop()
        connections = [draw_attributes(count, rng) for _ in range(200)]
        for connection in connections[:5]:
            assert index.find(connection) == best_match(rules, connection)
        index_us, scan_us = timed(index.find, connections), timed(partial(best_match, rules), connections)
        print(f"{count:>8}{build_ms:>10.1f}{size_mb:>7.1f}{index_us:>10.1f}{scan_us:>12.1f}")


if __name__ == "__main__":
    main()
