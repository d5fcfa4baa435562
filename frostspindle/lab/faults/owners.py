"""Processes of the program that stand for tasks, with the relay of connections between them and a fenced sink.

Owns the processes, their files, the sink and all their lines. It must never judge a run (lab/history.py does), and
listens on loopback only.
"""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
from pathlib import Path
from typing import Any

from frostspindle.lab.engines import Bus, Engine, document, host
from frostspindle.lab.faults.runner import Process, free_port
from frostspindle.lab.faults.script import Script, parse
from frostspindle.lab.faults.streams import Streams
from frostspindle.lab.fenced import Server, Sink
from frostspindle.lab.history import Checked, check
from frostspindle.ownership.service import clock

SECRET = "a secret of the lab, and of nobody else"


class Owned:
    """So many coordinators, the first `voters` of them voting; all stand for each task, whose work is an export to the
    sink every `every_ms`."""

    def __init__(self, count: int = 5, voters: int = 3, lease_ms: int = 1_000, tasks: tuple[str, ...] = ("x",),
                 every_ms: int = 30, seed: int = 1, script: Script | None = None, fenced: bool = True) -> None:
        self.streams = Streams(count, script or parse("", count), seed)
        self.voters, self.lease_ms, self.tasks, self.every_ms = voters, lease_ms, tasks, every_ms
        self.sink = Sink("sink", clock, fenced=fenced)
        self.server, self.bus, self.engine = Server(self.sink), Bus(), Engine("toy-0")
        self.folder = tempfile.TemporaryDirectory()
        self.processes = [Process(n, Path(self.folder.name, f"c{n}")) for n in range(count)]
        self.died: dict[str, list[float]] = {}

    async def start(self) -> Owned:
        await self.streams.start()
        await self.server.start()
        await self.engine.start()
        await self.bus.start()
        self.bus.say(host(self.engine.name, self.engine.port), whole=True)
        config = json.dumps(document(self.bus.events[0]["topology"]["hosts"], self.bus.port))
        for process in self.processes:
            process.folder.mkdir()
            process.http, process.desk = free_port(socket.SOCK_STREAM), free_port(socket.SOCK_STREAM)
            number, port = process.number, free_port(socket.SOCK_STREAM)
            self.streams.place(number, ("127.0.0.1", port))
            voters = [f"c{n}=" + (f"127.0.0.1:{port}" if n == number else self.streams.outside(number, n))
                      for n in range(self.voters)]
            (process.folder / "key").write_text(SECRET)
            (process.folder / "config.json").write_text(config)
            (process.folder / "operator.toml").write_text(
                f'[replica]\nvoters = {json.dumps(voters)}\nfolder = "{process.folder}/log"\nfirst_start = true\n'
                f'secret = "{process.folder}/key"\nheartbeat_ms = 50\nelection_ms = 300\n\n[ownership]\n'
                f'lease_ms = {self.lease_ms}\n' + "".join(
                    f'\n[[ownership.task]]\nname = "{task}"\nat = "127.0.0.1:{self.server.port}"\n'
                    f'every_ms = {self.every_ms}\n' for task in self.tasks))
        await asyncio.gather(*(process.start() for process in self.processes))
        await asyncio.gather(*(p.until(lambda p=p: p.events("ready") and p.events("owner_stands"), 60.0)
                               for p in self.processes))
        return self

    def accepted(self, task: str = "x") -> list[dict[str, Any]]:
        return [line for line in self.sink.lines if line["accepted"] and line["task"] == task]

    async def acts(self, after: int = 0, but: str = "", task: str = "x", within_s: float = 60.0) -> dict[str, Any]:
        """The first action that the sink accepts after so many lines, of another than `but`."""
        async with asyncio.timeout(within_s):
            while True:
                for line in self.sink.lines[after:]:
                    if line["accepted"] and line["holder"] != but and line["task"] == task:
                        return line
                await asyncio.sleep(0.005)

    def process(self, name: str) -> Process:
        return self.processes[int(name[1:])]

    async def kill(self, process: Process) -> None:
        self.died.setdefault(process.name, []).append(clock())
        await process.end(9)

    def checked(self, expect: int = 1) -> Checked:
        lines = [line for process in self.processes for line in process.lines]
        return check([*lines, *self.sink.lines], self.died, expect=expect)

    async def close(self) -> list[int | None]:
        codes = list(await asyncio.gather(*(process.end() for process in self.processes)))
        self.server.close()
        await self.streams.close()
        self.folder.cleanup()
        return codes
