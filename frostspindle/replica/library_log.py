"""Forwards the Raft library's warnings to the program's log, with a counter."""

from __future__ import annotations

import logging

from frostspindle.telemetry import Telemetry


class TelemetryLogHandler(logging.Handler):
    """Passes warnings and errors to the telemetry, truncated to 200 characters."""

    def __init__(self, telemetry: Telemetry) -> None:
        super().__init__(logging.WARNING)
        self.telemetry: Telemetry = telemetry

    def emit(self, record: logging.LogRecord) -> None:
        """Count and log a record."""
        self.telemetry.count("replica_library")
        self.telemetry.log("replica_library_logged", level=record.levelname, text=record.getMessage()[:200])


def redirect_library_log(telemetry: Telemetry) -> None:
    """Make the library's logger write only to this telemetry."""
    logger = logging.getLogger("pysyncobj")
    logger.handlers = [TelemetryLogHandler(telemetry)]
    logger.propagate = False
