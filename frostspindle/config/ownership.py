"""The section `[ownership]` of the operator's file: tasks that one coordinator of the fleet owns at a time."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from frostspindle.config.addresses import address
from frostspindle.config.errors import ConfigError
from frostspindle.config.fleet import FleetSection

WARM_UP_TASK = "warm"


class OwnedTask(Struct, forbid_unknown_fields=True):
    """An export of the fleet's figures to a fenced sink, by one owner at a time."""

    name: Annotated[str, Meta(pattern=r"^[!-~]{1,64}$")]
    at: str  # the sink's IP:PORT
    every_ms: Annotated[float, Meta(ge=10, le=86_400_000)] = 60_000.0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0  # a greater weight makes ownership more likely


class OwnedWarming(Struct, forbid_unknown_fields=True):
    """Statements with which the owner of the task `warm` warms up cold HTTP engines; needs fleet.cold."""

    statement: Annotated[list[Annotated[str, Meta(min_length=1, max_length=4096)]], Meta(min_length=1, max_length=64)]
    cls: str = msgspec.field(name="class")
    cost_ms: Annotated[float, Meta(gt=0, le=60_000)] = 100.0  # of one statement, as charged to the engine's budget
    most_ms: Annotated[float, Meta(ge=50, le=60_000)] = 2_000.0
    every_ms: Annotated[float, Meta(ge=20, le=60_000)] = 250.0
    weight: Annotated[float, Meta(gt=0, le=1e6)] = 1.0


class OwnershipSection(Struct, forbid_unknown_fields=True):
    """Leases on the replicated log for work on behalf of the fleet; see docs/ownership.md. All but the tasks must be
    the same on all coordinators."""

    lease_ms: Annotated[int, Meta(ge=300, le=600_000)] = 3_000
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01  # maximum deviation of any clock's rate from real time
    task: Annotated[list[OwnedTask], Meta(max_length=64)] = []
    warm: OwnedWarming | None = None


def check_ownership(
    ownership: OwnershipSection, classes: tuple[str, ...], fleet: FleetSection | None, has_replica: bool
) -> None:
    """Raise ConfigError, which names the key, for a missing other section, a bad address or a duplicate name."""
    if not has_replica:
        raise ConfigError("ownership: needs [replica]")
    names = [task.name for task in ownership.task]
    if ownership.warm is not None:
        _check_warm_up(ownership.warm, classes, fleet, names)
    for number, task in enumerate(ownership.task):
        if task.name in names[:number]:
            raise ConfigError(f"ownership.task[{number}].name: {task.name!r} is defined twice")
        address(task.at, f"ownership.task[{number}].at")


def _check_warm_up(
    warm_up: OwnedWarming, classes: tuple[str, ...], fleet: FleetSection | None, task_names: list[str]
) -> None:
    if fleet is None or not fleet.cold:
        raise ConfigError("ownership.warm: needs fleet.cold")
    if warm_up.cls not in classes:
        raise ConfigError(f"ownership.warm.class: the settings have no class {warm_up.cls!r}")
    if WARM_UP_TASK in task_names:
        number = task_names.index(WARM_UP_TASK)
        raise ConfigError(f"ownership.task[{number}].name: '{WARM_UP_TASK}' is reserved for ownership.warm")
