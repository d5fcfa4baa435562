"""A log in memory: one or more members in one process, for tests and for a coordinator that is alone.

Owns an order of entries and who has applied how many of them. Members apply at once, unless they are held (`hold`), or
the log has no leader (`lead(False)`): so users are tested against late members and Unavailable. It must never do I/O,
and nothing of it outlives its process.
"""

from __future__ import annotations

import asyncio

from frostspindle.replica.base import (
    MOST_OPEN,
    AppliedEntry,
    LogUnavailableError,
    OutcomeUnknownError,
    StateMachine,
    StateMachineRegistry,
    Told,
)

KEEP = 1_024  # entries; who is further behind is given a snapshot


class LocalLog:
    """One member of a log in memory. The first is made by itself, more by `join`."""

    def __init__(self, name: str = "local", shared: _Shared | None = None) -> None:
        self.name, self._shared, self._desk = name, shared or _Shared(), StateMachineRegistry()
        self._held = self._stopped = False
        self._open = 0
        self._arrived = asyncio.Event()
        self._shared.members.append(self)

    def join(self, name: str) -> LocalLog:
        """Return one more member of the same log; it applies nothing before the next entry or `catch_up`."""
        return LocalLog(name, self._shared)

    @property
    def index(self) -> int:
        """Index of the last entry applied by this member; 0: none."""
        return self._desk.index

    @property
    def leader(self) -> str | None:
        """Name of the first member while the log is led; None if it is not, or this member has stopped."""
        return self._shared.members[0].name if self._shared.led and not self._stopped else None

    def attach(self, topic: str, machine: StateMachine) -> None:
        """See base.Log; RuntimeError once this member has applied an entry."""
        if self._desk.index:
            raise RuntimeError("the log has started")
        self._desk.attach(topic, machine)

    def watch(self, topic: str, told: Told) -> None:
        """See base.Log; a watcher is also told, with an empty command, when a snapshot was restored."""
        self._desk.watch(topic, told)

    async def propose(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        """See base.Log; applied at once unless this member is held or has stopped."""
        self._desk.check(topic, command)
        return await self._append(topic, command, within_s)

    async def barrier(self, within_s: float) -> int:
        """See base.Log; a no-op without a topic is appended."""
        return (await self._append("", b"", within_s)).index

    def hold(self, held: bool = True) -> None:
        """Apply nothing for now; `hold(False)` applies what has come meanwhile, in order."""
        self._held = held
        if not held:
            self.catch_up()

    def lead(self, led: bool) -> None:
        """Set whether the log has a leader; without one, all members' proposals end in Unavailable."""
        self._shared.led = led

    def stop(self) -> None:
        """Stop this member for good: it applies nothing more, and open and later proposals fail."""
        self._stopped = True
        self._arrived.set()

    def catch_up(self) -> None:
        """Apply all entries that have come since, or another member's snapshot where they are gone."""
        if self._held or self._stopped:
            return
        shared = self._shared
        if self.index < shared.first - 1:
            donor = max((m for m in shared.members if m is not self), key=lambda member: member.index)
            self._desk.restore(donor.index, donor._desk.states())
        for topic, command in shared.entries[max(0, self.index + 1 - shared.first) :]:
            index = self.index + 1
            if topic:
                result = self._desk.apply(index, topic, command)
            else:
                self._desk.pass_to(index)
                result = b""
            shared.results[self, index] = result
        self._arrived.set()
        self._arrived = asyncio.Event()

    async def _append(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        if self._stopped:
            raise LogUnavailableError("the log has stopped")
        if not self._shared.led:
            raise LogUnavailableError("no leader is heard of")
        if self._open >= MOST_OPEN:
            raise LogUnavailableError(f"{MOST_OPEN} proposals are open")
        self._open += 1
        try:
            index = self._shared.append(topic, command)
            async with asyncio.timeout(within_s):
                while self.index < index and not self._stopped:
                    await self._arrived.wait()
                await asyncio.sleep(0)
        except TimeoutError:
            raise OutcomeUnknownError(f"not applied here within {within_s:g} s") from None
        finally:
            self._open -= 1
        if self.index < index:
            raise OutcomeUnknownError("the log has stopped")
        return AppliedEntry(index, self._shared.results.pop((self, index), b""))


class _Shared:
    """The order of one log and its members."""

    def __init__(self) -> None:
        self.entries: list[tuple[str, bytes]] = []
        self.first = 1  # the index of entries[0]
        self.members: list[LocalLog] = []
        self.results: dict[tuple[LocalLog, int], bytes] = {}
        self.led = True

    def append(self, topic: str, command: bytes) -> int:
        self.entries.append((topic, bytes(command)))
        index = self.first + len(self.entries) - 1
        for member in self.members:
            member.catch_up()
        over = len(self.entries) - KEEP
        if over > 0 and any(member.index == index for member in self.members):
            del self.entries[:over]
            self.first += over
        if len(self.results) > KEEP * len(self.members):
            self.results = {key: value for key, value in self.results.items() if key[1] > index - KEEP}
        return index
