"""Engines excluded from service at this coordinator: operators' bans, and engines withheld for lack of agreement."""

from __future__ import annotations

from frostspindle.core import Core, clock
from frostspindle.recovery.node import RecoveryNode
from frostspindle.telemetry import Telemetry

MAX_LOGGED = 16


class ExcludedEngines:
    """Keeps the core's set of banned engines up to date; used on the event loop's thread only."""

    def __init__(self, core: Core, node: RecoveryNode, telemetry: Telemetry) -> None:
        self.operator_bans: frozenset[str] = frozenset()  # from the shared folder
        self.withheld: frozenset[str] = frozenset()
        self.withheld_by_lists: frozenset[str] = frozenset()  # those of `withheld` that no coordinator bans
        self._core: Core = core
        self._node: RecoveryNode = node
        self._telemetry: Telemetry = telemetry

    def set_bans(self, names: frozenset[str]) -> None:
        """Set the operators' bans from the shared folder; record the changes and update the core."""
        for name in names ^ self.operator_bans:
            self._node.record_ban(clock(), name, name in names)
        self.operator_bans = names
        self._update_core()

    def record_missing_bans(self) -> None:
        """Record the bans that the shared folder has and the store lacks."""
        recorded = self._node.bans.banned_by(self._node.settings.name)
        for name in self.operator_bans - recorded:
            self._node.record_ban(clock(), name, True)

    def readmit(self, name: str) -> None:
        """Admit a withheld engine again, on an operator's request; other engines are not changed."""
        if name in self.withheld:
            self.withheld -= {name}
            self._node.record_ban(clock(), name, False)
            self._update_core()

    def withhold(self, names: frozenset[str], by_lists: frozenset[str]) -> None:
        """Set the withheld engines; `by_lists`: those that are released once the bus has caught up."""
        if names != self.withheld:
            self._telemetry.log("recovery_engines_withheld", names=sorted(names)[:MAX_LOGGED])
        self.withheld = names
        self.withheld_by_lists = by_lists
        self._update_core()

    def release_listed(self) -> None:
        """Release the engines withheld because of other coordinators' lists, as the bus is authoritative again."""
        self.withhold(self.withheld - self.withheld_by_lists, frozenset())

    def _update_core(self) -> None:
        self._core.ban(self.operator_bans | self.withheld)
