"""Reading of statements: no row that SQLite needs for its result is skipped."""

import random
import sqlite3
from datetime import UTC, datetime

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from frostspindle.predicates import UNKNOWN, compare, match, may_match
from frostspindle.predicates import statements as statements_module
from frostspindle.predicates.statements import MAX_LENGTH, Reader
from frostspindle.predicates.summaries import Summary

COLUMNS = ("n", "r", "s", "at")
RANDOM = random.Random(7)
DAYS = [f"2026-01-0{day} 12:00:00" for day in range(1, 5)]
ROWS = {
    table: [
        (
            RANDOM.choice([None, -1, 0, 1, 2, 5]),
            RANDOM.choice([None, 0.1, 0.1 + 0.2, 1.0, 2.5, -5.0]),
            RANDOM.choice([None, "", "a", "A", "ab", "Abc", "b", "5", "é"]),
            RANDOM.choice([None, *DAYS]),
        )
        for _ in range(14)
    ]
    for table in ("t", "u")
}
DATABASE = sqlite3.connect(":memory:", isolation_level=None)
for name in ROWS:
    DATABASE.execute(f"CREATE TABLE {name} (n INTEGER, r REAL, s TEXT, at TEXT)")

ATOMS = st.sampled_from(
    [
        "{n} = 1",
        "1 < {n}",
        "{n} <> 2",
        "{n} >= -1",
        "{n} = NULL",
        "{n} IN (1, 5, NULL)",
        "{n} NOT IN (0, 1)",
        "{n} IN (2)",
        "{n} BETWEEN 0 AND 2",
        "{n} NOT BETWEEN 0 AND 1",
        "{n} IS NULL",
        "{n} IS NOT NULL",
        "{n} = '1'",
        "{n} IS 1",
        "{n} + 1 = 2",
        "-{n} = 1",
        "{n} = 1.0",
        "{n} < 1e0",
        "{n} IN (SELECT n FROM u WHERE s = 'a')",
        "coalesce({n}, 1) = 1",
        "{n}",
        "{n} = {r}",
        "({n}, {s}) IN ((1, 'a'))",
        "CASE WHEN {n} = 1 THEN 0 ELSE 1 END",
        "{n} IN ()",
        "+{n} = 5",
        "{r} = 0.1",
        "{r} = 0.3",
        "{r} > 0.3",
        "{r} = 0.30000000000000004",
        "{r} = 1",
        "{r} IN (2.5, 0.1)",
        "{r} < -4.5",
        "{r} = 0.1000000000000000055",
        "{s} = 'a'",
        "{s} = 'A' COLLATE NOCASE",
        "{s} <> ''",
        "{s} LIKE 'a%'",
        "{s} LIKE 'AB_'",
        "{s} NOT LIKE 'a%'",
        "{s} LIKE 'ab'",
        "{s} LIKE '%b'",
        "{s} LIKE 'a\\%' ESCAPE '\\'",
        "{s} GLOB 'a*'",
        "{s} = 5",
        "{s} IN ('a', 'ab')",
        "{s} > 'a'",
        "{s} || 'x' = 'ax'",
        "{s} BETWEEN 'a' AND 'b'",
        "upper({s}) = 'A'",
        "{s} NOTNULL",
        "{s} ISNULL",
        "'a' = {s}",
        '{s} = "zzz"',
        "{n} = 1 = 1",
        "{n} < 3 IS NULL",
        "EXISTS (SELECT 1 FROM t AS y WHERE y.n = 1)",
        "{at} = '2026-01-02 12:00:00'",
        "{at} < '2026-01-03 12:00:00'",
        "{at} LIKE '2026-01-0%'",
        "{at} > ''",
        "TRUE",
        "1 = 1",
        "{s} = 'x' /* ' OR 1=1 */",
        "{n} = 1 -- no\n",
        "NOT {n}",
        "q.n = 1",
        "nowhere = 1",
        "{n} = (1)",
        "{n} IS NOT DISTINCT FROM 1",
    ]
)
WHERE = st.recursive(
    ATOMS,
    lambda inner: st.one_of(
        st.tuples(inner, inner).map(" AND ".join),
        st.tuples(inner, inner).map(" OR ".join),
        inner.map("NOT ({})".format),
        inner.map("({})".format),
        st.tuples(inner, inner).map(lambda two: "({}) AND ({})".format(*two)),
    ),
    max_leaves=5,
)
FROMS = st.sampled_from(
    [
        *[("t", ""), ("main.t x", "x."), ("t, u", "u."), ("t x JOIN u ON x.n >= u.n", "x.")] * 4,
        ("t", ""),
        ("main.t", ""),
        ("t AS x", ""),
        ("main.t x", "x."),
        ("t", "t."),
        ("main.t", "main.t."),
        ("T", "t."),
        ("t x, u", "x."),
        ("t, u", "u."),
        ("t JOIN u ON t.n = u.n", "t."),
        ("t x LEFT JOIN u y ON x.n = y.n", "x."),
        ("t x LEFT JOIN u y ON x.n = y.n", "y."),
        ("u LEFT JOIN t ON t.n = u.n", "t."),
        ("t x JOIN t y ON x.n = y.n", "y."),
        ("t RIGHT JOIN u ON t.n = u.n", "t."),
        ("t x, (SELECT n FROM t WHERE s = 'a') y", "x."),
        ("t NATURAL JOIN u", ""),
        ("(SELECT * FROM t WHERE n = 1) x", "x."),
        ("t FULL JOIN u ON t.n = u.n", "u."),
        ("t JOIN u USING (n)", "t."),
    ]
)
SHAPES = st.sampled_from(
    [
        *["SELECT * FROM {} WHERE {}"] * 6,
        "SELECT DISTINCT * FROM {} WHERE {} ORDER BY 1",
        "SELECT count(*), sum(1) FROM {} WHERE {}",
        "WITH t AS (SELECT * FROM u) SELECT * FROM {} WHERE {}",
        "SELECT * FROM {} WHERE {} UNION ALL SELECT * FROM u",
        "SELECT 1 FROM {} WHERE {} GROUP BY 1",
        "SELECT (SELECT max(n) FROM t), * FROM {} WHERE {}",
    ]
)


def fill(rows_by_table):
    for table, rows in rows_by_table.items():
        DATABASE.execute(f"DELETE FROM {table}")
        DATABASE.executemany(f"INSERT INTO {table} VALUES (?, ?, ?, ?)", rows)


def select_rows(statement, table, part_size):
    """Return the rows that a scattered query would read of one table: those of the parts that may match."""
    selected = []
    for start in range(0, len(ROWS[table]), part_size):
        summary = Summary(COLUMNS, 256)
        rows = ROWS[table][start : start + part_size]
        for row in rows:
            values = dict(zip(COLUMNS, row, strict=True))
            if values["at"]:
                values["at"] = datetime.fromisoformat(values["at"]).replace(tzinfo=UTC)
            summary.widen(values)
        selected += rows if may_match(statement.predicate(f"main.{table}"), summary) else []
    return selected


@settings(derandomize=True, deadline=None, max_examples=900)
@given(SHAPES, FROMS, WHERE, st.sampled_from(["sqlite", ""]), st.integers(1, 3))
def test_no_row_that_sqlite_needs_is_skipped(shape, source, where, dialect, part_size):
    sources, prefix = source
    sql = shape.format(sources, where.format(**{name: prefix + name for name in COLUMNS}))
    fill(ROWS)
    try:
        expected = sorted(map(repr, DATABASE.execute(sql)))
    except sqlite3.Error:
        return
    statement = Reader(dialect, ["at"]).read(sql)
    fill({table: select_rows(statement, table, part_size) for table in ROWS})
    assert sorted(map(repr, DATABASE.execute(sql))) == expected


def is_skipped(sql, row, table="calls_17.notes", **settings):
    summary = Summary(row, 256)
    summary.widen(row)
    return not may_match(Reader(**settings).read(sql).predicate(table), summary)


ROW = {"n": 5, "s": "beta", "at": datetime(2026, 1, 2, tzinfo=UTC)}


@pytest.mark.parametrize(
    ("where", "skips"),
    [
        ("n = 4", True),
        ("n = 5", False),
        ("4 >= n", True),
        ("x.n = 4", True),
        ("notes.n = 4", False),
        ("y.n = 4", False),
        ("n IN (1, 2)", True),
        ("n NOT BETWEEN 5 AND 6", True),
        ("NOT (n = 5 AND s = 'beta')", True),
        ("s LIKE 'C%'", True),
        ("s LIKE 'B%'", False),
        ("s NOT LIKE 'c%'", False),
        ("s NOT LIKE 'beta_'", False),
        ("n BETWEEN SYMMETRIC 9 AND 1", False),
        ("s LIKE '_x'", False),
        ("n IS NULL", True),
        ("f(n) = 4", False),
        ("f(n) = 4 AND s = 'x'", True),
        ("f(n) = 4 OR s = 'x'", False),
        ("n = 4 OR s = 'x'", True),
        ("n = @p", False),
        ("s = N'x'", True),
        ("at > TIMESTAMP '2026-01-03 00:00:00'", True),
        ("at >= CAST('2026-01-02' AS date)", False),
        ("at = '2026-01-03'", True),
        ("at > '2026-01-03 00:00:00.5'", False),
        ("n = '4'", False),
        ("s = 'a\\'", False),
        ("n = 4 AND EXISTS (SELECT 1 FROM other)", True),
        ("n = 4 /*! OR 1 = 1 */", False),
        ("n = 4--1", False),
        ("n = 12345678901234567", False),
        ("n = 5.0000000000000000001", False),
        ("n = 4 /* /* */ OR 1=1 -- */", False),
        ("n = -4", True),
        ("n = 4.0", True),
        ("FALSE", True),
        ("n = NULL", True),
    ],
)
def test_where_clause_decides_what_is_skipped(where, skips):
    assert is_skipped(f"SELECT s, count(*) FROM calls_17.notes x WHERE {where} GROUP BY s", ROW, times=["at"]) is skips


@pytest.mark.parametrize(
    ("sql", "skips"),
    [
        ("SELECT 1 FROM calls_17.notes WHERE n = 4; -- end", True),
        ("SELECT 1 FROM CALLS_17.Notes WHERE N = 4", True),
        ("SELECT 1 FROM notes WHERE n = 4", True),
        ("SELECT 1 FROM calls_18.notes WHERE n = 4", False),
        ("SELECT 1 FROM calls_17.notes a, calls_17.notes b WHERE a.n = 4", False),
        ("SELECT 1 FROM calls_17.notes a, calls_17.notes b WHERE a.n = 4 AND b.n = 4", True),
        ("SELECT 1 FROM calls_17.notes AS a(s, n) WHERE n = 4", False),
        ("SELECT 1 FROM f(1) notes WHERE n = 4", False),
        ("SELECT 1 FROM calls_17.notes, c.other WHERE n = 4", False),
        ("SELECT 1 FROM calls_17.notes", False),
        ("SELECT 1 FROM calls_17.notes a, x.notes WHERE notes.n = 4", False),
        ("DELETE FROM calls_17.notes WHERE n = 4", False),
        ("SELECT 1 FROM x.o LEFT JOIN calls_17.notes b ON o.n = b.n WHERE b.n = 4", False),
        ("SELECT 1 WHERE n = 4", False),
        ("SELECT 1 FROM calls_17.notes WHERE n = 4; SELECT 1 FROM calls_17.notes", False),
        ("n = 4", False),
        ("", False),
        ("SELECT 1 FROM x.o WHERE n IN (SELECT n FROM calls_17.notes WHERE n = 4)", False),
        ("SELECT '", False),
        ("SELECT 1 FROM calls_17.notes TABLESAMPLE (5) WHERE n = 4", False),
        ("SELECT 1 FROM calls_17.notes WHERE " + "(" * 65 + "n = 4" + ")" * 65, False),
        ("SELECT 1 FROM calls_17.notes WHERE n = 4" + " " * MAX_LENGTH, False),
        ("SELECT 1 FROM calls_17.notes WHERE n = 4" + " AND n = 4" * 350, True),
        ("SELECT 1 FROM calls_17.notes WHERE n = 4" + " OR s LIKE 'abc%'" * 200, False),
        ("SELECT 1 FROM calls_17.notes, x.notes WHERE notes.n = 4", False),
        ("SELECT 1 FROM calls_17.notes a, f(1) b WHERE a.n = 4", False),
        ("SELECT 1 FROM calls_17.notes WHERE x.notes.n = 4", False),
        ("SELECT 1 FROM calls_17.notes WHERE n = 4 START WITH n = 1 CONNECT BY PRIOR n = m", False),
        ("SELECT 1 FROM calls_17.notes LATERAL VIEW explode(m) x AS n WHERE n = 4", False),
        ("SELECT 1 FROM calls_17.notes WHERE n IN (" + "4, " * 1_000 + "4)", False),
    ],
)
def test_supported_statements_and_tables(sql, skips):
    assert is_skipped(sql, ROW) is skips


def test_like_may_match_under_any_folding_beyond_ascii():
    assert not is_skipped("SELECT 1 FROM notes WHERE s LIKE 'İx%'", {"s": "ixx"})
    assert is_skipped("SELECT 1 FROM notes WHERE s LIKE '5İ%'", {"s": "ixx"})


def test_dialects():
    assert is_skipped("SELECT TOP 5 * FROM [calls_17].[notes] WITH (NOLOCK) WHERE [n] = 4", ROW, dialect="tsql")
    assert not is_skipped(
        "SELECT 1 FROM x.o, calls_17.notes b WHERE o.n = b.n(+) AND b.n IS NULL", ROW, dialect="oracle"
    )
    assert is_skipped("SELECT 1 FROM `calls_17`.`notes` WHERE n = 4", ROW, dialect="mysql")


@pytest.mark.parametrize(
    ("where", "skips"),
    [
        ("n = 4", True),
        ("s = 'c'", False),
        ("s > 'c'", False),
        ("s IN ('c')", False),
        ("s LIKE 'c%'", False),
        ("s IS NULL", True),
        ("at > '2026-02-01'", True),
    ],
)
def test_text_comparisons_are_unknown_if_the_engine_folds_texts(where, skips):
    assert is_skipped(f"SELECT 1 FROM notes WHERE {where}", ROW, times=["at"], binary=False) is skips


def test_statements_are_cached_within_a_bound(monkeypatch):
    reader, read = Reader(cached=2), []
    monkeypatch.setattr(
        statements_module.sqlglot,
        "parse",
        lambda sql, read_=statements_module.sqlglot.parse, **more: (read.append(sql), read_(sql, **more))[1],
    )
    first, second, third = (f"SELECT 1 FROM t WHERE n = {n}" for n in range(3))
    for sql in (first, first, second, first, third, second):
        assert reader.read(sql).predicate("t") == compare("n", "=", int(sql[-1]))
    assert read == [first, second, third, second] and reader.cache_info().currsize == 2
    assert reader.unread == 0 and not reader.read(first + " " * MAX_LENGTH).understood and reader.unread == 1
    assert not reader.read("(" * 65).understood and reader.unread == 2
    assert len(read) == 4 and reader.cache_info().currsize == 2, (
        "a statement that is too long is neither read nor cached"
    )
    assert not reader.read("SELECT '").understood and reader.unread == 3 and reader.read("x").predicate("t") == UNKNOWN


@settings(derandomize=True, deadline=None, max_examples=300)
@given(
    st.lists(
        st.sampled_from(
            [
                "SELECT ",
                "1 ",
                "FROM t ",
                "WHERE ",
                "n ",
                "= ",
                "(",
                ")",
                "'",
                '"',
                "a.b.c.d ",
                "AND ",
                "NOT ",
                "JOIN ",
                "IN ",
                "*",
                ";",
                "--",
                "/*",
                "*/",
                "[",
                "::",
                "\x00",
                "é",
                "\ud800",
                "CASE ",
                "@",
                "{{",
            ]
        ),
        max_size=25,
    ).map("".join)
)
def test_no_text_raises(sql):
    predicate = Reader().read(sql).predicate("t")
    may_match(predicate, Summary(["n"]))
    assert Reader("tsql").read(sql) is not None


def test_statement_read_near_the_recursion_limit_is_unknown():
    def recurse(depth):
        return recurse(depth - 1) if depth else Reader().read("SELECT 1 FROM t WHERE " + "(" * 60 + "n = 1" + ")" * 60)

    assert not recurse(800).understood and match(Reader().read("SELECT 1 FROM t WHERE n = 1").predicate("t"), {"n": 1})
