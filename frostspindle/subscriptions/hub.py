"""One coordinator's publisher and subscribers, connected without I/O.

Routes each message to its side. Messages of this process to itself take the same path as those between two processes.
Opens no socket and reads no clock.
"""

from __future__ import annotations

from collections import Counter, deque

from frostspindle.subscriptions.fanout import Fanout
from frostspindle.subscriptions.schema import Event
from frostspindle.subscriptions.stream import MAX_REMEMBERED_EVENTS, EventPublisher
from frostspindle.subscriptions.subscribers import MAX_SUBSCRIPTIONS, SubscriberTable
from frostspindle.subscriptions.wire import EventBatch, Message, UnknownStream

LOCAL_MESSAGES_PER_TICK = 512  # messages to itself handled in one call


class SubscriptionHub:
    """One process's subscribers and publisher, under its name and epoch in the fleet; times in ms."""

    def __init__(
        self,
        name: str,
        epoch: int,
        now: float,
        ring: int = MAX_REMEMBERED_EVENTS,
        max_subscriptions: int = MAX_SUBSCRIPTIONS,
        fanout: Fanout | None = None,
    ) -> None:
        self.name, self.epoch = name, epoch
        self.publisher = EventPublisher(name, epoch, ring)
        self.subscribers = SubscriberTable(name, epoch, now, max_subscriptions, fanout)
        self._local_messages: deque[Message] = deque()
        self._alive: dict[str, int] = {}
        self.has_more = False  # more work is left: call `tick` again at once
        self.members(now, {})

    def make(self, event: Event) -> int:
        """Publish an event of this process and return its number."""
        return self.publisher.append(event)

    def members(self, now: float, others: dict[str, int]) -> None:
        """Update the other members that are alive, by name with the epoch of each one's process."""
        alive = others | {self.name: self.epoch}
        if alive != self._alive:
            for name, epoch in self._alive.items():
                if name in alive and alive[name] != epoch:
                    self.publisher.forget_receiver(name, alive[name])
            self._alive = alive
            self.publisher.members = len(alive)
        self.subscribers.members(now, alive)

    def on_message(self, now: float, sender: str, epoch: int, message: Message) -> None:
        """Route a message: EventBatch and UnknownStream to the subscribers, all others to the publisher."""
        if isinstance(message, (EventBatch, UnknownStream)):
            self.subscribers.on_message(now, sender, epoch, message)
        else:
            self.publisher.on_message(now, sender, epoch, message)

    def tick(self, now: float) -> list[tuple[str, Message]]:
        """Do what is due at `now` and return the messages to other members, by name; sets `has_more`."""
        outgoing: list[tuple[str, Message]] = []
        self.subscribers.tick(now)
        self.has_more = self.publisher.tick(now)
        budget = LOCAL_MESSAGES_PER_TICK
        while True:
            for endpoint in (self.subscribers, self.publisher):
                for name, message in endpoint.outbox:
                    if name == self.name:
                        self._local_messages.append(message)
                    else:
                        outgoing.append((name, message))
                endpoint.outbox.clear()
            if not self._local_messages or not budget:
                break
            budget -= 1
            self.on_message(now, self.name, self.epoch, self._local_messages.popleft())
            if not self._local_messages:
                self.subscribers.tick(now)
                if self.publisher.next_tick_at() <= now:
                    self.has_more |= self.publisher.tick(now)
        self.has_more |= bool(self._local_messages)
        return outgoing

    def next_tick_at(self) -> float:
        """Return when `tick` must be called next, in ms, if no message arrives before."""
        return min(self.subscribers.next_tick_at(), self.publisher.next_tick_at())

    @property
    def counted(self) -> Counter[str]:
        """Counters of the publisher and the subscribers together; those at zero are left out."""
        return self.publisher.counted + self.subscribers.counted
