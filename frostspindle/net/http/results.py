"""The rows of a result, kept as the text in which engines send them, and their JSON for clients.

Rows as Python lists take about thirty times the bytes of short columns' text, so they are made only where rows are
merged. Columns are separated by tabs and each row ends with a line feed. No I/O and no clock.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Iterator, Sequence
from typing import overload

import msgspec

MAX_CLIENT_PAGE_BYTES = 48 * 1024  # of the rows in one response to a client
Rows = list[list[str]]
_ENCODE = msgspec.json.Encoder().encode
_NEEDS_ESCAPE = re.compile(rb'["\\\x00-\x08\x0b-\x1f]')  # in JSON; tabs and line feeds separate columns and rows


class ResultText:
    """All rows of a result, in the pages in which they came from the engine."""

    __slots__ = ("pages",)

    def __init__(self, pages: Sequence[bytes]) -> None:
        self.pages = pages

    @classmethod
    def from_rows(cls, rows: Rows) -> ResultText:
        """Return the text of rows whose columns have no tab and no line feed."""
        return cls(["".join("\t".join(row) + "\n" for row in rows).encode()])

    @property
    def size(self) -> int:
        """Length of the text in bytes."""
        return sum(map(len, self.pages))

    def rows(self) -> Rows:
        """Return the rows as lists of columns."""
        return [row for page in self.pages for row in parse_rows(page)]

    def client_pages(self) -> list[bytes]:
        """Return the pages in which a client gets the rows: at least one, each with whole rows."""
        text = self.pages[0] if len(self.pages) == 1 else b"".join(self.pages)
        if len(text) <= MAX_CLIENT_PAGE_BYTES:
            return [text]
        pages = []
        start = 0
        while len(text) - start > MAX_CLIENT_PAGE_BYTES:
            end = text.rfind(b"\n", start, start + MAX_CLIENT_PAGE_BYTES) + 1
            if not end:  # a row that is longer than a page has one of its own
                end = text.index(b"\n", start) + 1
            pages.append(text[start:end])
            start = end
        if start < len(text):
            pages.append(text[start:])
        return pages


class LazyRows(Sequence[list[str]]):
    """The rows of a result, which are made from its text anew each time that they are read."""

    def __init__(self, result: ResultText) -> None:
        self._result = result

    def __len__(self) -> int:
        return sum(page.count(b"\n") for page in self._result.pages)

    def __iter__(self) -> Iterator[list[str]]:
        for page in self._result.pages:
            yield from parse_rows(page)

    @overload
    def __getitem__(self, index: int) -> list[str]: ...
    @overload
    def __getitem__(self, index: slice) -> Rows: ...
    def __getitem__(self, index: int | slice) -> list[str] | Rows:
        return self._result.rows()[index]


def held_bytes(pages: Sequence[bytes]) -> int:
    """Return the memory that pages of text take, with their object headers."""
    return sum(map(sys.getsizeof, pages))


def parse_rows(page: bytes) -> Rows:
    """Return the rows of a page that was checked before."""
    return [line.split("\t") for line in page.decode()[:-1].split("\n")] if page else []


def encode_rows(page: bytes) -> bytes:
    """Return a page's rows as a JSON array of arrays of strings."""
    if not page:
        return b"[]"
    if _NEEDS_ESCAPE.search(page):
        return _ENCODE(parse_rows(page))
    return b'[["' + page[:-1].replace(b"\t", b'","').replace(b"\n", b'"],["') + b'"]]'


def encode_page(page: bytes, next_path: str = "") -> bytes:
    """Return the JSON body of the response with a page; `next_path` is where the client gets the next one."""
    if not next_path:
        return b'{"rows":' + encode_rows(page) + b"}"
    return b'{"rows":' + encode_rows(page) + b',"next":' + _ENCODE(next_path) + b"}"
