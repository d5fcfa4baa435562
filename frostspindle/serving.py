"""Starts serving, as a single coordinator process or as the supervisor of several workers.

A failed start exits with 1 or 2. Only the modules that are needed are imported. Where the host does not allow workers
to be started, it logs one line and serves as a single process.
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
    """Serve until a signal; return 0 after a signal, 1 after a failure, 2 for a bad configuration."""
    signals.block()
    try:
        config = configuration.read(environ)
    except ConfigError as error:
        print(f"frostspindle: {error}", file=sys.stderr)
        return 2
    share_offset(shared_folder(config.environ, config.name))
    has_workers = config.operator.cores.workers > 1
    if has_workers:
        from frostspindle.cores.probe import worker_start_refusal

        if refusal := worker_start_refusal():  # serve with a single process where none can be started
            from frostspindle.telemetry import Telemetry

            Telemetry(config.name).log("worker_start_refused", workers=config.operator.cores.workers, reason=refusal)
            has_workers = False
    if has_workers:
        from frostspindle.cores.supervisor import run
    else:
        from frostspindle.program import run  # type: ignore[assignment]

    try:
        return asyncio.run(run(config))
    except ConfigError as error:  # in a file that an optional part reads
        print(f"frostspindle: {error}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"frostspindle: {error}", file=sys.stderr)
        return 1
    finally:  # else interpreter exit runs several garbage collections over the remaining objects, which delay it
        gc.freeze()
