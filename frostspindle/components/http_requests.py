"""Components for HTTP requests: their tenants, their ids, and the order of requests with the same key."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from frostspindle.components.base import Component
from frostspindle.shared import RETRY_INTERVAL_S

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext


class TenantsComponent(Component):
    """Determines the tenant of each HTTP request; the TDS component does so for its requests."""

    def __init__(self, program: ProgramContext) -> None:
        super().__init__(program)
        program.platform.tenant = program.config.tenants.number


class RequestIdsComponent(Component):
    """Recognises ids of requests that are open in other processes or may have run."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.order.request_ids import RequestIds

        super().__init__(program)
        self._request_ids = RequestIds(time.monotonic)
        self._retry_timer: asyncio.TimerHandle | None = None
        self._has_failed = False
        program.platform.id_claims.shared = self._request_ids

    async def start(self) -> None:
        """Share the ids in the folder of this coordinator's processes; until that succeeds, those here count alone."""
        self._attach()

    def _attach(self) -> None:
        shared = self.program.shared
        folder = shared.order
        if folder is None and getattr(shared, "configured_folder", None) is None:
            return
        try:
            if folder is not None:
                self._request_ids.attach(folder)
        except OSError as error:  # serving matters more than the state for an upgrade
            if not self._has_failed:
                self.program.telemetry.log("request_ids_unshared", folder=str(folder), error=repr(error))
            self._has_failed = True
            folder = None
        if folder is None:
            self._retry_timer = asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._attach)
        elif self._has_failed:
            self.program.telemetry.log("request_ids_shared", folder=str(folder))

    async def stop(self) -> None:
        """Release the file of this process; it stays while ids in it must not run again."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._request_ids.close()


class KeyOrderComponent(Component):
    """Keeps the order of requests with the same key across all processes that share a folder."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.order.arrivals import ArrivalOrder

        super().__init__(program)
        self._retry_timer: asyncio.TimerHandle | None = None
        self._has_failed = False
        self._arrivals = ArrivalOrder(program.core, program.telemetry, program.platform.input_backlog)
        program.core.arrival_order = self._arrivals

    async def start(self) -> None:
        """Open the shared folder; until that succeeds the order holds only within this process."""
        self._open()

    def _open(self) -> None:
        """Join the shared order and enter the requests that are open here; retry later if that fails."""
        from frostspindle.order.service import KeyOrderService  # imported only if a class is in order

        program = self.program
        folder = program.shared.order
        if folder is None and getattr(program.shared, "configured_folder", None) is None:
            return
        try:
            if folder is not None:
                program.order = KeyOrderService(folder, program.core, program.telemetry)
        except OSError as error:  # as with bans, serving matters more than the state for an upgrade
            if not self._has_failed:
                program.telemetry.log("key_order_disabled", folder=str(folder), error=repr(error))
            self._has_failed = True
        if program.order is None:
            self._retry_timer = asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._open)
            return
        program.order.enter_open_requests()
        if program.config.inherited is not None or program.config.listener is not None:
            program.order.share_input(self._arrivals)
        if self._has_failed:
            program.telemetry.log("key_order_restored", folder=str(folder))

    async def stop(self) -> None:
        """Release this process's positions in the order."""
        if self._retry_timer is not None:
            self._retry_timer.cancel()
        self._arrivals.close()
        if self.program.order:
            self.program.order.close()
