"""What the event loop reports of faults: one log line each, in the form of all others."""

import asyncio
import io
import json

import pytest

from frostspindle import loop_reports
from frostspindle.telemetry import Telemetry


# Guards against: an accept that failed at the operators' port was told as a traceback of several lines of plain text.
@pytest.mark.parametrize(
    "message, event, counter",
    [
        ("socket.accept() out of system resource", "accept_failed", "accepts_failed"),
        ("Task exception was never retrieved", "exception_caught", "faults"),
    ],
)
def test_report_of_the_event_loop_is_one_log_line(message, event, counter, capfd):
    sink = io.BytesIO()
    telemetry = Telemetry("n", sink)

    async def report():
        loop = asyncio.get_running_loop()
        loop_reports.install(loop, telemetry)
        loop.call_exception_handler({"message": message, "exception": OSError(23, "Too many open files in system")})

    asyncio.run(report())
    (line,) = [json.loads(text) for text in sink.getvalue().splitlines()]
    assert line["event"] == event and "Too many open files" in line["error"]
    assert telemetry.counts[(counter, "", "")] == 1
    assert capfd.readouterr().err == ""
