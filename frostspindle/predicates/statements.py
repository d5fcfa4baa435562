"""Reading the WHERE clause of a statement as a predicate on the rows of each of its tables.

A table's predicate tells which of its rows can affect the result. Whatever is not understood becomes UNKNOWN, which may
match, so errors are to one side only. No text raises an exception. This loads the SQL parser, so it must not be
imported for requests that are not scattered.
"""

from __future__ import annotations

import logging
import re
from collections.abc import Iterable
from decimal import Decimal
from functools import lru_cache

import sqlglot
from msgspec import Struct
from sqlglot import exp

from frostspindle.predicates.algebra import (
    UNKNOWN,
    Const,
    Predicate,
    all_of,
    any_of,
    bounded,
    compare,
    is_null,
    negate,
    one_of,
    starts,
)
from frostspindle.predicates.values import FilterError, Value, fold_column, parse_number, parse_time

MAX_LENGTH = 4_096  # characters; longer statements are neither read nor cached
MAX_OPEN_PARENTHESES = 64
MAX_CACHED_STATEMENTS = 1_024
_OPERATORS = {exp.EQ: "=", exp.NEQ: "<>", exp.LT: "<", exp.LTE: "<=", exp.GT: ">", exp.GTE: ">="}
_SWAPPED_OPERATORS = {"=": "=", "<>": "<>", "<": ">", "<=": ">=", ">": "<", ">=": "<="}
# With these clauses WHERE alone decides whether a row can affect the result. Others make the statement unknown.
_CLAUSES = {
    "expressions",
    "from_",
    "joins",
    "where",
    "group",
    "having",
    "order",
    "limit",
    "offset",
    "distinct",
    "windows",
    "qualify",
    "hint",
}
_DATES = {exp.DType.DATE, exp.DType.DATETIME, exp.DType.DATETIME2, exp.DType.TIMESTAMP}
# Some engines execute, nest or compute these (4--1 is 5), others skip them as comments.
_AMBIGUOUS_COMMENT = re.compile(r"/\*M?!|/\*(?:(?!\*/).)*?/\*|--[^\s-]", re.DOTALL)
logging.getLogger("sqlglot").setLevel(logging.CRITICAL)  # keeps clients' statements out of the log


class Source(Struct, frozen=True):
    """A table that a statement names, in lower case; `schema` is empty if none is named."""

    schema: str
    table: str
    predicate: Predicate


class Statement(Struct, frozen=True):
    """The result of reading a statement. `understood` False: nothing is known, and each table may match."""

    understood: bool
    sources: tuple[Source, ...] = ()

    def predicate(self, table: str) -> Predicate:
        """Return the predicate on the rows of `schema.table` or `table`, the disjunction over all its occurrences.

        UNKNOWN if the statement does not name the table.
        """
        schema, _, name = table.lower().rpartition(".")
        predicates = [
            source.predicate
            for source in self.sources
            if source.table == name and (not schema or not source.schema or source.schema == schema)
        ]
        return any_of(*predicates) if predicates else UNKNOWN


_NOT_UNDERSTOOD = Statement(False)


class _NotUnderstoodError(Exception):
    """A part of the statement can't be read."""


class Reader:
    """Reads statements of one of sqlglot's dialects ("": its own) and caches the results of the last `cached` texts.

    `times` names the columns that the engine compares as times, so that a text compared with one is read as a time; for
    other columns a text compared with a number or time may match. `binary`: the engine compares texts by code point. If
    it folds case or trailing blanks, it must be False, and comparisons of texts are not understood.
    """

    def __init__(
        self, dialect: str = "", times: Iterable[str] = (), binary: bool = True, cached: int = MAX_CACHED_STATEMENTS
    ):
        self.dialect, self.binary = dialect, binary
        self.times = {fold_column(name) for name in times}
        self.unread = 0  # statements that were not understood; cached ones are not counted again
        self._cached = lru_cache(maxsize=cached)(self._read)
        self.cache_info = self._cached.cache_info

    def read(self, sql: str) -> Statement:
        """Return the predicates of the statement; never raises.

        A statement that is longer than MAX_LENGTH or can't be read is not `understood` and is counted in `unread`,
        once while it is cached.
        """
        if len(sql) > MAX_LENGTH:
            self.unread += 1
            return _NOT_UNDERSTOOD
        return self._cached(sql)

    def _read(self, sql: str) -> Statement:
        try:
            return self._statement(sql)
        except Exception:  # a fault of the parser on a client's text must not become one of the coordinator
            self.unread += 1
            return _NOT_UNDERSTOOD

    def _statement(self, sql: str) -> Statement:
        if max_open_parentheses(sql) > MAX_OPEN_PARENTHESES or _AMBIGUOUS_COMMENT.search(sql):
            raise _NotUnderstoodError
        trees = [tree for tree in sqlglot.parse(sql, read=self.dialect or None) if type(tree) is not exp.Semicolon]
        if len(trees) != 1 or type(trees[0]) is not exp.Select:
            raise _NotUnderstoodError
        tree = trees[0]
        if {name for name, value in tree.args.items() if value} - _CLAUSES or not tree.args.get("from_"):
            raise _NotUnderstoodError
        if any(column_node.args.get("join_mark") for column_node in tree.find_all(exp.Column)):
            raise _NotUnderstoodError  # an outer join written in WHERE
        joined, optional = _joined_tables(tree)
        where = tree.args.get("where")
        sources = []
        for table in tree.find_all(exp.Table):
            schema, name = table.db.lower(), table.name.lower()
            if not name:
                raise _NotUnderstoodError  # a table function may return rows of any table
            predicate: Predicate = UNKNOWN
            if id(table) in joined and id(table) not in optional and _is_plain(table):
                predicate = _Scope(self, table, list(joined.values())).read(where.this) if where else Const(True)
            sources.append(Source(schema, name, predicate))
        return Statement(True, tuple(sources))


def max_open_parentheses(sql: str) -> int:
    """Return the greatest number of parentheses open at once, to guard the parser's recursion.

    Quotes and comments are not recognised, and unmatched closing parentheses are subtracted from later opening ones.
    """
    maximum = open_count = 0
    for character in sql:
        if character == "(":
            open_count += 1
            maximum = max(maximum, open_count)
        elif character == ")":
            open_count -= 1
    return maximum


def _joined_tables(tree: exp.Select) -> tuple[dict[int, exp.Expression], set[int]]:
    """Return the tables of FROM and JOIN by id, and the ids of the optional ones, whose missing rows become nulls.

    To skip rows of an optional table would add rows to the result.
    """
    first = tree.args["from_"].this
    joined, optional = {id(first): first}, set()
    for join in tree.args.get("joins") or ():
        side, kind, method = join.side.upper(), join.kind.upper(), join.method.upper()
        if method not in ("", "NATURAL") or (side, kind) not in (
            ("", ""),
            ("", "INNER"),
            ("", "CROSS"),
            ("LEFT", ""),
            ("LEFT", "OUTER"),
        ):
            raise _NotUnderstoodError
        joined[id(join.this)] = join.this
        if side:
            optional.add(id(join.this))
    return joined, optional


def _is_plain(table: exp.Table) -> bool:
    """Return whether it is a table as such: no function, sample, pivot, historical state or renamed columns."""
    alias = table.args.get("alias")
    return (
        isinstance(table.this, exp.Identifier)
        and not (alias and alias.columns)
        and not {name for name, value in table.args.items() if value} - {"this", "db", "catalog", "alias", "hints"}
    )


class _Scope:
    """Reads WHERE as a predicate on the rows of one of the statement's tables."""

    def __init__(self, reader: Reader, table: exp.Table, sources: list[exp.Expression]):
        self.times, self.binary, self.is_only_table = reader.times, reader.binary, len(sources) == 1
        self.alias, self.schema = table.alias_or_name.lower(), "" if table.alias else table.db.lower()
        self.unique = sum(source.alias_or_name.lower() == self.alias for source in sources) == 1

    def read(self, where: exp.Expression) -> Predicate:
        try:
            return bounded(self._read(where))
        except FilterError:
            return UNKNOWN

    def _read(self, node: exp.Expression) -> Predicate:
        kind = type(node)
        if kind is exp.Paren:
            return self._read(node.this)
        if kind is exp.And or kind is exp.Or:
            join = all_of if kind is exp.And else any_of
            return join(*[self._read(part) for part in node.flatten()])
        if kind is exp.Not:
            return negate(self._read(node.this))
        if kind is exp.Boolean:
            return Const(node.this)
        try:
            return self._atom(kind, node)
        except (_NotUnderstoodError, ValueError):
            return UNKNOWN

    def _atom(self, kind: type, node: exp.Expression) -> Predicate:
        if kind in _OPERATORS:
            left, right, op = node.this, node.expression, _OPERATORS[kind]
            if type(left) is not exp.Column:
                left, right, op = right, left, _SWAPPED_OPERATORS[op]
            name = self._column(left)
            return compare(name, op, self._value(name, right))
        if kind is exp.In:  # IN of a query has no listed values, which `one_of` rejects
            name = self._column(node.this)
            return one_of(name, [self._value(name, value) for value in node.expressions])
        if kind is exp.Between and not node.args.get("symmetric"):
            name = self._column(node.this)
            return all_of(
                compare(name, ">=", self._value(name, node.args["low"])),
                compare(name, "<=", self._value(name, node.args["high"])),
            )
        if kind is exp.Is and type(node.expression) is exp.Null:
            return is_null(self._column(node.this))
        if kind is exp.Like and self.binary and not set(node.args) - {"this", "expression"}:
            return self._like(self._column(node.this), self._text(node.expression))
        raise _NotUnderstoodError

    def _like(self, name: str, pattern: str) -> Predicate:
        """Read LIKE as a prefix in any ASCII case, AND UNKNOWN, as it may or may not be case-sensitive."""
        prefixes = [""]
        for character in pattern:
            if character in "%_[\\" or not character.isascii() or len(prefixes) > 4:
                break
            prefixes = [prefix + case for prefix in prefixes for case in sorted({character.lower(), character.upper()})]
        if prefixes == [""]:
            raise _NotUnderstoodError
        return all_of(any_of(*[starts(name, prefix) for prefix in prefixes]), UNKNOWN)

    def _column(self, node: exp.Expression) -> str:
        if type(node) is not exp.Column or type(node.this) is not exp.Identifier:
            raise _NotUnderstoodError
        if node.table:
            if node.table.lower() != self.alias or not self.unique or node.db.lower() not in ("", self.schema):
                raise _NotUnderstoodError
        elif not self.is_only_table:
            raise _NotUnderstoodError
        return fold_column(node.name)

    def _value(self, name: str, node: exp.Expression) -> Value:
        kind = type(node)
        if kind is exp.Paren:
            return self._value(name, node.this)
        if kind is exp.Null:
            return None
        if kind is exp.Neg and type(node.this) is exp.Literal and not node.this.is_string:
            return exact_number("-" + node.this.name)
        if kind is exp.Literal and not node.is_string:
            return exact_number(node.name)
        if kind is exp.Cast and type(node.to) is exp.DataType and node.to.this in _DATES:
            return exact_time(self._text(node.this))
        text = self._text(node)
        if name in self.times:
            return exact_time(text)
        if not self.binary:
            raise _NotUnderstoodError
        return text

    def _text(self, node: exp.Expression) -> str:
        """Return a text literal that means the same in each dialect."""
        if type(node) is exp.National or type(node) is exp.Literal and node.is_string:
            if "\\" not in node.name and "\0" not in node.name:
                return node.name
        raise _NotUnderstoodError


def exact_number(text: str) -> int | Decimal:
    """Parse a number that has the same value as a decimal and as a double; raises for others."""
    value = parse_number(text)
    if type(value) is int and -(2**53) <= value <= 2**53:
        return value
    if type(value) is Decimal and len(value.as_tuple().digits) <= 15 and abs(value.adjusted()) <= 15:
        return value
    raise _NotUnderstoodError


def exact_time(text: str) -> Value:
    """Parse a time of whole seconds without a zone; raises for others, as engines round fractions differently."""
    if len(text) not in (10, 19):
        raise _NotUnderstoodError
    return parse_time(text)
