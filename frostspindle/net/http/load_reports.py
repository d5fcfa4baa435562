"""Parses the headers in which engines report their load, the progress of a query, and its cost.

Only finite figures within their ranges are returned. A malformed header is counted and treated as missing; it never
raises, and the rest of its response is used.
"""

from __future__ import annotations

import math

from frostspindle.config import POLICY_COLUMN_NAMES
from frostspindle.core import UNKNOWN_COST, MeasuredCost
from frostspindle.net.http.replies import EngineReply
from frostspindle.policy import ProgressKind
from frostspindle.telemetry import Telemetry

MAX_COST_MS = 3_600_000.0  # greatest processor time that a response may report for its query
MAX_MEMORY_MB = 1e8  # greatest memory that a response may report for its query
PROGRESS_KINDS = {b"pct": ProgressKind.PROGRESS, b"overflow": ProgressKind.SPILLS, b"queued": ProgressKind.WAITS}


class LoadReportParser:
    """Parses load, progress and cost headers; `columns` are the names of a load report's figures, in order."""

    def __init__(self, telemetry: Telemetry, columns: tuple[str, ...]) -> None:
        self.telemetry = telemetry
        self.columns = columns

    def report(self, reply: EngineReply) -> tuple[float, ...]:
        """Return the engine's load in the order of the columns; empty if missing or malformed."""
        text = reply.text(b"x-meter")
        if not text or not self.columns:
            return ()
        values: dict[str, float] = {}
        try:
            for name_value in text.split(";"):
                name, _, value = name_value.partition(":")
                number = float(value)
                values[POLICY_COLUMN_NAMES.get(name.strip(), name.strip())] = number if math.isfinite(number) else 0.0
            return tuple(values[column] for column in self.columns)
        except (ValueError, KeyError):
            self._count_malformed("engine_bad_reports", text)
            return ()

    def needed(self, reply: EngineReply) -> MeasuredCost:
        """Return the ms and MB that a successful query used; UNKNOWN_COST if malformed."""
        headers = reply.text(b"x-cost-ms"), reply.text(b"x-needed-mb")
        try:
            cost_ms, memory_mb = (float(text) if text else 0.0 for text in headers)
        except ValueError:
            cost_ms = math.nan
        if not (0.0 <= cost_ms <= MAX_COST_MS and 0.0 <= memory_mb <= MAX_MEMORY_MB):
            self._count_malformed("engine_bad_needs", "; ".join(headers))
            return UNKNOWN_COST
        return MeasuredCost(cost_ms, memory_mb)

    def _count_malformed(self, event: str, text: str) -> None:
        """Count a malformed header, and log only the first: an engine that sends one keeps sending them."""
        if not self.telemetry.counts[event, "", ""]:
            self.telemetry.log(event, text=text[:200])
        self.telemetry.count(event)

    def note(self, reply: EngineReply) -> tuple[ProgressKind, float] | None:
        """Return kind and value of a running query's progress; None if missing or malformed."""
        remark = reply.headers.get(b"x-remark")
        if not remark:
            return None
        try:
            value = float(reply.headers.get(b"x-value", b""))
        except ValueError:
            value = math.nan
        if remark not in PROGRESS_KINDS or not math.isfinite(value):
            self._count_malformed("engine_bad_notes", f"{reply.text(b'x-remark')}: {reply.text(b'x-value')}")
            return None
        return PROGRESS_KINDS[remark], value
