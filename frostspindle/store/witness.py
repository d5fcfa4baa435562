"""The witness: a file that records the last served state of a store, so that an older one is detected."""

from __future__ import annotations

import errno
import os
from pathlib import Path

from frostspindle.store import records
from frostspindle.store.base import CorruptDataError
from frostspindle.store.opening_decision import KnownStore

SLOT_BYTES = 256
LENGTH_BYTES = 2  # of the length before a slot's record


class WitnessFile:
    """Two slots that are written alternately, so that a torn write leaves the earlier state readable."""

    def __init__(self, path: Path) -> None:
        self.path: Path = path
        self._handle: int | None = None
        self._next_slot: int = 0

    def read(self) -> KnownStore | None:
        """Return the latest recorded state, None if no slot is intact; OSError if the file can't be read."""
        try:
            data = records.read_bounded(self.path, 2 * SLOT_BYTES)
        except (FileNotFoundError, CorruptDataError):
            return None
        states: list[tuple[KnownStore, int]] = []
        for slot in (0, 1):
            try:
                states.append((_decode_slot(data[slot * SLOT_BYTES : (slot + 1) * SLOT_BYTES]), slot))
            except CorruptDataError:
                continue
        if not states:
            return None
        latest, slot = max(states, key=lambda item: (item[0].incarnation, item[0].generation))
        self._next_slot = 1 - slot
        return latest

    def write(self, known: KnownStore, sync: bool = False) -> None:
        """Write the state to the older slot, so that a torn write leaves the latest one intact.

        With `sync` it is durable on return. OSError if it can't be written, ENOSPC for a short write; the next write
        then uses the same slot.
        """
        if self._handle is None:
            self._handle = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        slot = _encode_slot(known)
        if os.pwrite(self._handle, slot, self._next_slot * SLOT_BYTES) != SLOT_BYTES:
            raise OSError(errno.ENOSPC, "a short write", str(self.path))
        self._next_slot = 1 - self._next_slot
        if sync:
            os.fsync(self._handle)

    def close(self) -> None:
        """Close the file if it was opened; closing twice is allowed."""
        if self._handle is not None:
            os.close(self._handle)
            self._handle = None


def _encode_slot(known: KnownStore) -> bytes:
    record = records.encode_known(known)
    return (len(record).to_bytes(LENGTH_BYTES, "big") + record).ljust(SLOT_BYTES, b"\0")


def _decode_slot(slot: bytes) -> KnownStore:
    length = int.from_bytes(slot[:LENGTH_BYTES], "big")
    return records.decode_known(slot[LENGTH_BYTES : LENGTH_BYTES + length])
