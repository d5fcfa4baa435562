"""Messages to the core's task: what its public methods queue and its event handlers process.

Besides these the queue carries a ClientRequest as it was submitted and the decision module's own events.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

from frostspindle import policy
from frostspindle.core.attempts import Attempt
from frostspindle.core.drivers import Driver, EngineState
from frostspindle.core.requests import ClientRequest, MeasuredCost, Response


@dataclass(slots=True, frozen=True)
class EndpointsListed:
    """A driver's engine list: complete or a change of it, by `kind` (policy.EndpointListKind)."""

    driver: Driver
    engines: tuple[EngineState, ...]
    kind: int
    version: int


@dataclass(slots=True, frozen=True)
class BansChanged:
    """Engines, by name, that operators have banned or no longer ban."""

    names: frozenset[str]


@dataclass(slots=True, frozen=True)
class EngineDraining:
    """An engine, by name, that another worker's newer endpoint list shows as draining."""

    name: str


@dataclass(slots=True, frozen=True)
class EnginesRestarted:
    """Engines, by name, that have lost power and were restarted unknown to the endpoint list."""

    names: frozenset[str]


class EngineExpired(NamedTuple):
    """An engine, by number, has been gone for GONE_ENGINE_RETENTION_MS."""

    engine: int


@dataclass(slots=True, frozen=True)
class OpenLimitChanged:
    """The decision module's limit on open requests."""

    max_open: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings of the decision module: quotas and the times of classes may differ from those of the start."""

    settings: policy.Settings


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The program ends, so all open requests have to be answered."""


@dataclass(slots=True, frozen=True)
class AdmissionDecided:
    """The admission gate passes a waiting request on to the decision module, or has `response` for its client."""

    number: int
    is_head_of_key: bool = True  # whether its turn by key has come
    response: Response | None = None


@dataclass(slots=True, frozen=True)
class ClientLeft:
    """The client of a request has disconnected."""

    request: ClientRequest


@dataclass(slots=True, frozen=True)
class ClientAway:
    """The client of a request is away and may return."""

    request: ClientRequest


@dataclass(slots=True, frozen=True)
class ClientReturned:
    """The client of a request that was away has returned."""

    request: ClientRequest


class DeadlinePassed(NamedTuple):
    """A request's time is up. It has only the number, so that a pending timer keeps no request alive."""

    number: int


class AttemptCompleted(NamedTuple):
    """The one end of an attempt, as its driver reported it."""

    attempt: Attempt
    outcome: int
    report: tuple[float, ...]
    result: Any
    ended_at_ms: float
    cost: MeasuredCost
