"""Parses the requests of one client connection within limits, without I/O.

The parser is httptools (llhttp in strict mode); this module adds the limits.
A request that is malformed or beyond a limit raises CallRejectedError, after which nothing more is parsed. The content
of a partial request is kept in as few objects as possible, and its size is known at any time.
"""

from __future__ import annotations

import sys
from typing import NamedTuple, Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from frostspindle.net import fields as request_fields
from frostspindle.net.fields import CallRejectedError

MAX_BODY_BYTES = 64 * 1024  # of a statement
MAX_URL_BYTES = 2048
MAX_HEADER_BYTES = 4096  # of one header, name and value
MAX_HEADERS = 64  # of a request, repeated ones included
MAX_HEAD_BYTES = 16 * 1024  # the parser reports a header only when it is complete
MAX_REQUEST_BYTES = MAX_BODY_BYTES + 128 * 1024  # on the wire, with head and chunk framing
FIELD_OVERHEAD_BYTES = 200  # of a header in memory: the objects of its name and value, and its place in the table
_SINGLE_HEADERS = request_fields.SINGLE_HEADERS | {b"host", b"content-encoding"}
_NO_BODY = bytearray()


class ParsedRequest(NamedTuple):
    """One complete request."""

    method: bytes
    url: bytes
    fields: dict[bytes, bytes]  # by lower-case name
    body: bytes
    is_last: bool  # the client sends no more on this connection


class RequestHandler(Protocol):
    """Receives the parser's events."""

    def request_started(self) -> None:
        """Handle the first byte of a request."""

    def request_received(self, request: ParsedRequest) -> None:
        """Handle a complete request; raise CallRejectedError if it is rejected."""


class RequestParser:
    """The parser of one connection; `feed` calls the handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler: RequestHandler | None = handler
        self._parser: HttpRequestParser | None = HttpRequestParser(self)
        # Status and text. An exception would keep its frames, and by them the connection, until a garbage collection.
        self._rejection: tuple[int, str] | None = None
        self.is_stopped = False  # after a rejection or the connection's last request, or by `stop`
        self.is_receiving = False  # a request is partly received
        self.is_head_complete = False
        self.awaits_continue = False  # the client sends the body once it gets a `100 Continue`
        self.request_bytes = 0  # of the partial request, on the wire
        self._url = b""
        self._fields: dict[bytes, bytes] = {}
        self._field_count = 0
        self._body = _NO_BODY

    @property
    def partial_head(self) -> tuple[bytes, dict[bytes, bytes]] | None:
        """The path and the headers of the partial request; None if they are not complete, or there is none."""
        return (self._url, self._fields) if self.is_receiving and self.is_head_complete else None

    @property
    def held_bytes(self) -> int:
        """The memory that the partial request takes; 0 if there is none."""
        if not self.is_receiving:
            return 0
        head_bytes = min(self.request_bytes, MAX_HEAD_BYTES)
        return head_bytes + FIELD_OVERHEAD_BYTES * self._field_count + sys.getsizeof(self._body)

    @property
    def missing_body_bytes(self) -> int:
        """How many bytes of the body are still to come, by its Content-Length; 0 if that is not known."""
        if not (self.is_receiving and self.is_head_complete):
            return 0
        return max(0, int(self._fields.get(b"content-length", b"0")) - len(self._body))

    def feed(self, data: bytes | memoryview) -> None:
        """Parse bytes of the connection; raise CallRejectedError for an unacceptable request."""
        if self.is_stopped:
            return
        assert self._parser is not None
        self.request_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            self._rejection = (400, "no other protocol is spoken here")
        except HttpParserError as error:  # it also wraps the exceptions of the callbacks below
            if self._rejection is None and not self.is_stopped:
                self._rejection = (400, f"unreadable: {error}")
        if self._rejection is None and self.request_bytes > self._max_request_bytes:
            self._rejection = (413 if self.is_head_complete else 431, "the request is too long")
        if self._rejection is not None:
            self.stop()
            raise CallRejectedError(*self._rejection)

    def stop(self) -> None:
        """Parse nothing more, and keep nothing of a partial request. The parser and its handler refer to each other."""
        self.is_stopped = True
        self.is_receiving = False
        self.request_bytes = 0
        self._drop_content()

    def close(self) -> None:
        """Stop, and release the parser; not to be called from a callback of the handler."""
        self.stop()
        self._handler = None
        self._parser = None

    @property
    def _max_request_bytes(self) -> int:
        return MAX_REQUEST_BYTES if self.is_head_complete else MAX_HEAD_BYTES

    def _drop_content(self) -> None:
        self._url = b""
        self._fields = {}
        self._field_count = 0
        self._body = _NO_BODY
        self.awaits_continue = False

    def _reject(self, status: int, text: str) -> None:
        self._rejection = (status, text)
        raise _ParsingStoppedError

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start a request, unless the previous one was the last."""
        if self.is_stopped or self._handler is None:
            raise _ParsingStoppedError
        self._drop_content()
        self.is_receiving = True
        self.is_head_complete = False
        self._handler.request_started()

    def on_url(self, url: bytes) -> None:
        """Collect the path; reject with 414 beyond MAX_URL_BYTES."""
        self._url += url
        if len(self._url) > MAX_URL_BYTES:
            self._reject(414, "the path is too long")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header by its lower-case name; reject with 431 beyond the limits, 400 for a repeated single one."""
        self._field_count += 1
        if self._field_count > MAX_HEADERS or len(name) + len(value) > MAX_HEADER_BYTES:
            self._reject(431, "too many headers, or too long ones")
        name = name.lower()
        if name in self._fields and name in _SINGLE_HEADERS:
            # The name is one of _SINGLE_HEADERS, not client input.
            self._reject(400, f"{name.decode().title()}: given twice")
        self._fields[name] = value

    def on_headers_complete(self) -> None:
        """Check the head: 415 for an encoded body, 413 for a length over MAX_BODY_BYTES, `Expect: 100-continue`."""
        assert self._parser is not None
        self.is_head_complete = True
        self._body = bytearray()
        if b"content-encoding" in self._fields and self._fields[b"content-encoding"] != b"identity":
            self._reject(415, "Content-Encoding: not taken here")
        length = self._fields.get(b"content-length", b"0")
        if len(length) > 6 or int(length) > MAX_BODY_BYTES:  # the parser accepts only digits
            self._reject(413, "the statement is too long")
        if self._fields.get(b"expect", b"").lower() == b"100-continue" and self._parser.get_http_version() != "1.0":
            self.awaits_continue = True

    def on_body(self, chunk: bytes) -> None:
        """Collect a chunk of the body; reject with 413 beyond MAX_BODY_BYTES in total."""
        if len(self._body) + len(chunk) > MAX_BODY_BYTES:
            self._reject(413, "the statement is too long")
        self.awaits_continue = False
        self._body += chunk

    def on_message_complete(self) -> None:
        """Pass the request to the handler."""
        assert self._parser is not None and self._handler is not None
        self.request_bytes = 0
        self.is_receiving = False
        is_last = not self._parser.should_keep_alive()
        request = ParsedRequest(self._parser.get_method(), self._url, self._fields, bytes(self._body), is_last)
        self._drop_content()
        if is_last:
            self.is_stopped = True
        try:
            self._handler.request_received(request)
        except CallRejectedError as rejection:
            self._reject(rejection.status, rejection.text)


class _ParsingStoppedError(Exception):
    """Raised in a callback of httptools to stop parsing."""
