"""The checksummed records of a durable store, and reading and writing of small files.

Encodes head and meta records, known states and the marker engine's batches. A record with a wrong checksum, format or
range raises CorruptDataError.
"""

from __future__ import annotations

import errno
import os
from pathlib import Path
from typing import Annotated, TypeVar

import msgspec
from msgspec import Meta as Range

from frostspindle.store.base import SUM, CorruptDataError, StoreDigest, seal, unseal
from frostspindle.store.opening_decision import HeadRecord, KnownStore, MetaRecord

Record = TypeVar("Record")

ID_BYTES = 16
NO_SPACE = {errno.ENOSPC, errno.EDQUOT, errno.EFBIG}
_Id = Annotated[bytes, Range(min_length=ID_BYTES, max_length=ID_BYTES)]
_NonNegativeInt = Annotated[int, Range(ge=0, le=2**53)]
_Name = Annotated[str, Range(max_length=64)]
_HEAD = msgspec.msgpack.Decoder(tuple[_NonNegativeInt, _Name, _Name, _Id, _NonNegativeInt, int])
_META = msgspec.msgpack.Decoder(
    tuple[
        _Id, _NonNegativeInt, _NonNegativeInt, _NonNegativeInt, Annotated[bytes, Range(min_length=SUM, max_length=SUM)]
    ]
)
_KNOWN = msgspec.msgpack.Decoder(tuple[_Name, _Id, _NonNegativeInt, _NonNegativeInt])
# Number of the staged file by key; None: removed.
_BATCH = msgspec.msgpack.Decoder(tuple[bytes, dict[bytes, int | None]])
_encode = msgspec.msgpack.encode


def _decode(decoder: msgspec.msgpack.Decoder[Record], data: bytes) -> Record:
    try:
        return decoder.decode(unseal(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CorruptDataError(f"malformed record: {error}") from None


def encode_head(head: HeadRecord) -> bytes:
    """Encode and seal a head record."""
    return seal(_encode((head.format, head.kind, head.owner, head.id, head.incarnation, head.inode)))


def decode_head(data: bytes) -> HeadRecord:
    """Decode a head record; CorruptDataError if its checksum, format or a range is wrong."""
    return HeadRecord(*_decode(_HEAD, data))


def encode_meta(meta: MetaRecord) -> bytes:
    """Encode and seal a meta record."""
    contents = meta.contents
    digest = contents.digest.to_bytes(SUM, "big")
    return seal(_encode((meta.id, meta.generation, contents.entries, contents.size, digest)))


def decode_meta(data: bytes) -> MetaRecord:
    """Decode a meta record; CorruptDataError if its checksum, format or a range is wrong."""
    store_id, generation, entries, size, digest = _decode(_META, data)
    return MetaRecord(store_id, generation, StoreDigest(entries, size, int.from_bytes(digest, "big")))


def encode_known(known: KnownStore) -> bytes:
    """Encode and seal a known state, as stored in the witness."""
    return seal(_encode((known.owner, known.id, known.incarnation, known.generation)))


def decode_known(data: bytes) -> KnownStore:
    """Decode a known state; CorruptDataError if its checksum, format or a range is wrong."""
    return KnownStore(*_decode(_KNOWN, data))


def encode_batch(meta: MetaRecord, moves: dict[bytes, int | None]) -> bytes:
    """Encode and seal a marker store's batch: the meta record after it, and the staged file's number by key (None:
    remove).
    """
    return seal(_encode((encode_meta(meta), moves)))


def decode_batch(data: bytes) -> tuple[MetaRecord, dict[bytes, int | None]]:
    """Decode a marker store's batch.

    CorruptDataError if its checksum, format or a range, or that of its meta record, is wrong.
    """
    meta, moves = _decode(_BATCH, data)
    return decode_meta(meta), moves


def sync_folder(folder: Path) -> None:
    """Make created, renamed and removed names in a folder durable."""
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def write_synced(path: Path, data: bytes) -> None:
    """Write a file with mode 0600 and sync it; OSError if it can't be written completely.

    Its name becomes durable with `sync_folder`.
    """
    handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        while data:
            data = data[os.write(handle, data) :]
        os.fsync(handle)
    finally:
        os.close(handle)


def read_bounded(path: Path, max_bytes: int) -> bytes:
    """Return a file's bytes.

    CorruptDataError if there are more than `max_bytes`, so that a corrupt file can't exhaust the memory.
    """
    with open(path, "rb") as file:
        data = file.read(max_bytes + 1)
    if len(data) > max_bytes:
        raise CorruptDataError(f"{path.name} is longer than {max_bytes} bytes")
    return data
