"""The table of leases: a deterministic machine on the replicated log, the same at every coordinator.

Owns who was granted which task under which token, and which commands were seen. It must never read a clock or raise on
whatever bytes, and never grant a task whose row is another than its proposer saw: whether the old lease is over is the
proposer's to know (`holder.py`), so the table compares and sets. A token is the log's index of its grant.

Commands are MessagePack arrays: `Ask` (takes, renewals and releases of one coordinator in one entry), `Force` (an
operator's release: nothing is renewed under that token any more, and the next holder waits the lease out all the
same), `Leave` (a coordinator ends: all its leases are released, and what it sent before and comes later is dropped).
Each carries the proposer's process (name, life) and a number that grows; one that is not greater than the last that was
applied of that process is dropped, so that what was sent twice or overtaken changes nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

MOST_TASKS, MOST_PROPOSERS = 4_096, 512
MOST_ITEMS = 512  # of one Ask; with the longest names it stays under the log's bound
NAME = r"^[!-~]{1,64}$"
Name = Annotated[str, Meta(pattern=NAME)]
Whole = Annotated[int, Meta(ge=0, le=2**53)]
Length = Annotated[int, Meta(ge=100, le=600_000)]  # of a lease, ms
Takes = Annotated[list[tuple[Name, Whole, Whole]], Meta(max_length=MOST_ITEMS)]  # task, and the row that was seen
Ones = Annotated[list[tuple[Name, Whole]], Meta(max_length=MOST_ITEMS)]  # task, token
NONE = (0, 0)  # the row of a task that nobody holds


class RenewLeases(Struct, tag="ask", array_like=True, frozen=True):
    """Command of one coordinator's process: takes, renewals and releases in one entry."""

    holder: Name
    life: Whole
    number: Whole
    duration_ms: Length
    takes: Takes = []
    renews: Ones = []
    drops: Ones = []


class ForceRelease(Struct, tag="force", array_like=True, frozen=True):
    """Command of an operator, proposed by a coordinator: the grant with this token is to be renewed no more."""

    holder: Name  # who proposes it, not who holds the task
    life: Whole
    number: Whole
    task: Name
    token: Whole


class ReleaseAll(Struct, tag="leave", array_like=True, frozen=True):
    """Command of a coordinator's process that ends: all its leases are released."""

    holder: Name
    life: Whole
    number: Whole


Command = RenewLeases | ForceRelease | ReleaseAll


class LeaseRow(Struct, array_like=True, frozen=True):
    """The present grant of one task."""

    holder: Name
    life: Whole
    token: Whole
    renewals: Whole
    duration_ms: Length
    forced: bool = False

    @property
    def version(self) -> tuple[int, int]:
        """Token and number of renewals: what a take must have seen to replace the row."""
        return self.token, self.renewals


class CommandResult(Struct, array_like=True, frozen=True):
    """The machine's answer to a command; each list matches the command's, true where it was done."""

    reason: str = ""  # why the whole command was refused
    takes: list[bool] = []
    renews: list[bool] = []
    drops: list[bool] = []


class _State(Struct, array_like=True):
    rows: Annotated[dict[Name, LeaseRow], Meta(max_length=MOST_TASKS)]
    seen: Annotated[list[tuple[Name, Whole, Whole]], Meta(max_length=MOST_PROPOSERS)]


encode = msgspec.msgpack.encode
_COMMAND = msgspec.msgpack.Decoder(Command)
_SAID = msgspec.msgpack.Decoder(CommandResult)
_STATE = msgspec.msgpack.Decoder(_State)


def read(command: bytes) -> Command | None:
    """Decode a command; None if it can't be read."""
    try:
        found: Any = _COMMAND.decode(command)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return found


def said(result: bytes) -> CommandResult:
    """Decode the machine's own answer; one that can't be read counts as a refusal of the whole command."""
    try:
        return _SAID.decode(result)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return CommandResult("unreadable answer")


def tasks(command: Command) -> Iterable[str] | None:
    """Return the tasks that a command may have changed; None: any."""
    if isinstance(command, RenewLeases):
        return [item[0] for item in (*command.takes, *command.renews, *command.drops)]
    return [command.task] if isinstance(command, ForceRelease) else None


class LeaseTable:
    """The state machine of the leases; see replica.base.Machine."""

    def __init__(self) -> None:
        self.rows: dict[str, LeaseRow] = {}
        self._seen: dict[tuple[str, int], int] = {}  # process: its last number; who spoke last stands last
        self.refused = 0

    def version(self, task: str) -> tuple[int, int]:
        """Return the version of the task's row; NONE if nobody holds it."""
        row = self.rows.get(task)
        return NONE if row is None else row.version

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return an encoded Said; never raises.

        Refused as a whole, with a reason: bytes that can't be read, a number not above the process's last, more than
        MOST_ITEMS items, and a Force for a grant that is not in force. A new grant's token is `index`.
        """
        found = read(command)
        if found is None:
            return self._no("unreadable")
        who = found.holder, found.life
        if found.number <= self._seen.get(who, -1):
            return self._no("doubled")
        if isinstance(found, RenewLeases) and len(found.takes) + len(found.renews) + len(found.drops) > MOST_ITEMS:
            return self._no("too many items")
        self._seen.pop(who, None)
        if len(self._seen) >= MOST_PROPOSERS:
            del self._seen[next(iter(self._seen))]
        self._seen[who] = 2**53 if isinstance(found, ReleaseAll) else found.number
        if isinstance(found, RenewLeases):
            return encode(self._ask(index, found))
        if isinstance(found, ForceRelease):
            row = self.rows.get(found.task)
            if row is None or row.token != found.token:
                return self._no("no such grant")
            self.rows[found.task] = msgspec.structs.replace(row, forced=True)
        else:
            self.rows = {task: row for task, row in self.rows.items() if (row.holder, row.life) != who}
        return encode(CommandResult())

    def _no(self, reason: str) -> bytes:
        self.refused += 1
        return encode(CommandResult(reason))

    def _ask(self, index: int, ask: RenewLeases) -> CommandResult:
        """What is dropped first makes room for what is taken."""
        dropped = [self._own(ask, *item) is not None and self.rows.pop(item[0], None) is not None for item in ask.drops]
        renewed = [self._renew(ask, *item) for item in ask.renews]
        taken = [self._take(index, ask, task, (token, renewals)) for task, token, renewals in ask.takes]
        return CommandResult("", taken, renewed, dropped)

    def _own(self, ask: RenewLeases, task: str, token: int) -> LeaseRow | None:
        row = self.rows.get(task)
        return row if row is not None and (row.holder, row.life, row.token) == (ask.holder, ask.life, token) else None

    def _renew(self, ask: RenewLeases, task: str, token: int) -> bool:
        row = self._own(ask, task, token)
        if row is None or row.forced:
            return False
        self.rows[task] = LeaseRow(row.holder, row.life, token, row.renewals + 1, ask.duration_ms)
        return True

    def _take(self, index: int, ask: RenewLeases, task: str, expects: tuple[int, int]) -> bool:
        if self.version(task) != expects or task not in self.rows and len(self.rows) >= MOST_TASKS:
            return False
        self.rows[task] = LeaseRow(ask.holder, ask.life, index, 0, ask.duration_ms)
        return True

    def state(self) -> bytes:
        """Return rows and last numbers as MessagePack, for a snapshot."""
        return encode(_State(dict(sorted(self.rows.items())), [(*who, last) for who, last in self._seen.items()]))

    def restore(self, index: int, state: bytes) -> None:
        """Take over a state made by `state`; ValueError if it can't be read or names a later token than `index`."""
        try:
            found = _STATE.decode(state)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(f"not a table of leases: {error}") from None
        if any(row.token > index for row in found.rows.values()):
            raise ValueError("a token of later than the state's index")
        self.rows = found.rows
        self._seen = {(name, life): last for name, life, last in found.seen}
