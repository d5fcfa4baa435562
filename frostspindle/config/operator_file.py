"""The operator's TOML file, which FROSTSPINDLE_OPERATOR names: parts that are disabled unless configured.

Lists the sections; the schema of each is in the module of its name. deploy/tds.toml is an example.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from frostspindle.config.addresses import address
from frostspindle.config.agreed_settings import SettingsSection, check_settings
from frostspindle.config.cores import CoresSection
from frostspindle.config.document import Limits
from frostspindle.config.errors import ConfigError, one_line
from frostspindle.config.fleet import FleetSection, check_fleet
from frostspindle.config.operator_calls import SubscriptionsSection
from frostspindle.config.ownership import OwnershipSection, check_ownership
from frostspindle.config.recovery import RecoverySection, check_recovery
from frostspindle.config.replica import ReplicaSection, check_replica
from frostspindle.config.tds import TdsSection, check_tds
from frostspindle.config.tenants import Tenant, check_tenants


class SnmpSection(Struct, forbid_unknown_fields=True):
    """The SNMP agent."""

    listen: str
    community: Annotated[str, Meta(min_length=1)]


class OperatorFile(Struct, forbid_unknown_fields=True):
    """All sections of the file."""

    tds: TdsSection | None = None
    snmp: SnmpSection | None = None
    tenant: list[Tenant] = []
    default_tenant: str = "default"  # of requests that match no rule
    cores: CoresSection = msgspec.field(default_factory=CoresSection)
    fleet: FleetSection | None = None
    metrics: bool = False  # the operators' port serves `metrics` in the Prometheus text format
    recovery: RecoverySection | None = None
    scatter: dict[str, Any] | None = None  # parsed by catalogue.py, which is loaded only for it
    subscriptions: SubscriptionsSection | None = None
    replica: ReplicaSection | None = None
    ownership: OwnershipSection | None = None
    settings: SettingsSection | None = None

    def fleet_name(self, config_name: str) -> str:
        """Return this coordinator's name in the fleet, by default the configuration's."""
        return (self.fleet.name if self.fleet else "") or config_name


def read_operator(path: str, classes: tuple[str, ...], limits: Limits) -> OperatorFile:
    """Read the operator's file and check it against the settings. Raise ConfigError, which names the key."""
    if not path:
        return OperatorFile()
    try:
        operator = msgspec.toml.decode(Path(path).read_bytes(), type=OperatorFile)
    except OSError as error:
        raise ConfigError(f"FROSTSPINDLE_OPERATOR: {path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"FROSTSPINDLE_OPERATOR: {path}: {one_line(error)}") from None
    if operator.tds:
        check_tds(operator.tds, classes, limits)
    if operator.snmp:
        address(operator.snmp.listen, "snmp.listen")
    check_tenants(operator.tenant, operator.default_tenant)
    if operator.fleet:
        check_fleet(operator.fleet, operator.tenant)
    return operator


def check_sections(operator: OperatorFile, name: str, classes: tuple[str, ...]) -> None:
    """Check the sections that depend on others or on the name. Raise ConfigError, which names the key."""
    workers = operator.cores.workers
    if operator.recovery is not None:
        check_recovery(operator.recovery, operator.fleet_name(name), workers)
    if operator.replica is not None:
        check_replica(operator.replica, operator.fleet_name(name), workers)
    has_replica = operator.replica is not None
    if operator.ownership is not None:
        check_ownership(operator.ownership, classes, operator.fleet, has_replica)
    if operator.settings is not None:
        member_name = operator.replica.me if operator.replica else name
        check_settings(operator.settings, member_name, workers, has_replica)
