"""Looks at a connected socket without reading from it: has the peer hung up, and do bytes lie unread?

The event loop tells of a hang-up only once it reads, which it does not while reading is paused.
"""

from __future__ import annotations

import asyncio
import select

_HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class SocketWatch:
    """Watches the socket of one transport; one system call for each question."""

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN | select.POLLRDHUP)

    def has_hung_up(self) -> bool:
        """Return whether the peer has closed, shut or reset the connection, also behind bytes that lie unread."""
        return any(events & _HUNG_UP for _, events in self._poll.poll(0))

    def has_unread(self) -> bool:
        """Return whether bytes lie unread in the socket of a transport that is not being closed."""
        return not self._transport.is_closing() and any(events & select.POLLIN for _, events in self._poll.poll(0))
