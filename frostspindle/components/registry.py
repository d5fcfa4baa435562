"""Lists the optional parts, when each is configured, and the orders in which they are created, started and stopped.

Only a part's factory imports its modules and libraries, so that a program without the part does not load them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum, auto
from typing import TYPE_CHECKING

from msgspec import Struct

from frostspindle.components.base import Component
from frostspindle.config import Config

if TYPE_CHECKING:
    from frostspindle.host import ProgramContext


class Phase(Enum):
    """When components start and stop, relative to the parts that every program has."""

    BEFORE_ENDPOINTS = auto()  # before the endpoint list and the shared folder are read
    WITH_ENGINES = auto()  # started before the core runs, stopped after the connections to engines are closed
    WITH_CORE = auto()  # started once the core runs and before HTTP clients are accepted, stopped after these left


class Registration(Struct, frozen=True):  # a dataclass would add a millisecond to each start
    """One optional part: its name, whether a configuration enables it, and its factory."""

    name: str
    is_configured: Callable[[Config], bool]
    create: Callable[[ProgramContext], Component]


def _tds(program: ProgramContext) -> Component:
    from frostspindle.components.tds import TdsComponent  # a tenth of the import time of a start, so only if configured

    return TdsComponent(program)


def _tenants(program: ProgramContext) -> Component:
    from frostspindle.components.http_requests import TenantsComponent

    return TenantsComponent(program)


def _fleet(program: ProgramContext) -> Component:
    from frostspindle.components.fleet import FleetComponent

    return FleetComponent(program)


def _slow_start(program: ProgramContext) -> Component:
    from frostspindle.components.fleet import SlowStartComponent

    return SlowStartComponent(program)


def _operator_port(program: ProgramContext) -> Component:
    from frostspindle.components.operator_port import OperatorPortComponent

    return OperatorPortComponent(program)


def _metrics(program: ProgramContext) -> Component:
    from frostspindle.components.operator_port import MetricsComponent

    return MetricsComponent(program)


def _replica(program: ProgramContext) -> Component:
    from frostspindle.components.agreement import ReplicaComponent

    return ReplicaComponent(program)


def _ownership(program: ProgramContext) -> Component:
    from frostspindle.components.agreement import OwnershipComponent

    return OwnershipComponent(program)


def _recovery(program: ProgramContext) -> Component:
    from frostspindle.components.recovery import RecoveryComponent

    return RecoveryComponent(program)


def _scatter(program: ProgramContext) -> Component:
    from frostspindle.components.statements import ScatterComponent

    return ScatterComponent(program)


def _subscriptions(program: ProgramContext) -> Component:
    from frostspindle.components.statements import SubscriptionsComponent

    return SubscriptionsComponent(program)


def _settings(program: ProgramContext) -> Component:
    from frostspindle.components.agreement import SettingsComponent

    return SettingsComponent(program)


def _key_order(program: ProgramContext) -> Component:
    from frostspindle.components.http_requests import KeyOrderComponent

    return KeyOrderComponent(program)


def _request_ids(program: ProgramContext) -> Component:
    from frostspindle.components.http_requests import RequestIdsComponent

    return RequestIdsComponent(program)


def _snmp(program: ProgramContext) -> Component:
    from frostspindle.components.snmp import SnmpComponent

    return SnmpComponent(program)


def _has_slow_start(config: Config) -> bool:
    return config.operator.fleet is not None and config.operator.fleet.cold


def _has_metrics(config: Config) -> bool:
    return bool(config.operator_address) and config.operator.metrics


def _has_key_order(config: Config) -> bool:
    return any(request_class.in_order for request_class in config.settings.classes)


# In the order of creation: a part can use the parts before it through the program's attributes.
REGISTRATIONS = (
    Registration("tds", lambda config: config.operator.tds is not None, _tds),
    Registration("tenants", lambda config: config.tenants.has_tenants, _tenants),
    Registration("fleet", lambda config: config.operator.fleet is not None, _fleet),
    Registration("metrics", _has_metrics, _metrics),
    Registration("slow_start", _has_slow_start, _slow_start),
    Registration("operator_port", lambda config: bool(config.operator_address), _operator_port),
    Registration("replica", lambda config: config.operator.replica is not None, _replica),
    Registration("ownership", lambda config: config.operator.ownership is not None, _ownership),
    Registration("recovery", lambda config: config.operator.recovery is not None, _recovery),
    Registration("scatter", lambda config: config.scatter is not None, _scatter),
    Registration("subscriptions", lambda config: config.operator.subscriptions is not None, _subscriptions),
    Registration("settings", lambda config: config.operator.settings is not None, _settings),
    Registration("key_order", _has_key_order, _key_order),
    Registration("request_ids", lambda config: True, _request_ids),
    Registration("snmp", lambda config: config.operator.snmp is not None, _snmp),
)
START_ORDER = {
    Phase.BEFORE_ENDPOINTS: ("operator_port",),
    Phase.WITH_ENGINES: ("key_order", "request_ids"),
    Phase.WITH_CORE: (
        "recovery",
        "subscriptions",
        "fleet",
        "replica",
        "ownership",
        "settings",
        "tds",
        "snmp",
    ),
}
STOP_ORDER = {
    Phase.WITH_CORE: (
        "tds",
        "snmp",
        "operator_port",
        "slow_start",
        "settings",
        "replica",
        "recovery",
        "scatter",
        "subscriptions",
        "fleet",
        "key_order",  # before attempts are cut off, as other processes still wait for their positions
    ),
    Phase.WITH_ENGINES: ("request_ids",),  # once no attempt runs any more
}


class Components:
    """The configured optional parts of one program, by name in the order of creation."""

    def __init__(self) -> None:
        self._by_name: dict[str, Component] = {}

    def create(self, program: ProgramContext) -> None:
        """Create the configured parts. Raise ConfigError, OSError or ValueError for a bad file that a part reads."""
        for registration in REGISTRATIONS:
            if registration.is_configured(program.config):
                component = registration.create(program)
                self._by_name[registration.name] = component
                if program.operator_server is not None:  # it already has the calls of the parts before it
                    program.operator_server.handlers |= component.operator_calls()

    def __iter__(self) -> Iterator[Component]:
        return iter(self._by_name.values())

    async def start(self, phase: Phase) -> None:
        """Start the parts of a phase one after the other. Raise OSError from the first that fails."""
        for name in START_ORDER[phase]:
            if name in self._by_name:
                await self._by_name[name].start()

    async def stop(self, phase: Phase) -> None:
        """Stop the parts of a phase one after the other."""
        for name in STOP_ORDER[phase]:
            if name in self._by_name:
                await self._by_name[name].stop()

    def port(self, name: str) -> int | None:
        """Return the port that a part listens on; None if the part is not configured."""
        return self._by_name[name].port if name in self._by_name else None

    def client_connections(self, name: str) -> int:
        """Return the number of a part's client connections; 0 if the part is not configured."""
        return self._by_name[name].client_connections if name in self._by_name else 0
