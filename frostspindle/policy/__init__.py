"""Decision module: admission control, engine selection, retries and load shedding, without I/O or a clock.

A `Controller` handles events and returns actions. It is deterministic: the same settings, seed and events give the same
actions.
"""

from frostspindle.policy.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    RunHealthCheck,
    SetTimer,
    StartAttempt,
    SubscribeEndpoints,
    UpdatePriority,
    WriteLog,
)
from frostspindle.policy.controller import Controller
from frostspindle.policy.events import (
    AttemptEnded,
    AttemptLost,
    AttemptOutcome,
    ClientDisconnected,
    EndpointListKind,
    EndpointListUpdated,
    EngineEntry,
    Event,
    Health,
    HealthCheckCompleted,
    KeyOrderReached,
    ProgressKind,
    ProgressReported,
    RequestArrived,
    RequestResumed,
    RequestSuspended,
    ResponseStarted,
    TimerFired,
    WorkerLoad,
    WorkerLoadReported,
)
from frostspindle.policy.settings import ClassSettings, Idempotency, Settings

__all__ = [
    "Action",
    "AttemptEnded",
    "AttemptLost",
    "AttemptOutcome",
    "CancelAttempt",
    "ClassSettings",
    "ClientDisconnected",
    "Controller",
    "EndpointListKind",
    "EndpointListUpdated",
    "EngineEntry",
    "Event",
    "FailRequest",
    "Health",
    "HealthCheckCompleted",
    "Idempotency",
    "KeyOrderReached",
    "ProgressKind",
    "ProgressReported",
    "RejectRequest",
    "RequestArrived",
    "RequestResumed",
    "RequestSuspended",
    "ResponseStarted",
    "RunHealthCheck",
    "SetTimer",
    "Settings",
    "StartAttempt",
    "SubscribeEndpoints",
    "TimerFired",
    "UpdatePriority",
    "WorkerLoad",
    "WorkerLoadReported",
    "WriteLog",
]
