"""Check whether the running program can apply a version without a restart. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from frostspindle.config import TenantRule
from frostspindle.settings.schema import Class, Engine, Entry, Limit, Login, Rules, Tenant
from frostspindle.settings.versions import EMPTY_VERSION, Version

MAX_REMEMBERED_VERSIONS = 64


@dataclass(slots=True, frozen=True)
class RunningProgram:
    """The startup configuration that determines which versions this coordinator can apply."""

    classes: Mapping[str, str] = field(default_factory=dict)  # class name to idempotency, as in an entry's `effect`
    tenants: Mapping[str, tuple[TenantRule, ...]] = field(default_factory=dict)
    has_event_bus: bool = False  # if so, the bus announces the HTTP engines
    has_tds: bool = False
    tds_classes: frozenset[str] = frozenset()
    tds_sizes: frozenset[tuple[float, float]] = frozenset()  # cores, memory in MB
    zones: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    sockets: int = 1024
    memory_mb: float = 192.0


def inapplicability_reason(rules: Rules, program: RunningProgram, changes: Rules | None = None) -> str:
    """Return why these rules can't be applied without a restart, naming the key; "" if they can.

    If `changes` is given, only these entries are checked; they must be changes to applicable rules.
    """
    for key, entry in (rules if changes is None else changes).items():
        if entry is None:
            continue
        kind, _, name = key.partition("/")
        check = _CHECKS_BY_KIND.get(kind)
        reason = check(key, name, entry, program) if check is not None else ""
        if reason:
            return reason
    return _check_result_memory(rules, program)


def _check_engine(key: str, name: str, engine: Engine, program: RunningProgram) -> str:
    if engine.front == "http":
        return _check_http_engine(key, engine, program)
    if engine.front == "tds" and not program.has_tds:
        return f"{key}: needs a new start with [tds]"
    if engine.front == "tds" and (engine.cores, engine.memory_mb) not in program.tds_sizes:
        return f"{key}.cores: a size that needs a new start"
    return ""


def _check_http_engine(key: str, engine: Engine, program: RunningProgram) -> str:
    if program.has_event_bus:
        return f"{key}: the event bus announces the HTTP engines here; use bans, drains and limits instead"
    if engine.zone and engine.zone not in program.zones:
        return f"{key}.zone: a failure domain that needs a new start"
    if engine.kind and engine.kind not in program.kinds:
        return f"{key}.kind: a kind that needs a new start"
    return ""


def _check_class(key: str, name: str, request_class: Class, program: RunningProgram) -> str:
    if name not in program.classes:
        return f"{key}: a class that needs a new start"
    if request_class.effect != program.classes[name]:
        return f"{key}.effect: needs a new start"
    return ""


def _check_tenant(key: str, name: str, tenant: Tenant, program: RunningProgram) -> str:
    if name not in program.tenants:
        return f"{key}: a tenant that needs a new start"
    if tenant.rule and tenant.rule != program.tenants[name]:
        return f"{key}.rule: needs a new start"
    return ""


def _check_login(key: str, name: str, login: Login, program: RunningProgram) -> str:
    if not program.has_tds:
        return f"{key}: needs a new start with [tds]"
    if login.cls not in program.tds_classes:
        return f"{key}.class: a class that needs a new start"
    return ""


def _check_limit(key: str, name: str, limit: Limit, program: RunningProgram) -> str:
    if name.startswith("tds_") and not program.has_tds:
        return f"limits.{name}: needs a new start with [tds]"
    if name == "tds_sessions" and limit.value > program.sockets // 6:
        return f"limits.{name}: more than a sixth of {program.sockets} sockets"
    if name == "open_requests" and limit.value > program.sockets // 2:
        return f"limits.{name}: more than half of {program.sockets} sockets"
    return ""


def _check_result_memory(rules: Rules, program: RunningProgram) -> str:
    """Check that three times the buffers of all TDS sessions fit into half of the memory."""
    names = ("tds_sessions", "tds_batch_bytes", "tds_result_bytes")
    values = [rules[f"limit/{name}"].value for name in names if f"limit/{name}" in rules]
    if len(values) < len(names):
        return ""
    sessions, batch_bytes, result_bytes = values
    if 3 * sessions * (batch_bytes + result_bytes) > program.memory_mb * 2**19:
        return f"limits.tds_result_bytes: with sessions and batches more than half of {program.memory_mb:g} MB"
    return ""


_CHECKS_BY_KIND: dict[str, Callable[[str, str, Entry, RunningProgram], str]] = {
    "engine": _check_engine,
    "class": _check_class,
    "tenant": _check_tenant,
    "login": _check_login,
    "limit": _check_limit,
}


class ApplicabilityCheck:
    """Checks versions against one program; for a child of an applicable version, only its changes are checked."""

    def __init__(self, program: RunningProgram) -> None:
        self._program: RunningProgram = program
        self._applicable: dict[int, int] = {0: EMPTY_VERSION.digest}  # version number to digest

    def __call__(self, version: Version) -> str:
        """Return why this coordinator can't apply a version; "" if it can."""
        changes = version.changes if version.parent in self._applicable else None
        reason = inapplicability_reason(version.rules, self._program, changes)
        if not reason:
            self._applicable[version.number] = version.digest
            while len(self._applicable) > MAX_REMEMBERED_VERSIONS:
                del self._applicable[next(iter(self._applicable))]
        return reason
