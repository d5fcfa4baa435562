"""Recognises a response that may be a second copy of an earlier one on the same connection.

No response of an engine names its query, so that a copy that arrives while the next call is in flight looks like that
call's response. What gives it away is that it equals a response that came shortly before on the connection. Honest
responses can be equal too; the two are told apart by waiting on the connection: behind a copy the call's own response
follows. No I/O and no clock; times are seconds of the event loop.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from frostspindle.net.http.replies import EngineReply

COPY_WINDOW_S = 0.25  # so long after a response a copy of it is reckoned with
MAX_RECENT_RESPONSES = 8  # of one connection
# An engine responds to each call within 250 ms; the rest is for the network and a busy engine.
OWN_RESPONSE_DUE_S = 0.3
MIN_CONFIRMATION_S = 0.25  # a shorter wait, as the request's time ends, confirms nothing
DELIVERY_RESERVE_S = 0.1  # of a request's time, for its response to reach the client
# Equal responses that prove honest cost latency: after each the next wait at that engine is this much later.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 60.0
COPIES_REMEMBERED_S = 60.0  # so long after a copy a response in doubt is not taken unconfirmed

PENDING_STATUS = 202  # a copy of it only causes a further poll of the same query
NO_CONTENT = 204
# What a response says of its query. The load report is left out: it is of the moment, not of the query.
COMPARED_HEADERS = (b"x-pages", b"x-page", b"x-shed", b"x-cost-ms", b"x-needed-mb", b"x-remark", b"x-value")


def confirmation_time_s(remaining_s: float) -> float:
    """Return how long after its call a response in doubt may be kept back; 0: not at all.

    `remaining_s`: what is left of the request's time as the call is written, which the response has to meet.
    """
    return max(0.0, min(OWN_RESPONSE_DUE_S, remaining_s - DELIVERY_RESERVE_S))


class RecentResponses:
    """The last responses on one connection, as hashes: memory stays small, and a collision costs one wait."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: deque[tuple[float, int]] = deque(maxlen=MAX_RECENT_RESPONSES)

    def record(self, reply: EngineReply, now_s: float) -> None:
        """Remember a response that was taken for that of its call."""
        self._recent.append((now_s, _fingerprint(reply)))

    def may_be_copy(self, reply: EngineReply, now_s: float) -> bool:
        """Return whether an equal response came on this connection within COPY_WINDOW_S."""
        if reply.status in (PENDING_STATUS, NO_CONTENT) or not self._recent:
            return False
        fingerprint = _fingerprint(reply)
        return any(seen == fingerprint and now_s - came_at_s < COPY_WINDOW_S for came_at_s, seen in self._recent)


@dataclass(slots=True)
class _Pause:
    length_s: float
    until_s: float


class ConfirmationBackoff:
    """Limits the waits at one engine by status, where its equal responses keep proving to be honest."""

    __slots__ = ("_pauses", "_copy_seen_at_s")

    def __init__(self) -> None:
        self._pauses: dict[int, _Pause] = {}  # by status, of which there are few
        self._copy_seen_at_s = -math.inf

    def allows_wait(self, status: int, now_s: float) -> bool:
        """Return whether a response with this status that may be a copy is to be confirmed by a wait."""
        pause = self._pauses.get(status)
        return pause is None or now_s >= pause.until_s

    def record_honest(self, status: int, now_s: float) -> None:
        """Note that nothing followed a response in doubt: wait less often."""
        pause = self._pauses.get(status)
        length_s = FIRST_PAUSE_S if pause is None else min(MAX_PAUSE_S, 2.0 * pause.length_s)
        self._pauses[status] = _Pause(length_s, now_s + length_s)

    def record_copy(self, now_s: float) -> None:
        """Note that the engine has sent a copy: confirm each response in doubt."""
        self._pauses.clear()
        self._copy_seen_at_s = now_s

    def takes_unconfirmed(self, now_s: float) -> bool:
        """Return whether a response in doubt is taken when no other has followed it in time.

        Not at an engine that has sent copies lately: its own response may only be late.
        """
        return now_s - self._copy_seen_at_s > COPIES_REMEMBERED_S


def _fingerprint(reply: EngineReply) -> int:
    headers = tuple(reply.headers.get(name) for name in COMPARED_HEADERS)
    return hash((reply.status, reply.body, headers))
