"""Detects a response that may be a duplicate of an earlier one on the same connection.

Responses of engines do not name their query, so a duplicate that arrives while the next call is in flight looks like
that call's response. It equals a response received shortly before on the connection. Genuine responses can be equal
too; waiting tells them apart, as a duplicate is followed by the call's own response. No I/O and no clock; times are
seconds of the event loop.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from frostspindle.net.http.replies import EngineReply

COPY_WINDOW_S = 0.25  # how long after a response a copy of it may arrive
MAX_RECENT_RESPONSES = 8  # remembered for each connection
# An engine responds to each call within 250 ms; the rest allows for the network and a busy engine.
OWN_RESPONSE_DUE_S = 0.3
MIN_CONFIRMATION_S = 0.25  # a shorter wait, because of the request's deadline, confirms nothing
DELIVERY_RESERVE_S = 0.1  # of a request's remaining time, for the response to reach the client
# Waiting costs latency: after each response that proves genuine, waits at that engine pause for this long, doubled each
# time up to MAX_PAUSE_S.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 60.0
COPIES_REMEMBERED_S = 60.0  # how long after a copy doubtful responses need confirmation

PENDING_STATUS = 202  # a copy only causes another poll of the same query
NO_CONTENT = 204
# Headers about the query. The load report is left out: it describes the moment, not the query.
COMPARED_HEADERS = (b"x-pages", b"x-page", b"x-shed", b"x-cost-ms", b"x-needed-mb", b"x-remark", b"x-value")


def confirmation_time_s(remaining_s: float) -> float:
    """Return how long after its call a doubtful response may be held back; 0 for not at all.

    `remaining_s`: the request's remaining time when the call is written, within which it has to be answered.
    """
    return max(0.0, min(OWN_RESPONSE_DUE_S, remaining_s - DELIVERY_RESERVE_S))


class RecentResponses:
    """The last responses on one connection, as hashes: this saves memory, and a collision costs one wait."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: deque[tuple[float, int]] = deque(maxlen=MAX_RECENT_RESPONSES)

    def record(self, reply: EngineReply, now_s: float) -> None:
        """Record a response that was accepted as that of its call."""
        self._recent.append((now_s, _fingerprint(reply)))

    def may_be_copy(self, reply: EngineReply, now_s: float) -> bool:
        """Return whether an equal response was received on this connection within COPY_WINDOW_S."""
        if reply.status in (PENDING_STATUS, NO_CONTENT) or not self._recent:
            return False
        fingerprint = _fingerprint(reply)
        return any(
            seen == fingerprint and now_s - received_at_s < COPY_WINDOW_S for received_at_s, seen in self._recent
        )


@dataclass(slots=True)
class _Pause:
    length_s: float
    until_s: float


class ConfirmationBackoff:
    """Limits the waits at one engine, by status, while its equal responses keep proving genuine."""

    __slots__ = ("_pauses", "_copy_seen_at_s")

    def __init__(self) -> None:
        self._pauses: dict[int, _Pause] = {}  # by status
        self._copy_seen_at_s = -math.inf

    def allows_wait(self, status: int, now_s: float) -> bool:
        """Return whether a possible copy with this status is to be confirmed by waiting."""
        pause = self._pauses.get(status)
        return pause is None or now_s >= pause.until_s

    def record_genuine(self, status: int, now_s: float) -> None:
        """Record that nothing followed a doubtful response: wait less often."""
        pause = self._pauses.get(status)
        length_s = FIRST_PAUSE_S if pause is None else min(MAX_PAUSE_S, 2.0 * pause.length_s)
        self._pauses[status] = _Pause(length_s, now_s + length_s)

    def record_copy(self, now_s: float) -> None:
        """Record that the engine has sent a copy: confirm every doubtful response."""
        self._pauses.clear()
        self._copy_seen_at_s = now_s

    def accepts_unconfirmed(self, now_s: float) -> bool:
        """Return whether a doubtful response is accepted when no other has followed it in time.

        Not at an engine that has sent copies recently: the genuine response may only be late.
        """
        return now_s - self._copy_seen_at_s > COPIES_REMEMBERED_S


def _fingerprint(reply: EngineReply) -> int:
    headers = tuple(reply.headers.get(name) for name in COMPARED_HEADERS)
    return hash((reply.status, reply.body, headers))
