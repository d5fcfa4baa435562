"""Validation of a version: its entries, lists, shares, and the limit that relies on the capacity of all engines.

No I/O. `applicability` checks whether a running program can apply a version. All errors are InvalidSettingsError and
name the key at fault.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from frostspindle.config import ConfigError, address
from frostspindle.ledger.tenant_rules import Rule
from frostspindle.settings.schema import (
    FIELD_RANKS,
    KINDS,
    LIST_SCOPES,
    MAX_ENTRIES,
    Engine,
    Entry,
    InvalidSettingsError,
    Limit,
    ListScope,
    Login,
    Rules,
    Tenant,
    key_of,
    kind_of,
    scope_of,
)
from frostspindle.settings.secret_hash import SECRET_FORM
from frostspindle.settings.slices import SlicedWork, iterate_in_slices, run_to_end

_BYTE = r"(25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
_IPV4_ADDRESS = re.compile(rf"{_BYTE}(\.{_BYTE}){{3}}:[1-9]\d{{0,3}}")
SHARE_TOLERANCE = 1e-9  # rounding error of the sum of shares


class LimitBounds(NamedTuple):
    """The smallest and the largest valid value of a limit."""

    minimum: float
    maximum: float


LIMITS: dict[str, LimitBounds] = {
    "out": LimitBounds(0, 1_000_000),  # queries in flight of all coordinators; bounded by the engines' `most`
    "open_requests": LimitBounds(16, 1_000_000),
    "tds_sessions": LimitBounds(1, 100_000),
    "tds_batch_bytes": LimitBounds(512, 1 << 26),
    "tds_result_bytes": LimitBounds(512, 1 << 28),
    "tds_idle_ms": LimitBounds(1, 1e9),
}


def accepts_queries(rules: Rules, engine: Engine) -> bool:
    """Whether queries may be sent to an engine: it is active, not banned and not draining."""
    return engine.state == "active" and f"ban/{engine.name}" not in rules and f"drain/{engine.name}" not in rules


def engine_capacity(rules: Rules) -> float:
    """Return the number of concurrent queries that the engines accept; inf if their limit is unknown."""
    engines = [entry for key, entry in rules.items() if key.startswith("engine/")]
    if not engines:
        return 0.0 if "scope/http" in rules and "scope/tds" in rules else math.inf
    return sum(math.inf if engine.most is None else engine.most for engine in engines if accepts_queries(rules, engine))


def is_divided(key: str, entry: Entry) -> bool:
    """Whether an entry is a limit that is divided among the coordinators by their shares."""
    return key == "limit/out" or (key.startswith("engine/") and entry.most is not None)


def validate(rules: Rules, changes: Rules | None = None) -> None:
    """Validate a version. If `changes` is given, check only these entries; they must be changes to valid rules."""
    run_to_end(validate_in_slices(rules, changes))


def validate_in_slices(rules: Rules, changes: Rules | None = None) -> SlicedWork[None]:
    """Do the work of `validate` in slices."""
    if len(rules) > MAX_ENTRIES:
        raise InvalidSettingsError(f"{len(rules)} entries, at most {MAX_ENTRIES}")
    if changes is None:
        new_entries = rules
        changed_kinds = {kind_of(key) for key in rules}
    else:
        new_entries = {key: entry for key, entry in changes.items() if entry is not None}
        changed_kinds = {kind_of(key) for key in changes}
    for (key, entry), slice_ends in iterate_in_slices(new_entries.items()):
        if slice_ends:
            yield
        _check_entry(key, entry)
    # If a scope was removed, unchanged entries may be on a list that the version no longer has.
    yield from _check_scopes(rules, rules if "scope" in changed_kinds else new_entries)
    if "coordinator" in changed_kinds:
        _check_shares(rules)
    if changed_kinds & {"login", "class"}:
        _check_login_classes(rules)
    if changed_kinds & {"limit", "engine", "ban", "drain", "scope"}:
        _check_capacity(rules)


def _check_scopes(rules: Rules, entries: Rules) -> SlicedWork[None]:
    """Check that listed entries have their list, and that divided limits have shares."""
    has_shares = "scope/coordinator" in rules
    for (key, entry), slice_ends in iterate_in_slices(entries.items()):
        if slice_ends:
            yield
        if not KINDS[kind_of(key)].in_either and scope_of(key, entry) not in rules:
            raise InvalidSettingsError(f"{key}: is on a list that the version does not hold")
        if not has_shares and is_divided(key, entry):
            raise InvalidSettingsError(f"{key}: needs [[coordinator]] entries, whose parts of it add up to 1 at most")


def _check_shares(rules: Rules) -> None:
    total = sum(entry.part for key, entry in rules.items() if key.startswith("coordinator/"))
    if total > 1.0 + SHARE_TOLERANCE:
        raise InvalidSettingsError(f"coordinator: the parts add up to {total:g}, past the whole")


def _check_login_classes(rules: Rules) -> None:
    if not any(key.startswith("class/") for key in rules):
        return
    for key, entry in rules.items():
        if key.startswith("login/") and f"class/{entry.cls}" not in rules:
            raise InvalidSettingsError(f"{key}.class: there is no [[class]] {entry.cls!r}")


def _check_capacity(rules: Rules) -> None:
    limit = rules.get("limit/out")
    if limit is None:
        return
    capacity = engine_capacity(rules)
    if limit.value > capacity:
        raise InvalidSettingsError(
            f"limits.out: {limit.value:g} at once rely on engines that let {capacity:g} through: see their "
            "most, state, bans and drains"
        )


def _check_entry(key: str, entry: Entry) -> None:
    kind, _, name = key.partition("/")
    if kind not in KINDS or type(entry) is not KINDS[kind].entry:
        raise InvalidSettingsError(f"{key}: no such kind of entry")
    if kind not in ("limit", "scope") and key_of(kind, entry) != key:
        raise InvalidSettingsError(f"{key}: names another: {key_of(kind, entry)}")
    _check_values(key, entry, KINDS[kind].minimum_fields)
    check_kind = _CHECKS_BY_KIND.get(kind)
    if check_kind is not None:
        check_kind(key, name, entry)


def _check_values(key: str, entry: Entry, fields: tuple[str, ...]) -> None:
    for field in fields:
        value = getattr(entry, field)
        if field in FIELD_RANKS and value not in FIELD_RANKS[field]:
            raise InvalidSettingsError(f"{key}.{field}: not one of {', '.join(FIELD_RANKS[field])}")
        if isinstance(value, float) and not math.isfinite(value):
            raise InvalidSettingsError(f"{key}.{field}: not a finite number")


def _check_engine(key: str, name: str, engine: Engine) -> None:
    if engine.front not in ("http", "tds"):
        raise InvalidSettingsError(f"{key}.front: not http or tds")
    if _IPV4_ADDRESS.fullmatch(engine.dial):  # fast path: the general parser takes a second for ten thousand addresses
        return
    try:
        address(engine.dial, f"{key}.dial")
    except ConfigError as error:
        raise InvalidSettingsError(str(error)) from None


def _check_limit(key: str, name: str, limit: Limit) -> None:
    if name not in LIMITS:
        raise InvalidSettingsError(f"limits.{name}: not one of {', '.join(LIMITS)}")
    bounds = LIMITS[name]
    if not bounds.minimum <= limit.value <= bounds.maximum:
        raise InvalidSettingsError(f"limits.{name}: not from {bounds.minimum:g} to {bounds.maximum:g}")


def _check_login(key: str, name: str, login: Login) -> None:
    if login.secret and not SECRET_FORM.fullmatch(login.secret):
        raise InvalidSettingsError(f"{key}.secret: not pbkdf2:ROUNDS:SALT:HASH, env:NAME or file:/PATH")


def _check_scope(key: str, name: str, scope: ListScope) -> None:
    if name not in LIST_SCOPES:
        raise InvalidSettingsError(f"{key}: not one of {', '.join(LIST_SCOPES)}")


def _check_tenant(key: str, name: str, tenant: Tenant) -> None:
    for number, rule in enumerate(tenant.rule):
        try:
            Rule(name, *msgspec.structs.astuple(rule)).check()
        except ValueError as error:
            raise InvalidSettingsError(f"{key}.rule[{number}]: {error}") from None


_CHECKS_BY_KIND: dict[str, Callable[[str, str, Entry], None]] = {
    "engine": _check_engine,
    "limit": _check_limit,
    "login": _check_login,
    "scope": _check_scope,
    "tenant": _check_tenant,
}
