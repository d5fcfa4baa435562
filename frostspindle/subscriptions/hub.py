"""One coordinator's part in subscriptions: its own events and its subscribers, tied together without I/O.

Owns which side gets which message, and that messages of this process to itself take the same path as those between two
processes. It must never open a socket or read a clock.
"""

from __future__ import annotations

from collections import Counter, deque

from frostspindle.subscriptions.fanout import Fanout
from frostspindle.subscriptions.schema import Event
from frostspindle.subscriptions.stream import RING, EventPublisher
from frostspindle.subscriptions.subscribers import MOST, SubscriberTable
from frostspindle.subscriptions.wire import EventBatch, Message, UnknownStream

TURNS = 512  # messages to itself in one call


class SubscriptionHub:
    """One process's subscribers and events, under the name and epoch that the fleet knows it by; times in ms."""

    def __init__(
        self, name: str, epoch: int, now: float, ring: int = RING, most: int = MOST, fanout: Fanout | None = None
    ) -> None:
        self.name, self.epoch = name, epoch
        self.maker = EventPublisher(name, epoch, ring)
        self.subscribers = SubscriberTable(name, epoch, now, most, fanout)
        self._own: deque[Message] = deque()
        self._alive: dict[str, int] = {}
        self.more = False  # there is more to do at once
        self.members(now, {})

    def make(self, event: Event) -> int:
        """Append an event that has happened here and return its number."""
        return self.maker.append(event)

    def members(self, now: float, others: dict[str, int]) -> None:
        """Take in which other members are alive, by name with the epoch of each one's process."""
        alive = others | {self.name: self.epoch}
        if alive != self._alive:
            for name, epoch in self._alive.items():
                if name in alive and alive[name] != epoch:
                    self.maker.gone(name, alive[name])
            self._alive = alive
            self.maker.members = len(alive)
        self.subscribers.members(now, alive)

    def hear(self, now: float, who: str, epoch: int, message: Message) -> None:
        """Hand a message to the side that it is for: Data and Stale to the subscribers, all others to the maker."""
        if isinstance(message, (EventBatch, UnknownStream)):
            self.subscribers.hear(now, who, epoch, message)
        else:
            self.maker.hear(now, who, epoch, message)

    def tick(self, now: float) -> list[tuple[str, Message]]:
        """Do whatever is due at `now` and return the messages to other members, by name; `more`: call again at once."""
        out: list[tuple[str, Message]] = []
        self.subscribers.tick(now)
        self.more = self.maker.tick(now)
        turns = TURNS
        while True:
            for part in (self.subscribers, self.maker):
                for name, message in part.out:
                    if name == self.name:
                        self._own.append(message)
                    else:
                        out.append((name, message))
                part.out.clear()
            if not self._own or not turns:
                break
            turns -= 1
            self.hear(now, self.name, self.epoch, self._own.popleft())
            if not self._own:
                self.subscribers.tick(now)
                if self.maker.due() <= now:
                    self.more |= self.maker.tick(now)
        self.more |= bool(self._own)
        return out

    def due(self) -> float:
        """Return when `tick` must be called next, in ms, if nothing arrives before."""
        return min(self.subscribers.due(), self.maker.due())

    @property
    def counted(self) -> Counter[str]:
        """Counters of the maker and the subscribers together; those at zero are left out."""
        return self.maker.counted + self.subscribers.counted
