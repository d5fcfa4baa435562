"""Policy for connections to engines, without I/O or clock; net/http/connection_pool.py carries it out.

Decides how many connections there are, how long idle ones are kept, and which of them is used for a call. From when on
a query can no longer run is decided in query_lifetime.py.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

CLOSE_AHEAD_MS = 2000.0  # idle connections are closed here this long before the engine closes them
# Shares of all sockets for connections to engines, without and with another process; clients' connections are apart.
ENGINE_SOCKET_SHARE = 0.38
SHARED_ENGINE_SOCKET_SHARE = 0.15

ConnectionT = TypeVar("ConnectionT")


class ConnectionLimits(NamedTuple):
    """Limits on the connections to all engines together, and to each engine."""

    total: int
    per_engine: int


def idle_timeout_ms(engine_idle_timeout_ms: float) -> float:
    """Return how long an idle connection is used, by the time after which engines close it (both in ms).

    It is shorter by CLOSE_AHEAD_MS, or by half if that is less, as a call sent while the engine closes is lost.
    """
    return max(engine_idle_timeout_ms / 2.0, engine_idle_timeout_ms - CLOSE_AHEAD_MS)


def connection_limits(sockets: int, is_beside_other: bool) -> ConnectionLimits:
    """Return the limits for a process with `sockets` sockets; during an upgrade two processes share the descriptors."""
    share = SHARED_ENGINE_SOCKET_SHARE if is_beside_other else ENGINE_SOCKET_SHARE
    total = max(16, int(sockets * share))
    per_engine = max(8, total // (2 if is_beside_other else 3))
    return ConnectionLimits(total, per_engine)


def choose_idle(idle: Sequence[ConnectionT], is_preferred: Callable[[ConnectionT], bool] | None = None) -> ConnectionT:
    """Return the preferred connection that was used last; without one, any, so that the others time out."""
    if is_preferred is not None:
        for connection in reversed(idle):
            if is_preferred(connection):
                return connection
    return idle[-1]
