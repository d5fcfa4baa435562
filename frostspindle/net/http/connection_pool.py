"""One engine's process: the connections to it, who waits for one, and a call from its place in line to its answer.

Owns the use of the pool, whose bounds pools.py decides. It must never begin a send to an engine that has started to
drain meanwhile, never give one connection to two calls, and never open one past the bounds.
"""

from __future__ import annotations

import asyncio
import errno
import math
from collections import deque
from collections.abc import Callable
from typing import Protocol

from frostspindle import pools
from frostspindle.core import Attempt, Core, EngineState, clock
from frostspindle.net.http.duplicate_responses import ConfirmationBackoff, confirmation_time_s
from frostspindle.net.http.engine_connection import ConnectionSettings, EngineConnection, ResponseWaiter
from frostspindle.net.http.replies import EngineReply, InvalidReplyError

RESPONSE_TIMEOUT_S = 0.5  # news come within 250 ms; an answer that is lost on the way is asked for again
NOT_CHECKED = -1.0  # in place of the time for which a response may be kept back
MAX_BROKEN_RESPONSES = 3  # so many broken or unreadable answers to one ask for news or a page are borne
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)


class EngineDrainedError(Exception):
    """The engine may get nothing new, or the attempt is over; nothing of the call was written."""


class PoolExhaustedError(Exception):
    """No connection was available; nothing of the call was written."""

    def __init__(self, text: str, refused: bool = False, full: bool = False) -> None:
        super().__init__(text)
        self.refused, self.full = refused, full  # by the engine's machine; by the bounds here


class PoolContext(ConnectionSettings, Protocol):
    """What the processes of all engines share."""

    core: Core
    pools: dict[int, ConnectionPool]
    opening: int
    established: int  # connections that stand, of all peers
    waiters: int  # calls that wait for one

    def may_open(self, pool: ConnectionPool) -> bool:
        """Return whether the bounds allow one more connection."""

    def reclaim_idle(self, pool: ConnectionPool) -> None:
        """Close an idle connection of another engine; its descriptor is free only once the loop has closed it."""


class ConnectionPool:
    """One engine's process: its address and its connections. A successor at the same address has its own."""

    def __init__(self, driver: PoolContext, state: EngineState) -> None:
        self.driver, self.state = driver, state
        self.idle: list[EngineConnection] = []
        self.established: set[EngineConnection] = set()
        self.opening = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.is_retired = False
        self.host = f"{state.address[0]}:{state.address[1]}"
        self.confirmations = ConfirmationBackoff()

    def retire(self) -> None:
        """Drop the idle connections, as the process is gone; the others end with their calls."""
        self.is_retired = True
        for connection in self.idle:
            connection.drop()
        self.idle.clear()

    def count_copy(self) -> None:
        """Count a second copy of a response, or another one that nothing asked for."""
        self.confirmations.record_copy(self.driver.loop.time())
        self.driver.core.telemetry.count("engine_surplus_responses")

    def connection_opened(self, connection: EngineConnection) -> None:
        """Count a connection that has been opened."""
        self.established.add(connection)
        self.driver.established += 1

    def connection_closed(self, connection: EngineConnection) -> None:
        """Forget a connection that has ended, and let the next waiting call have its place."""
        if connection in self.established:
            self.established.remove(connection)
            self.driver.established -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        """A line or a place is free: for a call that waits here, or else for one that waits for another engine."""
        if not self.driver.waiters:
            return  # as nearly always, and looking through a thousand engines takes longer than the call did
        for pool in (self, *self.driver.pools.values()):
            while pool.waiting:
                waiter = pool.waiting.popleft()
                if not waiter.done():
                    waiter.set_result(None)
                    return

    def release(self, connection: EngineConnection) -> None:
        """Put a connection back as idle and wake the next waiting call; drop it if it or the process is not usable."""
        if not connection.is_reusable or self.is_retired:
            connection.drop()
            return
        self.idle.append(connection)
        self._wake_waiter()

    def take(self, oldest: bool = False) -> EngineConnection | None:
        """Take an idle connection, the last used or the eldest; None if no idle one is usable."""
        while self.idle:
            connection = pools.choose_idle(self.idle, oldest)
            if connection is self.idle[-1]:
                self.idle.pop()
            else:
                self.idle.remove(connection)
            if connection.is_usable():
                return connection
            connection.drop()
        return None

    async def acquire(self, fresh: bool = False, oldest: bool = False, same_process: bool = False) -> EngineConnection:
        """Return an idle connection unless it must be fresh, else a new one; PoolExhaustedError if none comes in time.

        An engine that drains refuses new connections and serves the old ones: a call that must reach this very process
        (`stay`) then waits for one of those.
        """
        if not fresh and (connection := self.take(oldest)) is not None:
            return connection
        limit_s, resets, bound = self.driver.core.settings.connect_timeout_ms / 1000.0, 0, False
        try:
            async with asyncio.timeout(limit_s):
                while True:
                    if not fresh and (connection := self.take(oldest)) is not None:
                        return connection
                    if self.driver.may_open(self):
                        # Reset when new: nothing was written yet, so that one more can be tried.
                        try:
                            if (connection := await self._open()) is not None:
                                return connection
                            resets += 1
                            if resets >= MAX_BROKEN_RESPONSES:
                                raise PoolExhaustedError("connections are reset as they open")
                            continue
                        except PoolExhaustedError as error:
                            if not (same_process and error.refused and self.established):
                                raise
                            fresh = False
                            if self.idle:
                                continue
                    bound = True
                    waiter: asyncio.Future[None] = self.driver.loop.create_future()
                    self.waiting.append(waiter)
                    self.driver.waiters += 1
                    try:
                        await waiter
                    finally:
                        self.driver.waiters -= 1
        except TimeoutError:
            # One may have become idle while a new one was awaited.
            if not fresh and (connection := self.take(oldest)) is not None:
                return connection
            raise PoolExhaustedError("no connection in time", full=bound) from None

    async def _open(self) -> EngineConnection | None:
        """A new connection; None: reset as it opened."""
        self.opening += 1
        self.driver.opening += 1
        try:
            _, connection = await self.driver.loop.create_connection(
                lambda: EngineConnection(self), *self.state.address
            )
        except ConnectionResetError:
            return None
        except OSError as error:
            if error.errno in NO_DESCRIPTORS:  # ours are all in use, which is no fault of the engine's
                self.driver.reclaim_idle(self)
                raise PoolExhaustedError(repr(error), full=True) from None
            raise PoolExhaustedError(repr(error), isinstance(error, ConnectionRefusedError)) from None
        finally:
            self.opening -= 1
            self.driver.opening -= 1
        if connection.is_usable():
            return connection
        connection.drop()
        return None

    async def call(
        self,
        method: str,
        path: str,
        head: Callable[[], str] = str,
        body: bytes = b"",
        sending: Attempt | None = None,
        wired: list[bool] | None = None,
        within_s: float = RESPONSE_TIMEOUT_S,
        fresh: bool = False,
        page: int | None = None,
        oldest: bool = False,
        same_process: bool = False,
        until_ms: float = math.inf,
    ) -> EngineReply:
        """Send one call and return its response, checked as that of `page` if given; a bad one ends the connection.

        `wired[0]` is set once bytes may go out; `sending` is the attempt whose POST this is; `head` gives the header
        fields as they are written; `until_ms` (Unix) is the end of the request's time. Raises PoolExhaustedError or
        EngineDrainedError if nothing was written; else ConnectionBrokenError, InvalidReplyError or TimeoutError after
        `within_s`.
        """
        connection = await self.acquire(fresh, oldest, same_process)
        if sending is not None:
            await self._check_sending(sending, connection)
        if wired is not None:
            wired[0] = True
        waiter: asyncio.Future[EngineReply] = self.driver.loop.create_future()
        try:
            confirm_s = NOT_CHECKED
            if page is not None:  # its response must not be a copy of another query's
                confirm_s = confirmation_time_s((until_ms - clock()) / 1000.0)
            self.request(connection, method, path, head(), body, sending, within_s, waiter, confirm_s)
            return self.check_response(connection, await waiter, page)
        except asyncio.CancelledError:
            if not connection.detach():
                connection.end_call()
                if connection.has_unwritten and wired is not None:
                    wired[0] = False
            raise
        except InvalidReplyError:
            connection.is_reusable = False
            raise
        finally:
            if connection.waiter is waiter:
                connection.end_call()
            if connection.waiter is None:  # else an answer is still to come
                self.release(connection)

    async def _check_sending(self, attempt: Attempt, connection: EngineConnection) -> None:
        """Release the connection again and raise EngineDrainedError unless the attempt may be sent now."""
        may_send = False
        try:
            await self.driver.core.catch_up()
            may_send = self.driver.core.may_send(attempt)
        finally:
            if not may_send:
                self.release(connection)
        if not may_send:
            raise EngineDrainedError("the engine drains")

    def request(
        self,
        connection: EngineConnection,
        method: str,
        path: str,
        head: str,
        body: bytes,
        sending: Attempt | None,
        within_s: float,
        waiter: ResponseWaiter,
        confirm_s: float,
    ) -> None:
        """Write a call on a connection; `waiter` gets its response or an error. See `EngineConnection.request`."""
        length = f"Content-Length: {len(body)}\r\n" if body or method in ("POST", "PUT") else ""
        call = f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\n{head}{length}\r\n".encode() + body
        connection.request(call, within_s, waiter, confirm_s)
        if sending is not None and not connection.transport.get_write_buffer_size():
            self.driver.core.count_written(sending)

    @staticmethod
    def check_response(connection: EngineConnection, reply: EngineReply, page: int | None) -> EngineReply:
        """Note that a response has come and return it; InvalidReplyError if it can't be that of `page`."""
        reply.connection_opened_ms, connection.last_response_ms = connection.opened_ms, clock()
        if page is not None:
            reply.check_page(page)
        return reply
