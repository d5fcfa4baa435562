"""Engines that are kept out of service here: bans by hand, and engines withheld for want of agreement."""

from __future__ import annotations

from frostspindle.core import Core, clock
from frostspindle.recovery.node import RecoveryNode
from frostspindle.telemetry import Telemetry

MAX_LOGGED = 16


class ExcludedEngines:
    """Tells the core which engines are banned; belongs to the event loop's thread."""

    def __init__(self, core: Core, node: RecoveryNode, telemetry: Telemetry) -> None:
        self.operator_bans: frozenset[str] = frozenset()  # as the shared files have them
        self.withheld: frozenset[str] = frozenset()
        self.withheld_by_lists: frozenset[str] = frozenset()  # of these, those that nobody bans
        self._core: Core = core
        self._node: RecoveryNode = node
        self._telemetry: Telemetry = telemetry

    def set_bans(self, names: frozenset[str]) -> None:
        """Set the bans by hand, as the shared files have them; changes are recorded and the core told."""
        for name in names ^ self.operator_bans:
            self._node.record_ban(clock(), name, name in names)
        self.operator_bans = names
        self._update_core()

    def record_missing_bans(self) -> None:
        """Record the bans that the shared files have and a new store does not."""
        recorded = self._node.bans.banned_by(self._node.settings.name)
        for name in self.operator_bans - recorded:
            self._node.record_ban(clock(), name, True)

    def readmit(self, name: str) -> None:
        """Admit a withheld engine again, on staff's order; without effect for others."""
        if name in self.withheld:
            self.withheld -= {name}
            self._node.record_ban(clock(), name, False)
            self._update_core()

    def withhold(self, names: frozenset[str], by_lists: frozenset[str]) -> None:
        """Set the engines that are withheld; `by_lists`: those of them that come back once the bus has spoken."""
        if names != self.withheld:
            self._telemetry.log("recovery_engines_withheld", names=sorted(names)[:MAX_LOGGED])
        self.withheld = names
        self.withheld_by_lists = by_lists
        self._update_core()

    def release_listed(self) -> None:
        """Admit what was withheld by others' lists: the bus has the last word again."""
        self.withhold(self.withheld - self.withheld_by_lists, frozenset())

    def _update_core(self) -> None:
        self._core.ban(self.operator_bans | self.withheld)
