"""The sections `[[tenant]]` of the operator's file, merged with the tenants of the settings."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from frostspindle.config.errors import ConfigError, one_line
from frostspindle.ledger.tenant_rules import Rule
from frostspindle.ledger.tenants import Tenants
from frostspindle.policy import Settings


class TenantRule(Struct, forbid_unknown_fields=True, frozen=True):
    """Conditions for a request to belong to the tenant; see ledger/tenant_rules.py."""

    front: str = ""
    header: str = ""
    login: str = ""
    application: str = ""
    database: str = ""
    schema: str = ""
    address: str = ""


class Tenant(Struct, forbid_unknown_fields=True):
    """A team that shares the engines, and its quota."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    share_per_s: Annotated[float, Meta(ge=0)] = 0.0  # requests per second on all coordinators together; 0: unlimited
    rule: list[TenantRule] = []


def check_tenants(tenants: list[Tenant], default_tenant: str) -> None:
    """Raise ConfigError, which names the key, for a duplicate name or an invalid rule."""
    names = {default_tenant}
    for number, tenant in enumerate(tenants):
        if tenant.name in names:
            raise ConfigError(f"tenant[{number}].name: {tenant.name!r} is defined twice")
        names.add(tenant.name)
        for index, rule in enumerate(tenant.rule):
            _check_rule(tenant.name, rule, f"tenant[{number}].rule[{index}]")


def _check_rule(tenant: str, rule: TenantRule, key: str) -> None:
    if rule.front not in ("", "http", "tds"):
        raise ConfigError(f"{key}.front: not http or tds: {rule.front!r}")
    try:
        Rule(tenant, *msgspec.structs.astuple(rule)).check()
    except ValueError as error:
        raise ConfigError(f"{key}: {one_line(error)}") from None


def join_tenants(settings_names: tuple[str, ...], tenants: list[Tenant], default_tenant: str) -> Tenants:
    """Return the tenants of the settings and of the operator's file, which may add rules to one of the settings or
    add new tenants. Raise ConfigError if the settings have a duplicate name.
    """
    if len(set(settings_names)) < len(settings_names):
        raise ConfigError("settings: parties: a name is defined twice")
    rules = [Rule(tenant.name, *msgspec.structs.astuple(rule)) for tenant in tenants for rule in tenant.rule]
    return Tenants(settings_names, rules, [tenant.name for tenant in tenants], default_tenant)


def with_quotas(settings: Settings, tenants: Tenants, operator_tenants: list[Tenant]) -> Settings:
    """Return the policy module's settings with the quotas of all tenants, in requests per second.

    Tenant 0 of the policy is the default one, without a limit. A quota of the operator's file overrides the settings'.
    """
    if not tenants.has_tenants:
        return settings
    quotas = dict(zip(tenants.names, settings.tenant_quotas_per_s, strict=False))
    quotas.update({tenant.name: tenant.share_per_s for tenant in operator_tenants if tenant.share_per_s})
    quotas_by_number = (0.0, *(quotas.get(name, 0.0) for name in tenants.names))
    return dataclasses.replace(settings, tenant_quotas_per_s=quotas_by_number)
