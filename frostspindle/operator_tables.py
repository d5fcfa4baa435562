"""Formats the figures of operators' calls as text tables."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

BUDGET_COLUMNS = ("units", "own", "held", "ready", "lent", "borrowed", "need", "spent", "denied")


def stat_lines(figures: dict[str, Any]) -> Iterator[str]:
    """Yield the lines for `show-stat`: totals, outcomes by class and, for several workers, one line each."""
    for key, value in figures.items():
        if not isinstance(value, (dict, list)):
            yield f"{key:<14}{value:>10}"
    yield f"\n{'class':<14}{'success':>10}{'busy':>10}{'failure':>10}"
    for name, row in figures["calls"].items():
        yield f"{name:<14}{row['success']:>10}{row['busy']:>10}{row['failure']:>10}"
    workers = figures.get("workers")
    if not workers:
        return
    yield f"\n{'worker':<14}{'state':>10}{'inflight':>10}{'clients':>10}{'restarts':>10}"
    for row in workers:
        yield (f"{row['worker']:<14}{row['state']:>10}{row['inflight']:>10}{row['clients']:>10}{row['restarts']:>10}")


def fleet_lines(figures: dict[str, Any]) -> Iterator[str]:
    """Yield the lines for `show-fleet`: members, budgets, sums and verdicts on engines."""
    yield (
        f"{figures['name']}: {figures['size']} coordinators, health {figures['health']} (0 is good), "
        f"{figures['false_suspicions']} false suspicions"
    )
    yield f"\n{'member':<24}{'state':>10}{'heard, s ago':>14}"
    stale_ms = figures["stale_ms"]
    for name, state in figures["members"].items():
        age_s = stale_ms[name] / 1000.0 if name in stale_ms else float("nan")
        yield f"{name:<24}{state:>10}{age_s:>14.1f}"
    yield "\n" + f"{'budget':<17}" + "".join(f"{column:>10}" for column in BUDGET_COLUMNS)
    for name, row in figures["budgets"].items():
        yield f"{name:<17}" + "".join(f"{row[column]:>10}" for column in BUDGET_COLUMNS)
    for key, value in figures["sums"].items():
        yield f"fleet {key:<24}{value:>12}"
    for row in figures["verdicts"]:
        own_verdict = ", and we" if row["own"] else ""
        counts_note = "; counts" if row["counts"] else ""
        yield f"{row['engine']} {row['kind']}: {row['judges']} others{own_verdict}{counts_note}"


def owner_lines(figures: dict[str, Any]) -> Iterator[str]:
    """Yield the lines for `show-owners`: who holds which task, and actions that were refused."""
    state = f"does not compete for tasks: {figures['waits']}" if figures["waits"] else f"wants {figures['wants']} tasks"
    yield f"{figures['name']}: leader {figures['leader'] or 'unknown'}, index {figures['index']}, {state}"
    yield f"\n{'task':<24}{'holder':<20}{'token':>10}{'left, s':>10}{'renewed':>10}"
    for row in figures["owners"]:
        here_note = " here" if row["here"] else ""
        released_note = " released by an operator" if row["forced"] else ""
        yield (
            f"{row['task']:<24}{row['holder']:<20}{row['token']:>10}{row['left_ms'] / 1000.0:>10.1f}"
            f"{row['renewals']:>10}{here_note}{released_note}"
        )
    for task in figures["free"]:
        yield f"{task:<24}{'nobody':<20}"
    yield f"\n{figures['acted']} actions, {figures['refused']} refused"
    for row in figures["refusals"]:
        yield f"refused: {row['task']} {row['action']} under {row['token']}, {row['highest']} was seen"
