"""The listening socket of the HTTP front: accepts client connections within the descriptor limit.

Runs in the event loop. On an inherited socket it only accepts, without bind, shutdown or a new listen, as another
process shares the socket.
"""

from __future__ import annotations

import asyncio
import math
import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from frostspindle.config import Config
from frostspindle.core import ArrivalClock, clock
from frostspindle.net.http.connection_limits import REQUEST_TIMEOUT_S
from frostspindle.net.http.tcp_info import TCP_INFO_BYTES, connection_age_ms
from frostspindle.net.http.unplaced_connection import ConnectionRoom, UnplacedConnection, UnplacedState
from frostspindle.telemetry import Telemetry

MAX_ACCEPTS_PER_TURN = 16  # connections accepted in one turn of the event loop
BACKLOG = 512  # connections queued by the system
FULL_PAUSE_S = 0.005  # pause in accepting while all places are in use
SILENT_TIMEOUT_MS = 120.0  # while others wait behind it for a place, from connecting until the first byte
MAX_UNPLACED = 8  # accepted connections that wait for their first byte, or for a place
MAX_PLACED_PER_TURN = 4  # for each of which another connection has to be closed
MAX_CLOSES_PER_TURN = 64  # of silent connections, in one turn of the event loop
YIELD_TO_WORKER_S = 0.003  # delay before this worker accepts, so that a less loaded worker can accept first
# Pause in accepting after an accept failed, as for lack of descriptors. A DELETE may be queued, and nothing may be sent
# to engines later than 0.1 s after its client has left.
FAILED_PAUSE_S = 0.02
CLOSE_ESTIMATE_MS = 50.0  # a connection that is no older than this by the queue needs no better estimate
FAILURE_LOG_INTERVAL_S = 1.0  # between two log lines about failing accepts


class Listener:
    """Accepts connections until it is closed.

    `make_protocol` creates the protocol of a new connection, given the earliest time (Unix ms) at which its bytes can
    have arrived. While all places are in use, a connection gets one only with its first bytes, so that clients that
    send nothing hold up neither the accept queue nor those that are behind them there.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        telemetry: Telemetry,
        make_protocol: Callable[[float], asyncio.BaseProtocol],
        room: ConnectionRoom,
    ) -> None:
        self.loop = loop
        self.telemetry = telemetry
        self.make_protocol = make_protocol
        self.room = room
        self.arrival_clock = ArrivalClock.of(loop)
        # With several workers: returns whether this one should accept before the others.
        self.may_accept: Callable[[], bool] | None = None
        self.port = 0
        self._socket: socket.socket | None = None
        self._queued_since_ms = clock()  # no queued connection arrived before this
        self._has_seen_queue_empty = True  # else, on an inherited socket, connections may be older than that
        self._last_poll = 0  # count of the arrival clock when the queue was looked at
        self._joining: dict[asyncio.Task[Any], float] = {}  # with the earliest arrival of their bytes, in Unix ms
        self._unplaced: deque[UnplacedConnection] = deque()
        self._is_paused = True
        self._last_unseen_poll = 0  # count of the poll after which connections that were left queued are found
        self._failure_logged_at_s = -math.inf

    @property
    def joining(self) -> int:
        """Number of connections accepted in this turn of the event loop."""
        return len(self._joining)

    def start(self, config: Config) -> None:
        """Accept from the inherited socket or a new one. Raise OSError if it cannot be opened."""
        inherited = config.inherited if config.listener is None else config.listener
        if inherited is not None:
            # Shared with another process: no bind, no shutdown, and no listen, which would change its backlog.
            listening = socket.socket(fileno=inherited)
        else:
            host, _ = config.listen
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            listening = socket.create_server(config.listen, family=family, backlog=BACKLOG)
        listening.setblocking(False)
        self._queued_since_ms = clock()
        self._has_seen_queue_empty = inherited is None
        self._socket = listening
        self.port = listening.getsockname()[1]
        self._resume()

    def close(self) -> None:
        """Stop accepting; connections queued at an inherited socket are left to the other process."""
        if self._socket is not None:
            self.loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        while self._unplaced:
            self._join(*self._unplaced.popleft())

    def queued_since_ms(self) -> float:
        """Return the earliest arrival of input on a connection that is queued or being set up; infinity if none is."""
        waiting_ms = min(
            min(self._joining.values(), default=math.inf),
            # One that is silent now has nothing that arrived earlier.
            min((connection.since_ms for connection in self._unplaced if connection.has_input), default=math.inf),
        )
        may_be_queued = self._is_paused or self.arrival_clock.count <= self._last_unseen_poll
        if self._socket is None or not may_be_queued:
            return waiting_ms
        return min(waiting_ms, self._queued_since_ms)

    def accept_queued(self) -> None:
        """Accept all queued connections, which closing the socket would reset, and stop accepting."""
        if self._socket is not None:
            self._note_poll()
        for _ in range(BACKLOG):
            if self._socket is None or not self._accept_one():
                break
        self.close()

    def _resume(self, accept_first: bool = False) -> None:
        if self._socket is None:
            return
        self._last_poll = self.arrival_clock.count
        self._is_paused = False
        self._expect_more()
        self.loop.add_reader(self._socket, self._accept)
        if accept_first:
            self._accept_one()
        elif self._unplaced:
            self._accept_while_full()

    def _expect_more(self) -> None:
        """Note that connections may be queued that the next poll finds."""
        self._last_unseen_poll = self.arrival_clock.count + 1

    def _pause(self, seconds: float, accept_first: bool = False) -> None:
        assert self._socket is not None
        self._is_paused = True
        self.loop.remove_reader(self._socket)
        self.loop.call_later(seconds, self._resume, accept_first)

    def _note_poll(self) -> None:
        self._queued_since_ms = self.arrival_clock.earliest_ms(self._last_poll, self._queued_since_ms)
        self._last_poll = self.arrival_clock.count

    def _earliest_arrival_ms(self, accepted: socket.socket) -> float:
        """Return the earliest time at which the first bytes of a connection can have arrived, in Unix ms."""
        now_ms = clock()
        if self._has_seen_queue_empty and now_ms - self._queued_since_ms < CLOSE_ESTIMATE_MS:
            return self._queued_since_ms
        try:
            age_ms = connection_age_ms(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES))
        except OSError:
            age_ms = None
        if age_ms is None:
            return self._queued_since_ms
        connected_ms = now_ms - age_ms
        return max(connected_ms, self._queued_since_ms) if self._has_seen_queue_empty else connected_ms

    def _accept(self) -> None:
        """Accept up to MAX_ACCEPTS_PER_TURN connections while there is room; the others stay queued."""
        self._note_poll()
        self._expect_more()
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if self._socket is None:
                return
            is_full = bool(self._unplaced) or not self.room.has_room()
            if self.may_accept is not None and not self.may_accept():
                # A worker with fewer connections may accept first; what is still queued after that is accepted here.
                self._pause(YIELD_TO_WORKER_S, accept_first=not is_full)
                return
            if is_full:
                self._accept_while_full()
                return
            if not self._accept_one():
                return

    def _accept_while_full(self) -> None:
        """Give places to queued connections with input, close silent ones, and look at the others after a pause."""
        placed = self._place_unplaced()
        for _ in range(MAX_CLOSES_PER_TURN):
            if placed >= MAX_PLACED_PER_TURN or len(self._unplaced) >= MAX_UNPLACED or self._socket is None:
                break
            connection = self._take_queued()
            if connection is None:
                break
            self._unplaced.append(connection)
            placed += self._place_unplaced()
        if self._socket is not None and self._unplaced and not self._is_paused:
            self._pause(FULL_PAUSE_S)

    @property
    def _silent_timeout_ms(self) -> float:
        holds_up_others = len(self._unplaced) >= MAX_UNPLACED
        return SILENT_TIMEOUT_MS if holds_up_others else 1000.0 * REQUEST_TIMEOUT_S

    def _place_unplaced(self) -> int:
        """Set up connections with input as far as there are places; close those that were silent for too long.

        Return how many were set up.
        """
        placed = 0
        for connection in list(self._unplaced):
            state = connection.state()
            if self.room.has_room() or (state is UnplacedState.HAS_INPUT and self.room.make_room()):
                self._unplaced.remove(connection)
                self._join(*connection)
                placed += 1
            elif state is UnplacedState.CLOSED:
                self._unplaced.remove(connection)
                connection.accepted.close()
            elif state is UnplacedState.SILENT and connection.age_ms() > self._silent_timeout_ms:
                self._unplaced.remove(connection)
                connection.reset()
                self.room.on_silent_closed()
        return placed

    def _on_accept_failed(self, error: OSError) -> None:
        self.telemetry.count("accepts_failed", "http")
        now_s = self.loop.time()
        if now_s - self._failure_logged_at_s >= FAILURE_LOG_INTERVAL_S:
            self._failure_logged_at_s = now_s
            self.telemetry.log("accept_failed", error=repr(error))
        self._pause(FAILED_PAUSE_S)

    def _accept_one(self) -> bool:
        """Accept one connection and return whether there was one."""
        connection = self._take_queued()
        if connection is None:
            return False
        self._join(*connection)
        return True

    def _take_queued(self) -> UnplacedConnection | None:
        """Take a connection from the accept queue; None if there is none, or accepting fails."""
        assert self._socket is not None
        try:
            accepted, _ = self._socket.accept()
        except BlockingIOError:
            self._queued_since_ms = self.arrival_clock.poll_returned_ms
            self._has_seen_queue_empty = True
            if not self._is_paused:
                self._last_unseen_poll = 0
            return None  # another process accepted it
        except (InterruptedError, ConnectionAbortedError):
            return None
        except OSError as error:
            self._on_accept_failed(error)
            return None
        accepted.setblocking(False)
        since_ms = self._earliest_arrival_ms(accepted)
        # The queue is in the order of connecting.
        self._queued_since_ms = max(self._queued_since_ms, since_ms)
        return UnplacedConnection(accepted, since_ms)

    def _join(self, accepted: socket.socket, since_ms: float) -> None:
        """Set up an accepted connection."""
        # asyncio does not see that a socket accepted by a listener that was created by address is TCP: small responses
        # would be held back, and be lost with a reset.
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        protocol = self.make_protocol(since_ms)
        joining = self.loop.create_task(self.loop.connect_accepted_socket(lambda: protocol, accepted))
        self._joining[joining] = since_ms
        joining.add_done_callback(self._joining.pop)
