"""The typed values that predicates compare: text, number (integer or decimal), time, null.

Text is ordered by code point (binary collation), numbers by their exact value, times by their instant. Any other value
is rejected, and values of different kinds are never compared.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from datetime import UTC, date, datetime
from decimal import Decimal
from typing import Any

NULL, NUMBER, TEXT, TIME = range(4)
KINDS = {type(None): NULL, int: NUMBER, Decimal: NUMBER, str: TEXT, datetime: TIME}
KIND_NAMES = ("null", "number", "text", "time")
MAX_DIGITS = 38  # of a number, before and after the point
MAX_TEXT = 1_000  # characters of a text in a predicate
MAX_NAME = 128  # characters of a column's name
_LIMIT = 10**MAX_DIGITS
_TIME = re.compile(r"(\d{4}-\d\d-\d\d)(?:[T ](\d\d:\d\d:\d\d)(\.\d{1,6})?)?(Z|[+-]\d\d:\d\d)?", re.ASCII)
# UTF-8 has no surrogates, so no engine stores them; they would also break the order by code point.
_SURROGATE = re.compile("[\ud800-\udfff]")

Value = str | int | Decimal | datetime | None


class FilterError(ValueError):
    """A filter is invalid. `line` and `column` count from 1 and are 0 without a text; `expected` lists valid tokens."""

    def __init__(self, reason: str, line: int = 0, column: int = 0, expected: tuple[str, ...] = ()):
        position = f"line {line}, column {column}: " if line else ""
        super().__init__(position + reason + (f"; expected {' or '.join(expected)}" if expected else ""))
        self.reason, self.line, self.column, self.expected = reason, line, column, expected


def typed(value: Any) -> Value:
    """Convert a value to one that predicates compare; ValueError if it has no such form.

    A float becomes its shortest decimal (an integral float an integer), so that 0.1 is what an engine prints as 0.1.
    Times are converted to UTC; a time without a zone is taken as UTC, and a date as its midnight.
    """
    kind = type(value)
    if kind is str:
        if _SURROGATE.search(value):
            raise ValueError("a text with surrogates")
        return value
    if kind is float:
        if value != value or value in (float("inf"), float("-inf")):
            raise ValueError(f"a number that is {value}")
        value = int(value) if value.is_integer() else Decimal(repr(value))
        kind = type(value)
    if kind is int:
        if not -_LIMIT < value < _LIMIT:
            raise ValueError(f"an integer of more than {MAX_DIGITS} digits")
        return value
    if kind is Decimal:
        if not value.is_finite() or value.adjusted() >= MAX_DIGITS or value.as_tuple().exponent < -MAX_DIGITS:
            raise ValueError(f"a decimal with more than {MAX_DIGITS} digits before or after the point")
        return value
    if kind is datetime:
        try:
            return value.replace(tzinfo=UTC) if value.tzinfo is None else value.astimezone(UTC)
        except OverflowError as error:  # beyond year 1 or 9999
            raise ValueError(str(error)) from None
    if kind is date:
        return datetime(value.year, value.month, value.day, tzinfo=UTC)
    if value is None:
        return None
    raise ValueError(f"a value of type {kind.__name__}")


def typed_row(row: Mapping[str, Any]) -> dict[str, Value]:
    """Return a row with typed values and folded column names; ValueError names an invalid column."""
    typed_values: dict[str, Value] = {}
    for name, value in row.items():
        try:
            folded = fold_column(name)
            if folded in typed_values:
                raise ValueError("two columns that differ in case only")
            typed_values[folded] = typed(value)
        except ValueError as error:
            raise ValueError(f"column {name!r:.140}: {error}") from None
    return typed_values


def fold_column(name: str) -> str:
    """Fold a column's name to lower case, as SQL ignores case; FilterError if it is out of bounds."""
    if not name or len(name) > MAX_NAME or _SURROGATE.search(name):
        raise FilterError(f"a column's name has 1 to {MAX_NAME} characters")
    return name.lower()


def literal(value: Any) -> Value:
    """Convert a value for use in a predicate; FilterError if it has no type or is a text longer than MAX_TEXT."""
    try:
        value = typed(value)
    except ValueError as error:
        raise FilterError(str(error)) from None
    if type(value) is str and len(value) > MAX_TEXT:
        raise FilterError(f"a text of more than {MAX_TEXT} characters")
    return value


def parse_number(text: str) -> int | Decimal:
    """Parse a number such as `12`, `-0.5` or `1e3`; ValueError for anything else."""
    if len(text) > 2 * MAX_DIGITS + 8 or not re.fullmatch(r"[+-]?(\d+\.?\d*|\.\d+)([eE][+-]?\d{1,3})?", text, re.ASCII):
        raise ValueError("not a number of bounded length")
    return typed(int(text) if text.lstrip("+-").isdigit() else Decimal(text))  # type: ignore[return-value]


def parse_time(text: str) -> datetime:
    """Parse `YYYY-MM-DD`, optionally with `HH:MM:SS`, a fraction of up to six digits and a zone as in ISO 8601.

    Return it in UTC; without a zone it is taken as UTC. ValueError for anything else.
    """
    parts = _TIME.fullmatch(text)
    if not parts:
        raise ValueError("not a time as in 2026-01-31T23:59:59Z")
    day, clock, fraction, zone = parts.groups()
    iso_text = (
        f"{day}T{clock or '00:00:00'}{(fraction or '.').ljust(7, '0')}{'+00:00' if zone in (None, 'Z') else zone}"
    )
    try:
        return datetime.fromisoformat(iso_text).astimezone(UTC)
    except OverflowError as error:
        raise ValueError(str(error)) from None


def canonical(value: Value) -> str:
    """Return a text that is the same for two values of one kind if and only if they are equal, as 1 and 1.0 are."""
    kind = type(value)
    if kind is str:
        return value  # type: ignore[return-value]
    if kind is datetime:
        return value.astimezone(UTC).isoformat()  # type: ignore[union-attr]
    if value == int(value):  # type: ignore[arg-type]
        return str(int(value))  # type: ignore[arg-type]
    return format(value, "f").rstrip("0")


def successor(prefix: str) -> str | None:
    """Return the least text above all texts that start with `prefix`; None if there is none."""
    for end in range(len(prefix), 0, -1):
        code = ord(prefix[end - 1])
        if code < 0x10FFFF:
            return prefix[: end - 1] + chr(0xE000 if code == 0xD7FF else code + 1)
    return None
