"""Components for the operators' port and for the metrics call on it."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from frostspindle.components.base import Component
from frostspindle.net.operator import UNREAD_SHARE, OperatorServer

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext


class OperatorPortComponent(Component):
    """The server for operators' calls, both the program's and those of its parts."""

    def __init__(self, program: ProgramContext) -> None:
        super().__init__(program)
        assert program.config.operator_address is not None
        self.server = OperatorServer(program.config.operator_address, program.operator_calls(), program.telemetry)
        self.server.max_unread_total = int(program.config.limits.memory_mb * 2**20 * UNREAD_SHARE)
        program.operator_server = self.server

    async def start(self) -> None:
        """Listen. Raise OSError, which names LB_OPERATOR."""
        try:
            await self.server.start()
        except OSError as error:
            raise OSError(f"LB_OPERATOR: {error}") from None

    async def stop(self) -> None:
        """Close the port and all its connections."""
        self.server.close()


class MetricsComponent(Component):
    """The call `metrics`, which returns the counters in the Prometheus text format."""

    def operator_calls(self) -> dict[str, Callable[..., Any]]:
        """Return the call `metrics`; loads the Prometheus library."""
        from frostspindle.net import metrics  # loads prometheus_client, whose memory is used only if configured

        return {"metrics": lambda: metrics.text(self.program.core.figures())}
