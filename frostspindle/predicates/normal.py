"""The normal form of a predicate: a disjunction of conjunctions of atoms, without NOT.

NOT is pushed inwards, which preserves three-valued truth; the expansion into conjunctions preserves which rows match. A
predicate that would exceed the bounds has no normal form (None), and each user then errs to its safe side: `covers`
returns False, the index evaluates the filter for every row, and `may_match` needs no normal form.
"""

from __future__ import annotations

from msgspec.structs import replace

from frostspindle.predicates.algebra import (
    NEGATED_OPERATORS,
    UNKNOWN,
    And,
    Atom,
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
)
from frostspindle.predicates.values import NULL

MAX_TERMS = 64  # conjunctions
MAX_ATOMS = 1_024  # of all conjunctions together
Term = tuple[Atom | Unknown, ...]


class _TooLargeError(Exception):
    pass


def push_negations_inward(predicate: Predicate, negated: bool = False) -> Predicate:
    """Return a predicate without `Not` that has the same truth (true, false or neither) for every row."""
    match predicate:
        case Not():
            return push_negations_inward(predicate.part, not negated)
        case And() | Or():
            join = all_of if (type(predicate) is And) is not negated else any_of
            return join(*[push_negations_inward(part, negated) for part in predicate.parts])
        case _ if not negated:
            return predicate
        case Const():
            return Const(not predicate.value)
        case Compare():
            return Compare(predicate.column, NEGATED_OPERATORS[predicate.op], predicate.value, predicate.kind)
        case In() | Starts() | IsNull():
            return replace(predicate, negated=not predicate.negated)
        case _:
            return UNKNOWN


def normal(predicate: Predicate) -> tuple[Term, ...] | None:
    """Return the disjunctive normal form: a row matches the predicate if and only if it matches one conjunction.

    None if there would be more than MAX_TERMS conjunctions or MAX_ATOMS atoms. Without conjunctions nothing matches; an
    empty conjunction matches every row. The predicate must be `bounded`.
    """
    try:
        return tuple(tuple(term) for term in _expand(push_negations_inward(predicate)))
    except _TooLargeError:
        return None


def _expand(predicate: Predicate) -> list[dict[Atom | Unknown, None]]:
    """Return the terms as dicts, used as ordered sets."""
    match predicate:
        case Const():
            return [{}] if predicate.value else []
        case Or():
            return _check_size([term for part in predicate.parts for term in _expand(part)])
        case And():
            terms: list[dict[Atom | Unknown, None]] = [{}]
            for part in predicate.parts:
                part_terms = _expand(part)
                if len(terms) * len(part_terms) > MAX_TERMS:
                    raise _TooLargeError
                terms = _check_size([term | other for term in terms for other in part_terms])
            return terms
        case Compare() | In() if predicate.kind == NULL:
            return []  # a comparison with null is never true
        case In() if predicate.null and predicate.negated:
            return []  # NOT IN (..., NULL) is false or neither
        case _:
            return [{predicate: None}]


def _check_size(terms: list[dict[Atom | Unknown, None]]) -> list[dict[Atom | Unknown, None]]:
    if len(terms) > MAX_TERMS or sum(map(len, terms)) > MAX_ATOMS:
        raise _TooLargeError
    return terms
