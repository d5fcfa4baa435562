"""The effective values of a configuration without secrets, as `frostspindle check` prints them."""

from __future__ import annotations

from typing import Any

from frostspindle.config import Config


def effective_values(config: Config) -> dict[str, Any]:
    """Return the values that the program would use, by setting."""
    values = _coordinator_values(config)
    values |= _worker_values(config)
    values["tenants"] = _tenants(config)
    values |= _tds_values(config)
    snmp = config.operator.snmp
    values["snmp.listen"] = snmp.listen if snmp else "off"
    return values


def _coordinator_values(config: Config) -> dict[str, Any]:
    listen = _address_text(config.listen) if config.inherited is None else f"descriptor {config.inherited}"
    known_hosts = {host.host for event in config.known if event.topology for host in event.topology.hosts}
    classes = [
        f"{name} (in order)" if config.settings.classes[number].in_order else name
        for number, name in enumerate(config.classes)
    ]
    return {
        "name": config.name,
        "listen": listen,
        "operator": _address_text(config.operator_address),
        "bus": _address_text(config.bus),
        "limits.memory_mb": config.limits.memory_mb,
        "limits.sockets": config.limits.sockets,
        "known.offset": config.known_offset,
        "known.engines": len(known_hosts),
        "classes": ", ".join(classes),
    }


def _address_text(address: Any) -> str:
    if address is None:
        return "off"
    return address if isinstance(address, str) else f"{address[0]}:{address[1]}"


def _worker_values(config: Config) -> dict[str, Any]:
    cores = config.operator.cores
    if cores.workers == 1:
        return {"cores.workers": cores.workers}
    sockets = config.limits.sockets // cores.workers
    memory_mb = config.limits.memory_mb / cores.workers
    return {
        "cores.workers": cores.workers,
        "cores.hang_ms": cores.hang_ms,
        "cores.crashes": cores.crashes,
        "cores.within_ms": cores.within_ms,
        "each worker": f"{sockets} descriptors, {memory_mb:g} MB",
    }


def _tenants(config: Config) -> str:
    quotas = config.settings.tenant_quotas_per_s[1:]  # without the default tenant, which is the first
    named_quotas = zip(config.tenants.names, quotas, strict=True)
    return ", ".join(f"{name} ({quota:g}/s)" if quota else name for name, quota in named_quotas) or "off"


def _tds_values(config: Config) -> dict[str, Any]:
    tds = config.operator.tds
    if tds is None:
        return {"tds.listen": "off"}
    return {
        "tds.listen": tds.listen,
        "tds.max_sessions": tds.max_sessions,
        "tds.login": len(tds.login),
        "tds.engine": ", ".join(engine.name for engine in tds.engine),
    }
