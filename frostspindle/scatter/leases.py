"""Leases on summaries of sites: the protocol between a summary's home and the coordinators that skip sites by it.

`SummaryHome` and `SummaryCache` are the two sides, without I/O and without a clock: they take messages and the local
monotonic time in ms, and leave messages in `outbox`. Invariant: while any coordinator skips a site by a summary, every
load that has been answered as served is included in that summary.

    A holder uses a summary for `lease_ms` of its own clock from the moment at which it sent the request.
    The home counts the lease as expired `lease_ms` * (1 + drift) / (1 - drift) after it sent the response.
    Before a load is sent, its rows are announced to the home (an intent). The load is sent once each holder has
    acknowledged them or its lease has expired. After the load has run and before its response, the home confirms that
    it is still the process that took the intent; a later process has no record of it, and the load is announced again.
    A holder that has acknowledged a version never installs an older one, even if it arrives later.
    A home that starts does not know which leases its predecessor granted. It acknowledges nothing for the length of a
    lease, and has no summary until it has read the site again. The rows of open intents are added to what it reads.

No summary (None) means that the site may have any row.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from frostspindle.predicates.summaries import Summary, SummaryError
from frostspindle.predicates.values import KINDS, MAX_TEXT, NUMBER, TEXT, parse_number, parse_time, typed
from frostspindle.scatter import wire
from frostspindle.scatter.wire import Cells

RETRY_MS = 60.0  # unanswered messages are sent again after this, with exponential backoff
MAX_RETRY_MS = 1_000.0
MAX_HOLDERS = 4_096  # of one summary
MAX_OPEN_INTENTS = 4_096  # of one summary; beyond it the oldest are merged into `overflow`
MAX_ENDED_LOADS = 4_096
MAX_LOADS = 1_024  # unfinished ones of one coordinator
MAX_UNANSWERED_REQUESTS = 8  # lease requests of one holder for one summary
# A load of unknown rows without a reported end prevents learning the summary of its site for this long.
UNKNOWN_ROWS_HOLD_MS = 600_000.0
RENEW_FRACTION = 0.4  # of a lease, after which it is renewed
UNKNOWN_KIND = 4  # kind of a value that is not known
UNTYPED = object()  # a value that can't be typed; it makes a column of a summary unknown


@dataclass(slots=True, frozen=True)
class SummaryLeaseSettings:
    """Lease times in ms, maximum clock drift and sketch size in bits; all coordinators must have the same."""

    lease_ms: float
    drift: float
    digest: int = 0
    keep_ms: float = 60_000.0
    bits: int = 4_096

    @property
    def home_lease_ms(self) -> float:
        """Time in ms after the response at which the home, by its own clock, counts a lease as expired.

        It is the lease time, extended by the drift of both clocks.
        """
        return self.lease_ms * (1.0 + self.drift) / (1.0 - self.drift)


class LoadIntent(NamedTuple):
    """The rows that a load will insert; `cells` None: they are not known."""

    rows: int
    cells: Cells | None


Outgoing = tuple[str, bytes]  # receiver, message


# Summaries and values.


def cell_value(cell: tuple[int, str]) -> object:
    """Convert the cell of a message to a value for a summary; UNTYPED if the value is not known or can't be parsed."""
    kind, text = cell
    if kind == 0:
        return None
    try:
        return (
            text
            if kind == TEXT and len(text) <= MAX_TEXT
            else parse_number(text)
            if kind == NUMBER
            else parse_time(text)
            if kind == 3
            else UNTYPED
        )
    except ValueError:
        return UNTYPED


def widen(summary: Summary, intent: LoadIntent) -> None:
    """Widen the summary by rows of known values and make its counts consistent."""
    assert intent.cells is not None
    for name, cells in intent.cells.items():
        if (column := summary.columns.get(name)) is not None:
            for cell in cells:
                column.widen(cell_value(cell))
    balance(summary, intent.rows)


def balance(summary: Summary, rows: int = 0) -> None:
    """Make the counts consistent, erring to more rows.

    Intents list each distinct value once, so the counts of values and nulls are not those of rows.
    """
    summary.rows = max([summary.rows + rows, *(column.values + column.nulls for column in summary.columns.values())])
    for column in summary.columns.values():
        if not column.values:
            column.nulls = summary.rows
        elif column.nulls:
            column.values = summary.rows - column.nulls
        else:
            column.values = summary.rows


def covers_rows(summary: Summary, intent: LoadIntent) -> bool:
    """Return whether the summary already allows such rows, so that no holder has to be updated."""
    assert intent.cells is not None
    if not summary.rows:
        return False
    for name, column in summary.columns.items():
        for cell in intent.cells.get(name, ()):
            value = cell_value(cell)
            if value is None:
                if not column.nulls:
                    return False
                continue
            if column.kind == 4:  # values of several kinds: the column excludes nothing
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


# The home.


@dataclass(slots=True)
class _SummaryHolder:
    """The home's record of one process that has a lease on a summary."""

    expires_at: float
    version: int  # the oldest version that the holder may still use
    last_sent_at: float = -math.inf
    retry_ms: float = RETRY_MS


@dataclass(slots=True)
class SummaryRecord:
    """One summary at its home, with its holders and the open intents of loads."""

    key: str
    columns: Sequence[str]
    silent_until: float  # end of the pause after a start, in which nothing is granted or acknowledged
    summary: Summary | None = None
    version: int = 1
    encoded: bytes | None = None  # the summary
    holders: dict[tuple[str, int], _SummaryHolder] = field(default_factory=dict)
    open_intents: OrderedDict[tuple[str, int, int, int], tuple[LoadIntent, float]] = field(default_factory=OrderedDict)
    overflow: Summary | None = None  # the rows of the intents beyond MAX_OPEN_INTENTS
    ended_loads: OrderedDict[tuple[str, int, int], None] = field(default_factory=OrderedDict)
    # Intents that are not acknowledged yet, and the version that all holders must have before.
    waiting_intents: dict[tuple[str, int, int, int], int] = field(default_factory=dict)
    acked_intents: OrderedDict[tuple[str, int, int, int], None] = field(default_factory=OrderedDict)
    learning: Summary | None = None  # the summary that is being learnt
    is_learning_invalid: bool = False  # a load of unknown rows was announced meanwhile
    retry_at: float = 0.0
    # Intents of unknown rows, and the times at which they were announced.
    unknown_row_intents: dict[tuple[str, int, int, int], float] = field(default_factory=dict)


class SummaryHome:
    """The summaries whose home this process is: grants leases, takes intents of loads and updates the holders."""

    def __init__(
        self, epoch: int, settings: SummaryLeaseSettings, columns: dict[str, Sequence[str]], now: float
    ) -> None:
        self.epoch, self.settings = epoch, settings
        silent_until = now + settings.home_lease_ms
        self.records = {key: SummaryRecord(key, names, silent_until) for key, names in columns.items()}
        self.outbox: list[Outgoing] = []
        self.pushed = self.refused = 0

    def _send(self, name: str, message: wire.Message) -> None:
        self.outbox.append((name, wire.encode(message)))

    # Leases.

    def on_lease_request(self, now: float, name: str, epoch: int, message: wire.LeaseRequest) -> None:
        """Grant or renew a holder's lease, and send it the summary unless it has the newest version.

        There is no response if the summary is unknown, during the pause after a start, or beyond MAX_HOLDERS holders.
        A different digest of the catalogue, a key whose home this is not, and too many holders are counted in
        `refused`. The version that the holder reports may release waiting intents even if no lease is granted.
        """
        record = self.records.get(message.key)
        if record is None or message.catalogue_digest != self.settings.digest:
            self.refused += 1
            return
        holder_key = name, epoch
        holder = record.holders.get(holder_key)
        if holder is not None and message.epoch == self.epoch:
            self._confirm_version(now, record, holder, message.floor)
        if record.summary is None or now < record.silent_until:
            return  # without a lease the sender skips no site
        if holder is None:
            if len(record.holders) >= MAX_HOLDERS:
                self.refused += 1
                return
            holder = record.holders[holder_key] = _SummaryHolder(0.0, record.version)
        holder.expires_at = max(holder.expires_at, now + self.settings.home_lease_ms)
        if message.epoch == self.epoch and message.have == record.version:
            self._send(name, wire.LeaseUnchanged(message.key, message.seq, record.version))
            return
        if record.encoded is None:
            record.encoded = record.summary.encode()
        pieces = [
            record.encoded[index : index + wire.PIECE_BYTES]
            for index in range(0, len(record.encoded), wire.PIECE_BYTES)
        ]
        for index, piece in enumerate(pieces):
            self._send(name, wire.SummaryPiece(message.key, message.seq, record.version, index, len(pieces), piece))

    def on_update_acknowledged(self, now: float, name: str, epoch: int, message: wire.UpdateAcknowledged) -> None:
        """Record that a holder uses no summary older than `version`, and acknowledge the intents that waited for it."""
        record = self.records.get(message.key)
        if (
            record is not None
            and message.epoch == self.epoch
            and (holder := record.holders.get((name, epoch))) is not None
        ):
            self._confirm_version(now, record, holder, message.version)

    def on_release_lease(self, now: float, name: str, epoch: int, message: wire.ReleaseLease) -> None:
        """Remove a holder that no longer uses the summary, and acknowledge the intents that waited for it."""
        record = self.records.get(message.key)
        if record is not None and message.epoch == self.epoch and record.holders.pop((name, epoch), None) is not None:
            self._acknowledge_ready(now, record)

    def _confirm_version(self, now: float, record: SummaryRecord, holder: _SummaryHolder, version: int) -> None:
        if version > holder.version:
            holder.version, holder.retry_ms = min(version, record.version), RETRY_MS
            self._acknowledge_ready(now, record)

    # Loads.

    def on_load_announced(self, now: float, name: str, epoch: int, message: wire.LoadAnnounced) -> None:
        """Take a load's intent: widen the summary, update the holders, and acknowledge once none uses an older version.

        A repeat of an acknowledged intent is acknowledged at once; a repeat of one that still waits is ignored. Ignored
        and counted in `refused`: a different digest of the catalogue, a key whose home this is not, and any intent
        while MAX_OPEN_INTENTS wait.
        """
        record = self.records.get(message.key)
        if record is None or message.catalogue_digest != self.settings.digest:
            self.refused += 1
            return
        intent_key = name, epoch, message.load, message.chunk
        if intent_key in record.acked_intents:
            self._send(name, wire.LoadPermitted(message.key, message.load, message.chunk))
            return
        if intent_key in record.waiting_intents:
            return
        if len(record.waiting_intents) >= MAX_OPEN_INTENTS:
            self.refused += 1
            return
        intent = LoadIntent(message.rows, message.cells)
        record.open_intents[intent_key] = intent, now
        if message.cells is None:
            record.unknown_row_intents[intent_key] = now
        if len(record.open_intents) > MAX_OPEN_INTENTS:
            self._merge_oldest_intent(record)
        self._apply_intent(now, record, intent)
        record.waiting_intents[intent_key] = record.version
        self._acknowledge_ready(now, record)

    def _merge_oldest_intent(self, record: SummaryRecord) -> None:
        """Merge the rows of the oldest open intent into `overflow` and forget the intent."""
        intent_key, (intent, _) = record.open_intents.popitem(last=False)
        record.unknown_row_intents.pop(intent_key, None)
        record.acked_intents.pop(intent_key, None)
        if intent.cells is not None:
            record.overflow = record.overflow or Summary(record.columns, self.settings.bits)
            widen(record.overflow, intent)

    def _apply_intent(self, now: float, record: SummaryRecord, intent: LoadIntent) -> None:
        """Widen the summary, and the one being learnt, by an intent; drop the summary if the rows are unknown."""
        if intent.cells is None:
            record.is_learning_invalid = True
            if record.summary is not None:
                self._install_version(now, record, None, None)
            return
        if record.learning is not None:
            widen(record.learning, intent)
        if record.summary is None or covers_rows(record.summary, intent):
            return
        widen(record.summary, intent)
        self._install_version(now, record, record.summary, intent)

    def _install_version(
        self, now: float, record: SummaryRecord, summary: Summary | None, intent: LoadIntent | None
    ) -> None:
        """Install a new version and send it to the holders; `intent`: its difference from the version before."""
        record.summary, record.encoded = summary, None
        record.version += 1
        for (name, _), holder in record.holders.items():
            if now < holder.expires_at:
                holder.last_sent_at, holder.retry_ms = now, RETRY_MS
                self.pushed += 1
                self._send(
                    name,
                    wire.SummaryUpdated(
                        record.key, record.version, intent.rows if intent else 0, intent.cells if intent else None
                    ),
                )

    def on_load_ended(self, now: float, name: str, epoch: int, message: wire.LoadEnded) -> None:
        """Handle that a load has ended.

        If it never ran, its intents are dropped without a response. Otherwise the response says whether this process
        has acknowledged all of them. If it has not, they are forgotten, and the sender has to announce the load again
        before it responds to its client.
        """
        record = self.records.get(message.key)
        if record is None:
            return
        load = name, epoch, message.load
        if not message.ran:
            self._forget_load(record, load, message.chunks)
            return
        intent_keys = [(*load, chunk) for chunk in range(message.chunks)]
        is_kept = load in record.ended_loads or all(intent_key in record.acked_intents for intent_key in intent_keys)
        if is_kept:
            self._forget_load(record, load, message.chunks)
        else:
            for intent_key in intent_keys:  # so that a repeated announcement counts as a new one
                record.acked_intents.pop(intent_key, None)
        self._send(name, wire.LoadRecorded(message.key, message.load, is_kept))

    def _forget_load(self, record: SummaryRecord, load: tuple[str, int, int], chunks: int) -> None:
        for chunk in range(chunks):
            intent_key = (*load, chunk)
            for table in (
                record.open_intents,
                record.acked_intents,
                record.waiting_intents,
                record.unknown_row_intents,
            ):
                table.pop(intent_key, None)  # type: ignore[attr-defined]
        record.ended_loads[load] = None
        if len(record.ended_loads) > MAX_ENDED_LOADS:
            record.ended_loads.popitem(last=False)

    def _acknowledge_ready(self, now: float, record: SummaryRecord) -> None:
        """Remove expired holders and acknowledge the intents whose version all holders have."""
        for holder_key in [holder_key for holder_key, holder in record.holders.items() if now >= holder.expires_at]:
            del record.holders[holder_key]
        if now < record.silent_until or not record.waiting_intents:
            return
        min_version = min((holder.version for holder in record.holders.values()), default=2**53)
        for intent_key in [
            intent_key for intent_key, version in record.waiting_intents.items() if version <= min_version
        ]:
            del record.waiting_intents[intent_key]
            record.acked_intents[intent_key] = None
            self._send(intent_key[0], wire.LoadPermitted(record.key, intent_key[2], intent_key[3]))

    # Learning a summary.

    def keys_to_learn(self, now: float) -> list[str]:
        """Return the keys of the summaries that are unknown and may be learnt now, by reading their sites."""
        return [
            key
            for key, record in self.records.items()
            if record.summary is None
            and record.learning is None
            and now >= max(record.silent_until, record.retry_at)
            and all(now - announced_at >= UNKNOWN_ROWS_HOLD_MS for announced_at in record.unknown_row_intents.values())
        ]

    def begin_learning(self, key: str) -> None:
        """Start learning a summary.

        It will consist of what is read of the site from now on, the open intents, and the intents announced meanwhile.
        """
        record = self.records[key]
        # These have expired. If such a load ends after all, it has to be announced again.
        for intent_key in list(record.unknown_row_intents):
            for table in (
                record.open_intents,
                record.acked_intents,
                record.waiting_intents,
                record.unknown_row_intents,
            ):
                table.pop(intent_key, None)  # type: ignore[attr-defined]
        record.learning, record.is_learning_invalid = Summary(record.columns, self.settings.bits), False
        if record.overflow is not None:
            record.learning.merge(record.overflow)
        for intent, _ in record.open_intents.values():
            if intent.cells is not None:
                widen(record.learning, intent)

    def finish_learning(self, now: float, key: str, intents: Sequence[LoadIntent] | None, retry_ms: float) -> bool:
        """Install the summary of the rows that were read; `intents` None: reading failed.

        Return False if the summary stays unknown, because of that or of a load of unknown rows announced meanwhile. It
        may be learnt again after `retry_ms`.
        """
        record = self.records[key]
        learnt, record.learning = record.learning, None
        if intents is None or learnt is None or record.is_learning_invalid:
            record.retry_at = now + retry_ms
            return False
        for intent in intents:
            widen(learnt, intent)
        learnt.version = 0
        self._install_version(now, record, learnt, None)
        return True

    # Time.

    def tick(self, now: float) -> None:
        """End expired leases, acknowledge the intents that waited for them, and resend the number of the newest version
        to holders that have not acknowledged it, with backoff.
        """
        for record in self.records.values():
            self._acknowledge_ready(now, record)
            if not record.waiting_intents:
                continue
            for (name, _), holder in record.holders.items():
                if holder.version < record.version and now >= holder.last_sent_at + holder.retry_ms:
                    holder.last_sent_at, holder.retry_ms = now, min(MAX_RETRY_MS, 2.0 * holder.retry_ms)
                    self._send(name, wire.SummaryUpdated(record.key, record.version, 0, None))

    def next_tick_ms(self, now: float) -> float:
        """Return when `tick` must be called next, in ms of the monotonic clock; inf while no load waits."""
        earliest = math.inf
        for record in self.records.values():
            if not record.waiting_intents:
                continue
            if now < record.silent_until:
                earliest = min(earliest, record.silent_until)
            for holder in record.holders.values():
                earliest = min(earliest, holder.expires_at)
                if holder.version < record.version:
                    earliest = min(earliest, holder.last_sent_at + holder.retry_ms)
        return earliest


# The holders.


@dataclass(slots=True)
class _LeasedSummary:
    """A holder's state of the lease on one summary."""

    key: str
    home: str
    epoch: int = 0  # of the home's process
    min_version: int = 0  # of that process; no older one may be installed
    summary: Summary | None = None
    version: int = 0
    expires_at: float = -math.inf
    requested_at: dict[int, float] = field(default_factory=dict)  # by the sequence numbers of unanswered requests
    pieces: dict[int, bytes] = field(default_factory=dict)
    incoming: tuple[int, int, int] = (0, 0, 0)  # sequence number, version and count of `pieces`
    last_used_at: float = -math.inf
    next_request_at: float = -math.inf
    retry_ms: float = RETRY_MS


@dataclass(slots=True)
class Load:
    """A load from its intent to its response. `state`: widening, ready, confirming, kept or over."""

    number: int
    key: str
    home: str
    intents: list[LoadIntent]
    started_at: float
    unacknowledged: set[int]
    epoch: int = 0  # of the home's process that acknowledged the intents
    ran: bool = False
    state: str = "widening"
    last_sent_at: float = -math.inf
    retry_ms: float = RETRY_MS


class SummaryCache:
    """The summaries that this process has leased and may skip sites by, and the loads that it announces."""

    def __init__(self, settings: SummaryLeaseSettings, homes: dict[str, str]) -> None:
        self.settings = settings
        self.leases = {key: _LeasedSummary(key, home) for key, home in homes.items()}
        self.loads: dict[int, Load] = {}
        self.outbox: list[Outgoing] = []
        self.changed_loads: list[Load] = []  # those that became ready or kept since the last flush
        self._last_seq = self._last_load_number = 0

    def _send(self, name: str, message: wire.Message) -> None:
        self.outbox.append((name, wire.encode(message)))

    # Queries.

    def summary(self, now: float, key: str) -> Summary | None:
        """Return the summary by which the site may be skipped at this moment; None without a valid lease."""
        lease = self.leases.get(key)
        return lease.summary if lease is not None and lease.summary is not None and now < lease.expires_at else None

    def mark_used(self, now: float, keys: Sequence[str]) -> bool:
        """Record the use of these keys, so that their leases are renewed for `keep_ms`.

        Return whether a tick is needed to request some of the leases.
        """
        must_request = False
        for key in keys:
            lease = self.leases[key]
            if now - lease.last_used_at > self.settings.keep_ms:
                lease.next_request_at, lease.retry_ms = now, RETRY_MS
                must_request = True
            lease.last_used_at = now
        return must_request

    def _request_lease(self, now: float, lease: _LeasedSummary) -> None:
        self._last_seq += 1
        lease.requested_at[self._last_seq] = now
        while len(lease.requested_at) > MAX_UNANSWERED_REQUESTS:
            del lease.requested_at[next(iter(lease.requested_at))]
        lease.next_request_at, lease.retry_ms = (
            now + lease.retry_ms,
            min(MAX_RETRY_MS, self.settings.lease_ms / 4.0, 2.0 * lease.retry_ms),
        )
        self._send(
            lease.home,
            wire.LeaseRequest(
                lease.key,
                self.settings.digest,
                self._last_seq,
                lease.epoch,
                lease.min_version,
                lease.version if lease.summary is not None else 0,
            ),
        )

    def _accept_sender(self, lease: _LeasedSummary | None, name: str, epoch: int) -> bool:
        """Return whether a message is from the newest known process of the home; discard the state of earlier ones."""
        if lease is None or name != lease.home or epoch < lease.epoch:
            return False
        if epoch > lease.epoch:
            lease.epoch, lease.min_version, lease.summary, lease.version, lease.expires_at = (
                epoch,
                0,
                None,
                0,
                -math.inf,
            )
            lease.incoming, lease.pieces = (0, 0, 0), {}
        return True

    def on_lease_unchanged(self, now: float, name: str, epoch: int, message: wire.LeaseUnchanged) -> None:
        """Extend the lease, counted from the request, as the summary here is the newest.

        Ignored if the request is unknown or the sender is an earlier process of the home.
        """
        lease = self.leases.get(message.key)
        if not self._accept_sender(lease, name, epoch):
            return
        assert lease is not None
        requested_at = lease.requested_at.pop(message.seq, None)
        if requested_at is not None and lease.summary is not None:  # never older than `min_version`
            self._extend_lease(lease, requested_at)

    def on_summary_piece(self, now: float, name: str, epoch: int, message: wire.SummaryPiece) -> None:
        """Collect a summary's pieces; with the last one install it and take the lease, counted from the request.

        Ignored: pieces that were not requested or belong to an older response, a version older than an acknowledged
        one, and data that can't be decoded.
        """
        lease = self.leases.get(message.key)
        if not self._accept_sender(lease, name, epoch):
            return
        assert lease is not None
        if message.seq not in lease.requested_at or message.index >= message.count:
            return
        incoming = message.seq, message.version, message.count
        if incoming != lease.incoming:
            if message.seq < lease.incoming[0]:
                return
            lease.incoming, lease.pieces = incoming, {}
        lease.pieces[message.index] = message.data
        if len(lease.pieces) < message.count:
            return
        requested_at = lease.requested_at.pop(message.seq)
        data = b"".join(lease.pieces[index] for index in range(message.count))
        lease.incoming, lease.pieces = (0, 0, 0), {}
        if message.version < lease.min_version:
            return  # a newer version was acknowledged, so the home relies on this one not being used
        if lease.summary is None or message.version > lease.version:
            try:
                lease.summary, lease.version = Summary.decode(data), message.version
            except SummaryError:
                return
        lease.min_version = max(lease.min_version, message.version)
        self._extend_lease(lease, requested_at)

    def _extend_lease(self, lease: _LeasedSummary, requested_at: float) -> None:
        """Extend the lease, counted from the request, as the time of the home's response is not known here."""
        lease.expires_at = max(lease.expires_at, requested_at + self.settings.lease_ms)
        lease.next_request_at, lease.retry_ms = (
            max(lease.next_request_at, requested_at + RENEW_FRACTION * self.settings.lease_ms),
            RETRY_MS,
        )

    def on_summary_updated(self, now: float, name: str, epoch: int, message: wire.SummaryUpdated) -> None:
        """Widen the summary, or drop it if the new version is not the next one or has no cells; acknowledge.

        No version older than this one is installed afterwards. Repeated and late messages are acknowledged as well.
        """
        lease = self.leases.get(message.key)
        if not self._accept_sender(lease, name, epoch):
            return
        assert lease is not None
        if message.version > lease.min_version or lease.summary is None:
            is_successor = (
                lease.summary is not None and message.version == lease.version + 1 and message.cells is not None
            )
            if is_successor and lease.summary is not None:
                widen(lease.summary, LoadIntent(message.rows, message.cells))
                lease.version = message.version
            elif lease.version < message.version:
                lease.summary, lease.expires_at, lease.next_request_at, lease.retry_ms = None, -math.inf, now, RETRY_MS
            lease.min_version = max(lease.min_version, message.version)
        self._send(name, wire.UpdateAcknowledged(message.key, epoch, lease.min_version))

    # Loads.

    def load(self, now: float, key: str, rows: int, cells: Cells | None) -> Load | None:
        """Announce a load to its home; it may be sent once its state is `ready`. None if MAX_LOADS are unfinished."""
        if len(self.loads) >= MAX_LOADS:
            return None
        chunks = None if cells is None else wire.chunks(cells)
        intents = (
            [LoadIntent(rows, None)]
            if chunks is None
            else [LoadIntent(rows if not index else 0, chunk) for index, chunk in enumerate(chunks)]
        )
        self._last_load_number += 1
        load = Load(self._last_load_number, key, self.leases[key].home, intents, now, set(range(len(intents))))
        self.loads[load.number] = load
        self._announce(now, load)
        return load

    def _announce(self, now: float, load: Load) -> None:
        load.last_sent_at, load.retry_ms = now, min(MAX_RETRY_MS, 2.0 * load.retry_ms)
        for chunk in sorted(load.unacknowledged):
            intent = load.intents[chunk]
            self._send(
                load.home,
                wire.LoadAnnounced(load.key, self.settings.digest, load.number, chunk, intent.rows, intent.cells),
            )

    def on_load_permitted(self, now: float, name: str, epoch: int, message: wire.LoadPermitted) -> None:
        """Take the home's acknowledgement of one of a load's messages.

        With the last one the load becomes ready or, if it has run already, its confirmation is requested again. A later
        process of the home has to acknowledge all messages again.
        """
        load = self.loads.get(message.load)
        if load is None or name != load.home or load.state != "widening" or epoch < load.epoch:
            return
        if epoch > load.epoch:  # it has no record of what an earlier process acknowledged
            load.epoch, load.unacknowledged = epoch, set(range(len(load.intents)))
        load.unacknowledged.discard(message.chunk)
        if load.unacknowledged:
            return
        load.retry_ms = RETRY_MS
        if load.ran:
            self._confirm(now, load)
        else:
            load.state = "ready"
            self.changed_loads.append(load)

    def ran(self, now: float, number: int) -> None:
        """Handle that the engine served the load; the client may get the response once the state is `kept`."""
        load = self.loads[number]
        load.ran, load.retry_ms = True, RETRY_MS
        self._confirm(now, load)

    def _confirm(self, now: float, load: Load) -> None:
        load.state = "confirming"
        load.last_sent_at, load.retry_ms = now, min(MAX_RETRY_MS, 2.0 * load.retry_ms)
        self._send(load.home, wire.LoadEnded(load.key, load.number, len(load.intents), True))

    def on_load_recorded(self, now: float, name: str, epoch: int, message: wire.LoadRecorded) -> None:
        """Take the home's confirmation: the load may be answered as served.

        If the home has no record of it, it is announced again.
        """
        load = self.loads.get(message.load)
        if load is None or name != load.home or load.state != "confirming" or epoch < load.epoch:
            return
        if message.kept and epoch == load.epoch:
            load.state = "kept"
            del self.loads[message.load]
            self.changed_loads.append(load)
        elif not message.kept:
            load.state, load.retry_ms = "widening", RETRY_MS
            load.epoch, load.unacknowledged = epoch, set(range(len(load.intents)))
            self._announce(now, load)

    def drop_load(self, now: float, number: int, never_ran: bool) -> None:
        """Drop a load that is not answered as served. Unless it never ran, its intent stays open at the home."""
        load = self.loads.pop(number, None)
        if load is None:
            return
        load.state = "over"
        if never_ran:
            self._send(load.home, wire.LoadEnded(load.key, load.number, len(load.intents), False))

    # Time.

    def tick(self, now: float) -> None:
        """Renew leases in use, drop expired summaries that were not used for `keep_ms`, and resend unanswered messages
        of loads, with backoff.
        """
        for lease in self.leases.values():
            if now - lease.last_used_at > self.settings.keep_ms:
                if lease.summary is not None and now >= lease.expires_at:
                    lease.summary, lease.expires_at = None, -math.inf
                continue
            if now >= lease.next_request_at:
                self._request_lease(now, lease)
        for load in self.loads.values():
            if now >= load.last_sent_at + load.retry_ms:
                if load.state == "widening":
                    self._announce(now, load)
                elif load.state == "confirming":
                    self._confirm(now, load)

    def next_tick_ms(self) -> float:
        """Return when `tick` must be called next, in ms of the monotonic clock; inf if nothing is pending."""
        earliest = math.inf
        for lease in self.leases.values():
            if lease.next_request_at - lease.last_used_at <= self.settings.keep_ms:
                earliest = min(earliest, lease.next_request_at)
        for load in self.loads.values():
            if load.state in ("widening", "confirming"):
                earliest = min(earliest, load.last_sent_at + load.retry_ms)
        return earliest

    def release_all(self) -> None:
        """Drop all summaries and release their leases."""
        for lease in self.leases.values():
            lease.requested_at.clear()
            if lease.summary is not None:
                lease.summary, lease.expires_at = None, -math.inf
                self._send(lease.home, wire.ReleaseLease(lease.key, lease.epoch))
