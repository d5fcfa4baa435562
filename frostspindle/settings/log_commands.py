"""The commands on the log's topic "settings", and their encoding.

No I/O. Commands are encoded as MessagePack arrays: the tags and the order of the fields are fixed, field names are not
sent.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from frostspindle.settings.schema import encode_msgpack

TOPIC = "settings"
TASK = "settings"  # the coordinator that holds the lease of this task is the publisher


class DraftPiece(Struct, array_like=True, tag="d", frozen=True):
    """One piece of a draft, proposed by any coordinator; the complete draft is queued for the publisher."""

    author: str  # name of the coordinator
    process: int
    number: int  # sequence number of the author's drafts
    base_version: int  # the changes apply to this version; -1: no changes, the rules are those of `target_version`
    digest: bytes  # of the resulting rules
    piece_index: int = 0
    piece_count: int = 1
    data: bytes = b""
    target_version: int = -1

    @property
    def key(self) -> str:
        """Identifier shared by all pieces of the draft: author, process and number."""
        return f"{self.author}/{self.process}/{self.number}"


class PublishVersion(Struct, array_like=True, tag="p", frozen=True):
    """The publisher's command to make a complete draft the pending version.

    From then on coordinators act on the intersection of the active and the pending version.
    """

    token: int  # fencing token of the publisher's lease, sent with each of its commands
    draft: str


class RenewLease(Struct, array_like=True, tag="h", frozen=True):
    """A coordinator's command to renew its lease, sent every quarter of a lease; it also reports its state."""

    name: str
    process: int
    number: int
    acknowledged: int = 0  # newest version that is checked, durable and applied
    active: int = 0  # the single version in force; 0: an intersection
    rejected: int = 0  # a version that this coordinator can't apply
    reason: str = ""  # why it can't apply it
    figures: tuple[int, ...] = ()  # cumulative since the process started; see canary


class Activate(Struct, array_like=True, tag="l", frozen=True):
    """The publisher's command to make the pending version the active one, on trial.

    `baseline` has the figures from before the activation (canary.BaselineFigures), so that a later publisher can judge
    the version too.
    """

    token: int
    version: int
    baseline: tuple[float, ...] = ()


class Withdraw(Struct, array_like=True, tag="w", frozen=True):
    """The publisher's command to drop the pending version, with the reason."""

    token: int
    version: int
    reason: str


class Confirm(Struct, array_like=True, tag="g", frozen=True):
    """The publisher's command to end the active version's trial; later rollbacks return to this version."""

    token: int
    version: int


class Rollback(Struct, array_like=True, tag="b", frozen=True):
    """The publisher's command to roll back the active version because it failed the canary check.

    A new pending version gets the rules of the last confirmed one. Versions with the digest of the failed one are
    refused from then on.
    """

    token: int
    version: int
    reason: str


class RemoveMember(Struct, array_like=True, tag="f", frozen=True):
    """The publisher's command to remove a silent coordinator; refused if it has renewed since `number`."""

    token: int
    name: str
    process: int
    number: int  # of the last renewal that the publisher observed


class MemberLeaving(Struct, array_like=True, tag="q", frozen=True):
    """A coordinator's last command before it stops: its process no longer acts on a single version."""

    name: str
    process: int


Command = (
    DraftPiece | PublishVersion | RenewLease | Activate | Withdraw | Confirm | Rollback | RemoveMember | MemberLeaving
)
_decoder = msgspec.msgpack.Decoder(Command)


def encode_command(command: Command) -> bytes:
    """Encode a command for the log."""
    return encode_msgpack(command)


def decode_command(data: bytes) -> Command | None:
    """Decode a command of the log; return None if it is malformed."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
