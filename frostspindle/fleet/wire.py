"""The fleet's messages: msgspec structs in msgpack, one UDP datagram each.

Owns the form of every message and the bounds on its parts. It must never hold state, and whatever can't be decoded, is
longer than MOST_BYTES or has a value out of its range is an error here, before anything is made of it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

MOST_BYTES = 1200  # of one datagram: fits a usual path without being cut in pieces
ALIVE, SUSPECT, DEAD, LEFT = range(4)
STATES = ("alive", "suspect", "dead", "left")
PROOF = 16  # bytes of an incarnation's proof
SPAN_BITS = 48  # of a place's hash
MOST_MARKS = 1_000  # bytes of a comparison
MAX_MESSAGE_BYTES = 960  # bytes that another part of the program may send in one message
CHANNELS = 16

Whole = Annotated[int, Meta(ge=0, le=2**53)]
Name = Annotated[str, Meta(min_length=1, max_length=64)]  # of a member or an engine
Key = Annotated[str, Meta(max_length=24)]  # of a count; "": that of the entry before
Proof = Annotated[bytes, Meta(min_length=PROOF, max_length=PROOF)]
Ms = Annotated[float, Meta(ge=0, le=1e9)]
Position = Annotated[int, Meta(ge=0, lt=2**SPAN_BITS)]


class MemberState(Struct, array_like=True, frozen=True):
    """What a member states of another or itself. The proof shows that the claim's subject made this incarnation."""

    name: Name
    host: Annotated[str, Meta(min_length=7, max_length=15)]
    port: Annotated[int, Meta(ge=1, le=65535)]
    state: Annotated[int, Meta(ge=ALIVE, le=LEFT)]
    epoch: Whole  # of the member's process; a later process of the same name has a higher one
    incarnation: Whole
    proof: Proof
    by: Annotated[str, Meta(max_length=64)] = ""  # of a suspicion: whose own probe it was that failed

    @property
    def address(self) -> tuple[str, int]:
        """IPv4 address and UDP port of the member."""
        return self.host, self.port


class Suspicion(Struct, array_like=True, frozen=True):
    """A claim that a member is not well, without address and proof.

    Of use only to receivers that know this incarnation already.
    """

    name: Name
    state: Annotated[int, Meta(ge=SUSPECT, le=LEFT)]
    epoch: Whole
    incarnation: Whole
    by: Annotated[str, Meta(max_length=64)] = ""


class CounterRow(Struct, array_like=True, frozen=True):
    """Counts of one origin: all of a stream where `base` is 0, else those changed since its version `base`."""

    origin: Name
    epoch: Whole
    stream: Annotated[int, Meta(ge=0, le=63)]
    base: Whole
    version: Whole
    age_ms: Ms  # since the origin wrote it; each hop adds what it kept the row for
    entries: Annotated[list[tuple[Key, Whole, Whole, Whole]], Meta(max_length=20)]  # key, window, plus, minus


class Verdict(Struct, array_like=True, frozen=True):
    """A coordinator's own judgement on an engine, with its age and evidence."""

    engine: Name
    kind: Annotated[int, Meta(ge=0, le=3)]
    age_ms: Ms
    evidence: Annotated[list[Annotated[float, Meta(ge=-1e9, le=1e9)]], Meta(max_length=4)]


class Ping(Struct, array_like=True, frozen=True, tag=0):
    """Probe: answer with an Ack of the same `seq`."""

    seq: Whole


class Ack(Struct, array_like=True, frozen=True, tag=1):
    """Answer to a Ping, or a helper's word that the target of a Relay answered it.

    `seq` is that of the Ping or Relay.
    """

    seq: Whole


class PingRequest(Struct, array_like=True, frozen=True, tag=2):
    """Request to ping `target`; answered with Ack if it answers, with Nack if it does not in time."""

    seq: Whole
    target: Name


class Nack(Struct, array_like=True, frozen=True, tag=3):
    """A helper's word that the target of a Relay did not answer in time; `seq` is that of the Relay."""

    seq: Whole


class MembersRequest(Struct, array_like=True, frozen=True, tag=4):
    """Request for the members that the receiver knows, after this name in order of names."""

    after: Annotated[str, Meta(max_length=64)]


class MembersPage(Struct, array_like=True, frozen=True, tag=5):
    """Answer to a Pull, with the claims as piggyback; `last` is the name to go on after, "" at the end."""

    last: Annotated[str, Meta(max_length=64)]


class Gossip(Struct, array_like=True, frozen=True, tag=6):
    """A message with nothing but the piggyback."""


class VerdictDigest(Struct, array_like=True, frozen=True, tag=7):
    """All judgements that the sender holds now; one that is missing is withdrawn."""

    verdicts: Annotated[list[Verdict], Meta(max_length=16)]


class QuotaRequest(Struct, array_like=True, frozen=True, tag=8):
    """Request to lend rights of a budget, or to renew the loan; `returned` and `closed` are given back for good."""

    budget: Name
    terms: Whole  # a digest of the budget's definition
    seq: Whole
    lender: Whole  # the epoch of the lender's process that the loan is of; 0: none yet
    series: Whole
    returned: Whole
    closed: Whole  # the highest series of this lender's process that I use no more
    want: Whole  # units of this lender in all


class QuotaGrant(Struct, array_like=True, frozen=True, tag=9):
    """Answer to an Ask: the whole loan as it stands; the borrower's lease counts from the Ask of `seq`."""

    budget: Name
    terms: Whole
    seq: Whole
    series: Whole
    given: Whole
    keep: Whole  # what the borrower should hold at most
    spare: Whole  # what the lender has left


class QuotaReturn(Struct, array_like=True, frozen=True, tag=10):
    """Return of rights: units of a series given back in all, unused for a whole window."""

    budget: Name
    lender: Whole
    series: Whole
    returned: Whole


class CountersRequest(Struct, array_like=True, frozen=True, tag=11):
    """Request for the count rows that the receiver has newer.

    Positions (hashes of rows' places) are cut in 2**bits ranges of one width. For the range of `begin`, from there on,
    and each that follows, `marks` has a byte for how many rows the sender has (255: too many), one that identifies
    them, one for what they hold, and for each row, in order, the low byte of its version.
    """

    begin: Position
    bits: Annotated[int, Meta(ge=0, le=10)]
    salt: Whole
    marks: Annotated[bytes, Meta(max_length=MOST_MARKS)]


class CountersPage(Struct, array_like=True, frozen=True, tag=12):
    """Answer to a Compare, and the position for the next one; 0 if that was all."""

    next: Position
    rows: Annotated[list[CounterRow], Meta(max_length=32)]


class ApplicationMessage(Struct, array_like=True, frozen=True, tag=13):
    """Message of another part of the program, which the fleet carries unread.

    The part bounds and checks its content.
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
    """One datagram: sender, receiver, body, and the piggybacked claims, doubts and count rows."""

    me: MemberState
    to: Annotated[str, Meta(max_length=64)]  # "": whoever is there
    body: Body
    news: Annotated[list[MemberState], Meta(max_length=32)] = []
    rows: Annotated[list[CounterRow], Meta(max_length=32)] = []
    doubts: Annotated[list[Suspicion], Meta(max_length=32)] = []


encode = msgspec.msgpack.Encoder().encode


class InvalidPacketError(ValueError):
    """Bytes that are not a valid message."""


def reader(form: Any, most: int = MAX_MESSAGE_BYTES) -> Callable[[bytes], Any]:
    """Return a decoder for messages of a form.

    It raises InvalidPacketError for bytes that are too long, malformed or out of range.
    """
    decoder = msgspec.msgpack.Decoder(form)

    def decode(data: bytes) -> Any:
        if len(data) > most:
            raise InvalidPacketError("too long")
        try:
            return decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            raise InvalidPacketError(str(error)[:120]) from None

    return decode


decode: Callable[[bytes], Packet] = reader(Packet, MOST_BYTES)


def size(part: Struct) -> int:
    """Return how many bytes a message part takes once encoded."""
    return len(encode(part))
