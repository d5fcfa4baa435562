"""One coordinator's part in subscriptions: its own events and its subscribers, tied together without I/O.

Owns which side gets which message, and that messages of this process to itself take the same path as those between two
processes. It must never open a socket or read a clock.
"""

from __future__ import annotations

from collections import Counter, deque

from frostspindle.subscriptions.fanout import Fanout
from frostspindle.subscriptions.schema import Event
from frostspindle.subscriptions.stream import MAX_REMEMBERED_EVENTS, EventPublisher
from frostspindle.subscriptions.subscribers import MAX_SUBSCRIPTIONS, SubscriberTable
from frostspindle.subscriptions.wire import EventBatch, Message, UnknownStream

LOCAL_MESSAGES_PER_TICK = 512  # messages to itself in one call


class SubscriptionHub:
    """One process's subscribers and events, under the name and epoch that the fleet knows it by; times in ms."""

    def __init__(
        self,
        name: str,
        epoch: int,
        now: float,
        ring: int = MAX_REMEMBERED_EVENTS,
        most: int = MAX_SUBSCRIPTIONS,
        fanout: Fanout | None = None,
    ) -> None:
        self.name, self.epoch = name, epoch
        self.publisher = EventPublisher(name, epoch, ring)
        self.subscribers = SubscriberTable(name, epoch, now, most, fanout)
        self._local_messages: deque[Message] = deque()
        self._alive: dict[str, int] = {}
        self.has_more = False  # there is more to do at once
        self.members(now, {})

    def make(self, event: Event) -> int:
        """Append an event that has happened here and return its number."""
        return self.publisher.append(event)

    def members(self, now: float, others: dict[str, int]) -> None:
        """Take in which other members are alive, by name with the epoch of each one's process."""
        alive = others | {self.name: self.epoch}
        if alive != self._alive:
            for name, epoch in self._alive.items():
                if name in alive and alive[name] != epoch:
                    self.publisher.forget_receiver(name, alive[name])
            self._alive = alive
            self.publisher.members = len(alive)
        self.subscribers.members(now, alive)

    def on_message(self, now: float, who: str, epoch: int, message: Message) -> None:
        """Hand a message to the side that it is for: Data and Stale to the subscribers, all others to the maker."""
        if isinstance(message, (EventBatch, UnknownStream)):
            self.subscribers.on_message(now, who, epoch, message)
        else:
            self.publisher.on_message(now, who, epoch, message)

    def tick(self, now: float) -> list[tuple[str, Message]]:
        """Do whatever is due at `now` and return the messages to other members, by name; `more`: call again at once."""
        out: list[tuple[str, Message]] = []
        self.subscribers.tick(now)
        self.has_more = self.publisher.tick(now)
        turns = LOCAL_MESSAGES_PER_TICK
        while True:
            for part in (self.subscribers, self.publisher):
                for name, message in part.outbox:
                    if name == self.name:
                        self._local_messages.append(message)
                    else:
                        out.append((name, message))
                part.outbox.clear()
            if not self._local_messages or not turns:
                break
            turns -= 1
            self.on_message(now, self.name, self.epoch, self._local_messages.popleft())
            if not self._local_messages:
                self.subscribers.tick(now)
                if self.publisher.next_tick_at() <= now:
                    self.has_more |= self.publisher.tick(now)
        self.has_more |= bool(self._local_messages)
        return out

    def next_tick_at(self) -> float:
        """Return when `tick` must be called next, in ms, if nothing arrives before."""
        return min(self.subscribers.next_tick_at(), self.publisher.next_tick_at())

    @property
    def counted(self) -> Counter[str]:
        """Counters of the maker and the subscribers together; those at zero are left out."""
        return self.publisher.counted + self.subscribers.counted
