"""Parser of settings from path=value lines or nested JSON, for the simulator adapter and the coordinator.

It reads neither files nor the environment.
"""

from __future__ import annotations

import math
from typing import Any

from frostspindle.policy.settings import ClassSettings, Idempotency, Settings

EFFECTS = {"repeatable": Idempotency.IDEMPOTENT, "by_key": Idempotency.WITH_KEY, "once": Idempotency.NON_IDEMPOTENT}


class FlatSettings:
    """Typed lookups in settings flattened to path=value. All raise ValueError with the path of an invalid value."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str | None = None) -> str:
        """Return the value unchanged; raise ValueError if it is missing and has no default."""
        value = self.values.get(path, default)
        if value is None:
            raise ValueError(f"{path}: missing")
        return value

    def number(self, path: str, default: float | None = None, minimum: float = 0.0, above: float = -math.inf) -> float:
        """Return a finite number that is at least `minimum` and greater than `above`.

        If it is missing, return the default without a range check. Raise ValueError if it is missing and has no
        default, is not a finite number, or is out of range.
        """
        if path not in self.values and default is not None:
            return default
        try:
            value = float(self.text(path))
        except ValueError:
            raise ValueError(f"{path}: missing or not a number") from None
        return _check_range(path, value, minimum, above)

    def flag(self, path: str, default: bool = False) -> bool:
        """Return a boolean; raise ValueError for values other than `true` and `false`."""
        value = self.values.get(path, str(default).lower())
        if value not in ("true", "false"):
            raise ValueError(f"{path}: neither true nor false")
        return value == "true"

    def items(self, path: str) -> list[str]:
        """Return a comma-separated value as strings; an empty list if it is missing or empty."""
        value = self.values.get(path, "")
        return value.split(",") if value else []

    def numbers(self, path: str, minimum: float = 0.0, above: float = -math.inf) -> list[float]:
        """Return a comma-separated value as numbers; raise ValueError if any is not finite or out of range."""
        try:
            values = [float(v) for v in self.items(path)]
        except ValueError:
            raise ValueError(f"{path}: not a list of numbers") from None
        return [_check_range(path, value, minimum, above) for value in values]

    def number_set(self, path: str) -> frozenset[int] | None:
        """Return a comma-separated value as a set of numbers truncated to integers; None if it is missing."""
        return frozenset(int(v) for v in self.numbers(path)) if path in self.values else None


def _check_range(path: str, value: float, minimum: float, above: float) -> float:
    if not math.isfinite(value):
        raise ValueError(f"{path}: not a finite number")
    if value < minimum or value <= above:
        raise ValueError(f"{path}: {value:g} is too small")
    return value


def parse_settings(text: str) -> Settings:
    """Parse settings written as path=value lines; unknown keys are ignored."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        if line.strip():
            path, separator, value = line.partition("=")
            if not separator:
                raise ValueError(f"{path}: not a path=value line")
            values[path.strip()] = value.strip()
    return read_settings(values)


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Return nested settings as path=value pairs.

    Lists of plain values are joined by commas, other lists are flattened by index, and null counts as missing.
    """
    if isinstance(value, dict):
        flattened: dict[str, str] = {}
        for key, inner in value.items():
            flattened.update(flatten(inner, f"{path}.{key}" if path else str(key)))
        return flattened
    if isinstance(value, list):
        if any(isinstance(inner, (dict, list)) for inner in value):
            flattened = {f"{path}.count": str(len(value))}
            for number, inner in enumerate(value):
                flattened.update(flatten(inner, f"{path}.{number}"))
            return flattened
        return {path: ",".join(_as_text(inner) for inner in value)}
    return {} if value is None else {path: _as_text(value)}


def _as_text(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def read_settings(values: dict[str, str]) -> Settings:
    """Return Settings from flattened pairs; raise ValueError with the path of an invalid value."""
    flat = FlatSettings(values)
    return Settings(
        classes=_read_classes(flat),
        **_read_tenants(flat),
        **_read_engines(flat),
        **_read_load_reports(flat),
        **_read_attempts(flat),
        **_read_slow_start(flat),
        **_read_retry_budget(flat),
        **_read_connections(flat),
    )


def _read_classes(flat: FlatSettings) -> tuple[ClassSettings, ...]:
    count = int(flat.number("categories.count"))
    threads = flat.numbers("domain.classThreads", 1.0)
    loads = flat.items("domain.classLoad")
    blocked = flat.items("domain.blockedByLoads")
    return tuple(
        _read_class(
            flat,
            f"categories.{number}.",
            threads=int(threads[number]) if number < len(threads) else 1,
            is_load=number < len(loads) and loads[number] == "true",
            blocked_by_loads=number < len(blocked) and blocked[number] == "true",
        )
        for number in range(count)
    )


def _read_class(flat: FlatSettings, path: str, threads: int, is_load: bool, blocked_by_loads: bool) -> ClassSettings:
    effect = flat.text(path + "effect")
    if effect not in EFFECTS:
        raise ValueError(f"{path}effect: unknown effect {effect!r}")
    return ClassSettings(
        latency_objective_ms=flat.number(path + "promise", above=0.0),
        deadline_ms=flat.number(path + "hardLimit", above=0.0),
        priority_weight=flat.number(path + "worth", 1.0),
        objective_stretch=flat.number(path + "aimStretch", 0.0),
        late_value_ratio=flat.number(path + "lateShare", 0.0),
        idempotency=EFFECTS[effect],
        dedup_scope=flat.text(path + "dedupScope", "all"),
        idempotency_window_ms=flat.number(path + "window", 0.0),
        in_order=flat.flag(path + "inOrder"),
        stream=flat.flag(path + "stream"),
        threads=threads,
        is_load=is_load,
        blocked_by_loads=blocked_by_loads,
        only_kinds=flat.number_set(path + "servedOn"),
        only_zones=flat.number_set(path + "failureDomainsOpen"),
    )


def _read_tenants(flat: FlatSettings) -> dict[str, Any]:
    count = int(flat.number("parties.count", 0))
    return {
        "coordinators": int(flat.number("balancers", 1, 1.0)),
        "number": int(flat.number("me", 0)),
        "tenant_quotas_per_s": tuple(flat.number(f"parties.{i}.allowancePerS", 0.0) for i in range(count)),
    }


def _read_engines(flat: FlatSettings) -> dict[str, Any]:
    return {
        "kind_cores": tuple(flat.numbers("domain.kindCores", above=0.0)) or (1.0,),
        "kind_memory_mb": tuple(flat.numbers("domain.sizeMb")) or (0.0,),
        "max_grant_ratio": flat.number("domain.mostGrant", 1.0),
        "grants": flat.flag("domain.grants"),
        "priorities": flat.flag("domain.priorities"),
        "reports_cost": flat.flag("domain.saysCost"),
        "progress_interval_ms": flat.number("domain.notePeriod", 0.0),
        "memory_shortage_mode": flat.text("domain.whenShort", "wait"),
    }


def _read_load_reports(flat: FlatSettings) -> dict[str, Any]:
    return {
        "load_report_columns": tuple(flat.items("report.columns")),
        "load_reports_in_responses": flat.text("report.how", "silent") == "piggyback",
        "subscribe_endpoints": flat.text("discovery", "automatic") == "subscribe",
        "subscribe_within_ms": flat.number("rules.mustAskIn", 0.0),
    }


def _read_attempts(flat: FlatSettings) -> dict[str, Any]:
    return {
        "may_cancel": flat.flag("limits.cancel"),
        "may_check_health": flat.flag("limits.probes"),
        "hedged_requests": flat.flag("limits.secondCopies"),
        "retry_after": flat.flag("limits.retryAfter"),
        "max_retry_after_ms": flat.number("limits.maxRetryAfter", 0.0),
        "max_attempts": int(flat.number("limits.mostTries", 1, 1.0)),
        "connect_timeout_ms": flat.number("limits.dialTimeout", 250.0),
        "drain_grace_ms": flat.number("rules.stopSendingWithin", 0.0),
    }


def _read_slow_start(flat: FlatSettings) -> dict[str, Any]:
    return {
        "slow_start_capacity": flat.number("rules.startCapacity", 1.0),
        "slow_start_duration_ms": flat.number("rules.warmWithin", 0.0),
        "slow_start_overload_ratio": flat.number("rules.tipMultiple", 1.0),
        "slow_start_window_ms": flat.number("rules.fall", 1000.0),
    }


def _read_retry_budget(flat: FlatSettings) -> dict[str, Any]:
    return {
        "key_order_pause_ms": flat.number("rules.orderPause", 0.0),
        "retry_budget_min": flat.number("rules.extraFloor", 0.0),
        "retry_budget_ratio": flat.number("rules.extraRatio", 0.0),
        "retry_budget_window_ms": flat.number("rules.resendSpan", 0.0),
        "over_quota_weight": flat.number("overShareWorth", 1.0),
    }


def _read_connections(flat: FlatSettings) -> dict[str, Any]:
    return {
        "zone": int(flat.number("locality", 0, -math.inf)),
        "handshake_penalty": flat.number("deductions.handshake", 0.0, -math.inf),
        "cross_zone_penalty": flat.number("deductions.crossZone", 0.0, -math.inf),
        "connection_idle_ms": flat.number("limits.connIdle", 0.0),
        "streams_per_connection": int(flat.number("limits.streamsPerConn", 1)),
    }
