"""Detects a hang-up and unread bytes on a connected socket without reading from it.

The event loop reports a hang-up only when it reads, which it does not do while reading is paused.
"""

from __future__ import annotations

import asyncio
import select
import socket

_HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketWatch:
    """Polls the socket of one transport; each query is one system call."""

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._socket = transport.get_extra_info("socket")
        self._poll = select.poll()
        self._poll.register(self._socket.fileno(), select.POLLIN | select.POLLRDHUP)

    def has_hung_up(self) -> bool:
        """Return whether the peer has closed, shut down or reset the connection, even after unread bytes."""
        return any(events & _HUNG_UP for _, events in self._poll.poll(0))

    def has_unread(self) -> bool:
        """Return whether the socket has unread bytes, unless the transport is being closed."""
        return not self._transport.is_closing() and any(events & select.POLLIN for _, events in self._poll.poll(0))

    def tcp_info(self, size: int) -> bytes:
        """Return the first bytes of the system's TCP_INFO; empty if it has none for this socket."""
        try:
            return bytes(self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size))
        except OSError:
            return b""
