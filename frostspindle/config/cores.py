"""The section `[cores]` of the operator's file: the number of workers, checked against what each needs."""

from __future__ import annotations

import resource
from typing import Annotated

from msgspec import Meta, Struct

from frostspindle.config.document import Limits
from frostspindle.config.errors import ConfigError

MIN_WORKER_SOCKETS = 128  # minimum for each of several workers
MIN_WORKER_MEMORY_MB = 40.0  # minimum for each of several workers
MAX_WORKERS = 64


class CoresSection(Struct, forbid_unknown_fields=True):
    """The number of workers, and when one counts as hung or crash-looping."""

    workers: Annotated[int, Meta(ge=1, le=MAX_WORKERS)] = 1
    hang_ms: Annotated[float, Meta(ge=500)] = 3_000.0  # a worker without a heartbeat for this long is killed
    crashes: Annotated[int, Meta(ge=1)] = 10  # this many crashes within `within_ms` end the program
    within_ms: Annotated[float, Meta(gt=0)] = 60_000.0


def apply_worker_count(cores: CoresSection, override: str, limits: Limits) -> None:
    """Take the number of workers from FROSTSPINDLE_WORKERS if it is set, and check it against the limits.

    Raise ConfigError, which names the variable or the key that gave the number.
    """
    key = "cores.workers"
    if override:
        key = "FROSTSPINDLE_WORKERS"
        if not override.isascii() or not override.isdecimal() or not 1 <= int(override[:6]) <= MAX_WORKERS:
            raise ConfigError(f"{key}: not a number from 1 to {MAX_WORKERS}: {override!r}")
        cores.workers = int(override)
    if cores.workers == 1:
        return
    if cores.workers * MIN_WORKER_SOCKETS > limits.sockets:
        raise ConfigError(f"{key}: {cores.workers} workers need {MIN_WORKER_SOCKETS} of limits.sockets each")
    if cores.workers * MIN_WORKER_MEMORY_MB > limits.memory_mb:
        raise ConfigError(f"{key}: {cores.workers} workers need {MIN_WORKER_MEMORY_MB:g} MB of limits.memory_mb each")


def apply_descriptor_limit(limits: Limits, workers: int) -> None:
    """Lower limits.sockets to the number of descriptors that the system allows for all workers."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limit != resource.RLIM_INFINITY:
        limits.sockets = min(limits.sockets, limit * workers)


def check_single_worker(section: str, workers: int) -> None:
    """Raise ConfigError for a section that only works with one process."""
    if workers > 1:
        raise ConfigError(f"{section}: needs cores.workers = 1")
