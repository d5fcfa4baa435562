"""Writes what the event loop reports of faults as log lines, in place of asyncio's text on standard error."""

from __future__ import annotations

import asyncio
import traceback
from typing import Any

from frostspindle.telemetry import Telemetry

ACCEPT_MESSAGE = "socket.accept() out of system resource"  # asyncio's, for a server that it accepts for
ACCEPT_FUNCTION = "_accept_connection"  # asyncio's, from which other errors of accept come as exceptions


def _is_failed_accept(context: dict[str, Any]) -> bool:
    """Return whether a report tells of an accept that failed; asyncio tries again at once or a second later."""
    error = context.get("exception")
    if context["message"] == ACCEPT_MESSAGE:
        return True
    if not isinstance(error, OSError):
        return False
    return any(frame.name == ACCEPT_FUNCTION for frame in traceback.extract_tb(error.__traceback__))


def install(loop: asyncio.AbstractEventLoop, telemetry: Telemetry) -> None:
    """Log the reports of an event loop."""

    def on_report(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = repr(context.get("exception"))
        if _is_failed_accept(context):
            telemetry.count("accepts_failed")
            telemetry.log_repeated("accept_failed", "event loop", error=error)
            return
        telemetry.count("faults")
        telemetry.log("exception_caught", error=error, of=context["message"])

    loop.set_exception_handler(on_report)
