"""Predicates on rows, as used by scatter queries and subscriptions.

Importing this package loads neither the parser of the filter language (`language`), nor that of SQL (`statements`), nor
the sketches (`summaries`); their users import these modules.
"""

from frostspindle.predicates.algebra import (
    UNKNOWN,
    And,
    Compare,
    Const,
    In,
    IsNull,
    Not,
    Or,
    Predicate,
    Starts,
    Unknown,
    all_of,
    any_of,
    between,
    bounded,
    compare,
    is_null,
    match,
    negate,
    one_of,
    starts,
)
from frostspindle.predicates.implication import covers, may_match
from frostspindle.predicates.normal import normal
from frostspindle.predicates.values import FilterError, typed, typed_row

__all__ = [
    "UNKNOWN",
    "And",
    "Compare",
    "Const",
    "FilterError",
    "In",
    "IsNull",
    "Not",
    "Or",
    "Predicate",
    "Starts",
    "Unknown",
    "all_of",
    "any_of",
    "between",
    "bounded",
    "compare",
    "covers",
    "is_null",
    "match",
    "may_match",
    "negate",
    "normal",
    "one_of",
    "starts",
    "typed",
    "typed_row",
]
