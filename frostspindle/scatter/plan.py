"""What a statement on spread tables becomes: one statement for each site and the merge of their rows, or why it can't.

Owns what is scattered and what is turned down, and which rows a load brings. What is not known to be exact is turned
down: parts see their site's rows alone, so that only what is computed row by row may stand anywhere in a statement. It
must never guess, never raise for any text, and is loaded only where something is spread: it loads the SQL parser.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from functools import lru_cache

import sqlglot
from msgspec import Struct
from sqlglot import exp

from frostspindle.catalogue import CELL_SUFFIX, DECIMAL, FLOAT, INTEGER, TEXT, Catalogue, Column
from frostspindle.catalogue import TIME as TIME_TYPE
from frostspindle.predicates.algebra import And, Compare, Or, Predicate, all_of, any_of, one_of
from frostspindle.predicates.statements import MAX_LENGTH, MAX_OPEN, Reader, most_open, plain_moment, plain_number
from frostspindle.predicates.values import MAX_TEXT, NUMBER, TIME, Value, canonical, number
from frostspindle.predicates.values import TEXT as TEXT_KIND
from frostspindle.scatter.merge import COUNT, GREATEST, KEY, LEAST, MEAN, SUM, Cell, Merge, Order

CACHED = 1_024  # statements
MOST_COLUMNS = 256  # of a part's row
MOST_NUMBER = 10**9  # of a limit
NULL_CELL, UNKNOWN_CELL = 0, 4  # kinds of a load's value beside those of predicates.values
MOST_CELL = 600  # letters of a value that a load tells of; longer ones are unknown
MOST_CELLS = 64  # cells of a range that a summary is asked for
Cells = dict[str, list[tuple[int, str]]]  # by column the distinct values of a load's rows: kind and canonical text
# What is computed of a row alone, and is the same wherever the row is.
_ROW_WISE = (
    exp.Column,
    exp.Identifier,
    exp.Literal,
    exp.Null,
    exp.Boolean,
    exp.And,
    exp.Or,
    exp.Not,
    exp.Paren,
    exp.EQ,
    exp.NEQ,
    exp.LT,
    exp.LTE,
    exp.GT,
    exp.GTE,
    exp.In,
    exp.Between,
    exp.Is,
    exp.Like,
    exp.Add,
    exp.Sub,
    exp.Mul,
    exp.Div,
    exp.Neg,
    exp.Lower,
    exp.Upper,
    exp.Length,
    exp.Abs,
    exp.Coalesce,
    exp.Case,
    exp.If,
    exp.Alias,
    exp.National,
    exp.Where,
    exp.Tuple,
)
_CLAUSES = {
    "expressions": "",
    "from_": "",
    "where": "",
    "group": "",
    "order": "",
    "limit": "",
    "offset": "",
    "distinct": "",
    "joins": "a join",
    "having": "HAVING",
    "windows": "a window",
    "with_": "WITH",
}
_TOTALS = {exp.Count: COUNT, exp.Sum: SUM, exp.Min: LEAST, exp.Max: GREATEST, exp.Avg: MEAN}


class Plan(Struct, frozen=True):
    """Either the parts' statement, the merge and the predicate on rows, or the reason (`refused`) why there is none."""

    refused: str = ""
    statement: str = ""
    merge: Merge = Merge()
    predicate: Predicate | None = None


class Rows(Struct, frozen=True):
    """What a load inserts. `cells` None: it can't be told. `places`: the values of the columns that place rows."""

    count: int = 0
    cells: Cells | None = None
    places: tuple[str, ...] = ()  # of each row, once


class _CantError(Exception):
    """The reason why a statement is not scattered."""


class Planner:
    """Reads statements on a catalogue's tables; remembers the last CACHED texts."""

    def __init__(self, catalogue: Catalogue) -> None:
        terms = catalogue.settings
        self.catalogue, self.dialect, self.binary = catalogue, terms.dialect, terms.binary
        self._readers: dict[int, Reader] = {}
        for at, group in catalogue.groups.items():
            times = [column.name for column in group.column if column.type == TIME_TYPE]
            self._readers[at] = Reader(terms.dialect, times, terms.binary)
        self.plan = lru_cache(maxsize=CACHED)(self._plan)  # of a group's number and a statement

    # Queries.

    def _plan(self, group: int, sql: str) -> Plan:
        try:
            return self._select(group, sql)
        except _CantError as error:
            return Plan(refused=f"not scatterable: {error}")
        except Exception:  # a parser's fault on a client's text must not become the coordinator's
            return Plan(refused="not scatterable: not understood")

    def _select(self, group: int, sql: str) -> Plan:
        if len(sql) > MAX_LENGTH:
            raise _CantError(f"longer than {MAX_LENGTH} characters")
        if "\0" in sql:
            raise _CantError("a character that is none")
        read = self._readers[group].read(sql)
        if not read.understood:
            raise _CantError("not a plain SELECT")
        tree = sqlglot.parse_one(sql, read=self.dialect)
        if type(tree) is not exp.Select:
            raise _CantError("not a plain SELECT")
        for name, held in tree.args.items():
            if held and _CLAUSES.get(name, name):
                raise _CantError(_CLAUSES.get(name, name.strip("_").upper()))
        table = self._table(group, tree.args["from_"].this)
        for node in tree.find_all(exp.Query):
            if node is not tree:
                raise _CantError("a query within the statement")
        made = _Select(self, group, tree, table)
        statement, how = made.grouped() if made.is_grouped else made.plain()
        name = f"{self.catalogue.groups[group].schema}.{table.name.lower()}"
        return Plan("", statement or sql, how, with_step_cells(read.predicate(name), self.catalogue.columns[group]))

    def _table(self, group: int, table: exp.Expression) -> exp.Table:
        spread = self.catalogue.groups[group]
        if type(table) is not exp.Table or not isinstance(table.this, exp.Identifier):
            raise _CantError("not of one table")
        if table.catalog or table.db.lower() != spread.schema or table.name.lower() not in spread.tables:
            raise _CantError("a table that is not spread")
        alias = table.args.get("alias")
        if (alias and alias.columns) or {name for name, held in table.args.items() if held} - {"this", "db", "alias"}:
            raise _CantError("a sample, hint or renamed columns")
        return table

    # Loads.

    def load(self, group: int, sql: str) -> Rows:
        """Return the rows of an INSERT of plain values; Rows() (any rows) if it is not understood.

        A value that can't be told for certain makes its column unknown.
        """
        try:
            return self._insert(group, sql)
        except Exception:  # whatever it is, it may bring any row
            return Rows()

    def _insert(self, group: int, sql: str) -> Rows:
        spread = self.catalogue.groups[group]
        if len(sql) > MAX_LENGTH or most_open(sql) > MAX_OPEN or "/*" in sql or "--" in sql:
            raise _CantError("too long")
        trees = [tree for tree in sqlglot.parse(sql, read=self.dialect) if type(tree) is not exp.Semicolon]
        tree = trees[0]
        held = {name for name, value in tree.args.items() if value}
        if len(trees) != 1 or type(tree) is not exp.Insert or held - {"this", "expression"}:
            raise _CantError("not an INSERT")
        target, values = tree.this, tree.expression
        if type(target) is not exp.Schema or type(values) is not exp.Values:
            raise _CantError("no columns or no values")
        self._table(group, target.this)
        names = [one.name.lower() for one in target.expressions]
        columns = self.catalogue.columns[group]
        rows = [list(row.expressions) for row in values.expressions]
        if len(set(names)) != len(names) or any(len(row) != len(names) for row in rows):
            raise _CantError("values that don't fit")
        cells: Cells = {}
        for name in (one.name for one in spread.column if one.type != FLOAT):
            at = names.index(name) if name in names else -1  # left out: its default, which nobody here knows
            found = {_cell(columns[name], row[at]) if at >= 0 else (UNKNOWN_CELL, "") for row in rows}
            cells[name] = sorted(found)
            if columns[name].step:
                cells[name + CELL_SUFFIX] = step_cells(cells[name], columns[name].step)
        places = ()
        if spread.by and set(spread.by) <= set(names):
            ats = [names.index(name) for name in spread.by]
            by = [columns[name] for name in spread.by]
            told = [[_cell(column, row[at]) for column, at in zip(by, ats, strict=True)] for row in rows]
            if not any(kind == UNKNOWN_CELL for row in told for kind, _ in row):
                places = tuple(sorted({"\0".join(f"{kind}{text}" for kind, text in row) for row in told}))
        return Rows(len(rows), cells, places)


def _cell(column: Column, node: exp.Expression) -> tuple[int, str]:
    """A value as the engine will hold it, where that is certain."""
    try:
        if type(node) is exp.Null:
            return NULL_CELL, ""
        found: Value = None
        if column.type in (INTEGER, DECIMAL):
            sign = "-" if type(node) is exp.Neg else ""
            inner = node.this if sign else node
            if type(inner) is not exp.Literal or inner.is_string:
                return UNKNOWN_CELL, ""
            found = plain_number(sign + inner.name)
            scale = column.scale if column.type == DECIMAL else 0
            if found != round(found, scale):  # type: ignore[arg-type, call-overload]
                return UNKNOWN_CELL, ""  # the engine rounds it its way
            return NUMBER, canonical(found)
        if type(node) is not exp.National and not (type(node) is exp.Literal and node.is_string):
            return UNKNOWN_CELL, ""
        if "\\" in node.name or "\0" in node.name:
            return UNKNOWN_CELL, ""
        if column.type == TIME_TYPE:
            return TIME, canonical(plain_moment(node.name))
        if column.type == TEXT and len(node.name.encode()) <= min(MAX_TEXT, MOST_CELL):
            return TEXT_KIND, node.name
    except Exception:  # a literal that is none
        pass
    return UNKNOWN_CELL, ""


def step_cells(cells: Sequence[tuple[int, str]], step: int) -> list[tuple[int, str]]:
    """Return the step cells that a load's values lie in; values that are no numbers stay as they are."""
    return sorted({(kind, str(math.floor(number(text)) // step) if kind == NUMBER else text) for kind, text in cells})


def with_step_cells(predicate: Predicate, columns: dict[str, Column]) -> Predicate:
    """Return the predicate with, for each narrow range, the cells in which all rows within that range lie."""
    if type(predicate) is Or:
        return any_of(*(with_step_cells(part, columns) for part in predicate.parts))
    if type(predicate) is not And:
        return predicate
    parts = [with_step_cells(part, columns) for part in predicate.parts]
    for name, column in columns.items():
        bounds = [part for part in parts if type(part) is Compare and part.column == name and part.kind == NUMBER]
        least = [part.value for part in bounds if part.op in (">", ">=")]
        most = [part.value for part in bounds if part.op in ("<", "<=")]
        if column.step and least and most:
            first, last = (math.floor(end) // column.step for end in (max(least), min(most)))  # type: ignore[type-var]
            if first <= last < first + MOST_CELLS:
                parts.append(one_of(name + CELL_SUFFIX, range(first, last + 1)))
    return all_of(*parts)


class _Select:
    """One SELECT of one spread table."""

    def __init__(self, planner: Planner, group: int, tree: exp.Select, table: exp.Table) -> None:
        self.planner, self.tree, self.columns = planner, tree, planner.catalogue.columns[group]
        self.alias = table.alias_or_name.lower()
        self.group: exp.Group | None = tree.args.get("group")
        self.distinct: exp.Distinct | None = tree.args.get("distinct")
        self.ordered: list[exp.Expression] = tree.args["order"].expressions if tree.args.get("order") else []
        self.limit, self.offset = self._number("limit"), max(0, self._number("offset"))
        if where := tree.args.get("where"):
            self._row_wise(where)
        if self.distinct is not None and self.distinct.args.get("on"):
            raise _CantError("DISTINCT ON")
        totals = [node for one in tree.expressions for node in one.find_all(exp.AggFunc)]
        self.is_grouped = bool(totals or self.group)
        if len(tree.expressions) > MOST_COLUMNS:
            raise _CantError(f"more than {MOST_COLUMNS} columns")

    def _number(self, name: str) -> int:
        clause = self.tree.args.get(name)
        if clause is None:
            return -1
        held = clause.expression if type(clause) in (exp.Limit, exp.Offset) else None
        others = {key for key, value in clause.args.items() if value} - {"expression"}
        if type(held) is not exp.Literal or held.is_string or not held.name.isdecimal() or others:
            raise _CantError(f"a {name} that is no plain number")
        number = int(held.name)
        if number > MOST_NUMBER:
            raise _CantError(f"a {name} above {MOST_NUMBER}")
        return number

    def _row_wise(self, node: exp.Expression) -> None:
        for part in node.walk():
            if isinstance(part, exp.AggFunc):
                raise _CantError("a total within an expression")
            if not isinstance(part, _ROW_WISE):
                raise _CantError(f"{type(part).__name__.upper()} is not known to hang on the row alone")

    def _column(self, node: exp.Expression, what: str) -> Column:
        """A column of the catalogue; `what` is done with it beyond the row."""
        if type(node) is not exp.Column or type(node.this) is not exp.Identifier or node.args.get("db"):
            raise _CantError(f"{what} of what is no plain column")
        if node.table and node.table.lower() != self.alias:
            raise _CantError(f"{what} of another table")
        column = self.columns.get(node.name.lower())
        if column is None:
            raise _CantError(f"{what} of a column that the catalogue does not have")
        return column

    def _ordered_by(self, node: exp.Expression, what: str) -> Column:
        """A column whose values are told apart and ordered here as the engine does."""
        column = self._column(node, what)
        if column.type == FLOAT:
            raise _CantError(f"{what} of a float")
        if column.type == TEXT and not self.planner.binary:
            raise _CantError(f"{what} of a text, which the engines may compare in their own way")
        return column

    # Rows as they are.

    def plain(self) -> tuple[str, Merge]:
        shown = self.tree.expressions
        star = any(
            isinstance(one, exp.Star) or (type(one) is exp.Column and isinstance(one.this, exp.Star)) for one in shown
        )
        for one in shown:
            if not isinstance(one.this if type(one) is exp.Column else one, exp.Star):
                self._row_wise(one)
        distinct: tuple[str, ...] = ()
        if self.distinct is not None:
            if star:
                raise _CantError("DISTINCT of *")
            distinct = tuple(self._ordered_by(one.unalias(), "DISTINCT").type for one in shown)
        hidden: list[exp.Expression] = []
        order = []
        for one in self.ordered:
            at, column = self._place(one.this, [] if star else shown, star)
            if at < 0:
                if distinct:
                    raise _CantError("ORDER BY of a column that DISTINCT does not show")
                hidden.append(one.this.copy())
                at = len(hidden)  # from the end, once all are known
                order.append((one, column, None, at))
            else:
                order.append((one, column, at, 0))
        keys = tuple(
            _order(one, column, at if at is not None else place - 1 - len(hidden)) for one, column, at, place in order
        )
        how = Merge(
            distinct=distinct,
            hidden=len(hidden),
            order=keys,
            limit=self.limit,
            offset=self.offset,
            width=0 if star else len(shown) + len(hidden),
        )
        if not hidden and not self.offset:
            return "", how
        part = self.tree.copy()
        for extra in hidden:
            part.append("expressions", extra)
        part.set("offset", None)
        if self.limit >= 0:
            part.set("limit", exp.Limit(expression=exp.Literal.number(self.limit + self.offset)))
        elif self.offset and self.planner.dialect == "tsql":
            part.set("order", None)  # which it does not take without the rest
        return part.sql(dialect=self.planner.dialect), how

    def _place(self, key: exp.Expression, shown: Sequence[exp.Expression], star: bool) -> tuple[int, Column]:
        """The column of the answer that an order names, or -1 and the table's column."""
        if type(key) is exp.Literal and not key.is_string:
            at = int(key.name) - 1 if key.name.isdecimal() else -1
            if star or not 0 <= at < len(shown):
                raise _CantError("ORDER BY a place that can't be told")
            return at, self._ordered_by(shown[at].unalias(), "ORDER BY")
        if type(key) is exp.Column and not key.table:
            named = [at for at, one in enumerate(shown) if one.alias_or_name.lower() == key.name.lower()]
            if len(named) > 1 and len({shown[at].unalias().sql() for at in named}) > 1:
                raise _CantError("ORDER BY a name that stands there twice")
            if named:
                return named[0], self._ordered_by(shown[named[0]].unalias(), "ORDER BY")
        if star and any(one.alias for one in self.tree.expressions):
            raise _CantError("ORDER BY beside * and other names")
        return -1, self._ordered_by(key, "ORDER BY")

    # Groups and totals.

    def grouped(self) -> tuple[str, Merge]:
        if self.distinct is not None:
            raise _CantError("DISTINCT of groups")
        shown = self.tree.expressions
        keys: dict[str, Cell] = {}
        by: list[exp.Expression] = []
        if self.group is not None:
            if {name for name, held in self.group.args.items() if held} - {"expressions"}:
                raise _CantError("GROUP BY of several levels")
            for node in self.group.expressions:
                column = self._ordered_by(node, "GROUP BY")
                for one in shown:
                    if one.alias and one.alias.lower() == column.name and one.unalias().name.lower() != column.name:
                        raise _CantError("GROUP BY a name that stands for something else too")
                if column.name not in keys:
                    keys[column.name] = Cell(KEY, len(by), column.type)
                    by.append(node.copy())
        totals: list[exp.Expression] = []
        cells = tuple(self._shown(one.unalias(), keys, len(by), totals) for one in shown)
        order = tuple(self._grouped_order(one, shown, cells) for one in self.ordered)
        part = self.tree.copy()
        part.set("expressions", [*by, *totals])
        for clause in ("order", "limit", "offset"):
            part.set(clause, None)
        how = Merge(
            cells,
            tuple(keys.values()),
            True,
            width=len(by) + len(totals),
            order=order,
            limit=self.limit,
            offset=self.offset,
        )
        return part.sql(dialect=self.planner.dialect), how

    def _shown(self, node: exp.Expression, keys: dict[str, Cell], first: int, totals: list[exp.Expression]) -> Cell:
        if type(node) is exp.Column:
            column = self._column(node, "a column beside totals")
            if column.name not in keys:
                raise _CantError("a column that GROUP BY does not name")
            return keys[column.name]
        what = _TOTALS.get(type(node))
        if what is None:
            raise _CantError("an expression of totals or groups")
        if {name for name, held in node.args.items() if held} - {"this", "big_int"}:
            raise _CantError("a total of several values")
        if what == COUNT:
            if not isinstance(node.this, exp.Star):
                self._column(node.this, "COUNT")
            return self._total(Cell(COUNT, first + len(totals), INTEGER), node, totals)
        if what in (LEAST, GREATEST):
            column = self._ordered_by(node.this, what.upper())
            return self._total(Cell(what, first + len(totals), column.type), node, totals)
        column = self._column(node.this, what.upper())
        if column.type != INTEGER and not (column.type == DECIMAL and self.planner.dialect != "sqlite"):
            raise _CantError(f"{what.upper()} of a {column.type}, which the engines round")
        if what == SUM:
            return self._total(Cell(SUM, first + len(totals), column.type), node, totals)
        if self.planner.dialect != "tsql" or column.type != INTEGER:
            raise _CantError("AVG, which the engines round")
        at = first + len(totals)
        wide = exp.Cast(this=node.this.copy(), to=exp.DataType.build("bigint"))
        totals += [exp.Sum(this=wide), exp.Count(this=node.this.copy(), big_int=True)]
        return Cell(MEAN, at, INTEGER, at + 1)

    @staticmethod
    def _total(cell: Cell, node: exp.Expression, totals: list[exp.Expression]) -> Cell:
        totals.append(node.copy())
        return cell

    def _grouped_order(self, one: exp.Expression, shown: Sequence[exp.Expression], cells: tuple[Cell, ...]) -> Order:
        key, at = one.this, -1
        if type(key) is exp.Literal and not key.is_string and key.name.isdecimal():
            at = int(key.name) - 1
        else:
            named = [
                n
                for n, each in enumerate(shown)
                if type(key) is exp.Column and not key.table and each.alias_or_name.lower() == key.name.lower()
            ]
            same = named or [n for n, each in enumerate(shown) if _same(each.unalias(), key)]
            if len({cells[n] for n in same}) == 1:
                at = same[0]
        if not 0 <= at < len(shown):
            raise _CantError("ORDER BY what the answer does not show")
        return Order(at, cells[at].type, bool(one.args.get("desc")), bool(one.args.get("nulls_first")))


def _same(one: exp.Expression, other: exp.Expression) -> bool:
    return one.sql().lower() == other.sql().lower()


def _order(one: exp.Expression, column: Column, at: int) -> Order:
    return Order(at, column.type, bool(one.args.get("desc")), bool(one.args.get("nulls_first")))
