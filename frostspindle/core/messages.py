"""Messages that the core's public methods queue for its task.

The queues also carry each submitted ClientRequest and events of the decision module.
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
    """A driver's engine list, complete or incremental by `kind` (policy.EndpointListKind)."""

    driver: Driver
    engines: tuple[EngineState, ...]
    kind: int
    version: int


@dataclass(slots=True, frozen=True)
class BansChanged:
    """Names of engines that operators have banned or unbanned."""

    names: frozenset[str]


@dataclass(slots=True, frozen=True)
class EngineDraining:
    """An engine, by name, that is draining in another worker's newer endpoint list."""

    name: str


@dataclass(slots=True, frozen=True)
class EnginesRestarted:
    """Names of engines that lost power and restarted, which the endpoint list does not show."""

    names: frozenset[str]


class EngineExpired(NamedTuple):
    """GONE_ENGINE_RETENTION_MS have passed since an engine, given by number, was removed from its list."""

    engine: int


@dataclass(slots=True, frozen=True)
class OpenLimitChanged:
    """A new limit on open requests for the decision module."""

    max_open: int


@dataclass(slots=True, frozen=True)
class SettingsChanged:
    """New settings of the decision module; quotas and times of classes may differ from those at startup."""

    settings: policy.Settings


@dataclass(slots=True, frozen=True)
class ShutdownStarted:
    """The program is shutting down, so all open requests must be answered."""


@dataclass(slots=True, frozen=True)
class ArrivalsDue:
    """Requests with an ordering key wait for input that arrived earlier, and are to be looked at again."""


@dataclass(slots=True, frozen=True)
class AdmissionDecided:
    """The admission gate admits a waiting request to the decision module, or answers it with `response`."""

    number: int
    is_head_of_key: bool = True  # whether the request is at the head of its key's queue
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
    """A request's deadline has passed. Holds only its number, so that the timer does not keep the request alive."""

    number: int


class AttemptCompleted(NamedTuple):
    """The end of an attempt as its driver reported it."""

    attempt: Attempt
    outcome: int
    report: tuple[float, ...]
    result: Any
    ended_at_ms: float
    cost: MeasuredCost
    may_still_run: bool
