"""The section `[settings]` of the operator's file: versioned settings that all coordinators agree on."""

from __future__ import annotations

import importlib.util
from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.config.addresses import check_absolute_path
from frostspindle.config.cores import check_single_worker
from frostspindle.config.errors import ConfigError

MAX_NAME_BYTES = 64


class SettingsSection(Struct, forbid_unknown_fields=True):
    """Versioned settings and lists that all coordinators agree on; see docs/settings.md. All but the paths and `alone`
    must be the same on all coordinators."""

    folder: str = ""  # where versions are stored; "": none is stored or acknowledged
    file: str = ""  # without [replica]: the next version, read at the start and on SIGHUP
    lease_ms: Annotated[float, Meta(ge=300, le=60_000)] = 2_000.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01
    trial_ms: Annotated[float, Meta(ge=1_000, le=600_000)] = 10_000.0  # how long a new version may be rolled back
    alone: str = "meet"  # behaviour after a lease without contact to the others; or "refuse"
    guard: bool = True  # roll back a version if a share of requests leaves its usual value by more than its band
    band_failed: Annotated[float, Meta(gt=0, le=1)] = 0.01
    band_refused: Annotated[float, Meta(gt=0, le=1)] = 0.05
    band_slow: Annotated[float, Meta(gt=0, le=1)] = 0.03


def check_settings(settings: SettingsSection, name: str, workers: int, has_replica: bool) -> None:
    """Raise ConfigError, which names the key at fault. `name` is replica.me or the configuration's name."""
    if importlib.util.find_spec("immutables") is None:
        raise ConfigError("settings: needs the extra: pip install 'frostspindle[settings]'")
    check_single_worker("settings", workers)
    for key, path in (("folder", settings.folder), ("file", settings.file)):
        if path:
            check_absolute_path(path, f"settings.{key}")
    if not 0 < len(name.encode()) <= MAX_NAME_BYTES:
        raise ConfigError("settings: needs a name of 1 to 64 bytes in LB_CONFIG or replica.me")
    if settings.alone not in ("meet", "refuse"):
        raise ConfigError(f"settings.alone: not meet or refuse: {settings.alone!r}")
    if settings.file and has_replica:
        raise ConfigError("settings.file: with [replica] versions are pushed: frostspindle settings push")
