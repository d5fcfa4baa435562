"""Predicates on rows, and whether a row matches one.

The tree of a predicate and SQL's three-valued logic on it: a comparison with null, or between values of two kinds, is
neither true nor false (None), and only what is true matches. The constructor functions fold column names and check that
values are typed and bounded.
"""

from __future__ import annotations

import operator
from collections.abc import Iterable, Iterator, Mapping

from msgspec import Struct

from frostspindle.predicates.values import (
    KIND_NAMES,
    KINDS,
    MAX_TEXT,
    NULL,
    TEXT,
    FilterError,
    Value,
    fold_column,
    literal,
)

MAX_DEPTH = 32  # of the tree
MAX_NODES = 1_000
MAX_VALUES = 1_000  # of one IN
OPERATORS = {
    "=": operator.eq,
    "<>": operator.ne,
    "<": operator.lt,
    "<=": operator.le,
    ">": operator.gt,
    ">=": operator.ge,
}
NEGATED_OPERATORS = {"=": "<>", "<>": "=", "<": ">=", "<=": ">", ">": "<=", ">=": "<"}
Row = Mapping[str, Value]


class Const(Struct, frozen=True):
    """Always true or always false."""

    value: bool

    def truth(self, row: Row) -> bool | None:
        """Return the constant; the row is not read."""
        return self.value


class Unknown(Struct, frozen=True):
    """A part of a statement that could not be read: its truth is not known for any row."""

    def truth(self, row: Row) -> bool | None:
        """Raise ValueError, as the truth is not known."""
        raise ValueError("the predicate has a part that was not understood")


class Compare(Struct, frozen=True):
    """`column op value`."""

    column: str
    op: str
    value: Value
    kind: int

    def truth(self, row: Row) -> bool | None:
        """Compare the row's value; None if it is null, missing or of another kind."""
        value = row.get(self.column)
        if KINDS.get(type(value)) != self.kind or value is None:
            return None
        return OPERATORS[self.op](value, self.value)


class In(Struct, frozen=True):
    """`column [NOT] IN (values)`; `null`: the list contains null too."""

    column: str
    values: frozenset[Value]
    kind: int
    null: bool = False
    negated: bool = False

    def truth(self, row: Row) -> bool | None:
        """Return whether the row's value is listed (or not, if `negated`).

        None if it is null, missing, of another kind, or not listed while null is.
        """
        value = row.get(self.column)
        if KINDS.get(type(value)) != self.kind or value is None:
            return None
        if value in self.values:
            return not self.negated
        return None if self.null else self.negated


class Starts(Struct, frozen=True):
    """`column [NOT] STARTS WITH prefix`, compared by code point (case matters)."""

    column: str
    prefix: str
    negated: bool = False
    kind: int = TEXT

    def truth(self, row: Row) -> bool | None:
        """Return whether the row's text begins with the prefix (or not, if `negated`).

        None if the value is not a text.
        """
        value = row.get(self.column)
        return value.startswith(self.prefix) is not self.negated if type(value) is str else None


class IsNull(Struct, frozen=True):
    """`column IS [NOT] NULL`."""

    column: str
    negated: bool = False

    def truth(self, row: Row) -> bool | None:
        """Return whether the row's value is null or missing (or neither, if `negated`); never None."""
        return (row.get(self.column) is None) is not self.negated


class And(Struct, frozen=True):
    """Conjunction of `parts` in three-valued logic."""

    parts: tuple[Predicate, ...]

    def truth(self, row: Row) -> bool | None:
        """Return False if any part is false, else None if any is None, else True.

        Stops at the first false part, so an Unknown after it does not raise.
        """
        result: bool | None = True
        for part in self.parts:
            truth = part.truth(row)
            if truth is False:
                return False
            if truth is None:
                result = None
        return result


class Or(Struct, frozen=True):
    """Disjunction of `parts` in three-valued logic."""

    parts: tuple[Predicate, ...]

    def truth(self, row: Row) -> bool | None:
        """Return True if any part is true, else None if any is None, else False.

        Stops at the first true part, so an Unknown after it does not raise.
        """
        result: bool | None = False
        for part in self.parts:
            truth = part.truth(row)
            if truth is True:
                return True
            if truth is None:
                result = None
        return result


class Not(Struct, frozen=True):
    """Negation of `part` in three-valued logic."""

    part: Predicate

    def truth(self, row: Row) -> bool | None:
        """Return the part's opposite; None stays None."""
        truth = self.part.truth(row)
        return None if truth is None else not truth


Atom = Compare | In | Starts | IsNull
Predicate = Const | Unknown | Compare | In | Starts | IsNull | And | Or | Not
TRUE, FALSE, UNKNOWN = Const(True), Const(False), Unknown()


def match(predicate: Predicate, row: Row) -> bool:
    """Return whether the row matches. ValueError if that depends on a part that was not understood.

    `row` has folded names and typed values (see `typed_row`); a missing column is null.
    """
    return predicate.truth(row) is True


def compare(name: str, op: str, value: object) -> Compare:
    """Make `name op value` with the name folded and the value typed.

    FilterError for an unknown operator or a name or value out of bounds.
    """
    if op not in OPERATORS:
        raise FilterError(f"no comparison {op!r:.20}")
    typed_value = literal(value)
    return Compare(fold_column(name), op, typed_value, KINDS[type(typed_value)])


def one_of(name: str, values: Iterable[object]) -> In:
    """Make `name IN (values)`; FilterError unless there are 1 to MAX_VALUES values, all of one kind except nulls."""
    typed_values = [literal(value) for value in values]
    kinds = {KINDS[type(value)] for value in typed_values} - {NULL}
    if not typed_values or len(typed_values) > MAX_VALUES:
        raise FilterError(f"IN takes 1 to {MAX_VALUES} values")
    if len(kinds) > 1:
        names = " and ".join(KIND_NAMES[kind] for kind in sorted(kinds))
        raise FilterError(f"IN takes values of one kind, not {names}")
    return In(
        fold_column(name),
        frozenset(value for value in typed_values if value is not None),
        kinds.pop() if kinds else NULL,
        None in typed_values,
    )


def between(name: str, low: object, high: object) -> Predicate:
    """Make `name >= low AND name <= high`; FilterError as for `compare`."""
    return all_of(compare(name, ">=", low), compare(name, "<=", high))


def starts(name: str, prefix: str) -> Starts:
    """Make a prefix test.

    FilterError unless the prefix is a text of up to MAX_TEXT characters and the name is in bounds.
    """
    if type(prefix) is not str or len(prefix) > MAX_TEXT:
        raise FilterError(f"a prefix is a text of up to {MAX_TEXT} characters")
    return Starts(fold_column(name), literal(prefix))  # type: ignore[arg-type]


def is_null(name: str) -> IsNull:
    """Make `name IS NULL`; FilterError for a name out of bounds."""
    return IsNull(fold_column(name))


def all_of(*parts: Predicate) -> Predicate:
    """Make the conjunction, flattened; true if there are no parts."""
    flat = tuple(inner for part in parts for inner in (part.parts if type(part) is And else (part,)))
    return flat[0] if len(flat) == 1 else And(flat) if flat else TRUE


def any_of(*parts: Predicate) -> Predicate:
    """Make the disjunction, flattened; false if there are no parts."""
    flat = tuple(inner for part in parts for inner in (part.parts if type(part) is Or else (part,)))
    return flat[0] if len(flat) == 1 else Or(flat) if flat else FALSE


def negate(part: Predicate) -> Not:
    """Make the negation, without simplification."""
    return Not(part)


def nodes(predicate: Predicate) -> Iterator[tuple[Predicate, int]]:
    """Iterate over the nodes with their depth, without recursion, so that a tree of any depth can be measured."""
    pending = [(predicate, 1)]
    while pending:
        node, depth = pending.pop()
        yield node, depth
        kind = type(node)
        if kind is And or kind is Or:
            pending.extend((part, depth + 1) for part in node.parts)  # type: ignore[union-attr]
        elif kind is Not:
            pending.append((node.part, depth + 1))  # type: ignore[union-attr]


def bounded(predicate: Predicate) -> Predicate:
    """Return the predicate; FilterError if it exceeds MAX_DEPTH, which bounds recursion, or MAX_NODES."""
    for count, (_, depth) in enumerate(nodes(predicate), 1):
        if depth > MAX_DEPTH:
            raise FilterError(f"nested deeper than {MAX_DEPTH}")
        if count > MAX_NODES:
            raise FilterError(f"more than {MAX_NODES} parts")
    return predicate


def has_unknown(predicate: Predicate) -> bool:
    """Return whether the tree has a part that was not understood, at any depth."""
    return any(type(node) is Unknown for node, _ in nodes(predicate))
