"""The commands on the log's topic "settings": what they mean, and their bytes.

No I/O. The commands are arrays on the wire: tags and the order of the fields are fixed, the fields' names are not sent.
"""

from __future__ import annotations

import msgspec
from msgspec import Struct

from frostspindle.settings.schema import encode_msgpack

TOPIC = "settings"
TASK = "settings"  # whose lease holder is the publisher


class DraftPiece(Struct, array_like=True, tag="d", frozen=True):
    """A piece of a draft, which anyone may propose; the complete draft waits for the publisher."""

    author: str  # name of the coordinator
    process: int
    number: int  # counts the author's drafts
    base_version: int  # that the changes are from; -1: there are none, the rules are those of `target_version`
    digest: bytes  # of the rules that the changes make
    piece_index: int = 0
    piece_count: int = 1
    data: bytes = b""
    target_version: int = -1

    @property
    def key(self) -> str:
        """Identifier of the draft that all its pieces share: author, process and number."""
        return f"{self.author}/{self.process}/{self.number}"


class PublishVersion(Struct, array_like=True, tag="p", frozen=True):
    """The publisher's command to make a complete draft the pending version.

    Coordinators act on the intersection of the pending and the active version from then on.
    """

    token: int  # fencing token of the publisher's lease, in all its commands
    draft: str


class RenewLease(Struct, array_like=True, tag="h", frozen=True):
    """A coordinator's command that renews its lease, every quarter of it, and reports what it acts on."""

    name: str
    process: int
    number: int
    acknowledged: int = 0  # newest version that is checked, durable and acted on
    active: int = 0  # the version acted on alone; 0: an intersection of several
    rejected: int = 0  # a version that can't be applied here
    reason: str = ""  # why it can't
    figures: tuple[int, ...] = ()  # since the process began; see canary


class Activate(Struct, array_like=True, tag="l", frozen=True):
    """The publisher's command to make the pending version the active one, on trial.

    `baseline`: the figures before it (canary.BaselineFigures), so that any later publisher can judge the version.
    """

    token: int
    version: int
    baseline: tuple[float, ...] = ()


class Withdraw(Struct, array_like=True, tag="w", frozen=True):
    """The publisher's command to drop the pending version, and why."""

    token: int
    version: int
    reason: str


class Confirm(Struct, array_like=True, tag="g", frozen=True):
    """The publisher's command to end the active version's trial: a later rollback goes to this version."""

    token: int
    version: int


class Rollback(Struct, array_like=True, tag="b", frozen=True):
    """The publisher's command to roll back the active version, because it fails the canary check.

    It is followed by a new version with the rules of the last confirmed one, and its digest is refused from then on.
    """

    token: int
    version: int
    reason: str


class RemoveMember(Struct, array_like=True, tag="f", frozen=True):
    """The publisher's command to wait no more for a coordinator; refused if it has renewed after `number`."""

    token: int
    name: str
    process: int
    number: int  # of the last renewal that the publisher saw


class MemberLeaving(Struct, array_like=True, tag="q", frozen=True):
    """A coordinator's last command: its process acts on no version any more."""

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
    """Decode a command of the log; None if it can't be read."""
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
