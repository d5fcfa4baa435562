"""Which worker answers a call on a path, and which accepts a new connection.

Defines the form of the paths that name their worker, the choice between answering here, relaying to the owner and
reporting that the request ended with its worker, and whether this worker should leave a connection to another one.
Functions without I/O or clock.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

_PATH = re.compile(r"/call/[^/]+/([0-9a-f]{1,2})\.([0-9a-f]{1,8})\.")
ACCEPT_SLACK = 2  # connections that a worker may have more than the least loaded one and still accept


class RequestOwner(NamedTuple):
    """A worker's process: its slot, and the incarnation that distinguishes it from its predecessors there."""

    slot: int
    incarnation: int


class Route(Enum):
    """How a call on a path that is unknown at this worker is answered."""

    UNKNOWN = "unknown"  # no such request, or it ended long ago: 404
    RELAY = "relay"  # its owner lives: the call is relayed to it
    OWNER_ENDED = "owner_ended"  # its owner ended, and the answer with it: failed, for it may have run


def path_prefix(owner: RequestOwner) -> str:
    """Return the part of a path that precedes its number: slot and incarnation of its worker, in hex."""
    return f"{owner.slot:x}.{owner.incarnation:x}."


def owner_of(path: str) -> RequestOwner | None:
    """Return the worker that a path names; None if it has no such form, so that no worker made it."""
    match = _PATH.match(path)
    return RequestOwner(int(match.group(1), 16), int(match.group(2), 16)) if match else None


def route(path: str, own: RequestOwner, living: Mapping[int, int]) -> Route:
    """Return how to answer a call on a path unknown at worker `own`; `living`: the present incarnation by slot."""
    owner = owner_of(path)
    if owner is None or owner == own:
        return Route.UNKNOWN
    return Route.RELAY if living.get(owner.slot) == owner.incarnation else Route.OWNER_ENDED


def should_accept(own_connections: int, peer_connections: Iterable[int]) -> bool:
    """Return whether to accept a new connection now, by the numbers of connections of this and the other live workers.

    True up to SLACK connections above the least loaded one. A worker that declines is asked again shortly and
    then accepts, so that a connection never waits for a worker that hangs.
    """
    return own_connections <= min(peer_connections, default=own_connections) + ACCEPT_SLACK
