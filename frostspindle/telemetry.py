"""Log and counters of one process.

The log has one JSON line per event, on standard error. The counters record requests received, sent and answered, by
front and class; SIGUSR1, the exit and the SNMP agent all report these same counters. Logging and counting raise no
error into the caller, and statements, rows and passwords must not be logged. The lines are made by structlog;
docs/design/plumbing.md lists the processors in use and their cost.
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

MAX_LINES_PER_S = 200  # a repeating fault must not use up the core's CPU time
MAX_REPEATED_LINES_PER_S = 10  # of one event and reason that many clients can cause at once


# The counter's name, the front and the class name; the last two may be empty. A plain tuple, because one is created for
# each count and creating a NamedTuple takes several times as long.
CounterKey = tuple[str, str, str]

LOG_FAILED: CounterKey = ("log_failed", "", "")


class LogRateLimiter:
    """Limits the number of log lines per second. It reads no clock: the caller passes the time."""

    def __init__(self, max_lines_per_s: int) -> None:
        self._max_lines_per_s = max_lines_per_s
        self._second = 0  # the current second, in Unix time
        self._lines = 0  # requested in this second
        self._dropped = 0  # of those requested in this second

    def take(self, now_s: float) -> tuple[bool, int]:
        """Return whether a line may be written at `now_s` (Unix), and how many were dropped in an earlier second.

        Each dropped line is reported once.
        """
        dropped_before = 0
        if int(now_s) != self._second:
            dropped_before = self._dropped
            self._second = int(now_s)
            self._lines = 0
            self._dropped = 0
        self._lines += 1
        if self._lines > self._max_lines_per_s:
            self._dropped += 1
            return False, dropped_before
        return True, dropped_before


class _RepeatedLines:
    """The lines of one event and reason in the current second."""

    __slots__ = ("_second", "_written", "suppressed")

    def __init__(self) -> None:
        self._second = -1
        self._written = 0
        self.suppressed = 0  # since the last line

    def take(self, now_s: float) -> bool:
        """Return whether a line may be written at `now_s`; count it as suppressed if not."""
        if int(now_s) != self._second:
            self._second = int(now_s)
            self._written = 0
        self._written += 1
        if self._written <= MAX_REPEATED_LINES_PER_S:
            return True
        self.suppressed += 1
        return False


class _JsonLogger(structlog.BoundLoggerBase):
    """Adds the node and the worker, which are bound to the logger, to each line."""

    def write(self, event: str, timestamp_s: float, fields: dict[str, Any]) -> None:
        self._proxy_to_logger("msg", event, ts=timestamp_s, fields=fields)


def _order_keys(_logger: Any, _method: str, event_dict: EventDict) -> EventDict:
    """Order the keys of a line as documented: time, node, event, then the event's fields and the worker."""
    line = {"ts": event_dict["ts"], "node": event_dict["node"], "event": event_dict["event"], **event_dict["fields"]}
    if event_dict["worker"] is not None:
        line["worker"] = event_dict["worker"]
    return line


def _json_logger(sink: BinaryIO, node: str, worker: int | None) -> _JsonLogger:
    return _JsonLogger(
        structlog.BytesLogger(sink),
        [_order_keys, structlog.processors.JSONRenderer(orjson.dumps, default=str)],
        {"node": node, "worker": worker},
    )


class Telemetry:
    """The log and the counters of one process; only the event loop's thread may use them."""

    def __init__(self, name: str = "", sink: BinaryIO | None = None, worker: int | None = None) -> None:
        self.name = name  # of this node
        self.started = time.time()  # Unix seconds
        self._started_monotonic_s = time.monotonic()
        self.counts: Counter[CounterKey] = Counter()
        self.on_count_changed: Callable[[CounterKey, int], None] | None = None  # called with the new total
        self._logger = _json_logger(sink or sys.stderr.buffer, name, worker)
        self._rate_limiter = LogRateLimiter(MAX_LINES_PER_S)
        self._repeated: dict[tuple[str, str], _RepeatedLines] = {}  # by event and reason

    def up_s(self) -> float:
        """Return how long this process has run, in s; steps of the wall clock have no effect on it."""
        return time.monotonic() - self._started_monotonic_s

    def count(self, counter: str, front: str = "", class_name: str = "", amount: int = 1) -> None:
        """Add `amount` to a counter, broken down by front and class where these are given."""
        key = (counter, front, class_name)
        self.counts[key] += amount
        if self.on_count_changed is not None:
            self.on_count_changed(key, self.counts[key])

    def log(self, event: str, **fields: Any) -> None:
        """Write one JSON line; drop and count it if MAX_LINES_PER_S were already written in this second.

        The number of dropped lines is logged in a later second as `log_lines_dropped`. A broken sink or a value that
        can't be encoded raises nothing and is counted as `log_failed`.
        """
        now_s = time.time()
        is_allowed, dropped = self._rate_limiter.take(now_s)
        if dropped:
            self._write(now_s, "log_lines_dropped", {"lines": dropped})
        if is_allowed:
            self._write(now_s, event, fields)

    def log_repeated(self, event: str, reason: str, **fields: Any) -> None:
        """Log an event that many clients can cause at once; `reason` must be one of a few fixed texts.

        Beyond MAX_REPEATED_LINES_PER_S of the event and reason, lines are left out; the next one has their number in
        `suppressed`. So one crowd does not use up the lines of all other events.
        """
        lines = self._repeated.setdefault((event, reason), _RepeatedLines())
        if not lines.take(time.monotonic()):
            return
        if lines.suppressed:
            fields["suppressed"] = lines.suppressed
            lines.suppressed = 0
        self.log(event, reason=reason, **fields)

    def report(self, **fields: Any) -> None:
        """Write all counters and the given fields as one event; the rate limit does not apply."""
        rows = [
            {"what": counter, "front": front, "class": class_name, "count": count}
            for (counter, front, class_name), count in sorted(self.counts.items())
        ]
        now_s = time.time()
        self._write(now_s, "counters_reported", {"up_s": round(self.up_s(), 1), "counters": rows, **fields})

    def _write(self, now_s: float, event: str, fields: dict[str, Any]) -> None:
        try:
            self._logger.write(event, round(now_s, 3), fields)
        except (OSError, ValueError, TypeError):  # a closed sink, or a text or key that JSON can't encode
            self.counts[LOG_FAILED] += 1
