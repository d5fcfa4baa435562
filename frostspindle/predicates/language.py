"""The operators' filter language: parsing and formatting of predicates.

The grammar is described in docs/filters.md. No text raises anything but FilterError, and the bounds on length and
nesting limit the time that parsing takes.
"""

from __future__ import annotations

import re
from decimal import Decimal
from functools import cache
from typing import Any

import lark
from msgspec.structs import replace

from frostspindle.predicates.algebra import (
    FALSE,
    MAX_DEPTH,
    TRUE,
    And,
    Compare,
    Const,
    In,
    IsNull,
    Not,
    Or,
    Predicate,
    Starts,
    all_of,
    any_of,
    between,
    bounded,
    compare,
    is_null,
    negate,
    one_of,
    starts,
)
from frostspindle.predicates.values import FilterError, Value, parse_number, parse_time

MAX_LENGTH = 16_384  # characters
MAX_NESTING = 2 * MAX_DEPTH  # open parentheses and chained NOTs
KEYWORDS = ("AND", "OR", "NOT", "IN", "BETWEEN", "LIKE", "STARTS", "WITH", "IS", "NULL", "TRUE", "FALSE", "TIME")
_PLAIN = re.compile(rf"(?!(?:{'|'.join(KEYWORDS)})$)[a-z_][a-z0-9_]*", re.ASCII | re.IGNORECASE)
GRAMMAR = r"""
    start: either
    ?either: both (OR both)*
    ?both: part (AND part)*
    ?part: NOT part                                     -> negated
         | atom
    ?atom: "(" either ")"                               -> group
         | TRUE                                         -> true
         | FALSE                                        -> false
         | name COMPARISON value                        -> compared
         | name NOT? IN "(" value ("," value)* ")"      -> listed
         | name NOT? BETWEEN value AND value            -> ranged
         | name NOT? LIKE TEXT                          -> like
         | name NOT? STARTS WITH TEXT                   -> started
         | name IS NOT? NULL                            -> nulled
    name: NAME | QUOTED
    value: TEXT                                         -> text
         | NUMBER                                       -> number
         | TIME TEXT                                    -> time
         | NULL                                         -> null
    COMPARISON: "<=" | ">=" | "<>" | "!=" | "=" | "<" | ">"
    TEXT: /'[^']*(?:''[^']*)*'/
    QUOTED: /"[^"]*(?:""[^"]*)*"/
    NUMBER: /[+-]?(?:[0-9]+(?:\.[0-9]+)?)(?![A-Za-z0-9_.])/
    NAME: /(?!(?:KEYWORDS)\b)[A-Za-z_][A-Za-z0-9_]*/i
    WORDS
    %ignore /[ \t\r\n]+/
""".replace("KEYWORDS", "|".join(KEYWORDS)).replace(
    "WORDS", "\n    ".join(rf"{word}: /{word}\b/i" for word in KEYWORDS)
)
_TERMINAL_NAMES = {
    "NAME": "a column",
    "QUOTED": "a column in double quotes",
    "TEXT": "a text in single quotes",
    "NUMBER": "a number",
    "COMPARISON": "a comparison",
    "LPAR": "'('",
    "RPAR": "')'",
    "COMMA": "','",
    "$END": "the end",
    "TIME": "TIME '...'",
}


class _PredicateBuilder(lark.Transformer):
    """Builds the predicate during parsing, from the innermost part outwards, so that nesting causes no recursion."""

    def start(self, children: list) -> Predicate:
        return children[0]

    def either(self, children: list) -> Predicate:
        return any_of(*children[::2])

    def both(self, children: list) -> Predicate:
        return all_of(*children[::2])

    def negated(self, children: list) -> Predicate:
        return negate(children[1])

    def group(self, children: list) -> Predicate:
        return children[0]

    def true(self, _: list) -> Predicate:
        return TRUE

    def false(self, _: list) -> Predicate:
        return FALSE

    def compared(self, children: list) -> Predicate:
        name, sign, value = children
        return _build_at(name, compare, name.value, "<>" if sign == "!=" else str(sign), value)

    def listed(self, children: list) -> Predicate:
        values = [child for child in children[1:] if type(child) is not lark.Token]
        return self._not(children, _build_at(children[0], one_of, children[0].value, values))

    def ranged(self, children: list) -> Predicate:
        return self._not(children, _build_at(children[0], between, children[0].value, children[-3], children[-1]))

    def like(self, children: list) -> Predicate:
        pattern = _unquoted(children[-1])
        if not pattern.endswith("%") or "%" in pattern[:-1] or "_" in pattern:
            raise _RejectedTokenError(children[-1], "LIKE takes one % at the end and no _ (STARTS WITH takes any text)")
        return self._not(children, _build_at(children[-1], starts, children[0].value, pattern[:-1]))

    def started(self, children: list) -> Predicate:
        return self._not(children, _build_at(children[-1], starts, children[0].value, _unquoted(children[-1])))

    def nulled(self, children: list) -> Predicate:
        return self._not(children, _build_at(children[0], is_null, children[0].value))

    def name(self, children: list) -> lark.Token:
        token = children[0]
        return token.update(value=_unquoted(token)) if token.type == "QUOTED" else token

    def text(self, children: list) -> Value:
        return _unquoted(children[0])

    def number(self, children: list) -> Value:
        return _build_at(children[0], parse_number, str(children[0]))

    def time(self, children: list) -> Value:
        return _build_at(children[1], parse_time, _unquoted(children[1]))

    def null(self, _: list) -> Value:
        return None

    @staticmethod
    def _not(children: list, predicate: Predicate) -> Predicate:
        if not any(type(child) is lark.Token and child.type == "NOT" for child in children):
            return predicate
        return replace(predicate, negated=True) if isinstance(predicate, In | Starts | IsNull) else negate(predicate)


class _RejectedTokenError(Exception):
    """A part of the text is syntactically valid but not allowed, for `reason`; `token` has its position."""

    def __init__(self, token: lark.Token, reason: str):
        self.token, self.reason = token, reason


def _build_at(token: lark.Token, constructor: Any, *values: Any) -> Any:
    try:
        return constructor(*values)
    except ValueError as error:
        raise _RejectedTokenError(token, getattr(error, "reason", str(error))) from None


def _unquoted(token: lark.Token) -> str:
    quote = token[0]
    return token[1:-1].replace(quote * 2, quote)


@cache
def _parser() -> lark.Lark:
    return lark.Lark(
        GRAMMAR, parser="lalr", lexer="contextual", transformer=_PredicateBuilder(), propagate_positions=False
    )


def parse(text: str) -> Predicate:
    """Parse a filter; FilterError with line, column and what was expected, or for one that is too long or too deep."""
    if type(text) is not str or len(text) > MAX_LENGTH:
        raise FilterError(f"a filter is a text of up to {MAX_LENGTH} characters")
    _check_nesting(text)
    try:
        predicate = _parser().parse(text)
    except _RejectedTokenError as rejected:
        raise FilterError(rejected.reason, rejected.token.line, rejected.token.column) from None
    except lark.UnexpectedInput as error:
        raise _syntax_error(text, error) from None
    return bounded(predicate)


def _check_nesting(text: str) -> None:
    """Raise FilterError for text that is nested too deep by parentheses and chains of NOT, ignoring quoted texts."""
    open_count = not_count = 0
    for word_match in re.finditer(r"'[^']*'|\"[^\"]*\"|[()]|\w+", text):
        word = word_match[0]
        open_count += (word == "(") - (word == ")")
        not_count = not_count + 1 if word.upper() == "NOT" else not_count if word == "(" else 0
        if open_count + not_count > MAX_NESTING:
            line, column = _line_and_column(text, word_match.start())
            raise FilterError(f"nested deeper than {MAX_NESTING}", line, column)


def _line_and_column(text: str, offset: int) -> tuple[int, int]:
    return text.count("\n", 0, offset) + 1, offset - text.rfind("\n", 0, offset)


def _syntax_error(text: str, error: lark.UnexpectedInput) -> FilterError:
    if isinstance(error, lark.UnexpectedCharacters):
        reason = "a quote that is not closed" if error.char in "'\"" else f"{error.char!r} can't stand here"
        names = error.allowed or set()
    else:
        token = error.token
        reason = "the filter ends too early" if token.type == "$END" else f"{str(token)!r:.40} can't stand here"
        names = error.accepts or error.expected
    offset = error.pos_in_stream
    is_at_end = offset is None or getattr(getattr(error, "token", None), "type", "") == "$END"
    line, column = _line_and_column(text, len(text) if is_at_end else offset)
    return FilterError(reason, line, column, tuple(sorted(_TERMINAL_NAMES.get(name, name) for name in names)))


def text(predicate: Predicate) -> str:
    """Return the filter text of a predicate; `parse` gives an equal one, if it is no longer than MAX_LENGTH.

    ValueError for parts that were not understood.
    """
    return _format(predicate, 0)


def _format(predicate: Predicate, binding: int) -> str:
    """Format a part; `binding`: 0 anywhere, 1 within AND, 2 after NOT."""
    match predicate:
        case Or() | And():
            level = 0 if type(predicate) is Or else 1
            separator = " OR " if level == 0 else " AND "
            joined = separator.join(_format(part, level + 1) for part in predicate.parts)
            return f"({joined})" if binding > level else joined
        case Not():
            return f"NOT {_format(predicate.part, 2)}"
        case Const():
            return "TRUE" if predicate.value else "FALSE"
        case Compare():
            return f"{_name(predicate.column)} {predicate.op} {_literal(predicate.value)}"
        case In():
            values = [_literal(value) for value in sorted(predicate.values)] + ["NULL"] * predicate.null
            return f"{_name(predicate.column)}{' NOT' * predicate.negated} IN ({', '.join(values)})"
        case Starts():
            return f"{_name(predicate.column)}{' NOT' * predicate.negated} STARTS WITH {_literal(predicate.prefix)}"
        case IsNull():
            return f"{_name(predicate.column)} IS {'NOT ' * predicate.negated}NULL"
    raise ValueError("the predicate has a part that was not understood")


def _name(column: str) -> str:
    return column if _PLAIN.fullmatch(column) else '"' + column.replace('"', '""') + '"'


def _literal(value: Value) -> str:
    if value is None:
        return "NULL"
    if type(value) is str:
        return "'" + value.replace("'", "''") + "'"
    if type(value) is int or type(value) is Decimal:
        return format(value, "f") if type(value) is Decimal else str(value)
    return f"TIME '{value.isoformat().replace('+00:00', 'Z')}'"  # type: ignore[union-attr]
