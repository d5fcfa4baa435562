"""The WHERE clause of a statement as a predicate on each of its tables' rows.

Owns what is read from SQL, and that it errs to one side only: whatever is not understood becomes UNKNOWN, which may
match. A table's predicate says which of its rows can have part in the answer at all. Must never raise for any text, and
never be imported on the path of requests that scatter nothing: it loads the SQL parser.
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

MAX_LENGTH = 4_096  # characters; longer statements are not read, nor kept
MAX_OPEN_PARENTHESES = 64  # parentheses open at once
CACHED = 1_024  # statements
_OPERATORS = {exp.EQ: "=", exp.NEQ: "<>", exp.LT: "<", exp.LTE: "<=", exp.GT: ">", exp.GTE: ">="}
_FLIPPED = {"=": "=", "<>": "<>", "<": ">", "<=": ">=", ">": "<", ">=": "<="}
# Clauses that leave a row's part in the answer to WHERE alone. Any other makes the whole statement unknown.
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
# What some engines run, nest or compute (4--1 is 5), while others pass over it as a comment.
_ODD_COMMENT = re.compile(r"/\*M?!|/\*(?:(?!\*/).)*?/\*|--[^\s-]", re.DOTALL)
logging.getLogger("sqlglot").setLevel(logging.CRITICAL)  # clients' statements are no matter for the log


class Source(Struct, frozen=True):
    """A table that a statement names, in lower case; `schema` is empty if none is named."""

    schema: str
    table: str
    predicate: Predicate


class Statement(Struct, frozen=True):
    """What was read of a statement. `understood` False: nothing was, and each table may match."""

    understood: bool
    sources: tuple[Source, ...] = ()

    def predicate(self, table: str) -> Predicate:
        """Return the predicate on the rows of `schema.table` or `table`: any of those at the places that name it.

        UNKNOWN if none does.
        """
        schema, _, name = table.lower().rpartition(".")
        found = [
            source.predicate
            for source in self.sources
            if source.table == name and (not schema or not source.schema or source.schema == schema)
        ]
        return any_of(*found) if found else UNKNOWN


_NOTHING = Statement(False)


class _CantError(Exception):
    """What can't be read here."""


class Reader:
    """Reads statements of one dialect (a name that sqlglot knows; "": its own mix) and remembers the last CACHED texts.

    `times` names the columns that the engine compares as times, so that a text beside one is read as a time; elsewhere
    a text beside a number or time may match. `binary`: the engine tells texts apart and orders them by code point; if
    it folds cases or trailing blanks, set it to False, and nothing is made of texts.
    """

    def __init__(self, dialect: str = "", times: Iterable[str] = (), binary: bool = True, cached: int = CACHED):
        self.dialect, self.binary = dialect, binary
        self.times = {fold_column(name) for name in times}
        self.unread = 0  # statements of which nothing was understood, cached ones not counted again
        self._cached = lru_cache(maxsize=cached)(self._read)
        self.cache_info = self._cached.cache_info

    def read(self, sql: str) -> Statement:
        """Return what the statement reads; never raises.

        Longer than MAX_LENGTH, or not understood: the statement of which nothing is known, counted in `unread` (a
        cached one is counted once).
        """
        if len(sql) > MAX_LENGTH:
            self.unread += 1
            return _NOTHING
        return self._cached(sql)

    def _read(self, sql: str) -> Statement:
        try:
            return self._statement(sql)
        except Exception:  # a parser's fault on a client's text must not become the coordinator's
            self.unread += 1
            return _NOTHING

    def _statement(self, sql: str) -> Statement:
        if max_open_parentheses(sql) > MAX_OPEN_PARENTHESES or _ODD_COMMENT.search(sql):
            raise _CantError
        trees = [tree for tree in sqlglot.parse(sql, read=self.dialect or None) if type(tree) is not exp.Semicolon]
        if len(trees) != 1 or type(trees[0]) is not exp.Select:
            raise _CantError
        tree = trees[0]
        if {name for name, value in tree.args.items() if value} - _CLAUSES or not tree.args.get("from_"):
            raise _CantError
        if any(one.args.get("join_mark") for one in tree.find_all(exp.Column)):
            raise _CantError  # an outer join within WHERE
        direct, optional = _direct(tree)
        where = tree.args.get("where")
        sources = []
        for table in tree.find_all(exp.Table):
            schema, name = table.db.lower(), table.name.lower()
            if not name:
                raise _CantError  # a function's rows may be those of any table
            predicate: Predicate = UNKNOWN
            if id(table) in direct and id(table) not in optional and _is_plain(table):
                predicate = _Scope(self, table, list(direct.values())).read(where.this) if where else Const(True)
            sources.append(Source(schema, name, predicate))
        return Statement(True, tuple(sources))


def max_open_parentheses(sql: str) -> int:
    """Return the greatest number of parentheses open at once, to guard the parser's recursion.

    Quotes and comments are not looked at, and unmatched closing ones are subtracted from those that follow.
    """
    most = open_ = 0
    for letter in sql:
        if letter == "(":
            open_ += 1
            most = max(most, open_)
        elif letter == ")":
            open_ -= 1
    return most


def _direct(tree: exp.Select) -> tuple[dict[int, exp.Expression], set[int]]:
    """What FROM and JOIN name by id, and those of which a missing row shows as nulls instead: to leave their rows out
    would make answers that are not there."""
    first = tree.args["from_"].this
    direct, optional = {id(first): first}, set()
    for join in tree.args.get("joins") or ():
        side, kind, method = join.side.upper(), join.kind.upper(), join.method.upper()
        if method not in ("", "NATURAL") or (side, kind) not in (
            ("", ""),
            ("", "INNER"),
            ("", "CROSS"),
            ("LEFT", ""),
            ("LEFT", "OUTER"),
        ):
            raise _CantError
        direct[id(join.this)] = join.this
        if side:
            optional.add(id(join.this))
    return direct, optional


def _is_plain(table: exp.Table) -> bool:
    """A table's own rows under its own columns' names: no function, sample, pivot, older state or renamed columns."""
    alias = table.args.get("alias")
    return (
        isinstance(table.this, exp.Identifier)
        and not (alias and alias.columns)
        and not {name for name, value in table.args.items() if value} - {"this", "db", "catalog", "alias", "hints"}
    )


class _Scope:
    """Reads WHERE for the rows of one table among those that the statement names."""

    def __init__(self, reader: Reader, table: exp.Table, sources: list[exp.Expression]):
        self.times, self.binary, self.alone = reader.times, reader.binary, len(sources) == 1
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
        except (_CantError, ValueError):
            return UNKNOWN

    def _atom(self, kind: type, node: exp.Expression) -> Predicate:
        if kind in _OPERATORS:
            left, right, op = node.this, node.expression, _OPERATORS[kind]
            if type(left) is not exp.Column:
                left, right, op = right, left, _FLIPPED[op]
            name = self._column(left)
            return compare(name, op, self._value(name, right))
        if kind is exp.In:  # of a query, it lists no value, which `one_of` refuses
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
        raise _CantError

    def _like(self, name: str, pattern: str) -> Predicate:
        """LIKE may or may not tell ASCII's cases apart: what holds either way is how the text begins, in some case."""
        prefixes = [""]
        for letter in pattern:
            if letter in "%_[\\" or not letter.isascii() or len(prefixes) > 4:
                break
            prefixes = [prefix + case for prefix in prefixes for case in sorted({letter.lower(), letter.upper()})]
        if prefixes == [""]:
            raise _CantError
        return all_of(any_of(*[starts(name, prefix) for prefix in prefixes]), UNKNOWN)

    def _column(self, node: exp.Expression) -> str:
        if type(node) is not exp.Column or type(node.this) is not exp.Identifier:
            raise _CantError
        if node.table:
            if node.table.lower() != self.alias or not self.unique or node.db.lower() not in ("", self.schema):
                raise _CantError
        elif not self.alone:
            raise _CantError
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
            raise _CantError
        return text

    def _text(self, node: exp.Expression) -> str:
        """A text that is the same in each dialect."""
        if type(node) is exp.National or type(node) is exp.Literal and node.is_string:
            if "\\" not in node.name and "\0" not in node.name:
                return node.name
        raise _CantError


def exact_number(text: str) -> int | Decimal:
    """Return a number that is the same whether the engine takes it as a decimal or as a double; raises for others."""
    value = parse_number(text)
    if type(value) is int and -(2**53) <= value <= 2**53:
        return value
    if type(value) is Decimal and len(value.as_tuple().digits) <= 15 and abs(value.adjusted()) <= 15:
        return value
    raise _CantError


def exact_time(text: str) -> Value:
    """Return a time of whole seconds without a zone; raises for others, as engines round fractions differently."""
    if len(text) not in (10, 19):
        raise _CantError
    return parse_time(text)
