"""The TDS front: its listening socket, the sessions of its clients, their logins and limits, and drains."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable, Iterable

from frostspindle.config import Address, TdsLogin, TdsSection
from frostspindle.core import Core
from frostspindle.net.tds import codec
from frostspindle.net.tds.session import BAD_STREAM, FRONT, READ_BYTES, TOO_MANY, ClientSession
from frostspindle.telemetry import Telemetry

DRAIN_IDLE_S, DRAIN_ACCEPT_S = 0.3, 1.8  # while draining: idle time of sessions, and how long new ones are accepted
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
        self._drain_timer: asyncio.TimerHandle | None = None
        self._drained_at = 0.0

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
        if inherited_fd is not None:
            self._server = await asyncio.start_server(
                self._serve, sock=socket.socket(fileno=inherited_fd), limit=READ_BYTES, backlog=ACCEPTS_PER_TURN
            )
        else:
            self._server = await asyncio.start_server(
                self._serve, *self.listen, limit=READ_BYTES, backlog=ACCEPTS_PER_TURN, reuse_port=shared or None
            )
        for listening in self._server.sockets:  # asyncio accepts ACCEPTS_PER_TURN at once; the others are queued
            listening._sock.listen(BACKLOG)

    @property
    def port(self) -> int:
        """TCP port of the listening socket, once started."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    def drain(self) -> None:
        """Begin a drain: close sessions between batches, and reject new ones after DRAIN_ACCEPT_S."""
        if self._drain_timer is None:
            self._drained_at = asyncio.get_running_loop().time()
            self._close_idle_sessions()

    def resume(self) -> None:
        """End a drain: keep idle sessions and accept new ones again."""
        if self._drain_timer is not None:
            self._drain_timer.cancel()
            self._drain_timer = None

    def _close_idle_sessions(self) -> None:
        loop = asyncio.get_running_loop()
        self._drain_timer = loop.call_later(DRAIN_IDLE_S, self._close_idle_sessions)
        for task, session in list(self.sessions.items()):
            if not session.busy and loop.time() - session.waiting_since_s > DRAIN_IDLE_S:
                self.sessions.pop(task).writer.close()
                task.cancel()

    def leave(self) -> None:
        """Stop accepting; open sessions continue."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Stop accepting, cancel all sessions and wait until they have ended."""
        self.resume()
        self.leave()
        for task, session in list(self.sessions.items()):
            if session.busy:
                self.telemetry.count("batches_cut", FRONT)
                self.telemetry.log("tds_batch_cut", ticket=session.ticket)
            task.cancel()
        await asyncio.gather(*self.sessions, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        session = ClientSession(self, reader, writer)
        self.sessions[task] = session
        try:
            if self._drain_timer is not None and session.waiting_since_s - self._drained_at > DRAIN_ACCEPT_S:
                await session.fail(TOO_MANY, "The service takes no new sessions now", 20)
                return
            if len(self.sessions) > self.tds.max_sessions and not self._make_room(session):
                self.telemetry.count("sessions_refused", FRONT)
                await session.fail(TOO_MANY, "All sessions are in use; connect again later", 20)
                return
            await self._run_guarded(session.run)
        except asyncio.CancelledError:
            pass  # at shutdown
        finally:
            self.sessions.pop(task, None)
            writer.close()

    def _make_room(self, newest: ClientSession) -> bool:
        """Close a session without a login, else the one idle for longest; never a busy one."""
        now = asyncio.get_running_loop().time()
        idle = [
            (session.profile is None, now - session.waiting_since_s, task)
            for task, session in self.sessions.items()
            if not session.busy
            and session is not newest
            and now - session.waiting_since_s > (0.1 if session.profile is None else 1.0)
        ]
        if not idle:
            return False
        task = max(idle, key=lambda entry: entry[:2])[2]
        self.telemetry.count("places_cleared", FRONT)
        self.sessions.pop(task).writer.transport.abort()
        task.cancel()
        return True

    async def _run_guarded(self, run: Callable[[], Awaitable[None]]) -> None:
        """Run a session; a fault ends it, with an ERROR token if one can still be written."""
        session: ClientSession = run.__self__  # type: ignore[attr-defined]
        try:
            await run()
        except codec.ProtocolError as error:
            self.telemetry.count("bad_streams", FRONT)
            self.telemetry.log("tds_stream_rejected", error=str(error))
            with contextlib.suppress(OSError, TimeoutError):
                await session.fail(BAD_STREAM, f"The incoming TDS stream is incorrect: {error}", 20)
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
