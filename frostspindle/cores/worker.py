"""Entry point of a worker process: a complete coordinator that uses the sockets and shared memory of its supervisor.

The worker validates its bootstrap parameters and the shared memory, then runs the same program as a single process
does. It binds no address. If the supervisor dies, the worker drains and exits.
"""

from __future__ import annotations

import asyncio
import dataclasses
import gc
import os
import sys

import msgspec

from frostspindle import config as configuration
from frostspindle import division, signals
from frostspindle.config import Config, ConfigError
from frostspindle.core import steady_clock
from frostspindle.cores import limits
from frostspindle.cores.bootstrap import BOOTSTRAP_VARIABLE, CLOCK_OFFSET_VARIABLE, WorkerBootstrap
from frostspindle.cores.layout import IncompatibleMemoryError
from frostspindle.cores.link import SharedMemoryLink
from frostspindle.cores.shared_memory import SharedMemoryBoard
from frostspindle.program import run

SUPERVISOR_MEMORY_MB = 40.0  # reserved for the supervisor


def worker_config(config: Config, bootstrap: WorkerBootstrap) -> Config:
    """Return a worker's configuration: its share of each limit, without the operator address and SNMP."""
    workers, settings = bootstrap.slots, config.settings
    operator = config.operator
    tds = operator.tds and msgspec.structs.replace(
        operator.tds, max_sessions=max(1, division.split_evenly(operator.tds.max_sessions, workers)[bootstrap.slot])
    )
    return msgspec.structs.replace(
        config,
        operator_address=None,
        worker=bootstrap.slot,
        seed=config.seed ^ (0x9E3779B97F4A7C15 * (bootstrap.slot + 1)),
        operator=msgspec.structs.replace(operator, snmp=None, tds=tds),
        listener=bootstrap.listener,
        tds_listener=bootstrap.tds,
        limits=msgspec.structs.replace(
            config.limits,
            sockets=bootstrap.sockets,
            memory_mb=limits.memory_quota(
                config.limits.memory_mb, workers, min(SUPERVISOR_MEMORY_MB, config.limits.memory_mb / 4)
            ),
        ),
        # The decision module treats each worker as a coordinator with its share of every engine: docs/design/cores.md.
        settings=dataclasses.replace(
            settings,
            workers=workers,
            coordinators=settings.coordinators * workers,
            number=settings.number * workers + bootstrap.slot,
            retry_budget_min=settings.retry_budget_min // workers,
        ),
    )


async def serve(config: Config, link: SharedMemoryLink) -> int:
    """Run the worker's program, and drain it if the supervisor dies; return the exit code."""
    loop = asyncio.get_running_loop()

    def on_supervisor_died() -> None:
        """Stop the program, as this worker is no longer restarted and its counters are no longer summed up."""
        loop.remove_reader(link.bootstrap.life)
        link.orphaned = True
        link.program.telemetry.log("worker_orphaned")
        link.program.stopping.set()

    loop.add_reader(link.bootstrap.life, on_supervisor_died)
    return await run(config, link)


def main() -> int:
    """Run a worker by the bootstrap in its environment; return its exit code, 2 for invalid input, 1 for OSError."""
    signals.block()
    try:
        bootstrap = msgspec.json.decode(os.environ[BOOTSTRAP_VARIABLE], type=WorkerBootstrap)
        steady_clock.set_offset_ms(float(os.environ.get(CLOCK_OFFSET_VARIABLE, steady_clock.offset_ms())))
        board = SharedMemoryBoard.attach(bootstrap.board, bootstrap.nonce)
        config = worker_config(configuration.read(), bootstrap)
    except (KeyError, msgspec.DecodeError):
        print("frostspindle: a worker can only be started by the supervisor", file=sys.stderr)
        return 2
    except (IncompatibleMemoryError, ConfigError) as error:
        print(f"frostspindle: worker: {error}", file=sys.stderr)
        return 2
    try:
        return asyncio.run(serve(config, SharedMemoryLink(bootstrap, board, config)))
    except OSError as error:
        print(f"frostspindle: worker {bootstrap.slot}: {error}", file=sys.stderr)
        return 1
    finally:  # as in serving.py
        gc.freeze()


if __name__ == "__main__":
    sys.exit(main())
