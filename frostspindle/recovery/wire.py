"""Recovery's messages, carried by the fleet: msgspec structs in msgpack, bounded in every part.

Owns their form. It must never hold state; whatever can't be decoded is an error here.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from frostspindle.fleet.wire import InvalidPacketError as InvalidPacketError
from frostspindle.fleet.wire import decoder
from frostspindle.fleet.wire import encode as encode

CHANNEL = 1
MOST_PAGES = 512
ROOM = 820  # bytes of rows in one page; with the rest it stays below the fleet's MAX_MESSAGE_BYTES
GRANTED, TAKEN, RESTS, FULL, UNABLE = range(5)

Whole = Annotated[int, Meta(ge=0, le=2**63 - 1)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]
Word = Annotated[str, Meta(max_length=64)]
Ms = Annotated[float, Meta(ge=0, le=1e15)]
Ticket = Annotated[bytes, Meta(min_length=16, max_length=16)]


class StoreState(Struct, array_like=True, frozen=True):
    """The last known state of a member's store."""

    id: Annotated[bytes, Meta(max_length=16)]
    life: Whole
    generation: Whole


class BanStatement(Struct, array_like=True, frozen=True):
    """A coordinator's statement that staff bans an engine, or no longer does."""

    maker: Name
    engine: Name
    on: bool
    at_ms: Ms


class ListedEngine(Struct, array_like=True, frozen=True):
    """An engine as the bus listed it."""

    name: Name
    dial: Word
    site: Word
    kind: Word
    block: Annotated[int, Meta(ge=-(2**31), lt=2**31)]
    health: Annotated[int, Meta(ge=0, le=2)]
    share: Annotated[float, Meta(ge=0, le=1e6)]
    born_ms: Ms  # as it is believed: an engine may be taken for started later than the bus has told
    told_ms: Ms = 0.0  # as the bus has it: rights to a cold engine go by this, the same at all
    ran: bool = True  # False: the teller has seen it refuse connections, and none accepted since


class ReportRequest(Struct, array_like=True, frozen=True, tag=0):
    """Request for one page of what the receiver holds.

    `mine` is the state of the sender's own store, for the receiver to remember.
    """

    seq: Whole
    page: Annotated[int, Meta(ge=0, lt=MOST_PAGES)]
    mine: StoreState | None


class ReportPage(Struct, array_like=True, frozen=True, tag=1):
    """One page of what a coordinator holds. `digest` is of all pages together; `number` of the engine list.

    `firm`: the sender is past its own agreement; `blank`: its store was lost; `yours`: what it knows of the receiver's
    store; `mine`: of its own; `up_ms`: how long it has run.
    """

    seq: Whole
    digest: Whole
    page: Annotated[int, Meta(ge=0, lt=MOST_PAGES)]
    pages: Annotated[int, Meta(ge=1, le=MOST_PAGES)]
    number: Whole
    up_ms: Ms
    firm: bool
    blank: bool
    yours: StoreState | None
    mine: StoreState | None
    engines: Annotated[list[ListedEngine], Meta(max_length=64)]
    bans: Annotated[list[BanStatement], Meta(max_length=64)]


class TicketClaim(Struct, array_like=True, frozen=True, tag=2):
    """Request to let the sender, and nobody else, run the load of this ticket."""

    ticket: Ticket
    nonce: Whole


class TicketReply(Struct, array_like=True, frozen=True, tag=3):
    """A home's answer to a Claim: GRANTED, TAKEN (by another), RESTS, FULL or UNABLE.

    `mine` is the state of its own store.
    """

    ticket: Ticket
    nonce: Whole
    how: Annotated[int, Meta(ge=GRANTED, le=UNABLE)]
    mine: StoreState | None


class TicketRelease(Struct, array_like=True, frozen=True, tag=4):
    """Notice that nothing of this claim was run or ever will be; not answered."""

    ticket: Ticket
    nonce: Whole


Message = ReportRequest | ReportPage | TicketClaim | TicketReply | TicketRelease
decode: Callable[[bytes], Message] = decoder(Message)
decode_ban = msgspec.msgpack.Decoder(BanStatement).decode
decode_known = msgspec.msgpack.Decoder(StoreState).decode
decode_listed = msgspec.msgpack.Decoder(ListedEngine).decode
