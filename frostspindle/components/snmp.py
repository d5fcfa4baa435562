"""Component for the SNMP agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

from frostspindle.components.base import Component

if TYPE_CHECKING:
    from frostspindle.net.snmp import Agent


class SnmpComponent(Component):
    """The SNMP agent; it and its library are loaded in `start`, not when the component is created."""

    agent: Agent | None = None

    @property
    def port(self) -> int | None:
        """Return the agent's UDP port."""
        return self.agent.port if self.agent else None

    async def start(self) -> None:
        """Listen. Raise OSError if the address can't be bound."""
        from frostspindle.net.snmp import Agent  # loads pysnmp, whose memory is used only if configured

        program = self.program
        snmp = program.config.operator.snmp
        assert snmp is not None
        self.agent = program.agent = Agent(snmp, program.core, program.telemetry, program.sessions)
        await self.agent.start(program.config.inherited is not None)

    def hand_over(self) -> None:
        """Release the port for a successor."""
        if self.agent:
            self.agent.close()

    async def stop(self) -> None:
        """Close the agent, even after a handover."""
        if self.agent:
            self.agent.close()
