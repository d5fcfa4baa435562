"""What the parties of a run record, for the judge: requests with what their clients saw, and runs at engines.

All times are Unix seconds of the one machine that all parties run on.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum


class RequestClass(StrEnum):
    """The classes of the requests, by their names in the settings."""

    LOOKUP = "lookup"
    REPORT = "report"
    LOAD = "load"  # must not be run twice; some carry an ordering key


class AnswerKind(StrEnum):
    """What a final answer tells the client."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class Request:
    """One request of a client, and what the client saw of it."""

    ticket: str
    request_class: RequestClass
    key: str
    timeout_s: float
    written_at: float = 0.0  # its last byte, at the last time that it was written
    statement: str = ""
    path: str = ""  # the last that it was told to ask under
    answers: list[tuple[float, AnswerKind]] = field(default_factory=list)
    rows_are_own: bool = True
    left_at: float | None = None
    lost_reason: str = ""  # why it has no answer that it is owed
    never_accepted: bool = False  # nobody accepted its connection
    history: list[str] = field(default_factory=list)

    @property
    def deadline_at(self) -> float:
        """When its time is over."""
        return self.written_at + self.timeout_s

    def record_event(self, at: float, text: str) -> None:
        """Add a line to its story."""
        self.history.append(f"{at:.3f} {text}")


@dataclass(slots=True)
class EngineRun:
    """One query that reached an engine whole."""

    ticket: str
    engine: str
    started_at: float  # first byte of its POST
    received_at: float
    max_ms: float
    polled_at: float
    ended_at: float | None = None  # its end was written, or it was given up
    ending: str = ""

    def may_run_until(self, expiry_s: float) -> float:
        """Return until when it counts as out: to its end, or for so long after it was last asked for."""
        expires_at = self.polled_at + expiry_s
        return expires_at if self.ended_at is None else min(self.ended_at, expires_at)


@dataclass(slots=True)
class Drain:
    """An engine that the event bus has told to be draining."""

    engine: str
    announced_at: float
    replaced_at: float = math.inf  # when its successor was started
