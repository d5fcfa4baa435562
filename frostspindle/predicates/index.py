"""An index of filters: finds those that match a row without trying all.

Owns the index: each filter is filed under what a row must have for it to match. First under all columns for which its
conjunction names values, then within that under a prefix or a range. A filter that is filed under nothing is tried on
each row. Whatever is found is tried exactly, so that the index only saves work. Must never miss a filter, and never
hold more than its bounds.
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
MAX_SHAPES = 64  # sets of columns; filters of further sets stand under some of their columns or none
MAX_UNSORTED = 8  # filters of a bucket that need no further order: to try them is cheaper
MAX_PREFIX = 32  # characters by which a prefix is found
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_STEP = timedelta(microseconds=1)
Key = Hashable
Keys = dict[Key, None]
_Shape = tuple[str, ...]
_Place = tuple[str, str, int, Hashable] | None


class _Cells:
    """Ranges with two ends of one column and kind: each in the cell of its lower end, of the least power of two above
    its width, so that it reaches into the next cell at most."""

    __slots__ = ("levels", "table")

    def __init__(self) -> None:
        self.table: dict[tuple[int, int], Keys] = {}
        self.levels: Counter[int] = Counter()  # cells in use by power of two

    def find(self, value: Value) -> Iterator[Keys]:
        place = _step(value)
        for level in self.levels:
            cell = place >> level
            for at in (cell, cell - 1):
                if keys := self.table.get((level, at)):
                    yield keys


class _Bucket:
    """The filters under one set of columns' values: the first few as they are, more under their prefix or range."""

    __slots__ = ("more", "plain")

    def __init__(self) -> None:
        self.plain: Keys = {}
        # By what a place says of itself: ends in order (above, below), cells, or prefixes of one length.
        self.more: dict[tuple[str, str, int], SortedDict | _Cells | dict[str, Keys]] = {}

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
        side, column, kind, at = place
        table = self.more.get(place[:3])
        if table is None:
            table = self.more[place[:3]] = {"prefix": dict, "cell": _Cells}.get(side, SortedDict)()
        if side == "cell":
            if at not in table.table:
                table.levels[at[0]] += 1
            table = table.table
        table.setdefault(at, {})[key] = None

    def remove(self, key: Key, place: _Place) -> bool:
        """Takes the key out, wherever it stands; whether the bucket is empty now."""
        self.plain.pop(key, None)
        held = self.more.get(place[:3]) if place else None
        if held is not None:
            at = place[3]
            table = held.table if type(held) is _Cells else held
            if (keys := table.get(at)) is not None and keys.pop(key, 0) is None and not keys:
                del table[at]
                if type(held) is _Cells:
                    held.levels[at[0]] -= 1
                    if not held.levels[at[0]]:
                        del held.levels[at[0]]
                if not table:
                    del self.more[place[:3]]
        return not (self.plain or self.more)


class FilterIndex:
    """Filters by the caller's keys. `tried` counts the filters that `find` has evaluated."""

    def __init__(self, most: int = MAX_FILTERS):
        self.most = most
        self.tried = 0
        self._filters: dict[Key, tuple[Predicate, list[tuple[_Shape, tuple, _Place]]]] = {}
        self._shapes: dict[_Shape, dict[tuple, _Bucket]] = {}  # by columns, then by their values

    def __len__(self) -> int:
        return len(self._filters)

    def add(self, key: Key, predicate: Predicate) -> None:
        """Add a filter, or replace the one under this key.

        FilterError, and no change, if it is too large, was not wholly understood, or the index is full.
        """
        bounded(predicate)
        if has_unknown(predicate):
            raise FilterError("the filter has a part that was not understood")
        if key not in self._filters and len(self._filters) >= self.most:
            raise FilterError(f"more than {self.most} filters")
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
        """Return the keys of all filters that the row matches, each once, in no order. `row` as for `match`."""
        found, seen = [], set()
        for columns, table in self._shapes.items():
            bucket = table.get(tuple([row.get(column) for column in columns]))
            if bucket is None:
                continue
            for keys in bucket.find(row):
                for key in keys:
                    if key not in seen:
                        seen.add(key)
                        if self._filters[key][0].truth(row) is True:
                            found.append(key)
        self.tried += len(seen)
        return found

    def _places(self, predicate: Predicate) -> Iterator[tuple[_Shape, tuple, _Place]]:
        terms = normal(predicate)
        if terms is None:
            yield (), (), None
            return
        for term in terms:
            equal = _equal(term, MAX_PLACES // len(terms))
            columns = self._shape(tuple(sorted(equal)))
            place = _narrowest(term)
            for values in product(*[equal[column] for column in columns]):
                yield columns, values, place

    def _shape(self, columns: _Shape) -> _Shape:
        """The columns, or fewer of them, so that a row is never looked up under more than MAX_SHAPES."""
        if columns in self._shapes or len(self._shapes) < MAX_SHAPES:
            return columns
        fewer = [shape for shape in self._shapes if set(shape) < set(columns)]
        return max(fewer, key=len, default=())


def _equal(term: Term, most: int) -> dict[str, frozenset[Value]]:
    """The values that the term asks for by column, while all their combinations are `most` at most."""
    out: dict[str, frozenset[Value]] = {}
    combinations = 1
    for atom in sorted((atom for atom in term if type(atom) is In and not atom.negated), key=lambda a: len(a.values)):
        if atom.column not in out and combinations * len(atom.values) <= most:
            combinations *= len(atom.values)
            out[atom.column] = atom.values
    for atom in term:
        if type(atom) is Compare and atom.op == "=":
            out[atom.column] = frozenset((atom.value,))
    return out


def _narrowest(term: Term) -> _Place:
    """The place in a bucket: under the longest prefix, else a range with two ends, else one with one end."""
    prefixes = [atom for atom in term if type(atom) is Starts and not atom.negated and atom.prefix]
    if prefixes:
        longest = max(prefixes, key=lambda atom: len(atom.prefix))
        return "prefix", longest.column, min(len(longest.prefix), MAX_PREFIX), longest.prefix[:MAX_PREFIX]
    ends: dict[tuple[str, int], list[Value]] = {}
    for atom in term:
        if type(atom) is Compare and atom.op[0] in "<>" and atom.op != "<>":
            both = ends.setdefault((atom.column, atom.kind), [None, None])
            if atom.op[0] == ">":
                both[0] = atom.value if both[0] is None else max(both[0], atom.value)
            else:
                both[1] = atom.value if both[1] is None else min(both[1], atom.value)
    cells = []
    for (column, kind), (low, high) in ends.items():
        if low is not None and high is not None and kind in (NUMBER, TIME):
            at, end = _step(low), _step(high)
            level = max(0, end - at).bit_length()
            cells.append((level, column, kind, (level, at >> level)))
    if cells:
        _, column, kind, cell = min(cells)
        return "cell", column, kind, cell
    for (column, kind), (low, high) in ends.items():
        return ("above", column, kind, low) if low is not None else ("below", column, kind, high)
    return None


def _step(value: Value) -> int:
    """The whole number (of microseconds, for a time) at or below the value."""
    return (value - _EPOCH) // _STEP if type(value) is datetime else math.floor(value)  # type: ignore
