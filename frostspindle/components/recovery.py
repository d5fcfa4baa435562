"""Recovery after a loss of power as a component."""

from __future__ import annotations

from frostspindle.components.base import BanListener, Component
from frostspindle.host import ProgramContext


class RecoveryComponent(Component):
    """What is kept over a loss of power, and the stages of a start after one."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.recovery.service import attach  # only where it is set up

        super().__init__(program)
        self.service = attach(program)
        program.recovery = self.service

    def wrap_ban_listener(self, listener: BanListener) -> BanListener:
        """Return the service's listener, which keeps the bans and tells the core by itself."""
        return self.service.set_bans

    async def start(self) -> None:
        """Begin with the first stage."""
        self.service.start()

    def on_engine_enabled(self, name: str) -> None:
        """Let the engine go that recovery holds back."""
        self.service.readmit(name)

    async def stop(self) -> None:
        """Write what is to be kept and close the store."""
        await self.service.close()
