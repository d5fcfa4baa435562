"""Tenants' quotas and request classes of a version, laid over the settings that the program started with. No I/O."""

from __future__ import annotations

import dataclasses
from typing import Any

from frostspindle.settings.schema import Class, Rules

KINDS = ("tenant/", "class/")
MIN_QUOTA_PER_S = 1e-6  # 0 is no limit to the policy: with so little nothing is within the quota


class PolicyOverrides:
    """The entries of tenants and classes as the core has them."""

    def __init__(self, program: Any) -> None:
        self._core = program.core
        self._config = program.config
        self._entries: dict[str, Any] = {}

    def apply(self, rules: Rules, changed_keys: set[str] | None) -> None:
        """Have the core use the rules' entries; `changed_keys`: the keys that may differ, None for any."""
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

    def _select(self, rules: Rules, changed_keys: set[str] | None) -> dict[str, Any]:
        """The entries of the rules; of known changes, the rules are not walked."""
        if changed_keys is None:
            return {key: entry for key, entry in rules.items() if key.startswith(KINDS)}
        entries: dict[str, Any] = {}
        for key in (*self._entries, *(key for key in changed_keys if key.startswith(KINDS))):
            entry = rules.get(key)
            if entry is not None:
                entries[key] = entry
        return entries

    def _override_quota(self, quotas: list[float], entry: Any) -> None:
        number = self._config.tenants.numbers.get(entry.name)
        if number is not None and number < len(quotas) and entry.share_per_s is not None:
            quotas[number] = max(entry.share_per_s, MIN_QUOTA_PER_S)

    def _override_class(self, classes: list[Any], entry: Class) -> None:
        """Override a class of HTTP and the one of TDS of the same name."""
        overrides = {
            "latency_objective_ms": entry.aim_ms,
            "deadline_ms": entry.deadline_ms,
            "priority_weight": entry.worth,
        }
        given = {name: value for name, value in overrides.items() if value is not None}
        http_numbers = {name: number for number, name in enumerate(self._config.classes)}
        for number in (http_numbers.get(entry.name), self._config.plan.classes.get(entry.name)):
            if number is not None:
                classes[number] = dataclasses.replace(classes[number], **given)
