"""Plot of one run of the emulator of power losses: goodput with and without recovery.

The page is written by `page`. The plot shows only data of the run. Needs the extra `plot`.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

from frostspindle.lab import page
from frostspindle.lab.power import LOSS_S, World


def write(figures: dict[str, Any], world: World, naive: World | None, folder: str) -> Path:
    """Write `index.html` with a plot of the requests served in each second into the folder, and return its path."""

    def draw(axes: Any) -> None:
        for label, run in (("with recovery", world), ("without", naive)):
            if run is not None:
                spans = int(run.seconds)
                counts = [0] * spans
                for at in run.served:
                    counts[min(spans - 1, int(at / 1_000.0))] += 1
                axes.step(range(spans), counts, where="post", label=label)
        axes.axvline(LOSS_S, color="red", linestyle=":", linewidth=0.8)
        axes.axvline(world.restart_ms / 1_000.0, color="green", linestyle=":", linewidth=0.8)
        axes.set(xlabel="seconds", ylabel="requests served in each second")

    return page.write(
        folder,
        "Power loss",
        "A fleet that loses power",
        "goodput",
        "Red: the loss. Green: the first coordinator may start.",
        figures,
        draw,
    )
