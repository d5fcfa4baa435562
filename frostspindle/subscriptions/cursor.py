"""The cursor: up to which position of each publisher a subscriber was sent everything, to resume anywhere.

Encodes and decodes its text, of at most MAX_CURSOR_CHARS characters. A text that is damaged, of another form or out of
bounds is rejected. The cursor is neither secret nor authenticated: a forged one only changes what its holder is sent.
"""

from __future__ import annotations

import base64
import binascii
from hashlib import blake2b
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

MAX_FILTER_CHARS = 2_048  # of a subscription's filter
MAX_PUBLISHERS = 512
MAX_CURSOR_CHARS = 49_152
_CHECK = 6  # bytes
NonNegativeInt = Annotated[int, Meta(ge=0, le=2**53)]
Position = tuple[int, int]  # epoch of the publisher's process and event number; ordered by time


class Cursor(Struct, array_like=True, frozen=True):
    """The filter, and by publisher the position up to which everything was sent or reported as missing."""

    form: Annotated[int, Meta(ge=1, le=1)]
    filter: Annotated[str, Meta(max_length=MAX_FILTER_CHARS)]
    at: Annotated[
        dict[Annotated[str, Meta(min_length=1, max_length=64)], tuple[NonNegativeInt, NonNegativeInt]],
        Meta(max_length=MAX_PUBLISHERS),
    ]


_decoder = msgspec.msgpack.Decoder(Cursor)


class InvalidCursorError(ValueError):
    """The text is not a cursor: too long, damaged, or of another form."""


def _check(data: bytes) -> bytes:
    return blake2b(data, digest_size=_CHECK, person=b"cursor").digest()


def encode(filter_: str, at: dict[str, Position]) -> str | None:
    """Return the cursor's text; None if publishers, filter or text would exceed their bounds."""
    if len(at) > MAX_PUBLISHERS or len(filter_) > MAX_FILTER_CHARS:
        return None
    data = msgspec.msgpack.encode(Cursor(1, filter_, at))
    text = base64.urlsafe_b64encode(_check(data) + data).rstrip(b"=").decode()
    return text if len(text) <= MAX_CURSOR_CHARS else None


def decode(text: str) -> Cursor:
    """Return the cursor of a text; InvalidCursorError if `encode` did not produce it."""
    try:
        if len(text) > MAX_CURSOR_CHARS:
            raise ValueError("too long")
        raw = base64.b64decode(text.encode("ascii") + b"=" * (-len(text) % 4), altchars=b"-_", validate=True)
        if _check(raw[_CHECK:]) != raw[:_CHECK]:
            raise ValueError("damaged")
        return _decoder.decode(raw[_CHECK:])
    except (ValueError, binascii.Error, msgspec.DecodeError, RecursionError) as error:
        raise InvalidCursorError(f"no cursor: {' '.join(str(error).split())[:80]}") from None
