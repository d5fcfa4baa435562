"""Plot of one run of the fleet's emulator: spending against the budget over time, by group of coordinators.

The page is written by `page`. The plot shows only data of the run. Needs the extra `plot`.
"""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

from frostspindle.lab import page
from frostspindle.lab.fleet import Emulator


def groups(emulator: Emulator) -> dict[str, list[int]]:
    """Return the groups of coordinators to plot, by label.

    These are the sides of the first cut, or without a cut the coordinator with the greatest demand and the others.
    """
    for rule in emulator.script.rules:
        if rule.kind == "cut":
            return {f"side {n} ({len(side)} coordinators)": sorted(side) for n, side in enumerate(rule.groups, 1)}
    busiest = max(range(emulator.count), key=lambda n: emulator.processes[n].demand)
    return {
        emulator.processes[busiest].name: [busiest],
        "the others": [n for n in range(emulator.count) if n != busiest],
    }


def write(emulator: Emulator, figures: dict[str, Any], folder: str) -> Path:
    """Write `index.html` with a plot of the units spent per window against the budget, and return its path."""

    def draw(axes: Any) -> None:
        window = emulator.window_ms
        window_count = int(emulator.seconds * 1_000.0 / window)
        base = [0] * window_count
        for label, members in groups(emulator).items():
            group = set(members)
            units_by_window = Counter(int(at / window) for at, n in emulator.spends if n in group)
            values = [units_by_window.get(n, 0) for n in range(window_count)]
            top = [bottom + value for bottom, value in zip(base, values, strict=True)]
            axes.fill_between(
                [n * window / 1_000.0 for n in range(window_count)], base, top, step="post", alpha=0.7, label=label
            )
            base = top
        axes.axhline(emulator.units, color="black", linewidth=1.2, label="budget")
        for rule in emulator.script.rules:
            if rule.kind in ("cut", "oneway"):
                axes.axvspan(rule.begins, min(rule.ends, emulator.seconds), color="grey", alpha=0.15)
        for act in emulator.script.acts:
            axes.axvline(act.at, color="red", linewidth=0.8, linestyle=":")
            axes.text(act.at, emulator.units * 1.02, f"{act.kind} {act.node}", fontsize=7, rotation=60)
        axes.set(xlabel="seconds", ylabel=f"units spent in each {window:g} ms", ylim=(0, emulator.units * 1.25))

    return page.write(
        folder,
        "Fleet run",
        "A run of the fleet's emulator",
        "spending against the budget",
        "Grey: a partition. Dotted: a process killed, started, stopped or continued.",
        figures,
        draw,
    )
