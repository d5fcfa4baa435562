"""State of requests and their attempts in one controller."""

from __future__ import annotations

import math
from typing import Any

from frostspindle.policy.events import AttemptOutcome, RequestArrived
from frostspindle.policy.settings import ClassSettings, Idempotency

NEVER_RAN = (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.OVERLOADED, AttemptOutcome.NOT_SENT)


class AttemptState:
    """One attempt of a request at an engine, from the time it was sent."""

    __slots__ = (
        "cost_ms",
        "engine",
        "failure_charge",
        "grant_mb",
        "half_open",
        "may_still_run",
        "number",
        "outcome",
        "progress_at_ms",
        "queued_for_memory",
        "request",
        "sent_at_ms",
        "waited_ms",
    )

    def __init__(self, request: RequestState, number: int, engine: Any, now: float) -> None:
        """Create an attempt. `engine` is an EngineState, whose module imports this one."""
        self.request = request
        self.number = number
        self.engine = engine
        self.sent_at_ms = now
        self.cost_ms = request.cost_ms
        self.grant_mb = request.grant_mb
        self.half_open = engine.ejected  # the attempt tests an ejected engine
        self.waited_ms = 0.0  # time spent waiting, by its progress reports
        self.progress_at_ms = now
        self.queued_for_memory = False  # by its last progress report
        self.failure_charge = 0.0  # amount added to the engine's failure rate
        self.outcome: int | None = None
        self.may_still_run = False  # it has ended here, but nothing proves that its engine runs it no more


class RequestState:
    """One open request with its estimates, its attempts and its rank in the waiting queue."""

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
        self.lane = -1  # lane of the waiting queue: the table group of an ordered load, else -1
        if class_settings.is_load and class_settings.in_order and self.group >= 0:
            self.lane = self.group

        self.arrived_at_ms = now
        self.deadline_at_ms = now + max(0.0, event.left_ms)
        self.objective_at_ms = 0.0

        self.cost_estimate_ms = max(0.0, event.cost_ms)  # estimate of the client; 0: none
        self.memory_estimate_mb = max(0.0, event.memory_mb)
        self.cost_ms = 0.0  # estimate of the controller
        self.memory_mb = 0.0
        self.grant_mb = 0.0
        self.done_ratio = 0.0

        self.over_quota = False
        self.waiting = False
        self.suspended = event.suspended  # its client is disconnected and may return
        self.deferred = False  # it enters the waiting queue once it is resumed
        self.streaming = False
        self.bad_plan_handled = False  # an attempt far over its estimate was relocated or demoted; done once
        self.finished = False

        self.priority = -1
        self.rank: tuple[int, float, int] = (0, 0.0, 0)  # sort key in the waiting queue
        self.attempts = list[AttemptState]()
        self.avoided_engines = set[int]()

    @property
    def running_attempts(self) -> list[AttemptState]:
        """Attempts that have not ended."""
        return [attempt for attempt in self.attempts if attempt.outcome is None]

    def attempts_that_may_have_run(self) -> list[AttemptState]:
        """Return the attempts that are running or whose outcome leaves it possible that they ran."""
        return [attempt for attempt in self.attempts if attempt.outcome not in NEVER_RAN]

    def client_may_retry(self) -> bool:
        """Return whether the client can safely retry the request, which permits a rejection."""
        class_settings = self.class_settings
        return (
            class_settings.idempotency == Idempotency.IDEMPOTENT
            or not self.attempts_that_may_have_run()
            or (class_settings.idempotency == Idempotency.WITH_KEY and class_settings.dedup_scope == "all")
        )

    def first_sent_at_ms(self) -> float:
        """Return the time at which the first attempt that may have run was sent, or infinity."""
        return min((attempt.sent_at_ms for attempt in self.attempts_that_may_have_run()), default=math.inf)
