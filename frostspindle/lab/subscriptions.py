"""Subscriptions under a script of faults: the hubs without I/O on a simulated network, and an oracle that knows all.

Owns simulated time, the processes' lives, who believes whom to be alive, the subscribers that move between
coordinators, and the judgement of what they were told. The same arguments give the same run. It must never look into a
hub to judge it: a subscriber is judged by the lines that it read, against all events that were made.
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
BEAT_MS, DEAD_MS = 500.0, 4_000.0  # of the stand-in for membership: who says that it lives, and when it is not believed
QUIET_S = 14.0  # at the end all faults are over, nothing is made, and what is owed may come
CURSOR_MS = 200.0  # a subscriber is given a cursor so often
Pos = tuple[int, int]


def drawn(seed: int, nodes: int, seconds: float) -> str:
    """Return a script of faults of all kinds, drawn from the seed; all are over after `seconds`."""
    draw = random.Random(seed)
    parts = [
        f"0-{seconds} loss {draw.choice((0, 0.02, 0.1, 0.3))}",
        f"0-{seconds} dup {draw.choice((0, 0.1))}",
        f"0-{seconds} reorder {draw.choice((0, 0.1, 0.3))}",
        f"0-{seconds} delay 0-{draw.choice((1, 20, 80))}",
    ]
    for _ in range(draw.randint(0, 2)):
        begin = draw.uniform(0, seconds * 0.8)
        end = min(seconds, begin + draw.choice((1, 4, 8)))
        one = draw.randrange(nodes)
        rest = ",".join(str(n) for n in range(nodes) if n != one)
        parts.append(
            f"{begin:.2f}-{end:.2f} "
            + draw.choice((f"cut {one}|{rest}", f"oneway {one}>{rest}", f"oneway {rest}>{one}"))
        )
    for _ in range(draw.randint(0, 3)):
        one, begin = draw.randrange(nodes), draw.uniform(0, seconds * 0.8)
        pair = draw.choice((("kill", "start"), ("stop", "cont")))
        end = min(seconds, begin + draw.choice((0.5, 3, 7)))
        parts.append(f"{begin:.2f} {pair[0]} {one}; {end:.2f} {pair[1]} {one}")
    return "; ".join(parts)


@dataclass(slots=True)
class Place:
    """One coordinator: its hub while its process lives, and what membership knows here."""

    name: str
    hub: SubscriptionHub | None = None
    lives: int = 0
    stopped: bool = False
    waiting: deque[Any] = field(default_factory=lambda: deque(maxlen=200))
    heard: dict[str, tuple[float, int]] = field(default_factory=dict)  # who said when that it lives, with its epoch
    beat_at: float = 0.0


@dataclass(slots=True)
class Client:
    """A subscriber: all that it has read up to its last cursor, and what it read since."""

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
    closed: list[tuple[str, Pos, Pos]] = field(default_factory=list)
    open: dict[str, Pos] = field(default_factory=dict)  # of this connection
    fresh: list[BacklogItem] = field(default_factory=list)  # read since the last cursor
    moves: int = 0


class Lab:
    """One run. Time is in ms from 0; `rate`: events a second at each coordinator."""

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
        self.places = [Place(f"c{n}") for n in range(nodes)]
        self.numbers = {place.name: n for n, place in enumerate(self.places)}
        self.now = 0.0
        self.acts = deque(script.acts)
        self.queue: list[tuple[float, int, int, Any]] = []
        self.order = 0
        self.made: dict[tuple[str, int], list[tuple[float, Event]]] = {}  # by maker's process, in order
        self.clients = [Client(n, self._filter()) for n in range(subscribers)]
        self.messages = self.bytes = 0
        self.counted: Counter[str] = Counter()
        self.needless = self.taken = 0
        for n in range(nodes):
            self._start(n)

    def _filter(self) -> str:
        draw = self.random
        return draw.choice(
            (
                "kind = 'answer'",
                "TRUE",
                f"kind = 'answer' AND tenant = 't{draw.randrange(6)}'",
                f"tenant = 't{draw.randrange(6)}' AND class IN ('a', 'b')",
                "kind = 'engine' OR outcome <> 'served'",
                f"kind = 'answer' AND ms BETWEEN {draw.randrange(50)} AND {50 + draw.randrange(50)}",
                f"engine STARTS WITH 'e{draw.randrange(3)}' AND NOT tenant = 't1'",
                "kind IN ('member', 'load')",
            )
        )

    def _event(self) -> Event:
        draw = self.random
        at = 1.7e12 + self.now
        if draw.random() < 0.9:
            return schema.make(
                schema.ANSWER,
                at,
                draw.choice("abc"),
                f"t{draw.randrange(6)}",
                draw.randrange(4),
                draw.choice(("served", "served", "refused", "failed")),
                f"e{draw.randrange(9)}",
                "http",
                draw.randrange(100),
            )
        return draw.choice(
            (
                schema.make(schema.ENGINE, at, f"e{draw.randrange(9)}", "ban", None),
                schema.make(schema.MEMBER, at, "x", "alive"),
                schema.make(schema.LOAD, at, "s", 1, "agent"),
            )
        )

    # Processes.

    def _start(self, number: int) -> None:
        place = self.places[number]
        if place.hub is not None:
            return
        place.lives += 1
        epoch = int(1e6 + self.now * 1_000) + place.lives
        place.hub = SubscriptionHub(
            place.name, epoch, self.now, self.ring, fanout=Fanout(self.backlog, self.backlog * 16)
        )
        place.hub.subscribers.expected = frozenset(p.name for p in self.places) - {place.name}
        place.stopped, place.heard = False, {}
        place.waiting.clear()
        self.made[place.name, epoch] = []

    def _act(self, kind: str, number: int) -> None:
        place = self.places[number]
        if kind == "kill":
            self._count(place)
            place.hub = None
        elif kind == "start":
            self._start(number)
        else:
            place.stopped = kind == "stop"

    def _count(self, place: Place) -> None:
        if place.hub is not None:
            self.counted += place.hub.counted
            self.counted["fell_behind"] += place.hub.subscribers.fanout.behind
            self.needless += place.hub.subscribers.needless
            self.taken += place.hub.subscribers.taken

    def _send(self, source: int, target: int, what: Any) -> None:
        for delay in self.message_faults.draw_delays(self.now / 1_000.0, source, target):
            self.order += 1
            heapq.heappush(self.queue, (self.now + delay, self.order, target, what))

    # Time.

    def run(self) -> None:
        """Play the run, then QUIET_S seconds without new events so that what is owed may come, and add up the hubs'
        figures."""
        end = (self.seconds + QUIET_S) * 1_000.0
        while self.now < end:
            self._step()
            self.now += STEP_MS
        for place in self.places:
            self._count(place)

    def _step(self) -> None:
        while self.acts and self.acts[0].at * 1_000.0 <= self.now:
            act = self.acts.popleft()
            self._act(act.kind, act.node)
        while self.queue and self.queue[0][0] <= self.now:
            _, _, target, what = heapq.heappop(self.queue)
            place = self.places[target]
            if place.stopped:
                place.waiting.append(what)
            elif place.hub is not None:
                self._heard(place, what)
        for number, place in enumerate(self.places):
            if place.hub is not None and not place.stopped:
                while place.waiting:
                    self._heard(place, place.waiting.popleft())
                self._live(number, place, place.hub)
        for client in self.clients:
            self._follow(client)

    def _heard(self, place: Place, what: Any) -> None:
        assert place.hub is not None
        who, epoch, data = what
        if epoch < place.heard.get(who, (0.0, 0))[1]:
            return
        place.heard[who] = self.now, epoch
        if data:
            place.hub.hear(self.now, who, epoch, wire.decode(data))

    def _live(self, number: int, place: Place, hub: SubscriptionHub) -> None:
        if self.now < self.seconds * 1_000.0 and self.random.random() < self.rate * STEP_MS / 1_000.0:
            for _ in range(self.random.choice((1, 1, 1, 5))):
                event = self._event()
                self.made[place.name, hub.epoch].append((self.now, event))
                assert hub.make(event) == len(self.made[place.name, hub.epoch])
        if self.now >= place.beat_at:
            place.beat_at = self.now + BEAT_MS
            for other in range(self.nodes):
                if other != number:
                    self._send(number, other, (place.name, hub.epoch, b""))
            hub.members(self.now, {who: epoch for who, (at, epoch) in place.heard.items() if self.now - at < DEAD_MS})
        for name, message in hub.tick(self.now):
            data = wire.encode(message)
            assert len(data) <= wire.MAX_MESSAGE_BYTES, (len(data), message)
            self.messages += 1
            self.bytes += len(data)
            self._send(number, self.numbers[name], (place.name, hub.epoch, data))

    # Subscribers.

    def _follow(self, client: Client) -> None:
        hub = client.hub
        place = self.places[client.at] if client.at >= 0 else None
        if hub is not None and (place is None or place.hub is not hub):
            self._leave(client)  # its coordinator is dead
        elif (
            hub is not None
            and self.now < self.seconds * 1_000.0
            and self.random.random() < STEP_MS / (self.move_s * 1_000.0)
        ):
            if place is not None and not place.stopped:
                hub.subscribers.unsubscribe(self.now, client.sub)
            self._leave(client)
        if client.hub is None:
            self._join(client)
            return
        if place is None or place.stopped or self.now < client.slow_until:
            return
        if self.random.random() < self.slow * STEP_MS / 1_000.0:
            client.slow_until = self.now + self.random.uniform(500.0, 4_000.0)
        self._read(client, client.hub)

    def _leave(self, client: Client) -> None:
        client.hub, client.at, client.acked = None, -1, False
        client.fresh.clear()
        client.open.clear()
        client.moves += 1

    def _join(self, client: Client) -> None:
        number = self.random.randrange(self.nodes)
        place = self.places[number]
        if place.hub is None or place.stopped:
            return
        subs = place.hub.subscribers
        client.sub = (
            subs.subscribe(self.now, client.text) if client.cursor is None else subs.resume(self.now, client.cursor)
        )
        client.hub, client.at = place.hub, number

    def _read(self, client: Client, hub: SubscriptionHub) -> None:
        subs = hub.subscribers
        if not client.acked:
            if not subs.all[client.sub].acknowledged:
                return
            client.acked, client.cursor_at = True, -1e9  # a cursor comes with it
            if client.first_ack is None:
                client.first_ack = self.now
        others = set(subs.all) - {client.sub}
        for _, items in subs.fanout.turn(others, 64):
            client.fresh += items
        if self.now - client.cursor_at >= CURSOR_MS:
            client.cursor_at = self.now
            client.cursor = subs.cursor(client.sub)
            for item in client.fresh:
                if item.line:
                    told = msgspec.json.decode(item.line)
                    client.events.append((told["of"][0], told["of"][1], told["of"][2]))
                elif item.last is None:
                    client.open[item.maker] = item.first
                else:
                    client.open.pop(item.maker, None)
                    client.closed.append((item.maker, item.first, item.last))
            client.fresh.clear()


def measure(lab: Lab) -> dict[str, Any]:
    """Return what the subscribers were told, compared with all events that were made."""
    out: Counter[str] = Counter()
    for client in lab.clients:
        wanted = language.parse(client.text)
        told = Counter(client.events)
        out["repeated"] += sum(count - 1 for count in told.values())
        last: dict[str, Pos] = {}
        for maker, epoch, number in client.events:
            out["disordered"] += (epoch, number) < last.get(maker, (0, 0))
            last[maker] = epoch, number
        spans: dict[str, list[tuple[Pos, Pos]]] = {}
        for maker, first, end in client.closed:
            if first <= end:
                spans.setdefault(maker, []).append((first, end))
                out["gaps_told"] += 1
        for maker, first in client.open.items():
            spans.setdefault(maker, []).append((first, (2**53, 0)))
            out["gaps_told"] += 1
            out["gaps_open"] += 1
        right = set()
        for (maker, epoch), events in lab.made.items():
            for number, (at, event) in enumerate(events, 1):
                if not match(wanted, schema.row(maker, event)):
                    continue
                right.add((maker, epoch, number))
                if client.first_ack is None or at <= client.first_ack or (maker, epoch, number) in told:
                    continue
                hidden = any(first <= (epoch, number) <= end for first, end in spans.get(maker, ()))
                out["lost_told" if hidden else "lost_silently"] += 1
        out["foreign"] += len(told.keys() - right)
        out["told"] += len(client.events)
        out["moves"] += client.moves
        out["never_acknowledged"] += client.first_ack is None
    return {
        "nodes": lab.nodes,
        "seed": lab.seed,
        "seconds": lab.seconds,
        "subscribers": len(lab.clients),
        **{
            key: out[key]
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
        "forwarded_needlessly": lab.needless,
        "forwarded": lab.taken,
        "made": sum(map(len, lab.made.values())),
        "messages": lab.messages,
        "bytes": lab.bytes,
        "counted": dict(sorted(lab.counted.items())),
    }


def play(nodes: int, seed: int, faults: str | None, seconds: float = 20.0, **more: Any) -> Lab:
    """Play one run and return it. `faults`: a script, None for one drawn from the seed; BadScript if it can't be
    read."""
    lab = Lab(nodes, seed, parse(drawn(seed, nodes, seconds) if faults is None else faults, nodes), seconds, **more)
    lab.run()
    return lab


def write(lab: Lab, figures: dict[str, Any], folder: str) -> str:
    """Write a page with a plot of events made and told and of the gaps, and return its path."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    place = Path(folder)
    place.mkdir(parents=True, exist_ok=True)
    made = sorted(at / 1e3 for events in lab.made.values() for at, _ in events)
    figure, (above, below) = pyplot.subplots(2, 1, figsize=(9, 6), sharex=True)
    bins = max(1, int(lab.seconds))
    above.hist(made, bins=bins, histtype="step", label="made")
    above.hist(
        [
            lab.made[maker, epoch][number - 1][0] / 1e3
            for client in lab.clients
            for maker, epoch, number in client.events
        ],
        bins=bins,
        histtype="step",
        label="told, by when made",
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
        for maker, first, last in client.closed:
            times = [
                at / 1e3
                for (name, epoch), events in lab.made.items()
                if name == maker
                for number, (at, _) in enumerate(events, 1)
                if first <= (epoch, number) <= last
            ]
            if times:
                below.plot([times[0], times[-1]], [lab.numbers[maker] + client.number * 0.1] * 2, linewidth=2)
    below.set_ylabel("gaps told, by maker")
    below.set_xlabel("s")
    figure.savefig(place / "subscriptions.svg")
    pyplot.close(figure)
    rows = "".join(f"<tr><td>{key}</td><td>{html.escape(str(value))}</td></tr>" for key, value in figures.items())
    (place / "index.html").write_text(
        "<!doctype html><title>Subscriptions</title><h1>Subscriptions under faults</h1>"
        f"<img src='subscriptions.svg'><table>{rows}</table>\n",
        encoding="utf-8",
    )
    return str(place / "index.html")
