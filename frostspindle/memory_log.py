"""The log line `memory`: what the process holds, once a minute, so that growth shows over a long day.

Owns reading the process's own size. It costs requests nothing.
"""

from __future__ import annotations

import asyncio
import os
import sys

from frostspindle.core import Core
from frostspindle.net.platform import HttpFront
from frostspindle.telemetry import Telemetry

INTERVAL_S = 60.0
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20


async def log_memory(core: Core, front: HttpFront, telemetry: Telemetry) -> None:
    """Every INTERVAL_S log resident MB, Python's blocks, and the sizes of what grows with load, until cancelled."""
    while True:
        await asyncio.sleep(INTERVAL_S)
        telemetry.log(
            "memory_measured",
            rss_mb=resident_mb(),
            blocks=sys.getallocatedblocks(),
            open=core.open,
            clients=front.connections,
            **core.sizes(),
        )


def resident_mb() -> float | None:
    """Return the resident memory of this process; None on a host without /proc."""
    try:
        with open("/proc/self/statm", "rb") as statm:
            pages = int(statm.read().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return round(pages * PAGE_MB, 1)
