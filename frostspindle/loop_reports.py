"""Writes what the event loop reports of faults as log lines, in place of asyncio's text on standard error."""

from __future__ import annotations

import asyncio
from typing import Any

from frostspindle.telemetry import Telemetry

ACCEPT_MESSAGE = "socket.accept() out of system resource"  # asyncio's, for a server that it accepts for


def install(loop: asyncio.AbstractEventLoop, telemetry: Telemetry) -> None:
    """Log the reports of an event loop."""

    def on_report(_loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = repr(context.get("exception"))
        if context["message"] == ACCEPT_MESSAGE:  # asyncio tries again a second later
            telemetry.count("accepts_failed")
            telemetry.log_repeated("accept_failed", "out of system resources", error=error)
            return
        telemetry.count("faults")
        telemetry.log("exception_caught", error=error, of=context["message"])

    loop.set_exception_handler(on_report)
