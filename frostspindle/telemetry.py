"""Log and counters of one process.

The log is one JSON line an event on standard error. The counters tell what was taken in, sent and answered, by front
and class; SIGUSR1, the exit and the SNMP agent all read these same counters. Nothing here raises into its caller or
writes statements, rows or passwords. Lines are made by structlog; which of its processors, and what they cost:
docs/design/plumbing.md.
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

MAX_LINES_PER_S = 200  # a fault that repeats must not cost the core its processor time


# The counter's name, the front and the class name; the last two may be empty. A plain tuple, because one is made for
# each count and a NamedTuple costs several times as much.
CounterKey = tuple[str, str, str]

LOG_FAILED: CounterKey = ("log_failed", "", "")


class LogRateLimiter:
    """A limit on the log lines of each second. It reads no clock."""

    def __init__(self, max_lines_per_s: int) -> None:
        self._max_lines_per_s = max_lines_per_s
        self._second = 0  # the current one, in Unix time
        self._lines = 0  # asked for in this second
        self._dropped = 0  # of these

    def take(self, now_s: float) -> tuple[bool, int]:
        """Return whether a line may be written at `now_s` (Unix), and how many were dropped in an earlier second.

        Dropped lines are returned once.
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


class _JsonLogger(structlog.BoundLoggerBase):
    """Adds what is bound to it, the node and the worker, to each line."""

    def write(self, event: str, timestamp_s: float, fields: dict[str, Any]) -> None:
        self._proxy_to_logger("msg", event, ts=timestamp_s, fields=fields)


def _order_keys(_logger: Any, _method: str, event_dict: EventDict) -> EventDict:
    """Put the keys into the order that readers of the log know: time, node, event, then the rest and the worker."""
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
    """The log and the counters of one process, used by its event loop's thread only."""

    def __init__(self, name: str = "", sink: BinaryIO | None = None, worker: int | None = None) -> None:
        self.name = name  # of this node
        self.started = time.time()  # Unix seconds
        self._started_monotonic_s = time.monotonic()
        self.counts: Counter[CounterKey] = Counter()
        self.on_count_changed: Callable[[CounterKey, int], None] | None = None  # called with the new total
        self._logger = _json_logger(sink or sys.stderr.buffer, name, worker)
        self._rate_limiter = LogRateLimiter(MAX_LINES_PER_S)

    def up_s(self) -> float:
        """Return how long this process has run, in s, whatever became of the wall clock."""
        return time.monotonic() - self._started_monotonic_s

    def count(self, counter: str, front: str = "", class_name: str = "", amount: int = 1) -> None:
        """Add `amount` to a counter, by front and class where these are given."""
        key = (counter, front, class_name)
        self.counts[key] += amount
        if self.on_count_changed is not None:
            self.on_count_changed(key, self.counts[key])

    def log(self, event: str, **fields: Any) -> None:
        """Write one JSON line, unless this second's MAX_LINES_PER_S are used up: then it is dropped and counted.

        The count of dropped lines follows in a later second as `lines_dropped`. Never raises for a sink or a value that
        can't be written: that counts as `log_failed`.
        """
        now_s = time.time()
        is_allowed, dropped = self._rate_limiter.take(now_s)
        if dropped:
            self._write(now_s, "log_lines_dropped", {"lines": dropped})
        if is_allowed:
            self._write(now_s, event, fields)

    def report(self, **fields: Any) -> None:
        """Write all counters as one event, with the given fields; not subject to the limit on lines."""
        rows = [
            {"what": counter, "front": front, "class": class_name, "count": count}
            for (counter, front, class_name), count in sorted(self.counts.items())
        ]
        now_s = time.time()
        self._write(now_s, "counters_reported", {"up_s": round(self.up_s(), 1), "counters": rows, **fields})

    def _write(self, now_s: float, event: str, fields: dict[str, Any]) -> None:
        try:
            self._logger.write(event, round(now_s, 3), fields)
        except (OSError, ValueError, TypeError):  # a sink that is gone, a text or a key that JSON can't have
            self.counts[LOG_FAILED] += 1
