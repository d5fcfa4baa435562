"""Whose connection ends, and when: time for a request to be whole, places when they run short, the way out of a drain.

Owns the states of a client's connection and every bound in time and number that ends one. It must never choose a
connection with a call at work, and never let those who say nothing keep the places of those who ask. No I/O and no
clock: times are handed in, in seconds; platform.py carries out what is chosen.
"""

from __future__ import annotations

from enum import Enum

WHOLE_S = 2.4  # from connecting, or from a later request's first byte, until a request is whole
IDLE_S = 4.6  # usual clients close after 4 s idle; this is for those that do not
LINGER_S = 1.0  # so long what a refused client still sends is read and dropped
STUCK_S = 5.0  # how long a client may leave its answers unread
# In a drain: new connections come for another 0.3 s, idle ones end from EASE_S on, nothing is taken after TAKE_S.
EASE_S, TAKE_S, QUIET_S = 0.4, 1.8, 0.3
AWAITED_S = 1.0  # so long an idle one is left whose client is about to ask for a `next`
RIPE_S = 0.1  # a connection that was shut is closed after this if others need its descriptor
RIPE, YOUNG = 1.5, 1.0  # who gives way to a connection that is new; to one that asks also those that have just come
CLIENT_PART, CROWDED_PART = 0.42, 0.34  # of all sockets; usual clients hold a third at most, of both processes
FRESH, COMING, IDLE, BUSY, LEAVING = range(5)


class Step(Enum):
    """What is done with a connection."""

    KEEP = 0
    ABORT = 1
    SLOW = 2  # refuse: a request was not whole in time
    SILENT = 3  # end: nothing was said in time
    LATE = 4  # refuse: nothing more is taken in this drain
    AWAY = 5  # end: clients are being sent away


def most(sockets: int, crowded: bool) -> int:
    """Return the most client connections; while another process serves too, both must fit into the descriptors."""
    return max(16, int(sockets * (CROWDED_PART if crowded else CLIENT_PART)))


def reserve(most: int, crowded: bool) -> int:
    """Return how many connections may exceed the bound: those that are ending, and those let in to be refused."""
    return max(8, most // (32 if crowded else 8))


def takes(drained_s: float) -> bool:
    """Return whether a new request is still taken so many seconds after a drain began (below 0: there is none)."""
    return drained_s <= TAKE_S


def spare(state: int, waited_s: float) -> float:
    """Return how well a connection can be closed for a new one after so many seconds in a state; 0: it must stay."""
    if state == BUSY:
        return 0.0
    rank = {
        LEAVING: 5.0,
        FRESH: 4.0 if waited_s > 0.1 else 1.0,
        COMING: 2.0 if waited_s > 0.5 else 0.5,
        IDLE: 3.0 if waited_s > 1.0 else 1.5,
    }[state]
    return rank + min(waited_s, 9.0) / 20.0


def due(state: int, waited_s: float, stuck_s: float, drained_s: float, awaited: bool) -> Step:
    """Return what is to be done with a connection by its times, in s.

    `waited_s`: time in this state; `stuck_s`: how long its responses lie unread, `drained_s`: time since a drain began,
    both below 0 for not at all; `awaited`: its client was given a `next` and has not called it yet.
    """
    # One that was shut lingers from when its last answer has left; where that lies unread, as long as a silent one.
    if stuck_s > STUCK_S or (state == LEAVING and waited_s > (LINGER_S if stuck_s < 0.0 else IDLE_S)):
        return Step.ABORT
    if state == COMING:
        if waited_s > WHOLE_S:
            return Step.SLOW
        return Step.LATE if waited_s > QUIET_S and not takes(drained_s) else Step.KEEP
    if (state == FRESH and waited_s > WHOLE_S) or (state == IDLE and waited_s > IDLE_S):
        return Step.SILENT
    if (
        state in (FRESH, IDLE)
        and drained_s > EASE_S
        and waited_s > (QUIET_S if state == FRESH else AWAITED_S if awaited else 0.0)
    ):
        return Step.AWAY
    return Step.KEEP
