"""What coordinators tell each other of summaries: msgspec structs in msgpack, each in one message of the fleet's.

Owns the form of every message and the bounds on its parts, and how a load's rows are cut into messages. It must never
hold state; what can't be decoded or is out of its range is a InvalidPacketError here, before anything is made of it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.fleet.wire import MAX_MESSAGE_BYTES as MAX_MESSAGE_BYTES
from frostspindle.fleet.wire import InvalidPacketError as InvalidPacketError
from frostspindle.fleet.wire import decoder
from frostspindle.fleet.wire import encode as encode

PIECE = 800  # bytes of a summary in one message
MOST_PIECES = 1_024
MOST_CHUNKS = 64  # messages that one load's rows may take; beyond, nobody knows what it brings
ROOM = 700  # bytes of values in one of them

Whole = Annotated[int, Meta(ge=0, le=2**53)]
Key = Annotated[str, Meta(min_length=3, max_length=40)]
Cell = tuple[Annotated[int, Meta(ge=0, le=4)], Annotated[str, Meta(max_length=1_000)]]
Cells = Annotated[
    dict[Annotated[str, Meta(min_length=1, max_length=64)], Annotated[list[Cell], Meta(max_length=512)]],
    Meta(max_length=64),
]
Chunk = Annotated[int, Meta(ge=0, lt=MOST_CHUNKS)]


class LeaseRequest(Struct, array_like=True, frozen=True, tag=0):
    """Request for a lease on a summary.

    The sender installs nothing older than `floor`, and has version `have` (0: none).
    """

    key: Key
    catalogue_digest: Whole  # a digest of the catalogue
    seq: Whole
    epoch: Whole  # of the home's process that `floor` and `have` are of
    floor: Whole
    have: Whole


class LeaseUnchanged(Struct, array_like=True, frozen=True, tag=1):
    """Answer to a Hold: the holder's summary is the newest, and its lease counts from when it asked."""

    key: Key
    seq: Whole
    version: Whole


class SummaryPiece(Struct, array_like=True, frozen=True, tag=2):
    """Answer to a Hold: one piece of the newest summary.

    With all pieces the lease counts from when the holder asked.
    """

    key: Key
    seq: Whole
    version: Whole
    at: Annotated[int, Meta(ge=0, lt=MOST_PIECES)]
    of: Annotated[int, Meta(ge=1, le=MOST_PIECES)]
    data: Annotated[bytes, Meta(max_length=PIECE)]


class SummaryUpdated(Struct, array_like=True, frozen=True, tag=3):
    """Notice that the summary has become `version`.

    A holder of the version before it may add `cells`; any other, or without cells, must drop its summary.
    """

    key: Key
    version: Whole
    rows: Whole
    cells: Cells | None


class UpdateAcknowledged(Struct, array_like=True, frozen=True, tag=4):
    """Acknowledgement: the sender uses no version older than `version` of the home's process any more."""

    key: Key
    epoch: Whole
    version: Whole


class LoadAnnounced(Struct, array_like=True, frozen=True, tag=5):
    """Intent of a load: it is about to insert these rows; `cells` None: any rows."""

    key: Key
    catalogue_digest: Whole
    load: Whole  # the sender's number of it
    chunk: Chunk
    rows: Whole
    cells: Cells | None


class LoadPermitted(Struct, array_like=True, frozen=True, tag=6):
    """Answer to a Widen: nobody leaves the site out by a summary without those rows any more."""

    key: Key
    load: Whole
    chunk: Chunk


class LoadEnded(Struct, array_like=True, frozen=True, tag=7):
    """Notice that the load has ended, `chunks` messages having told of it.

    If it ran, asks whether all of that is still known.
    """

    key: Key
    load: Whole
    chunks: Annotated[int, Meta(ge=1, le=MOST_CHUNKS)]
    ran: bool


class LoadRecorded(Struct, array_like=True, frozen=True, tag=8):
    """Answer to a Done: the rows are known (`kept`), or the home's process has forgotten them and must be told anew."""

    key: Key
    load: Whole
    kept: bool


class ReleaseLease(Struct, array_like=True, frozen=True, tag=9):
    """Notice that the sender uses the receiver's summary no more."""

    key: Key
    epoch: Whole


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
    """Split a load's values into as many messages as they need; None if these are more than MOST_CHUNKS."""
    out: list[Cells] = []
    room = 0
    for name, cell, size in _sized(cells):
        if not out or size > room or len(out[-1].get(name, ())) >= 512:
            if len(out) == MOST_CHUNKS:
                return None
            out.append({})
            room = ROOM
        out[-1].setdefault(name, []).append(cell)
        room -= size
    return out or [{}]


def _sized(cells: dict[str, list[tuple[int, str]]]) -> Iterator[tuple[str, tuple[int, str], int]]:
    for name, held in cells.items():
        for cell in held:
            yield name, cell, len(cell[1].encode()) + len(name) + 8
