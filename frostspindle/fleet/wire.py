"""The fleet's messages: msgspec structs in msgpack, one UDP datagram each.

Defines each message and the bounds on its fields. No state. Bytes that can't be decoded, are longer than
MAX_PACKET_BYTES or hold a value out of its range raise InvalidPacketError here. The structs are encoded as arrays: tags
and the order of fields are fixed, the names of fields are not on the wire.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from frostspindle.fleet.errors import InvalidPacketError as InvalidPacketError

MAX_PACKET_BYTES = 1200  # of one datagram: fits a usual path without fragmentation
ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")
PROOF_BYTES = 16  # of an incarnation's proof
POSITION_BITS = 48  # of the hash that orders counter streams
MAX_FINGERPRINT_BYTES = 1_000  # of a CountersRequest
MAX_MESSAGE_BYTES = 960  # bytes that another part of the program may send in one message
CHANNELS = 16

Count = Annotated[int, Meta(ge=0, le=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]  # of a member or an engine
Key = Annotated[str, Meta(max_length=24)]  # of a counter; "": that of the entry before
Proof = Annotated[bytes, Meta(min_length=PROOF_BYTES, max_length=PROOF_BYTES)]
Ms = Annotated[float, Meta(ge=0, le=1e9)]
Position = Annotated[int, Meta(ge=0, lt=2**POSITION_BITS)]


class MemberState(Struct, array_like=True, frozen=True):
    """A claim about a member or the sender itself. The proof shows that the subject made this incarnation."""

    name: Name
    host: Annotated[str, Meta(min_length=7, max_length=15)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    epoch: Count  # of the member's process; a later process of the same name has a higher one
    incarnation: Count
    proof: Proof
    suspected_by: Annotated[str, Meta(max_length=64)] = ""  # of a suspicion: the member whose own probe failed

    @property
    def address(self) -> tuple[str, int]:
        """IPv4 address and UDP port of the member."""
        return self.host, self.port


class Suspicion(Struct, array_like=True, frozen=True):
    """A claim that a member is not alive, without address and proof.

    Of use only to receivers that know this incarnation already.
    """

    name: Name
    state: Annotated[int, Meta(ge=SUSPECT, le=LEFT)]
    epoch: Count
    incarnation: Count
    suspected_by: Annotated[str, Meta(max_length=64)] = ""


class CounterRow(Struct, array_like=True, frozen=True):
    """Counters of one origin's stream: all where `base_version` is 0, else the delta since that version."""

    origin: Name
    epoch: Count
    stream: Annotated[int, Meta(ge=0, le=63)]
    base_version: Count
    version: Count
    age_ms: Ms  # since the origin published it; each hop adds the time for which it kept the row
    # Key, window (0: in all), increments and decrements of each counter.
    entries: Annotated[list[tuple[Key, Count, Count, Count]], Meta(max_length=20)]


class Verdict(Struct, array_like=True, frozen=True):
    """A coordinator's own verdict on an engine, with its age and evidence."""

    engine: Name
    kind: Annotated[int, Meta(ge=0, le=3)]
    age_ms: Ms
    evidence: Annotated[list[Annotated[float, Meta(ge=-1e9, le=1e9)]], Meta(max_length=4)]


class Ping(Struct, array_like=True, frozen=True, tag=0):
    """Probe: answer with an Ack of the same `sequence`."""

    sequence: Count


class Ack(Struct, array_like=True, frozen=True, tag=1):
    """Answer to a Ping, or a helper's report that the target of a PingRequest answered it.

    `sequence` is that of the Ping or PingRequest.
    """

    sequence: Count


class PingRequest(Struct, array_like=True, frozen=True, tag=2):
    """Request to ping `target`; answered with Ack if it answers, with Nack if it does not in time."""

    sequence: Count
    target: Name


class Nack(Struct, array_like=True, frozen=True, tag=3):
    """A helper's report that the target of a PingRequest did not answer in time; `sequence` is the request's."""

    sequence: Count


class MembersRequest(Struct, array_like=True, frozen=True, tag=4):
    """Request for the members that the receiver knows, after this name in order of names."""

    after: Annotated[str, Meta(max_length=64)]


class MembersPage(Struct, array_like=True, frozen=True, tag=5):
    """Answer to a MembersRequest, with the claims as piggyback; `last` is the name to go on after, "" at the end."""

    last: Annotated[str, Meta(max_length=64)]


class Gossip(Struct, array_like=True, frozen=True, tag=6):
    """A message with nothing but the piggyback."""


class VerdictDigest(Struct, array_like=True, frozen=True, tag=7):
    """All verdicts that the sender holds now; one that is missing is withdrawn."""

    verdicts: Annotated[list[Verdict], Meta(max_length=16)]


class QuotaRequest(Struct, array_like=True, frozen=True, tag=8):
    """Request to lend quota of a budget, or to renew the loan; `returned` and `closed_loan` are given back for good."""

    budget: Name
    budget_digest: Count  # of the budget's definition
    sequence: Count
    lender_epoch: Count  # of the lender's process that made the loan; 0: none yet
    loan: Count  # the lender's number of the loan
    returned: Count  # units returned in all
    closed_loan: Count  # the highest loan of this lender's process that the borrower no longer uses
    wanted: Count  # units of this lender in all


class QuotaGrant(Struct, array_like=True, frozen=True, tag=9):
    """Answer to a QuotaRequest: the whole loan as it stands; the lease counts from the sending of that request."""

    budget: Name
    budget_digest: Count
    sequence: Count  # of the request
    loan: Count
    granted: Count  # units granted in all
    limit: Count  # units of the loan that the borrower should hold at most
    available: Count  # units that the lender has left


class QuotaReturn(Struct, array_like=True, frozen=True, tag=10):
    """Return of quota: units of a loan given back in all, unused for a whole window."""

    budget: Name
    lender_epoch: Count
    loan: Count
    returned: Count


class CountersRequest(Struct, array_like=True, frozen=True, tag=11):
    """Request for the counter rows that the receiver has newer (anti-entropy).

    Positions (hashes of streams) are cut in 2**range_bits ranges of one width. For the range of `begin`, from there on,
    and each that follows, `fingerprints` has a byte for how many rows the sender has (255: too many), one that
    identifies them, one for their content, and for each row, in order, the low byte of its version.
    """

    begin: Position
    range_bits: Annotated[int, Meta(ge=0, le=10)]
    salt: Count
    fingerprints: Annotated[bytes, Meta(max_length=MAX_FINGERPRINT_BYTES)]


class CountersPage(Struct, array_like=True, frozen=True, tag=12):
    """Answer to a CountersRequest, and the position for the next one; 0 if that was all."""

    next_begin: Position
    rows: Annotated[list[CounterRow], Meta(max_length=32)]


class ApplicationMessage(Struct, array_like=True, frozen=True, tag=13):
    """Message of another part of the program, which the fleet carries without reading it.

    That part bounds and checks the content.
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
    """One datagram: sender, recipient, body, and the piggybacked claims, counter rows and suspicions."""

    sender: MemberState
    recipient: Annotated[str, Meta(max_length=64)]  # "": whoever is there
    body: Body
    claims: Annotated[list[MemberState], Meta(max_length=32)] = []
    rows: Annotated[list[CounterRow], Meta(max_length=32)] = []
    suspicions: Annotated[list[Suspicion], Meta(max_length=32)] = []


encode = msgspec.msgpack.Encoder().encode


def decoder(message_type: Any, max_bytes: int = MAX_MESSAGE_BYTES) -> Callable[[bytes], Any]:
    """Return a function that decodes messages of a type.

    It raises InvalidPacketError for bytes that are too long, malformed or out of range.
    """
    msgpack_decoder = msgspec.msgpack.Decoder(message_type)

    def decode_message(data: bytes) -> Any:
        if len(data) > max_bytes:
            raise InvalidPacketError("too long")
        try:
            return msgpack_decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise InvalidPacketError(str(error)[:120]) from error

    return decode_message


_decode_packet: Callable[[bytes], Packet] = decoder(Packet, MAX_PACKET_BYTES)


def decode(data: bytes) -> Packet:
    """Decode one datagram; InvalidPacketError if it is not a valid packet."""
    return _decode_packet(data)


def size(part: Struct) -> int:
    """Return how many bytes a part of a message takes once encoded."""
    return len(encode(part))
