"""The way in: what the process becomes, and its exit code.

Owns the choice between one process that serves, several, and the command line, and the exit codes 1 and 2 of a
start that fails. Without arguments it serves as the environment says, and imports no more than that needs. Where
the host refuses workers (no process may be started), it serves as one process and says so in one line.
"""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import Mapping

from frostspindle import config as configuration
from frostspindle.config import ConfigError


def serve(environ: Mapping[str, str] = os.environ) -> int:
    """Serve until a signal ends it; the exit code: 0 after a signal, 1 for a fault, 2 for a bad configuration."""
    try:
        config = configuration.read(environ)
    except ConfigError as error:
        print(f"frostspindle: {error}", file=sys.stderr)
        return 2
    several = config.operator.cores.workers > 1
    if several:
        from frostspindle.cores.probe import refused

        if why := refused():  # a host without processes still gets its coordinator, as one process
            from frostspindle.events import Events

            Events(config.name).log("cores_refused", workers=config.operator.cores.workers, reason=why)
            several = False
    if several:
        from frostspindle.cores.supervisor import run
    else:
        from frostspindle.program import run  # type: ignore[assignment]

    try:
        return asyncio.run(run(config))
    except OSError as error:
        print(f"frostspindle: {error}", file=sys.stderr)
        return 1


def main() -> int:
    if len(sys.argv) > 1:
        from frostspindle.cli import cli  # click is loaded only for those who type

        cli.main(prog_name="frostspindle")  # ends the process itself, with the code of the command
    return serve()


if __name__ == "__main__":
    sys.exit(main())
