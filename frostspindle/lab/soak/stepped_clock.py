"""Steps the wall clock of the processes of a run; the clock of the soak itself is not affected."""

from __future__ import annotations

import time
from pathlib import Path

from frostspindle.lab.soak.shims.sitecustomize import OFFSET

SHIM_FOLDER = Path(__file__).parent / "shims"


class SteppedClock:
    """The clock offset of all processes that are started with `environment`."""

    def __init__(self, folder: Path) -> None:
        self.offset_s = 0.0
        self._path = folder / "clock-offset"
        self._path.write_bytes(OFFSET.pack(0.0))

    def step(self, seconds: float) -> None:
        """Step the clock by `seconds`, forward or, if negative, backward."""
        self.offset_s += seconds
        with self._path.open("r+b") as file:
            file.write(OFFSET.pack(self.offset_s))

    def unix_ms(self) -> float:
        """Return the time that the processes read, in Unix ms."""
        return (time.time() + self.offset_s) * 1000.0

    def environment(self) -> dict[str, str]:
        """Return the environment variables that apply the offset to a process."""
        return {"PYTHONPATH": str(SHIM_FOLDER), "CLOCK_OFFSET_FILE": str(self._path)}
