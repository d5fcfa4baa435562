"""The index of tenant rules against a scan of all rules, and the cost of building it.

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


def rules(count: int, draw: random.Random) -> list[Rule]:
    """Draw tenant rules by header, database, schema, network, and database with application, a fifth of each."""
    out = []
    for number in range(count):
        kind = number % 5
        out.append(
            Rule(
                f"t{number}",
                header=f"X-Team=team-{number}" if kind == 0 else "",
                database=f"db_{number}" if kind in (1, 4) else "",
                schema=f"sales_{number}" if kind == 2 else "",
                application=f"app{number % 7}" if kind == 4 else "",
                address=f"10.{number >> 8 & 255}.{number & 255}.0/{draw.choice((20, 24, 28))}".replace(".0/20", ".0/24")
                if kind == 3
                else "",
            )
        )
    return out


def facts(count: int, draw: random.Random) -> RequestAttributes:
    """Draw a connection with the header, network, application, database and schema of one of `count` rules."""
    number = draw.randrange(count)
    return RequestAttributes(
        "http",
        f"10.{number >> 8 & 255}.{number & 255}.{draw.randrange(256)}",
        {b"x-team": b"team-%d" % number, b"host": b"x"},
        "me",
        f"app{number % 7}",
        f"db_{number}",
        f"sales_{number}",
    )


def timed(find: Callable[[RequestAttributes], object], asked: list[RequestAttributes], least_s: float = 0.3) -> float:
    """Return the mean microseconds of a look-up, repeated over the list for at least `least_s`."""
    count, began = 0, time.perf_counter()
    while time.perf_counter() - began < least_s:
        find(asked[count % len(asked)])
        count += 1
    return (time.perf_counter() - began) / count * 1e6


def main() -> None:
    """Print a table of build time, memory and look-up times; raise AssertionError if index and scan differ."""
    print(f"{'rules':>8}{'build ms':>10}{'MB':>7}{'index us':>10}{'scan us':>12}")
    for count in (10, 1_000, 100_000):
        draw = random.Random(count)
        made = rules(count, draw)
        began = time.perf_counter()
        index = RuleIndex(made)
        built = (time.perf_counter() - began) * 1000.0
        tracemalloc.start()
        index = RuleIndex(made)
        size = tracemalloc.get_traced_memory()[0] / 2**20
        tracemalloc.stop()
        asked = [facts(count, draw) for _ in range(200)]
        for one in asked[:5]:
            assert index.find(one) == best_match(made, one)
        by_index, by_scan = timed(index.find, asked), timed(partial(best_match, made), asked)
        print(f"{count:>8}{built:>10.1f}{size:>7.1f}{by_index:>10.1f}{by_scan:>12.1f}")


if __name__ == "__main__":
    main()
