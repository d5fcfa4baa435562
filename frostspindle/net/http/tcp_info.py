"""Reads ages from the system's TCP_INFO: of a connection, and of the last bytes that it received. No I/O.

A connection may wait in the accept queue with its first request for as long as other clients keep the process busy, or
until another process of this coordinator accepts it; its requests are at most as old as itself. The system records when
bytes arrive, however long they then wait in the accept queue or unread.
"""

from __future__ import annotations

import struct

TCP_INFO_BYTES = 60  # of `struct tcp_info`, which are read
CONNECTED_STATES = (1, 8)  # established; closed by the peer
CLOCK_TICK_MS = 10.0  # resolution of the ages, at the lowest rate of the kernel's clock
# State, retransmission timeout, ..., and time since data was last sent: since the connection was made, if none was.
_TCP_INFO = struct.Struct("=B7xI32xI")
_LAST_DATA_RECEIVED = struct.Struct("=52xI")  # ms since data was last received


def connection_age_ms(tcp_info: bytes) -> float | None:
    """Return the greatest age of a connection on which nothing was sent; None if the system does not tell."""
    if len(tcp_info) < _TCP_INFO.size:
        return None
    state, retransmission_timeout, unsent_ms = _TCP_INFO.unpack_from(tcp_info)
    if state not in CONNECTED_STATES or retransmission_timeout == 0:
        return None
    return unsent_ms + CLOCK_TICK_MS


def received_age_ms(tcp_info: bytes) -> float | None:
    """Return the ms since the last bytes arrived on a connection; None if the system does not tell."""
    if len(tcp_info) < _LAST_DATA_RECEIVED.size or connection_age_ms(tcp_info) is None:
        return None
    (received_ms,) = _LAST_DATA_RECEIVED.unpack_from(tcp_info)
    return float(received_ms)
