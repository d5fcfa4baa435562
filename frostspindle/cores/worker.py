"""The start of one worker: a whole coordinator on sockets and memory that its supervisor holds.

Owns the check of what the supervisor handed over, and the end when the supervisor is gone. It must never bind an
address, never outlive its supervisor by more than a drain, and serves by the same program as a single process does.
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
from frostspindle.cores import limits
from frostspindle.cores.layout import IncompatibleMemoryError
from frostspindle.cores.link import SharedMemoryLink, WorkerBootstrap
from frostspindle.cores.shared_memory import SharedMemoryBoard
from frostspindle.program import run

PASSPORT = "FROSTSPINDLE_WORKER"
SUPERVISOR_MB = 40.0


def part_of(config: Config, passport: WorkerBootstrap) -> Config:
    """Return the configuration of one of several workers: its part of each limit, and no address of its own."""
    count, settings = passport.slots, config.settings
    operator = config.operator
    tds = operator.tds and msgspec.structs.replace(
        operator.tds, max_sessions=max(1, division.even(operator.tds.max_sessions, count)[passport.slot])
    )
    return msgspec.structs.replace(
        config,
        operator_address=None,
        worker=passport.slot,
        seed=config.seed ^ (0x9E3779B97F4A7C15 * (passport.slot + 1)),
        operator=msgspec.structs.replace(operator, snmp=None, tds=tds),
        listener=passport.listener,
        tds_listener=passport.tds,
        limits=msgspec.structs.replace(
            config.limits,
            sockets=passport.sockets,
            memory_mb=limits.memory_share(
                config.limits.memory_mb, count, min(SUPERVISOR_MB, config.limits.memory_mb / 4)
            ),
        ),
        # To the module each worker is a dispatcher of its own, with its part of every engine: docs/design/cores.md.
        settings=dataclasses.replace(
            settings,
            workers=count,
            coordinators=settings.coordinators * count,
            number=settings.number * count + passport.slot,
            retry_budget_min=settings.retry_budget_min // count,
        ),
    )


async def serve(config: Config, link: SharedMemoryLink) -> int:
    """Run the worker's program until it ends, draining if the supervisor dies; return the exit code."""
    loop = asyncio.get_running_loop()

    def orphan() -> None:
        """The supervisor has died: nobody would restart us or add us up. Finish what was taken, then end."""
        loop.remove_reader(link.passport.life)
        link.orphaned = True
        link.program.telemetry.log("orphan")
        link.program.stopping.set()

    loop.add_reader(link.passport.life, orphan)
    return await run(config, link)


def main() -> int:
    """Run a worker by the passport in its environment; return 2 for a bad start, 1 for an OSError, else `serve`'s."""
    signals.hold()
    try:
        passport = msgspec.json.decode(os.environ[PASSPORT], type=WorkerBootstrap)
        board = SharedMemoryBoard.attach(passport.board, passport.nonce)
        config = part_of(configuration.read(), passport)
    except (KeyError, msgspec.DecodeError):
        print("frostspindle: this is started by the supervisor only", file=sys.stderr)
        return 2
    except (IncompatibleMemoryError, ConfigError) as error:
        print(f"frostspindle: worker: {error}", file=sys.stderr)
        return 2
    try:
        return asyncio.run(serve(config, SharedMemoryLink(passport, board, config)))
    except OSError as error:
        print(f"frostspindle: worker {passport.slot}: {error}", file=sys.stderr)
        return 1
    finally:  # as in serving.py
        gc.freeze()


if __name__ == "__main__":
    sys.exit(main())
