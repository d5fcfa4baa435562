"""The messages of subscriptions between coordinators: msgspec structs in msgpack, each within one parcel of the fleet.

Owns the form of every message and the bounds on its parts. It must never hold state, and whatever can't be decoded or
has a value out of its range is an error here, before anything is made of it.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.fleet.wire import MAX_MESSAGE_BYTES as MAX_MESSAGE_BYTES
from frostspindle.fleet.wire import InvalidPacketError, decoder, encode
from frostspindle.subscriptions.schema import NAMES, TEXT_MOST, Event, fits

MOST_PARTS, PARTS_BYTES = 24, 800  # of what a coordinator's subscribers want, its texts together
EVENTS_BYTES = 860  # of the events of one message
HEAD = -1  # as a position: from what is the last now

Whole = Annotated[int, Meta(ge=0, le=2**53)]
Text = Annotated[str, Meta(max_length=TEXT_MOST)]
Number = Annotated[int, Meta(ge=-(2**53), le=2**53)]


class PublishedEvent(Struct, array_like=True, frozen=True):
    """An event in a message, with the number that its maker gave it."""

    number: Whole
    kind: Annotated[int, Meta(ge=0, lt=len(NAMES))]
    at_ms: Whole
    values: Annotated[tuple[Text | Number | None, ...], Meta(max_length=8)]

    @property
    def event(self) -> Event:
        """The event without its number."""
        return Event(self.kind, self.at_ms, self.values)


class StreamRequest(Struct, array_like=True, frozen=True, tag=0):
    """Ask a maker to send, as stream `sid`, whatever one of these filters matches, after `after` (HEAD: from now on).

    Replaces what an earlier version of the stream wanted. `epoch` is the maker's process that `after` is of; 0: any.
    """

    sid: Whole
    version: Whole
    epoch: Whole
    after: Annotated[int, Meta(ge=HEAD, le=2**53)]
    parts: Annotated[tuple[Annotated[str, Meta(max_length=PARTS_BYTES)], ...], Meta(max_length=MOST_PARTS)]


class EventBatch(Struct, array_like=True, frozen=True, tag=1):
    """The wanted events of the maker's numbers over `after` up to `upto`; `lost`: it is not known which there were."""

    of: Whole  # the receiver's process that it is for
    sid: Whole
    version: Whole
    start: bool  # the stream begins at `after`
    after: Whole
    upto: Whole
    period: Annotated[int, Meta(ge=1, le=10_000_000)] = 500  # ms until the next, without news
    lost: bool = False
    events: Annotated[tuple[PublishedEvent, ...], Meta(max_length=128)] = ()


class EventAck(Struct, array_like=True, frozen=True, tag=2):
    """Acknowledges all numbers up to `upto`."""

    sid: Whole
    version: Whole
    upto: Whole


class StreamStop(Struct, array_like=True, frozen=True, tag=3):
    """Ends a stream."""

    sid: Whole
    version: Whole


class UnknownStream(Struct, array_like=True, frozen=True, tag=4):
    """Says that this process has no such stream: it must be wanted anew."""

    sid: Whole
    version: Whole


Message = StreamRequest | EventBatch | EventAck | StreamStop | UnknownStream
_read = decoder(Message)


def decode(data: bytes) -> Message:
    """Decode a message; InvalidPacketError for whatever is too long, malformed or out of range."""
    message = _read(data)
    if isinstance(message, EventBatch):
        numbers = [told.number for told in message.events]
        if (
            message.after > message.upto
            or message.lost
            and numbers
            or numbers != sorted(set(numbers))
            or numbers
            and not message.after < numbers[0] <= numbers[-1] <= message.upto
            or not all(fits(told.event) for told in message.events)
        ):
            raise InvalidPacketError("a range that is none")
    elif isinstance(message, StreamRequest) and sum(len(part.encode()) for part in message.parts) > PARTS_BYTES:
        raise InvalidPacketError("too much is wanted")
    return message


def told(number: int, event: Event) -> tuple[PublishedEvent, int]:
    """Return an event in the form of a message, with its bytes; texts are cut alike everywhere, see schema.make."""
    out = PublishedEvent(number, *event)
    return out, len(encode(out))
