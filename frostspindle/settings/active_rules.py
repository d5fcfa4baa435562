"""The rules that a coordinator acts on, and the versions that it restored from its store. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from immutables import Map

from frostspindle.settings.versions import EMPTY_VERSION, Version


class RulesMode(StrEnum):
    """What the active rules are; the values are in log lines, operators' replies and operators' files."""

    LOCAL_FILES = "file"  # nothing is agreed yet: the coordinator's own files alone
    VERSION = "version"  # one version
    INTERSECTION = "meet"  # the intersection of several versions
    REJECT = "refuse"  # nothing is sent, as no renewal was applied for a lease


class RulesReason(StrEnum):
    """Why it is not one version alone; the values are in log lines and operators' replies."""

    PENDING = "pending"  # a version is pending
    ISOLATED = "alone"  # the own lease ran out
    STARTED = "start"  # no renewal of this process was applied yet
    NOT_APPLICABLE = "unfit"  # the active version can't be applied here


@dataclass(slots=True, frozen=True)
class ActiveRules:
    """The rules that are acted on, and the versions that they are the intersection of."""

    mode: str  # a RulesMode
    versions: tuple[int, ...]
    rules: Map[str, Any]
    reason: str = ""  # a RulesReason

    @property
    def sole_version(self) -> int:
        """Number of the version that is acted on alone; 0 if none is."""
        return self.versions[0] if self.mode == RulesMode.VERSION else 0


NOTHING_AGREED = ActiveRules(RulesMode.LOCAL_FILES, (0,), EMPTY_VERSION.rules)


@dataclass(slots=True, frozen=True)
class RestoredVersions:
    """What a start knows from the store: versions that may be active, and when that was last known (Unix ms)."""

    versions: tuple[Version, ...] = ()
    saved_at_ms: float = 0.0
