"""The replicated logs that the contract is put to, each behind the same few calls: a new one is one more line in LOGS.

An adapter starts members with a machine each and lets time pass as its log counts it. It must never mend a log.
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


class Book:
    """A machine that remembers all it was given; its state is what a snapshot must carry."""

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

    open = MAX_OPEN_PROPOSALS

    async def start(self, count: int = COUNT) -> None:
        first = LocalLog("m0")
        self.logs: list[Any] = [first] + [first.join(f"m{n}") for n in range(1, count)]
        self.books = [Book() for _ in self.logs]
        for log, book in zip(self.logs, self.books, strict=True):
            log.attach("t", book)

    async def finish(self, *work: Any) -> list[Any]:
        """Run coroutines to their ends; errors are handed out as results."""
        return list(await asyncio.gather(*work, return_exceptions=True))

    async def settle(self) -> None:
        """Until all members have applied what can be."""

    def set_leader(self, led: bool) -> None:
        """Without a leader, or with one again."""
        self.logs[0].set_leader(led)

    def behind(self, number: int, held: bool) -> None:
        """Have a member hear nothing for now, or hear all again."""
        self.logs[number].set_paused(held)

    async def close(self) -> None: ...


class Emulated:
    """The members on the Raft library in simulated time: two would vote, so all three do."""

    open = MAX_OPEN_PROPOSALS

    async def start(self, count: int = COUNT) -> None:
        self.books = [Book() for _ in range(count)]
        self.lab = EmulatedReplicas(count, count, 11, attach=lambda n, log: log.attach("t", self.books[n]))
        self.logs = [self.lab.member(n) for n in range(count)]
        self.lab.advance(4_000.0)

    async def finish(self, *work: Any) -> list[Any]:
        return await self.lab.run(*work)

    async def settle(self) -> None:
        self.lab.advance(1_000.0)

    def set_leader(self, led: bool) -> None:
        self.part(range(len(self.logs)), led)

    def behind(self, number: int, held: bool) -> None:
        self.part([number], not held)

    def part(self, numbers: Any, joined: bool) -> None:
        """Cut some off from all others, or join them again."""
        gone = set() if joined else set(numbers)
        fate = type(self.lab.network.weather).fate.__get__(self.lab.network.weather)
        self.lab.network.weather.fate = lambda now, a, b: [] if a in gone or b in gone else fate(now, a, b)
        self.lab.advance(6_000.0)

    async def close(self) -> None:
        assert self.lab.faults == []


class Sockets:
    """The same members over TCP, each with a journal on disk; the third does not vote."""

    open = MAX_OPEN_PROPOSALS

    async def start(self, count: int = COUNT) -> None:
        self.folder = tempfile.TemporaryDirectory()
        ports = [free_port(socket.SOCK_STREAM) for _ in range(3)]
        voters = [f"m{n}=127.0.0.1:{port}" for n, port in zip((0, 1, 9), ports, strict=True)]
        self.books = [Book() for _ in range(count)]
        made = [
            ReplicaService(
                name, voters, Path(self.folder.name, name), b"s" * 16, Telemetry(name, BytesIO()), first_start=True
            )
            for name in ("m0", "m1", "m2", "m9")
        ]
        self.logs, self.all = made[:3], made
        for log, book in zip(made, (*self.books, Book()), strict=True):
            log.attach("t", book)
        for log in made:
            await log.start()
        await asyncio.gather(*(log.barrier(20.0) for log in made))

    async def finish(self, *work: Any) -> list[Any]:
        return list(await asyncio.gather(*work, return_exceptions=True))

    async def settle(self) -> None:
        first = max(log.index for log in self.logs)
        async with asyncio.timeout(20.0):
            while any(log.index < first for log in self.logs):
                await asyncio.sleep(0.01)

    def set_leader(self, led: bool) -> None:
        for log in self.all:
            self.part(log, led)

    def behind(self, number: int, held: bool) -> None:
        self.part(self.logs[number], not held)

    def part(self, log: Any, joined: bool) -> None:
        links = log._links
        links._is_known = log._is_known_peer if joined else lambda peer: False
        if joined:
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
