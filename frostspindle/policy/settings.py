"""Settings of the decision module: request classes, engines and limits.

All records are immutable. Times and durations are milliseconds and end in `_ms`; memory is in megabytes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Idempotency(IntEnum):
    """Effect of resending a request: safe, safe while engines deduplicate it by key, or executed twice."""

    IDEMPOTENT = 0
    WITH_KEY = 1
    NON_IDEMPOTENT = 2


@dataclass(frozen=True)
class ClassSettings:
    """One class of requests.

    A response is worth `priority_weight` up to its latency objective, which is `latency_objective_ms` plus
    `objective_stretch` times the estimated run time. A later response is worth `late_value_ratio` of that weight until
    `deadline_ms`.

    A request that is idempotent WITH_KEY may be retried for `idempotency_window_ms` after it was first sent, at engines
    of the same `dedup_scope`. With `in_order`, requests of one key run one after another. With `stream`, the deadline
    is waived once a response has begun. `threads` is the number of engine threads that one attempt uses. With
    `blocked_by_loads`, attempts are delayed by loads (`is_load`) of the same table group. `only_kinds` and `only_zones`
    restrict the engines; None allows all.
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
    """Settings of one controller. Raise ValueError for values out of range.

    `number` is the index of this coordinator among `coordinators`, from 0. Tenant quotas are requests per second at all
    coordinators together. `kind_cores` and `kind_memory_mb` are indexed by the kind of engine. `max_grant_ratio` and
    `slow_start_capacity` are fractions. The retry budget allows `retry_budget_min` + `retry_budget_ratio` * new
    requests retries within `retry_budget_window_ms`; a window of 0 disables the limit.
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
    zone: int = 0  # zone of this coordinator
    # Score deductions, for each request: a new connection to an engine, and an attempt in another zone.
    handshake_penalty: float = 0.0
    cross_zone_penalty: float = 0.0
    connection_idle_ms: float = 0.0  # engines close a connection that is idle this long; 0: unknown
    streams_per_connection: int = 1  # concurrent attempts on one connection
    workers: int = 1  # processes of this coordinator; they lease slow start budgets from each other

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("classes: at least one class is required")
        if self.coordinators < 1:
            raise ValueError("coordinators: must be 1 or more")
        if self.workers < 1:
            raise ValueError("workers: must be 1 or more")
        if self.number < 0:
            raise ValueError("number: must not be negative")
        if self.max_attempts < 1:
            raise ValueError("max_attempts: must be 1 or more")
        if not self.kind_cores or min(self.kind_cores) <= 0:
            raise ValueError("kind_cores: every kind needs more than 0 cores")
        for number, cls in enumerate(self.classes):
            if cls.latency_objective_ms <= 0 or cls.deadline_ms <= 0 or cls.threads < 1:
                raise ValueError(
                    f"classes[{number}]: latency_objective_ms, deadline_ms and threads must be greater than 0"
                )
