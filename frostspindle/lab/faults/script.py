"""A script of faults: which happen when, to whom, drawn from one seed.

Owns the text form of a script and the fate of each message under it. It must never send, sleep or read a clock, so that
the emulator and the relay play the same script alike.

    [FROM[-TO]] KIND ARGUMENTS; ...       times in seconds; without TO it lasts; nodes are numbers, as in 0-2,7 or *

    loss SHARE [NODES]      messages to or from the nodes are lost with this share
    delay LOW-HIGH          each message takes so many milliseconds, drawn evenly
    dup SHARE               so many come twice
    reorder SHARE           so many come up to 200 ms later than they would
    cut A|B|...             groups that hear nothing of each other; who is in none hears all
    oneway A>B              nothing that A sends reaches B
    kill NODES, start NODES, stop NODES, cont NODES     SIGKILL, a new process, SIGSTOP, SIGCONT
    clock NODES RATE        these clocks run so much faster (at the start only)
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from dataclasses import dataclass

LATE_MS = 200.0
ACTS = ("kill", "start", "stop", "cont")
SHARES = ("loss", "dup", "reorder")


class InvalidScriptError(ValueError):
    """A script that can't be read; the text names the part at fault."""


@dataclass(slots=True, frozen=True)
class Rule:
    """A fault of messages that holds from `begins` to `ends`, in seconds. `low`, `high`: of a delay, ms."""

    begins: float
    ends: float
    kind: str
    share: float = 0.0
    low: float = 0.0
    high: float = 0.0
    groups: tuple[frozenset[int], ...] = ()


@dataclass(slots=True, frozen=True)
class Act:
    """What is done to a process (`kill`, `start`, `stop`, `cont`) at a time in seconds."""

    at: float
    kind: str
    node: int


@dataclass(slots=True, frozen=True)
class Script:
    """All faults of a run."""

    rules: tuple[Rule, ...] = ()
    acts: tuple[Act, ...] = ()
    clocks: tuple[tuple[int, float], ...] = ()

    @property
    def healed_at(self) -> float:
        """Time in seconds when the last cut that ends does so; 0 without one."""
        return max(
            (rule.ends for rule in self.rules if rule.kind in ("cut", "oneway") and rule.ends < math.inf), default=0.0
        )


def parse_nodes(text: str, count: int) -> frozenset[int]:
    """Return the numbers of nodes in a text as `0-2,7` or `*`; ValueError if it names none, or one that is not below
    `count`."""
    if text == "*":
        return frozenset(range(count))
    out: set[int] = set()
    for part in text.split(","):
        low, mark, high = part.partition("-")
        out.update(range(int(low), int(high if mark else low) + 1))
    if not out or min(out) < 0 or max(out) >= count:
        raise ValueError(f"no such nodes: {text}")
    return frozenset(out)


def parse(text: str, count: int) -> Script:
    """A script for so many nodes; BadScript names the part that can't be read."""
    rules, acts, clocks = [], [], []
    for part in filter(None, (part.strip() for part in text.split(";"))):
        try:
            words = part.split()
            begins, ends = 0.0, math.inf
            if words[0][0].isdigit():
                first, _, last = words.pop(0).partition("-")
                begins, ends = float(first), float(last) if last else math.inf
            kind, *rest = words
            if kind in ACTS:
                acts += [Act(begins, kind, node) for node in sorted(parse_nodes(rest[0], count))]
            elif kind == "clock":
                rate = float(rest[1])
                if not 0.5 <= rate <= 2.0:
                    raise ValueError("a rate from 0.5 to 2")
                clocks += [(node, rate) for node in sorted(parse_nodes(rest[0], count))]
            elif kind in SHARES:
                share = float(rest[0])
                if not 0.0 <= share <= 1.0:
                    raise ValueError("a share from 0 to 1")
                rules.append(
                    Rule(begins, ends, kind, share, groups=(parse_nodes(rest[1], count),) if len(rest) > 1 else ())
                )
            elif kind == "delay":
                low, high = map(float, rest[0].split("-"))
                if not 0.0 <= low <= high <= 60_000.0:
                    raise ValueError("milliseconds, LOW-HIGH")
                rules.append(Rule(begins, ends, kind, low=low, high=high))
            elif kind in ("cut", "oneway"):
                groups = tuple(parse_nodes(group, count) for group in rest[0].split("|" if kind == "cut" else ">"))
                if len(groups) < 2 or kind == "oneway" and len(groups) != 2:
                    raise ValueError("groups")
                rules.append(Rule(begins, ends, kind, groups=groups))
            else:
                raise ValueError("no such fault")
        except (ValueError, IndexError) as error:
            raise InvalidScriptError(f"{part!r}: {error}") from None
    return Script(tuple(rules), tuple(sorted(acts, key=lambda act: act.at)), tuple(clocks))


def draw_script(
    draw: random.Random,
    cut: tuple[float, float, float],
    acts: tuple[float, float],
    kills: tuple[int, float],
    stops: tuple[int, float],
) -> tuple[int, float, list[str]]:
    """A mixed script for 3 to 9 nodes: how many there are, when the cut begins, and the parts of its text.

    `cut`: earliest and latest begin and longest time, s; `acts`: when processes are killed or stopped; `kills`,
    `stops`: fewer than so many, and the longest until the process is back.
    """
    count = draw.choice((3, 5, 7, 9))
    some = draw.sample(range(count), count)
    half = draw.randrange(1, count)
    parts = [
        f"0- loss {draw.choice((0, 0.05, 0.3))}",
        f"0- dup {draw.choice((0, 0.1, 0.5))}",
        f"0- reorder {draw.choice((0, 0.2, 0.5))}",
        f"0- delay {draw.choice(('0-1', '1-20', '20-200'))}",
        f"clock {some[0]} {draw.choice((1.0, 1.05, 0.95))}",
    ]
    at = draw.uniform(*cut[:2])
    parts.append(
        f"{at:.2f}-{at + draw.uniform(2.0, cut[2]):.2f} cut {','.join(map(str, some[:half]))}|"
        f"{','.join(map(str, some[half:]))}"
    )
    parts.append(f"{at:.2f}-{at + 10:.2f} oneway {some[0]}>{some[1]}")
    for (begin, end), (many, longest), least in ((("kill", "start"), kills, 0.05), (("stop", "cont"), stops, 0.2)):
        for _ in range(draw.randrange(many)):
            node, when = draw.randrange(count), draw.uniform(*acts)
            parts += [f"{when:.2f} {begin} {node}", f"{when + draw.uniform(least, longest):.2f} {end} {node}"]
    return count, at, parts


class MessageFaults:
    """Decides the fate of each message under a script: lost, delayed or repeated. `base_ms`: the least delay."""

    def __init__(self, script: Script, seed: int, base_ms: float = 0.0) -> None:
        self.script, self.random, self.base_ms = script, random.Random(seed), base_ms
        self.lost = self.passed = 0
        self._edges = sorted({0.0, *(r.begins for r in script.rules), *(r.ends for r in script.rules)})
        self._now: tuple[float, list[Rule]] = (-1.0, [])  # until when, the rules that hold

    def _holding(self, now: float) -> Collection[Rule]:
        if now >= self._now[0]:
            until = next((edge for edge in self._edges if edge > now), math.inf)
            self._now = (until, [rule for rule in self.script.rules if rule.begins <= now < rule.ends])
        return self._now[1]

    def fate(self, now: float, source: int, target: int) -> list[float]:
        """Return the delay in ms of each copy of a message that arrives, an empty list if it is lost. `now`: seconds
        since the start, which must never go back."""
        delays = [self.base_ms]
        for rule in self._now[1] if now < self._now[0] else self._holding(now):
            if rule.kind == "loss":
                among = not rule.groups or source in rule.groups[0] or target in rule.groups[0]
                lost = among and self.random.random() < rule.share
            elif rule.kind == "cut":
                sides = [
                    next((n for n, group in enumerate(rule.groups) if node in group), -1) for node in (source, target)
                ]
                lost = sides[0] != sides[1] and -1 not in sides
            else:
                lost = rule.kind == "oneway" and source in rule.groups[0] and target in rule.groups[1]
            if lost:
                self.lost += 1
                return []
            if rule.kind == "delay":
                delays = [delay + self.random.uniform(rule.low, rule.high) for delay in delays]
            elif rule.kind == "dup" and self.random.random() < rule.share:
                delays.append(delays[0] + self.random.uniform(0.0, LATE_MS))
            elif rule.kind == "reorder" and self.random.random() < rule.share:
                delays[0] += self.random.uniform(0.0, LATE_MS)
        self.passed += 1
        return delays
