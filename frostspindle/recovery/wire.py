"""Recovery's messages on a fleet channel: msgspec structs in msgpack, with a limit on every field.

Messages are encoded as arrays: field order and tags are part of the protocol, field names are not. Decoding raises
`InvalidPacketError` for malformed messages.
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
PAGE_BYTES = 820  # of rows in one page, so that the message stays below the fleet's MAX_MESSAGE_BYTES

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
    UNABLE = 4  # the store is broken or missing, so nothing can be recorded


class StoreState(Struct, array_like=True, frozen=True):
    """The last known state of a member's store."""

    id: Annotated[bytes, Meta(max_length=16)]
    incarnation: Count
    generation: Count

    @property
    def version(self) -> tuple[int, int]:
        """The order of states of one member's stores."""
        return self.incarnation, self.generation


class BanStatement(Struct, array_like=True, frozen=True):
    """A coordinator's statement that an operator bans an engine, or has lifted the ban."""

    origin: Name
    engine: Name
    banned: bool
    at_ms: Milliseconds  # Unix


class ListedEngine(Struct, array_like=True, frozen=True):
    """An entry of a coordinator's engine list."""

    name: Name
    address: ShortText
    zone: ShortText
    kind: ShortText
    cell: Annotated[int, Meta(ge=-(2**31), lt=2**31)]
    health: Annotated[int, Meta(ge=0, le=2)]
    weight: Annotated[float, Meta(ge=0, le=1e6)]
    started_ms: Milliseconds  # Unix; may be later than the start that the bus published
    published_start_ms: Milliseconds = (
        0.0  # Unix, from the bus: rights to a cold engine use it, as it is the same everywhere
    )
    start_confirmed: bool = True  # False: it refused the sender's connections, and may have restarted


class ReportRequest(Struct, array_like=True, frozen=True, tag=0):
    """Request for one page of the receiver's report.

    `own_store` is the state of the sender's store, which the receiver remembers.
    """

    seq: Count
    page: Annotated[int, Meta(ge=0, lt=MAX_PAGES)]
    own_store: StoreState | None


class ReportPage(Struct, array_like=True, frozen=True, tag=1):
    """One page of a coordinator's report. `digest` covers all pages.

    `settled`: the sender's own agreement has ended with a quorum; `store_lost`: the sender lost its store;
    `your_store`: the last state of the receiver's store that the sender knows.
    """

    seq: Count
    digest: Count
    page: Annotated[int, Meta(ge=0, lt=MAX_PAGES)]
    page_count: Annotated[int, Meta(ge=1, le=MAX_PAGES)]
    last_event: Count  # number of the last bus event that the engine list includes
    uptime_ms: Milliseconds
    settled: bool
    store_lost: bool
    your_store: StoreState | None
    own_store: StoreState | None
    engines: Annotated[list[ListedEngine], Meta(max_length=64)]
    bans: Annotated[list[BanStatement], Meta(max_length=64)]


class TicketClaim(Struct, array_like=True, frozen=True, tag=2):
    """Request to let only the sender run the load of this ticket."""

    ticket: TicketId
    nonce: Count


class TicketReply(Struct, array_like=True, frozen=True, tag=3):
    """A replica's answer to a TicketClaim, with the state of its own store."""

    ticket: TicketId
    nonce: Count
    status: TicketStatus
    own_store: StoreState | None


class TicketRelease(Struct, array_like=True, frozen=True, tag=4):
    """Notice that no part of the claimed load has run or will run; it is not answered."""

    ticket: TicketId
    nonce: Count


Message = ReportRequest | ReportPage | TicketClaim | TicketReply | TicketRelease
decode: Callable[[bytes], Message] = decoder(Message)
decode_ban = msgspec.msgpack.Decoder(BanStatement).decode
decode_store_state = msgspec.msgpack.Decoder(StoreState).decode
decode_listed_engine = msgspec.msgpack.Decoder(ListedEngine).decode
