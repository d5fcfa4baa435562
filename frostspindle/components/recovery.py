"""Component for recovery after a power loss."""

from __future__ import annotations

from frostspindle.components.base import BanListener, Component
from frostspindle.host import ProgramContext


class RecoveryComponent(Component):
    """Stores state that must survive a power loss, and runs the stages of a start after one."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.recovery.service import attach  # imported only if configured

        super().__init__(program)
        self.service = attach(program)
        program.recovery = self.service

    def wrap_ban_listener(self, listener: BanListener) -> BanListener:
        """Return the service's listener, which stores the bans and passes them to the core itself."""
        return self.service.set_bans

    async def start(self) -> None:
        """Start the first stage."""
        self.service.start()

    def on_engine_enabled(self, name: str) -> None:
        """Readmit an engine that recovery withholds."""
        self.service.readmit(name)

    async def stop(self) -> None:
        """Write the pending state and close the store."""
        await self.service.close()
