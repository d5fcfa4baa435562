"""Parses and validates the headers of a client's request.

Numbers must be plain decimals within their range, and texts have a maximum length. Error messages never repeat client
input. The fields are those of the platform's protocol, "Clients to coordinators".
"""

from __future__ import annotations

import hashlib
import math
import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

MAX_TIMEOUT_RATIO = 10.0  # maximum X-Timeout-Ms, as a multiple of the class's deadline
MAX_COST_MS = 3_600_000.0  # maximum X-Cost-Ms
MAX_TEXT_BYTES = 256  # of a key
# Headers that must not be repeated, as the values could contradict each other.
SINGLE_HEADERS = frozenset(
    (
        b"x-request-id",
        b"x-timeout-ms",
        b"x-cost-ms",
        b"x-memory",
        b"x-object",
        b"x-tenant",
        b"x-retry",
        b"idempotency-key",
    )
)
_ID = re.compile(rb"[0-9a-f]{16}\Z")
_DECIMAL = re.compile(rb"[0-9]{1,10}(?:\.[0-9]{0,9})?\Z")
_RETRY = re.compile(rb"[0-9]{1,3}\Z")
_TEXT = re.compile(rb"[\x21-\x7e]{1,%d}\Z" % MAX_TEXT_BYTES)

Fields = Mapping[bytes, bytes]  # by lower-case name


class CallRejectedError(Exception):
    """A client's call is rejected with an error status; its connection is closed."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class RequestFields(NamedTuple):
    """The fields of one request; times in ms, memory in MB; an estimate is 0 if missing."""

    ticket: str
    timeout_ms: float
    cost_ms: float
    memory_mb: float
    key: int  # number of its ordering key; 0 if none
    tenant: bytes | None  # name sent by the client
    retry: bool
    idempotency_key: str = ""  # for classes with such keys; engines detect repeated requests by it


def read_request(
    fields: Fields, cls: int, deadline_ms: float, max_memory_mb: float, in_order: bool, by_key: bool = False
) -> RequestFields:
    """Return the validated fields of a request; raise CallRejectedError (400) naming an invalid one."""
    ticket = fields.get(b"x-request-id", b"")
    if not _ID.match(ticket):
        raise CallRejectedError(400, "X-Request-Id: not 16 hex digits")
    retry = fields.get(b"x-retry", b"0")
    if not _RETRY.match(retry):
        raise CallRejectedError(400, "X-Retry: not a small number")
    return RequestFields(
        ticket.decode(),
        _decimal(fields, b"X-Timeout-Ms", MAX_TIMEOUT_RATIO * deadline_ms),
        _decimal(fields, b"X-Cost-Ms", MAX_COST_MS, False),
        _decimal(fields, b"X-Memory", max_memory_mb, False),
        ordering_key(fields) if in_order else 0,
        fields.get(b"x-tenant"),
        int(retry) > 0,
        (_text(fields, b"Idempotency-Key") or b"").decode() if by_key else "",
    )


def ordering_key(fields: Fields) -> int:
    """Return the number of a request's ordering key, 0 if it has none, in a class that keeps order."""
    key = _text(fields, b"X-Object")
    return 0 if key is None else key_number(key)


def key_number(key: bytes) -> int:
    """Return a number for a key, equal in all classes and processes; colliding keys only wait for each other."""
    return _number(b"key:%b" % key)


def class_key_numbers(fields: Fields, classes: Iterable[int]) -> tuple[int, ...]:
    """Return the numbers of a request's ordering key by which processes of earlier versions know it.

    They number the keys of each class that keeps order apart.
    """
    key = fields.get(b"x-object", b"")
    return tuple(class_key_number(cls, key) for cls in classes)


def class_key_number(cls: int, key: bytes) -> int:
    """Return the number of a class's key in earlier versions."""
    return _number(b"%d:%b" % (cls, key))


def _number(text: bytes) -> int:
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest()) >> 1 or 1


def _text(fields: Fields, header: bytes) -> bytes | None:
    text = fields.get(header.lower())
    if text is not None and not _TEXT.match(text):
        raise CallRejectedError(400, f"{header.decode()}: not of 1 to {MAX_TEXT_BYTES} plain characters")
    return text


def _decimal(fields: Fields, header: bytes, maximum: float, required: bool = True) -> float:
    """Return a header's plain decimal number; raise CallRejectedError if missing but required, or out of range."""
    text = fields.get(header.lower(), b"")
    if not text and not required:
        return 0.0
    value = float(text) if _DECIMAL.match(text) else math.nan
    if not 0.0 <= value <= maximum or (required and value <= 0):
        raise CallRejectedError(400, f"{header.decode()}: missing or not a usable figure")
    return value
