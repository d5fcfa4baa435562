"""Receiver of exported ledger periods: it accepts each period once, and only from the latest lease holder.

For each period, a durable store holds the highest fencing token seen and the accepted export. Both are written before
an export is acknowledged. Calls with a lower token are rejected, and no period is accepted twice. How a period is
counted and closed is decided elsewhere.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple, Protocol

MAX_PERIOD_BYTES = 64
TOKEN_BYTES = 8
DIGEST_BYTES = 16
MAX_TOKEN = (1 << 63) - 1


class StaleExportError(Exception):
    """The exporter's fencing token is stale: a later lease holder has already started to export this period."""

    def __init__(self, period: str, token: int, highest: int) -> None:
        super().__init__(f"period {period}: token {token} is stale, {highest} was seen")
        self.period = period
        self.token = token
        self.highest = highest


class ExportStore(Protocol):
    """The part of a store (frostspindle/store) that the sink uses: entries by key, and atomic batches."""

    def get(self, key: bytes) -> bytes | None:
        """Return the value stored for a key, or None."""

    def apply(self, changes: dict[bytes, bytes | None]) -> int:
        """Write all changes atomically (None deletes a key); return the store's new generation."""


class _PeriodState(NamedTuple):
    """Stored state of a period: the highest token, and the digest of the accepted export, empty if there is none."""

    highest_token: int
    digest: bytes


def _state_key(period: str) -> bytes:
    return b"export/" + period.encode()


def _rows_key(period: str) -> bytes:
    return b"rows/" + period.encode()


def _encode_state(token: int, digest: bytes) -> bytes:
    return token.to_bytes(TOKEN_BYTES, "big") + digest


class ExportSink:
    """Stores exports, fenced by token; `stale` counts the calls that were rejected for a stale token."""

    def __init__(self, store: ExportStore) -> None:
        self._store = store
        self.stale = 0

    def _read_state(self, period: str) -> _PeriodState:
        if not 0 < len(period.encode()) <= MAX_PERIOD_BYTES:
            raise ValueError(f"the period's name must have 1 to {MAX_PERIOD_BYTES} bytes")
        stored = self._store.get(_state_key(period)) or bytes(TOKEN_BYTES)
        return _PeriodState(int.from_bytes(stored[:TOKEN_BYTES], "big"), stored[TOKEN_BYTES:])

    def _check_token(self, period: str, token: int) -> bytes:
        """Return the digest of the accepted export. Raise the same errors as `begin`."""
        state = self._read_state(period)
        if not 0 < token <= MAX_TOKEN:
            raise ValueError(f"period {period}: token {token} is not between 1 and {MAX_TOKEN}")
        if token < state.highest_token:
            self.stale += 1
            raise StaleExportError(period, token, state.highest_token)
        return state.digest

    def begin(self, period: str, token: int) -> bool:
        """Record a lease holder's fencing token; lower tokens are rejected from now on.

        Return False if the period has already been exported. Raise StaleExportError if a higher token was seen,
        ValueError for an invalid period or token.
        """
        digest = self._check_token(period, token)
        self._store.apply({_state_key(period): _encode_state(token, digest)})
        return not digest

    def take(self, period: str, token: int, rows: bytes) -> bool:
        """Store a complete export; return False if the same export is already stored.

        The exporter repeats an export if it crashed before it recorded its success. Raise StaleExportError if a higher
        token was seen, and ValueError for an invalid period or token, or if a different export of the period is stored:
        replacing one would be a correction, which is not supported.
        """
        stored_digest = self._check_token(period, token)
        digest = blake2b(rows, digest_size=DIGEST_BYTES).digest()
        if stored_digest and stored_digest != digest:
            raise ValueError(f"period {period}: a different export is already stored")
        self._store.apply({_state_key(period): _encode_state(token, digest), _rows_key(period): rows})
        return not stored_digest

    def rows(self, period: str) -> bytes | None:
        """Return the stored export of a period, or None."""
        return self._store.get(_rows_key(period))
