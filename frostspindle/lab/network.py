"""A simulated network and its simulated time, for any parts without I/O: the fleet's emulator runs on it.

Owns what is under way, in the order in which it comes, and which places hear: messages are lost, late, repeated, cut
off as a script of faults says (`faults.script`), places are stopped, killed and started by it. The same seed and the
same calls give the same run. It must never alter or invent a message, know what one means, or hold more than bounds
allow.

    network = Network(count, parse("loss 0.1; 5-20 cut 0|1-2; 8 kill 1; 9 start 1", count), seed)
    for node in range(count): network.at(0.0, node, "tick")
    for at, node, what in network.deliver(60_000.0):  # ms; everything until then, each as it comes
        if isinstance(what, tuple): source, data = what  # a message to `node`
        elif what == "kill": ...  # and "start", "stop", "cont", as the script has them
        else: ...  # what was put there by `at`: a timer, a wish of a client
        network.send(node, target, data); network.at(at + 100.0, node, "tick")  # meanwhile

A place that is down hears nothing, and what comes to it is gone. To one that is stopped (`paused`) messages wait, up to
WAITING as a socket would have it, and come after "cont" in their order. What was put there by `at` comes all the same:
clients go on asking, and whose timer it is must look at `up` and `paused`.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterator
from heapq import heappop, heappush
from typing import Any

from frostspindle.fleet.wire import MAX_PACKET_BYTES
from frostspindle.lab.faults.script import MessageFaults, Script

WAITING = 200  # messages that a stopped place's socket holds
UNDER_WAY = 2_000_000  # of all that is to come


class Network:
    """So many places, by number. True time is in ms from 0; clocks are the user's (`script.clocks`)."""

    def __init__(self, count: int, script: Script, seed: int, base_ms: float = 0.5, up: bool = True) -> None:
        """`base_ms`: the least delay of each message; `up`: whether all places are up from the start."""
        self.now = 0.0
        self.events = 0  # that came, messages to nobody among them
        self.message_faults = MessageFaults(script, seed, base_ms)  # counts what was `lost` on the way
        self.up, self.paused = [up] * count, [False] * count
        self.waiting: list[list[tuple[int, bytes]]] = [[] for _ in range(count)]
        self.counted: Counter[str] = Counter()  # too_long, not_read, crowded: messages that went no further
        self._queue: list[tuple[float, int, int, Any]] = []  # when, order, place, what
        self._order = 0
        for act in script.acts:
            self.at(act.at * 1_000.0, act.node, act.kind)

    def at(self, at: float, node: int, what: Any) -> None:
        """Schedule `what`, anything but a tuple, for a place at a time in ms. OverflowError if UNDER_WAY things are
        scheduled already."""
        queue = self._queue
        if len(queue) >= UNDER_WAY:
            raise OverflowError("too much is under way")
        self._order += 1
        heappush(queue, (at if at > self.now else self.now, self._order, node, what))

    def send(self, source: int, target: int, data: bytes) -> bool:
        """Send a message; return False, and count it, if it is longer than a datagram may be. True does not mean
        that it arrives: the script may lose it, or UNDER_WAY things may be scheduled already (`counted`)."""
        if len(data) > MAX_PACKET_BYTES:
            self.counted["too_long"] += 1
            return False
        now, queue = self.now, self._queue
        for delay in self.message_faults.draw_delays(now / 1_000.0, source, target):
            if len(queue) >= UNDER_WAY:
                self.counted["crowded"] += 1
                break
            self._order += 1
            heappush(queue, (now + delay, self._order, target, (source, data)))
        return True

    def due(self) -> float:
        """Return the time in ms of the next delivery, inf if none is scheduled."""
        return self._queue[0][0] if self._queue else math.inf

    def deliver(self, until: float) -> Iterator[tuple[float, int, Any]]:
        """All that comes up to a time, one after another, what is put on its way meanwhile too: time, place, and a
        message as (source, bytes), an act of the script or what `at` was given. Ties come in the order put in."""
        queue, up, paused, pop = self._queue, self.up, self.paused, heappop
        while queue and queue[0][0] <= until:
            at, _, node, what = pop(queue)
            self.now = at
            self.events += 1
            if what.__class__ is tuple:
                if paused[node]:
                    if len(self.waiting[node]) < WAITING:
                        self.waiting[node].append(what)
                    else:
                        self.counted["not_read"] += 1
                    continue
                if not up[node]:
                    continue
            elif what == "stop":
                paused[node] = up[node]
            elif what == "kill":
                self.end(node)
            elif what == "start":
                up[node] = True
            elif what == "cont":
                paused[node] = False
            yield at, node, what
            if what == "cont":  # its timers were put in first, then its socket is read
                for message in self.waiting[node]:
                    self._order += 1
                    heappush(queue, (at, self._order, node, message))
                self.waiting[node] = []
        self.now = max(self.now, until)

    def end(self, node: int) -> None:
        """Take a place down: it receives nothing from now on, and the messages that wait for it are dropped."""
        self.up[node] = self.paused[node] = False
        self.waiting[node] = []
