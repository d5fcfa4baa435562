"""Logs the memory use of the process once a minute, and at once when it has changed by a large step.

It runs in a separate task and adds no work to requests.
"""

from __future__ import annotations

import asyncio
import os
import sys

from frostspindle.core import Core
from frostspindle.net.platform import HttpFront
from frostspindle.telemetry import Telemetry

INTERVAL_S = 60.0  # between two lines
CHECK_INTERVAL_S = 0.5  # at which a large step is noticed
STEP_SHARE = 1 / 8  # of limits.memory_mb: a change of the resident memory that is logged at once
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 2**20


async def log_memory(core: Core, front: HttpFront, telemetry: Telemetry, memory_mb: float) -> None:
    """Log resident MB, Python's allocated blocks and the sizes of load-dependent structures until cancelled."""
    elapsed_s = 0.0
    logged_mb = resident_mb()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_S)
        elapsed_s += CHECK_INTERVAL_S
        rss_mb = resident_mb()
        is_step = rss_mb is not None and logged_mb is not None and abs(rss_mb - logged_mb) >= memory_mb * STEP_SHARE
        if elapsed_s < INTERVAL_S and not is_step:
            continue
        elapsed_s = 0.0
        logged_mb = rss_mb
        telemetry.log(
            "memory_measured",
            rss_mb=rss_mb,
            limit_mb=memory_mb,
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
