"""A real coordinator under a crowd: its memory, and what usual clients beside the crowd are answered.

The coordinator and the crowd are processes of their own; engines, bus and usual clients run in this one.
"""

from __future__ import annotations

import asyncio
import json
import signal
import socket
import sys
import time
from collections import Counter
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from frostspindle.lab.crowd import HOST, CrowdKind
from frostspindle.lab.engines import Bus, Engine, coordinator_config, host_entry
from frostspindle.lab.faults.runner import Process, free_port
from frostspindle.lab.process_memory import resident_mb

ENGINES = 3
USUAL_CLIENTS = 6  # half of them open a connection for each request
USUAL_PAUSE_S = 0.03
USUAL_TIMEOUT_S = 3.0
CROSSING_S = 0.05  # a request whose connection ends this soon after it was written crossed its close
MAX_RETRIES = 2  # of a refused request, as clients do
SAMPLE_INTERVAL_S = 0.02


@dataclass(slots=True)
class UsualAnswers:
    """What the usual clients were answered: HTTP statuses, and seconds until a request was served, retries included."""

    statuses: Counter[int] = field(default_factory=Counter)
    served_s: list[float] = field(default_factory=list)
    unserved: list[str] = field(default_factory=list)


class CrowdedProcess(Process):
    """The coordinator of a run, with the limits given."""

    def __init__(self, folder: Path, memory_mb: float, sockets: int, operator: str = "") -> None:
        super().__init__(0, folder)
        self.http = free_port(socket.SOCK_STREAM)
        self.operator_port = free_port(socket.SOCK_STREAM)
        self.memory_mb = memory_mb
        self.sockets = sockets
        self.operator = operator

    def write_files(self, bus: Bus) -> None:
        """Write the configuration, with all events of the bus so far."""
        config = coordinator_config([], bus.port, sockets=self.sockets, memory_mb=self.memory_mb)
        config["known"] = {"offset": len(bus.events), "batch": bus.events}
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "operator.toml").write_text(self.operator)

    async def ready(self) -> None:
        """Wait until it serves, with all workers if there are some."""
        await self.until(self._has_started)

    def _has_started(self) -> bool:
        wanted = "workers" if "[cores]" in self.operator else "listen"
        return any(wanted in line for line in self.events("coordinator_started"))

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.child is not None and self.child.returncode is None

    def resident_mb(self) -> float:
        """Return the memory of the process and its workers; what they share counts once."""
        if self.child is None:
            return 0.0
        return resident_mb(self.child.pid)


class CrowdRun:
    """Engines, bus, coordinator and usual clients of one run; a context manager."""

    def __init__(self, folder: Path, memory_mb: float, sockets: int, operator: str = "") -> None:
        self.process = CrowdedProcess(folder, memory_mb, sockets, operator)
        self.engines = [Engine(f"s-{number:08x}") for number in range(ENGINES)]
        self.bus = Bus()

    async def __aenter__(self) -> CrowdRun:
        """Start the engines, the bus and the coordinator, and wait until it serves."""
        for engine in self.engines:
            await engine.start()
        await self.bus.start()
        self.bus.say(*(host_entry(engine.name, engine.port) for engine in self.engines), whole=True)
        self.process.write_files(self.bus)
        await self.process.start()
        await self.process.ready()
        return self

    async def __aexit__(self, *_: object) -> None:
        """End all processes."""
        await self.process.end(signal.SIGTERM)
        for engine in self.engines:
            engine.server.close()
        self.bus.server.close()

    async def peak_mb(self, crowds: Iterable[tuple[int, CrowdKind, int]], seconds: float) -> float:
        """Play crowds, each of (port, kind, connections), side by side; return the highest memory meanwhile."""
        players = [await _start_crowd(port, kind, connections, seconds) for port, kind, connections in crowds]
        peak = 0.0
        while any(player.returncode is None for player in players) and self.process.is_running:
            peak = max(peak, self.process.resident_mb())
            await asyncio.sleep(SAMPLE_INTERVAL_S)
        for player in players:
            with suppress(ProcessLookupError):
                player.kill()
            await player.wait()
        return peak

    async def usual_clients(self, ended: asyncio.Event) -> UsualAnswers:
        """Send requests one after another, from USUAL_CLIENTS clients, until `ended` is set."""
        answers = UsualAnswers()
        clients = [_UsualClient(number, self.process.http, answers) for number in range(USUAL_CLIENTS)]
        await asyncio.gather(*(client.run(ended) for client in clients))
        return answers


async def _start_crowd(port: int, kind: CrowdKind, connections: int, seconds: float) -> asyncio.subprocess.Process:
    arguments = [str(port), kind, str(connections), str(seconds)]
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "frostspindle.lab.crowd", *arguments, stdout=asyncio.subprocess.DEVNULL
    )


class _UsualClient:
    """A client that sends one small request at a time; with an even number it keeps its connection."""

    def __init__(self, number: int, port: int, answers: UsualAnswers) -> None:
        self._number = number
        self._port = port
        self._answers = answers
        self._keeps_connection = number % 2 == 0
        self._connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._sent = 0

    async def run(self, ended: asyncio.Event) -> None:
        while not ended.is_set():
            started_s = time.monotonic()
            try:
                async with asyncio.timeout(USUAL_TIMEOUT_S):
                    is_served = await self._request_with_retries()
            except (OSError, EOFError, TimeoutError, ValueError) as error:
                self._answers.unserved.append(f"client {self._number}: {error!r}")
                self._drop()
            else:
                elapsed_s = time.monotonic() - started_s
                if is_served:
                    self._answers.served_s.append(elapsed_s)
                else:
                    self._answers.unserved.append(f"client {self._number}: refused {MAX_RETRIES + 1} times")
            await asyncio.sleep(USUAL_PAUSE_S)
        self._drop()

    async def _request_with_retries(self) -> bool:
        for _ in range(MAX_RETRIES + 1):
            status, wait_ms = await self._request()
            self._answers.statuses[status] += 1
            if status == 200:
                return True
            if status != 503:
                raise ValueError(f"status {status}")
            await asyncio.sleep(wait_ms / 1000.0)
        return False

    async def _request(self) -> tuple[int, float]:
        """Send a request; return the status and the wait that a refusal names, in ms.

        A request that crosses the close of a connection without an open request is sent again on a new one, once.
        """
        is_new = self._connection is None
        self._sent += 1
        written_s = time.monotonic()
        try:
            return await self._exchange()
        except (OSError, EOFError):
            self._drop()
            if is_new or time.monotonic() - written_s > CROSSING_S:
                raise
        return await self._exchange()

    async def _exchange(self) -> tuple[int, float]:
        if self._connection is None:
            self._connection = await asyncio.open_connection(HOST, self._port)
        reader, writer = self._connection
        statement = f"SELECT {self._number} FROM calls_17.notes WHERE n = {self._sent}"
        writer.write(
            f"POST /call/lookup HTTP/1.1\r\nHost: u\r\nX-Request-Id: {self._number:04x}{self._sent:012x}\r\n"
            f"X-Timeout-Ms: 3000\r\nContent-Length: {len(statement)}\r\n\r\n{statement}".encode()
        )
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
        await reader.readexactly(int(fields.get("content-length", "0")))
        if not self._keeps_connection or fields.get("connection") == "close":
            self._drop()
        return int(head.split()[1]), float(fields.get("retry-after-ms", "0"))

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None
