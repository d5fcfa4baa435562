"""Measures cold engines' budgets as rights of the fleet: overruns under faults, and the use of the budget.

    python bench/cold_rights.py [--runs 500] [--jobs 4] [--sizes 5,9,30] [--out FILE]

Prints one JSON object. All runs are seeded and emulated; each use is measured against plain shares, same seed.
"""

from __future__ import annotations

import argparse
import os
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from statistics import median
from typing import Any

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from bench.common import tell  # noqa: E402
from frostspindle.lab.cold import ColdEmulator  # noqa: E402
from frostspindle.lab.faults.script import draw_script, parse  # noqa: E402


def mixed(seed: int) -> dict[str, Any]:
    """Run one emulation with faults of all kinds, drawn from the seed, and return its figures."""
    draw = random.Random(seed)
    count, at, parts = draw_script(draw, (3.0, 15.0, 15.0), (2.0, 25.0), (5, 3.0), (4, 8.0))
    if draw.random() < 0.3:  # a power loss
        parts += [
            f"{at + n * 0.1:.2f} kill {n}; {at + 1.5 + draw.uniform(0.0, 3.0):.2f} start {n}" for n in range(count)
        ]
    emulator = ColdEmulator(
        count,
        seed,
        parse("; ".join(parts), count),
        35.0,
        draw.choice((1, 2)),
        draw.choice((0.6, 1.5, 3.0)),
        draw.choice((1.0, 10.0)),
        draw.choice((6.0, 15.0)),
        draw.choice((200.0, 2_000.0)),
        draw.choice(((20.0, 200.0), (5.0, 60.0), (200.0, 2_000.0))),
        homes=draw.choice((0, 3)),
    )
    emulator.run()
    return emulator.figures()


def use(count: int, load: float, plain: bool, low: float, high: float) -> dict[str, Any]:
    """Return how much of the budget is used without faults, as the median of three seeds.

    The first coordinator wants ten times what each other wants; `load` is what all want, as a part of the budget. `low`
    and `high` are the least and greatest time of a query (ms).
    """
    uses, firsts = [], []
    for seed in (1, 2, 3):
        emulator = ColdEmulator(count, seed, parse("", count), 60.0, load=load, plain=plain, sizes=(low, high))
        emulator.run()
        figures = emulator.figures()
        uses.append(figures["use"])
        firsts.append(figures["first"])
    return {
        "nodes": count,
        "load": load,
        "plain": plain,
        "query_ms": [low, high],
        "use": median(uses),
        "first": median(firsts),
    }


def main() -> None:
    """Run the seeded faults and the uses on several processes; print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--sizes", default="5,9,30")
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    sizes = [int(size) for size in args.sizes.split(",") if size]
    with ProcessPoolExecutor(args.jobs) as pool:
        rows = [
            pool.submit(use, size, load, plain, *query)
            for size in sizes
            for load in (0.8, 1.5)
            for query in ((20.0, 200.0), (400.0, 1_200.0))
            for plain in (False, True)
        ]
        runs = list(pool.map(mixed, range(args.runs), chunksize=4))
        out = {
            "runs": len(runs),
            "paid": sum(run["paid"] for run in runs),
            "cold_overruns": sum(run["cold_overruns"] for run in runs),
            "seeds_over": [run["seed"] for run in runs if run["cold_overruns"]],
            "most_in_a_window": max((run["most_in_a_window"] for run in runs), default=0),
            "at_one_process": max((run["at_one_process"] for run in runs), default=0),
            "over_at_one_process": sum(run["at_one_process"] > run["units"] for run in runs),
            "use": [row.result() for row in rows],
        }
    tell(out, args.out)


if __name__ == "__main__":
    main()
