"""The running program as its optional parts see it: what they may read of it and register themselves with.

Owns the one interface between `program.py`, which puts all parts together, and the components that an operator's file
turns on. It must never import what it describes from above: parts are told here what there is, and the program has it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from frostspindle.config import Config
from frostspindle.core import Core
from frostspindle.telemetry import Telemetry


class ProgramContext(Protocol):
    """The running coordinator as optional parts see it; `attach(program)` of each is called before the start."""

    config: Config
    core: Core
    telemetry: Telemetry
    driver: Any  # net.engines.HttpEngines
    platform: Any  # net.platform.HttpFront
    bus: Any  # net.discovery.EndpointWatcher
    shared: Any  # shared.Shared or the workers' link; set only after the parts are created
    tasks: list[asyncio.Task[Any]]  # cancelled and awaited at the end of the program
    sockets: int  # descriptors that this process may use
    agreed_open_limit: int | None  # on open requests, by the agreed settings; None: none is agreed

    # Set by the components; None while a part is not configured. What stands on another part is created after it.
    tds: Any  # net.tds.front.TdsFront
    tds_driver: Any  # net.tds.driver.TdsEngines
    fleet: Any  # fleet.service.FleetService: its `parts` are heard over the fleet's datagrams
    warming: Any  # fleet.slow_start_service.SlowStartCoordinator
    operator_server: Any  # net.operator.OperatorServer: `does` names the calls
    replica: Any  # replica.base.ReplicatedLog
    owners: Any  # ownership.wiring.OwnershipComponent
    recovery: Any  # recovery.service.RecoveryService
    scatter: Any  # scatter.service.ScatterService
    subscriptions: Any  # subscriptions.service.SubscriptionService
    settings: Any  # settings.wiring.SettingsComponent
    order: Any  # order.service.KeyOrderService, once started
    agent: Any  # net.snmp.Agent, once started

    def operator_calls(self) -> dict[str, Callable[..., Any]]:
        """Return the operators' calls of the program and of the components created so far."""

    def sessions(self) -> dict[str, int]:
        """Return the number of client connections by front."""

    def update_open_limit(self) -> None:
        """Apply `agreed_open_limit` after a change."""
