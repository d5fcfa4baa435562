"""State shared by all components of one controller."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from frostspindle.policy.actions import Action
from frostspindle.policy.engine_state import THREADS_PER_CORE, EngineState
from frostspindle.policy.indexes import GroupedCounter, IdleConnectionIndex, RankedSet
from frostspindle.policy.queues import WaitingQueue
from frostspindle.policy.request_state import RequestState
from frostspindle.policy.settings import Settings

DEADLINE_MARGIN_MS = 40.0  # a request is ended at least this long before its client times out


@dataclass(slots=True)
class PolicyState:
    """Settings, engines, requests, and the actions of the event that is being handled.

    `fractional_share` is set if this coordinator's share of each engine is smaller than one request needs. Then only
    the sum of the shares limits concurrency.
    """

    settings: Settings
    random: random.Random
    fractional_share: bool
    memory_is_paged: bool  # engines page if they run out of memory; otherwise requests wait for memory
    reports_memory: bool  # load reports contain the fraction of memory that is granted
    best_latency_ratios: list[float]  # by class; maintained by the concurrency limiter
    idle_connections: IdleConnectionIndex
    actions: list[Action] = field(default_factory=list)
    engines: dict[int, EngineState] = field(default_factory=dict)
    requests: dict[int, RequestState] = field(default_factory=dict)
    # Suspended requests that enter the waiting queue once resumed.
    deferred_requests: dict[int, RequestState] = field(default_factory=dict)
    waiting_queue: WaitingQueue = field(default_factory=WaitingQueue)
    max_open_requests: float = math.inf

    # Computed by the last refresh of the engine registry.
    usable_engines: list[EngineState] = field(default_factory=list)
    ranked_engines: RankedSet = field(default_factory=RankedSet)  # the usable engines
    slow_start_engines: list[EngineState] = field(default_factory=list)
    slow_start_eligible: list[EngineState] = field(default_factory=list)  # engines in slow start with budget left here
    median_slowdown: float = 1.0
    thread_limit_sum: float = 0.0

    # Totals of running attempts.
    threads: int = 0
    running_loads: GroupedCounter = field(default_factory=GroupedCounter)  # by table group and engine
    blocked_requests: GroupedCounter = field(default_factory=GroupedCounter)  # requests that loads block; same keys

    # Times of this process.
    started_at_ms: float = math.inf  # time of the first event
    resumed_at_ms: float = -math.inf  # end of the last stall of this process

    @classmethod
    def create(cls, settings: Settings, seed: int) -> PolicyState:
        """Return the state before the first event."""
        most_threads = max(class_settings.threads for class_settings in settings.classes)
        largest_share = THREADS_PER_CORE * max(settings.kind_cores) / settings.coordinators
        return cls(
            settings=settings,
            random=random.Random(seed),
            fractional_share=largest_share < most_threads,
            memory_is_paged=settings.memory_shortage_mode == "page",
            reports_memory="x0" in settings.load_report_columns,
            best_latency_ratios=[1.0] * len(settings.classes),
            idle_connections=IdleConnectionIndex(settings.handshake_penalty > 0),
        )
