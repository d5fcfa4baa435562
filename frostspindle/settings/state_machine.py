"""The replicated state machine on the log's topic "settings": the life cycle of versions, and the members' leases.

No I/O, no clock; a command never raises. A publisher's command is refused if its fencing token is lower than the
highest one seen. At most one version is pending at a time, so at most two adjacent versions are active at coordinators
at once.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from frostspindle.settings import drafts as draft_queue
from frostspindle.settings.drafts import CommandRefusedError, Drafts, WaitingDraft
from frostspindle.settings.history_event import EventKind, HistoryEvent
from frostspindle.settings.intersection import NO_RULES, Table
from frostspindle.settings.log_commands import (
    Activate,
    Command,
    Confirm,
    DraftPiece,
    MemberLeaving,
    PublishVersion,
    RemoveMember,
    RenewLease,
    Rollback,
    Withdraw,
    decode_command,
)
from frostspindle.settings.schema import InvalidSettingsError
from frostspindle.settings.snapshot import (
    FORMAT_VERSION,
    Snapshot,
    decode_snapshot,
    decode_versions,
    encode_snapshot,
    encode_versions,
)
from frostspindle.settings.version_build import (
    MAX_HISTORY_BYTES,
    VersionBuild,
    build_in_slices,
    check_publishable,
    history_bytes,
)
from frostspindle.settings.version_encoding import VersionAssembly
from frostspindle.settings.versions import HISTORY_CAPACITY, Version, VersionHistory

OK = b"ok"
MAX_MEMBERS = 1_024
MAX_NAME_LENGTH = 64
MAX_REASON_LENGTH = 200
MAX_ROLLED_BACK = 64
MAX_EVENTS = 64
MAX_BASELINE_FIGURES = 16
MAX_MEMBER_FIGURES = 64
MAX_MEMBER_FIGURE = 1 << 62
MAX_TOKEN = 1 << 63
MIN_PREBUILT_BYTES = 4_096  # larger drafts are built before their publication


@dataclass(slots=True, frozen=True)
class MemberLease:
    """A coordinator's last renewal and its log index."""

    renewal: RenewLease
    index: int


class PreparedIntersection(NamedTuple):
    """The intersection of two adjacent versions, computed when the second one was built."""

    parent: int
    child: int
    rules: Table


NOT_PREPARED = PreparedIntersection(0, 0, NO_RULES)


@dataclass(slots=True)
class SettingsStateMachine:
    """The replicated state machine; see replica.base.StateMachine.

    Other modules only read it, except that the publisher's decisions clear `updated_members`.
    """

    highest_token: int = 0
    last_version: int = 0
    active_version: int = 0
    confirmed_version: int = 0  # the newest version that passed its trial; rollbacks return to it
    pending_version: int = 0
    trial_index: int = 0  # log index of the activation of the active version; 0: it is not on trial
    baseline: tuple[float, ...] = ()  # the figures before the activation of the active version
    versions: VersionHistory = field(default_factory=lambda: VersionHistory(HISTORY_CAPACITY))
    drafts: Drafts = field(default_factory=dict)
    members: dict[str, MemberLease] = field(default_factory=dict)
    rolled_back_digests: dict[bytes, int] = field(default_factory=dict)  # digest to version number
    events: list[HistoryEvent] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)  # refused commands by reason
    applied_index: int = 0
    updated_members: dict[str, None] = field(default_factory=dict)  # ordered set, cleared by the publisher's decisions
    prepared_intersection: PreparedIntersection = NOT_PREPARED
    _build: VersionBuild | None = field(default=None, init=False, compare=False)

    # Queries.

    def version(self, number: int) -> Version:
        """Return a version that is always in the history: the active, pending or confirmed one."""
        version = self.versions.get(number)
        assert version is not None, f"version {number} is not in the history"
        return version

    @property
    def candidate_versions(self) -> tuple[int, ...]:
        """Numbers of the versions that are active or can become so without another publication."""
        return tuple(sorted({self.confirmed_version, self.active_version, self.pending_version or self.active_version}))

    def first_complete_draft(self) -> WaitingDraft | None:
        """Return the oldest complete draft, None if there is none."""
        return draft_queue.first_complete(self.drafts)

    # Prebuilding of drafts: it only shortens their publication and doesn't affect its result.

    @property
    def has_unbuilt_draft(self) -> bool:
        """Whether the oldest complete draft is large and its build has not finished."""
        draft = self.first_complete_draft()
        return (
            draft is not None
            and not self.pending_version
            and draft.assembly.size > MIN_PREBUILT_BYTES
            and draft.first_piece.target_version < 0  # the target may be removed from the history before
            and not self._build_of(draft).is_finished
        )

    def build_slice(self) -> None:
        """Run one more slice of the build of the oldest complete draft."""
        draft = self.first_complete_draft()
        if draft is not None:
            self._build_of(draft).run_slice()

    def _build_of(self, draft: WaitingDraft) -> VersionBuild:
        key = draft.first_piece.key
        build = self._build
        if build is None or build.draft != key or build.active_version != self.active_version:
            active = self.version(self.active_version)
            work = build_in_slices(draft, active, self.versions, self.last_version + 1)
            build = VersionBuild(key, self.active_version, work)
            self._build = build
        return build

    # Commands.

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and return "ok", "ok NUMBER" with a version's number, or "no: REASON". Never raises."""
        if index <= self.applied_index:
            return self._refusal("old")
        self.applied_index = index
        decoded = decode_command(command)
        if decoded is None:
            return self._refusal("unreadable")
        try:
            return self._apply_command(index, decoded)
        except CommandRefusedError as error:
            return self._refusal(error.counter, error.reason)
        except InvalidSettingsError as error:
            return self._refusal("bad", str(error))

    def _apply_command(self, index: int, command: Command) -> bytes:
        match command:
            case DraftPiece():
                draft_queue.add_piece(self.drafts, index, command)
                return OK
            case PublishVersion():
                return self._publish(index, command)
            case RenewLease():
                return self._renew(index, command)
            case Activate():
                return self._activate(index, command)
            case Withdraw():
                return self._withdraw(index, command)
            case Confirm():
                return self._confirm(index, command)
            case Rollback():
                return self._roll_back(index, command)
            case RemoveMember():
                return self._remove_member(command)
            case MemberLeaving():
                return self._leave(command)

    def _refusal(self, counter: str, reason: str = "") -> bytes:
        self.counts[counter] += 1
        return f"no: {reason or counter}"[:MAX_REASON_LENGTH].encode()

    def _check_token(self, token: int) -> None:
        """Check a publisher's fencing token and record it as the highest one."""
        if not self.highest_token <= token < MAX_TOKEN or token <= 0:
            raise CommandRefusedError("stale")
        self.highest_token = token

    def _check_pending(self, version: int) -> None:
        if version != self.pending_version or not self.pending_version:
            raise CommandRefusedError("not pending")

    def _add_event(self, index: int, kind: EventKind, version: int, author: str = "", reason: str = "") -> None:
        self.events.append(HistoryEvent(index, kind.value, version, author, reason[:MAX_REASON_LENGTH]))
        del self.events[:-MAX_EVENTS]

    # Versions.

    def _publish(self, index: int, command: PublishVersion) -> bytes:
        self._check_token(command.token)
        draft = self.drafts.get(command.draft)
        if draft is None or not draft.assembly.is_complete:
            raise CommandRefusedError("unknown")
        if self.pending_version:
            raise CommandRefusedError("pending", f"pending {self.pending_version}")
        del self.drafts[command.draft]
        try:
            version = self._build_version(draft, self.last_version + 1)
        except InvalidSettingsError as error:
            self._add_event(index, EventKind.TURNED_DOWN, 0, command.draft, str(error))
            raise
        self._add_version(index, version, EventKind.PUBLISHED)
        return b"ok %d" % version.number

    def _build_version(self, draft: WaitingDraft, number: int) -> Version:
        """Return the version that a draft makes. Raise InvalidSettingsError if it must not be published."""
        build = self._build_of(draft)
        self._build = None
        built = build.run_to_end()
        version = replace(built.version, number=number)
        active = self.version(self.active_version)
        needed = [self.version(candidate) for candidate in self.candidate_versions if candidate]
        check_publishable(version, active, self.rolled_back_digests, needed)
        self.prepared_intersection = PreparedIntersection(active.number, number, built.intersection)
        return version

    def _add_version(self, index: int, version: Version, kind: EventKind, reason: str = "") -> None:
        """Make a version the pending one and remove old versions until the history fits into a snapshot."""
        self.last_version = version.number
        self.pending_version = version.number
        needed = self.candidate_versions
        self.versions.add(version, needed)
        remaining = list(self.versions)
        while history_bytes(remaining) > MAX_HISTORY_BYTES:
            removable = next((other for other in remaining if other.number not in needed), None)
            if removable is None:
                break
            self.versions.remove(removable.number)
            remaining.remove(removable)
        self._add_event(index, kind, version.number, version.author, reason)

    def _activate(self, index: int, command: Activate) -> bytes:
        self._check_token(command.token)
        self._check_pending(command.version)
        if len(command.baseline) > MAX_BASELINE_FIGURES or not all(
            0.0 <= figure < math.inf for figure in command.baseline
        ):
            raise CommandRefusedError("bounds")
        self.active_version = command.version
        self.pending_version = 0
        self.trial_index = index
        self.baseline = command.baseline
        self._add_event(index, EventKind.ACTIVATED, self.active_version)
        return OK

    def _withdraw(self, index: int, command: Withdraw) -> bytes:
        self._check_token(command.token)
        self._check_pending(command.version)
        self.pending_version = 0
        self.versions.remove(command.version)
        self._add_event(index, EventKind.WITHDRAWN, command.version, reason=command.reason)
        return OK

    def _confirm(self, index: int, command: Confirm) -> bytes:
        self._check_token(command.token)
        if command.version != self.active_version or not self.trial_index:
            raise CommandRefusedError("not on trial")
        self.confirmed_version = command.version
        self.trial_index = 0
        self._add_event(index, EventKind.CONFIRMED, command.version)
        return OK

    def _roll_back(self, index: int, command: Rollback) -> bytes:
        self._check_token(command.token)
        if (
            command.version != self.active_version
            or self.pending_version
            or not self.trial_index
            or self.confirmed_version == self.active_version
        ):
            raise CommandRefusedError("not on trial")
        active = self.version(self.active_version)
        confirmed = self.version(self.confirmed_version)
        if active.digest == confirmed.digest:
            raise CommandRefusedError("same", "its rules are the proven ones: there is nothing to go back to")
        self.rolled_back_digests[active.digest_bytes] = active.number
        while len(self.rolled_back_digests) > MAX_ROLLED_BACK:
            del self.rolled_back_digests[next(iter(self.rolled_back_digests))]
        changes = self.versions.changes_between(active.number, confirmed.number)
        version = active.child(self.last_version + 1, changes)
        self._add_version(index, version, EventKind.ROLLED_BACK, command.reason)
        return b"ok %d" % self.pending_version

    # Members.

    def _renew(self, index: int, renewal: RenewLease) -> bytes:
        member = self.members.get(renewal.name)
        if member is not None:
            previous = member.renewal
            if (renewal.process, renewal.number) <= (previous.process, previous.number):
                raise CommandRefusedError("old")
        if (
            len(renewal.name) > MAX_NAME_LENGTH
            or len(renewal.reason) > MAX_REASON_LENGTH
            or len(renewal.figures) > MAX_MEMBER_FIGURES
            or any(not 0 <= figure < MAX_MEMBER_FIGURE for figure in renewal.figures)
        ):
            raise CommandRefusedError("bounds")
        if member is None and len(self.members) >= MAX_MEMBERS:
            raise CommandRefusedError("full", f"full: {MAX_MEMBERS} coordinators hold leases")
        self.members[renewal.name] = MemberLease(renewal, index)
        self.updated_members[renewal.name] = None
        return OK

    def _remove_member(self, command: RemoveMember) -> bytes:
        self._check_token(command.token)
        member = self.members.get(command.name)
        if member is None or (member.renewal.process, member.renewal.number) != (command.process, command.number):
            raise CommandRefusedError("heard since")
        self._delete_member(command.name)
        return OK

    def _leave(self, command: MemberLeaving) -> bytes:
        member = self.members.get(command.name)
        if member is None or member.renewal.process != command.process:
            raise CommandRefusedError("unknown")
        self._delete_member(command.name)
        return OK

    def _delete_member(self, name: str) -> None:
        del self.members[name]
        self.updated_members[name] = None

    # Snapshots.

    def state(self) -> bytes:
        """Return a compressed snapshot of the machine for `restore`."""
        return encode_snapshot(
            Snapshot(
                format=FORMAT_VERSION,
                highest_token=self.highest_token,
                last_version=self.last_version,
                active_version=self.active_version,
                confirmed_version=self.confirmed_version,
                pending_version=self.pending_version,
                trial_index=self.trial_index,
                applied_index=self.applied_index,
                versions=encode_versions(self.versions),
                drafts=[(draft.first_piece, draft.assembly.pieces, draft.index) for draft in self.drafts.values()],
                members=[(member.renewal, member.index) for member in self.members.values()],
                rolled_back_digests=list(self.rolled_back_digests.items()),
                events=self.events,
                baseline=self.baseline,
            )
        )

    def restore(self, index: int, state: bytes) -> None:
        """Replace the state with a snapshot. Raise ValueError, without changing anything, if it is malformed."""
        snapshot = decode_snapshot(state)
        versions = decode_versions(snapshot.versions)
        needed = (snapshot.active_version, snapshot.confirmed_version, snapshot.pending_version)
        if snapshot.format != FORMAT_VERSION or any(versions.get(number) is None for number in needed):
            raise ValueError("settings: the snapshot has another format, or versions are missing")
        self.highest_token = snapshot.highest_token
        self.last_version = snapshot.last_version
        self.active_version = snapshot.active_version
        self.confirmed_version = snapshot.confirmed_version
        self.pending_version = snapshot.pending_version
        self.trial_index = snapshot.trial_index
        self.applied_index = max(index, snapshot.applied_index)
        self.versions = versions
        self.rolled_back_digests = dict(snapshot.rolled_back_digests)
        self.events = snapshot.events
        self.baseline = snapshot.baseline
        self.prepared_intersection = NOT_PREPARED
        self._build = None
        self.drafts = {
            first_piece.key: WaitingDraft(first_piece, VersionAssembly(first_piece.piece_count, pieces), first_index)
            for first_piece, pieces, first_index in snapshot.drafts
        }
        self._restore_members(snapshot.members)

    def _restore_members(self, members: Iterable[tuple[RenewLease, int]]) -> None:
        previous = self.members
        self.members = {renewal.name: MemberLease(renewal, index) for renewal, index in members}
        self.updated_members.update(dict.fromkeys(previous))
        self.updated_members.update(dict.fromkeys(self.members))
