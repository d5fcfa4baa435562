"""The wall clock of a run's processes, which can be stepped; that of the soak itself goes on."""

from __future__ import annotations

import time
from pathlib import Path

from frostspindle.lab.soak.shims.sitecustomize import OFFSET

SHIM_FOLDER = Path(__file__).parent / "shims"


class SteppedClock:
    """One offset for all processes that are started with its environment."""

    def __init__(self, folder: Path) -> None:
        self.offset_s = 0.0
        self._path = folder / "clock-offset"
        self._path.write_bytes(OFFSET.pack(0.0))

    def step(self, seconds: float) -> None:
        """Step the clock by so many seconds, forward or back."""
        self.offset_s += seconds
        with self._path.open("r+b") as file:
            file.write(OFFSET.pack(self.offset_s))

    def unix_ms(self) -> float:
        """Return the time that the processes read, in Unix ms."""
        return (time.time() + self.offset_s) * 1000.0

    def environment(self) -> dict[str, str]:
        """Return what a process needs in its environment."""
        return {"PYTHONPATH": str(SHIM_FOLDER), "CLOCK_OFFSET_FILE": str(self._path)}
