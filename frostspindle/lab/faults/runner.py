"""Runs a fleet of coordinator processes under a fault script and collects their log lines and figures.

All sockets listen on loopback. Every process that is started here is also ended here, by its id. Checking a run is left
to the caller.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
from collections.abc import Callable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from frostspindle.lab.engines import Bus, Engine, coordinator_config, host_entry
from frostspindle.lab.faults.relay import Relay
from frostspindle.lab.faults.script import Script
from frostspindle.operator_client import call_operator

SIGNALS = {"kill": signal.SIGKILL, "stop": signal.SIGSTOP, "cont": signal.SIGCONT}
READY_S = 60.0  # leaves time for a busy machine
EPHEMERAL_PORT_MIN = 32_768  # the kernel assigns ports from here on
MIN_PORT = 10_240
_PORTS = random.SystemRandom()  # parallel tests must not draw the same ports, whatever their seeds
_drawn_ports: set[int] = set()
REPORTED_LINES = 10  # of a process's log, if it does not become ready


def free_port(kind: int = socket.SOCK_DGRAM) -> int:
    """Return a loopback port that was free when it was checked; raise OSError after 200 ports in use.

    The port is never in the ephemeral range: the kernel could assign it to a connection or to a bind to port 0 before
    the caller binds it. None is returned twice, as the processes of a fleet bind theirs only once all are drawn.
    """
    if len(_drawn_ports) > (EPHEMERAL_PORT_MIN - MIN_PORT) // 2:
        _drawn_ports.clear()
    for _ in range(200):
        port = _PORTS.randrange(MIN_PORT, EPHEMERAL_PORT_MIN)
        if port in _drawn_ports:
            continue
        with socket.socket(socket.AF_INET, kind) as probe, suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _drawn_ports.add(port)
            return port
    raise OSError("no free loopback port found in 200 attempts")


class Process:
    """One coordinator: its files, its current process, and the log lines of every process it has run as."""

    def __init__(self, number: int, folder: Path) -> None:
        self.number, self.folder = number, folder
        self.lines: list[dict[str, Any]] = []
        self.child: asyncio.subprocess.Process | None = None
        self.reader: asyncio.Task[None] | None = None
        self.http = self.operator_port = 0
        self.lives = 0
        self.python_arguments = ["-m", "frostspindle"]
        self.inherited_descriptors: tuple[int, ...] = ()
        self.changed = asyncio.Event()

    @property
    def name(self) -> str:
        """Return the name of the coordinator in the fleet: `c` and its number."""
        return f"c{self.number}"

    def events(self, name: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the log lines of an event, over all restarts, whose fields have the given values."""
        return [
            line
            for line in self.lines
            if line.get("event") == name and all(line.get(key) == value for key, value in fields.items())
        ]

    async def start(self) -> None:
        """Start the process with the files in its folder and collect its log lines from standard error.

        Return as soon as the process exists; it may not be ready yet.
        """
        self.lives += 1
        self.child = await asyncio.create_subprocess_exec(
            *self.command_line(),
            stderr=asyncio.subprocess.PIPE,
            limit=1 << 24,
            pass_fds=self.inherited_descriptors,
            env={**os.environ, **self.process_environment()},
        )
        self.reader = asyncio.create_task(self._read(self.child))

    def command_line(self) -> list[str]:
        """Return the command line of the process."""
        return [sys.executable, *self.python_arguments]

    def process_environment(self) -> dict[str, str]:
        """Return the environment variables that are set in addition to those of this process."""
        return {
            "LB_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
            "FROSTSPINDLE_OPERATOR": str(self.folder / "operator.toml"),
            "LB_NAME": self.name,
            "LB_LISTEN": f"127.0.0.1:{self.http}",
            "LB_OPERATOR": f"127.0.0.1:{self.operator_port}",
        }

    async def _read(self, child: asyncio.subprocess.Process) -> None:
        assert child.stderr is not None
        async for line in child.stderr:
            try:
                self.lines.append({"life": self.lives, **json.loads(line)})
            except json.JSONDecodeError:
                self.lines.append({"life": self.lives, "event": "text", "text": line.decode(errors="replace")})
            self.changed.set()

    async def until(self, condition: Callable[[], Any], within_s: float = READY_S) -> Any:
        """Wait until `condition()` is true, check it at each new log line, and return its value.

        Raise TimeoutError after `within_s` seconds, with the state of the process and the end of its log.
        """
        try:
            async with asyncio.timeout(within_s):
                while not (result := condition()):
                    self.changed.clear()
                    await self.changed.wait()
        except TimeoutError:
            code = self.child.returncode if self.child is not None else None
            raise TimeoutError(f"{self.name}, exit code {code}: {self.lines[-REPORTED_LINES:]}") from None
        return result

    async def figures(self, call: str = "show-fleet") -> dict[str, Any]:
        """Return the response of the operator port to `call`, a JSON object."""
        answer = await asyncio.to_thread(call_operator, ("127.0.0.1", self.operator_port), call)
        return dict(json.loads(answer.splitlines()[0]))

    def send_signal(self, number: int) -> None:
        """Send a signal to the process; do nothing if it is not running."""
        if self.child is not None and self.child.returncode is None:
            # Popen.send_signal would first reap a child that has just ended, and its exit code would be lost.
            with suppress(ProcessLookupError):
                os.kill(self.child.pid, number)

    async def end(self, number: int = signal.SIGTERM) -> int | None:
        """End the process with a signal and return its exit code, or None if no process was started.

        SIGCONT is sent first, as a stopped process does not handle SIGTERM; SIGKILL follows after 20 s.
        """
        if self.child is None:
            return None
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        try:
            async with asyncio.timeout(20.0):
                code = await self.child.wait()
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            code = await self.child.wait()
        if self.reader is not None:
            await self.reader
        self.child = None
        return code


class Fleet:
    """A number of coordinators with a datagram relay between them, and the engines and the bus that they share.

    `tenants` is the text of the operator's file before `[fleet]`; FOLDER in it is replaced with each process's folder.
    """

    def __init__(
        self,
        count: int,
        script: Script,
        seed: int,
        fleet: str = "",
        tenants: str = "",
        engines: int = 2,
        delay_s: float = 0.0,
        homes: int = 0,
        stand_ins: Sequence[Engine] = (),
        zones: Sequence[str] = ("floor-1",),
        engine: type[Engine] = Engine,
        **settings: Any,
    ) -> None:
        self.settings = settings
        self.count, self.script, self.fleet, self.tenants = count, script, fleet, tenants
        self.zones = tuple(zones)  # assigned to the engines round-robin
        self.homes = homes or count
        self.relay = Relay(count, script, seed)
        self.engines = list(stand_ins) or [engine(f"toy-{n}", delay_s) for n in range(engines)]
        self.bus = Bus()
        self.folder = tempfile.TemporaryDirectory()
        self.processes = [Process(n, Path(self.folder.name, f"c{n}")) for n in range(count)]
        self.script_task: asyncio.Task[None] | None = None
        self.done: list[tuple[float, str, int]] = []  # (event loop time, kind, node) of each act played

    async def start(self) -> Fleet:
        """Write all files, start engines, bus, relay and processes, and return self once all processes are ready.

        A process is ready once it has logged `coordinator_started` and `fleet_joined`. Raise TimeoutError for one that
        is not ready within READY_S seconds.
        """
        for engine in self.engines:
            await engine.start()
        await self.bus.start()
        self.bus.say(
            *(
                host_entry(engine.name, engine.port, site=self.zones[n % len(self.zones)])
                for n, engine in enumerate(self.engines)
            ),
            whole=True,
        )
        self.relay.start()
        seeds = "".join(
            f'[[fleet.seed]]\nname = "c{n}"\naddress = "{self.relay.outside(n)}"\n' for n in range(self.homes)
        )
        config = coordinator_config(
            self.bus.events[0]["topology"]["hosts"], self.bus.port, zones=self.zones, **self.settings
        )
        for process in self.processes:
            process.folder.mkdir()
            process.http, process.operator_port = free_port(socket.SOCK_STREAM), free_port(socket.SOCK_STREAM)
            inside = ("127.0.0.1", free_port())
            self.relay.place(process.number, inside)
            (process.folder / "config.json").write_text(json.dumps(config))
            (process.folder / "operator.toml").write_text(
                f'{self.tenants.replace("FOLDER", str(process.folder))}\n[fleet]\nlisten = "127.0.0.1:{inside[1]}"\n'
                f'advertise = "{self.relay.outside(process.number)}"\n{self.fleet}\n{seeds}'
            )
        for process in self.processes:
            await process.start()
        for process in self.processes:
            await process.until(lambda p=process: p.events("coordinator_started") and p.events("fleet_joined"))
        return self

    def begin(self) -> None:
        """Start the clock of the script, and play its acts."""
        self.relay.begin()
        self.script_task = asyncio.create_task(self._play())

    async def _play(self) -> None:
        for act in self.script.acts:
            await asyncio.sleep(max(0.0, act.at - self.relay.now))
            process = self.processes[act.node]
            if act.kind == "start":
                await process.start()
            else:
                process.send_signal(SIGNALS[act.kind])
                if act.kind == "kill":
                    await process.end(signal.SIGKILL)
            self.done.append((asyncio.get_running_loop().time(), act.kind, act.node))

    async def figures(self) -> list[dict[str, Any]]:
        """Return the response to `show-fleet` of each process that has not been ended."""
        return list(await asyncio.gather(*(p.figures() for p in self.processes if p.child is not None)))

    async def until(self, condition: Callable[[list[dict[str, Any]]], bool], within_s: float) -> list[dict[str, Any]]:
        """Poll the figures of all processes until `condition` holds for them, and return these figures.

        Raise TimeoutError after `within_s` seconds.
        """
        async with asyncio.timeout(within_s):
            while True:
                figures = await self.figures()
                if condition(figures):
                    return figures
                await asyncio.sleep(0.1)

    async def close(self) -> list[int | None]:
        """Stop the script, end all processes with SIGTERM, close the relay and delete the files.

        Return the exit codes, with None for a process that was not running.
        """
        if self.script_task is not None:
            self.script_task.cancel()
        codes = list(await asyncio.gather(*(process.end() for process in self.processes)))
        self.relay.close()
        self.folder.cleanup()
        return codes


async def demand(
    port: int, rate: float, ended: asyncio.Event, header: str = "X-Team: blue", lines: int = 8, first: int = 1
) -> dict[int, int]:
    """Send `rate` requests a second over `lines` connections until the event is set.

    Return the number of responses by HTTP status. A connection that is refused, breaks or has no response within 3 s
    is opened again: the process may be dead, stopped or not started yet.
    """
    statuses: dict[int, int] = {}

    async def send_on_connection(number: int) -> None:
        writer: asyncio.StreamWriter | None = None
        ticket = first * 1_000_000 + number * 100_000
        while not ended.is_set():
            try:
                async with asyncio.timeout(3.0):
                    if writer is None:
                        reader, writer = await asyncio.open_connection("127.0.0.1", port)
                    ticket += 1
                    writer.write(
                        f"POST /call/lookup HTTP/1.1\r\nHost: f\r\nX-Request-Id: {ticket:016x}\r\n"
                        f"X-Timeout-Ms: 2000\r\nX-Cost-Ms: 10\r\nX-Memory: 16\r\n{header}\r\n"
                        "Content-Length: 8\r\n\r\nSELECT 1".encode()
                    )
                    head = (await reader.readuntil(b"\r\n\r\n")).lower()
                    await reader.readexactly(int(head.split(b"content-length:")[1].split(b"\r\n")[0]))
                    status = int(head.split()[1])
                    statuses[status] = statuses.get(status, 0) + 1
            except (OSError, TimeoutError, asyncio.IncompleteReadError, IndexError):
                if writer is not None:
                    writer.close()
                writer = None
            await asyncio.sleep(lines / rate)
        if writer is not None:
            writer.close()

    await asyncio.gather(*(send_on_connection(number) for number in range(lines)))
    return statuses


def compute_overspend(spans: list[tuple[float, float, int]], units: int, window_s: float) -> int:
    """Return by how many units the spending in any window of `window_s` seconds exceeded `units`.

    `spans` holds the start and end of each time span in seconds, and the units spent within it. Only spans that lie
    completely within the window count, so the result is a lower bound of the overspend.
    """
    spans = sorted(spans)
    worst = 0
    for begin, _, _ in spans:
        spent = sum(count for start, end, count in spans if start >= begin and end <= begin + window_s)
        worst = max(worst, spent - units)
    return worst
