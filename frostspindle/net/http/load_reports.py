"""What engines say of themselves and of their queries: load reports, notes on progress, what a query took.

Owns the reading of those headers and the count of what can't be read. It must never let a figure through that is not
finite and in its range, and never raise: an unreadable word costs its sender nothing but the word.
"""

from __future__ import annotations

import math

from frostspindle.config import REPORTED
from frostspindle.core import UNKNOWN_COST, MeasuredCost
from frostspindle.net.http.replies import EngineReply
from frostspindle.policy import ProgressKind
from frostspindle.telemetry import Telemetry

MAX_COST_MS, MAX_MEMORY_MB = 3_600_000.0, 1e8  # of what an answer may say that its query needed
PROGRESS_KINDS = {b"pct": ProgressKind.PROGRESS, b"overflow": ProgressKind.SPILLS, b"queued": ProgressKind.WAITS}


class LoadReportParser:
    """Reads what engines report in headers; `columns` are the names of a load report's figures, in order."""

    def __init__(self, telemetry: Telemetry, columns: tuple[str, ...]) -> None:
        self.telemetry, self.columns = telemetry, columns

    def report(self, reply: EngineReply) -> tuple[float, ...]:
        """Return the engine's load in the order of the columns; empty if there is none that can be read."""
        text = reply.text(b"x-meter")
        if not text or not self.columns:
            return ()
        values: dict[str, float] = {}
        try:
            for part in text.split(";"):
                name, _, value = part.partition(":")
                number = float(value)
                values[REPORTED.get(name.strip(), name.strip())] = number if math.isfinite(number) else 0.0
            return tuple(values[column] for column in self.columns)
        except (ValueError, KeyError):
            self._unreadable("engine_bad_reports", text)
            return ()

    def needed(self, reply: EngineReply) -> MeasuredCost:
        """Return the ms and MB that the query needed, from its good end; UNKNOWN_COST if they can't be read."""
        said = reply.text(b"x-cost-ms"), reply.text(b"x-needed-mb")
        try:
            cost_ms, memory_mb = (float(text) if text else 0.0 for text in said)
        except ValueError:
            cost_ms = math.nan
        if not (0.0 <= cost_ms <= MAX_COST_MS and 0.0 <= memory_mb <= MAX_MEMORY_MB):
            self._unreadable("engine_bad_needs", "; ".join(said))
            return UNKNOWN_COST
        return MeasuredCost(cost_ms, memory_mb)

    def _unreadable(self, what: str, text: str) -> None:
        """Count it, and log it the first time: an engine that writes it once writes it with every answer."""
        if not self.telemetry.counts[what, "", ""]:
            self.telemetry.log(what, text=text[:200])
        self.telemetry.count(what)

    def note(self, reply: EngineReply) -> tuple[ProgressKind, float] | None:
        """Return kind and value of the news of a running query; None: there are none that can be read."""
        remark = reply.headers.get(b"x-remark")
        if not remark:
            return None
        try:
            value = float(reply.headers.get(b"x-value", b""))
        except ValueError:
            value = math.nan
        if remark not in PROGRESS_KINDS or not math.isfinite(value):
            self._unreadable("engine_bad_notes", f"{reply.text(b'x-remark')}: {reply.text(b'x-value')}")
            return None
        return PROGRESS_KINDS[remark], value
