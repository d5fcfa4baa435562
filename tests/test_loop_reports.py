"""What the event loop reports of faults: one log line each, in the form of all others."""

import asyncio
import errno
import io
import json
import socket
import unittest.mock

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


# Guards against: an accept that failed with an error that asyncio does not expect was told as a fault of the program.
def test_unexpected_error_of_accept_is_a_failed_accept():
    sink = io.BytesIO()
    telemetry = Telemetry("n", sink)

    async def accept_once():
        loop = asyncio.get_running_loop()
        loop_reports.install(loop, telemetry)
        server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
        failures = [OSError(errno.EPROTO, "Protocol error")]
        accept = socket.socket.accept

        def failing_accept(sock):
            if failures:
                raise failures.pop()
            return accept(sock)

        with unittest.mock.patch.object(socket.socket, "accept", failing_accept):
            reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
            assert await reader.read() == b""  # it is accepted in the next turn
        writer.close()
        server.close()

    asyncio.run(accept_once())
    lines = [json.loads(text) for text in sink.getvalue().splitlines()]
    assert {line["event"] for line in lines} == {"accept_failed"}
