"""Measures the return of five processes from a loss of power on real sockets: runs, seeded, with and without a cut.

    python bench/power_sockets.py [--runs 30] [--out FILE]

Prints one JSON object, and each run to stderr as it ends. Every other run has a 2|3 cut and 5 percent lost. Two stores
are lost in each and, but in every fourth, a third is older; with a cut these are together, so that those who remember
are fewer. In every fourth the two are cut off, and the three others must run new loads (`loads_after`).
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import random
import sys
from statistics import median
from typing import Any

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from bench.common import write_result  # noqa: E402
from frostspindle.lab.faults.power import PowerLoss  # noqa: E402

FAULTS = ("overspend", "cold_overruns", "loads_doubled", "untrue", "stuck", "faults")


async def run_seed(seed: int) -> dict[str, Any]:
    """Run one power loss of five processes, with faults drawn from the seed; return its figures.

    A run that times out counts as `stuck`. Odd seeds have a cut and 5% message loss.
    """
    shuffled = random.Random(seed).sample(range(5), 5)
    cut, minority_cut = seed % 2 == 1, seed % 4 == 3
    halves = (
        f"{shuffled[0]},{shuffled[1]}|{shuffled[2]},{shuffled[3]},{shuffled[4]}"
        if minority_cut
        else (f"{shuffled[3]},{shuffled[4]}|{shuffled[0]},{shuffled[1]},{shuffled[2]}")
    )
    power = PowerLoss(
        f"0.001- cut {halves}; 0- loss 0.05" if cut else "",
        (shuffled[0], shuffled[1]),
        () if minority_cut else (shuffled[2],),
        seed,
    )
    load_statuses: list[int | None] = []
    try:
        try:
            await power.run()
            timed_out = False
            while 200 not in load_statuses and len(load_statuses) < 5:
                load_statuses.append(
                    await power.client.load(power.fleet.processes[shuffled[4]].http, 50 + len(load_statuses))
                )
        except TimeoutError:
            timed_out = True
    finally:
        codes = await power.fleet.close()
    figures = power.figures()
    return {
        "seed": seed,
        "cut": cut,
        **figures,
        "stuck": figures["stuck"] + timed_out,
        "loads_after": 200 in load_statuses,
        "loads_due": minority_cut,
        "ended": codes == [0] * 5,
    }


def main() -> None:
    """Run all seeds one after another; print each run to stderr, then one JSON object with the sums."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=30)
    parser.add_argument("--out", default="")
    args = parser.parse_args()
    runs = []
    for seed in range(args.runs):
        runs.append(asyncio.run(run_seed(seed)))
        print(json.dumps(runs[-1]), file=sys.stderr, flush=True)
    result = {
        "runs": len(runs),
        **{key: sum(bool(run[key]) for run in runs) for key in FAULTS},
        "loads_after": sum(run["loads_after"] for run in runs),
        "loads_due": sum(run["loads_due"] for run in runs),
        "not_ended": sum(not run["ended"] for run in runs),
        "served": sum(run["served"] for run in runs),
        "loads": sum(run["loads"] for run in runs),
        "refused": sum(run["refused"] for run in runs),
        "recovered_s": {
            name: median(run["recovered_s"] for run in runs if run["cut"] is cut)
            for name, cut in (("whole", False), ("cut", True))
            if any(run["cut"] is cut for run in runs)
        },
        "cold_use_most": max(run["cold_use"] for run in runs),
    }
    write_result(result, args.out)


if __name__ == "__main__":
    main()
