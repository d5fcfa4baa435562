"""HTML page of one run of an emulator: a plot, its legend and the figures. Needs the extra `plot`."""

from __future__ import annotations

import base64
import html
import io
from collections.abc import Callable
from pathlib import Path
from typing import Any


def write(
    folder: str, title: str, heading: str, alt: str, legend: str, figures: dict[str, Any], draw: Callable[[Any], None]
) -> Path:
    """Write `index.html` into the folder and return its path. `draw` plots on the axes that it is called with."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(10, 4.5))
    draw(axes)
    axes.legend(loc="lower right", fontsize=8)
    image = io.BytesIO()
    figure.tight_layout()
    figure.savefig(image, format="png", dpi=110)
    pyplot.close(figure)
    rows = "".join(
        f"<tr><td>{html.escape(key)}</td><td>{html.escape(str(value))}</td></tr>" for key, value in figures.items()
    )
    page = Path(folder, "index.html")
    page.parent.mkdir(parents=True, exist_ok=True)
    page.write_text(
        f"<!doctype html><meta charset=utf-8><title>{title}</title><style>body{{font:14px sans-serif;margin:2em}}"
        f"td{{padding:2px 12px;border-bottom:1px solid #ddd}}</style><h1>{heading}</h1>"
        f'<img alt="{alt}" src="data:image/png;base64,{base64.b64encode(image.getvalue()).decode()}">'
        f"<p>{legend}</p><table>{rows}</table>"
    )
    return page
