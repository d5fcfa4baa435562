"""What a recovery node is given: its settings, the opened store, and its previous process's heartbeat."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from frostspindle.recovery.stages import StageTimeouts
from frostspindle.recovery.state_kinds import CooldownSettings
from frostspindle.recovery.wire import StoreState


@dataclass(slots=True, frozen=True)
class RecoverySettings:
    """What a coordinator is given at its start."""

    name: str
    seeds: tuple[str, ...] = ()  # of the fleet; none: it is alone
    timeouts: StageTimeouts = StageTimeouts()
    cooldowns: CooldownSettings = CooldownSettings(0.0, 600_000.0)
    claim_ms: float = 1_000.0
    first_start: bool = False  # the operator's assurance that an empty store is none that was lost


@dataclass(slots=True, frozen=True)
class OpenedStore:
    """Outcome of opening the store. `trusted`: it is the latest one; `state`: as it was opened."""

    verdict: str
    usable: bool
    trusted: bool
    fresh: bool = False  # nothing was there
    state: StoreState | None = None
    entries: tuple[tuple[bytes, bytes], ...] = ()


class HeartbeatRecord(msgspec.Struct, array_like=True, frozen=True):
    """When a process last wrote to its store that it runs, and whether it has shut down in good order since."""

    at_ms: float  # Unix
    last_event: int  # of the bus
    clean_shutdown: bool


decode_heartbeat = msgspec.msgpack.Decoder(HeartbeatRecord).decode
