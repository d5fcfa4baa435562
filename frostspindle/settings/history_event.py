"""The events of a version's rollout, as the state machine keeps them and operators read them. No I/O."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct


class EventKind(StrEnum):
    """What happened; the values are in snapshots, log lines and operators' replies."""

    PUBLISHED = "published"
    TURNED_DOWN = "turned down"  # the draft is invalid and became no version
    ACTIVATED = "live"
    WITHDRAWN = "withdrawn"
    CONFIRMED = "proven"
    ROLLED_BACK = "rolled back"


class HistoryEvent(Struct, array_like=True, frozen=True):
    """One event; `what` is a string and not an EventKind, as a snapshot may hold kinds of a later program version."""

    index: int  # of the log's entry
    what: str
    version: int
    author: str = ""  # key of the draft
    reason: str = ""
