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

from bench.common import write_result  # noqa: E402
from frostspindle.lab.cold import ColdEmulator  # noqa: E402
from frostspindle.lab.faults.script import draw_script, parse  # noqa: E402


def run_mixed_faults(seed: int) -> dict[str, Any]:
    """Run one emulation with faults of all kinds, draw_script from the seed, and return its figures."""
    rng = random.Random(seed)
    count, loss_at_s, faults = draw_script(rng, (3.0, 15.0, 15.0), (2.0, 25.0), (5, 3.0), (4, 8.0))
    if rng.random() < 0.3:  # power loss: all nodes are killed and restarted
        faults += [
            f"{loss_at_s + node * 0.1:.2f} kill {node}; {loss_at_s + 1.5 + rng.uniform(0.0, 3.0):.2f} start {node}"
            for node in range(count)
        ]
    emulator = ColdEmulator(
        count,
        seed,
        parse("; ".join(faults), count),
        35.0,
        rng.choice((1, 2)),
        rng.choice((0.6, 1.5, 3.0)),
        rng.choice((1.0, 10.0)),
        rng.choice((6.0, 15.0)),
        rng.choice((200.0, 2_000.0)),
        rng.choice(((20.0, 200.0), (5.0, 60.0), (200.0, 2_000.0))),
        homes=rng.choice((0, 3)),
    )
    emulator.run()
    return emulator.figures()


def measure_use(count: int, load: float, plain: bool, min_query_ms: float, max_query_ms: float) -> dict[str, Any]:
    """Return the used share of the budget without faults, as the median of three seeds.

    The first coordinator demands ten times as much as each other; `load` is the total demand relative to the budget.
    Query times range from `min_query_ms` to `max_query_ms`.
    """
    used, used_by_first = [], []
    for seed in (1, 2, 3):
        emulator = ColdEmulator(
            count, seed, parse("", count), 60.0, load=load, plain=plain, sizes=(min_query_ms, max_query_ms)
        )
        emulator.run()
        figures = emulator.figures()
        used.append(figures["use"])
        used_by_first.append(figures["first"])
    return {
        "nodes": count,
        "load": load,
        "plain": plain,
        "query_ms": [min_query_ms, max_query_ms],
        "use": median(used),
        "first": median(used_by_first),
    }


def main() -> None:
    """Run the seeded faults and the measurements of use in several processes; print one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=500)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--sizes", default="5,9,30")
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    sizes = [int(size) for size in args.sizes.split(",") if size]
    with ProcessPoolExecutor(args.jobs) as pool:
        rows = [
            pool.submit(measure_use, size, load, plain, *query)
            for size in sizes
            for load in (0.8, 1.5)
            for query in ((20.0, 200.0), (400.0, 1_200.0))
            for plain in (False, True)
        ]
        runs = list(pool.map(run_mixed_faults, range(args.runs), chunksize=4))
        result = {
            "runs": len(runs),
            "paid": sum(run["paid"] for run in runs),
            "cold_overruns": sum(run["cold_overruns"] for run in runs),
            "seeds_over": [run["seed"] for run in runs if run["cold_overruns"]],
            "most_in_a_window": max((run["most_in_a_window"] for run in runs), default=0),
            "at_one_process": max((run["at_one_process"] for run in runs), default=0),
            "over_at_one_process": sum(run["at_one_process"] > run["units"] for run in runs),
            "use": [row.result() for row in rows],
        }
    write_result(result, args.out)


if __name__ == "__main__":
    main()
