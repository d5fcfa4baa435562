"""Encoding of the log's messages, entries and snapshots, without pickles.

Translates between the library's messages (dicts and pickled commands) and the bytes on the wire and in the journal.
External data is never unpickled: a command has one of three known kinds, and a voter change, which the library pickles,
is pickled here from two plain strings. Malformed input raises ValueError.

A frame's payload is msgpack: [message type, term, ...]; see the table `_MESSAGE_FORMATS`. Sizes are bounded by
MAX_FRAME_BYTES.
"""

from __future__ import annotations

import io
import pickle
from typing import Annotated, Any, NamedTuple

import msgspec
from msgspec import Meta

from frostspindle.replica.base import MAX_COMMAND_BYTES, MAX_TOPIC_BYTES
from frostspindle.store.base import CorruptDataError, seal, unseal

BATCH_BYTES = 256 << 10  # entries or snapshot data per message; above the size of a command, so that none is split
MAX_FRAME_BYTES = BATCH_BYTES + 2 * MAX_COMMAND_BYTES
# Kinds of commands; the library ignores unknown kinds.
NO_OP = 1
VOTER_CHANGE = 2
ENTRY = 7
TOKEN_BYTES = 16
MAX_BODY_BYTES = MAX_COMMAND_BYTES + 200  # entry body: command, topic and token

Entry = tuple[bytes, int, int]  # command, index, term: the library's form
Index = Annotated[int, Meta(ge=0, le=2**53)]
_Plain = tuple[Annotated[int, Meta(ge=0, le=255)], Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)], Index, Index]
_Id = Annotated[str, Meta(min_length=1, max_length=128)]
_encode = msgspec.msgpack.encode
_CHANGE = msgspec.msgpack.Decoder(tuple[Annotated[str, Meta(pattern="^(add|rem)$")], _Id])
_BODY = msgspec.msgpack.Decoder(
    tuple[
        Annotated[str, Meta(max_length=MAX_TOPIC_BYTES)],
        Annotated[bytes, Meta(max_length=MAX_COMMAND_BYTES)],
        Annotated[bytes, Meta(min_length=TOKEN_BYTES, max_length=TOKEN_BYTES)],
    ]
)
_SNAPSHOT = msgspec.msgpack.Decoder(tuple[_Plain, _Plain, list[_Id], dict[str, bytes]])


class EntryBody(NamedTuple):
    """The body of an entry that was proposed by a member."""

    topic: str  # empty for a no-op
    command: bytes
    token: bytes  # identifies the proposal to its proposer


EMPTY_BODY = EntryBody("", b"", b"")  # for entries of other kinds, such as a voter change


class VoterChange(NamedTuple):
    """An added or removed voter."""

    kind: str  # "add" or "rem"
    voter: str  # `name=address`


class SnapshotContents(NamedTuple):
    """The contents of a snapshot."""

    before: Entry  # the entry before `last`
    last: Entry  # the last entry that the snapshot covers
    voters: list[str]  # as `name=address`
    states: dict[str, bytes]  # state of each state machine, by topic


class _PlainValueUnpickler(pickle.Unpickler):
    """Reads a pickle of plain values made in this process; any reference to a class or function is rejected."""

    def find_class(self, module: str, name: str) -> Any:
        """Reject any class or function."""
        raise ValueError(f"not a plain value: {module}.{name}")


def encode_body(topic: str, command: bytes, token: bytes) -> bytes:
    """Encode the body of an entry; the token identifies the proposal to its proposer."""
    return _encode((topic, command, token))


def decode_body(data: bytes) -> EntryBody:
    """Decode an entry's body. Raise ValueError if it is malformed."""
    return EntryBody(*_decode(_BODY, data))


def encode_voter_change(kind: str, voter: str) -> bytes:
    """Return the library's command that adds or removes ("add", "rem") a voter."""
    return bytes([VOTER_CHANGE]) + pickle.dumps([kind, voter], 2)


def decode_voter_change(command: bytes) -> VoterChange | None:
    """Return the voter change in a command, or None for any other command."""
    if command[:1] != bytes([VOTER_CHANGE]):
        return None
    kind, voter, *_ = _PlainValueUnpickler(io.BytesIO(command[1:])).load()
    return VoterChange(str(kind), str(voter))


def to_plain(entry: Entry) -> tuple[int, bytes, int, int]:
    """Return one of the library's entries as (kind, data, index, term), without a pickle."""
    command, index, term = entry
    change = decode_voter_change(command)
    data = _encode(change) if change else bytes(command[1:])
    return command[0], data, index, term


def from_plain(plain: tuple[int, bytes, int, int]) -> Entry:
    """Return the library's entry for the result of `to_plain`. Raise ValueError for an unknown kind."""
    kind, data, index, term = plain
    return build_command(kind, data), index, term


def build_command(kind: int, data: bytes) -> bytes:
    """Build a command from kind and data. Raise ValueError for other kinds, as the library would unpickle some."""
    if kind == ENTRY:
        return bytes([ENTRY]) + data
    if kind == NO_OP and not data:
        return bytes([NO_OP])
    if kind == VOTER_CHANGE:
        return encode_voter_change(*_decode(_CHANGE, data))
    raise ValueError(f"unknown command kind {kind}")


def encode_snapshot(before: Entry, last: Entry, voters: list[str], states: dict[str, bytes]) -> bytes:
    """Encode and seal a snapshot: the last entry covered and the one before, the voters, and the states."""
    return seal(_encode((to_plain(before), to_plain(last), sorted(voters), states)))


def decode_snapshot(data: bytes) -> SnapshotContents:
    """Decode a sealed snapshot. Raise ValueError if its seal does not match or it is malformed."""
    try:
        before, last, voters, states = _decode(_SNAPSHOT, unseal(data))
    except CorruptDataError as error:
        raise ValueError(str(error)) from None
    return SnapshotContents(from_plain(before), from_plain(last), voters, states)


def _decode(decoder: Any, data: bytes) -> Any:
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"malformed data: {error}") from None


# By the library's message type: its number on the wire, the types of the encoded values, and the names of the fields.
_MESSAGE_FORMATS: dict[str, tuple[int, Any, tuple[str, ...]]] = {
    "request_vote": (0, tuple[int, Index, Index, Index], ("term", "last_log_index", "last_log_term")),
    "response_vote": (1, tuple[int, Index], ("term",)),
    "append_entries": (
        2,
        tuple[int, Index, Index, Index, Index, Annotated[list[_Plain], Meta(max_length=65_536)]],
        ("term", "commit_index", "prevLogIdx", "prevLogTerm", "entries"),
    ),
    "snapshot": (
        3,
        tuple[int, Index, Index, tuple[Annotated[bytes, Meta(max_length=BATCH_BYTES)], bool, bool] | None],
        ("term", "commit_index", "serialized"),
    ),
    "next_node_idx": (4, tuple[int, Index, Index, bool, bool], ("term", "next_node_idx", "reset", "success")),
    "apply_command": (
        5,
        tuple[int, Index, tuple[int, Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]]],
        ("request_id", "command"),
    ),
    "apply_command_response": (
        6,
        tuple[int, Index, Index, Index, Index],
        ("request_id", "error", "log_idx", "log_term"),
    ),
}
_FORMAT_BY_NUMBER = {
    number: (name, msgspec.msgpack.Decoder(form), fields) for name, (number, form, fields) in _MESSAGE_FORMATS.items()
}
_RAW_LIST = msgspec.msgpack.Decoder(list[msgspec.Raw])
_NUMBER = msgspec.msgpack.Decoder(int)


def encode_message(message: dict[str, Any]) -> bytes:
    """Encode one of the library's messages. Raise ValueError if its type is not supported or it is too long."""
    name = message["type"]
    if name == "append_entries" and "serialized" in message:
        name = "snapshot"
    if name not in _MESSAGE_FORMATS or "transmission" in message:
        raise ValueError(f"unsupported message type: {name}")
    number, _, fields = _MESSAGE_FORMATS[name]
    values = [message.get(field, 0) for field in fields]
    if name == "append_entries":
        values[-1] = [to_plain(entry) for entry in values[-1]]
    elif name == "apply_command":
        values[-1] = to_plain((values[-1], 0, 0))[:2]
        if len(values[-1][1]) > MAX_BODY_BYTES:
            raise ValueError("the command is too long")
    return _encode((number, *values))


def _format_of(data: bytes) -> tuple[str, Any, tuple[str, ...]]:
    """Return type, decoder and fields of an encoded message. Raise ValueError for an unknown number."""
    raw = _decode(_RAW_LIST, data)
    number = _decode(_NUMBER, bytes(raw[0])) if raw else -1
    known = _FORMAT_BY_NUMBER.get(number)
    if known is None:
        raise ValueError("unknown message type")
    return known


def decode_message(data: bytes) -> dict[str, Any]:
    """Decode a message, the reverse of `encode_message`. Raise ValueError if it is malformed."""
    name, decoder, fields = _format_of(data)
    message: dict[str, Any] = dict(zip(fields, _decode(decoder, data)[1:], strict=True))
    message["type"] = name
    if name == "snapshot":
        message["type"] = "append_entries"
    elif name == "append_entries":
        message["entries"] = [from_plain(plain) for plain in message["entries"]]
        for expected, (_, index, _) in enumerate(message["entries"], message["prevLogIdx"] + 1):
            if index != expected:
                raise ValueError("gap in the entries")
    elif name == "apply_command":
        message["command"] = build_command(*message["command"])
    elif name == "apply_command_response":
        if message["error"]:
            del message["log_idx"], message["log_term"]
        else:
            del message["error"]
    return message
