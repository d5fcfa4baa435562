"""Messages to peers, queued with a bound per peer until the journal is durable.

No I/O: `LogMember` fills the queue; its owner takes the messages after syncing the journal and sends them.
"""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple

MAX_QUEUED_BYTES = 24 << 20  # per peer; above the size of the largest snapshot
_MESSAGE_OVERHEAD_BYTES = 64
_ENTRY_OVERHEAD_BYTES = 32


class Outgoing(NamedTuple):
    """The messages that may be sent once the journal is durable."""

    messages: list[tuple[str, dict[str, Any]]]  # peer and message, in order
    overflowed: list[str]  # peers whose connection must be closed, as messages to them were dropped


class Outbox:
    """The send queue of one member."""

    def __init__(self) -> None:
        self._messages: list[tuple[str, dict[str, Any]]] = []
        self._queued_bytes: Counter[str] = Counter()
        self._overflowed: list[str] = []

    def add(self, peer: str, message: dict[str, Any]) -> bool:
        """Queue a message; return False and mark the peer as overflowed if MAX_QUEUED_BYTES would be exceeded."""
        size = _estimated_bytes(message)
        if self._queued_bytes[peer] + size > MAX_QUEUED_BYTES:
            if peer not in self._overflowed:
                self._overflowed.append(peer)
            return False
        self._queued_bytes[peer] += size
        self._messages.append((peer, message))
        return True

    def take(self) -> Outgoing:
        """Empty the queue and return its contents without the messages to overflowed peers."""
        messages = [(peer, message) for peer, message in self._messages if peer not in self._overflowed]
        outgoing = Outgoing(messages, self._overflowed)
        self._messages = []
        self._overflowed = []
        self._queued_bytes = Counter()
        return outgoing


def _estimated_bytes(message: dict[str, Any]) -> int:
    entries = message.get("entries", ())
    size = _MESSAGE_OVERHEAD_BYTES + sum(len(entry[0]) + _ENTRY_OVERHEAD_BYTES for entry in entries)
    if message.get("serialized"):
        size += len(message["serialized"][0])
    return size
