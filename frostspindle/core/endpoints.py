"""The core's engine table: the engines that drivers listed, with bans, drains and restarts applied."""

from __future__ import annotations

import math
from collections.abc import Iterable

from frostspindle import policy
from frostspindle.core.drivers import EngineState
from frostspindle.core.interfaces import CoreHooks
from frostspindle.core.messages import BansChanged, EndpointsListed, EngineDraining, EngineExpired, EnginesRestarted
from frostspindle.core.steady_clock import clock
from frostspindle.policy import EndpointListKind, Health
from frostspindle.telemetry import Telemetry
from frostspindle.timers import TimerWheel

GONE_ENGINE_RETENTION_MS = 30_000.0  # for how long the entry of a removed engine (Health.GONE) is kept
MAX_ENGINE_NAMES = 4096  # remembered names of listed engines


class EndpointRegistry:
    """Stores engines by number, and by name the bans, drains and restarts that operators and workers reported.

    Bans and drains may be set from any task of the event loop's thread and take effect in `accepts_attempts` at once.
    Methods that start with `apply_` are for the core's task; each returns the event for the decision module.
    """

    def __init__(self, hooks: CoreHooks, telemetry: Telemetry, timers: TimerWheel) -> None:
        self.engines: dict[int, EngineState] = {}
        self.names: dict[str, None] = {}  # of all engines listed so far, oldest first
        self.banned: frozenset[str] = frozenset()
        # Engines that are draining in another worker's newer list, with the version of that list.
        self._draining_since_version: dict[str, int] = {}
        self._banned_at_ms: dict[str, float] = {}
        # Start times by name, in Unix ms, of engines whose restart the endpoint list does not show.
        self._restarted_at_ms: dict[str, float] = {}
        self._list_version = 0
        self._hooks = hooks
        self._telemetry = telemetry
        self._timers = timers

    # Called from any task.

    def accepts_attempts(self, engine: EngineState) -> bool:
        """Return whether an engine is ready and neither banned nor draining."""
        return (
            engine.entry.health == Health.READY
            and engine.name not in self.banned
            and engine.name not in self._draining_since_version
        )

    def set_bans(self, names: frozenset[str]) -> frozenset[str]:
        """Replace the set of banned engines and return the names whose ban changed.

        An engine whose ban ends counts as restarted now, unless the list shows a start during the ban.
        """
        changed = self.banned ^ names
        self.banned = names
        now = clock()
        # Listed starts are whole ms, so one within the ms of the ban counts as during the ban.
        self._banned_at_ms.update(dict.fromkeys(changed & names, float(math.floor(now))))
        ended_bans = {name: self._banned_at_ms.pop(name, now) for name in changed - names}
        listed_as_restarted = {
            engine.name
            for engine in self.engines.values()
            if engine.listed_entry is not None and engine.listed_entry.since_ms >= ended_bans.get(engine.name, now)
        }
        self._restarted_at_ms.update(dict.fromkeys(ended_bans.keys() - listed_as_restarted, now))
        return changed

    def set_draining(self, name: str, version: int) -> bool:
        """Record that an engine is draining in another worker's list `version`; return False if already known."""
        if version <= self._draining_since_version.get(name, 0):
            return False
        self._draining_since_version[name] = version
        return True

    def set_restarted(self, started_at_ms: dict[str, float]) -> None:
        """Record start times of engines, by name, in Unix ms."""
        self._restarted_at_ms.update(started_at_ms)

    # Called from the core's task.

    def apply_listing(self, now: float, listing: EndpointsListed) -> policy.EndpointListUpdated:
        """Update the engines from a driver's list.

        The returned event is always a delta, because a complete list is complete for its driver only.
        """
        changed = list(listing.engines)
        if listing.kind != EndpointListKind.DELTA:
            changed += self._missing_engines(listing)
        entries = []
        for engine in changed:
            if listing.driver.has_shared_versions:
                engine.version = listing.version
                self._end_drain_if_listed(engine)
            entries.append(self._apply_listed_engine(now, engine))
        self.remember_names([engine.name for engine in changed])
        self._list_version = listing.version
        return policy.EndpointListUpdated(EndpointListKind.DELTA, listing.version, tuple(entries))

    def apply_bans(self, message: BansChanged) -> policy.EndpointListUpdated | None:
        """Report started and ended bans to the drivers, the log and the observer."""
        entries = self._refresh(message.names)
        for name in sorted(message.names):
            is_banned = name in self.banned
            self._telemetry.log("engine_ban_changed", name=name, on=is_banned)
            if self._hooks.observer is not None:
                self._hooks.observer.on_engine_changed(name, "ban" if is_banned else "unban")
        return self._list_change(entries)

    def apply_draining(self, message: EngineDraining) -> policy.EndpointListUpdated | None:
        """Report an engine that is draining in another worker's list to the drivers, the log and the observer."""
        entries = self._refresh(frozenset((message.name,)))
        self._telemetry.log("engine_marked_draining", name=message.name)
        if self._hooks.observer is not None:
            self._hooks.observer.on_engine_changed(message.name, "stop")
        return self._list_change(entries)

    def apply_restarts(self, message: EnginesRestarted) -> policy.EndpointListUpdated | None:
        """Report the start times of engines that lost power to their drivers."""
        return self._list_change(self._refresh(message.names))

    def is_gone(self, number: int) -> bool:
        """Return whether an engine has an entry and has been removed from its list."""
        engine = self.engines.get(number)
        return engine is not None and engine.entry.health == Health.GONE

    def schedule_expiry(self, now: float, number: int) -> None:
        """Start the timer after which the entry of a removed engine may be deleted."""
        self._timers.start(now + GONE_ENGINE_RETENTION_MS, EngineExpired(number))

    def remove(self, number: int) -> None:
        """Delete the entry of a removed engine, as the table would grow without limit with each new engine number."""
        engine = self.engines.pop(number)
        self._draining_since_version.pop(engine.name, None)
        if self._hooks.on_engine_changed is not None:
            self._hooks.on_engine_changed(number, ())

    def remember_names(self, names: Iterable[str]) -> None:
        """Add names and keep the latest MAX_ENGINE_NAMES; names of listed or banned engines are never dropped.

        Call it once per list, not per engine, as it iterates over all engines.
        """
        for name in names:
            self.names.pop(name, None)
            self.names[name] = None
        excess = len(self.names) - MAX_ENGINE_NAMES
        if excess <= 0:
            return
        in_use = {engine.name for engine in self.engines.values()} | self.banned
        removable = [name for name in self.names if name not in in_use]
        for name in removable[:excess]:
            del self.names[name]
            self._restarted_at_ms.pop(name, None)

    def _missing_engines(self, listing: EndpointsListed) -> list[EngineState]:
        """Return the driver's engines that are missing in its complete list, with Health.GONE."""
        listed = {engine.entry.engine for engine in listing.engines}
        return [
            EngineState(engine.entry._replace(health=Health.GONE), engine.name, engine.address, engine.driver)
            for number, engine in self.engines.items()
            if engine.driver is listing.driver and number not in listed
        ]

    def _end_drain_if_listed(self, engine: EngineState) -> None:
        """Discard another worker's drain report once our own list is at least as new."""
        if self._draining_since_version.get(engine.name, math.inf) <= engine.version:
            del self._draining_since_version[engine.name]

    def _apply_listed_engine(self, now: float, listed: EngineState) -> policy.EngineEntry:
        """Store a listed engine, notify hooks, driver, log and observer, and return the decision module's entry."""
        engine = self._with_overrides(listed)
        number = engine.entry.engine
        self.engines[number] = engine
        if self._hooks.on_engine_changed is not None:
            self._hooks.on_engine_changed(number, ())
        engine.driver.update_engine(engine)
        if engine.entry.health == Health.GONE:
            self.schedule_expiry(now, number)
        self._telemetry.log("engine_updated", name=engine.name, health=engine.entry.health, since=engine.entry.since_ms)
        if self._hooks.observer is not None:
            self._hooks.observer.on_engine_changed(engine.name, "list", int(engine.entry.health))
        return engine.entry

    def _with_overrides(self, engine: EngineState) -> EngineState:
        """Return an engine as the decision module gets it: draining if banned or drained, with its last restart."""
        listed = engine.listed_entry or engine.entry
        is_excluded = engine.name in self.banned or engine.name in self._draining_since_version
        health = Health.DRAINING if listed.health == Health.READY and is_excluded else listed.health
        since_ms = max(listed.since_ms, self._restarted_at_ms.get(engine.name, 0.0))
        return EngineState(
            entry=listed._replace(health=health, since_ms=since_ms),
            name=engine.name,
            address=engine.address,
            driver=engine.driver,
            listed_entry=listed,
            started_unix_ms=engine.started_unix_ms,
            version=engine.version,
        )

    def _refresh(self, names: frozenset[str]) -> list[policy.EngineEntry]:
        """Reapply bans, drains and restarts to the named engines, notify their drivers and return their entries."""
        entries = []
        for number, engine in self.engines.items():
            if engine.name in names and engine.entry.health != Health.GONE:
                refreshed = self._with_overrides(engine)
                self.engines[number] = refreshed
                refreshed.driver.update_engine(refreshed)
                entries.append(refreshed.entry)
        return entries

    def _list_change(self, entries: list[policy.EngineEntry]) -> policy.EndpointListUpdated | None:
        """Return the event for changed entries, or None if there are none."""
        if not entries:
            return None
        return policy.EndpointListUpdated(EndpointListKind.DELTA, self._list_version, tuple(entries))
