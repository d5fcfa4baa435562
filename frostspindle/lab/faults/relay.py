"""A UDP relay between processes that applies a fault script to their datagrams.

The relay binds a socket for each process; its address is the one that the other processes send to. It identifies a
sender by its source address and forwards each datagram from the sender's relay socket, so that both ends see the
advertised addresses. Payloads are never inspected or changed. A datagram from an unknown address, one longer than
MAX_DATAGRAM_BYTES, and one that would be delayed while MAX_PENDING others are pending are dropped and counted.
"""

from __future__ import annotations

import asyncio
import socket

from frostspindle.lab.faults.script import MessageFaults, Script

MAX_DATAGRAM_BYTES = 2_048  # bytes of a datagram
MAX_PENDING = 4_096  # delayed datagrams that are pending


class Relay:
    """A relay of datagrams between `count` processes. The clock of the script stands at 0 until `begin`."""

    def __init__(self, count: int, script: Script, seed: int) -> None:
        self.message_faults, self.count = MessageFaults(script, seed), count
        self.sockets: list[socket.socket] = []
        self.inside: list[tuple[str, int] | None] = [None] * count  # the address where each process listens
        self._numbers: dict[tuple[str, int], int] = {}
        self.began: float | None = None
        self.unknown = self.too_long = self.crowded = self.waiting = 0

    def start(self) -> Relay:
        """Bind a UDP socket on loopback for each process, start to relay, and return self.

        The event loop must be running.
        """
        for number in range(self.count):
            relay_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            relay_socket.setblocking(False)
            relay_socket.bind(("127.0.0.1", 0))
            self.sockets.append(relay_socket)
            asyncio.get_running_loop().add_reader(relay_socket, self._read, number)
        return self

    def outside(self, number: int) -> str:
        """Return the address, host:port, that the other processes use for this one."""
        host, port = self.sockets[number].getsockname()
        return f"{host}:{port}"

    def place(self, number: int, address: tuple[str, int]) -> None:
        """Set the address that a process listens on and sends from; datagrams of unknown senders are dropped."""
        self.inside[number] = address
        self._numbers[address] = number

    def begin(self) -> None:
        """Start the clock of the script."""
        self.began = asyncio.get_running_loop().time()

    @property
    def now(self) -> float:
        """Return the seconds since `begin`, 0 before it."""
        return 0.0 if self.began is None else asyncio.get_running_loop().time() - self.began

    def _read(self, target: int) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                data, address = self.sockets[target].recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue
            source = self._numbers.get(address)
            if source is None:
                self.unknown += 1
                continue
            if len(data) > MAX_DATAGRAM_BYTES:
                self.too_long += 1
                continue
            for delay in self.message_faults.draw_delays(self.now, source, target):
                if delay <= 0.0:
                    self._carry(source, target, data)
                elif self.waiting >= MAX_PENDING:
                    self.crowded += 1
                else:
                    self.waiting += 1
                    loop.call_later(delay / 1_000.0, self._carry_delayed, source, target, data)

    def _carry_delayed(self, source: int, target: int, data: bytes) -> None:
        self.waiting -= 1
        self._carry(source, target, data)

    def _carry(self, source: int, target: int, data: bytes) -> None:
        address = self.inside[target]
        if address is None or self.sockets[source].fileno() < 0:
            return
        try:
            self.sockets[source].sendto(data, address)
        except OSError:
            pass  # no process listens there: the datagram is lost, as on a real network

    def close(self) -> None:
        """Close all sockets; datagrams that are still pending are dropped."""
        for relay_socket in self.sockets:
            asyncio.get_running_loop().remove_reader(relay_socket)
            relay_socket.close()
