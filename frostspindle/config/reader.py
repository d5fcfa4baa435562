"""Reads the configuration from environment, JSON file and operator's file into the effective values.

Handles the LB_* variables and the order of the checks; the first fault raises a ConfigError that names its key. It
opens no socket, and does not keep the raw document.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from typing import Any

from msgspec import Struct

from frostspindle.config.addresses import Address, address, inherited_socket
from frostspindle.config.cores import apply_descriptor_limit, apply_worker_count
from frostspindle.config.document import (
    BusEvent,
    Document,
    Limits,
    entry_names,
    name_list,
    read_document,
    read_policy_settings,
    read_seed,
)
from frostspindle.config.errors import ConfigError
from frostspindle.config.fleet import with_fleet
from frostspindle.config.operator_calls import check_metrics, check_subscriptions
from frostspindle.config.operator_file import OperatorFile, check_sections, read_operator
from frostspindle.config.tds import TdsPlan, with_tds
from frostspindle.config.tenants import join_tenants, with_quotas
from frostspindle.ledger.tenants import Tenants
from frostspindle.policy import Settings

DEFAULT_IDLE_MS = 15_000.0  # idle timeout of the engines, if the settings have none


class Config(Struct, frozen=True):  # a dataclass would add a millisecond to each start
    """The effective values, read once from the environment, the JSON file and the operator's file."""

    environ: Mapping[str, str]  # the environment that they were read from, also used for reloads
    name: str
    listen: Address
    seed: int
    limits: Limits
    bus: Address | None
    known_offset: int
    known: tuple[BusEvent, ...]
    settings: Settings
    classes: tuple[str, ...]
    kinds: tuple[str, ...]
    zones: tuple[str, ...]
    idle_ms: float
    operator: OperatorFile
    plan: TdsPlan
    tenants: Tenants
    operator_address: Address | str | None = None  # the operators' port; a str is the path of a Unix socket
    inherited: int | None = None  # descriptor of a listening socket passed by the platform
    listener: int | None = None  # descriptor of the HTTP socket that the supervisor listens on for all workers
    tds_listener: int | None = None
    worker: int | None = None  # index of this process among several workers
    scatter: Any = None  # the catalogue of distributed tables


def read(environ: Mapping[str, str] = os.environ) -> Config:
    """Read the complete configuration, at the start and on SIGHUP. Raise ConfigError, which names the key."""
    document = read_document(environ.get("LB_CONFIG", ""))
    name = environ.get("LB_NAME") or document.name
    listen = environ.get("LB_LISTEN") or document.listen
    if not listen:
        raise ConfigError("LB_LISTEN: not set, and no listen in LB_CONFIG")
    seed = read_seed(document.seed)
    settings = read_policy_settings(document)
    classes = entry_names(document.settings, "categories")
    operator = _read_operator_file(environ, document, classes)
    check_sections(operator, name, classes)
    if operator.fleet is not None:
        settings = with_fleet(settings, operator.fleet, name, operator.cores.workers)
    operator_address = environ.get("LB_OPERATOR") or document.operator
    _check_operator_port(operator, bool(operator_address))
    tenants = join_tenants(entry_names(document.settings, "parties"), operator.tenant, operator.default_tenant)
    settings = with_quotas(settings, tenants, operator.tenant)
    settings, plan, scatter = _add_request_classes(settings, document, classes, operator)
    return Config(
        environ=environ,
        name=name,
        listen=address(listen, "LB_LISTEN"),
        seed=seed,
        limits=document.limits,
        bus=address(document.bus, "bus") if document.bus else None,
        known_offset=document.known.offset,
        known=tuple(document.known.batch),
        settings=settings,
        classes=classes,
        kinds=name_list(document.settings, "kinds"),
        zones=name_list(document.settings, "failureDomains"),
        idle_ms=settings.connection_idle_ms or DEFAULT_IDLE_MS,
        operator=operator,
        plan=plan,
        tenants=tenants,
        scatter=scatter,
        operator_address=_operator_address(operator_address),
        inherited=inherited_socket(environ.get("LB_INHERITED_FD", "")),
    )


def _read_operator_file(environ: Mapping[str, str], document: Document, classes: tuple[str, ...]) -> OperatorFile:
    """Read the operator's file; lower the limit on descriptors to that of the system for all workers."""
    operator = read_operator(environ.get("FROSTSPINDLE_OPERATOR", ""), classes, document.limits)
    apply_worker_count(operator.cores, environ.get("FROSTSPINDLE_WORKERS", ""), document.limits)
    apply_descriptor_limit(document.limits, operator.cores.workers)
    return operator


def _check_operator_port(operator: OperatorFile, has_operator_port: bool) -> None:
    if operator.metrics:
        check_metrics(has_operator_port)
    if operator.subscriptions:
        check_subscriptions(operator.cores.workers, has_operator_port)


def _add_request_classes(
    settings: Settings, document: Document, classes: tuple[str, ...], operator: OperatorFile
) -> tuple[Settings, TdsPlan, Any]:
    """Return the settings with the classes of TDS and of subrequests, the TDS plan, and the catalogue of tables."""
    plan = TdsPlan({}, {})
    if operator.tds:
        settings, plan = with_tds(settings, classes, operator.tds)
    if operator.scatter is None:
        return settings, plan, None
    from frostspindle.config.scatter import add_scatter  # loaded only if configured

    zones = name_list(document.settings, "failureDomains")
    settings, catalogue = add_scatter(settings, classes, zones, operator.scatter, operator.fleet is not None)
    return settings, plan, catalogue


def _operator_address(text: str) -> Address | str | None:
    """Parse the operators' address, the path of a Unix socket or IP:PORT; None if it is not set."""
    if not text:
        return None
    return text if text.startswith("/") else address(text, "LB_OPERATOR")
