"""Messages about summaries between coordinators: msgspec structs in msgpack, each in one message of the fleet.

Defines the messages and their bounds, and how a load's rows are split into messages. Data that can't be decoded or is
out of its bounds raises InvalidPacketError before it is used.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.fleet.wire import MAX_MESSAGE_BYTES as MAX_MESSAGE_BYTES
from frostspindle.fleet.wire import InvalidPacketError as InvalidPacketError
from frostspindle.fleet.wire import decoder
from frostspindle.fleet.wire import encode as encode

PIECE_BYTES = 800  # of an encoded summary, in one message
MAX_PIECES = 1_024
MAX_CHUNKS = 64  # messages of one load's rows; with more, the rows are announced as unknown
CHUNK_BYTES = 700  # of values, in one of these messages

UnsignedInt = Annotated[int, Meta(ge=0, le=2**53)]
Key = Annotated[str, Meta(min_length=3, max_length=40)]
Cell = tuple[Annotated[int, Meta(ge=0, le=4)], Annotated[str, Meta(max_length=1_000)]]
Cells = Annotated[
    dict[Annotated[str, Meta(min_length=1, max_length=64)], Annotated[list[Cell], Meta(max_length=512)]],
    Meta(max_length=64),
]
ChunkIndex = Annotated[int, Meta(ge=0, lt=MAX_CHUNKS)]


class LeaseRequest(Struct, array_like=True, frozen=True, tag=0):
    """Request for a lease on a summary.

    The sender installs no version older than `floor`, and has version `have` (0: none).
    """

    key: Key
    catalogue_digest: UnsignedInt
    seq: UnsignedInt
    epoch: UnsignedInt  # of the home's process whose versions `floor` and `have` are
    floor: UnsignedInt
    have: UnsignedInt


class LeaseUnchanged(Struct, array_like=True, frozen=True, tag=1):
    """Response to LeaseRequest: the sender of the request has the newest version; its lease counts from the request."""

    key: Key
    seq: UnsignedInt
    version: UnsignedInt


class SummaryPiece(Struct, array_like=True, frozen=True, tag=2):
    """Response to LeaseRequest: one piece of the newest version.

    Once the holder has all pieces, its lease counts from the request.
    """

    key: Key
    seq: UnsignedInt
    version: UnsignedInt
    index: Annotated[int, Meta(ge=0, lt=MAX_PIECES)]
    count: Annotated[int, Meta(ge=1, le=MAX_PIECES)]
    data: Annotated[bytes, Meta(max_length=PIECE_BYTES)]


class SummaryUpdated(Struct, array_like=True, frozen=True, tag=3):
    """Notice that the summary has a new version.

    A holder of the previous version may add `cells`. Any other holder, and every one if `cells` is None, must drop its
    summary.
    """

    key: Key
    version: UnsignedInt
    rows: UnsignedInt
    cells: Cells | None


class UpdateAcknowledged(Struct, array_like=True, frozen=True, tag=4):
    """Acknowledgement that the sender uses no version of the home's process older than `version`."""

    key: Key
    epoch: UnsignedInt
    version: UnsignedInt


class LoadAnnounced(Struct, array_like=True, frozen=True, tag=5):
    """Intent of a load to insert these rows; `cells` None: the rows are not known."""

    key: Key
    catalogue_digest: UnsignedInt
    load: UnsignedInt  # number at the sender
    chunk: ChunkIndex
    rows: UnsignedInt
    cells: Cells | None


class LoadPermitted(Struct, array_like=True, frozen=True, tag=6):
    """Response to LoadAnnounced: no holder skips the site by a summary without these rows any more."""

    key: Key
    load: UnsignedInt
    chunk: ChunkIndex


class LoadEnded(Struct, array_like=True, frozen=True, tag=7):
    """Notice that a load has ended that was announced in `chunks` messages.

    If it `ran`, the home responds whether it still has all of them.
    """

    key: Key
    load: UnsignedInt
    chunks: Annotated[int, Meta(ge=1, le=MAX_CHUNKS)]
    ran: bool


class LoadRecorded(Struct, array_like=True, frozen=True, tag=8):
    """Response to LoadEnded: the home has the rows (`kept`), or the load has to be announced again."""

    key: Key
    load: UnsignedInt
    kept: bool


class ReleaseLease(Struct, array_like=True, frozen=True, tag=9):
    """Notice that the sender no longer uses the receiver's summary."""

    key: Key
    epoch: UnsignedInt


Message = (
    LeaseRequest
    | LeaseUnchanged
    | SummaryPiece
    | SummaryUpdated
    | UpdateAcknowledged
    | LoadAnnounced
    | LoadPermitted
    | LoadEnded
    | LoadRecorded
    | ReleaseLease
)
decode: Callable[[bytes], Message] = decoder(Message)


def chunks(cells: dict[str, list[tuple[int, str]]]) -> list[Cells] | None:
    """Split a load's values into the cells of several messages; None if more than MAX_CHUNKS are needed."""
    messages: list[Cells] = []
    bytes_left = 0
    for name, cell, size in _cells_with_size(cells):
        if not messages or size > bytes_left or len(messages[-1].get(name, ())) >= 512:
            if len(messages) == MAX_CHUNKS:
                return None
            messages.append({})
            bytes_left = CHUNK_BYTES
        messages[-1].setdefault(name, []).append(cell)
        bytes_left -= size
    return messages or [{}]


def _cells_with_size(cells: dict[str, list[tuple[int, str]]]) -> Iterator[tuple[str, tuple[int, str], int]]:
    for name, column_cells in cells.items():
        for cell in column_cells:
            yield name, cell, len(cell[1].encode()) + len(name) + 8
