"""Types shared with the fronts: a request as a front submits it, and its final response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from frostspindle.held_memory import MemoryCharge

# Front of subrequests, which are submitted on behalf of a client's request; excluded from the figures of clients.
SUBREQUEST_FRONT = "part"


class ResponseStatus(StrEnum):
    """Outcome reported to the client; the values are also counter names."""

    SERVED = "served"
    REJECTED = "refused"  # the query did not run, so a retry is safe
    FAILED = "failed"  # the query may have run


class Response(NamedTuple):
    """The final response to a request."""

    status: ResponseStatus
    result: Any = None  # its type is agreed between the engine's driver and the front
    retry_after_ms: float = 0.0
    reason: str = ""  # for the client: why a retry is pointless
    missing_parts: str = ""  # the parts that are missing in a partial result


class MeasuredCost(NamedTuple):
    """Processor time in ms and memory in MB that a query used, as the engine reported; 0 if unknown."""

    cost_ms: float = 0.0
    memory_mb: float = 0.0


UNKNOWN_COST = MeasuredCost()


def _always_connected() -> bool:
    """Default of `is_client_connected`, for fronts that can't detect a disconnect."""
    return True


@dataclass(slots=True, eq=False)
class ClientRequest:
    """A request as a front submits it; times are in ms.

    `on_response` is called exactly once, in the core's task, unless the client disconnects first.
    """

    front: str
    cls: int
    ticket: str
    statement: str
    received_ms: float  # Unix ms
    timeout_ms: float  # counted from `received_ms`
    on_response: Callable[[Response], None]
    cost_ms: float = 0.0
    memory_mb: float = 0.0
    group: int = -1  # number of the table group; -1: none
    database: str = ""  # for drivers that need it
    tenant: int = 0  # the decision module's number of the tenant; 0: the default tenant
    key: int = 0  # ordering key: requests with the same key run in order; 0: none
    class_keys: tuple[int, ...] = ()  # the same key's numbers in processes of earlier versions, one for each class
    arrived_ms: float = 0.0  # Unix ms at which the last byte of a request with an ordering key arrived
    site: str = ""  # site that its rows are for, if the client names one
    partial: bool = False  # whether the client accepts a result in which parts are missing
    idempotency_key: str = ""  # lets engines recognise a repeated request; "": none
    number: int = 0  # assigned by the core
    is_client_connected: Callable[[], bool] = _always_connected  # called right before bytes are sent to an engine
    # Answered, or the client disconnected. Set by the caller directly, so that nothing more is sent before the core
    # processes the event.
    is_finished: bool = False
    # The client is away and may return; nothing is sent until then. Set directly, as above.
    is_suspended: bool = False
    # An attempt was about to be written, so the request may have run. Set directly, as above.
    was_sent: bool = False
    # Set by the front as the request is settled while an attempt of it may run. Called once the last one has ended,
    # with whether it may still run all the same, as nothing has proven its end.
    on_complete: Callable[[bool], None] | None = None
    charge: MemoryCharge | None = None  # of its statement and its result, from `Core.submit` until it is answered

    def release_memory(self) -> None:
        """Charge no memory for this request any more; has no effect if repeated."""
        if self.charge is not None:
            self.charge.release()
