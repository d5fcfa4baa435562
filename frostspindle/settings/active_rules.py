"""The rules in force at a coordinator, and the versions restored from its store. No I/O, no clock."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from frostspindle.settings.versions import EMPTY_VERSION, Table, Version


class RulesMode(StrEnum):
    """The source of the active rules; the values appear in log lines, operators' replies and operators' files."""

    LOCAL_FILES = "file"  # no version is agreed yet: only the coordinator's local files apply
    VERSION = "version"  # a single version
    INTERSECTION = "meet"  # the intersection of several versions
    REJECT = "refuse"  # all queries are rejected: no renewal was applied for the length of a lease


class RulesReason(StrEnum):
    """Why the rules are not a single version's; the values appear in log lines and operators' replies."""

    PENDING = "pending"  # a version is pending
    ISOLATED = "alone"  # this coordinator's lease expired
    STARTED = "start"  # no renewal by this process has been applied yet
    NOT_APPLICABLE = "unfit"  # this coordinator can't apply the active version


@dataclass(slots=True, frozen=True)
class ActiveRules:
    """The rules in force, and the versions whose intersection they are."""

    mode: str  # a RulesMode
    versions: tuple[int, ...]
    rules: Table
    reason: str = ""  # a RulesReason

    @property
    def sole_version(self) -> int:
        """Number of the version if the rules are a single version's, else 0."""
        return self.versions[0] if self.mode == RulesMode.VERSION else 0


NOTHING_AGREED = ActiveRules(RulesMode.LOCAL_FILES, (0,), EMPTY_VERSION.rules)


@dataclass(slots=True, frozen=True)
class RestoredVersions:
    """Content of the store at startup: the versions that may be active, and when that was last confirmed (Unix ms)."""

    versions: tuple[Version, ...] = ()
    saved_at_ms: float = 0.0
