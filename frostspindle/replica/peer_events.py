"""Events of connections, queued for the next cycle of the member's loop. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(slots=True, frozen=True)
class PeerConnected:
    """A peer completed authentication."""

    peer: str  # a voter's name, or `~name` for a follower


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
    """Queue of events in the order in which they occurred."""

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
        """Return the peers whose connections ended and drop all events; `message_bytes` is kept until `take`."""
        peers = [event.peer for event in self._events if isinstance(event, PeerDisconnected)]
        self._events = []
        return peers
