"""Components for the membership in a fleet and for slow start budgets that the fleet shares."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from frostspindle import config as configuration
from frostspindle.components.base import Component
from frostspindle.fleet.node import Budget, FleetSettings
from frostspindle.fleet.service import FleetService
from frostspindle.host import ProgramContext


class FleetComponent(Component):
    """Membership, budgets and verdicts on engines, exchanged with other coordinators over UDP."""

    def __init__(self, program: ProgramContext) -> None:
        super().__init__(program)
        self.service = create_fleet_service(program)
        program.fleet = self.service

    def operator_calls(self) -> dict[str, Callable[..., Any]]:
        """Return the call that shows this coordinator's view of the fleet."""
        return {"show-fleet": self.service.figures}

    async def start(self) -> None:
        """Open the socket and start to gossip. Raise OSError if the address can't be bound."""
        await self.service.start()

    async def stop(self) -> None:
        """Leave the fleet and close the socket."""
        self.service.close()


class SlowStartComponent(Component):
    """Budgets for cold engines, shared by all coordinators of the fleet."""

    def __init__(self, program: ProgramContext) -> None:
        from frostspindle.fleet import slow_start_service

        super().__init__(program)
        self.service = slow_start_service.attach(program)
        program.warming = self.service

    def operator_calls(self) -> dict[str, Callable[..., Any]]:
        """Return the call that shows the cold engines and their budgets."""
        return {"show-cold": self.service.figures}

    async def stop(self) -> None:
        """Cancel the service's timer."""
        self.service.close()


def create_fleet_service(program: ProgramContext) -> FleetService:
    """Create the service from the operator's file. Raise ConfigError for a malformed address."""
    config = program.config
    fleet = config.operator.fleet
    assert fleet is not None
    settings = FleetSettings(
        {seed.name: configuration.address(seed.address, "fleet.seed") for seed in fleet.seed},
        tuple(Budget(budget.name, budget.units, budget.window_ms) for budget in fleet.budget),
        fleet.lease_ms,
        fleet.drift,
        fleet.probe_ms,
        fleet.timeout_ms,
        fleet.judges,
        fleet.verdict_ms,
    )
    service = FleetService(
        fleet.name or config.name,
        configuration.address(fleet.listen, "fleet.listen"),
        configuration.address(fleet.advertise, "fleet.advertise") if fleet.advertise else None,
        settings,
        {config.tenants.numbers[budget.tenant]: budget.name for budget in fleet.budget if budget.tenant},
        program.core,
        program.telemetry,
    )
    if service.tenants:
        program.core.quota_allows = service.within_budget
    return service
