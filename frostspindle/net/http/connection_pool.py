"""The connection pool of one engine process: connections, calls that wait for one, and the calls themselves.

pools.py decides the limits. A connection serves one call at a time, and no attempt is sent to an engine that started to
drain while the call waited for its connection.
"""

from __future__ import annotations

import asyncio
import errno
import math
from collections import deque
from collections.abc import Callable, Iterable
from typing import Protocol

from frostspindle import pools
from frostspindle.core import Attempt, Core, EngineState, clock
from frostspindle.net.http.duplicate_responses import ConfirmationBackoff, confirmation_time_s
from frostspindle.net.http.engine_call import EngineCall
from frostspindle.net.http.engine_connection import ConnectionSettings, EngineConnection, ResponseWaiter
from frostspindle.net.http.engine_log import EngineCloseReason, EngineLog
from frostspindle.net.http.reachability import Reachability
from frostspindle.net.http.replies import EngineReply, InvalidReplyError
from frostspindle.query_lifetime import QueryLifetime

NOT_CHECKED = -1.0  # passed as `confirm_s`: the response is not checked for being a copy
MAX_BROKEN_RESPONSES = 3  # broken connections or invalid responses to one poll
REACHABILITY_INTERVAL_S = 0.5  # at which connections are opened while a call is overdue that must not come late
UNREACHABLE_TIME_SHARE = 0.8  # of the connect timeout, for which a connection was being opened
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE)


class EngineDrainedError(Exception):
    """The engine accepts no new attempts, or the attempt is over; nothing was written."""


class PoolExhaustedError(Exception):
    """No connection was available; nothing was written."""

    def __init__(self, text: str, refused: bool = False, full: bool = False, not_attempted: bool = False) -> None:
        super().__init__(text)
        self.refused, self.full = refused, full  # refused: by the engine's machine; full: by the local limits
        self.not_attempted = not_attempted  # no connection was opened, as another engine has the address


class PoolContext(ConnectionSettings, Protocol):
    """State shared by the pools of all engines."""

    core: Core
    log: EngineLog
    pools: dict[int, ConnectionPool]
    opening: int
    established: int  # established connections of all pools
    waiters: int  # calls that wait for a connection

    def may_open(self, pool: ConnectionPool) -> bool:
        """Return whether the limits allow one more connection."""

    @property
    def all_pools(self) -> Iterable[ConnectionPool]:
        """The pools of the listed engines, and the retired ones that still have connections or queries."""

    def has_other_engine(self, pool: ConnectionPool) -> bool:
        """Return whether another engine is listed with the address of a retired pool."""

    def reclaim_idle(self, pool: ConnectionPool) -> None:
        """Close an idle connection of another engine; the loop frees its descriptor later."""


class ConnectionPool:
    """The connections for the queries of one engine, from one start to the next according to the endpoint list.

    The list may tell a start late, or too early, so the pool says nothing about which process a connection leads to.
    """

    def __init__(self, driver: PoolContext, state: EngineState) -> None:
        self.driver, self.state = driver, state
        self.idle: list[EngineConnection] = []
        self.established: set[EngineConnection] = set()
        self.opening = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self.is_retired = False  # it takes no new queries
        self.open_queries = 0  # of attempts that have not ended
        self.host = f"{state.address[0]}:{state.address[1]}"
        self.confirmations = ConfirmationBackoff()
        self._reachability = Reachability()
        self._open_began_s = -math.inf  # loop time at which a connection was last opened, or is being opened

    @property
    def is_needed(self) -> bool:
        """Whether the pool takes new queries, or has open ones, which may run at the process of any connection."""
        return not self.is_retired or self.open_queries > 0

    def retire(self) -> None:
        """Take no new queries; keep the connections as long as there are open ones."""
        self.is_retired = True
        self._drop_unneeded()

    def query_started(self) -> None:
        """Register a query that is about to be sent."""
        self.open_queries += 1

    def query_ended(self) -> None:
        """Remove a query that has ended or was not sent."""
        self.open_queries -= 1
        self._drop_unneeded()

    def _drop_unneeded(self) -> None:
        if self.is_needed:
            return
        for connection in self.idle:
            connection.drop(EngineCloseReason.RETIRED)
        self.idle.clear()

    def count_copy(self) -> None:
        """Count a duplicate or unsolicited response."""
        self.confirmations.record_copy(self.driver.loop.time())
        self.driver.core.telemetry.count("engine_surplus_responses")

    def connection_opened(self, connection: EngineConnection) -> None:
        """Count a connection that has been opened."""
        self.established.add(connection)
        self.driver.established += 1

    def connection_closed(self, connection: EngineConnection, reason: EngineCloseReason, error: str) -> None:
        """Remove a connection that has ended and wake the next waiting call."""
        self.driver.log.connection_ended(self.state.name, reason, connection.has_call, error)
        if connection in self.established:
            self.established.remove(connection)
            self.driver.established -= 1
        if connection in self.idle:
            self.idle.remove(connection)
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        """Wake a call that waits for this engine, or else for another one."""
        if not self.driver.waiters:
            return  # the usual case: scanning a thousand engines takes longer than a call
        for pool in (self, *self.driver.all_pools):
            while pool.waiting:
                waiter = pool.waiting.popleft()
                if not waiter.done():
                    waiter.set_result(None)
                    return

    def release(self, connection: EngineConnection) -> None:
        """Return a connection to the pool and wake the next waiting call; drop it if it cannot be reused."""
        if not connection.is_reusable or not self.is_needed:
            is_unusable = not connection.is_reusable
            connection.drop(EngineCloseReason.INVALID_RESPONSE if is_unusable else EngineCloseReason.RETIRED)
            return
        self.idle.append(connection)
        self._wake_waiter()

    def take(self, query: QueryLifetime | None = None) -> EngineConnection | None:
        """Take an idle connection, to the query's process if there is one; None if no idle one is usable."""
        while self.idle:
            connection = pools.choose_idle(self.idle, self._preference(query))
            if connection is self.idle[-1]:
                self.idle.pop()
            else:
                self.idle.remove(connection)
            if connection.is_usable():
                return connection
            connection.drop(EngineCloseReason.IDLE)
        return None

    def _preference(self, query: QueryLifetime | None) -> Callable[[EngineConnection], bool] | None:
        if query is None:
            return None
        return lambda connection: query.leads_to_process(connection, self.established)

    async def acquire(self, call: EngineCall) -> EngineConnection:
        """Return an idle connection or, if the call wants that, a new one; raise PoolExhaustedError on timeout.

        A draining engine refuses new connections and serves existing ones, and none is opened to an address that is
        another engine's: a call that must reach the query's process then waits for an existing one.
        """
        new_connection = call.new_connection
        if not new_connection and (connection := self.take(call.query)) is not None:
            return connection
        limit_s, resets, is_full = self._connect_timeout_s, 0, False
        try:
            async with asyncio.timeout(limit_s):
                while True:
                    if not new_connection and (connection := self.take(call.query)) is not None:
                        return connection
                    if self.driver.may_open(self):
                        # Reset as it opened: nothing was written, so another one can be tried.
                        try:
                            if (connection := await self._open()) is not None:
                                return connection
                            resets += 1
                            if resets >= MAX_BROKEN_RESPONSES:
                                raise PoolExhaustedError("connections are reset while being opened")
                            continue
                        except PoolExhaustedError as error:
                            is_closed = error.refused or error.not_attempted
                            if not (call.must_reach_process and is_closed and self.established):
                                raise
                            new_connection = False
                            if self.idle:
                                continue
                    is_full = True
                    waiter: asyncio.Future[None] = self.driver.loop.create_future()
                    self.waiting.append(waiter)
                    self.driver.waiters += 1
                    try:
                        await waiter
                    finally:
                        self.driver.waiters -= 1
        except TimeoutError:
            # One may have become idle while a new one was being opened.
            if not new_connection and (connection := self.take(call.query)) is not None:
                return connection
            raise PoolExhaustedError("no connection before the timeout", full=is_full) from None

    async def _open(self) -> EngineConnection | None:
        """Open a connection; return None if it was reset at once."""
        if self.is_retired and self.driver.has_other_engine(self):
            raise PoolExhaustedError("another engine has the address of this one", not_attempted=True)
        self._open_began_s = began_s = self.driver.loop.time()
        self.opening += 1
        self.driver.opening += 1
        try:
            _, connection = await self.driver.loop.create_connection(
                lambda: EngineConnection(self), *self.state.address
            )
        except asyncio.CancelledError:  # as by the connect timeout
            self._on_open_given_up(began_s)
            raise
        except ConnectionResetError:
            return None
        except OSError as error:
            if error.errno in NO_DESCRIPTORS:  # a local limit, not a fault of the engine
                self.driver.reclaim_idle(self)
                raise PoolExhaustedError(repr(error), full=True) from None
            raise PoolExhaustedError(repr(error), isinstance(error, ConnectionRefusedError)) from None
        finally:
            self.opening -= 1
            self.driver.opening -= 1
        self._reachability.opened(self.driver.loop.time())
        if connection.is_usable():
            return connection
        connection.drop(EngineCloseReason.BROKEN)
        return None

    @property
    def _connect_timeout_s(self) -> float:
        return self.driver.core.settings.connect_timeout_ms / 1000.0

    def _on_open_given_up(self, began_s: float) -> None:
        """Reset connections with overdue calls if new ones don't come up, as the engine's machine is cut off or gone.

        What it has not received by now it will not receive then.
        """
        now_s = self.driver.loop.time()
        if now_s - began_s < UNREACHABLE_TIME_SHARE * self._connect_timeout_s:
            return  # it was not waited for
        if not self._reachability.timed_out(began_s, now_s):
            return
        for connection in list(self.established):
            if connection.is_overdue:
                connection.drop(EngineCloseReason.UNREACHABLE)

    async def check_reachable(self) -> None:
        """Open a connection and close it, unless one was just opened; `_open` draws the conclusion."""
        if self.driver.loop.time() - self._open_began_s < REACHABILITY_INTERVAL_S or not self.driver.may_open(self):
            return
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                connection = await self._open()
        except (TimeoutError, PoolExhaustedError):
            return
        if connection is not None:
            connection.drop(EngineCloseReason.IDLE)

    async def call(self, call: EngineCall) -> EngineReply:
        """Make one call and return its response, validated as that of `call.page` if given.

        An invalid response ends the connection. Raise PoolExhaustedError or EngineDrainedError if nothing was written;
        else ConnectionBrokenError, InvalidReplyError, or TimeoutError after `call.within_s`.
        """
        connection = await self.acquire(call)
        if call.sending is not None:
            await self._check_sending(call.sending, connection)
        waiter: asyncio.Future[EngineReply] = self.driver.loop.create_future()
        try:
            self.write(connection, call, waiter)
            reply = await waiter
            self.check_response(connection, reply, call.page)
            return reply
        except asyncio.CancelledError:
            call.is_detached = connection.detach()
            if not call.is_detached:
                connection.end_call()
                call.was_written = not connection.has_unwritten
            raise
        except InvalidReplyError:
            connection.is_reusable = False
            raise
        finally:
            if connection.waiter is waiter:
                connection.end_call()
            if connection.waiter is None:  # else a response is still expected
                self.release(connection)

    async def _check_sending(self, attempt: Attempt, connection: EngineConnection) -> None:
        """Raise EngineDrainedError and release the connection unless the attempt may be sent now."""
        may_send = False
        try:
            await self.driver.core.catch_up()
            # The attempt was decided for the engine before the start that the list has told since: it is cold now.
            may_send = not self.is_retired and self.driver.core.may_send(attempt)
        finally:
            if not may_send:
                self.release(connection)
        if not may_send:
            raise EngineDrainedError("the engine is draining")

    def write(self, connection: EngineConnection, call: EngineCall, waiter: ResponseWaiter) -> None:
        """Write a call on a connection; `waiter` gets its response or an error. See `EngineConnection.request`."""
        length = f"Content-Length: {len(call.body)}\r\n" if call.body or call.method in ("POST", "PUT") else ""
        head = f"{call.method} {call.path} HTTP/1.1\r\nHost: {self.host}\r\n{call.head()}{length}\r\n"
        confirm_s = NOT_CHECKED
        if call.page is not None:  # its response must not be a copy of another query's response
            confirm_s = confirmation_time_s((call.until_ms - clock()) / 1000.0)
        call.connection, call.was_written = connection, True
        connection.request(head.encode() + call.body, call.within_s, waiter, confirm_s, call.late_s)
        call.written_ms = connection.written_ms
        if call.sending is not None and not connection.transport.get_write_buffer_size():
            self.driver.core.count_written(call.sending)

    @staticmethod
    def check_response(connection: EngineConnection, reply: EngineReply, page: int | None) -> None:
        """Record the connection of a response; raise InvalidReplyError if it is not the response of `page`."""
        reply.connection = connection
        if page is not None:
            reply.check_page(page)
