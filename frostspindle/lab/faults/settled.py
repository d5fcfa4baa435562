"""Runs coordinator processes that agree on settings over the replicated log, connected through a TCP relay.

Where a process is killed, a log line is added that it applies no settings from then on. `frostspindle.settings.audit`
checks a run from the log lines.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from frostspindle.lab.engines import Engine, coordinator_config
from frostspindle.lab.faults.runner import Process, free_port
from frostspindle.lab.faults.script import Script
from frostspindle.lab.faults.streams import Streams
from frostspindle.settings.audit import (
    AuditResult,
    find_longest_contradiction,
    read_active_periods,
    read_contradictions,
)

LEASE_SETTINGS = "lease_ms = 1000\ntrial_ms = 2000\n"


def boot_ms() -> float:
    """Return CLOCK_BOOTTIME in ms, which all processes of the machine share and which runs on during a suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1e3


class SettingsProcess(Process):
    """One coordinator that applies agreed settings."""

    async def kill(self) -> None:
        """Kill the process with SIGKILL and add a log line that it applies no version from now on."""
        await self.end(signal.SIGKILL)
        self.lines.append(
            {
                "event": "settings_rules_activated",
                "node": self.name,
                "mode": "killed",
                "versions": [],
                "mono_ms": boot_ms(),
            }
        )

    @property
    def operator_address(self) -> str:
        """Return the address of the operator port, host:port."""
        return f"127.0.0.1:{self.operator_port}"

    async def command(self, *arguments: str) -> tuple[int, str]:
        """Run `frostspindle settings ...` for this coordinator.

        Return the exit code and the combined text of standard output and standard error.
        """
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "frostspindle",
            "settings",
            *arguments,
            "--at",
            self.operator_address,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await child.communicate()
        return child.returncode or 0, output.decode()

    def current_rules(self) -> dict[str, Any]:
        """Return the last log line on the rules that the coordinator applies; an empty dict before the first."""
        return next((line for line in reversed(self.lines) if line["event"] == "settings_rules_activated"), {})

    async def wait_for_version(self, version: int, within_s: float = 30.0) -> None:
        """Wait until the coordinator applies this version or a later one in mode `version`.

        Raise TimeoutError after `within_s` seconds.
        """
        await self.until(
            lambda: self.current_rules().get("mode") == "version" and self.current_rules()["versions"][0] >= version,
            within_s,
        )


class SettingsFleet:
    """A fleet of `count` coordinators, of which the first `voters` are voters of the replicated log.

    A single coordinator runs without a replicated log.
    """

    def __init__(
        self,
        count: int,
        voters: int,
        script: Script,
        seed: int,
        terms: str = LEASE_SETTINGS,
        more: str = "",
        engines: int = 2,
        delay_s: float = 0.0,
    ) -> None:
        self.count, self.voters, self.terms, self.more = count, voters, terms, more
        self.streams = Streams(count, script, seed)
        self.engines = [Engine(f"toy-{n}", delay_s) for n in range(engines)]
        self.folder = tempfile.TemporaryDirectory()
        self.processes = [SettingsProcess(n, Path(self.folder.name, f"c{n}")) for n in range(count)]

    async def start(self) -> SettingsFleet:
        """Start the relay, engines and processes, and return self once each has logged `coordinator_started`.

        Raise TimeoutError for a process that has not within READY_S seconds.
        """
        await self.streams.start()
        for engine in self.engines:
            await engine.start()
        secret = Path(self.folder.name, "secret")
        secret.write_text("a secret of the lab, and of nobody else")
        config = coordinator_config(
            [
                {
                    "host": engine.name,
                    "dial": f"127.0.0.1:{engine.port}",
                    "site": "floor-1",
                    "class": "std-8",
                    "health": "active",
                    "share": 1.0,
                }
                for engine in self.engines
            ]
        )
        addresses = [f"127.0.0.1:{free_port(socket.SOCK_STREAM)}" for _ in range(self.voters)]
        for process in self.processes:
            n = process.number
            process.folder.mkdir()
            process.http, process.operator_port = free_port(socket.SOCK_STREAM), free_port(socket.SOCK_STREAM)
            (process.folder / "config.json").write_text(json.dumps(config))
            text = f'{self.more}\n[settings]\nfolder = "{process.folder}/kept"\n{self.terms}\n'.replace(
                "FOLDER", str(process.folder)
            )
            if self.count > 1:
                voters = [f"c{v}={addresses[v] if v == n else self.streams.outside(n, v)}" for v in range(self.voters)]
                text += (
                    f'[replica]\nvoters = {json.dumps(voters)}\nfolder = "{process.folder}/log"\n'
                    f'secret = "{secret}"\nme = "c{n}"\nfirst_start = true\n'
                )
                if n < self.voters:
                    self.streams.place(n, ("127.0.0.1", int(addresses[n].rpartition(":")[2])))
            (process.folder / "operator.toml").write_text(text)
        await asyncio.gather(*(process.start() for process in self.processes))
        for process in self.processes:
            await process.until(lambda p=process: p.events("coordinator_started"))
        return self

    def file(self, text: str) -> str:
        """Write a new settings file for a push, and return its path."""
        path = Path(self.folder.name, f"v{len(list(Path(self.folder.name).glob('v*.toml')))}.toml")
        path.write_text(text)
        return str(path)

    async def publisher(self, excluding: SettingsProcess | None = None, within_s: float = 30.0) -> SettingsProcess:
        """Wait until a coordinator other than `excluding` has logged that it is the publisher, and return it.

        Raise TimeoutError after `within_s` seconds.
        """
        async with asyncio.timeout(within_s):
            while True:
                for process in self.processes:
                    lines = process.events("settings_publisher_changed", life=process.lives)
                    if process is not excluding and process.child is not None and lines and lines[-1]["token"]:
                        return process
                await asyncio.sleep(0.05)

    def audit(self) -> AuditResult:
        """Return the longest time that two coordinators applied contradicting versions, by the log lines of all."""
        lines = [line for process in self.processes for line in process.lines]
        return find_longest_contradiction(read_active_periods(lines, last=boot_ms()), read_contradictions(lines))

    async def close(self) -> list[int | None]:
        """End all processes with SIGTERM, close the relay and delete the files.

        Return the exit codes, with None for a process that was not running.
        """
        codes = list(await asyncio.gather(*(process.end() for process in self.processes)))
        await self.streams.close()
        self.folder.cleanup()
        return codes
