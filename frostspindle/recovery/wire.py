"""Recovery's messages, carried by the fleet: msgspec structs in msgpack, bounded in every part.

Holds no state. Messages are arrays, so the order of the fields and the tags are fixed and the names are not.
`InvalidPacketError` is raised for whatever can't be decoded.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from frostspindle.fleet.wire import InvalidPacketError as InvalidPacketError
from frostspindle.fleet.wire import decoder
from frostspindle.fleet.wire import encode as encode

CHANNEL = 1
MAX_PAGES = 512
PAGE_BYTES = 820  # of rows in one page; with the rest it stays below the fleet's MAX_MESSAGE_BYTES

Count = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
ShortText = Annotated[str, Meta(max_length=64)]
Milliseconds = Annotated[float, Meta(ge=0, le=1e15)]
TicketId = Annotated[bytes, Meta(min_length=16, max_length=16)]


class TicketStatus(IntEnum):
    """A replica's answer to a claim."""

    GRANTED = 0
    TAKEN = 1  # by another claim
    IN_COOLDOWN = 2
    FULL = 3
    UNABLE = 4  # the store is broken or missing


class StoreState(Struct, array_like=True, frozen=True):
    """The last known state of a member's store."""

    id: Annotated[bytes, Meta(max_length=16)]
    incarnation: Count
    generation: Count

    @property
    def version(self) -> tuple[int, int]:
        """What orders two states of one member's stores."""
        return self.incarnation, self.generation


class BanStatement(Struct, array_like=True, frozen=True):
    """A coordinator's statement that staff bans an engine, or no longer does."""

    origin: Name
    engine: Name
    banned: bool
    at_ms: Milliseconds  # Unix


class ListedEngine(Struct, array_like=True, frozen=True):
    """An engine of the endpoint list, as a coordinator believes it."""

    name: Name
    address: ShortText
    zone: ShortText
    kind: ShortText
    cell: Annotated[int, Meta(ge=-(2**31), lt=2**31)]
    health: Annotated[int, Meta(ge=0, le=2)]
    weight: Annotated[float, Meta(ge=0, le=1e6)]
    started_ms: Milliseconds  # Unix; may be later than the bus has published
    published_start_ms: Milliseconds = 0.0  # Unix, by the bus: rights to a cold engine go by this, the same everywhere
    start_confirmed: bool = True  # False: the sender has seen it refuse connections, and none accepted since


class ReportRequest(Struct, array_like=True, frozen=True, tag=0):
    """Request for one page of the receiver's report.

    `own_store` is the state of the sender's own store, for the receiver to remember.
    """

    seq: Count
    page: Annotated[int, Meta(ge=0, lt=MAX_PAGES)]
    own_store: StoreState | None


class ReportPage(Struct, array_like=True, frozen=True, tag=1):
    """One page of a coordinator's report. `digest` is of all pages together.

    `settled`: the sender is past its own agreement; `store_lost`: it lost its store; `your_store`: what it knows of the
    receiver's store.
    """

    seq: Count
    digest: Count
    page: Annotated[int, Meta(ge=0, lt=MAX_PAGES)]
    page_count: Annotated[int, Meta(ge=1, le=MAX_PAGES)]
    last_event: Count  # of the bus that the engine list includes
    uptime_ms: Milliseconds
    settled: bool
    store_lost: bool
    your_store: StoreState | None
    own_store: StoreState | None
    engines: Annotated[list[ListedEngine], Meta(max_length=64)]
    bans: Annotated[list[BanStatement], Meta(max_length=64)]


class TicketClaim(Struct, array_like=True, frozen=True, tag=2):
    """Request to let the sender, and nobody else, run the load of this ticket."""

    ticket: TicketId
    nonce: Count


class TicketReply(Struct, array_like=True, frozen=True, tag=3):
    """A replica's answer to a TicketClaim, with the state of its own store."""

    ticket: TicketId
    nonce: Count
    status: TicketStatus
    own_store: StoreState | None


class TicketRelease(Struct, array_like=True, frozen=True, tag=4):
    """Notice that nothing of this claim was run or ever will be; not answered."""

    ticket: TicketId
    nonce: Count


Message = ReportRequest | ReportPage | TicketClaim | TicketReply | TicketRelease
decode: Callable[[bytes], Message] = decoder(Message)
decode_ban = msgspec.msgpack.Decoder(BanStatement).decode
decode_store_state = msgspec.msgpack.Decoder(StoreState).decode
decode_listed_engine = msgspec.msgpack.Decoder(ListedEngine).decode
