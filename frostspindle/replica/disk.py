"""A member's journal on disk: one append-only file of checksummed frames, replaced when a snapshot is taken.

Locks, reads and writes the file, and classifies one that was found: complete, torn at its end by a crash, corrupt
before its end, or missing. Calls block their thread. Nothing is reported durable before fsync has returned, and nothing
is repaired without being reported.

A frame is MAGIC, the length of its payload, its number, a checksum over number and payload, and the payload (msgpack of
the records). Frame n + 1 is written only after frame n was synced; so a bad frame with a good one of a higher number
behind it was corrupted after it was synced, while a bad one at the end is a write that was cut off, and nothing that
depended on it was ever sent. Limit: corruption of the very last synced frame looks like a torn write.
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
    """The condition in which the journal's file was found."""

    FRESH = "fresh"  # there is no file
    COMPLETE = "whole"
    TORN = "torn"  # the last write was cut off; its beginning is removed
    CORRUPT = "spoilt"  # something that was synced can't be read


class FolderLockedError(ReplicaError):
    """Another process holds the lock of this folder."""


class ParsedJournal(NamedTuple):
    """What the bytes of a journal were parsed to."""

    condition: JournalCondition
    records: list[Record]  # of the good frames
    end: int  # offset behind the last good frame
    next_number: int  # of the next frame to be written


class _Frame(NamedTuple):
    number: int
    payload: bytes
    end: int  # offset behind it


def encode_frame(number: int, payload: bytes) -> bytes:
    """Encode one frame: magic, length, number, checksum over number and payload, payload."""
    return _HEADER.pack(MAGIC, len(payload), number, _checksum(number, payload)) + payload


def _checksum(number: int, payload: bytes) -> bytes:
    return blake2b(number.to_bytes(8, "little") + payload, digest_size=16).digest()


def _frame_at(data: bytes, offset: int) -> _Frame | None:
    """Return the frame at an offset; None if it is cut off or its checksum is wrong."""
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

    A bad frame at the end is torn, unless it is the first; one with a good frame of a higher number behind it is
    spoilt. Records of a spoilt journal must not be used.
    """
    records: list[Record] = []
    offset = 0
    number = 0
    while offset < len(data):
        frame = _frame_at(data, offset)
        if frame is None or frame.number != number:
            if _has_later_frame(data, offset, number):
                return ParsedJournal(JournalCondition.CORRUPT, [], offset, number)
            # Frame 0 is put in place by a rename after its sync, so that a crash can't tear it.
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
    """Whether a good frame with a higher number begins behind an offset."""
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
        """Create the folder if need be and lock it; FolderLockedError if another process has it, OSError."""
        folder.mkdir(parents=True, exist_ok=True, mode=0o700)
        self.folder: Path = folder
        self.path: Path = folder / FILE_NAME
        self.broken: bool = False  # a write has failed
        self._file: int = -1  # descriptor; -1: not open
        self._next_number: int = 0
        self._lock: int = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(self._lock)
            raise FolderLockedError(str(folder)) from None

    def load(self) -> tuple[JournalCondition, list[Record]]:
        """Read the file, once, and return its condition and records; a torn end is cut off.

        A spoilt file, also one of over MAX_FILE_BYTES, is renamed to `.spoilt` for later inspection. OSError.
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

    def write(self, writing: PendingWrite) -> int:
        """Append the records, or replace the file with them, and sync; return the payload's bytes. Blocks its thread.

        After an OSError all further writes fail, as it is not known what was written until the file is read anew.
        """
        if self.broken:
            raise OSError("the journal failed before")
        payload = msgspec.msgpack.encode(writing.records)
        try:
            if writing.replaces_all or self._file < 0:
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
        self._file = handle
        self._next_number = 1

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
