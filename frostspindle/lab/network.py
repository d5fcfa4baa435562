"""Simulated network and time for components that do no I/O.

A script of faults (`faults.script`) delays, drops, duplicates and cuts off messages, and stops, kills and starts nodes.
The same seed and the same calls give the same run. Messages are opaque and never altered, and queues are bounded.

    network = Network(count, parse("loss 0.1; 5-20 cut 0|1-2; 8 kill 1; 9 start 1", count), seed)
    for node in range(count): network.at(0.0, node, "tick")
    for at, node, event in network.deliver(60_000.0):  # ms; all events up to that time, in order
        if isinstance(event, tuple): source, data = event  # a message to `node`
        elif event == "kill": ...  # and "start", "stop", "cont", from the script
        else: ...  # scheduled by `at`: a timer, a client's call
        network.send(node, target, data); network.at(at + 100.0, node, "tick")  # allowed meanwhile

Messages to a node that is down are lost. Messages to a stopped node (`paused`) wait, at most MAX_WAITING_MESSAGES as in
a socket's buffer, and are delivered in order after "cont". Events scheduled by `at` are delivered in any case, because
clients continue to call; the caller must check `up` and `paused` for timers of a node.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from heapq import heappop, heappush
from typing import Any

from frostspindle.fleet.wire import MAX_PACKET_BYTES
from frostspindle.lab.faults.script import MessageFaults, Script

MAX_WAITING_MESSAGES = 200  # in the socket of a stopped node
MAX_SCHEDULED = 2_000_000  # events and messages


class Network:
    """A network of `count` numbered nodes. True time is in ms from 0; callers simulate clocks (`script.clocks`)."""

    def __init__(self, count: int, script: Script, seed: int, base_ms: float = 0.5, up: bool = True) -> None:
        """Set up the network. `base_ms`: minimum delay of a message; `up`: whether all nodes are up from the start."""
        self.now = 0.0
        self.events = 0  # delivered or dropped, including messages to nodes that are down
        self.message_faults = MessageFaults(script, seed, base_ms)  # `lost` counts the messages that it drops
        self.up, self.paused = [up] * count, [False] * count
        self.waiting: list[list[tuple[int, bytes]]] = [[] for _ in range(count)]
        self.counted: Counter[str] = Counter()  # dropped messages by reason: too_long, not_read, crowded
        self._queue: list[tuple[float, int, int, Any]] = []  # time, sequence number, node, event
        self._sequence = 0
        for act in script.acts:
            self.at(act.at * 1_000.0, act.node, act.kind)

    def at(self, time_ms: float, node: int, event: Any) -> None:
        """Schedule `event`, anything but a tuple, for a node at a time in ms.

        Raise OverflowError if MAX_SCHEDULED events are scheduled already.
        """
        queue = self._queue
        if len(queue) >= MAX_SCHEDULED:
            raise OverflowError("too many events are scheduled")
        self._sequence += 1
        heappush(queue, (time_ms if time_ms > self.now else self.now, self._sequence, node, event))

    def send(self, source: int, target: int, data: bytes) -> bool:
        """Send a message; return False, and count it, if it is too long for a datagram.

        True does not mean that it arrives: the script may drop it, or MAX_SCHEDULED events are scheduled already, which
        is counted.
        """
        if len(data) > MAX_PACKET_BYTES:
            self.counted["too_long"] += 1
            return False
        now, queue = self.now, self._queue
        for delay in self.message_faults.draw_delays(now / 1_000.0, source, target):
            if len(queue) >= MAX_SCHEDULED:
                self.counted["crowded"] += 1
                break
            self._sequence += 1
            heappush(queue, (now + delay, self._sequence, target, (source, data)))
        return True

    def due(self) -> float:
        """Return the time in ms of the next delivery, inf if none is scheduled."""
        return self._queue[0][0] if self._queue else math.inf

    def deliver(self, until: float) -> Iterator[tuple[float, int, Any]]:
        """Yield all events up to a time as (time, node, event), including those that are scheduled meanwhile.

        An event is a message as (source, bytes), an act of the script, or the argument of `at`. Events at the same time
        are in the order of scheduling.
        """
        queue, up, paused, pop = self._queue, self.up, self.paused, heappop
        while queue and queue[0][0] <= until:
            time_ms, _, node, event = pop(queue)
            self.now = time_ms
            self.events += 1
            if event.__class__ is tuple:
                if paused[node]:
                    if len(self.waiting[node]) < MAX_WAITING_MESSAGES:
                        self.waiting[node].append(event)
                    else:
                        self.counted["not_read"] += 1
                    continue
                if not up[node]:
                    continue
            elif event == "stop":
                paused[node] = up[node]
            elif event == "kill":
                self.end(node)
            elif event == "start":
                up[node] = True
            elif event == "cont":
                paused[node] = False
            yield time_ms, node, event
            if event == "cont":  # timers scheduled by the caller come first, then the socket is read
                for message in self.waiting[node]:
                    self._sequence += 1
                    heappush(queue, (time_ms, self._sequence, node, message))
                self.waiting[node] = []
        self.now = max(self.now, until)

    def end(self, node: int) -> None:
        """Take a node down: it receives nothing from now on, and the messages that wait for it are dropped."""
        self.up[node] = self.paused[node] = False
        self.waiting[node] = []
