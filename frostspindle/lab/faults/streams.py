"""A TCP relay between processes that applies the same fault scripts as the relay of datagrams.

Each ordered pair of processes has a listening port of its own, which identifies the process that connects. Data that
falls to a cut or a loss is delayed and not dropped, as TCP retransmits it: the relay holds it until the script lets it
pass and stops reading meanwhile, so that the sender's buffers fill up. Payloads are never inspected or changed.
"""

from __future__ import annotations

import asyncio
from functools import partial

from frostspindle.lab.faults.script import MessageFaults, Script

MAX_CONNECTIONS = 256
RETRY_S = 0.05  # interval at which held data is retried
READ_BYTES = 1 << 16


class Streams:
    """A relay of TCP connections between `count` processes. The clock of the script stands at 0 until `begin`."""

    def __init__(self, count: int, script: Script, seed: int) -> None:
        self.message_faults, self.count = MessageFaults(script, seed), count
        self.inside: list[tuple[str, int] | None] = [None] * count
        self.crowded = 0
        self.cut: set[int] = set()  # processes that the caller isolates, in addition to the script
        self._began: float | None = None
        self._servers: dict[tuple[int, int], asyncio.Server] = {}
        self._open_pairs: dict[asyncio.Task[None], tuple[int, int]] = {}

    async def start(self) -> Streams:
        """Listen on a loopback port for each ordered pair of processes, and return self."""
        for source in range(self.count):
            for target in range(self.count):
                if source != target:
                    self._servers[source, target] = await asyncio.start_server(
                        partial(self._accept, source, target), "127.0.0.1", 0
                    )
        return self

    def outside(self, source: int, target: int) -> str:
        """Return the address, host:port, where process `source` connects to process `target`."""
        host, port = self._servers[source, target].sockets[0].getsockname()
        return f"{host}:{port}"

    def place(self, number: int, address: tuple[str, int]) -> None:
        """Set the address that a process listens on; until then connections to it are aborted."""
        self.inside[number] = address

    def begin(self) -> None:
        """Start the clock of the script."""
        self._began = asyncio.get_running_loop().time()

    @property
    def now(self) -> float:
        """Return the seconds since `begin`, 0 before it."""
        return 0.0 if self._began is None else asyncio.get_running_loop().time() - self._began

    def reset(self, number: int) -> None:
        """Abort all connections from and to a process."""
        for task, pair in list(self._open_pairs.items()):
            if number in pair:
                task.cancel()

    def _accept(self, source: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._open_pairs) >= MAX_CONNECTIONS:
            self.crowded += 1
            writer.transport.abort()
            return
        task = asyncio.create_task(self._carry(source, target, reader, writer))
        self._open_pairs[task] = source, target
        task.add_done_callback(lambda task: self._open_pairs.pop(task, None))

    async def _carry(
        self, source: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writers = [writer]
        try:
            await self._wait_until_delivered(source, target)
            address = self.inside[target]
            if address is None:
                return
            target_reader, target_writer = await asyncio.open_connection(*address)
            writers.append(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(source, target, reader, target_writer))
                group.create_task(self._pump(target, source, target_reader, writer))
        except (OSError, ExceptionGroup):
            pass
        finally:
            for end in writers:
                end.transport.abort()

    async def _pump(self, source: int, target: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(READ_BYTES):
            await self._wait_until_delivered(source, target)
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError  # the end of one side closes both

    async def _wait_until_delivered(self, source: int, target: int) -> None:
        while True:
            delays = [] if {source, target} & self.cut else self.message_faults.draw_delays(self.now, source, target)
            if delays:
                if delays[0] > 0.0:
                    await asyncio.sleep(delays[0] / 1_000.0)
                return
            await asyncio.sleep(RETRY_S)

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        for server in self._servers.values():
            server.close()
        for task in list(self._open_pairs):
            task.cancel()
        await asyncio.gather(*self._open_pairs, return_exceptions=True)
