"""The operators' port: each connection makes one call, gets one answer and is closed, or receives a stream of lines.

Runs in the event loop and answers each call in the callback that receives its last byte, without waiting for client
work. The other parts of the program provide the handlers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from frostspindle.config import Address
from frostspindle.telemetry import Telemetry

MAX_CALL_BYTES = 1024
MAX_CALLERS = 16  # connected at once; streams are counted separately
MAX_STREAM_CALL_BYTES = 65_536  # of a call that opens a stream
MAX_STREAMS = 10_000
MAX_UNREAD_BYTES = 65_536  # buffered for a stream before its caller counts as not reading
MIN_UNREAD_BYTES = 1024  # the same, however many streams there are
DEFAULT_UNREAD_TOTAL_BYTES = 2 * 2**20  # buffered for all streams together
UNREAD_SHARE = 1 / 64  # of limits.memory_mb, the same
CALL_TIMEOUT_S = 5.0  # from connecting until a call must be complete
MAX_WORDS = 5  # of a call, with its name; further words are ignored
_NAME_BYTES = 32  # at the start of a call's line; contain its name
_ARGUMENTS = {"unsubscribe": "one number", "release-owner": "one task"}
_encode = msgspec.json.Encoder().encode


class OperatorError(Exception):
    """The reason for rejecting a call; sent as the `NAK` line."""


class CallerStream(Protocol):
    """Writes to a caller that keeps its connection."""

    def paused(self, on: bool) -> None:
        """Handle that the caller has stopped reading (`on`) or reads again."""

    def gone(self) -> None:
        """Handle the end of the connection."""


class _OperatorConnection(asyncio.Protocol):
    """One connection: reads up to the first line feed, then answers and closes, or becomes a stream."""

    def __init__(self, server: OperatorServer) -> None:
        self.server = server
        self.received = b""
        self.stream: CallerStream | None = None
        self._is_write_paused = False
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set in connection_made

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self._time_out)
        self.server.connected(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.server.callers.pop(self, None)
        self.server.streams.discard(self)
        if self.stream is not None:
            self.stream.gone()

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing() or self.stream is not None:
            return
        self.received += data
        line, line_feed, _ = self.received.partition(b"\n")
        if len(line) > self.server.max_bytes(line):
            self._answer(b"NAK the call is too long\n")
        elif line_feed:
            self._run(line)

    def eof_received(self) -> None:
        # A caller may end its line by closing its side of the connection, except for a stream.
        if self.received and self.stream is None and not self.transport.is_closing():
            self._run(self.received)

    def _run(self, line: bytes) -> None:
        open_stream = self.server.stream_handler(line)
        if open_stream is None:
            self._answer(self.server.answer(line))
            return
        refusal = self.server.open_stream(self, open_stream, line)
        if refusal is not None:
            self._answer(refusal)

    # Streams.

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    def end(self) -> None:
        self.transport.close()

    def pause_writing(self) -> None:
        self._is_write_paused = True
        if self.stream is not None:
            self.stream.paused(True)

    def resume_writing(self) -> None:
        # asyncio reports the end of a connection twice if a write fails within this callback.
        self._is_write_paused = False
        asyncio.get_running_loop().call_soon(self._on_writable)

    def _on_writable(self) -> None:
        if self.stream is not None and not self._is_write_paused and not self.transport.is_closing():
            self.stream.paused(False)

    def _time_out(self) -> None:
        self._answer(b"NAK no call received before the timeout\n")

    def _answer(self, answer: bytes) -> None:
        self.timer.cancel()
        self.transport.write(answer)
        self.transport.close()


StreamHandler = Callable[[str, _OperatorConnection], CallerStream]


class OperatorServer:
    """The operators' port: its callers and the handlers of calls.

    `handlers` answer at once; `stream_handlers` get the rest of the call's line and keep the connection.
    """

    def __init__(self, address: Address | str, handlers: dict[str, Callable[..., Any]], telemetry: Telemetry) -> None:
        self.address = address
        self.handlers = handlers
        self.telemetry = telemetry
        self.stream_handlers: dict[str, StreamHandler] = {}
        # Description of a call's arguments: each "a", "an" or "one" stands for one argument, "two ..." for two.
        self.arguments: dict[str, str] = {}
        self.unlogged_calls = {"ready"}  # too frequent for the log
        self.long_calls: set[str] = set()  # calls that may be as long as those that open a stream
        self.callers: dict[_OperatorConnection, None] = {}  # in the order of connecting
        self.streams: set[_OperatorConnection] = set()
        self.max_unread_total = DEFAULT_UNREAD_TOTAL_BYTES
        self._max_unread = MAX_UNREAD_BYTES  # of one stream
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the Unix socket or TCP address; raise OSError if it is not available."""
        loop = asyncio.get_running_loop()
        if isinstance(self.address, str):
            self._server = await loop.create_unix_server(self._make_protocol, self.address, backlog=MAX_CALLERS)
        else:
            self._server = await loop.create_server(self._make_protocol, *self.address, backlog=MAX_CALLERS)

    def _make_protocol(self) -> _OperatorConnection:
        return _OperatorConnection(self)

    @property
    def port(self) -> int:
        """TCP port of the listening socket."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening and close the connections of all callers."""
        if self._server is not None:
            self._server.close()
        for caller in [*self.callers, *self.streams]:
            caller.transport.close()

    def connected(self, caller: _OperatorConnection) -> None:
        """Register a caller; beyond MAX_CALLERS, abort the one connected longest without a call."""
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            oldest_caller = next(iter(self.callers))
            del self.callers[oldest_caller]
            oldest_caller.transport.abort()

    def stream_handler(self, line: bytes) -> StreamHandler | None:
        """Return the handler of a call that opens a stream, or None for other calls."""
        if not self.stream_handlers:
            return None
        return self.stream_handlers.get(_call_name(line).strip())

    def max_bytes(self, line: bytes) -> int:
        """Return the maximum length of a call that starts with `line`."""
        if self.stream_handler(line) is not None or (self.long_calls and _call_name(line) in self.long_calls):
            return MAX_STREAM_CALL_BYTES
        return MAX_CALL_BYTES

    def open_stream(self, caller: _OperatorConnection, handler: StreamHandler, line: bytes) -> bytes | None:
        """Open a stream and return None, or return the line that rejects the call."""
        self.telemetry.count("operator_calls")
        name, _, argument_text = line.decode("utf-8", "replace").strip().partition(" ")
        try:
            if len(self.streams) >= MAX_STREAMS:
                raise OperatorError(f"{MAX_STREAMS} streams are already open")
            caller.stream = handler(argument_text.strip(), caller)
        except OperatorError as refusal:
            return self._refuse(refusal)
        except Exception as error:  # noqa: BLE001 - a fault ends this call only
            return self._log_exception(name, error)
        caller.timer.cancel()
        self.callers.pop(caller, None)
        self.streams.add(caller)
        self._divide_unread(caller)
        self.telemetry.log("operator_called", call=name)
        return None

    def _divide_unread(self, newest: _OperatorConnection) -> None:
        """Divide the bytes that may be buffered among the streams; a new division only as their number doubles."""
        places = 1 << len(self.streams).bit_length()
        max_unread = max(MIN_UNREAD_BYTES, min(MAX_UNREAD_BYTES, self.max_unread_total // places))
        changed = [newest] if max_unread == self._max_unread else list(self.streams)
        self._max_unread = max_unread
        for caller in changed:
            caller.transport.set_write_buffer_limits(max_unread)

    def answer(self, line: bytes) -> bytes:
        """Run one call and return its response; exceptions are logged and answered with a `NAK` line."""
        name, *arguments = line.decode("utf-8", "replace").split()[:MAX_WORDS] or [""]
        self.telemetry.count("operator_calls")
        try:
            self._check(name, arguments)
            result = self.handlers[name](*arguments)
        except OperatorError as refusal:
            return self._refuse(refusal)
        except Exception as error:  # noqa: BLE001 - a fault ends this call only
            return self._log_exception(name, error)
        if name not in self.unlogged_calls:
            self.telemetry.log("operator_called", call=name, of=arguments[:2] if name in self.long_calls else arguments)
        if isinstance(result, bytes):  # already formatted
            return result
        return b"ACK\n" if result is None else _encode(result) + b"\n--\n"

    def _check(self, name: str, arguments: list[str]) -> None:
        """Raise OperatorError unless the call exists and has the right number of arguments."""
        if name not in self.handlers:
            calls = ", ".join(sorted((*self.handlers, *self.stream_handlers)))
            raise OperatorError(f"no such call; there are {calls}")
        expected = _ARGUMENTS.get(name) or self.arguments.get(name, "")
        if name.endswith("-server"):
            expected = "one engine"
        if len(arguments) != _count_arguments(expected):
            raise OperatorError(f"{name} takes {expected or 'nothing more'}")

    def _refuse(self, refusal: OperatorError) -> bytes:
        self.telemetry.count("operator_naks")
        return f"NAK {refusal}\n".encode()

    def _log_exception(self, name: str, error: Exception) -> bytes:
        self.telemetry.count("faults")
        self.telemetry.log("exception_caught", error=repr(error), of=f"operator call {name}")
        return b"NAK internal error, see the log\n"


def _call_name(line: bytes) -> str:
    return line[:_NAME_BYTES].split(b" ", 1)[0].decode("ascii", "replace")


def _count_arguments(expected: str) -> int:
    """Return the number of arguments in a description."""
    return 2 * expected.startswith("two ") + sum(word in ("a", "an", "one") for word in expected.split())
