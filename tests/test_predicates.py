"""Properties of predicates, checked against SQLite and against a scan of all rows of a small table."""

import subprocess
import sys
import time
from datetime import UTC, datetime
from decimal import Decimal
from functools import partial

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from predicates import ROWS, database, predicates, sql

from frostspindle.predicates import (
    UNKNOWN,
    FilterError,
    all_of,
    any_of,
    bounded,
    compare,
    covers,
    implication,
    match,
    may_match,
    negate,
    normal,
    one_of,
    starts,
    typed,
    typed_row,
)
from frostspindle.predicates import index as index_module
from frostspindle.predicates.index import FilterIndex
from frostspindle.predicates.language import MAX_LENGTH, parse, text
from frostspindle.predicates.normal import push_negations_inward
from frostspindle.predicates.summaries import MAX_BYTES, Summary, SummaryError

property_settings = partial(settings, derandomize=True, deadline=None)
DATABASE = database()
some_rows = st.lists(st.sampled_from(ROWS), max_size=6)
bits = st.sampled_from([0, 64, 512])


def summarise(rows, bits=512, columns=("n", "s", "t")):
    summary = Summary(columns, bits)
    for row in rows:
        summary.widen(row)
    return summary


@property_settings(max_examples=200)
@given(predicates())
def test_truth_equals_that_of_sqlite_and_is_preserved_by_normal_forms(predicate):
    args = []
    condition = sql(predicate, args)
    expected = [
        None if truth is None else bool(truth)
        for (truth,) in DATABASE.execute(f"SELECT {condition} FROM t ORDER BY rowid", args)
    ]
    assert [predicate.truth(row) for row in ROWS] == expected
    without_not = push_negations_inward(predicate)
    assert [without_not.truth(row) for row in ROWS] == expected
    if (terms := normal(predicate)) is not None:
        for row, truth in zip(ROWS, expected, strict=True):
            assert any(all(match(atom, row) for atom in term) for term in terms) == (truth is True)


@property_settings(max_examples=300)
@given(predicates(), some_rows, some_rows, bits, bits)
def test_may_match_misses_no_row_and_only_widens(predicate, first, second, bits_first, bits_second):
    summary, other = summarise(first, bits_first), summarise(second, bits_second)
    answers = [may_match(predicate, summary)]
    for row in first:
        truth = {True: implication.TRUE, False: implication.FALSE, None: implication.NEITHER}[predicate.truth(row)]
        assert implication.possible_truths(predicate, summary.view) & truth, "a possible truth is missing"
    assert answers[0] or not any(match(predicate, row) for row in first)
    for row in second:
        summary.widen(row)
        answers.append(may_match(predicate, summary))
    assert answers == sorted(answers), "widening changed a yes to a no"
    assert answers[-1] or not any(match(predicate, row) for row in first + second)
    merged = summarise(first, bits_first)
    before = [may_match(predicate, merged), may_match(predicate, other)]
    merged.merge(other)
    assert may_match(predicate, merged) or not any(before) and not any(match(predicate, row) for row in first + second)
    assert (merged.rows, merged.version > other.version) == (len(first + second), True)
    decoded = Summary.decode(merged.encode())
    assert decoded.encode() == merged.encode() and may_match(predicate, decoded) == may_match(predicate, merged)


@property_settings(max_examples=400)
@given(predicates(("n", "s"), 4), predicates(("n", "s"), 4), st.booleans())
def test_covers_is_false_if_a_row_matches_only_the_narrower(wider, narrower, narrowed):
    narrower = all_of(narrower, wider) if narrowed else narrower
    if covers(wider, narrower):
        assert not [row for row in ROWS if match(narrower, row) and not match(wider, row)]


@pytest.mark.parametrize(
    ("wider", "narrower", "is_covered"),
    [
        ("n > 1", "n > 1", True),
        ("n > 1", "n >= 1", False),
        ("n >= 1", "n > 1", True),
        ("n <> 1", "n > 1", True),
        ("n > 1", "n IN (2, 3)", True),
        ("n > 1", "n IN (1, 3)", False),
        ("n IN (1, 2, 3)", "n = 1 OR n = 3", True),
        ("n NOT IN (1, 2)", "n NOT IN (1, 2, 3)", True),
        ("n NOT IN (1, 2)", "n <> 1", False),
        ("s STARTS WITH 'a'", "s STARTS WITH 'ab'", True),
        ("s STARTS WITH 'ab'", "s STARTS WITH 'a'", False),
        ("s STARTS WITH 'a'", "s BETWEEN 'a' AND 'az'", True),
        ("s STARTS WITH ''", "s > 'x'", True),
        ("s NOT STARTS WITH 'a'", "s = 'b'", True),
        ("s NOT STARTS WITH 'a'", "s NOT STARTS WITH 'a' AND n = 1", True),
        ("n IS NOT NULL", "n < 5", True),
        ("n < 5", "n IS NOT NULL", False),
        ("n IS NULL", "n IS NULL AND s = 'a'", True),
        ("n = 1 OR s = 'a'", "s = 'a' AND n = 2", True),
        ("n = 1 AND s = 'a'", "s = 'a'", False),
        ("s = 'x'", "n = 1 AND n = 2", True),
        ("s = 'x'", "n = 1 AND n = 'a'", True),
        ("n > 1", "n > 'a'", False),
        ("s = 'x'", "n > 1 AND n > 'a'", True),
        ("n > 2", "n IN (1, 5) AND n > 3", True),
        ("s = 'x'", "n = 1 AND n > 3", True),
        ("n = 2 AND n <> 3", "n BETWEEN 2 AND 2", True),
        ("TRUE", "s > 'x'", True),
        ("s = 'x'", "n NOT IN (1, NULL)", True),
        ("s > 'x'", "FALSE", True),
        ("n < 2 OR n >= 2", "n IS NOT NULL", False),  # only both parts together cover it, which is not recognised
    ],
)
def test_covers_recognises_implication_by_one_part(wider, narrower, is_covered):
    assert covers(parse(wider), parse(narrower)) is is_covered


def test_unknown_parts_may_match_and_imply_nothing():
    part = all_of(compare("n", "=", 1), UNKNOWN)
    assert not covers(part, part) and covers(compare("n", ">", 0), part) and not covers(UNKNOWN, compare("n", "=", 1))
    assert may_match(part, summarise([{"n": 1}])) and may_match(negate(part), summarise([{"n": 1}]))
    assert not may_match(part, summarise([{"n": 2}])) and may_match(UNKNOWN, summarise([]))
    with pytest.raises(ValueError, match="not understood"):
        match(part, {"n": 1})
    with pytest.raises(FilterError, match="not understood"):
        FilterIndex().add(1, part)


def test_covers_and_index_err_to_the_safe_side_beyond_the_bounds_of_the_normal_form():
    large = all_of(*[any_of(compare(f"a{n}", "=", 1), compare(f"b{n}", "=", 1)) for n in range(7)])
    assert normal(large) is None and not covers(compare("a0", ">", -1), large)
    index = FilterIndex()
    index.add("large", large)
    assert index.find({f"a{n}": 1 for n in range(7)}) == ["large"] and not index.find({"a0": 1})
    wide = any_of(*[all_of(*[compare(f"c{n}", "=", value) for n in range(20)]) for value in range(60)])
    assert normal(wide) is None
    with pytest.raises(FilterError, match="deeper than 32"):
        index.add("deep", DEEP)
    with pytest.raises(FilterError, match="more than 1000 parts"):
        bounded(any_of(*[compare("n", "=", n) for n in range(1_000)]))


DEEP = compare("n", "=", 1)
for _ in range(5_000):
    DEEP = negate(DEEP)

SUMMARY = summarise(
    [{"n": n, "s": s, "m": m} for n, s, m in [(10, "beta", 1), (20, "gamma" + "x" * 80, "1")]],
    columns=("n", "s", "z", "m"),
)


@pytest.mark.parametrize(
    ("filter_", "expected"),
    [
        ("n = 10", True),
        ("n = 15", False),
        ("n = 9", False),
        ("n > 20", False),
        ("n >= 20", True),
        ("n < 10", False),
        ("n <= 10.0", True),
        ("n = 10.00", True),
        ("NOT n <= 20", False),
        ("n IN (11, 12, 13)", False),
        ("n NOT IN (11)", True),
        ("n BETWEEN 21 AND 30", False),
        ("n IS NULL", False),
        ("n IS NOT NULL", True),
        ("z IS NULL", True),
        ("z = 1", False),
        ("z <> 1", False),
        ("n = NULL", False),
        ("NOT n = NULL", False),
        ("n NOT IN (11, NULL)", False),
        ("s STARTS WITH 'al'", False),
        ("s STARTS WITH 'bet'", True),
        ("s STARTS WITH 'h'", False),
        ("s < 'beta'", False),
        ("s = 'gamma' ", False),
        (f"s = 'gamma{'x' * 80}'", True),
        (f"s > 'gamma{'x' * 80}'", True),
        ("s > 'gammay'", False),
        ("n = 10 AND s = 'zeta'", False),
        ("n = 9 OR s = 'beta'", True),
        ("unheard = 1", True),
        ("n = '10'", True),
        ("NOT n = '10'", True),
        ("m = 7", True),
        ("m IS NULL", False),
        ("FALSE", False),
        ("TRUE", True),
    ],
)
def test_may_match_is_false_if_the_summary_excludes_a_match(filter_, expected):
    assert may_match(parse(filter_), SUMMARY) is expected
    assert may_match(parse(filter_), Summary.decode(SUMMARY.encode())) is expected
    assert not may_match(parse(filter_), summarise([]))


def test_summaries_are_equal_in_each_process_and_bounded_for_any_rows():
    code = (
        "import sys, hashlib; import frostspindle.predicates as p; assert not {'lark', 'sqlglot', 'rbloom'} & set("
        "sys.modules); from frostspindle.predicates.summaries import Summary; s = Summary(['a'], 256);"
        "[s.widen({'a': v}) for v in ('x', 'é', 'yz')]; print(hashlib.sha256(s.encode()).hexdigest())"
    )
    for seed in ("1", "2"):
        process = subprocess.run(
            [sys.executable, "-c", code],
            env={"PYTHONHASHSEED": seed, "PYTHONPATH": "."},
            capture_output=True,
            text=True,
            check=True,
        )
        assert process.stdout.strip() == "4abacadec93995ce65c9e43fce44a654a29ffc3104b80cb02928d6a2658ebefe"
    summary = Summary([f"{n:0128}" for n in range(64)], 65_536)
    summary.widen(dict.fromkeys(summary.columns, "\ud7ff" * 1_000))  # truncated upwards, skipping the surrogates
    assert Summary.decode(summary.encode()).encode() == summary.encode()
    for value in ("\U0010ffff" * 1_000, "a", -Decimal("9" * 38 + "." + "9" * 38), object(), "\ud800", 1e300):
        summary.widen(dict.fromkeys(summary.columns, value))
        assert len(summary.encode()) <= MAX_BYTES
        assert may_match(one_of(f"{3:0128}", ["\U0010ffff" * 1_000]), summary)
    for columns, size in ((["a"], 12), (["a"], 65_544), (["a", "A"], 64), (map(str, range(65)), 64)):
        with pytest.raises(SummaryError):
            Summary(columns, size)


@property_settings(max_examples=400)
@given(st.data(), some_rows, bits)
def test_corrupt_summary_is_rejected_or_usable(data, rows, bits):
    data_bytes = bytearray(summarise(rows, bits).encode())
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, len(data_bytes) - 1))
        data_bytes[position : position + data.draw(st.integers(0, 2))] = data.draw(st.binary(max_size=2))
    try:
        summary = Summary.decode(bytes(data_bytes))
    except SummaryError:
        return
    may_match(parse("n = 1 OR s STARTS WITH 'b' AND t > TIME '2026-01-01'"), summary)
    summary.widen(ROWS[0])
    summary.merge(summarise(rows, 64))
    assert Summary.decode(summary.encode()).encode() == summary.encode()


@pytest.mark.parametrize(
    ("wire", "reason"),
    [
        (b"", "not a summary"),
        (b"\xc1", "not a summary"),
        (b"\x95\x02\x00\x00\x04\x90", "format 2"),
        (b"\x95\x01\x00\x00\x04\x91\x97\xa1A\x00\xc0\xc0\x00\x00\xc4\x00", "not folded"),
        (b"\x95\x01\x00\x01\x04\x91\x97\xa1a\x00\xc0\xc0\x00\x00\xc4\x00", "don't fit"),
        (b"\x95\x01\x00\x01\x04\x91\x97\xa1a\x01\xa12\xa11\x01\x00\xc4\x00", "least above greatest"),
        (b"\x95\x01\x00\x01\x04\x91\x97\xa1a\x01\xa11\xc0\x01\x00\xc4\x00", "don't fit"),
        (b"\x95\x01\x00\x01\x04\x91\x97\xa1a\x04\xc0\xc0\x01\x00\xc4\x01\x00", "mixed"),
        (b"\x95\x01\x00\x00\x04\x92" + b"\x97\xa1a\x00\xc0\xc0\x00\x00\xc4\x00" * 2, "each once"),
        (b"\x95\x01\x00\x00\x09\x90", "not a summary"),
        (b"\x90" * 2_000_000, "of more than"),
    ],
)
def test_rejected_summary_names_the_reason(wire, reason):
    with pytest.raises(SummaryError, match=reason):
        Summary.decode(wire)


def test_text_without_a_successor_leaves_no_upper_bound():
    unbounded, predicate = summarise([{"s": "\U0010ffff" * 100}, {"s": "a"}], columns=["s"]), parse("s > '\U0010ffff'")
    other = summarise([{"s": "a"}], columns=["s"])
    other.merge(unbounded)
    unbounded.merge(summarise([{"s": "a"}], columns=["s"]))
    assert (
        may_match(predicate, unbounded)
        and may_match(predicate, other)
        and not may_match(predicate, summarise([{"s": "a"}]))
    )


def test_column_missing_on_one_side_of_a_merge_becomes_unknown():
    summary, predicate = summarise([{"n": 1, "s": "a"}], columns=["n", "s"]), parse("n = 2 AND s = 'b'")
    summary.merge(summarise([{"n": 1}], columns=["n"]))
    assert list(summary.columns) == ["n"] and may_match(parse("s = 'b'"), summary) and not may_match(predicate, summary)


def test_counts_stay_within_the_decodable_range():
    max_count = 2**62
    wire = b"\x95\x01" + (b"\xcf" + max_count.to_bytes(8)) * 2 + b"\x04\x90"
    summary = Summary.decode(wire)
    with pytest.raises(SummaryError, match="rows"):
        summary.merge(summarise([ROWS[0]]))
    summary.merge(Summary([]))
    assert summary.encode() == wire and summary.version == max_count


@property_settings(max_examples=300)
@given(predicates())
def test_predicate_survives_formatting_and_parsing(predicate):
    formatted = text(predicate)
    parsed = parse(formatted)
    assert text(parsed) == formatted and parse(text(parsed)) == parsed
    assert [parsed.truth(row) for row in ROWS[::7]] == [predicate.truth(row) for row in ROWS[::7]]


@pytest.mark.parametrize(
    ("filter_", "canonical"),
    [
        ("a=1 and not b<>2 or c!=3", "a = 1 AND NOT b <> 2 OR c <> 3"),
        ("A LIKE 'x%'", "a STARTS WITH 'x'"),
        ("a IN(1,2,NULL)", "a IN (1, 2, NULL)"),
        ("a BETWEEN 1 AND 2 AND b = 1", "a >= 1 AND a <= 2 AND b = 1"),
        ("a NOT BETWEEN 1 AND 2", "NOT (a >= 1 AND a <= 2)"),
        ("NOT a IS NOT NULL", "NOT a IS NOT NULL"),
        ("a NOT LIKE 'it''s%'", "a NOT STARTS WITH 'it''s'"),
        ('"or" = -1.50', '"or" = -1.50'),
        ("orders = 1", "orders = 1"),
        ('"say ""x""" IS NULL', '"say ""x""" IS NULL'),
        ("(((a = 1)))", "a = 1"),
        ("a = 1 AND (b = 1 OR c = 1)",) * 2,
        ("t < time '2026-01-01T02:00:00.5+01:00'", "t < TIME '2026-01-01T01:00:00.500000Z'"),
    ],
)
def test_canonical_text(filter_, canonical):
    assert text(parse(filter_)) == canonical and text(parse(canonical)) == canonical


@pytest.mark.parametrize(
    ("filter_", "line", "column", "message"),
    [
        ("", 1, 1, "ends too early; expected '(' or FALSE"),
        ("a = ", 1, 5, "expected NULL or TIME '...' or a number"),
        ("a = 1\n  OR b ~ 2", 2, 8, "'~' can't stand here; expected BETWEEN"),
        ("a = 'x", 1, 5, "a quote that is not closed"),
        ("(a = 1", 1, 7, "the filter ends too early; expected ')'"),
        ("a = 1 b", 1, 7, "expected AND or OR or the end"),
        ("a LIKE '%x'", 1, 8, "one % at the end"),
        ("a LIKE 'a_%'", 1, 8, "no _"),
        ("a LIKE 'a%b%'", 1, 8, "one %"),
        ("a = 1 ORb = 2", 1, 7, "'ORb' can't stand here"),
        ("a IN (1, 'x')", 1, 1, "values of one kind, not number and text"),
        ("a = TIME 'now'", 1, 10, "not a time"),
        ("a = " + "9" * 39, 1, 5, "38 digits"),
        ("a = 1e5", 1, 5, "can't stand here"),
        ("a = 'x' AND a = '" + "y" * 1_001 + "'", 1, 13, "1000 characters"),
        ("NOT " * 100 + "a = 1", 1, 257, "deeper than 64"),
        ("(" * 9_000, 1, 65, "deeper than 64"),
        (" " * (MAX_LENGTH + 1), 0, 0, "up to 16384 characters"),
        ('"' + "n" * 129 + '" = 1', 1, 1, "1 to 128"),
        ("a = 1" + " OR a = 1" * 1_000, 0, 0, "more than 1000 parts"),
        ("a IN (" + "1," * 1_000 + "1)", 1, 1, "1 to 1000 values"),
        ("\ud800 = 1", 1, 1, "can't stand here"),
    ],
)
def test_errors_have_the_position_and_the_expected_tokens(filter_, line, column, message):
    with pytest.raises(FilterError) as caught:
        parse(filter_)
    assert (caught.value.line, caught.value.column) == (line, column) and message in str(caught.value)


FRAGMENTS = [
    "a",
    "or",
    " AND ",
    "NOT ",
    "(",
    ")",
    "=",
    "<>",
    "IN",
    " IS NULL",
    " BETWEEN ",
    "'x'",
    "'",
    '"',
    "1",
    ".",
    "-",
    "TIME ",
    "NULL",
    ",",
    "%",
    "\n",
    "é",
    "\x00",
    "\ud800",
    "LIKE",
    " STARTS WITH ",
]


@property_settings(max_examples=600)
@given(
    st.one_of(
        st.binary(max_size=60).map(lambda raw: raw.decode("latin-1")),
        st.lists(st.sampled_from(FRAGMENTS), max_size=25).map("".join),
        st.tuples(predicates().map(text), st.integers(0, 200), st.integers(0, 5), st.sampled_from(FRAGMENTS)).map(
            lambda cut: cut[0][: cut[1]] + cut[3] + cut[0][cut[1] + cut[2] :]
        ),
    )
)
def test_any_text_gives_a_filter_or_a_filter_error(filter_):
    try:
        made = parse(filter_)
    except FilterError:
        return
    assert parse(text(made)) == made


def test_longest_malformed_filters_are_rejected_quickly():
    for unit in (
        "'",
        "''",
        '"',
        "a = 1 OR ",
        "NOT ",
        "(",
        "a IN (1,",
        "-",
        "9",
        "a = '" + "x" * 40 + "' AND ",
        "\n",
        "()",
    ):
        began = time.process_time()
        with pytest.raises(FilterError):
            parse((unit * MAX_LENGTH)[:MAX_LENGTH])
        assert time.process_time() - began < 2.0, unit


def test_values_are_typed_or_rejected():
    row = typed_row({"A": 0.1, "b": 2.0, "c": datetime(2026, 1, 1), "d": None})
    assert row == {"a": Decimal("0.1"), "b": 2, "c": datetime(2026, 1, 1, tzinfo=UTC), "d": None}
    for value in (
        float("nan"),
        float("inf"),
        Decimal("NaN"),
        Decimal("1e99"),
        10**38,
        b"x",
        True,
        "\ud800",
        object(),
        datetime.max.replace(tzinfo=datetime.strptime("-0100", "%z").tzinfo),
    ):
        with pytest.raises(ValueError):
            typed(value)
        with pytest.raises(ValueError, match="column 'x'"):
            typed_row({"x": value})
    with pytest.raises(ValueError, match="case only"):
        typed_row({"x": 1, "X": 1})
    assert compare("n", "=", 1).truth({"n": "1"}) is None and starts("n", "").truth({"n": 1}) is None


@property_settings(max_examples=150)
@given(st.lists(predicates(leaves=5), max_size=12), st.lists(st.sampled_from(ROWS), max_size=8), st.data())
def test_index_finds_the_same_filters_as_a_scan(filters, rows, data):
    max_shapes = data.draw(st.sampled_from([2, 64]))
    before, max_unsorted = (index_module.MAX_SHAPES, index_module.MAX_UNSORTED), data.draw(st.sampled_from([0, 1, 8]))
    index_module.MAX_SHAPES, index_module.MAX_UNSORTED = max_shapes, max_unsorted
    try:
        index, expected = FilterIndex(), {}
        for predicate in filters:
            key = data.draw(st.integers(0, 9))
            if data.draw(st.integers(0, 3)):
                index.add(key, predicate)
                expected[key] = predicate
            else:
                assert index.remove(key) == (expected.pop(key, None) is not None)
            for row in rows:
                assert sorted(index.find(row)) == sorted(
                    key for key, predicate_ in expected.items() if match(predicate_, row)
                )
            assert len(index) == len(expected) and len(index._shapes) <= max_shapes + 1
        for key in list(expected):
            index.remove(key)
        assert not index._shapes, "a removed filter left an entry"
    finally:
        index_module.MAX_SHAPES, index_module.MAX_UNSORTED = before


@property_settings(max_examples=300)
@example(-8, 7, 8)
@given(st.integers(-300, 300), st.integers(0, 300), st.integers(-300, 700))
def test_range_is_found_between_and_at_its_bounds(low, width, half_units):
    index = FilterIndex()
    for n in range(index_module.MAX_UNSORTED):
        index.add(f"first {n}", compare("other", "=", None))
        index.add(f"none {n}", compare("other", "<>", n))
    index.add(1, all_of(compare("n", ">=", low), compare("n", "<=", low + width)))
    index.add(2, all_of(compare("n", ">", low), compare("n", "<", Decimal(low + width) + Decimal("0.5"))))
    value = Decimal(half_units) / 2
    assert sorted(index.find({"n": value})) == [1] * (low <= value <= low + width) + [2] * (
        low < value < low + width + Decimal("0.5")
    )


def test_index_evaluates_few_filters_and_rejects_more_than_its_bound():
    index = FilterIndex(max_filters=2_000)
    for n in range(500):
        index.add(("equal", n), parse(f"tenant = 't{n}' AND class = 'bulk' AND cost > 5"))
        index.add(("listed", n), parse(f"engine IN ({n}, {n + 1}) OR tenant = 'u{n}'"))
        index.add(("range", n), parse(f"class = 'bulk' AND cost BETWEEN {n * 10} AND {n * 10 + 15}"))
        index.add(("prefix", n), parse(f"agent STARTS WITH 'a{n:04}' AND cost > 1"))
    row = {"tenant": "t7", "class": "bulk", "cost": 3_001, "engine": 400, "agent": "a0300x"}
    assert sorted(index.find(row)) == [
        ("equal", 7),
        ("listed", 399),
        ("listed", 400),
        ("prefix", 300),
        ("range", 299),
        ("range", 300),
    ]
    assert index.tried <= 30
    with pytest.raises(FilterError, match="more than 2000"):
        index.add("one more", parse("a = 1"))
    index.add(("equal", 7), parse("tenant = 'other'"))
    assert ("equal", 7) not in index.find(row) and len(index) == 2_000


def test_places_of_a_filter_and_lookups_of_a_row_are_bounded(monkeypatch):
    monkeypatch.setattr(index_module, "MAX_SHAPES", 3)
    index = FilterIndex()
    for n in range(20):
        index.add(n, parse(f"a = 1 AND c{n} = 1"))
        index.add(f"alone {n}", parse(f"c{n} = 1"))
    assert len(index._shapes) <= 4
    assert sorted(map(str, index.find({"a": 1, "c19": 1}))) == ["19", "alone 19"]
    monkeypatch.undo()
    index = FilterIndex()
    many = ", ".join(map(str, range(100)))
    index.add("many", parse(f"a IN ({many}) AND b IN ({many}) OR d IN (1, 2) AND e IN ({many})"))
    assert len(index._filters["many"][1]) <= index_module.MAX_PLACES
    assert all("many" in index.find(row) for row in ({"a": 5, "b": 99}, {"d": 2, "e": 0}))
