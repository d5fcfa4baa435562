"""The kinds of events, their columns and types, and the check of filters against them.

An event has only the columns named here, so statements, rows and secrets can't get into it. Texts are truncated to
MAX_TEXT_CHARS when the event is made, so that publisher and subscriber compare the same values.
"""

from __future__ import annotations

import re
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple

from frostspindle.predicates.algebra import And, Const, IsNull, Not, Or, Predicate, nodes
from frostspindle.predicates.values import KIND_NAMES, NULL, NUMBER, TEXT, TIME, FilterError, Value

# Bytes bound non-ASCII texts, so that each event fits one message.
MAX_TEXT_CHARS, MAX_TEXT_BYTES = 64, 96
ANSWER, ENGINE, LOAD, MEMBER, RECOVERY = range(5)
NAMES = ("answer", "engine", "load", "member", "recovery")
COMMON = {"kind": TEXT, "maker": TEXT, "at": TIME}
# Columns by kind, in the order of an event's values.
COLUMNS: tuple[dict[str, int], ...] = (
    {"class": TEXT, "tenant": TEXT, "group": NUMBER, "outcome": TEXT, "engine": TEXT, "front": TEXT, "ms": NUMBER},
    {"engine": TEXT, "change": TEXT, "state": TEXT},  # change: list, ban, unban, stop, sick, well
    {"site": TEXT, "group": NUMBER, "column": TEXT},  # one event for each column written by a load
    {"member": TEXT, "state": TEXT},
    {"stage": TEXT, "state": TEXT},
)
TYPES = COMMON | {name: kind for columns in COLUMNS for name, kind in columns.items()}
_EPOCH = datetime(1970, 1, 1, tzinfo=UTC)
_LATEST = 253402300799999  # of year 9999
_SURROGATE = re.compile("[\ud800-\udfff]")


class Event(NamedTuple):
    """One event; `at_ms` is Unix time, `values` are in the order of the kind's columns."""

    kind: int
    at_ms: int
    values: tuple[str | int | None, ...]


def _clean(value: Any, kind: int) -> str | int | None:
    if value is None:
        return None
    if kind == NUMBER:
        return max(-(2**53), min(2**53, int(value)))
    text = str(value)[:MAX_TEXT_CHARS]
    return text if text.isascii() else _SURROGATE.sub("?", text).encode()[:MAX_TEXT_BYTES].decode(errors="ignore")


def make(kind: int, at_ms: float, *values: Any) -> Event:
    """Return an event with texts truncated and numbers clamped to their bounds.

    ValueError if the number of values differs from the kind's columns.
    """
    columns = COLUMNS[kind]
    if len(values) != len(columns):
        raise ValueError(f"an event of kind {NAMES[kind]} has {len(columns)} columns")
    return Event(
        kind,
        max(0, min(_LATEST, int(at_ms))),
        tuple([_clean(value, column_kind) for value, column_kind in zip(values, columns.values(), strict=True)]),
    )


def row(publisher: str, event: Event) -> dict[str, Value]:
    """Return the event as a row for predicates: values by column, with kind, publisher and UTC time."""
    result: dict[str, Value] = dict(zip(COLUMNS[event.kind], event.values, strict=True))
    result["kind"], result["maker"] = NAMES[event.kind], publisher
    result["at"] = _EPOCH + timedelta(milliseconds=event.at_ms)
    return result


def fits(event: Event) -> bool:
    """Return whether an event from another coordinator has the columns, types and bounds of its kind."""
    columns = COLUMNS[event.kind]
    return (
        len(columns) == len(event.values)
        and 0 <= event.at_ms <= _LATEST
        and all(
            value is None
            or type(value) is (int if kind == NUMBER else str)
            and (kind == NUMBER or len(value) <= MAX_TEXT_CHARS and not _SURROGATE.search(value))  # type: ignore[arg-type]
            for value, kind in zip(event.values, columns.values(), strict=True)
        )
    )


def check(predicate: Predicate) -> Predicate:
    """Return the filter unchanged.

    FilterError if it has a column that no event has, or compares a column with a value of another type.
    """
    for node, _ in nodes(predicate):
        if isinstance(node, (And, Or, Not, Const)):
            continue
        if node.column not in TYPES:  # type: ignore[union-attr]
            raise FilterError(f"no event has a column {node.column!r}; there are {', '.join(sorted(TYPES))}")
        if isinstance(node, IsNull) or node.kind in (NULL, TYPES[node.column]):  # type: ignore[union-attr]
            continue
        raise FilterError(
            f"{node.column} is a {KIND_NAMES[TYPES[node.column]]}, not a "  # type: ignore[union-attr]
            f"{KIND_NAMES[node.kind]}"
        )  # type: ignore[union-attr]
    return predicate
