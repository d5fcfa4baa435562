"""Admission control during recovery: which requests pass to the controller, wait, or are rejected at once.

No I/O and no clock. Requests with the same key keep their order. A request that can't finish before its deadline is
rejected even if it is next in line, so that its client does not wait in vain. With more than `max_waiting` requests
waiting, the one with the lowest priority per unit of work is rejected.

The engines' present capacity follows from the slow-start curve. The work in flight is limited to what that capacity
does in HORIZON_MS; responses make room for more. Waiting requests are admitted by priority weight per unit of work,
highest first, and at equal values by their number. Work is in ms of one core.
"""

from __future__ import annotations

import heapq
import math
import random
from bisect import bisect_left
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

HORIZON_MS = 12_000.0  # limit of the work in flight, as time at the present work rate
DEADLINE_MARGIN_MS = 60.0  # before the client's timeout
RETRY_JITTER = 0.5  # Retry-After is uniform in 1 - RETRY_JITTER to 1 + RETRY_JITTER times the expected wait
FORECAST_STEP_MS = 250.0
FORECAST_STEPS = 160
FORECAST_VALID_MS = 10_000.0  # a forecast is reused for this long, as it is slow to compute
MIN_RETRY_MS = 50.0
REVIEW_INTERVAL_MS = 50.0  # between checks of the waiting requests' deadlines


class RequestClass(NamedTuple):
    """The properties of a request class that admission uses."""

    priority_weight: float
    idempotent: bool
    late_value_ratio: float
    latency_objective_ms: float
    mean_cost_ms: float


class ReadyEngine(NamedTuple):
    """The size and start of a ready engine; `started_ms` is in Unix ms, 0 for a warm engine."""

    cores: float
    started_ms: float


@dataclass(slots=True, frozen=True)
class SlowStartCurve:
    """Slow start: an engine's capacity grows quadratically from `initial_ratio` to all cores over `duration_ms`."""

    initial_ratio: float = 1.0
    duration_ms: float = 0.0

    def capacity_ratio(self, age_ms: float) -> float:
        """Return the usable fraction, up to 1.0, of an engine's full capacity `age_ms` after its start.

        A negative age counts as 0.
        """
        if self.duration_ms <= 0 or age_ms >= self.duration_ms:
            return 1.0
        return self.initial_ratio + (1.0 - self.initial_ratio) * (max(0.0, age_ms) / self.duration_ms) ** 2


def total_capacity(engines: Iterable[ReadyEngine], curve: SlowStartCurve, time_ms: float) -> float:
    """Return the work in ms that all engines together do per ms at `time_ms` (Unix ms)."""
    return sum(
        engine.cores * (curve.capacity_ratio(time_ms - engine.started_ms) if engine.started_ms > 0 else 1.0)
        for engine in engines
    )


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits for admission."""

    number: int
    class_index: int
    key: int
    cost_ms: float
    deadline: float  # the latest useful time of its response
    rank: tuple[float, int]  # the lowest is admitted first
    ticket_granted: bool = True  # also True if it needs no ticket
    removed: bool = False  # no longer waiting, but still in its key's queue


class AdmissionDecision(NamedTuple):
    """Decision on a request: admit it, or reject it with a wait in ms."""

    number: int
    admitted: bool
    retry_ms: float = 0.0


class RecoveryAdmission:
    """One coordinator's admission control during recovery. Times are the core's, Unix ms."""

    def __init__(
        self,
        classes: tuple[RequestClass, ...],
        curve: SlowStartCurve,
        share: float,
        max_waiting: int,
        seed: int,
        max_retry_ms: float = 0.0,
    ) -> None:
        self.classes: tuple[RequestClass, ...] = classes
        self.curve: SlowStartCurve = curve
        self.share: float = share  # this coordinator's fraction of the engines' capacity
        self.max_waiting: int = max_waiting
        self.max_retry_ms: float = max_retry_ms  # 0: no Retry-After is sent
        self.engines: tuple[ReadyEngine, ...] = ()

        self.open: bool = False  # True: requests wait only for tickets, or behind such a request of their key
        self.service_started: bool = False  # nothing is admitted before, even after expected_start
        self.expected_start: float = math.inf  # of service; used until it starts
        self.admits_non_idempotent: bool = False

        self.waiting: dict[int, WaitingRequest] = {}
        self.queues: dict[int, deque[WaitingRequest]] = {}  # by key, in the order of arrival
        self.in_flight: dict[int, float] = {}  # work of each admitted request without a response, by number
        self.in_flight_ms: float = 0.0  # the sum of in_flight
        self.rejected: int = 0
        self.admitted: int = 0

        self.random: random.Random = random.Random(seed)
        self._reviewed_at: float = -math.inf
        self._changed: bool = False  # since the last call of _admit_by_rank
        self._forecast: list[float] = []  # cumulative work done at the end of each step
        self._forecast_inputs: tuple[tuple[ReadyEngine, ...], float] | None = None  # engines and share
        self._forecast_start: float = -math.inf

    # Arrivals and departures.

    def submit(
        self,
        now: float,
        number: int,
        class_index: int,
        key: int,
        remaining_ms: float,
        cost_ms: float,
        ticket_granted: bool,
    ) -> list[AdmissionDecision]:
        """Queue a request whose client times out in `remaining_ms`; return all immediate decisions.

        With more than `max_waiting` requests waiting, the one with the lowest priority per unit of work is rejected.
        """
        request = self._waiting_request(now, number, class_index, key, remaining_ms, cost_ms, ticket_granted)
        if key:
            self.queues.setdefault(key, deque()).append(request)
        self.waiting[number] = request
        self._changed = True
        decisions: list[AdmissionDecision] = []
        if len(self.waiting) > self.max_waiting:
            lowest = max(self.waiting.values(), key=lambda entry: entry.rank)
            done_at = self._completion_time(now, self._queued_ms())
            decisions.append(self._reject(lowest, self.retry_after_ms(now, done_at)))
        return decisions + self.poll(now, number if self.open else 0)

    def _waiting_request(
        self,
        now: float,
        number: int,
        class_index: int,
        key: int,
        remaining_ms: float,
        cost_ms: float,
        ticket_granted: bool,
    ) -> WaitingRequest:
        request_class = self.classes[class_index]
        cost = max(1.0, cost_ms or request_class.mean_cost_ms)
        if request_class.late_value_ratio <= 0:  # a late response has no value
            remaining_ms = min(remaining_ms, request_class.latency_objective_ms)
        return WaitingRequest(
            number=number,
            class_index=class_index,
            key=key,
            cost_ms=cost,
            deadline=now + remaining_ms - DEADLINE_MARGIN_MS,
            rank=(-request_class.priority_weight / cost, number),
            ticket_granted=ticket_granted,
        )

    def grant_ticket(self, number: int) -> None:
        """Mark the request's ticket as granted, so that it may be admitted."""
        request = self.waiting.get(number)
        if request is not None:
            request.ticket_granted = True
            self._changed = True

    def remove(self, number: int) -> None:
        """Remove a request that has a response or whose client has disconnected, and its work in flight."""
        request = self.waiting.pop(number, None)
        if request is not None:
            self._dequeue(request)
        cost_ms = self.in_flight.pop(number, None)
        if cost_ms is not None:
            # Resets rounding errors of the sum when nothing is in flight.
            self.in_flight_ms = max(0.0, self.in_flight_ms - cost_ms) if self.in_flight else 0.0
        self._changed = True

    def _dequeue(self, request: WaitingRequest) -> None:
        request.removed = True
        queue = self.queues.get(request.key)
        while queue and queue[0].removed:
            queue.popleft()
        if queue is not None and not queue:
            del self.queues[request.key]

    # Decisions.

    def poll(self, now: float, changed_number: int = 0) -> list[AdmissionDecision]:
        """Admit requests while there is capacity; reject those that can't be served in time.

        `changed_number`: once `open`, consider only this request and those of its key; 0: all.
        """
        if self.open:
            return self._admit_open(changed_number)
        decisions: list[AdmissionDecision] = []
        limit_ms = self.work_rate(now) * HORIZON_MS
        if self._changed and self.service_started and self._has_capacity(limit_ms):
            self._changed = False
            decisions += self._admit_by_rank(limit_ms)
        if now - self._reviewed_at >= REVIEW_INTERVAL_MS:
            self._reviewed_at = now
            self._changed = True  # the engines' capacity has grown meanwhile
            decisions += self._reject_late(now)
        return decisions

    def open_gate(self) -> list[AdmissionDecision]:
        """Stop limiting admission; return the admissions of all waiting requests that wait for no ticket."""
        self.open = True
        self.service_started = True
        self.admits_non_idempotent = True
        return self.poll(self._reviewed_at)

    def _has_capacity(self, limit_ms: float) -> bool:
        return self.in_flight_ms < limit_ms or not self.in_flight

    def _admit_by_rank(self, limit_ms: float) -> list[AdmissionDecision]:
        decisions: list[AdmissionDecision] = []
        heap = [(request.rank, request) for request in self.waiting.values() if self._first_of_key(request)]
        heapq.heapify(heap)
        while heap and self._has_capacity(limit_ms):
            _, request = heapq.heappop(heap)
            if not self._admissible(request):
                continue
            decisions.append(self._admit(request))
            following = self._next_of_key(request)
            if following is not None:
                heapq.heappush(heap, (following.rank, following))
        return decisions

    def _admit_open(self, changed_number: int) -> list[AdmissionDecision]:
        """Once `open`: admit requests that wait for no ticket, and those of their key that waited behind them."""
        if changed_number in self.waiting:
            requests = [self.waiting[changed_number]]
        elif not changed_number:
            requests = list(self.waiting.values())
        else:
            requests = []
        decisions: list[AdmissionDecision] = []
        for first in requests:
            request: WaitingRequest | None = first
            while (
                request is not None
                and request.number in self.waiting
                and request.ticket_granted
                and self._first_of_key(request)
            ):
                decisions.append(self._admit(request))
                request = self._next_of_key(request)
        return decisions

    def _admissible(self, request: WaitingRequest) -> bool:
        if not request.ticket_granted:
            return False
        return self.admits_non_idempotent or self.classes[request.class_index].idempotent

    def _first_of_key(self, request: WaitingRequest) -> bool:
        return not request.key or self.queues[request.key][0] is request

    def _next_of_key(self, request: WaitingRequest) -> WaitingRequest | None:
        """Return the first waiting request of the same key as one that was just admitted."""
        if not request.key:
            return None
        queue = self.queues.get(request.key)
        return queue[0] if queue else None

    def _admit(self, request: WaitingRequest) -> AdmissionDecision:
        del self.waiting[request.number]
        self._dequeue(request)
        self.in_flight[request.number] = request.cost_ms
        self.in_flight_ms += request.cost_ms
        self.admitted += 1
        return AdmissionDecision(request.number, True)

    def _reject(self, request: WaitingRequest, retry_ms: float) -> AdmissionDecision:
        self.waiting.pop(request.number, None)
        self._dequeue(request)
        self.rejected += 1
        return AdmissionDecision(request.number, False, retry_ms)

    def _reject_late(self, now: float) -> list[AdmissionDecision]:
        """Reject waiting requests that would miss their deadline even if they were next.

        The work ahead of a request is not counted: the controller runs the smallest requests first, and other clients
        give up. Counting it rejected more than twice as many requests, and fewer were served.
        """
        decisions: list[AdmissionDecision] = []
        ahead_ms = self.in_flight_ms
        for request in sorted(self.waiting.values(), key=lambda entry: entry.rank):
            if self._completion_time(now, request.cost_ms) > request.deadline:
                done_at = self._completion_time(now, ahead_ms + request.cost_ms)
                decisions.append(self._reject(request, self.retry_after_ms(now, done_at)))
            else:
                ahead_ms += request.cost_ms
        return decisions

    # The slow-start curve.

    def work_rate(self, time_ms: float) -> float:
        """Return this coordinator's share of the work in ms that the engines do per ms."""
        return self.share * total_capacity(self.engines, self.curve, time_ms)

    def warm_ratio(self, time_ms: float) -> float:
        """Return the usable fraction of the engines' full capacity at `time_ms`; 0 without engines."""
        cores = sum(engine.cores for engine in self.engines)
        return total_capacity(self.engines, self.curve, time_ms) / cores if cores else 0.0

    def retry_after_ms(self, now: float, done_at: float) -> float:
        """Return a Retry-After wait in ms until `done_at`; 0 if no Retry-After is sent.

        Jitter keeps clients that were rejected together from retrying together.
        """
        expected = min(self.max_retry_ms / (1.0 + RETRY_JITTER), max(MIN_RETRY_MS, done_at - now))
        return min(self.max_retry_ms, expected * self.random.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER))

    def _queued_ms(self) -> float:
        return self.in_flight_ms + sum(request.cost_ms for request in self.waiting.values())

    def _completion_time(self, now: float, work_ms: float) -> float:
        """Return when `work_ms` of work that starts now, or with service, will be done; inf without capacity."""
        starts_at = now
        if not self.service_started and math.isfinite(self.expected_start):
            starts_at = max(now, self.expected_start)
        self._update_forecast(starts_at)
        forecast = self._forecast
        elapsed_steps, fraction = divmod(starts_at - self._forecast_start, FORECAST_STEP_MS)
        work_before = forecast[int(elapsed_steps) - 1] if elapsed_steps else 0.0
        work_ms += work_before + fraction / FORECAST_STEP_MS * (forecast[int(elapsed_steps)] - work_before)
        step = bisect_left(forecast, work_ms)
        if step >= FORECAST_STEPS:
            if forecast[-1] <= 0:
                return math.inf
            return self._forecast_start + FORECAST_STEPS * FORECAST_STEP_MS * work_ms / forecast[-1]
        work_before = forecast[step - 1] if step else 0.0
        step_fraction = (work_ms - work_before) / max(1e-9, forecast[step] - work_before)
        return self._forecast_start + (step + step_fraction) * FORECAST_STEP_MS

    def _update_forecast(self, starts_at: float) -> None:
        """Recompute the forecast of work done if engines or the share have changed, or it has expired."""
        inputs = (self.engines, self.share)
        if inputs == self._forecast_inputs and 0.0 <= starts_at - self._forecast_start < FORECAST_VALID_MS:
            return
        self._forecast_inputs = inputs
        self._forecast_start = math.floor(starts_at / FORECAST_STEP_MS) * FORECAST_STEP_MS
        self._forecast = []
        total_ms = 0.0
        for step in range(FORECAST_STEPS):
            total_ms += FORECAST_STEP_MS * self.work_rate(self._forecast_start + (step + 0.5) * FORECAST_STEP_MS)
            self._forecast.append(total_ms)
