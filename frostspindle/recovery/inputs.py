"""Inputs of a recovery node: its settings, the opened store, and the previous process's heartbeat."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from frostspindle.recovery.stages import StageTimeouts
from frostspindle.recovery.state_kinds import CooldownSettings
from frostspindle.recovery.wire import StoreState


@dataclass(slots=True, frozen=True)
class RecoverySettings:
    """The settings of one coordinator's recovery."""

    name: str
    seeds: tuple[str, ...] = ()  # of the fleet; empty: there is no fleet
    timeouts: StageTimeouts = StageTimeouts()
    cooldowns: CooldownSettings = CooldownSettings(0.0, 600_000.0)
    claim_ms: float = 1_000.0
    first_start: bool = False  # the operator asserts that an empty store is new and not lost


@dataclass(slots=True, frozen=True)
class OpenedStore:
    """Outcome of opening the store. `trusted`: it is not an older copy; `state`: its state when it was opened."""

    verdict: str
    usable: bool
    trusted: bool
    fresh: bool = False  # there was no store before
    state: StoreState | None = None
    entries: tuple[tuple[bytes, bytes], ...] = ()


class HeartbeatRecord(msgspec.Struct, array_like=True, frozen=True):
    """When a process last wrote its heartbeat to the store, and whether that was at a clean shutdown."""

    at_ms: float  # Unix
    last_event: int  # of the bus
    clean_shutdown: bool


decode_heartbeat = msgspec.msgpack.Decoder(HeartbeatRecord).decode
