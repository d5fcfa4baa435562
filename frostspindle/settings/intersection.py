"""The intersection of versions: rules that permit only what all of the versions permit.

No I/O; works on tables of rules, without version numbers. The intersection is a meet semilattice (idempotent,
commutative, associative), and the empty table (no agreed rules) is its identity element. `schema.KINDS` defines how
entries intersect; a list that only one side has (a scope) is taken over unchanged. `limit_to_capacity` then lowers a
limit that relies on engines which are not in the intersection. It is an interior operator (monotone, idempotent, never
raises the limit), so the laws hold for tables within capacity, and `validation` accepts no others as a version.
"""

from __future__ import annotations

from collections.abc import Iterable
from functools import reduce
from typing import Any

from immutables import Map
from msgspec import structs

from frostspindle.settings.schema import FIELD_RANKS, KINDS, Entry, Limit, Rules, is_fleet_wide, kind_of, scope_of
from frostspindle.settings.slices import SlicedWork, iterate_in_slices, run_to_end
from frostspindle.settings.validation import engine_capacity
from frostspindle.settings.versions import Changes, Table

NO_RULES: Table = Map()


def _lower_value(field: str, first: Any, second: Any) -> Any:
    """Return the lower of two values of a field; None means unlimited."""
    if first is None:
        return second
    if second is None:
        return first
    rank = FIELD_RANKS.get(field)
    return min(first, second, key=rank.__getitem__) if rank else min(first, second)


def intersect_entries(kind: str, first: Entry, second: Entry) -> Entry | None:
    """Return the intersection of two entries with the same key; None if it has no such entry."""
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


def _is_kept_if_one_sided(key: str, entry: Entry, other: Rules) -> bool:
    """Whether the intersection has an entry that the other table lacks."""
    return KINDS[kind_of(key)].in_either or scope_of(key, entry) not in other


def limit_to_capacity(rules: Table) -> Table:
    """Return the rules with the limit on queries in flight lowered to the capacity of their engines."""
    limit = rules.get("limit/out")
    if limit is None:
        return rules
    capacity = engine_capacity(rules)
    if limit.value <= capacity:
        return rules
    return rules.set("limit/out", Limit(float(capacity)))


def intersect(first: Table, second: Table) -> Table:
    """Return the intersection of two tables, in time linear in their sizes (constant if they are the same object)."""
    if first is second:
        return first
    table: dict[str, Entry] = {}
    for key, entry in first.items():
        other = second.get(key)
        if other is not None:
            common = intersect_entries(kind_of(key), entry, other)
            if common is not None:
                table[key] = common
        elif _is_kept_if_one_sided(key, entry, second):
            table[key] = entry
    for key, entry in second.items():
        if key not in first and _is_kept_if_one_sided(key, entry, first):
            table[key] = entry
    return limit_to_capacity(Map(table))


def intersect_all(tables: Iterable[Table]) -> Table:
    """Return the intersection of all tables; the empty table if there are none."""
    return reduce(intersect, tables, NO_RULES)


def intersect_with_child(parent: Table, child: Table, changes: Changes) -> Table:
    """Return the intersection of a version and its child: as `intersect`, but in time linear in the changes.

    Entries that are equal in both are in the intersection, whatever lists they are on. If one of the tables has a limit
    that relies on all engines, both tables are walked.
    """
    return run_to_end(intersect_with_child_in_slices(parent, child, changes))


def intersect_with_child_in_slices(parent: Table, child: Table, changes: Changes) -> SlicedWork[Table]:
    """Do the work of `intersect_with_child` in slices."""
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


def _common_entry(key: str, parent: Table, child: Table) -> Entry | None:
    """Return the entry of the intersection for a key that is in at least one of the tables; None if it has none."""
    old_entry = parent.get(key)
    new_entry = child.get(key)
    if old_entry is not None and new_entry is not None:
        return intersect_entries(kind_of(key), old_entry, new_entry)
    if new_entry is None:
        return old_entry if _is_kept_if_one_sided(key, old_entry, child) else None
    return new_entry if _is_kept_if_one_sided(key, new_entry, parent) else None


def permits_no_more(first: Table, second: Table) -> bool:
    """Whether the first table permits at most what the second permits."""
    return intersect(first, second) == first


def contradictions(first: Rules, second: Rules, max_keys: int = 8) -> list[str]:
    """Return up to `max_keys` keys in which two versions contradict each other.

    If one coordinator acted on the first version while another acted on the second, one could do what the other version
    forbids to the whole fleet: send to an engine that it drains, or exceed a limit together with the others.
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
