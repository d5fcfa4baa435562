"""The interface, limits and errors of a replicated log, for its implementations and its users. No I/O and no clock.

All members apply the same entries in the same order, and `index` strictly increases. A proposal that returned is
eventually applied at all members. One that raised LogUnavailableError is never applied at any. One that raised
OutcomeUnknownError is applied at all members or none, and at most once. A state machine restored from a snapshot has
the same state as after applying all entries that the snapshot covers.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MAX_COMMAND_BYTES = 64 << 10  # larger commands must be split by the user
MAX_TOPIC_BYTES = 32  # length of a topic's name
MAX_STATE_BYTES = 4 << 20  # size of one state machine's state
MAX_OPEN_PROPOSALS = 256  # per member


class StateMachine(Protocol):
    """A deterministic state machine without I/O or clock: the same entries yield the same state at every member."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one entry and return its result; must not raise for any command.

        `index` strictly increases, but not always by 1, as all topics share it.
        """

    def state(self) -> bytes:
        """Return the complete state for a snapshot, MAX_STATE_BYTES at most."""

    def restore(self, index: int, state: bytes) -> None:
        """Restore the state after the entry `index`. Raise ValueError if it is malformed."""


@dataclass(slots=True, frozen=True)
class AppliedEntry:
    """A proposal that is committed and applied at this member."""

    index: int  # log index of the entry; used as the fencing token of a grant
    result: bytes  # returned by the state machine of this member


class ReplicaError(Exception):
    """Base class of the errors of replicated logs."""


class LogUnavailableError(ReplicaError):
    """The command was not appended: no leader is known, too many proposals are open, or the log has stopped."""


class OutcomeUnknownError(ReplicaError):
    """The time limit was exceeded, or the leader that received the command was lost: it may be committed or not."""


EntryListener = Callable[[int, bytes, bytes], None]  # index, command, result; for a restored snapshot: index, b"", b""


class ReplicatedLog(Protocol):
    """One member's view of the replicated log."""

    @property
    def index(self) -> int:
        """Index of the last entry applied by this member; 0 if none was."""

    @property
    def leader(self) -> str | None:
        """Name of the leader as known by this member, or None."""

    def attach(self, topic: str, machine: StateMachine) -> None:
        """Register the state machine of a topic; one per topic, and only before the log starts.

        All members must attach the same topics. A member stops at an entry of a topic that it did not attach, as its
        snapshots would lack that topic's state.
        """

    def watch(self, topic: str, listener: EntryListener) -> None:
        """Call `listener` in the event loop with each entry of a topic, in order, after it was applied."""

    async def propose(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        """Append a command and return once it is applied by this member, within `within_s` seconds.

        Raise ValueError for a command that can't be appended (unknown topic, or over MAX_COMMAND_BYTES), and otherwise
        LogUnavailableError or OutcomeUnknownError.
        """

    async def barrier(self, within_s: float) -> int:
        """Wait until this member has applied all entries committed before the call; return the index of a no-op.

        Raise LogUnavailableError or OutcomeUnknownError as `propose` does.
        """


class UnknownTopicError(ReplicaError):
    """An entry or a snapshot has a topic without a state machine at this member."""


class StateMachineRegistry:
    """The state machines and listeners of one member by topic: applies committed entries and notifies listeners."""

    def __init__(self) -> None:
        self.machines: dict[str, StateMachine] = {}
        self.listeners: dict[str, list[EntryListener]] = {}
        self.index: int = 0  # of the last applied entry; 0 if none
        self.faults: int = 0  # calls of state machines and listeners that raised

    def attach(self, topic: str, machine: StateMachine) -> None:
        """Register a topic's state machine. Raise ValueError if it has one, or for a name not of 1 to MAX_TOPIC_BYTES
        bytes."""
        if topic in self.machines:
            raise ValueError(f"topic {topic!r} already has a state machine")
        _check_topic_name(topic)
        self.machines[topic] = machine

    def watch(self, topic: str, listener: EntryListener) -> None:
        """Add a listener of a topic; exceptions of listeners are counted in `faults` and do not affect others."""
        self.listeners.setdefault(topic, []).append(listener)

    def check(self, topic: str, command: bytes) -> None:
        """Raise ValueError for a command with an invalid or unattached topic, or over MAX_COMMAND_BYTES."""
        _check_topic_name(topic)
        if topic not in self.machines:
            raise ValueError(f"topic {topic!r} has no state machine here")
        if len(command) > MAX_COMMAND_BYTES:
            raise ValueError(f"a command of {len(command)} bytes, the limit is {MAX_COMMAND_BYTES}")

    def apply(self, index: int, topic: str, command: bytes) -> bytes:
        """Apply one entry, notify the topic's listeners and return the result. Raise UnknownTopicError.

        An exception of the state machine is counted in `faults`, and the result is empty.
        """
        assert index > self.index, "the index must strictly increase"
        machine = self.machines.get(topic)
        if machine is None:
            raise UnknownTopicError(
                f"entry {index} has the topic {topic!r}, which has no state machine here: enable the same components "
                "at all coordinators"
            )
        self.index = index
        result = b""
        try:
            result = machine.apply(index, command)
        except Exception:  # noqa: BLE001 - a fault of one topic must not affect the others
            self.faults += 1
        self._notify(topic, index, command, result)
        return result

    def advance_to(self, index: int) -> None:
        """Advance to the index of an entry without a topic, such as a no-op."""
        assert index > self.index, "the index must strictly increase"
        self.index = index

    def states(self) -> dict[str, bytes]:
        """Return the states of all state machines by topic, for a snapshot.

        Raise ValueError if one is over MAX_STATE_BYTES.
        """
        states = {topic: machine.state() for topic, machine in self.machines.items()}
        for topic, state in states.items():
            if len(state) > MAX_STATE_BYTES:
                raise ValueError(f"the state of {topic!r} has {len(state)} bytes, the limit is {MAX_STATE_BYTES}")
        return states

    def restore(self, index: int, states: dict[str, bytes]) -> None:
        """Restore all state machines from a snapshot and notify all listeners. Raise ValueError, UnknownTopicError.

        A topic missing in the snapshot had no entries, as the member that took it had state machines for all topics.
        """
        unknown = states.keys() - self.machines.keys()
        if unknown:
            raise UnknownTopicError(f"the snapshot has the topics {sorted(unknown)}, which have no state machine here")
        for topic, machine in self.machines.items():
            if topic in states:
                machine.restore(index, states[topic])
        self.index = index
        for topic in self.machines.keys() | self.listeners.keys():
            self._notify(topic, index, b"", b"")

    def _notify(self, topic: str, index: int, command: bytes, result: bytes) -> None:
        for listener in self.listeners.get(topic, ()):
            try:
                listener(index, command, result)
            except Exception:  # noqa: BLE001 - as above
                self.faults += 1


def _check_topic_name(topic: str) -> None:
    if not 0 < len(topic.encode()) <= MAX_TOPIC_BYTES:
        raise ValueError(f"a topic needs 1 to {MAX_TOPIC_BYTES} bytes: {topic!r:.80}")


class RegistryLog(ABC):
    """Base class of the logs of this package: a registry of state machines and listeners, and checked proposals."""

    def __init__(self) -> None:
        self._registry: StateMachineRegistry = StateMachineRegistry()

    @property
    def index(self) -> int:
        """Index of the last entry applied by this member; 0 if none was applied."""
        return self._registry.index

    def attach(self, topic: str, machine: StateMachine) -> None:
        """See ReplicatedLog. Raise RuntimeError after the start, and ValueError for an invalid topic."""
        if self._has_started():
            raise RuntimeError("the log has started")
        self._registry.attach(topic, machine)

    def watch(self, topic: str, listener: EntryListener) -> None:
        """See ReplicatedLog; listeners are also called, with an empty command, after a snapshot was restored."""
        self._registry.watch(topic, listener)

    async def propose(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        """See ReplicatedLog."""
        self._registry.check(topic, command)
        return await self._append(topic, command, within_s)

    async def barrier(self, within_s: float) -> int:
        """See ReplicatedLog; appends a no-op without a topic."""
        entry = await self._append("", b"", within_s)
        return entry.index

    @abstractmethod
    def _has_started(self) -> bool:
        """Whether the log has started, so that no state machine can be attached."""

    @abstractmethod
    async def _append(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        """Append a checked command, or a no-op for an empty topic, and wait until this member has applied it."""
