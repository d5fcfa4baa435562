"""The intersection of versions: the most restrictive rules, which permit only what each of the versions permits.

No I/O; nothing here knows a version's number. Intersection is a semilattice: idempotent, commutative, associative; the
empty table (nothing is agreed) is its unit. Each entry follows `schema.KINDS`; a list that only one side holds (a
scope) is that side's. On top of that `limit_to_capacity` lowers a limit that relies on engines which the intersection
no longer has: an interior operator (monotone, idempotent, never more), so the laws hold for rules lowered so;
`validation` lets no others become a version.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import reduce
from typing import Any

from immutables import Map
from msgspec import structs

from frostspindle.settings.schema import FIELD_RANKS, KINDS, Limit, Rules, is_fleet_wide, kind_of, scope_of
from frostspindle.settings.slices import SlicedWork, iterate_in_slices, run_to_end
from frostspindle.settings.validation import engine_capacity

Table = Map[str, Any]
NO_RULES: Table = Map()


def _lower_value(field: str, first: Any, second: Any) -> Any:
    """Return the lower value of a field; None is no limit."""
    if first is None:
        return second
    if second is None:
        return first
    rank = FIELD_RANKS.get(field)
    return min(first, second, key=rank.__getitem__) if rank else min(first, second)


def intersect_entries(kind: str, first: Any, second: Any) -> Any:
    """Return the intersection of two entries of one name; None if they have none."""
    if first == second:
        return first
    entry_kind = KINDS[kind]
    fields: dict[str, Any] = {}
    for field in first.__struct_fields__:
        first_value = getattr(first, field)
        second_value = getattr(second, field)
        if field in entry_kind.minimum_fields:
            fields[field] = _lower_value(field, first_value, second_value)
        elif field in entry_kind.union_fields:
            fields[field] = tuple(sorted({*first_value, *second_value}, key=structs.astuple))
        elif first_value == second_value:
            fields[field] = first_value
        else:
            return None
    return type(first)(**fields)


def _stays_alone(key: str, entry: Any, other: Rules) -> bool:
    """Whether an entry that the other table lacks is in the intersection of both."""
    return KINDS[kind_of(key)].in_either or scope_of(key, entry) not in other


def limit_to_capacity(rules: Table) -> Table:
    """Return the rules with the limit on queries at engines lowered to what their engines allow."""
    limit = rules.get("limit/out")
    if limit is None:
        return rules
    capacity = engine_capacity(rules)
    if limit.value <= capacity:
        return rules
    return rules.set("limit/out", Limit(float(capacity)))


def intersect(first: Table, second: Table) -> Table:
    """Return the intersection of two tables, at a cost that grows with their length unless they are one object."""
    if first is second:
        return first
    table: dict[str, Any] = {}
    for key, entry in first.items():
        other = second.get(key)
        if other is not None:
            common = intersect_entries(kind_of(key), entry, other)
            if common is not None:
                table[key] = common
        elif _stays_alone(key, entry, second):
            table[key] = entry
    for key, entry in second.items():
        if key not in first and _stays_alone(key, entry, first):
            table[key] = entry
    return limit_to_capacity(Map(table))


def intersect_all(tables: Iterable[Table]) -> Table:
    """Return the intersection of all tables; of none the empty table."""
    return reduce(intersect, tables, NO_RULES)


def intersect_with_child(parent: Table, child: Table, changes: Mapping[str, Any]) -> Table:
    """Return the intersection of a version and its child: the same as `intersect`, at the cost of the changes alone.

    What both have alike is in it whatever the lists. Where a limit relies on all engines, the tables are walked.
    """
    return run_to_end(intersect_with_child_in_slices(parent, child, changes))


def intersect_with_child_in_slices(parent: Table, child: Table, changes: Mapping[str, Any]) -> SlicedWork[Table]:
    """Compute `intersect_with_child` in slices."""
    if "limit/out" in parent or "limit/out" in child:
        return intersect(parent, child)
    with parent.mutate() as table:
        for key, slice_ends in iterate_in_slices(changes):
            if slice_ends:
                yield
            old_entry = parent.get(key)
            common = _common_entry(key, parent, child)
            if common is not None:
                table[key] = common
            elif old_entry is not None:
                del table[key]
        return table.finish()


def _common_entry(key: str, parent: Table, child: Table) -> Any:
    """The entry that the intersection of two tables has under a key of which at least one has an entry, or None."""
    old_entry = parent.get(key)
    new_entry = child.get(key)
    if old_entry is not None and new_entry is not None:
        return intersect_entries(kind_of(key), old_entry, new_entry)
    if new_entry is None:
        return old_entry if _stays_alone(key, old_entry, child) else None
    return new_entry if _stays_alone(key, new_entry, parent) else None


def permits_no_more(first: Table, second: Table) -> bool:
    """Whether the first table permits nothing that the second does not."""
    return intersect(first, second) == first


def contradictions(first: Rules, second: Rules, max_keys: int = 8) -> list[str]:
    """Return up to `max_keys` keys in which two versions contradict each other.

    Coordinators that act on one each, at the same time, would do what one of them forbids to the fleet: send to an
    engine that the other drains, or exceed a limit together.
    """
    if first is second:
        return []
    found: list[str] = []
    for key in {*first, *second}:
        if is_fleet_wide(key) and first.get(key) != second.get(key):
            found.append(key)
            if len(found) >= max_keys:
                break
    return sorted(found)


def contradicts(first: Rules, second: Rules) -> bool:
    """Whether two tables contradict each other in any key; see `contradictions`."""
    return bool(contradictions(first, second, 1))
