"""Logs the memory use of the process once a minute, so that growth over a long run is visible in the log.

It runs in a separate task and adds no work to requests.
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
    """Log resident MB, Python's allocated blocks and the sizes of load-dependent structures until cancelled."""
    while True:
        await asyncio.sleep(INTERVAL_S)
        telemetry.log(
            "memory_measured",
            rss_mb=resident_mb(),
            blocks=sys.getallocatedblocks(),
            open=core.open,
            clients=front.connections,
            **core.sizes(),
            held_bytes=core.held_memory.by_purpose(),
        )


def resident_mb() -> float | None:
    """Return the resident memory of this process; None on a host without /proc."""
    try:
        with open("/proc/self/statm", "rb") as statm:
            pages = int(statm.read().split()[1])
    except (OSError, ValueError, IndexError):
        return None
    return round(pages * PAGE_MB, 1)
