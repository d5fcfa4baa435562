"""Truth of a predicate over a set of rows: `may_match` on a summary, and `covers` between two predicates.

Computes abstract truth: for each part, which of true, false and neither (null) the rows of the set can give. Parts are
treated as independent of each other, which only adds possibilities. No truth that a row of the set can give is omitted,
so `may_match` errs to yes and `covers` to no.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from frostspindle.predicates.algebra import (
    And,
    Atom,
    Compare,
    Const,
    In,
    IsNull,
    Not,
    Or,
    Predicate,
    Unknown,
    bounded,
    has_unknown,
)
from frostspindle.predicates.normal import Term, normal, push_negations_inward
from frostspindle.predicates.values import NULL, Value, successor

TRUE, FALSE, NEITHER = 1, 2, 4
ANY = TRUE | FALSE | NEITHER


class ColumnView(Protocol):
    """What is known about one column in a set of rows. Bounds are those of the values other than null; None: none."""

    nulls: bool  # some row may have null
    has_values: bool  # some row may have a value
    kind: int  # of all values; NULL if there are several kinds or it is not known
    lo: Value
    lo_open: bool
    hi: Value
    hi_open: bool
    strict: bool  # values of another kind give neither, as in `match`; else an engine may convert them

    def has(self, value: Value) -> bool:
        """Return whether some row may have this value; errs to yes."""


class RowSetSummary(Protocol):
    """The part of a summary of a set of rows that `may_match` needs."""

    rows: int

    def view(self, column: str) -> ColumnView | None:
        """Return what is known about a column; None if nothing is."""


def may_match(predicate: Predicate, summary: RowSetSummary) -> bool:
    """Return whether some row of the summarised set may match; errs only to yes.

    It does for parts that were not understood, for columns that the summary does not have, and for values that an
    engine may convert before it compares them.
    """
    if not summary.rows:
        return has_unknown(predicate)
    return bool(possible_truths(predicate, summary.view) & TRUE)


def covers(wider: Predicate, narrower: Predicate) -> bool:
    """Return whether every row that matches `narrower` matches `wider`, in the sense of `match`; errs only to no.

    It does beyond the bounds of the normal form, if only several parts of `wider` together cover a row, and for parts
    that were not understood. Conversions by engines are not considered. FilterError if either predicate is larger than
    `bounded` allows.
    """
    bounded(wider)
    bounded(narrower)
    terms = normal(narrower)
    if terms is None:
        return False
    wider = push_negations_inward(wider)
    for term in terms:
        ranges = _column_ranges(term)
        if ranges is not None and possible_truths(wider, ranges.get, frozenset(term)) != TRUE:
            return False
    return True


def _negation(mask: int) -> int:
    return mask & NEITHER | (FALSE if mask & TRUE else 0) | (TRUE if mask & FALSE else 0)


def _conjunction(left: int, right: int) -> int:
    """Return the possible truths of a conjunction of two independent parts."""
    possible = NEITHER | TRUE
    return (
        left & right & TRUE
        | (left | right) & FALSE
        | (NEITHER if left & NEITHER and right & possible or right & NEITHER and left & possible else 0)
    )


_AND = tuple(tuple(_conjunction(left, right) for right in range(8)) for left in range(8))
_NEGATION = tuple(_negation(mask) for mask in range(8))


def possible_truths(
    predicate: Predicate, view_of: Callable[[str], ColumnView | None], known: frozenset[Atom | Unknown] = frozenset()
) -> int:
    """Return the truths that rows of the set can give, as a mask of TRUE, FALSE and NEITHER.

    Atoms in `known` are true for each row.
    """
    kind = type(predicate)
    if kind is And:
        mask = TRUE
        for part in predicate.parts:  # type: ignore[union-attr]
            mask = _AND[mask][possible_truths(part, view_of, known)]
            if mask == FALSE:
                break
        return mask
    if kind is Or:
        mask = TRUE  # by De Morgan, of the conjunction of the negated parts
        for part in predicate.parts:  # type: ignore[union-attr]
            mask = _AND[mask][_NEGATION[possible_truths(part, view_of, known)]]
            if mask == FALSE:
                break
        return _NEGATION[mask]
    if kind is Not:
        return _NEGATION[possible_truths(predicate.part, view_of, known)]  # type: ignore[union-attr]
    if kind is Const:
        return TRUE if predicate.value else FALSE  # type: ignore[union-attr]
    if kind is Unknown:
        return ANY
    if known and predicate in known:
        return TRUE
    view = view_of(predicate.column)  # type: ignore[union-attr]
    return ANY if view is None else _atom(predicate, view)  # type: ignore[arg-type]


def _atom(atom: Atom, view: ColumnView) -> int:
    if type(atom) is IsNull:
        mask = (TRUE if view.nulls else 0) | (FALSE if view.has_values else 0)
        return _NEGATION[mask] if atom.negated else mask
    result = NEITHER if view.nulls else 0
    if not view.has_values:
        return result
    if atom.kind == NULL:
        return NEITHER
    if view.kind == NULL:
        return ANY
    if view.kind != atom.kind:
        return result | NEITHER if view.strict else ANY
    if type(atom) is Compare:
        may_be_true, may_be_false = _compare(atom.op, atom.value, view)
    elif type(atom) is In:
        may_be_true = any(_may_contain(value, view) for value in atom.values)
        may_be_false = not (_has_single_value(view) and view.lo in atom.values)
        if may_be_false and atom.null:
            may_be_false, result = False, result | NEITHER
    else:
        may_be_true, may_be_false = _compare_prefix(atom.prefix, view)
    mask = (TRUE if may_be_true else 0) | (FALSE if may_be_false else 0)
    return result | (_NEGATION[mask] if getattr(atom, "negated", False) else mask)


def _may_contain(value: Value, view: ColumnView) -> bool:
    lo, hi = view.lo, view.hi
    return (
        (lo is None or lo < value or lo == value and not view.lo_open)
        and (hi is None or value < hi or hi == value and not view.hi_open)
        and view.has(value)
    )


def _has_single_value(view: ColumnView) -> bool:
    return view.lo is not None and view.lo == view.hi and not view.lo_open and not view.hi_open


def _compare(op: str, value: Value, view: ColumnView) -> tuple[bool, bool]:
    """Return whether a comparison may be true, and whether it may be false, for values within the bounds."""
    lo, hi = view.lo, view.hi
    match op:
        case "=" | "<>":
            may_be_true, may_be_false = _may_contain(value, view), not (_has_single_value(view) and lo == value)
        case "<" | ">=":
            may_be_true, may_be_false = (
                lo is None or lo < value,
                hi is None or hi > value or hi == value and not view.hi_open,
            )
        case _:  # <= and >
            may_be_true, may_be_false = (
                lo is None or lo < value or lo == value and not view.lo_open,
                hi is None or hi > value,
            )
    return (may_be_true, may_be_false) if op in ("=", "<", "<=") else (may_be_false, may_be_true)


def _compare_prefix(prefix: str, view: ColumnView) -> tuple[bool, bool]:
    """Return the same for a prefix, as a range of texts from it up to its successor."""
    lo, hi, end = view.lo, view.hi, successor(prefix)
    may_be_true = (hi is None or hi > prefix or hi == prefix and not view.hi_open) and (
        lo is None or end is None or lo < end
    )
    all_after_start = not prefix or lo is not None and lo >= prefix
    all_before_end = end is None or hi is not None and (hi < end or hi == end and view.hi_open)
    return may_be_true, not (all_after_start and all_before_end)


class _ColumnRange:
    """The values of one column that a conjunction allows: a ColumnView, narrowed atom by atom."""

    strict = True

    def __init__(self) -> None:
        self.nulls = self.has_values = True
        self.kind, self.lo, self.hi, self.lo_open, self.hi_open = NULL, None, None, False, False
        self.values: frozenset[Value] | None = None  # the allowed values; None: any
        self.excluded: set[Value] = set()

    def has(self, value: Value) -> bool:
        return value not in self.excluded and (self.values is None or value in self.values)

    def narrow(self, atom: Atom) -> None:
        if type(atom) is IsNull:
            self.has_values, self.nulls = self.has_values and atom.negated, self.nulls and not atom.negated
            return
        self.nulls = False
        if self.kind not in (NULL, atom.kind):
            self.has_values = False  # no value is of two kinds
            return
        self.kind = atom.kind
        if type(atom) is Compare:
            self._narrow_by_comparison(atom.op, atom.value)
        elif type(atom) is In:
            if atom.negated:
                self.excluded |= atom.values
            else:
                self.values = atom.values if self.values is None else self.values & atom.values
        elif not atom.negated:
            self._narrow_by_comparison(">=", atom.prefix)
            if (end := successor(atom.prefix)) is not None:
                self._narrow_by_comparison("<", end)

    def _narrow_by_comparison(self, op: str, value: Value) -> None:
        if op == "=":
            self.values = frozenset((value,)) if self.values is None else self.values & {value}
        elif op == "<>":
            self.excluded.add(value)
        elif op[0] == ">":
            if self.lo is None or value > self.lo or value == self.lo and op == ">":
                self.lo, self.lo_open = value, op == ">"
        elif self.hi is None or value < self.hi or value == self.hi and op == "<":
            self.hi, self.hi_open = value, op == "<"

    def finish(self) -> bool:
        """Finish narrowing; return whether any row is left."""
        if self.has_values and self.values is not None:
            self.values = frozenset(value for value in self.values if _may_contain(value, self))
            self.has_values = bool(self.values)
            if self.has_values:
                self.lo, self.hi, self.lo_open, self.hi_open = min(self.values), max(self.values), False, False
        elif self.has_values and self.lo is not None and self.hi is not None:
            self.has_values = self.lo < self.hi or _has_single_value(self) and self.has(self.lo)
        return self.has_values or self.nulls


def _column_ranges(term: Term) -> dict[str, _ColumnRange] | None:
    """Return, by column, the values in rows that match the whole term; None if no row does."""
    ranges: dict[str, _ColumnRange] = {}
    for atom in term:
        if type(atom) is not Unknown:  # a part that was not understood excludes nothing
            ranges.setdefault(atom.column, _ColumnRange()).narrow(atom)
    return ranges if all(column_range.finish() for column_range in ranges.values()) else None
