"""The interface of engine drivers, and the state of an engine that the core shares with them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from frostspindle import policy
from frostspindle.core.attempts import Attempt


@dataclass(slots=True)
class EngineState:
    """An engine as it was last listed, and the driver that connects to it."""

    entry: policy.EngineEntry  # in the core's table: as the decision module gets it, with bans applied
    name: str
    address: tuple[str, int]
    driver: Driver
    listed_entry: policy.EngineEntry | None = None  # in the core's table: as in the endpoint list
    started_unix_ms: float = 0.0  # its process's start as given in the endpoint list, equal at all coordinators
    version: int = 0  # of the watch event that reported it, if these versions are equal in all workers


class Driver(Protocol):
    """Runs attempts at engines of one protocol."""

    has_shared_versions: bool  # whether the events of its endpoint list have the same versions in every process

    def update_engine(self, engine: EngineState) -> None:
        """Handle a new or changed engine."""

    def start_attempt(self, attempt: Attempt) -> None:
        """Send the attempt, and report its end exactly once through Core.attempt_ended."""

    def cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt at its engine; call Core.attempt_ended once the query can no longer be running."""

    def update_priority(self, attempt: Attempt) -> None:
        """Send the attempt's new priority to the engine."""

    def start_health_check(self, engine: int) -> None:
        """Start a health check of the engine; its outcome is reported through Core.health_check_completed."""

    async def close(self) -> None:
        """End all attempts and close all connections."""
