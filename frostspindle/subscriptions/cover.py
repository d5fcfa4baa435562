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
    atom_type = type(atom)
    if atom_type is In and not atom.negated and atom.values:
        return Values(atom.values)
    if atom_type is Starts and not atom.negated and atom.prefix:
        return Prefix(atom.prefix)
    if atom_type is not Compare or atom.op == "<>":
        return None
    if atom.op == "=":
        return Values(frozenset((atom.value,)))
    return Range(None, atom.value) if atom.op in ("<", "<=") else Range(atom.value, None)


def _intersection(first: Side, second: Side) -> Side:
    """Return a condition that holds wherever both do; if their intersection is no side, the narrower of them."""
    if type(first) is Values and type(second) is Values:
        return Values(first.values & second.values or first.values)
    if type(first) is Range and type(second) is Range:
        return Range(
            first.low if second.low is None else second.low if first.low is None else max(first.low, second.low),
            first.high if second.high is None else second.high if first.high is None else min(first.high, second.high),
        )
    return max(first, second, key=lambda side: (type(side) is Values, type(side) is Prefix))


def box(term: Term) -> Box:
    """Return the box of a conjunction; conditions that no box can express are left out."""
    sides: dict[str, Side] = {}
    for atom in term:
        if (side := _side_of(atom)) is not None:
            name = atom.column  # type: ignore[union-attr]
            sides[name] = _intersection(sides[name], side) if name in sides else side
    return frozenset(
        (name, side) for name, side in sides.items() if not (type(side) is Values and len(side.values) > MAX_VALUES)
    )


def _widened(side: Values) -> Side | None:
    """Return a prefix (of texts) or a range that contains the values; None: no condition."""
    if all(type(value) is str for value in side.values):
        common_prefix = commonprefix(list(side.values))
        return Prefix(common_prefix) if common_prefix else None
    return Range(min(side.values), max(side.values))


def _union(first: Side, second: Side) -> Side | None:
    """Return a condition that holds wherever one of them does; None if no box can express one."""
    if type(first) is Values and type(second) is Values:
        united = Values(first.values | second.values)
        return united if len(united.values) <= MAX_VALUES else _widened(united)
    first, second = (_widened(side) if type(side) is Values else side for side in (first, second))  # type: ignore[assignment]
    if type(first) is Prefix and type(second) is Prefix:
        common_prefix = commonprefix([first.prefix, second.prefix])
        return Prefix(common_prefix) if common_prefix else None
    if type(first) is Range and type(second) is Range:
        low = None if first.low is None or second.low is None else min(first.low, second.low)
        high = None if first.high is None or second.high is None else max(first.high, second.high)
        return Range(low, high) if low is not None or high is not None else None
    return None


def join(first: Box, second: Box) -> Box:
    """Return the smallest box that contains both."""
    second_sides = dict(second)
    sides = ((name, _union(side, second_sides[name])) for name, side in first if name in second_sides)
    return frozenset((name, side) for name, side in sides if side is not None)


def coarser(box_: Box) -> list[Box]:
    """Return variants of the box, each with one list of values widened to a range or prefix, or left out."""
    variants = []
    for name, side in box_:
        if type(side) is Values and len(side.values) > MAX_UNWIDENED_VALUES:
            wider_side = _widened(side)
            variants.append(box_ - {(name, side)} | ({(name, wider_side)} if wider_side is not None else set()))
    return variants


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
        self.texts = {name: sorted(known) for name, known in texts.items()}
        self.spans = {name: (min(known), max(known), len(known)) for name, known in numbers.items()}
        self._shares: dict[tuple[str, Side], float] = {}
        self._sizes: dict[tuple[str, Side], int] = {}

    def _condition_share(self, name: str, side: Side) -> float:
        if name == "kind" and type(side) is Values:
            return sum(
                ANSWER_SHARE if kind == "answer" else (1.0 - ANSWER_SHARE) / (len(schema.NAMES) - 1)
                for kind in side.values
            )
        if type(side) is Prefix:
            sorted_texts = self.texts.get(name, [])
            begin = bisect_left(sorted_texts, side.prefix)
            return max(1, bisect_left(sorted_texts, side.prefix + "\U0010ffff") - begin) / max(1, len(sorted_texts))
        low, high, value_count = self.spans.get(name, (0.0, 0.0, len(self.texts.get(name, ()))))
        if type(side) is Values:
            return min(1.0, len(side.values) / (value_count + 1))
        if high <= low:
            return 0.5
        begin, end = (_number(bound) for bound in side)
        return max(0.01, ((high if end is None else end) - (low if begin is None else begin)) / (high - low))

    def share(self, box_: Box) -> float:
        share = 1.0
        for condition in box_:
            if (condition_share := self._shares.get(condition)) is None:
                condition_share = self._shares[condition] = min(1.0, self._condition_share(*condition))
            share *= condition_share
        return share

    def size(self, box_: Box) -> int:
        """Return the bytes of the box's filter."""
        size = -len(AND_SEPARATOR) if box_ else len("TRUE")
        for condition in box_:
            if (condition_size := self._sizes.get(condition)) is None:
                condition_size = self._sizes[condition] = len(text(_atom(*condition)).encode()) + len(AND_SEPARATOR)
            size += condition_size
        return size


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


def _merge_neighbours(boxes: list[Box], selectivity: _Selectivity, max_boxes: int) -> list[Box]:
    """Join neighbours, cheapest first, until `max_boxes` are left; many are first joined in runs of equal columns."""
    ordered = sorted((_sort_key(box_, selectivity), index, box_) for index, box_ in enumerate(boxes))
    runs: list[Box] = []
    run_length = -(-len(boxes) // MAX_MERGE_CANDIDATES)
    for _, run in groupby(ordered, key=lambda entry: entry[0][0]):
        run_boxes = [box_ for *_, box_ in run]
        runs += [reduce(join, run_boxes[index : index + run_length]) for index in range(0, len(run_boxes), run_length)]
    remaining: dict[int, Box] = dict(enumerate(runs))
    after = {index: index + 1 for index in remaining}
    before = {index: index - 1 for index in remaining}
    new_index, queue = len(remaining) + 1, []  # the index after the last run stays unused

    def offer(first: int, second: int) -> None:
        if first in remaining and second in remaining:
            joined = join(remaining[first], remaining[second])
            share = (
                selectivity.share(joined) - selectivity.share(remaining[first]) - selectivity.share(remaining[second])
            )
            heapq.heappush(queue, (share, first, second, joined))

    for index in range(len(runs)):
        offer(index, index + 1)
    while len(remaining) > max_boxes and queue:
        _, first, second, joined = heapq.heappop(queue)
        if first not in remaining or second not in remaining:
            continue
        del remaining[first], remaining[second]
        left, right = before[first], after[second]
        remaining[new_index], before[new_index], after[new_index] = joined, left, right
        after[left], before[right] = new_index, new_index
        offer(left, new_index)
        offer(new_index, right)
        new_index += 1
    return list(remaining.values())


def reduce_boxes(boxes: Iterable[Box], max_boxes: int, max_bytes: int) -> list[Box]:
    """Reduce the boxes to at most `max_boxes`, whose filters together have at most `max_bytes` bytes.

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
                cost = (selectivity.share(joined) - sum(map(selectivity.share, members))) / saved
                if members not in candidates or cost < candidates[members][0]:
                    candidates[members] = cost, joined

    for box_ in remaining:
        weigh(box_)
    for pair in combinations(remaining, 2):
        weigh(*pair)
    while (
        len(remaining) > max_boxes
        or sum(map(selectivity.size, remaining)) > max_bytes
        or any(candidate[0] == COVERED_COST for candidate in candidates.values())
    ):
        if not candidates:
            return [frozenset()]
        members = min(candidates, key=lambda key: candidates[key][0])
        joined = candidates[members][1]
        candidates = {key: candidate for key, candidate in candidates.items() if not set(key) & {*members, joined}}
        remaining = [box_ for box_ in remaining if box_ not in members and box_ != joined]
        weigh(joined)
        for other in remaining:
            weigh(other, joined)
        remaining.append(joined)
    return remaining
