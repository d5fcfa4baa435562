"""The configuration: environment, JSON file and operator's file, read once into the effective values."""

from frostspindle.config.addresses import Address, address
from frostspindle.config.agreed_settings import SettingsSection
from frostspindle.config.cores import CoresSection
from frostspindle.config.document import HEALTH_CODES, POLICY_COLUMN_NAMES, BusEvent, Host, Limits, Topology
from frostspindle.config.errors import ConfigError
from frostspindle.config.fleet import FleetSection
from frostspindle.config.operator_calls import SubscriptionsSection
from frostspindle.config.operator_file import OperatorFile, SnmpSection, read_operator
from frostspindle.config.ownership import OwnershipSection
from frostspindle.config.reader import Config, read
from frostspindle.config.recovery import RecoverySection
from frostspindle.config.replica import ReplicaSection
from frostspindle.config.tds import TdsEngine, TdsLogin, TdsPlan, TdsSection
from frostspindle.config.tenants import Tenant, TenantRule

__all__ = [
    "POLICY_COLUMN_NAMES",
    "HEALTH_CODES",
    "Address",
    "BusEvent",
    "Config",
    "ConfigError",
    "CoresSection",
    "FleetSection",
    "Host",
    "Limits",
    "OperatorFile",
    "OwnershipSection",
    "RecoverySection",
    "ReplicaSection",
    "SettingsSection",
    "SnmpSection",
    "SubscriptionsSection",
    "TdsEngine",
    "TdsLogin",
    "TdsPlan",
    "TdsSection",
    "Tenant",
    "TenantRule",
    "Topology",
    "address",
    "read",
    "read_operator",
]
