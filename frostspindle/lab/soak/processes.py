"""The coordinator processes of a run: their files, starts, signals, and SIGKILL at the earliest permitted time."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

from frostspindle.lab.engines import coordinator_config
from frostspindle.lab.faults.runner import Process, free_port
from frostspindle.lab.soak.lag import LagWatch
from frostspindle.lab.soak.plan import CROWD_MEMORY_MB, SOCKETS, SoakPlan, TimedSignal, Topology
from frostspindle.lab.soak.records import RequestClass
from frostspindle.lab.soak.stepped_clock import SteppedClock

# The same as the start command of the platform: before the interpreter starts, these signals would end the process.
IGNORE_SIGNALS_COMMAND = 'trap \'\' HUP USR1; exec "$0" "$@"'
WORKERS_FILE = "[cores]\nworkers = 2\n"
OBJECTIVE_SHARE = 0.5  # of a class's deadline


class SoakProcess(Process):
    """One process, or a supervisor with its workers, with its own address or an inherited socket."""

    def __init__(
        self,
        number: int,
        folder: Path,
        listening: socket.socket | None,
        clock: SteppedClock,
        socket_fault_seed: str = "",
    ) -> None:
        super().__init__(number, folder)
        self._listening: socket.socket | None = listening
        self._clock = clock
        self._socket_fault_seed = socket_fault_seed  # "": no faults
        self.terminated_at: float | None = None
        self.exited_at: float | None = None
        self.exit_code: int | None = None
        if listening is not None:
            self.inherited_descriptors = (listening.fileno(),)
            self.http = listening.getsockname()[1]
        else:
            self.http = free_port(socket.SOCK_STREAM)
        self.operator_port = free_port(socket.SOCK_STREAM)

    def command_line(self) -> list[str]:
        """Return the command line, which ignores the signals that arrive before the program starts."""
        return ["/bin/sh", "-c", IGNORE_SIGNALS_COMMAND, sys.executable, *self.python_arguments]

    def process_environment(self) -> dict[str, str]:
        """Return the environment; both processes of an upgrade have the same coordinator name."""
        environment = {**super().process_environment(), **self._clock.environment(), "LB_NAME": "soak"}
        if self._socket_fault_seed:
            environment["SOCKET_FAULTS"] = self._socket_fault_seed
        if self._listening is not None:
            environment["LB_INHERITED_FD"] = str(self._listening.fileno())
        return environment

    async def signal_in_turn(self, signals: tuple[TimedSignal, ...]) -> None:
        """Send signals at their times, relative to now."""
        started_at = time.monotonic()
        for timed in signals:
            await asyncio.sleep(max(0.0, started_at + timed.at_s - time.monotonic()))
            self.send_signal(timed.number)

    async def ready(self, has_workers: bool) -> None:
        """Wait until the process serves, or all workers of a supervisor do.

        Raise TimeoutError if that takes too long, RuntimeError if the process ends.
        """
        await self.until(lambda: self._has_started(has_workers))

    def _has_started(self, has_workers: bool) -> bool:
        if self.child is not None and self.child.returncode is not None:
            raise RuntimeError(f"the coordinator exited with {self.child.returncode}: {self.lines}")
        return any("workers" in line or not has_workers for line in self.events("coordinator_started"))

    async def terminate(self, signals: tuple[TimedSignal, ...], kill_after_s: float, lag: LagWatch) -> None:
        """Send SIGTERM, then further signals during the drain, and SIGKILL `kill_after_s` after SIGTERM.

        SIGKILL is delayed by the time that a busy machine took from the process, as measured by `lag`.
        """
        assert self.child is not None
        self.terminated_at = time.time()
        self.send_signal(signal.SIGTERM)
        sending = asyncio.create_task(self.signal_in_turn(signals))
        if await self._ends_within(kill_after_s) or await self._ends_within(lag.lost_s(self.terminated_at)):
            self.exit_code = self.child.returncode
        else:
            self.send_signal(signal.SIGKILL)
            await self.child.wait()
        sending.cancel()
        self.exited_at = time.time()

    async def _ends_within(self, seconds: float) -> bool:
        assert self.child is not None
        try:
            async with asyncio.timeout(seconds):
                await self.child.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Kill the process if it still runs, and read its log to the end."""
        if self.child is not None and self.child.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.child.wait()
        if self.reader is not None:
            await self.reader


def write_files(folder: Path, plan: SoakPlan, events: list[dict[str, Any]], bus_port: int) -> None:
    """Write the files of a process, with all events of the event bus up to now."""
    folder.mkdir(exist_ok=True)
    limits = {} if plan.crowd is None else {"memory_mb": CROWD_MEMORY_MB}
    config = coordinator_config([], bus_port, sockets=SOCKETS, **limits)
    config["name"] = "soak"
    config["seed"] = f"{plan.seed:016x}"
    config["known"] = {"offset": len(events), "batch": events}
    config["settings"]["categories"] = [
        _class_settings(request_class, plan.class_deadline_s) for request_class in RequestClass
    ]
    config["settings"]["domain"]["classThreads"] = [1] * len(RequestClass)
    config["settings"]["domain"]["blockedByLoads"] = [False] * len(RequestClass)
    config["settings"]["domain"]["classLoad"] = [request_class is RequestClass.LOAD for request_class in RequestClass]
    (folder / "config.json").write_text(json.dumps(config))
    (folder / "operator.toml").write_text(WORKERS_FILE if plan.topology is Topology.WORKERS else "")


def _class_settings(request_class: RequestClass, deadline_s: float) -> dict[str, Any]:
    return {
        "name": str(request_class),
        "effect": "once" if request_class is RequestClass.LOAD else "repeatable",
        "promise": 1000.0 * deadline_s * OBJECTIVE_SHARE,
        "hardLimit": 1000.0 * deadline_s,
        "worth": 1.0,
        "inOrder": request_class is RequestClass.LOAD,
    }
