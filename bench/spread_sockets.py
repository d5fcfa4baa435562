"""Plays seeded runs of five processes on real sockets: scattered queries and loads, or subscribers, under drawn faults.

    python bench/spread_sockets.py scatter|subscriptions [--runs 30] [--first 0] [--seconds 10]

Prints a JSON line a run, and one with the sums at the end. What a run finds depends on the machine; its faults and
what is asked when are drawn from its number. One whose processes were not ready in time is told and played again.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import time
from statistics import median
from typing import Any

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

from frostspindle.lab.faults.spread import PROBES, ScatterRun, SubscriptionRun, draw_script  # noqa: E402

TENANTS = '[[tenant]]\nname = "blue"\n[[tenant.rule]]\nheader = "X-Team=blue"\n'
BUDGET = '[[fleet.budget]]\nname = "blue"\nunits = 100\ntenant = "blue"\n'
MAX_START_ATTEMPTS = 4
FAULTS = {
    "scatter": ("false_skips", "invented", "loads_doubled", "faults", "stuck", "not_begun"),
    "subscriptions": (
        "lost_silently",
        "repeated",
        "foreign",
        "disordered",
        "gaps_open",
        "not_told_in_60_s",
        "faults",
        "stuck",
        "not_begun",
    ),
}


async def run_seed(part: str, seed: int, seconds: float) -> dict[str, Any]:
    """Run `scatter` or `subscriptions` on five processes, under faults drawn from the seed; return its figures.

    A run that times out counts as `stuck`, or as `not_begun` if its processes did not become ready for the faults.
    """
    script = draw_script(seed, seconds - 1.0)
    run = ScatterRun(script, seed) if part == "scatter" else SubscriptionRun(script, seed, PROBES + BUDGET, TENANTS)
    began, figures = time.monotonic(), {"stuck": 0}
    try:
        figures |= await run.run(seconds)
    except TimeoutError:
        figures["not_begun" if run.fleet.script_task is None else "stuck"] = 1
    finally:
        codes = await (run.fleet if isinstance(run, ScatterRun) else run).close()
    return {
        "seed": seed,
        **figures,
        "took_s": round(time.monotonic() - began, 1),
        "ended": codes == [0] * 5,
        "script": script,
    }


def main() -> None:
    """Run all seeds, each up to MAX_START_ATTEMPTS times until it starts; print each run, then the sums."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=FAULTS)
    parser.add_argument("--runs", type=int, default=30)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    runs = []
    for seed in range(args.first, args.first + args.runs):
        for _ in range(MAX_START_ATTEMPTS):
            run = asyncio.run(run_seed(args.part, seed, args.seconds))
            print(json.dumps(run), flush=True)
            if "not_begun" not in run:
                break
        runs.append(run)
    sums = {
        key: sum(run.get(key) or 0 for run in runs)
        for key in sorted({key for run in runs for key, value in run.items() if type(value) is int} - {"seed"})
    }
    print(
        json.dumps(
            {
                "runs": len(runs),
                "bad": {key: sum(bool(run.get(key)) for run in runs) for key in FAULTS[args.part]},
                "not_ended": sum(not run["ended"] for run in runs),
                "sums": sums,
                "medians": {
                    key: median(run[key] for run in runs if run.get(key) is not None)
                    for key in ("pruned", "load_wait_ms_p99")
                    if any(run.get(key) is not None for run in runs)
                },
            }
        )
    )


if __name__ == "__main__":
    main()
