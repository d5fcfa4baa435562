"""Settings of the decision module: classes, engines and limits, as they are when a controller starts.

All records are immutable. Times and durations are milliseconds and end in `_ms`; memory is in megabytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Idempotency(IntEnum):
    """What repeating a request may do: no harm, none within the engines' deduplication by key, or run it twice."""

    IDEMPOTENT = 0
    WITH_KEY = 1
    NON_IDEMPOTENT = 2


@dataclass(frozen=True)
class ClassSettings:
    """One class of requests.

    A response counts `priority_weight` up to its latency objective, `latency_objective_ms` plus `objective_stretch`
    times the estimated run time, and `late_value_ratio` of that until `deadline_ms`. A request that is idempotent
    WITH_KEY may be retried for `idempotency_window_ms` after it was first sent, at the engines of its `dedup_scope`.
    `in_order`: requests of one key run one after another. `stream`: the deadline is waived once a response has begun.
    `threads`: what one attempt uses at an engine. `blocked_by_loads`: attempts are delayed by loads (`is_load`) of the
    same table group. `only_kinds`, `only_zones`: the engines allowed; None for all.
    """

    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float = 1.0
    objective_stretch: float = 0.0
    late_value_ratio: float = 0.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    dedup_scope: str = "all"
    idempotency_window_ms: float = 0.0
    in_order: bool = False
    stream: bool = False
    threads: int = 1
    is_load: bool = False
    blocked_by_loads: bool = False
    only_kinds: frozenset[int] | None = None
    only_zones: frozenset[int] | None = None


@dataclass(frozen=True)
class Settings:
    """Settings of one controller; raises ValueError for figures out of range.

    `number` is its own among `coordinators`, from 0. Tenant quotas are requests a second at all coordinators together;
    `kind_cores` and `kind_memory_mb` are by kind of engine; `max_grant_ratio` and `slow_start_capacity` are fractions.
    The retry budget: at most `retry_budget_min` + `retry_budget_ratio` * new requests retries are sent within
    `retry_budget_window_ms`; with a window of 0 they are not limited.
    """

    classes: tuple[ClassSettings, ...]
    coordinators: int = 1
    number: int = 0
    tenant_quotas_per_s: tuple[float, ...] = ()
    kind_cores: tuple[float, ...] = (1.0,)
    kind_memory_mb: tuple[float, ...] = (0.0,)
    max_grant_ratio: float = 1.0
    grants: bool = False
    priorities: bool = False
    reports_cost: bool = False
    progress_interval_ms: float = 0.0
    memory_shortage_mode: str = "wait"
    load_report_columns: tuple[str, ...] = ()
    load_reports_in_responses: bool = False
    subscribe_endpoints: bool = False
    subscribe_within_ms: float = 0.0
    may_cancel: bool = False
    may_check_health: bool = False
    hedged_requests: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    max_attempts: int = 1
    connect_timeout_ms: float = 250.0
    drain_grace_ms: float = 0.0
    slow_start_capacity: float = 1.0
    slow_start_duration_ms: float = 0.0
    slow_start_overload_ratio: float = 1.0
    slow_start_window_ms: float = 1000.0
    key_order_pause_ms: float = 0.0
    retry_budget_min: float = 0.0
    retry_budget_ratio: float = 0.0
    retry_budget_window_ms: float = 0.0
    over_quota_weight: float = 1.0
    zone: int = 0  # this coordinator's own
    # Points off the result: a new connection to an engine, for each request; an attempt in another zone, likewise.
    handshake_penalty: float = 0.0
    cross_zone_penalty: float = 0.0
    connection_idle_ms: float = 0.0  # an engine closes a connection that is idle for so long; 0: not known
    streams_per_connection: int = 1  # attempts that one connection carries at once
    workers: int = 1  # processes of one coordinator; they lease slow start budgets from each other

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if self.coordinators < 1:
            raise ValueError("coordinators: must be 1 or more")
        if self.workers < 1:
            raise ValueError("workers: must be 1 or more")
        if self.number < 0:
            raise ValueError("number: must not be negative")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be 1 or more")
        if not self.kind_cores or min(self.kind_cores) <= 0:
            raise ValueError("kind_cores: every kind needs cores")
        for number, cls in enumerate(self.classes):
            if cls.latency_objective_ms <= 0 or cls.deadline_ms <= 0 or cls.threads < 1:
                raise ValueError(f"classes[{number}]: aim, deadline and threads must be above 0")
