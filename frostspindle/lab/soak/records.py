"""Records of a run for the checker: requests as their clients saw them, and queries as the engines saw them.

All times are Unix seconds of the machine that runs clients, engines and coordinator.
"""

from __future__ import annotations

import math
import time
from dataclasses import dataclass, field
from enum import StrEnum


class RequestClass(StrEnum):
    """The request classes, by their names in the settings."""

    LOOKUP = "lookup"
    REPORT = "report"
    LOAD = "load"  # must not run twice; some carry an ordering key


class AnswerKind(StrEnum):
    """The outcome of a request in its final response."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"


@dataclass(slots=True)
class Request:
    """One request, as its client saw it."""

    ticket: str
    request_class: RequestClass
    key: str
    timeout_s: float
    written_at: float = 0.0  # when the last byte of its last attempt was written
    statement: str = ""
    path: str = ""  # the last path that it was told to poll
    answers: list[tuple[float, AnswerKind]] = field(default_factory=list)
    rows_are_own: bool = True
    left_at: float | None = None
    lost_reason: str = ""  # why the final response is missing
    never_accepted: bool = False  # no process accepted its connection
    history: list[str] = field(default_factory=list)

    @property
    def deadline_at(self) -> float:
        """Return the deadline of the request."""
        return self.written_at + self.timeout_s

    def record_event(self, unix_s: float, text: str) -> None:
        """Add an event to the history of the request."""
        self.history.append(f"{unix_s:.3f} {text}")


@dataclass(slots=True)
class EngineRun:
    """One query that an engine received completely."""

    ticket: str
    engine: str
    started_at: float  # first byte of its POST
    received_at: float
    max_ms: float
    polled_at: float
    ended_at: float | None = None  # its result was written, or it was deleted or expired
    ending: str = ""

    def may_run_until(self, expiry_s: float) -> float:
        """Return until when the query may run: to its end, or until `expiry_s` after it was last polled."""
        expires_at = self.polled_at + expiry_s
        return expires_at if self.ended_at is None else min(self.ended_at, expires_at)


@dataclass(slots=True)
class Drain:
    """A drain of an engine that was announced on the event bus."""

    engine: str
    announced_at: float = math.inf
    replaced_at: float = math.inf  # when its successor was started

    def announce(self) -> None:
        """Record that the drain is announced now."""
        self.announced_at = time.time()
