"""The operators' port: one line a connection, one answer, then a close.

Owns the listening socket that operators' staff call and how long and how large a call may be. It must never keep
a caller waiting behind client work (each answer is made in the callback that brings the call's last byte), never
let those who say nothing keep out those who ask, and never decide anything about requests: what a call does is
done by the parts that it is given.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import msgspec

from frostspindle.config import Address
from frostspindle.events import Events

LINE, CALLERS = 1024, 16  # the longest call, and how many callers may be connected
WHOLE_S = 5.0  # from connecting until a call must be whole
_ENCODE = msgspec.json.Encoder().encode


class Nak(Exception):
    """The reason why a call is answered with no."""


class _Caller(asyncio.Protocol):
    """One connection: it reads up to the first line feed, answers, and closes."""

    def __init__(self, desk: Desk) -> None:
        self.desk, self.line = desk, b""
        self.transport: asyncio.Transport = None  # type: ignore[assignment]  # set before anything else is called

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.timer = asyncio.get_running_loop().call_later(WHOLE_S, self._late)
        self.desk.joined(self)

    def connection_lost(self, error: Exception | None) -> None:
        self.timer.cancel()
        self.desk.callers.pop(self, None)

    def data_received(self, data: bytes) -> None:
        if self.transport.is_closing():
            return
        self.line += data
        line, mark, _ = self.line.partition(b"\n")
        if mark:
            self._say(self.desk.answer(line))
        elif len(self.line) > LINE:
            self._say(b"NAK the call is too long\n")

    def eof_received(self) -> None:
        if self.line and not self.transport.is_closing():  # a caller that ends its line by ending its stream
            self._say(self.desk.answer(self.line))

    def _late(self) -> None:
        self._say(b"NAK no call came\n")

    def _say(self, answer: bytes) -> None:
        self.timer.cancel()
        self.transport.write(answer)
        self.transport.close()


class Desk:
    """All callers, and what each call does."""

    def __init__(self, at: Address | str, does: dict[str, Callable[..., Any]], events: Events) -> None:
        self.at, self.does, self.events = at, does, events
        self.callers: dict[_Caller, None] = {}  # in the order in which they came
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        if isinstance(self.at, str):
            self._server = await loop.create_unix_server(lambda: _Caller(self), self.at, backlog=CALLERS)
        else:
            self._server = await loop.create_server(lambda: _Caller(self), *self.at, backlog=CALLERS)

    @property
    def port(self) -> int:
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for caller in list(self.callers):
            caller.transport.close()

    def joined(self, caller: _Caller) -> None:
        """Take one more; who has said nothing for longest makes room."""
        self.callers[caller] = None
        if len(self.callers) > CALLERS:
            first = next(iter(self.callers))
            del self.callers[first]
            first.transport.abort()

    def answer(self, line: bytes) -> bytes:
        """What one call is answered; a fault in it is a no."""
        name, *words = line.decode("utf-8", "replace").split()[:4] or [""]
        self.events.count("operator_calls")
        try:
            if name not in self.does:
                raise Nak(f"no such call; there are {', '.join(sorted(self.does))}")
            wanted = 1 if name.endswith("-server") else 0
            if len(words) != wanted:
                raise Nak(f"{name} takes {'one engine' if wanted else 'nothing more'}")
            result = self.does[name](*words)
        except Nak as no:
            self.events.count("operator_naks")
            return f"NAK {no}\n".encode()
        except Exception as error:  # noqa: BLE001 - a caller's fault is its own
            self.events.count("faults")
            self.events.log("fault", error=repr(error), of=f"operator call {name}")
            return b"NAK a fault, see the log\n"
        if name != "ready":
            self.events.log("operator", call=name, of=words)
        return b"ACK\n" if result is None else _ENCODE(result) + b"\n--\n"
