"""Runs coordinator processes that compete for the leases of tasks and export to a fenced sink.

The processes connect through a TCP relay on loopback. The log lines of processes and sink are checked by
lab/history.py.
"""

from __future__ import annotations

import asyncio
import json
import socket
import tempfile
import time
from pathlib import Path
from typing import Any

from frostspindle.lab.engines import Bus, Engine, coordinator_config, host_entry
from frostspindle.lab.faults.relay import Relay
from frostspindle.lab.faults.runner import Process, free_port
from frostspindle.lab.faults.script import Script, parse
from frostspindle.lab.faults.streams import Streams
from frostspindle.lab.fenced import Server, Sink
from frostspindle.lab.history import Checked, check
from frostspindle.ownership.service import clock

SECRET = "a secret of the lab, and of nobody else"


WARM_FLEET_SECTION = """
[fleet]
listen = "127.0.0.1:{inside}"
advertise = "{outside}"
cold = true
lease_ms = 2000
probe_ms = 400
timeout_ms = 150
{seeds}"""
RULES = {
    "stopSendingWithin": 250.0,
    "startCapacity": 0.3,
    "warmWithin": 60_000.0,
    "fall": 1000.0,
    "tipMultiple": 4.0,
    "answerSlack": 20.0,
}


class RecordingEngine(Engine):
    """A stand-in engine that records each statement it receives, with the time and the fencing token."""

    def __init__(self, name: str, delay_s: float) -> None:
        super().__init__(name, delay_s)
        self.received_statements: list[tuple[float, int, str]] = []  # time, fencing token, statement

    def _accept_query(self, ticket: str, statement: str) -> None:
        self.received_statements.append((clock(), int(ticket[:8], 16), statement))
        super()._accept_query(ticket, statement)


class OwnershipFleet:
    """A fleet of `count` coordinators, of which the first `voters` vote, that all compete for the lease of each task.

    The holder of a task's lease exports to the sink every `every_ms`. With `statements` the coordinators also gossip as
    a fleet, and warm up the engines `e0` and `e1`.
    """

    def __init__(
        self,
        count: int = 5,
        voters: int = 3,
        lease_ms: int = 1_000,
        tasks: tuple[str, ...] = ("x",),
        every_ms: int = 30,
        seed: int = 1,
        script: Script | None = None,
        fenced: bool = True,
        statements: tuple[str, ...] = (),
    ) -> None:
        self.statements = statements
        self.engines: list[Any] = (
            [RecordingEngine(f"e{n}", 0.03) for n in range(2)] if statements else [Engine("toy-0")]
        )
        self.relay = Relay(count, script or parse("", count), seed)
        self.streams = Streams(count, script or parse("", count), seed)
        self.voters, self.lease_ms, self.tasks, self.every_ms = voters, lease_ms, tasks, every_ms
        self.sink = Sink("sink", clock, fenced=fenced)
        self.server, self.bus = Server(self.sink), Bus()
        self.folder = tempfile.TemporaryDirectory()
        self.processes = [Process(n, Path(self.folder.name, f"c{n}")) for n in range(count)]
        self.killed_at: dict[str, list[float]] = {}

    async def start(self, await_candidacy: bool = True) -> OwnershipFleet:
        """Start the relays, sink, engines, bus and all processes, and return self once all processes are ready.

        With `await_candidacy` each must also be a candidate for the leases. Raise TimeoutError after 60 s.
        """
        await self.streams.start()
        await self.server.start()
        for engine in self.engines:
            await engine.start()
        await self.bus.start()
        self.relay.start()
        self.bus.say(*(host_entry(engine.name, engine.port) for engine in self.engines), whole=True)
        config = json.dumps(
            coordinator_config(
                self.bus.events[0]["topology"]["hosts"], self.bus.port, balancers=len(self.processes), rules=RULES
            )
        )
        for process in self.processes:
            process.folder.mkdir()
            process.http, process.operator_port = free_port(socket.SOCK_STREAM), free_port(socket.SOCK_STREAM)
            number, port = process.number, free_port(socket.SOCK_STREAM)
            self.streams.place(number, ("127.0.0.1", port))
            voters = [
                f"c{n}=" + (f"127.0.0.1:{port}" if n == number else self.streams.outside(number, n))
                for n in range(self.voters)
            ]
            (process.folder / "key").write_text(SECRET)
            (process.folder / "config.json").write_text(config)
            (process.folder / "operator.toml").write_text(
                f'[replica]\nvoters = {json.dumps(voters)}\nfolder = "{process.folder}/log"\nfirst_start = true\n'
                f'secret = "{process.folder}/key"\nheartbeat_ms = 50\nelection_ms = 300\n\n[ownership]\n'
                f"lease_ms = {self.lease_ms}\n"
                + "".join(
                    f'\n[[ownership.task]]\nname = "{task}"\nat = "127.0.0.1:{self.server.port}"\n'
                    f"every_ms = {self.every_ms}\n"
                    for task in self.tasks
                )
                + self._warm_sections(number)
            )
        await asyncio.gather(*(process.start() for process in self.processes))
        await asyncio.gather(
            *(
                p.until(
                    lambda p=p: (
                        p.events("coordinator_started") and (not await_candidacy or p.events("lease_candidacy_started"))
                    ),
                    60.0,
                )
                for p in self.processes
            )
        )
        return self

    def _warm_sections(self, number: int) -> str:
        if not self.statements:
            return ""
        inside = free_port()
        self.relay.place(number, ("127.0.0.1", inside))
        seeds = "".join(
            f'[[fleet.seed]]\nname = "c{n}"\naddress = "{self.relay.outside(n)}"\n' for n in range(len(self.processes))
        )
        return (
            f'\n[ownership.warm]\nclass = "lookup"\nstatement = {json.dumps(self.statements)}\n'
            f"every_ms = {self.every_ms}\n"
            + WARM_FLEET_SECTION.format(inside=inside, outside=self.relay.outside(number), seeds=seeds)
        )

    def announce_restart(self, number: int) -> None:
        """Publish on the bus that an engine has just restarted."""
        engine = self.engines[number]
        self.bus.say(host_entry(engine.name, engine.port, born_ms=time.time() * 1_000.0))

    def accepted(self, task: str = "x") -> list[dict[str, Any]]:
        """Return the sink's log lines of the accepted actions of a task, in order."""
        return [line for line in self.sink.lines if line["accepted"] and line["task"] == task]

    async def next_action(
        self, after: int = 0, excluding: str = "", task: str = "x", within_s: float = 60.0
    ) -> dict[str, Any]:
        """Wait for an accepted action of a task whose holder is not `excluding`, and return its line.

        The first `after` lines of the sink are skipped. Raise TimeoutError after `within_s` seconds.
        """
        async with asyncio.timeout(within_s):
            while True:
                for line in self.sink.lines[after:]:
                    if line["accepted"] and line["holder"] != excluding and line["task"] == task:
                        return line
                await asyncio.sleep(0.005)

    def process(self, name: str) -> Process:
        """Return the process of the coordinator with this name, `c` and its number."""
        return self.processes[int(name[1:])]

    async def kill(self, process: Process) -> None:
        """Kill a process with SIGKILL and record the time (CLOCK_BOOTTIME, ms), at which `checked` ends its leases."""
        self.killed_at.setdefault(process.name, []).append(clock())
        await process.end(9)

    def checked(self, expect: int = 1) -> Checked:
        """Check all log lines with `history.check`, which expects at least `expect` accepted actions.

        Statements that engines received count as accepted actions, as an engine can't refuse them. Their sender is
        found by the fencing token in the ticket.
        """
        lines = [line for process in self.processes for line in process.lines]
        holders = {
            line["token"]: line["holder"]
            for line in lines
            if line.get("event") == "owner_took" and line.get("task") == "warm"
        }
        engines = [
            {
                "event": "sink_acted",
                "receiver": engine.name,
                "seq": seq,
                "task": "warm",
                "token": token,
                "at": at,
                "holder": holders.get(token, "nobody"),
                "action": text,
                "accepted": True,
            }
            for engine in self.engines
            if self.statements
            for seq, (at, token, text) in enumerate(engine.received_statements)
        ]
        return check([*lines, *engines, *self.sink.lines], self.killed_at, expect=expect)

    async def close(self) -> list[int | None]:
        """End all processes with SIGTERM, close the sink, the relays and the engines, and delete the files.

        Return the exit codes, with None for a process that was not running.
        """
        codes = list(await asyncio.gather(*(process.end() for process in self.processes)))
        self.server.close()
        await self.streams.close()
        self.relay.close()
        for engine in self.engines:
            engine.server.close()
        self.folder.cleanup()
        return codes
