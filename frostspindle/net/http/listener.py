"""The listening socket: who is let in, how many in one turn, and when others are let first.

Owns the socket and the connections that were accepted and are not yet set up. It must never bind, shut down or listen
anew on a socket that the platform holds, never accept more in one turn than fits into the descriptors, and never
look at what a client sends.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from frostspindle.config import Config
from frostspindle.core import clock
from frostspindle.net.http.arrival_clock import ArrivalClock
from frostspindle.telemetry import Telemetry

ACCEPT, BACKLOG = 16, 512  # connections accepted in one turn, and those that the system keeps waiting
ROOM_S = 0.02  # accepting rests for so long when all places are taken by those who ask
LET_GO_S = 0.003  # how long a worker with more connections than another leaves a new one to it
SHORT_S = 0.1  # accepting rests for so long when descriptors run out all the same


class Listener:
    """Accepts connections until told to leave.

    `joins` makes the protocol of a new connection, on which bytes may have come since the time that it is given (Unix
    ms); `room` tells whether one more may be accepted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        telemetry: Telemetry,
        joins: Callable[[float], asyncio.BaseProtocol],
        room: Callable[[], bool],
    ) -> None:
        self.loop, self.telemetry, self.joins, self.room = loop, telemetry, joins, room
        self.looks = ArrivalClock.of(loop)
        self.accepts: Callable[[], bool] | None = None  # whether a new one is ours before it is another worker's
        self.port = 0
        self._listener: socket.socket | None = None
        self._since_ms, self._seen = clock(), 0  # whoever waits in the system's line came after this; the look then
        self._joining: set[asyncio.Task[Any]] = set()

    @property
    def joining(self) -> int:
        """Number of connections that were accepted in this turn."""
        return len(self._joining)

    def last(self) -> None:
        """Accept all that queue at the socket, which would be reset with it, and stop accepting."""
        self._look()
        for _ in range(BACKLOG):
            if self._listener is None or not self._accept_one():
                break
        self.leave()

    def start(self, config: Config) -> None:
        """Accept from the socket that the platform holds, or from a new one; OSError if that can't be had."""
        held = config.inherited if config.listener is None else config.listener
        if held is not None:
            # It is shared with the platform and another process: no bind, no shutdown, and no listen, which would
            # set its backlog anew.
            listener = socket.socket(fileno=held)
        else:
            host, port = config.listen
            listener = socket.create_server(
                (host, port), family=socket.AF_INET6 if ":" in host else socket.AF_INET, backlog=BACKLOG
            )
        listener.setblocking(False)
        self._since_ms = clock()
        self._listener, self.port = listener, listener.getsockname()[1]
        self._listen()

    def _listen(self, waited: bool = False) -> None:
        if self._listener is not None:
            self._seen = self.looks.count
            self.loop.add_reader(self._listener, self._accept)
            if waited:
                self._accept_one()

    def _accept(self) -> None:
        """Take a few: all of one turn must fit into the descriptors; the others wait in the system."""
        self._look()
        for _ in range(ACCEPT):
            if self._listener is None:
                return
            if not self.room():
                self._rest(ROOM_S)
                return
            if self.accepts is not None and not self.accepts():
                # Another worker holds fewer: it has a moment to be first, then whoever still waits is taken here.
                self._rest(LET_GO_S, True)
                return
            if not self._accept_one():
                return

    def _look(self) -> None:
        self._since_ms, self._seen = self.looks.earliest_ms(self._seen, self._since_ms), self.looks.count

    def _rest(self, seconds: float, waited: bool = False) -> None:
        assert self._listener is not None
        self.loop.remove_reader(self._listener)
        self.loop.call_later(seconds, self._listen, waited)

    def _accept_one(self) -> bool:
        assert self._listener is not None
        try:
            accepted, _ = self._listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionAbortedError) as error:
            if isinstance(error, BlockingIOError):
                self._since_ms = self.looks.now_ms
            return False  # the other process was first, or the client has gone
        except OSError as error:
            self.telemetry.log("accept", error=repr(error))
            self._rest(SHORT_S)
            return False
        accepted.setblocking(False)
        # A listener that was made by address does not tell asyncio that its connections are TCP's: small answers
        # would be held back, and be lost with a reset.
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        client = self.joins(self._since_ms)
        joining = self.loop.create_task(self.loop.connect_accepted_socket(lambda: client, accepted))
        self._joining.add(joining)
        joining.add_done_callback(self._joining.discard)
        return True

    def leave(self) -> None:
        """Stop accepting; connections that queue at an inherited socket are left to the other process."""
        if self._listener is not None:
            self.loop.remove_reader(self._listener)
            self._listener.close()
            self._listener = None
