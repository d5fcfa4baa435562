"""A few broad filters in place of many: each conjunction as a box, and boxes joined where that widens least.

Owns what a box keeps of a conjunction (by column the values, the range or the prefix that it asks for; whatever else it
asks for is left out), what two have in common, and how many are brought down to few in bounded bytes. It must never
make a box that a row of one of its conjunctions is outside of: each step only leaves out or widens. What share of the
events a box lets through is guessed from the filters alone, so that a wrong guess costs bytes on the wire, no event.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections.abc import Iterable
from datetime import datetime
from functools import reduce
from itertools import combinations, groupby
from os.path import commonprefix
from typing import Any, NamedTuple

from frostspindle.predicates import all_of, between, compare, one_of, starts
from frostspindle.predicates.algebra import Compare, In, Predicate, Starts
from frostspindle.predicates.language import text
from frostspindle.predicates.normal import Term
from frostspindle.predicates.values import Value
from frostspindle.subscriptions import schema

MAX_VALUES = 64  # of a column in one box
MAX_UNWIDENED_VALUES = 2  # a box with more of them may get a range or a prefix in their place
MAX_MERGE_CANDIDATES = 192  # boxes whose neighbours are weighed; of more, runs are joined unweighed
MAX_PAIRWISE_BOXES = 20  # boxes that are all tried with each other; before, only neighbours in their order are
AND_SEPARATOR = " AND "
COVERED_COST = -1.0  # worth of joining a box with one that lies within it
ANSWER_SHARE = 0.9  # of the events, as a guess


class Values(NamedTuple):
    """The column has one of these values."""

    values: frozenset[Any]


class Range(NamedTuple):
    """The column lies within, bounds included; None: no bound on that side."""

    low: Any
    high: Any


class Prefix(NamedTuple):
    """The column is a text that begins with this."""

    prefix: str


Side = Values | Range | Prefix
Box = frozenset[tuple[str, Side]]


def _side_of(atom: Any) -> Side | None:
    kind = type(atom)
    if kind is In and not atom.negated and atom.values:
        return Values(atom.values)
    if kind is Starts and not atom.negated and atom.prefix:
        return Prefix(atom.prefix)
    if kind is not Compare or atom.op == "<>":
        return None
    if atom.op == "=":
        return Values(frozenset((atom.value,)))
    return Range(None, atom.value) if atom.op in ("<", "<=") else Range(atom.value, None)


def _intersection(one: Side, other: Side) -> Side:
    """Something that holds where both do: the narrower of them, as a rule."""
    if type(one) is Values and type(other) is Values:
        return Values(one.values & other.values or one.values)
    if type(one) is Range and type(other) is Range:
        return Range(
            one.low if other.low is None else other.low if one.low is None else max(one.low, other.low),
            one.high if other.high is None else other.high if one.high is None else min(one.high, other.high),
        )
    return max(one, other, key=lambda side: (type(side) is Values, type(side) is Prefix))


def box(term: Term) -> Box:
    """Return the box of a conjunction: by column what it asks for; conditions that no box can express are left out."""
    out: dict[str, Side] = {}
    for atom in term:
        if (side := _side_of(atom)) is not None:
            name = atom.column  # type: ignore[union-attr]
            out[name] = _intersection(out[name], side) if name in out else side
    return frozenset(
        (name, side) for name, side in out.items() if not (type(side) is Values and len(side.values) > MAX_VALUES)
    )


def _widened(side: Values) -> Side | None:
    """In place of values a prefix of texts, or a range; None: anything."""
    if all(type(value) is str for value in side.values):
        found = commonprefix(list(side.values))
        return Prefix(found) if found else None
    return Range(min(side.values), max(side.values))


def _union(one: Side, other: Side) -> Side | None:
    """What holds wherever one of them does; None: nothing that a box can say."""
    if type(one) is Values and type(other) is Values:
        held = Values(one.values | other.values)
        return held if len(held.values) <= MAX_VALUES else _widened(held)
    one, other = (_widened(side) if type(side) is Values else side for side in (one, other))  # type: ignore[assignment]
    if type(one) is Prefix and type(other) is Prefix:
        found = commonprefix([one.prefix, other.prefix])
        return Prefix(found) if found else None
    if type(one) is Range and type(other) is Range:
        low = None if one.low is None or other.low is None else min(one.low, other.low)
        high = None if one.high is None or other.high is None else max(one.high, other.high)
        return Range(low, high) if low is not None or high is not None else None
    return None


def join(one: Box, other: Box) -> Box:
    """Return the smallest box that holds both."""
    right = dict(other)
    sides = ((name, _union(side, right[name])) for name, side in one if name in right)
    return frozenset((name, side) for name, side in sides if side is not None)


def coarser(held: Box) -> list[Box]:
    """Return variants of the box, each with one longer list of values widened to a range or prefix, or left out."""
    out = []
    for name, side in held:
        if type(side) is Values and len(side.values) > MAX_UNWIDENED_VALUES:
            wide = _widened(side)
            out.append(held - {(name, side)} | ({(name, wide)} if wide is not None else set()))
    return out


def predicate(held: Box) -> Predicate:
    """Return the box as a filter."""
    return all_of(*[_atom(name, side) for name, side in sorted(held, key=lambda one: (one[0] != "kind", one[0]))])


def _atom(name: str, side: Side) -> Predicate:
    if type(side) is Values:
        values = sorted(side.values)
        return compare(name, "=", values[0]) if len(values) == 1 else one_of(name, values)
    if type(side) is Prefix:
        return starts(name, side.prefix)
    if side.low is not None and side.high is not None:  # type: ignore[union-attr]
        return between(name, side.low, side.high)  # type: ignore[union-attr]
    return compare(name, ">=", side.low) if side.high is None else compare(name, "<=", side.high)  # type: ignore[union-attr]


def _number(value: Value) -> float | None:
    if type(value) is datetime:
        return value.timestamp()
    return None if type(value) is str or value is None else float(value)  # type: ignore[arg-type]


class _Selectivity:
    """What share of events a box lets through, by what the filters name."""

    def __init__(self, boxes: Iterable[Box]) -> None:
        texts: dict[str, set[str]] = {}
        numbers: dict[str, set[float]] = {}
        for held in boxes:
            for name, side in held:
                for value in side.values if type(side) is Values else side:  # type: ignore[union-attr]
                    if type(value) is str:
                        texts.setdefault(name, set()).add(value)
                    elif value is not None:
                        numbers.setdefault(name, set()).add(_number(value) or 0.0)
        self.texts = {name: sorted(held) for name, held in texts.items()}
        self.spans = {name: (min(held), max(held), len(held)) for name, held in numbers.items()}
        self._shares: dict[tuple[str, Side], float] = {}
        self._sizes: dict[tuple[str, Side], int] = {}

    def _part(self, name: str, side: Side) -> float:
        if name == "kind" and type(side) is Values:
            return sum(
                ANSWER_SHARE if kind == "answer" else (1.0 - ANSWER_SHARE) / (len(schema.NAMES) - 1)
                for kind in side.values
            )
        if type(side) is Prefix:
            held = self.texts.get(name, [])
            begin = bisect_left(held, side.prefix)
            return max(1, bisect_left(held, side.prefix + "\U0010ffff") - begin) / max(1, len(held))
        low, high, many = self.spans.get(name, (0.0, 0.0, len(self.texts.get(name, ()))))
        if type(side) is Values:
            return min(1.0, len(side.values) / (many + 1))
        if high <= low:
            return 0.5
        begin, end = (_number(bound) for bound in side)
        return max(0.01, ((high if end is None else end) - (low if begin is None else begin)) / (high - low))

    def share(self, held: Box) -> float:
        out = 1.0
        for one in held:
            if (side := self._shares.get(one)) is None:
                side = self._shares[one] = min(1.0, self._part(*one))
            out *= side
        return out

    def size(self, held: Box) -> int:
        """Bytes of the filter."""
        out = -len(AND_SEPARATOR) if held else len("TRUE")
        for one in held:
            if (side := self._sizes.get(one)) is None:
                side = self._sizes[one] = len(text(_atom(*one)).encode()) + len(AND_SEPARATOR)
            out += side
        return out


def _sort_key(held: Box, guess: _Selectivity) -> Any:
    """Alike beside alike: by the columns, and by these in order, those with few values first."""
    named = dict(held)
    names = sorted(named, key=lambda name: (name != "kind", len(guess.texts.get(name, ())) or 10**9, name))
    keys = []
    for name in names:
        side = named[name]
        value = min(side.values) if type(side) is Values else next(v for v in side if v is not None)  # type: ignore
        number = _number(value)
        keys.append((type(side).__name__, number or 0.0, value if number is None else ""))
    return names, keys


def _merge_neighbours(boxes: list[Box], guess: _Selectivity, most: int) -> list[Box]:
    """Neighbours joined, cheapest first, until there are so few; of very many, those of the same columns in runs."""
    ordered = sorted((_sort_key(one, guess), place, one) for place, one in enumerate(boxes))
    runs: list[Box] = []
    each = -(-len(boxes) // MAX_MERGE_CANDIDATES)
    for _, alike in groupby(ordered, key=lambda one: one[0][0]):
        same = [one for *_, one in alike]
        runs += [reduce(join, same[place : place + each]) for place in range(0, len(same), each)]
    held: dict[int, Box] = dict(enumerate(runs))
    after = {place: place + 1 for place in held}
    before = {place: place - 1 for place in held}
    number, queue = len(held) + 1, []  # one past the last is no box

    def offer(one: int, other: int) -> None:
        if one in held and other in held:
            joined = join(held[one], held[other])
            share = guess.share(joined) - guess.share(held[one]) - guess.share(held[other])
            heapq.heappush(queue, (share, one, other, joined))

    for place in range(len(runs)):
        offer(place, place + 1)
    while len(held) > most and queue:
        _, one, other, joined = heapq.heappop(queue)
        if one not in held or other not in held:
            continue
        del held[one], held[other]
        left, right = before[one], after[other]
        held[number], before[number], after[number] = joined, left, right
        after[left], before[right] = number, number
        offer(left, number)
        offer(number, right)
        number += 1
    return list(held.values())


def reduce_boxes(boxes: Iterable[Box], most: int, room: int) -> list[Box]:
    """Reduce the boxes to `most` at most, whose filters have `room` bytes together at most.

    What widens least for the bytes that it saves is joined first. Each of the given boxes lies within one of the
    result.
    """
    distinct = list(dict.fromkeys(boxes))
    guess = _Selectivity(distinct)
    held = _merge_neighbours(distinct, guess, MAX_PAIRWISE_BOXES) if len(distinct) > MAX_PAIRWISE_BOXES else distinct
    ways: dict[tuple[Box, ...], tuple[float, Box]] = {}

    def weigh(*of: Box) -> None:
        for joined in [join(*of)] if len(of) == 2 else coarser(of[0]):
            if joined in of:
                ways[of] = COVERED_COST, joined
            elif (saved := sum(map(guess.size, of)) - guess.size(joined)) > 0:
                worth = (guess.share(joined) - sum(map(guess.share, of))) / saved
                if of not in ways or worth < ways[of][0]:
                    ways[of] = worth, joined

    for one in held:
        weigh(one)
    for pair in combinations(held, 2):
        weigh(*pair)
    while len(held) > most or sum(map(guess.size, held)) > room or any(way[0] == COVERED_COST for way in ways.values()):
        if not ways:
            return [frozenset()]
        of = min(ways, key=lambda key: ways[key][0])
        joined = ways[of][1]
        ways = {key: way for key, way in ways.items() if not set(key) & {*of, joined}}
        held = [one for one in held if one not in of and one != joined]
        weigh(joined)
        for other in held:
            weigh(other, joined)
        held.append(joined)
    return held
