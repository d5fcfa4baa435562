"""Interfaces of the optional components that the core calls, and the attributes that register them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from frostspindle.core.attempts import Attempt
from frostspindle.core.drivers import EngineState
from frostspindle.core.requests import ClientRequest


class IdState(Enum):
    """Whether a request with an id may be accepted."""

    FREE = "free"
    OPEN_ELSEWHERE = "open elsewhere"
    MAY_HAVE_RUN = "may have run"


class RequestIdRegistry(Protocol):
    """The ids of requests in all processes of this coordinator that share a folder."""

    def claim(self, request_id: int, searches_others: bool) -> IdState:
        """Register an id as open here if it is free; `searches_others`: also by the other processes' ids."""

    def release(self, request_id: int, may_have_run: bool) -> None:
        """End the claim of an id; `may_have_run`: it is remembered, as its request must not run again."""

    def cancel(self, request_id: int) -> None:
        """Tell the other processes that the client of a request has cancelled it."""

    def is_cancelled(self, request_id: int) -> bool:
        """Return whether another process was told that a request is cancelled."""


class ArrivalOrder(Protocol):
    """Passes requests with an ordering key on in the order of arrival; calls Core.check_arrivals while any waits."""

    def submitted(self, request: ClientRequest) -> None:
        """Note a request that is queued for the core's task."""

    def discard(self, request: ClientRequest) -> None:
        """Forget a submitted request that is answered without its turn."""

    def add(self, request: ClientRequest, now_ms: float) -> None:
        """Let a submitted request wait until `pop_ready` returns it."""

    def pop_ready(self, now_ms: float) -> int | None:
        """Return the number of a request that need not wait any more; None if there is none."""


class KeyOrder(Protocol):
    """Keeps the requests of a key in order across processes; calls Core.key_order_reached to release a waiting one."""

    def enter(self, request: ClientRequest) -> bool | None:
        """Queue a request by key: True if it is at the head, False if it has to wait, None if it can't be queued."""

    def on_request_finished(self, number: int) -> None:
        """Handle that a request is answered and has no attempt in flight."""


class AdmissionGate(Protocol):
    """May hold requests back before the decision module, until it calls Core.admit_waiting or Core.reject_waiting."""

    def enter(self, now: float, request: ClientRequest, is_head_of_key: bool) -> bool:
        """Return whether a request is admitted now; if not, it waits at the gate.

        `now` is in Unix ms; `is_head_of_key` tells whether the request is at the head of its key's queue.
        """

    def on_key_order_reached(self, number: int) -> bool:
        """Handle that a request is now at the head of its key's queue; return whether it still waits at the gate."""

    def on_request_finished(self, number: int, ran: bool) -> None:
        """Handle that a request is answered or its client left; `ran`: an attempt of it may have run."""

    def on_attempt_ended(self, engine: str, outcome: int) -> None:
        """Handle the outcome of an attempt at an engine, given by name."""

    def close(self) -> list[int]:
        """Shut down and return the numbers of the requests that still wait."""


class RequestInterceptor(Protocol):
    """Accepts some requests instead of the core and answers each from several subrequests that it submits."""

    @property
    def open(self) -> int:
        """Number of accepted requests that have no response yet."""

    def try_take(self, request: ClientRequest) -> bool | None:
        """Accept a request: True if accepted, False if too many are open, None if the core has to handle it."""

    def client_disconnected(self, request: ClientRequest) -> bool:
        """Drop a request whose client has disconnected; return False if this interceptor did not accept it."""

    def subrequests(self, request: ClientRequest) -> Sequence[ClientRequest]:
        """Return the unanswered subrequests of a request; empty if this interceptor did not accept the request."""


class EventObserver(Protocol):
    """Records responses and engine changes, for example to publish them."""

    def on_response(self, request: ClientRequest, status: str, engine: str) -> None:
        """Record a request's final response; `engine` is the last one that it was sent to, "" if none."""

    def on_engine_changed(self, name: str, change: str, state: int | None = None) -> None:
        """Record that an engine was listed, banned, unbanned or drained; `state` is its health in the list."""


class CoreHooks:
    """The optional components of a core, None if absent. They are set from outside, at startup or while it runs."""

    def __init__(self) -> None:
        # Set in a worker process: `may_start` is called before each attempt is sent, `on_engine_changed` with the
        # number of an engine whose work has changed and its load report, if any.
        self.may_start: Callable[[EngineState, Attempt], bool] | None = None
        self.on_engine_changed: Callable[[int, tuple[float, ...]], None] | None = None
        # Set if a class keeps the order of its requests.
        self.arrival_order: ArrivalOrder | None = None
        # Set if processes of this coordinator share ordering keys.
        self.key_order: KeyOrder | None = None
        self.interceptor: RequestInterceptor | None = None
        # Set in a fleet: whether one more request of a tenant is within the quota shared by all coordinators.
        self.quota_allows: Callable[[int], bool] | None = None
        # Set for recovery after a loss and for claiming tickets of loads: admits requests to the decision module.
        self.admission_gate: AdmissionGate | None = None
        # Set if there are subscribers to the coordinator's events.
        self.observer: EventObserver | None = None
