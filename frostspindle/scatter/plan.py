"""Planning of a statement on spread tables: the statement for each site and the merge of the rows, or a refusal.

Decides which statements are scattered and which are rejected, and which rows a load inserts. Each part sees the rows of
its site only, so a statement may contain nothing but what is computed row by row, and aggregates that can be merged.
What is not known to be exact is rejected. No text raises an exception. This loads the SQL parser, so it is imported
only where tables are spread.
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
from frostspindle.predicates.statements import (
    MAX_LENGTH,
    MAX_OPEN_PARENTHESES,
    Reader,
    exact_number,
    exact_time,
    max_open_parentheses,
)
from frostspindle.predicates.values import MAX_TEXT, NUMBER, TIME, Value, canonical, parse_number
from frostspindle.predicates.values import TEXT as TEXT_KIND
from frostspindle.scatter.merge import AVG, COUNT, KEY, MAX, MIN, SUM, Cell, Merge, Order

MAX_CACHED_STATEMENTS = 1_024
MAX_COLUMNS = 256  # of a part's row
MAX_LIMIT = 10**9  # of LIMIT and OFFSET
NULL_CELL, UNKNOWN_CELL = 0, 4  # kinds of a load's cells, in addition to those of predicates.values
MAX_CELL_BYTES = 600  # of a text that a load announces; longer ones are announced as unknown
MAX_RANGE_CELLS = 64  # step cells of a range that is looked up in a summary
Cells = dict[str, list[tuple[int, str]]]  # kind and canonical text of the distinct values of a load, by column
# Expressions that depend on the row alone, so that they have the same value at each site.
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
_AGGREGATES = {exp.Count: COUNT, exp.Sum: SUM, exp.Min: MIN, exp.Max: MAX, exp.Avg: AVG}


class Plan(Struct, frozen=True):
    """The statement of the parts, the merge and the predicate on rows; or `refused`, the reason for having none.

    `statement` is empty if the parts have the client's statement.
    """

    refused: str = ""
    statement: str = ""
    merge: Merge = Merge()
    predicate: Predicate | None = None


class InsertedRows(Struct, frozen=True):
    """The rows that a load inserts. `cells` None: they are not known. `places`: the values that determine the site."""

    count: int = 0
    cells: Cells | None = None
    places: tuple[str, ...] = ()  # distinct ones


class _NotScatterableError(Exception):
    """The reason why a statement is not scattered."""


class Planner:
    """Plans statements on a catalogue's tables; caches the plans of MAX_CACHED_STATEMENTS texts."""

    def __init__(self, catalogue: Catalogue) -> None:
        section = catalogue.settings
        self.catalogue, self.dialect, self.binary = catalogue, section.dialect, section.binary
        self._readers: dict[int, Reader] = {}
        for group_number, group in catalogue.groups.items():
            times = [column.name for column in group.column if column.type == TIME_TYPE]
            self._readers[group_number] = Reader(section.dialect, times, section.binary)
        self.plan = lru_cache(maxsize=MAX_CACHED_STATEMENTS)(self._plan)  # of a group's number and a statement

    # Queries.

    def _plan(self, group: int, sql: str) -> Plan:
        try:
            return self._select(group, sql)
        except _NotScatterableError as error:
            return Plan(refused=f"not scatterable: {error}")
        except Exception:  # a fault of the parser on a client's text must not become one of the coordinator
            return Plan(refused="not scatterable: not understood")

    def _select(self, group: int, sql: str) -> Plan:
        if len(sql) > MAX_LENGTH:
            raise _NotScatterableError(f"longer than {MAX_LENGTH} characters")
        if "\0" in sql:
            raise _NotScatterableError("a character that is none")
        read = self._readers[group].read(sql)
        if not read.understood:
            raise _NotScatterableError("not a plain SELECT")
        tree = sqlglot.parse_one(sql, read=self.dialect)
        if type(tree) is not exp.Select:
            raise _NotScatterableError("not a plain SELECT")
        for name, argument in tree.args.items():
            if argument and _CLAUSES.get(name, name):
                raise _NotScatterableError(_CLAUSES.get(name, name.strip("_").upper()))
        table = self._table(group, tree.args["from_"].this)
        for node in tree.find_all(exp.Query):
            if node is not tree:
                raise _NotScatterableError("a query within the statement")
        select = _Select(self, group, tree, table)
        statement, merge_plan = select.plan_grouped() if select.is_grouped else select.plan_rows()
        name = f"{self.catalogue.groups[group].schema}.{table.name.lower()}"
        return Plan(
            "", statement or sql, merge_plan, with_step_cells(read.predicate(name), self.catalogue.columns[group])
        )

    def _table(self, group: int, table: exp.Expression) -> exp.Table:
        table_group = self.catalogue.groups[group]
        if type(table) is not exp.Table or not isinstance(table.this, exp.Identifier):
            raise _NotScatterableError("not of one table")
        if table.catalog or table.db.lower() != table_group.schema or table.name.lower() not in table_group.tables:
            raise _NotScatterableError("a table that is not spread")
        alias = table.args.get("alias")
        if (alias and alias.columns) or {name for name, argument in table.args.items() if argument} - {
            "this",
            "db",
            "alias",
        }:
            raise _NotScatterableError("a sample, hint or renamed columns")
        return table

    # Loads.

    def load(self, group: int, sql: str) -> InsertedRows:
        """Return the rows of an INSERT of plain values; InsertedRows(), for unknown rows, if it can't be read.

        A value that is not certain makes its column unknown.
        """
        try:
            return self._insert(group, sql)
        except Exception:  # a statement that can't be read may insert any row
            return InsertedRows()

    def _insert(self, group: int, sql: str) -> InsertedRows:
        table_group = self.catalogue.groups[group]
        if len(sql) > MAX_LENGTH or max_open_parentheses(sql) > MAX_OPEN_PARENTHESES or "/*" in sql or "--" in sql:
            raise _NotScatterableError("too long")
        trees = [tree for tree in sqlglot.parse(sql, read=self.dialect) if type(tree) is not exp.Semicolon]
        tree = trees[0]
        clauses = {name for name, value in tree.args.items() if value}
        if len(trees) != 1 or type(tree) is not exp.Insert or clauses - {"this", "expression"}:
            raise _NotScatterableError("not an INSERT")
        target, values = tree.this, tree.expression
        if type(target) is not exp.Schema or type(values) is not exp.Values:
            raise _NotScatterableError("no columns or no values")
        self._table(group, target.this)
        names = [column.name.lower() for column in target.expressions]
        columns = self.catalogue.columns[group]
        rows = [list(row.expressions) for row in values.expressions]
        if len(set(names)) != len(names) or any(len(row) != len(names) for row in rows):
            raise _NotScatterableError("values that don't fit")
        cells: Cells = {}
        for name in (column.name for column in table_group.column if column.type != FLOAT):
            index = names.index(name) if name in names else -1  # -1: its default, which is not known here
            cells_of_column = {_cell(columns[name], row[index]) if index >= 0 else (UNKNOWN_CELL, "") for row in rows}
            cells[name] = sorted(cells_of_column)
            if columns[name].step:
                cells[name + CELL_SUFFIX] = step_cells(cells[name], columns[name].step)
        places = ()
        if table_group.by and set(table_group.by) <= set(names):
            indexes = [names.index(name) for name in table_group.by]
            placing_columns = [columns[name] for name in table_group.by]
            placing_cells = [
                [_cell(column, row[index]) for column, index in zip(placing_columns, indexes, strict=True)]
                for row in rows
            ]
            if not any(kind == UNKNOWN_CELL for row in placing_cells for kind, _ in row):
                places = tuple(sorted({"\0".join(f"{kind}{text}" for kind, text in row) for row in placing_cells}))
        return InsertedRows(len(rows), cells, places)


def _cell(column: Column, node: exp.Expression) -> tuple[int, str]:
    """Return the cell of a value as the engine will store it; UNKNOWN_CELL if that is not certain."""
    try:
        if type(node) is exp.Null:
            return NULL_CELL, ""
        parsed: Value = None
        if column.type in (INTEGER, DECIMAL):
            sign = "-" if type(node) is exp.Neg else ""
            inner = node.this if sign else node
            if type(inner) is not exp.Literal or inner.is_string:
                return UNKNOWN_CELL, ""
            parsed = exact_number(sign + inner.name)
            scale = column.scale if column.type == DECIMAL else 0
            if parsed != round(parsed, scale):  # type: ignore[arg-type, call-overload]
                return UNKNOWN_CELL, ""  # engines round in their own ways
            return NUMBER, canonical(parsed)
        if type(node) is not exp.National and not (type(node) is exp.Literal and node.is_string):
            return UNKNOWN_CELL, ""
        if "\\" in node.name or "\0" in node.name:
            return UNKNOWN_CELL, ""
        if column.type == TIME_TYPE:
            return TIME, canonical(exact_time(node.name))
        if column.type == TEXT and len(node.name.encode()) <= min(MAX_TEXT, MAX_CELL_BYTES):
            return TEXT_KIND, node.name
    except Exception:  # a malformed literal
        pass
    return UNKNOWN_CELL, ""


def step_cells(cells: Sequence[tuple[int, str]], step: int) -> list[tuple[int, str]]:
    """Return the step cells that contain a load's values; cells that are not numbers are returned unchanged."""
    return sorted(
        {(kind, str(math.floor(parse_number(text)) // step) if kind == NUMBER else text) for kind, text in cells}
    )


def with_step_cells(predicate: Predicate, columns: dict[str, Column]) -> Predicate:
    """Return the predicate with, for each narrow range, a condition on the step cells of that range."""
    if type(predicate) is Or:
        return any_of(*(with_step_cells(part, columns) for part in predicate.parts))
    if type(predicate) is not And:
        return predicate
    parts = [with_step_cells(part, columns) for part in predicate.parts]
    for name, column in columns.items():
        bounds = [part for part in parts if type(part) is Compare and part.column == name and part.kind == NUMBER]
        lower_bounds = [part.value for part in bounds if part.op in (">", ">=")]
        upper_bounds = [part.value for part in bounds if part.op in ("<", "<=")]
        if column.step and lower_bounds and upper_bounds:
            first, last = (math.floor(bound) // column.step for bound in (max(lower_bounds), min(upper_bounds)))  # type: ignore[type-var]
            if first <= last < first + MAX_RANGE_CELLS:
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
            self._check_row_wise(where)
        if self.distinct is not None and self.distinct.args.get("on"):
            raise _NotScatterableError("DISTINCT ON")
        aggregates = [node for expression in tree.expressions for node in expression.find_all(exp.AggFunc)]
        self.is_grouped = bool(aggregates or self.group)
        if len(tree.expressions) > MAX_COLUMNS:
            raise _NotScatterableError(f"more than {MAX_COLUMNS} columns")

    def _number(self, name: str) -> int:
        clause = self.tree.args.get(name)
        if clause is None:
            return -1
        expression = clause.expression if type(clause) in (exp.Limit, exp.Offset) else None
        other_clauses = {key for key, value in clause.args.items() if value} - {"expression"}
        if (
            type(expression) is not exp.Literal
            or expression.is_string
            or not expression.name.isdecimal()
            or other_clauses
        ):
            raise _NotScatterableError(f"a {name} that is no plain number")
        number = int(expression.name)
        if number > MAX_LIMIT:
            raise _NotScatterableError(f"a {name} above {MAX_LIMIT}")
        return number

    def _check_row_wise(self, node: exp.Expression) -> None:
        for descendant in node.walk():
            if isinstance(descendant, exp.AggFunc):
                raise _NotScatterableError("a total within an expression")
            if not isinstance(descendant, _ROW_WISE):
                raise _NotScatterableError(f"{type(descendant).__name__.upper()} is not known to hang on the row alone")

    def _column(self, node: exp.Expression, usage: str) -> Column:
        """Return the catalogue's column of a plain column expression; `usage` names the clause in errors."""
        if type(node) is not exp.Column or type(node.this) is not exp.Identifier or node.args.get("db"):
            raise _NotScatterableError(f"{usage} of what is no plain column")
        if node.table and node.table.lower() != self.alias:
            raise _NotScatterableError(f"{usage} of another table")
        column = self.columns.get(node.name.lower())
        if column is None:
            raise _NotScatterableError(f"{usage} of a column that the catalogue does not have")
        return column

    def _comparable_column(self, node: exp.Expression, usage: str) -> Column:
        """Return a column whose values compare here as they do in the engine."""
        column = self._column(node, usage)
        if column.type == FLOAT:
            raise _NotScatterableError(f"{usage} of a float")
        if column.type == TEXT and not self.planner.binary:
            raise _NotScatterableError(f"{usage} of a text, which the engines may compare in their own way")
        return column

    # Rows without aggregates.

    def plan_rows(self) -> tuple[str, Merge]:
        selected = self.tree.expressions
        star = any(
            isinstance(expression, exp.Star)
            or (type(expression) is exp.Column and isinstance(expression.this, exp.Star))
            for expression in selected
        )
        for expression in selected:
            if not isinstance(expression.this if type(expression) is exp.Column else expression, exp.Star):
                self._check_row_wise(expression)
        distinct: tuple[str, ...] = ()
        if self.distinct is not None:
            if star:
                raise _NotScatterableError("DISTINCT of *")
            distinct = tuple(self._comparable_column(expression.unalias(), "DISTINCT").type for expression in selected)
        hidden: list[exp.Expression] = []
        order = []
        for expression in self.ordered:
            index, column = self._find_order_column(expression.this, [] if star else selected, star)
            if index < 0:
                if distinct:
                    raise _NotScatterableError("ORDER BY of a column that DISTINCT does not show")
                hidden.append(expression.this.copy())
                index = len(hidden)  # becomes a position from the end once all are known
                order.append((expression, column, None, index))
            else:
                order.append((expression, column, index, 0))
        keys = tuple(
            _order(expression, column, index if index is not None else hidden_index - 1 - len(hidden))
            for expression, column, index, hidden_index in order
        )
        merge_plan = Merge(
            distinct=distinct,
            hidden=len(hidden),
            order=keys,
            limit=self.limit,
            offset=self.offset,
            width=0 if star else len(selected) + len(hidden),
        )
        if not hidden and not self.offset:
            return "", merge_plan
        part_tree = self.tree.copy()
        for extra in hidden:
            part_tree.append("expressions", extra)
        part_tree.set("offset", None)
        if self.limit >= 0:
            part_tree.set("limit", exp.Limit(expression=exp.Literal.number(self.limit + self.offset)))
        elif self.offset and self.planner.dialect == "tsql":
            part_tree.set("order", None)  # T-SQL does not accept it without OFFSET
        return part_tree.sql(dialect=self.planner.dialect), merge_plan

    def _find_order_column(
        self, sort_expression: exp.Expression, selected: Sequence[exp.Expression], star: bool
    ) -> tuple[int, Column]:
        """Return the position and column of a selected sort key, or -1 and the table's column."""
        if type(sort_expression) is exp.Literal and not sort_expression.is_string:
            index = int(sort_expression.name) - 1 if sort_expression.name.isdecimal() else -1
            if star or not 0 <= index < len(selected):
                raise _NotScatterableError("ORDER BY a place that can't be told")
            return index, self._comparable_column(selected[index].unalias(), "ORDER BY")
        if type(sort_expression) is exp.Column and not sort_expression.table:
            matches = [
                index
                for index, expression in enumerate(selected)
                if expression.alias_or_name.lower() == sort_expression.name.lower()
            ]
            if len(matches) > 1 and len({selected[index].unalias().sql() for index in matches}) > 1:
                raise _NotScatterableError("ORDER BY a name that stands there twice")
            if matches:
                return matches[0], self._comparable_column(selected[matches[0]].unalias(), "ORDER BY")
        if star and any(expression.alias for expression in self.tree.expressions):
            raise _NotScatterableError("ORDER BY beside * and other names")
        return -1, self._comparable_column(sort_expression, "ORDER BY")

    # Groups and aggregates.

    def plan_grouped(self) -> tuple[str, Merge]:
        if self.distinct is not None:
            raise _NotScatterableError("DISTINCT of groups")
        selected = self.tree.expressions
        keys: dict[str, Cell] = {}
        group_columns: list[exp.Expression] = []
        if self.group is not None:
            if {name for name, argument in self.group.args.items() if argument} - {"expressions"}:
                raise _NotScatterableError("GROUP BY of several levels")
            for node in self.group.expressions:
                column = self._comparable_column(node, "GROUP BY")
                for expression in selected:
                    if (
                        expression.alias
                        and expression.alias.lower() == column.name
                        and expression.unalias().name.lower() != column.name
                    ):
                        raise _NotScatterableError("GROUP BY a name that stands for something else too")
                if column.name not in keys:
                    keys[column.name] = Cell(KEY, len(group_columns), column.type)
                    group_columns.append(node.copy())
        aggregates: list[exp.Expression] = []
        cells = tuple(
            self._grouped_cell(expression.unalias(), keys, len(group_columns), aggregates) for expression in selected
        )
        order = tuple(self._grouped_order(expression, selected, cells) for expression in self.ordered)
        part_tree = self.tree.copy()
        part_tree.set("expressions", [*group_columns, *aggregates])
        for clause in ("order", "limit", "offset"):
            part_tree.set(clause, None)
        merge_plan = Merge(
            cells,
            tuple(keys.values()),
            True,
            width=len(group_columns) + len(aggregates),
            order=order,
            limit=self.limit,
            offset=self.offset,
        )
        return part_tree.sql(dialect=self.planner.dialect), merge_plan

    def _grouped_cell(
        self, node: exp.Expression, keys: dict[str, Cell], first_index: int, aggregates: list[exp.Expression]
    ) -> Cell:
        if type(node) is exp.Column:
            column = self._column(node, "a column beside totals")
            if column.name not in keys:
                raise _NotScatterableError("a column that GROUP BY does not name")
            return keys[column.name]
        aggregate = _AGGREGATES.get(type(node))
        if aggregate is None:
            raise _NotScatterableError("an expression of totals or groups")
        if {name for name, argument in node.args.items() if argument} - {"this", "big_int"}:
            raise _NotScatterableError("a total of several values")
        if aggregate == COUNT:
            if not isinstance(node.this, exp.Star):
                self._column(node.this, "COUNT")
            return self._add_aggregate(Cell(COUNT, first_index + len(aggregates), INTEGER), node, aggregates)
        if aggregate in (MIN, MAX):
            column = self._comparable_column(node.this, aggregate.upper())
            return self._add_aggregate(Cell(aggregate, first_index + len(aggregates), column.type), node, aggregates)
        column = self._column(node.this, aggregate.upper())
        if column.type != INTEGER and not (column.type == DECIMAL and self.planner.dialect != "sqlite"):
            raise _NotScatterableError(f"{aggregate.upper()} of a {column.type}, which the engines round")
        if aggregate == SUM:
            return self._add_aggregate(Cell(SUM, first_index + len(aggregates), column.type), node, aggregates)
        if self.planner.dialect != "tsql" or column.type != INTEGER:
            raise _NotScatterableError("AVG, which the engines round")
        index = first_index + len(aggregates)
        wide = exp.Cast(this=node.this.copy(), to=exp.DataType.build("bigint"))
        aggregates += [exp.Sum(this=wide), exp.Count(this=node.this.copy(), big_int=True)]
        return Cell(AVG, index, INTEGER, index + 1)

    @staticmethod
    def _add_aggregate(cell: Cell, node: exp.Expression, aggregates: list[exp.Expression]) -> Cell:
        aggregates.append(node.copy())
        return cell

    def _grouped_order(
        self, sort_key: exp.Expression, selected: Sequence[exp.Expression], cells: tuple[Cell, ...]
    ) -> Order:
        sort_expression, index = sort_key.this, -1
        if type(sort_expression) is exp.Literal and not sort_expression.is_string and sort_expression.name.isdecimal():
            index = int(sort_expression.name) - 1
        else:
            by_name = [
                position
                for position, expression in enumerate(selected)
                if type(sort_expression) is exp.Column
                and not sort_expression.table
                and expression.alias_or_name.lower() == sort_expression.name.lower()
            ]
            matches = by_name or [
                position
                for position, expression in enumerate(selected)
                if _is_same(expression.unalias(), sort_expression)
            ]
            if len({cells[position] for position in matches}) == 1:
                index = matches[0]
        if not 0 <= index < len(selected):
            raise _NotScatterableError("ORDER BY what the answer does not show")
        return Order(index, cells[index].type, bool(sort_key.args.get("desc")), bool(sort_key.args.get("nulls_first")))


def _is_same(first: exp.Expression, second: exp.Expression) -> bool:
    return first.sql().lower() == second.sql().lower()


def _order(sort_key: exp.Expression, column: Column, index: int) -> Order:
    return Order(index, column.type, bool(sort_key.args.get("desc")), bool(sort_key.args.get("nulls_first")))
