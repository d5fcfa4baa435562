"""The messages of subscriptions between coordinators: msgspec structs in msgpack, each within one parcel of the fleet.

Owns the form of every message and the bounds on its parts. It must never hold state, and whatever can't be decoded or
has a value out of its range is an error here, before anything is made of it.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.fleet.wire import MAX_MESSAGE_BYTES as MAX_MESSAGE_BYTES
from frostspindle.fleet.wire import InvalidPacketError, decoder, encode
from frostspindle.subscriptions.schema import MAX_TEXT_CHARS, NAMES, Event, fits

MAX_FILTERS, MAX_FILTERS_BYTES = 24, 800  # of what a coordinator's subscribers want, its texts together
MAX_EVENTS_BYTES = 860  # of the events of one message
HEAD = -1  # as a position: from what is the last now

NonNegativeInt = Annotated[int, Meta(ge=0, le=2**53)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARS)]
Number = Annotated[int, Meta(ge=-(2**53), le=2**53)]


class PublishedEvent(Struct, array_like=True, frozen=True):
    """An event in a message, with the number that its maker gave it."""

    number: NonNegativeInt
    kind: Annotated[int, Meta(ge=0, lt=len(NAMES))]
    at_ms: NonNegativeInt
    values: Annotated[tuple[Text | Number | None, ...], Meta(max_length=8)]

    @property
    def event(self) -> Event:
        """The event without its number."""
        return Event(self.kind, self.at_ms, self.values)


class StreamRequest(Struct, array_like=True, frozen=True, tag=0):
    """Ask a maker to send, as stream `sid`, whatever one of these filters matches, after `after` (HEAD: from now on).

    Replaces what an earlier version of the stream wanted. `epoch` is the maker's process that `after` is of; 0: any.
    """

    sid: NonNegativeInt
    version: NonNegativeInt
    epoch: NonNegativeInt
    after: Annotated[int, Meta(ge=HEAD, le=2**53)]
    filters: Annotated[tuple[Annotated[str, Meta(max_length=MAX_FILTERS_BYTES)], ...], Meta(max_length=MAX_FILTERS)]


class EventBatch(Struct, array_like=True, frozen=True, tag=1):
    """The wanted events of the maker's numbers over `after` up to `upto`; `lost`: it is not known which there were."""

    receiver_epoch: NonNegativeInt  # the receiver's process that it is for
    sid: NonNegativeInt
    version: NonNegativeInt
    start: bool  # the stream begins at `after`
    after: NonNegativeInt
    through: NonNegativeInt
    heartbeat_ms: Annotated[int, Meta(ge=1, le=10_000_000)] = 500  # ms until the next, without news
    lost: bool = False
    events: Annotated[tuple[PublishedEvent, ...], Meta(max_length=128)] = ()


class EventAck(Struct, array_like=True, frozen=True, tag=2):
    """Acknowledges all numbers up to `upto`."""

    sid: NonNegativeInt
    version: NonNegativeInt
    through: NonNegativeInt


class StreamStop(Struct, array_like=True, frozen=True, tag=3):
    """Ends a stream."""

    sid: NonNegativeInt
    version: NonNegativeInt


class UnknownStream(Struct, array_like=True, frozen=True, tag=4):
    """Says that this process has no such stream: it must be wanted anew."""

    sid: NonNegativeInt
    version: NonNegativeInt


Message = StreamRequest | EventBatch | EventAck | StreamStop | UnknownStream
_read = decoder(Message)


def decode(data: bytes) -> Message:
    """Decode a message; InvalidPacketError for whatever is too long, malformed or out of range."""
    message = _read(data)
    if isinstance(message, EventBatch):
        numbers = [told.number for told in message.events]
        if (
            message.after > message.through
            or message.lost
            and numbers
            or numbers != sorted(set(numbers))
            or numbers
            and not message.after < numbers[0] <= numbers[-1] <= message.through
            or not all(fits(told.event) for told in message.events)
        ):
            raise InvalidPacketError("a range that is none")
    elif isinstance(message, StreamRequest) and sum(len(part.encode()) for part in message.filters) > MAX_FILTERS_BYTES:
        raise InvalidPacketError("too much is wanted")
    return message


def published_event(number: int, event: Event) -> tuple[PublishedEvent, int]:
    """Return an event in the form of a message, with its bytes; texts are cut alike everywhere, see schema.make."""
    out = PublishedEvent(number, *event)
    return out, len(encode(out))
