"""What the connections report to the member's loop, queued between two of its cycles. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class PeerConnected:
    """A peer proved the secret."""

    peer: str  # a voter's name, or `~name` of a follower


@dataclass(slots=True, frozen=True)
class PeerDisconnected:
    """A peer's connection ended."""

    peer: str


@dataclass(slots=True, frozen=True)
class MessageReceived:
    """A peer sent a message."""

    peer: str
    message: dict[str, Any]


PeerEvent = PeerConnected | PeerDisconnected | MessageReceived


class PeerEventQueue:
    """Events in the order in which they happened."""

    def __init__(self) -> None:
        self._events: list[PeerEvent] = []
        self.message_bytes: int = 0  # of messages queued since the last `take`

    def add(self, event: PeerEvent, message_bytes: int = 0) -> None:
        """Queue an event."""
        self._events.append(event)
        self.message_bytes += message_bytes

    def take(self) -> list[PeerEvent]:
        """Empty the queue and return its events."""
        events = self._events
        self._events = []
        self.message_bytes = 0
        return events

    def take_disconnected(self) -> list[str]:
        """Return the peers whose connections ended and drop all events; `message_bytes` stays until `take`."""
        peers = [event.peer for event in self._events if isinstance(event, PeerDisconnected)]
        self._events = []
        return peers
