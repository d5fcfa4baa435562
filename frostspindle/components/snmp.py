"""The SNMP agent as a component."""

from __future__ import annotations

from typing import TYPE_CHECKING

from frostspindle.components.base import Component

if TYPE_CHECKING:
    from frostspindle.net.snmp import Agent


class SnmpComponent(Component):
    """The agent; it and its library are loaded at the start of the program, not when this is created."""

    agent: Agent | None = None

    @property
    def port(self) -> int | None:
        """Return the agent's UDP port."""
        return self.agent.port if self.agent else None

    async def start(self) -> None:
        """Listen; OSError if the address can't be had."""
        from frostspindle.net.snmp import Agent  # pysnmp costs memory that only its users pay

        program = self.program
        snmp = program.config.operator.snmp
        assert snmp is not None
        self.agent = program.agent = Agent(snmp, program.core, program.telemetry, program.sessions)
        await self.agent.start(program.config.inherited is not None)

    def hand_over(self) -> None:
        """Release the port: a successor takes it."""
        if self.agent:
            self.agent.close()

    async def stop(self) -> None:
        """Close the agent, also after a hand-over."""
        if self.agent:
            self.agent.close()
