"""Receiver of exported ledger periods: it accepts each period once, and only from the latest lease holder.

Keeps in a durable store, by period, the highest fencing token seen and the export that was accepted, both written
before an export is acknowledged. A lower token never overwrites or adds anything, and no period is accepted twice. How
a period is counted and closed is decided elsewhere.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple, Protocol

MAX_PERIOD_BYTES = 64
TOKEN_BYTES = 8
DIGEST_BYTES = 16
MAX_TOKEN = (1 << 63) - 1


class StaleExportError(Exception):
    """The exporter's fencing token is too low: the lease has passed on, and its new holder has begun this period."""

    def __init__(self, period: str, token: int, highest: int) -> None:
        super().__init__(f"period {period}: token {token} is stale, {highest} was seen")
        self.period = period
        self.token = token
        self.highest = highest


class ExportStore(Protocol):
    """What the sink needs of a store (frostspindle/store): entries by key, and atomic batches."""

    def get(self, key: bytes) -> bytes | None:
        """Return the value stored for a key, or None."""

    def apply(self, changes: dict[bytes, bytes | None]) -> int:
        """Write all changes or none (None deletes a key); return the store's new generation."""


class _PeriodState(NamedTuple):
    """What is stored of a period: the highest token, and the digest of the accepted export, empty if there is none."""

    highest_token: int
    digest: bytes


def _state_key(period: str) -> bytes:
    return b"export/" + period.encode()


def _rows_key(period: str) -> bytes:
    return b"rows/" + period.encode()


def _encode_state(token: int, digest: bytes) -> bytes:
    return token.to_bytes(TOKEN_BYTES, "big") + digest


class ExportSink:
    """A sink of exports, fenced by token; `stale` counts the calls rejected for a low token."""

    def __init__(self, store: ExportStore) -> None:
        self._store = store
        self.stale = 0

    def _read_state(self, period: str) -> _PeriodState:
        if not 0 < len(period.encode()) <= MAX_PERIOD_BYTES:
            raise ValueError(f"a period's name of 1 to {MAX_PERIOD_BYTES} bytes")
        stored = self._store.get(_state_key(period)) or bytes(TOKEN_BYTES)
        return _PeriodState(int.from_bytes(stored[:TOKEN_BYTES], "big"), stored[TOKEN_BYTES:])

    def _check_token(self, period: str, token: int) -> bytes:
        """Return the digest of the accepted export; raises as `begin`."""
        state = self._read_state(period)
        if not 0 < token <= MAX_TOKEN:
            raise ValueError(f"not a token: {token}")
        if token < state.highest_token:
            self.stale += 1
            raise StaleExportError(period, token, state.highest_token)
        return state.digest

    def begin(self, period: str, token: int) -> bool:
        """Record a lease holder's fencing token: lower ones are rejected from now on.

        Returns False if the period is exported already. Raises StaleExportError if a higher token was seen, ValueError
        for a bad period or token.
        """
        digest = self._check_token(period, token)
        self._store.apply({_state_key(period): _encode_state(token, digest)})
        return not digest

    def take(self, period: str, token: int, rows: bytes) -> bool:
        """Store a whole export; return False if the same one is stored already, as after a crash before its record.

        Raises StaleExportError if a higher token was seen, and ValueError for a bad period or token, or if another
        export of the period is stored: replacing one would be a correction, which is not supported.
        """
        stored_digest = self._check_token(period, token)
        digest = blake2b(rows, digest_size=DIGEST_BYTES).digest()
        if stored_digest and stored_digest != digest:
            raise ValueError(f"period {period}: another export stands")
        self._store.apply({_state_key(period): _encode_state(token, digest), _rows_key(period): rows})
        return not stored_digest

    def rows(self, period: str) -> bytes | None:
        """Return the stored export of a period, or None."""
        return self._store.get(_rows_key(period))
