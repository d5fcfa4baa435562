"""What a process that serves becomes: one coordinator process, or the supervisor of several.

Owns that choice and the exit codes 1 and 2 of a start that fails. It must never import more than the choice needs, and
never take a host's refusal for a fault: where no process may be started (workers), it serves as one process and says
so in one line.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from collections.abc import Mapping

from frostspindle import config as configuration
from frostspindle import signals
from frostspindle.clock_file import share_offset
from frostspindle.config import ConfigError
from frostspindle.shared import shared_folder


def serve(environ: Mapping[str, str] = os.environ) -> int:
    """Serve until a signal ends it; return 0 after a signal, 1 for a fault, 2 for a bad configuration."""
    signals.block()
    try:
        config = configuration.read(environ)
    except ConfigError as error:
        print(f"frostspindle: {error}", file=sys.stderr)
        return 2
    share_offset(shared_folder(config.environ, config.name))
    several = config.operator.cores.workers > 1
    if several:
        from frostspindle.cores.probe import worker_start_refusal

        if why := worker_start_refusal():  # a host without processes still gets its coordinator, as one process
            from frostspindle.telemetry import Telemetry

            Telemetry(config.name).log("worker_start_refused", workers=config.operator.cores.workers, reason=why)
            several = False
    if several:
        from frostspindle.cores.supervisor import run
    else:
        from frostspindle.program import run  # type: ignore[assignment]

    try:
        return asyncio.run(run(config))
    except ConfigError as error:  # in a file that a part reads for itself
        print(f"frostspindle: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"frostspindle: {error}", file=sys.stderr)
        return 1
    finally:  # all is closed and told: the interpreter's end must not search what is left for circles, several times
        gc.freeze()
