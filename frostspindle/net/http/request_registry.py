"""The requests that clients have open, how a call waits for an answer, and the paths under which answers are kept.

Owns the ids that are open, the paths with their answers cut into pages, and how long and how many of them are kept.
It must never answer a request before it is settled, never let a path give other rows a second time, never keep more
than its bound in bytes, and never leave a request at the core that its client has given up.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from frostspindle.core import Core, Response, ResponseStatus
from frostspindle.net.http.calls import CallConnection, OpenRequest, PendingCall

POLL_HOLD_S = 1.0  # a call is held this long for its answer, then the client is given a path to ask again
MAX_PAGE_BYTES = 48 * 1024  # rows in one answer
MIN_RETRY_AFTER_MS = 1  # a refusal always says how long to stay away
RESULT_RETENTION_S = 5.0  # how long answers are kept for a repeated GET
RETURN_TIMEOUT_S = 2.0  # how long a client whose connection has ended may take to call its path again


class DepartureReason(StrEnum):
    """How it was learnt that the client of an open request has left."""

    CONNECTION_ENDED = "connection ended"  # before the client was given a path
    DELETED = "deleted"
    NOT_RETURNED = "not returned"  # within RETURN_TIMEOUT_S


class RequestRegistry:
    """The requests that are open at this front, by id and by path, and their results."""

    def __init__(
        self, core: Core, loop: asyncio.AbstractEventLoop, max_kept_bytes: int, on_released: Callable[[str], None]
    ) -> None:
        self.core, self.loop, self.max_kept_bytes, self.on_released = core, loop, max_kept_bytes, on_released
        self.ids: set[str] = set()  # of the requests that are open
        self.open: dict[str, OpenRequest] = {}  # by path
        self._kept_bytes = self._last_number = 0
        self._hold_until: dict[PendingCall, float] = {}  # until when each call is held, in their order: all as long
        self._hold_timer: asyncio.TimerHandle | None = None

    @property
    def unfetched_responses(self) -> int:
        """Number of requests whose client has yet to fetch the last response."""
        return sum(not opened.is_fetched for opened in self.open.values())

    def new(self, ticket: str, before: str) -> OpenRequest:
        """Return a new request under a unique path that starts with `before`."""
        self._last_number += 1
        return OpenRequest(self._settled, ticket, f"{before}{self._last_number:x}-{ticket}")

    def _settled(self, opened: OpenRequest) -> None:
        self._unbind(opened)
        self.ids.discard(opened.ticket)
        self.on_released(opened.ticket)
        slots, opened.waiting_calls = opened.waiting_calls, []
        for call in slots:
            self._hold_until.pop(call, None)
            self.send_response(call)

    def wait(self, call: PendingCall) -> None:
        """Answer the call now, or once the request is settled, or after HOLD_S with a path to ask again."""
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
        """The call that was held longest, if it was so long enough: a timer for each costs more than one for all."""
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
                return  # it left without a path, and would be taken for one that comes back with it
            self._assign_path(opened)
            self.core.telemetry.log("response_path_given", ticket=opened.ticket)
        opened.waiting_calls.remove(call)
        call.reply(200, {"next": f"{opened.path}/{max(0, call.page)}"})

    def _assign_path(self, opened: OpenRequest) -> None:
        """From here on the request outlives its connection: a poor link may break, the path stays."""
        self.open[opened.path] = opened
        left_ms = opened.request.timeout_ms if opened.request is not None else 0.0
        opened.timer = self.loop.call_later(left_ms / 1000.0 + RESULT_RETENTION_S, self._drop, opened)

    def send_response(self, call: PendingCall) -> None:
        """Answer a call whose request is settled."""
        opened = call.opened
        assert opened is not None and opened.response is not None
        answer, page = opened.response, max(0, call.page)
        if answer.status != ResponseStatus.SERVED:
            self._mark_fetched(opened)
            if answer.status == ResponseStatus.REJECTED:
                wait_ms = max(MIN_RETRY_AFTER_MS, math.ceil(answer.retry_after_ms))
                call.reply(503, {"failure": "Busy"}, f"Retry-After-Ms: {wait_ms}\r\n")
            else:
                call.reply(502, {"failure": "Failed"})
            return
        if opened.pages is None:
            opened.pages, opened.result_bytes = _split_into_pages(*answer.result)
            if call.page < 0 and len(opened.pages) > 1:
                self._assign_path(opened)
            if opened.path in self.open:
                self._retain(opened)
        if page >= len(opened.pages):
            call.reply(404, {"failure": "no such page"}, last=True)
            return
        body: dict[str, Any] = {"rows": opened.pages[page]}
        if page + 1 < len(opened.pages):
            body["next"] = f"{opened.path}/{page + 1}"
        else:
            self._mark_fetched(opened)
        call.reply(200, body)

    def _mark_fetched(self, opened: OpenRequest) -> None:
        """The client has all; the path stays a little, should its connection have broken meanwhile."""
        opened.is_fetched = True
        if opened.timer is not None:
            opened.timer.cancel()
            opened.timer = self.loop.call_later(RESULT_RETENTION_S, self._drop, opened)

    def _retain(self, opened: OpenRequest) -> None:
        self._kept_bytes += opened.result_bytes
        for other in list(self.open.values()) if self._kept_bytes > self.max_kept_bytes else ():
            if self._kept_bytes <= self.max_kept_bytes:
                return
            if other is not opened and other.pages is not None:
                self._drop(other)

    def _drop(self, opened: OpenRequest) -> None:
        if self.open.pop(opened.path, None) is not None:
            self._kept_bytes -= opened.result_bytes
            if opened.timer is not None:
                opened.timer.cancel()

    # Whether the client is there.

    def _bind(self, opened: OpenRequest, connection: CallConnection) -> None:
        """Note on which connection the client of an open request is; one that was away has returned."""
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
        """Note that the connection of a call has ended, and nobody waits for its answer."""
        self._hold_until.pop(call, None)
        opened = call.opened
        if opened is not None and call in opened.waiting_calls:
            opened.waiting_calls.remove(call)

    def connection_ended(self, connection: CallConnection) -> None:
        """Note that a client's connection has ended: its requests without a path are over, the others suspended."""
        for opened in list(connection.requests):
            if opened.path in self.open:
                self._suspend(opened)
            else:
                # The client has no path yet: its connection was the request.
                self.abandon(opened, DepartureReason.CONNECTION_ENDED)

    def _suspend(self, opened: OpenRequest) -> None:
        """Send nothing for a request whose client has no connection, and give it up if none comes in time."""
        self._unbind(opened)
        if opened.request is None:
            return
        self.core.telemetry.log("client_away", ticket=opened.ticket)
        self.core.suspend_request(opened.request)
        opened.return_timer = self.loop.call_later(RETURN_TIMEOUT_S, self.abandon, opened, DepartureReason.NOT_RETURNED)

    def is_connected(self, opened: OpenRequest) -> bool:
        """Return whether the client of a request is connected, by a look at its connection.

        Where it is not, the request is suspended or given up, as it would be once the end is read.
        """
        connection = opened.connection
        if opened.response is not None or connection is None:
            return False
        if connection.is_connected():
            return True
        self.connection_ended(connection)
        return False

    def abandon(self, opened: OpenRequest, reason: DepartureReason) -> None:
        """Drop a request whose client has stopped waiting, and free the engine's work."""
        self._drop(opened)
        self._unbind(opened)
        if opened.response is None and opened.request is not None:
            self.core.telemetry.log("client_left", ticket=opened.ticket, reason=reason)
            self.core.client_disconnected(opened.request)
            opened.on_response(Response(ResponseStatus.FAILED))


def _split_into_pages(rows: list[list[str]], size: int) -> tuple[list[list[Any]], int]:
    """Cut the rows into answers, once; the same path gives the same rows again."""
    if size <= MAX_PAGE_BYTES:
        return [rows], size
    pages: list[list[Any]] = []
    page: list[Any] = []
    length = 0
    for row in rows:
        part = sum(map(len, row)) + 4 * len(row)
        if page and length + part > MAX_PAGE_BYTES:
            pages.append(page)
            page, length = [], 0
        page.append(row)
        length += part
    return [*pages, page], size
