"""The TDS front: its listening socket, the sessions of its clients, their logins and limits, drains and shutdown.

A drain ends sessions that rest, and after DRAIN_ACCEPT_S refuses log-ins and batches, which ends the sessions that
never rest. At a shutdown they are refused from `stop_accepting` on, and `close` ends all sessions.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections.abc import Callable, Iterable

from frostspindle.config import Address, TdsLogin, TdsSection
from frostspindle.core import Core
from frostspindle.net.tds import codec
from frostspindle.net.tds.session import BAD_STREAM, FRONT, TOO_MANY, ClientReader, ClientSession
from frostspindle.telemetry import Telemetry

DRAIN_IDLE_S = 0.3  # how long a session may rest while draining
DRAIN_ACCEPT_S = 1.8  # how long log-ins and batches are accepted while draining
CLOSE_GRACE_S = 0.3  # at shutdown, how long to wait for clients that still send
QUIET_S = 0.04  # a client that sent nothing for this long has finished
FINAL_PASSES = 5  # over the sessions after the grace period, to answer late batches
CLEAR_BEFORE_LOGIN_S, CLEAR_IDLE_S = 0.1, 1.0  # how long a session must rest to be closed for a new one
ACCEPTS_PER_TURN, BACKLOG = 8, 128  # BACKLOG: connections queued by the system


class TdsFront:
    """The TDS front: its listening socket and sessions."""

    def __init__(
        self,
        tds: TdsSection,
        listen: Address,
        classes: dict[str, int],
        seed: int,
        core: Core,
        telemetry: Telemetry,
        group: Callable[[str], int],
    ) -> None:
        self.tds, self.listen, self.classes, self.core, self.telemetry = tds, listen, classes, core, telemetry
        self.tenant: Callable[[codec.Login, str, str], int] | None = None  # by login, address and statement
        self.group, self.seed, self.last_ticket = group, seed & 0xFFFFFFFFFFFFFFFF, 0
        self.sessions: dict[asyncio.Task[None], ClientSession] = {}
        self._server: asyncio.Server | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._drained_at_s = math.inf  # loop time
        self._is_stopping = False

    def profile(self, login: codec.Login) -> TdsLogin | None:
        """Return the first login entry of the operator's file that matches application and database, or None."""
        return _matching_login(self.tds.login, login)

    def next_ticket(self) -> str:
        """Return the ticket of a new request."""
        self.last_ticket += 1
        return f"{self.seed ^ self.last_ticket:016x}"

    async def start(self, shared: bool = False, inherited_fd: int | None = None) -> None:
        """Listen on the configured address or the socket `inherited_fd`; raise OSError if it is not available.

        `shared`: the other process of an upgrade may still be bound to the address.
        """
        loop = asyncio.get_running_loop()
        if inherited_fd is not None:
            self._server = await loop.create_server(
                self._make_protocol, sock=socket.socket(fileno=inherited_fd), backlog=ACCEPTS_PER_TURN
            )
        else:
            self._server = await loop.create_server(
                self._make_protocol, *self.listen, backlog=ACCEPTS_PER_TURN, reuse_port=shared or None
            )
        for listening in self._server.sockets:  # asyncio accepts ACCEPTS_PER_TURN at once; the others are queued
            listening._sock.listen(BACKLOG)

    def _make_protocol(self) -> asyncio.StreamReaderProtocol:
        reader = ClientReader()
        return asyncio.StreamReaderProtocol(reader, lambda _, writer: self._serve(reader, writer))

    @property
    def port(self) -> int:
        """TCP port of the listening socket, once started."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    # Drains and shutdown.

    @property
    def is_draining(self) -> bool:
        """Whether sessions that rest are ended."""
        return self._is_stopping or self._drained_at_s < math.inf

    @property
    def accepts_requests(self) -> bool:
        """Whether log-ins and batches are accepted."""
        return not self._is_stopping and asyncio.get_running_loop().time() - self._drained_at_s <= DRAIN_ACCEPT_S

    @property
    def has_unfinished_work(self) -> bool:
        """Whether a batch runs or is partly received, or a response is not sent completely."""
        return any(session.has_batch_pending() or session.has_unsent() for session in self.sessions.values())

    def drain(self) -> None:
        """Begin a drain: end sessions between batches, and refuse log-ins and batches after DRAIN_ACCEPT_S."""
        self._drained_at_s = min(self._drained_at_s, asyncio.get_running_loop().time())
        self._sweep()

    def resume(self) -> None:
        """End a drain: keep resting sessions and accept log-ins and batches again."""
        self._drained_at_s = math.inf

    def stop_accepting(self) -> None:
        """Refuse log-ins and batches from now on, at shutdown; batches that run are still answered."""
        self._is_stopping = True
        self._sweep()

    def _sweep(self) -> None:
        """End the sessions that rest, again and again while draining."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        if not self.is_draining:
            return
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(DRAIN_IDLE_S, self._sweep)
        for session in list(self.sessions.values()):
            if session.is_resting() and loop.time() - session.waiting_since_s > DRAIN_IDLE_S:
                session.end()

    def leave(self) -> None:
        """Stop accepting connections; open sessions continue."""
        if self._server is not None:
            self._server.close()

    def finish(self) -> None:
        """Accept nothing more, at shutdown; refuse partly received log-ins and batches."""
        self.stop_accepting()
        for session in list(self.sessions.values()):
            if session.splitter.is_partial:
                session.finish()

    async def close(self, until_s: float = math.inf) -> None:
        """Stop accepting, let clients read their responses, then close all sessions and wait until they have ended.

        Clients have CLOSE_GRACE_S, or until `until_s` (loop time) if that is sooner.
        """
        self.stop_accepting()
        self.leave()
        loop = asyncio.get_running_loop()
        deadline_s = min(loop.time() + CLOSE_GRACE_S, until_s)
        while (now_s := loop.time()) < deadline_s and not all(
            session.is_quiescent(now_s - QUIET_S) for session in self.sessions.values()
        ):
            await self._finish_sessions()
        for _ in range(FINAL_PASSES):
            if not any(session.has_batch_pending() for session in self.sessions.values()):
                break
            await self._finish_sessions()
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        await self._cancel_sessions()

    async def _finish_sessions(self) -> None:
        for session in list(self.sessions.values()):
            session.finish()
        await asyncio.sleep(QUIET_S / 4.0)

    async def _cancel_sessions(self) -> None:
        for task, session in list(self.sessions.items()):
            if session.busy:
                self.telemetry.count("batches_cut", FRONT)
                self.telemetry.log("tds_batch_cut", ticket=session.ticket)
            task.cancel()
        await asyncio.gather(*self.sessions, return_exceptions=True)

    # Sessions.

    async def _serve(self, reader: ClientReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        session = ClientSession(self, reader, writer)
        self.sessions[task] = session
        try:
            if not self.accepts_requests:
                session.refuse_late()
            elif len(self.sessions) > self.tds.max_sessions and not self._make_room(session):
                self.telemetry.count("sessions_refused", FRONT)
                self.telemetry.log_repeated("tds_session_ended", "too_many_sessions")
                session.refuse(TOO_MANY, "All sessions are in use; connect again later", 20)
            else:
                await self._run_guarded(session)
            if session.is_ending:
                with contextlib.suppress(OSError):
                    await session.linger()
        except asyncio.CancelledError:
            pass  # at shutdown
        finally:
            self.sessions.pop(task, None)
            session.close()

    def _make_room(self, newest: ClientSession) -> bool:
        """Close a session that is ending, else one without a login, else the one idle for longest; never a busy one."""
        now = asyncio.get_running_loop().time()
        candidates = [
            (session.is_ending, session.profile is None, now - session.waiting_since_s, task)
            for task, session in self.sessions.items()
            if session is not newest and self._may_be_cleared(session, now)
        ]
        if not candidates:
            return False
        task = max(candidates, key=lambda entry: entry[:3])[3]
        self.telemetry.count("places_cleared", FRONT)
        self.telemetry.log_repeated("tds_session_ended", "place_needed")
        self.sessions.pop(task).writer.transport.abort()
        task.cancel()
        return True

    @staticmethod
    def _may_be_cleared(session: ClientSession, now_s: float) -> bool:
        """Return whether a session may be closed for a new one."""
        if session.is_ending:
            return not session.has_unsent()
        rested_s = now_s - session.waiting_since_s
        if session.profile is None:
            return rested_s > CLEAR_BEFORE_LOGIN_S
        return session.is_resting() and rested_s > CLEAR_IDLE_S

    async def _run_guarded(self, session: ClientSession) -> None:
        """Run a session; a fault ends it, with an ERROR token if one can still be written."""
        try:
            await session.run()
        except codec.ProtocolError as error:
            self.telemetry.count("bad_streams", FRONT)
            self.telemetry.log_repeated("tds_stream_rejected", "invalid_stream", error=str(error))
            session.refuse(BAD_STREAM, f"The incoming TDS stream is incorrect: {error}", 20)
        except (OSError, TimeoutError):
            self.telemetry.count("broken_sessions", FRONT)
        except Exception as error:  # noqa: BLE001 - a fault must not affect other sessions
            self.telemetry.count("faults")
            self.telemetry.log("exception_caught", error=repr(error), of="tds session")


def _matching_login(logins: Iterable[TdsLogin], login: codec.Login) -> TdsLogin | None:
    for entry in logins:
        if entry.application in ("", login.application) and entry.database in ("", login.database):
            return entry
    return None
