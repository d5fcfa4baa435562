"""What is added to HTTP requests where the configuration asks for it, tenants and the order of keys, as components."""

from __future__ import annotations

from typing import TYPE_CHECKING

from frostspindle.components.base import Component

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext


class TenantsComponent(Component):
    """The tenant of each HTTP request; the TDS front has its own rule."""

    def __init__(self, program: ProgramContext) -> None:
        super().__init__(program)
        program.platform.tenant = program.config.tenants.number


class KeyOrderComponent(Component):
    """The order of requests with the same key, over all processes that share a folder."""

    async def start(self) -> None:
        """Open the shared folder; a fault in it is logged and leaves the order to this process's own queue."""
        from frostspindle.order.service import KeyOrderService  # only where a class keeps order

        program = self.program
        folder = program.shared.order
        if folder is None:
            return
        try:
            program.order = KeyOrderService(folder, program.core, program.telemetry)
        except OSError as error:  # as with the bans: serving goes before what an upgrade needs
            program.telemetry.log("key_order_disabled", folder=str(folder), error=repr(error))

    async def stop(self) -> None:
        """Release this process's places in the order."""
        if self.program.order:
            self.program.order.close()
