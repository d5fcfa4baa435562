"""`[[tenant]]` of the operator's file, with the tenants of the settings: their form, checks and quotas."""

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
    """What must hold of a request of the tenant; see ledger/tenant_rules.py."""

    front: str = ""
    header: str = ""
    login: str = ""
    application: str = ""
    database: str = ""
    schema: str = ""
    address: str = ""


class Tenant(Struct, forbid_unknown_fields=True):
    """A team that shares the engines, and its share of them."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    share_per_s: Annotated[float, Meta(ge=0)] = 0.0  # requests a second of all coordinators; 0: no bound
    rule: list[TenantRule] = []


def check_tenants(tenants: list[Tenant], default_tenant: str) -> None:
    """Raise ConfigError, which names the key, for a name that stands there twice or a rule that can't be used."""
    names = {default_tenant}
    for number, tenant in enumerate(tenants):
        if tenant.name in names:
            raise ConfigError(f"tenant[{number}].name: {tenant.name!r} stands there twice")
        names.add(tenant.name)
        for place, rule in enumerate(tenant.rule):
            _check_rule(tenant.name, rule, f"tenant[{number}].rule[{place}]")


def _check_rule(tenant: str, rule: TenantRule, key: str) -> None:
    if rule.front not in ("", "http", "tds"):
        raise ConfigError(f"{key}.front: not http or tds: {rule.front!r}")
    try:
        Rule(tenant, *msgspec.structs.astuple(rule)).check()
    except ValueError as error:
        raise ConfigError(f"{key}: {one_line(error)}") from None


def join_tenants(settings_names: tuple[str, ...], tenants: list[Tenant], default_tenant: str) -> Tenants:
    """Return the tenants of the settings and the operator's, who may add rules to one of the settings or a tenant of
    their own; ConfigError if the settings have a name twice.
    """
    if len(set(settings_names)) < len(settings_names):
        raise ConfigError("settings: parties: a name stands there twice")
    rules = [Rule(tenant.name, *msgspec.structs.astuple(rule)) for tenant in tenants for rule in tenant.rule]
    return Tenants(settings_names, rules, [tenant.name for tenant in tenants], default_tenant)


def with_quotas(settings: Settings, tenants: Tenants, operator_tenants: list[Tenant]) -> Settings:
    """Return the decision module's settings with the quotas of all tenants, in requests a second.

    The module's tenant 0 is the default, without a bound; the operator's word on a quota goes before the settings'.
    """
    if not tenants.has_tenants:
        return settings
    quotas = dict(zip(tenants.names, settings.tenant_quotas_per_s, strict=False))
    quotas.update({tenant.name: tenant.share_per_s for tenant in operator_tenants if tenant.share_per_s})
    quotas_by_number = (0.0, *(quotas.get(name, 0.0) for name in tenants.names))
    return dataclasses.replace(settings, tenant_quotas_per_s=quotas_by_number)
