"""The interface, bounds and errors that all replicated logs have in common, for the parts that use one.

Owns the rules that hold alike for all logs: what a command may be, what an answer promises and what an error means. It
must never do I/O or read a clock.

All members apply the same entries in the same order, and `index` strictly grows. A proposal that was answered is
applied at all members in the end; one that ended in Unavailable at none, ever; one that ended in Uncertain at all or
none, and at most once. A machine restored from a snapshot is in the state that all entries up to it would have given.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MAX_COMMAND = 64 << 10  # bytes of one command; what is larger goes in pieces
MAX_TOPIC = 32  # bytes of a topic's name
MAX_STATE = 4 << 20  # bytes of one machine's state
MOST_OPEN = 256  # proposals of one member that wait for their answer


class StateMachine(Protocol):
    """A deterministic state machine without I/O or clock: the same entries give the same state at every member."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one entry and return its result; never raise, whatever the bytes.

        `index` strictly grows, but not by 1: all topics share it.
        """

    def state(self) -> bytes:
        """Return the whole state for a snapshot, MAX_STATE bytes at most."""

    def restore(self, index: int, state: bytes) -> None:
        """Take over the state after the entry `index`; ValueError if it can't be read."""


@dataclass(slots=True, frozen=True)
class AppliedEntry:
    """A proposal that is committed and applied here."""

    index: int  # the log's index of the entry: the fencing token of a grant
    result: bytes  # what the machine here returned for it


class LogUnavailableError(Exception):
    """Nothing was appended: no leader is known, too many proposals are open, or the log has stopped."""


class OutcomeUnknownError(Exception):
    """The time limit passed first: the entry may be committed later or never."""


Told = Callable[[int, bytes, bytes], None]  # index, command, result; after a snapshot: index, b"", b""


class ReplicatedLog(Protocol):
    """One member's view of the replicated log."""

    @property
    def index(self) -> int:
        """Index of the last entry applied here; 0: none."""

    @property
    def leader(self) -> str | None:
        """Name of the leader as known here; None: none is known."""

    def attach(self, topic: str, machine: StateMachine) -> None:
        """Register the machine that a topic's entries are applied by; before the start, and one for each topic.

        All members attach the same topics: one that meets an entry of another topic stops, as its snapshots would lack
        that topic's state.
        """

    def watch(self, topic: str, told: Told) -> None:
        """Call `told` with each entry of a topic after it was applied, in order, in the event loop."""

    async def propose(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        """Append a command and return once it is applied here, within `within_s` seconds.

        ValueError where it is none that can be appended (its topic, or over MAX_COMMAND bytes), else Unavailable or
        Uncertain.
        """

    async def barrier(self, within_s: float) -> int:
        """Wait until all that was committed before the call is applied here; return the index of a committed no-op.

        Unavailable or Uncertain, as `propose`.
        """


class UnknownTopicError(Exception):
    """An entry or a snapshot has a topic without a machine here."""


class StateMachineRegistry:
    """The machines and watchers of one member, by topic; all logs apply committed entries and tell of them by it."""

    def __init__(self) -> None:
        self.machines: dict[str, StateMachine] = {}
        self.watchers: dict[str, list[Told]] = {}
        self.index = 0
        self.faults = 0  # machines and watchers that raised

    def attach(self, topic: str, machine: StateMachine) -> None:
        """Register a topic's machine; ValueError if it has one already or its name has not 1 to MAX_TOPIC bytes."""
        if topic in self.machines:
            raise ValueError(f"the topic {topic!r} has a machine already")
        if not 0 < len(topic.encode()) <= MAX_TOPIC:
            raise ValueError(f"a topic of 1 to {MAX_TOPIC} bytes: {topic!r:.80}")
        self.machines[topic] = machine

    def watch(self, topic: str, told: Told) -> None:
        """Add a watcher of a topic; one that raises is counted in `faults` and does not hold up others."""
        self.watchers.setdefault(topic, []).append(told)

    def check(self, topic: str, command: bytes) -> None:
        """Raise ValueError for a command that can never be appended: its topic's name or machine, or its length."""
        if not 0 < len(topic.encode()) <= MAX_TOPIC:
            raise ValueError(f"a topic of 1 to {MAX_TOPIC} bytes: {topic!r:.80}")
        if topic not in self.machines:
            raise ValueError(f"the topic {topic!r} has no machine here")
        if len(command) > MAX_COMMAND:
            raise ValueError(f"a command of {len(command)} bytes, at most {MAX_COMMAND}")

    def apply(self, index: int, topic: str, command: bytes) -> bytes:
        """Apply one entry, tell the topic's watchers and return its result; UnknownTopicError.

        A machine that raises is counted in `faults`, and the result is empty.
        """
        assert index > self.index, "the index strictly grows"
        machine = self.machines.get(topic)
        if machine is None:
            raise UnknownTopicError(
                f"entry {index} is of the topic {topic!r}, which has no machine here: turn the same parts on "
                "at all coordinators"
            )
        self.index = index
        result = b""
        try:
            result = machine.apply(index, command)
        except Exception:  # noqa: BLE001 - one topic's fault must not hold the others' entries up
            self.faults += 1
        self._tell(topic, index, command, result)
        return result

    def pass_to(self, index: int) -> None:
        """Advance to the index of an entry that has no topic, such as a no-op."""
        assert index > self.index, "the index strictly grows"
        self.index = index

    def states(self) -> dict[str, bytes]:
        """Return the states of all machines by topic, for a snapshot; ValueError if one is over MAX_STATE bytes."""
        out = {topic: machine.state() for topic, machine in self.machines.items()}
        for topic, state in out.items():
            if len(state) > MAX_STATE:
                raise ValueError(f"the state of {topic!r} has {len(state)} bytes, at most {MAX_STATE}")
        return out

    def restore(self, index: int, states: dict[str, bytes]) -> None:
        """Restore all machines from a snapshot and tell all watchers; ValueError or UnknownTopicError if it is unfit.

        A topic that is not in it had no entry before: a member that takes a snapshot holds all topics.
        """
        if unheld := states.keys() - self.machines.keys():
            raise UnknownTopicError(f"a snapshot has the topics {sorted(unheld)}, which have no machine here")
        for topic, machine in self.machines.items():
            if topic in states:
                machine.restore(index, states[topic])
        self.index = index
        for topic in self.machines.keys() | self.watchers.keys():
            self._tell(topic, index, b"", b"")

    def _tell(self, topic: str, index: int, command: bytes, result: bytes) -> None:
        for told in self.watchers.get(topic, ()):
            try:
                told(index, command, result)
            except Exception:  # noqa: BLE001 - as above
                self.faults += 1
