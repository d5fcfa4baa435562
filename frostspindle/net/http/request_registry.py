"""The open requests of clients: long polling, response paths, and results kept in pages.

Holds the ids of open requests and the response paths with their paged results, within a limit in bytes. Calls are
answered only with the final response or a path to poll; a path returns the same rows each time. Requests that their
clients abandon are cancelled in the core.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable, Iterator
from enum import StrEnum

from frostspindle.core import ClientRequest, Core, Response, ResponseStatus
from frostspindle.held_memory import RESULT_OVERHEAD_BYTES, ReclaimOrder
from frostspindle.net.http.calls import FRONT, CallConnection, OpenRequest, PendingCall
from frostspindle.net.http.id_claims import IdClaims
from frostspindle.net.http.results import held_bytes

POLL_HOLD_S = 1.0  # a call waits this long for its response, then the client gets a path to poll
MIN_RETRY_AFTER_MS = 1  # a rejection always names a delay
RESULT_RETENTION_S = 5.0  # how long results are kept for a repeated GET
RETURN_TIMEOUT_S = 2.0  # how long a client without a connection may take to poll its path


class DepartureReason(StrEnum):
    """How the departure of an open request's client was detected."""

    CONNECTION_ENDED = "connection ended"  # before the client got a path
    DELETED = "deleted"
    NOT_RETURNED = "not returned"  # within RETURN_TIMEOUT_S
    DELETED_ELSEWHERE = "deleted elsewhere"  # at the other process of an upgrade


class RequestRegistry:
    """The open requests of this front, by id and by path, and their results."""

    def __init__(self, core: Core, loop: asyncio.AbstractEventLoop, id_claims: IdClaims) -> None:
        self.core = core
        self.loop = loop
        self.id_claims = id_claims
        self.is_cancelled_elsewhere: Callable[[str], bool] = lambda ticket: False  # in the other process of an upgrade
        self.held_memory = core.held_memory
        self.held_memory.reclaim = self._reclaim
        self.ids: set[str] = set()  # of open requests
        self.open: dict[str, OpenRequest] = {}  # by path
        self._time_over: dict[OpenRequest, None] = {}  # with a path and a response; their clients' time is over
        self._fetched: dict[OpenRequest, None] = {}  # with a path, kept for a repeated GET; the oldest first
        self.on_refused_unseen: Callable[[], None] = lambda: None
        self._last_number = 0
        self._hold_until: dict[PendingCall, float] = {}  # in the order of expiry, as all calls wait equally long
        self._hold_timer: asyncio.TimerHandle | None = None

    @property
    def unfetched_responses(self) -> int:
        """Number of requests whose last response has not been fetched yet."""
        return sum(not opened.is_fetched for opened in self.open.values())

    def new(self, ticket: str, prefix: str) -> OpenRequest:
        """Return a new request with a unique path that starts with `prefix`."""
        self._last_number += 1
        path = f"{prefix}{self._last_number:x}-{ticket}"
        return OpenRequest(self._settled, ticket, path, self.held_memory)

    def _settled(self, opened: OpenRequest, request: ClientRequest | None) -> None:
        self._unbind(opened)
        if opened.path in self.open:
            self._charge(opened)
        self.ids.discard(opened.ticket)
        self._release_id(opened, request)
        calls, opened.waiting_calls = opened.waiting_calls, []
        for call in calls:
            self._hold_until.pop(call, None)
            self.send_response(call)

    def _release_id(self, opened: OpenRequest, request: ClientRequest | None) -> None:
        """Release the id of a settled request, once no attempt of it can be running."""
        if request is None or not self.core.may_run(request):
            self.id_claims.release(opened.ticket, opened.may_have_run)
            return
        self.id_claims.hold(opened.ticket)
        request.on_complete = lambda may_still_run: self.id_claims.release(
            opened.ticket, opened.may_have_run, may_still_run
        )

    def wait(self, call: PendingCall) -> None:
        """Answer the call now, when the request completes, or after POLL_HOLD_S with a path to poll."""
        assert call.opened is not None
        if call.opened.response is not None:
            self.send_response(call)
        else:
            self._bind(call.opened, call.client)
            call.opened.waiting_calls.append(call)
            until = self._hold_until[call] = self.loop.time() + POLL_HOLD_S
            if self._hold_timer is None:
                self._hold_timer = self.loop.call_at(until, self._on_hold_timer)

    def _on_hold_timer(self) -> None:
        """Handle the call that has waited longest, if its time is over; one timer for all costs less than one each."""
        self._hold_timer, (call, until) = None, next(iter(self._hold_until.items()), (None, 0.0))
        is_expired = call is not None and until <= self.loop.time()
        if is_expired:
            del self._hold_until[call]
        if self._hold_until:
            self._hold_timer = self.loop.call_at(next(iter(self._hold_until.values())), self._on_hold_timer)
        if is_expired:
            self._on_hold_expired(call)

    def _on_hold_expired(self, call: PendingCall) -> None:
        opened = call.opened
        assert opened is not None
        if call.page < 0:
            if not call.client.is_connected():
                return  # it left without a path, and must not count as one that can return
            self._assign_path(opened)
            self.core.telemetry.log("response_path_given", ticket=opened.ticket)
        opened.waiting_calls.remove(call)
        call.reply(200, {"next": f"{opened.path}/{max(0, call.page)}"})

    def _assign_path(self, opened: OpenRequest) -> None:
        """Register the path; from now on the request outlives its connection."""
        self.open[opened.path] = opened
        self._charge(opened)
        opened.timer = self.loop.call_at(opened.client_until_s, self._on_client_time_over, opened)

    def _on_client_time_over(self, opened: OpenRequest) -> None:
        self._time_over[opened] = None
        opened.timer = self.loop.call_later(RESULT_RETENTION_S, self._drop, opened)

    def _charge(self, opened: OpenRequest) -> None:
        """Charge a request with a path for the rows that are kept for its client."""
        opened.charge.resize(RESULT_OVERHEAD_BYTES + held_bytes(opened.pages))

    def send_response(self, call: PendingCall) -> None:
        """Answer a call whose request has completed."""
        opened = call.opened
        assert opened is not None and opened.response is not None
        response, page = opened.response, max(0, call.page)
        if response.status != ResponseStatus.SERVED:
            self._mark_fetched(opened)
            if response.status == ResponseStatus.REJECTED:
                wait_ms = max(MIN_RETRY_AFTER_MS, math.ceil(response.retry_after_ms))
                call.reply(503, {"failure": "Busy"}, f"Retry-After-Ms: {wait_ms}\r\n")
            else:
                call.reply(502, {"failure": "Failed"})
            return
        if call.page < 0 and len(opened.pages) > 1 and opened.path not in self.open:
            self._assign_path(opened)
        if page >= len(opened.pages):
            call.reply(404, {"failure": "no such page"}, last=True)
            return
        next_path = f"{opened.path}/{page + 1}" if page + 1 < len(opened.pages) else ""
        if not next_path:
            self._mark_fetched(opened)
            if opened.path in self.open:  # else nothing is kept of it
                call.client.last_result = opened
        call.reply_page(opened.pages[page], next_path)

    def _mark_fetched(self, opened: OpenRequest) -> None:
        """Mark the result as fetched; the path is kept a little longer in case the response was lost."""
        opened.is_fetched = True
        if opened.timer is not None:
            self._fetched[opened] = None
            opened.timer.cancel()
            opened.timer = self.loop.call_later(RESULT_RETENTION_S, self._drop, opened)

    def _reclaim(self, needed_bytes: int) -> None:
        """Drop results that nobody waits for, in the order of ReclaimOrder, until so many bytes are free."""
        for opened in list(self._reclaimable()):
            if needed_bytes <= 0:
                return
            needed_bytes -= opened.charge.size
            self.core.telemetry.count("results_reclaimed", FRONT)
            self._drop(opened)

    def _reclaimable(self) -> Iterator[OpenRequest]:
        now_s = self.loop.time()
        fetched = [(reclaim_order(opened, now_s), opened) for opened in self._fetched]
        yield from (opened for opened in self._time_over if opened.response is not None)
        yield from (opened for order, opened in fetched if order == ReclaimOrder.CLIENT_TIME_OVER)
        yield from (opened for order, opened in fetched if order == ReclaimOrder.CLIENT_HAS_READ)

    def _drop(self, opened: OpenRequest) -> None:
        if self.open.pop(opened.path, None) is not None:
            self._time_over.pop(opened, None)
            self._fetched.pop(opened, None)
            opened.charge.release()
            opened.pages = []
            if opened.timer is not None:
                opened.timer.cancel()

    # Presence of the client.

    def _bind(self, opened: OpenRequest, connection: CallConnection) -> None:
        """Bind an open request to its client's connection, and resume it if it was suspended."""
        if opened.connection is connection:
            return
        self._unbind(opened)
        opened.connection = connection
        connection.requests[opened] = None
        if opened.request is not None and opened.request.is_suspended:
            self.core.telemetry.log("client_returned", ticket=opened.ticket)
            self.core.resume_request(opened.request)

    @staticmethod
    def _unbind(opened: OpenRequest) -> None:
        if opened.connection is not None:
            opened.connection.requests.pop(opened, None)
            opened.connection = None
        if opened.return_timer is not None:
            opened.return_timer.cancel()
            opened.return_timer = None

    def call_abandoned(self, call: PendingCall) -> None:
        """Drop a call whose connection has ended."""
        self._hold_until.pop(call, None)
        opened = call.opened
        if opened is not None and call in opened.waiting_calls:
            opened.waiting_calls.remove(call)

    def connection_ended(self, connection: CallConnection) -> None:
        """Handle the end of a client's connection: cancel requests without a path, suspend the others."""
        for opened in list(connection.requests):
            if opened.path in self.open:
                self._suspend(opened)
            else:
                # Without a path the client cannot return to the request.
                self.abandon(opened, DepartureReason.CONNECTION_ENDED)

    def _suspend(self, opened: OpenRequest) -> None:
        """Suspend a request whose client has no connection, and cancel it after RETURN_TIMEOUT_S."""
        self._unbind(opened)
        if opened.request is None:
            return
        self.core.telemetry.log("client_away", ticket=opened.ticket)
        self.core.suspend_request(opened.request)
        opened.return_timer = self.loop.call_later(RETURN_TIMEOUT_S, self.abandon, opened, DepartureReason.NOT_RETURNED)

    def is_connected(self, opened: OpenRequest) -> bool:
        """Return whether the client of a request is connected, by polling its socket.

        If not, the request is suspended or cancelled, as it would be when the event loop reports the hang-up.
        """
        connection = opened.connection
        if opened.response is not None or connection is None:
            return False
        if not connection.is_connected():
            self.connection_ended(connection)
            return False
        if self.is_cancelled_elsewhere(opened.ticket):
            self.abandon(opened, DepartureReason.DELETED_ELSEWHERE)
            return False
        if connection.hides_end:
            self._refuse_unseen(opened)
            return False
        return True

    def _refuse_unseen(self, opened: OpenRequest) -> None:
        """Answer a request that may not be sent, as its client may have closed its connection behind unread input."""
        request = opened.request
        assert request is not None
        self.on_refused_unseen()
        self.core.client_disconnected(request)
        if request.was_sent:  # an earlier attempt
            opened.on_response(Response(ResponseStatus.FAILED))
        else:
            opened.on_response(Response(ResponseStatus.REJECTED))

    def abandon(self, opened: OpenRequest, reason: DepartureReason) -> None:
        """Cancel a request whose client has stopped waiting, and free the engine."""
        self._drop(opened)
        self._unbind(opened)
        if opened.response is None and opened.request is not None:
            self.core.telemetry.log("client_left", ticket=opened.ticket, reason=reason)
            self.core.client_disconnected(opened.request)
            opened.on_response(Response(ResponseStatus.FAILED))


def reclaim_order(opened: OpenRequest, now_s: float) -> ReclaimOrder:
    """Return when the result of a request with a path may be dropped for others, at loop time `now_s`."""
    if now_s >= opened.client_until_s:
        return ReclaimOrder.CLIENT_TIME_OVER
    return ReclaimOrder.CLIENT_HAS_READ if opened.is_read else ReclaimOrder.CLIENT_MAY_WAIT
