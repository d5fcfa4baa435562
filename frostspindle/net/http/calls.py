"""A client's call, and the request that calls ask for: the objects that the parts of the front share.

Owns the form of an answer on the wire, and that each call is answered once. It must never decide what an answer says,
nor whether its connection ends with it (the connection does, when it writes), never write to a connection past its
line (`flush` does, in the order of the calls), and never hold more of a request than its one answer and who waits.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from frostspindle.core import ClientRequest, Response

FRONT = "http"
_ENCODE = msgspec.json.Encoder().encode
_REASONS = {200: "OK", 204: "No Content", 502: "Bad Gateway", 503: "Service Unavailable"}
_CLOSE = "Connection: close\r\n"


class CallConnection(Protocol):
    """The connection that a call came on."""

    requests: dict[OpenRequest, None]  # the open ones, in order, whose client made its last call on this connection

    def flush(self) -> None:
        """Write the responses that are due, in the order of the calls."""

    def is_connected(self) -> bool:
        """Return whether the client is still connected; if not, its open calls are ended."""


class OpenRequest:
    """One request at this front: its answer, and the path under which its result is fetched."""

    __slots__ = (
        "response",
        "connection",
        "pages",
        "path",
        "request",
        "return_timer",
        "on_settled",
        "result_bytes",
        "waiting_calls",
        "ticket",
        "timer",
        "is_fetched",
    )

    def __init__(self, on_settled: Callable[[OpenRequest], None], ticket: str, path: str) -> None:
        self.on_settled, self.ticket, self.path = on_settled, ticket, path
        self.request: ClientRequest | None = None
        self.response: Response | None = None
        self.pages: list[list[Any]] | None = None
        self.result_bytes, self.is_fetched = 0, False  # told: the client has had the last answer
        self.waiting_calls: list[PendingCall] = []  # the calls that wait for its answer
        self.timer: asyncio.TimerHandle | None = None
        self.connection: CallConnection | None = None  # its client's last one; None: that has ended
        self.return_timer: asyncio.TimerHandle | None = None  # runs while the client is away

    def on_response(self, answer: Response) -> None:
        """Take the one answer; later ones are dropped."""
        if self.response is None:
            self.response, self.request = answer, None
            self.on_settled(self)


class PendingCall:
    """One call in its connection's queue; responses leave in the order of the calls."""

    __slots__ = ("client", "opened", "page", "head", "data", "has_next", "last")

    def __init__(self, client: CallConnection, opened: OpenRequest | None = None, page: int = 0) -> None:
        self.client, self.opened, self.page = client, opened, page
        self.head, self.data = "", None  # type: str, bytes | None
        self.has_next = False  # the answer names a `next`
        self.last = False  # it is to be the connection's last answer, unless calls have come behind it

    def reply(self, status: int, body: Any = None, extra: str = "", last: bool = False) -> None:
        """Set the response and write it as soon as those of earlier calls are out.

        `body` is encoded as JSON; `extra` is further header lines, each with its CRLF; `last` asks to close the
        connection behind it.
        """
        self.has_next = isinstance(body, dict) and "next" in body
        self.last = self.last or last
        data = b"" if body is None else _ENCODE(body)
        length = "" if status == 204 else f"Content-Length: {len(data)}\r\n"
        self.head = (
            f"HTTP/1.1 {status} {_REASONS.get(status, 'Refused')}\r\nContent-Type: application/json\r\n{length}{extra}"
        )
        self.data = data
        self.client.flush()

    def encode(self, closes: bool) -> bytes:
        """Return the response's bytes; `closes` adds `Connection: close`, known only as it is written."""
        assert self.data is not None
        return f"{self.head}{_CLOSE if closes else ''}\r\n".encode() + self.data
