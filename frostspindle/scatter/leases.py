"""Leases on summaries, by which sites are left out, and what a load must do before and after it runs: both sides.

Owns both decision cores, without I/O and without a clock: messages and the own monotonic time in ms come in, messages
go out by `out`. It must never let two things be true at once: that a load has been answered as served, and that some
coordinator leaves its site out by a summary without that load's rows.

    A holder leaves a site out by a summary for `lease` ms of its clock from the moment it ASKED, then never again.
    The home counts the lease as over `lease` ms times (1 + drift) / (1 - drift) after it ANSWERED.
    A load's rows are told to the home BEFORE the load is sent (an intent), and the load is sent only when each holder
    has acknowledged them or its lease is over. After the load, and before its answer, the home confirms that it still
    is the process that was told: a later one knows nothing, and is told anew first.
    A holder that has acknowledged a version installs no older one, however late it comes.
    A home that starts can't know who holds what its predecessor lent: it acknowledges nothing for a whole lease. It
    knows no summary either until the site was learnt anew; an intent that stands meanwhile is in whatever is learnt.

No summary (None) says that any row may be there.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from frostspindle.predicates.summaries import Summary, SummaryError
from frostspindle.predicates.values import KINDS, MAX_TEXT, NUMBER, TEXT, moment, number, typed
from frostspindle.scatter import wire
from frostspindle.scatter.wire import Cells

AGAIN_MS = 60.0  # what is not answered is said again after this, then twice as late each time
AGAIN_MOST_MS = 1_000.0
MOST_HOLDERS = 4_096  # of one summary
MOST_STANDING = 4_096  # intents of one summary whose loads' ends are not known; the oldest go on in `sunk`
MOST_ENDED = 4_096
MOST_LOADS = 1_024  # of one coordinator, between their intent and their answer
MOST_ASKED = 8  # asks of one holder that may still be answered
TOP_MS = 600_000.0  # what may bring any row keeps its site from being learnt for so long, if its end is never told
RENEW = 0.4  # a lease is renewed when this part of it is over
UNKNOWN = 4  # kind of a value that nobody can tell
UNTYPED = object()  # which makes a summary's column unknown


@dataclass(slots=True, frozen=True)
class SummaryLeaseSettings:
    """Lease times in ms, drift and sketch size, the same at all coordinators."""

    lease_ms: float
    drift: float
    digest: int = 0
    keep_ms: float = 60_000.0
    bits: int = 4_096

    @property
    def home_lease_ms(self) -> float:
        """Time in ms after which the home counts a lease as over, by its own clock and after its answer: the lease,
        stretched by the drift of both clocks.
        """
        return self.lease_ms * (1.0 + self.drift) / (1.0 - self.drift)


class LoadIntent(NamedTuple):
    """What a load is about to insert; `cells` None: any row."""

    rows: int
    cells: Cells | None


Post = tuple[str, bytes]  # to whom, what


# Summaries and values.


def raw(cell: tuple[int, str]) -> object:
    """Return a told value as a summary takes it; UNTYPED for one that nobody can tell."""
    kind, text = cell
    if kind == 0:
        return None
    try:
        return (
            text
            if kind == TEXT and len(text) <= MAX_TEXT
            else number(text)
            if kind == NUMBER
            else moment(text)
            if kind == 3
            else UNTYPED
        )
    except ValueError:
        return UNTYPED


def widen(summary: Summary, told: LoadIntent) -> None:
    """Widen the summary by rows of known values; the row counts are then made consistent by `balance`."""
    assert told.cells is not None
    for name, cells in told.cells.items():
        if (column := summary.columns.get(name)) is not None:
            for cell in cells:
                column.widen(raw(cell))
    balance(summary, told.rows)


def balance(summary: Summary, rows: int = 0) -> None:
    """Make the counts consistent, erring to more rows: values are told once each, however many rows hold them."""
    summary.rows = max([summary.rows + rows, *(column.values + column.nulls for column in summary.columns.values())])
    for column in summary.columns.values():
        if not column.values:
            column.nulls = summary.rows
        elif column.nulls:
            column.values = summary.rows - column.nulls
        else:
            column.values = summary.rows


def covers_rows(summary: Summary, told: LoadIntent) -> bool:
    """Tell whether the summary allows for such rows already, so that no holder need be told."""
    assert told.cells is not None
    if not summary.rows:
        return False
    for name, column in summary.columns.items():
        for cell in told.cells.get(name, ()):
            value = raw(cell)
            if value is None:
                if not column.nulls:
                    return False
                continue
            if column.kind == 4:  # of several kinds: nothing is known of it
                continue
            if value is UNTYPED:
                return False
            value = typed(value)
            if (
                column.kind != KINDS[type(value)]
                or value < column.lo
                or (column.hi is not None and value > column.hi)
                or not column.has(value)
            ):
                return False
    return True


# The home's side.


@dataclass(slots=True)
class _SummaryHolder:
    """One process that may leave the site out, as its home has it."""

    ends: float
    version: int  # it leaves nothing out by an older one
    said: float = -math.inf
    wait: float = AGAIN_MS


@dataclass(slots=True)
class SummaryRecord:
    """One summary at its home, with its holders and the loads under way."""

    key: str
    columns: Sequence[str]
    rest_until: float
    summary: Summary | None = None
    version: int = 1
    data: bytes | None = None  # the summary, written
    holders: dict[tuple[str, int], _SummaryHolder] = field(default_factory=dict)
    standing: OrderedDict[tuple[str, int, int, int], tuple[LoadIntent, float]] = field(default_factory=OrderedDict)
    sunk: Summary | None = None
    ended: OrderedDict[tuple[str, int, int], None] = field(default_factory=OrderedDict)
    waits: dict[tuple[str, int, int, int], int] = field(default_factory=dict)  # intents: the version all must have
    acked: OrderedDict[tuple[str, int, int, int], None] = field(default_factory=OrderedDict)
    learning: Summary | None = None
    spoilt: bool = False  # something that may bring any row came while it was learnt
    retry_at: float = 0.0
    tops: dict[tuple[str, int, int, int], float] = field(default_factory=dict)  # intents that may bring any row


class SummaryHome:
    """The summaries that this process keeps as their home."""

    def __init__(self, epoch: int, terms: SummaryLeaseSettings, columns: dict[str, Sequence[str]], now: float) -> None:
        self.epoch, self.settings = epoch, terms
        rest = now + terms.home_lease_ms
        self.records = {key: SummaryRecord(key, names, rest) for key, names in columns.items()}
        self.outbox: list[Post] = []
        self.pushed = self.refused = 0

    def _say(self, name: str, message: wire.Message) -> None:
        self.outbox.append((name, wire.encode(message)))

    # Leases.

    def on_lease_request(self, now: float, name: str, epoch: int, ask: wire.LeaseRequest) -> None:
        """Grant or renew a holder's lease, and send it the summary unless it has the newest version.

        Not answered if the summary is unknown, at rest after a start, or has MOST_HOLDERS holders; a catalogue with
        another digest, a key that is not kept here, and too many holders are counted in `refused`. Versions that the
        holder reports as installed may settle waiting loads, also where no lease is granted.
        """
        shelf = self.records.get(ask.key)
        if shelf is None or ask.catalogue_digest != self.settings.digest:
            self.refused += 1
            return
        who = name, epoch
        holder = shelf.holders.get(who)
        if holder is not None and ask.epoch == self.epoch:
            self._has(now, shelf, holder, ask.floor)
        if shelf.summary is None or now < shelf.rest_until:
            return  # nothing to lend: who asks leaves nothing out
        if holder is None:
            if len(shelf.holders) >= MOST_HOLDERS:
                self.refused += 1
                return
            holder = shelf.holders[who] = _SummaryHolder(0.0, shelf.version)
        holder.ends = max(holder.ends, now + self.settings.home_lease_ms)
        if ask.epoch == self.epoch and ask.have == shelf.version:
            self._say(name, wire.LeaseUnchanged(ask.key, ask.seq, shelf.version))
            return
        if shelf.data is None:
            shelf.data = shelf.summary.encode()
        parts = [shelf.data[at : at + wire.PIECE] for at in range(0, len(shelf.data), wire.PIECE)]
        for at, part in enumerate(parts):
            self._say(name, wire.SummaryPiece(ask.key, ask.seq, shelf.version, at, len(parts), part))

    def on_update_acknowledged(self, now: float, name: str, epoch: int, word: wire.UpdateAcknowledged) -> None:
        """Record that a holder uses no summary older than `version`; loads that waited for that are acknowledged."""
        shelf = self.records.get(word.key)
        if shelf is not None and word.epoch == self.epoch and (holder := shelf.holders.get((name, epoch))) is not None:
            self._has(now, shelf, holder, word.version)

    def on_release_lease(self, now: float, name: str, epoch: int, word: wire.ReleaseLease) -> None:
        """Drop a holder that uses this summary no more; loads that waited for it alone are acknowledged."""
        shelf = self.records.get(word.key)
        if shelf is not None and word.epoch == self.epoch and shelf.holders.pop((name, epoch), None) is not None:
            self._settle(now, shelf)

    def _has(self, now: float, shelf: SummaryRecord, holder: _SummaryHolder, version: int) -> None:
        if version > holder.version:
            holder.version, holder.wait = min(version, shelf.version), AGAIN_MS
            self._settle(now, shelf)

    # Loads.

    def on_load_announced(self, now: float, name: str, epoch: int, word: wire.LoadAnnounced) -> None:
        """Take a load's intent: widen the summary, tell the holders, acknowledge once none uses an older version.

        A repeat of an acknowledged intent is answered at once, one that still waits is ignored. Refused, and counted,
        with MOST_STANDING intents waiting, for another catalogue, or a key that is not kept here.
        """
        shelf = self.records.get(word.key)
        if shelf is None or word.catalogue_digest != self.settings.digest:
            self.refused += 1
            return
        intent = name, epoch, word.load, word.chunk
        if intent in shelf.acked:
            self._say(name, wire.LoadPermitted(word.key, word.load, word.chunk))
            return
        if intent in shelf.waits:
            return
        if len(shelf.waits) >= MOST_STANDING:
            self.refused += 1
            return
        told = LoadIntent(word.rows, word.cells)
        shelf.standing[intent] = told, now
        if word.cells is None:
            shelf.tops[intent] = now
        if len(shelf.standing) > MOST_STANDING:
            self._sink(shelf)
        self._take(now, shelf, told)
        shelf.waits[intent] = shelf.version
        self._settle(now, shelf)

    def _sink(self, shelf: SummaryRecord) -> None:
        """The oldest intent goes on in what all others of its kind share."""
        intent, (told, _) = shelf.standing.popitem(last=False)
        shelf.tops.pop(intent, None)
        shelf.acked.pop(intent, None)
        if told.cells is not None:
            shelf.sunk = shelf.sunk or Summary(shelf.columns, self.settings.bits)
            widen(shelf.sunk, told)

    def _take(self, now: float, shelf: SummaryRecord, told: LoadIntent) -> None:
        """Rows are about to come: widen what is held, and what is being learnt."""
        if told.cells is None:
            shelf.spoilt = True
            if shelf.summary is not None:
                self._set(now, shelf, None, None)
            return
        if shelf.learning is not None:
            widen(shelf.learning, told)
        if shelf.summary is None or covers_rows(shelf.summary, told):
            return
        widen(shelf.summary, told)
        self._set(now, shelf, shelf.summary, told)

    def _set(self, now: float, shelf: SummaryRecord, summary: Summary | None, told: LoadIntent | None) -> None:
        """There is a newer version; `told`: all that it has more than the one before."""
        shelf.summary, shelf.data = summary, None
        shelf.version += 1
        for (name, _), holder in shelf.holders.items():
            if now < holder.ends:
                holder.said, holder.wait = now, AGAIN_MS
                self.pushed += 1
                self._say(
                    name,
                    wire.SummaryUpdated(
                        shelf.key, shelf.version, told.rows if told else 0, told.cells if told else None
                    ),
                )

    def on_load_ended(self, now: float, name: str, epoch: int, word: wire.LoadEnded) -> None:
        """Take the end of a load.

        If it never ran, its intents are dropped without an answer. Else answer whether this process still has all of
        them acknowledged; if not, they are forgotten, and the sender must announce the load anew before it may answer
        its client.
        """
        shelf = self.records.get(word.key)
        if shelf is None:
            return
        load = name, epoch, word.load
        if not word.ran:
            self._end(shelf, load, word.chunks)
            return
        intents = [(*load, chunk) for chunk in range(word.chunks)]
        kept = load in shelf.ended or all(one in shelf.acked for one in intents)
        if kept:
            self._end(shelf, load, word.chunks)
        else:
            for one in intents:  # to be told anew as if it had never been
                shelf.acked.pop(one, None)
        self._say(name, wire.LoadRecorded(word.key, word.load, kept))

    def _end(self, shelf: SummaryRecord, load: tuple[str, int, int], chunks: int) -> None:
        for chunk in range(chunks):
            intent = (*load, chunk)
            for table in (shelf.standing, shelf.acked, shelf.waits, shelf.tops):
                table.pop(intent, None)  # type: ignore[attr-defined]
        shelf.ended[load] = None
        if len(shelf.ended) > MOST_ENDED:
            shelf.ended.popitem(last=False)

    def _settle(self, now: float, shelf: SummaryRecord) -> None:
        """Acknowledge the intents that no lease stands against any more."""
        for who in [who for who, holder in shelf.holders.items() if now >= holder.ends]:
            del shelf.holders[who]
        if now < shelf.rest_until or not shelf.waits:
            return
        least = min((holder.version for holder in shelf.holders.values()), default=2**53)
        for intent in [intent for intent, version in shelf.waits.items() if version <= least]:
            del shelf.waits[intent]
            shelf.acked[intent] = None
            self._say(intent[0], wire.LoadPermitted(shelf.key, intent[2], intent[3]))

    # Learning a site anew.

    def keys_to_learn(self, now: float) -> list[str]:
        """Return the keys of the summaries that are unknown and may be learnt now."""
        return [
            key
            for key, shelf in self.records.items()
            if shelf.summary is None
            and shelf.learning is None
            and now >= max(shelf.rest_until, shelf.retry_at)
            and all(now - at >= TOP_MS for at in shelf.tops.values())
        ]

    def begin_learning(self, key: str) -> None:
        """Start learning a summary: what is read of the site from now on, with the loads under way and those told
        meanwhile, is the whole of it.
        """
        shelf = self.records[key]
        for intent in list(shelf.tops):  # older than TOP_MS: should its load end after all, it is told anew
            for table in (shelf.standing, shelf.acked, shelf.waits, shelf.tops):
                table.pop(intent, None)  # type: ignore[attr-defined]
        shelf.learning, shelf.spoilt = Summary(shelf.columns, self.settings.bits), False
        if shelf.sunk is not None:
            shelf.learning.merge(shelf.sunk)
        for told, _ in shelf.standing.values():
            if told.cells is not None:
                widen(shelf.learning, told)

    def finish_learning(self, now: float, key: str, told: Sequence[LoadIntent] | None, retry_ms: float) -> bool:
        """Install what was read (None: it failed).

        False: the summary stays unknown and is retried after `retry_ms`, also if a load of unknown rows came meanwhile.
        """
        shelf = self.records[key]
        made, shelf.learning = shelf.learning, None
        if told is None or made is None or shelf.spoilt:
            shelf.retry_at = now + retry_ms
            return False
        for part in told:
            widen(made, part)
        made.version = 0
        self._set(now, shelf, made, None)
        return True

    # Time.

    def tick(self, now: float) -> None:
        """End leases that are over, acknowledge loads that no lease holds up any more, and repeat the new version's
        number to holders that have not confirmed it, with backoff.
        """
        for shelf in self.records.values():
            self._settle(now, shelf)
            if not shelf.waits:
                continue
            for (name, _), holder in shelf.holders.items():
                if holder.version < shelf.version and now >= holder.said + holder.wait:
                    holder.said, holder.wait = now, min(AGAIN_MOST_MS, 2.0 * holder.wait)
                    self._say(name, wire.SummaryUpdated(shelf.key, shelf.version, 0, None))

    def next_tick_ms(self, now: float) -> float:
        """Return when `tick` must be called next, in ms of the monotonic clock; inf while no load waits."""
        at = math.inf
        for shelf in self.records.values():
            if not shelf.waits:
                continue
            if now < shelf.rest_until:
                at = min(at, shelf.rest_until)
            for holder in shelf.holders.values():
                at = min(at, holder.ends)
                if holder.version < shelf.version:
                    at = min(at, holder.said + holder.wait)
        return at


# The holders' side.


@dataclass(slots=True)
class _LeasedSummary:
    """One summary as a coordinator that may leave its site out has it."""

    key: str
    home: str
    epoch: int = 0  # of the home's process
    floor: int = 0  # of that process; nothing older is used any more
    summary: Summary | None = None
    version: int = 0
    ends: float = -math.inf
    asked: dict[int, float] = field(default_factory=dict)  # when each Hold went out
    pieces: dict[int, bytes] = field(default_factory=dict)
    coming: tuple[int, int, int] = (0, 0, 0)  # seq, version, how many of the pieces
    used: float = -math.inf
    next: float = -math.inf  # when to ask
    wait: float = AGAIN_MS


@dataclass(slots=True)
class Load:
    """One load between its intent and its answer. `state`: widening, ready, confirming, kept or over."""

    number: int
    key: str
    home: str
    told: list[LoadIntent]
    began: float
    missing: set[int]
    epoch: int = 0  # of the home's process that acknowledged it
    ran: bool = False
    state: str = "widening"
    said: float = -math.inf
    wait: float = AGAIN_MS


class SummaryCache:
    """The leased summaries by which this process may leave sites out, and its own loads."""

    def __init__(self, terms: SummaryLeaseSettings, homes: dict[str, str]) -> None:
        self.settings = terms
        self.leases = {key: _LeasedSummary(key, home) for key, home in homes.items()}
        self.loads: dict[int, Load] = {}
        self.outbox: list[Post] = []
        self.changed_loads: list[Load] = []  # that are ready, kept or have to wait again
        self._seq = self._numbers = 0

    def _say(self, name: str, message: wire.Message) -> None:
        self.outbox.append((name, wire.encode(message)))

    # Queries.

    def summary(self, now: float, key: str) -> Summary | None:
        """Return the summary by which the site may be left out at this moment; None if it may not."""
        held = self.leases.get(key)
        return held.summary if held is not None and held.summary is not None and now < held.ends else None

    def mark_used(self, now: float, keys: Sequence[str]) -> bool:
        """Note that these keys were used, so that their leases are renewed for `keep_ms`.

        Return whether some must be requested by a tick.
        """
        fresh = False
        for key in keys:
            held = self.leases[key]
            if now - held.used > self.settings.keep_ms:
                held.next, held.wait = now, AGAIN_MS
                fresh = True
            held.used = now
        return fresh

    def _ask(self, now: float, held: _LeasedSummary) -> None:
        self._seq += 1
        held.asked[self._seq] = now
        while len(held.asked) > MOST_ASKED:
            del held.asked[next(iter(held.asked))]
        held.next, held.wait = now + held.wait, min(AGAIN_MOST_MS, self.settings.lease_ms / 4.0, 2.0 * held.wait)
        self._say(
            held.home,
            wire.LeaseRequest(
                held.key,
                self.settings.digest,
                self._seq,
                held.epoch,
                held.floor,
                held.version if held.summary is not None else 0,
            ),
        )

    def _heard(self, held: _LeasedSummary | None, name: str, epoch: int) -> bool:
        """Whether word of a summary comes from its home, and not from one that another process has followed."""
        if held is None or name != held.home or epoch < held.epoch:
            return False
        if epoch > held.epoch:
            held.epoch, held.floor, held.summary, held.version, held.ends = epoch, 0, None, 0, -math.inf
            held.coming, held.pieces = (0, 0, 0), {}
        return True

    def on_lease_unchanged(self, now: float, name: str, epoch: int, word: wire.LeaseUnchanged) -> None:
        """Extend the lease from when we asked: the summary here is the newest.

        Ignored if late, unasked or from an earlier process.
        """
        held = self.leases.get(word.key)
        if not self._heard(held, name, epoch):
            return
        assert held is not None
        asked = held.asked.pop(word.seq, None)
        if asked is not None and held.summary is not None:  # which is never older than `floor`
            self._lease(held, asked)

    def on_summary_piece(self, now: float, name: str, epoch: int, word: wire.SummaryPiece) -> None:
        """Collect a summary's pieces; with the last one install it and take the lease, counted from when we asked.

        Dropped: pieces that were not asked for or of an older answer, a version older than one acknowledged (its home
        counts on its not being used), and bytes that are no summary.
        """
        held = self.leases.get(word.key)
        if not self._heard(held, name, epoch):
            return
        assert held is not None
        if word.seq not in held.asked or word.at >= word.of:
            return
        coming = word.seq, word.version, word.of
        if coming != held.coming:
            if word.seq < held.coming[0]:
                return
            held.coming, held.pieces = coming, {}
        held.pieces[word.at] = word.data
        if len(held.pieces) < word.of:
            return
        asked = held.asked.pop(word.seq)
        data = b"".join(held.pieces[at] for at in range(word.of))
        held.coming, held.pieces = (0, 0, 0), {}
        if word.version < held.floor:
            return  # older than what was acknowledged: its home counts on its not being used
        if held.summary is None or word.version > held.version:
            try:
                held.summary, held.version = Summary.decode(data), word.version
            except SummaryError:
                return
        held.floor = max(held.floor, word.version)
        self._lease(held, asked)

    def _lease(self, held: _LeasedSummary, asked: float) -> None:
        """Counted from the asking: when the home answered is not known here."""
        held.ends = max(held.ends, asked + self.settings.lease_ms)
        held.next, held.wait = max(held.next, asked + RENEW * self.settings.lease_ms), AGAIN_MS

    def on_summary_updated(self, now: float, name: str, epoch: int, word: wire.SummaryUpdated) -> None:
        """Widen the summary here, or drop it if the new version does not directly follow or names no values;
        acknowledge.

        From then on no version older than this one is installed. Repeats and late messages are acknowledged as well.
        """
        held = self.leases.get(word.key)
        if not self._heard(held, name, epoch):
            return
        assert held is not None
        if word.version > held.floor or held.summary is None:
            follows = held.summary is not None and word.version == held.version + 1 and word.cells is not None
            if follows and held.summary is not None:
                widen(held.summary, LoadIntent(word.rows, word.cells))
                held.version = word.version
            elif held.version < word.version:
                held.summary, held.ends, held.next, held.wait = None, -math.inf, now, AGAIN_MS
            held.floor = max(held.floor, word.version)
        self._say(name, wire.UpdateAcknowledged(word.key, epoch, held.floor))

    # Loads.

    def load(self, now: float, key: str, rows: int, cells: Cells | None) -> Load | None:
        """Announce a load to its home; None if MOST_LOADS are under way. It may be sent once its state is `ready`."""
        if len(self.loads) >= MOST_LOADS:
            return None
        parts = None if cells is None else wire.chunks(cells)
        told = (
            [LoadIntent(rows, None)]
            if parts is None
            else [LoadIntent(rows if not at else 0, part) for at, part in enumerate(parts)]
        )
        self._numbers += 1
        load = Load(self._numbers, key, self.leases[key].home, told, now, set(range(len(told))))
        self.loads[load.number] = load
        self._widen(now, load)
        return load

    def _widen(self, now: float, load: Load) -> None:
        load.said, load.wait = now, min(AGAIN_MOST_MS, 2.0 * load.wait)
        for at in sorted(load.missing):
            told = load.told[at]
            self._say(
                load.home, wire.LoadAnnounced(load.key, self.settings.digest, load.number, at, told.rows, told.cells)
            )

    def on_load_permitted(self, now: float, name: str, epoch: int, word: wire.LoadPermitted) -> None:
        """Take the home's acknowledgement of one message of a load.

        With the last one the load is ready, or, if it has run, confirmed again. A later process of the home must
        acknowledge all of them anew.
        """
        load = self.loads.get(word.load)
        if load is None or name != load.home or load.state != "widening" or epoch < load.epoch:
            return
        if epoch > load.epoch:  # what an earlier process acknowledged is not known to this one
            load.epoch, load.missing = epoch, set(range(len(load.told)))
        load.missing.discard(word.chunk)
        if load.missing:
            return
        load.wait = AGAIN_MS
        if load.ran:
            self._confirm(now, load)
        else:
            load.state = "ready"
            self.changed_loads.append(load)

    def ran(self, now: float, number: int) -> None:
        """Note that the engine served the load; its client may be told so once the state is `kept`."""
        load = self.loads[number]
        load.ran, load.wait = True, AGAIN_MS
        self._confirm(now, load)

    def _confirm(self, now: float, load: Load) -> None:
        load.state = "confirming"
        load.said, load.wait = now, min(AGAIN_MOST_MS, 2.0 * load.wait)
        self._say(load.home, wire.LoadEnded(load.key, load.number, len(load.told), True))

    def on_load_recorded(self, now: float, name: str, epoch: int, word: wire.LoadRecorded) -> None:
        """Take the home's confirmation: the load is kept and may be answered as served, or, if the home's process has
        forgotten it, is announced anew.
        """
        load = self.loads.get(word.load)
        if load is None or name != load.home or load.state != "confirming" or epoch < load.epoch:
            return
        if word.kept and epoch == load.epoch:
            load.state = "kept"
            del self.loads[word.load]
            self.changed_loads.append(load)
        elif not word.kept:
            load.state, load.wait = "widening", AGAIN_MS
            load.epoch, load.missing = epoch, set(range(len(load.told)))
            self._widen(now, load)

    def drop_load(self, now: float, number: int, never_ran: bool) -> None:
        """Drop a load that ended otherwise. Unless it never ran, its intent stands at the home."""
        load = self.loads.pop(number, None)
        if load is None:
            return
        load.state = "over"
        if never_ran:
            self._say(load.home, wire.LoadEnded(load.key, load.number, len(load.told), False))

    # Time.

    def tick(self, now: float) -> None:
        """Renew leases in use, drop expired summaries that nobody asked for in `keep_ms`, and repeat unanswered
        messages of loads, with backoff.
        """
        for held in self.leases.values():
            if now - held.used > self.settings.keep_ms:
                if held.summary is not None and now >= held.ends:
                    held.summary, held.ends = None, -math.inf
                continue
            if now >= held.next:
                self._ask(now, held)
        for load in self.loads.values():
            if now >= load.said + load.wait:
                if load.state == "widening":
                    self._widen(now, load)
                elif load.state == "confirming":
                    self._confirm(now, load)

    def next_tick_ms(self) -> float:
        """Return when `tick` must be called next, in ms of the monotonic clock; inf if nothing is pending."""
        at = math.inf
        for held in self.leases.values():
            if held.next - held.used <= self.settings.keep_ms:
                at = min(at, held.next)
        for load in self.loads.values():
            if load.state in ("widening", "confirming"):
                at = min(at, load.said + load.wait)
        return at

    def release_all(self) -> None:
        """Drop all summaries and tell their homes."""
        for held in self.leases.values():
            held.asked.clear()
            if held.summary is not None:
                held.summary, held.ends = None, -math.inf
                self._say(held.home, wire.ReleaseLease(held.key, held.epoch))
