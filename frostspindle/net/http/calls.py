"""Calls of clients and the open requests that they refer to: the objects shared by the parts of the HTTP front.

Encodes the responses. `ClientConnection.flush` writes them in the order of the calls and decides whether the connection
is closed with one. An open request holds its response and the calls that wait for it.
"""

from __future__ import annotations

import asyncio
import math
import sys
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from frostspindle.core import ClientRequest, Response, ResponseStatus
from frostspindle.held_memory import HeldMemory, HeldPurpose, MemoryCharge
from frostspindle.net.http.results import encode_page

FRONT = "http"
_ENCODE = msgspec.json.Encoder().encode
_REASONS = {200: "OK", 204: "No Content", 502: "Bad Gateway", 503: "Service Unavailable"}
_CLOSE = "Connection: close\r\n"


class CallConnection(Protocol):
    """The connection of a call."""

    requests: dict[OpenRequest, None]  # open, in order; their client last called on this connection
    last_result: OpenRequest | None  # whose last rows were sent here, until the client's next call

    @property
    def hides_end(self) -> bool:
        """Whether the client has sent so much ahead that the end of its connection would not be seen."""

    def flush(self) -> None:
        """Write the responses that are ready, in the order of the calls."""

    def is_connected(self) -> bool:
        """Return whether the client is still connected; if not, cancel its open calls."""


class OpenRequest:
    """One request at this front: its response and the path at which its result is fetched."""

    __slots__ = (
        "response",
        "charge",
        "client_until_s",
        "connection",
        "may_have_run",
        "pages",
        "path",
        "request",
        "return_timer",
        "on_settled",
        "is_read",
        "waiting_calls",
        "ticket",
        "timer",
        "is_fetched",
    )

    def __init__(
        self,
        on_settled: Callable[[OpenRequest, ClientRequest | None], None],
        ticket: str,
        path: str,
        held_memory: HeldMemory,
    ) -> None:
        self.on_settled = on_settled
        self.ticket = ticket
        self.path = path
        self.charge = held_memory.charge(HeldPurpose.RESULTS, 0)  # while it has a path
        self.request: ClientRequest | None = None
        self.may_have_run = False  # once there is a response: an attempt may have run
        self.response: Response | None = None  # without its result, which is in `pages`
        self.pages: list[bytes] = []  # text of the rows that the client gets at once
        self.client_until_s = math.inf  # loop time until which the client waits; set at its submission
        self.is_fetched = False  # the last response was sent
        self.is_read = False  # the client has made another call since
        self.waiting_calls: list[PendingCall] = []  # calls that wait for the response
        self.timer: asyncio.TimerHandle | None = None
        self.connection: CallConnection | None = None  # the client's last connection; None after its end
        self.return_timer: asyncio.TimerHandle | None = None  # while the client has no connection

    def on_response(self, response: Response) -> None:
        """Take the response; later ones are ignored."""
        if self.response is None:
            if response.result is not None:
                self.pages = response.result.client_pages()
            self.response = response._replace(result=None)
            request, self.request = self.request, None
            was_sent = request is not None and request.was_sent
            self.may_have_run = was_sent and response.status != ResponseStatus.REJECTED
            self.on_settled(self, request)


class PendingCall:
    """One call in its connection's queue; responses are sent in the order of the calls."""

    __slots__ = (
        "client",
        "opened",
        "page",
        "status",
        "extra",
        "data",
        "rows",
        "next_path",
        "charge",
        "has_next",
        "last",
    )

    def __init__(self, client: CallConnection, opened: OpenRequest | None = None, page: int = 0) -> None:
        self.client, self.opened, self.page = client, opened, page
        self.status = 0  # 0: there is no response yet
        self.extra = ""  # further header lines
        self.data: bytes | None = None  # the body
        self.rows: bytes | None = None  # text of the rows in the body, which is encoded as it is written
        self.next_path = ""  # in the body, beside the rows
        self.charge: MemoryCharge | None = None  # while the rows wait to be written
        self.has_next = False  # the response has a `next` path
        self.last = False  # close the connection after the response, unless further calls have arrived

    def reply(self, status: int, body: Any = None, extra: str = "", last: bool = False) -> None:
        """Set the response; it is written once those of earlier calls are.

        `body` is encoded as JSON; `extra` is further header lines, each with its CRLF; `last` asks to close the
        connection after it.
        """
        has_next = isinstance(body, dict) and "next" in body
        self.reply_encoded(status, b"" if body is None else _ENCODE(body), extra, last, has_next)

    def reply_page(self, rows: bytes, next_path: str) -> None:
        """Set the response with a page of rows, given as text; `next_path` is empty for the last page."""
        self.rows = rows
        self.next_path = next_path
        self.reply_encoded(200, b"", has_next=bool(next_path))

    def reply_encoded(
        self, status: int, data: bytes, extra: str = "", last: bool = False, has_next: bool = False
    ) -> None:
        """Set the response, as in `reply`, with a body that is encoded already; `has_next`: it has a `next` path."""
        self.has_next = has_next
        self.last = self.last or last
        self.status = status
        self.extra = extra
        self.data = data
        self.client.flush()

    @property
    def is_ready(self) -> bool:
        """Whether the response is set."""
        return self.status > 0

    def hold(self, held_memory: HeldMemory) -> None:
        """Charge for the body while it waits to be written."""
        if self.charge is None and self.data is not None:
            size = sys.getsizeof(self.data) + (sys.getsizeof(self.rows) if self.rows is not None else 0)
            self.charge = held_memory.charge(HeldPurpose.RESULTS, size)

    def release(self) -> None:
        """Charge for the body no more, as it is written or its client has left."""
        if self.charge is not None:
            self.charge.release()

    def encode(self, closes: bool) -> bytes:
        """Return the response's bytes; `closes` adds `Connection: close`, which is known only when it is written."""
        assert self.data is not None
        data = self.data if self.rows is None else encode_page(self.rows, self.next_path)
        length = "" if self.status == 204 else f"Content-Length: {len(data)}\r\n"
        head = (
            f"HTTP/1.1 {self.status} {_REASONS.get(self.status, 'Refused')}\r\n"
            f"Content-Type: application/json\r\n{length}{self.extra}{_CLOSE if closes else ''}\r\n"
        )
        return head.encode() + data
