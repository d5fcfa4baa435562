"""The receiver of exported ledger periods, as a stand-in: it takes each period once, and from its latest owner only.

Owns what a sink must keep: by period the highest token that it has seen and the export that stands, both durable before
an export is acknowledged. It must never let a lower token overwrite or add anything, nor one export stand twice. How a
period is counted and closed is not its affair.
"""

from __future__ import annotations

from hashlib import blake2b
from typing import Protocol

MOST_PERIOD, TOKEN, DIGEST = 64, 8, 16


class StaleExportError(Exception):
    """The exporter's fencing token is too low: the lease has passed on, and its new owner has begun this period."""

    def __init__(self, period: str, token: int, highest: int) -> None:
        super().__init__(f"period {period}: token {token} is stale, {highest} was seen")
        self.period, self.token, self.highest = period, token, highest


class Kept(Protocol):
    """What the sink needs of a store (frostspindle/store): entries by key, and atomic batches."""

    def get(self, key: bytes) -> bytes | None:
        """Return the value stored for a key, or None."""

    def apply(self, changes: dict[bytes, bytes | None]) -> int:
        """Write all changes or none (None deletes a key); return the store's new generation."""


class Sink:
    """A sink of exports, fenced by token; `stale` counts the calls refused for a low token."""

    def __init__(self, store: Kept) -> None:
        self._store = store
        self.stale = 0

    def _kept(self, period: str) -> tuple[int, bytes]:
        """The highest token, and the digest of the export that stands; empty: none does."""
        if not 0 < len(period.encode()) <= MOST_PERIOD:
            raise ValueError(f"a period's name of 1 to {MOST_PERIOD} bytes")
        kept = self._store.get(b"export/" + period.encode()) or bytes(TOKEN)
        return int.from_bytes(kept[:TOKEN], "big"), kept[TOKEN:]

    def _check(self, period: str, token: int) -> bytes:
        highest, digest = self._kept(period)
        if not 0 < token < 1 << 63:
            raise ValueError(f"not a token: {token}")
        if token < highest:
            self.stale += 1
            raise StaleExportError(period, token, highest)
        return digest

    def begin(self, period: str, token: int) -> bool:
        """Record an owner's fencing token: lower ones are refused from now on. False: the period is exported already.

        Raises StaleExport if a higher token was seen, ValueError for a bad period or token.
        """
        digest = self._check(period, token)
        self._store.apply({b"export/" + period.encode(): token.to_bytes(TOKEN, "big") + digest})
        return not digest

    def take(self, period: str, token: int, rows: bytes) -> bool:
        """Store a whole export. False: the same one is stored already, as after a crash before that was recorded.

        Raises StaleExport if a higher token was seen, and ValueError for a bad period or token, or if another export of
        the period is stored: replacing one is a correction, which is not done here.
        """
        digest = self._check(period, token)
        fresh = blake2b(rows, digest_size=DIGEST).digest()
        if digest and digest != fresh:
            raise ValueError(f"period {period}: another export stands")
        self._store.apply(
            {b"export/" + period.encode(): token.to_bytes(TOKEN, "big") + fresh, b"rows/" + period.encode(): rows}
        )
        return not digest

    def rows(self, period: str) -> bytes | None:
        """Return the stored export of a period, or None."""
        return self._store.get(b"rows/" + period.encode())
