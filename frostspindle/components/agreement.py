"""Components for the replicated log and the services based on it: task leases and agreed settings."""

from __future__ import annotations

import asyncio
from typing import Any

from frostspindle.components.base import BanListener, Component
from frostspindle.config import Config
from frostspindle.host import ProgramContext


class ReplicaComponent(Component):
    """This coordinator's member of the replicated log's group."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.replica.wiring import attach  # loads the Raft library

        super().__init__(program)
        self.service = attach(program)
        program.replica = self.service

    async def start(self) -> None:
        """Open the journal and listen. Raise OSError, which names replica.listen."""
        try:
            await self.service.start()
        except OSError as error:
            raise OSError(f"replica.listen: {error}") from None

    async def stop(self) -> None:
        """Leave the group and close the journal and the connections."""
        await self.service.close()


class OwnershipComponent(Component):
    """Leases of tasks, each owned by one coordinator of the fleet at a time."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.ownership.wiring import attach  # imported only if configured

        super().__init__(program)
        self.service = attach(program)
        program.owners = self.service
        self._release: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start competing for leases."""
        self.service.start()

    def on_stopping(self) -> None:
        """Release all leases in a task, so that others take over while clients are still served."""
        self._release = asyncio.create_task(self.service.close())
        self.program.tasks.append(self._release)


class SettingsComponent(Component):
    """Versions of settings that all coordinators agree on."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.settings.wiring import attach  # loads persistent maps, the log and the store

        super().__init__(program)
        self.service = attach(program)
        self._rules: Any = None  # from its local file, as read by the reload in progress
        program.settings = self.service

    def wrap_ban_listener(self, listener: BanListener) -> BanListener:
        """Return a listener that adds the engines banned by the agreed settings."""
        return self.service.applied.wrap_ban_listener(listener)

    async def start(self) -> None:
        """Start following the agreed versions."""
        self.service.start()

    def prepare_reload(self, config: Config) -> None:
        """Read the local file of settings, if there is one. Raise ConfigError if it is invalid."""
        self._rules = self.service.read_local_file()

    def on_reload(self, config: Config) -> None:
        """Apply the rules on top of the operator's file that was just read."""
        self.service.reload(config.operator.tds, self._rules)

    async def stop(self) -> None:
        """Stop following versions and close the store."""
        await self.service.close()
