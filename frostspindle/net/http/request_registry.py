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

HOLD_S = 1.0  # a call is held this long for its answer, then the client is given a path to ask again
PAGE_BYTES = 48 * 1024  # rows in one answer
LEAST_WAIT_MS = 1  # a refusal always says how long to stay away
KEEP_S = 5.0  # how long answers are kept for a repeated GET
RETURN_TIMEOUT_S = 2.0  # how long a client whose connection has ended may take to call its path again


class DepartureReason(StrEnum):
    """How it was learnt that the client of an open request has left."""

    CONNECTION_ENDED = "connection ended"  # before the client was given a path
    DELETED = "deleted"
    NOT_RETURNED = "not returned"  # within RETURN_TIMEOUT_S


class RequestRegistry:
    """The requests that are open at this front, by id and by path, and their results."""

    def __init__(
        self, core: Core, loop: asyncio.AbstractEventLoop, keep_bytes: int, released: Callable[[str], None]
    ) -> None:
        self.core, self.loop, self.keep_bytes, self.released = core, loop, keep_bytes, released
        self.ids: set[str] = set()  # of the requests that are open
        self.open: dict[str, OpenRequest] = {}  # by path
        self._kept = self._numbers = 0
        self._holds: dict[PendingCall, float] = {}  # until when each call is held, in their order: all as long
        self._alarm: asyncio.TimerHandle | None = None

    @property
    def unfetched_responses(self) -> int:
        """Number of requests whose client has yet to fetch the last response."""
        return sum(not opened.told for opened in self.open.values())

    def new(self, ticket: str, before: str) -> OpenRequest:
        """Return a new request under a unique path that starts with `before`."""
        self._numbers += 1
        return OpenRequest(self._settled, ticket, f"{before}{self._numbers:x}-{ticket}")

    def _settled(self, opened: OpenRequest) -> None:
        self._unbind(opened)
        self.ids.discard(opened.ticket)
        self.released(opened.ticket)
        slots, opened.slots = opened.slots, []
        for slot in slots:
            self._holds.pop(slot, None)
            self.give(slot)

    def wait(self, slot: PendingCall) -> None:
        """Answer the call now, or once the request is settled, or after HOLD_S with a path to ask again."""
        assert slot.opened is not None
        if slot.opened.answer is not None:
            self.give(slot)
        else:
            self._bind(slot.opened, slot.client)
            slot.opened.slots.append(slot)
            until = self._holds[slot] = self.loop.time() + HOLD_S
            if self._alarm is None:
                self._alarm = self.loop.call_at(until, self._look)

    def _look(self) -> None:
        """The call that was held longest, if it was so long enough: a timer for each costs more than one for all."""
        self._alarm, (slot, until) = None, next(iter(self._holds.items()), (None, 0.0))
        due = slot is not None and until <= self.loop.time()
        if due:
            del self._holds[slot]
        if self._holds:
            self._alarm = self.loop.call_at(next(iter(self._holds.values())), self._look)
        if due:
            self._held(slot)

    def _held(self, slot: PendingCall) -> None:
        opened = slot.opened
        assert opened is not None
        if slot.page < 0:
            if not slot.client.is_connected():
                return  # it left without a path, and would be taken for one that comes back with it
            self._publish(opened)
            self.core.telemetry.log("response_path_given", ticket=opened.ticket)
        opened.slots.remove(slot)
        slot.reply(200, {"next": f"{opened.path}/{max(0, slot.page)}"})

    def _publish(self, opened: OpenRequest) -> None:
        """From here on the request outlives its connection: a poor link may break, the path stays."""
        self.open[opened.path] = opened
        left_ms = opened.request.timeout_ms if opened.request is not None else 0.0
        opened.timer = self.loop.call_later(left_ms / 1000.0 + KEEP_S, self._drop, opened)

    def give(self, slot: PendingCall) -> None:
        """Answer a call whose request is settled."""
        opened = slot.opened
        assert opened is not None and opened.answer is not None
        answer, page = opened.answer, max(0, slot.page)
        if answer.status != ResponseStatus.SERVED:
            self._told(opened)
            if answer.status == ResponseStatus.REJECTED:
                wait_ms = max(LEAST_WAIT_MS, math.ceil(answer.retry_after_ms))
                slot.reply(503, {"failure": "Busy"}, f"Retry-After-Ms: {wait_ms}\r\n")
            else:
                slot.reply(502, {"failure": "Failed"})
            return
        if opened.pages is None:
            opened.pages, opened.size = _paged(*answer.result)
            if slot.page < 0 and len(opened.pages) > 1:
                self._publish(opened)
            if opened.path in self.open:
                self._keep(opened)
        if page >= len(opened.pages):
            slot.reply(404, {"failure": "no such page"}, last=True)
            return
        body: dict[str, Any] = {"rows": opened.pages[page]}
        if page + 1 < len(opened.pages):
            body["next"] = f"{opened.path}/{page + 1}"
        else:
            self._told(opened)
        slot.reply(200, body)

    def _told(self, opened: OpenRequest) -> None:
        """The client has all; the path stays a little, should its connection have broken meanwhile."""
        opened.told = True
        if opened.timer is not None:
            opened.timer.cancel()
            opened.timer = self.loop.call_later(KEEP_S, self._drop, opened)

    def _keep(self, opened: OpenRequest) -> None:
        self._kept += opened.size
        for other in list(self.open.values()) if self._kept > self.keep_bytes else ():
            if self._kept <= self.keep_bytes:
                return
            if other is not opened and other.pages is not None:
                self._drop(other)

    def _drop(self, opened: OpenRequest) -> None:
        if self.open.pop(opened.path, None) is not None:
            self._kept -= opened.size
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

    def call_abandoned(self, slot: PendingCall) -> None:
        """Note that the connection of a call has ended, and nobody waits for its answer."""
        self._holds.pop(slot, None)
        opened = slot.opened
        if opened is not None and slot in opened.slots:
            opened.slots.remove(slot)

    def connection_ended(self, connection: CallConnection) -> None:
        """Note that a client's connection has ended: its requests without a path are over, the others suspended."""
        for opened in list(connection.requests):
            if opened.path in self.open:
                self._suspend(opened)
            else:
                # The client has no path yet: its connection was the request.
                self.leave(opened, DepartureReason.CONNECTION_ENDED)

    def _suspend(self, opened: OpenRequest) -> None:
        """Send nothing for a request whose client has no connection, and give it up if none comes in time."""
        self._unbind(opened)
        if opened.request is None:
            return
        self.core.telemetry.log("client_away", ticket=opened.ticket)
        self.core.suspend_request(opened.request)
        opened.return_timer = self.loop.call_later(RETURN_TIMEOUT_S, self.leave, opened, DepartureReason.NOT_RETURNED)

    def is_connected(self, opened: OpenRequest) -> bool:
        """Return whether the client of a request is connected, by a look at its connection.

        Where it is not, the request is suspended or given up, as it would be once the end is read.
        """
        connection = opened.connection
        if opened.answer is not None or connection is None:
            return False
        if connection.is_connected():
            return True
        self.connection_ended(connection)
        return False

    def leave(self, opened: OpenRequest, reason: DepartureReason) -> None:
        """Drop a request whose client has stopped waiting, and free the engine's work."""
        self._drop(opened)
        self._unbind(opened)
        if opened.answer is None and opened.request is not None:
            self.core.telemetry.log("client_left", ticket=opened.ticket, reason=reason)
            self.core.client_disconnected(opened.request)
            opened.on_response(Response(ResponseStatus.FAILED))


def _paged(rows: list[list[str]], size: int) -> tuple[list[list[Any]], int]:
    """Cut the rows into answers, once; the same path gives the same rows again."""
    if size <= PAGE_BYTES:
        return [rows], size
    pages: list[list[Any]] = []
    page: list[Any] = []
    length = 0
    for row in rows:
        part = sum(map(len, row)) + 4 * len(row)
        if page and length + part > PAGE_BYTES:
            pages.append(page)
            page, length = [], 0
        page.append(row)
        length += part
    return [*pages, page], size
