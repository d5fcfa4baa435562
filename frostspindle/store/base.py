"""The common parts of all stores: interface, limits, errors, and the checksums that detect corrupt state.

No I/O. A batch is atomic, also over a power loss. `apply` of a durable store returns when the batch is durable; `sync`
also records it in the witness (see `witness`), whose failure is only logged. A store may be passed between threads, but
calls must not overlap, and a durable `apply` blocks its thread.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Protocol

SUM = 16  # bytes of a checksum; detects corruption, not forgery
Changes = Mapping[bytes, bytes | None]  # new value by key; None removes the entry


class StoreError(Exception):
    """Base of all store errors."""


class InvalidBatchError(StoreError):
    """A key, a value or the batch exceeds a limit; the state is unchanged."""


class StoreFullError(StoreError):
    """The batch exceeds a limit or the disk is full; the state is unchanged, and smaller batches may succeed."""


class StoreBrokenError(StoreError):
    """The store is unusable.

    A batch that was being applied took effect completely or not at all; the next opening shows which.
    """


class CorruptDataError(StoreError):
    """Data that was read fails its checksum, format or bounds check."""


@dataclass(slots=True, frozen=True)
class StoreLimits:
    """Bounds of a store, in bytes, except `entries` and `batch`, which count entries."""

    key: int = 200
    value: int = 64 << 10
    entries: int = 100_000
    total: int = 64 << 20  # of all keys and values
    batch: int = 4_096


class Store(Protocol):
    """A table of byte values by byte keys, changed by atomic batches."""

    durable: bool
    limits: StoreLimits

    @property
    def generation(self) -> int:
        """Number of batches applied since the store was created."""

    def get(self, key: bytes) -> bytes | None:
        """Return the entry's value, None if there is none."""

    def scan(self, prefix: bytes = b"") -> list[tuple[bytes, bytes]]:
        """Return all entries whose keys begin with `prefix`, in byte order, at the current generation."""

    def apply(self, changes: Changes) -> int:
        """Apply a batch and return its generation; durable on return if the store is.

        Raises InvalidBatchError, StoreFullError or StoreBrokenError.
        """

    def sync(self) -> None:
        """Return once all applied batches are durable and recorded in the witness; a witness failure is only logged.

        Does nothing in a volatile store.
        """

    def close(self) -> None:
        """Close the store; every later call except `close` raises StoreBrokenError."""


def entry_sum(key: bytes, value: bytes) -> int:
    """Return the checksum of one entry as an integer of SUM bytes.

    The key's length is part of the input, so that key and value bytes can't be shifted into each other.
    """
    return int.from_bytes(blake2b(len(key).to_bytes(4, "big") + key + value, digest_size=SUM).digest(), "big")


def seal(data: bytes) -> bytes:
    """Return `data` with its checksum of SUM bytes in front; see `unseal`."""
    return blake2b(data, digest_size=SUM).digest() + data


def unseal(data: bytes) -> bytes:
    """Return the data that `seal` was given; CorruptDataError if the checksum does not match."""
    if len(data) < SUM or blake2b(data[SUM:], digest_size=SUM).digest() != data[:SUM]:
        raise CorruptDataError("checksum mismatch")
    return data[SUM:]


def successor(prefix: bytes) -> bytes | None:
    """Return the first key after all keys with this prefix; None if there is none."""
    stem = prefix.rstrip(b"\xff")
    if not stem:
        return None
    return stem[:-1] + bytes([stem[-1] + 1])


@dataclass(slots=True, frozen=True)
class StoreDigest:
    """Number and bytes of the entries, and the sum of their checksums, which differs for a mixture of two states."""

    entries: int = 0
    size: int = 0
    digest: int = 0

    def add(self, key: bytes, value: bytes) -> StoreDigest:
        """Return the digest with one entry added."""
        return self._changed(key, value, 1)

    def remove(self, key: bytes, value: bytes) -> StoreDigest:
        """Return the digest with one entry removed."""
        return self._changed(key, value, -1)

    def _changed(self, key: bytes, value: bytes, sign: int) -> StoreDigest:
        return StoreDigest(
            self.entries + sign,
            self.size + sign * (len(key) + len(value)),
            (self.digest + sign * entry_sum(key, value)) % (1 << 8 * SUM),
        )

    def after(self, changes: Changes, old_value: Callable[[bytes], bytes | None], limits: StoreLimits) -> StoreDigest:
        """Return the digest after a batch, given a function that looks up old values.

        InvalidBatchError if a key, a value or the batch exceeds its limit, StoreFullError if the result exceeds the
        store's. A batch that increases neither the number of entries nor their bytes never raises StoreFullError.
        """
        if len(changes) > limits.batch:
            raise InvalidBatchError(f"{len(changes)} entries in a batch, at most {limits.batch}")
        result = self
        for key, value in changes.items():
            _check_entry(key, value, limits)
            previous = old_value(key)
            if previous is not None:
                result = result.remove(key, previous)
            if value is not None:
                result = result.add(key, value)
        # Shrinking batches are always accepted: otherwise a store over a lowered limit could never be emptied.
        if result.entries > max(limits.entries, self.entries):
            raise StoreFullError(f"{result.entries} entries, at most {limits.entries}")
        if result.size > max(limits.total, self.size):
            raise StoreFullError(f"{result.size} bytes, at most {limits.total}")
        return result


def _check_entry(key: bytes, value: bytes | None, limits: StoreLimits) -> None:
    if not isinstance(key, bytes) or not 0 < len(key) <= limits.key:
        raise InvalidBatchError(f"a key of 1 to {limits.key} bytes: {key!r:.80}")
    if value is not None and (not isinstance(value, bytes) or len(value) > limits.value):
        raise InvalidBatchError(f"the value of {key!r:.80}: at most {limits.value} bytes")
