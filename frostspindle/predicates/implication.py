"""Truths of a predicate over a whole set of rows: `may_match` on a summary, `covers` between two predicates.

Owns the abstract truth: of each part, which of true, false and neither (null) some row of the set can give. Parts are
taken as independent of each other, which only adds possibilities. Must never leave out a truth that a row of the set
can give: `may_match` errs to yes and `covers` to no.
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
    """What is known of one column in a set of rows. Bounds are of values that are not null; None: no bound."""

    nulls: bool  # some row may have null
    some: bool  # some row may have a value
    kind: int  # of all values; NULL where there are several or nobody knows
    lo: Value
    lo_open: bool
    hi: Value
    hi_open: bool
    strict: bool  # values of another kind give neither, as in `match`; else nobody knows what an engine makes of them

    def has(self, value: Value) -> bool:
        """Tell whether some row may have this value; errs to yes."""


class RowSetSummary(Protocol):
    """What `may_match` needs of a summary of a set of rows."""

    rows: int

    def view(self, column: str) -> ColumnView | None:
        """Return what is known of a column; None if nothing is."""


def may_match(predicate: Predicate, summary: RowSetSummary) -> bool:
    """Tell whether some row of the summarised set may match. Errs only to yes.

    So for what was not understood, for columns that the summary does not have, and for values that an engine might
    convert before it compares them.
    """
    if not summary.rows:
        return has_unknown(predicate)
    return bool(possible_truths(predicate, summary.view) & TRUE)


def covers(wider: Predicate, narrower: Predicate) -> bool:
    """Tell whether every row that matches `narrower` matches `wider`, in the sense of `match`. Errs only to no.

    So beyond the normal form's bounds, where only several parts of `wider` together cover a row, and for parts that
    were not understood. What an engine converts before it compares is not considered. FilterError if either is larger
    than `bounded` takes.
    """
    bounded(wider)
    bounded(narrower)
    terms = normal(narrower)
    if terms is None:
        return False
    wider = push_negations_inward(wider)
    for term in terms:
        spans = _spans(term)
        if spans is not None and possible_truths(wider, spans.get, frozenset(term)) != TRUE:
            return False
    return True


def _swap(mask: int) -> int:
    return mask & NEITHER | (FALSE if mask & TRUE else 0) | (TRUE if mask & FALSE else 0)


def _both(one: int, other: int) -> int:
    """The truths of a conjunction of two parts that may each give theirs, whatever the other gives."""
    possible = NEITHER | TRUE
    return (
        one & other & TRUE
        | (one | other) & FALSE
        | (NEITHER if one & NEITHER and other & possible or other & NEITHER and one & possible else 0)
    )


_AND = tuple(tuple(_both(one, other) for other in range(8)) for one in range(8))
_SWAP = tuple(_swap(mask) for mask in range(8))


def possible_truths(
    predicate: Predicate, view_of: Callable[[str], ColumnView | None], known: frozenset[Atom | Unknown] = frozenset()
) -> int:
    """Return the truths that rows of the set may give, as a mask of TRUE, FALSE and NEITHER.

    Atoms in `known` are true for each row.
    """
    kind = type(predicate)
    if kind is And:
        out = TRUE
        for part in predicate.parts:  # type: ignore[union-attr]
            out = _AND[out][possible_truths(part, view_of, known)]
            if out == FALSE:
                break
        return out
    if kind is Or:
        out = TRUE  # of the negated parts' conjunction
        for part in predicate.parts:  # type: ignore[union-attr]
            out = _AND[out][_SWAP[possible_truths(part, view_of, known)]]
            if out == FALSE:
                break
        return _SWAP[out]
    if kind is Not:
        return _SWAP[possible_truths(predicate.part, view_of, known)]  # type: ignore[union-attr]
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
        mask = (TRUE if view.nulls else 0) | (FALSE if view.some else 0)
        return _SWAP[mask] if atom.negated else mask
    out = NEITHER if view.nulls else 0
    if not view.some:
        return out
    if atom.kind == NULL:
        return NEITHER
    if view.kind == NULL:
        return ANY
    if view.kind != atom.kind:
        return out | NEITHER if view.strict else ANY
    if type(atom) is Compare:
        yes, no = _compared(atom.op, atom.value, view)
    elif type(atom) is In:
        yes = any(_inside(value, view) for value in atom.values)
        no = not (_single(view) and view.lo in atom.values)
        if no and atom.null:
            no, out = False, out | NEITHER
    else:
        yes, no = _started(atom.prefix, view)
    mask = (TRUE if yes else 0) | (FALSE if no else 0)
    return out | (_SWAP[mask] if getattr(atom, "negated", False) else mask)


def _inside(value: Value, view: ColumnView) -> bool:
    lo, hi = view.lo, view.hi
    return (
        (lo is None or lo < value or lo == value and not view.lo_open)
        and (hi is None or value < hi or hi == value and not view.hi_open)
        and view.has(value)
    )


def _single(view: ColumnView) -> bool:
    return view.lo is not None and view.lo == view.hi and not view.lo_open and not view.hi_open


def _compared(op: str, value: Value, view: ColumnView) -> tuple[bool, bool]:
    """Whether the comparison may be true, and whether it may be false, for values within the view's bounds."""
    lo, hi = view.lo, view.hi
    match op:
        case "=" | "<>":
            yes, no = _inside(value, view), not (_single(view) and lo == value)
        case "<" | ">=":
            yes, no = lo is None or lo < value, hi is None or hi > value or hi == value and not view.hi_open
        case _:  # <= and >
            yes, no = lo is None or lo < value or lo == value and not view.lo_open, hi is None or hi > value
    return (yes, no) if op in ("=", "<", "<=") else (no, yes)


def _started(prefix: str, view: ColumnView) -> tuple[bool, bool]:
    """The same for a prefix: the texts from it up to its successor."""
    lo, hi, top = view.lo, view.hi, successor(prefix)
    yes = (hi is None or hi > prefix or hi == prefix and not view.hi_open) and (lo is None or top is None or lo < top)
    after = not prefix or lo is not None and lo >= prefix
    before = top is None or hi is not None and (hi < top or hi == top and view.hi_open)
    return yes, not (after and before)


class _Span:
    """The rows of one column that a conjunction leaves: a View, narrowed atom by atom."""

    strict = True

    def __init__(self) -> None:
        self.nulls = self.some = True
        self.kind, self.lo, self.hi, self.lo_open, self.hi_open = NULL, None, None, False, False
        self.values: frozenset[Value] | None = None  # all that may be; None: any
        self.without: set[Value] = set()

    def has(self, value: Value) -> bool:
        return value not in self.without and (self.values is None or value in self.values)

    def narrow(self, atom: Atom) -> None:
        if type(atom) is IsNull:
            self.some, self.nulls = self.some and atom.negated, self.nulls and not atom.negated
            return
        self.nulls = False
        if self.kind not in (NULL, atom.kind):
            self.some = False  # nothing is of two kinds
            return
        self.kind = atom.kind
        if type(atom) is Compare:
            self._compared(atom.op, atom.value)
        elif type(atom) is In:
            if atom.negated:
                self.without |= atom.values
            else:
                self.values = atom.values if self.values is None else self.values & atom.values
        elif not atom.negated:
            self._compared(">=", atom.prefix)
            if (top := successor(atom.prefix)) is not None:
                self._compared("<", top)

    def _compared(self, op: str, value: Value) -> None:
        if op == "=":
            self.values = frozenset((value,)) if self.values is None else self.values & {value}
        elif op == "<>":
            self.without.add(value)
        elif op[0] == ">":
            if self.lo is None or value > self.lo or value == self.lo and op == ">":
                self.lo, self.lo_open = value, op == ">"
        elif self.hi is None or value < self.hi or value == self.hi and op == "<":
            self.hi, self.hi_open = value, op == "<"

    def close(self) -> bool:
        """Ends the narrowing; whether any row is left."""
        if self.some and self.values is not None:
            self.values = frozenset(value for value in self.values if _inside(value, self))
            self.some = bool(self.values)
            if self.some:
                self.lo, self.hi, self.lo_open, self.hi_open = min(self.values), max(self.values), False, False
        elif self.some and self.lo is not None and self.hi is not None:
            self.some = self.lo < self.hi or _single(self) and self.has(self.lo)
        return self.some or self.nulls


def _spans(term: Term) -> dict[str, _Span] | None:
    """By column what is left of it in rows that match the whole term; None if no row does."""
    spans: dict[str, _Span] = {}
    for atom in term:
        if type(atom) is not Unknown:  # what is not understood narrows nothing
            spans.setdefault(atom.column, _Span()).narrow(atom)
    return spans if all(span.close() for span in spans.values()) else None
