"""A member's journal on disk: one append-only file of checksummed frames, replaced when a snapshot is taken.

Locks, reads and writes the file, and classifies an existing one: complete, torn at its end by a crash, corrupt before
its end, or missing. Calls block their thread. Data is reported durable only after fsync has returned, and every repair
is reported.

A frame has MAGIC, the length of its payload, its number, a checksum over number and payload, and the payload (msgpack
of the records). Frame n + 1 is written only after frame n was synced. So a bad frame that is followed by a valid one
with a higher number was corrupted after its sync, while a bad frame at the end is an incomplete write on which no
message that was sent depends. Limit: corruption of the last synced frame can't be distinguished from a torn write.
"""

from __future__ import annotations

import fcntl
import os
import struct
from enum import StrEnum
from hashlib import blake2b
from pathlib import Path
from typing import NamedTuple

import msgspec

from frostspindle.replica.base import ReplicaError
from frostspindle.replica.journal import PendingWrite, Record
from frostspindle.store.records import sync_folder

MAGIC = b"FSLJ"
_HEADER = struct.Struct("<4sIQ16s")
MAX_FILE_BYTES = 256 << 20
FILE_NAME = "journal"


class JournalCondition(StrEnum):
    """The condition of the journal's file when it is opened."""

    FRESH = "fresh"  # the file does not exist
    COMPLETE = "whole"
    TORN = "torn"  # the last write is incomplete; it is truncated
    CORRUPT = "spoilt"  # synced data can't be read


class FolderLockedError(ReplicaError):
    """Another process has locked this folder."""


class ParsedJournal(NamedTuple):
    """The result of parsing the bytes of a journal."""

    condition: JournalCondition
    records: list[Record]  # of the valid frames
    end: int  # offset after the last valid frame
    next_number: int  # number of the next frame to be written


class _Frame(NamedTuple):
    number: int
    payload: bytes
    end: int  # offset after the frame


def encode_frame(number: int, payload: bytes) -> bytes:
    """Encode one frame: magic, length, number, checksum over number and payload, payload."""
    return _HEADER.pack(MAGIC, len(payload), number, _checksum(number, payload)) + payload


def _checksum(number: int, payload: bytes) -> bytes:
    return blake2b(number.to_bytes(8, "little") + payload, digest_size=16).digest()


def _frame_at(data: bytes, offset: int) -> _Frame | None:
    """Return the frame at an offset, or None if it is incomplete or its checksum is wrong."""
    payload_start = offset + _HEADER.size
    if payload_start > len(data):
        return None
    magic, length, number, checksum = _HEADER.unpack_from(data, offset)
    payload = data[payload_start : payload_start + length]
    if magic != MAGIC or len(payload) < length or _checksum(number, payload) != checksum:
        return None
    return _Frame(number, payload, payload_start + length)


def parse_journal(data: bytes) -> ParsedJournal:
    """Parse a journal's bytes.

    A bad frame at the end is torn, unless it is the first; one followed by a valid frame with a higher number is
    corrupt. Records of a corrupt journal must not be used.
    """
    records: list[Record] = []
    offset = 0
    number = 0
    while offset < len(data):
        frame = _frame_at(data, offset)
        if frame is None or frame.number != number:
            if _has_later_frame(data, offset, number):
                return ParsedJournal(JournalCondition.CORRUPT, [], offset, number)
            # Frame 0 is renamed into place after its sync, so a crash can't tear it.
            is_torn = number > 0 and frame is None
            condition = JournalCondition.TORN if is_torn else JournalCondition.CORRUPT
            return ParsedJournal(condition, records, offset, number)
        try:
            decoded = msgspec.msgpack.decode(frame.payload, type=list[list])
        except (msgspec.DecodeError, UnicodeDecodeError):
            return ParsedJournal(JournalCondition.CORRUPT, [], offset, number)
        records += [tuple(record) for record in decoded]
        offset = frame.end
        number += 1
    condition = JournalCondition.COMPLETE if number else JournalCondition.CORRUPT
    return ParsedJournal(condition, records, offset, number)


def _has_later_frame(data: bytes, offset: int, number: int) -> bool:
    """Whether a valid frame with a higher number begins after an offset."""
    later = data.find(MAGIC, offset + 1)
    while later >= 0:
        frame = _frame_at(data, later)
        if frame is not None and frame.number > number:
            return True
        later = data.find(MAGIC, later + 1)
    return False


class JournalFile:
    """The journal's file, open and locked for one process."""

    def __init__(self, folder: Path) -> None:
        """Create the folder if it is missing and lock it. Raise FolderLockedError if another process has the lock,
        OSError."""
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        self.folder: Path = folder
        self.path: Path = folder / FILE_NAME
        self.broken: bool = False  # a write failed
        self._file: int = -1  # descriptor; -1 if not open
        self._next_number: int = 0
        self._lock: int = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise FolderLockedError(str(folder)) from None

    def load(self) -> tuple[JournalCondition, list[Record]]:
        """Read the file and return its condition and records; to be called once. A torn end is truncated.

        A corrupt file, or one over MAX_FILE_BYTES, is renamed to `.spoilt` for later inspection. Raise OSError.
        """
        try:
            data = self.path.read_bytes() if self.path.stat().st_size <= MAX_FILE_BYTES else b""
        except FileNotFoundError:
            return JournalCondition.FRESH, []
        parsed = parse_journal(data)
        self._next_number = parsed.next_number
        if parsed.condition is JournalCondition.CORRUPT:
            os.replace(self.path, self.path.with_suffix(".spoilt"))
            return parsed.condition, []
        self._file = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        if parsed.condition is JournalCondition.TORN:
            os.ftruncate(self._file, parsed.end)
            os.fsync(self._file)
        return parsed.condition, parsed.records

    def write(self, pending_write: PendingWrite) -> int:
        """Append the records, or replace the file with them, and sync; return the payload's size in bytes.

        After an OSError all further writes fail, as it is unknown what was written until the file is read again.
        """
        if self.broken:
            raise OSError("an earlier write of the journal failed")
        payload = msgspec.msgpack.encode(pending_write.records)
        try:
            if pending_write.replaces_all or self._file < 0:
                self._replace(encode_frame(0, payload))
            else:
                self._append(self._file, encode_frame(self._next_number, payload))
                os.fdatasync(self._file)
                self._next_number += 1
        except BaseException:
            self.broken = True
            raise
        return len(payload)

    def _replace(self, data: bytes) -> None:
        new_path = self.path.with_suffix(".new")
        descriptor = os.open(new_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)
        try:
            self._append(descriptor, data)
            os.fsync(descriptor)
            os.replace(new_path, self.path)
            sync_folder(self.folder)
        except BaseException:
            os.close(descriptor)
            raise
        if self._file >= 0:
            os.close(self._file)
        self._file = descriptor
        self._next_number = 1

    @staticmethod
    def _append(descriptor: int, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]

    def close(self) -> None:
        """Close the file and unlock the folder; to be called once."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
        os.close(self._lock)
