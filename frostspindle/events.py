"""Events and counters: what the program tells of itself.

Owns the log, one JSON line an event on standard error, and the counters of what is taken in, sent and
answered, by front and class; SIGUSR1, the exit and the SNMP agent all read these same counters. It never
decides anything, never raises into its caller, and never writes statements, rows or passwords.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Callable
from typing import Any, BinaryIO

import orjson

LINES_A_SECOND = 200  # a fault that repeats must not cost the core its processor


class Events:
    """The log and the counters of one process."""

    def __init__(self, name: str = "", sink: BinaryIO | None = None, worker: int | None = None) -> None:
        self.name, self.sink, self.worker = name, sink or sys.stderr.buffer, worker
        self.mirror: Callable[[tuple[str, str, str], int], None] | None = None  # each count as it stands now
        self.started = time.time()
        self.counts: Counter[tuple[str, str, str]] = Counter()
        self._second, self._lines, self._dropped = 0, 0, 0

    def count(self, what: str, front: str = "", cls: str = "", by: int = 1) -> None:
        key = (what, front, cls)
        self.counts[key] += by
        if self.mirror is not None:
            self.mirror(key, self.counts[key])

    def log(self, event: str, **fields: Any) -> None:
        now = time.time()
        if int(now) != self._second:
            dropped, self._second, self._lines, self._dropped = self._dropped, int(now), 0, 0
            if dropped:
                self._write(now, "lines_dropped", {"lines": dropped})
        self._lines += 1
        if self._lines > LINES_A_SECOND:
            self._dropped += 1
            return
        self._write(now, event, fields)

    def _write(self, now: float, event: str, fields: dict[str, Any]) -> None:
        line = {"ts": round(now, 3), "node": self.name, "event": event, **fields}
        if self.worker is not None:
            line["worker"] = self.worker
        try:
            self.sink.write(orjson.dumps(line, default=str, option=orjson.OPT_APPEND_NEWLINE))
            self.sink.flush()
        except (OSError, ValueError, orjson.JSONEncodeError):
            self.counts[("log_failed", "", "")] += 1

    def report(self, **more: Any) -> None:
        """All counters as one event, with what else there is to tell."""
        rows = [{"what": what, "front": front, "class": cls, "count": count}
                for (what, front, cls), count in sorted(self.counts.items())]
        now = time.time()
        self._write(now, "counters", {"up_s": round(now - self.started, 1), "counters": rows, **more})
