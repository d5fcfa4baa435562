"""The replicated log and what stands on it, leases of duties and agreed settings, as components."""

from __future__ import annotations

import asyncio
from typing import Any

from frostspindle.components.base import BanListener, Component
from frostspindle.config import Config
from frostspindle.host import ProgramContext


class ReplicaComponent(Component):
    """This coordinator's member of the replicated log."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.replica.wiring import attach  # loads the Raft library

        super().__init__(program)
        self.service = attach(program)
        program.replica = self.service

    async def start(self) -> None:
        """Open the journal and listen; OSError names replica.listen."""
        try:
            await self.service.start()
        except OSError as error:
            raise OSError(f"replica.listen: {error}") from None

    async def stop(self) -> None:
        """Leave the log and close its journal and connections."""
        await self.service.close()


class OwnershipComponent(Component):
    """Leases of duties that one coordinator of the fleet has at a time."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.ownership.wiring import attach  # only where it is set up

        super().__init__(program)
        self.service = attach(program)
        program.owners = self.service
        self._release: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start asking for leases."""
        self.service.start()

    def on_stopping(self) -> None:
        """Release all leases, in a task of the program's, so that others take over while clients are still served."""
        self._release = asyncio.create_task(self.service.close())
        self.program.tasks.append(self._release)


class SettingsComponent(Component):
    """Versions of settings that all coordinators agree on."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.settings.wiring import attach  # persistent maps, the log, the store

        super().__init__(program)
        self.service = attach(program)
        self._rules: Any = None  # of its file, as the reload in progress read it
        program.settings = self.service

    def wrap_ban_listener(self, listener: BanListener) -> BanListener:
        """Return a listener that adds the engines which the agreed settings bar."""
        return self.service.applied.wrap_ban_listener(listener)

    async def start(self) -> None:
        """Start following the agreed versions."""
        self.service.start()

    def prepare_reload(self, config: Config) -> None:
        """Read the file of settings, if there is one; ConfigError if it can't be used."""
        self._rules = self.service.read_local_file()

    def on_reload(self, config: Config) -> None:
        """Apply the rules on top of the operator's file that was read anew."""
        self.service.reload(config.operator.tds, self._rules)

    async def stop(self) -> None:
        """Stop following versions and close the store."""
        await self.service.close()
