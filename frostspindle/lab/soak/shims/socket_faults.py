"""Makes system calls on sockets fail with the transient errors that Linux documents, and reads and writes short.

`sitecustomize` installs it into a process of the soak. Connections that the process opens (to engines and the bus) may
also break at a read or write. Connections from clients do not, as the clients in the soak would not see the break.
"""

from __future__ import annotations

import errno
import os
import random
import socket
import time
import weakref

FAULT_PERIOD_S = 1.0
FAULT_LENGTH_S = 0.15  # calls fail for this long at the start of each period
FAILING_RATE = 0.5  # of the calls in that time
BREAKING_RATE = 0.02  # of the reads and writes on opened connections in that time
SHORT_RATE = 0.3
MAX_SHORT_BYTES = 40
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
CONNECT_ERRORS = (errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT)
BREAKING_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET, errno.ENOBUFS)


class SocketFaults:
    """Draws which socket calls of the process fail."""

    def __init__(self, seed: str) -> None:
        self._rng = random.Random(f"socket faults {seed}")
        self._opened: weakref.WeakSet[socket.socket] = weakref.WeakSet()

    def may_fail(self, rate: float, errors: tuple[int, ...]) -> None:
        """Raise OSError with one of these errors, at this rate, during the fault time of each period."""
        if time.monotonic() % FAULT_PERIOD_S < FAULT_LENGTH_S and self._rng.random() < rate:
            number = self._rng.choice(errors)
            raise OSError(number, os.strerror(number))

    def limit(self, size: int) -> int:
        """Return how many of `size` bytes a read or write transfers."""
        if size > 1 and self._rng.random() < SHORT_RATE:
            return self._rng.randint(1, min(size, MAX_SHORT_BYTES))
        return size

    def install(self) -> None:
        """Wrap the methods of all sockets with the faults."""
        real_accept, real_connect = socket.socket.accept, socket.socket.connect
        real_send, real_recv = socket.socket.send, socket.socket.recv

        def accept(sock: socket.socket) -> tuple[socket.socket, object]:
            self.may_fail(FAILING_RATE, ACCEPT_ERRORS)
            return real_accept(sock)

        def connect(sock: socket.socket, address: object) -> None:
            if sock.family != socket.AF_UNIX:
                self.may_fail(FAILING_RATE, CONNECT_ERRORS)
                self._opened.add(sock)
            real_connect(sock, address)

        def send(sock: socket.socket, data: bytes, *flags: int) -> int:
            if sock.type != socket.SOCK_STREAM or sock.family == socket.AF_UNIX:
                return real_send(sock, data, *flags)
            if sock in self._opened:
                self.may_fail(BREAKING_RATE, BREAKING_ERRORS)
            return real_send(sock, memoryview(data)[: self.limit(len(data))], *flags)

        def recv(sock: socket.socket, size: int, *flags: int) -> bytes:
            if sock.type != socket.SOCK_STREAM or sock.family == socket.AF_UNIX:
                return real_recv(sock, size, *flags)
            if sock in self._opened:
                self.may_fail(BREAKING_RATE, BREAKING_ERRORS)
            return real_recv(sock, self.limit(size), *flags)

        socket.socket.accept = accept  # type: ignore[method-assign]
        socket.socket.connect = connect  # type: ignore[method-assign]
        socket.socket.send = send  # type: ignore[method-assign]
        socket.socket.recv = recv  # type: ignore[method-assign]
