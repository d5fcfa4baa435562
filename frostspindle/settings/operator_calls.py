"""Operators' calls for the status, the history and the differences of versions. The keys of the replies are fixed."""

from __future__ import annotations

import time
from typing import Any

from frostspindle.settings.schema import InvalidSettingsError, redact
from frostspindle.settings.service import SettingsService
from frostspindle.settings.state_machine import MemberLease

MAX_SHOWN_CHANGES = 500


class OperatorCalls:
    """Read-only operators' calls on one coordinator's settings."""

    def __init__(self, service: SettingsService) -> None:
        self._service: SettingsService = service

    def status(self) -> dict[str, Any]:
        """Return this coordinator's state and lease, and for each member the version in force and the rejected one."""
        service = self._service
        machine = service.machine
        member = service.member
        now = service.now()
        rules = service.refresh()
        restored = member.restored
        return {
            "name": member.name,
            "mode": str(rules.mode),
            "versions": rules.versions,
            "why": str(rules.reason),
            "live": machine.active_version,
            "pending": machine.pending_version,
            "proven": machine.confirmed_version,
            "on_trial": bool(machine.trial_index),
            "last": machine.last_version,
            "publisher": bool(service.publisher.token),
            "leader": service.log.leader,
            "lease_ms": service.settings.lease_ms,
            "left_ms": round(max(0.0, member.lease_until_ms - now), 1) if member.has_renewed else 0.0,
            "heard": member.has_renewed,
            "kept": sorted(member.durable_digests),
            "kept_age_s": round(time.time() - restored.saved_at_ms / 1000.0, 1) if restored.versions else None,
            "keeps": service.store is not None,
            "entries": len(rules.rules),
            "members": {name: _member_row(lease) for name, lease in sorted(machine.members.items())},
            "drafts": len(machine.drafts),
            "refused_tokens": machine.counts["stale"],
            "counts": {**machine.counts, **member.counts, **service.counts},
        }

    def history(self) -> dict[str, Any]:
        """Return the retained versions and events, oldest first."""
        machine = self._service.machine
        return {
            "live": machine.active_version,
            "proven": machine.confirmed_version,
            "versions": [
                {
                    "version": version.number,
                    "by": version.author,
                    "digest": version.digest_bytes.hex(),
                    "entries": len(version.rules),
                    "changes": len(version.changes),
                }
                for version in machine.versions
            ],
            "news": [
                {"what": event.kind, "version": event.version, "by": event.author, "why": event.reason}
                for event in machine.events
            ],
        }

    def diff(self, old: int, new: int, max_shown: int = MAX_SHOWN_CHANGES) -> dict[str, Any]:
        """Return up to `max_shown` changes from one retained version to another, without secrets.

        Raise InvalidSettingsError if one of them is not retained.
        """
        try:
            changes = self._service.machine.versions.changes_between(old, new)
        except KeyError as error:
            raise InvalidSettingsError(f"version {error} is not in the history") from None
        shown = {key: None if entry is None else redact(entry) for key, entry in sorted(changes.items())[:max_shown]}
        return {"from": old, "to": new, "changes": len(changes), "shown": shown}


def _member_row(member: MemberLease) -> dict[str, Any]:
    renewal = member.renewal
    return {
        "acked": renewal.acknowledged,
        "acting": renewal.active,
        "on_meet": not renewal.active,
        "refused": renewal.rejected,
        "why": renewal.reason,
    }
