"""The settings parser, shared by the adapter and the coordinator.

Owns the names under which an instance's settings come, as path=value lines or as nested JSON, and
their conversion to `policy.Settings`. It never fills in a site's figures by itself beyond
the defaults of that class, and never looks at files or the environment.
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
    """The settings of one instance, from flattened pairs."""
    p = Pairs(values)
    count = int(p.number("categories.count"))
    threads, loads = p.numbers("domain.classThreads", 1.0), p.items("domain.classLoad")
    waits = p.items("domain.blockedByLoads")
    classes = []
    for i in range(count):
        c = f"categories.{i}."
        effect = p.text(c + "effect")
        if effect not in EFFECTS:
            raise ValueError(f"{c}effect: unknown effect {effect!r}")
        classes.append(
            ClassSettings(
                latency_objective_ms=p.number(c + "promise", above=0.0),
                deadline_ms=p.number(c + "hardLimit", above=0.0),
                priority_weight=p.number(c + "worth", 1.0),
                objective_stretch=p.number(c + "aimStretch", 0.0),
                late_value_ratio=p.number(c + "lateShare", 0.0),
                idempotency=EFFECTS[effect],
                dedup_scope=p.text(c + "dedupScope", "all"),
                idempotency_window_ms=p.number(c + "window", 0.0),
                in_order=p.flag(c + "inOrder"),
                stream=p.flag(c + "stream"),
                threads=int(threads[i]) if i < len(threads) else 1,
                is_load=i < len(loads) and loads[i] == "true",
                blocked_by_loads=i < len(waits) and waits[i] == "true",
                only_kinds=p.places(c + "servedOn"),
                only_zones=p.places(c + "failureDomainsOpen"),
            )
        )
    parties = int(p.number("parties.count", 0))
    return Settings(
        classes=tuple(classes),
        coordinators=int(p.number("balancers", 1, 1.0)),
        number=int(p.number("me", 0)),
        tenant_quotas_per_s=tuple(p.number(f"parties.{i}.allowancePerS", 0.0) for i in range(parties)),
        kind_cores=tuple(p.numbers("domain.kindCores", above=0.0)) or (1.0,),
        kind_memory_mb=tuple(p.numbers("domain.sizeMb")) or (0.0,),
        max_grant_ratio=p.number("domain.mostGrant", 1.0),
        grants=p.flag("domain.grants"),
        priorities=p.flag("domain.priorities"),
        reports_cost=p.flag("domain.saysCost"),
        progress_interval_ms=p.number("domain.notePeriod", 0.0),
        memory_shortage_mode=p.text("domain.whenShort", "wait"),
        load_report_columns=tuple(p.items("report.columns")),
        load_reports_in_responses=p.text("report.how", "silent") == "piggyback",
        subscribe_endpoints=p.text("discovery", "automatic") == "subscribe",
        subscribe_within_ms=p.number("rules.mustAskIn", 0.0),
        may_cancel=p.flag("limits.cancel"),
        may_check_health=p.flag("limits.probes"),
        hedged_requests=p.flag("limits.secondCopies"),
        retry_after=p.flag("limits.retryAfter"),
        max_retry_after_ms=p.number("limits.maxRetryAfter", 0.0),
        max_attempts=int(p.number("limits.mostTries", 1, 1.0)),
        connect_timeout_ms=p.number("limits.dialTimeout", 250.0),
        drain_grace_ms=p.number("rules.stopSendingWithin", 0.0),
        slow_start_capacity=p.number("rules.startCapacity", 1.0),
        slow_start_duration_ms=p.number("rules.warmWithin", 0.0),
        slow_start_overload_ratio=p.number("rules.tipMultiple", 1.0),
        slow_start_window_ms=p.number("rules.fall", 1000.0),
        key_order_pause_ms=p.number("rules.orderPause", 0.0),
        retry_budget_min=p.number("rules.extraFloor", 0.0),
        retry_budget_ratio=p.number("rules.extraRatio", 0.0),
        retry_budget_window_ms=p.number("rules.resendSpan", 0.0),
        over_quota_weight=p.number("overShareWorth", 1.0),
        zone=int(p.number("locality", 0, -math.inf)),
        handshake_penalty=p.number("deductions.handshake", 0.0, -math.inf),
        cross_zone_penalty=p.number("deductions.crossZone", 0.0, -math.inf),
        connection_idle_ms=p.number("limits.connIdle", 0.0),
        streams_per_connection=int(p.number("limits.streamsPerConn", 1)),
    )
