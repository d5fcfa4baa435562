"""The replicated state machine on the log's topic "settings": versions from draft to live, and their acknowledgements.

Owns the commands and the state that is the same at all coordinators. It must never do I/O or read a clock, never raise
for a command, never take a publisher's word under a token lower than one it has seen, and never have more than one
version between the live one and the next: so at most two adjacent versions may be live.

    draft    anyone: pieces of changes to a version, or the number of one to go back to; waits for the publisher
    publish  the publisher: a draft becomes version N+1, pending: coordinators act on the meet of it and the live one
    hold     each coordinator, every quarter of the lease: renews it, acknowledges or turns down, tells figures
    live     the publisher: the pending version is the live one
    withdraw, proven, back     the publisher: pending is dropped; the live one is no more on trial; a version that
             harmed is followed by a new one with the rules of the last proven, and its digest is refused from then on
    forget, leave              a coordinator is no longer waited for
"""

from __future__ import annotations

import math
import zlib
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

import msgspec
from msgspec import Struct

from frostspindle.settings import schema
from frostspindle.settings.meet import adjoining
from frostspindle.settings.schema import ENCODE, InvalidSettingsError
from frostspindle.settings.slices import Steps
from frostspindle.settings.versions import (
    EMPTY,
    KEPT,
    Version,
    VersionAssembly,
    VersionHistory,
    pack,
    unpack,
    unpacking,
)
from frostspindle.store.base import SUM

TOPIC = TASK = "settings"
MOST_MEMBERS, MOST_DRAFTS, MOST_BAD, MOST_NEWS, MOST_TEXT = 1_024, 16, 64, 64, 200
MOST_USUAL = 16  # figures of what was usual
DRAFT_BYTES = 600 << 10  # of all drafts, packed
STATE_BYTES = 3 << 20  # of the oldest version kept and the changes of all others: a snapshot has 4 MiB
MOST_STATE = 16 << 20  # bytes of a snapshot, not compressed
FORMAT = 1
LONG = 4_096  # bytes of a draft, from which on its version is made ahead
OK = b"ok"


class DraftPiece(Struct, array_like=True, tag="d", frozen=True):
    """A piece of a draft. `base`: the version that the changes are from.

    -1: there are none, the rules are those of version `to`.
    """

    by: str
    process: int
    number: int  # of the drafter's own
    base: int
    digest: bytes  # of the rules that the changes make
    at: int = 0
    of: int = 1
    data: bytes = b""
    to: int = -1

    @property
    def key(self) -> str:
        """Identifier of the draft that all its pieces share: drafter, process and number."""
        return f"{self.by}/{self.process}/{self.number}"


class PublishVersion(Struct, array_like=True, tag="p", frozen=True):
    """The publisher's command to make a whole draft the pending version; `token` is its fencing token."""

    token: int
    draft: str


class RenewLease(Struct, array_like=True, tag="h", frozen=True):
    """A coordinator's command that renews its lease. `acked`: the newest version that is checked, kept and acted on.

    `acting`: the version acted on plainly, 0 on a meet; `refused`: one that can't be taken here, and `why`; `seen`:
    figures since the process began.
    """

    name: str
    process: int
    number: int
    acked: int = 0
    acting: int = 0
    refused: int = 0
    why: str = ""
    seen: tuple[int, ...] = ()


class Activate(Struct, array_like=True, tag="l", frozen=True):
    """The publisher's command to make the pending version live. `usual`: the figures before it (harm.Usual), so that
    any later publisher can judge the version.
    """

    token: int
    version: int
    usual: tuple[float, ...] = ()


class Withdraw(Struct, array_like=True, tag="w", frozen=True):
    """The publisher's command to drop the pending version, and why."""

    token: int
    version: int
    why: str


class Confirm(Struct, array_like=True, tag="g", frozen=True):
    """The publisher's command to end the live version's trial: it is what a later rollback goes to."""

    token: int
    version: int


class Rollback(Struct, array_like=True, tag="b", frozen=True):
    """The publisher's command to roll the live version back to the proven one, because it harms."""

    token: int
    version: int
    why: str


class RemoveMember(Struct, array_like=True, tag="f", frozen=True):
    """The publisher's command to wait no more for a coordinator; refused if it has sent a hold after `number`."""

    token: int
    name: str
    process: int
    number: int  # of the last hold that was seen


class MemberLeaving(Struct, array_like=True, tag="q", frozen=True):
    """A coordinator's last command: its process acts on no version any more."""

    name: str
    process: int


Command = (
    DraftPiece | PublishVersion | RenewLease | Activate | Withdraw | Confirm | Rollback | RemoveMember | MemberLeaving
)
_IN = msgspec.msgpack.Decoder(Command)
encode = ENCODE


class HistoryEvent(Struct, array_like=True, frozen=True):
    """One event of the history; `by`: the key of the draft."""

    index: int
    what: str
    version: int
    by: str = ""
    why: str = ""


@dataclass(slots=True)
class WaitingDraft:
    """A draft, whole or not, that waits for the publisher."""

    first: DraftPiece
    pieces: VersionAssembly
    index: int


@dataclass(slots=True)
class _VersionBuild:
    """The version of a draft on a live one, as far as it is made: steps, then it and its meet with the live one, or
    what is wrong with it."""

    key: str
    live: int
    steps: Steps[tuple[Version, Any]]
    made: tuple[Version, Any] | None = None
    fault: str = ""

    @property
    def over(self) -> bool:
        return self.made is not None or bool(self.fault)

    def step(self) -> None:
        try:
            next(self.steps)
        except StopIteration as end:
            self.made = end.value
        except InvalidSettingsError as error:
            self.fault = str(error)


@dataclass(slots=True, frozen=True)
class MemberLease:
    """A coordinator's last hold, and the log entry that it was in."""

    hold: RenewLease
    index: int


class _State(Struct, array_like=True):
    """The machine as bytes. Of versions: number, parent, by, digest, bytes of its changes, and the changes from the one
    before it here, packed."""

    format: int
    token: int
    last: int
    live: int
    proven: int
    pending: int
    trial: int
    index: int
    versions: list[tuple[int, int, str, bytes, int, bytes]]
    drafts: list[tuple[DraftPiece, list[bytes], int]]
    members: list[tuple[RenewLease, int]]
    bad: list[tuple[bytes, int]]
    news: list[HistoryEvent]
    usual: tuple[float, ...] = ()


@dataclass(slots=True)
class SettingsStateMachine:
    """The replicated state machine; see replica.base.Machine. Others only read its fields, but for `heard`."""

    token: int = 0  # the highest seen
    last: int = 0  # the number of the newest version ever
    live: int = 0
    proven: int = 0  # the newest that was live and stood its trial: where a version that harms is rolled back to
    pending: int = 0
    trial: int = 0  # the entry that made the live version live; 0: it is proven
    usual: tuple[float, ...] = ()  # what was usual before the live version
    history: VersionHistory = field(default_factory=lambda: VersionHistory(KEPT))
    drafts: dict[str, WaitingDraft] = field(default_factory=dict)
    members: dict[str, MemberLease] = field(default_factory=dict)
    bad: dict[bytes, int] = field(default_factory=dict)  # digests of versions that harmed, and their numbers
    news: list[HistoryEvent] = field(default_factory=list)
    counts: Counter[str] = field(default_factory=Counter)
    index: int = 0
    heard: dict[str, None] = field(default_factory=dict)  # coordinators with word that the publisher has not looked at
    met: tuple[int, int, Any] = (0, 0, None)  # two adjacent versions and their meet, where it was made beforehand
    _making: _VersionBuild | None = field(default=None, init=False, compare=False)

    # What is read.

    def version(self, number: int) -> Version:
        """Return a version that is still needed (live, pending or proven); such ones are always kept."""
        found = self.history.get(number)
        assert found is not None, f"version {number} is gone"
        return found

    @property
    def open(self) -> tuple[int, ...]:
        """Numbers of the versions that may be live now or become so without another publication: proven, live and
        pending.
        """
        return tuple(sorted({self.proven, self.live, self.pending or self.live}))

    def draft(self) -> WaitingDraft | None:
        """Return the first draft whose pieces are all here, None if there is none."""
        return next((waiting for waiting in self.drafts.values() if waiting.pieces.whole), None)

    # Ahead of the log: what a publication will need, in slices. It changes nothing but how long that takes.

    @property
    def unmade(self) -> bool:
        """Whether the first whole draft is a long one, of which there is more to make."""
        waiting = self.draft()
        return (
            waiting is not None
            and not self.pending
            and waiting.pieces.size > LONG
            and waiting.first.to < 0  # history may move on until then
            and not self._of(waiting).over
        )

    def make(self) -> None:
        """Make one more slice of the first whole draft's version, ahead of its publication."""
        if (waiting := self.draft()) is not None:
            self._of(waiting).step()

    def _of(self, waiting: WaitingDraft) -> _VersionBuild:
        making = self._making
        if making is None or (making.key, making.live) != (waiting.first.key, self.live):
            making = self._making = _VersionBuild(waiting.first.key, self.live, self._steps(waiting))
        return making

    # The log's side.

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command; return "ok", "ok N" with a version's number, or "no: why". Never raises for a command."""
        if index <= self.index:
            return self._no("old")
        self.index = index
        try:
            word = _IN.decode(command)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            return self._no("unreadable")
        try:
            return _DOES[type(word)](self, index, word)
        except InvalidSettingsError as error:
            return self._no("bad", str(error))

    def _no(self, what: str, why: str = "") -> bytes:
        self.counts[what] += 1
        return f"no: {why or what}"[:MOST_TEXT].encode()

    def _fenced(self, token: int) -> bool:
        """Whether a publisher may speak; its token is the highest from then on."""
        if not self.token <= token < 1 << 63 or token <= 0:
            return False
        self.token = token
        return True

    def _tell(self, index: int, what: str, version: int, by: str = "", why: str = "") -> None:
        self.news.append(HistoryEvent(index, what, version, by, why[:MOST_TEXT]))
        del self.news[:-MOST_NEWS]

    def _draft(self, index: int, word: DraftPiece) -> bytes:
        waiting = self.drafts.get(word.key)
        if len(word.by) > 64 or len(word.key) > 110 or len(word.digest) != SUM:
            return self._no("bounds")
        if waiting is None:
            if word.at:
                return self._no("gap", "gap 0")
            mine = [key for key, other in self.drafts.items() if other.first.by == word.by]
            if any(
                not self.drafts[key].pieces.whole and self.drafts[key].first.process <= word.process for key in mine
            ):  # one that its drafter gave up
                for key in mine:
                    if not self.drafts[key].pieces.whole:
                        del self.drafts[key]
            if len(self.drafts) >= MOST_DRAFTS or self._waiting() + len(word.data) > DRAFT_BYTES:
                return self._no("full", f"full: {len(self.drafts)} drafts wait")
            waiting = WaitingDraft(word, VersionAssembly(word.of), index)
        elif (word.base, word.digest, word.to) != (waiting.first.base, waiting.first.digest, waiting.first.to):
            return self._no("other", "another draft of that number")
        elif self._waiting() + len(word.data) > DRAFT_BYTES:
            return self._no("full", "full: drafts wait")
        if why := waiting.pieces.add(word.at, word.of, word.data):
            return self._no(why.partition(" ")[0], why)
        self.drafts[word.key] = waiting
        return OK

    def _waiting(self) -> int:
        return sum(waiting.pieces.size for waiting in self.drafts.values())

    def _steps(self, waiting: WaitingDraft) -> Steps[tuple[Version, Any]]:
        """The version that a draft makes, and its meet with the live one."""
        draft, live = waiting.first, self.version(self.live)
        if draft.to >= 0:
            target = self.history.get(draft.to)
            if target is None:
                raise InvalidSettingsError(f"version {draft.to} is not kept any more")
            changes, digest = self.history.changes(live.number, target.number), target.sum
        else:
            if draft.base != live.number:
                raise InvalidSettingsError(f"base: drafted on version {draft.base}, the live one is {live.number}")
            changes, digest = (yield from unpacking(b"".join(waiting.pieces.pieces))), draft.digest
        version = yield from live.following(self.last + 1, changes, draft.key)
        if version.sum != digest:
            raise InvalidSettingsError("checksum: the changes don't make the rules that were drafted")
        yield from schema.checking(version.rules, version.changes)
        return version, (yield from adjoining(live.rules, version.rules, version.changes))

    def made(self, waiting: WaitingDraft, number: int) -> Version:
        """Return the version that a draft makes on the live one.

        BadSettings if it is unfit, harmful, unchanged or too large.
        """
        making, live = self._of(waiting), self.version(self.live)
        while not making.over:
            making.step()
        self._making = None
        if making.made is None:
            raise InvalidSettingsError(making.fault)
        version = replace(making.made[0], number=number)
        if version.sum in self.bad:
            raise InvalidSettingsError(
                f"harmful: these are the rules of version {self.bad[version.sum]}, which was rolled back"
            )
        if version.digest == live.digest and live.number:
            raise InvalidSettingsError("same: these are the rules of the live version")
        if version.size > schema.MOST_BYTES:
            raise InvalidSettingsError(f"entries of {version.size} bytes, at most {schema.MOST_BYTES}")
        needed = [self.version(number) for number in self.open if number]
        whole = needed[0].size + sum(kept.moved for kept in needed[1:]) + version.moved if needed else version.size
        if whole > STATE_BYTES:
            raise InvalidSettingsError(
                f"too large a change: with the versions still needed more than {STATE_BYTES} bytes"
            )
        self.met = (live.number, number, making.made[1])
        return version

    def _publish(self, index: int, word: PublishVersion) -> bytes:
        if not self._fenced(word.token):
            return self._no("stale")
        waiting = self.drafts.get(word.draft)
        if waiting is None or not waiting.pieces.whole:
            return self._no("unknown")
        if self.pending:
            return self._no("pending", f"pending {self.pending}")
        del self.drafts[word.draft]
        try:
            version = self.made(waiting, self.last + 1)
        except InvalidSettingsError as error:
            self._tell(index, "turned down", 0, word.draft, str(error))
            raise
        self._add(index, version, "published")
        return b"ok %d" % version.number

    def _add(self, index: int, version: Version, what: str, why: str = "") -> None:
        self.last = self.pending = version.number
        needed = self.open
        self.history.add(version, needed)
        kept = list(self.history)
        while kept[0].size + sum(other.moved for other in kept[1:]) > STATE_BYTES:
            gone = next((other for other in kept if other.number not in needed), None)
            if gone is None:
                break
            self.history.drop(gone.number)
            kept.remove(gone)
        self._tell(index, what, version.number, version.by, why)

    def _hold(self, index: int, word: RenewLease) -> bytes:
        known = self.members.get(word.name)
        if known is not None and (word.process, word.number) <= (known.hold.process, known.hold.number):
            return self._no("old")
        if (
            len(word.name) > 64
            or len(word.why) > MOST_TEXT
            or len(word.seen) > 64
            or any(not 0 <= figure < 1 << 62 for figure in word.seen)
        ):
            return self._no("bounds")
        if known is None and len(self.members) >= MOST_MEMBERS:
            return self._no("full", f"full: {MOST_MEMBERS} coordinators hold leases")
        self.members[word.name] = MemberLease(word, index)
        self.heard[word.name] = None
        return OK

    def _live(self, index: int, word: Activate) -> bytes:
        if not self._fenced(word.token):
            return self._no("stale")
        if word.version != self.pending or not self.pending:
            return self._no("not pending")
        if len(word.usual) > MOST_USUAL or not all(0.0 <= figure < math.inf for figure in word.usual):
            return self._no("bounds")
        self.live, self.pending, self.trial, self.usual = word.version, 0, index, word.usual
        self._tell(index, "live", self.live)
        return OK

    def _withdraw(self, index: int, word: Withdraw) -> bytes:
        if not self._fenced(word.token):
            return self._no("stale")
        if word.version != self.pending or not self.pending:
            return self._no("not pending")
        self.pending = 0
        self.history.drop(word.version)
        self._tell(index, "withdrawn", word.version, why=word.why)
        return OK

    def _proven(self, index: int, word: Confirm) -> bytes:
        if not self._fenced(word.token):
            return self._no("stale")
        if word.version != self.live or not self.trial:
            return self._no("not on trial")
        self.proven, self.trial = word.version, 0
        self._tell(index, "proven", word.version)
        return OK

    def _back(self, index: int, word: Rollback) -> bytes:
        if not self._fenced(word.token):
            return self._no("stale")
        if word.version != self.live or self.pending or not self.trial or self.proven == self.live:
            return self._no("not on trial")
        live, good = self.version(self.live), self.version(self.proven)
        if live.digest == good.digest:
            return self._no("same", "its rules are the proven ones: there is nothing to go back to")
        self.bad[live.sum] = live.number
        while len(self.bad) > MOST_BAD:
            del self.bad[next(iter(self.bad))]
        changes = self.history.changes(live.number, good.number)
        self._add(index, live.next(self.last + 1, changes), "rolled back", word.why)
        return b"ok %d" % self.pending

    def _forget(self, index: int, word: RemoveMember) -> bytes:
        if not self._fenced(word.token):
            return self._no("stale")
        known = self.members.get(word.name)
        if known is None or (known.hold.process, known.hold.number) != (word.process, word.number):
            return self._no("heard since")
        del self.members[word.name]
        self.heard[word.name] = None
        return OK

    def _leave(self, index: int, word: MemberLeaving) -> bytes:
        known = self.members.get(word.name)
        if known is None or known.hold.process != word.process:
            return self._no("unknown")
        del self.members[word.name]
        self.heard[word.name] = None
        return OK

    # Snapshots.

    def state(self) -> bytes:
        """Return a compressed snapshot of the machine; `restore` reads it.

        Holds the history as changes between its versions, drafts, members, refused digests and news. Counters and
        versions that are being prepared are left out.
        """
        rows, before = [], EMPTY
        for version in self.history:
            same = version.parent == before.number and before is not EMPTY
            changes = version.changes if same else self.history.changes(before.number, version.number)
            rows.append(
                (version.number, version.parent if same else -1, version.by, version.sum, version.moved, pack(changes))
            )
            before = version
        return zlib.compress(
            ENCODE(
                _State(
                    FORMAT,
                    self.token,
                    self.last,
                    self.live,
                    self.proven,
                    self.pending,
                    self.trial,
                    self.index,
                    rows,
                    [(w.first, w.pieces.pieces, w.index) for w in self.drafts.values()],
                    [(m.hold, m.index) for m in self.members.values()],
                    list(self.bad.items()),
                    self.news,
                    self.usual,
                )
            ),
            1,
        )

    def restore(self, index: int, state: bytes) -> None:
        """Replace the state by a snapshot; ValueError if it can't be read, and nothing was changed."""
        try:
            stream = zlib.decompressobj()
            data = stream.decompress(state, MOST_STATE)
            if not stream.eof:
                raise ValueError("a state that is too long or cut short")
            told = _STATE(data)
        except (zlib.error, msgspec.MsgspecError) as error:
            raise ValueError(f"settings: {error}") from None
        history, before = VersionHistory(KEPT), EMPTY
        for number, parent, by, digest, moved, packed in told.versions:
            made = before.next(number, unpack(packed, MOST_STATE), by)
            if made.sum != digest or number <= before.number:
                raise ValueError(f"settings: the checksum of version {number} does not hold")
            if parent < 0:  # what led to it is gone: there is no version -1, so differences are walked
                made = replace(made, parent=-1, changes={})
            before = replace(made, moved=moved)
            history.add(before)
        if told.format != FORMAT or any(history.get(n) is None for n in (told.live, told.proven, told.pending)):
            raise ValueError("settings: another format, or versions are missing")
        self.token, self.last, self.live, self.proven = told.token, told.last, told.live, told.proven
        self._making, self.met = None, (0, 0, None)
        self.pending, self.trial, self.index = told.pending, told.trial, max(index, told.index)
        self.history, self.bad, self.news, self.usual = history, dict(told.bad), told.news, told.usual
        self.drafts = {
            first.key: WaitingDraft(first, VersionAssembly(first.of, pieces), at) for first, pieces, at in told.drafts
        }
        self.heard.update(dict.fromkeys(self.members))
        self.heard.update({hold.name: None for hold, _ in told.members})
        self.members = {hold.name: MemberLease(hold, at) for hold, at in told.members}


_STATE = msgspec.msgpack.Decoder(_State).decode
_DOES: dict[type, Any] = {
    DraftPiece: SettingsStateMachine._draft,
    PublishVersion: SettingsStateMachine._publish,
    RenewLease: SettingsStateMachine._hold,
    Activate: SettingsStateMachine._live,
    Withdraw: SettingsStateMachine._withdraw,
    Confirm: SettingsStateMachine._proven,
    Rollback: SettingsStateMachine._back,
    RemoveMember: SettingsStateMachine._forget,
    MemberLeaving: SettingsStateMachine._leave,
}


def read(command: bytes) -> Command | None:
    """Decode a command of the log; None if it can't be read."""
    try:
        return _IN.decode(command)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        return None
