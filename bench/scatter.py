"""Measures scattered queries: queries that missed a row, pruned sites, the effect of a cut, the cost of decisions.

    python bench/scatter.py [--runs 500] [--nodes 5] [--cores 4]

Seeded; the runs use the emulator (`lab scatter`) in several processes. Costs are CPU times, best of five rounds.
"""

from __future__ import annotations

import argparse
import json
import statistics
import time
from collections.abc import Callable
from multiprocessing import Pool
from types import SimpleNamespace
from typing import Any

from frostspindle.catalogue import Catalogue, read_section
from frostspindle.core import ClientRequest
from frostspindle.lab.scatter import Emulator, measure, play
from frostspindle.predicates import may_match
from frostspindle.predicates.summaries import Summary
from frostspindle.scatter.leases import LoadIntent, widen
from frostspindle.scatter.merge import merge
from frostspindle.scatter.plan import Planner, step_cells
from frostspindle.scatter.service import ScatterService
from frostspindle.telemetry import Telemetry

SECONDS = 16.0
RAW = {
    "binary": True,
    "site": [{"name": f"s{n}"} for n in range(4)],
    "group": [
        {
            "schema": "calls_17",
            "tables": ["notes"],
            "column": [{"name": "n", "type": "integer", "step": 5}, {"name": "s", "type": "text"}],
        }
    ],
}
SQL = "SELECT s, COUNT(*), MAX(n) FROM calls_17.notes WHERE n BETWEEN {} AND {} AND s <> 'x' GROUP BY s ORDER BY 2 DESC"


def run_emulation(job: tuple[int, int, str]) -> dict[str, Any]:
    """Run one emulation of SECONDS simulated seconds, given as nodes, seed and fault script; return its figures."""
    nodes, seed, faults = job
    return measure(play(nodes, seed, faults, SECONDS))


def while_cut(nodes: int, seed: int) -> dict[str, Any]:
    """Partition the first two nodes from the others for 10 s; homes are c0 to c2.

    Return the share of prunable sites that were pruned before, during and after the cut, and counts.
    """
    emulator: Emulator = play(nodes, seed, f"10-20 cut 0-1|2-{nodes - 1}", 30.0)
    result: dict[str, Any] = {}
    for name, begin, end in (("before", 5.0, 10.0), ("cut", 13.5, 20.0), ("after", 21.0, 30.0)):
        shares = [(pruned, prunable) for at_ms, pruned, prunable in emulator.seen if begin <= at_ms / 1_000.0 < end]
        result[name] = sum(pruned for pruned, _ in shares) / sum(prunable for _, prunable in shares)
    return {**result, **{key: emulator.counted[key] for key in ("loads", "refused", "failed", "false_skips")}}


def best_us(call: Callable[[], Any], times: int) -> float:
    """Return the CPU microseconds per call: the mean of `times` calls, best of five rounds."""
    rounds = []
    for _ in range(5):
        started = time.process_time()
        for _ in range(times):
            call()
        rounds.append((time.process_time() - started) / times * 1e6)
    return round(min(rounds), 2)


def costs() -> dict[str, float]:
    """Return the CPU microseconds of each decision of a scattered query."""
    parsed = read_section(RAW)
    catalogue = Catalogue(
        parsed,
        {group.number: group for group in parsed.group},
        {site.name: site for site in parsed.site},
        {},
        frozenset(),
        -1,
    )
    planner, numbers = Planner(catalogue), iter(range(10**9))
    cached_sql = SQL.format(5, 9)
    planner.plan(17, cached_sql)
    summary = Summary(catalogue.summary_columns(17), 4_096)
    cells = [(1, str(number)) for number in range(100, 600, 3)]
    widen(
        summary,
        LoadIntent(
            200, {"n": cells, "n\0": step_cells(cells, 5), "s": [(2, f"agent-{number}") for number in range(50)]}
        ),
    )
    plan = planner.plan(17, cached_sql)
    core = SimpleNamespace(classes=[("http", "lookup")], open=0, max_open_requests=99)
    scatter = ScatterService(catalogue, core, Telemetry(), None, 1)  # type: ignore[arg-type]
    other = ClientRequest(
        "http", 0, "0" * 16, "SELECT 1 FROM calls_18.notes", 0.0, 1_000.0, lambda answer: None, group=18
    )
    parts = [[[f"agent-{number}", "3", "7"] for number in range(100)] for _ in range(4)]
    insert = "INSERT INTO calls_17.notes (n, s) VALUES ({}, 'agent-7'), (8, 'agent-8')"
    return {
        "a request of nothing spread, us": best_us(lambda: scatter.try_take(other), 20_000),
        "a statement, read": best_us(lambda: planner.plan(17, SQL.format(next(numbers), 10**9)), 50),
        "a statement, known": best_us(lambda: planner.plan(17, cached_sql), 20_000),
        "a summary, asked": best_us(lambda: may_match(plan.predicate, summary), 2_000),
        "a load's statement of two rows, read": best_us(lambda: planner.load(17, insert.format(next(numbers))), 50),
        "four parts of 100 groups, merged": best_us(lambda: merge(plan.merge, parts, "\\N"), 50),
    }


def main() -> None:
    """Measure runs with drawn faults, runs without faults, cuts and costs; print a JSON object for each."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--runs", type=int, default=500)
    parser.add_argument("--nodes", type=int, default=5)
    parser.add_argument("--cores", type=int, default=4)
    args = parser.parse_args()
    with Pool(args.cores) as pool:
        faulty_runs = []
        for run in pool.imap_unordered(run_emulation, [(args.nodes, seed, "drawn") for seed in range(args.runs)]):
            faulty_runs.append(run)
            if run["false_skips"] or not len(faulty_runs) % 50:
                missed = sum(faulty_run["false_skips"] for faulty_run in faulty_runs)
                print(json.dumps({"runs": len(faulty_runs), "seed": run["seed"], "false_skips": missed}), flush=True)
        calm_runs = pool.map(run_emulation, [(nodes, seed, "") for nodes in (3, 9, 30) for seed in range(3)])
        cut_runs = pool.starmap(while_cut, [(args.nodes, seed) for seed in range(8)])
    total = {
        key: sum(run[key] for run in faulty_runs)
        for key in ("false_skips", "queries", "loads", "answered", "refused", "failed", "learnt", "asked_without_lease")
    }
    load_waits = sorted(run["load_wait_ms_p99"] for run in faulty_runs if run["load_wait_ms_p99"] is not None)
    print(
        json.dumps(
            {
                "drawn faults": {
                    "runs": len(faulty_runs),
                    **total,
                    "pruned, median": statistics.median(run["pruned"] for run in faulty_runs),
                    "load_wait_ms_p99, median and worst": [statistics.median(load_waits), load_waits[-1]],
                }
            }
        )
    )
    print(
        json.dumps(
            {
                "calm": [
                    {
                        key: run[key]
                        for key in ("nodes", "seed", "pruned", "load_wait_ms_p50", "load_wait_ms_p99", "false_skips")
                    }
                    for run in calm_runs
                ]
            }
        )
    )
    print(
        json.dumps(
            {
                "cut of two for 10 s, mean of 8": {
                    key: round(statistics.mean(run[key] for run in cut_runs), 3) for key in cut_runs[0]
                }
            }
        )
    )
    print(json.dumps({"costs, us": costs()}))


if __name__ == "__main__":
    main()
