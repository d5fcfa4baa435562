"""A replicated log in memory: members in one process, for tests and for a coordinator without peers.

Members apply entries immediately, unless they are paused (`set_paused`) or the log has no leader (`set_leader(False)`),
so that users can be tested with lagging members and LogUnavailableError. No I/O; the log is lost with the process.
"""

from __future__ import annotations

import asyncio

from frostspindle.replica.base import (
    MAX_OPEN_PROPOSALS,
    AppliedEntry,
    LogUnavailableError,
    OutcomeUnknownError,
    RegistryLog,
)

MAX_ENTRIES = 1_024  # retained entries; a member that lags further behind is restored from a snapshot


class LocalLog(RegistryLog):
    """One member of a log in memory. The first is constructed directly, others by `join`."""

    def __init__(self, name: str = "local", entries: _SharedEntries | None = None) -> None:
        super().__init__()
        self.name: str = name
        self._shared: _SharedEntries = entries or _SharedEntries()
        self._paused: bool = False
        self._stopped: bool = False
        self._open_proposals: int = 0
        self._applied: asyncio.Event = asyncio.Event()  # set, and replaced by a new one, whenever entries were applied
        self._shared.members.append(self)

    def join(self, name: str) -> LocalLog:
        """Return another member of the same log; it applies entries from the next `append` or `catch_up` on."""
        return LocalLog(name, self._shared)

    @property
    def leader(self) -> str | None:
        """Name of the first member while the log has a leader; None if it has none, or this member has stopped."""
        if self._shared.has_leader and not self._stopped:
            return self._shared.members[0].name
        return None

    def set_paused(self, paused: bool = True) -> None:
        """Pause applying entries; `set_paused(False)` applies those appended meanwhile, in order."""
        self._paused = paused
        if not paused:
            self.catch_up()

    def set_leader(self, has_leader: bool) -> None:
        """Set whether the log has a leader; without one, all members' proposals raise LogUnavailableError."""
        self._shared.has_leader = has_leader

    def stop(self) -> None:
        """Stop this member permanently: it applies no further entries, and open and later proposals fail."""
        self._stopped = True
        self._applied.set()

    def catch_up(self) -> None:
        """Apply all missing entries, or restore another member's snapshot if they are no longer retained."""
        if self._paused or self._stopped:
            return
        shared = self._shared
        if self.index < shared.first_index - 1:
            other_members = [member for member in shared.members if member is not self]
            donor = max(other_members, key=lambda member: member.index)
            self._registry.restore(donor.index, donor._registry.states())
        for topic, command in shared.entries_after(self.index):
            index = self.index + 1
            result = b""
            if topic:
                result = self._registry.apply(index, topic, command)
            else:
                self._registry.advance_to(index)
            shared.results[self, index] = result
        self._applied.set()
        self._applied = asyncio.Event()

    def _has_started(self) -> bool:
        return self._registry.index > 0

    async def _append(self, topic: str, command: bytes, within_s: float) -> AppliedEntry:
        if self._stopped:
            raise LogUnavailableError("the log has stopped")
        if not self._shared.has_leader:
            raise LogUnavailableError("no known leader")
        if self._open_proposals >= MAX_OPEN_PROPOSALS:
            raise LogUnavailableError(f"{MAX_OPEN_PROPOSALS} proposals are open")
        self._open_proposals += 1
        try:
            index = self._shared.append(topic, command)
            async with asyncio.timeout(within_s):
                while self.index < index and not self._stopped:
                    await self._applied.wait()
                await asyncio.sleep(0)
        except TimeoutError:
            raise OutcomeUnknownError(f"not applied by this member within {within_s:g} s") from None
        finally:
            self._open_proposals -= 1
        if self.index < index:
            raise OutcomeUnknownError("the log has stopped")
        return AppliedEntry(index, self._shared.results.pop((self, index), b""))


class _SharedEntries:
    """The entries of one log and its members."""

    def __init__(self) -> None:
        self.entries: list[tuple[str, bytes]] = []  # topic and command
        self.first_index: int = 1  # of entries[0]
        self.members: list[LocalLog] = []
        self.results: dict[tuple[LocalLog, int], bytes] = {}
        self.has_leader: bool = True

    def entries_after(self, index: int) -> list[tuple[str, bytes]]:
        """Return the retained entries with a greater index."""
        return self.entries[max(0, index + 1 - self.first_index) :]

    def append(self, topic: str, command: bytes) -> int:
        """Append an entry, make all members apply it and return its index."""
        self.entries.append((topic, bytes(command)))
        index = self.first_index + len(self.entries) - 1
        for member in self.members:
            member.catch_up()
        excess = len(self.entries) - MAX_ENTRIES
        if excess > 0 and any(member.index == index for member in self.members):
            del self.entries[:excess]
            self.first_index += excess
        if len(self.results) > MAX_ENTRIES * len(self.members):
            self.results = {key: result for key, result in self.results.items() if key[1] > index - MAX_ENTRIES}
        return index
