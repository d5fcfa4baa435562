"""The core: a single task that runs the Controller, the ledger of requests and attempts, and the timers.

`Core` (core.py) is its interface; the other names are types that it shares with fronts, drivers and optional
components. An event passes through dispatcher.py (queue and timers), event_handlers.py, the controller in
frostspindle/policy, and actions.py, which executes the actions that the controller returns.
"""

from frostspindle.core.arrival_clock import ArrivalClock
from frostspindle.core.attempts import Attempt, Cancellable
from frostspindle.core.core import Core
from frostspindle.core.drivers import Driver, EngineState
from frostspindle.core.figures import CLASS_FIGURES
from frostspindle.core.interfaces import (
    AdmissionGate,
    EventObserver,
    IdState,
    KeyOrder,
    RequestIdRegistry,
    RequestInterceptor,
)
from frostspindle.core.requests import (
    SUBREQUEST_FRONT,
    UNKNOWN_COST,
    ClientRequest,
    MeasuredCost,
    Response,
    ResponseStatus,
)
from frostspindle.core.steady_clock import clock, from_unix_ms, unix_ms

__all__ = [
    "CLASS_FIGURES",
    "SUBREQUEST_FRONT",
    "UNKNOWN_COST",
    "AdmissionGate",
    "ArrivalClock",
    "Attempt",
    "Cancellable",
    "ClientRequest",
    "Core",
    "Driver",
    "EngineState",
    "EventObserver",
    "IdState",
    "KeyOrder",
    "MeasuredCost",
    "RequestIdRegistry",
    "RequestInterceptor",
    "Response",
    "ResponseStatus",
    "clock",
    "from_unix_ms",
    "unix_ms",
]
