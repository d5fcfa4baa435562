"""Progress of engine warm-ups on the replicated log, from which the next lease holder continues.

A deterministic state machine with the number of statements that succeeded since each engine's latest start, and the
highest token under which progress was recorded. Progress never decreases, tokens below the highest are rejected, and no
input raises.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

TOPIC = "warmed"
MAX_ENGINES = 512
Name = Annotated[str, Meta(min_length=1, max_length=256)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
StartMs = Annotated[float, Meta(ge=0, le=1e14)]


class RecordProgress(Struct, array_like=True, frozen=True):
    """Command: since the engine's start at `born_ms` (Unix ms), the first `position` statements succeeded."""

    token: Count
    engine: Name
    born_ms: StartMs
    position: Count


class _State(Struct, array_like=True):
    highest: Count
    starts: Annotated[dict[Name, tuple[StartMs, Count]], Meta(max_length=MAX_ENGINES)]


encode = msgspec.msgpack.encode
_COMMAND = msgspec.msgpack.Decoder(RecordProgress)
_STATE = msgspec.msgpack.Decoder(_State)


class WarmupProgress:
    """The state machine of the topic; see replica.base.StateMachine."""

    def __init__(self) -> None:
        self.highest: int = 0  # token
        self.starts: dict[
            str, tuple[float, int]
        ] = {}  # by engine: its start and the count; most recently recorded last
        self.refused: int = 0

    def position(self, engine: str, born_ms: float) -> int:
        """Return how many statements succeeded since this start, which is the index of the next one."""
        recorded_start, position = self.starts.get(engine, (0.0, 0))
        return position if recorded_start == born_ms else 0

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a RecordProgress; return b"1" if it was accepted, b"" if rejected.

        Rejected and counted: a malformed command, a token below the highest seen, and a position that is not an
        advance.
        """
        try:
            record = _COMMAND.decode(command)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            record = None
        if record is None or self._is_outdated(record):
            self.refused += 1
            return b""
        self.highest = record.token
        self.starts.pop(record.engine, None)
        if len(self.starts) >= MAX_ENGINES:
            del self.starts[next(iter(self.starts))]
        self.starts[record.engine] = record.born_ms, record.position
        return b"1"

    def _is_outdated(self, record: RecordProgress) -> bool:
        known = self.starts.get(record.engine, (0.0, 0))
        return record.token < self.highest or (record.born_ms, record.position) <= known

    def state(self) -> bytes:
        """Return the highest token and all starts as MessagePack, for a snapshot."""
        return encode(_State(self.highest, self.starts))

    def restore(self, index: int, state: bytes) -> None:
        """Restore a state returned by `state`. Raise ValueError, without any change, if it is malformed."""
        try:
            decoded = _STATE.decode(state)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(f"malformed warm-up progress: {error}") from None
        self.highest = decoded.highest
        self.starts = decoded.starts
