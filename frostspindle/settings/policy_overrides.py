"""Overrides the program's configured tenant quotas and request classes with those of a version. No I/O."""

from __future__ import annotations

import dataclasses
from typing import Any

from frostspindle.settings.schema import Class, Entry, Rules, Tenant

KINDS = ("tenant/", "class/")
MIN_QUOTA_PER_S = 1e-6  # the policy takes 0 as unlimited; this small a quota admits nothing


class PolicyOverrides:
    """The tenant and class entries in force in the core."""

    def __init__(self, program: Any) -> None:
        self._core = program.core
        self._config = program.config
        self._entries: dict[str, Entry] = {}

    def apply(self, rules: Rules, changed_keys: set[str] | None) -> None:
        """Apply the rules' entries to the core; `changed_keys` are the keys that may differ (None: any)."""
        entries = self._select(rules, changed_keys)
        if entries == self._entries:
            return
        self._entries = entries
        base = self._config.settings
        quotas = list(base.tenant_quotas_per_s)
        classes = list(base.classes)
        for key, entry in entries.items():
            if key.startswith("tenant/"):
                self._override_quota(quotas, entry)
            else:
                self._override_class(classes, entry)
        self._core.apply_settings(
            dataclasses.replace(
                self._core.settings,
                tenant_quotas_per_s=tuple(quotas),
                classes=tuple(classes) + base.classes[len(classes) :],
            )
        )

    def _select(self, rules: Rules, changed_keys: set[str] | None) -> dict[str, Entry]:
        """Return the tenant and class entries of the rules, without walking all rules if the changes are known."""
        if changed_keys is None:
            return {key: entry for key, entry in rules.items() if key.startswith(KINDS)}
        entries: dict[str, Entry] = {}
        for key in (*self._entries, *(key for key in changed_keys if key.startswith(KINDS))):
            entry = rules.get(key)
            if entry is not None:
                entries[key] = entry
        return entries

    def _override_quota(self, quotas: list[float], entry: Tenant) -> None:
        number = self._config.tenants.numbers.get(entry.name)
        if number is not None and number < len(quotas) and entry.share_per_s is not None:
            quotas[number] = max(entry.share_per_s, MIN_QUOTA_PER_S)

    def _override_class(self, classes: list[Any], entry: Class) -> None:
        """Override the HTTP class and the TDS class of that name."""
        overrides = {
            "latency_objective_ms": entry.aim_ms,
            "deadline_ms": entry.deadline_ms,
            "priority_weight": entry.worth,
        }
        specified = {name: value for name, value in overrides.items() if value is not None}
        http_numbers = {name: number for number, name in enumerate(self._config.classes)}
        for number in (http_numbers.get(entry.name), self._config.plan.classes.get(entry.name)):
            if number is not None:
                classes[number] = dataclasses.replace(classes[number], **specified)
