"""Order of requests that share a key: a queue per key, and cooldowns after attempts that may still run."""

from __future__ import annotations

from collections import deque

from frostspindle.policy.deadlines import KeyCooldowns
from frostspindle.policy.events import AttemptOutcome
from frostspindle.policy.policy_state import PolicyState
from frostspindle.policy.request_state import RequestState
from frostspindle.policy.waiting_requests import WaitingRequests

MAY_STILL_RUN = (AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)


class KeyOrder:
    """Admits only the head of each key's queue to the waiting queue, and no request while the key cools down."""

    def __init__(self, state: PolicyState, waiting: WaitingRequests) -> None:
        self._state = state
        self._waiting = waiting
        self.queues = dict[int, deque[RequestState]]()
        self.cooldowns = KeyCooldowns()

    def add(self, request: RequestState, now: float) -> None:
        """Append a request to the queue of its key."""
        self.queues.setdefault(request.key, deque()).append(request)
        self.advance(request.key, now)

    def advance(self, key: int, now: float) -> None:
        """Remove finished requests from the head of a key's queue, and admit the next one if it may be sent."""
        queue = self.queues.get(key)
        if queue is None:
            return
        while queue and queue[0].finished and not queue[0].running_attempts:
            queue.popleft()
        if not queue:
            del self.queues[key]
            return
        head = queue[0]
        if not head.key_order_reached or self.cooldowns.get(key, 0.0) > now:
            return
        if not (head.waiting or head.deferred or head.attempts or head.finished):
            self._waiting.add(head, now)

    def start_cooldown(self, request: RequestState, outcome: int, now: float) -> None:
        """Delay the other requests of a key for `key_order_pause_ms` after an attempt that may still run."""
        if request.key and request.class_settings.in_order and outcome in MAY_STILL_RUN:
            self.cooldowns.start(request.key, now + self._state.settings.key_order_pause_ms)

    def end_cooldowns(self, now: float) -> bool:
        """Advance the queues of keys whose cooldown has ended; return whether there were any."""
        keys = self.cooldowns.pop_due(now)
        for key in keys:
            self.advance(key, now)
        return bool(keys)
