"""Progress of warming up, on the replicated log: where the next lease holder goes on from.

A deterministic state machine with the number of statements that succeeded at each engine's latest start, and the
highest token under which one was recorded. It never goes back, rejects tokens lower than one seen, and raises for no
bytes.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

TOPIC = "warmed"
MAX_ENGINES = 512
Name = Annotated[str, Meta(min_length=1, max_length=256)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Born = Annotated[float, Meta(ge=0, le=1e14)]


class RecordProgress(Struct, array_like=True, frozen=True):
    """Command: of the engine's start at `born_ms` (Unix ms), the first `place` statements succeeded."""

    token: Count
    engine: Name
    born_ms: Born
    position: Count


class _State(Struct, array_like=True):
    highest: Count
    starts: Annotated[dict[Name, tuple[Born, Count]], Meta(max_length=MAX_ENGINES)]


encode = msgspec.msgpack.encode
_COMMAND = msgspec.msgpack.Decoder(RecordProgress)
_STATE = msgspec.msgpack.Decoder(_State)


class WarmupProgress:
    """The state machine of the topic; see replica.base.StateMachine."""

    def __init__(self) -> None:
        self.highest: int = 0  # token
        self.starts: dict[str, tuple[float, int]] = {}  # by engine: its start and the count; latest recorded last
        self.refused: int = 0

    def position(self, engine: str, born_ms: float) -> int:
        """Return how many statements succeeded at this start: the index of the next; 0 if none is known."""
        born, place = self.starts.get(engine, (0.0, 0))
        return place if born == born_ms else 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a RecordProgress; return b"1" if it was accepted, b"" if rejected.

        Rejected and counted: bytes that can't be read, a token below the highest seen, and a place that is no advance.
        """
        try:
            note = _COMMAND.decode(command)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            note = None
        if note is None or self._is_outdated(note):
            self.refused += 1
            return b""
        self.highest = note.token
        self.starts.pop(note.engine, None)
        if len(self.starts) >= MAX_ENGINES:
            del self.starts[next(iter(self.starts))]
        self.starts[note.engine] = note.born_ms, note.position
        return b"1"

    def _is_outdated(self, note: RecordProgress) -> bool:
        known = self.starts.get(note.engine, (0.0, 0))
        return note.token < self.highest or (note.born_ms, note.position) <= known

    def state(self) -> bytes:
        """Return the highest token and all starts as MessagePack, for a snapshot."""
        return encode(_State(self.highest, self.starts))

    def restore(self, index: int, state: bytes) -> None:
        """Take over a state made by `state`; ValueError if it can't be read, and nothing is changed."""
        try:
            decoded = _STATE.decode(state)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(f"not a state of warmings-up: {error}") from None
        self.highest = decoded.highest
        self.starts = decoded.starts
