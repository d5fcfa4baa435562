"""A relay of TCP connections between processes, by the same scripts as the relay of datagrams.

Owns a listening port for each ordered pair of processes: who dials it is known by that. What a cut or a loss takes is
not lost, as TCP sends it again: it waits until the script lets it through, and nothing more is read meanwhile, so that
the sender's own buffers fill up. It must never read or alter what it carries. At most MOST connections at once.
"""

from __future__ import annotations

import asyncio
from functools import partial

from frostspindle.lab.faults.script import MessageFaults, Script

MOST = 256
AGAIN_S = 0.05  # what was lost is tried again so often
PIECE = 1 << 16


class Streams:
    """A relay of TCP connections for so many processes. The script's time starts with `begin`; until then it stays
    at 0."""

    def __init__(self, count: int, script: Script, seed: int) -> None:
        self.weather, self.count = MessageFaults(script, seed), count
        self.inside: list[tuple[str, int] | None] = [None] * count
        self.crowded = 0
        self.cut: set[int] = set()  # by hand, besides the script: these are cut off from all others
        self._began: float | None = None
        self._servers: dict[tuple[int, int], asyncio.Server] = {}
        self._open: dict[asyncio.Task[None], tuple[int, int]] = {}

    async def start(self) -> Streams:
        """Listen on loopback, on one port for each ordered pair of processes, and return self."""
        for source in range(self.count):
            for target in range(self.count):
                if source != target:
                    self._servers[source, target] = await asyncio.start_server(
                        partial(self._accept, source, target), "127.0.0.1", 0
                    )
        return self

    def outside(self, source: int, target: int) -> str:
        """Return the address, host:port, at which process `source` reaches process `target`."""
        host, port = self._servers[source, target].sockets[0].getsockname()
        return f"{host}:{port}"

    def place(self, number: int, address: tuple[str, int]) -> None:
        """Set the address where a process listens; until then connections to it are aborted."""
        self.inside[number] = address

    def begin(self) -> None:
        """Start the script's time."""
        self._began = asyncio.get_running_loop().time()

    @property
    def now(self) -> float:
        """Seconds of the script's time, 0 before `begin`."""
        return 0.0 if self._began is None else asyncio.get_running_loop().time() - self._began

    def reset(self, number: int) -> None:
        """Break all connections from and to a process."""
        for task, pair in list(self._open.items()):
            if number in pair:
                task.cancel()

    def _accept(self, source: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._open) >= MOST:
            self.crowded += 1
            writer.transport.abort()
            return
        task = asyncio.create_task(self._carry(source, target, reader, writer))
        self._open[task] = source, target
        task.add_done_callback(lambda task: self._open.pop(task, None))

    async def _carry(
        self, source: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ends = [writer]
        try:
            await self._passage(source, target)
            to = self.inside[target]
            if to is None:
                return
            back, forth = await asyncio.open_connection(*to)
            ends.append(forth)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(source, target, reader, forth))
                group.create_task(self._pump(target, source, back, writer))
        except (OSError, ExceptionGroup):
            pass
        finally:
            for end in ends:
                end.transport.abort()

    async def _pump(self, source: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(PIECE):
            await self._passage(source, target)
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError  # either end's end is both's

    async def _passage(self, source: int, target: int) -> None:
        while True:
            delays = [] if {source, target} & self.cut else self.weather.fate(self.now, source, target)
            if delays:
                if delays[0] > 0.0:
                    await asyncio.sleep(delays[0] / 1_000.0)
                return
            await asyncio.sleep(AGAIN_S)

    async def close(self) -> None:
        """Stop listening, and abort all connections."""
        for server in self._servers.values():
            server.close()
        for task in list(self._open):
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)
