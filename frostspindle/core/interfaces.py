"""Interfaces of the optional parts that take part in the core's work, and the attributes that register them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Protocol

from frostspindle.core.attempts import Attempt
from frostspindle.core.drivers import EngineState
from frostspindle.core.requests import ClientRequest


class KeyOrder(Protocol):
    """Keeps the order of a key's requests among processes; calls Core.key_order_reached when a waiting one may go."""

    def enter(self, number: int, key: int) -> bool | None:
        """Take a request: True if its turn has come, False if it has to wait, None if it can't be kept in order."""

    def on_request_finished(self, number: int) -> None:
        """Note that a request is answered and no attempt of it is in flight."""


class AdmissionGate(Protocol):
    """May hold requests back before the decision module, until Core.admit_waiting or Core.reject_waiting."""

    def enter(self, now: float, request: ClientRequest, turn: bool) -> bool:
        """Take a request and return whether it goes on now; `now` in Unix ms, `turn`: its turn by key has come."""

    def on_key_order_reached(self, number: int) -> bool:
        """Note that a request's turn by key has come; return whether it still waits at the gate."""

    def on_request_finished(self, number: int, ran: bool) -> None:
        """Note that a request is answered or its client left; `ran`: an attempt of it may have run."""

    def on_attempt_ended(self, engine: str, outcome: int) -> None:
        """Note the outcome of an attempt at an engine, by the engine's name."""

    def close(self) -> list[int]:
        """Stop at the program's end and return the numbers of the requests that still wait."""


class RequestInterceptor(Protocol):
    """Takes some requests in the core's place and answers each from several that it submits itself."""

    @property
    def open(self) -> int:
        """Number of requests taken and not yet answered."""

    def try_take(self, request: ClientRequest) -> bool | None:
        """Take a request: True if it will answer it, False if it is full, None if the request is for the core."""

    def client_disconnected(self, request: ClientRequest) -> bool:
        """Drop a request whose client has disconnected; False: it did not take this one."""

    def subrequests(self, request: ClientRequest) -> Sequence[ClientRequest]:
        """Return what it has submitted on behalf of a request and is not answered yet; empty if it did not take it."""


class EventObserver(Protocol):
    """Publishes responses and changes of engines; it only records them."""

    def on_response(self, request: ClientRequest, how: str, engine: str) -> None:
        """Note a request's final response; `engine` is the last that it was sent to, "" if none was."""

    def on_engine_changed(self, name: str, change: str, state: int | None = None) -> None:
        """Note that an engine is listed anew, banned, or taken back; `state`: its health on the list."""


class CoreHooks:
    """The optional parts of a core, None where there is none. They are set from outside, before or during the run."""

    def __init__(self) -> None:
        # Of a worker among several: asked before each send, and notified of engines whose work has changed, by their
        # number and the load report if there is one.
        self.may_start: Callable[[EngineState, Attempt], bool] | None = None
        self.on_engine_changed: Callable[[int, tuple[float, ...]], None] | None = None
        # Where processes of this coordinator share its ordering keys.
        self.key_order: KeyOrder | None = None
        self.interceptor: RequestInterceptor | None = None
        # In a fleet: whether one more request of a tenant is within the quota that all coordinators share.
        self.quota_allows: Callable[[int], bool] | None = None
        # During recovery after a loss, and before loads: which requests go on to the decision module.
        self.admission_gate: AdmissionGate | None = None
        # Where somebody subscribes to what happens here.
        self.observer: EventObserver | None = None
