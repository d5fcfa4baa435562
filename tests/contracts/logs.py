"""Adapters of the replicated logs for the contract tests, with a common interface; LOGS lists them.

An adapter starts members with a state machine each and advances time in its log's way. It must not repair a log's
faults.
"""

from __future__ import annotations

import asyncio
import hashlib
import socket
import tempfile
from io import BytesIO
from pathlib import Path
from typing import Any

from frostspindle.lab.faults.runner import free_port
from frostspindle.lab.replica import EmulatedReplicas
from frostspindle.replica.base import MAX_OPEN_PROPOSALS
from frostspindle.replica.local import LocalLog
from frostspindle.replica.service import ReplicaService
from frostspindle.telemetry import Telemetry

COUNT = 3


class RecordingMachine:
    """A state machine that records its entries; its state is a checksum over them, which a snapshot must preserve."""

    def __init__(self) -> None:
        self.entries: list[tuple[int, bytes]] = []
        self.sum, self.restored = b"", 0

    def apply(self, index: int, command: bytes) -> bytes:
        self.entries.append((index, command))
        self.sum = hashlib.sha256(self.sum + index.to_bytes(8, "big") + command).digest()
        return b"did " + command[:32]

    def state(self) -> bytes:
        return self.sum

    def restore(self, index: int, state: bytes) -> None:
        if len(state) not in (0, 32):
            raise ValueError("not a sum")
        self.sum, self.restored = state, index
        self.entries = []


class Local:
    """In memory."""

    max_open = MAX_OPEN_PROPOSALS

    async def start(self, count: int = COUNT) -> None:
        first = LocalLog("m0")
        self.logs: list[Any] = [first] + [first.join(f"m{n}") for n in range(1, count)]
        self.machines = [RecordingMachine() for _ in self.logs]
        for log, machine in zip(self.logs, self.machines, strict=True):
            log.attach("t", machine)

    async def finish(self, *work: Any) -> list[Any]:
        """Run coroutines to completion; exceptions are returned as results."""
        return list(await asyncio.gather(*work, return_exceptions=True))

    async def settle(self) -> None:
        """Wait until all members have applied all committed entries that they can."""

    def set_leader(self, has_leader: bool) -> None:
        """Take the leader away, or allow one again."""
        self.logs[0].set_leader(has_leader)

    def set_lagging(self, number: int, lagging: bool) -> None:
        """Stop a member from receiving entries, or let it catch up."""
        self.logs[number].set_paused(lagging)

    async def close(self) -> None: ...


class Emulated:
    """Members on the Raft library in simulated time; all three vote."""

    max_open = MAX_OPEN_PROPOSALS

    async def start(self, count: int = COUNT) -> None:
        self.machines = [RecordingMachine() for _ in range(count)]
        self.lab = EmulatedReplicas(count, count, 11, attach=lambda n, log: log.attach("t", self.machines[n]))
        self.logs = [self.lab.member(n) for n in range(count)]
        self.lab.advance(4_000.0)

    async def finish(self, *work: Any) -> list[Any]:
        return await self.lab.run(*work)

    async def settle(self) -> None:
        self.lab.advance(1_000.0)

    def set_leader(self, has_leader: bool) -> None:
        self.set_connected(range(len(self.logs)), has_leader)

    def set_lagging(self, number: int, lagging: bool) -> None:
        self.set_connected([number], not lagging)

    def set_connected(self, numbers: Any, connected: bool) -> None:
        """Partition some members from all others, or reconnect them."""
        isolated = set() if connected else set(numbers)
        fate = type(self.lab.network.message_faults).draw_delays.__get__(self.lab.network.message_faults)
        self.lab.network.message_faults.draw_delays = lambda now, a, b: (
            [] if a in isolated or b in isolated else fate(now, a, b)
        )
        self.lab.advance(6_000.0)

    async def close(self) -> None:
        assert self.lab.faults == []


class Sockets:
    """Members over TCP, each with a journal on disk; the third does not vote."""

    max_open = MAX_OPEN_PROPOSALS

    async def start(self, count: int = COUNT) -> None:
        self.folder = tempfile.TemporaryDirectory()
        ports = [free_port(socket.SOCK_STREAM) for _ in range(3)]
        voters = [f"m{n}=127.0.0.1:{port}" for n, port in zip((0, 1, 9), ports, strict=True)]
        self.machines = [RecordingMachine() for _ in range(count)]
        services = [
            ReplicaService(
                name, voters, Path(self.folder.name, name), b"s" * 16, Telemetry(name, BytesIO()), first_start=True
            )
            for name in ("m0", "m1", "m2", "m9")
        ]
        self.logs, self.all = services[:3], services
        for log, machine in zip(services, (*self.machines, RecordingMachine()), strict=True):
            log.attach("t", machine)
        for log in services:
            await log.start()
        await asyncio.gather(*(log.barrier(20.0) for log in services))

    async def finish(self, *work: Any) -> list[Any]:
        return list(await asyncio.gather(*work, return_exceptions=True))

    async def settle(self) -> None:
        highest = max(log.index for log in self.logs)
        async with asyncio.timeout(20.0):
            while any(log.index < highest for log in self.logs):
                await asyncio.sleep(0.01)

    def set_leader(self, has_leader: bool) -> None:
        for log in self.all:
            self.set_connected(log, has_leader)

    def set_lagging(self, number: int, lagging: bool) -> None:
        self.set_connected(self.logs[number], not lagging)

    def set_connected(self, log: Any, connected: bool) -> None:
        links = log._links
        links._is_known = log._is_known_peer if connected else lambda peer: False
        if connected:
            log._update_targets()
        else:
            links.set_targets(links.id, {})
            for peer in list(links.links):
                links.drop(peer)

    async def close(self) -> None:
        stopped = [log.stopped for log in self.all]
        for log in self.all:
            await log.close()
        self.folder.cleanup()
        assert stopped == [""] * 4


LOGS: tuple[Any, ...] = (Local, Emulated, Sockets)
