"""Start, signals, wiring and exit code.

Owns the order in which the parts start and stop and what each signal does: SIGTERM and SIGINT end the
program in good order, SIGUSR1 prints the counters, SIGHUP reads the operator's file again. It decides
nothing about requests and speaks no wire.
"""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from typing import Any

from frostspindle import config as configuration
from frostspindle.config import Config, ConfigError
from frostspindle.core import Core
from frostspindle.events import Events
from frostspindle.net.bus import Bus
from frostspindle.net.engines import Engines
from frostspindle.net.platform import Platform

ACCEPT_S = 0.75  # after SIGTERM new work still comes for up to 0.6 s, and is owed its answer
FLUSH_S = 0.1  # for the last answers to leave


class Program:
    """All parts of one running coordinator."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.events = Events(config.name)
        self.core = Core(config.settings, config.classes, config.seed, self.events, config.sockets // 2)
        self.driver = Engines(config, self.core, self.events)
        self.bus = Bus(config, self.core, self.driver, self.events)
        self.platform = Platform(config, self.core, self.events)
        self.stopping = asyncio.Event()
        self.tasks: list[asyncio.Task[Any]] = []

    async def start(self) -> None:
        self.bus.start()
        for work in (self.core.run(), self.bus.run()):
            task = asyncio.create_task(work)
            task.add_done_callback(self._ended)
            self.tasks.append(task)
        await self.platform.start()
        self.events.log("ready", listen=f"{self.config.listen[0]}:{self.platform.port}")

    def _ended(self, task: asyncio.Task[Any]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.events.log("fault", error=repr(task.exception()), of="task")
            self.stopping.set()

    def reload(self) -> None:
        """SIGHUP: the operator's file again; a file with a fault changes nothing."""
        try:
            configuration.read_operator(self.config.operator_file, self.config.classes)
        except ConfigError as error:
            self.events.log("reload", error=str(error))
            return
        self.events.log("reload")

    async def stop(self) -> None:
        """Go on accepting for a while, finish what was taken, then let go of everything."""
        self.events.log("stopping", open=self.core.open)
        await asyncio.sleep(ACCEPT_S)
        longest_s = max(c.deadline_ms for c in self.config.settings.classes) / 1000.0
        last = asyncio.get_running_loop().time() + max(3.0, longest_s)
        while self.core.open and asyncio.get_running_loop().time() < last:
            await asyncio.sleep(0.02)
        await asyncio.sleep(FLUSH_S)
        await self.platform.close()
        await self.driver.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def run(config: Config) -> int:
    program = Program(config)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, program.stopping.set)
    loop.add_signal_handler(signal.SIGUSR1, program.events.report)
    loop.add_signal_handler(signal.SIGHUP, program.reload)
    await program.start()
    # What was built at the start stays: collections then need not walk it, which would hold up answers.
    gc.collect()
    gc.freeze()
    await program.stopping.wait()
    await program.stop()
    program.events.report()
    return 0


def main() -> int:
    try:
        config = configuration.read()
    except ConfigError as error:
        print(f"frostspindle: {error}", file=sys.stderr)
        return 2
    try:
        return asyncio.run(run(config))
    except OSError as error:
        print(f"frostspindle: LB_LISTEN: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
