"""Which worker answers for a path, an id or a new connection.

Owns the form of the paths that name their worker, the choice between answering here, asking the owner, and saying
that the request ended with its worker, and whether this worker should leave a connection to another. It must never
read a socket or the board; it judges what it is handed.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

_PATH = re.compile(r"/call/[^/]+/([0-9a-f]{1,2})\.([0-9a-f]{1,8})\.")
SLACK = 2  # connections by which one worker may be ahead of the least laden before it lets others go first


class RequestOwner(NamedTuple):
    """A worker's process: its slot, and the incarnation that tells it from its predecessors."""

    slot: int
    incarnation: int


class Route(Enum):
    """What is to be done with a call on a path that is not known here."""

    UNKNOWN = "unknown"  # no such request, or it ended long ago: 404
    ASK = "ask"  # its owner lives: the call is passed on
    DIED = "died"  # its owner ended, and the answer with it: failed, for it may have run


def prefix(owner: RequestOwner) -> str:
    """Return the part of a path before its number: slot and incarnation of its worker, in hex."""
    return f"{owner.slot:x}.{owner.incarnation:x}."


def owner_of(path: str) -> RequestOwner | None:
    """Return the worker that a path names; None: it has no such form, so no worker made it."""
    match = _PATH.match(path)
    return RequestOwner(int(match.group(1), 16), int(match.group(2), 16)) if match else None


def route(path: str, me: RequestOwner, living: Mapping[int, int]) -> Route:
    """Return what becomes of a call on a path that is unknown at `me`; `living`: the incarnation now in each slot."""
    owner = owner_of(path)
    if owner is None or owner == me:
        return Route.UNKNOWN
    return Route.ASK if living.get(owner.slot) == owner.incarnation else Route.DIED


def accepts(mine: int, others: Iterable[int]) -> bool:
    """Return whether to take a new connection now, by the numbers of connections that live workers hold.

    True up to SLACK connections above the least laden. A worker that refrains looks again shortly and then takes it, so
    that a connection never waits for a worker that hangs.
    """
    return mine <= min(others, default=mine) + SLACK
