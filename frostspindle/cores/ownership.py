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


class Owner(NamedTuple):
    """The slot and the incarnation of a worker."""

    slot: int
    incarnation: int


class Route(Enum):
    """What becomes of a call on a path that is not known here."""

    UNKNOWN = "unknown"  # no such request, or it ended long ago: 404
    ASK = "ask"  # its owner lives: the call is passed on
    DIED = "died"  # its owner ended, and the answer with it: failed, for it may have run


def prefix(owner: Owner) -> str:
    """What stands before a path's number: it names the worker for as long as the path lives."""
    return f"{owner.slot:x}.{owner.incarnation:x}."


def owner_of(path: str) -> Owner | None:
    match = _PATH.match(path)
    return Owner(int(match.group(1), 16), int(match.group(2), 16)) if match else None


def route(path: str, me: Owner, living: Mapping[int, int]) -> Route:
    """`living`: the incarnation in each slot."""
    owner = owner_of(path)
    if owner is None or owner == me:
        return Route.UNKNOWN
    return Route.ASK if living.get(owner.slot) == owner.incarnation else Route.DIED


def accepts(mine: int, others: Iterable[int]) -> bool:
    """Whether to take a new connection now, by the connections that live workers hold.

    The others are asked only to be faster: who refrains looks again shortly and then takes it, so that a connection
    never waits for one that hangs.
    """
    return mine <= min(others, default=mine) + SLACK
