"""Parameters that the supervisor passes to a new worker process in its environment."""

from __future__ import annotations

import time

import msgspec

BOOTSTRAP_VARIABLE = "FROSTSPINDLE_WORKER"
CLOCK_OFFSET_VARIABLE = "FROSTSPINDLE_CLOCK_OFFSET_MS"  # offset of the steady clock, equal in all processes


class WorkerBootstrap(msgspec.Struct):
    """The worker's identity and inherited descriptors, encoded as JSON in the variable BOOTSTRAP_VARIABLE."""

    slot: int
    incarnation: int
    slots: int  # number of slots
    nonce: int  # identifies the shared memory of this instance
    sockets: int  # initial quota of descriptors
    board: int  # descriptor of the shared memory; `life`, `mesh`, `listener` and `tds` are also descriptors
    life: int  # read end of a pipe; EOF on it means that the supervisor has exited
    mesh: int
    listener: int
    paths: dict[int, str]  # mesh address by slot
    tds: int | None = None
    order: str = ""  # folder of the order of keys and the ids of requests, which the workers share


def monotonic_ms() -> float:
    """Return CLOCK_MONOTONIC in ms; it is the same clock in all processes of a machine."""
    return time.monotonic() * 1000.0
