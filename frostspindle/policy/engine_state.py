"""State of one engine, as observed and inferred by one controller."""

from __future__ import annotations

import math
from collections import deque

from frostspindle.policy.events import EngineEntry, Health
from frostspindle.policy.indexes import IdleConnectionIndex
from frostspindle.policy.request_state import AttemptState
from frostspindle.policy.settings import Settings
from frostspindle.policy.statistics import SlidingWindowSum

THREADS_PER_CORE = 2.0  # initial thread limit per core, divided among the coordinators
HALF_OPEN_BACKOFF_MS = 1000.0  # delay before the first half-open test
INITIAL_ACTIVITY_GAP_MS = 200.0
MAX_ACTIVITY_GAP_MS = 5000.0
ACTIVITY_GAP_RATE = 0.2  # weight of one gap in the moving average
CACHED_GROUPS = 4  # number of table groups assumed to be in an engine's cache
IDLE_TIMEOUT_SAFETY = 0.85  # idle connections count as open for this fraction of the engines' idle timeout


class EngineState:
    """One engine: its endpoint list entry, the load of this controller there, and what its responses show."""

    __slots__ = (
        "attempts",
        "cached_groups",
        "connections",
        "cores",
        "denied_work_ms",
        "ejected",
        "ejected_by_peer",
        "entry",
        "examine_at_ms",
        "failure_rate",
        "granted_mb",
        "half_open_at_ms",
        "half_open_backoff_ms",
        "health_checked_at_ms",
        "id",
        "idle_connections",
        "limit_cut_at_ms",
        "listed_at_ms",
        "load_report_at_ms",
        "memory_mb",
        "other_memory_ratio",
        "other_threads",
        "peer_memory_mb",
        "peer_threads",
        "readmitted_at_ms",
        "ready",
        "settings",
        "last_activity_at_ms",
        "activity_gap_ms",
        "slow_start_sends",
        "slow_start_share",
        "slowdown",
        "thread_limit",
        "thread_share",
        "threads",
        "withheld_until_ms",
    )

    def __init__(self, entry: EngineEntry, settings: Settings, idle_connections: IdleConnectionIndex) -> None:
        self.entry = entry
        self.id = entry.engine
        self.settings = settings
        self.idle_connections = idle_connections
        kind = entry.kind if entry.kind < len(settings.kind_cores) else 0
        self.cores = settings.kind_cores[kind]
        self.memory_mb = settings.kind_memory_mb[kind] if kind < len(settings.kind_memory_mb) else 0.0
        self.thread_share = THREADS_PER_CORE * self.cores / settings.coordinators
        self.ready = entry.health == Health.READY
        self.listed_at_ms = -math.inf
        self.slow_start_sends = SlidingWindowSum()  # estimated work sent during slow start, ms

        # Load of this process.
        self.attempts = dict[tuple[int, int], AttemptState]()  # by request and attempt number
        self.threads = 0
        self.granted_mb = 0.0

        # Load of the other workers of this coordinator, and this worker's share of the slow start budget.
        self.peer_threads = 0
        self.peer_memory_mb = 0.0
        self.slow_start_share = float(settings.workers == 1)
        self.ejected_by_peer = False
        self.denied_work_ms = 0.0  # recent work that did not fit this worker's share of the slow start budget
        self.reset(settings)

    def reset(self, settings: Settings) -> None:
        """Reset everything inferred about a previous process of the engine."""
        self.thread_limit = self.thread_share
        self.slowdown = 1.0  # recent latency divided by the best
        self.failure_rate = 0.0
        self.limit_cut_at_ms = 0.0

        self.ejected = False
        self.half_open_at_ms = 0.0
        self.half_open_backoff_ms = HALF_OPEN_BACKOFF_MS
        self.readmitted_at_ms = -math.inf

        self.last_activity_at_ms = -math.inf  # last response, progress report or successful health check
        self.activity_gap_ms = INITIAL_ACTIVITY_GAP_MS
        self.health_checked_at_ms = -math.inf
        self.examine_at_ms = -math.inf  # no fault can be detected before this time
        self.withheld_until_ms = dict[int, float]()  # by class that the engine does not run: when sends may resume

        self.cached_groups = deque[int](maxlen=CACHED_GROUPS)
        idle_timeout_ms = IDLE_TIMEOUT_SAFETY * settings.connection_idle_ms
        self.connections = self.idle_connections.new_record(self, idle_timeout_ms, settings.streams_per_connection)

        # Load of other coordinators, from the last load report.
        self.load_report_at_ms = -math.inf
        self.other_threads = 0.0
        self.other_memory_ratio = 0.0

    def in_slow_start(self, now: float) -> bool:
        """Return whether the engine's process started so recently that it is still warming up."""
        return self.entry.since_ms > 0 and now - self.entry.since_ms < self.settings.slow_start_duration_ms

    def record_activity(self, now: float) -> None:
        """Record a response, progress report or health check, and update the mean gap between them."""
        if self.attempts and self.last_activity_at_ms > 0:
            gap_ms = min(now - self.last_activity_at_ms, MAX_ACTIVITY_GAP_MS)
            self.activity_gap_ms += ACTIVITY_GAP_RATE * (gap_ms - self.activity_gap_ms)
        self.last_activity_at_ms = now
