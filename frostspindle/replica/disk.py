"""A member's journal on disk: one append-only file of checksummed frames, replaced whole when a snapshot is taken.

Owns the file, its lock, its frames, and what can be said of one that was found: whole, torn at its end by a crash,
spoilt before its end, or not there. It must never say that something is durable before fsync said so, and never mend
silently.

A frame is MAGIC, the length of its payload, its number, a checksum over number and payload, the payload (msgpack of
the records). Frame n + 1 is written only after frame n was synced; so a bad frame with a good one of a higher number
behind it was spoilt after it was synced, while a bad one at the end is a write that was cut off, and nothing that
depended on it was ever sent. What this can't tell: bytes of the very last synced frame that were spoilt later look
like a torn write.
"""

from __future__ import annotations

import fcntl
import os
import struct
from enum import StrEnum
from hashlib import blake2b
from pathlib import Path

import msgspec

from frostspindle.replica.journal import PendingWrite, Record
from frostspindle.store.records import sync_folder

MAGIC = b"FSLJ"
_HEAD = struct.Struct("<4sIQ16s")
MOST_FILE = 256 << 20
NAME = "journal"


class JournalCondition(StrEnum):
    """What the journal's file was found to be at its reading."""

    FRESH = "fresh"  # there is no file
    WHOLE = "whole"
    TORN = "torn"  # the last write was cut off; what it began is cut off here
    SPOILT = "spoilt"  # something that was synced can't be read


class FolderLockedError(Exception):
    """Another process holds the lock of this folder."""


def frame(number: int, payload: bytes) -> bytes:
    """Encode one frame: magic, length, number, checksum over number and payload, payload."""
    return _HEAD.pack(MAGIC, len(payload), number, _sum(number, payload)) + payload


def _sum(number: int, payload: bytes) -> bytes:
    return blake2b(number.to_bytes(8, "little") + payload, digest_size=16).digest()


def _frame_at(data: bytes, at: int) -> tuple[int, bytes, int] | None:
    """Number, payload and end of a good frame."""
    if at + _HEAD.size > len(data):
        return None
    magic, length, number, said = _HEAD.unpack_from(data, at)
    payload = data[at + _HEAD.size : at + _HEAD.size + length]
    if magic != MAGIC or len(payload) < length or _sum(number, payload) != said:
        return None
    return number, payload, at + _HEAD.size + length


def read(data: bytes) -> tuple[JournalCondition, list[Record], int, int]:
    """Parse a journal's bytes; return state, records of the good frames, where those end, and the next frame's number.

    A bad frame at the end is torn, unless it is the first; one with a good frame of a higher number behind it is
    spoilt.
    """
    records: list[Record] = []
    at = number = 0
    while at < len(data):
        found = _frame_at(data, at)
        if found is None or found[0] != number:
            later = at
            while (later := data.find(MAGIC, later + 1)) >= 0:
                other = _frame_at(data, later)
                if other is not None and other[0] > number:
                    return JournalCondition.SPOILT, [], at, number
            # Frame 0 comes with a rename, after its sync: nothing tears it.
            return (JournalCondition.TORN if number and found is None else JournalCondition.SPOILT), records, at, number
        try:
            records += [tuple(one) for one in msgspec.msgpack.decode(found[1], type=list[list])]
        except (msgspec.DecodeError, UnicodeDecodeError):
            return JournalCondition.SPOILT, [], at, number
        at, number = found[2], number + 1
    return (JournalCondition.WHOLE if number else JournalCondition.SPOILT), records, at, number


class JournalFile:
    """The journal's file, open and locked for one process."""

    def __init__(self, folder: Path) -> None:
        """Create the folder if need be and lock it; Held if another process has it, OSError."""
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        self.folder, self.path = folder, folder / NAME
        self._lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise FolderLockedError(str(folder)) from None
        self._file = -1
        self._number = 0
        self.broken = False

    def load(self) -> tuple[JournalCondition, list[Record]]:
        """Read the file, once, and return what it was and its records; a torn end is cut off.

        A spoilt file, also one of over MOST_FILE bytes, is renamed to `.spoilt` for later inspection. OSError.
        """
        try:
            data = self.path.read_bytes() if self.path.stat().st_size <= MOST_FILE else b""
        except FileNotFoundError:
            return JournalCondition.FRESH, []
        found, records, end, self._number = read(data)
        if found is JournalCondition.SPOILT:
            os.replace(self.path, self.path.with_suffix(".spoilt"))
            return found, []
        self._file = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        if found is JournalCondition.TORN:
            os.ftruncate(self._file, end)
            os.fsync(self._file)
        return found, records

    def write(self, writing: PendingWrite) -> int:
        """Append the records, or replace the file with them, and sync; return the payload's bytes. Blocks its thread.

        After an OSError all further writes fail: what was written may be there or not, until the file is read anew.
        """
        if self.broken:
            raise OSError("the journal failed before")
        payload = msgspec.msgpack.encode(writing.records)
        try:
            if writing.whole or self._file < 0:
                self._replace(frame(0, payload))
            else:
                self._append(self._file, frame(self._number, payload))
                os.fdatasync(self._file)
                self._number += 1
        except BaseException:
            self.broken = True
            raise
        return len(payload)

    def _replace(self, data: bytes) -> None:
        new = self.path.with_suffix(".new")
        handle = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)
        try:
            self._append(handle, data)
            os.fsync(handle)
            os.replace(new, self.path)
            sync_folder(self.folder)
        except BaseException:
            os.close(handle)
            raise
        if self._file >= 0:
            os.close(self._file)
        self._file, self._number = handle, 1

    @staticmethod
    def _append(handle: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def close(self) -> None:
        """Close the file and release the folder's lock; to be called once."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
        os.close(self._lock)
