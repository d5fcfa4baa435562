"""State of requests and of their attempts, as one controller keeps it; takes no decisions."""

from __future__ import annotations

import math
from typing import Any

from frostspindle.policy.events import AttemptOutcome, RequestArrived
from frostspindle.policy.settings import ClassSettings, Idempotency

NEVER_RAN = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.OVERLOADED, AttemptOutcome.NOT_SENT)


class AttemptState:
    """One attempt of a request at an engine, from when it was sent."""

    __slots__ = (
        "cost_ms",
        "engine",
        "failure_charge",
        "grant_mb",
        "half_open",
        "number",
        "outcome",
        "progress_at_ms",
        "queued_for_memory",
        "request",
        "sent_at_ms",
        "waited_ms",
    )

    def __init__(self, request: RequestState, number: int, engine: Any, now: float) -> None:
        """Record an attempt at an engine, an EngineState, whose module imports this one."""
        self.request = request
        self.number = number
        self.engine = engine
        self.sent_at_ms = now
        self.cost_ms = request.cost_ms
        self.grant_mb = request.grant_mb
        self.half_open = engine.ejected  # it tests whether an ejected engine answers again
        self.waited_ms = 0.0  # how long it stood still, by its progress reports
        self.progress_at_ms = now
        self.queued_for_memory = False  # by its last progress report
        self.failure_charge = 0.0  # what it added to its engine's failure rate
        self.outcome: int | None = None


class RequestState:
    """One request that has not ended, with its estimates, its attempts and its place in the queue."""

    __slots__ = (
        "arrived_at_ms",
        "attempts",
        "avoided_engines",
        "class_settings",
        "cls",
        "cost_estimate_ms",
        "cost_ms",
        "deadline_at_ms",
        "deferred",
        "done_ratio",
        "finished",
        "grant_mb",
        "group",
        "key",
        "key_order_reached",
        "lane",
        "memory_estimate_mb",
        "memory_mb",
        "number",
        "objective_at_ms",
        "over_quota",
        "priority",
        "rank",
        "bad_plan_handled",
        "streaming",
        "suspended",
        "tenant",
        "waiting",
    )

    def __init__(self, event: RequestArrived, class_settings: ClassSettings, now: float) -> None:
        self.number = event.request
        self.cls = event.cls
        self.class_settings = class_settings
        self.tenant = event.tenant
        self.key = event.key
        self.key_order_reached = event.key_order_reached
        self.group = int(event.group)
        self.lane = -1  # of the waiting queue: the table group of an ordered load
        if class_settings.is_load and class_settings.in_order and self.group >= 0:
            self.lane = self.group

        self.arrived_at_ms = now
        self.deadline_at_ms = now + max(0.0, event.left_ms)
        self.objective_at_ms = 0.0

        self.cost_estimate_ms = max(0.0, event.cost_ms)  # of the client, 0: none
        self.memory_estimate_mb = max(0.0, event.memory_mb)
        self.cost_ms = 0.0  # ours
        self.memory_mb = 0.0
        self.grant_mb = 0.0
        self.done_ratio = 0.0

        self.over_quota = False
        self.waiting = False
        self.suspended = event.suspended  # its client is away
        self.deferred = False  # it will wait for an engine once it is no longer suspended
        self.streaming = False
        self.bad_plan_handled = False  # an attempt far over its estimate was dealt with, once
        self.finished = False

        self.priority = -1
        self.rank: tuple[int, float, int] = (0, 0.0, 0)  # order in the waiting queue
        self.attempts = list[AttemptState]()
        self.avoided_engines = set[int]()

    @property
    def running_attempts(self) -> list[AttemptState]:
        """Attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    def attempts_that_may_have_run(self) -> list[AttemptState]:
        """Return the attempts that run or whose outcome does not exclude that they ran."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]

    def client_may_retry(self) -> bool:
        """Tell whether the client can repeat the request without harm, so that a rejection is true."""
        class_settings = self.class_settings
        return (
            class_settings.idempotency == Idempotency.IDEMPOTENT
            or not self.attempts_that_may_have_run()
            or (class_settings.idempotency == Idempotency.WITH_KEY and class_settings.dedup_scope == "all")
        )

    def first_sent_at_ms(self) -> float:
        """Return when the first attempt that may have run was sent, infinite if there is none."""
        return min((attempt.sent_at_ms for attempt in self.attempts_that_may_have_run()), default=math.inf)
