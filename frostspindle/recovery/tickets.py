"""The journal of loads: a load runs only once a quorum of its ticket's homes has durably recorded it as taken.

Owns what a home has granted (`Journal`) and what a coordinator asks for a load that came to it (`Claims`). It must
never do I/O or read a clock, never grant a ticket twice, nor before the record is durable, and never grant while
records may be missing: after a start with a lost or older store a home rests as long as clients may repeat a load.

A ticket is the hash of a request's X-Request-Id, so that a repeat is known wherever it comes. Any two majorities of the
homes share one, so that two claims of a ticket can't both have more than half. A claim that was not granted, or whose
load was refused before anything of it was sent, is freed; a free that is lost leaves a repeat answered as "may have
run".
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from frostspindle.recovery import state_kinds
from frostspindle.recovery.wire import FULL, GRANTED, RESTS, TAKEN, UNABLE

MOST_TICKETS = 50_000
MOST_BATCH = 256
MOST_WAITERS = 8  # who wait for one ticket's record
MOST_CLAIMS = 1_024
HOMES = 5  # two that lost their stores, or are away, still leave more than half
RESEND_MS = 150.0
FREES = 3  # a free is sent so often: nobody answers it
PREFIX = state_kinds.prefix("tickets")


def ticket(text: str) -> bytes:
    """Return the 16 bytes that stand for a request's id in stores and messages."""
    return blake2b(text.encode(), digest_size=16, person=b"load").digest()


def homes(of: bytes, seeds: Iterable[str], many: int = HOMES) -> list[str]:
    """Return the ticket's homes among the seeds: the same at all coordinators, whoever is alive."""
    return sorted(seeds, key=lambda name: blake2b(of + name.encode(), digest_size=8, person=b"home").digest())[:many]


class TicketRecord(msgspec.Struct, array_like=True, frozen=True):
    """A ticket that is taken: by which coordinator, under which nonce, and when (Unix ms)."""

    by: str
    nonce: int
    at_ms: float  # Unix


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(TicketRecord).decode


class PendingClaimant(NamedTuple):
    """A claimant that is answered once the record is durable."""

    name: str
    ticket: bytes
    nonce: int


class TicketJournal:
    """The home's side: grants tickets. A claim is answered at once, or by `written` after the batch that holds it."""

    def __init__(
        self,
        entries: Iterable[tuple[bytes, bytes]],
        ticket_ms: float,
        unix: float,
        rests: bool,
        able: bool = True,
        most: int = MOST_TICKETS,
    ) -> None:
        self.ticket_ms, self.most, self.able = ticket_ms, most, able
        self.table: dict[bytes, TicketRecord] = {}
        self.spoilt = 0
        for key, value in entries:
            try:
                held = _decode(value)
            except msgspec.DecodeError:
                self.spoilt += 1
                rests = True  # a record that can't be read is one that is missing
                continue
            # A clock that was set back keeps it for as long again, never longer.
            self.table[key[len(PREFIX) :]] = msgspec.structs.replace(held, at_ms=min(held.at_ms, unix))
        self.rests_until = unix + ticket_ms if rests else -math.inf
        self._next: dict[bytes, TicketRecord | None] = {}  # to be written
        self._out: dict[bytes, TicketRecord | None] = {}  # being written
        self._waits: dict[bytes, list[PendingClaimant]] = {}

    def rest(self, unix: float) -> None:
        """Grant nothing for `ticket_ms`, as the store was found to lag behind what others know of it."""
        self.rests_until = max(self.rests_until, unix + self.ticket_ms)

    def trust(self) -> None:
        """End the rest: enough others know that there was never a store before this one."""
        self.rests_until = -math.inf

    def resting(self, unix: float) -> bool:
        """Tell whether new claims are refused at `unix` (Unix ms) because records of earlier ones may be missing."""
        return unix < self.rests_until

    def ask(self, unix: float, who: str, of: bytes, nonce: int) -> int | None:
        """Take a claim; return the answer (a code of `wire`), or None if `written` gives it once the record is durable.

        A repeat of a claim gets the same answer.
        """
        held = self.table.get(of)
        if held is not None:
            if (held.by, held.nonce) != (who, nonce):
                return TAKEN
            if of not in self._next and of not in self._out:
                return GRANTED
            waiters = self._waits.setdefault(of, [])
            if len(waiters) < MOST_WAITERS and PendingClaimant(who, of, nonce) not in waiters:
                waiters.append(PendingClaimant(who, of, nonce))
            return None
        if not self.able:
            return UNABLE
        if self.resting(unix):
            return RESTS
        if len(self.table) >= self.most:
            return FULL
        self.table[of] = self._next[of] = TicketRecord(who, nonce, unix)
        self._waits[of] = [PendingClaimant(who, of, nonce)]
        return None

    def free(self, who: str, of: bytes, nonce: int) -> None:
        """Release a ticket that this claimant holds with this nonce.

        Anything else is ignored, so that repeats are harmless.
        """
        held = self.table.get(of)
        if held is not None and (held.by, held.nonce) == (who, nonce):
            self._drop(of)

    def _drop(self, of: bytes) -> None:
        del self.table[of]
        self._next[of] = None
        self._waits.pop(of, None)

    def prune(self, unix: float) -> None:
        """Remove tickets older than `ticket_ms`, which no client repeats any more."""
        old = [of for of, held in self.table.items() if unix - held.at_ms > self.ticket_ms and of not in self._waits]
        for of in old:
            self._drop(of)

    def batch(self) -> Mapping[bytes, bytes | None] | None:
        """Return the next batch for the store; None if there is nothing to write or one is still being written."""
        if self._out or not self._next or not self.able:
            return None
        for of in list(self._next)[:MOST_BATCH]:
            self._out[of] = self._next.pop(of)
        return {PREFIX + of: None if held is None else _encode(held) for of, held in self._out.items()}

    def written(self, ok: bool, full: bool = False) -> list[tuple[PendingClaimant, int]]:
        """Settle the batch; return the answers to those that wait for it.

        `ok`: it is durable. `full`: nothing of it is. Neither: its outcome is unknown, and this home grants no more.
        """
        out, self._out = self._out, {}
        answers: list[tuple[PendingClaimant, int]] = []
        if not ok and not full:
            self.able = False
        for of, held in out.items():
            waiters = self._waits.pop(of, []) if of not in self._next else []
            if held is None or self.table.get(of) != held:
                if held is None and not ok and of not in self._next:
                    self._next[of] = None
                continue
            if not ok and full:
                del self.table[of]  # it is not there, and nobody was told that it is
            # What may be there although the store broke stays taken: UNABLE grants nothing.
            answers += [(waiter, GRANTED if ok else FULL if full else UNABLE) for waiter in waiters]
        if not self.able:
            answers += [(waiter, UNABLE) for waiters in self._waits.values() for waiter in waiters]
            self._waits.clear()
        return answers


@dataclass(slots=True)
class _PendingClaim:
    ticket: bytes
    nonce: int
    homes: list[str]
    ends: float
    again: float
    said: dict[str, int] = field(default_factory=dict)
    frees: int = 0


class TicketMessage(NamedTuple):
    """A message to a home: a claim, or a free."""

    home: str
    ticket: bytes
    nonce: int
    free: bool


GO, RAN, CANT, UNSURE = "go", "may have run", "no record", "no word"


class TicketClaims:
    """The side of the coordinator that was asked to run a load.

    Outcomes by nonce: GO, once; RAN: another has it; CANT: too few homes can record it; UNSURE: too few have answered.
    """

    def __init__(self, claim_ms: float) -> None:
        self.claim_ms = claim_ms
        self.open: dict[int, _PendingClaim] = {}
        self.frees: dict[int, _PendingClaim] = {}
        self.held: dict[int, tuple[bytes, list[str]]] = {}  # granted, and not settled yet

    def begin(self, now: float, of: bytes, nonce: int, at: list[str]) -> list[TicketMessage]:
        """Open a claim; return the first messages. Empty if too many are open: then the outcome is UNSURE at once."""
        if len(self.open) >= MOST_CLAIMS:
            return []
        self.open[nonce] = _PendingClaim(of, nonce, at, now + self.claim_ms, now + RESEND_MS)
        return [TicketMessage(home, of, nonce, False) for home in at]

    def hear(self, now: float, home: str, nonce: int, how: int) -> tuple[str, list[TicketMessage]] | None:
        """Take a home's answer; return the outcome and messages to send once it is known, else None."""
        claim = self.open.get(nonce)
        if claim is None or home not in claim.homes:
            return None
        claim.said[home] = how
        granted = sum(said == GRANTED for said in claim.said.values())
        if how == TAKEN:
            return self._end(now, claim, RAN)
        if 2 * granted > len(claim.homes):
            self.held[nonce] = (claim.ticket, claim.homes)
            del self.open[nonce]
            return GO, []
        lost = sum(said in (FULL, UNABLE, RESTS) for said in claim.said.values())
        if 2 * (len(claim.homes) - lost) <= len(claim.homes):
            return self._end(now, claim, CANT)
        return None

    def _end(self, now: float, claim: _PendingClaim, how: str) -> tuple[str, list[TicketMessage]]:
        self.open.pop(claim.nonce, None)
        return how, self._free(now, claim)

    def _free(self, now: float, claim: _PendingClaim) -> list[TicketMessage]:
        claim.frees, claim.again = claim.frees + 1, now + RESEND_MS
        if claim.frees < FREES and len(self.frees) < MOST_CLAIMS:
            self.frees[claim.nonce] = claim
        else:
            self.frees.pop(claim.nonce, None)
        return [TicketMessage(home, claim.ticket, claim.nonce, True) for home in claim.homes]

    def settled(self, now: float, nonce: int, ran: bool) -> list[TicketMessage]:
        """Settle a granted load. `ran`: something of it was sent, and the ticket stays taken.

        Else return the messages that free it.
        """
        ticket_homes = self.held.pop(nonce, None)
        if ticket_homes is None or ran:
            return []
        return self._free(now, _PendingClaim(*ticket_homes[:1], nonce, ticket_homes[1], now, now))

    def drop(self, now: float, nonce: int) -> list[TicketMessage]:
        """Close the claim of a client that left before the outcome; return the messages that free it."""
        claim = self.open.get(nonce)
        return self._end(now, claim, UNSURE)[1] if claim is not None else []

    def tick(self, now: float) -> tuple[list[TicketMessage], list[tuple[int, str]]]:
        """Repeat claims and frees that are due, close claims that are out of time.

        Return messages, and outcomes by nonce.
        """
        sends: list[TicketMessage] = []
        ended: list[tuple[int, str]] = []
        for claim in list(self.open.values()):
            if now >= claim.ends:
                how, frees = self._end(now, claim, UNSURE)
                sends += frees
                ended.append((claim.nonce, how))
            elif now >= claim.again:
                claim.again = now + RESEND_MS
                sends += [
                    TicketMessage(home, claim.ticket, claim.nonce, False)
                    for home in claim.homes
                    if home not in claim.said
                ]
        for claim in [claim for claim in self.frees.values() if now >= claim.again]:
            sends += self._free(now, claim)
        return sends, ended

    def due(self) -> float:
        """Return when `tick` must be called next, in ms of the caller's clock.

        Inf if no claim or free is under way.
        """
        return min(
            [min(c.again, c.ends) for c in self.open.values()] + [c.again for c in self.frees.values()],
            default=math.inf,
        )
