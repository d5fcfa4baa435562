"""The crowd of a run, in a process of its own, and the memory of the coordinator beside it."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Callable, Iterable
from contextlib import suppress

from frostspindle.lab.process_memory import resident_mb
from frostspindle.lab.soak.plan import PlannedCrowd

SAMPLE_INTERVAL_S = 0.05


class SoakCrowd:
    """Plays a crowd for some seconds, and samples the memory of the processes that `pids` returns."""

    def __init__(self, plan: PlannedCrowd, port: int, seconds: float, pids: Callable[[], Iterable[int]]) -> None:
        self.peak_mb = 0.0
        self._arguments = [str(port), plan.kind, str(plan.connections), str(seconds)]
        self._pids = pids

    async def run(self) -> None:
        """Play the crowd to its end; end its process if this is cancelled."""
        player = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "frostspindle.lab.crowd", *self._arguments, stdout=asyncio.subprocess.DEVNULL
        )
        try:
            while player.returncode is None:
                self.peak_mb = max(self.peak_mb, sum(resident_mb(pid) for pid in self._pids()))
                await asyncio.sleep(SAMPLE_INTERVAL_S)
        finally:
            with suppress(ProcessLookupError):
                player.kill()
            await player.wait()
