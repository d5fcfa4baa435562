"""Decides which worker answers a call on a path, and which accepts a new connection.

Paths contain the identity of the worker that owns the request. A call on a path is answered by this worker, relayed to
the owner, or failed if the owner has died. Functions without I/O or clock.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from enum import Enum
from typing import NamedTuple

_PATH = re.compile(r"/call/[^/]+/([0-9a-f]{1,2})\.([0-9a-f]{1,8})\.")
ACCEPT_SLACK = 2  # a worker accepts while it has at most this many connections more than the least loaded one


class RequestOwner(NamedTuple):
    """A worker process, identified by its slot and its incarnation, which is incremented with each restart."""

    slot: int
    incarnation: int


class Route(Enum):
    """How to answer a call on a path that is unknown at this worker."""

    UNKNOWN = "unknown"  # no such request, or its result has expired: 404
    RELAY = "relay"  # the owner is alive: relay the call to it
    OWNER_ENDED = "owner_ended"  # the owner has exited and its result is lost: fail, as the request may have run


def path_prefix(owner: RequestOwner) -> str:
    """Return the owner's slot and incarnation in hex, which precede the number in a path."""
    return f"{owner.slot:x}.{owner.incarnation:x}."


def owner_of(path: str) -> RequestOwner | None:
    """Return the worker that a path names; None if the path does not have the form that workers create."""
    match = _PATH.match(path)
    return RequestOwner(int(match.group(1), 16), int(match.group(2), 16)) if match else None


def route(path: str, identity: RequestOwner, live_incarnations: Mapping[int, int]) -> Route:
    """Return how to answer a call on a path that the worker `identity` does not know."""
    owner = owner_of(path)
    if owner is None or owner == identity:
        return Route.UNKNOWN
    return Route.RELAY if live_incarnations.get(owner.slot) == owner.incarnation else Route.OWNER_ENDED


def should_accept(own_connections: int, peer_connections: Iterable[int]) -> bool:
    """Return whether to accept a new connection now, by the connection counts of this and the other live workers.

    Return True if this worker has at most ACCEPT_SLACK connections more than the least loaded one. A worker that
    declines retries shortly afterwards and then accepts, so that no connection waits for a hung worker.
    """
    return own_connections <= min(peer_connections, default=own_connections) + ACCEPT_SLACK
