"""The section `[fleet]` of the operator's file: this coordinator's membership in a fleet."""

from __future__ import annotations

import dataclasses
from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.config.addresses import address
from frostspindle.config.cores import check_single_worker
from frostspindle.config.errors import ConfigError
from frostspindle.config.tenants import Tenant
from frostspindle.policy import Settings


class FleetSeed(Struct, forbid_unknown_fields=True):
    """A coordinator that others contact to join the fleet; the seeds also hold the rights of the budgets."""

    name: Annotated[str, Meta(min_length=1, max_length=64)]
    address: str


class FleetBudget(Struct, forbid_unknown_fields=True):
    """A limit of `units` in any window of `window_ms`, for all coordinators together."""

    name: Annotated[str, Meta(min_length=1, max_length=16)]
    units: Annotated[int, Meta(ge=1, le=10_000_000)]
    window_ms: Annotated[float, Meta(ge=100, le=600_000)] = 1_000.0
    tenant: str = ""  # each request of this tenant uses one unit; requests over the budget are served last


class FleetSection(Struct, forbid_unknown_fields=True):
    """This coordinator's membership; seeds, budgets, lease and drift must be the same on all coordinators."""

    listen: str
    seed: Annotated[list[FleetSeed], Meta(min_length=1, max_length=256)]
    advertise: str = ""  # where others reach it, if not at `listen`
    name: str = ""  # in the fleet; by default the configuration's name
    budget: Annotated[list[FleetBudget], Meta(max_length=32)] = []
    lease_ms: Annotated[float, Meta(ge=1_000, le=600_000)] = 5_000.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.055
    probe_ms: Annotated[float, Meta(ge=100, le=60_000)] = 1_000.0
    timeout_ms: Annotated[float, Meta(ge=20, le=10_000)] = 300.0
    judges: Annotated[int, Meta(ge=2)] = 3  # a single coordinator must not decide for others
    verdict_ms: Annotated[float, Meta(ge=1_000, le=600_000)] = 10_000.0
    cold: bool = False  # a cold engine has one budget for the fleet, not one per coordinator
    cold_lease_ms: Annotated[float, Meta(ge=300, le=60_000)] = 1_500.0
    cold_outside: Annotated[int, Meta(ge=0)] = 0  # coordinators that use a fixed share of a cold engine instead


def check_fleet(fleet: FleetSection, tenants: list[Tenant]) -> None:
    """Raise ConfigError, which names the key, for bad addresses, duplicate names and bad budgets."""
    _check_addresses(fleet)
    _check_unique("seed", [seed.name for seed in fleet.seed])
    _check_unique("budget", [budget.name for budget in fleet.budget])
    _check_budgets(fleet.budget, tenants)


def _check_addresses(fleet: FleetSection) -> None:
    addresses = {"listen": fleet.listen, "advertise": fleet.advertise or fleet.listen}
    addresses |= {f"seed[{number}].address": seed.address for number, seed in enumerate(fleet.seed)}
    for key, text in addresses.items():
        host, _ = address(text, f"fleet.{key}")
        if ":" in host:
            raise ConfigError(f"fleet.{key}: not an IPv4 address: {text!r}")


def _check_unique(key: str, names: list[str]) -> None:
    for number, name in enumerate(names):
        if name in names[:number]:
            raise ConfigError(f"fleet.{key}[{number}].name: {name!r} is defined twice")


def _check_budgets(budgets: list[FleetBudget], tenants: list[Tenant]) -> None:
    quotas = {tenant.name: tenant.share_per_s for tenant in tenants}
    tenants_with_budget: set[str] = set()
    for number, budget in enumerate(budgets):
        if not budget.tenant:
            continue
        key = f"fleet.budget[{number}].tenant"
        if budget.tenant not in quotas:
            raise ConfigError(f"{key}: no [[tenant]] is named {budget.tenant!r}")
        if budget.tenant in tenants_with_budget:
            raise ConfigError(f"{key}: {budget.tenant!r} already has a budget")
        if quotas[budget.tenant]:
            raise ConfigError(f"{key}: {budget.tenant!r} also has share_per_s; only one of the two may be set")
        tenants_with_budget.add(budget.tenant)


def with_fleet(settings: Settings, fleet: FleetSection, name: str, workers: int) -> Settings:
    """Return the policy module's settings adapted to the fleet. Raise ConfigError if they don't fit together.

    `name` is the configuration's name, which the fleet uses unless it has its own.
    """
    check_single_worker("fleet", workers)
    if fleet.cold:
        if fleet.cold_outside > settings.coordinators - 2:
            raise ConfigError(
                f"fleet.cold: {settings.coordinators} balancers, {fleet.cold_outside} of them "
                "outside, leave fewer than two that share"
            )
        # The policy then treats each coordinator as one of several workers, which lease shares of a cold engine.
        settings = dataclasses.replace(settings, workers=settings.coordinators)
    if not (fleet.name or name):
        raise ConfigError("fleet.name: not set, and no name in LB_CONFIG")
    return settings
