"""Decides which client connections are closed, and when: time-outs, scarce descriptors and draining.

No I/O and no clock: times are given in seconds, and platform.py applies the decisions. A connection with a call in
progress is not closed for another one, and silent clients do not keep descriptors from those that send requests.
"""

from __future__ import annotations

from enum import Enum

REQUEST_TIMEOUT_S = 2.4  # from connecting, or from a later request's first byte, until a request is complete
IDLE_TIMEOUT_S = 4.6  # usual clients close after 4 s; this is for those that do not
LINGER_TIMEOUT_S = 1.0  # how long input is read and discarded after the connection was shut down
UNREAD_RESPONSE_TIMEOUT_S = 5.0  # how long a client may leave its responses unread
# While draining: new connections are still served for DRAIN_NEW_CONNECTION_S, idle ones are closed from
# DRAIN_IDLE_CLOSE_S on, and no request is accepted after DRAIN_LAST_REQUEST_S.
DRAIN_IDLE_CLOSE_S = 0.4
DRAIN_LAST_REQUEST_S = 1.8
DRAIN_NEW_CONNECTION_S = 0.3
DRAIN_POLL_GRACE_S = 1.0  # an idle connection is kept for so long if its client is about to poll a response path
# A connection that was shut down may be closed after this if its descriptor is needed. If its client goes on sending,
# the close resets it; by then the client has had the time to read its last response.
CLOSING_RECLAIM_S = 0.1
RECEIVING_RECLAIM_S = 0.1  # a partial request makes way for a new connection after this
RECLAIM_FOR_CONNECTION = 1.5  # least reclaim score at which a connection is closed for a new one
# The same for a complete request, which displaces all connections without one, also those that are just made.
RECLAIM_FOR_REQUEST = 0.5
CLIENT_DESCRIPTOR_SHARE = 0.42  # of all descriptors
SHARED_CLIENT_DESCRIPTOR_SHARE = 0.34  # while two processes share them; usual clients need at most a third

# States of a client connection.
NEW, RECEIVING, IDLE, BUSY, CLOSING = range(5)


class ConnectionStep(Enum):
    """What is done with a connection."""

    KEEP = 0
    ABORT = 1
    REQUEST_TOO_SLOW = 2  # reject: a request was not complete in time
    CLOSE_SILENT = 3  # close: nothing was sent in time
    REJECT_IN_DRAIN = 4  # reject: nothing more is accepted in this drain
    CLOSE_IN_DRAIN = 5  # close: clients are sent away


def max_connections(descriptors: int, shared: bool) -> int:
    """Return the bound on client connections; `shared`: another process uses the same descriptors."""
    share = SHARED_CLIENT_DESCRIPTOR_SHARE if shared else CLIENT_DESCRIPTOR_SHARE
    return max(16, int(descriptors * share))


def reserved_connections(bound: int, shared: bool) -> int:
    """Return how many connections may exceed the bound: those being closed, and those accepted to be rejected."""
    return max(8, bound // (32 if shared else 8))


def accepts_requests(draining_s: float) -> bool:
    """Return whether a new request is accepted so many seconds after a drain began (below 0: no drain)."""
    return draining_s <= DRAIN_LAST_REQUEST_S


def reclaim_score(state: int, elapsed_s: float) -> float:
    """Return a score by which connections are closed for others, best first; 0 if it must be kept.

    `elapsed_s`: time in its state.
    """
    if state == BUSY:
        return 0.0
    scores = {
        CLOSING: 5.0,
        NEW: 4.0 if elapsed_s > 0.1 else 1.0,
        RECEIVING: 2.0 if elapsed_s > RECEIVING_RECLAIM_S else 0.5,
        IDLE: 3.0 if elapsed_s > 1.0 else 1.5,
    }
    return scores[state] + min(elapsed_s, 9.0) / 20.0


def next_step(state: int, elapsed_s: float, unread_s: float, draining_s: float, poll_expected: bool) -> ConnectionStep:
    """Return the step for a connection by its times, in s.

    `elapsed_s`: time in this state; `unread_s`: how long its responses have been unread; `draining_s`: time since a
    drain began; both are negative for not at all; `poll_expected`: its client got a response path and has not polled it
    yet.
    """
    if unread_s > UNREAD_RESPONSE_TIMEOUT_S:
        return ConnectionStep.ABORT
    if state == CLOSING:
        # The linger time starts when the last response was written; while that is unread, the idle timeout applies.
        linger_s = LINGER_TIMEOUT_S if unread_s < 0.0 else IDLE_TIMEOUT_S
        return ConnectionStep.ABORT if elapsed_s > linger_s else ConnectionStep.KEEP
    if state == RECEIVING:
        return _step_while_receiving(elapsed_s, draining_s)
    if state == BUSY:
        return ConnectionStep.KEEP
    return _step_while_waiting(state, elapsed_s, draining_s, poll_expected)


def _step_while_receiving(elapsed_s: float, draining_s: float) -> ConnectionStep:
    if elapsed_s > REQUEST_TIMEOUT_S:
        return ConnectionStep.REQUEST_TOO_SLOW
    if elapsed_s > DRAIN_NEW_CONNECTION_S and not accepts_requests(draining_s):
        return ConnectionStep.REJECT_IN_DRAIN
    return ConnectionStep.KEEP


def _step_while_waiting(state: int, elapsed_s: float, draining_s: float, poll_expected: bool) -> ConnectionStep:
    """Decide on a connection that is new or idle."""
    if elapsed_s > (REQUEST_TIMEOUT_S if state == NEW else IDLE_TIMEOUT_S):
        return ConnectionStep.CLOSE_SILENT
    if draining_s <= DRAIN_IDLE_CLOSE_S:
        return ConnectionStep.KEEP
    idle_grace_s = DRAIN_POLL_GRACE_S if poll_expected else 0.0
    grace_s = DRAIN_NEW_CONNECTION_S if state == NEW else idle_grace_s
    return ConnectionStep.CLOSE_IN_DRAIN if elapsed_s > grace_s else ConnectionStep.KEEP
