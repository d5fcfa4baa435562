"""The interface of engine drivers, and the state of an engine that the core shares with them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from frostspindle import policy
from frostspindle.core.attempts import Attempt


@dataclass(slots=True)
class EngineState:
    """An engine as it was last listed, and the driver that reaches it."""

    entry: policy.EngineEntry  # in the core's own table: as the decision module hears it, with bans applied
    name: str
    address: tuple[str, int]
    driver: Driver
    listed_entry: policy.EngineEntry | None = None  # in the core's own table: as the endpoint list has it
    started_unix_ms: float = 0.0  # its process's start as the endpoint list tells it, the same at all coordinators
    version: int = 0  # of the watch event that told of it, where all workers number these events alike


class Driver(Protocol):
    """What the core needs of a driver, which runs attempts at engines of one protocol."""

    has_shared_versions: bool  # whether the events of its endpoint list have the same numbers in every process

    def update_engine(self, engine: EngineState) -> None:
        """Take an engine that is new or has changed."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Send the attempt, and report its end exactly once by Core.attempt_ended."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt and free the engine's work; Core.attempt_ended follows once it can't be running."""

    def update_priority(self, attempt: Attempt) -> None:
        """Tell the engine the attempt's new priority."""

    def start_health_check(self, engine: int) -> None:
        """Start a health check of the engine; Core.health_check_completed reports its outcome."""

    async def close(self) -> None:
        """End all attempts and close all connections."""
