"""The lease table: a deterministic state machine on the replicated log, identical at every coordinator.

Records the holder and fencing token of each task, and the last command number of each proposer. It reads no clock and
raises for no input. A task is granted only if its row has the version that the proposer saw (compare-and-set); the
proposer decides whether the previous lease has expired (`holder.py`). A token is the log index of its grant.

Commands are MessagePack arrays:

- `RenewLeases`: acquisitions, renewals and releases of one coordinator in one entry.
- `ForceRelease`: an operator's release. The lease with that token is no longer renewed, and the next holder still waits
  for its expiry.
- `ReleaseAll`: a coordinator shuts down. All its leases are released, and its commands that are applied later are
  rejected.

Each command has the proposer's process (name, incarnation) and an increasing number. A command whose number is not
above the last one applied for that process is rejected, so that duplicates and reordered commands have no effect.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

MAX_TASKS = 4_096
MAX_PROPOSERS = 512
MAX_ITEMS = 512  # per RenewLeases; with names of maximum length this stays below the log's command size limit
NAME_PATTERN = r"^[!-~]{1,64}$"
Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Number = Annotated[int, Meta(ge=0, le=2**53)]
DurationMs = Annotated[int, Meta(ge=100, le=600_000)]  # duration of a lease in ms
Acquisitions = Annotated[
    list[tuple[Name, Number, Number]], Meta(max_length=MAX_ITEMS)
]  # task, and the version of the row seen by the proposer
Grants = Annotated[list[tuple[Name, Number]], Meta(max_length=MAX_ITEMS)]  # task, token
NO_VERSION = (0, 0)  # version of a task without a holder

Acquisition = tuple[str, int, int]  # task, and the version seen by the proposer: token and number of renewals


class RenewLeases(Struct, tag="ask", array_like=True, frozen=True):
    """Command of one coordinator's process: acquisitions, renewals and releases in one entry."""

    holder: Name
    incarnation: Number
    number: Number
    duration_ms: DurationMs
    acquisitions: Acquisitions = []
    renewals: Grants = []
    releases: Grants = []


class ForceRelease(Struct, tag="force", array_like=True, frozen=True):
    """Command of an operator, proposed by a coordinator: the grant with this token is no longer renewed."""

    holder: Name  # the proposer, not the task's holder
    incarnation: Number
    number: Number
    task: Name
    token: Number


class ReleaseAll(Struct, tag="leave", array_like=True, frozen=True):
    """Command of a coordinator's process that shuts down: all its leases are released."""

    holder: Name
    incarnation: Number
    number: Number


Command = RenewLeases | ForceRelease | ReleaseAll


class LeaseRow(Struct, array_like=True, frozen=True):
    """The current grant of one task."""

    holder: Name
    incarnation: Number
    token: Number
    renewals: Number
    duration_ms: DurationMs
    forced: bool = False

    @property
    def version(self) -> tuple[int, int]:
        """Token and number of renewals: an acquisition must state them to replace the row."""
        return self.token, self.renewals


class CommandResult(Struct, array_like=True, frozen=True):
    """The result of a command; each list has one value for each item in the command's list: whether it was applied."""

    reason: str = ""  # why the complete command was rejected
    acquisitions: list[bool] = []
    renewals: list[bool] = []
    releases: list[bool] = []


class _State(Struct, array_like=True):
    rows: Annotated[dict[Name, LeaseRow], Meta(max_length=MAX_TASKS)]
    last_numbers: Annotated[list[tuple[Name, Number, Number]], Meta(max_length=MAX_PROPOSERS)]


encode = msgspec.msgpack.encode
_COMMAND = msgspec.msgpack.Decoder(Command)
_RESULT = msgspec.msgpack.Decoder(CommandResult)
_STATE = msgspec.msgpack.Decoder(_State)


def decode_command(command: bytes) -> Command | None:
    """Decode a command; return None if it is malformed."""
    try:
        decoded: Any = _COMMAND.decode(command)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    return decoded


def decode_result(result: bytes) -> CommandResult:
    """Decode the result of a command; a malformed one counts as a rejection of the complete command."""
    try:
        return _RESULT.decode(result)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return CommandResult("unreadable answer")


def affected_tasks(command: Command) -> Iterable[str] | None:
    """Return the tasks that a command may have changed; None means all."""
    if isinstance(command, RenewLeases):
        return [item[0] for item in (*command.acquisitions, *command.renewals, *command.releases)]
    if isinstance(command, ForceRelease):
        return [command.task]
    return None


class LeaseTable:
    """The state machine of the lease table; see replica.base.StateMachine."""

    def __init__(self) -> None:
        self.rows: dict[str, LeaseRow] = {}
        self.refused: int = 0  # number of commands that were rejected completely
        self._last_numbers: dict[tuple[str, int], int] = {}  # by process, the one with the most recent command last

    def version(self, task: str) -> tuple[int, int]:
        """Return the version of the task's row; NO_VERSION if the task has no holder."""
        row = self.rows.get(task)
        return NO_VERSION if row is None else row.version

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return an encoded CommandResult; never raise.

        Rejected completely, with a reason: a malformed command, a number not above the process's last one, more than
        MAX_ITEMS items, and a ForceRelease of a grant that is no longer current. A new grant's token is `index`.
        """
        decoded = decode_command(command)
        if decoded is None:
            return self._reject("unreadable")
        process = decoded.holder, decoded.incarnation
        if decoded.number <= self._last_numbers.get(process, -1):
            return self._reject("doubled")
        if isinstance(decoded, RenewLeases) and _item_count(decoded) > MAX_ITEMS:
            return self._reject("too many items")
        self._record_number(process, decoded)
        match decoded:
            case RenewLeases():
                return encode(self._apply_renew_leases(index, decoded))
            case ForceRelease():
                return self._apply_force_release(decoded)
            case ReleaseAll():
                self.rows = {task: row for task, row in self.rows.items() if (row.holder, row.incarnation) != process}
                return encode(CommandResult())

    def _reject(self, reason: str) -> bytes:
        self.refused += 1
        return encode(CommandResult(reason))

    def _record_number(self, process: tuple[str, int], command: Command) -> None:
        self._last_numbers.pop(process, None)
        if len(self._last_numbers) >= MAX_PROPOSERS:
            del self._last_numbers[next(iter(self._last_numbers))]
        is_last = isinstance(command, ReleaseAll)
        self._last_numbers[process] = 2**53 if is_last else command.number

    def _apply_force_release(self, command: ForceRelease) -> bytes:
        row = self.rows.get(command.task)
        if row is None or row.token != command.token:
            return self._reject("no such grant")
        self.rows[command.task] = msgspec.structs.replace(row, forced=True)
        return encode(CommandResult())

    def _apply_renew_leases(self, index: int, command: RenewLeases) -> CommandResult:
        """Apply releases, renewals and acquisitions, in this order: releases make room for acquisitions."""
        released = [self._release(command, task, token) for task, token in command.releases]
        renewed = [self._renew(command, task, token) for task, token in command.renewals]
        acquired = [
            self._acquire(index, command, task, (token, renewals)) for task, token, renewals in command.acquisitions
        ]
        return CommandResult("", acquired, renewed, released)

    def _own_row(self, command: RenewLeases, task: str, token: int) -> LeaseRow | None:
        row = self.rows.get(task)
        if row is None or (row.holder, row.incarnation, row.token) != (command.holder, command.incarnation, token):
            return None
        return row

    def _release(self, command: RenewLeases, task: str, token: int) -> bool:
        if self._own_row(command, task, token) is None:
            return False
        del self.rows[task]
        return True

    def _renew(self, command: RenewLeases, task: str, token: int) -> bool:
        row = self._own_row(command, task, token)
        if row is None or row.forced:
            return False
        self.rows[task] = LeaseRow(row.holder, row.incarnation, token, row.renewals + 1, command.duration_ms)
        return True

    def _acquire(self, index: int, command: RenewLeases, task: str, expected_version: tuple[int, int]) -> bool:
        if self.version(task) != expected_version:
            return False
        if task not in self.rows and len(self.rows) >= MAX_TASKS:
            return False
        self.rows[task] = LeaseRow(command.holder, command.incarnation, index, 0, command.duration_ms)
        return True

    def state(self) -> bytes:
        """Return the rows and last numbers as MessagePack, for a snapshot."""
        last_numbers = [(*process, number) for process, number in self._last_numbers.items()]
        return encode(_State(dict(sorted(self.rows.items())), last_numbers))

    def restore(self, index: int, state: bytes) -> None:
        """Restore a state returned by `state`. Raise ValueError if it is malformed or has a token above `index`."""
        try:
            decoded = _STATE.decode(state)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise ValueError(f"malformed lease table: {error}") from None
        if any(row.token > index for row in decoded.rows.values()):
            raise ValueError("the lease table has a token above its index")
        self.rows = decoded.rows
        self._last_numbers = {(name, incarnation): number for name, incarnation, number in decoded.last_numbers}


def _item_count(command: RenewLeases) -> int:
    return len(command.acquisitions) + len(command.renewals) + len(command.releases)
