"""The section `[recovery]` of the operator's file: the state that survives a power loss."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.config.addresses import check_absolute_path
from frostspindle.config.cores import check_single_worker
from frostspindle.config.errors import ConfigError

MAX_NAME_BYTES = 64


class RecoverySection(Struct, forbid_unknown_fields=True):
    """The durable state and the timeout of each recovery stage in ms; see docs/recovery.md."""

    folder: str = ""  # of the store; "": nothing is stored, and each start counts as one with a lost store
    witness: str = ""  # a file to detect a store restored from a backup, best on another disk
    first_start: bool = False  # the operator confirms that the folder is empty because this is the first start
    store_ms: Annotated[float, Meta(ge=100, le=60_000)] = 5_000.0
    address_ms: Annotated[float, Meta(ge=100, le=60_000)] = 10_000.0
    find_ms: Annotated[float, Meta(ge=100, le=60_000)] = 1_000.0
    agree_ms: Annotated[float, Meta(ge=100, le=60_000)] = 500.0
    rights_ms: Annotated[float, Meta(ge=0, le=600_000)] = 100.0
    service_ms: Annotated[float, Meta(ge=1_000, le=600_000)] = 60_000.0
    ticket_ms: Annotated[float, Meta(ge=1_000, le=86_400_000)] = 600_000.0  # how long a load may be retried by its id
    claim_ms: Annotated[float, Meta(ge=50, le=10_000)] = 1_000.0  # timeout of a query for a load's ticket


def check_recovery(recovery: RecoverySection, name: str, workers: int) -> None:
    """Raise ConfigError, which names the key. `name` is this coordinator's in the fleet, or the configuration's."""
    check_single_worker("recovery", workers)
    if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise ConfigError("recovery: needs a name of 1 to 64 bytes in LB_CONFIG or fleet.name")
    for key, path in (("folder", recovery.folder), ("witness", recovery.witness)):
        if path:
            check_absolute_path(path, f"recovery.{key}")
