"""Parser of settings, as path=value lines or as nested JSON, for the simulator adapter and the coordinator.

It adds no defaults of its own to those of `policy.Settings`, and reads neither files nor the environment.
"""

from __future__ import annotations

import math
from typing import Any

from frostspindle.policy.settings import ClassSettings, Idempotency, Settings

EFFECTS = {"repeatable": Idempotency.IDEMPOTENT, "by_key": Idempotency.WITH_KEY, "once": Idempotency.NON_IDEMPOTENT}


class Pairs:
    """Typed look-ups in settings flattened to path=value; all raise ValueError with the path of a bad value."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    def text(self, path: str, default: str | None = None) -> str:
        """Return the value as it is; raise ValueError if it is missing and has no default."""
        value = self.values.get(path, default)
        if value is None:
            raise ValueError(f"{path}: missing")
        return value

    def number(self, path: str, default: float | None = None, least: float = 0.0, above: float = -math.inf) -> float:
        """Return a finite number of at least `least` and above `above`; where it is missing, the default, unchecked.

        Raise ValueError if it is missing without a default, not a finite number, or out of range.
        """
        if path not in self.values and default is not None:
            return default
        try:
            value = float(self.text(path))
        except ValueError:
            raise ValueError(f"{path}: missing or not a number") from None
        return _checked(path, value, least, above)

    def flag(self, path: str, default: bool = False) -> bool:
        """Return a boolean; raise ValueError for anything but `true` and `false`."""
        value = self.values.get(path, str(default).lower())
        if value not in ("true", "false"):
            raise ValueError(f"{path}: neither true nor false")
        return value == "true"

    def items(self, path: str) -> list[str]:
        """Return a comma-separated value as strings; an empty list where it is missing or empty."""
        value = self.values.get(path, "")
        return value.split(",") if value else []

    def numbers(self, path: str, least: float = 0.0, above: float = -math.inf) -> list[float]:
        """Return a comma-separated value as numbers; raise ValueError for one not a finite number or out of range."""
        try:
            values = [float(v) for v in self.items(path)]
        except ValueError:
            raise ValueError(f"{path}: not a list of numbers") from None
        return [_checked(path, value, least, above) for value in values]

    def places(self, path: str) -> frozenset[int] | None:
        """Return a comma-separated value as a set of numbers, each cut to an integer; None where it is missing."""
        return frozenset(int(v) for v in self.numbers(path)) if path in self.values else None


def _checked(path: str, value: float, least: float, above: float) -> float:
    if not math.isfinite(value):
        raise ValueError(f"{path}: not a finite number")
    if value < least or value <= above:
        raise ValueError(f"{path}: {value:g} is too little")
    return value


def parse_settings(text: str) -> Settings:
    """Read settings written as path=value lines; keys that are not known here are skipped."""
    values: dict[str, str] = {}
    for line in text.splitlines():
        if line.strip():
            path, mark, value = line.partition("=")
            if not mark:
                raise ValueError(f"{path}: not a path=value line")
            values[path.strip()] = value.strip()
    return read_settings(values)


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Nested settings as the same path=value pairs: plain lists joined by commas, others by index, null as if it
    were missing."""
    if isinstance(value, dict):
        out: dict[str, str] = {}
        for key, inner in value.items():
            out.update(flatten(inner, f"{path}.{key}" if path else str(key)))
        return out
    if isinstance(value, list):
        if any(isinstance(inner, (dict, list)) for inner in value):
            out = {f"{path}.count": str(len(value))}
            for number, inner in enumerate(value):
                out.update(flatten(inner, f"{path}.{number}"))
            return out
        return {path: ",".join(_plain(inner) for inner in value)}
    return {} if value is None else {path: _plain(value)}


def _plain(value: Any) -> str:
    return str(value).lower() if isinstance(value, bool) else str(value)


def read_settings(values: dict[str, str]) -> Settings:
    """Read the settings of one instance from flattened pairs; raise ValueError with the path of a bad value."""
    pairs = Pairs(values)
    return Settings(
        classes=_read_classes(pairs),
        **_read_tenants(pairs),
        **_read_engines(pairs),
        **_read_load_reports(pairs),
        **_read_attempts(pairs),
        **_read_slow_start(pairs),
        **_read_retry_budget(pairs),
        **_read_connections(pairs),
    )


def _read_classes(pairs: Pairs) -> tuple[ClassSettings, ...]:
    count = int(pairs.number("categories.count"))
    threads = pairs.numbers("domain.classThreads", 1.0)
    loads = pairs.items("domain.classLoad")
    blocked = pairs.items("domain.blockedByLoads")
    return tuple(
        _read_class(
            pairs,
            f"categories.{number}.",
            threads=int(threads[number]) if number < len(threads) else 1,
            is_load=number < len(loads) and loads[number] == "true",
            blocked_by_loads=number < len(blocked) and blocked[number] == "true",
        )
        for number in range(count)
    )


def _read_class(pairs: Pairs, path: str, threads: int, is_load: bool, blocked_by_loads: bool) -> ClassSettings:
    effect = pairs.text(path + "effect")
    if effect not in EFFECTS:
        raise ValueError(f"{path}effect: unknown effect {effect!r}")
    return ClassSettings(
        latency_objective_ms=pairs.number(path + "promise", above=0.0),
        deadline_ms=pairs.number(path + "hardLimit", above=0.0),
        priority_weight=pairs.number(path + "worth", 1.0),
        objective_stretch=pairs.number(path + "aimStretch", 0.0),
        late_value_ratio=pairs.number(path + "lateShare", 0.0),
        idempotency=EFFECTS[effect],
        dedup_scope=pairs.text(path + "dedupScope", "all"),
        idempotency_window_ms=pairs.number(path + "window", 0.0),
        in_order=pairs.flag(path + "inOrder"),
        stream=pairs.flag(path + "stream"),
        threads=threads,
        is_load=is_load,
        blocked_by_loads=blocked_by_loads,
        only_kinds=pairs.places(path + "servedOn"),
        only_zones=pairs.places(path + "failureDomainsOpen"),
    )


def _read_tenants(pairs: Pairs) -> dict[str, Any]:
    count = int(pairs.number("parties.count", 0))
    return {
        "coordinators": int(pairs.number("balancers", 1, 1.0)),
        "number": int(pairs.number("me", 0)),
        "tenant_quotas_per_s": tuple(pairs.number(f"parties.{i}.allowancePerS", 0.0) for i in range(count)),
    }


def _read_engines(pairs: Pairs) -> dict[str, Any]:
    return {
        "kind_cores": tuple(pairs.numbers("domain.kindCores", above=0.0)) or (1.0,),
        "kind_memory_mb": tuple(pairs.numbers("domain.sizeMb")) or (0.0,),
        "max_grant_ratio": pairs.number("domain.mostGrant", 1.0),
        "grants": pairs.flag("domain.grants"),
        "priorities": pairs.flag("domain.priorities"),
        "reports_cost": pairs.flag("domain.saysCost"),
        "progress_interval_ms": pairs.number("domain.notePeriod", 0.0),
        "memory_shortage_mode": pairs.text("domain.whenShort", "wait"),
    }


def _read_load_reports(pairs: Pairs) -> dict[str, Any]:
    return {
        "load_report_columns": tuple(pairs.items("report.columns")),
        "load_reports_in_responses": pairs.text("report.how", "silent") == "piggyback",
        "subscribe_endpoints": pairs.text("discovery", "automatic") == "subscribe",
        "subscribe_within_ms": pairs.number("rules.mustAskIn", 0.0),
    }


def _read_attempts(pairs: Pairs) -> dict[str, Any]:
    return {
        "may_cancel": pairs.flag("limits.cancel"),
        "may_check_health": pairs.flag("limits.probes"),
        "hedged_requests": pairs.flag("limits.secondCopies"),
        "retry_after": pairs.flag("limits.retryAfter"),
        "max_retry_after_ms": pairs.number("limits.maxRetryAfter", 0.0),
        "max_attempts": int(pairs.number("limits.mostTries", 1, 1.0)),
        "connect_timeout_ms": pairs.number("limits.dialTimeout", 250.0),
        "drain_grace_ms": pairs.number("rules.stopSendingWithin", 0.0),
    }


def _read_slow_start(pairs: Pairs) -> dict[str, Any]:
    return {
        "slow_start_capacity": pairs.number("rules.startCapacity", 1.0),
        "slow_start_duration_ms": pairs.number("rules.warmWithin", 0.0),
        "slow_start_overload_ratio": pairs.number("rules.tipMultiple", 1.0),
        "slow_start_window_ms": pairs.number("rules.fall", 1000.0),
    }


def _read_retry_budget(pairs: Pairs) -> dict[str, Any]:
    return {
        "key_order_pause_ms": pairs.number("rules.orderPause", 0.0),
        "retry_budget_min": pairs.number("rules.extraFloor", 0.0),
        "retry_budget_ratio": pairs.number("rules.extraRatio", 0.0),
        "retry_budget_window_ms": pairs.number("rules.resendSpan", 0.0),
        "over_quota_weight": pairs.number("overShareWorth", 1.0),
    }


def _read_connections(pairs: Pairs) -> dict[str, Any]:
    return {
        "zone": int(pairs.number("locality", 0, -math.inf)),
        "handshake_penalty": pairs.number("deductions.handshake", 0.0, -math.inf),
        "cross_zone_penalty": pairs.number("deductions.crossZone", 0.0, -math.inf),
        "connection_idle_ms": pairs.number("limits.connIdle", 0.0),
        "streams_per_connection": int(pairs.number("limits.streamsPerConn", 1)),
    }
