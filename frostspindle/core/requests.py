"""Client-facing types: a request as a front submits it, and the one final response to it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

# Front of subrequests, which are submitted on behalf of a client's request: the figures of clients leave it out.
SUBREQUEST_FRONT = "part"


class ResponseStatus(StrEnum):
    """Outcome that a client is told; the values are also names of counters."""

    SERVED = "served"
    REJECTED = "refused"  # nothing ran, a retry is harmless
    FAILED = "failed"  # it may have run


class Response(NamedTuple):
    """The one final response to a request; the wait before a retry is in ms."""

    status: ResponseStatus
    result: Any = None  # of the type that the engine's driver and the front agree on
    retry_after_ms: float = 0.0
    reason: str = ""  # for the client: why a retry is of no use
    missing_parts: str = ""  # of a result: what is missing in it


class MeasuredCost(NamedTuple):
    """Processor time in ms and memory in MB that the query needed, by the engine's response; 0: unknown."""

    cost_ms: float = 0.0
    memory_mb: float = 0.0


UNKNOWN_COST = MeasuredCost()


def _always_connected() -> bool:
    """Stand in for `is_client_connected` where a front can't tell whether its client is still connected."""
    return True


@dataclass(slots=True, eq=False)
class ClientRequest:
    """One request as a front submits it, with times in ms.

    `on_response` is called exactly once, in the core's task, unless the client disconnects first.
    """

    front: str
    cls: int
    ticket: str
    statement: str
    received_ms: float  # Unix ms
    timeout_ms: float  # from `received_ms` on
    on_response: Callable[[Response], None]
    cost_ms: float = 0.0
    memory_mb: float = 0.0
    group: int = -1  # number of the group of tables; -1: none
    database: str = ""  # database name, for drivers that need it
    tenant: int = 0  # number of the tenant in the decision module; 0: the default tenant
    key: int = 0  # ordering key: requests with the same key keep their order; 0: none
    site: str = ""  # where its rows go, if its client says so
    partial: bool = False  # whether the client accepts a result without the parts that could not be had
    idempotency_key: str = ""  # by which engines recognise a repeated request; "": none
    number: int = 0  # assigned by the core when it takes the request
    is_client_connected: Callable[[], bool] = _always_connected  # asked right before bytes are sent to an engine
    # Answered, or its client disconnected. Set at once, so that nothing is sent before the core's next turn.
    is_finished: bool = False
    # Its client is away and may return; nothing is sent meanwhile. Set at once, as above.
    is_suspended: bool = False
