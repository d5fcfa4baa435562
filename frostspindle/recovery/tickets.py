"""Tickets of loads: a load runs only after a majority of its ticket's replicas has durably recorded it as taken.

`TicketJournal` is the replica's side; `TicketClaims` is the side of the coordinator that received the load. No I/O and
no clock. A replica never grants a ticket twice, before its record is durable, or while records may be missing: after a
start with a lost or outdated store it is in cooldown for as long as clients may repeat a load.

A ticket is the hash of a request's X-Request-Id, so that a repeat is recognised at every coordinator. Any two
majorities of the replicas share a member, so two claims of a ticket can't both have a majority. A claim is released if
it was not granted, or if its load was rejected before any of it was sent. If a release is lost, a repeat is answered as
"may have run".
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from frostspindle.recovery import state_kinds
from frostspindle.recovery.wire import TicketStatus

MAX_TICKETS = 50_000
MAX_BATCH = 256
MAX_WAITERS = 8  # claimants that wait for one ticket's record
MAX_CLAIMS = 1_024
REPLICAS = 5  # with two replicas down or without their stores, a majority remains
RESEND_MS = 150.0
RELEASE_SENDS = 3  # how often a release is sent, as it is not acknowledged
PREFIX = state_kinds.prefix("tickets")


def ticket_id(request_id: str) -> bytes:
    """Return the 16-byte hash that identifies a request in stores and messages."""
    return blake2b(request_id.encode(), digest_size=16, person=b"load").digest()


def ticket_replicas(ticket: bytes, seeds: Iterable[str], count: int = REPLICAS) -> list[str]:
    """Return the ticket's replicas among the seeds by rendezvous hashing, regardless of which seeds are alive."""

    def weight(name: str) -> bytes:
        """Return the sort key of a seed."""
        return blake2b(ticket + name.encode(), digest_size=8, person=b"home").digest()

    return sorted(seeds, key=weight)[:count]


class TicketRecord(msgspec.Struct, array_like=True, frozen=True):
    """A taken ticket: the coordinator that claimed it, the claim's nonce, and the time (Unix ms)."""

    claimant: str
    nonce: int
    at_ms: float


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(TicketRecord).decode


class PendingClaimant(NamedTuple):
    """A claimant that is answered when the record is durable."""

    name: str
    ticket: bytes
    nonce: int


class TicketJournal:
    """The replica's side: grants tickets.

    A claim is answered immediately, or by `on_batch_written` after the batch with its record.
    """

    def __init__(
        self,
        entries: Iterable[tuple[bytes, bytes]],
        ticket_ms: float,
        unix_ms: float,
        in_cooldown: bool,
        usable: bool = True,
        max_tickets: int = MAX_TICKETS,
    ) -> None:
        self.ticket_ms: float = ticket_ms
        self.max_tickets: int = max_tickets
        self.usable: bool = usable
        self.records: dict[bytes, TicketRecord] = {}
        self.corrupt: int = 0  # entries that could not be decoded
        self._load(entries, unix_ms)
        # A corrupt record counts as a missing one.
        self.cooldown_until_ms: float = unix_ms + ticket_ms if in_cooldown or self.corrupt else -math.inf
        self._pending: dict[bytes, TicketRecord | None] = {}  # not yet written; None: deleted
        self._writing: dict[bytes, TicketRecord | None] = {}
        self._waiters: dict[bytes, list[PendingClaimant]] = {}

    def _load(self, entries: Iterable[tuple[bytes, bytes]], unix_ms: float) -> None:
        for key, value in entries:
            try:
                record = _decode(value)
            except msgspec.DecodeError:
                self.corrupt += 1
                continue
            # If the clock was set back, the record is kept for at most ticket_ms from now.
            at_ms = min(record.at_ms, unix_ms)
            self.records[key[len(PREFIX) :]] = msgspec.structs.replace(record, at_ms=at_ms)

    def start_cooldown(self, unix_ms: float) -> None:
        """Grant no tickets for `ticket_ms`, because other coordinators know a later state of the store."""
        self.cooldown_until_ms = max(self.cooldown_until_ms, unix_ms + self.ticket_ms)

    def end_cooldown(self) -> None:
        """Grant tickets from now on, because a majority of the other seeds knows no earlier store."""
        self.cooldown_until_ms = -math.inf

    def in_cooldown(self, unix_ms: float) -> bool:
        """Return whether new claims are refused at `unix_ms` because earlier records may be missing."""
        return unix_ms < self.cooldown_until_ms

    def claim(self, unix_ms: float, claimant: str, ticket: bytes, nonce: int) -> TicketStatus | None:
        """Process a claim; return the answer, or None if `on_batch_written` returns it when the record is durable.

        A repeated claim gets the same answer.
        """
        record = self.records.get(ticket)
        if record is not None:
            return self._repeat_claim(record, claimant, ticket, nonce)
        if not self.usable:
            return TicketStatus.UNABLE
        if self.in_cooldown(unix_ms):
            return TicketStatus.IN_COOLDOWN
        if len(self.records) >= self.max_tickets:
            return TicketStatus.FULL
        record = TicketRecord(claimant, nonce, unix_ms)
        self.records[ticket] = record
        self._pending[ticket] = record
        self._waiters[ticket] = [PendingClaimant(claimant, ticket, nonce)]
        return None

    def _repeat_claim(self, record: TicketRecord, claimant: str, ticket: bytes, nonce: int) -> TicketStatus | None:
        if (record.claimant, record.nonce) != (claimant, nonce):
            return TicketStatus.TAKEN
        if ticket not in self._pending and ticket not in self._writing:
            return TicketStatus.GRANTED
        waiter = PendingClaimant(claimant, ticket, nonce)
        waiters = self._waiters.setdefault(ticket, [])
        if len(waiters) < MAX_WAITERS and waiter not in waiters:
            waiters.append(waiter)
        return None

    def release(self, claimant: str, ticket: bytes, nonce: int) -> None:
        """Release a ticket that this claimant holds with this nonce.

        Other releases are ignored, so repeats have no effect.
        """
        record = self.records.get(ticket)
        if record is not None and (record.claimant, record.nonce) == (claimant, nonce):
            self._delete(ticket)

    def _delete(self, ticket: bytes) -> None:
        del self.records[ticket]
        self._pending[ticket] = None
        self._waiters.pop(ticket, None)

    def prune(self, unix_ms: float) -> None:
        """Remove tickets older than `ticket_ms`, which clients no longer repeat."""
        expired = [
            ticket
            for ticket, record in self.records.items()
            if unix_ms - record.at_ms > self.ticket_ms and ticket not in self._waiters
        ]
        for ticket in expired:
            self._delete(ticket)

    def next_batch(self) -> Mapping[bytes, bytes | None] | None:
        """Return the next batch for the store; None without changes, or while one is being written."""
        if self._writing or not self._pending or not self.usable:
            return None
        for ticket in list(self._pending)[:MAX_BATCH]:
            self._writing[ticket] = self._pending.pop(ticket)
        return {
            PREFIX + ticket: None if record is None else _encode(record) for ticket, record in self._writing.items()
        }

    def on_batch_written(self, ok: bool, full: bool = False) -> list[tuple[PendingClaimant, TicketStatus]]:
        """Process the batch's outcome; return the answers to the claimants that waited for it.

        `ok`: it is durable. `full`: the disk was full and nothing was written. Neither: the outcome is unknown, and
        this replica grants no more tickets.
        """
        written = self._writing
        self._writing = {}
        if not ok and not full:
            self.usable = False
        answers: list[tuple[PendingClaimant, TicketStatus]] = []
        for ticket, record in written.items():
            answers += self._on_record_written(ticket, record, ok, full)
        if not self.usable:
            answers += [(waiter, TicketStatus.UNABLE) for waiters in self._waiters.values() for waiter in waiters]
            self._waiters.clear()
        return answers

    def _on_record_written(
        self, ticket: bytes, record: TicketRecord | None, ok: bool, full: bool
    ) -> list[tuple[PendingClaimant, TicketStatus]]:
        changed_since = ticket in self._pending
        waiters = [] if changed_since else self._waiters.pop(ticket, [])
        if record is None:
            if not ok and not changed_since:
                self._pending[ticket] = None
            return []
        if self.records.get(ticket) != record:
            return []
        if ok:
            return [(waiter, TicketStatus.GRANTED) for waiter in waiters]
        if full:
            del self.records[ticket]  # it is not in the store, and its claimants had no answer yet
            return [(waiter, TicketStatus.FULL) for waiter in waiters]
        # The record may be in the broken store, so the ticket stays taken; UNABLE is no grant.
        return [(waiter, TicketStatus.UNABLE) for waiter in waiters]


class TicketMessage(NamedTuple):
    """A message to a replica: a claim or a release."""

    replica: str
    ticket: bytes
    nonce: int
    release: bool


class ClaimOutcome(StrEnum):
    """Outcome of a load's claim; the values are part of counter names."""

    GRANTED = "go"  # at most once for a ticket
    MAY_HAVE_RUN = "may have run"  # another claim holds the ticket
    NO_RECORD = "no record"  # too few replicas can record the ticket
    NO_QUORUM = "no word"  # too few replicas have answered


_CANNOT_GRANT = (TicketStatus.FULL, TicketStatus.UNABLE, TicketStatus.IN_COOLDOWN)


@dataclass(slots=True)
class _PendingClaim:
    ticket: bytes
    nonce: int
    replicas: list[str]
    deadline: float
    resend_at: float
    answers: dict[str, TicketStatus] = field(default_factory=dict)
    releases_sent: int = 0

    def messages(self, release: bool) -> list[TicketMessage]:
        """Return one message to each of the ticket's replicas."""
        return [TicketMessage(replica, self.ticket, self.nonce, release) for replica in self.replicas]


class TicketClaims:
    """The side of the coordinator that received a load. Times are in ms of the caller's monotonic clock."""

    def __init__(self, claim_ms: float) -> None:
        self.claim_ms: float = claim_ms
        self.pending: dict[int, _PendingClaim] = {}  # by nonce, like the other tables
        self.releasing: dict[int, _PendingClaim] = {}
        self.granted: dict[int, tuple[bytes, list[str]]] = {}  # ticket and replicas of running loads

    def begin(self, now: float, ticket: bytes, nonce: int, replicas: list[str]) -> list[TicketMessage]:
        """Start a claim; return its messages. With MAX_CLAIMS pending there are none, and the outcome is NO_QUORUM."""
        if len(self.pending) >= MAX_CLAIMS:
            return []
        claim = _PendingClaim(ticket, nonce, replicas, deadline=now + self.claim_ms, resend_at=now + RESEND_MS)
        self.pending[nonce] = claim
        return claim.messages(release=False)

    def on_reply(
        self, now: float, replica: str, nonce: int, status: TicketStatus
    ) -> tuple[ClaimOutcome, list[TicketMessage]] | None:
        """Process a replica's reply; return the outcome and messages to send if it is decided, else None."""
        claim = self.pending.get(nonce)
        if claim is None or replica not in claim.replicas:
            return None
        claim.answers[replica] = status
        if status == TicketStatus.TAKEN:
            return ClaimOutcome.MAY_HAVE_RUN, self._close(now, claim)
        granted = sum(answer == TicketStatus.GRANTED for answer in claim.answers.values())
        if 2 * granted > len(claim.replicas):
            self.granted[nonce] = (claim.ticket, claim.replicas)
            del self.pending[nonce]
            return ClaimOutcome.GRANTED, []
        unavailable = sum(answer in _CANNOT_GRANT for answer in claim.answers.values())
        if 2 * (len(claim.replicas) - unavailable) <= len(claim.replicas):
            return ClaimOutcome.NO_RECORD, self._close(now, claim)
        return None

    def _close(self, now: float, claim: _PendingClaim) -> list[TicketMessage]:
        self.pending.pop(claim.nonce, None)
        return self._release(now, claim)

    def _release(self, now: float, claim: _PendingClaim) -> list[TicketMessage]:
        claim.releases_sent += 1
        claim.resend_at = now + RESEND_MS
        if claim.releases_sent < RELEASE_SENDS and len(self.releasing) < MAX_CLAIMS:
            self.releasing[claim.nonce] = claim
        else:
            self.releasing.pop(claim.nonce, None)
        return claim.messages(release=True)

    def on_load_ended(self, now: float, nonce: int, ran: bool) -> list[TicketMessage]:
        """Process the end of a granted load. `ran`: some of it was sent, so the ticket stays taken.

        Otherwise return the messages that release the ticket.
        """
        granted = self.granted.pop(nonce, None)
        if granted is None or ran:
            return []
        ticket, replicas = granted
        return self._release(now, _PendingClaim(ticket, nonce, replicas, deadline=now, resend_at=now))

    def cancel(self, now: float, nonce: int) -> list[TicketMessage]:
        """End the claim of a client that disconnected before the outcome; return the messages that release it."""
        claim = self.pending.get(nonce)
        return self._close(now, claim) if claim is not None else []

    def tick(self, now: float) -> tuple[list[TicketMessage], list[tuple[int, ClaimOutcome]]]:
        """Resend claims and releases that are due, and close claims that are past their deadline.

        Return the messages, and the nonces and outcomes of the closed claims.
        """
        messages: list[TicketMessage] = []
        ended: list[tuple[int, ClaimOutcome]] = []
        for claim in list(self.pending.values()):
            if now >= claim.deadline:
                messages += self._close(now, claim)
                ended.append((claim.nonce, ClaimOutcome.NO_QUORUM))
            elif now >= claim.resend_at:
                claim.resend_at = now + RESEND_MS
                messages += [
                    message for message in claim.messages(release=False) if message.replica not in claim.answers
                ]
        for claim in [claim for claim in self.releasing.values() if now >= claim.resend_at]:
            messages += self._release(now, claim)
        return messages, ended

    def next_due(self) -> float:
        """Return when `tick` must be called next; inf without pending claims or releases."""
        claims = [min(claim.resend_at, claim.deadline) for claim in self.pending.values()]
        releases = [claim.resend_at for claim in self.releasing.values()]
        return min(claims + releases, default=math.inf)
