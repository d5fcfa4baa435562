"""Operators' pushes to this coordinator: receives their pieces, proposes their drafts and reports their outcomes.

Each push has one task, run by the settings service. It drafts the rules on the active version and proposes the pieces,
and starts again if another version became active meanwhile. Large versions are built in slices in the event loop, as a
computing thread would hold the interpreter lock for 5 ms at a time.
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
WAIT_INTERVAL_S = 0.05  # between two checks of whether drafting can start
RETRY_INTERVAL_S = 0.2  # between two proposals of a piece
MAX_PUSHES = 4  # in progress
MAX_REMEMBERED_PUSHES = 32
MAX_NAME_LENGTH = 64
MAX_CALL_PIECES = 1 + MAX_PACKED_BYTES // 32_768


class PushState(StrEnum):
    """States of a push before it is a version; after that its state is the kind of the version's last event."""

    RECEIVING = "coming"
    DRAFTED = "drafted"
    UNCERTAIN = "uncertain"  # no outcome within the time limit


class PendingPush:
    """One push: the pieces received so far, and its outcome."""

    def __init__(self) -> None:
        self.pieces: list[bytes] = []
        self.piece_count: int = 0
        self.state: str = PushState.RECEIVING  # a PushState or EventKind
        self.version: int = 0
        self.reason: str = ""
        self.draft: str = ""  # key of the draft
        self.settled = asyncio.Event()  # the publisher has accepted or rejected the draft

    def set_outcome(self, state: str, reason: str = "", version: int | None = None) -> None:
        """Set the state and the reason, and the version if given."""
        self.state = state
        self.reason = reason
        if version is not None:
            self.version = version

    def report(self) -> dict[str, Any]:
        """Return the state, version and reason as a reply of the operators' port."""
        return {"state": str(self.state), "version": self.version, "why": self.reason}


@dataclass(slots=True, frozen=True)
class _DraftContent:
    """The content of a draft's pieces; see log_commands.DraftPiece."""

    base_version: int
    digest: bytes
    target_version: int
    pieces: list[bytes]


MakeContent = Callable[[Version], Awaitable[_DraftContent]]  # called with the active version


class PushEnvironment(Protocol):
    """The interface that pushes need from the settings service."""

    member: MemberDecisions
    executor: Executor

    def now(self) -> float:
        """Return the time of the service's clock in ms."""

    async def propose(self, command: bytes, timeout_s: float) -> bytes | None:
        """Propose a command and return its result; None if there is none in time."""

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run work in a task that the service cancels when it closes."""

    def count(self, event: str) -> None:
        """Count an event."""


async def _run_in_event_loop(work: SlicedWork[T]) -> T:
    """Run sliced work, one slice per iteration of the event loop."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            result: T = end.value
            return result
        await asyncio.sleep(0)


class PushService:
    """All pushes to this coordinator. Runs in the event loop's thread."""

    def __init__(self, environment: PushEnvironment) -> None:
        self._environment: PushEnvironment = environment
        self._member: MemberDecisions = environment.member
        self._machine = environment.member.machine
        self.pushes: dict[str, PendingPush] = {}  # by the name given by the operator
        self._last_draft: int = 0

    # Operators' calls.

    def receive_piece(self, name: str, position: str, data: str) -> dict[str, Any]:
        """Receive one piece of a push and return the push's state.

        `position` is `INDEX/COUNT`, `data` the base64 encoding of packed rules. The last piece starts the decoding,
        validation and drafting of the rules. Raise InvalidSettingsError for an invalid position, a missing piece or too
        many pushes in progress.
        """
        index, count = self._parse_position(name, position)
        push = self.pushes.get(name)
        if push is None or index == 0:
            push = self._start_push(name, count)
        if index != len(push.pieces) or count != push.piece_count:
            raise InvalidSettingsError(f"gap: piece {len(push.pieces)} of {push.piece_count} is next")
        try:
            push.pieces.append(base64.b64decode(data, validate=True))
        except (binascii.Error, ValueError):
            raise InvalidSettingsError("a piece is not valid base64") from None
        if len(push.pieces) == push.piece_count:
            packed = b"".join(push.pieces)
            push.pieces = []
            self._start_drafting(push, lambda active: self._content_of_packed(packed, active))
        return push.report()

    def push_rules(self, name: str, rules: Rules) -> None:
        """Push rules that are already parsed, such as those of the local settings file."""
        push = PendingPush()
        self.pushes[name] = push
        self._start_drafting(push, lambda active: self._content_of_rules(rules, active))

    def push_rollback(self, name: str, number: int) -> dict[str, Any]:
        """Push the rules of an earlier version (0: the one before the active one) as a new version.

        Raise InvalidSettingsError if the version is not in the history or is the active one.
        """
        active_version = self._machine.active_version
        if number == 0:
            earlier = [version.number for version in self._machine.versions if version.number < active_version]
            if not earlier:
                raise InvalidSettingsError("there is no earlier version")
            number = earlier[-1]
        if self._machine.versions.get(number) is None or number == active_version:
            raise InvalidSettingsError(f"version {number} is not in the history, or is the live version")
        push = PendingPush()
        self.pushes[name] = push

        async def content(active: Version) -> _DraftContent:
            return _DraftContent(-1, bytes(SUM), number, [b""])

        self._start_drafting(push, content)
        return push.report()

    def outcome(self, name: str) -> dict[str, Any]:
        """Return the outcome of a push to this coordinator. Raise InvalidSettingsError if the name is unknown."""
        push = self.pushes.get(name)
        if push is None:
            raise InvalidSettingsError("this coordinator has no push with that name")
        return push.report()

    def on_event(self, event: HistoryEvent) -> None:
        """Update the push that an event's draft or version came from."""
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

    def _start_push(self, name: str, piece_count: int) -> PendingPush:
        """Start a push; if too many are in progress, drop the oldest one that is still receiving pieces."""
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
        """Return the draft that changes the active version to these rules."""
        changes = diff_rules(active.rules, rules)
        version = await _run_in_event_loop(active.child_in_slices(active.number + 1, changes))
        await _run_in_event_loop(validate_in_slices(version.rules, version.changes))  # the active one is valid
        if len(version.changes) <= SLICE_ENTRIES:
            packed = pack_changes(version.changes)
        else:  # mostly compression, which releases the interpreter lock
            loop = asyncio.get_running_loop()
            packed = await loop.run_in_executor(self._environment.executor, pack_changes, version.changes)
        return _DraftContent(active.number, version.digest_bytes, -1, split_into_pieces(packed, PIECE_BYTES))

    def _start_drafting(self, push: PendingPush, make_content: MakeContent) -> None:
        push.state = PushState.DRAFTED
        self._environment.spawn(self._draft(push, make_content))

    async def _draft(self, push: PendingPush, make_content: MakeContent) -> None:
        """Draft and propose until it is a version or rejected, again if another version became active meanwhile."""
        deadline = self._environment.now() + PUSH_TIMEOUT_S * 1000.0
        try:
            while self._environment.now() < deadline:
                if self._machine.pending_version or not self._member.has_renewed:
                    await asyncio.sleep(WAIT_INTERVAL_S)
                    continue
                if await self._attempt_draft(push, make_content, deadline):
                    return
                push.state = PushState.DRAFTED
            push.set_outcome(PushState.UNCERTAIN, f"no publisher accepted the draft within {PUSH_TIMEOUT_S:g} s")
        except InvalidSettingsError as error:
            push.set_outcome(EventKind.TURNED_DOWN, str(error))

    async def _attempt_draft(self, push: PendingPush, make_content: MakeContent, deadline: float) -> bool:
        """Draft once on the active version; return False if another version was active at publication."""
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
        """Propose all pieces of a draft; return False if the outcome of the push is already known."""
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
        """Propose a piece until there is a result or the push has an outcome.

        Proposing a piece again that was applied, but whose result was lost, is safe: the repeat has no effect.
        """
        while True:
            result = await self._environment.propose(command, PROPOSE_TIMEOUT_S)
            if push.state != PushState.DRAFTED or result is not None or self._environment.now() >= deadline:
                return result
            await asyncio.sleep(RETRY_INTERVAL_S)

    def _on_piece_refused(self, push: PendingPush, result: bytes | None) -> None:
        if result is None:
            push.set_outcome(PushState.UNCERTAIN, "no: the log did not commit the draft in time")
            return
        push.set_outcome(EventKind.TURNED_DOWN, result.decode())
        if result.startswith(b"no: full"):
            self._environment.count("pushes_refused")
