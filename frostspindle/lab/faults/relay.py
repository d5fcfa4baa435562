"""A relay between processes: it plays a script's faults on the datagrams that they send to each other.

Owns a socket for each process, which is the address that the others know it by, and knows each by the address that it
sends from. What comes to one socket is carried to that process from the sender's own socket, so that both see the
addresses that they were told. It must never read or cut what it carries. What comes from an address that it does not
know, is longer than MOST or would wait beside WAITING others is dropped and counted.
"""

from __future__ import annotations

import asyncio
import socket

from frostspindle.lab.faults.script import MessageFaults, Script

MOST = 2_048  # of a datagram
WAITING = 4_096  # late datagrams on their way


class Relay:
    """A relay of datagrams for so many processes. The script's time starts with `begin`; until then it stays at 0."""

    def __init__(self, count: int, script: Script, seed: int) -> None:
        self.weather, self.count = MessageFaults(script, seed), count
        self.sockets: list[socket.socket] = []
        self.inside: list[tuple[str, int] | None] = [None] * count  # where each process itself listens
        self._numbers: dict[tuple[str, int], int] = {}
        self.began: float | None = None
        self.unknown = self.too_long = self.crowded = self.waiting = 0

    def start(self) -> Relay:
        """Bind a UDP socket on loopback for each process, relay what comes, and return self. Needs a running event
        loop."""
        for number in range(self.count):
            line = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            line.setblocking(False)
            line.bind(("127.0.0.1", 0))
            self.sockets.append(line)
            asyncio.get_running_loop().add_reader(line, self._read, number)
        return self

    def outside(self, number: int) -> str:
        """Return the address, host:port, by which the other processes know this one."""
        host, port = self.sockets[number].getsockname()
        return f"{host}:{port}"

    def place(self, number: int, address: tuple[str, int]) -> None:
        """Set the address where a process listens and sends from; datagrams of unknown senders are dropped."""
        self.inside[number] = address
        self._numbers[address] = number

    def begin(self) -> None:
        """Start the script's time."""
        self.began = asyncio.get_running_loop().time()

    @property
    def now(self) -> float:
        """Seconds of the script's time, 0 before `begin`."""
        return 0.0 if self.began is None else asyncio.get_running_loop().time() - self.began

    def _read(self, target: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data, address = self.sockets[target].recvfrom(MOST + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue
            source = self._numbers.get(address)
            if source is None:
                self.unknown += 1
                continue
            if len(data) > MOST:
                self.too_long += 1
                continue
            for delay in self.weather.fate(self.now, source, target):
                if delay <= 0.0:
                    self._carry(source, target, data)
                elif self.waiting >= WAITING:
                    self.crowded += 1
                else:
                    self.waiting += 1
                    loop.call_later(delay / 1_000.0, self._late, source, target, data)

    def _late(self, source: int, target: int, data: bytes) -> None:
        self.waiting -= 1
        self._carry(source, target, data)

    def _carry(self, source: int, target: int, data: bytes) -> None:
        to = self.inside[target]
        if to is None or self.sockets[source].fileno() < 0:
            return
        try:
            self.sockets[source].sendto(data, to)
        except OSError:
            pass  # nobody there: lost, as on any network

    def close(self) -> None:
        """Close all sockets; datagrams that are still delayed are dropped."""
        for line in self.sockets:
            asyncio.get_running_loop().remove_reader(line)
            line.close()
