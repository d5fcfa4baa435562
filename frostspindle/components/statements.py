"""Components that parse clients' statements: scattered tables and subscriptions."""

from __future__ import annotations

from frostspindle.components.base import Component
from frostspindle.host import ProgramContext


class ScatterComponent(Component):
    """Requests for tables whose rows are distributed over sites."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.scatter.wiring import attach  # loads the SQL parser

        super().__init__(program)
        self.service = attach(program)
        program.scatter = self.service

    def abandon_requests(self) -> None:
        """Answer the scattered requests whose results are still being gathered."""
        self.service.give_up()

    async def stop(self) -> None:
        """Release the leases on summaries."""
        self.service.close()


class SubscriptionsComponent(Component):
    """Events that operators' programs subscribe to; scatter and recovery report theirs to it."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.subscriptions.wiring import attach  # loads lark and others

        super().__init__(program)
        self.service = attach(program)
        program.subscriptions = self.service
        if program.scatter:
            program.scatter.loaded = self.service.loaded
        if program.recovery:
            program.recovery.on_stage = self.service.stage

    async def start(self) -> None:
        """Start publishing."""
        self.service.start()

    async def stop(self) -> None:
        """End all streams."""
        self.service.close()
