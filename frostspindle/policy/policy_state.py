"""State that all parts of one controller share."""

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

DEADLINE_MARGIN_MS = 40.0  # a request is ended at least this long before its client gives up


@dataclass(slots=True)
class PolicyState:
    """Settings, engines, requests and the actions of the event at hand.

    `fractional_share`: our share of each engine is less than one request needs, so that the sum of shares is the limit.
    """

    settings: Settings
    random: random.Random
    fractional_share: bool
    memory_is_paged: bool  # too much admitted slows all down, else it waits
    reports_memory: bool  # load reports tell what part of an engine's memory is granted
    best_latency_ratios: list[float]  # by class; of the concurrency limit
    idle_connections: IdleConnectionIndex
    actions: list[Action] = field(default_factory=list)
    engines: dict[int, EngineState] = field(default_factory=dict)
    requests: dict[int, RequestState] = field(default_factory=dict)
    deferred_requests: dict[int, RequestState] = field(default_factory=dict)  # suspended, and to wait once resumed
    waiting_queue: WaitingQueue = field(default_factory=WaitingQueue)
    max_open_requests: float = math.inf

    # Of the last survey of engines.
    usable_engines: list[EngineState] = field(default_factory=list)
    ranked_engines: RankedSet = field(default_factory=RankedSet)  # the usable ones
    slow_start_engines: list[EngineState] = field(default_factory=list)
    slow_start_eligible: list[EngineState] = field(default_factory=list)  # those with budget left for us
    median_slowdown: float = 1.0
    thread_limit_sum: float = 0.0

    # Of attempts that run.
    threads: int = 0
    running_loads: GroupedCounter = field(default_factory=GroupedCounter)  # by table group and engine
    blocked_requests: GroupedCounter = field(default_factory=GroupedCounter)  # those that loads block, likewise

    # Of the host's own clock.
    started_at_ms: float = math.inf  # the first event
    resumed_at_ms: float = -math.inf  # when the last stall of the whole process ended

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
