"""Rollout events of versions, as kept by the state machine and shown to operators. No I/O."""

from __future__ import annotations

from enum import StrEnum

from msgspec import Struct


class EventKind(StrEnum):
    """Kinds of rollout events; the values appear in snapshots, log lines and operators' replies."""

    PUBLISHED = "published"
    TURNED_DOWN = "turned down"  # the draft is invalid, no version was made
    ACTIVATED = "live"
    WITHDRAWN = "withdrawn"
    CONFIRMED = "proven"
    ROLLED_BACK = "rolled back"


class HistoryEvent(Struct, array_like=True, frozen=True):
    """One event. `kind` is a plain string because a snapshot may have kinds added by a later program version."""

    index: int  # log index of the command that caused it
    kind: str
    version: int
    author: str = ""  # key of the draft
    reason: str = ""
