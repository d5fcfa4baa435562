"""An index of filters, which finds those that match a row without evaluating all of them.

Each filter is stored under conditions that a row must meet for it to match: first under all columns that its
conjunction compares with listed values, then within that under a prefix or a range. A filter without such conditions is
evaluated for each row. All candidates are evaluated exactly, so the index never misses a filter and only saves work.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Hashable, Iterator
from datetime import UTC, datetime, timedelta
from itertools import product

from sortedcontainers import SortedDict

from frostspindle.predicates.algebra import Compare, In, Predicate, Row, Starts, bounded, has_unknown
from frostspindle.predicates.normal import Term, normal
from frostspindle.predicates.values import KINDS, NUMBER, TIME, FilterError, Value

MAX_FILTERS = 200_000
MAX_PLACES = 64  # of one filter
MAX_SHAPES = 64  # sets of columns; filters with further sets are stored under some of their columns or none
MAX_UNSORTED = 8  # filters of a bucket; to evaluate these is cheaper than a further lookup
MAX_PREFIX = 32  # characters of a prefix that are indexed
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_TIME_UNIT = timedelta(microseconds=1)
Key = Hashable
Keys = dict[Key, None]
_Shape = tuple[str, ...]
_Place = tuple[str, str, int, Hashable] | None


class _IntervalCells:
    """Ranges with two bounds, of one column and kind.

    Each is stored in the cell of its lower bound. The cell's size is the least power of two above the range's width, so
    the range extends at most into the next cell.
    """

    __slots__ = ("levels", "table")

    def __init__(self) -> None:
        self.table: dict[tuple[int, int], Keys] = {}
        self.levels: Counter[int] = Counter()  # cells in use by power of two

    def find(self, value: Value) -> Iterator[Keys]:
        position = _to_units(value)
        for level in self.levels:
            cell = position >> level
            for index in (cell, cell - 1):
                if keys := self.table.get((level, index)):
                    yield keys


class _Bucket:
    """The filters under one combination of column values: the first few in a list, the others by prefix or range."""

    __slots__ = ("more", "plain")

    def __init__(self) -> None:
        self.plain: Keys = {}
        # By side, column and kind: sorted bounds (above, below), cells, or prefixes of one length.
        self.more: dict[tuple[str, str, int], SortedDict | _IntervalCells | dict[str, Keys]] = {}

    def find(self, row: Row) -> Iterator[Keys]:
        if self.plain:
            yield self.plain
        for (side, column, kind), table in self.more.items():
            value = row.get(column)
            if side == "prefix":  # its `kind` is the length
                if type(value) is str and (keys := table.get(value[:kind])):
                    yield keys
            elif value is not None and KINDS.get(type(value)) == kind:
                if side == "cell":
                    yield from table.find(value)
                else:
                    ends = table.irange(maximum=value) if side == "above" else table.irange(minimum=value)
                    for end in ends:
                        yield table[end]

    def add(self, key: Key, place: _Place) -> None:
        if place is None or key in self.plain or len(self.plain) < MAX_UNSORTED:
            self.plain[key] = None
            return
        side, column, kind, position = place
        table = self.more.get(place[:3])
        if table is None:
            table = self.more[place[:3]] = {"prefix": dict, "cell": _IntervalCells}.get(side, SortedDict)()
        if side == "cell":
            if position not in table.table:
                table.levels[position[0]] += 1
            table = table.table
        table.setdefault(position, {})[key] = None

    def remove(self, key: Key, place: _Place) -> bool:
        """Remove the key from its place; return whether the bucket is empty."""
        self.plain.pop(key, None)
        stored = self.more.get(place[:3]) if place else None
        if stored is not None:
            position = place[3]
            table = stored.table if type(stored) is _IntervalCells else stored
            if (keys := table.get(position)) is not None and keys.pop(key, 0) is None and not keys:
                del table[position]
                if type(stored) is _IntervalCells:
                    stored.levels[position[0]] -= 1
                    if not stored.levels[position[0]]:
                        del stored.levels[position[0]]
                if not table:
                    del self.more[place[:3]]
        return not (self.plain or self.more)


class FilterIndex:
    """Filters by the caller's keys. `tried` counts the filters that `find` has evaluated."""

    def __init__(self, max_filters: int = MAX_FILTERS):
        self.max_filters = max_filters
        self.tried = 0
        self._filters: dict[Key, tuple[Predicate, list[tuple[_Shape, tuple, _Place]]]] = {}
        self._shapes: dict[_Shape, dict[tuple, _Bucket]] = {}  # by columns, then by their values

    def __len__(self) -> int:
        return len(self._filters)

    def add(self, key: Key, predicate: Predicate) -> None:
        """Add a filter, or replace the one under this key.

        FilterError, without a change, if it is too large, was not fully understood, or the index is full.
        """
        bounded(predicate)
        if has_unknown(predicate):
            raise FilterError("the filter has a part that was not understood")
        if key not in self._filters and len(self._filters) >= self.max_filters:
            raise FilterError(f"more than {self.max_filters} filters")
        self.remove(key)
        places = list(dict.fromkeys(self._places(predicate)))
        for columns, values, place in places:
            self._shapes.setdefault(columns, {}).setdefault(values, _Bucket()).add(key, place)
        self._filters[key] = (predicate, places)

    def remove(self, key: Key) -> bool:
        """Remove a filter; return whether there was one."""
        if key not in self._filters:
            return False
        _, places = self._filters.pop(key)
        for columns, values, place in places:
            table = self._shapes.get(columns, {})
            if values in table and table[values].remove(key, place):  # an earlier place may have emptied it
                del table[values]
                if not table:
                    del self._shapes[columns]
        return True

    def find(self, row: Row) -> list[Key]:
        """Return the keys of all filters that match the row, each once, in no order. `row` is as for `match`."""
        matches, seen = [], set()
        for columns, table in self._shapes.items():
            bucket = table.get(tuple([row.get(column) for column in columns]))
            if bucket is None:
                continue
            for keys in bucket.find(row):
                for key in keys:
                    if key not in seen:
                        seen.add(key)
                        if self._filters[key][0].truth(row) is True:
                            matches.append(key)
        self.tried += len(seen)
        return matches

    def _places(self, predicate: Predicate) -> Iterator[tuple[_Shape, tuple, _Place]]:
        terms = normal(predicate)
        if terms is None:
            yield (), (), None
            return
        for term in terms:
            required = _required_values(term, MAX_PLACES // len(terms))
            columns = self._shape(tuple(sorted(required)))
            place = _choose_place(term)
            for values in product(*[required[column] for column in columns]):
                yield columns, values, place

    def _shape(self, columns: _Shape) -> _Shape:
        """Return the columns, or some of them, so that a row is looked up under at most MAX_SHAPES sets."""
        if columns in self._shapes or len(self._shapes) < MAX_SHAPES:
            return columns
        fewer = [shape for shape in self._shapes if set(shape) < set(columns)]
        return max(fewer, key=len, default=())


def _required_values(term: Term, max_combinations: int) -> dict[str, frozenset[Value]]:
    """Return the values that a term requires, by column, with at most `max_combinations` combinations."""
    required: dict[str, frozenset[Value]] = {}
    combinations = 1
    for atom in sorted(
        (atom for atom in term if type(atom) is In and not atom.negated), key=lambda listed: len(listed.values)
    ):
        if atom.column not in required and combinations * len(atom.values) <= max_combinations:
            combinations *= len(atom.values)
            required[atom.column] = atom.values
    for atom in term:
        if type(atom) is Compare and atom.op == "=":
            required[atom.column] = frozenset((atom.value,))
    return required


def _choose_place(term: Term) -> _Place:
    """Return the place in a bucket: the longest prefix, else a range with two bounds, else one with one bound."""
    prefixes = [atom for atom in term if type(atom) is Starts and not atom.negated and atom.prefix]
    if prefixes:
        longest = max(prefixes, key=lambda atom: len(atom.prefix))
        return "prefix", longest.column, min(len(longest.prefix), MAX_PREFIX), longest.prefix[:MAX_PREFIX]
    bounds: dict[tuple[str, int], list[Value]] = {}
    for atom in term:
        if type(atom) is Compare and atom.op[0] in "<>" and atom.op != "<>":
            low_high = bounds.setdefault((atom.column, atom.kind), [None, None])
            if atom.op[0] == ">":
                low_high[0] = atom.value if low_high[0] is None else max(low_high[0], atom.value)
            else:
                low_high[1] = atom.value if low_high[1] is None else min(low_high[1], atom.value)
    cells = []
    for (column, kind), (low, high) in bounds.items():
        if low is not None and high is not None and kind in (NUMBER, TIME):
            start, end = _to_units(low), _to_units(high)
            level = max(0, end - start).bit_length()
            cells.append((level, column, kind, (level, start >> level)))
    if cells:
        _, column, kind, cell = min(cells)
        return "cell", column, kind, cell
    for (column, kind), (low, high) in bounds.items():
        return ("above", column, kind, low) if low is not None else ("below", column, kind, high)
    return None


def _to_units(value: Value) -> int:
    """Return the value, or the microseconds of a time, rounded down to an integer."""
    return (value - _EPOCH) // _TIME_UNIT if type(value) is datetime else math.floor(value)  # type: ignore
