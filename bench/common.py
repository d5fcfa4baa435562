"""Output of results, shared by the benchmarks."""

from __future__ import annotations

import json
from typing import Any


def write_result(result: dict[str, Any], file: str | None) -> None:
    """Print the result as one JSON object; also write it to `file` if one is given."""
    text = json.dumps(result, indent=1)
    print(text)
    if file:
        with open(file, "w", encoding="utf-8") as out:
            out.write(text + "\n")
