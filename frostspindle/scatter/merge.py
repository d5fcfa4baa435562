"""Merging the rows of a request's parts: exact, or MergeMismatchError.

Rows of several sites become the rows of one response by union, sorting with a limit, and COUNT, SUM, MIN, MAX and AVG
by group. Rows are lists of texts as the engines write them; `null` is the text of null. Nothing is rounded, no text is
interpreted beyond its column's type, and rows that don't fit together are not merged.
"""

from __future__ import annotations

import decimal
from collections.abc import Iterable, Sequence
from decimal import Decimal
from typing import Any

from msgspec import Struct

from frostspindle.catalogue import DECIMAL, INTEGER, TEXT, TIME
from frostspindle.predicates.values import parse_number, parse_time

KEY, COUNT, SUM, MIN, MAX, AVG = "key", "count", "sum", "min", "max", "avg"
INTEGER_LIMIT = 2**63  # an engine's own SUM overflows from here on
_EXACT = decimal.Context(prec=200, traps=[decimal.Inexact, decimal.InvalidOperation])
Row = list[str]


class MergeMismatchError(ValueError):
    """The parts' rows can't be merged into an exact response."""


class Cell(Struct, frozen=True):
    """One column of the response: its aggregate, and the column of a part's row that it is computed from.

    `count`: for AVG, the column of the count.
    """

    aggregate: str
    column: int
    type: str
    count: int = -1


class Order(Struct, frozen=True):
    """One sort key: a column of a merged row, counted from the end if negative."""

    column: int
    type: str
    descending: bool = False
    nulls_first: bool = True


class Merge(Struct, frozen=True):
    """How the parts' rows become one response. Unless `grouped`, rows are passed unchanged."""

    cells: tuple[Cell, ...] = ()  # columns of the response, if `grouped`
    keys: tuple[Cell, ...] = ()  # of the groups; none: one group of all rows
    grouped: bool = False
    distinct: tuple[str, ...] = ()  # types of the columns, if equal rows are merged into one
    width: int = 0  # columns of a part's row; 0: not known
    hidden: int = 0  # trailing columns that are only sorted by
    order: tuple[Order, ...] = ()
    limit: int = -1  # -1: none
    offset: int = 0


def value(text: str, kind: str, null: str) -> Any:
    """Convert a text to a value of that type, None for null; MergeMismatchError if it is malformed."""
    if text == null:
        return None
    try:
        if kind == INTEGER:
            parsed = parse_number(text)
            if type(parsed) is not int:
                raise ValueError("not an integer")
            return parsed
        if kind == DECIMAL:
            return Decimal(parse_number(text))
        if kind == TIME:
            return parse_time(text)
    except ValueError as error:
        raise MergeMismatchError(f"a part returned a malformed {kind}: {error}") from None
    if kind != TEXT:
        raise MergeMismatchError(f"values of type {kind} can't be merged")
    return text


def merge(merge_plan: Merge, parts: Iterable[Sequence[Row]], null: str) -> list[Row]:
    """Return the merged rows; without parts, the rows of an empty table.

    MergeMismatchError if the rows don't fit together.
    """
    rows: list[Row] = []
    for part in parts:
        rows.extend(part)
    if merge_plan.width and any(len(row) != merge_plan.width for row in rows):
        raise MergeMismatchError(f"a part's row does not have {merge_plan.width} columns")
    if len({len(row) for row in rows}) > 1:
        raise MergeMismatchError("the parts' rows differ in their number of columns")
    if merge_plan.grouped:
        rows = _grouped(merge_plan, rows, null)
    elif merge_plan.distinct:
        rows = _distinct(merge_plan, rows, null)
    for key in reversed(merge_plan.order):  # sorting is stable
        rows = _sorted(rows, key, null)
    end = len(rows) if merge_plan.limit < 0 else merge_plan.offset + merge_plan.limit
    rows = rows[merge_plan.offset : end]
    return [row[: -merge_plan.hidden] for row in rows] if merge_plan.hidden else rows


def _sorted(rows: list[Row], key: Order, null: str) -> list[Row]:
    nulls = [row for row in rows if row[key.column] == null]
    non_null = [row for row in rows if row[key.column] != null]
    non_null.sort(key=lambda row: value(row[key.column], key.type, null), reverse=key.descending)
    return nulls + non_null if key.nulls_first else non_null + nulls


def _distinct(merge_plan: Merge, rows: list[Row], null: str) -> list[Row]:
    seen: dict[tuple[Any, ...], Row] = {}
    for row in rows:
        seen.setdefault(
            tuple(value(text, kind, null) for text, kind in zip(row, merge_plan.distinct, strict=True)), row
        )
    return list(seen.values())


def _grouped(merge_plan: Merge, rows: list[Row], null: str) -> list[Row]:
    groups: dict[tuple[Any, ...], list[Row]] = {} if merge_plan.keys else {(): []}
    for row in rows:
        groups.setdefault(tuple(value(row[key.column], key.type, null) for key in merge_plan.keys), []).append(row)
    return [[_merged_value(cell, members, null) for cell in merge_plan.cells] for members in groups.values()]


def _merged_value(cell: Cell, rows: list[Row], null: str) -> str:
    if cell.aggregate == KEY:
        return rows[0][cell.column]
    if cell.aggregate == COUNT:
        counts = [value(row[cell.column], INTEGER, null) for row in rows]
        if any(count is None or count < 0 for count in counts):
            raise MergeMismatchError("a part returned a malformed count")
        return str(sum(counts))
    values = [(value(row[cell.column], cell.type, null), row[cell.column]) for row in rows]
    values = [pair for pair in values if pair[0] is not None]
    if not values:
        return null
    if cell.aggregate in (MIN, MAX):
        return (min if cell.aggregate == MIN else max)(values, key=lambda pair: pair[0])[1]
    total = _sum(cell.type, [pair[0] for pair in values])
    if cell.aggregate == SUM:
        return str(total) if cell.type == INTEGER else format(total, "f")
    count = sum(value(row[cell.count], INTEGER, null) or 0 for row in rows)
    if count <= 0:
        raise MergeMismatchError("a part returned a malformed count")
    return str(abs(total) // count * (1 if total >= 0 else -1))  # mean of integers, truncated towards 0


def _sum(kind: str, values: list[Any]) -> Any:
    if kind == INTEGER:
        total = sum(values)
        if not -INTEGER_LIMIT <= total < INTEGER_LIMIT:
            raise MergeMismatchError("the sum exceeds the engines' range of integers")
        return total
    try:
        with decimal.localcontext(_EXACT):
            return sum(values, Decimal(0))
    except decimal.DecimalException:
        raise MergeMismatchError("the sum exceeds the engines' range of decimals") from None
