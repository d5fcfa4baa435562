"""What the measurements share: how a result is told.

Owns nothing else. It must never measure.
"""

from __future__ import annotations

import json
from typing import Any


def tell(result: dict[str, Any], file: str | None) -> None:
    """One JSON object to stdout and, where one is named, to a file."""
    text = json.dumps(result, indent=1)
    print(text)
    if file:
        with open(file, "w", encoding="utf-8") as out:
            out.write(text + "\n")
