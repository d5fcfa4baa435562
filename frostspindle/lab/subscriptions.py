"""Emulator of subscriptions under a script of faults: the hubs, which do no I/O, on a simulated network.

It simulates time, processes, membership and subscribers that move between coordinators, and checks what subscribers
received against all published events. The check uses only the lines that a subscriber read, never a hub's state. The
same arguments give the same run.
"""

from __future__ import annotations

import heapq
import html
import random
from collections import Counter, deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from frostspindle.lab.faults.script import MessageFaults, Script, parse
from frostspindle.predicates import language, match
from frostspindle.subscriptions import schema, wire
from frostspindle.subscriptions.fanout import BacklogItem, Fanout
from frostspindle.subscriptions.hub import SubscriptionHub
from frostspindle.subscriptions.schema import Event

STEP_MS = 10.0
HEARTBEAT_MS, DEAD_MS = 500.0, 4_000.0  # simulated membership: heartbeat interval, and silence that means dead
QUIET_S = 14.0  # at the end there are no faults and no new events, and pending messages are delivered
CURSOR_MS = 200.0  # interval of a subscriber's cursors
Position = tuple[int, int]


def drawn(seed: int, nodes: int, seconds: float) -> str:
    """Return a script with faults of all kinds, drawn from the seed; all end within `seconds`."""
    rng = random.Random(seed)
    statements = [
        f"0-{seconds} loss {rng.choice((0, 0.02, 0.1, 0.3))}",
        f"0-{seconds} dup {rng.choice((0, 0.1))}",
        f"0-{seconds} reorder {rng.choice((0, 0.1, 0.3))}",
        f"0-{seconds} delay 0-{rng.choice((1, 20, 80))}",
    ]
    for _ in range(rng.randint(0, 2)):
        begin = rng.uniform(0, seconds * 0.8)
        end = min(seconds, begin + rng.choice((1, 4, 8)))
        target = rng.randrange(nodes)
        others = ",".join(str(n) for n in range(nodes) if n != target)
        statements.append(
            f"{begin:.2f}-{end:.2f} "
            + rng.choice((f"cut {target}|{others}", f"oneway {target}>{others}", f"oneway {others}>{target}"))
        )
    for _ in range(rng.randint(0, 3)):
        target, begin = rng.randrange(nodes), rng.uniform(0, seconds * 0.8)
        pair = rng.choice((("kill", "start"), ("stop", "cont")))
        end = min(seconds, begin + rng.choice((0.5, 3, 7)))
        statements.append(f"{begin:.2f} {pair[0]} {target}; {end:.2f} {pair[1]} {target}")
    return "; ".join(statements)


@dataclass(slots=True)
class Node:
    """One coordinator: its hub while its process runs, and the membership as it knows it."""

    name: str
    hub: SubscriptionHub | None = None
    starts: int = 0
    stopped: bool = False
    waiting: deque[Any] = field(default_factory=lambda: deque(maxlen=200))
    last_heard: dict[str, tuple[float, int]] = field(default_factory=dict)  # by name: time, epoch
    next_heartbeat: float = 0.0


@dataclass(slots=True)
class Client:
    """A subscriber: the events and gaps read up to its last cursor, and the lines read after it."""

    number: int
    text: str
    at: int = -1  # the coordinator's number
    sub: int = 0
    hub: SubscriptionHub | None = None
    cursor: str | None = None
    cursor_at: float = 0.0
    first_ack: float | None = None  # when its first subscription was acknowledged
    acked: bool = False
    slow_until: float = 0.0
    events: list[tuple[str, int, int]] = field(default_factory=list)
    closed: list[tuple[str, Position, Position]] = field(default_factory=list)  # gaps: publisher, first, last
    open: dict[str, Position] = field(default_factory=dict)  # open gaps of this connection
    pending: list[BacklogItem] = field(default_factory=list)  # read since the last cursor
    moves: int = 0


class Lab:
    """One run. Time is in ms from 0; `rate`: events per second at each coordinator."""

    def __init__(
        self,
        nodes: int,
        seed: int,
        script: Script,
        seconds: float = 20.0,
        subscribers: int = 6,
        rate: float = 20.0,
        ring: int = 2_000,
        backlog: int = 64,
        move_s: float = 4.0,
        slow: float = 0.05,
    ) -> None:
        self.random = random.Random(seed)
        self.nodes, self.seed, self.script, self.seconds = nodes, seed, script, seconds
        self.rate, self.ring = rate, ring
        self.backlog, self.move_s, self.slow = backlog, move_s, slow
        self.message_faults = MessageFaults(script, seed + 1, 0.5)
        self.members = [Node(f"c{number}") for number in range(nodes)]
        self.numbers = {node.name: number for number, node in enumerate(self.members)}
        self.now = 0.0
        self.acts = deque(script.acts)
        self.queue: list[tuple[float, int, int, Any]] = []
        self.order = 0
        self.made: dict[tuple[str, int], list[tuple[float, Event]]] = {}  # by publisher's process, in order
        self.clients = [Client(number, self._filter()) for number in range(subscribers)]
        self.messages = self.bytes = 0
        self.counted: Counter[str] = Counter()
        self.unmatched_events = self.received_events = 0
        for number in range(nodes):
            self._start(number)

    def _filter(self) -> str:
        rng = self.random
        return rng.choice(
            (
                "kind = 'answer'",
                "TRUE",
                f"kind = 'answer' AND tenant = 't{rng.randrange(6)}'",
                f"tenant = 't{rng.randrange(6)}' AND class IN ('a', 'b')",
                "kind = 'engine' OR outcome <> 'served'",
                f"kind = 'answer' AND ms BETWEEN {rng.randrange(50)} AND {50 + rng.randrange(50)}",
                f"engine STARTS WITH 'e{rng.randrange(3)}' AND NOT tenant = 't1'",
                "kind IN ('member', 'load')",
            )
        )

    def _event(self) -> Event:
        rng = self.random
        at = 1.7e12 + self.now
        if rng.random() < 0.9:
            return schema.make(
                schema.ANSWER,
                at,
                rng.choice("abc"),
                f"t{rng.randrange(6)}",
                rng.randrange(4),
                rng.choice(("served", "served", "refused", "failed")),
                f"e{rng.randrange(9)}",
                "http",
                rng.randrange(100),
            )
        return rng.choice(
            (
                schema.make(schema.ENGINE, at, f"e{rng.randrange(9)}", "ban", None),
                schema.make(schema.MEMBER, at, "x", "alive"),
                schema.make(schema.LOAD, at, "s", 1, "agent"),
            )
        )

    # Processes.

    def _start(self, number: int) -> None:
        node = self.members[number]
        if node.hub is not None:
            return
        node.starts += 1
        epoch = int(1e6 + self.now * 1_000) + node.starts
        node.hub = SubscriptionHub(
            node.name, epoch, self.now, self.ring, fanout=Fanout(self.backlog, self.backlog * 16)
        )
        node.hub.subscribers.expected = frozenset(peer.name for peer in self.members) - {node.name}
        node.stopped, node.last_heard = False, {}
        node.waiting.clear()
        self.made[node.name, epoch] = []

    def _apply_act(self, kind: str, number: int) -> None:
        node = self.members[number]
        if kind == "kill":
            self._add_counters(node)
            node.hub = None
        elif kind == "start":
            self._start(number)
        else:
            node.stopped = kind == "stop"

    def _add_counters(self, node: Node) -> None:
        if node.hub is not None:
            self.counted += node.hub.counted
            self.counted["fell_behind"] += node.hub.subscribers.fanout.overflows
            self.unmatched_events += node.hub.subscribers.unmatched_events
            self.received_events += node.hub.subscribers.received_events

    def _send(self, source: int, target: int, message: Any) -> None:
        for delay in self.message_faults.draw_delays(self.now / 1_000.0, source, target):
            self.order += 1
            heapq.heappush(self.queue, (self.now + delay, self.order, target, message))

    # Time.

    def run(self) -> None:
        """Simulate the run and QUIET_S seconds without new events, and add up the counters of the hubs.

        Pending messages are delivered in the quiet time.
        """
        end = (self.seconds + QUIET_S) * 1_000.0
        while self.now < end:
            self._step()
            self.now += STEP_MS
        for node in self.members:
            self._add_counters(node)

    def _step(self) -> None:
        while self.acts and self.acts[0].at * 1_000.0 <= self.now:
            act = self.acts.popleft()
            self._apply_act(act.kind, act.node)
        while self.queue and self.queue[0][0] <= self.now:
            _, _, target, message = heapq.heappop(self.queue)
            node = self.members[target]
            if node.stopped:
                node.waiting.append(message)
            elif node.hub is not None:
                self._receive(node, message)
        for number, node in enumerate(self.members):
            if node.hub is not None and not node.stopped:
                while node.waiting:
                    self._receive(node, node.waiting.popleft())
                self._run_node(number, node, node.hub)
        for client in self.clients:
            self._step_client(client)

    def _receive(self, node: Node, message: Any) -> None:
        assert node.hub is not None
        sender, epoch, data = message
        if epoch < node.last_heard.get(sender, (0.0, 0))[1]:
            return
        node.last_heard[sender] = self.now, epoch
        if data:
            node.hub.on_message(self.now, sender, epoch, wire.decode(data))

    def _run_node(self, number: int, node: Node, hub: SubscriptionHub) -> None:
        if self.now < self.seconds * 1_000.0 and self.random.random() < self.rate * STEP_MS / 1_000.0:
            for _ in range(self.random.choice((1, 1, 1, 5))):
                event = self._event()
                self.made[node.name, hub.epoch].append((self.now, event))
                assert hub.make(event) == len(self.made[node.name, hub.epoch])
        if self.now >= node.next_heartbeat:
            node.next_heartbeat = self.now + HEARTBEAT_MS
            for other in range(self.nodes):
                if other != number:
                    self._send(number, other, (node.name, hub.epoch, b""))
            hub.members(
                self.now,
                {peer: epoch for peer, (heard_at, epoch) in node.last_heard.items() if self.now - heard_at < DEAD_MS},
            )
        for name, message in hub.tick(self.now):
            data = wire.encode(message)
            assert len(data) <= wire.MAX_MESSAGE_BYTES, (len(data), message)
            self.messages += 1
            self.bytes += len(data)
            self._send(number, self.numbers[name], (node.name, hub.epoch, data))

    # Subscribers.

    def _step_client(self, client: Client) -> None:
        hub = client.hub
        node = self.members[client.at] if client.at >= 0 else None
        if hub is not None and (node is None or node.hub is not hub):
            self._leave(client)  # its coordinator was killed
        elif (
            hub is not None
            and self.now < self.seconds * 1_000.0
            and self.random.random() < STEP_MS / (self.move_s * 1_000.0)
        ):
            if node is not None and not node.stopped:
                hub.subscribers.unsubscribe(self.now, client.sub)
            self._leave(client)
        if client.hub is None:
            self._join(client)
            return
        if node is None or node.stopped or self.now < client.slow_until:
            return
        if self.random.random() < self.slow * STEP_MS / 1_000.0:
            client.slow_until = self.now + self.random.uniform(500.0, 4_000.0)
        self._read(client, client.hub)

    def _leave(self, client: Client) -> None:
        client.hub, client.at, client.acked = None, -1, False
        client.pending.clear()
        client.open.clear()
        client.moves += 1

    def _join(self, client: Client) -> None:
        number = self.random.randrange(self.nodes)
        node = self.members[number]
        if node.hub is None or node.stopped:
            return
        subscribers = node.hub.subscribers
        client.sub = (
            subscribers.subscribe(self.now, client.text)
            if client.cursor is None
            else subscribers.resume(self.now, client.cursor)
        )
        client.hub, client.at = node.hub, number

    def _read(self, client: Client, hub: SubscriptionHub) -> None:
        subscribers = hub.subscribers
        if not client.acked:
            if not subscribers.subscriptions[client.sub].acknowledged:
                return
            client.acked, client.cursor_at = True, -1e9  # an acknowledgement carries a cursor
            if client.first_ack is None:
                client.first_ack = self.now
        others = set(subscribers.subscriptions) - {client.sub}
        for _, items in subscribers.fanout.next_batches(others, 64):
            client.pending += items
        if self.now - client.cursor_at >= CURSOR_MS:
            client.cursor_at = self.now
            client.cursor = subscribers.cursor(client.sub)
            for item in client.pending:
                if item.line:
                    line_event = msgspec.json.decode(item.line)
                    client.events.append((line_event["of"][0], line_event["of"][1], line_event["of"][2]))
                elif item.last is None:
                    client.open[item.publisher] = item.first
                else:
                    client.open.pop(item.publisher, None)
                    client.closed.append((item.publisher, item.first, item.last))
            client.pending.clear()


def measure(lab: Lab) -> dict[str, Any]:
    """Return the figures of a run: what the subscribers received, compared with all published events."""
    counts: Counter[str] = Counter()
    for client in lab.clients:
        predicate = language.parse(client.text)
        received = Counter(client.events)
        counts["repeated"] += sum(count - 1 for count in received.values())
        last_positions: dict[str, Position] = {}
        for publisher, epoch, number in client.events:
            counts["disordered"] += (epoch, number) < last_positions.get(publisher, (0, 0))
            last_positions[publisher] = epoch, number
        gaps: dict[str, list[tuple[Position, Position]]] = {}
        for publisher, first, end in client.closed:
            if first <= end:
                gaps.setdefault(publisher, []).append((first, end))
                counts["gaps_told"] += 1
        for publisher, first in client.open.items():
            gaps.setdefault(publisher, []).append((first, (2**53, 0)))
            counts["gaps_told"] += 1
            counts["gaps_open"] += 1
        expected = set()
        for (publisher, epoch), events in lab.made.items():
            for number, (published_at, event) in enumerate(events, 1):
                if not match(predicate, schema.row(publisher, event)):
                    continue
                expected.add((publisher, epoch, number))
                if (
                    client.first_ack is None
                    or published_at <= client.first_ack
                    or (publisher, epoch, number) in received
                ):
                    continue
                in_reported_gap = any(first <= (epoch, number) <= end for first, end in gaps.get(publisher, ()))
                counts["lost_told" if in_reported_gap else "lost_silently"] += 1
        counts["foreign"] += len(received.keys() - expected)
        counts["told"] += len(client.events)
        counts["moves"] += client.moves
        counts["never_acknowledged"] += client.first_ack is None
    return {
        "nodes": lab.nodes,
        "seed": lab.seed,
        "seconds": lab.seconds,
        "subscribers": len(lab.clients),
        **{
            key: counts[key]
            for key in (
                "lost_silently",
                "repeated",
                "foreign",
                "disordered",
                "gaps_told",
                "gaps_open",
                "lost_told",
                "told",
                "moves",
                "never_acknowledged",
            )
        },
        "forwarded_needlessly": lab.unmatched_events,
        "forwarded": lab.received_events,
        "made": sum(map(len, lab.made.values())),
        "messages": lab.messages,
        "bytes": lab.bytes,
        "counted": dict(sorted(lab.counted.items())),
    }


def play(nodes: int, seed: int, faults: str | None, seconds: float = 20.0, **options: Any) -> Lab:
    """Run a lab to its end and return it.

    `faults`: a script, None for one drawn from the seed; InvalidScriptError if it can't be parsed.
    """
    lab = Lab(nodes, seed, parse(drawn(seed, nodes, seconds) if faults is None else faults, nodes), seconds, **options)
    lab.run()
    return lab


def write(lab: Lab, figures: dict[str, Any], folder: str) -> str:
    """Write a page with a plot of published and received events and of the gaps, and return its path."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    target = Path(folder)
    target.mkdir(parents=True, exist_ok=True)
    published_at = sorted(time_ms / 1e3 for events in lab.made.values() for time_ms, _ in events)
    figure, (above, below) = pyplot.subplots(2, 1, figsize=(9, 6), sharex=True)
    bins = max(1, int(lab.seconds))
    above.hist(published_at, bins=bins, histtype="step", label="published")
    above.hist(
        [
            lab.made[publisher, epoch][number - 1][0] / 1e3
            for client in lab.clients
            for publisher, epoch, number in client.events
        ],
        bins=bins,
        histtype="step",
        label="received, by time of publication",
    )
    above.set_ylabel("events a second")
    above.legend()
    for rule in lab.script.rules:
        if rule.kind in ("cut", "oneway"):
            below.axvspan(rule.begins, min(rule.ends, lab.seconds), alpha=0.2)
    for act in lab.script.acts:
        below.axvline(act.at, linestyle=":")
        below.text(act.at, act.node, f"{act.kind} {act.node}", fontsize=7)
    for client in lab.clients:
        for publisher, first, last in client.closed:
            times = [
                time_ms / 1e3
                for (name, epoch), events in lab.made.items()
                if name == publisher
                for number, (time_ms, _) in enumerate(events, 1)
                if first <= (epoch, number) <= last
            ]
            if times:
                below.plot([times[0], times[-1]], [lab.numbers[publisher] + client.number * 0.1] * 2, linewidth=2)
    below.set_ylabel("announced gaps, by publisher")
    below.set_xlabel("s")
    figure.savefig(target / "subscriptions.svg")
    pyplot.close(figure)
    rows = "".join(f"<tr><td>{key}</td><td>{html.escape(str(value))}</td></tr>" for key, value in figures.items())
    (target / "index.html").write_text(
        "<!doctype html><title>Subscriptions</title><h1>Subscriptions under faults</h1>"
        f"<img src='subscriptions.svg'><table>{rows}</table>\n",
        encoding="utf-8",
    )
    return str(target / "index.html")
