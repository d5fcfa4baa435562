"""Decision module: admission control, engine selection, retries and load shedding, without I/O or clock.

A `Controller` takes events and returns actions; the same settings, seed and events give the same actions.
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
    ResponseStarted,
    TimerFired,
    WorkerLoad,
    WorkerLoadReported,
)
from frostspindle.policy.settings import ClassSettings, Idempotency, Settings

__all__ = [
    "Action",
    "AttemptEnded",
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
