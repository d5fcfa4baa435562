"""Events that a controller handles: changes of the endpoint list, requests, attempts, timers and peer workers.

All records are immutable. Times and durations are milliseconds and end in `_ms`; memory is in megabytes.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class AttemptOutcome(IntEnum):
    """How an attempt ended; after CONNECT_FAILED, OVERLOADED or NOT_SENT (its request was over) it never ran."""

    OK = 0
    NOT_SENT = 249
    CANCELLED = 250
    RESET = 251
    CONNECT_FAILED = 252
    TIMEOUT = 253
    OVERLOADED = 254
    ERROR = 255


class Health(IntEnum):
    """State of an engine's process by the engine list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """How an engine list is to be read: changes only, complete, complete from a cache, or a failed subscription."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class ProgressKind(IntEnum):
    """What a progress report tells of a running attempt: part done, memory spilled to disk, or that it waits."""

    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


class EngineEntry(NamedTuple):
    """One engine by the engine list.

    `since_ms`: when its process started, by the clock of the events; 0 if that is not known, so that it counts as warm.
    """

    engine: int
    zone: int
    kind: int
    cell: int
    health: int
    weight: float
    since_ms: float


class EndpointListUpdated(NamedTuple):
    """Event: an endpoint list or a change of it, without entries if the subscription failed."""

    kind: int
    version: int
    entries: tuple[EngineEntry, ...]


class RequestArrived(NamedTuple):
    """Event: a new request, with the time left until its client gives up.

    A `cost_ms` or `memory_mb` of 0 means that there is no estimate; a `key` of 0 means none.
    """

    request: int
    cls: int
    tenant: int
    key: int
    left_ms: float
    cost_ms: float
    memory_mb: float
    group: float  # of tables, by number; -1: none
    over_quota: bool = False  # as all coordinators together count the tenant's requests
    key_order_reached: bool = True  # False: it waits for an earlier one of its key elsewhere, until KeyOrderReached
    suspended: bool = False  # its client is away: nothing is sent for it until RequestResumed


class ResponseStarted(NamedTuple):
    """Event: the response to an attempt has begun; a request of a `stream` class then has no deadline any more."""

    request: int
    attempt: int
    engine: int


class ProgressReported(NamedTuple):
    """Event: progress of an attempt; value: the part done, 0 to 1 (PROGRESS), or 1: queued for memory (WAITS)."""

    request: int
    attempt: int
    engine: int
    kind: int
    value: float


class AttemptEnded(NamedTuple):
    """Event: an attempt has ended, `elapsed_ms` after it was sent.

    `last`: its request needs no further attempt. True cost and memory are 0 where the engine did not report them;
    `report` is the engine's load report, with values in the order of Settings.load_report_columns, or empty.
    """

    request: int
    attempt: int
    engine: int
    outcome: int
    elapsed_ms: float
    last: bool
    true_cost_ms: float
    true_memory_mb: float
    report: tuple[float, ...]


class ClientDisconnected(NamedTuple):
    """Event: the client of a request has gone; it needs no answer, and its attempts may be cancelled."""

    request: int


class RequestSuspended(NamedTuple):
    """Event: the client of a request is away and may return; no attempt may start for it until RequestResumed."""

    request: int


class RequestResumed(NamedTuple):
    """Event: the client of a suspended request has returned."""

    request: int


class KeyOrderReached(NamedTuple):
    """Event: a request that had to wait for an earlier one of its key elsewhere may now be sent."""

    request: int


class TimerFired(NamedTuple):
    """Event: the time of a SetTimer action has come; with that action's token."""

    token: int


class HealthCheckCompleted(NamedTuple):
    """Event: the result of a health check (RunHealthCheck), with the engine's load report, if any."""

    engine: int
    outcome: int
    elapsed_ms: float
    report: tuple[float, ...]


class WorkerLoad(NamedTuple):
    """The load that the other workers of this coordinator have at an engine, and their latest load report of it.

    `slow_start_share` is this worker's part of the coordinator's budget for the engine in slow start, from 0 to 1.
    """

    engine: int
    threads: int
    memory_mb: float
    ejected: bool
    slow_start_share: float
    report: tuple[float, ...]
    report_age_ms: float


class WorkerLoadReported(NamedTuple):
    """Event: the state of the other workers of this coordinator, by engine."""

    entries: tuple[WorkerLoad, ...]


Event = (
    EndpointListUpdated
    | RequestArrived
    | ResponseStarted
    | ProgressReported
    | AttemptEnded
    | ClientDisconnected
    | RequestSuspended
    | RequestResumed
    | KeyOrderReached
    | TimerFired
    | HealthCheckCompleted
    | WorkerLoadReported
)
