"""Messages of the fleet: msgspec structs encoded as msgpack, one UDP datagram each.

Defines every message and the bounds on its fields. Stateless. Data that cannot be decoded, exceeds MAX_PACKET_BYTES or
has a field out of range raises InvalidPacketError. Structs are encoded as arrays: tags and the order of fields are part
of the wire format, the names of fields are not.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from frostspindle.fleet.errors import InvalidPacketError as InvalidPacketError

MAX_PACKET_BYTES = 1200  # of one datagram; fits the usual path MTU without fragmentation
ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")
PROOF_BYTES = 16  # length of an incarnation's proof
POSITION_BITS = 48  # width of the hash by which counter streams are ordered
MAX_FINGERPRINT_BYTES = 1_000  # in one CountersRequest
MAX_MESSAGE_BYTES = 960  # payload of one ApplicationMessage
CHANNELS = 16  # for ApplicationMessages

Count = Annotated[int, Meta(ge=0, le=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]  # of a member, a budget or an engine
Key = Annotated[str, Meta(max_length=24)]  # name of a counter; "" repeats the name of the previous entry
Proof = Annotated[bytes, Meta(min_length=PROOF_BYTES, max_length=PROOF_BYTES)]
Ms = Annotated[float, Meta(ge=0, le=1e9)]
Position = Annotated[int, Meta(ge=0, lt=2**POSITION_BITS)]


class MemberState(Struct, array_like=True, frozen=True):
    """Claim about the state of a member, or of the sender itself.

    The proof shows that the subject itself created this incarnation.
    """

    name: Name
    host: Annotated[str, Meta(min_length=7, max_length=15)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    epoch: Count  # identifies the member's process; a later process of the same name has a higher one
    incarnation: Count
    proof: Proof
    suspected_by: Annotated[str, Meta(max_length=64)] = ""  # for a suspicion: the member whose own probe failed

    @property
    def address(self) -> tuple[str, int]:
        """IPv4 address and UDP port of the member."""
        return self.host, self.port


class Suspicion(Struct, array_like=True, frozen=True):
    """Claim that a member is not alive, without its address and proof.

    Usable only by receivers that already know this incarnation.
    """

    name: Name
    state: Annotated[int, Meta(ge=SUSPECT, le=LEFT)]
    epoch: Count
    incarnation: Count
    suspected_by: Annotated[str, Meta(max_length=64)] = ""


class CounterRow(Struct, array_like=True, frozen=True):
    """Counters of one origin's stream: all of them if `base_version` is 0, else the delta since that version."""

    origin: Name
    epoch: Count
    stream: Annotated[int, Meta(ge=0, le=63)]
    base_version: Count
    version: Count
    age_ms: Ms  # since the origin published it; each hop adds the time for which it held the row
    # Key, window (0: total over all windows), increments and decrements of each counter.
    entries: Annotated[list[tuple[Key, Count, Count, Count]], Meta(max_length=20)]


class Verdict(Struct, array_like=True, frozen=True):
    """A coordinator's own verdict on an engine, with its age and evidence."""

    engine: Name
    kind: Annotated[int, Meta(ge=0, le=3)]
    age_ms: Ms
    evidence: Annotated[list[Annotated[float, Meta(ge=-1e9, le=1e9)]], Meta(max_length=4)]


class Ping(Struct, array_like=True, frozen=True, tag=0):
    """Probe; answered with an Ack of the same `sequence`."""

    sequence: Count


class Ack(Struct, array_like=True, frozen=True, tag=1):
    """Answer to a Ping, or a helper's report that the target of a PingRequest has answered.

    `sequence` is that of the Ping or PingRequest.
    """

    sequence: Count


class PingRequest(Struct, array_like=True, frozen=True, tag=2):
    """Request to ping `target` on behalf of the sender; answered with Ack, or with Nack if the target times out."""

    sequence: Count
    target: Name


class Nack(Struct, array_like=True, frozen=True, tag=3):
    """A helper's report that the target of a PingRequest did not answer in time; `sequence` is that of the request."""

    sequence: Count


class MembersRequest(Struct, array_like=True, frozen=True, tag=4):
    """Request for the members known to the receiver, in order of names, from the first one after `after`."""

    after: Annotated[str, Meta(max_length=64)]


class MembersPage(Struct, array_like=True, frozen=True, tag=5):
    """Answer to a MembersRequest; the claims are piggybacked. `last` is the name to continue after, "" at the end."""

    last: Annotated[str, Meta(max_length=64)]


class Gossip(Struct, array_like=True, frozen=True, tag=6):
    """Message without content of its own, sent for its piggyback."""


class VerdictDigest(Struct, array_like=True, frozen=True, tag=7):
    """All current verdicts of the sender; a verdict that is missing is withdrawn."""

    verdicts: Annotated[list[Verdict], Meta(max_length=16)]


class QuotaRequest(Struct, array_like=True, frozen=True, tag=8):
    """Request to borrow quota of a budget or to renew a loan; `returned` and `closed_loan` give units back for good."""

    budget: Name
    budget_digest: Count  # of the budget's definition
    sequence: Count
    lender_epoch: Count  # of the lender's process that made the loan; 0: no loan yet
    loan: Count  # number that the lender gave the loan
    returned: Count  # total units returned
    closed_loan: Count  # the highest loan of this lender's process that the borrower no longer uses
    wanted: Count  # total units wanted of this lender


class QuotaGrant(Struct, array_like=True, frozen=True, tag=9):
    """Answer to a QuotaRequest with the totals of the loan; the borrower's lease starts when it sent the request."""

    budget: Name
    budget_digest: Count
    sequence: Count  # of the request
    loan: Count
    granted: Count  # total units granted
    limit: Count  # units of the loan that the borrower should hold at most
    available: Count  # units that the lender can still lend


class QuotaReturn(Struct, array_like=True, frozen=True, tag=10):
    """Return of units of a loan that were unused for a whole window; `returned` is the running total."""

    budget: Name
    lender_epoch: Count
    loan: Count
    returned: Count


class CountersRequest(Struct, array_like=True, frozen=True, tag=11):
    """Request for the counter rows of which the receiver has newer versions (anti-entropy).

    Positions (hashes of streams) are divided into 2**range_bits ranges of equal width. From the position `begin` on,
    `fingerprints` has for each range one byte for the number of rows that the sender has (255: too many), one that
    identifies them, one for their content, and the low byte of each row's version, in order of positions.
    """

    begin: Position
    range_bits: Annotated[int, Meta(ge=0, le=10)]
    salt: Count
    fingerprints: Annotated[bytes, Meta(max_length=MAX_FINGERPRINT_BYTES)]


class CountersPage(Struct, array_like=True, frozen=True, tag=12):
    """Answer to a CountersRequest; `next_begin` is the position for the next request, 0 at the end."""

    next_begin: Position
    rows: Annotated[list[CounterRow], Meta(max_length=32)]


class ApplicationMessage(Struct, array_like=True, frozen=True, tag=13):
    """Message of another part of the program, carried without interpretation.

    The receiving part validates the content.
    """

    channel: Annotated[int, Meta(ge=0, lt=CHANNELS)]
    data: Annotated[bytes, Meta(max_length=MAX_MESSAGE_BYTES)]


Body = (
    Ping
    | Ack
    | PingRequest
    | Nack
    | MembersRequest
    | MembersPage
    | Gossip
    | VerdictDigest
    | QuotaRequest
    | QuotaGrant
    | QuotaReturn
    | CountersRequest
    | CountersPage
    | ApplicationMessage
)


class Packet(Struct, array_like=True, frozen=True):
    """One datagram: sender, recipient, body, and piggybacked claims, counter rows and suspicions."""

    sender: MemberState
    recipient: Annotated[str, Meta(max_length=64)]  # "": any receiver
    body: Body
    claims: Annotated[list[MemberState], Meta(max_length=32)] = []
    rows: Annotated[list[CounterRow], Meta(max_length=32)] = []
    suspicions: Annotated[list[Suspicion], Meta(max_length=32)] = []


encode = msgspec.msgpack.Encoder().encode


def decoder(message_type: Any, max_bytes: int = MAX_MESSAGE_BYTES) -> Callable[[bytes], Any]:
    """Return a function that decodes messages of one type.

    It raises InvalidPacketError for data that is too long, malformed or out of range.
    """
    msgpack_decoder = msgspec.msgpack.Decoder(message_type)

    def decode_message(data: bytes) -> Any:
        """Decode one message."""
        if len(data) > max_bytes:
            raise InvalidPacketError("message too long")
        try:
            return msgpack_decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise InvalidPacketError(str(error)[:120]) from error

    return decode_message


_decode_packet: Callable[[bytes], Packet] = decoder(Packet, MAX_PACKET_BYTES)


def decode(data: bytes) -> Packet:
    """Decode one datagram. Raise InvalidPacketError if it is not a valid packet."""
    return _decode_packet(data)


def size(struct: Struct) -> int:
    """Return the encoded size of a message or of a struct inside one, in bytes."""
    return len(encode(struct))
