"""What is added to HTTP requests where the configuration asks for it, tenants and the order of keys, as components."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from frostspindle.components.base import Component
from frostspindle.shared import RETRY_INTERVAL_S

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext


class TenantsComponent(Component):
    """The tenant of each HTTP request; the TDS front has its own rule."""

    def __init__(self, program: ProgramContext) -> None:
        super().__init__(program)
        program.platform.tenant = program.config.tenants.number


class KeyOrderComponent(Component):
    """The order of requests with the same key, over all processes that share a folder."""

    def __init__(self, program: ProgramContext) -> None:
        super().__init__(program)
        self._retry_timer: asyncio.TimerHandle | None = None
        self._has_failed = False

    async def start(self) -> None:
        """Open the shared folder; until that can be done the order is this process's own."""
        self._open()

    def _open(self) -> None:
        """Join the order of all processes, with the requests that are open here; try again later if that fails."""
        from frostspindle.order.service import KeyOrderService  # only where a class keeps order

        program = self.program
        folder = program.shared.order
        if folder is None and getattr(program.shared, "configured_folder", None) is None:
            return
        try:
            if folder is not None:
                program.order = KeyOrderService(folder, program.core, program.telemetry)
        except OSError as error:  # as with the bans: serving goes before what an upgrade needs
            if not self._has_failed:
                program.telemetry.log("key_order_disabled", folder=str(folder), error=repr(error))
            self._has_failed = True
        if program.order is None:
            self._retry_timer = asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._open)
            return
        program.order.enter_open_requests()
        if self._has_failed:
            program.telemetry.log("key_order_restored", folder=str(folder))

    async def stop(self) -> None:
        """Release this process's places in the order."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        if self.program.order:
            self.program.order.close()
