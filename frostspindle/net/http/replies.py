"""An engine's answer: its form, its bounds, and the rows of a page.

Owns the check that an answer is the one to what was asked. It must never take rows that are not whole, nor a page for
another. Source: the platform's protocol, "Coordinators to engines". No I/O, no clock.
"""

from __future__ import annotations

MAX_PAGES, MAX_PAGE_BYTES, MAX_RESULT_BYTES = (
    64,
    64 * 1024,
    256 * 1024,
)  # bounds on a result; the protocol has 48,000 bytes
MAX_RESPONSE_BYTES = MAX_PAGE_BYTES + 16 * 1024  # of one answer on the wire: head, page, and 1xx answers before it
MAX_HEADERS, MAX_HEADER_BYTES = 64, 4096  # headers of one answer, and their length
Rows = list[list[str]]


class InvalidReplyError(Exception):
    """An engine's response that can't be read."""


class EngineReply:
    """One whole response of an engine; `read` checks it as a page and sets `pages` and `rows`."""

    __slots__ = ("status", "headers", "body", "pages", "rows", "connection_opened_ms")

    def __init__(self, status: int, headers: dict[bytes, bytes], body: bytes) -> None:
        self.status, self.headers, self.body = status, headers, body
        self.pages, self.rows, self.connection_opened_ms = (
            0,
            list[list[str]](),
            0.0,
        )  # line_ms: when its connection came up

    def check_page(self, number: int) -> None:
        """Check it as the response to a poll for page `number`, 0: progress, and set `rows`; else InvalidReplyError."""
        if self.status not in (200, 202, 500, 503, 504):
            raise InvalidReplyError(f"status {self.status}")
        if self.status != 200:
            return
        if number == 0:
            text = self.text(b"x-pages")
            if not (text.isascii() and text.isdecimal() and 1 <= int(text[:4]) <= MAX_PAGES):
                raise InvalidReplyError(f"a count of {text!r} pages")
            self.pages = int(text)
        elif self.text(b"x-page") != str(number):
            raise InvalidReplyError(f"page {self.text(b'x-page')!r} in place of {number}")
        self.rows = parse_rows(self.body)

    def text(self, name: bytes) -> str:
        """Return a header's value as Latin-1 text, empty if it is absent; `name` in lower case."""
        return self.headers.get(name, b"").decode("latin-1")


def parse_rows(page: bytes) -> Rows:
    """Return a page's rows: columns by tabs, rows by line feeds; InvalidReplyError if cut or not UTF-8."""
    if not page:
        return []
    try:
        text = page.decode()
    except UnicodeDecodeError:
        raise InvalidReplyError("a page is not UTF-8") from None
    if not text.endswith("\n"):
        raise InvalidReplyError("a page ends inside a row")
    return [line.split("\t") for line in text[:-1].split("\n")]
