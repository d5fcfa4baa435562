"""The pushes of operators at this coordinator: their pieces as they arrive, their drafts in the log, their outcomes.

Each push has one task, which drafts the rules on the active version and proposes the pieces, again where another
version became active meanwhile. The owner of the tasks is the settings service. Large versions are built in slices in
the event loop: a thread that computes holds the interpreter for 5 ms at a time.
"""

from __future__ import annotations

import asyncio
import base64
import binascii
from collections.abc import Awaitable, Callable, Coroutine
from concurrent.futures import Executor
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Protocol

from frostspindle.settings.history_event import EventKind, HistoryEvent
from frostspindle.settings.log_commands import DraftPiece, encode_command
from frostspindle.settings.member_decisions import MemberDecisions
from frostspindle.settings.schema import InvalidSettingsError, Rules
from frostspindle.settings.slices import SLICE_ENTRIES, SlicedWork, T
from frostspindle.settings.state_machine import OK
from frostspindle.settings.validation import validate_in_slices
from frostspindle.settings.version_encoding import (
    MAX_PACKED_BYTES,
    PIECE_BYTES,
    pack_changes,
    split_into_pieces,
    unpack_changes_in_slices,
)
from frostspindle.settings.versions import Version, diff_rules
from frostspindle.store.base import SUM

PUSH_TIMEOUT_S = 15.0
PROPOSE_TIMEOUT_S = 2.0
WAIT_INTERVAL_S = 0.05  # between two looks at whether a draft may begin
RETRY_INTERVAL_S = 0.2  # between two proposals of a piece
MAX_PUSHES = 4  # under way
MAX_REMEMBERED_PUSHES = 32
MAX_NAME_LENGTH = 64
MAX_CALL_PIECES = 1 + MAX_PACKED_BYTES // 32_768


class PushState(StrEnum):
    """The state of a push until it is a version; then it is the kind of the version's last event."""

    RECEIVING = "coming"
    DRAFTED = "drafted"
    UNCERTAIN = "uncertain"  # no outcome in time


class PendingPush:
    """One push: its pieces as they arrive, and its outcome."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.piece_count: int = 0
        self.state: str = PushState.RECEIVING  # a PushState or EventKind
        self.version: int = 0
        self.reason: str = ""
        self.draft: str = ""  # key of the draft
        self.settled = asyncio.Event()  # the publisher took the draft or turned it down

    def set_outcome(self, state: str, reason: str = "", version: int | None = None) -> None:
        """Set state and reason, and the version if it is known now."""
        self.state = state
        self.reason = reason
        if version is not None:
            self.version = version

    def report(self) -> dict[str, Any]:
        """Return state, version and reason for the operators' port."""
        return {"state": str(self.state), "version": self.version, "why": self.reason}


@dataclass(slots=True, frozen=True)
class _DraftContent:
    """What a draft's pieces say; see log_commands.DraftPiece."""

    base_version: int
    digest: bytes
    target_version: int
    pieces: list[bytes]


MakeContent = Callable[[Version], Awaitable[_DraftContent]]  # on the active version


class PushEnvironment(Protocol):
    """What the pushes need of the settings service."""

    member: MemberDecisions
    executor: Executor

    def now(self) -> float:
        """Return ms of the service's clock."""

    async def propose(self, command: bytes, timeout_s: float) -> bytes | None:
        """Propose a command and return its result, None without one in time."""

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run work in a task that the service cancels at its end."""

    def count(self, event: str) -> None:
        """Count an event."""


async def _run_in_event_loop(work: SlicedWork[T]) -> T:
    """Run one slice in each iteration of the event loop."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            result: T = end.value
            return result
        await asyncio.sleep(0)


class PushService:
    """All pushes made at this coordinator; runs in the event loop's thread."""

    def __init__(self, environment: PushEnvironment) -> None:
        self._environment: PushEnvironment = environment
        self._member: MemberDecisions = environment.member
        self._machine = environment.member.machine
        self.pushes: dict[str, PendingPush] = {}  # by the name that the operator gave
        self._last_draft: int = 0

    # Calls.

    def receive_piece(self, name: str, position: str, data: str) -> dict[str, Any]:
        """Take one piece of a push, position `INDEX/COUNT`, base64 of packed rules; return the push's state.

        The last piece has the rules read, checked and drafted. InvalidSettingsError for a bad position, a gap, or too
        many pushes under way.
        """
        index, count = self._parse_position(name, position)
        push = self.pushes.get(name)
        if push is None or index == 0:
            push = self._begin(name, count)
        if index != len(push.pieces) or count != push.piece_count:
            raise InvalidSettingsError(f"gap: piece {len(push.pieces)} of {push.piece_count} is next")
        try:
            push.pieces.append(base64.b64decode(data, validate=True))
        except (binascii.Error, ValueError):
            raise InvalidSettingsError("a piece is not base64") from None
        if len(push.pieces) == push.piece_count:
            packed = b"".join(push.pieces)
            push.pieces = []
            self._start_drafting(push, lambda active: self._content_of_packed(packed, active))
        return push.report()

    def push_rules(self, name: str, rules: Rules) -> None:
        """Push rules that are already read, such as those of this coordinator's own file."""
        push = PendingPush()
        self.pushes[name] = push
        self._start_drafting(push, lambda active: self._content_of_rules(rules, active))

    def push_rollback(self, name: str, number: int) -> dict[str, Any]:
        """Push a return to an earlier version (0: the one before the active one) under a new number.

        InvalidSettingsError if it is not kept or is the active one.
        """
        active_version = self._machine.active_version
        if number == 0:
            earlier = [version.number for version in self._machine.versions if version.number < active_version]
            if not earlier:
                raise InvalidSettingsError("there is no earlier version")
            number = earlier[-1]
        if self._machine.versions.get(number) is None or number == active_version:
            raise InvalidSettingsError(f"version {number} is not kept, or is the live one")
        push = PendingPush()
        self.pushes[name] = push

        async def content(active: Version) -> _DraftContent:
            return _DraftContent(-1, bytes(SUM), number, [b""])

        self._start_drafting(push, content)
        return push.report()

    def outcome(self, name: str) -> dict[str, Any]:
        """Return what became of a push made here; InvalidSettingsError if none of that name is remembered."""
        push = self.pushes.get(name)
        if push is None:
            raise InvalidSettingsError("no such push here")
        return push.report()

    def on_event(self, event: HistoryEvent) -> None:
        """Take note of what happened to a version, for the push that it came from."""
        is_draft_outcome = event.kind in (EventKind.PUBLISHED, EventKind.TURNED_DOWN)
        for push in self.pushes.values():
            if is_draft_outcome and push.draft and push.draft == event.author and push.state == PushState.DRAFTED:
                push.set_outcome(event.kind, event.reason, event.version)
                push.settled.set()
            elif (
                push.version
                and push.version == event.version
                and push.state in (EventKind.PUBLISHED, EventKind.ACTIVATED)
            ):
                push.set_outcome(event.kind, event.reason)

    # Receiving.

    @staticmethod
    def _parse_position(name: str, position: str) -> tuple[int, int]:
        index, _, count = position.partition("/")
        if (
            not (index.isdecimal() and count.isdecimal() and 0 <= int(index) < int(count) <= MAX_CALL_PIECES)
            or len(name) > MAX_NAME_LENGTH
        ):
            raise InvalidSettingsError(f"a push has pieces 0/N to N-1/N, N at most {MAX_CALL_PIECES}")
        return int(index), int(count)

    def _begin(self, name: str, piece_count: int) -> PendingPush:
        """Begin a push; where too many are under way, the oldest whose pieces have not all arrived is dropped."""
        receiving = [key for key, push in self.pushes.items() if push.state == PushState.RECEIVING]
        drafted = [key for key, push in self.pushes.items() if push.state == PushState.DRAFTED]
        if len(receiving) + len(drafted) >= MAX_PUSHES:
            if not receiving:
                self._environment.count("pushes_refused")
                raise InvalidSettingsError(f"full: {MAX_PUSHES} pushes are under way")
            del self.pushes[receiving[0]]
        push = PendingPush()
        push.piece_count = piece_count
        self.pushes[name] = push
        while len(self.pushes) > MAX_REMEMBERED_PUSHES:
            del self.pushes[next(iter(self.pushes))]
        return push

    # Drafting.

    async def _content_of_packed(self, packed: bytes, active: Version) -> _DraftContent:
        return await self._content_of_rules(await _run_in_event_loop(unpack_changes_in_slices(packed)), active)

    async def _content_of_rules(self, rules: Rules, active: Version) -> _DraftContent:
        """The changes that lead from the active version to these rules."""
        changes = diff_rules(active.rules, rules)
        version = await _run_in_event_loop(active.child_in_slices(active.number + 1, changes))
        await _run_in_event_loop(validate_in_slices(version.rules, version.changes))  # the active one's have passed
        if len(version.changes) <= SLICE_ENTRIES:
            packed = pack_changes(version.changes)
        else:  # most of it is compression, which releases the interpreter
            loop = asyncio.get_running_loop()
            packed = await loop.run_in_executor(self._environment.executor, pack_changes, version.changes)
        return _DraftContent(active.number, version.digest_bytes, -1, split_into_pieces(packed, PIECE_BYTES))

    def _start_drafting(self, push: PendingPush, make_content: MakeContent) -> None:
        push.state = PushState.DRAFTED
        self._environment.spawn(self._draft(push, make_content))

    async def _draft(self, push: PendingPush, make_content: MakeContent) -> None:
        """Propose the draft, again if another version became active meanwhile, until it is a version or turned down."""
        deadline = self._environment.now() + PUSH_TIMEOUT_S * 1000.0
        try:
            while self._environment.now() < deadline:
                if self._machine.pending_version or not self._member.has_renewed:
                    await asyncio.sleep(WAIT_INTERVAL_S)
                    continue
                if await self._attempt_draft(push, make_content, deadline):
                    return
                push.state = PushState.DRAFTED
            push.set_outcome(PushState.UNCERTAIN, f"no publisher took it within {PUSH_TIMEOUT_S:g} s")
        except InvalidSettingsError as error:
            push.set_outcome(EventKind.TURNED_DOWN, str(error))

    async def _attempt_draft(self, push: PendingPush, make_content: MakeContent, deadline: float) -> bool:
        """Draft once on the active version; return False if that was no longer the active one at publication."""
        active = self._machine.version(self._machine.active_version)
        content = await make_content(active)
        if content.target_version < 0 and content.digest == active.digest_bytes and active.number:
            push.set_outcome(EventKind.ACTIVATED, "these are the rules of the live version", active.number)
            return True
        if not await self._propose_pieces(push, content, deadline):
            return True
        if push.state == PushState.DRAFTED:
            with suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, deadline - self._environment.now()) / 1000.0):
                    await push.settled.wait()
        push.settled.clear()
        return not (push.state == EventKind.TURNED_DOWN and push.reason.startswith("base: "))

    async def _propose_pieces(self, push: PendingPush, content: _DraftContent, deadline: float) -> bool:
        """Propose all pieces of a draft; return False if the push is decided."""
        member = self._member
        self._last_draft += 1
        number = self._last_draft
        push.draft = f"{member.name}/{member.process}/{number}"
        push.set_outcome(PushState.DRAFTED)
        for index, data in enumerate(content.pieces):
            piece = DraftPiece(
                author=member.name,
                process=member.process,
                number=number,
                base_version=content.base_version,
                digest=content.digest,
                piece_index=index,
                piece_count=len(content.pieces),
                data=data,
                target_version=content.target_version,
            )
            result = await self._propose_until(push, encode_command(piece), deadline)
            if push.state != PushState.DRAFTED:
                return False
            if result not in (OK, b"no: repeat"):
                self._on_piece_refused(push, result)
                return False
        return True

    async def _propose_until(self, push: PendingPush, command: bytes, deadline: float) -> bytes | None:
        """Propose a piece until there is a result or the push is decided.

        One that was applied although its result did not arrive is a repeat, which changes nothing.
        """
        while True:
            result = await self._environment.propose(command, PROPOSE_TIMEOUT_S)
            if push.state != PushState.DRAFTED or result is not None or self._environment.now() >= deadline:
                return result
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _on_piece_refused(self, push: PendingPush, result: bytes | None) -> None:
        if result is None:
            push.set_outcome(PushState.UNCERTAIN, "no: the log does not answer")
            return
        push.set_outcome(EventKind.TURNED_DOWN, result.decode())
        if result.startswith(b"no: full"):
            self._environment.count("pushes_refused")
