"""The section `[tds]` of the operator's file, and the classes and kinds that it adds to the settings."""

from __future__ import annotations

import dataclasses
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from frostspindle.config.addresses import address
from frostspindle.config.document import HEALTH_CODES, Limits
from frostspindle.config.errors import ConfigError
from frostspindle.policy import Settings

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(gt=0)]
SOCKETS_PER_SESSION = 6  # of limits.sockets
# A message is in memory up to three times: in the receive buffer, complete, and in the send buffer.
MESSAGE_COPIES = 3
MAX_MEMORY_SHARE = 0.5  # of limits.memory_mb
BYTES_PER_MB = 2**20


class TdsEngine(Struct, forbid_unknown_fields=True):
    """An engine that speaks TDS."""

    name: Annotated[str, Meta(min_length=1)]
    dial: str
    cores: Positive = 8.0
    memory_mb: Positive = 16384.0
    state: str = "active"


class TdsLogin(Struct, forbid_unknown_fields=True):
    """The class and limits of matching TDS logins. Application and database match exactly; an empty one matches any."""

    cls: Annotated[str, Meta(min_length=1)] = msgspec.field(name="class")
    application: str = ""
    database: str = ""
    deadline_ms: Positive = 10_000.0
    cost_ms: Annotated[float, Meta(ge=0)] = 0.0
    memory_mb: Annotated[float, Meta(ge=0)] = 0.0


class TdsSection(Struct, forbid_unknown_fields=True):
    """The TDS front and its engines."""

    listen: str
    login: Annotated[list[TdsLogin], Meta(min_length=1)]
    engine: list[TdsEngine] = []
    max_sessions: Count = 64
    max_batch_bytes: Count = 128 * 1024
    max_result_bytes: Count = 256 * 1024
    login_ms: Positive = 2_400.0
    idle_ms: Positive = 600_000.0
    engine_user: str = "frostspindle"
    engine_password: str = ""


class TdsPlan(Struct, frozen=True):
    """The numbers of the TDS classes and kinds in the policy module, after those of the platform's settings."""

    classes: dict[str, int]
    kinds: dict[tuple[float, float], int]


def check_tds(tds: TdsSection, classes: tuple[str, ...], limits: Limits) -> None:
    """Raise ConfigError, which names the key, if the section conflicts with the platform's classes and limits."""
    address(tds.listen, "tds.listen")
    _check_limits(tds, limits)
    _check_engines(tds.engine)
    for number, login in enumerate(tds.login):
        if login.cls not in classes:
            raise ConfigError(f"tds.login[{number}].class: the settings have no class {login.cls!r}")


def _check_limits(tds: TdsSection, limits: Limits) -> None:
    if tds.max_sessions > limits.sockets // SOCKETS_PER_SESSION:
        raise ConfigError(f"tds.max_sessions: more than a sixth of {limits.sockets} sockets")
    buffered_bytes = MESSAGE_COPIES * tds.max_sessions * (tds.max_batch_bytes + tds.max_result_bytes)
    if buffered_bytes > limits.memory_mb * BYTES_PER_MB * MAX_MEMORY_SHARE:
        raise ConfigError(
            "tds.max_result_bytes: with max_sessions and max_batch_bytes it may take more than "
            f"half of {limits.memory_mb:g} MB"
        )


def _check_engines(engines: list[TdsEngine]) -> None:
    names = set()
    for number, engine in enumerate(engines):
        address(engine.dial, f"tds.engine[{number}].dial")
        if engine.state not in HEALTH_CODES:
            raise ConfigError(f"tds.engine[{number}].state: not one of {', '.join(HEALTH_CODES)}")
        if engine.name in names:
            raise ConfigError(f"tds.engine[{number}].name: {engine.name!r} is defined twice")
        names.add(engine.name)


def with_tds(settings: Settings, names: tuple[str, ...], tds: TdsSection) -> tuple[Settings, TdsPlan]:
    """Return the policy module's settings with the TDS classes and kinds added.

    A request is sent only to engines that speak its client's protocol. The policy's placement rule ensures that, as
    the classes of each front are restricted to the kinds of that front's engines.
    """
    first = len(settings.kind_cores)
    kinds: dict[tuple[float, float], int] = {}
    for engine in tds.engine:
        kinds.setdefault((engine.cores, engine.memory_mb), first + len(kinds))
    plan = TdsPlan({}, kinds)
    http_kinds = frozenset(range(first))
    tds_kinds = frozenset(kinds.values())
    classes = [
        dataclasses.replace(request_class, only_kinds=request_class.only_kinds or http_kinds)
        for request_class in settings.classes
    ]
    for login in tds.login:
        if login.cls in plan.classes:
            continue
        plan.classes[login.cls] = len(classes)
        request_class = settings.classes[names.index(login.cls)]
        classes.append(dataclasses.replace(request_class, only_kinds=tds_kinds, only_zones=None))
    memory = (settings.kind_memory_mb + (0.0,) * first)[:first]
    settings = dataclasses.replace(
        settings,
        classes=tuple(classes),
        kind_cores=settings.kind_cores + tuple(cores for cores, _ in kinds),
        kind_memory_mb=memory + tuple(memory_mb for _, memory_mb in kinds),
    )
    return settings, plan
