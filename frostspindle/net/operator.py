"""The operators' port: one line a connection, one answer, then a close; or lines for as long as a caller stays.

Owns the listening socket that operators' staff call and how long and how large a call may be. A call that is one of
`stays` keeps its connection: whoever took it writes to it, and is told when it stops reading. It must never keep
a caller waiting behind client work (each answer is made in the callback that brings the call's last byte), never
let those who say nothing keep out those who ask, and never decide anything about requests: what a call does is
done by the parts that it is given.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

import msgspec

from frostspindle.config import Address
from frostspindle.telemetry import Telemetry

MAX_CALL_BYTES, MAX_CALLERS = 1024, 16  # the longest call, and how many callers may be connected
MAX_STREAM_CALL_BYTES, MAX_STREAMS = 65_536, 10_000  # the longest call of one who stays, and how many may
MAX_UNREAD_BYTES = 65_536  # bytes that wait for one who stays before it counts as not reading
CALL_TIMEOUT_S = 5.0  # from connecting until a call must be whole
_ENCODE = msgspec.json.Encoder().encode


def _words(takes: str) -> int:
    """How many words a call takes."""
    return 2 * takes.startswith("two ") + sum(word in ("a", "an", "one") for word in takes.split())


class OperatorError(Exception):
    """The reason why a call is refused; it becomes the `NAK` line."""


class CallerStream(Protocol):
    """What writes to a caller that keeps its connection."""

    def paused(self, on: bool) -> None:
        """Take that the caller has stopped reading (`on`) or reads again."""

    def gone(self) -> None:
        """Take that the connection has ended."""


class _OperatorConnection(asyncio.Protocol):
    """One connection: it reads up to the first line feed, answers, and closes, or stays."""

    def __init__(self, desk: OperatorServer) -> None:
        self.desk, self.line = desk, b""
        self.stay: CallerStream | None = None
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set before anything else is called

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.timer = asyncio.get_running_loop().call_later(CALL_TIMEOUT_S, self._late)
        self.desk.joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.desk.callers.pop(self, None)
        self.desk.staying.discard(self)
        if self.stay is not None:
            self.stay.gone()

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing() or self.stay is not None:
            return
        self.line += data
        line, mark, _ = self.line.partition(b"\n")
        if len(line) > (MAX_STREAM_CALL_BYTES if self.desk.lengthy(line) else MAX_CALL_BYTES):
            self._say(b"NAK the call is too long\n")
        elif mark:
            self._take(line)

    def eof_received(self) -> None:
        if self.line and self.stay is None and not self.transport.is_closing():
            self._take(self.line)  # a caller that ends its line by ending its stream; one who stays must not

    def _take(self, line: bytes) -> None:
        if (open_ := self.desk.stay(line)) is None:
            self._say(self.desk.answer(line))
        elif (no := self.desk.open(self, open_, line)) is not None:
            self._say(no)

    # Of one who stays.

    def write(self, data: bytes) -> None:
        self.transport.write(data)

    def end(self) -> None:
        self.transport.close()

    def pause_writing(self) -> None:
        if self.stay is not None:
            self.stay.paused(True)

    def resume_writing(self) -> None:
        if self.stay is not None:
            self.stay.paused(False)

    def _late(self) -> None:
        self._say(b"NAK no call came\n")

    def _say(self, answer: bytes) -> None:
        self.timer.cancel()
        self.transport.write(answer)
        self.transport.close()


class OperatorServer:
    """The operators' port: all callers, and what each call does."""

    def __init__(self, at: Address | str, does: dict[str, Callable[..., Any]], telemetry: Telemetry) -> None:
        self.at, self.does, self.telemetry = at, does, telemetry
        self.stays: dict[
            str, Callable[[str, _OperatorConnection], CallerStream]
        ] = {}  # with the rest of the call's line
        self.takes: dict[str, str] = {}  # what a call takes, in words: one for each "a", "an" or "one", or "two ..."
        self.quiet = {"ready"}  # calls that come too often for a line each
        self.long: set[str] = set()  # calls that may be as long as those of who stays
        self.callers: dict[_OperatorConnection, None] = {}  # in the order in which they came
        self.staying: set[_OperatorConnection] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on the Unix socket or the TCP address; OSError if that can't be had."""
        loop = asyncio.get_running_loop()
        if isinstance(self.at, str):
            self._server = await loop.create_unix_server(
                lambda: _OperatorConnection(self), self.at, backlog=MAX_CALLERS
            )
        else:
            self._server = await loop.create_server(lambda: _OperatorConnection(self), *self.at, backlog=MAX_CALLERS)

    @property
    def port(self) -> int:
        """TCP port that is listened on."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening and close the connections of all callers."""
        if self._server is not None:
            self._server.close()
        for caller in [*self.callers, *self.staying]:
            caller.transport.close()

    def joined(self, caller: _OperatorConnection) -> None:
        """Register a caller; beyond CALLERS the one that has been connected longest without a call is dropped."""
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            first = next(iter(self.callers))
            del self.callers[first]
            first.transport.abort()

    def stay(self, line: bytes) -> Callable[[str, _OperatorConnection], CallerStream] | None:
        """Return what opens a call that keeps its connection, or None if this is not one."""
        return self.stays.get(line[:32].split(b" ", 1)[0].strip().decode("ascii", "replace")) if self.stays else None

    def lengthy(self, line: bytes) -> bool:
        """Return whether a call may be up to LONG bytes and not LINE."""
        return (
            self.stay(line) is not None
            or bool(self.long)
            and line[:32].split(b" ", 1)[0].decode("ascii", "replace") in self.long
        )

    def open(
        self, caller: _OperatorConnection, open_: Callable[[str, _OperatorConnection], CallerStream], line: bytes
    ) -> bytes | None:
        """Let a caller keep its connection and return None, or return the line that refuses it."""
        self.telemetry.count("operator_calls")
        name, _, rest = line.decode("utf-8", "replace").strip().partition(" ")
        try:
            if len(self.staying) >= MAX_STREAMS:
                raise OperatorError(f"{MAX_STREAMS} callers stay already")
            caller.stay = open_(rest.strip(), caller)
        except OperatorError as no:
            self.telemetry.count("operator_naks")
            return f"NAK {no}\n".encode()
        except Exception as error:  # noqa: BLE001 - as below
            self.telemetry.count("faults")
            self.telemetry.log("fault", error=repr(error), of=f"operator call {name}")
            return b"NAK a fault, see the log\n"
        caller.timer.cancel()
        caller.transport.set_write_buffer_limits(MAX_UNREAD_BYTES)
        self.callers.pop(caller, None)
        self.staying.add(caller)
        self.telemetry.log("operator", call=name)
        return None

    def answer(self, line: bytes) -> bytes:
        """Run one call and return its response; an exception in it is logged and answered with a `NAK` line."""
        name, *words = line.decode("utf-8", "replace").split()[:5] or [""]
        self.telemetry.count("operator_calls")
        try:
            if name not in self.does:
                raise OperatorError(f"no such call; there are {', '.join(sorted((*self.does, *self.stays)))}")
            takes = (
                "one engine"
                if name.endswith("-server")
                else "one number"
                if name == "unsubscribe"
                else "one task"
                if name == "release-owner"
                else self.takes.get(name, "")
            )
            if len(words) != _words(takes):
                raise OperatorError(f"{name} takes {takes or 'nothing more'}")
            result = self.does[name](*words)
        except OperatorError as no:
            self.telemetry.count("operator_naks")
            return f"NAK {no}\n".encode()
        except Exception as error:  # noqa: BLE001 - a caller's fault is its own
            self.telemetry.count("faults")
            self.telemetry.log("fault", error=repr(error), of=f"operator call {name}")
            return b"NAK a fault, see the log\n"
        if name not in self.quiet:
            self.telemetry.log("operator", call=name, of=words if name not in self.long else words[:2])
        if isinstance(result, bytes):  # it has its own form and end
            return result
        return b"ACK\n" if result is None else _ENCODE(result) + b"\n--\n"
