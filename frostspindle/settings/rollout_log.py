"""The log lines of a version's rollout at one coordinator.

- `settings_version_received`: a version has arrived, with its digest and the keys in which it contradicts its parent.
- `settings_version_rejected`: this coordinator can't apply the version.
- `settings_history_recorded`: an event of the history, logged by the publisher only.
- `settings_rules_activated`: the rules in force from `mono_ms` on (CLOCK_BOOTTIME); after an expired lease, `until_ms`
  is the time of its expiry.
"""

from __future__ import annotations

import time
from typing import Any

from frostspindle.settings.active_rules import ActiveRules, RestoredVersions, RulesReason
from frostspindle.settings.history_event import HistoryEvent
from frostspindle.settings.intersection import contradictions
from frostspindle.settings.member_decisions import MemberDecisions
from frostspindle.settings.schema import is_fleet_wide
from frostspindle.settings.state_machine import SettingsStateMachine
from frostspindle.settings.versions import Version
from frostspindle.telemetry import Telemetry

MAX_REMEMBERED_VERSIONS = 64
MAX_CHANGES_NAMED = 64  # for a version with more changes, the tables are compared instead
MAX_CONTRADICTIONS = 8


class RolloutLog:
    """Writes each line once. No line has secrets or statements."""

    def __init__(self, machine: SettingsStateMachine, member: MemberDecisions, telemetry: Telemetry) -> None:
        self._machine: SettingsStateMachine = machine
        self._member: MemberDecisions = member
        self._telemetry: Telemetry = telemetry
        self._logged_versions: dict[int, None] = {}
        self._logged_rejection: int = 0
        self._last_event_index: int = 0

    def log_versions(self) -> None:
        """Log the active and the pending version, and whether this coordinator rejects the newer one."""
        for number in (self._machine.active_version, self._machine.pending_version):
            if number and number not in self._logged_versions:
                self._logged_versions[number] = None
                while len(self._logged_versions) > MAX_REMEMBERED_VERSIONS:
                    del self._logged_versions[next(iter(self._logged_versions))]
                self._log_version(self._machine.version(number))
        newest = self._machine.pending_version or self._machine.active_version
        reason = self._member.rejection_reason(newest)
        if reason and self._logged_rejection != newest:
            self._logged_rejection = newest
            self._telemetry.count("settings_unfit")
            self._telemetry.log("settings_version_rejected", version=newest, why=reason)

    def _log_version(self, version: Version) -> None:
        self._telemetry.log(
            "settings_version_received",
            version=version.number,
            parent=version.parent,
            digest=version.digest_bytes.hex(),
            entries=len(version.rules),
            by=version.author,
            contradicts=self._contradictions_with_parent(version),
        )

    def _contradictions_with_parent(self, version: Version) -> list[str]:
        parent = self._machine.versions.get(version.parent) if version.parent >= 0 else None
        if parent is not None and len(version.changes) > MAX_CHANGES_NAMED:
            return contradictions(parent.rules, version.rules)
        return sorted(key for key in version.changes if is_fleet_wide(key))[:MAX_CONTRADICTIONS]

    def take_new_events(self) -> list[HistoryEvent]:
        """Return the events since the last call."""
        events = [event for event in self._machine.events if event.index > self._last_event_index]
        if events:
            self._last_event_index = events[-1].index
        return events

    def log_event(self, event: HistoryEvent, now: float) -> None:
        """Log an event of the history."""
        self._telemetry.log(
            "settings_history_recorded",
            what=event.kind,
            version=event.version,
            by=event.author,
            why=event.reason,
            mono_ms=round(now, 3),
        )

    def log_active_rules(
        self, previous: ActiveRules | None, rules: ActiveRules, restored: RestoredVersions, now: float
    ) -> None:
        """Log the rules in force from now on."""
        fields: dict[str, Any] = {}
        lost_lease = previous is not None and previous.reason != RulesReason.ISOLATED
        if rules.reason == RulesReason.ISOLATED and lost_lease:
            fields["until_ms"] = round(self._member.lease_until_ms, 3)
        if rules.reason == RulesReason.STARTED and restored.versions:
            fields["age_s"] = round(time.time() - restored.saved_at_ms / 1000.0, 1)
        self._telemetry.count("settings_acting", str(rules.mode))
        self._telemetry.log(
            "settings_rules_activated",
            mode=str(rules.mode),
            versions=rules.versions,
            why=str(rules.reason),
            entries=len(rules.rules),
            mono_ms=round(now, 3),
            **fields,
        )
