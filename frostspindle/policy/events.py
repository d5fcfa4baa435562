"""Events that a controller handles: endpoint list updates, requests, attempts, timers and loads of peer workers.

All records are immutable. Times and durations are milliseconds and end in `_ms`; memory is in megabytes.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple


class AttemptOutcome(IntEnum):
    """How an attempt ended.

    After CONNECT_FAILED, OVERLOADED or NOT_SENT (its request ended first) the attempt never ran.
    """

    OK = 0
    NOT_SENT = 249
    CANCELLED = 250
    RESET = 251
    CONNECT_FAILED = 252
    TIMEOUT = 253
    OVERLOADED = 254
    ERROR = 255


class Health(IntEnum):
    """State of an engine's process according to the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """Meaning of an endpoint list: changes only, complete, complete from a cache, or a failed subscription."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class ProgressKind(IntEnum):
    """Content of a progress report: fraction done, memory spilled to disk, or waiting."""

    PROGRESS = 1
    SPILLS = 2
    WAITS = 3


class EngineEntry(NamedTuple):
    """One engine of the endpoint list.

    `since_ms` is the start time of its process, by the clock of the events. If it is 0, the start time is unknown and
    the engine counts as warm.
    """

    engine: int
    zone: int
    kind: int
    cell: int
    health: int
    weight: float
    since_ms: float


class EndpointListUpdated(NamedTuple):
    """Event: a complete endpoint list or an update of it; without entries if the subscription failed."""

    kind: int
    version: int
    entries: tuple[EngineEntry, ...]


class RequestArrived(NamedTuple):
    """Event: a new request; `left_ms` is the time left until its client times out.

    A `cost_ms` or `memory_mb` of 0 means that there is no estimate. A `key` of 0 means that there is no key.
    """

    request: int
    cls: int
    tenant: int
    key: int
    left_ms: float
    cost_ms: float
    memory_mb: float
    group: float  # number of the table group; -1: none
    over_quota: bool = False  # by the tenant's requests at all coordinators together
    key_order_reached: bool = True  # False: an earlier request of its key elsewhere blocks it until KeyOrderReached
    suspended: bool = False  # its client is disconnected: no attempt starts before RequestResumed


class ResponseStarted(NamedTuple):
    """Event: the response to an attempt has begun. From then on a request of a `stream` class has no deadline."""

    request: int
    attempt: int
    engine: int


class ProgressReported(NamedTuple):
    """Event: a progress report of an attempt.

    `value` is the fraction done, 0 to 1, for PROGRESS; for WAITS, 1 means that the attempt is queued for memory.
    """

    request: int
    attempt: int
    engine: int
    kind: int
    value: float


class AttemptLost(NamedTuple):
    """Event: an attempt is given up, and its engine may run it until `until_ms`; AttemptEnded follows by then."""

    request: int
    attempt: int
    engine: int
    until_ms: float


class AttemptEnded(NamedTuple):
    """Event: an attempt has ended, `elapsed_ms` after it was sent.

    If `last` is set, the request needs no further attempt. `true_cost_ms` and `true_memory_mb` are 0 if the engine did
    not report them. `report` is the engine's load report, with values in the order of Settings.load_report_columns, or
    empty. If `may_still_run` is set, nothing has proven that the engine runs it no more, and nothing will: the request
    must have no further attempt.
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
    may_still_run: bool = False


class ClientDisconnected(NamedTuple):
    """Event: the client of a request has disconnected. No answer is needed, and the attempts may be cancelled."""

    request: int


class RequestSuspended(NamedTuple):
    """Event: the client of a request has disconnected and may return. No attempt may start until RequestResumed."""

    request: int


class RequestResumed(NamedTuple):
    """Event: the client of a suspended request has reconnected."""

    request: int


class KeyOrderReached(NamedTuple):
    """Event: a request that was blocked by an earlier request of its key elsewhere may now be sent."""

    request: int


class TimerFired(NamedTuple):
    """Event: a timer set by a SetTimer action has fired; `token` is the token of that action."""

    token: int


class HealthCheckCompleted(NamedTuple):
    """Event: the result of a RunHealthCheck action, with the engine's load report, if there is one."""

    engine: int
    outcome: int
    elapsed_ms: float
    report: tuple[float, ...]


class WorkerLoad(NamedTuple):
    """Load of the other workers of this coordinator at an engine, and the latest load report that they received.

    `slow_start_share` is this worker's fraction, 0 to 1, of the coordinator's slow start budget for the engine.
    """

    engine: int
    threads: int
    memory_mb: float
    ejected: bool
    slow_start_share: float
    report: tuple[float, ...]
    report_age_ms: float


class WorkerLoadReported(NamedTuple):
    """Event: loads and ejections of the other workers of this coordinator, one entry per engine."""

    entries: tuple[WorkerLoad, ...]


Event = (
    EndpointListUpdated
    | RequestArrived
    | ResponseStarted
    | ProgressReported
    | AttemptLost
    | AttemptEnded
    | ClientDisconnected
    | RequestSuspended
    | RequestResumed
    | KeyOrderReached
    | TimerFired
    | HealthCheckCompleted
    | WorkerLoadReported
)
