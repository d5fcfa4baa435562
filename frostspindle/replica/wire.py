"""The log's messages and entries as plain bytes: what the library holds as dicts and pickles never leaves in that form.

Owns the forms on the wire and in the journal, and the translation to and from the library's. It must never unpickle
what came from outside: a command is of one of three known kinds, and that of a change of voters, which the library
keeps pickled, is written anew from two plain strings. What is of no known form is a ValueError.

A frame's payload is msgpack: [message type, term, ...]; see the table `_FORMS`. Sizes are bounded by MOST_FRAME.
"""

from __future__ import annotations

import io
import pickle
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from frostspindle.replica.base import MAX_COMMAND, MAX_TOPIC
from frostspindle.store.base import CorruptDataError, seal, unseal

BATCH = 256 << 10  # bytes of entries or of a snapshot in one message; above a command, so that none goes in pieces
MOST_FRAME = BATCH + 2 * MAX_COMMAND
NO_OP, VOTERS, ENTRY = 1, 2, 7  # kinds of commands; the library passes over kinds that it does not know
TOKEN = 16
MOST_BODY = MAX_COMMAND + 200  # of an entry: a command, its topic and token

Entry = tuple[bytes, int, int]  # command, index, term: as the library holds them
Index = Annotated[int, Meta(ge=0, le=2**53)]
_Plain = tuple[Annotated[int, Meta(ge=0, le=255)], Annotated[bytes, Meta(max_length=MOST_BODY)], Index, Index]
_Id = Annotated[str, Meta(min_length=1, max_length=128)]
_encode = msgspec.msgpack.encode
_CHANGE = msgspec.msgpack.Decoder(tuple[Annotated[str, Meta(pattern="^(add|rem)$")], _Id])
_BODY = msgspec.msgpack.Decoder(
    tuple[
        Annotated[str, Meta(max_length=MAX_TOPIC)],
        Annotated[bytes, Meta(max_length=MAX_COMMAND)],
        Annotated[bytes, Meta(min_length=TOKEN, max_length=TOKEN)],
    ]
)
_SNAPSHOT = msgspec.msgpack.Decoder(tuple[_Plain, _Plain, list[_Id], dict[str, bytes]])


class _Strings(pickle.Unpickler):
    """Reads a pickle of plain values made in this process; a name of anything else is refused."""

    def find_class(self, module: str, name: str) -> Any:
        raise ValueError(f"no plain value: {module}.{name}")


def body(topic: str, command: bytes, token: bytes) -> bytes:
    """Encode a proposal as an entry carries it; the token tells its proposer which one it was."""
    return _encode((topic, command, token))


def read_body(data: bytes) -> tuple[str, bytes, bytes]:
    """Decode an entry's body to topic, command and token; ValueError if it has another form."""
    return _decoded(_BODY, data)


def change(kind: str, voter: str) -> bytes:
    """Return the library's command that adds or removes ("add", "rem") a voter."""
    return bytes([VOTERS]) + pickle.dumps([kind, voter], 2)


def read_change(command: bytes) -> tuple[str, str] | None:
    """Return kind and voter of a change of voters; None for any other command."""
    if command[:1] != bytes([VOTERS]):
        return None
    kind, voter, *_ = _Strings(io.BytesIO(command[1:])).load()
    return str(kind), str(voter)


def plain(entry: Entry) -> tuple[int, bytes, int, int]:
    """Return one of the library's entries as (kind, data, index, term), without a pickle."""
    command, index, term = entry
    told = read_change(command)
    return command[0], _encode(told) if told else bytes(command[1:]), index, term


def entry(told: tuple[int, bytes, int, int]) -> Entry:
    """Rebuild the library's entry from the form of `plain`; ValueError for an unknown kind."""
    kind, data, index, term = told
    return command(kind, data), index, term


def command(kind: int, data: bytes) -> bytes:
    """Build a command from kind and data; ValueError for any kind not written here: the library would unpickle some."""
    if kind == ENTRY:
        return bytes([ENTRY]) + data
    if kind == NO_OP and not data:
        return bytes([NO_OP])
    if kind == VOTERS:
        return change(*_decoded(_CHANGE, data))
    raise ValueError(f"a command of kind {kind}")


def snapshot(before: Entry, last: Entry, voters: list[str], states: dict[str, bytes]) -> bytes:
    """Encode and seal a snapshot: the last entry that it holds and the one before, the voters, each machine's state."""
    return seal(_encode((plain(before), plain(last), sorted(voters), states)))


def read_snapshot(data: bytes) -> tuple[Entry, Entry, list[str], dict[str, bytes]]:
    """Decode a sealed snapshot; ValueError if its seal does not match or it has another form."""
    try:
        before, last, voters, states = _decoded(_SNAPSHOT, unseal(data))
    except CorruptDataError as error:
        raise ValueError(str(error)) from None
    return entry(before), entry(last), voters, states


def _decoded(decoder: Any, data: bytes) -> Any:
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"of another form: {error}") from None


# By the library's type: the number on the wire, the form behind it, and the fields in that order.
_FORMS: dict[str, tuple[int, Any, tuple[str, ...]]] = {
    "request_vote": (0, tuple[int, Index, Index, Index], ("term", "last_log_index", "last_log_term")),
    "response_vote": (1, tuple[int, Index], ("term",)),
    "append_entries": (
        2,
        tuple[int, Index, Index, Index, Index, Annotated[list[_Plain], Meta(max_length=65_536)]],
        ("term", "commit_index", "prevLogIdx", "prevLogTerm", "entries"),
    ),
    "snapshot": (
        3,
        tuple[int, Index, Index, tuple[Annotated[bytes, Meta(max_length=BATCH)], bool, bool] | None],
        ("term", "commit_index", "serialized"),
    ),
    "next_node_idx": (4, tuple[int, Index, Index, bool, bool], ("term", "next_node_idx", "reset", "success")),
    "apply_command": (
        5,
        tuple[int, Index, tuple[int, Annotated[bytes, Meta(max_length=MOST_BODY)]]],
        ("request_id", "command"),
    ),
    "apply_command_response": (
        6,
        tuple[int, Index, Index, Index, Index],
        ("request_id", "error", "log_idx", "log_term"),
    ),
}
_BY_NUMBER = {number: (name, msgspec.msgpack.Decoder(form), fields) for name, (number, form, fields) in _FORMS.items()}
_NUMBER = msgspec.msgpack.Decoder(list[msgspec.Raw])


def message_out(message: dict[str, Any]) -> bytes:
    """Encode one of the library's messages; ValueError if it is of a type that is not spoken here, or too long."""
    name = message["type"]
    if name == "append_entries" and "serialized" in message:
        name = "snapshot"
    if name not in _FORMS or "transmission" in message:
        raise ValueError(f"no message of this form is sent: {name}")
    number, _, fields = _FORMS[name]
    values = [message.get(field, 0) for field in fields]
    if name == "append_entries":
        values[-1] = [plain(one) for one in values[-1]]
    elif name == "apply_command":
        values[-1] = plain((values[-1], 0, 0))[:2]
        if len(values[-1][1]) > MOST_BODY:
            raise ValueError("a command that is too long")
    return _encode((number, *values))


def message_in(data: bytes) -> dict[str, Any]:
    """Decode a message, the reverse of `message_out`; ValueError for whatever can't be read."""
    raw = _decoded(_NUMBER, data)
    known = _BY_NUMBER.get(_decoded(msgspec.msgpack.Decoder(int), bytes(raw[0])) if raw else -1)
    if known is None:
        raise ValueError("a message of no known type")
    name, decoder, fields = known
    message: dict[str, Any] = dict(zip(fields, _decoded(decoder, data)[1:], strict=True))
    message["type"] = name
    if name == "snapshot":
        message["type"] = "append_entries"
    elif name == "append_entries":
        message["entries"] = [entry(one) for one in message["entries"]]
        at = message["prevLogIdx"]
        for number, (_, index, _) in enumerate(message["entries"], at + 1):
            if index != number:
                raise ValueError("entries with a gap")
    elif name == "apply_command":
        message["command"] = command(*message["command"])
    elif name == "apply_command_response":
        if message["error"]:
            del message["log_idx"], message["log_term"]
        else:
            del message["error"]
    return message
