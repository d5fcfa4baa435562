"""Applies the active rules to the program: bans, drains, engines, limits, quotas, classes and TDS logins.

Runs in the event loop's thread. A long engine list is sent to the core in slices so that it does not block the event
loop, but excluded engines are banned at once. Where a version has no entry, the program's local files apply.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from frostspindle.config import TdsEngine, TdsLogin
from frostspindle.core import Attempt, EngineState
from frostspindle.policy import Health
from frostspindle.settings.active_rules import NOTHING_AGREED, ActiveRules, RulesMode
from frostspindle.settings.engine_list import EngineList
from frostspindle.settings.policy_overrides import PolicyOverrides
from frostspindle.settings.schema import Rules, kind_of
from frostspindle.settings.send_limits import SendLimits
from frostspindle.settings.versions import EMPTY_VERSION, Table

TDS_FIELDS_BY_LIMIT = {
    "tds_sessions": "max_sessions",
    "tds_batch_bytes": "max_batch_bytes",
    "tds_result_bytes": "max_result_bytes",
    "tds_idle_ms": "idle_ms",
}
SetBans = Callable[[frozenset[str]], None]


@dataclass(slots=True, frozen=True)
class _Consumer:
    """A consumer of the rules, and the kinds of entries that it depends on."""

    label: str  # names the consumer in the log if it fails
    kinds: frozenset[str]
    apply: Callable[[Rules, set[str] | None], None]


class AppliedRules:
    """The rules in force in this program, and their consumers."""

    def __init__(self, program: Any, name: str) -> None:
        self.program = program
        self.name: str = name
        self.core = program.core
        self.telemetry = program.telemetry
        self.base_tds = program.config.operator.tds  # the [tds] section of the local files

        self.active: ActiveRules = NOTHING_AGREED
        self.rules: Table = EMPTY_VERSION.rules
        self.rejects_all: bool = False
        # Both are set once the settings service exists. `changed_keys` returns the keys in which two active rules may
        # differ (None: any); `refresh` runs before each send and detects an expired lease.
        self.changed_keys: Callable[[ActiveRules, ActiveRules], set[str] | None] = lambda old, new: None
        self.refresh: Callable[[], object] = lambda: None

        self.manually_banned: frozenset[str] = frozenset()
        self.excluded: frozenset[str] = frozenset()  # engines that the rules exclude: `_barred` and `_unlisted`
        self._barred: set[str] = set()  # by bans and drains
        self._unlisted: frozenset[str] = frozenset()  # missing from their front's list, or not active on it
        self._set_bans: SetBans = self.core.ban

        self._may_send_before = self.core.may_start
        self.core.may_start = self.may_send
        self._limits = SendLimits()
        self._policy = PolicyOverrides(program)
        self.engine_list = EngineList(program)
        self._consumers = (
            _Consumer("_stop", frozenset({"ban", "drain", "engine", "scope", "coordinator"}), self._apply_exclusions),
            _Consumer("_bounds", frozenset({"limit"}), self._apply_limits),
            _Consumer("_tune", frozenset({"tenant", "class"}), self._policy.apply),
            _Consumer("_tds", frozenset({"engine", "scope", "login", "limit"}), self._apply_tds),
            _Consumer("_list", frozenset({"engine", "scope"}), self.engine_list.apply),
        )

    # Manual bans and bans by rules.

    def wrap_ban_listener(self, set_bans: SetBans) -> SetBans:
        """Return a replacement for `set_bans` that takes the manually banned engines.

        It adds the engines that the rules exclude.
        """
        self._set_bans = set_bans

        def set_manual_bans(names: frozenset[str]) -> None:
            self.manually_banned = names
            set_bans(names | self.excluded)

        return set_manual_bans

    # Before each send.

    def may_send(self, state: EngineState, attempt: Attempt) -> bool:
        """Whether the current rules, and this coordinator's share of the limits, let an attempt send its first byte."""
        self.refresh()
        if self._may_send_before is not None and not self._may_send_before(state, attempt):
            return False
        if self.rejects_all or state.name in self.excluded:
            self.telemetry.count("settings_stopped")
            return False
        front = "tds" if state.driver is self.program.tds_driver else "http"
        if not self._limits.admit(self.rules, f"engine/{front}/{state.name}", attempt):
            self.telemetry.count("settings_bounded")
            return False
        return True

    # Applying.

    def apply(self, active: ActiveRules) -> None:
        """Put rules into force. An exception in one consumer is logged and does not stop the others."""
        changed_keys = self.changed_keys(self.active, active)
        changed_kinds = None if changed_keys is None else {kind_of(key) for key in changed_keys}
        rejected_all = self.rejects_all
        self.rules = active.rules
        self.rejects_all = active.mode == RulesMode.REJECT
        self.active = active
        for consumer in self._consumers:
            is_affected = changed_kinds is None or changed_kinds & consumer.kinds or rejected_all != self.rejects_all
            if not is_affected:
                continue  # a changed tenant quota must not cost a walk over ten thousand engines
            try:
                consumer.apply(active.rules, changed_keys)
            except Exception as error:  # noqa: BLE001 - the version passed its checks; its other changes still apply
                self.telemetry.count("faults")
                self.telemetry.log("exception_caught", error=repr(error), of=f"settings {consumer.label}")

    def reapply(self, tds: Any) -> None:
        """Apply the rules again after the local files were reloaded; `tds` is their [tds] section."""
        self.base_tds = tds
        self._apply_limits(self.rules, None)
        self._apply_tds(self.rules, None)

    def close(self) -> None:
        """Cancel sending a long engine list to the core; engines already sent remain."""
        self.engine_list.close()

    def _apply_exclusions(self, rules: Rules, changed_keys: set[str] | None) -> None:
        """Ban excluded engines at once, ahead of the engine list."""
        self._limits.set_share(rules, self.name)
        self._update_barred(rules, changed_keys)
        if changed_keys is None or any(key.startswith(("engine/", "scope/")) for key in changed_keys):
            self._unlisted = self._find_unlisted(rules)
        excluded = self._unlisted | self._barred
        if excluded != self.excluded:
            self.excluded = excluded
            self._set_bans(self.manually_banned | excluded)

    def _update_barred(self, rules: Rules, changed_keys: set[str] | None) -> None:
        prefixes = ("ban/", "drain/")
        if changed_keys is None:
            self._barred = {entry.engine for key, entry in rules.items() if key.startswith(prefixes)}
            return
        # One changed ban must not cost a walk over ten thousand entries.
        for name in {key.partition("/")[2] for key in changed_keys if key.startswith(prefixes)}:
            if f"ban/{name}" in rules or f"drain/{name}" in rules:
                self._barred.add(name)
            else:
                self._barred.discard(name)

    def _find_unlisted(self, rules: Rules) -> frozenset[str]:
        """Return the engines that were active here and that the lists exclude.

        Engines that were never active here need no ban: banning each of thousands of leaving engines would block the
        core.
        """
        unlisted: set[str] = set()
        for front, driver in (("http", self.program.driver), ("tds", self.program.tds_driver)):
            if f"scope/{front}" not in rules or driver is None:
                continue
            for state in self.core.engines.values():
                if state.driver is not driver or not self._was_active(state):
                    continue
                engine = rules.get(f"engine/{front}/{state.name}")
                if engine is None or engine.state != "active":
                    unlisted.add(state.name)
        return frozenset(unlisted)

    def _was_active(self, state: EngineState) -> bool:
        return state.name in self._unlisted or (state.listed_entry or state.entry).health == Health.READY

    def _apply_limits(self, rules: Rules, changed_keys: set[str] | None) -> None:
        limit = rules.get("limit/open_requests")
        self.program.agreed_open_limit = None if limit is None else int(limit.value)
        self.program.update_open_limit()
        self.core.max_open_requests = 0 if self.rejects_all else self.program.sockets // 2

    def _apply_tds(self, rules: Rules, changed_keys: set[str] | None) -> None:
        """Override the [tds] section of the local files with the limits, logins and engines of the rules."""
        program = self.program
        if program.tds is None or program.tds_driver is None:
            return
        section = msgspec.structs.replace(self.base_tds, **_tds_overrides(rules))
        if section != program.tds.tds:
            program.tds.tds = section
            program.tds_driver.tds = section
            program.tds_driver.configure(section.engine)


def _tds_overrides(rules: Rules) -> dict[str, Any]:
    overrides: dict[str, Any] = {}
    for name, field in TDS_FIELDS_BY_LIMIT.items():
        limit = rules.get(f"limit/{name}")
        if limit is not None:
            overrides[field] = limit.value if field == "idle_ms" else int(limit.value)
    if "scope/login" in rules:
        logins = [entry for key, entry in sorted(rules.items()) if key.startswith("login/")]
        overrides["login"] = [
            TdsLogin(entry.cls, entry.application, entry.database, entry.deadline_ms, entry.cost_ms, entry.memory_mb)
            for entry in logins
        ]
    if "scope/tds" in rules:
        overrides["engine"] = [
            TdsEngine(entry.name, entry.dial, entry.cores, entry.memory_mb, entry.state)
            for key, entry in sorted(rules.items())
            if key.startswith("engine/tds/")
        ]
    return overrides
