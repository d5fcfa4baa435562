"""Client connections that were accepted while all places are in use, and the limit on connections."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from frostspindle.net.http.tcp_info import CLOCK_TICK_MS, TCP_INFO_BYTES, connection_age_ms

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s


@dataclass(frozen=True, slots=True)
class ConnectionRoom:
    """The limit on client connections, as the listener sees it."""

    has_room: Callable[[], bool]  # returns whether one more may be accepted
    make_room: Callable[[], bool]  # closes others for one with a request; returns whether it may be accepted
    on_silent_closed: Callable[[], None]  # called for each connection that was closed without a place


class UnplacedState(Enum):
    """What is known of an accepted connection without a place."""

    SILENT = "silent"
    HAS_INPUT = "has input"
    CLOSED = "closed"  # by its client, which has sent nothing


class UnplacedConnection(NamedTuple):
    """An accepted connection without a place, and the earliest time at which its bytes can have arrived (Unix ms)."""

    accepted: socket.socket
    since_ms: float

    def state(self) -> UnplacedState:
        """Look for input without reading it."""
        try:
            has_input = bool(self.accepted.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return UnplacedState.SILENT
        except OSError:  # reset
            return UnplacedState.CLOSED
        return UnplacedState.HAS_INPUT if has_input else UnplacedState.CLOSED

    @property
    def has_input(self) -> bool:
        """Whether bytes have arrived."""
        return self.state() is UnplacedState.HAS_INPUT

    def reset(self) -> None:
        """Close the connection with a reset, as a crowd that comes again at once would use up the system's ports."""
        self.accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.accepted.close()

    def age_ms(self) -> float:
        """Return the time since connecting, at least; 0 if the system does not tell."""
        age_ms = connection_age_ms(self.accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES))
        return 0.0 if age_ms is None else age_ms - CLOCK_TICK_MS
