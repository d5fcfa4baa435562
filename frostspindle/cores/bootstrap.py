"""What a worker process needs at its start, handed over by the supervisor in the environment."""

from __future__ import annotations

import time

import msgspec

BOOTSTRAP_VARIABLE = "FROSTSPINDLE_WORKER"
CLOCK_OFFSET_VARIABLE = "FROSTSPINDLE_CLOCK_OFFSET_MS"  # of the steady clock, the same in all processes


class WorkerBootstrap(msgspec.Struct):
    """The worker's identity and inherited descriptors, as JSON in the environment variable BOOTSTRAP_VARIABLE."""

    slot: int
    incarnation: int
    slots: int  # number of all
    nonce: int  # of the shared memory
    sockets: int  # quota of descriptors at the start
    board: int  # descriptor of the shared memory; `life`, `mesh`, `listener` and `tds` are descriptors too
    life: int  # a pipe that reaches its end when the supervisor dies
    mesh: int
    listener: int
    paths: dict[int, str]  # mesh address by slot
    tds: int | None = None
    order: str = ""  # the folder in which processes keep the order of their keys


def monotonic_ms() -> float:
    """Return CLOCK_MONOTONIC in ms, which all processes of one machine share."""
    return time.monotonic() * 1000.0
