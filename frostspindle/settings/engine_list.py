"""Sends the HTTP engines of a version to the core, as events of the endpoint list.

A long list is sent in slices by a task. If the version has no list of HTTP engines, that of the local files applies.
"""

from __future__ import annotations

import asyncio
from typing import Any

from frostspindle.config import BusEvent, Host, Topology
from frostspindle.settings.schema import Engine, Rules

SLICE_ENGINES = 100  # sent to the core in one iteration of the event loop
KEY_PREFIX = "engine/http/"


class EngineList:
    """The HTTP engines that were sent to the core from a version."""

    def __init__(self, program: Any) -> None:
        self._program = program
        self._core = program.core
        self._config = program.config
        self._is_from_version: bool = False
        self._engines: dict[str, Engine] = {}  # as sent to the core
        self.task: asyncio.Task[None] | None = None

    def apply(self, rules: Rules, changed_keys: set[str] | None) -> None:
        """Send the changed engines to the core; `changed_keys` are the keys that may differ (None: any)."""
        if "scope/http" not in rules and not self._is_from_version:
            return
        all_sent = self._has_sent_all()
        self.close()
        self.task = None
        if "scope/http" not in rules:
            self._restore_local_list()
            return
        if all_sent and self._is_from_version and changed_keys is not None and "scope/http" not in changed_keys:
            names = [key.removeprefix(KEY_PREFIX) for key in changed_keys if key.startswith(KEY_PREFIX)]
            engines = {name: rules[KEY_PREFIX + name] for name in names if KEY_PREFIX + name in rules}
        else:
            engines = {entry.name: entry for key, entry in rules.items() if key.startswith(KEY_PREFIX)}
            names = [*engines, *(self._engines.keys() - engines.keys())]
        changed = [name for name in names if self._engines.get(name) != engines.get(name)]
        if not self._is_from_version:  # engines of the local files that the version doesn't list are removed
            self._is_from_version = True
            known = {state.name for state in self._core.engines.values() if state.driver is self._program.driver}
            changed += known - engines.keys()
        if len(changed) <= SLICE_ENGINES:
            self._send_engines(changed, engines)
        else:
            self.task = asyncio.create_task(self._send_in_slices(changed, engines))

    def close(self) -> None:
        """Cancel sending a long list; engines already sent remain."""
        if self.task is not None:
            self.task.cancel()

    def _has_sent_all(self) -> bool:
        task = self.task
        return task is None or (task.done() and not task.cancelled() and task.exception() is None)

    def _restore_local_list(self) -> None:
        hosts = {host.host: host for event in self._config.known if event.topology for host in event.topology.hosts}
        self._is_from_version = False
        self._engines = {}
        self._send_topology(Topology(list(hosts.values()), whole=True))

    def _send_engines(self, names: list[str], engines: dict[str, Engine]) -> None:
        """Send the current entries of these engines; those without one are sent as left."""
        if not names:
            return
        for name in names:
            if name in engines:
                self._engines[name] = engines[name]
            else:
                self._engines.pop(name, None)
        self._send_topology(Topology([self._host(name, engines.get(name)) for name in names]))

    async def _send_in_slices(self, names: list[str], engines: dict[str, Engine]) -> None:
        for start in range(0, len(names), SLICE_ENGINES):
            self._send_engines(names[start : start + SLICE_ENGINES], engines)
            await asyncio.sleep(0)
            while self._core.has_pending_changes:
                await asyncio.sleep(0)

    def _host(self, name: str, engine: Engine | None) -> Host:
        if engine is None:
            return Host(name, health="left")
        default_zone = next(iter(self._config.zones), "")
        default_kind = next(iter(self._config.kinds), "")
        return Host(
            engine.name,
            engine.dial,
            engine.zone or default_zone,
            engine.kind or default_kind,
            engine.block,
            engine.state,
            engine.weight,
        )

    def _send_topology(self, topology: Topology) -> None:
        bus = self._program.bus
        bus.restore(BusEvent(bus.last + 1, topology))
