"""Parses fault scripts, and draws from a seed how each message is lost, delayed or duplicated under a script.

The module does no I/O and reads no clock, so that the emulator and the relays play a script in the same way.

    [FROM[-TO]] KIND ARGUMENTS; ...       times in seconds, to the end without TO; nodes are numbers, as in 0-2,7 or *

    loss SHARE [NODES]      lose this fraction of the messages to or from the nodes, or of all messages
    delay LOW-HIGH          delay each message by a uniform random time in milliseconds
    dup SHARE               duplicate this fraction of the messages
    reorder SHARE           delay this fraction of the messages by up to 200 ms more
    cut A|B|...             partition: no messages between these groups; a node in no group reaches all
    oneway A>B              no messages from A to B
    kill NODES, start NODES, stop NODES, cont NODES     SIGKILL, a new process, SIGSTOP, SIGCONT
    clock NODES RATE        the clocks of these nodes run at this rate for the whole run
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from dataclasses import dataclass

MAX_REORDER_MS = 200.0
ACTS = ("kill", "start", "stop", "cont")
SHARES = ("loss", "dup", "reorder")


class InvalidScriptError(ValueError):
    """A script is malformed; the message names the part at fault."""


@dataclass(slots=True, frozen=True)
class Rule:
    """A message fault that is active from `begins` to `ends`, in seconds. `low`, `high`: range of a delay in ms."""

    begins: float
    ends: float
    kind: str
    share: float = 0.0
    low: float = 0.0
    high: float = 0.0
    groups: tuple[frozenset[int], ...] = ()


@dataclass(slots=True, frozen=True)
class Act:
    """An action on a process (`kill`, `start`, `stop` or `cont`) at a time in seconds."""

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
        """Return the time in seconds when the last partition of limited length ends; 0 without one."""
        return max(
            (rule.ends for rule in self.rules if rule.kind in ("cut", "oneway") and rule.ends < math.inf), default=0.0
        )


def parse_nodes(text: str, count: int) -> frozenset[int]:
    """Return the node numbers in a text such as `0-2,7` or `*`.

    Raise ValueError if it names no node, or one that is not below `count`.
    """
    if text == "*":
        return frozenset(range(count))
    numbers: set[int] = set()
    for part in text.split(","):
        low, dash, high = part.partition("-")
        numbers.update(range(int(low), int(high if dash else low) + 1))
    if not numbers or min(numbers) < 0 or max(numbers) >= count:
        raise ValueError(f"no such nodes: {text}")
    return frozenset(numbers)


def parse(text: str, count: int) -> Script:
    """Parse a script for `count` nodes; raise InvalidScriptError for a malformed statement."""
    rules, acts, clocks = [], [], []
    for statement in filter(None, (statement.strip() for statement in text.split(";"))):
        try:
            words = statement.split()
            begins, ends = 0.0, math.inf
            if words[0][0].isdigit():
                first, _, last = words.pop(0).partition("-")
                begins, ends = float(first), float(last) if last else math.inf
            kind, *arguments = words
            if kind in ACTS:
                acts += [Act(begins, kind, node) for node in sorted(parse_nodes(arguments[0], count))]
            elif kind == "clock":
                rate = float(arguments[1])
                if not 0.5 <= rate <= 2.0:
                    raise ValueError("clock rate must be from 0.5 to 2")
                clocks += [(node, rate) for node in sorted(parse_nodes(arguments[0], count))]
            elif kind in SHARES:
                share = float(arguments[0])
                if not 0.0 <= share <= 1.0:
                    raise ValueError("share must be from 0 to 1")
                rules.append(
                    Rule(
                        begins,
                        ends,
                        kind,
                        share,
                        groups=(parse_nodes(arguments[1], count),) if len(arguments) > 1 else (),
                    )
                )
            elif kind == "delay":
                low, high = map(float, arguments[0].split("-"))
                if not 0.0 <= low <= high <= 60_000.0:
                    raise ValueError("delay must be LOW-HIGH in milliseconds, up to 60000")
                rules.append(Rule(begins, ends, kind, low=low, high=high))
            elif kind in ("cut", "oneway"):
                groups = tuple(parse_nodes(group, count) for group in arguments[0].split("|" if kind == "cut" else ">"))
                if len(groups) < 2 or kind == "oneway" and len(groups) != 2:
                    raise ValueError("cut needs at least two groups, oneway exactly two")
                rules.append(Rule(begins, ends, kind, groups=groups))
            else:
                raise ValueError("no such fault")
        except (ValueError, IndexError) as error:
            raise InvalidScriptError(f"{statement!r}: {error}") from None
    return Script(tuple(rules), tuple(sorted(acts, key=lambda act: act.at)), tuple(clocks))


def draw_script(
    rng: random.Random,
    cut: tuple[float, float, float],
    acts: tuple[float, float],
    kills: tuple[int, float],
    stops: tuple[int, float],
) -> tuple[int, float, list[str]]:
    """Draw a script of all faults for 3 to 9 nodes; return the node count, the start of the cut and the statements.

    `cut` holds the earliest and latest start and the maximum length of the cut, `acts` the earliest and latest time of
    a kill or stop, in seconds. `kills` and `stops` each hold an exclusive limit of their number, and the maximum time
    in seconds until the process runs again.
    """
    count = rng.choice((3, 5, 7, 9))
    shuffled = rng.sample(range(count), count)
    half = rng.randrange(1, count)
    statements = [
        f"0- loss {rng.choice((0, 0.05, 0.3))}",
        f"0- dup {rng.choice((0, 0.1, 0.5))}",
        f"0- reorder {rng.choice((0, 0.2, 0.5))}",
        f"0- delay {rng.choice(('0-1', '1-20', '20-200'))}",
        f"clock {shuffled[0]} {rng.choice((1.0, 1.05, 0.95))}",
    ]
    cut_at = rng.uniform(*cut[:2])
    statements.append(
        f"{cut_at:.2f}-{cut_at + rng.uniform(2.0, cut[2]):.2f} cut {','.join(map(str, shuffled[:half]))}|"
        f"{','.join(map(str, shuffled[half:]))}"
    )
    statements.append(f"{cut_at:.2f}-{cut_at + 10:.2f} oneway {shuffled[0]}>{shuffled[1]}")
    for (begin, end), (limit, longest), shortest in ((("kill", "start"), kills, 0.05), (("stop", "cont"), stops, 0.2)):
        for _ in range(rng.randrange(limit)):
            node, begin_at = rng.randrange(count), rng.uniform(*acts)
            statements += [
                f"{begin_at:.2f} {begin} {node}",
                f"{begin_at + rng.uniform(shortest, longest):.2f} {end} {node}",
            ]
    return count, cut_at, statements


class MessageFaults:
    """Draws whether a script's faults lose, delay or duplicate each message. `base_ms`: minimum delay."""

    def __init__(self, script: Script, seed: int, base_ms: float = 0.0) -> None:
        self.script, self.random, self.base_ms = script, random.Random(seed), base_ms
        self.lost = self.passed = 0
        self._edges = sorted({0.0, *(r.begins for r in script.rules), *(r.ends for r in script.rules)})
        self._active: tuple[float, list[Rule]] = (-1.0, [])  # active rules, preceded by the time until which they are

    def _active_rules(self, now: float) -> Collection[Rule]:
        if now >= self._active[0]:
            until = next((edge for edge in self._edges if edge > now), math.inf)
            self._active = (until, [rule for rule in self.script.rules if rule.begins <= now < rule.ends])
        return self._active[1]

    def draw_delays(self, now: float, source: int, target: int) -> list[float]:
        """Return the delay in ms of each copy of a message that arrives; an empty list if the message is lost.

        `now` is in seconds since the start and must not decrease between calls.
        """
        delays = [self.base_ms]
        for rule in self._active[1] if now < self._active[0] else self._active_rules(now):
            if rule.kind == "loss":
                is_affected = not rule.groups or source in rule.groups[0] or target in rule.groups[0]
                lost = is_affected and self.random.random() < rule.share
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
                delays.append(delays[0] + self.random.uniform(0.0, MAX_REORDER_MS))
            elif rule.kind == "reorder" and self.random.random() < rule.share:
                delays[0] += self.random.uniform(0.0, MAX_REORDER_MS)
        self.passed += 1
        return delays
