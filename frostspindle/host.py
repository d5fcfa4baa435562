"""The interface of the running program for its optional parts: what they may read and where they register.

It stands between `program.py`, which assembles all parts, and the components that an operator's file turns on. The
module imports none of the layers above it, hence the attributes of type Any with their types in comments.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from frostspindle.config import Config
from frostspindle.core import Core
from frostspindle.telemetry import Telemetry


class ProgramContext(Protocol):
    """The running coordinator as seen by its optional parts; `attach(program)` of each is called before the start."""

    config: Config
    core: Core
    telemetry: Telemetry
    driver: Any  # net.engines.HttpEngines
    platform: Any  # net.platform.HttpFront
    bus: Any  # net.discovery.EndpointWatcher
    shared: Any  # shared.Shared or program.WorkerLink; set only after the parts are created
    tasks: list[asyncio.Task[Any]]  # cancelled and awaited when the program stops
    sockets: int  # file descriptors that this process may use
    agreed_open_limit: int | None  # on open requests, from the agreed settings; None if they set none

    # Set by the components; None for a part that is not configured. A part is created after those it depends on.
    tds: Any  # net.tds.front.TdsFront
    tds_driver: Any  # net.tds.driver.TdsEngines
    fleet: Any  # fleet.service.FleetService
    warming: Any  # fleet.slow_start_service.SlowStartCoordinator
    operator_server: Any  # net.operator.OperatorServer
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
