"""Reduces many filters to a few broad ones: conjunctions become boxes, which are joined where that widens least.

A box keeps, by column, the values, the range or the prefix that a conjunction requires; its other conditions are left
out. Each step only drops or widens conditions, so a row that matches a conjunction is always within its box.
The share of events that a box lets through is estimated from the filters alone; a wrong estimate costs bytes on the
wire but loses no event.
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
MAX_UNWIDENED_VALUES = 2  # more may be replaced by a range or a prefix
MAX_MERGE_CANDIDATES = 192  # more boxes are first joined in runs, without estimates
MAX_PAIRWISE_BOXES = 20  # compared pairwise; with more, only neighbours in sort order are
AND_SEPARATOR = " AND "
COVERED_COST = -1.0  # cost of joining a box with one that lies within it
ANSWER_SHARE = 0.9  # estimated share of the events


class Values(NamedTuple):
    """The column has one of these values."""

    values: frozenset[Any]


class Range(NamedTuple):
    """The column lies within these bounds, inclusive; None: unbounded on that side."""

    low: Any
    high: Any


class Prefix(NamedTuple):
    """The column is a text with this prefix."""

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
    """Return a condition that holds wherever both do; if their intersection is no side, the narrower of them."""
    if type(one) is Values and type(other) is Values:
        return Values(one.values & other.values or one.values)
    if type(one) is Range and type(other) is Range:
        return Range(
            one.low if other.low is None else other.low if one.low is None else max(one.low, other.low),
            one.high if other.high is None else other.high if one.high is None else min(one.high, other.high),
        )
    return max(one, other, key=lambda side: (type(side) is Values, type(side) is Prefix))


def box(term: Term) -> Box:
    """Return the box of a conjunction; conditions that no box can express are left out."""
    out: dict[str, Side] = {}
    for atom in term:
        if (side := _side_of(atom)) is not None:
            name = atom.column  # type: ignore[union-attr]
            out[name] = _intersection(out[name], side) if name in out else side
    return frozenset(
        (name, side) for name, side in out.items() if not (type(side) is Values and len(side.values) > MAX_VALUES)
    )


def _widened(side: Values) -> Side | None:
    """Return a prefix (of texts) or a range that contains the values; None: no condition."""
    if all(type(value) is str for value in side.values):
        found = commonprefix(list(side.values))
        return Prefix(found) if found else None
    return Range(min(side.values), max(side.values))


def _union(one: Side, other: Side) -> Side | None:
    """Return a condition that holds wherever one of them does; None if no box can express one."""
    if type(one) is Values and type(other) is Values:
        united = Values(one.values | other.values)
        return united if len(united.values) <= MAX_VALUES else _widened(united)
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
    """Return the smallest box that contains both."""
    right = dict(other)
    sides = ((name, _union(side, right[name])) for name, side in one if name in right)
    return frozenset((name, side) for name, side in sides if side is not None)


def coarser(box_: Box) -> list[Box]:
    """Return variants of the box, each with one list of values widened to a range or prefix, or left out."""
    out = []
    for name, side in box_:
        if type(side) is Values and len(side.values) > MAX_UNWIDENED_VALUES:
            wide = _widened(side)
            out.append(box_ - {(name, side)} | ({(name, wide)} if wide is not None else set()))
    return out


def predicate(box_: Box) -> Predicate:
    """Return the box as a filter."""
    return all_of(
        *[
            _atom(name, side)
            for name, side in sorted(box_, key=lambda condition: (condition[0] != "kind", condition[0]))
        ]
    )


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
    """Estimates the share of events that a box lets through, from the values in the filters."""

    def __init__(self, boxes: Iterable[Box]) -> None:
        texts: dict[str, set[str]] = {}
        numbers: dict[str, set[float]] = {}
        for box_ in boxes:
            for name, side in box_:
                for value in side.values if type(side) is Values else side:  # type: ignore[union-attr]
                    if type(value) is str:
                        texts.setdefault(name, set()).add(value)
                    elif value is not None:
                        numbers.setdefault(name, set()).add(_number(value) or 0.0)
        self.texts = {name: sorted(found) for name, found in texts.items()}
        self.spans = {name: (min(found), max(found), len(found)) for name, found in numbers.items()}
        self._shares: dict[tuple[str, Side], float] = {}
        self._sizes: dict[tuple[str, Side], int] = {}

    def _part(self, name: str, side: Side) -> float:
        if name == "kind" and type(side) is Values:
            return sum(
                ANSWER_SHARE if kind == "answer" else (1.0 - ANSWER_SHARE) / (len(schema.NAMES) - 1)
                for kind in side.values
            )
        if type(side) is Prefix:
            known = self.texts.get(name, [])
            begin = bisect_left(known, side.prefix)
            return max(1, bisect_left(known, side.prefix + "\U0010ffff") - begin) / max(1, len(known))
        low, high, many = self.spans.get(name, (0.0, 0.0, len(self.texts.get(name, ()))))
        if type(side) is Values:
            return min(1.0, len(side.values) / (many + 1))
        if high <= low:
            return 0.5
        begin, end = (_number(bound) for bound in side)
        return max(0.01, ((high if end is None else end) - (low if begin is None else begin)) / (high - low))

    def share(self, box_: Box) -> float:
        out = 1.0
        for one in box_:
            if (side := self._shares.get(one)) is None:
                side = self._shares[one] = min(1.0, self._part(*one))
            out *= side
        return out

    def size(self, box_: Box) -> int:
        """Return the bytes of the box's filter."""
        out = -len(AND_SEPARATOR) if box_ else len("TRUE")
        for one in box_:
            if (side := self._sizes.get(one)) is None:
                side = self._sizes[one] = len(text(_atom(*one)).encode()) + len(AND_SEPARATOR)
            out += side
        return out


def _sort_key(box_: Box, selectivity: _Selectivity) -> Any:
    """Return a key that sorts similar boxes together: by columns, those with few values first, then by their values."""
    named = dict(box_)
    names = sorted(named, key=lambda name: (name != "kind", len(selectivity.texts.get(name, ())) or 10**9, name))
    keys = []
    for name in names:
        side = named[name]
        value = min(side.values) if type(side) is Values else next(v for v in side if v is not None)  # type: ignore
        number = _number(value)
        keys.append((type(side).__name__, number or 0.0, value if number is None else ""))
    return names, keys


def _merge_neighbours(boxes: list[Box], selectivity: _Selectivity, most: int) -> list[Box]:
    """Join neighbours, cheapest first, until `most` are left; with very many, first join runs with the same columns."""
    ordered = sorted((_sort_key(one, selectivity), index, one) for index, one in enumerate(boxes))
    runs: list[Box] = []
    each = -(-len(boxes) // MAX_MERGE_CANDIDATES)
    for _, alike in groupby(ordered, key=lambda one: one[0][0]):
        same = [one for *_, one in alike]
        runs += [reduce(join, same[index : index + each]) for index in range(0, len(same), each)]
    remaining: dict[int, Box] = dict(enumerate(runs))
    after = {index: index + 1 for index in remaining}
    before = {index: index - 1 for index in remaining}
    number, queue = len(remaining) + 1, []  # the number one past the last run is no box

    def offer(one: int, other: int) -> None:
        if one in remaining and other in remaining:
            joined = join(remaining[one], remaining[other])
            share = selectivity.share(joined) - selectivity.share(remaining[one]) - selectivity.share(remaining[other])
            heapq.heappush(queue, (share, one, other, joined))

    for index in range(len(runs)):
        offer(index, index + 1)
    while len(remaining) > most and queue:
        _, one, other, joined = heapq.heappop(queue)
        if one not in remaining or other not in remaining:
            continue
        del remaining[one], remaining[other]
        left, right = before[one], after[other]
        remaining[number], before[number], after[number] = joined, left, right
        after[left], before[right] = number, number
        offer(left, number)
        offer(number, right)
        number += 1
    return list(remaining.values())


def reduce_boxes(boxes: Iterable[Box], most: int, room: int) -> list[Box]:
    """Reduce the boxes to at most `most`, whose filters together have at most `room` bytes.

    Joins first what widens least for the bytes saved. Each of the given boxes lies within one of the result.
    """
    distinct = list(dict.fromkeys(boxes))
    selectivity = _Selectivity(distinct)
    remaining = (
        _merge_neighbours(distinct, selectivity, MAX_PAIRWISE_BOXES) if len(distinct) > MAX_PAIRWISE_BOXES else distinct
    )
    candidates: dict[tuple[Box, ...], tuple[float, Box]] = {}

    def weigh(*members: Box) -> None:
        for joined in [join(*members)] if len(members) == 2 else coarser(members[0]):
            if joined in members:
                candidates[members] = COVERED_COST, joined
            elif (saved := sum(map(selectivity.size, members)) - selectivity.size(joined)) > 0:
                worth = (selectivity.share(joined) - sum(map(selectivity.share, members))) / saved
                if members not in candidates or worth < candidates[members][0]:
                    candidates[members] = worth, joined

    for one in remaining:
        weigh(one)
    for pair in combinations(remaining, 2):
        weigh(*pair)
    while (
        len(remaining) > most
        or sum(map(selectivity.size, remaining)) > room
        or any(candidate[0] == COVERED_COST for candidate in candidates.values())
    ):
        if not candidates:
            return [frozenset()]
        members = min(candidates, key=lambda key: candidates[key][0])
        joined = candidates[members][1]
        candidates = {key: candidate for key, candidate in candidates.items() if not set(key) & {*members, joined}}
        remaining = [one for one in remaining if one not in members and one != joined]
        weigh(joined)
        for other in remaining:
            weigh(other, joined)
        remaining.append(joined)
    return remaining
