"""Outputs of a recovery node: messages to other coordinators, effects on the program, and counters."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from frostspindle.recovery import wire
from frostspindle.recovery.agreement import AgreedState
from frostspindle.recovery.stages import StageTransition
from frostspindle.recovery.tickets import ClaimOutcome


class MarkRestarted(NamedTuple):
    """Effect: treat these engines as started at these times (Unix ms), unless the list has a later start."""

    starts: dict[str, float]


class ClaimResolved(NamedTuple):
    """Effect: the claim of the load with this number has ended."""

    number: int
    outcome: ClaimOutcome


class WriteLogLine(NamedTuple):
    """Effect: write a log line."""

    event: str
    fields: dict[str, object]


Effect = StageTransition | AgreedState | MarkRestarted | ClaimResolved | WriteLogLine


class NodeOutputs:
    """Collects the messages, effects and counters of one node's components until the program takes them."""

    def __init__(self) -> None:
        self.messages: list[tuple[str, bytes]] = []  # receiver and bytes
        self.effects: list[Effect] = []
        self.counters: Counter[str] = Counter()

    def send(self, receiver: str, message: wire.Message) -> None:
        """Queue a message to another coordinator."""
        self.messages.append((receiver, wire.encode(message)))

    @property
    def pending(self) -> bool:
        """Whether there are messages or effects to take."""
        return bool(self.messages or self.effects)

    def take_messages(self) -> list[tuple[str, bytes]]:
        """Return and clear the messages."""
        messages = self.messages
        self.messages = []
        return messages

    def take_effects(self) -> list[Effect]:
        """Return and clear the effects."""
        effects = self.effects
        self.effects = []
        return effects
