"""Responses of engines: their limits, their validation, and the rows of a page.

Implements the platform's protocol, "Coordinators to engines". Incomplete rows and pages other than the requested one
are rejected. No I/O and no clock.
"""

from __future__ import annotations

from frostspindle.query_lifetime import ConnectionLife

MAX_PAGES, MAX_PAGE_BYTES, MAX_RESULT_BYTES = (
    64,
    64 * 1024,
    256 * 1024,
)  # the protocol has pages of 48,000 bytes
MAX_RESPONSE_BYTES = MAX_PAGE_BYTES + 16 * 1024  # of one response on the wire: head, page, and 1xx responses before it
MAX_HEADERS, MAX_HEADER_BYTES = 64, 4096  # of one response


class InvalidReplyError(Exception):
    """A response of an engine is malformed or not the requested one."""


class EngineReply:
    """One complete response of an engine; `check_page` validates it as a page and sets `pages`."""

    __slots__ = ("status", "headers", "body", "pages", "connection", "may_be_copy")
    connection: ConnectionLife  # over which it came; set as it is checked

    def __init__(self, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body
        self.pages = 0
        self.may_be_copy = False  # of an earlier response on its connection, so that it proves nothing

    def check_page(self, number: int) -> None:
        """Validate it as the response to a poll for page `number`; else raise InvalidReplyError.

        Page 0 is also the poll for progress.
        """
        if self.status not in (200, 202, 500, 503, 504):
            raise InvalidReplyError(f"unexpected status {self.status}")
        if self.status != 200:
            return
        if number == 0:
            text = self.text(b"x-pages")
            if not (text.isascii() and text.isdecimal() and 1 <= int(text[:4]) <= MAX_PAGES):
                raise InvalidReplyError(f"invalid number of pages {text!r}")
            self.pages = int(text)
        elif self.text(b"x-page") != str(number):
            raise InvalidReplyError(f"got page {self.text(b'x-page')!r}, expected {number}")
        check_rows(self.body)

    def text(self, name: bytes) -> str:
        """Return a header's value as Latin-1 text, empty if it is absent; `name` in lower case."""
        return self.headers.get(name, b"").decode("latin-1")


def check_rows(page: bytes) -> None:
    """Check the rows of a page; raise InvalidReplyError if it is truncated or not UTF-8."""
    if not page:
        return
    if not page.isascii():
        try:
            page.decode()
        except UnicodeDecodeError:
            raise InvalidReplyError("the page is not UTF-8") from None
    if not page.endswith(b"\n"):
        raise InvalidReplyError("the page ends within a row")
