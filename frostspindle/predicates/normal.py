"""The normal form of a predicate: a disjunction of conjunctions of atoms without NOT.

Owns the rewriting, which keeps three-valued truth while NOT is pushed inwards, and what matches once it is spread out.
Must never grow past its bounds: a predicate that would has no normal form (None), and each user errs to its safe side:
`covers` says no, the index tries the filter on every row, `may_match` needs no normal form.
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

    None if there would be more than MAX_TERMS conjunctions or MAX_ATOMS atoms. No conjunction: never matches; an empty
    one: always. The predicate must be `bounded`.
    """
    try:
        return tuple(tuple(term) for term in _spread(push_negations_inward(predicate)))
    except _TooLargeError:
        return None


def _spread(predicate: Predicate) -> list[dict[Atom | Unknown, None]]:
    """Terms as dicts: a set that keeps its order."""
    match predicate:
        case Const():
            return [{}] if predicate.value else []
        case Or():
            return _checked([term for part in predicate.parts for term in _spread(part)])
        case And():
            terms: list[dict[Atom | Unknown, None]] = [{}]
            for part in predicate.parts:
                more = _spread(part)
                if len(terms) * len(more) > MAX_TERMS:
                    raise _TooLargeError
                terms = _checked([term | other for term in terms for other in more])
            return terms
        case Compare() | In() if predicate.kind == NULL:
            return []  # a comparison with null is never true
        case In() if predicate.null and predicate.negated:
            return []  # NOT IN (..., NULL) is false or neither
        case _:
            return [{predicate: None}]


def _checked(terms: list[dict[Atom | Unknown, None]]) -> list[dict[Atom | Unknown, None]]:
    if len(terms) > MAX_TERMS or sum(map(len, terms)) > MAX_ATOMS:
        raise _TooLargeError
    return terms
