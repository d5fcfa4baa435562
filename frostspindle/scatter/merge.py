"""One answer of its parts' rows: exact, or a Mismatch.

Owns how rows of several sites become those of the whole: union, order with limit, and counts, sums, least and greatest
by group. Rows are lists of texts, as engines write them; `null` is the text of null. It must never round, never guess
what a text means, and never make an answer of rows that don't fit together.
"""

from __future__ import annotations

import decimal
from collections.abc import Iterable, Sequence
from decimal import Decimal
from typing import Any

from msgspec import Struct

from frostspindle.catalogue import DECIMAL, INTEGER, TEXT, TIME
from frostspindle.predicates.values import moment, number

KEY, COUNT, SUM, LEAST, GREATEST, MEAN = "key", "count", "sum", "min", "max", "avg"
MOST_INTEGER = 2**63  # an engine's own sum would fail beyond it
_EXACT = decimal.Context(prec=200, traps=[decimal.Inexact, decimal.InvalidOperation])
Row = list[str]


class MergeMismatchError(ValueError):
    """The parts' rows can't be merged exactly into what was asked for."""


class Cell(Struct, frozen=True):
    """One column of the answer: its aggregate and which column of a part's row it reads.

    `count`: of a mean, its count's column.
    """

    what: str
    at: int
    type: str
    count: int = -1


class Order(Struct, frozen=True):
    """One sort key: a column of a merged row, counted from the end if negative."""

    at: int
    type: str
    descending: bool = False
    nulls_first: bool = True


class Merge(Struct, frozen=True):
    """How the parts' rows become one answer. Unless `grouped`, rows pass as they are."""

    cells: tuple[Cell, ...] = ()  # of the answer, where parts are grouped
    keys: tuple[Cell, ...] = ()  # by what they are grouped; none: one row over all
    grouped: bool = False
    distinct: tuple[str, ...] = ()  # the columns' types, where equal rows are one
    width: int = 0  # columns of a part's row; 0: not known
    hidden: int = 0  # columns at the end that only the order needs
    order: tuple[Order, ...] = ()
    limit: int = -1  # -1: none
    offset: int = 0


def value(text: str, kind: str, null: str) -> Any:
    """Convert a text to a value of that type, None for null; Mismatch if it can't be."""
    if text == null:
        return None
    try:
        if kind == INTEGER:
            found = number(text)
            if type(found) is not int:
                raise ValueError("not whole")
            return found
        if kind == DECIMAL:
            return Decimal(number(text))
        if kind == TIME:
            return moment(text)
    except ValueError as error:
        raise MergeMismatchError(f"a part's value is no {kind}: {error}") from None
    if kind != TEXT:
        raise MergeMismatchError(f"values of type {kind} are not merged")
    return text


def merge(how: Merge, parts: Iterable[Sequence[Row]], null: str) -> list[Row]:
    """Return the merged rows; of no part at all those of empty tables. Mismatch if the rows don't fit together."""
    rows: list[Row] = []
    for part in parts:
        rows.extend(part)
    if how.width and any(len(row) != how.width for row in rows):
        raise MergeMismatchError(f"a part's row has not {how.width} columns")
    if len({len(row) for row in rows}) > 1:
        raise MergeMismatchError("the parts' rows have not the same columns")
    if how.grouped:
        rows = _grouped(how, rows, null)
    elif how.distinct:
        rows = _distinct(how, rows, null)
    for key in reversed(how.order):  # sorting keeps what is equal in its order
        rows = _sorted(rows, key, null)
    end = len(rows) if how.limit < 0 else how.offset + how.limit
    rows = rows[how.offset : end]
    return [row[: -how.hidden] for row in rows] if how.hidden else rows


def _sorted(rows: list[Row], key: Order, null: str) -> list[Row]:
    nulls = [row for row in rows if row[key.at] == null]
    others = [row for row in rows if row[key.at] != null]
    others.sort(key=lambda row: value(row[key.at], key.type, null), reverse=key.descending)
    return nulls + others if key.nulls_first else others + nulls


def _distinct(how: Merge, rows: list[Row], null: str) -> list[Row]:
    seen: dict[tuple[Any, ...], Row] = {}
    for row in rows:
        seen.setdefault(tuple(value(text, kind, null) for text, kind in zip(row, how.distinct, strict=True)), row)
    return list(seen.values())


def _grouped(how: Merge, rows: list[Row], null: str) -> list[Row]:
    groups: dict[tuple[Any, ...], list[Row]] = {} if how.keys else {(): []}
    for row in rows:
        groups.setdefault(tuple(value(row[key.at], key.type, null) for key in how.keys), []).append(row)
    return [[_cell(cell, members, null) for cell in how.cells] for members in groups.values()]


def _cell(cell: Cell, rows: list[Row], null: str) -> str:
    if cell.what == KEY:
        return rows[0][cell.at]
    if cell.what == COUNT:
        counts = [value(row[cell.at], INTEGER, null) for row in rows]
        if any(count is None or count < 0 for count in counts):
            raise MergeMismatchError("a part's count is no count")
        return str(sum(counts))
    held = [(value(row[cell.at], cell.type, null), row[cell.at]) for row in rows]
    held = [pair for pair in held if pair[0] is not None]
    if not held:
        return null
    if cell.what in (LEAST, GREATEST):
        return (min if cell.what == LEAST else max)(held, key=lambda pair: pair[0])[1]
    total = _sum(cell.type, [pair[0] for pair in held])
    if cell.what == SUM:
        return str(total) if cell.type == INTEGER else format(total, "f")
    count = sum(value(row[cell.count], INTEGER, null) or 0 for row in rows)
    if count <= 0:
        raise MergeMismatchError("a part's count is no count")
    return str(abs(total) // count * (1 if total >= 0 else -1))  # whole numbers' mean, cut towards 0


def _sum(kind: str, values: list[Any]) -> Any:
    if kind == INTEGER:
        total = sum(values)
        if not -MOST_INTEGER <= total < MOST_INTEGER:
            raise MergeMismatchError("the sum is beyond the engines' integers")
        return total
    try:
        with decimal.localcontext(_EXACT):
            return sum(values, Decimal(0))
    except decimal.DecimalException:
        raise MergeMismatchError("the sum is beyond the engines' decimals") from None
