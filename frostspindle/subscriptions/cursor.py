"""The cursor: up to which position of each maker a subscriber was sent all, so that it can go on at any coordinator.

Owns the form of the text. Must never be longer than MOST_TEXT characters, and never be taken if it is damaged, of
another form, or out of its bounds. It is no secret and no proof: whoever changes one harms only what it is sent itself.
"""

from __future__ import annotations

import base64
import binascii
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAX_FILTER_CHARS = 2_048  # characters of a subscription's filter
MAX_PUBLISHERS = 512
MAX_CURSOR_CHARS = 49_152
_CHECK = 6  # bytes
NonNegativeInt = Annotated[int, Meta(ge=0, le=2**53)]
Position = tuple[int, int]  # the maker's process, its number; in the order in which they came


class Cursor(Struct, array_like=True, frozen=True):
    """The filter, and by maker the last position up to which everything was sent, or reported as missing."""

    form: Annotated[int, Meta(ge=1, le=1)]
    filter: Annotated[str, Meta(max_length=MAX_FILTER_CHARS)]
    at: Annotated[
        dict[Annotated[str, Meta(min_length=1, max_length=64)], tuple[NonNegativeInt, NonNegativeInt]],
        Meta(max_length=MAX_PUBLISHERS),
    ]


_decoder = msgspec.msgpack.Decoder(Cursor)


class InvalidCursorError(ValueError):
    """The text is no cursor: too long, damaged, or of another form."""


def _check(data: bytes) -> bytes:
    return blake2b(data, digest_size=_CHECK, person=b"cursor").digest()


def encode(filter_: str, at: dict[str, Position]) -> str | None:
    """Return the cursor's text; None where makers, filter or text would exceed their bounds."""
    if len(at) > MAX_PUBLISHERS or len(filter_) > MAX_FILTER_CHARS:
        return None
    data = msgspec.msgpack.encode(Cursor(1, filter_, at))
    text = base64.urlsafe_b64encode(_check(data) + data).rstrip(b"=").decode()
    return text if len(text) <= MAX_CURSOR_CHARS else None


def decode(text: str) -> Cursor:
    """Return the cursor of a text; BadCursor for whatever `encode` did not make."""
    try:
        if len(text) > MAX_CURSOR_CHARS:
            raise ValueError("too long")
        raw = base64.b64decode(text.encode("ascii") + b"=" * (-len(text) % 4), altchars=b"-_", validate=True)
        if _check(raw[_CHECK:]) != raw[:_CHECK]:
            raise ValueError("damaged")
        return _decoder.decode(raw[_CHECK:])
    except (ValueError, binascii.Error, msgspec.DecodeError, RecursionError) as error:
        raise InvalidCursorError(f"no cursor: {' '.join(str(error).split())[:80]}") from None
