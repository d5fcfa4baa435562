"""Rows and random predicates, and their translation to SQLite, for the tests of predicates."""

import itertools
import sqlite3
from datetime import UTC, datetime
from decimal import Decimal

from hypothesis import strategies as st

from frostspindle.predicates import (
    And,
    Compare,
    Const,
    In,
    IsNull,
    Not,
    Or,
    Starts,
    all_of,
    any_of,
    between,
    compare,
    is_null,
    negate,
    one_of,
    starts,
)

NUMBERS = [None, -1, 0, Decimal("0.25"), 1, 2, Decimal("2.50"), 3, 7]
TEXTS = [None, "", "a", "A", "ab", "aé", "b", "a\U0010ffff", "'\"% _"]
TIMES = [None, *(datetime(2026, 1, day, 12, tzinfo=UTC) for day in (1, 2, 9))]
POOLS = {"n": NUMBERS, "s": TEXTS, "t": TIMES}
ROWS = [dict(zip(POOLS, values, strict=True)) for values in itertools.product(*POOLS.values())]


def to_sqlite(value):
    """Return a value as SQLite stores it: decimals in hundredths, times in seconds."""
    if isinstance(value, datetime):
        return int(value.timestamp())
    return int(value * 100) if isinstance(value, int | Decimal) else value


def database():
    connection = sqlite3.connect(":memory:")
    connection.execute("CREATE TABLE t (n INTEGER, s TEXT, t INTEGER)")
    connection.executemany("INSERT INTO t VALUES (?, ?, ?)", [tuple(map(to_sqlite, row.values())) for row in ROWS])
    return connection


def sql(predicate, args):
    """Return the predicate as an SQLite condition, and append its values to `args`."""

    def arg(value):
        args.append(to_sqlite(value))
        return "?"

    match predicate:
        case Const():
            return "1" if predicate.value else "0"
        case And() | Or():
            return (
                "("
                + (" AND " if type(predicate) is And else " OR ").join(sql(part, args) for part in predicate.parts)
                + ")"
            )
        case Not():
            return f"(NOT {sql(predicate.part, args)})"
        case Compare():
            return f"({predicate.column} {predicate.op} {arg(predicate.value)})"
        case In():
            in_list = ", ".join([arg(value) for value in predicate.values] + ["NULL"] * predicate.null)
            return f"({predicate.column} {'NOT ' * predicate.negated}IN ({in_list}))"
        case Starts():
            op = "<>" if predicate.negated else "="
            return f"(substr({predicate.column}, 1, {len(predicate.prefix)}) {op} {arg(predicate.prefix)})"
        case IsNull():
            return f"({predicate.column} IS {'NOT ' * predicate.negated}NULL)"


def _atoms(columns):
    column_and_value = st.sampled_from(columns).flatmap(
        lambda name: st.tuples(st.just(name), st.sampled_from(POOLS[name]))
    )
    column_and_values = st.sampled_from(columns).flatmap(
        lambda name: st.tuples(st.just(name), st.lists(st.sampled_from(POOLS[name]), min_size=1, max_size=4))
    )
    op = st.sampled_from(["=", "=", "<>", "<", "<=", ">", ">="])
    return st.one_of(
        st.builds(lambda at, op: compare(at[0], op, at[1]), column_and_value, op),
        st.builds(lambda at: one_of(*at), column_and_values),
        st.builds(lambda at, other: between(at[0], at[1][0], at[1][-1]), column_and_values, st.none()),
        st.builds(lambda prefix: starts("s", prefix), st.sampled_from([text for text in TEXTS if text is not None])),
        st.builds(is_null, st.sampled_from(columns)),
        st.builds(Const, st.booleans()),
    )


def predicates(columns=("n", "s", "t"), leaves=8):
    return st.recursive(
        _atoms(columns),
        lambda inner: st.one_of(
            st.lists(inner, min_size=1, max_size=3).map(lambda parts: all_of(*parts)),
            st.lists(inner, min_size=1, max_size=3).map(lambda parts: any_of(*parts)),
            inner.map(negate),
        ),
        max_leaves=leaves,
    )
