"""The messages of subscriptions between coordinators: msgspec structs in msgpack, each within one message of the fleet.

Defines each message and the bounds of its fields. Decoding rejects whatever is malformed or out of range. No state.
"""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.fleet.wire import MAX_MESSAGE_BYTES as MAX_MESSAGE_BYTES
from frostspindle.fleet.wire import InvalidPacketError, decoder, encode
from frostspindle.subscriptions.schema import MAX_TEXT_CHARS, NAMES, Event, fits

MAX_FILTERS, MAX_FILTERS_BYTES = 24, 800  # filters of a request, and bytes of their texts together
MAX_EVENTS_BYTES = 860  # of the events in one message
HEAD = -1  # as a position: the publisher's latest number

NonNegativeInt = Annotated[int, Meta(ge=0, le=2**53)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARS)]
Number = Annotated[int, Meta(ge=-(2**53), le=2**53)]


class PublishedEvent(Struct, array_like=True, frozen=True):
    """An event in a message, with its publisher's number for it."""

    number: NonNegativeInt
    kind: Annotated[int, Meta(ge=0, lt=len(NAMES))]
    at_ms: NonNegativeInt
    values: Annotated[tuple[Text | Number | None, ...], Meta(max_length=8)]

    @property
    def event(self) -> Event:
        """The event without its number."""
        return Event(self.kind, self.at_ms, self.values)


class StreamRequest(Struct, array_like=True, frozen=True, tag=0):
    """Asks a publisher for stream `sid`: all events after `after` (HEAD: from now on) that match one of the filters.

    Replaces an earlier version of the stream. `epoch` is of the publisher's process that `after` refers to; 0: any.
    """

    sid: NonNegativeInt
    version: NonNegativeInt
    epoch: NonNegativeInt
    after: Annotated[int, Meta(ge=HEAD, le=2**53)]
    filters: Annotated[tuple[Annotated[str, Meta(max_length=MAX_FILTERS_BYTES)], ...], Meta(max_length=MAX_FILTERS)]


class EventBatch(Struct, array_like=True, frozen=True, tag=1):
    """The matching events with numbers over `after` and up to `through`; `lost`: those events were evicted."""

    receiver_epoch: NonNegativeInt  # epoch of the receiving process
    sid: NonNegativeInt
    version: NonNegativeInt
    start: bool  # the stream begins at `after`
    after: NonNegativeInt
    through: NonNegativeInt
    heartbeat_ms: Annotated[int, Meta(ge=1, le=10_000_000)] = 500  # until the next message on an idle stream
    lost: bool = False
    events: Annotated[tuple[PublishedEvent, ...], Meta(max_length=128)] = ()


class EventAck(Struct, array_like=True, frozen=True, tag=2):
    """Acknowledges all numbers up to `through`."""

    sid: NonNegativeInt
    version: NonNegativeInt
    through: NonNegativeInt


class StreamStop(Struct, array_like=True, frozen=True, tag=3):
    """Ends a stream."""

    sid: NonNegativeInt
    version: NonNegativeInt


class UnknownStream(Struct, array_like=True, frozen=True, tag=4):
    """States that this process has no such stream: it must be requested again."""

    sid: NonNegativeInt
    version: NonNegativeInt


Message = StreamRequest | EventBatch | EventAck | StreamStop | UnknownStream
_read = decoder(Message)


def decode(data: bytes) -> Message:
    """Decode a message; InvalidPacketError for whatever is too long, malformed or out of range."""
    message = _read(data)
    if isinstance(message, EventBatch):
        numbers = [event.number for event in message.events]
        if (
            message.after > message.through
            or message.lost
            and numbers
            or numbers != sorted(set(numbers))
            or numbers
            and not message.after < numbers[0] <= numbers[-1] <= message.through
            or not all(fits(event.event) for event in message.events)
        ):
            raise InvalidPacketError("invalid range of event numbers")
    elif isinstance(message, StreamRequest) and sum(len(text.encode()) for text in message.filters) > MAX_FILTERS_BYTES:
        raise InvalidPacketError("the filters are too long")
    return message


def published_event(number: int, event: Event) -> tuple[PublishedEvent, int]:
    """Return an event as sent in a message, and its encoded size; texts were truncated by schema.make."""
    published = PublishedEvent(number, *event)
    return published, len(encode(published))
