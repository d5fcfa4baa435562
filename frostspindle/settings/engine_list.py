"""The HTTP engines of a version, told to the core as events of its endpoint list.

Owns the task that tells a long list in slices. Where no version holds the list, the list is that of the program's own
files.
"""

from __future__ import annotations

import asyncio
from typing import Any

from frostspindle.config import BusEvent, Host, Topology
from frostspindle.settings.schema import Engine, Rules

SLICE_ENGINES = 100  # told to the core in one iteration of the event loop
KEY_PREFIX = "engine/http/"


class EngineList:
    """The engines of HTTP as the core knows them by a version."""

    def __init__(self, program: Any) -> None:
        self._program = program
        self._core = program.core
        self._config = program.config
        self._is_from_version: bool = False
        self._engines: dict[str, Engine] = {}  # as told to the core
        self.task: asyncio.Task[None] | None = None

    def apply(self, rules: Rules, changed_keys: set[str] | None) -> None:
        """Tell the core what has changed; `changed_keys`: the keys that may differ, None for any."""
        if "scope/http" not in rules and not self._is_from_version:
            return
        all_told = self._has_told_all()
        self.close()
        self.task = None
        if "scope/http" not in rules:
            self._restore_own_list()
            return
        if all_told and self._is_from_version and changed_keys is not None and "scope/http" not in changed_keys:
            names = [key.removeprefix(KEY_PREFIX) for key in changed_keys if key.startswith(KEY_PREFIX)]
            engines = {name: rules[KEY_PREFIX + name] for name in names if KEY_PREFIX + name in rules}
        else:
            engines = {entry.name: entry for key, entry in rules.items() if key.startswith(KEY_PREFIX)}
            names = [*engines, *(self._engines.keys() - engines.keys())]
        changed = [name for name in names if self._engines.get(name) != engines.get(name)]
        if not self._is_from_version:  # what the own files have is not on the version's list
            self._is_from_version = True
            known = {state.name for state in self._core.engines.values() if state.driver is self._program.driver}
            changed += known - engines.keys()
        if len(changed) <= SLICE_ENGINES:
            self._tell(changed, engines)
        else:
            self.task = asyncio.create_task(self._tell_in_slices(changed, engines))

    def close(self) -> None:
        """Cancel the task that tells a long list; what it has told stays."""
        if self.task is not None:
            self.task.cancel()

    def _has_told_all(self) -> bool:
        task = self.task
        return task is None or (task.done() and not task.cancelled() and task.exception() is None)

    def _restore_own_list(self) -> None:
        hosts = {host.host: host for event in self._config.known if event.topology for host in event.topology.hosts}
        self._is_from_version = False
        self._engines = {}
        self._send(Topology(list(hosts.values()), whole=True))

    def _tell(self, names: list[str], engines: dict[str, Engine]) -> None:
        """Tell the core these engines as they are, or that they have left."""
        if not names:
            return
        for name in names:
            if name in engines:
                self._engines[name] = engines[name]
            else:
                self._engines.pop(name, None)
        self._send(Topology([self._host(name, engines.get(name)) for name in names]))

    async def _tell_in_slices(self, names: list[str], engines: dict[str, Engine]) -> None:
        for start in range(0, len(names), SLICE_ENGINES):
            self._tell(names[start : start + SLICE_ENGINES], engines)
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

    def _send(self, topology: Topology) -> None:
        bus = self._program.bus
        bus.restore(BusEvent(bus.last + 1, topology))
