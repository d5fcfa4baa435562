"""Measures returns from losses of power: zeros over many seeded runs, and how soon goodput is back at several sizes.

    python bench/power.py [--runs 500] [--first 1] [--sizes 9:12,60:3,300:1] [--tip 4,2] [--jobs 4] [--plain]
        [--out FILE]

Prints one JSON object. `zeros`: runs of 5 to 9 coordinators with faults of all kinds, drawn from the seed, and how
many had anything in each field that must be zero. `sizes`: for each size and each engine's limit, the medians with
recovery and, on the same seeds, of the start without it. `--plain`: likewise with plain shares of
cold engines' budgets in place of rights. Runs are seeded; nothing depends on the machine.
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
from frostspindle.lab import power  # noqa: E402
from frostspindle.lab.faults.script import parse  # noqa: E402

ZEROS = ("overspend", "cold_overruns", "loads_doubled", "stuck")
FIELDS = (
    "recovered_s",
    "oracle_s",
    "oracle_shares_s",
    "refused",
    "served",
    "gave_up",
    "cold_overruns",
    "loads_doubled",
)


def run_mixed_faults(seed: int) -> dict[str, Any]:
    """Run one recovery from a power loss under faults of all kinds, drawn from the seed; return its figures."""
    rng = random.Random(seed)
    nodes = rng.choice((5, 7, 9))
    shuffled = rng.sample(range(nodes), nodes)
    split = rng.randrange(1, nodes)
    faults = [
        f"0- loss {rng.choice((0, 0.05, 0.3))}",
        f"0- dup {rng.choice((0, 0.1, 0.5))}",
        f"0- reorder {rng.choice((0, 0.2))}",
        f"0- delay {rng.choice(('0-1', '1-20', '20-100'))}",
    ]
    if rng.random() < 0.5:
        cut_at_s = rng.uniform(9.0, 20.0)
        faults.append(
            f"{cut_at_s:.2f}-{cut_at_s + rng.uniform(2.0, 15.0):.2f} cut {','.join(map(str, shuffled[:split]))}|"
            f"{','.join(map(str, shuffled[split:]))}"
        )
    return power.compare(nodes, seed, parse("; ".join(faults), nodes), naive=False)[0]


def run_all_lose_power(arguments: tuple[int, int, float, bool]) -> dict[str, Any]:
    """Run one size and seed in which all nodes lose power, with recovery and with a plain start; return both figures.

    The arguments are the nodes, the seed, the load limit of a cold engine as a multiple of its current capacity, and
    whether to also run with plain shares of cold budgets.
    """
    nodes, seed, tip, plain = arguments
    power.TIP = tip
    row = power.compare(nodes, seed, mixed=False)[0]
    if plain:
        plain_row = power.compare(nodes, seed, mixed=False, naive=False, cold=False)[0]
        row |= {f"plain_{name}": value for name, value in plain_row.items()}
    return row


def summary(rows: list[dict[str, Any]], prefix: str) -> dict[str, Any]:
    """Return the median of each figure with that prefix, or the sum if it must be zero.

    A run that never recovered counts as 45 s, its full length.
    """
    result: dict[str, Any] = {}
    for name in FIELDS:
        values = [row[prefix + name] for row in rows if prefix + name in row]
        if not values:
            continue
        if name.endswith("_s"):  # None: never recovered
            values = [45.0 if value is None else value for value in values]
        result[name] = sum(values) if name in ZEROS else median(values)
    return result


def main() -> None:
    """Run the seeded faults, then each size and load limit; print one JSON object."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=500)
    parser.add_argument("--first", type=int, default=1, help="the first seed, of the zeros and of each size")
    parser.add_argument("--sizes", default="9:12,60:3,300:1")
    parser.add_argument("--tip", default="4,2")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--plain", action="store_true")
    parser.add_argument("--out")
    args = parser.parse_args()
    result: dict[str, Any] = {"sizes": []}
    with ProcessPoolExecutor(args.jobs) as pool:
        runs = []
        for run in pool.map(run_mixed_faults, range(args.first, args.first + args.runs)):
            runs.append(run)
            if (
                any(run[name] for name in ZEROS) or len(runs) % 20 == 0
            ):  # so that an aborted benchmark has printed results
                print(len(runs), run["seed"], {name: run[name] for name in ZEROS}, file=sys.stderr, flush=True)
        result["zeros"] = {name: sum(run[name] > 0 for run in runs) for name in ZEROS}
        result["runs"], result["requests"] = len(runs), sum(run["requests"] for run in runs)
        result["seeds"] = {name: [run["seed"] for run in runs if run[name]][:20] for name in ZEROS}
        for size in filter(None, args.sizes.split(",")):
            nodes, seeds = map(int, size.split(":"))
            for tip in map(float, args.tip.split(",")):
                seed_range = range(args.first, args.first + seeds)
                rows = list(pool.map(run_all_lose_power, [(nodes, seed, tip, args.plain) for seed in seed_range]))
                result["sizes"].append(
                    {
                        "nodes": nodes,
                        "seeds": seeds,
                        "tip": tip,
                        "recovery": summary(rows, ""),
                        "naive": summary(rows, "naive_"),
                        **({"plain": summary(rows, "plain_")} if args.plain else {}),
                    }
                )
    write_result(result, args.out)


if __name__ == "__main__":
    main()
