"""Messages to peers, queued with a bound for each peer until the journal is durable.

No I/O: `LogMember` fills the queue, and its owner takes the messages out after syncing the journal and sends them.
"""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple

MAX_QUEUED_BYTES = 24 << 20  # for one peer; above a snapshot of the largest states
_MESSAGE_OVERHEAD_BYTES = 64
_ENTRY_OVERHEAD_BYTES = 32


class Outgoing(NamedTuple):
    """What may leave once the journal is durable."""

    messages: list[tuple[str, dict[str, Any]]]  # peer and message, in order
    overflowed: list[str]  # peers whose connection must be closed, as messages to them were dropped


class Outbox:
    """The send queue of one member."""

    def __init__(self) -> None:
        self._messages: list[tuple[str, dict[str, Any]]] = []
        self._queued_bytes: Counter[str] = Counter()
        self._overflowed: list[str] = []

    def add(self, peer: str, message: dict[str, Any]) -> bool:
        """Queue a message; False, and the peer counts as overflowed, if more than MAX_QUEUED_BYTES would wait."""
        size = _estimated_bytes(message)
        if self._queued_bytes[peer] + size > MAX_QUEUED_BYTES:
            if peer not in self._overflowed:
                self._overflowed.append(peer)
            return False
        self._queued_bytes[peer] += size
        self._messages.append((peer, message))
        return True

    def take(self) -> Outgoing:
        """Empty the queue and return it without the messages to overflowed peers."""
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
