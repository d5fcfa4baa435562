"""Events and counters: what the program tells of itself.

Owns the log, one JSON line an event on standard error, and the counters of what is taken in, sent and
answered, by front and class; SIGUSR1, the exit and the SNMP agent all read these same counters. It never
decides anything, never raises into its caller, and never writes statements, rows or passwords. Lines are made by
structlog; which of its processors, and what they cost: docs/design/plumbing.md.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson
import structlog
from structlog.typing import EventDict

LINES_A_SECOND = 200  # a fault that repeats must not cost the core its processor


class LogRateLimiter:
    """A limit on log lines in each second. It reads no clock: `now` is in Unix seconds."""

    def __init__(self, lines: int) -> None:
        self.lines = lines
        self._second = self._taken = self._dropped = 0

    def take(self, now: float) -> tuple[bool, int]:
        """Return whether a line may be written, and how many were dropped in an earlier second, told once."""
        dropped = 0
        if int(now) != self._second:
            dropped, self._second, self._taken, self._dropped = self._dropped, int(now), 0, 0
        self._taken += 1
        if self._taken > self.lines:
            self._dropped += 1
            return False, dropped
        return True, dropped


class _JsonLogger(structlog.BoundLoggerBase):
    """What is bound here goes into each line."""

    def write(self, event: str, ts: float, fields: dict[str, Any]) -> None:
        self._proxy_to_logger("msg", event, ts=ts, fields=fields)


def _ordered(_: Any, __: str, said: EventDict) -> EventDict:
    """The order of keys that readers of the log know: when, who, what, then the rest and the worker."""
    line = {"ts": said["ts"], "node": said["node"], "event": said["event"], **said["fields"]}
    if said["worker"] is not None:
        line["worker"] = said["worker"]
    return line


def _line(sink: BinaryIO, node: str, worker: int | None) -> _JsonLogger:
    return _JsonLogger(
        structlog.BytesLogger(sink),
        [_ordered, structlog.processors.JSONRenderer(orjson.dumps, default=str)],
        {"node": node, "worker": worker},
    )


class Telemetry:
    """The log and the counters of one process."""

    def __init__(self, name: str = "", sink: BinaryIO | None = None, worker: int | None = None) -> None:
        self.name = name
        self._line = _line(sink or sys.stderr.buffer, name, worker)
        self._allowance = LogRateLimiter(LINES_A_SECOND)
        self.mirror: Callable[[tuple[str, str, str], int], None] | None = None  # each count as it stands now
        self.started = time.time()
        self.counts: Counter[tuple[str, str, str]] = Counter()

    def count(self, what: str, front: str = "", cls: str = "", by: int = 1) -> None:
        """Add `by` to the counter for an event, a front and a class, and tell `mirror` the new total."""
        key = (what, front, cls)
        self.counts[key] += by
        if self.mirror is not None:
            self.mirror(key, self.counts[key])

    def log(self, event: str, **fields: Any) -> None:
        """Write one JSON line, unless this second's LINES_A_SECOND are used up: then it is dropped and counted.

        The count of dropped lines follows in a later second as `lines_dropped`. Never raises for a sink or a value that
        can't be written: that counts as `log_failed`.
        """
        now = time.time()
        may, dropped = self._allowance.take(now)
        if dropped:
            self._write(now, "lines_dropped", {"lines": dropped})
        if may:
            self._write(now, event, fields)

    def _write(self, now: float, event: str, fields: dict[str, Any]) -> None:
        try:
            self._line.write(event, round(now, 3), fields)
        except (OSError, ValueError, TypeError):  # a sink that is gone, a text or a key that JSON can't have
            self.counts[("log_failed", "", "")] += 1

    def report(self, **more: Any) -> None:
        """Write all counters as one event, with the fields of `more`; not subject to the limit on lines."""
        rows = [
            {"what": what, "front": front, "class": cls, "count": count}
            for (what, front, cls), count in sorted(self.counts.items())
        ]
        now = time.time()
        self._write(now, "counters", {"up_s": round(now - self.started, 1), "counters": rows, **more})
